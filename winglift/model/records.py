"""Records in the state service: the leader, the term and the jobs, and the encoding of a job as one value.

The state service is described in PROTOCOL, "Controller nodes -> state service".
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import defaultdict
from dataclasses import dataclass

import msgspec

from ..wire.state import Condition, Put
from ..wire.users import Submission
from .entities import Assignment, Task
from .errors import FinalStateViolation, InvalidRecord
from .job_state import CompletedTasks, JobState
from .task_state import TaskState

JOB_PREFIX = "job/"
LEADER_KEY = "leader"
TERM_KEY = "term"


class LeaderRecord(msgspec.Struct, frozen=True):
    """Value of the leadership key."""

    term: int
    node: str


class TermRecord(msgspec.Struct, frozen=True):
    """Value of the term key: the latest term."""

    term: int


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "spec": "s",
        "submitted_at": "t",
        "state": "o",
        "next_attempt": "a",
        "first_open": "l",
        "done_bitmap": "b",
        "assignments": "p",
        "cancelled_at": "c",
    },
):
    """A job's record. `assignments` groups tasks by machine and attempt: [machine, attempt, "0-3,7"].

    `submitted_at` and `cancelled_at` are times of day by the clock of the node that committed them, at most `skew_ms`
    off. A cancelled record without `cancelled_at`, from a version that did not write it, counts as cancelled long ago.
    """

    submitted_at: float
    spec: Submission
    state: str = "o"
    next_attempt: int = 1
    first_open: int = 0
    done_bitmap: str = ""
    assignments: list[tuple[str, int, str]] = []
    cancelled_at: float | None = None


_decoder = msgspec.json.Decoder(JobRecord)


def build_record_write(ref: str, version: int, committed: JobState, record: JobRecord) -> tuple[Condition, Put]:
    """Condition and put that write a job's record, whose state is `committed` at `version` (0: there is no record yet).

    All writes of job records are built here, so none can replace a recorded final state by another one (invariant 4),
    and because of the condition none can replace a version that its writer has not read. Raises FinalStateViolation,
    and InvalidRecord for a state that no record may have.
    """
    if committed.is_final and record.state != committed.value:
        raise FinalStateViolation(f"{ref} already has the final state {committed.name.lower()}")
    if record.state not in (JobState.OPEN.value, JobState.DONE.value, JobState.CANCELLED.value):
        raise InvalidRecord(f"{ref}: {record.state} is not a valid record state")
    return Condition(JOB_PREFIX + ref, version), Put(JOB_PREFIX + ref, record)


def pack_ranges(numbers: list[int]) -> str:
    """Encode numbers as ranges in a text such as `0-3,7`."""
    ranges: list[str] = []
    first = last = None
    for number in sorted(numbers):
        if last is not None and number == last + 1:
            last = number
            continue
        if first is not None:
            ranges.append(str(first) if first == last else f"{first}-{last}")
        first = last = number
    if first is not None:
        ranges.append(str(first) if first == last else f"{first}-{last}")
    return ",".join(ranges)


def unpack_ranges(text: str) -> list[int]:
    """Decode a text encoded by `pack_ranges`. Raises ValueError."""
    numbers: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers += range(int(first), int(last or first) + 1)
    return numbers


def pack_done(done: CompletedTasks) -> tuple[int, str]:
    """The lowest task that is not done, and a base64 bitmap of the completed tasks, whose first bit stands for it."""
    if not done.above:
        return done.first_open, ""
    bits = bytearray((max(done.above) - done.first_open) // 8 + 1)
    for number in done.above:
        offset = number - done.first_open
        bits[offset // 8] |= 1 << (offset % 8)
    return done.first_open, b64encode(bytes(bits)).decode()


def unpack_done(count: int, first_open: int, bitmap: str) -> CompletedTasks:
    """Decode completed tasks encoded by `pack_done`. Raises ValueError."""
    above = set()
    for offset, byte in enumerate(b64decode(bitmap)):
        for bit in range(8):
            if byte >> bit & 1:
                above.add(first_open + offset * 8 + bit)
    return CompletedTasks(count, first_open, above)


@dataclass(slots=True)
class UnpackedRecord:
    """A job record, decoded into the types of the model."""

    spec: Submission
    submitted_at: float
    state: JobState
    next_attempt: int
    done: CompletedTasks
    assignments: dict[int, Assignment]  # by task number
    cancelled_at: float | None = None


def new_record(spec: Submission, submitted_at: float) -> JobRecord:
    """The record of a new job."""
    return JobRecord(submitted_at=submitted_at, spec=spec)


def pack_assignments(tasks: dict[int, Task]) -> list[tuple[str, int, str]]:
    """Assignments grouped by machine and attempt, without tasks that have exited or left their machines."""
    groups: dict[tuple[str, int], list[int]] = defaultdict(list)
    for number, task in tasks.items():
        if task.state not in (TaskState.GONE, TaskState.EXITED):
            groups[task.machine.name, task.attempt].append(number)
    return [(name, attempt, pack_ranges(numbers)) for (name, attempt), numbers in groups.items()]


def decode(value: bytes | msgspec.Raw) -> JobRecord:
    """Decode a stored value. Raises InvalidRecord."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidRecord(str(err)) from None


def unpack(record: JobRecord) -> UnpackedRecord:
    """Convert a record to the types of the model. Raises InvalidRecord."""
    try:
        assignments = {
            number: Assignment(name, attempt)
            for name, attempt, text in record.assignments
            for number in unpack_ranges(text)
        }
        done = unpack_done(record.spec.tasks, record.first_open, record.done_bitmap)
        return UnpackedRecord(
            record.spec,
            record.submitted_at,
            JobState(record.state),
            record.next_attempt,
            done,
            assignments,
            record.cancelled_at,
        )
    except ValueError as err:
        raise InvalidRecord(str(err)) from None


def done_count(record: JobRecord) -> int:
    """The number of tasks that are done."""
    return record.first_open + sum(byte.bit_count() for byte in b64decode(record.done_bitmap))


def assigned_count(record: JobRecord) -> int:
    """The number of tasks that are assigned to a machine."""
    return sum(len(unpack_ranges(text)) for _, _, text in record.assignments)


def encode(record: JobRecord) -> bytes:
    """Encode a record for storage."""
    return msgspec.json.encode(record)
