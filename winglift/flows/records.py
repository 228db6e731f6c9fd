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

HEAD = "flow/"
STEP_KEY_PREFIX = "flowstep/"


class Head(msgspec.Struct, omit_defaults=True, rename={"jobs_cancelled": "tidy", "steps_removed": "swept"}):
    """`tidy`: all jobs of a workflow that ended early are known to be cancelled. `swept`: its step records are
    removed."""

    sub: FlowSubmission
    submitted: float  # time of day
    state: FlowState = FlowState.OPEN
    cause: str = ""
    errors: str = ""
    outputs: str | None = None
    jobs_cancelled: bool = False
    steps_removed: bool = False


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


_flow_decoder = msgspec.json.Decoder(Head)
_step_decoder = msgspec.json.Decoder(StepRecord)


def _decode(decoder: msgspec.json.Decoder[T], value: bytes | msgspec.Raw) -> T:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidRecord(str(err)) from None


def decode_head(value: bytes | msgspec.Raw) -> Head:
    return _decode(_flow_decoder, value)


def decode_step(value: bytes | msgspec.Raw) -> StepRecord:
    return _decode(_step_decoder, value)


def truncate_to_tail(text: str) -> str:
    """The end of a text, as much as a record keeps: counted as it is written, where a byte may take six."""
    text = text[-constants.FLOW_ERROR_MAX_BYTES :]
    while len(msgspec.json.encode(text)) > constants.FLOW_ERROR_MAX_BYTES:
        text = text[len(text) // 8 + 1 :]
    return text


def step_prefix(flow: str) -> str:
    return f"{STEP_KEY_PREFIX}{flow}/"


def step_key(flow: str, path: str) -> str:
    """Paths may be longer than keys are."""
    return step_prefix(flow) + job_ref(flow, path, "step").removeprefix("wk-")


def build_reply(record: Head, **more: Any) -> FlowReply:
    return FlowReply(
        record.sub.ref,
        record.state,
        record.sub.team,
        record.submitted,
        record.sub.plan,
        record.cause,
        record.errors,
        record.outputs,
        **more,
    )
