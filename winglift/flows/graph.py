"""A plan as one graph of steps, without scatter and with subworkflows laid open: for division and for pictures."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .. import constants
from ..policy.split import split_deadline
from ..wire.flows import Hints, Plan, Step, Tool, Workflow, parse_plan
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
        return constants.FLOW_STEP_RUN_DEFAULT_S if self.hints.run_s is None else self.hints.run_s


def graph(plan: Plan) -> dict[str, Node]:
    """All such steps by path ("outer/inner"), parents before their children.

    Raises FlowError where steps depend on one another in a circle.
    """
    nodes: dict[str, Node] = {}

    def lay(
        key: str,
        path: str,
        given: dict[str, set[str]],
        hints: Hints,
        scattered: bool,
        base: set[str],
        outer: tuple[str, ...],
    ) -> dict[str, set[str]]:
        """Lay a workflow open; `given` names the steps behind each of its inputs, the answer those behind its
        outputs."""
        process = plan.processes[key]
        assert isinstance(process, Workflow)
        if key in outer:
            raise FlowError(f"{path or 'the workflow'}: a workflow runs itself")
        # A few lines can describe a graph that no memory holds: two steps a level, each running the next level.
        if len(outer) > constants.FLOW_DEPTH_MAX or len(nodes) + len(process.steps) > constants.FLOW_STEPS_MAX:
            raise FlowError(
                f"{path}: more than {constants.FLOW_DEPTH_MAX} workflows inside one another, "
                f"or {constants.FLOW_STEPS_MAX} steps"
            )
        behind = {p.name: given.get(p.name, set()) for p in process.inputs}
        own = process.hints.with_defaults(hints)
        missing = {step.name: {s for i in step.inputs for s in i.source if s not in behind} for step in process.steps}
        takers: dict[str, list[Step]] = {}
        for step in process.steps:
            for source in missing[step.name]:
                takers.setdefault(source, []).append(step)
        ready = [step for step in process.steps if not missing[step.name]]
        for step in ready:
            here = f"{path}/{step.name}" if path else step.name
            sources = {i.name: set().union(*(behind[s] for s in i.source)) for i in step.inputs}
            # A step begins when all that it takes is there, whatever of it its inner steps use.
            parents = base.union(*sources.values())
            wide = scattered or bool(step.scatter)
            target = plan.processes[step.run]
            if isinstance(target, Workflow):
                found = lay(step.run, here, sources, step.hints.with_defaults(own), wide, parents, (*outer, key))
                made = {f"{step.name}/{name}": found.get(name, set()) for name in step.outputs}
            else:
                said = target.hints if isinstance(target, Tool) else Hints(run_s=0.0)
                nodes[here] = Node(here, step.run, step.hints.with_defaults(said.with_defaults(own)), wide, parents)
                made = {f"{step.name}/{name}": {here} for name in step.outputs}
            behind.update(made)
            for source in made:
                for other in takers.get(source, ()):
                    missing[other.name].discard(source)
                    if not missing[other.name]:
                        ready.append(other)
        circle = sorted(name for name, left in missing.items() if left)
        if circle:
            raise FlowError(
                f"{path or 'the workflow'}: the steps {', '.join(circle)} depend on one another in a circle"
            )
        return {o.name: set().union(*(behind[s] for s in o.source)) if o.source else set() for o in process.outputs}

    lay(plan.main, "", {}, Hints(), False, set(), ())
    return nodes


def lay_open(content: bytes) -> tuple[Plan, dict[str, Node]]:
    """A plan and its graph. A large one takes a tenth of a second: nodes call this in a thread."""
    plan = parse_plan(content)
    return plan, graph(plan)


def graph_path(path: str) -> str:
    """The path without numbers of scattered subworkflows: "a[3]/b" is an instance of "a/b"."""
    return "/".join(part.partition("[")[0] for part in path.split("/"))


class Division:
    """Divides a deadline among the steps of a graph, again and again as they end."""

    def __init__(self, nodes: Mapping[str, Node]) -> None:
        self._run_s = {path: node.run_s for path, node in nodes.items()}
        self._parents = {path: tuple(node.parents) for path, node in nodes.items()}
        self._order = list(nodes)  # parents come before their children

    def at(
        self, start: float, deadline: float, ends: Mapping[str, float], widths: Mapping[str, float]
    ) -> dict[str, float]:
        """Sub-deadline of each step, by run time over the whole graph.

        `ends` holds when steps have ended, `widths` how many times in a row a scattered step fills the places that its
        team may have, once that is known. Whenever a step ends or a scatter turns out wider, this is asked anew.
        """
        run_s = self._run_s | {path: self._run_s[path] * width for path, width in widths.items()}
        return split_deadline([run_s], self._parents, start, deadline, ends, self._order) if run_s else {}


def divide(
    nodes: Mapping[str, Node], start: float, deadline: float, ends: Mapping[str, float], widths: Mapping[str, float]
) -> dict[str, float]:
    """One division; see `Division.at`."""
    return Division(nodes).at(start, deadline, ends, widths)


def critical(nodes: Mapping[str, Node]) -> list[str]:
    """The chain of steps that takes the longest, first to last."""
    finish: dict[str, float] = {}
    before: dict[str, str | None] = {}
    place: dict[str, int] = {}  # of equally long chains the one with more steps
    for path, node in nodes.items():  # parents come before their children
        last = before[path] = max(node.parents, key=lambda p: (finish[p], place[p]), default=None)
        place[path] = len(place)
        finish[path] = node.run_s + (finish[last] if last is not None else 0.0)
    chain: list[str] = []
    at = max(finish, key=lambda p: (finish[p], place[p]), default=None)
    while at is not None:
        chain.append(at)
        at = before[at]
    return chain[::-1]
