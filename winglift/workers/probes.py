"""Probes of silent machines (PROTOCOL, "GET /show").

A probe tells a machine that is gone from one whose worker is switching to another node. The answer is a report, newer
than the last one. A missing answer proves nothing (docs/design.md); it only shows how likely the machine is to return.
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
from ..wire.users import InvalidMessage

log = logging.getLogger(__name__)


class Prober:
    """Probes machines for one leader term, at most `CONCURRENT_PROBES_MAX` at a time, and reconciles their reports."""

    def __init__(self, cluster: ClusterState, leadership: Leadership) -> None:
        """Probe for the leader with this `leadership`; reports are reconciled only while it is entitled to act."""
        self.cluster = cluster
        self.leadership = leadership
        self._probes: dict[str, asyncio.Task] = {}

    def probe(self, machines: Iterable[Machine], controls: Mapping[str, Machine]) -> None:
        """Probe these machines as far as the limit of concurrent probes allows; a later call probes the others.

        `controls`: per zone a machine that has just reported, which is probed for comparison.
        """
        for machine in machines:
            if len(self._probes) >= constants.CONCURRENT_PROBES_MAX:
                return
            # An unresponsive machine is its own control, so that it is probed even if every machine is unresponsive.
            # Only an answer counts then.
            control = machine if machine.state is MachineState.UNRESPONSIVE else controls.get(machine.zone)
            if machine.name not in self._probes and machine.addr and control is not None:
                machine.probed_at = monotonic_time()
                self._probes[machine.name] = asyncio.ensure_future(self._probe(machine, control))

    def stop(self) -> None:
        """Cancel all probes in flight."""
        for task in self._probes.values():
            task.cancel()

    async def _probe(self, machine: Machine, control: Machine) -> None:
        """Probe a machine together with its control.

        A missing answer counts only if the control answers: without this, a leader that was partitioned from all
        workers gave up healthy machines.
        """
        sent_at = monotonic_time()
        try:
            if control is machine:
                await self._request_report(machine)
                return
            answered, control_answered = await asyncio.gather(
                self._request_report(machine), self._request_report(control)
            )
            # If this node was paused meanwhile, the answer may have arrived in time.
            if (
                not answered
                and control_answered
                and monotonic_time() - sent_at < constants.PROBE_TIMEOUT_S + constants.PROCESS_PAUSE_MIN_S
            ):
                machine.probe_failed_at = sent_at
                self.cluster.changed = True
        finally:
            self._probes.pop(machine.name, None)

    async def _request_report(self, machine: Machine) -> bool:
        """Request a report, reconcile it, and return whether the machine answered within `PROBE_TIMEOUT_S`."""
        host, _, port = machine.addr.partition(":")
        try:
            reply = (
                await current_runtime()
                .client(host, int(port), max_idle=0)
                .request("GET", "/show", None, constants.PROBE_TIMEOUT_S)
            )
            if reply.status == 200:
                if self.leadership.has_valid_lease(monotonic_time()):
                    reconcile_report(
                        self.cluster, worker_messages.parse_report(reply.body), monotonic_time(), direct=True
                    )
                return True
        except (Unanswered, InvalidMessage) as err:
            log.debug("probe: no valid answer: machine=%s error=%s", machine.name, err)
        return False
