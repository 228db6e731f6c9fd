"""Questions to machines that have fallen silent: is the machine gone, or is its worker on the way to another node?

The answer is a report, newer than what is known. No answer proves nothing (docs/design.md); it only says how likely the
machine is to come back.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterable

from .. import constants as c
from ..model.entities import Machine
from ..model.leadership import Leadership
from ..model.picture import Picture
from ..model.reported import on_report
from ..net.client import Client, Unanswered
from ..wire import workers as w
from ..wire.users import Invalid

log = logging.getLogger(__name__)


class Prober:
    def __init__(self, picture: Picture, me: Leadership) -> None:
        self.picture = picture
        self.me = me
        self._asking: dict[str, asyncio.Task] = {}

    def ask(self, machines: Iterable[Machine]) -> None:
        """Ask these machines, not too many at once: those left out are asked by a later call."""
        for machine in machines:
            if len(self._asking) >= c.PROBES_AT_ONCE:
                return
            if machine.name not in self._asking and machine.addr:
                self._asking[machine.name] = asyncio.ensure_future(self._ask(machine))

    def stop(self) -> None:
        for task in self._asking.values():
            task.cancel()

    async def _question(self, machine: Machine) -> None:
        host, _, port = machine.addr.partition(":")
        sent = time.monotonic()
        try:
            reply = await Client(host, int(port), most=0).request("GET", "/show", None, c.PROBE_TIMEOUT_S)
            if reply.status == 200 and self.me.entitled(time.monotonic()):
                on_report(self.picture, w.parse_report(reply.body), time.monotonic(), direct=True)
                return
        except (Unanswered, Invalid) as err:
            log.debug("%s does not answer: %s", machine.name, err)
        if time.monotonic() - sent < c.PROBE_TIMEOUT_S + c.PAUSE_S:
            # Otherwise this node stood still, and the answer may have been there.
            machine.unanswered = sent
            self.picture.changed = True

    async def _ask(self, machine: Machine) -> None:
        try:
            await self._question(machine)
        finally:
            self._asking.pop(machine.name, None)
