"""The course of one workflow, without I/O and clock: which steps can run, and what follows from their ends.

What happened so far is fed in; the same ends lead to the same state in whatever order they come, so any node continues
a workflow from the records of its ended steps.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from ..wire.flows import UPLOAD_PREFIX, Expression, FlowOutput, Hints, Param, Plan, Step, Tool, Workflow
from .expressions import Evaluator, ExpressionError, JavaScriptEngine
from .values import FlowError, describe_type, files_of, gather, matches_type, nest, scatter


class StepState(Enum):
    WAITING = auto()  # for what it takes from other steps
    READY = auto()  # its inputs are known
    OPEN = auto()  # handed out to be run, or its inner workflows run
    DONE = auto()
    SKIPPED = auto()


class StepEvent(Enum):
    ARRIVED = auto()  # the last of its inputs
    TAKEN = auto()
    ENDED = auto()
    SKIP = auto()


_S, _E = StepState, StepEvent
TRANSITIONS = {
    (_S.WAITING, _E.ARRIVED): _S.READY,
    (_S.READY, _E.TAKEN): _S.OPEN,
    (_S.READY, _E.SKIP): _S.SKIPPED,
    (_S.OPEN, _E.ENDED): _S.DONE,
}


class ContentNeeded(Exception):
    """The content of a file is needed to go on: `digest`."""

    def __init__(self, digest: str) -> None:
        super().__init__(digest)
        self.digest = digest


@dataclass(slots=True, eq=False)
class Leaf:
    """A step that runs a tool or an expression, once or for each element of a scatter."""

    path: str
    process: str
    hints: Hints
    elements: list[dict[str, Any]]  # inputs of those that run
    node: Instance


@dataclass(slots=True, eq=False)
class Instance:
    """One step of one frame."""

    step: Step
    frame: Frame
    path: str
    missing: set[str]
    state: StepState = StepState.WAITING
    shape: list[int] | None = None  # of the result, where it is scattered
    results: list[dict[str, Any] | None] = field(default_factory=list)  # per element; None: not there yet
    places: list[int] = field(default_factory=list)  # numbers of the elements that run

    def move(self, event: StepEvent) -> StepState:
        """The one place where a step changes its state."""
        self.state = TRANSITIONS[self.state, event]
        return self.state


@dataclass(slots=True, eq=False)
class Frame:
    """A workflow that runs: the whole, or an element of a step that runs a workflow."""

    path: str
    key: str  # of its process
    workflow: Workflow
    values: dict[str, Any]
    hints: Hints
    parent: tuple[Instance, int] | None
    left: int = 0
    waiting: dict[str, list[Instance]] = field(default_factory=dict)  # by source


class Engine:
    """Usage: `start()`; then again and again `advance()`, `take_ready()` what is ready, and `end()` what has ended."""

    def __init__(self, plan: Plan, order: dict[str, Any], javascript_engine: JavaScriptEngine) -> None:
        self.plan = plan
        self.order = order
        self.javascript_engine = javascript_engine
        self.contents: dict[str, str] = {}  # of files that are asked for, by digest
        self.outputs: dict[str, Any] | None = None  # once all is done
        self._ready: list[Leaf] = []
        self._queue: deque[Instance] = deque()
        self._evaluators: dict[str, Evaluator] = {}

    def evaluator(self, key: str) -> Evaluator:
        found = self._evaluators.get(key)
        if found is None:
            process = self.plan.processes[key]
            found = self._evaluators[key] = Evaluator(self.javascript_engine, process.javascript, process.library)
        return found

    def start(self) -> None:
        main = self.plan.processes[self.plan.main]
        if not isinstance(main, Workflow):
            raise FlowError("the plan's main process is no workflow")
        self._open(self.plan.main, "", self.order, Hints(), None)

    def advance(self, most: int | None = None) -> bool:
        """Follow what is known, up to so many steps; is there more? Raises FlowError, and ContentNeeded: called
        again once the content is there."""
        looked = 0
        while self._queue and (most is None or looked < most):
            looked += 1
            try:
                self._prepare(self._queue[0])
            except FlowError:
                self._queue.popleft()
                raise
            self._queue.popleft()
        return bool(self._queue)

    def take_ready(self) -> list[Leaf]:
        found, self._ready = self._ready, []
        return found

    def evaluate(self, leaf: Leaf) -> list[dict[str, Any]]:
        """What an expression tool gives for each element."""
        process = self.plan.processes[leaf.process]
        assert isinstance(process, Expression)
        found = []
        for inputs in leaf.elements:
            result = self._ask(
                leaf.process, process.expression, {"inputs": inputs, "self": None, "runtime": {}}, leaf.path
            )
            if not isinstance(result, dict):
                raise FlowError(f"{leaf.path}: the expression gives no object")
            for out in process.outputs:
                if not matches_type(result.get(out.name), out.type):
                    raise FlowError(f"{leaf.path}/{out.name}: expected {describe_type(out.type)}")
            found.append({o.name: result.get(o.name) for o in process.outputs})
        return found

    def end(self, leaf: Leaf, results: list[dict[str, Any]]) -> None:
        """A leaf has ended with these outputs, one object for each element that ran."""
        node = leaf.node
        if len(results) != len(node.places):
            raise FlowError(f"{leaf.path}: {len(results)} results of {len(node.places)}")
        for place, result in zip(node.places, results, strict=True):
            node.results[place] = result
        self._ended(node)

    # -- frames --------------------------------------------------------------------------------

    def _open(
        self, key: str, path: str, inputs: dict[str, Any], hints: Hints, parent: tuple[Instance, int] | None
    ) -> None:
        workflow = self.plan.processes[key]
        assert isinstance(workflow, Workflow)
        values = self._check(workflow.inputs, inputs, path)
        frame = Frame(path, key, workflow, values, workflow.hints.with_defaults(hints), parent, len(workflow.steps))
        for step in workflow.steps:
            here = f"{path}/{step.name}" if path else step.name
            missing = {s for i in step.inputs for s in i.source if s not in frame.values}
            instance = Instance(step, frame, here, missing)
            for source in missing:
                frame.waiting.setdefault(source, []).append(instance)
            if not missing:
                instance.move(StepEvent.ARRIVED)
                self._queue.append(instance)
        if not workflow.steps:
            self._close(frame)

    def _close(self, frame: Frame) -> None:
        made = {o.name: self._output(frame, o) for o in frame.workflow.outputs}
        if frame.parent is None:
            self.outputs = made
            return
        node, place = frame.parent
        node.results[place] = made
        if all(r is not None for r in node.results):
            self._ended(node)

    def _output(self, frame: Frame, out: FlowOutput) -> Any:
        where = f"{frame.path}/{out.name}" if frame.path else out.name
        value = gather(out.source, frame.values, out.several, out.merge, out.pick, where)
        if not matches_type(value, out.type):
            raise FlowError(f"{where}: expected {describe_type(out.type)}")
        return value

    def _ended(self, node: Instance, event: StepEvent = StepEvent.ENDED) -> None:
        node.move(event)
        frame = node.frame
        for name in node.step.outputs:
            values = [(r or {}).get(name) for r in node.results]
            value = values[0] if node.shape is None else nest(values, node.shape)
            source = f"{node.step.name}/{name}"
            frame.values[source] = value
            for other in frame.waiting.pop(source, ()):
                other.missing.discard(source)
                if not other.missing and other.state is StepState.WAITING:
                    other.move(StepEvent.ARRIVED)
                    self._queue.append(other)
        frame.left -= 1
        if frame.left == 0:
            self._close(frame)

    # -- one step ------------------------------------------------------------------------------

    def _ask(self, key: str, text: Any, names: dict[str, Any], where: str) -> Any:
        try:
            return self.evaluator(key)(text, names)
        except ExpressionError as err:
            raise FlowError(f"{where}: {err}") from None

    def _load(self, value: Any) -> Any:
        """Files with their contents."""
        for file in files_of(value):
            if "contents" not in file:
                digest = file["location"].removeprefix(UPLOAD_PREFIX)
                if digest not in self.contents:
                    raise ContentNeeded(digest)
        if isinstance(value, dict) and value.get("class") == "File" and "contents" not in value:
            return value | {"contents": self.contents[value["location"].removeprefix(UPLOAD_PREFIX)]}
        if isinstance(value, list):
            return [self._load(v) for v in value]
        return value

    def _check(self, params: list[Param], given: dict[str, Any], where: str) -> dict[str, Any]:
        made = {}
        for param in params:
            value = given.get(param.name)
            if value is None:
                value = param.default
            if not matches_type(value, param.type):
                raise FlowError(f"{where}/{param.name}: expected {describe_type(param.type)}".lstrip("/"))
            made[param.name] = self._load(value) if param.load else value
        return made

    def _prepare(self, node: Instance) -> None:
        """A step whose inputs are all there: what is to run."""
        step, frame = node.step, node.frame
        given: dict[str, Any] = {}
        for sink in step.inputs:
            value = gather(sink.source, frame.values, sink.several, sink.merge, sink.pick, f"{node.path}/{sink.name}")
            value = sink.default if value is None else value
            given[sink.name] = self._load(value) if sink.load else value
        rows, shape = ([given], None) if not step.scatter else scatter(step.scatter, step.method, given, node.path)
        process = self.plan.processes[step.run]
        key = frame.key
        run: list[tuple[int, dict[str, Any]]] = []
        for place, row in enumerate(rows):
            inputs = dict(row)
            for sink in step.inputs:
                if sink.value_from is not None:
                    inputs[sink.name] = self._ask(
                        key,
                        sink.value_from,
                        {"inputs": row, "self": row[sink.name], "runtime": {}},
                        f"{node.path}/{sink.name}",
                    )
            if step.when is not None:
                wanted = self._ask(key, step.when, {"inputs": inputs, "self": None, "runtime": {}}, node.path)
                if not isinstance(wanted, bool):
                    raise FlowError(f"{node.path}: when gives neither true nor false")
                if not wanted:
                    continue
            run.append((place, inputs))
        # From here on nothing can be asked for: the step's state changes once.
        checked = [(place, self._check(process.inputs, i, node.path)) for place, i in run]
        node.shape = shape
        node.results = [{} for _ in rows]
        node.places = [place for place, _ in checked]
        if not checked:
            if rows:
                self._ended(node, StepEvent.SKIP)
            else:
                node.move(StepEvent.TAKEN)
                self._ended(node)
            return
        node.move(StepEvent.TAKEN)
        if isinstance(process, Workflow):
            for place, _ in checked:
                node.results[place] = None
            for place, inputs in checked:
                inner = node.path if shape is None else f"{node.path}[{place}]"
                self._open(step.run, inner, inputs, step.hints.with_defaults(frame.hints), (node, place))
            return
        said = process.hints if isinstance(process, Tool) else Hints()
        hints = step.hints.with_defaults(said.with_defaults(frame.hints))
        self._ready.append(Leaf(node.path, step.run, hints, [i for _, i in checked], node))
