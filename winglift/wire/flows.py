"""Workflows: the plan a client makes of CWL files, what nodes answer about it, and what workers are told and tell.

A plan holds processes by name, already checked and without references to files. Types are normalised: a name
("null", "boolean", "int", "long", "float", "double", "string", "File", "Directory", "Any"), a list (one of them),
{"array": T}, {"enum": [names]} or {"record": {field: T}}. A file's content travels by its SHA-256.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Any

import msgspec

from .users import Invalid

FLOW = re.compile(r"fl-[0-9]{1,20}\Z")
DIGEST = re.compile(r"[0-9a-f]{64}\Z")
UPLOAD = "sha256:"  # begins the location of a file whose content is an upload
BASE = "/winglift-task"  # stands for a task's folder until a worker has one: in, out and tmp lie below it


class FlowState(StrEnum):
    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class How(StrEnum):
    """How a step ended."""

    DONE = "done"
    FAILED = "failed"
    SKIPPED = "skipped"


class Binding(msgspec.Struct, frozen=True, omit_defaults=True):
    position: int | str = 0
    prefix: str | None = None
    separate: bool = True
    item_separator: str | None = None
    value_from: str | None = None


class Param(msgspec.Struct, frozen=True, omit_defaults=True):
    """An input of a process. `items` binds each element of an array, `fields` each field of a record."""

    name: str
    type: Any
    default: Any = None
    binding: Binding | None = None
    items: Binding | None = None
    fields: dict[str, Binding] = {}
    load: bool = False


class Output(msgspec.Struct, frozen=True, omit_defaults=True):
    name: str
    type: Any
    glob: list[str] = []
    load: bool = False
    evaluate: str | None = None


class Staged(msgspec.Struct, frozen=True, omit_defaults=True):
    """A file of InitialWorkDirRequirement: `entry` is its content, or an expression for a file or a list of them."""

    entry: str
    name: str | None = None


class Hints(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a step may say of itself beyond CWL."""

    team: str | None = None
    priority: str | None = None
    job_class: str | None = None
    spot: bool | None = None
    checkpoint_s: float | None = None
    save_s: float | None = None
    run_s: float | None = None
    deadline_s: float | None = None
    image_gb: float | None = None

    def over(self, other: Hints) -> Hints:
        """These, and the other's where these say nothing."""
        mine = {f: v for f in self.__struct_fields__ if (v := getattr(self, f)) is not None}
        return msgspec.structs.replace(other, **mine)


class Tool(msgspec.Struct, frozen=True, omit_defaults=True, tag="tool"):
    inputs: list[Param]
    outputs: list[Output]
    base: list[str] = []
    arguments: list[Binding] = []
    stdin: str | None = None
    stdout: str | None = None
    stderr: str | None = None
    success: list[int] = msgspec.field(default_factory=lambda: [0])
    env: dict[str, str] = {}
    staged: list[Staged] = []
    cpus: float | str = 1.0
    gpus: float | str = 0.0
    memory_gb: float | str = 0.25
    time_s: float | str = 0.0
    image: str = "none"
    javascript: bool = False
    library: list[str] = []
    hints: Hints = Hints()


class Expression(msgspec.Struct, frozen=True, omit_defaults=True, tag="expression"):
    inputs: list[Param]
    outputs: list[Output]
    expression: str
    javascript: bool = False
    library: list[str] = []


class StepInput(msgspec.Struct, frozen=True, omit_defaults=True):
    name: str
    source: list[str] = []  # "input" or "step/output"
    several: bool = False  # the source is a list, even of one
    merge: str = "merge_nested"
    pick: str | None = None
    default: Any = None
    value_from: str | None = None
    load: bool = False


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    name: str
    run: str
    inputs: list[StepInput]
    outputs: list[str] = []
    scatter: list[str] = []
    method: str = "dotproduct"
    when: str | None = None
    hints: Hints = Hints()


class FlowOutput(msgspec.Struct, frozen=True, omit_defaults=True):
    name: str
    type: Any
    source: list[str] = []
    several: bool = False
    merge: str = "merge_nested"
    pick: str | None = None


class Workflow(msgspec.Struct, frozen=True, omit_defaults=True, tag="workflow"):
    inputs: list[Param]
    outputs: list[FlowOutput]
    steps: list[Step]
    javascript: bool = False
    library: list[str] = []
    hints: Hints = Hints()


Process = Tool | Expression | Workflow


class Plan(msgspec.Struct, frozen=True):
    main: str
    processes: dict[str, Process]


class FlowSubmission(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """`plan` and `order` name uploads by their SHA-256; `reuse` an earlier workflow of the same team."""

    ref: str
    team: str
    plan: str
    order: str
    due_s: float | None = None
    reuse: str | None = None


class StepReply(msgspec.Struct, frozen=True, omit_defaults=True):
    path: str
    state: str  # waiting, running, done, skipped, failed
    tasks: int = 1
    done: int = 0
    jobs: list[str] = []


class FlowReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """`steps` come in pages; `next` is where the next one begins."""

    ref: str
    state: FlowState
    team: str = ""
    submitted: float = 0.0
    plan: str = ""
    cause: str = ""
    errors: str = ""  # the end of a failed tool's standard error
    outputs: str | None = None  # SHA-256 of the output object
    steps: list[StepReply] = []
    next: int | None = None


class FlowList(msgspec.Struct, frozen=True):
    """`files`: address of the store of uploads."""

    flows: list[FlowReply]
    more: bool = False
    files: str = ""


# -- what workers are told and tell: by way of the store of uploads --------------------------------


class Fetch(msgspec.Struct, frozen=True, omit_defaults=True):
    """A file to lie at `path` (below BASE) before the command starts; a folder where there is no digest."""

    path: str
    digest: str | None = None


class Work(msgspec.Struct, frozen=True, omit_defaults=True):
    """One task's command. `outputs` are looked for once it has ended."""

    command: list[str]
    env: dict[str, str] = {}
    files: list[Fetch] = []
    stdin: str | None = None
    stdout: str | None = None
    stderr: str | None = None
    success: list[int] = msgspec.field(default_factory=lambda: [0])
    time_s: float = 0.0
    outputs: list[Output] = []


class Found(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a command left: per output the files and folders found, or the object of cwl.output.json."""

    machine: str
    attempt: int
    code: int
    ok: bool
    outputs: dict[str, Any] = {}
    whole: dict[str, Any] | None = None
    errors: str = ""
    why: str = ""


class FoundItem(msgspec.Struct, frozen=True):
    number: int
    found: Found


class FoundPage(msgspec.Struct, frozen=True):
    items: list[FoundItem]
    more: bool = False


plans = msgspec.json.Decoder(Plan)
submissions = msgspec.json.Decoder(FlowSubmission)
replies = msgspec.json.Decoder(FlowReply)
lists = msgspec.json.Decoder(FlowList)
work_pages = msgspec.json.Decoder(list[Work])
found_pages = msgspec.json.Decoder(FoundPage)


def is_flow(text: str) -> bool:
    return FLOW.match(text) is not None


def parse_submission(body: bytes) -> FlowSubmission:
    """Decode and check; raises Invalid naming the field at fault."""
    try:
        sub = submissions.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise Invalid(str(err)) from None
    if not is_flow(sub.ref):
        raise Invalid("ref: expected the form fl-000412")
    for field in ("plan", "order"):
        if not DIGEST.match(getattr(sub, field)):
            raise Invalid(f"{field}: expected a SHA-256 in hexadecimal")
    if sub.reuse is not None and not is_flow(sub.reuse):
        raise Invalid("reuse: expected the form fl-000412")
    if sub.due_s is not None and not 0 < sub.due_s < 1e9:
        raise Invalid("due_s: expected seconds above 0, or null")
    if not 0 < len(sub.team) <= 128:
        raise Invalid("team: expected 1 to 128 characters")
    return sub


def parse_plan(body: bytes) -> Plan:
    """Decode a plan and check that its parts name one another rightly; raises Invalid with the place."""
    try:
        plan = plans.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise Invalid(f"plan: {err}") from None
    for name, process in [("main", plan.main)] if plan.main not in plan.processes else []:
        raise Invalid(f"plan: {name}: no process {process}")
    for name, found in plan.processes.items():
        if not isinstance(found, Workflow):
            continue
        known = {p.name for p in found.inputs}
        for step in found.steps:
            if step.run not in plan.processes:
                raise Invalid(f"plan: {name}/{step.name}: no process {step.run}")
            known |= {f"{step.name}/{out}" for out in step.outputs}
        for where, sources in [
            *((f"{name}/{s.name}/{i.name}", i.source) for s in found.steps for i in s.inputs),
            *((f"{name}/{o.name}", o.source) for o in found.outputs),
        ]:
            for source in sources:
                if source not in known:
                    raise Invalid(f"plan: {where}: no source {source}")
    return plan


def encode(value: Any) -> bytes:
    return msgspec.json.encode(value)
