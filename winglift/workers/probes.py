"""Questions to machines that have fallen silent: is the machine gone, or is its worker on the way to another node?

The answer is a report, newer than what is known. No answer proves nothing (docs/design.md); it only says how likely the
machine is to come back.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Mapping

from .. import constants as c
from ..model.entities import Machine
from ..model.leadership import Leadership
from ..model.machine import MachineState
from ..model.picture import Picture
from ..model.reported import on_report
from ..net.client import Unanswered
from ..net.outside import here, steady
from ..wire import workers as w
from ..wire.users import Invalid

log = logging.getLogger(__name__)


class Prober:
    def __init__(self, picture: Picture, me: Leadership) -> None:
        self.picture = picture
        self.me = me
        self._asking: dict[str, asyncio.Task] = {}

    def ask(self, machines: Iterable[Machine], controls: Mapping[str, Machine]) -> None:
        """Ask these machines, not too many at once: those left out are asked by a later call.

        `controls`: per zone a machine that was heard just now, which is asked as well.
        """
        for machine in machines:
            if len(self._asking) >= c.PROBES_AT_ONCE:
                return
            # Where no machine hears there is none to compare with; their answers alone count then.
            control = machine if machine.state is MachineState.DEAF else controls.get(machine.zone)
            if machine.name not in self._asking and machine.addr and control is not None:
                machine.asked = steady()
                self._asking[machine.name] = asyncio.ensure_future(self._ask(machine, control))

    def stop(self) -> None:
        for task in self._asking.values():
            task.cancel()

    async def _ask(self, machine: Machine, control: Machine) -> None:
        """No answer counts only if the control answers: a leader cut off from all workers had given sound ones up."""
        sent = steady()
        try:
            if control is machine:
                await self._question(machine)
                return
            answered, reached = await asyncio.gather(self._question(machine), self._question(control))
            # If this node stood still, the answer may have been there.
            if not answered and reached and steady() - sent < c.PROBE_TIMEOUT_S + c.PAUSE_S:
                machine.unanswered = sent
                self.picture.changed = True
        finally:
            self._asking.pop(machine.name, None)

    async def _question(self, machine: Machine) -> bool:
        host, _, port = machine.addr.partition(":")
        try:
            reply = await here().client(host, int(port), most=0).request("GET", "/show", None, c.PROBE_TIMEOUT_S)
            if reply.status == 200:
                if self.me.entitled(steady()):
                    on_report(self.picture, w.parse_report(reply.body), steady(), direct=True)
                return True
        except (Unanswered, Invalid) as err:
            log.debug("%s does not answer: %s", machine.name, err)
        return False
