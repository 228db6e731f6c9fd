"""The demands of open jobs: which of their tasks wait for capacity, and under which conditions."""

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

TASKS_PER_DEMAND = 200  # at most so many waiting tasks of one job are planned in a cycle


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
        self._displace_after_s = displace_after_s(objectives)

    def demand(self, job: Job, now: float, wall: float, within: bool) -> policy_snapshot.Demand | None:
        """The demand of a job at `now` (monotonic, s) and `wall` (time of day, s), or None if nothing of it can start.

        `within` says whether its team's guarantee covers the job.
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
            within,
            may_rent=job.kind is not Kind.GANG or gang_may_rent(queued_s, self._boot_s(spec)),
            avoided_machines=_avoided_machines(job, unplaced_s),
            defers_preemption=job.kind is Kind.ARRAY and unplaced_s < self._preemption_delay_s,
            is_probe=suspect,
            has_reservation=job.ref in self.gang_reservations.by_job,
            preferred_machines=self.preferred_machines.get(job.ref, frozenset()),
            waited_s=_waited_s(job, queued_s, wall),
            may_displace=queued_s > self._displace_after_s.get(spec.job_class, math.inf),
        )

    def _startable_tasks(self, job: Job) -> list[int] | None:
        """Indices of the tasks that wait for capacity; None for a gang that has to end first."""
        if job.kind is not Kind.GANG:
            return job.waiting_tasks(TASKS_PER_DEMAND)
        if job.active or job.gang_broken:
            return None
        return [index for index in range(job.spec.tasks) if index not in job.done]

    def _run_s(self, job: Job) -> float:
        """The padded estimate of one task's run time, as the operators' script corrects it."""
        run_s = self.cluster.estimate_s(job) * constants.ESTIMATE_PADDING_RATIO
        return self.script.call_hook("estimate_s", run_s, job.spec.job_class, job.spec.estimate_s, run_s)

    def stalled_replicas(self, job: Job, now: float) -> list[policy_snapshot.StalledReplica]:
        """Replicas that have been fetching their image for some time and are estimated to need much longer."""
        found: list[policy_snapshot.StalledReplica] = []
        for task in job.active.values():
            machine = task.machine
            if task.state is not TaskState.FETCHING or task.stopping or machine.type is None:
                continue
            waited_s = now - task.state_since
            fetches = max(1, machine.usage().pending_fetches)
            fetch_s = job.spec.image_gb / max(machine.type.fetch_gb_per_s, 1e-3) * fetches
            remaining_s = fetch_s - waited_s if waited_s < fetch_s else waited_s * constants.LATE_FETCH_REMAINING_RATIO
            if waited_s > constants.LONG_FETCH_MIN_S and remaining_s > constants.RESTART_MIN_FETCH_S:
                zones = zone_counts(job)
                zones[machine.zone] -= 1
                found.append(
                    policy_snapshot.StalledReplica(
                        policy_snapshot.Demand(job.ref, job.spec, [task.index], now, 0.0, zones), task.index
                    )
                )
        return found

    def _boot_s(self, spec: Submission) -> float:
        """The longest boot of the types that a task fits."""
        return max(
            (mtype.boot_s for mtype in self.types.values() if cost_model.task_fits(spec, mtype)),
            default=constants.BOOT_DEFAULT_S,
        )


def _probe_tasks(job: Job, indices: list[int]) -> list[int]:
    """The tasks of a suspect job that may start: one shows as much as a hundred, and so does one that still runs."""
    return indices[: max(0, 1 - len(job.active))]


def _waited_s(job: Job, queued_s: float, wall: float) -> float:
    """The wait for the first start counts from the record, so that a change of the leader does not begin it anew."""
    return queued_s if job.next_attempt > 1 else max(0.0, wall - job.submitted_at)


def _avoided_machines(job: Job, unplaced_s: float) -> frozenset[str]:
    """Machines on which the job failed, for a limited time.

    If there is no other machine, it is tried again where it failed: free capacity must not stay unused for ever.
    """
    return frozenset(job.failed_on) if unplaced_s < constants.MACHINE_AVOIDANCE_S else frozenset()


def preemption_delay_s(objectives: Iterable[Objective]) -> float:
    """How long, in seconds, an array waits for free capacity before it may preempt other work."""
    limits = [
        objective.within_s
        for objective in objectives
        if objective.kind == "guarantee" and objective.within_s is not None
    ]
    return min(limits, default=0.0) * constants.PREEMPTION_DELAY_SHARE


def displace_after_s(objectives: Iterable[Objective]) -> dict[str, float]:
    """Job class: the wait, in seconds, after which its jobs may displace others."""
    waits: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.within_s is not None:
            after = objective.within_s * constants.DISPLACEMENT_DELAY_SHARE
            waits[objective.job_class] = min(after, waits.get(objective.job_class, math.inf))
    return waits
