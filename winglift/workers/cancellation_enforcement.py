"""Sees to confirmed cancellations, on every node that knows of them, until their tasks are proven off.

Whoever confirms one is answerable for it. It tells all nodes; each answers reports that list such a task with its stop,
leader or not. While no leader that can act has taken it over, each node also asks the machines that it has heard, and
deletes in good time those that nobody has proven free (docs/recovery.md, "Cancellations and who answers for them").
"""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass
from typing import Protocol

from .. import constants
from ..cloud.client import CloudClient, CloudError
from ..cluster.peer import Peer
from ..cluster.peer_connections import PeerConnections
from ..config.settings import Settings
from ..model import records
from ..model.cancellations import Cancellation, CancellationEvent, CancellationRegistry, CancellationState
from ..net.runtime import monotonic_time, wall_time
from ..store.client import Health, OutcomeUnknown, RequestRejected, StateClient
from ..wire import peer as peer_messages
from ..wire import workers as worker_messages
from .commands import command

log = logging.getLogger(__name__)


class CancellationHost(Protocol):
    """What seeing to ends needs of the node."""

    @property
    def settings(self) -> Settings: ...

    @property
    def peers(self) -> PeerConnections: ...

    @property
    def state(self) -> StateClient: ...

    @property
    def cloud(self) -> CloudClient: ...

    def known_term(self) -> int:
        """The highest term that this node has heard of."""

    def leader_by_record(self) -> str:
        """The node that leads by the state service's word, as this one has last read it; empty: none."""

    def handles_cancellation(self, ref: str) -> bool:
        """Does this node lead, and can it act, and has it the cancellation in its picture?"""

    def has_cleared_job(self, ref: str) -> bool:
        """Has this node, as a leader that can act, proven all tasks of the job off?"""

    def on_machines_deleted(self, machines: list[str]) -> None:
        """These machines have been deleted past the leader."""


@dataclass(slots=True)
class MachineContact:
    """Where a machine answers questions."""

    addr: str
    session: int
    at: float
    asked: float = -math.inf


class CancellationEnforcer:
    def __init__(self, node: CancellationHost) -> None:
        self.node = node
        params = node.settings.settings
        cancel_s = params.workers.cancel_s
        self.cancellations = CancellationRegistry(
            params.skew_ms / 1000, cancel_s, int(params.state.write_rps * cancel_s * constants.CANCELLATION_KEPT_SHARE)
        )
        self.contacts: dict[str, MachineContact] = {}
        self._asking: dict[str, asyncio.Task] = {}
        self._deleting: asyncio.Task | None = None
        self._listing: asyncio.Task | None = None
        self._next_list = 0.0
        self._wake = asyncio.Event()
        self._next_sweep = 0.0
        self._next_read = 0.0

    # -- what is heard -------------------------------------------------------------------------

    def add_record(self, ref: str, version: int, record: records.JobRecord) -> bool:
        """A record that is committed. If it is a cancellation with places, the other nodes are told at once, and the
        user after that. True: this node has it."""
        now = monotonic_time()
        cancellation = self.cancellations.add_record(ref, version, record, now)
        if cancellation is None or cancellation.state is CancellationState.CONFIRMED:
            return cancellation is not None
        self._tell(cancellation, now)
        self._wake.set()
        return True

    def on_peer_connected(self, node: str) -> None:
        """It may be another process than the one that knew."""
        for cancellation in self.cancellations.by_job.values():
            cancellation.notified.pop(node, None)

    def on_proofs(self, proofs: list[tuple[str, str]]) -> None:
        """What another node has proven."""
        now = monotonic_time()
        for ref, machine in proofs:
            if ref:
                self.cancellations.clear_machine(ref, machine, now, told=True)
            else:
                self.cancellations.machine_deleted(machine, now, told=True)
        gone = [machine for ref, machine in proofs if not ref]
        if gone:
            self.node.on_machines_deleted(gone)

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command]:
        """The stops that its answer must carry, whoever gives it."""
        now = monotonic_time()
        heard = self.contacts.get(report.machine)
        if heard is None or heard.session <= report.session:
            asked = heard.asked if heard is not None else -math.inf
            self.contacts[report.machine] = MachineContact(report.addr, report.session, now, asked)
        if now >= self._next_sweep:
            self._next_sweep = now + constants.CONTACT_KEPT_S / 4
            self.contacts = {
                name: one for name, one in self.contacts.items() if now - one.at < constants.CONTACT_KEPT_S
            }
        return self.cancellations.on_report(report, now)

    # -- what is done --------------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            if not self.cancellations.by_job:
                self._wake.clear()
                await self._wake.wait()
            try:
                await self._look(monotonic_time(), wall_time())
            except Exception:
                # One end that can't be seen to must not keep the others waiting.
                log.exception("fault in seeing to cancellations")
            await asyncio.sleep(constants.CANCELLATION_CHECK_S)

    async def _look(self, now: float, at: float) -> None:
        for cancellation in list(self.cancellations.by_job.values()):
            if cancellation.state is CancellationState.CONFIRMED:
                continue
            self._tell(cancellation, now)
            if self.node.has_cleared_job(cancellation.ref):
                self.cancellations.clear_job(cancellation.ref, now)
            else:
                cancellation.move(
                    CancellationEvent.DELEGATE if self._is_left(cancellation, now) else CancellationEvent.DELEGATE_LOST,
                    now,
                )
        self._ask(now)
        names = self._due(now, at)
        if names and (self._deleting is None or self._deleting.done()):
            self._deleting = asyncio.ensure_future(self._delete(names[: constants.DELETE_MAX]))
        proofs, self.cancellations.unsent_proofs = self.cancellations.unsent_proofs, []
        self.node.peers.announce_proofs(proofs)
        self.cancellations.prune(now)
        await self._reread(now, at)

    def _tell(self, cancellation: Cancellation, now: float) -> None:
        leader = self.node.peers.leader(now)
        for name, peer in self.node.peers.by_node.items():
            # A node that knew before it led has yet to take it over.
            offered = (
                peer is leader
                and cancellation.delegated_to != _led(peer)
                and cancellation.notified.get(name) == math.inf
            )
            if offered or cancellation.notified.get(name, -math.inf) <= now:
                cancellation.notified[name] = now + constants.CANCELLATION_NOTIFY_S
                self.node.peers.announce_record(
                    peer,
                    peer_messages.JobNote(cancellation.version, cancellation.ref, cancellation.record),
                    lambda answer, peer=peer: self._told(cancellation, peer, answer),  # type: ignore[misc]
                )

    def _told(self, cancellation: Cancellation, peer: Peer, answer: tuple[int, bytes] | None) -> None:
        if answer is None:
            return
        if answer[0] == 200:
            cancellation.delegated_to = _led(peer)
        # A leader that can't act yet is asked again; anybody else knows it for as long as its process lasts.
        if answer[0] == 200 or peer is not self.node.peers.leader(monotonic_time()):
            cancellation.notified[peer.seed.node] = math.inf

    def _is_left(self, cancellation: Cancellation, now: float) -> bool:
        """Is there a leader that sees to it? One that has it and is in hearing, or one that the state service names,
        since it follows the records; in an outage nobody can tell the latter."""
        if self.node.handles_cancellation(cancellation.ref):
            return True
        leader = self.node.peers.leader(now)
        if leader is not None and cancellation.delegated_to == _led(leader):
            return True
        named = self.node.leader_by_record()
        return self.node.state.health() is Health.GOOD and named not in ("", self.node.settings.node)

    def _ask(self, now: float) -> None:
        """Tell the machines of open ends to stop, at once and, once their answer is a proof, until it is one."""
        for cancellation in self.cancellations.outstanding():
            settled = cancellation.min_age_s(now) >= self.cancellations.settle_s
            for machine in cancellation.stop_commands:
                heard = self.contacts.get(machine)
                if heard is None:
                    self._learn(now)
                elif machine not in self._asking and (
                    heard.asked < cancellation.state_since
                    or (settled and now - heard.asked > constants.CANCELLATION_PROBE_S)
                ):
                    if len(self._asking) >= constants.PROBES_AT_ONCE:
                        return
                    heard.asked = now
                    self._asking[machine] = asyncio.ensure_future(self._question(machine, heard))

    def _learn(self, now: float) -> None:
        """The cloud tells where machines answer that report to another node, perhaps one that nobody can tell anything:
        without it they were deleted, with all the other work on them."""
        if now < self._next_list or (self._listing is not None and not self._listing.done()):
            return
        self._next_list = now + constants.CANCELLATION_LIST_S
        self._listing = asyncio.ensure_future(self._list())

    async def _list(self) -> None:
        try:
            for entry in await self.node.cloud.list():
                if entry.addr:
                    # Its session is not known: the refusal of a first word tells it.
                    self.contacts.setdefault(entry.name, MachineContact(entry.addr, 0, monotonic_time()))
        except CloudError as err:
            log.info("where machines answer: %s", err)

    async def _question(self, machine: str, heard: MachineContact) -> None:
        try:
            stop_commands = [
                halt
                for cancellation in self.cancellations.on_machine(machine)
                for halt in cancellation.stop_commands[machine]
            ]
            # Its last word may be of an earlier session, or it knows a higher term: it is told once more then.
            left, report = await self._told_to_stop(
                machine, heard.addr, self.node.known_term(), heard.session, stop_commands
            )
            if left and report is not None:
                term = max(self.node.known_term(), report.token)
                await self._told_to_stop(machine, heard.addr, term, report.session, left)
        finally:
            self._asking.pop(machine, None)

    async def _told_to_stop(
        self,
        machine: str,
        addr: str,
        term: int,
        session: int,
        stop_commands: list[worker_messages.Command],
    ) -> tuple[list[worker_messages.Command], worker_messages.Report | None]:
        """What the machine still lists after these stops, and its report; none without a sound answer."""
        asked = monotonic_time()
        report = await command(addr, term, session, stop_commands)
        if report is None or report.machine != machine:
            return [], None
        return self.cancellations.on_probe_answer(report, asked, monotonic_time()), report

    def _due(self, now: float, at: float) -> list[str]:
        own, peers = self.node.settings.node, self.node.peers.by_node.items()
        rank = sum(name < own and peer.fresh(now) for name, peer in peers)
        return self.cancellations.machines_to_delete(
            now, at, rank, constants.CANCEL_HEAR_REPORTS * self.node.settings.settings.workers.report_s
        )

    def may_delete(self, names: list[str]) -> bool:
        """Asked as the last thing before they are deleted: is all that is said of them still so?"""
        return set(names) <= set(self._due(monotonic_time(), wall_time()))

    async def _delete(self, names: list[str]) -> None:
        log.info(
            "deletes %s past the leader: they may hold tasks of cancelled jobs, and nobody else sees to it",
            " ".join(names),
        )
        try:
            await self.node.cloud.delete_for_cancellation(names)
        except CloudError as err:
            # Unanswered is not undone, and no proof: it is tried again.
            log.info("deletion: %s", err)
            await asyncio.sleep(constants.CLOUD_PAUSE_S)
            return
        now = monotonic_time()
        for name in names:
            self.cancellations.machine_deleted(name, now)
        self.node.on_machines_deleted(names)

    async def _reread(self, now: float, at: float) -> None:
        """What has been left to a leader for long is looked up: it takes out of the record what it has proven."""
        if now < self._next_read or self.node.state.health() is not Health.GOOD:
            return
        after_s = self.cancellations.cancel_s * constants.CANCELLATION_REREAD_SHARE
        cancellation = next(
            (
                e
                for e in self.cancellations.by_job.values()
                if e.state is CancellationState.DELEGATED and e.max_age_s(at, self.cancellations.skew_s) > after_s
            ),
            None,
        )
        if cancellation is None:
            return
        self._next_read = now + constants.CANCELLATION_REREAD_S
        try:
            item = await self.node.state.get(records.JOB_PREFIX + cancellation.ref)
            if item is not None:
                self.cancellations.add_record(
                    cancellation.ref, item.version, records.decode(item.value), monotonic_time()
                )
        except (RequestRejected, OutcomeUnknown, records.InvalidRecord) as err:
            log.debug("%s: %s", cancellation.ref, err)


def _led(peer: Peer) -> tuple[str, int]:
    return peer.seed.node, peer.last_state.term if peer.last_state is not None else 0
