"""Division of a workflow's deadline into sub-deadlines of its steps (Rodriguez & Buyya, section 4)."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence


def topological_order(steps: Iterable[str], parents: Mapping[str, Sequence[str]]) -> list[str]:
    """The steps in topological order, each after its parents.

    Each step is visited once: searching all steps for the next one took minutes for a chain of 10,000. Raises
    ValueError if the steps form a cycle.
    """
    unfinished_parents = {step: len(set(parents.get(step, ()))) for step in steps}
    children: dict[str, list[str]] = {}
    for step in unfinished_parents:
        for parent in set(parents.get(step, ())):
            children.setdefault(parent, []).append(step)
    order = [step for step, count in unfinished_parents.items() if not count]
    for step in order:
        for child in children.get(step, ()):
            unfinished_parents[child] -= 1
            if not unfinished_parents[child]:
                order.append(child)
    if len(order) < len(unfinished_parents):
        raise ValueError("the dependencies of the steps form a cycle")
    return order


def earliest_finish_times(
    run_s: Mapping[str, float],
    parents: Mapping[str, Sequence[str]],
    known: Mapping[str, float],
    start: float,
    order: Sequence[str] | None = None,
) -> dict[str, float]:
    """The earliest finish time of each step.

    `known` holds the actual finish times of completed steps, `order` the steps in topological order if the caller has
    computed it already.
    """
    finish: dict[str, float] = {}
    for step in topological_order(run_s, parents) if order is None else order:
        finish_time = known.get(step)
        if finish_time is None:
            finish_time = max([start, *[finish[parent] for parent in parents.get(step, ())]]) + run_s[step]
        finish[step] = finish_time
    return finish


def split_deadline(
    estimates: Sequence[Mapping[str, float]],
    parents: Mapping[str, Sequence[str]],
    start: float,
    deadline: float,
    known: Mapping[str, float] | None = None,
    order: Sequence[str] | None = None,
) -> dict[str, float]:
    """The sub-deadline of each step. `order`: see `earliest_finish_times`.

    `estimates` holds run times by step, one mapping per machine type, slowest first. The slowest type whose makespan
    meets the deadline is used, or else the fastest. Spare time is distributed over the chain of steps that leads to
    each step, in proportion to their run times. `known` holds the actual finish times of completed steps: with them,
    the sub-deadlines of the later steps are computed again.
    """
    known_finish = known or {}
    finish: dict[str, float] = {}
    run_s: Mapping[str, float] = {}
    for run_s in estimates:
        finish = earliest_finish_times(run_s, parents, known_finish, start, order)
        if max(finish.values()) <= deadline:
            break
    begin = max([start, *known_finish.values()]) if known_finish else start
    span = max(finish.values()) - begin
    spare = deadline - max(finish.values())
    # Stretching every step by the same ratio gives each a share in proportion to its run time. If the deadline can't
    # be met, the steps keep their earliest finish times.
    stretch = 1 + spare / span if span > 0 and spare > 0 else 1.0
    sub_deadlines: dict[str, float] = {}
    for step, finish_time in finish.items():
        sub_deadlines[step] = (
            known_finish[step] if step in known_finish else begin + max(0.0, finish_time - begin) * stretch
        )
    if span <= 0:
        sub_deadlines.update({step: deadline for step in sub_deadlines if step not in known_finish and spare > 0})
    return sub_deadlines


def sub_deadline(submitted: float, due_s: float | None, run_s: float) -> float:
    """The sub-deadline of a job with one step, due `due_s` after submission; at once if `due_s` is None."""
    if due_s is None:
        return submitted
    return split_deadline([{"": run_s}], {}, submitted, submitted + due_s)[""]
