"""From a step that is ready to the jobs that run it: its elements grouped by what they take of a machine."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .. import constants
from ..wire.flows import Hints, Tool
from ..wire.users import InvalidMessage, Kind, Priority, Submission, encode, parse_submission
from .command import Made, Size, TaskBuilder
from .engine import Engine, Leaf
from .values import FlowError, bare, digest, job_ref


@dataclass(slots=True)
class Part:
    """Elements of a step that are alike in size: one job, a task each."""

    ref: str
    size: Size
    places: list[int]  # numbers among the step's elements that run
    made: list[Made]


def builder(engine: Engine, leaf: Leaf, place: int) -> TaskBuilder:
    tool = engine.plan.processes[leaf.process]
    assert isinstance(tool, Tool)
    where = leaf.path if leaf.node.shape is None else f"{leaf.path}[{leaf.node.places[place]}]"
    return TaskBuilder(tool, leaf.elements[place], engine.evaluator(leaf.process), where)


async def parts(engine: Engine, flow: str, leaf: Leaf) -> list[Part]:
    """The jobs of a step, always the same ones. Wide steps let others run in between."""
    found: dict[tuple[Size, int], Part] = {}
    counts: dict[Size, int] = {}
    for place in range(len(leaf.elements)):
        if place % 20 == 19:
            await asyncio.sleep(0)
        made = builder(engine, leaf, place).build()
        counts[made.size] = counts.get(made.size, 0) + 1
        key = made.size, (counts[made.size] - 1) // constants.TASKS_PER_JOB_MAX
        if key not in found:
            found[key] = Part(job_ref(flow, leaf.path, len(found)), made.size, [], [])
        found[key].places.append(place)
        found[key].made.append(made)
    return list(found.values())


def key_of(engine: Engine, leaf: Leaf) -> str:
    """Equal for steps that would do the same with the same files."""
    return digest(engine.plan.processes[leaf.process], [bare(e) for e in leaf.elements])


def submission(part: Part, tool: Tool, hints: Hints, team: str, due_s: float | None, where: str) -> Submission:
    """A part as the job that a user would submit for the same work."""
    try:
        priority = Priority(hints.priority or Priority.NORMAL)
    except ValueError:
        raise FlowError(f"{where}: no such priority {hints.priority}") from None
    made = Submission(
        ref=part.ref,
        job_class=hints.job_class or "workflow",
        team=hints.team or team,
        kind=Kind.ARRAY,
        priority=priority,
        tasks=len(part.places),
        cpus=part.size.cpus,
        gpus=part.size.gpus,
        memory_gb=part.size.memory_gb,
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
        # What users may not submit as a job, no workflow submits either.
        return parse_submission(encode(made))
    except InvalidMessage as err:
        raise FlowError(f"{where}: {err}") from None
