"""Builds the demands of open jobs: the tasks that wait for capacity, and the conditions for their placement."""

from __future__ import annotations

import math
from collections.abc import Iterable

from .. import constants
from ..config.script import Script
from ..config.settings import Objective
from ..model.cluster_state import ClusterState, zone_counts
from ..model.entities import Job
from ..model.failure_attribution import job_is_suspect
from ..model.task_state import TaskState
from ..policy import cost_model
from ..policy import snapshot as policy_snapshot
from ..policy.split import sub_deadline
from ..wire.users import Kind, Submission
from .gang_reservations import GangReservations, gang_may_rent

TASKS_PER_DEMAND_MAX = 200  # waiting tasks of one job that are planned in a cycle


class DemandBuilder:
    """Builds the demand of one job at a time."""

    def __init__(
        self,
        cluster: ClusterState,
        script: Script,
        objectives: Iterable[Objective],
        gang_reservations: GangReservations,
        preferred_machines: dict[str, frozenset[str]],
    ) -> None:
        self.cluster = cluster
        self.types = cluster.types
        self.script = script
        self.gang_reservations = gang_reservations
        self.preferred_machines = preferred_machines
        objectives = list(objectives)
        self._preemption_delay_s = preemption_delay_s(objectives)
        self._displacement_delays_s = displacement_delays_s(objectives)

    def demand(self, job: Job, now: float, wall: float, within_guarantee: bool) -> policy_snapshot.Demand | None:
        """The demand of a job at `now` (monotonic, s) and `wall` (time of day, s), or None if no task of it can start.

        `within_guarantee`: whether its team's guarantee covers the job.
        """
        spec = job.spec
        if job.retry_not_before > now:
            return None
        indices = self._startable_tasks(job)
        if indices is None:
            return None
        if not indices:
            job.unplaced_since = math.inf
            return None
        job.unplaced_since = min(job.unplaced_since, now)
        suspect = job_is_suspect(job, now)
        if suspect and job.kind is not Kind.GANG:
            indices = _probe_tasks(job, indices)
            if not indices:
                return None
        run_s = self._run_s(job)
        unplaced_s = now - job.unplaced_since
        queued_s = now - job.queued_since
        return policy_snapshot.Demand(
            job.ref,
            spec,
            indices,
            sub_deadline(job.submitted_at, spec.due_s, run_s),
            run_s,
            zone_counts(job),
            within_guarantee,
            may_rent=job.kind is not Kind.GANG or gang_may_rent(queued_s, self._boot_s(spec)),
            avoided_machines=_avoided_machines(job, unplaced_s),
            defers_preemption=job.kind is Kind.ARRAY and unplaced_s < self._preemption_delay_s,
            is_probe=suspect,
            has_reservation=job.ref in self.gang_reservations.by_job,
            preferred_machines=self.preferred_machines.get(job.ref, frozenset()),
            waited_s=_waited_s(job, queued_s, wall),
            may_displace=queued_s > self._displacement_delays_s.get(spec.job_class, math.inf),
        )

    def _startable_tasks(self, job: Job) -> list[int] | None:
        """Indices of the tasks that wait for capacity; None for a gang whose previous attempt has not ended."""
        if job.kind is not Kind.GANG:
            return job.waiting_tasks(TASKS_PER_DEMAND_MAX)
        if job.active or job.gang_broken:
            return None
        return [index for index in range(job.spec.tasks) if index not in job.done]

    def _run_s(self, job: Job) -> float:
        """The estimated run time of one task in seconds, padded, and corrected by the operators' script."""
        run_s = self.cluster.estimate_s(job) * constants.ESTIMATE_PADDING_RATIO
        return self.script.call_hook("estimate_s", run_s, job.spec.job_class, job.spec.estimate_s, run_s)

    def stalled_replicas(self, job: Job, now: float) -> list[policy_snapshot.StalledReplica]:
        """Replicas that have been fetching their image for some time and are expected to need much longer."""
        stalled: list[policy_snapshot.StalledReplica] = []
        for task in job.active.values():
            machine = task.machine
            if task.state is not TaskState.FETCHING or task.stopping or machine.type is None:
                continue
            waited_s = now - task.state_since
            concurrent_fetches = max(1, machine.usage().pending_fetches)
            fetch_s = job.spec.image_gb / max(machine.type.fetch_gb_per_s, 1e-3) * concurrent_fetches
            remaining_s = fetch_s - waited_s if waited_s < fetch_s else waited_s * constants.LATE_FETCH_REMAINING_RATIO
            if waited_s > constants.LONG_FETCH_MIN_S and remaining_s > constants.RESTART_MIN_FETCH_S:
                zones = zone_counts(job)
                zones[machine.zone] -= 1
                stalled.append(
                    policy_snapshot.StalledReplica(
                        policy_snapshot.Demand(job.ref, job.spec, [task.index], now, 0.0, zones), task.index
                    )
                )
        return stalled

    def _boot_s(self, spec: Submission) -> float:
        """The longest boot time, in seconds, of the machine types that fit a task."""
        return max(
            (machine_type.boot_s for machine_type in self.types.values() if cost_model.task_fits(spec, machine_type)),
            default=constants.BOOT_DEFAULT_S,
        )


def _probe_tasks(job: Job, indices: list[int]) -> list[int]:
    """The tasks of a suspect job that may start: one at a time, since a single task shows whether the job works."""
    return indices[: max(0, 1 - len(job.active))]


def _waited_s(job: Job, queued_s: float, wall: float) -> float:
    """How long, in seconds, the job has waited for a start.

    The wait for the first start counts from the submission in the record, so that a failover does not reset it.
    """
    return queued_s if job.next_attempt > 1 else max(0.0, wall - job.submitted_at)


def _avoided_machines(job: Job, unplaced_s: float) -> frozenset[str]:
    """Machines on which the job failed and which it avoids for `MACHINE_AVOIDANCE_S`.

    After that it may run on them again if there are no others, so that free capacity does not stay unused.
    """
    return frozenset(job.failed_on) if unplaced_s < constants.MACHINE_AVOIDANCE_S else frozenset()


def preemption_delay_s(objectives: Iterable[Objective]) -> float:
    """The time, in seconds, for which an array waits for free capacity before it may preempt other work."""
    start_objectives_s = [
        objective.within_s
        for objective in objectives
        if objective.kind == "guarantee" and objective.within_s is not None
    ]
    return min(start_objectives_s, default=0.0) * constants.PREEMPTION_DELAY_SHARE


def displacement_delays_s(objectives: Iterable[Objective]) -> dict[str, float]:
    """The wait, in seconds, after which jobs may displace others, by job class."""
    delays_s: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.within_s is not None:
            delay_s = objective.within_s * constants.DISPLACEMENT_DELAY_SHARE
            delays_s[objective.job_class] = min(delay_s, delays_s.get(objective.job_class, math.inf))
    return delays_s
