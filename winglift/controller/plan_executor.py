"""Carries out a plan's decisions about tasks: preemptions, migrations and placements."""

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
        """Carry out the plan. Preemptions and reservations for gangs come before placements."""
        self._preempt(plan, now)
        self.gang_reservations.reserve(plan.reservations, now)
        self._migrate(plan, now)
        self._propose_placements(plan, now)
        self._log_waiting_jobs(plan)

    def _active_task(self, ref: str, index: int) -> Task | None:
        """The active attempt of a task, or None if there is none."""
        job = self.cluster.jobs.get(ref)
        return job.active.get(index) if job is not None else None

    def _preempt(self, plan: Plan, now: float) -> None:
        for ref, index, beneficiary in plan.stops:
            task = self._active_task(ref, index)
            if task is None or task.stopping:
                continue
            log.info("task evicted: task=%s machine=%s for=%s", task.name, task.machine.name, beneficiary)
            job = task.job
            grace_s = job.grace_s
            if job.kind is Kind.GANG:
                for member in list(job.active.values()):
                    self.cluster.request_stop(member, grace_s, now, f"evicted for {beneficiary}")
            else:
                self.cluster.request_stop(task, grace_s, now, f"evicted for {beneficiary}")

    def _migrate(self, plan: Plan, now: float) -> None:
        for ref, index in plan.restarts_near_image:
            task = self._active_task(ref, index)
            if task is not None and task.state is TaskState.FETCHING:
                self.cluster.request_stop(task, 0.0, now, "restarted where its image is cached")
        for ref, index in plan.migrations:
            task = self._active_task(ref, index)
            if task is not None and not task.stopping:
                self.cluster.request_stop(task, 0.0, now, "migrated for a gang")

    def _propose_placements(self, plan: Plan, now: float) -> None:
        for ref, assignments in plan.starts:
            job = self.cluster.jobs.get(ref)
            if job is None:
                continue
            placements = [
                (index, machine)
                for index, name in assignments
                if (machine := self.cluster.machines.get(name)) is not None
            ]
            if job.kind is Kind.GANG and len(placements) != len(assignments):
                continue
            if self.cluster.propose_placement(job, placements, now):
                if job.spec.tasks > constants.SMALL_RECORD_TASKS_MAX and not self.batcher.fits(job):
                    self.batcher.reject_proposals(job, now, 0 if job.kind is Kind.GANG else len(placements) // 2)
                placements_text = ", ".join(f"{index} on {machine.name}" for index, machine in placements)
                log.debug("placement proposed: job=%s tasks=%s", ref, placements_text)

    def _log_waiting_jobs(self, plan: Plan) -> None:
        ref = plan.unplaceable_job
        if ref is not None and ref not in self._unplaceable_jobs:
            self._unplaceable_jobs.add(ref)
            reason = plan.waiting.get(ref, "")
            log.info("job unplaceable: job=%s waited_s=%.0f reason=%s", ref, constants.START_DEADLINE_S, reason)
        for ref, reason in plan.waiting.items():
            log.debug("job waiting: job=%s reason=%s", ref, reason)
