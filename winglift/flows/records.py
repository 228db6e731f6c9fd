"""What the state service holds of workflows: one head each, and a record of each step that has ended.

Which jobs exist need not be written: a job's id follows from workflow, step and part, and its own record says the rest.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from .. import constants
from ..model.records import InvalidRecord
from ..wire.flows import FlowReply, FlowState, FlowSubmission, StepOutcome
from .values import job_ref

T = TypeVar("T")

FLOW_PREFIX = "flow/"
STEP = "flowstep/"


class FlowRecord(msgspec.Struct, omit_defaults=True):
    """`tidy`: all jobs of a workflow that ended early are known to be cancelled. `swept`: its step records are
    removed."""

    sub: FlowSubmission
    submitted: float  # time of day
    state: FlowState = FlowState.OPEN
    cause: str = ""
    errors: str = ""
    outputs: str | None = None
    tidy: bool = False
    swept: bool = False


class StepRecord(msgspec.Struct, omit_defaults=True):
    """`results` lies here if it is small, otherwise `digest` names the upload. `key` is what a later workflow compares
    to take the results over."""

    path: str
    how: StepOutcome
    ended: float  # time of day
    key: str = ""
    results: list[dict[str, Any]] | None = None
    digest: str | None = None
    machines: list[str] = []
    jobs: list[str] = []
    tasks: int = 1


_heads = msgspec.json.Decoder(FlowRecord)
_steps = msgspec.json.Decoder(StepRecord)


def _decode(decoder: msgspec.json.Decoder[T], value: bytes | msgspec.Raw) -> T:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidRecord(str(err)) from None


def decode_flow_record(value: bytes | msgspec.Raw) -> FlowRecord:
    return _decode(_heads, value)


def decode_step_record(value: bytes | msgspec.Raw) -> StepRecord:
    return _decode(_steps, value)


def bounded(text: str) -> str:
    """The end of a text, as much as a record keeps: counted as it is written, where a byte may take six."""
    text = text[-constants.FLOW_ERROR_MAX_BYTES :]
    while len(msgspec.json.encode(text)) > constants.FLOW_ERROR_MAX_BYTES:
        text = text[len(text) // 8 + 1 :]
    return text


def step_prefix(flow: str) -> str:
    return f"{STEP}{flow}/"


def step_key(flow: str, path: str) -> str:
    """Paths may be longer than keys are."""
    return step_prefix(flow) + job_ref(flow, path, "step").removeprefix("wk-")


def reply(head: FlowRecord, **more: Any) -> FlowReply:
    return FlowReply(
        head.sub.ref,
        head.state,
        head.sub.team,
        head.submitted,
        head.sub.plan,
        head.cause,
        head.errors,
        head.outputs,
        **more,
    )
