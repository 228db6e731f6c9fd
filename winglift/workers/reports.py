"""Answers workers' reports (PROTOCOL, "POST /v1/report").

A worker belongs to a node of its own zone where there is one, or else to the leader. A node that does not lead forwards
its reports to the leader over the peer connection and passes the leader's answer on. If that connection fails, the
answer holds no commands: it renews the worker's lease and keeps its tasks alive through outages and partitions. Since
the node is in the worker's own zone, a partition between zones does not affect the worker at all. This is safe because
an expired lease is never taken as proof that tasks have ended (docs/design.md): only a newer report or an answered
deletion is.

A process that does not know the confirmed cancellations answers 503, whether it leads or not: it has started while no
node could tell it of them and the records could not be read. Its 200 would keep cancelled tasks alive (invariant 8),
except for the short time that `provisional_renewals` allows.
"""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass
from typing import Protocol
from zlib import crc32

import msgspec

from .. import constants
from ..cluster.peer import Peer
from ..cluster.peer_connections import PeerConnections
from ..config.settings import Settings
from ..net.runtime import monotonic_time
from ..wire import workers as worker_messages
from ..wire.users import InvalidMessage
from .cancellation_enforcement import CancellationEnforcer
from .partition_detector import PartitionDetector
from .provisional_renewals import ProvisionalRenewals

log = logging.getLogger(__name__)

_commands_decoder = msgspec.json.Decoder(worker_messages.Commands)

Answer = tuple[int, bytes]  # status and body


class ReportingLeader(Protocol):
    """The part of a leader term that the report handler uses."""

    @property
    def term(self) -> int:
        """The term, which is also the token of the commands."""

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command] | None:
        """Return the commands for the worker, or None if the answer must not be 200."""

    def has_pending_starts(self, name: str) -> bool:
        """Whether the answer to this machine's next report should carry start commands."""


class ReportHost(Protocol):
    """The part of a node that the report handler uses."""

    @property
    def settings(self) -> Settings:
        """This node's settings."""

    @property
    def peers(self) -> PeerConnections:
        """The connections to the other nodes."""

    @property
    def leader_term(self) -> ReportingLeader | None:
        """The current leader term of this node; None while it does not lead."""

    @property
    def cancellation_enforcer(self) -> CancellationEnforcer:
        """The enforcer that adds stop commands for cancelled tasks to answers."""

    def can_reach_others(self) -> bool:
        """Whether this node can reach the state service or any other node."""

    def unreachable_leader_name(self) -> str | None:
        """The node that leads and that this one can't forward reports to, if there is one."""

    def known_term(self) -> int:
        """The highest term that this node knows of."""

    def knows_current_cancellations(self) -> bool:
        """Whether this node knows every cancellation that was confirmed until a moment ago."""


@dataclass(slots=True)
class WorkerContact:
    """A worker that belongs to another node. Times are monotonic seconds.

    It is served first, and only then redirected to its home node: a worker that had just lost that node to a partition
    was once redirected to it at once, and its lease expired before it had tried all nodes again.
    """

    reported_at: float = 0.0
    was_served: bool = False  # whether it was answered with 200 since its last redirect
    redirected_at: float = -math.inf
    serve_until: float = -math.inf  # not redirected to its home node before then


class ReportHandler:
    """Answers the reports that this node receives: as the leader, by forwarding, or by only renewing the lease."""

    def __init__(self, node: ReportHost) -> None:
        """Start without any known worker, and connected to a leader."""
        self.node = node
        self._contacts: dict[str, WorkerContact] = {}
        workers = node.settings.settings.workers
        self._provisional_renewals = ProvisionalRenewals(monotonic_time(), workers.lease_s, workers.cancel_s)
        self._has_refused = False  # whether a report was refused before the cancellations were known
        self.last_report_at = -math.inf  # monotonic time of the last report received
        self.partition_detector = PartitionDetector(len(node.settings.seeds), workers.lease_s, workers.report_s)

    def handle(self, body: bytes) -> Answer | asyncio.Future[Answer]:
        """Return the answer to a report, directly if this node can give it, so that most reports need no asyncio task.

        Status 400: malformed; 421: the worker is redirected to another node; 200: commands for the worker.
        """
        try:
            report = worker_messages.parse_report(body)
        except InvalidMessage as err:
            log.warning("report: malformed: error=%s", err)
            return 400, msgspec.json.encode({"error": str(err)})
        now = monotonic_time()
        leader_term = self.node.leader_term
        self.last_report_at = now
        unreachable_leader = self.node.unreachable_leader_name()
        self.partition_detector.update(unreachable_leader is None and self.node.can_reach_others(), now)
        has_newer_token = report.term > self.node.known_term()
        if self.partition_detector.should_redirect(
            report.machine, (report.session, report.seq), not report.tasks, has_newer_token, now
        ):
            return 421, msgspec.json.encode(
                worker_messages.Redirect(unreachable_leader or self._any_node_for(report.machine))
            )
        home = self._home_node(report.zone, now)
        if home is not None and not (leader_term is not None and leader_term.has_pending_starts(report.machine)):
            target = self._redirect_target(report.machine, home, now)
            if target is not None:
                return 421, msgspec.json.encode(worker_messages.Redirect(target))
        answer = self._answer_as_leader(report)
        if answer is None:
            leader = self.node.peers.leader(now)
            if leader is not None:
                return self._forward(leader, body, report, home is not None)
            answer = self._renew_lease(report)
        return self._complete_answer(report, answer, home is not None)

    def _forward(
        self, leader: Peer, body: bytes, report: worker_messages.Report, belongs_elsewhere: bool
    ) -> asyncio.Future[Answer]:
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def on_forwarded(forwarded: Answer | None) -> None:
            accepted = forwarded is not None and forwarded[0] == 200
            answer.set_result(
                self._complete_answer(
                    report,
                    forwarded if forwarded is not None and accepted else self._renew_lease(report),
                    belongs_elsewhere,
                )
            )

        self.node.peers.forward_report(leader, body, on_forwarded)
        return answer

    def _complete_answer(self, report: worker_messages.Report, answer: Answer, belongs_elsewhere: bool) -> Answer:
        stops = self.node.cancellation_enforcer.on_report(report)
        if answer[0] == 200:
            if stops:
                answer = 200, _with_stops(answer[1], stops)
            self.partition_detector.on_served(report.machine, monotonic_time())
            if belongs_elsewhere:
                self._contact(report.machine, monotonic_time()).was_served = True
        return answer

    def _any_node_for(self, machine: str) -> str:
        """Another node, always the same one for a machine: this node does not know which one leads now."""
        seeds = self.node.settings.seeds
        return seeds[crc32(machine.encode()) % len(seeds)].node

    def _answer_as_leader(self, report: worker_messages.Report) -> Answer | None:
        """Answer as the leader.

        None if this node does not lead, does not know the cancellations yet, or the report's token shows a later term.
        """
        leader_term = self.node.leader_term
        if leader_term is None or report.term > leader_term.term or not self._is_synchronized():
            return None
        commands = leader_term.on_report(report)
        if commands is None:
            return 421, msgspec.json.encode(worker_messages.Redirect())
        return 200, msgspec.json.encode(worker_messages.Commands(self._token(leader_term.term, report), commands))

    def answer_forwarded(self, body: bytes) -> Answer:
        """Answer a report forwarded by another node: 503 if this node does not lead, 400 if the report is malformed."""
        try:
            answer = self._answer_as_leader(worker_messages.parse_report(body))
        except InvalidMessage as err:
            return 400, msgspec.json.encode({"error": str(err)})
        return answer or (503, msgspec.json.encode({"error": "does not lead"}))

    def _is_synchronized(self) -> bool:
        """Whether this node knows all confirmed cancellations."""
        return self.node.cancellation_enforcer.is_synchronized()

    def _home_node(self, zone: str, now: float) -> str | None:
        """The node that workers of a zone belong to, or None if it is this node or unknown."""
        settings, peers = self.node.settings, self.node.peers
        leader = peers.leader(now)
        if settings.zone == zone or (leader is None and self.node.leader_term is None):
            return None
        if leader is not None and leader.seed.zone == zone:
            return leader.seed.node
        local_node = peers.reachable_in_zone(zone, now)
        if local_node is not None:
            return local_node
        return leader.seed.node if leader is not None and self.node.leader_term is None else None

    def _redirect_target(self, machine: str, home: str, now: float) -> str | None:
        """The node to redirect the worker to: its home node, or None if it is served here.

        It is served here first, and for `FORWARDING_MIN_S` after it has come back from its home node.
        """
        contact = self._contact(machine, now)
        if now - contact.redirected_at < constants.REDIRECT_RETURN_WINDOW_S:
            contact.serve_until = now + constants.FORWARDING_MIN_S
            contact.redirected_at = -math.inf
            contact.was_served = False
        if not contact.was_served or now < contact.serve_until:
            return None
        # The last answer renewed its lease, so it has time to try its home node.
        contact.was_served = False
        contact.redirected_at = now
        return home

    def _contact(self, machine: str, now: float) -> WorkerContact:
        """The contact of a machine of another node, kept for `WORKER_CONTACT_TTL_S` after its last report."""
        contact = self._contacts.get(machine)
        if contact is None or now - contact.reported_at > constants.WORKER_CONTACT_TTL_S:
            if len(self._contacts) > constants.WORKER_CONTACTS_MAX:
                self._contacts.clear()
            contact = self._contacts[machine] = WorkerContact()
        contact.reported_at = now
        return contact

    def _renew_lease(self, report: worker_messages.Report) -> Answer:
        """An answer without commands, which renews the worker's lease; 503 if this node is not entitled to that."""
        known_term = self.node.known_term()
        if max(report.token, known_term) == 0:
            return 503, msgspec.json.encode({"error": "no leader yet"})
        if not self._is_synchronized() and not self._provisional_renewals.may_renew(report, monotonic_time()):
            return self._refuse(report)
        log.debug(
            "report: lease renewed without a leader: machine=%s token=%d known_term=%d tasks=%d",
            report.machine,
            report.token,
            known_term,
            len(report.tasks),
        )
        return 200, msgspec.json.encode(worker_messages.Commands(self._token(known_term, report), []))

    def _token(self, term: int, report: worker_messages.Report) -> int:
        """The token of an answer under this term; provisional if this node may not know the latest cancellations.

        A worker with the provisional token of the term drops answers with a lower one.
        """
        token = max(term, report.token)
        return token if self.node.knows_current_cancellations() else worker_messages.provisional(token)

    def _refuse(self, report: worker_messages.Report) -> Answer:
        if not self._has_refused:
            self._has_refused = True
            log.info("report: refused until the confirmed cancellations are known: machine=%s", report.machine)
        return 503, msgspec.json.encode({"error": "cancellations not known yet"})


def _with_stops(answer: bytes, stops: list[worker_messages.Command]) -> bytes:
    """Add stops to an encoded answer and keep its term, so that any answer enforces cancellations (invariant 8)."""
    commands = _commands_decoder.decode(answer)
    present = {(command.op, command.task, command.attempt) for command in commands.commands}
    added = [stop for stop in stops if (stop.op, stop.task, stop.attempt) not in present]
    return msgspec.json.encode(worker_messages.Commands(commands.token, commands.commands + added)) if added else answer
