"""Messages between users and controller nodes (PROTOCOL, "Users -> controller nodes").

The names used on the wire appear only in this module, as values of `rename`; the code uses the terms of the field.
"""

from __future__ import annotations

import math
import re
from enum import StrEnum
from typing import Any

import msgspec

from .. import constants

JOB_REF = re.compile(r"wk-[0-9]{1,20}\Z")


class Kind(StrEnum):
    """The kind of a job: independent tasks, a gang that starts together, or a service."""

    ARRAY = "array"
    GANG = "ensemble"
    SERVICE = "daemon"


class Priority(StrEnum):
    """The priority of a job."""

    PRODUCTION = "production"
    HIGH = "urgent"
    NORMAL = "normal"
    LOW = "idle"

    @property
    def rank(self) -> int:
        """The priority as a number; a higher number is a higher priority."""
        return _RANKS[self]


_RANKS = {Priority.PRODUCTION: 3, Priority.HIGH: 2, Priority.NORMAL: 1, Priority.LOW: 0}


class JobStatus(StrEnum):
    """The state of a job as reported to users."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


class InvalidMessage(ValueError):
    """A malformed request; the message names the field."""


class Submission(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "job_class": "jobClass",
        "team": "owner",
        "kind": "shape",
        "priority": "urgency",
        "tasks": "pieces",
        "memory_gb": "memGb",
        "image": "bundle",
        "image_gb": "pullGb",
        "types": "rigTypes",
        "zone": "hall",
        "one_zone": "samePlace",
        "spread": "apart",
        "spot": "loaner",
        "estimate_s": "expectedS",
        "checkpoint_s": "snapshotEveryS",
        "save_s": "snapshotS",
        "due_s": "dueS",
    },
):
    """Body of POST /work (PROTOCOL, "POST /work")."""

    ref: str
    job_class: str
    team: str
    kind: Kind
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: list[str] | None = None
    zone: str | None = None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    due_s: float | None = None


class StatusReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer about a job: its status, and the numbers of finished and running tasks."""

    ref: str
    status: JobStatus
    done: int | None = None
    running: int | None = None


_decoder = msgspec.json.Decoder(Submission)
_AMOUNT_FIELDS = ("cpus", "gpus", "memory_gb", "image_gb", "estimate_s", "checkpoint_s", "save_s")
_NAME_FIELDS = ("job_class", "team", "image")
_WIRE_NAMES = {field.name: field.encode_name for field in msgspec.structs.fields(Submission)}


def is_job_ref(text: str) -> bool:
    """Whether the text has the form of a job id."""
    return JOB_REF.match(text) is not None


def _check_name(field: str, value: str) -> None:
    if not 0 < len(value) <= constants.NAME_LENGTH_MAX:
        raise InvalidMessage(f"{_WIRE_NAMES[field]}: expected 1 to {constants.NAME_LENGTH_MAX} characters")


def parse_submission(body: bytes) -> Submission:
    """Decode and check a submission. Raises InvalidMessage that names the field."""
    if len(body) > constants.REQUEST_BODY_MAX_BYTES:
        raise InvalidMessage("body: more than 64 KiB")
    try:
        sub = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise InvalidMessage(str(err)) from None
    if not is_job_ref(sub.ref):
        raise InvalidMessage("ref: expected the form wk-000412")
    for field in _NAME_FIELDS:
        _check_name(field, getattr(sub, field))
    for field in _AMOUNT_FIELDS:
        value = getattr(sub, field)
        if not math.isfinite(value) or not 0 <= value <= constants.AMOUNT_MAX:
            raise InvalidMessage(f"{_WIRE_NAMES[field]}: expected a finite number of at least 0")
    if sub.due_s is not None and not (math.isfinite(sub.due_s) and 0 <= sub.due_s <= constants.AMOUNT_MAX):
        raise InvalidMessage("dueS: expected a finite number of at least 0, or null")
    if not 1 <= sub.tasks <= constants.TASKS_PER_JOB_MAX:
        raise InvalidMessage(f"pieces: expected 1 to {constants.TASKS_PER_JOB_MAX}")
    if sub.types is not None:
        if not 1 <= len(sub.types) <= constants.MACHINE_TYPES_PER_JOB_MAX:
            raise InvalidMessage(f"rigTypes: expected null or 1 to {constants.MACHINE_TYPES_PER_JOB_MAX} names")
        for name in sub.types:
            _check_name("types", name)
    if sub.zone is not None:
        _check_name("zone", sub.zone)
    return sub


def encode(value: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(value)
