"""Carries out a plan's decisions about tasks: evictions, migrations and placements."""

from __future__ import annotations

import logging

from .. import constants
from ..model.cluster_state import ClusterState
from ..model.entities import Task
from ..model.task_state import TaskState
from ..policy.snapshot import Plan
from ..store.batcher import Batcher
from ..wire.users import Kind
from .gang_reservations import GangReservations

log = logging.getLogger(__name__)


class PlanExecutor:
    """Carries out the plans of one term."""

    def __init__(self, cluster: ClusterState, batcher: Batcher, gang_reservations: GangReservations) -> None:
        self.cluster = cluster
        self.batcher = batcher
        self.gang_reservations = gang_reservations
        self._unplaceable_jobs: set[str] = set()

    def apply(self, plan: Plan, now: float) -> None:
        """Carry the plan out. Evictions come first: capacity is reserved for gangs before anything is placed."""
        self._evict(plan, now)
        self.gang_reservations.reserve(plan.reservations, now)
        self._migrate(plan, now)
        self._start(plan, now)
        self._report_waiting(plan)

    def _task(self, ref: str, index: int) -> Task | None:
        """The active attempt of a task, if it is assigned to a machine."""
        job = self.cluster.jobs.get(ref)
        return job.active.get(index) if job is not None else None

    def _evict(self, plan: Plan, now: float) -> None:
        for ref, index, beneficiary in plan.stops:
            task = self._task(ref, index)
            if task is None or task.stopping:
                continue
            log.info("task evicted: task=%s machine=%s for=%s", task.name, task.machine.name, beneficiary)
            job = task.job
            grace_s = job.grace_s
            if job.kind is Kind.GANG:
                for other in list(job.active.values()):
                    self.cluster.request_stop(other, grace_s, now, f"evicted for {beneficiary}")
            else:
                self.cluster.request_stop(task, grace_s, now, f"evicted for {beneficiary}")

    def _migrate(self, plan: Plan, now: float) -> None:
        for ref, index in plan.restarts_near_image:
            task = self._task(ref, index)
            if task is not None and task.state is TaskState.FETCHING:
                self.cluster.request_stop(task, 0.0, now, "restarted where its image is cached")
        for ref, index in plan.migrations:
            task = self._task(ref, index)
            if task is not None and not task.stopping:
                self.cluster.request_stop(task, 0.0, now, "migrated for a gang")

    def _start(self, plan: Plan, now: float) -> None:
        for ref, assignments in plan.starts:
            job = self.cluster.jobs.get(ref)
            if job is None:
                continue
            chosen = [
                (index, machine)
                for index, name in assignments
                if (machine := self.cluster.machines.get(name)) is not None
            ]
            if job.kind is Kind.GANG and len(chosen) != len(assignments):
                continue
            if self.cluster.propose_placement(job, chosen, now):
                if job.spec.tasks > constants.SMALL_RECORD_TASKS_MAX and not self.batcher.fits(job):
                    self.batcher.reject_proposals(job, now, 0 if job.kind is Kind.GANG else len(chosen) // 2)
                placed = ", ".join(f"{index} on {machine.name}" for index, machine in chosen)
                log.debug("placement proposed: job=%s tasks=%s", ref, placed)

    def _report_waiting(self, plan: Plan) -> None:
        ref = plan.unplaceable_job
        if ref is not None and ref not in self._unplaceable_jobs:
            self._unplaceable_jobs.add(ref)
            reason = plan.waiting.get(ref, "")
            log.info("job unplaceable: job=%s waited_s=%.0f reason=%s", ref, constants.START_DEADLINE_S, reason)
        for ref, reason in plan.waiting.items():
            log.debug("job waiting: job=%s reason=%s", ref, reason)
