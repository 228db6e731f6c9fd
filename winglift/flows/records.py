"""Records of workflows in the state service: one for each workflow, and one for each step that has ended.

They don't list the open jobs: a job's id is derived from its workflow, step and index, and it has its own record.
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
STEP_PREFIX = "flowstep/"


class FlowRecord(msgspec.Struct, omit_defaults=True, rename={"jobs_cancelled": "tidy", "steps_removed": "swept"}):
    """The record of a workflow.

    `jobs_cancelled`: it has ended, and no job of it is open any more. `steps_removed`: its step records have been
    deleted.
    """

    sub: FlowSubmission
    submitted: float  # time of day
    state: FlowState = FlowState.OPEN
    cause: str = ""
    errors: str = ""
    outputs: str | None = None
    jobs_cancelled: bool = False
    steps_removed: bool = False


class StepRecord(msgspec.Struct, omit_defaults=True):
    """The record of a step that has ended.

    Small results are kept in `results`, others in the upload `digest`. A later workflow reuses the results for a step
    with the same `key`.
    """

    path: str
    how: StepOutcome
    ended: float  # time of day
    key: str = ""
    results: list[dict[str, Any]] | None = None
    digest: str | None = None
    machines: list[str] = []
    jobs: list[str] = []
    tasks: int = 1


_flow_decoder = msgspec.json.Decoder(FlowRecord)
_step_decoder = msgspec.json.Decoder(StepRecord)


def _decode(decoder: msgspec.json.Decoder[T], value: bytes | msgspec.Raw) -> T:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidRecord(str(err)) from None


def decode_flow_record(value: bytes | msgspec.Raw) -> FlowRecord:
    return _decode(_flow_decoder, value)


def decode_step_record(value: bytes | msgspec.Raw) -> StepRecord:
    return _decode(_step_decoder, value)


def truncate_to_end(text: str) -> str:
    """Cut a text to its end, so that its JSON form (up to 6 bytes a character) does not exceed the limit."""
    text = text[-constants.FLOW_ERROR_MAX_BYTES :]
    while len(msgspec.json.encode(text)) > constants.FLOW_ERROR_MAX_BYTES:
        text = text[len(text) // 8 + 1 :]
    return text


def step_prefix(flow: str) -> str:
    return f"{STEP_PREFIX}{flow}/"


def step_key(flow: str, path: str) -> str:
    """Key of a step record; it holds a digest because a path may exceed the length limit of keys."""
    return step_prefix(flow) + job_ref(flow, path, "step").removeprefix("wk-")


def build_reply(record: FlowRecord, **details: Any) -> FlowReply:
    return FlowReply(
        record.sub.ref,
        record.state,
        record.sub.team,
        record.submitted,
        record.sub.plan,
        record.cause,
        record.errors,
        record.outputs,
        **details,
    )
