"""Carries out a plan's decisions about tasks: what is stopped, and what takes which place."""

from __future__ import annotations

import logging

from .. import constants as c
from ..model.entities import Task
from ..model.picture import Picture
from ..model.task import TaskState
from ..policy.snapshot import Plan
from ..store.batcher import Batcher
from ..wire.users import Kind
from .view import View

log = logging.getLogger(__name__)


class PlanExecutor:
    """One object per term."""

    def __init__(self, picture: Picture, batcher: Batcher, view: View) -> None:
        self.picture = picture
        self.batcher = batcher
        self.view = view
        self._reported_too_large: set[str] = set()

    def apply(self, plan: Plan, now: float) -> None:
        """Stops first: room that is being made is kept before anything is placed."""
        self._stop(plan, now)
        self.view.keep(plan.kept, now)
        self._move(plan, now)
        self._start(plan, now)
        self._report_waiting(plan)

    def _task(self, ref: str, index: int) -> Task | None:
        """The present attempt of a task, if it holds a place."""
        job = self.picture.jobs.get(ref)
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
                    self.picture.stop(other, grace, now, f"makes room for {whom}")
            else:
                self.picture.stop(task, grace, now, f"makes room for {whom}")

    def _move(self, plan: Plan, now: float) -> None:
        for ref, index in plan.rescues:
            task = self._task(ref, index)
            if task is not None and task.state is TaskState.FETCHING:
                self.picture.stop(task, 0.0, now, "starts beside its image")
        for ref, index in plan.moves:
            task = self._task(ref, index)
            if task is not None and not task.stopping:
                self.picture.stop(task, 0.0, now, "moves out of a gang's way")

    def _start(self, plan: Plan, now: float) -> None:
        for ref, places in plan.starts:
            job = self.picture.jobs.get(ref)
            if job is None:
                continue
            chosen = [(i, m) for i, name in places if (m := self.picture.machines.get(name)) is not None]
            if job.kind is Kind.GANG and len(chosen) != len(places):
                continue
            if self.picture.propose(job, chosen, now):
                if job.spec.tasks > c.SMALL_RECORD_TASKS and not self.batcher.fits(job):
                    self.batcher.reject(job, now, 0 if job.kind is Kind.GANG else len(chosen) // 2)
                log.debug("places %s: %s", ref, ", ".join(f"{i} on {m.name}" for i, m in chosen))

    def _report_waiting(self, plan: Plan) -> None:
        ref = plan.too_large
        if ref is not None and ref not in self._reported_too_large:
            self._reported_too_large.add(ref)
            why = plan.waiting.get(ref, "")
            log.info("%s has waited for %.0f s and does not fit on what is up: %s", ref, c.BEGIN_MOST_S, why)
        for ref, why in plan.waiting.items():
            log.debug("%s waits: %s", ref, why)
