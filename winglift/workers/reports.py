"""Who answers a worker's report, and how.

A worker belongs to a node of its own zone where there is one, or else to the leader. Any node but the leader hands
reports over the back link and passes the leader's answer on. When the link fails, the answer holds no commands: it
renews the worker's lease and keeps its tasks alive through outages and cuts, and since the node is in the worker's
own zone, a cut between zones is not even noticed there. That is safe because the end of a lease is nowhere taken as
a proof that tasks are gone (docs/design.md): only a newer report or an answered deletion is.
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
from ..wire.users import Invalid
from .cancellation_enforcement import CancellationEnforcer
from .partition_detector import PartitionDetector

log = logging.getLogger(__name__)

_commands = msgspec.json.Decoder(worker_messages.Commands)

Answer = tuple[int, bytes]  # status and body


class ReportingLeader(Protocol):
    """What answers reports need of the leader's work."""

    @property
    def term(self) -> int: ...

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command] | None:
        """Commands for the worker, or None if it is not to be answered with 200."""

    def has_pending_starts(self, name: str) -> bool:
        """Are there starts that the next report's answer should carry?"""


class ReportHost(Protocol):
    """What answering reports needs of the node that they come to."""

    @property
    def settings(self) -> Settings: ...

    @property
    def peers(self) -> PeerConnections: ...

    @property
    def leader_term(self) -> ReportingLeader | None: ...

    @property
    def cancellation_enforcer(self) -> CancellationEnforcer: ...

    def hears_others(self) -> bool:
        """Is the state service or any other node in hearing?"""

    def leader_elsewhere(self) -> str | None:
        """The node that leads and that this one can't hand reports to, if there is one."""

    def known_term(self) -> int:
        """The highest term that this node has heard of."""


@dataclass(slots=True)
class Contact:
    """A worker that belongs to another node. It is served first, and only then sent there:

    a worker that had just lost its node to a cut was once redirected to it again, and its lease ran out before it
    had gone round the nodes once more.
    """

    at: float = 0.0
    served: bool = False
    redirected: float = -math.inf
    stay_until: float = -math.inf


class ReportHandler:
    def __init__(self, node: ReportHost) -> None:
        self.node = node
        self._contacts: dict[str, Contact] = {}
        workers = node.settings.settings.workers
        self.heard_at = -math.inf  # when a worker was last heard here
        self.partition_detector = PartitionDetector(len(node.settings.seeds), workers.lease_s, workers.report_s)

    def handle(self, body: bytes) -> Answer | asyncio.Future[Answer]:
        """The answer to a report, at once where this node can give it: most reports then cost no task of their own."""
        try:
            report = worker_messages.parse_report(body)
        except Invalid as err:
            log.warning("report dropped: %s", err)
            return 400, msgspec.json.encode({"error": str(err)})
        now = monotonic_time()
        controller = self.node.leader_term
        self.heard_at = now
        led = self.node.leader_elsewhere()
        self.partition_detector.update(led is None and self.node.hears_others(), now)
        knows_more = report.token > self.node.known_term()
        if self.partition_detector.redirects(
            report.machine, (report.session, report.seq), not report.tasks, knows_more, now
        ):
            return 421, msgspec.json.encode(worker_messages.Redirect(led or self._another(report.machine)))
        home = self._home(report.zone, now)
        if home is not None and not (controller is not None and controller.has_pending_starts(report.machine)):
            target = self._redirect(report.machine, home, now)
            if target is not None:
                return 421, msgspec.json.encode(worker_messages.Redirect(target))
        answer = self.take(report)
        if answer is None:
            leader = self.node.peers.leader(now)
            if leader is not None:
                return self._hand_over(leader, body, report, home is not None)
            answer = self._renew(report)
        return self._note(report, answer, home is not None)

    def _hand_over(
        self, leader: Peer, body: bytes, report: worker_messages.Report, away: bool
    ) -> asyncio.Future[Answer]:
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def done(got: Answer | None) -> None:
            good = got is not None and got[0] == 200
            answer.set_result(self._note(report, got if got is not None and good else self._renew(report), away))

        self.node.peers.forward_report(leader, body, done)
        return answer

    def _note(self, report: worker_messages.Report, answer: Answer, away: bool) -> Answer:
        halts = self.node.cancellation_enforcer.on_report(report)
        if answer[0] == 200:
            if halts:
                answer = 200, _with(answer[1], halts)
            self.partition_detector.served(report.machine, monotonic_time())
            if away:
                self._known(report.machine, monotonic_time()).served = True
        return answer

    def _another(self, machine: str) -> str:
        """Any other node, the same one for a machine: who leads by now is not known here."""
        seeds = self.node.settings.seeds
        return seeds[crc32(machine.encode()) % len(seeds)].node

    def take(self, report: worker_messages.Report) -> Answer | None:
        """Answer as the leader, or None when this node does not lead."""
        controller = self.node.leader_term
        if controller is None or report.token > controller.term:
            return None
        commands = controller.on_report(report)
        if commands is None:
            return 421, msgspec.json.encode(worker_messages.Redirect())
        return 200, msgspec.json.encode(worker_messages.Commands(controller.term, commands))

    def relayed(self, body: bytes) -> Answer:
        """A report that another node hands over."""
        try:
            answer = self.take(worker_messages.parse_report(body))
        except Invalid as err:
            return 400, msgspec.json.encode({"error": str(err)})
        return answer or (503, msgspec.json.encode({"error": "does not lead"}))

    def _home(self, zone: str, now: float) -> str | None:
        """The node that workers of a zone belong to, or None when it is this one."""
        own, peers = self.node.settings, self.node.peers
        leader = peers.leader(now)
        if own.zone == zone or (leader is None and self.node.leader_term is None):
            return None
        if leader is not None and leader.seed.zone == zone:
            return leader.seed.node
        local = peers.reachable_in_zone(zone, now)
        if local is not None:
            return local
        return leader.seed.node if leader is not None and self.node.leader_term is None else None

    def _redirect(self, machine: str, home: str, now: float) -> str | None:
        """Send the worker home, unless it has just come back from there."""
        seen = self._known(machine, now)
        if now - seen.redirected < constants.REDIRECT_MEMORY_S:
            seen.stay_until = now + constants.FORWARD_STICKY_S
            seen.redirected = -math.inf
            seen.served = False
        if not seen.served or now < seen.stay_until:
            return None
        # Its lease has just been renewed, so there is time to try.
        seen.served = False
        seen.redirected = now
        return home

    def _known(self, machine: str, now: float) -> Contact:
        """What this node remembers of a machine that reported to it though it does not lead."""
        seen = self._contacts.get(machine)
        if seen is None or now - seen.at > constants.CONTACT_MEMORY_S:
            if len(self._contacts) > constants.CONTACTS_MAX:
                self._contacts.clear()
            seen = self._contacts[machine] = Contact()
        seen.at = now
        return seen

    def _renew(self, report: worker_messages.Report) -> Answer:
        """Keep the worker's tasks alive without a word of command."""
        term = max(report.token, self.node.known_term())
        if term == 0:
            return 503, msgspec.json.encode({"error": "no leader yet"})
        return 200, msgspec.json.encode(worker_messages.Commands(term, []))


def _with(answer: bytes, halts: list[worker_messages.Command]) -> bytes:
    """The answer with these stops too, under its own term (invariant 8)."""
    given = _commands.decode(answer)
    told = {(command.op, command.task, command.attempt) for command in given.commands}
    more = [halt for halt in halts if (halt.op, halt.task, halt.attempt) not in told]
    return msgspec.json.encode(worker_messages.Commands(given.token, given.commands + more)) if more else answer
