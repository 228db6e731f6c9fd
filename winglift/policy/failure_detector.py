"""Failure detection: which machines are deleted, probed or contacted again.

A machine is deleted after a boot timeout, a reclaim by the cloud, a completed drain or a silence timeout, when it stays
unresponsive and empty, or when it does not stop a cancelled task. The module does no I/O: it reads the machines from
the cluster state, and the caller passes the time and which other nodes are heard. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from .. import constants
from ..config.settings import Workers
from ..model.boot_tracker import CapacityPool
from ..model.cluster_state import ClusterState
from ..model.entities import Machine
from ..model.job_state import JobState
from ..model.machine_state import MachineState
from ..wire.users import Kind
from .zone_reachability import ZoneReachability, count_silence, last_contact


@dataclass
class Verdict:
    """The result of one evaluation of all machines."""

    # No machine and no other node is heard: this node is probably partitioned from the others.
    isolated: bool = False
    # Machines to delete, each with the reason.
    to_delete: list[tuple[Machine, str]] = field(default_factory=list)
    # Capacity pools (type and zone) whose new machines fail to boot.
    failing_pools: set[CapacityPool] = field(default_factory=set)
    # Machines to ask directly for a report.
    to_probe: list[Machine] = field(default_factory=list)
    # Unresponsive machines to send commands to again: an asymmetric partition probably lost this node's messages.
    to_retry: list[Machine] = field(default_factory=list)
    # In each zone, the machine with the latest report: it answers a probe if the network from here to the zone works.
    control_machines: dict[str, Machine] = field(default_factory=dict)


class FailureDetector:
    """Determines in each cycle which machines to delete, probe or contact again."""

    def __init__(
        self, cluster: ClusterState, workers: Workers, skew_s: float, zones_with_controllers: Iterable[str]
    ) -> None:
        self.cluster = cluster
        self.workers = workers
        self.skew_s = skew_s  # the largest error of a node's time of day
        # When this node became entitled to act as leader, without a pause of the process since; None if it is not.
        self.leading_since: float | None = None
        self.zones_with_controllers = frozenset(zones_with_controllers)
        self._reachability = ZoneReachability(cluster, workers)

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Zones most of whose machines are silent."""
        return self._reachability.unreachable_zones

    @property
    def unheard_zones(self) -> frozenset[str]:
        """Zones from which a new leader has received no report yet."""
        return self._reachability.unheard_zones

    @property
    def asymmetric_zones(self) -> frozenset[str]:
        """Zones with so many unresponsive machines that this node's messages to the zone are probably lost."""
        return self._reachability.asymmetric_zones

    @property
    def nothing_heard_yet(self) -> bool:
        """Whether a new leader has received no report from any machine yet."""
        return self._reachability.nothing_heard_yet

    def evaluate(self, now: float, wall_time: float, reaches_any_peer: bool, reaches_all_peers: bool) -> Verdict:
        """Evaluate all machines once.

        `now` is the monotonic time, `wall_time` the time of day. `reaches_any_peer`: whether any other node is heard.
        `reaches_all_peers`: whether every other node is heard. One that is not heard may still renew workers' leases.
        """
        machines = list(self.cluster.machines.values())
        counts = count_silence(machines, now, self.workers.report_s)
        if counts.leader_is_isolated(now) and not reaches_any_peer:
            return Verdict(isolated=True)
        self._reachability.update(machines, counts, now)
        machines_with_cancelled_tasks = self._machines_with_cancelled_tasks()
        verdict = Verdict(failing_pools=self.cluster.boot_tracker.detect_failing_pools(machines, now))
        unresponsive: list[Machine] = []
        probe_before = now - constants.PROBE_REPORT_RATIO * self.workers.report_s
        for machine in machines:
            if machine.state is MachineState.DELETING:
                continue
            # Most machines are healthy, so this check comes first.
            if _is_healthy(machine, probe_before, machines_with_cancelled_tasks):
                _update_control_machine(verdict, machine)
                continue
            # Cancellations are checked before the boot timeout: a machine may run tasks although the cloud's list still
            # calls it booting, since that list lags.
            reason = (
                self.overdue_cancellation(machine, now, wall_time)
                if machine.name in machines_with_cancelled_tasks
                else None
            )
            reason = reason or self._deletion_reason(machine, now, reaches_all_peers)
            if reason is not None:
                verdict.to_delete.append((machine, reason))
            elif self._needs_probe(machine, probe_before):
                verdict.to_probe.append(machine)
            elif machine.state is MachineState.UNRESPONSIVE:
                if self._needs_retry(machine, now):
                    verdict.to_retry.append(machine)
                unresponsive.append(machine)
            elif machine.state is MachineState.UP:
                _update_control_machine(verdict, machine)
        verdict.to_probe += unresponsive  # silent machines are probed first: their tasks may have ended
        return verdict

    def _machines_with_cancelled_tasks(self) -> set[str]:
        """The names of the machines that still hold a task of a cancelled job."""
        return {
            task.machine.name
            for job in self.cluster.jobs.values()
            if job.state is JobState.CANCELLED
            for task in job.active.values()
        }

    def _needs_probe(self, machine: Machine, probe_before: float) -> bool:
        """Whether a machine with tasks has missed reports and was not probed after `probe_before`."""
        return (
            machine.last_heard is not None
            and machine.zone not in self.unreachable_zones
            and bool(machine.tasks)
            and machine.last_heard < probe_before
            and machine.probe_failed_at < machine.last_heard
            and machine.probed_at < probe_before
        )

    def _needs_retry(self, machine: Machine, now: float) -> bool:
        """Whether an unresponsive machine is probably healthy, and only this node's messages were lost."""
        return machine.zone in self.asymmetric_zones and now - machine.unresponsive_since > self.workers.lease_s

    def silent_machines(self, now: float) -> list[Machine]:
        """The machines that missed several reports. The next leader counts their silence from their last report."""
        limit_s = constants.ZONE_SILENT_REPORT_RATIO * self.workers.report_s
        return [
            machine
            for machine in self.cluster.machines.values()
            if machine.state is not MachineState.BOOTING and now - last_contact(machine) > limit_s
        ]

    def _silence_timeout_s(self, machine: Machine, now: float, reaches_all_peers: bool) -> float:
        """The silence in seconds after which this machine is deleted.

        The timeout is shorter the more certain it is that no task runs on the machine, and the more its users lose by
        waiting. Deleting a live machine costs its tasks and a boot; waiting for a dead one costs its users' time.
        """
        lease_s = self.workers.lease_s
        if self._reachability.recently_unreachable(machine.zone, now):
            return self._silence_timeout_in_partition_s(machine, reaches_all_peers)
        if not reaches_all_peers:
            return lease_s * constants.SILENT_PEER_LEASE_RATIO
        has_urgent_tasks = any(task.job.is_open and task.job.kind is not Kind.ARRAY for task in machine.tasks.values())
        probe_failed = machine.last_heard is not None and machine.probe_failed_at > machine.last_heard
        if has_urgent_tasks and probe_failed and not self._reachability.suspected(machine.zone, now):
            return constants.SILENT_MACHINE_REPORT_RATIO * self.workers.report_s
        return lease_s * constants.SILENT_MACHINE_LEASE_RATIO

    def _silence_timeout_in_partition_s(self, machine: Machine, reaches_all_peers: bool) -> float:
        """The silence timeout in seconds of a machine in a zone that is or was unreachable."""
        lease_s = self.workers.lease_s
        if machine.zone in self.zones_with_controllers or not reaches_all_peers:
            # A node in the zone, or one that is not heard, may be renewing the leases of its tasks.
            return lease_s * constants.SILENT_ZONE_LEASE_RATIO
        # The zone has no node, and all other nodes are heard: tasks in the zone have ended once their leases have
        # expired. Replicas then start elsewhere at once. Other tasks wait longer, since after the partition their
        # machines and images are available again.
        if any(task.job.is_open and task.job.kind is Kind.SERVICE for task in machine.tasks.values()):
            return lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S
        return lease_s * constants.SILENT_PEER_LEASE_RATIO

    def _deletion_reason(self, machine: Machine, now: float, reaches_all_peers: bool) -> str | None:
        """The reason to delete a machine now, or None. The first rule that applies decides."""
        if machine.state is MachineState.BOOTING:
            return self._boot_timeout_reason(machine, now)
        silent_s = self._silent_s(machine, now)
        reason = _reclaim_reason(machine, now, silent_s)
        if reason is None:
            reason = self._unresponsive_reason(machine, now)
        if reason is None:
            reason = _drain_reason(machine)
        if reason is None:
            reason = self._silence_reason(machine, now, silent_s, reaches_all_peers)
        return reason

    def _silent_s(self, machine: Machine, now: float) -> float:
        """The seconds of silence that count towards the machine's silence timeout.

        After an outage or a pause of this node, silence is counted anew: 15 machines whose leases other nodes had
        renewed through an outage of 37 s were deleted the moment it ended. In a zone that is partitioned from all nodes
        the count continues, since no node can have renewed leases there.
        """
        since = self.leading_since or 0.0
        partitioned_from_all = (
            machine.zone in self.unreachable_zones
            and machine.zone not in self.zones_with_controllers
            and now - since > constants.WORKER_FAILOVER_S
        )
        return now - (last_contact(machine) if partitioned_from_all else max(last_contact(machine), since))

    def _boot_timeout_reason(self, machine: Machine, now: float) -> str | None:
        """The reason to delete a machine whose boot has timed out, or None."""
        timeout_s = self.cluster.boot_tracker.boot_timeout_s(machine, self.cluster.types.values())
        return "boot timed out" if now - machine.rented_at > timeout_s else None

    def _unresponsive_reason(self, machine: Machine, now: float) -> str | None:
        """The reason to delete a machine that reports but does not receive commands and has no tasks, or None."""
        since = self.leading_since or 0.0
        if (
            machine.state is MachineState.UNRESPONSIVE
            and not machine.tasks
            and machine.zone not in self.asymmetric_zones
            and now - max(machine.unresponsive_since, since) > constants.UNRESPONSIVE_MACHINE_TIMEOUT_S
        ):
            return "unresponsive"
        return None

    def _silence_reason(self, machine: Machine, now: float, silent_s: float, reaches_all_peers: bool) -> str | None:
        """The reason to delete a machine that has been silent for too long, or None."""
        # No timeout is shorter than this, and hardly any machine is silent for so long.
        if silent_s <= constants.SILENT_MACHINE_REPORT_RATIO * self.workers.report_s:
            return None
        if silent_s <= self._silence_timeout_s(machine, now, reaches_all_peers):
            return None
        return f"silent for {silent_s:.1f} s"

    def machines_with_overdue_cancellations(self, now: float, wall_time: float) -> list[tuple[Machine, str]]:
        """The machines to delete because of cancelled tasks only. A leader in doubt may still delete these."""
        return [
            (machine, reason)
            for machine in self.cluster.machines.values()
            if machine.state is not MachineState.DELETING
            and (reason := self.overdue_cancellation(machine, now, wall_time)) is not None
        ]

    def overdue_cancellation(self, machine: Machine, now: float, wall_time: float) -> str | None:
        """The reason to delete a machine that has not stopped a cancelled task in time for `cancel_s`, or None."""
        cancel_s = self.workers.cancel_s
        first_report_pending = self._first_report_pending(machine, now)
        for task in machine.tasks.values():
            if task.job.state is not JobState.CANCELLED:
                continue
            age_s = task.job.seconds_since_cancelled(now, wall_time, self.skew_s)
            if age_s <= cancel_s * constants.CANCELLATION_DELETE_SHARE:
                continue
            is_last_moment = (
                cancel_s * constants.CANCELLATION_URGENT_SHARE < age_s < cancel_s * constants.CANCELLATION_OVERDUE_RATIO
            )
            if first_report_pending and not is_last_moment:
                continue
            return f"holds the cancelled {task.name}"
        return None

    def _first_report_pending(self, machine: Machine, now: float) -> bool:
        """Whether a new leader, or one that was paused, still waits for the machine's first report.

        Most machines stopped their cancelled tasks long ago, and only the job record lags.
        """
        since = self.leading_since or 0.0
        heard = machine.last_heard is not None and machine.last_heard >= since
        timeout_s = constants.CANCELLATION_REPORT_WAIT_RATIO * self.workers.report_s
        return not heard and now - max(since, machine.known_since) < timeout_s


def _is_healthy(machine: Machine, probe_before: float, machines_with_cancelled_tasks: Set[str]) -> bool:
    """Whether the machine is up, was heard recently, is not reclaimed and holds no cancelled task."""
    return (
        machine.state is MachineState.UP
        and machine.last_heard is not None
        and machine.last_heard >= probe_before
        and machine.reclaim_at is None
        and machine.name not in machines_with_cancelled_tasks
    )


def _update_control_machine(verdict: Verdict, machine: Machine) -> None:
    """Make the machine the control machine of its zone if it has an address and no other was heard later."""
    if machine.last_heard is None or not machine.addr:
        return
    latest = verdict.control_machines.get(machine.zone)
    if latest is None or machine.last_heard > (latest.last_heard or 0.0):
        verdict.control_machines[machine.zone] = machine


def _reclaim_reason(machine: Machine, now: float, silent_s: float) -> str | None:
    """The reason to delete a spot machine that is silent after its reclaim time, or None."""
    if (
        machine.reclaim_at is not None
        and now > machine.reclaim_at + constants.RECLAIMED_SILENCE_TIMEOUT_S
        and silent_s > constants.RECLAIMED_SILENCE_TIMEOUT_S + 1
    ):
        return "reclaimed by the cloud"
    return None


def _drain_reason(machine: Machine) -> str | None:
    """The reason to delete a drained machine that has no tasks left, or None."""
    if machine.state is MachineState.DRAINING and not machine.tasks and machine.drain_reason != "notice":
        return machine.drain_reason
    return None
