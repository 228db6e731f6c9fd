"""Builds the jobs of a ready step: its elements, grouped by the resources that they demand."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .. import constants
from ..wire.flows import Hints, Tool
from ..wire.users import InvalidMessage, Kind, Priority, Submission, encode, parse_submission
from .command import BuiltTask, TaskBuilder, TaskResources
from .engine import Engine, Leaf
from .values import FlowError, digest, job_ref, strip_run_details


@dataclass(slots=True)
class StepJob:
    """A job of a step: the elements that demand the same resources, one task each."""

    ref: str
    resources: TaskResources
    indices: list[int]  # of the tasks' elements in `Leaf.elements`
    built_tasks: list[BuiltTask]


def create_task_builder(engine: Engine, leaf: Leaf, index: int) -> TaskBuilder:
    """Create the builder of the task of one element."""
    tool = engine.plan.processes[leaf.process]
    assert isinstance(tool, Tool)
    where = leaf.path if leaf.instance.shape is None else f"{leaf.path}[{leaf.instance.indices[index]}]"
    return TaskBuilder(tool, leaf.elements[index], engine.evaluator(leaf.process), where)


async def build_step_jobs(engine: Engine, flow: str, leaf: Leaf) -> list[StepJob]:
    """Build the jobs of a step; the result is the same each time. Yields to other work between many elements."""
    jobs: dict[tuple[TaskResources, int], StepJob] = {}
    counts: dict[TaskResources, int] = {}
    for index in range(len(leaf.elements)):
        if index % 20 == 19:
            await asyncio.sleep(0)
        task = create_task_builder(engine, leaf, index).build()
        counts[task.resources] = counts.get(task.resources, 0) + 1
        key = task.resources, (counts[task.resources] - 1) // constants.TASKS_PER_JOB_MAX
        if key not in jobs:
            jobs[key] = StepJob(job_ref(flow, leaf.path, len(jobs)), task.resources, [], [])
        jobs[key].indices.append(index)
        jobs[key].built_tasks.append(task)
    return list(jobs.values())


def reuse_key(engine: Engine, leaf: Leaf) -> str:
    """A digest that is equal for steps that run the same tool on the same inputs."""
    return digest(engine.plan.processes[leaf.process], [strip_run_details(e) for e in leaf.elements])


def build_submission(job: StepJob, tool: Tool, hints: Hints, team: str, due_s: float | None, where: str) -> Submission:
    """Build the submission that a user would send for the same job."""
    try:
        priority = Priority(hints.priority or Priority.NORMAL)
    except ValueError:
        raise FlowError(f"{where}: no such priority {hints.priority}") from None
    submission = Submission(
        ref=job.ref,
        job_class=hints.job_class or "workflow",
        team=hints.team or team,
        kind=Kind.ARRAY,
        priority=priority,
        tasks=len(job.indices),
        cpus=job.resources.cpus,
        gpus=job.resources.gpus,
        memory_gb=job.resources.memory_gb,
        image=tool.image,
        image_gb=hints.image_gb or 0.0,
        one_zone=False,
        spread=False,
        spot=bool(hints.spot),
        estimate_s=constants.FLOW_STEP_RUN_DEFAULT_S if hints.run_s is None else hints.run_s,
        checkpoint_s=hints.checkpoint_s or 0.0,
        save_s=hints.save_s or 0.0,
        due_s=due_s,
    )
    try:
        # The same checks as for a user's submission.
        return parse_submission(encode(submission))
    except InvalidMessage as err:
        raise FlowError(f"{where}: {err}") from None
