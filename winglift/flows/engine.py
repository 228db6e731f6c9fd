"""The state machine of one workflow, without I/O and clock: which steps can run, given the results of others.

The state depends on the results passed in, not on their order, so any node can continue a workflow from its step
records.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from ..wire.flows import UPLOAD_PREFIX, Expression, FlowOutput, Hints, Param, Plan, Step, Tool, Workflow
from .expressions import Evaluator, ExpressionError, JavaScriptEngine
from .values import FlowError, describe_type, find_files, matches_type, merge_sources, nest_values, scatter_inputs


class StepState(Enum):
    WAITING = auto()  # for outputs of other steps
    READY = auto()  # all inputs are known
    RUNNING = auto()  # its leaf or its inner workflows were started
    DONE = auto()
    SKIPPED = auto()


class StepEvent(Enum):
    INPUTS_READY = auto()
    STARTED = auto()
    ENDED = auto()
    SKIP = auto()


_S, _E = StepState, StepEvent
TRANSITIONS = {
    (_S.WAITING, _E.INPUTS_READY): _S.READY,
    (_S.READY, _E.STARTED): _S.RUNNING,
    (_S.READY, _E.SKIP): _S.SKIPPED,
    (_S.RUNNING, _E.ENDED): _S.DONE,
}


class ContentNeeded(Exception):
    """The engine needs the content of the file with this digest to continue."""

    def __init__(self, digest: str) -> None:
        super().__init__(digest)
        self.digest = digest


@dataclass(slots=True, eq=False)
class Leaf:
    """A step that runs a tool or an expression: once, or for each element of a scatter."""

    path: str
    process: str
    hints: Hints
    elements: list[dict[str, Any]]  # the inputs of each element that runs
    instance: StepInstance


@dataclass(slots=True, eq=False)
class StepInstance:
    """A step of a frame."""

    step: Step
    frame: Frame
    path: str
    missing_sources: set[str]
    state: StepState = StepState.WAITING
    shape: list[int] | None = None  # of the nested result lists; None: not scattered
    results: list[dict[str, Any] | None] = field(default_factory=list)  # by element; None: not known yet
    indices: list[int] = field(default_factory=list)  # of the elements that run; `when` skips the others

    def move(self, event: StepEvent) -> StepState:
        """Change the state; no other method does. Raises KeyError if the transition is not allowed."""
        self.state = TRANSITIONS[self.state, event]
        return self.state


@dataclass(slots=True, eq=False)
class Frame:
    """The call frame of a running workflow: the main one, or an element of a step that runs a workflow."""

    path: str
    process_key: str  # of the workflow in `Plan.processes`
    workflow: Workflow
    values: dict[str, Any]
    hints: Hints
    parent: tuple[StepInstance, int] | None
    unfinished_steps: int = 0
    waiting_by_source: dict[str, list[StepInstance]] = field(default_factory=dict)


class Engine:
    """Usage: `start()`; then repeatedly `advance()`, `take_ready()`, and `complete_step()` for each ended leaf."""

    def __init__(self, plan: Plan, order: dict[str, Any], javascript_engine: JavaScriptEngine) -> None:
        self.plan = plan
        self.order = order
        self.javascript_engine = javascript_engine
        self.contents: dict[str, str] = {}  # of the files that `ContentNeeded` asked for, by digest
        self.outputs: dict[str, Any] | None = None  # known once all steps have ended
        self._ready_leaves: list[Leaf] = []
        self._prepare_queue: deque[StepInstance] = deque()
        self._evaluators: dict[str, Evaluator] = {}

    def evaluator(self, process_key: str) -> Evaluator:
        """The evaluator of a process."""
        evaluator = self._evaluators.get(process_key)
        if evaluator is None:
            process = self.plan.processes[process_key]
            evaluator = self._evaluators[process_key] = Evaluator(
                self.javascript_engine, process.javascript, process.library
            )
        return evaluator

    def start(self) -> None:
        """Start the main workflow. Raises ContentNeeded, FlowError."""
        main = self.plan.processes[self.plan.main]
        if not isinstance(main, Workflow):
            raise FlowError("the plan's main process is no workflow")
        self._start_workflow(self.plan.main, "", self.order, Hints(), None)

    def advance(self, steps_max: int | None = None) -> bool:
        """Prepare the steps whose inputs are known, at most `steps_max`; return whether others are left.

        Raises FlowError, and ContentNeeded: it is to be called again once the content is in `contents`.
        """
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

    def take_ready(self) -> list[Leaf]:
        """Return the leaves that became ready since the last call."""
        leaves, self._ready_leaves = self._ready_leaves, []
        return leaves

    def evaluate(self, leaf: Leaf) -> list[dict[str, Any]]:
        """Evaluate an expression tool; return its outputs for each element."""
        process = self.plan.processes[leaf.process]
        assert isinstance(process, Expression)
        results = []
        for inputs in leaf.elements:
            result = self._evaluate_text(
                leaf.process, process.expression, {"inputs": inputs, "self": None, "runtime": {}}, leaf.path
            )
            if not isinstance(result, dict):
                raise FlowError(f"{leaf.path}: the expression gives no object")
            for output in process.outputs:
                if not matches_type(result.get(output.name), output.type):
                    raise FlowError(f"{leaf.path}/{output.name}: expected {describe_type(output.type)}")
            results.append({o.name: result.get(o.name) for o in process.outputs})
        return results

    def complete_step(self, leaf: Leaf, results: list[dict[str, Any]]) -> None:
        """Pass in the outputs of a leaf, one object for each element that ran."""
        instance = leaf.instance
        if len(results) != len(instance.indices):
            raise FlowError(f"{leaf.path}: {len(results)} results of {len(instance.indices)}")
        for index, result in zip(instance.indices, results, strict=True):
            instance.results[index] = result
        self._finish_step(instance)

    # -- workflows -----------------------------------------------------------------------------

    def _start_workflow(
        self, process_key: str, path: str, inputs: dict[str, Any], hints: Hints, parent: tuple[StepInstance, int] | None
    ) -> None:
        workflow = self.plan.processes[process_key]
        assert isinstance(workflow, Workflow)
        values = self._check_inputs(workflow.inputs, inputs, path)
        frame = Frame(
            path, process_key, workflow, values, workflow.hints.with_defaults(hints), parent, len(workflow.steps)
        )
        for step in workflow.steps:
            step_path = f"{path}/{step.name}" if path else step.name
            missing = {s for i in step.inputs for s in i.source if s not in frame.values}
            instance = StepInstance(step, frame, step_path, missing)
            for source in missing:
                frame.waiting_by_source.setdefault(source, []).append(instance)
            if not missing:
                instance.move(StepEvent.INPUTS_READY)
                self._prepare_queue.append(instance)
        if not workflow.steps:
            self._finish_workflow(frame)

    def _finish_workflow(self, frame: Frame) -> None:
        outputs = {output.name: self._workflow_output(frame, output) for output in frame.workflow.outputs}
        if frame.parent is None:
            self.outputs = outputs
            return
        instance, index = frame.parent
        instance.results[index] = outputs
        if all(r is not None for r in instance.results):
            self._finish_step(instance)

    def _workflow_output(self, frame: Frame, output: FlowOutput) -> Any:
        where = f"{frame.path}/{output.name}" if frame.path else output.name
        value = merge_sources(output.source, frame.values, output.several, output.merge, output.pick, where)
        if not matches_type(value, output.type):
            raise FlowError(f"{where}: expected {describe_type(output.type)}")
        return value

    def _finish_step(self, instance: StepInstance, event: StepEvent = StepEvent.ENDED) -> None:
        """Pass the outputs of an ended or skipped step on to the steps that wait for them."""
        instance.move(event)
        frame = instance.frame
        for name in instance.step.outputs:
            values = [(r or {}).get(name) for r in instance.results]
            value = values[0] if instance.shape is None else nest_values(values, instance.shape)
            source = f"{instance.step.name}/{name}"
            frame.values[source] = value
            for waiting in frame.waiting_by_source.pop(source, ()):
                waiting.missing_sources.discard(source)
                if not waiting.missing_sources and waiting.state is StepState.WAITING:
                    waiting.move(StepEvent.INPUTS_READY)
                    self._prepare_queue.append(waiting)
        frame.unfinished_steps -= 1
        if frame.unfinished_steps == 0:
            self._finish_workflow(frame)

    # -- steps ---------------------------------------------------------------------------------

    def _evaluate_text(self, process_key: str, text: Any, names: dict[str, Any], where: str) -> Any:
        try:
            return self.evaluator(process_key)(text, names)
        except ExpressionError as err:
            raise FlowError(f"{where}: {err}") from None

    def _load_contents(self, value: Any) -> Any:
        """The value, with the contents of its files. Raises ContentNeeded for the first content that is missing."""
        for file in find_files(value):
            if "contents" not in file:
                digest = file["location"].removeprefix(UPLOAD_PREFIX)
                if digest not in self.contents:
                    raise ContentNeeded(digest)
        if isinstance(value, dict) and value.get("class") == "File" and "contents" not in value:
            return value | {"contents": self.contents[value["location"].removeprefix(UPLOAD_PREFIX)]}
        if isinstance(value, list):
            return [self._load_contents(v) for v in value]
        return value

    def _check_inputs(self, params: list[Param], given: dict[str, Any], where: str) -> dict[str, Any]:
        """The inputs of a process, with defaults and contents. Raises ContentNeeded, or FlowError for a wrong type."""
        checked = {}
        for param in params:
            value = given.get(param.name)
            if value is None:
                value = param.default
            if not matches_type(value, param.type):
                raise FlowError(f"{where}/{param.name}: expected {describe_type(param.type)}".lstrip("/"))
            checked[param.name] = self._load_contents(value) if param.load else value
        return checked

    def _prepare_step(self, instance: StepInstance) -> None:
        """Start a step whose inputs are all known: add its leaf to the ready ones, or start its inner workflows."""
        step, frame = instance.step, instance.frame
        step_inputs: dict[str, Any] = {}
        for sink in step.inputs:
            value = merge_sources(
                sink.source, frame.values, sink.several, sink.merge, sink.pick, f"{instance.path}/{sink.name}"
            )
            value = sink.default if value is None else value
            step_inputs[sink.name] = self._load_contents(value) if sink.load else value
        element_inputs, shape = (
            ([step_inputs], None)
            if not step.scatter
            else scatter_inputs(step.scatter, step.method, step_inputs, instance.path)
        )
        process = self.plan.processes[step.run]
        process_key = frame.process_key
        elements_to_run: list[tuple[int, dict[str, Any]]] = []
        for index, scattered_inputs in enumerate(element_inputs):
            inputs = dict(scattered_inputs)
            for sink in step.inputs:
                if sink.value_from is not None:
                    inputs[sink.name] = self._evaluate_text(
                        process_key,
                        sink.value_from,
                        {"inputs": scattered_inputs, "self": scattered_inputs[sink.name], "runtime": {}},
                        f"{instance.path}/{sink.name}",
                    )
            if step.when is not None:
                condition = self._evaluate_text(
                    process_key, step.when, {"inputs": inputs, "self": None, "runtime": {}}, instance.path
                )
                if not isinstance(condition, bool):
                    raise FlowError(f"{instance.path}: when gives neither true nor false")
                if not condition:
                    continue
            elements_to_run.append((index, inputs))
        # Loads the contents: nothing below raises `ContentNeeded`, so the state of the step changes only once.
        checked = [(index, self._check_inputs(process.inputs, i, instance.path)) for index, i in elements_to_run]
        instance.shape = shape
        instance.results = [{} for _ in element_inputs]
        instance.indices = [index for index, _ in checked]
        if not checked:
            if element_inputs:
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
                inner_path = instance.path if shape is None else f"{instance.path}[{index}]"
                self._start_workflow(
                    step.run, inner_path, inputs, step.hints.with_defaults(frame.hints), (instance, index)
                )
            return
        tool_hints = process.hints if isinstance(process, Tool) else Hints()
        hints = step.hints.with_defaults(tool_hints.with_defaults(frame.hints))
        self._ready_leaves.append(Leaf(instance.path, step.run, hints, [i for _, i in checked], instance))
