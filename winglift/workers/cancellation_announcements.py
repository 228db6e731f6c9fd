"""Announces confirmed cancellations to the other nodes, and keeps track of which of them know each one.

Each cancellation is announced to every peer at once, and again every second until the peer has acknowledged it. A peer
that connects may be a new process, which knows nothing: it is told all cancellations, and then that there are no others
(`model.synchronization`).
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Protocol

from .. import constants
from ..cluster.peer import Peer
from ..cluster.peer_connections import PeerConnections
from ..model.cancellations import Cancellation, CancellationRegistry, CancellationState
from ..model.synchronization import SyncEvent, Synchronization, SyncState
from ..net.runtime import monotonic_time
from ..wire import peer as peer_messages

log = logging.getLogger(__name__)

_ACKNOWLEDGEMENTS = (200, 202)  # status of the answer of a peer that now knows the cancellation


class AnnouncementHost(Protocol):
    """The part of a node that the announcements use."""

    @property
    def peers(self) -> PeerConnections:
        """The connections to the other nodes."""


class CancellationAnnouncer:
    """Announces the cancellations of one node's registry to its peers."""

    def __init__(self, node: AnnouncementHost, cancellations: CancellationRegistry) -> None:
        """`cancellations`: the registry, which other components fill."""
        self.node = node
        self.cancellations = cancellations
        self.synchronization = Synchronization()
        self._acknowledged = asyncio.Event()  # set, and replaced, with each acknowledgement

    # -- synchronization of processes ----------------------------------------------------------

    def on_peer_connected(self, node: str) -> None:
        """Announce all cancellations to this node again: it may have restarted since it was last notified."""
        for cancellation in self.cancellations.by_job.values():
            cancellation.notified.pop(node, None)
            cancellation.known_to.discard(node)
        self._announce_all(self.node.peers.by_node[node])

    def on_peer_synchronized(self) -> None:
        """Called when a synchronized peer has announced all the cancellations that it enforces."""
        self.synchronize(SyncEvent.PEER_SYNCHRONIZED)

    def is_synchronized(self) -> bool:
        """Whether this node knows all confirmed cancellations."""
        return self.synchronization.state is SyncState.SYNCHRONIZED

    def synchronize(self, event: SyncEvent) -> None:
        """Apply an event after which this node knows all confirmed cancellations, and tell its peers."""
        if self.synchronization.move(event):
            log.info("cancellations: all confirmed ones are known: source=%s", event.name.lower())
            for peer in self.node.peers.by_node.values():
                self._announce_all(peer)

    def _announce_all(self, peer: Peer) -> None:
        """Announce all cancellations to a peer, and then that there are no others, if this node knows that.

        Frames of one connection arrive in the order in which they were sent.
        """
        now = monotonic_time()
        for cancellation in self.cancellations.by_job.values():
            if cancellation.state is not CancellationState.CONFIRMED:
                self._announce_to(peer, cancellation, now)
        if self.is_synchronized():
            peer.send(peer_messages.FrameType.SYNCHRONIZED, b"")

    # -- announcements -------------------------------------------------------------------------

    def announce(self, cancellation: Cancellation, now: float) -> None:
        """Announce a cancellation to all peers for which it is due."""
        for peer in self.node.peers.by_node.values():
            self._announce_to(peer, cancellation, now)

    def _announce_to(self, peer: Peer, cancellation: Cancellation, now: float) -> None:
        name = peer.seed.node
        # A node that was notified before it became the leader has not taken the cancellation over yet.
        leader_has_to_take_over = (
            cancellation.notified.get(name) == math.inf
            and peer is self.node.peers.leader(now)
            and cancellation.delegated_to != leader_and_term(peer)
        )
        if leader_has_to_take_over or cancellation.notified.get(name, -math.inf) <= now:
            cancellation.notified[name] = now + constants.CANCELLATION_NOTIFY_INTERVAL_S
            self.node.peers.announce_record(
                peer,
                peer_messages.RecordAnnouncement(cancellation.version, cancellation.ref, cancellation.record),
                lambda answer: self._on_announced(cancellation, peer, answer),
            )

    def _on_announced(self, cancellation: Cancellation, peer: Peer, answer: tuple[int, bytes] | None) -> None:
        if answer is None or answer[0] not in _ACKNOWLEDGEMENTS:
            return
        cancellation.known_to.add(peer.seed.node)
        self.on_progress()
        if answer[0] == 200:
            cancellation.delegated_to = leader_and_term(peer)
        # A leader that is not entitled to act yet is notified again. Any other node keeps the cancellation for as long
        # as its process runs.
        if answer[0] == 200 or peer is not self.node.peers.leader(monotonic_time()):
            cancellation.notified[peer.seed.node] = math.inf

    # -- confirmation to users -----------------------------------------------------------------

    def on_progress(self) -> None:
        """Wake the requests that wait in `wait_until_known`: a node has acknowledged, or a machine is proven clear."""
        self._acknowledged.set()
        self._acknowledged = asyncio.Event()

    def nodes_without(self, cancellation: Cancellation) -> list[Peer]:
        """The peers that have not acknowledged this cancellation."""
        return [peer for name, peer in self.node.peers.by_node.items() if name not in cancellation.known_to]

    def is_known(self, ref: str) -> bool:
        """Whether no node can keep tasks of this cancelled job alive unknowingly, so that users may be told.

        That holds if each node has acknowledged the cancellation, or if its tasks are proven off their machines. It
        never ceases to hold: a process that starts later is told by one that knows, or is not synchronized.
        """
        cancellation = self.cancellations.by_job.get(ref)
        if cancellation is None or cancellation.state is CancellationState.CONFIRMED:
            return True
        if not cancellation.is_known and not self.nodes_without(cancellation):
            cancellation.is_known = True
        return cancellation.is_known

    async def wait_until_known(self, ref: str, timeout_s: float) -> bool:
        """Wait for up to `timeout_s` until `is_known`, and return whether it is."""
        cancellation = self.cancellations.by_job.get(ref)
        if cancellation is not None and cancellation.awaited_since is None:
            cancellation.awaited_since = monotonic_time()
        try:
            async with asyncio.timeout(timeout_s):
                while not self.is_known(ref):
                    await self._acknowledged.wait()
        except TimeoutError:
            return self.is_known(ref)
        return True


def leader_and_term(peer: Peer) -> tuple[str, int]:
    """A peer's name and the term of its last heartbeat; 0 if there was none."""
    return peer.seed.node, peer.last_state.term if peer.last_state is not None else 0
