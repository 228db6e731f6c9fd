"""Failure detection: which machines are to be deleted, probed or contacted again.

A machine is deleted after a boot timeout, a reclaim by the cloud, a completed drain, a silence timeout, or when it can
not be made to stop a cancelled task. The module is pure: the state of the machines is read from the cluster state, and
the caller passes the time and which other nodes can be heard. Times are in seconds.
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

    # Hardly any machine is heard: this node itself may be partitioned from the others.
    isolated: bool = False
    # Machines to delete, each with the reason.
    to_delete: list[tuple[Machine, str]] = field(default_factory=list)
    # Capacity pools (type and zone) whose new machines do not come up any more.
    failing_pools: set[CapacityPool] = field(default_factory=set)
    # Machines to ask directly whether they are alive.
    to_probe: list[Machine] = field(default_factory=list)
    # Unresponsive machines to contact again: probably this node was the one not heard (asymmetric partition).
    to_retry: list[Machine] = field(default_factory=list)
    # Per zone the machine heard last. It should answer a probe if the path from this node works.
    control_machines: dict[str, Machine] = field(default_factory=dict)


class FailureDetector:
    """Evaluates in each cycle which machines to delete, probe or contact again."""

    def __init__(self, cluster: ClusterState, workers: Workers, skew_s: float, attended: Iterable[str]) -> None:
        self.cluster = cluster
        self.workers = workers
        self.skew_s = skew_s  # how far a node's time of day may be from the true one
        self.leading_since: float | None = None  # since when this node leads without a doubt or a standstill
        self.zones_with_controllers = frozenset(attended)
        self._reachability = ZoneReachability(cluster, workers)

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Zones most of whose machines are silent now."""
        return self._reachability.unreachable_zones

    @property
    def unheard_zones(self) -> frozenset[str]:
        """Zones of which a new leader has received no report yet."""
        return self._reachability.unheard_zones

    @property
    def asymmetric_zones(self) -> frozenset[str]:
        """Zones with so many unresponsive machines that this node is probably the one not heard."""
        return self._reachability.asymmetric_zones

    @property
    def nothing_heard_yet(self) -> bool:
        """Whether a new leader has received no report from any machine yet."""
        return self._reachability.nothing_heard_yet

    def evaluate(self, now: float, wall: float, reaches_any_peer: bool, reaches_all_peers: bool) -> Verdict:
        """Evaluate all machines once.

        `now` is the monotonic time, `wall` the time of day. `reaches_any_peer` and `reaches_all_peers`: whether any,
        and whether every other node is heard (one that is not may be keeping workers' leases alive).
        """
        machines = list(self.cluster.machines.values())
        counts = count_silence(machines, now, self.workers.report_s)
        if counts.leader_is_isolated(now) and not reaches_any_peer:
            return Verdict(isolated=True)
        self._reachability.update(machines, counts, now)
        with_cancelled_tasks = self._machines_with_cancelled_tasks()
        verdict = Verdict(failing_pools=self.cluster.boot_tracker.detect_failing_pools(machines, now))
        unresponsive: list[Machine] = []
        probe_before = now - constants.PROBE_REPORT_RATIO * self.workers.report_s
        for machine in machines:
            if machine.state is MachineState.DELETING:
                continue
            # Most machines, most of the time.
            if _is_healthy(machine, probe_before, with_cancelled_tasks):
                _update_control_machine(verdict, machine)
                continue
            # Before all else: a machine that the lagging list calls booting may be running tasks.
            reason = self.overdue_cancellation(machine, now, wall) if machine.name in with_cancelled_tasks else None
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
        verdict.to_probe += unresponsive  # after those whose silence may be the end of what runs there
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
        """Whether a machine with tasks has missed reports and has not been probed since `probe_before`."""
        return (
            machine.last_heard is not None
            and machine.zone not in self.unreachable_zones
            and bool(machine.tasks)
            and machine.last_heard < probe_before
            and machine.probe_failed_at < machine.last_heard
            and machine.probed_at < probe_before
        )

    def _needs_retry(self, machine: Machine, now: float) -> bool:
        """Whether an unresponsive machine is probably healthy, and this node the one that was not heard."""
        return machine.zone in self.asymmetric_zones and now - machine.unresponsive_since > self.workers.lease_s

    def silent_machines(self, now: float) -> list[Machine]:
        """The machines silent for several reports: a successor goes on counting from when they were heard last."""
        limit_s = constants.ZONE_SILENT_REPORT_RATIO * self.workers.report_s
        return [
            machine
            for machine in self.cluster.machines.values()
            if machine.state is not MachineState.BOOTING and now - last_contact(machine) > limit_s
        ]

    def _silence_timeout_s(self, machine: Machine, now: float, reaches_all_peers: bool) -> float:
        """The silence in seconds after which this machine is deleted.

        The timeout is the shorter, the more certain it is that nothing runs there and the more users lose by waiting.
        Deleting a live machine costs its tasks and a boot, waiting for a dead one costs its users' time.
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
            # A node in the zone may be keeping its tasks alive.
            return lease_s * constants.SILENT_ZONE_LEASE_RATIO
        # No node in the zone, and all others are heard: what ran there is dead once its lease is over. Replicas start
        # elsewhere at once. The rest waits longer: when the partition ends, its machines and images are there.
        if any(task.job.is_open and task.job.kind is Kind.SERVICE for task in machine.tasks.values()):
            return lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S
        return lease_s * constants.SILENT_PEER_LEASE_RATIO

    def _deletion_reason(self, machine: Machine, now: float, reaches_all_peers: bool) -> str | None:
        """Why a machine is to be deleted now, or None. The first rule that applies counts."""
        if machine.state is MachineState.BOOTING:
            return self._boot_timed_out(machine, now)
        silent_s = self._silent_s(machine, now)
        reason = _reclaimed(machine, now, silent_s)
        if reason is None:
            reason = self._unresponsive_and_empty(machine, now)
        if reason is None:
            reason = _drained(machine)
        if reason is None:
            reason = self._silence_timed_out(machine, now, silent_s, reaches_all_peers)
        return reason

    def _silent_s(self, machine: Machine, now: float) -> float:
        """For how many seconds the machine has been silent, as far as that counts against it.

        After an outage or a standstill of this node, silence counts anew: once 15 machines that others had kept
        alive through an outage of 37 s were deleted in the moment it ended. In a zone that is partitioned from all
        nodes it goes on: no node could have kept anything alive.
        """
        since = self.leading_since or 0.0
        partitioned_from_all = (
            machine.zone in self.unreachable_zones
            and machine.zone not in self.zones_with_controllers
            and now - since > constants.WORKER_FAILOVER_S
        )
        return now - (last_contact(machine) if partitioned_from_all else max(last_contact(machine), since))

    def _boot_timed_out(self, machine: Machine, now: float) -> str | None:
        """The reason to delete a machine that has been booting for too long."""
        timeout_s = self.cluster.boot_tracker.boot_timeout_s(machine, self.cluster.types.values())
        return "boot timed out" if now - machine.rented_at > timeout_s else None

    def _unresponsive_and_empty(self, machine: Machine, now: float) -> str | None:
        """The reason to delete a machine that reports, but does not receive, and runs nothing."""
        since = self.leading_since or 0.0
        if (
            machine.state is MachineState.UNRESPONSIVE
            and not machine.tasks
            and machine.zone not in self.asymmetric_zones
            and now - max(machine.unresponsive_since, since) > constants.UNRESPONSIVE_MACHINE_TIMEOUT_S
        ):
            return "unresponsive"
        return None

    def _silence_timed_out(self, machine: Machine, now: float, silent_s: float, reaches_all_peers: bool) -> str | None:
        """The reason to delete a machine that has been silent for too long."""
        # No timeout is shorter than that, and hardly a machine is silent for so long.
        if silent_s <= constants.SILENT_MACHINE_REPORT_RATIO * self.workers.report_s:
            return None
        if silent_s <= self._silence_timeout_s(machine, now, reaches_all_peers):
            return None
        return f"silent for {silent_s:.1f} s"

    def machines_with_overdue_cancellations(self, now: float, wall: float) -> list[tuple[Machine, str]]:
        """The machines to delete for a cancelled task alone: a leader in doubt may still do that."""
        return [
            (machine, reason)
            for machine in self.cluster.machines.values()
            if machine.state is not MachineState.DELETING
            and (reason := self.overdue_cancellation(machine, now, wall)) is not None
        ]

    def overdue_cancellation(self, machine: Machine, now: float, wall: float) -> str | None:
        """The reason to delete a machine that can't be made to stop a cancelled task, while `cancel_s` allows it."""
        cancel_s = self.workers.cancel_s
        awaits_report = self._awaits_first_report(machine, now)
        for task in machine.tasks.values():
            if task.job.state is not JobState.CANCELLED:
                continue
            age_s = task.job.seconds_since_cancelled(now, wall, self.skew_s)
            if age_s <= cancel_s * constants.CANCELLATION_DELETE_SHARE:
                continue
            is_last_moment = (
                cancel_s * constants.CANCELLATION_URGENT_SHARE < age_s < cancel_s * constants.CANCELLATION_OVERDUE_RATIO
            )
            if awaits_report and not is_last_moment:
                continue
            return f"holds the cancelled {task.name}"
        return None

    def _awaits_first_report(self, machine: Machine, now: float) -> bool:
        """Whether a new leader, or one that stood still, still waits for the machine's first report.

        Most machines have long stopped their cancelled tasks, and only the record lags.
        """
        since = self.leading_since or 0.0
        heard = machine.last_heard is not None and machine.last_heard >= since
        timeout_s = constants.CANCELLATION_REPORT_WAIT_RATIO * self.workers.report_s
        return not heard and now - max(since, machine.known_since) < timeout_s


def _is_healthy(machine: Machine, probe_before: float, with_cancelled_tasks: Set[str]) -> bool:
    """Whether the machine was heard recently, and nothing speaks against it."""
    return (
        machine.state is MachineState.UP
        and machine.last_heard is not None
        and machine.last_heard >= probe_before
        and machine.reclaim_at is None
        and machine.name not in with_cancelled_tasks
    )


def _update_control_machine(verdict: Verdict, machine: Machine) -> None:
    """Make the machine the control machine of its zone if it has an address and none was heard later."""
    if machine.last_heard is None or not machine.addr:
        return
    latest = verdict.control_machines.get(machine.zone)
    if latest is None or machine.last_heard > (latest.last_heard or 0.0):
        verdict.control_machines[machine.zone] = machine


def _reclaimed(machine: Machine, now: float, silent_s: float) -> str | None:
    """The reason to delete a spot machine whose reclaim time is over and that is silent since."""
    if (
        machine.reclaim_at is not None
        and now > machine.reclaim_at + constants.RECLAIMED_SILENCE_TIMEOUT_S
        and silent_s > constants.RECLAIMED_SILENCE_TIMEOUT_S + 1
    ):
        return "reclaimed by the cloud"
    return None


def _drained(machine: Machine) -> str | None:
    """The reason to delete a machine that was drained and runs nothing any more."""
    if machine.state is MachineState.DRAINING and not machine.tasks and machine.drain_reason != "notice":
        return machine.drain_reason
    return None
