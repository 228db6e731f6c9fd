"""Carries out a plan's decisions about tasks: what is stopped, and what takes which place."""

from __future__ import annotations

import logging

from .. import constants
from ..model.cluster_state import ClusterState
from ..model.entities import Task
from ..model.task_state import TaskState
from ..policy.snapshot import Plan
from ..store.batcher import Batcher
from ..wire.users import Kind
from .snapshot_builder import SnapshotBuilder

log = logging.getLogger(__name__)


class PlanExecutor:
    """One object per term."""

    def __init__(self, cluster: ClusterState, batcher: Batcher, snapshot_builder: SnapshotBuilder) -> None:
        self.cluster = cluster
        self.batcher = batcher
        self.snapshot_builder = snapshot_builder
        self._reported_too_large: set[str] = set()

    def apply(self, plan: Plan, now: float) -> None:
        """Stops first: room that is being made is kept before anything is placed."""
        self._stop(plan, now)
        self.snapshot_builder.gang_reservations.reserve(plan.reservations, now)
        self._migrate(plan, now)
        self._start(plan, now)
        self._report_waiting(plan)

    def _task(self, ref: str, index: int) -> Task | None:
        """The present attempt of a task, if it holds a place."""
        job = self.cluster.jobs.get(ref)
        return job.active.get(index) if job is not None else None

    def _stop(self, plan: Plan, now: float) -> None:
        for ref, index, whom in plan.stops:
            task = self._task(ref, index)
            if task is None or task.stopping:
                continue
            log.info("stops %s on %s to make room for %s", task.name, task.machine.name, whom)
            job = task.job
            grace = job.grace_s
            if job.kind is Kind.GANG:
                for other in list(job.active.values()):
                    self.cluster.request_stop(other, grace, now, f"makes room for {whom}")
            else:
                self.cluster.request_stop(task, grace, now, f"makes room for {whom}")

    def _migrate(self, plan: Plan, now: float) -> None:
        for ref, index in plan.image_restarts:
            task = self._task(ref, index)
            if task is not None and task.state is TaskState.FETCHING:
                self.cluster.request_stop(task, 0.0, now, "starts beside its image")
        for ref, index in plan.migrations:
            task = self._task(ref, index)
            if task is not None and not task.stopping:
                self.cluster.request_stop(task, 0.0, now, "moves out of a gang's way")

    def _start(self, plan: Plan, now: float) -> None:
        for ref, places in plan.starts:
            job = self.cluster.jobs.get(ref)
            if job is None:
                continue
            chosen = [(i, m) for i, name in places if (m := self.cluster.machines.get(name)) is not None]
            if job.kind is Kind.GANG and len(chosen) != len(places):
                continue
            if self.cluster.propose_placement(job, chosen, now):
                if job.spec.tasks > constants.SMALL_RECORD_TASKS and not self.batcher.fits(job):
                    self.batcher.reject(job, now, 0 if job.kind is Kind.GANG else len(chosen) // 2)
                log.debug("places %s: %s", ref, ", ".join(f"{i} on {m.name}" for i, m in chosen))

    def _report_waiting(self, plan: Plan) -> None:
        ref = plan.unplaceable_job
        if ref is not None and ref not in self._reported_too_large:
            self._reported_too_large.add(ref)
            why = plan.waiting.get(ref, "")
            log.info(
                "%s has waited for %.0f s and does not fit on what is up: %s", ref, constants.START_DEADLINE_S, why
            )
        for ref, why in plan.waiting.items():
            log.debug("%s waits: %s", ref, why)
