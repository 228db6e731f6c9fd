"""Answers workers' reports (PROTOCOL, "POST /v1/report").

A worker belongs to a node of its own zone where there is one, or else to the leader. Any other node forwards its
reports to the leader over the peer connection and passes the leader's answer on. If that connection fails, the answer
holds no commands: it renews the worker's lease and keeps its tasks alive through outages and partitions. Since the node
is in the worker's own zone, a partition between zones does not affect the worker at all. That is safe because the end
of a lease is nowhere taken as a proof that tasks are gone (docs/design.md): only a newer report or an answered deletion
is.
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

log = logging.getLogger(__name__)

_commands_decoder = msgspec.json.Decoder(worker_messages.Commands)

Answer = tuple[int, bytes]  # status and body


class ReportingLeader(Protocol):
    """What answering reports needs of a leader term."""

    @property
    def term(self) -> int:
        """The term, which is also the token of the commands."""

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command] | None:
        """Commands for the worker, or None if the answer is not to be 200."""

    def has_pending_starts(self, name: str) -> bool:
        """Whether there are starts that the answer to the next report of this machine should carry."""


class ReportHost(Protocol):
    """What answering reports needs of the node that receives them."""

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
        """The enforcer that adds the stops of cancelled tasks to answers."""

    def can_reach_others(self) -> bool:
        """Whether the state service or any other node is in reach."""

    def unreachable_leader_name(self) -> str | None:
        """The node that leads and that this one can't forward reports to, if there is one."""

    def known_term(self) -> int:
        """The highest term that this node knows of."""


@dataclass(slots=True)
class Contact:
    """A worker that belongs to another node. Times are monotonic seconds.

    It is served first, and only then redirected to its home node: a worker that had just lost its node to a partition
    was once redirected to it again, and its lease ran out before it had tried all nodes once more.
    """

    reported_at: float = 0.0
    served: bool = False  # answered with 200 since its last redirect
    redirected_at: float = -math.inf
    stay_until: float = -math.inf  # it is served here until then


class ReportHandler:
    """Answers the reports that come to this node: as the leader, by forwarding, or by renewing the lease alone."""

    def __init__(self, node: ReportHost) -> None:
        """Start in contact, with no worker known."""
        self.node = node
        self._contacts: dict[str, Contact] = {}
        workers = node.settings.settings.workers
        self.last_report_at = -math.inf  # monotonic time of the last report that came here
        self.partition_detector = PartitionDetector(len(node.settings.seeds), workers.lease_s, workers.report_s)

    def handle(self, body: bytes) -> Answer | asyncio.Future[Answer]:
        """The answer to a report, at once where this node can give it: most reports then need no task of their own.

        400: malformed; 421: the worker is redirected to another node; 200: the worker's commands.
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
        has_newer_token = report.token > self.node.known_term()
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
        return self._finish(report, answer, home is not None)

    def _forward(
        self, leader: Peer, body: bytes, report: worker_messages.Report, belongs_elsewhere: bool
    ) -> asyncio.Future[Answer]:
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def finish(forwarded: Answer | None) -> None:
            accepted = forwarded is not None and forwarded[0] == 200
            answer.set_result(
                self._finish(
                    report,
                    forwarded if forwarded is not None and accepted else self._renew_lease(report),
                    belongs_elsewhere,
                )
            )

        self.node.peers.forward_report(leader, body, finish)
        return answer

    def _finish(self, report: worker_messages.Report, answer: Answer, belongs_elsewhere: bool) -> Answer:
        stops = self.node.cancellation_enforcer.on_report(report)
        if answer[0] == 200:
            if stops:
                answer = 200, _with_stops(answer[1], stops)
            self.partition_detector.on_served(report.machine, monotonic_time())
            if belongs_elsewhere:
                self._contact(report.machine, monotonic_time()).served = True
        return answer

    def _any_node_for(self, machine: str) -> str:
        """Some other node, always the same one for a machine: which node leads now is not known here."""
        seeds = self.node.settings.seeds
        return seeds[crc32(machine.encode()) % len(seeds)].node

    def _answer_as_leader(self, report: worker_messages.Report) -> Answer | None:
        """Answer as the leader, or None when this node does not lead."""
        leader_term = self.node.leader_term
        if leader_term is None or report.token > leader_term.term:
            return None
        commands = leader_term.on_report(report)
        if commands is None:
            return 421, msgspec.json.encode(worker_messages.Redirect())
        return 200, msgspec.json.encode(worker_messages.Commands(leader_term.term, commands))

    def answer_forwarded(self, body: bytes) -> Answer:
        """Answer a report that another node has forwarded: 503 if this one does not lead, 400 if it is malformed."""
        try:
            answer = self._answer_as_leader(worker_messages.parse_report(body))
        except InvalidMessage as err:
            return 400, msgspec.json.encode({"error": str(err)})
        return answer or (503, msgspec.json.encode({"error": "does not lead"}))

    def _home_node(self, zone: str, now: float) -> str | None:
        """The node that workers of a zone belong to, or None if that is this one."""
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
        """The node to redirect the worker to: its home node, unless it has just come back from there; None: none."""
        contact = self._contact(machine, now)
        if now - contact.redirected_at < constants.REDIRECT_RETURN_WINDOW_S:
            contact.stay_until = now + constants.FORWARDING_MIN_S
            contact.redirected_at = -math.inf
            contact.served = False
        if not contact.served or now < contact.stay_until:
            return None
        # Its lease has just been renewed, so there is time to try.
        contact.served = False
        contact.redirected_at = now
        return home

    def _contact(self, machine: str, now: float) -> Contact:
        """What this node remembers of a machine that belongs to another, for WORKER_CONTACT_TTL_S after a report."""
        contact = self._contacts.get(machine)
        if contact is None or now - contact.reported_at > constants.WORKER_CONTACT_TTL_S:
            if len(self._contacts) > constants.WORKER_CONTACTS_MAX:
                self._contacts.clear()
            contact = self._contacts[machine] = Contact()
        contact.reported_at = now
        return contact

    def _renew_lease(self, report: worker_messages.Report) -> Answer:
        """Keep the worker's tasks alive without any command; 503 while no term is known."""
        term = max(report.token, self.node.known_term())
        if term == 0:
            return 503, msgspec.json.encode({"error": "no leader yet"})
        return 200, msgspec.json.encode(worker_messages.Commands(term, []))


def _with_stops(answer: bytes, stops: list[worker_messages.Command]) -> bytes:
    """The encoded answer with these stops added, under its own term (invariant 8)."""
    commands = _commands_decoder.decode(answer)
    present = {(command.op, command.task, command.attempt) for command in commands.commands}
    added = [stop for stop in stops if (stop.op, stop.task, stop.attempt) not in present]
    return msgspec.json.encode(worker_messages.Commands(commands.token, commands.commands + added)) if added else answer
