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
from .expressions import Engines, Evaluator, ExpressionError
from .values import FlowError, describe, find_files, fits, merge_sources, nest_values, scatter_inputs


class StepState(Enum):
    WAITING = auto()  # for what it takes from other steps
    READY = auto()  # its inputs are known
    OPEN = auto()  # handed out to be run, or its inner workflows run
    DONE = auto()
    SKIPPED = auto()


class StepEvent(Enum):
    INPUTS_READY = auto()  # the last of its inputs
    STARTED = auto()
    ENDED = auto()
    SKIP = auto()


_S, _E = StepState, StepEvent
TRANSITIONS = {
    (_S.WAITING, _E.INPUTS_READY): _S.READY,
    (_S.READY, _E.STARTED): _S.OPEN,
    (_S.READY, _E.SKIP): _S.SKIPPED,
    (_S.OPEN, _E.ENDED): _S.DONE,
}


class Needs(Exception):
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
    instance: StepInstance


@dataclass(slots=True, eq=False)
class StepInstance:
    """One step of one frame."""

    step: Step
    frame: Frame
    path: str
    missing_sources: set[str]
    state: StepState = StepState.WAITING
    shape: list[int] | None = None  # of the result, where it is scattered
    results: list[dict[str, Any] | None] = field(default_factory=list)  # per element; None: not there yet
    indices: list[int] = field(default_factory=list)  # numbers of the elements that run

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
    parent: tuple[StepInstance, int] | None
    unfinished_steps: int = 0
    waiting_by_source: dict[str, list[StepInstance]] = field(default_factory=dict)  # by source


class Engine:
    """Usage: `start()`; then again and again `go()`, `take()` what is ready, and `complete_step()` what has ended."""

    def __init__(self, plan: Plan, order: dict[str, Any], engines: Engines) -> None:
        self.plan = plan
        self.order = order
        self.engines = engines
        self.contents: dict[str, str] = {}  # of files that are asked for, by digest
        self.outputs: dict[str, Any] | None = None  # once all is done
        self._ready_leaves: list[Leaf] = []
        self._prepare_queue: deque[StepInstance] = deque()
        self._evaluators: dict[str, Evaluator] = {}

    def evaluator(self, key: str) -> Evaluator:
        found = self._evaluators.get(key)
        if found is None:
            process = self.plan.processes[key]
            found = self._evaluators[key] = Evaluator(self.engines, process.javascript, process.library)
        return found

    def start(self) -> None:
        main = self.plan.processes[self.plan.main]
        if not isinstance(main, Workflow):
            raise FlowError("the plan's main process is no workflow")
        self._start_workflow(self.plan.main, "", self.order, Hints(), None)

    def go(self, steps_max: int | None = None) -> bool:
        """Follow what is known, up to so many steps; is there more? Raises Needs, FlowError; after Needs it is called
        again with the content there."""
        prepared = 0
        while self._prepare_queue and (steps_max is None or prepared < steps_max):
            prepared += 1
            try:
                self._prepare_step(self._prepare_queue[0])
            except FlowError:
                self._prepare_queue.popleft()
                raise
            self._prepare_queue.popleft()
        return bool(self._prepare_queue)

    def take(self) -> list[Leaf]:
        found, self._ready_leaves = self._ready_leaves, []
        return found

    def evaluate(self, leaf: Leaf) -> list[dict[str, Any]]:
        """What an expression tool gives for each element."""
        process = self.plan.processes[leaf.process]
        assert isinstance(process, Expression)
        found = []
        for inputs in leaf.elements:
            result = self._evaluate_text(
                leaf.process, process.expression, {"inputs": inputs, "self": None, "runtime": {}}, leaf.path
            )
            if not isinstance(result, dict):
                raise FlowError(f"{leaf.path}: the expression gives no object")
            for out in process.outputs:
                if not fits(result.get(out.name), out.type):
                    raise FlowError(f"{leaf.path}/{out.name}: expected {describe(out.type)}")
            found.append({o.name: result.get(o.name) for o in process.outputs})
        return found

    def complete_step(self, leaf: Leaf, results: list[dict[str, Any]]) -> None:
        """A leaf has ended with these outputs, one object for each element that ran."""
        instance = leaf.instance
        if len(results) != len(instance.indices):
            raise FlowError(f"{leaf.path}: {len(results)} results of {len(instance.indices)}")
        for index, result in zip(instance.indices, results, strict=True):
            instance.results[index] = result
        self._finish_step(instance)

    # -- frames --------------------------------------------------------------------------------

    def _start_workflow(
        self, key: str, path: str, inputs: dict[str, Any], hints: Hints, parent: tuple[StepInstance, int] | None
    ) -> None:
        workflow = self.plan.processes[key]
        assert isinstance(workflow, Workflow)
        values = self._check_inputs(workflow.inputs, inputs, path)
        frame = Frame(path, key, workflow, values, workflow.hints.with_defaults(hints), parent, len(workflow.steps))
        for step in workflow.steps:
            here = f"{path}/{step.name}" if path else step.name
            missing_sources = {s for i in step.inputs for s in i.source if s not in frame.values}
            instance = StepInstance(step, frame, here, missing_sources)
            for source in missing_sources:
                frame.waiting_by_source.setdefault(source, []).append(instance)
            if not missing_sources:
                instance.move(StepEvent.INPUTS_READY)
                self._prepare_queue.append(instance)
        if not workflow.steps:
            self._finish_workflow(frame)

    def _finish_workflow(self, frame: Frame) -> None:
        made = {o.name: self._workflow_output(frame, o) for o in frame.workflow.outputs}
        if frame.parent is None:
            self.outputs = made
            return
        instance, index = frame.parent
        instance.results[index] = made
        if all(r is not None for r in instance.results):
            self._finish_step(instance)

    def _workflow_output(self, frame: Frame, out: FlowOutput) -> Any:
        where = f"{frame.path}/{out.name}" if frame.path else out.name
        value = merge_sources(out.source, frame.values, out.several, out.merge, out.pick, where)
        if not fits(value, out.type):
            raise FlowError(f"{where}: expected {describe(out.type)}")
        return value

    def _finish_step(self, instance: StepInstance, event: StepEvent = StepEvent.ENDED) -> None:
        instance.move(event)
        frame = instance.frame
        for name in instance.step.outputs:
            values = [(r or {}).get(name) for r in instance.results]
            value = values[0] if instance.shape is None else nest_values(values, instance.shape)
            source = f"{instance.step.name}/{name}"
            frame.values[source] = value
            for other in frame.waiting_by_source.pop(source, ()):
                other.missing_sources.discard(source)
                if not other.missing_sources and other.state is StepState.WAITING:
                    other.move(StepEvent.INPUTS_READY)
                    self._prepare_queue.append(other)
        frame.unfinished_steps -= 1
        if frame.unfinished_steps == 0:
            self._finish_workflow(frame)

    # -- one step ------------------------------------------------------------------------------

    def _evaluate_text(self, key: str, text: Any, names: dict[str, Any], where: str) -> Any:
        try:
            return self.evaluator(key)(text, names)
        except ExpressionError as err:
            raise FlowError(f"{where}: {err}") from None

    def _load_contents(self, value: Any) -> Any:
        """Files with their contents."""
        for file in find_files(value):
            if "contents" not in file:
                digest = file["location"].removeprefix(UPLOAD_PREFIX)
                if digest not in self.contents:
                    raise Needs(digest)
        if isinstance(value, dict) and value.get("class") == "File" and "contents" not in value:
            return value | {"contents": self.contents[value["location"].removeprefix(UPLOAD_PREFIX)]}
        if isinstance(value, list):
            return [self._load_contents(v) for v in value]
        return value

    def _check_inputs(self, params: list[Param], given: dict[str, Any], where: str) -> dict[str, Any]:
        made = {}
        for param in params:
            value = given.get(param.name)
            if value is None:
                value = param.default
            if not fits(value, param.type):
                raise FlowError(f"{where}/{param.name}: expected {describe(param.type)}".lstrip("/"))
            made[param.name] = self._load_contents(value) if param.load else value
        return made

    def _prepare_step(self, instance: StepInstance) -> None:
        """A step whose inputs are all there: what is to run."""
        step, frame = instance.step, instance.frame
        given: dict[str, Any] = {}
        for sink in step.inputs:
            value = merge_sources(
                sink.source, frame.values, sink.several, sink.merge, sink.pick, f"{instance.path}/{sink.name}"
            )
            value = sink.default if value is None else value
            given[sink.name] = self._load_contents(value) if sink.load else value
        rows, shape = (
            ([given], None) if not step.scatter else scatter_inputs(step.scatter, step.method, given, instance.path)
        )
        process = self.plan.processes[step.run]
        key = frame.key
        run: list[tuple[int, dict[str, Any]]] = []
        for index, row in enumerate(rows):
            inputs = dict(row)
            for sink in step.inputs:
                if sink.value_from is not None:
                    inputs[sink.name] = self._evaluate_text(
                        key,
                        sink.value_from,
                        {"inputs": row, "self": row[sink.name], "runtime": {}},
                        f"{instance.path}/{sink.name}",
                    )
            if step.when is not None:
                wanted = self._evaluate_text(
                    key, step.when, {"inputs": inputs, "self": None, "runtime": {}}, instance.path
                )
                if not isinstance(wanted, bool):
                    raise FlowError(f"{instance.path}: when gives neither true nor false")
                if not wanted:
                    continue
            run.append((index, inputs))
        # From here on nothing can be asked for: the step's state changes once.
        checked = [(index, self._check_inputs(process.inputs, i, instance.path)) for index, i in run]
        instance.shape = shape
        instance.results = [{} for _ in rows]
        instance.indices = [index for index, _ in checked]
        if not checked:
            if rows:
                self._finish_step(instance, StepEvent.SKIP)
            else:
                instance.move(StepEvent.STARTED)
                self._finish_step(instance)
            return
        instance.move(StepEvent.STARTED)
        if isinstance(process, Workflow):
            for index, _ in checked:
                instance.results[index] = None
            for index, inputs in checked:
                inner = instance.path if shape is None else f"{instance.path}[{index}]"
                self._start_workflow(step.run, inner, inputs, step.hints.with_defaults(frame.hints), (instance, index))
            return
        said = process.hints if isinstance(process, Tool) else Hints()
        hints = step.hints.with_defaults(said.with_defaults(frame.hints))
        self._ready_leaves.append(Leaf(instance.path, step.run, hints, [i for _, i in checked], instance))
