"""Who answers a worker's report, and how.

The leader takes reports in. Any other node sends the worker to the leader; a worker that comes back can't reach
it, so its reports are handed over the back link, or, if that fails too, answered with no commands: this renews
the worker's lease and keeps its tasks alive through outages and cuts. That is safe because the end of a lease is
nowhere taken as a proof that tasks are gone (docs/design.md), only a newer report or an answered deletion is.
"""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import msgspec

from .. import constants as c
from ..cluster.link import NoLink
from ..wire import workers as w
from ..wire.users import Invalid

if TYPE_CHECKING:
    from ..node import Node

log = logging.getLogger(__name__)


class Reports:
    def __init__(self, node: Node) -> None:
        self.node = node
        self._redirected: dict[str, float] = {}
        self._relayed: dict[str, float] = {}

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
        name = report.machine
        if peer is not None:
            relaying = now - self._relayed.get(name, -1e9) < c.RELAY_STICKY_S
            came_back = now - self._redirected.get(name, -1e9) < c.REDIRECT_MEMORY_S
            if not relaying and not came_back:
                self._redirected[name] = now
                self._tidy(now)
                return 421, msgspec.json.encode(w.Redirect(peer.seed.node))
            if not relaying:
                self._relayed[name] = now
                self._redirected.pop(name, None)
            try:
                status, answer = await self.node.link.relay(peer, body)
                if status == 200:
                    return status, answer
            except NoLink:
                pass
        return self._renew(report)

    def _renew(self, report: w.Report) -> tuple[int, bytes]:
        """Keep the worker's tasks alive without a word of command."""
        term = max(report.token, self.node.known_term())
        if term == 0:
            return 503, msgspec.json.encode({"error": "no leader yet"})
        return 200, msgspec.json.encode(w.Commands(term, []))

    def _tidy(self, now: float) -> None:
        if len(self._redirected) > 1000:
            self._redirected = {n: t for n, t in self._redirected.items() if now - t < c.REDIRECT_MEMORY_S}
        if len(self._relayed) > 1000:
            self._relayed = {n: t for n, t in self._relayed.items() if now - t < c.RELAY_STICKY_S}
