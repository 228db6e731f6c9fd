"""Questions to machines that have fallen silent: is the machine gone, or is its worker on the way to another node?

The answer is a report, newer than what is known. No answer proves nothing (docs/design.md); it only says how likely the
machine is to come back.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Mapping

from .. import constants
from ..model.cluster_state import ClusterState
from ..model.entities import Machine
from ..model.leadership import Leadership
from ..model.machine_state import MachineState
from ..model.report_reconciliation import reconcile_report
from ..net.client import Unanswered
from ..net.runtime import current_runtime, monotonic_time
from ..wire import workers as worker_messages
from ..wire.users import Invalid

log = logging.getLogger(__name__)


class Prober:
    def __init__(self, cluster: ClusterState, leadership: Leadership) -> None:
        self.cluster = cluster
        self.leadership = leadership
        self._asking: dict[str, asyncio.Task] = {}

    def probe(self, machines: Iterable[Machine], controls: Mapping[str, Machine]) -> None:
        """Ask these machines, not too many at once: those left out are asked by a later call.

        `controls`: per zone a machine that was heard just now, which is asked as well.
        """
        for machine in machines:
            if len(self._asking) >= constants.PROBES_AT_ONCE:
                return
            # Where no machine hears there is none to compare with; their answers alone count then.
            control = machine if machine.state is MachineState.UNRESPONSIVE else controls.get(machine.zone)
            if machine.name not in self._asking and machine.addr and control is not None:
                machine.probed_at = monotonic_time()
                self._asking[machine.name] = asyncio.ensure_future(self._ask(machine, control))

    def stop(self) -> None:
        for task in self._asking.values():
            task.cancel()

    async def _ask(self, machine: Machine, control: Machine) -> None:
        """No answer counts only if the control answers: a leader cut off from all workers had given sound ones up."""
        sent = monotonic_time()
        try:
            if control is machine:
                await self._question(machine)
                return
            answered, reached = await asyncio.gather(self._question(machine), self._question(control))
            # If this node stood still, the answer may have been there.
            if (
                not answered
                and reached
                and monotonic_time() - sent < constants.PROBE_TIMEOUT_S + constants.NODE_PAUSE_S
            ):
                machine.probe_failed_at = sent
                self.cluster.changed = True
        finally:
            self._asking.pop(machine.name, None)

    async def _question(self, machine: Machine) -> bool:
        host, _, port = machine.addr.partition(":")
        try:
            reply = (
                await current_runtime()
                .client(host, int(port), most=0)
                .request("GET", "/show", None, constants.PROBE_TIMEOUT_S)
            )
            if reply.status == 200:
                if self.leadership.entitled(monotonic_time()):
                    reconcile_report(
                        self.cluster, worker_messages.parse_report(reply.body), monotonic_time(), direct=True
                    )
                return True
        except (Unanswered, Invalid) as err:
            log.debug("%s does not answer: %s", machine.name, err)
        return False
