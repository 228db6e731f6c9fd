"""Enforces confirmed cancellations, on every node that knows of them, until their tasks are proven to have ended.

The node that confirms a cancellation is responsible for it. It announces the cancellation to all nodes. Each node,
leader or not, answers a report that lists a task of the cancelled job with a stop command. Until a leader that is
entitled to act has taken the cancellation over, each node also sends stop commands to the machines that have reported
to it, and deletes before the deadline the machines that no node has proven free of the job's tasks (docs/recovery.md,
"Cancellations and who answers for them").
"""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass
from typing import Protocol

from .. import constants
from ..cloud.client import CloudClient, CloudError
from ..cluster.peer_connections import PeerConnections
from ..config.settings import Settings
from ..model import records
from ..model.cancellations import Cancellation, CancellationEvent, CancellationRegistry, CancellationState
from ..model.synchronization import SyncEvent
from ..net.runtime import monotonic_time, wall_time
from ..store.client import Health, OutcomeUnknown, RequestRejected, StateClient
from ..wire import workers as worker_messages
from .cancellation_announcements import CancellationAnnouncer, leader_and_term
from .commands import send_direct_commands

log = logging.getLogger(__name__)


class CancellationHost(Protocol):
    """The part of a node that cancellation enforcement uses."""

    @property
    def settings(self) -> Settings:
        """This node's settings."""

    @property
    def peers(self) -> PeerConnections:
        """The connections to the other nodes."""

    @property
    def state(self) -> StateClient:
        """The client of the state service."""

    @property
    def cloud(self) -> CloudClient:
        """The client of the cloud."""

    def known_term(self) -> int:
        """The highest term that this node knows of."""

    def knows_current_cancellations(self) -> bool:
        """Whether this node knows every cancellation that was confirmed until a moment ago."""

    def recorded_leader_name(self) -> str:
        """The leader named in the state service's record, as this node last read it; empty if there is none."""

    def handles_cancellation(self, ref: str) -> bool:
        """Whether this node leads, is entitled to act, and has the cancellation in its cluster state."""

    def has_stopped_all_tasks(self, ref: str) -> bool:
        """Whether this node, as a leader that is entitled to act, has proof that all tasks of the job have ended."""

    def on_machines_deleted(self, machines: list[str]) -> None:
        """Handle the deletion of these machines by a node that may not lead."""


@dataclass(slots=True)
class MachineContact:
    """The address of a machine's worker. Times are monotonic seconds."""

    addr: str
    session: int
    reported_at: float
    commanded_at: float = -math.inf  # when stops were last sent to it
    answered_at: float = -math.inf  # when it last answered any


class CancellationEnforcer:
    """Enforces the cancellations that this node knows of, whether it leads or not.

    This keeps invariant 8: a confirmed cancellation is enforced whichever node leads.
    """

    def __init__(self, node: CancellationHost) -> None:
        """Start with no cancellation known; `run` does the periodic work."""
        self.node = node
        params = node.settings.settings
        cancel_s = params.workers.cancel_s
        self.cancellations = CancellationRegistry(
            params.skew_ms / 1000,
            cancel_s,
            int(params.state.write_rps * cancel_s * constants.CANCELLATION_HISTORY_RATIO),
        )
        self.announcer = CancellationAnnouncer(node, self.cancellations)
        self.contacts: dict[str, MachineContact] = {}
        self._stops_in_flight: dict[str, asyncio.Task] = {}
        self._delete_task: asyncio.Task | None = None
        self._list_task: asyncio.Task | None = None
        self._next_list_at = 0.0
        self._cancellation_added = asyncio.Event()
        self._next_contact_sweep_at = 0.0
        self._checked_at = -math.inf  # when the cancellations were last checked
        self._on_time_since = math.inf  # since when each check has come on time
        self._next_reread_at = 0.0

    # -- events --------------------------------------------------------------------------------

    def add_record(self, ref: str, version: int, record: records.JobRecord) -> bool:
        """Process a committed record and return whether it is a cancellation that this node now enforces.

        If the cancelled job has tasks assigned to machines, the cancellation is announced to the other nodes at once.
        A user is told only once `CancellationAnnouncer.is_known` holds.
        """
        now = monotonic_time()
        cancellation = self.cancellations.add_record(ref, version, record, now)
        self.announcer.on_progress()
        if cancellation is None or cancellation.state is CancellationState.CONFIRMED:
            return cancellation is not None
        self.announcer.announce(cancellation, now)
        self._cancellation_added.set()
        return True

    def on_records_loaded(self) -> None:
        """Called when this node, as the leader, has passed all job records to `add_record`."""
        self.announcer.synchronize(SyncEvent.RECORDS_LOADED)

    def is_synchronized(self) -> bool:
        """Whether this node knows all confirmed cancellations."""
        return self.announcer.is_synchronized()

    def on_proofs(self, proofs: list[tuple[str, str]]) -> None:
        """Apply another node's proofs, each a job and a machine; the job is empty if the machine is deleted."""
        now = monotonic_time()
        for ref, machine in proofs:
            if ref:
                self.cancellations.clear_machine(ref, machine, now, proven_by_peer=True)
            else:
                self.cancellations.on_machine_deleted(machine, now, proven_by_peer=True)
        self.announcer.on_progress()
        deleted = [machine for ref, machine in proofs if not ref]
        if deleted:
            self.node.on_machines_deleted(deleted)

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command]:
        """Return the stop commands that the answer to this report must carry, whichever node answers it."""
        now = monotonic_time()
        contact = self.contacts.get(report.machine)
        if contact is None or contact.session <= report.session:
            times = (contact.commanded_at, contact.answered_at) if contact is not None else (-math.inf, -math.inf)
            self.contacts[report.machine] = MachineContact(report.addr, report.session, now, *times)
        if now >= self._next_contact_sweep_at:
            self._next_contact_sweep_at = now + constants.MACHINE_ADDRESS_TTL_S / 4
            self.contacts = {
                name: contact
                for name, contact in self.contacts.items()
                if now - contact.reported_at < constants.MACHINE_ADDRESS_TTL_S
            }
        return self.cancellations.on_report(report, now)

    # -- enforcement ---------------------------------------------------------------------------

    async def run(self) -> None:
        """Check the cancellations every `CANCELLATION_CHECK_INTERVAL_S`, for as long as this node runs."""
        while True:
            if not self.cancellations.by_job:
                self._cancellation_added.clear()
                await self._cancellation_added.wait()
            try:
                await self._enforce(monotonic_time(), wall_time())
            except Exception:
                # An error with one cancellation must not keep the others from being enforced.
                log.exception("cancellations: fault in enforcing them")
            await asyncio.sleep(constants.CANCELLATION_CHECK_INTERVAL_S)

    def _note_check(self, now: float) -> None:
        """Note whether this check comes on time: after a pause, answers that came meanwhile are still unread."""
        if now - self._checked_at > constants.CANCELLATION_CHECK_LATE_RATIO * constants.CANCELLATION_CHECK_INTERVAL_S:
            self._on_time_since = now
        self._checked_at = now

    async def _enforce(self, now: float, wall: float) -> None:
        self._note_check(now)
        for cancellation in list(self.cancellations.by_job.values()):
            if cancellation.state is not CancellationState.CONFIRMED:
                self._announce_or_clear(cancellation, now)
        self._send_stops(now)
        self.announcer.on_progress()
        machines = self._machines_to_delete(now, wall)
        if machines and (self._delete_task is None or self._delete_task.done()):
            self._delete_task = asyncio.ensure_future(self._delete(machines[: constants.MACHINES_PER_DELETION_MAX]))
        proofs, self.cancellations.unsent_proofs = self.cancellations.unsent_proofs, []
        self.node.peers.announce_proofs(proofs)
        self.cancellations.prune(now)
        await self._reread(now, wall)

    def _announce_or_clear(self, cancellation: Cancellation, now: float) -> None:
        self.announcer.announce(cancellation, now)
        if self.node.has_stopped_all_tasks(cancellation.ref):
            self.cancellations.clear_job(cancellation.ref, now)
            return
        self._update_need_of_proof(cancellation, now)
        is_delegated = not cancellation.needs_proof and self._is_delegated(cancellation, now)
        cancellation.move(CancellationEvent.DELEGATE if is_delegated else CancellationEvent.DELEGATE_LOST, now)

    def _is_delegated(self, cancellation: Cancellation, now: float) -> bool:
        """Whether a leader enforces it: a reachable one that has taken it over, or one that the state service names.

        The latter learns of the cancellation by watching the job records. It counts only while the state service is
        available: during an outage no node can know whether that leader still leads.
        """
        if self.node.handles_cancellation(cancellation.ref):
            return True
        leader = self.node.peers.leader(now)
        if leader is not None and cancellation.delegated_to == leader_and_term(leader):
            return True
        recorded_leader = self.node.recorded_leader_name()
        return self.node.state.health() is Health.GOOD and recorded_leader not in ("", self.node.settings.node)

    def _update_need_of_proof(self, cancellation: Cancellation, now: float) -> None:
        """Note whether a user waits to be told, and some node has not acknowledged the cancellation in time.

        That node may be cut off and keep the tasks alive, so they must be proven off before users are told.
        """
        needs_proof = (
            cancellation.awaited_since is not None
            and now - cancellation.awaited_since > constants.CANCELLATION_ACKNOWLEDGEMENT_TIMEOUT_S
            and not self.announcer.is_known(cancellation.ref)
        )
        if needs_proof and not cancellation.needs_proof:
            nodes = " ".join(peer.seed.node for peer in self.announcer.nodes_without(cancellation))
            log.info(
                "cancellation: not acknowledged, so its tasks are stopped first: job=%s nodes=%s",
                cancellation.ref,
                nodes,
            )
        cancellation.needs_proof = needs_proof

    def _silent_machines(self, now: float) -> set[str]:
        """The machines that don't answer, or have no known address, while a cancellation needs a proof.

        Time counts only while this node has checked regularly.
        """
        silent = set()
        for cancellation in self.cancellations.outstanding():
            for machine in cancellation.stop_commands if cancellation.needs_proof else ():
                contact = self.contacts.get(machine)
                if contact is None:
                    silent_s = now - max(cancellation.state_since, self._on_time_since)
                    is_silent = silent_s > constants.CANCELLATION_ADDRESS_TIMEOUT_S
                else:
                    silent_s = now - max(contact.commanded_at, self._on_time_since)
                    is_unanswered = contact.answered_at < contact.commanded_at
                    is_silent = is_unanswered and silent_s > constants.CANCELLATION_ANSWER_TIMEOUT_S
                if is_silent:
                    silent.add(machine)
        return silent

    def _send_stops(self, now: float) -> None:
        """Send stop commands to the machines of outstanding cancellations.

        A machine gets them at once. Once an answer can count as a proof, it gets them again every
        `CANCELLATION_PROBE_INTERVAL_S` until its answer is one.
        """
        for cancellation in self.cancellations.outstanding():
            settled = cancellation.min_age_s(now) >= self.cancellations.settle_s
            for machine in cancellation.stop_commands:
                contact = self.contacts.get(machine)
                if contact is None:
                    self._fetch_addresses(now)
                elif machine not in self._stops_in_flight and (
                    contact.commanded_at < cancellation.state_since
                    or (settled and now - contact.commanded_at > constants.CANCELLATION_PROBE_INTERVAL_S)
                ):
                    if len(self._stops_in_flight) >= constants.CONCURRENT_PROBES_MAX:
                        return
                    contact.commanded_at = now
                    self._stops_in_flight[machine] = asyncio.ensure_future(self._stop_tasks(machine, contact))

    def _fetch_addresses(self, now: float) -> None:
        """Request the addresses of machines that report to another node, possibly an unreachable one, from the cloud.

        A machine without a known address can't be sent stop commands: it would be deleted, with all other tasks on it.
        """
        if now < self._next_list_at or (self._list_task is not None and not self._list_task.done()):
            return
        self._next_list_at = now + constants.CANCELLATION_LIST_INTERVAL_S
        self._list_task = asyncio.ensure_future(self._list_addresses())

    async def _list_addresses(self) -> None:
        try:
            for entry in await self.node.cloud.list():
                if entry.addr:
                    # Its session is unknown here: the worker rejects the first command with a report that holds it.
                    self.contacts.setdefault(entry.name, MachineContact(entry.addr, 0, monotonic_time()))
        except CloudError as err:
            log.info("machine addresses: list request failed: error=%s", err)

    async def _stop_tasks(self, machine: str, contact: MachineContact) -> None:
        try:
            stop_commands = [
                stop
                for cancellation in self.cancellations.for_machine(machine)
                for stop in cancellation.stop_commands[machine]
            ]
            # The worker rejects commands with an outdated session or term: they are sent once more, with those of its
            # answer.
            remaining, report = await self._send_stop_commands(
                machine, contact.addr, self._command_token(), contact.session, stop_commands
            )
            if remaining and report is not None:
                token = max(self._command_token(), report.token)
                await self._send_stop_commands(machine, contact.addr, token, report.session, remaining)
        finally:
            self._stops_in_flight.pop(machine, None)
            self.announcer.on_progress()

    def _command_token(self) -> int:
        """The token of direct commands; provisional while other cancellations may be unknown."""
        term = self.node.known_term()
        return term if self.node.knows_current_cancellations() else worker_messages.provisional(term)

    async def _send_stop_commands(
        self,
        machine: str,
        addr: str,
        token: int,
        session: int,
        stop_commands: list[worker_messages.Command],
    ) -> tuple[list[worker_messages.Command], worker_messages.Report | None]:
        """Send stop commands; return those whose tasks the answer still lists, and the answer (None: no valid one)."""
        sent_at = monotonic_time()
        report = await send_direct_commands(addr, token, session, stop_commands)
        if report is None or report.machine != machine:
            return [], None
        if (contact := self.contacts.get(machine)) is not None:
            contact.answered_at = monotonic_time()
        return self.cancellations.on_probe_answer(report, sent_at, monotonic_time()), report

    def _machines_to_delete(self, now: float, wall: float) -> list[str]:
        own_name, peers = self.node.settings.node, self.node.peers.by_node.items()
        rank = sum(name < own_name and peer.fresh(now) for name, peer in peers)
        return self.cancellations.machines_to_delete(
            now,
            wall,
            rank,
            constants.CANCELLATION_REPORT_WAIT_RATIO * self.node.settings.settings.workers.report_s,
            self._silent_machines(now),
        )

    def may_delete(self, names: list[str]) -> bool:
        """Whether all these machines are still to be deleted; the last check before the request is sent."""
        return set(names) <= set(self._machines_to_delete(monotonic_time(), wall_time()))

    async def _delete(self, names: list[str]) -> None:
        log.info(
            "machines: deleted without the leader, they may hold tasks of cancelled jobs: machines=%s", " ".join(names)
        )
        try:
            await self.node.cloud.delete_for_cancellation(names)
        except CloudError as err:
            # A deletion without an answer may have been executed, but that is no proof: it is retried.
            log.info("deletion: request failed: error=%s", err)
            await asyncio.sleep(constants.CLOUD_RETRY_DELAY_S)
            return
        now = monotonic_time()
        for name in names:
            self.cancellations.on_machine_deleted(name, now)
        self.announcer.on_progress()
        self.node.on_machines_deleted(names)

    async def _reread(self, now: float, wall: float) -> None:
        """Reread the record of a cancellation delegated long ago: the leader removes proven assignments from it."""
        if now < self._next_reread_at or self.node.state.health() is not Health.GOOD:
            return
        after_s = self.cancellations.cancel_s * constants.CANCELLATION_REREAD_AGE_RATIO
        cancellation = next(
            (
                candidate
                for candidate in self.cancellations.by_job.values()
                if candidate.state is CancellationState.DELEGATED
                and candidate.max_age_s(wall, self.cancellations.skew_s) > after_s
            ),
            None,
        )
        if cancellation is None:
            return
        self._next_reread_at = now + constants.CANCELLATION_REREAD_INTERVAL_S
        try:
            item = await self.node.state.get(records.JOB_PREFIX + cancellation.ref)
            if item is not None:
                self.cancellations.add_record(
                    cancellation.ref, item.version, records.decode(item.value), monotonic_time()
                )
        except (RequestRejected, OutcomeUnknown, records.InvalidRecord) as err:
            log.debug("cancellation: record not read: job=%s error=%s", cancellation.ref, err)
