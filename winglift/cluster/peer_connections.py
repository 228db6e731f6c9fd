"""Connections between controller nodes (the `back` address).

Each node keeps one connection to every other node. Over it, the node sends heartbeats (its `PeerState`), forwards
worker reports to the leader and announces job records and proofs of cancellation; the leader also announces what it
knows about its machines. The frames are defined in `winglift.wire.peer`; PROTOCOL leaves this exchange to the
implementation ("Controller nodes <-> controller nodes").
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from .. import constants
from ..config.settings import Seed, parse_addr
from ..net.runtime import Stream, current_runtime, monotonic_time
from ..wire import peer as peer_messages
from .peer import OnAnswer, Peer, PendingRequest

log = logging.getLogger(__name__)


class PeerConnections:
    """Connections between this node and its peers, in both directions, and the state received over them."""

    def __init__(
        self,
        node: str,
        seeds: list[Seed],
        own_state: Callable[[], peer_messages.PeerState],
        on_forwarded_report: Callable[[bytes], tuple[int, bytes]],
        on_job_record: Callable[[peer_messages.RecordAnnouncement], int],
        on_state: Callable[[peer_messages.PeerState], None],
        on_peer_ended: Callable[[str], None],
        on_connected: Callable[[str], None],
        on_proofs: Callable[[list[tuple[str, str]]], None],
        on_synchronized: Callable[[], None],
    ) -> None:
        """Initialise without opening connections; `start` opens them.

        `own_state` returns the state to send in heartbeats. `on_forwarded_report` and `on_job_record` handle a request
        from a peer and return its answer. `on_peer_ended` is called when a peer's process seems to have ended, and
        `on_connected` when this node has connected to a peer, whose process may have restarted since the last time.
        `on_synchronized` is called when a peer has announced all confirmed cancellations.
        """
        self.node = node
        self.by_node = {seed.node: Peer(seed) for seed in seeds if seed.node != node}
        self._own_state = own_state
        self._on_forwarded_report = on_forwarded_report
        self._on_job_record = on_job_record
        self._on_state = on_state
        self._on_peer_ended = on_peer_ended
        self._on_connected = on_connected
        self._on_proofs = on_proofs
        self._on_synchronized = on_synchronized
        # A leader's latest announcement about its machines (encoded until it is needed), and when it was made.
        self._fleet: peer_messages.FleetSummary | bytes = peer_messages.FleetSummary({}, {})
        self.fleet_updated_at = 0.0
        self._omitted_images = 0  # number of machines whose images did not fit into the last announcement
        self._sweep_scheduled = False
        self._last_request_number = 0
        self._connection_tasks: list[asyncio.Task] = []
        self._stop_listening: Callable[[], None] | None = None
        self._accepted: set[Stream] = set()  # connections opened by peers

    # -- state of the peers --------------------------------------------------------------------

    def leader(self, now: float) -> Peer | None:
        """The peer whose fresh heartbeat says that it leads; if there are several, the one with the highest term."""
        leader: Peer | None = None
        for peer in self.by_node.values():
            if (
                peer.last_state is not None
                and peer.last_state.leads
                and peer.fresh(now)
                and (leader is None or leader.last_state is None or peer.last_state.term > leader.last_state.term)
            ):
                leader = peer
        return leader

    def connected(self, except_node: str = "") -> bool:
        """Whether a connection is open to any node other than `except_node`."""
        return any(peer.connected() for name, peer in self.by_node.items() if name != except_node)

    def any_fresh(self, now: float) -> bool:
        """Whether at least one peer's heartbeat is fresh."""
        return any(peer.fresh(now) for peer in self.by_node.values())

    def all_fresh(self, now: float) -> bool:
        """Whether every peer's heartbeat is fresh."""
        return all(peer.fresh(now) for peer in self.by_node.values())

    def reachable_in_zone(self, zone: str, now: float) -> str | None:
        """The first node of a zone, by name, with no gap in its heartbeats for PEER_REACHABLE_MIN_S, or None."""
        names = [
            peer.seed.node
            for peer in self.by_node.values()
            if peer.seed.zone == zone
            and peer.fresh(now)
            and now - peer.reachable_since > constants.PEER_REACHABLE_MIN_S
        ]
        return min(names, default=None)

    def term(self) -> int:
        """The highest term in the peers' last heartbeats; 0 if there are none."""
        return max((peer.last_state.term for peer in self.by_node.values() if peer.last_state), default=0)

    def any_peer_reaches_state_service(self, now: float) -> bool:
        """Whether any peer with a fresh heartbeat reports that the state service answers it."""
        return any(
            peer.fresh(now) and peer.last_state is not None and peer.last_state.state_service_ok
            for peer in self.by_node.values()
        )

    # -- connections opened by peers -----------------------------------------------------------

    async def _serve(self, stream: Stream, address: tuple) -> None:
        stream.set_nodelay(True)
        self._accepted.add(stream)
        try:
            while True:
                header, body = await self._read_frame(stream)
                self._dispatch(stream, header, body)
        except StreamClosedError:
            pass
        except peer_messages.BadFrame as err:
            log.warning("peer connection: bad frame: from=%s error=%s", address, err)
        finally:
            self._accepted.discard(stream)
            stream.close()

    def _dispatch(self, stream: Stream, header: peer_messages.Header, body: bytes) -> None:
        """Handle one frame. Unknown frame types are ignored, since a later version may send them."""
        if header.type is peer_messages.FrameType.PEER_STATE:
            self._on_heartbeat(peer_messages.parse_state(body))
        elif header.type is peer_messages.FrameType.JOB_RECORD:
            status = self._on_job_record(peer_messages.parse_job(body))
            if header.request:
                self._send_answer(stream, header, status, b"")
        elif header.type is peer_messages.FrameType.CANCELLATION_PROOFS:
            self._on_proofs(peer_messages.parse_proofs(body))
        elif header.type is peer_messages.FrameType.SYNCHRONIZED:
            self._on_synchronized()
        elif header.type is peer_messages.FrameType.FLEET_SUMMARY:
            # Kept encoded, since only the next leader needs it: with 970 machines, parsing each announcement took a
            # tenth of a follower's CPU time.
            self._fleet, self.fleet_updated_at = body, monotonic_time()
        elif header.type is peer_messages.FrameType.FORWARDED_REPORT:
            try:
                status, answer = self._on_forwarded_report(body)
            except Exception:
                # An error in handling one report must not close the connection that carries all other reports.
                log.exception("forwarded report: fault in handling it")
                status, answer = 503, b"{}"
            self._send_answer(stream, header, status, answer)

    @staticmethod
    def _send_answer(stream: Stream, header: peer_messages.Header, status: int, answer: bytes) -> None:
        # Not awaited, so that the next frame is read meanwhile; if the stream is closed, reading ends the loop.
        stream.write(
            peer_messages.frame(
                peer_messages.FrameType.FORWARDED_ANSWER, header.request, peer_messages.pack_answer(status, answer)
            )
        )

    @staticmethod
    async def _read_frame(stream: Stream) -> tuple[peer_messages.Header, bytes]:
        header = peer_messages.parse_header(await stream.read_bytes(peer_messages.HEADER.size))
        return header, await stream.read_bytes(header.length) if header.length else b""

    def _on_heartbeat(self, state: peer_messages.PeerState) -> None:
        peer = self.by_node.get(state.node)
        if peer is None:
            log.warning("peer connection: heartbeat of an unknown node: node=%r", state.node)
            return
        # A partition may delay frames: a heartbeat with an older term is out of date.
        if peer.last_state is not None and state.term < peer.last_state.term:
            return
        now = monotonic_time()
        if not peer.fresh(now):
            peer.reachable_since = now
        peer.last_state, peer.last_state_at = state, now
        self._on_state(state)

    # -- connections to peers ------------------------------------------------------------------

    def start(self, host: str, port: int) -> None:
        """Listen on `host:port`, and keep a connection to each peer."""
        self._stop_listening = current_runtime().listen(host, port, self._serve)
        self._connection_tasks = [
            asyncio.ensure_future(self._maintain_connection(peer)) for peer in self.by_node.values()
        ]

    def shut_down(self) -> None:
        """Stop listening and close all connections, outgoing and accepted."""
        for task in self._connection_tasks:
            task.cancel()
        if self._stop_listening is not None:
            self._stop_listening()
        # Closed as if the process had ended: over an open connection, peers would go on forwarding reports to this node
        # instead of to its successor.
        for stream in list(self._accepted):
            stream.close()

    async def _maintain_connection(self, peer: Peer) -> None:
        """Keep a connection to a peer, reconnecting whenever it ends, and send heartbeats over it."""
        host, port = parse_addr(peer.seed.addr, "seeds")
        closed_by_peer = False  # whether the peer closed the last established connection
        while True:
            stream: Stream | None = None
            try:
                async with asyncio.timeout(constants.PEER_CONNECT_TIMEOUT_S):
                    stream = await current_runtime().connect(host, port)
                closed_by_peer = True
                await self._use_connection(peer, stream)
            except TimeoutError:
                closed_by_peer = False
            except (StreamClosedError, OSError) as err:
                refused = isinstance(getattr(err, "real_error", err), ConnectionRefusedError)
                if closed_by_peer and refused:
                    # The peer closed the connection and then refused a new one: its process has most likely ended.
                    closed_by_peer = False
                    self._on_peer_ended(peer.seed.node)
            finally:
                peer.stream = None
                if stream is not None:
                    stream.close()
                peer.expire_requests(math.inf)
            await asyncio.sleep(
                constants.PEER_RECONNECT_DELAY_S if closed_by_peer else constants.PEER_CONNECT_RETRY_DELAY_S
            )

    async def _use_connection(self, peer: Peer, stream: Stream) -> None:
        """Send a heartbeat every PEER_STATE_INTERVAL_S and read answers, until the stream is closed.

        Raises TimeoutError if a heartbeat can't be written within PEER_WRITE_TIMEOUT_S, and StreamClosedError.
        """
        stream.set_nodelay(True)
        peer.stream, peer.acknowledges_records = stream, False
        self._on_connected(peer.seed.node)
        reader = asyncio.ensure_future(self._read_answers(peer, stream))
        try:
            while not stream.closed():
                async with asyncio.timeout(constants.PEER_WRITE_TIMEOUT_S):
                    heartbeat = peer_messages.pack_state(self._own_state())
                    # Shielded, since tornado logs an error for each cancelled write.
                    await asyncio.shield(
                        stream.write(peer_messages.frame(peer_messages.FrameType.PEER_STATE, 0, heartbeat))
                    )
                await asyncio.sleep(constants.PEER_STATE_INTERVAL_S)
        finally:
            reader.cancel()

    async def _read_answers(self, peer: Peer, stream: Stream) -> None:
        try:
            while True:
                header, body = await self._read_frame(stream)
                request = peer.pending_requests.pop(header.request, None)
                if request is not None:
                    request.on_answer(
                        peer_messages.parse_answer(body)
                        if header.type is peer_messages.FrameType.FORWARDED_ANSWER
                        else None
                    )
        except StreamClosedError:
            pass
        except peer_messages.BadFrame as err:
            log.warning("peer connection: bad frame: to=%s error=%s", peer.seed.node, err)
        finally:
            stream.close()

    # -- requests to peers ---------------------------------------------------------------------

    def forward_report(self, peer: Peer, report: bytes, on_answer: OnAnswer) -> None:
        """Forward a worker's report to the leader; `on_answer` is called exactly once, with None if there is no answer.

        Requests share one timer and have no tasks of their own: at 400 reports a second, a task and a timer per request
        took a sixth of a follower's CPU time.
        """
        self._ask(peer, peer_messages.FrameType.FORWARDED_REPORT, report, on_answer)

    def announce_record(self, peer: Peer, note: peer_messages.RecordAnnouncement, on_answer: OnAnswer) -> None:
        """Announce a record to a peer, which answers 200 if it acts on it as the leader, or 202 if it has noted it."""

        def on_acknowledged(answer: tuple[int, bytes] | None) -> None:
            peer.acknowledges_records = peer.acknowledges_records or answer is not None
            on_answer(answer)

        self._ask(peer, peer_messages.FrameType.JOB_RECORD, peer_messages.pack_job(note), on_acknowledged)

    def announce_proofs(self, proofs: list[tuple[str, str]]) -> None:
        """Announce proofs of cancellation to the peers whose version knows such frames.

        A proof is a pair of job and machine; an empty job means that the machine is deleted. A peer of an earlier
        version closes the connection at each such frame, so none is sent to it.
        """
        for peer in self.by_node.values():
            for start_index in range(
                0, len(proofs) if peer.acknowledges_records else 0, constants.CANCELLATION_PROOFS_PER_FRAME_MAX
            ):
                peer.send(
                    peer_messages.FrameType.CANCELLATION_PROOFS,
                    peer_messages.pack_proofs(
                        proofs[start_index : start_index + constants.CANCELLATION_PROOFS_PER_FRAME_MAX]
                    ),
                )

    def _ask(self, peer: Peer, frame_type: peer_messages.FrameType, body: bytes, on_answer: OnAnswer) -> None:
        if peer.stream is None or peer.stream.closed():
            on_answer(None)
            return
        # Never 0: a frame with that number expects no answer.
        self._last_request_number = self._last_request_number % (2**32 - 1) + 1
        number = self._last_request_number
        peer.pending_requests[number] = PendingRequest(monotonic_time() + constants.FORWARD_TIMEOUT_S, on_answer)
        try:
            # Not awaited: a request that can't be written in time reaches its deadline without an answer.
            peer.stream.write(peer_messages.frame(frame_type, number, body))
        except (StreamClosedError, peer_messages.BadFrame):
            if peer.pending_requests.pop(number, None) is not None:
                on_answer(None)
            return
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            asyncio.get_running_loop().call_later(constants.FORWARD_CHECK_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Expire the requests whose deadline has passed."""
        self._sweep_scheduled = False
        now = monotonic_time()
        for peer in self.by_node.values():
            peer.expire_requests(now)
        if any(peer.pending_requests for peer in self.by_node.values()):
            self._schedule_sweep()

    def notify_leader(self, note: peer_messages.RecordAnnouncement) -> None:
        """Announce a record to the leader, which would otherwise learn of it later from its watch. May be lost."""
        peer = self.leader(monotonic_time())
        if peer is not None:
            peer.send(peer_messages.FrameType.JOB_RECORD, peer_messages.pack_job(note))

    @property
    def fleet(self) -> peer_messages.FleetSummary:
        """The latest announcement of a leader about its machines; empty if it can't be parsed."""
        if isinstance(self._fleet, bytes):
            try:
                self._fleet = peer_messages.parse_fleet(self._fleet)
            except peer_messages.BadFrame as err:
                log.warning("peer connection: bad fleet announcement: error=%s", err)
                self._fleet = peer_messages.FleetSummary({}, {})
        return self._fleet

    def announce_fleet(self, fleet: peer_messages.FleetSummary) -> None:
        """Announce the leader's machines to all peers.

        Reports don't list images, and silent machines send none, so without this a new leader would know neither the
        images nor how long machines have been silent.
        """
        self._fleet, self.fleet_updated_at = fleet, monotonic_time()
        body, omitted = peer_messages.pack_fleet(fleet)
        if omitted and not self._omitted_images:
            log.info(
                "fleet announcement: images left out, the frame is full: omitted=%d machines=%d",
                omitted,
                len(fleet.images),
            )
        self._omitted_images = omitted
        for peer in self.by_node.values():
            peer.send(peer_messages.FrameType.FLEET_SUMMARY, body)
