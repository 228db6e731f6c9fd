"""A plan as one graph of steps, without scatter and with subworkflows laid open: for division and for pictures."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .. import constants as c
from ..policy.split import split_deadline
from ..wire.flows import Hints, Plan, Tool, Workflow
from .values import FlowError


@dataclass(slots=True)
class Node:
    """A step that runs something: a tool or an expression."""

    path: str
    process: str
    hints: Hints
    scattered: bool
    parents: set[str] = field(default_factory=set)

    @property
    def run_s(self) -> float:
        return c.FLOW_ESTIMATE_S if self.hints.run_s is None else self.hints.run_s


def graph(plan: Plan) -> dict[str, Node]:
    """All such steps by path ("outer/inner"). Raises FlowError where steps depend on one another in a circle."""
    nodes: dict[str, Node] = {}

    def lay(key: str, path: str, given: dict[str, set[str]], hints: Hints, scattered: bool,
            outer: tuple[str, ...]) -> dict[str, set[str]]:
        """Lay a workflow open; `given` names the steps behind each of its inputs, the answer those behind its
        outputs."""
        process = plan.processes[key]
        assert isinstance(process, Workflow)
        if key in outer:
            raise FlowError(f"{path or 'the workflow'}: a workflow runs itself")
        behind = {p.name: given.get(p.name, set()) for p in process.inputs}
        waiting = {step.name: step for step in process.steps}
        own = process.hints.over(hints)
        while waiting:
            ready = [s for s in waiting.values() if all(source in behind for i in s.inputs for source in i.source)]
            if not ready:
                raise FlowError(f"{path or 'the workflow'}: the steps {', '.join(sorted(waiting))} "
                                "depend on one another in a circle")
            for step in ready:
                del waiting[step.name]
                here = f"{path}/{step.name}" if path else step.name
                sources = {i.name: set().union(*(behind[s] for s in i.source)) for i in step.inputs}
                wide = scattered or bool(step.scatter)
                target = plan.processes[step.run]
                if isinstance(target, Workflow):
                    found = lay(step.run, here, sources, step.hints.over(own), wide, (*outer, key))
                    # A condition of the step makes all its steps wait for what it asks.
                    behind.update({f"{step.name}/{name}": found.get(name, set()) for name in step.outputs})
                    continue
                said = target.hints if isinstance(target, Tool) else Hints(run_s=0.0)
                nodes[here] = Node(here, step.run, step.hints.over(said.over(own)), wide,
                                   set().union(*sources.values()) if sources else set())
                behind.update({f"{step.name}/{name}": {here} for name in step.outputs})
        return {o.name: set().union(*(behind[s] for s in o.source)) if o.source else set() for o in process.outputs}

    lay(plan.main, "", {}, Hints(), False, ())
    return nodes


def plain(path: str) -> str:
    """The path without numbers of scattered subworkflows: "a[3]/b" is an instance of "a/b"."""
    return "/".join(part.partition("[")[0] for part in path.split("/"))


def divide(nodes: Mapping[str, Node], start: float, deadline: float, ends: Mapping[str, float],
           widths: Mapping[str, float]) -> dict[str, float]:
    """Sub-deadline of each step, by run time over the whole graph.

    `ends` holds when steps have ended, `widths` how many times in a row a scattered step fills the places that its
    team may have, once that is known. Whenever a step ends or a scatter turns out wider, this is asked anew.
    """
    run_s = {path: node.run_s * widths.get(path, 1.0) for path, node in nodes.items()}
    parents = {path: sorted(node.parents) for path, node in nodes.items()}
    known = {path: end for path, end in ends.items() if path in nodes}
    return split_deadline([run_s], parents, start, deadline, known) if nodes else {}


def critical(nodes: Mapping[str, Node]) -> list[str]:
    """The chain of steps that takes the longest, first to last."""
    finish: dict[str, float] = {}
    before: dict[str, str | None] = {}
    place: dict[str, int] = {}  # of equally long chains the one with more steps
    waiting = dict(nodes)
    while waiting:
        for path in [p for p, n in waiting.items() if all(q in finish for q in n.parents)]:
            node = waiting.pop(path)
            before[path] = max(node.parents, key=lambda p: (finish[p], place[p]), default=None)
            last = before[path]
            place[path] = len(place)
            finish[path] = node.run_s + (finish[last] if last is not None else 0.0)
    chain: list[str] = []
    at = max(finish, key=lambda p: (finish[p], place[p]), default=None)
    while at is not None:
        chain.append(at)
        at = before[at]
    return chain[::-1]
