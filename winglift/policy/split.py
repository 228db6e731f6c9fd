"""Division of a job's deadline among its steps (Rodriguez & Buyya, section 4)."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence


def topological_order(steps: Iterable[str], parents: Mapping[str, Sequence[str]]) -> list[str]:
    """The steps in topological order, each after its parents.

    Each step is visited once: searching for the next among all took minutes for a chain of 10,000. Raises ValueError
    if the steps form a cycle.
    """
    left = {step: len(set(parents.get(step, ()))) for step in steps}
    after: dict[str, list[str]] = {}
    for step in left:
        for parent in set(parents.get(step, ())):
            after.setdefault(parent, []).append(step)
    found = [step for step, count in left.items() if not count]
    for step in found:
        for other in after.get(step, ()):
            left[other] -= 1
            if not left[other]:
                found.append(other)
    if len(found) < len(left):
        raise ValueError("the steps depend on one another in a circle")
    return found


def earliest_finish_times(
    run_s: Mapping[str, float],
    parents: Mapping[str, Sequence[str]],
    known: Mapping[str, float],
    start: float,
    order: Sequence[str] | None = None,
) -> dict[str, float]:
    """Earliest finish time of each step.

    `known` holds the real finish times of completed steps, `order` the steps in topological order, if it is
    known already.
    """
    finish: dict[str, float] = {}
    for step in topological_order(run_s, parents) if order is None else order:
        end = known.get(step)
        if end is None:
            end = max([start, *[finish[parent] for parent in parents.get(step, ())]]) + run_s[step]
        finish[step] = end
    return finish


def split_deadline(
    estimates: Sequence[Mapping[str, float]],
    parents: Mapping[str, Sequence[str]],
    start: float,
    deadline: float,
    known: Mapping[str, float] | None = None,
    order: Sequence[str] | None = None,
) -> dict[str, float]:
    """Sub-deadline of each step. `order`: see `earliest_finish_times`.

    `estimates` holds run times by step, one mapping per machine type, slowest first. The slowest type whose
    makespan meets the deadline counts, or else the fastest. The time left over goes to the steps of the chain
    that leads to each step in proportion to run time. `known` holds real finish times: passing them redoes the
    split for the later steps.
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
    # Stretching every step by the same ratio gives each a share in proportion to its run time; when the
    # deadline can't be met the steps keep their earliest finishes.
    stretch = 1 + spare / span if span > 0 and spare > 0 else 1.0
    result: dict[str, float] = {}
    for step, end in finish.items():
        result[step] = known_finish[step] if step in known_finish else begin + max(0.0, end - begin) * stretch
    if span <= 0:
        result.update({step: deadline for step in result if step not in known_finish and spare > 0})
    return result


def sub_deadline(submitted: float, due_s: float | None, run_s: float) -> float:
    """Sub-deadline of a job's only step, due `due_s` after its submission. Without a deadline it is due now."""
    if due_s is None:
        return submitted
    return split_deadline([{"": run_s}], {}, submitted, submitted + due_s)[""]
