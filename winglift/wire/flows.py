"""Messages about workflows: the plan made from CWL files, the answers of nodes, and tasks and results of workers.

A plan holds checked processes by name, without references to files. Types are normalised to a name ("null", "boolean",
"int", "long", "float", "double", "string", "File", "Directory", "Any"), a list of alternatives, {"array": T},
{"enum": [names]} or {"record": {field: T}}. The content of a file is referred to by its SHA-256.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Any

import msgspec

from .users import InvalidMessage

FLOW_REF = re.compile(r"fl-[0-9]{1,20}\Z")
DIGEST = re.compile(r"[0-9a-f]{64}\Z")
UPLOAD_PREFIX = "sha256:"  # prefix of a file's location: its content is the upload with this SHA-256
TASK_DIR = "/winglift-task"  # placeholder for the directory (with in, out and tmp) that a worker creates for a task


class FlowState(StrEnum):
    """The state of a workflow."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class StepOutcome(StrEnum):
    """How a step ended."""

    DONE = "done"
    FAILED = "failed"
    SKIPPED = "skipped"


class Binding(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a value is turned into command-line arguments (CWL CommandLineBinding)."""

    position: int | str = 0
    prefix: str | None = None
    separate: bool = True
    item_separator: str | None = None
    value_from: str | None = None


class Param(msgspec.Struct, frozen=True, omit_defaults=True):
    """An input of a process. `items` is the binding of each array element, `fields` that of each record field."""

    name: str
    type: Any
    default: Any = None
    binding: Binding | None = None
    items: Binding | None = None
    fields: dict[str, Binding] = {}
    load: bool = False


class Output(msgspec.Struct, frozen=True, omit_defaults=True):
    """An output of a tool: the files that match `glob`, or the value of the expression `evaluate`."""

    name: str
    type: Any
    glob: list[str] = []
    load: bool = False
    evaluate: str | None = None


class WorkDirEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """An entry of InitialWorkDirRequirement: `entry` is a file's content, or an expression that returns files."""

    entry: str
    name: str | None = None


class Hints(msgspec.Struct, frozen=True, omit_defaults=True):
    """Scheduling hints of a step, for which CWL has no terms; None: not given. Times in s, sizes in GB."""

    team: str | None = None
    priority: str | None = None
    job_class: str | None = None
    spot: bool | None = None
    checkpoint_s: float | None = None
    save_s: float | None = None
    run_s: float | None = None
    deadline_s: float | None = None
    image_gb: float | None = None

    def with_defaults(self, other: Hints) -> Hints:
        """These hints, with those of `other` where none is given here."""
        given = {name: value for name in self.__struct_fields__ if (value := getattr(self, name)) is not None}
        return msgspec.structs.replace(other, **given)


class Tool(msgspec.Struct, frozen=True, omit_defaults=True, tag="tool"):
    """A CWL CommandLineTool. Amounts are numbers or expressions; memory in GB, `time_s` in s (0: no limit)."""

    inputs: list[Param]
    outputs: list[Output]
    base: list[str] = []
    arguments: list[Binding] = []
    stdin: str | None = None
    stdout: str | None = None
    stderr: str | None = None
    success: list[int] = msgspec.field(default_factory=lambda: [0])
    env: dict[str, str] = {}
    staged: list[WorkDirEntry] = []
    cpus: float | str = 1.0
    gpus: float | str = 0.0
    memory_gb: float | str = 0.25
    time_s: float | str = 0.0
    image: str = "none"
    javascript: bool = False
    library: list[str] = []
    hints: Hints = Hints()


class Expression(msgspec.Struct, frozen=True, omit_defaults=True, tag="expression"):
    """A CWL ExpressionTool."""

    inputs: list[Param]
    outputs: list[Output]
    expression: str
    javascript: bool = False
    library: list[str] = []


class StepInput(msgspec.Struct, frozen=True, omit_defaults=True):
    """An input of a step: the sources of its value, and how several sources are merged."""

    name: str
    source: list[str] = []  # "input" or "step/output"
    several: bool = False  # the source was given as a list, even if it has one element
    merge: str = "merge_nested"
    pick: str | None = None
    default: Any = None
    value_from: str | None = None
    load: bool = False


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a workflow: it runs the process named `run`, once or scattered over inputs."""

    name: str
    run: str
    inputs: list[StepInput]
    outputs: list[str] = []
    scatter: list[str] = []
    method: str = "dotproduct"
    when: str | None = None
    hints: Hints = Hints()


class FlowOutput(msgspec.Struct, frozen=True, omit_defaults=True):
    """An output of a workflow, taken from its steps or inputs."""

    name: str
    type: Any
    source: list[str] = []
    several: bool = False
    merge: str = "merge_nested"
    pick: str | None = None


class Workflow(msgspec.Struct, frozen=True, omit_defaults=True, tag="workflow"):
    """A CWL Workflow: steps that depend on one another through their inputs."""

    inputs: list[Param]
    outputs: list[FlowOutput]
    steps: list[Step]
    javascript: bool = False
    library: list[str] = []
    hints: Hints = Hints()


Process = Tool | Expression | Workflow


class Plan(msgspec.Struct, frozen=True):
    """All processes of a workflow by name; `main` names the one to run."""

    main: str
    processes: dict[str, Process]


class FlowSubmission(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of POST /flows. `plan` and `order`: SHA-256 of uploads; `reuse`: an earlier workflow of the team."""

    ref: str
    team: str
    plan: str
    order: str
    due_s: float | None = None
    reuse: str | None = None


class StepReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of one step in a FlowReply; `tasks` is the number of its tasks, `done` that of the finished ones."""

    path: str
    state: str  # waiting, running, done, skipped, failed
    tasks: int = 1
    done: int = 0
    jobs: list[str] = []


class FlowReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of a workflow. `steps` is one page; `next` is the index at which the next page starts."""

    ref: str
    state: FlowState
    team: str = ""
    submitted: float = 0.0
    plan: str = ""
    cause: str = ""
    errors: str = ""  # the last part of a failed tool's standard error
    outputs: str | None = None  # SHA-256 of the output object
    steps: list[StepReply] = []
    next: int | None = None


class FlowList(msgspec.Struct, frozen=True):
    """A list of workflows; `more`: further ones follow; `files`: address of the upload store."""

    flows: list[FlowReply]
    more: bool = False
    files: str = ""


# -- task descriptions and results, exchanged with workers through the upload store ---------------


class InputFile(msgspec.Struct, frozen=True, omit_defaults=True):
    """A file to create at `path` (below TASK_DIR) before the command starts; a directory if `digest` is None."""

    path: str
    digest: str | None = None


class TaskDescription(msgspec.Struct, frozen=True, omit_defaults=True):
    """The command of one task. `outputs` are collected once it has exited; `time_s` is its time limit (0: none)."""

    command: list[str]
    env: dict[str, str] = {}
    files: list[InputFile] = []
    stdin: str | None = None
    stdout: str | None = None
    stderr: str | None = None
    success: list[int] = msgspec.field(default_factory=lambda: [0])
    time_s: float = 0.0
    outputs: list[Output] = []


class TaskResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of one task: files by output name, or in `whole` the object read from cwl.output.json."""

    machine: str
    attempt: int
    code: int
    ok: bool
    outputs: dict[str, Any] = {}
    whole: dict[str, Any] | None = None
    errors: str = ""
    why: str = ""


class TaskResultItem(msgspec.Struct, frozen=True):
    """A task's number with its result."""

    number: int
    found: TaskResult


class TaskResultPage(msgspec.Struct, frozen=True):
    """One page of results; `more`: further pages follow."""

    items: list[TaskResultItem]
    more: bool = False


plan_decoder = msgspec.json.Decoder(Plan)
submission_decoder = msgspec.json.Decoder(FlowSubmission)
reply_decoder = msgspec.json.Decoder(FlowReply)
list_decoder = msgspec.json.Decoder(FlowList)
task_descriptions_decoder = msgspec.json.Decoder(list[TaskDescription])
task_results_decoder = msgspec.json.Decoder(TaskResultPage)


def is_flow_ref(text: str) -> bool:
    """Whether the text has the form of a workflow id."""
    return FLOW_REF.match(text) is not None


def parse_submission(body: bytes) -> FlowSubmission:
    """Decode and check a submission. Raises InvalidMessage that names the field."""
    try:
        sub = submission_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise InvalidMessage(str(err)) from None
    if not is_flow_ref(sub.ref):
        raise InvalidMessage("ref: expected the form fl-000412")
    for field in ("plan", "order"):
        if not DIGEST.match(getattr(sub, field)):
            raise InvalidMessage(f"{field}: expected a SHA-256 in hexadecimal")
    if sub.reuse is not None and not is_flow_ref(sub.reuse):
        raise InvalidMessage("reuse: expected the form fl-000412")
    if sub.due_s is not None and not 0 < sub.due_s < 1e9:
        raise InvalidMessage("due_s: expected seconds above 0, or null")
    if not 0 < len(sub.team) <= 128:
        raise InvalidMessage("team: expected 1 to 128 characters")
    return sub


def parse_plan(body: bytes) -> Plan:
    """Decode a plan and check its references between processes and steps. Raises InvalidMessage naming the place."""
    try:
        plan = plan_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise InvalidMessage(f"plan: {err}") from None
    for name, process in [("main", plan.main)] if plan.main not in plan.processes else []:
        raise InvalidMessage(f"plan: {name}: no process {process}")
    for name, definition in plan.processes.items():
        if not isinstance(definition, Workflow):
            continue
        known = {p.name for p in definition.inputs}
        for step in definition.steps:
            if step.run not in plan.processes:
                raise InvalidMessage(f"plan: {name}/{step.name}: no process {step.run}")
            known |= {f"{step.name}/{out}" for out in step.outputs}
        for where, sources in [
            *((f"{name}/{s.name}/{i.name}", i.source) for s in definition.steps for i in s.inputs),
            *((f"{name}/{o.name}", o.source) for o in definition.outputs),
        ]:
            for source in sources:
                if source not in known:
                    raise InvalidMessage(f"plan: {where}: no source {source}")
    return plan


def encode(value: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(value)
