"""The graph of a plan, to divide deadlines and to draw it: one node for each step, also of nested workflows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .. import constants
from ..policy.split import split_deadline
from ..wire.flows import Hints, Plan, Step, Tool, Workflow, parse_plan
from .values import FlowError


@dataclass(slots=True)
class Node:
    """A step that runs a tool or an expression; one node even if it is scattered."""

    path: str
    process: str
    hints: Hints
    scattered: bool
    parents: set[str] = field(default_factory=set)

    @property
    def run_s(self) -> float:
        """The expected run time."""
        return constants.FLOW_STEP_RUN_DEFAULT_S if self.hints.run_s is None else self.hints.run_s


def graph(plan: Plan) -> dict[str, Node]:
    """The nodes by path ("outer/inner"), parents before their children.

    Raises FlowError if the dependencies form a cycle, or if the graph is too large.
    """
    nodes: dict[str, Node] = {}

    def expand(
        process_key: str,
        path: str,
        input_producers: dict[str, set[str]],
        hints: Hints,
        scattered: bool,
        inherited_parents: set[str],
        enclosing: tuple[str, ...],
    ) -> dict[str, set[str]]:
        """Add the nodes of a workflow and of those nested in it; return the steps that produce each of its outputs.

        `input_producers` holds the steps that produce each of its inputs.
        """
        process = plan.processes[process_key]
        assert isinstance(process, Workflow)
        if process_key in enclosing:
            raise FlowError(f"{path or 'the workflow'}: a workflow runs itself")
        # A short plan can describe a graph beyond all memory: two steps a level, each running the next level.
        if len(enclosing) > constants.FLOW_DEPTH_MAX or len(nodes) + len(process.steps) > constants.FLOW_STEPS_MAX:
            raise FlowError(
                f"{path}: more than {constants.FLOW_DEPTH_MAX} workflows inside one another, "
                f"or {constants.FLOW_STEPS_MAX} steps"
            )
        producers = {p.name: input_producers.get(p.name, set()) for p in process.inputs}
        workflow_hints = process.hints.with_defaults(hints)
        missing = {
            step.name: {s for i in step.inputs for s in i.source if s not in producers} for step in process.steps
        }
        consumers: dict[str, list[Step]] = {}
        for step in process.steps:
            for source in missing[step.name]:
                consumers.setdefault(source, []).append(step)
        ready = [step for step in process.steps if not missing[step.name]]
        for step in ready:
            step_path = f"{path}/{step.name}" if path else step.name
            sources = {i.name: set().union(*(producers[s] for s in i.source)) for i in step.inputs}
            # A step starts once all of its inputs are known, even those that its inner steps don't use.
            parents = inherited_parents.union(*sources.values())
            is_scattered = scattered or bool(step.scatter)
            target = plan.processes[step.run]
            if isinstance(target, Workflow):
                inner_outputs = expand(
                    step.run,
                    step_path,
                    sources,
                    step.hints.with_defaults(workflow_hints),
                    is_scattered,
                    parents,
                    (*enclosing, process_key),
                )
                outputs = {f"{step.name}/{name}": inner_outputs.get(name, set()) for name in step.outputs}
            else:
                tool_hints = target.hints if isinstance(target, Tool) else Hints(run_s=0.0)
                nodes[step_path] = Node(
                    step_path,
                    step.run,
                    step.hints.with_defaults(tool_hints.with_defaults(workflow_hints)),
                    is_scattered,
                    parents,
                )
                outputs = {f"{step.name}/{name}": {step_path} for name in step.outputs}
            producers.update(outputs)
            for source in outputs:
                for consumer in consumers.get(source, ()):
                    missing[consumer.name].discard(source)
                    if not missing[consumer.name]:
                        ready.append(consumer)
        cycle = sorted(name for name, sources_left in missing.items() if sources_left)
        if cycle:
            raise FlowError(f"{path or 'the workflow'}: the steps {', '.join(cycle)} depend on one another in a circle")
        return {o.name: set().union(*(producers[s] for s in o.source)) if o.source else set() for o in process.outputs}

    expand(plan.main, "", {}, Hints(), False, set(), ())
    return nodes


def parse_graph(content: bytes) -> tuple[Plan, dict[str, Node]]:
    """Parse a plan and build its graph. A large plan takes 0.1 s: nodes call this in a thread."""
    plan = parse_plan(content)
    return plan, graph(plan)


def graph_path(path: str) -> str:
    """The path of a step instance in the graph, without scatter indices: "a[3]/b" is an instance of "a/b"."""
    return "/".join(part.partition("[")[0] for part in path.split("/"))


class DeadlineDivision:
    """Divides a deadline among the steps of a graph; repeatedly, as steps end."""

    def __init__(self, nodes: Mapping[str, Node]) -> None:
        self._run_s = {path: node.run_s for path, node in nodes.items()}
        self._parents = {path: tuple(node.parents) for path, node in nodes.items()}
        self._order = list(nodes)  # parents come before their children

    def sub_deadlines(
        self, start: float, deadline: float, end_times: Mapping[str, float], rounds: Mapping[str, float]
    ) -> dict[str, float]:
        """Sub-deadline of each step, by run time over the whole graph.

        `end_times` holds those of ended steps. `rounds` holds, for scattered steps with more tasks than their team
        may run at once, the number of rounds that they need; it is known once the step is ready. To be called again
        when a step ends or the rounds change.
        """
        run_s = self._run_s | {path: self._run_s[path] * count for path, count in rounds.items()}
        return split_deadline([run_s], self._parents, start, deadline, end_times, self._order) if run_s else {}


def divide(
    nodes: Mapping[str, Node],
    start: float,
    deadline: float,
    end_times: Mapping[str, float],
    rounds: Mapping[str, float],
) -> dict[str, float]:
    """Divide a deadline once; see `DeadlineDivision.sub_deadlines`."""
    return DeadlineDivision(nodes).sub_deadlines(start, deadline, end_times, rounds)


def critical(nodes: Mapping[str, Node]) -> list[str]:
    """The longest path by run time, from its first step to its last."""
    finish: dict[str, float] = {}
    predecessor: dict[str, str | None] = {}
    position: dict[str, int] = {}  # breaks ties between paths of equal length
    for path, node in nodes.items():  # parents come before their children
        parent = predecessor[path] = max(node.parents, key=lambda p: (finish[p], position[p]), default=None)
        position[path] = len(position)
        finish[path] = node.run_s + (finish[parent] if parent is not None else 0.0)
    chain: list[str] = []
    step = max(finish, key=lambda p: (finish[p], position[p]), default=None)
    while step is not None:
        chain.append(step)
        step = predecessor[step]
    return chain[::-1]
