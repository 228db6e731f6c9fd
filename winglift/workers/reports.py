"""Who answers a worker's report, and how.

The leader takes reports in. Any other node hands the first report over the back link and then sends the worker to
the leader; one that comes back can't reach it and is served over the link for a while. When the link fails too,
the answer holds no commands: it renews the worker's lease and keeps its tasks alive through outages and cuts.
That is safe because the end of a lease is nowhere taken as a proof that tasks are gone (docs/design.md): only a
newer report or an answered deletion is.
"""

from __future__ import annotations

import logging
import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from .. import constants as c
from ..cluster.link import NoLink
from ..wire import workers as w
from ..wire.users import Invalid

if TYPE_CHECKING:
    from ..node import Node

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Contact:
    """A worker on the wrong node. Its first report is handed over, and only then is it sent to the leader:

    a worker that had just lost its leader to a cut was once redirected to it again, and its lease ran out
    before it had gone round the nodes once more.
    """

    at: float = 0.0
    relayed: bool = False
    redirected: float = -math.inf
    stay_until: float = -math.inf


class Reports:
    def __init__(self, node: Node) -> None:
        self.node = node
        self._contacts: dict[str, Contact] = {}

    async def handle(self, body: bytes) -> tuple[int, bytes]:
        try:
            report = w.parse_report(body)
        except Invalid as err:
            log.warning("report dropped: %s", err)
            return 400, msgspec.json.encode({"error": str(err)})
        own = self.take(report)
        if own is not None:
            return own
        return await self._elsewhere(report, body)

    def take(self, report: w.Report) -> tuple[int, bytes] | None:
        """Answer as the leader, or None when this node does not lead."""
        controller = self.node.controller
        if controller is None:
            return None
        if report.token > controller.term:
            controller.outranked(report.token)
            return None
        commands = controller.on_report(report)
        if commands is None:
            return 421, msgspec.json.encode(w.Redirect())
        return 200, msgspec.json.encode(w.Commands(controller.term, commands))

    async def relayed(self, body: bytes) -> tuple[int, bytes]:
        """A report that another node hands over."""
        try:
            answer = self.take(w.parse_report(body))
        except Invalid as err:
            return 400, msgspec.json.encode({"error": str(err)})
        return answer or (503, msgspec.json.encode({"error": "does not lead"}))

    async def _elsewhere(self, report: w.Report, body: bytes) -> tuple[int, bytes]:
        now = time.monotonic()
        peer = self.node.link.leader(now)
        if peer is None:
            return self._renew(report)
        seen = self._known(report.machine, now)
        if seen.relayed and now >= seen.stay_until:
            # Its lease has just been renewed, so there is time to try the leader itself.
            seen.relayed = False
            seen.redirected = now
            return 421, msgspec.json.encode(w.Redirect(peer.seed.node))
        if now - seen.redirected < c.REDIRECT_MEMORY_S:
            seen.stay_until = now + c.RELAY_STICKY_S  # it came back: it can't reach the leader
            seen.redirected = -math.inf
        try:
            status, answer = await self.node.link.relay(peer, body)
            if status == 200:
                seen.relayed = True
                return status, answer
        except NoLink:
            pass
        return self._renew(report)

    def _known(self, machine: str, now: float) -> Contact:
        """What this node remembers of a machine that reported to it though it does not lead."""
        seen = self._contacts.get(machine)
        if seen is None or now - seen.at > c.CONTACT_MEMORY_S:
            if len(self._contacts) > c.CONTACTS_MOST:
                self._contacts.clear()
            seen = self._contacts[machine] = Contact()
        seen.at = now
        return seen

    def _renew(self, report: w.Report) -> tuple[int, bytes]:
        """Keep the worker's tasks alive without a word of command."""
        term = max(report.token, self.node.known_term())
        if term == 0:
            return 503, msgspec.json.encode({"error": "no leader yet"})
        return 200, msgspec.json.encode(w.Commands(term, []))
