"""Messages between workers and controller nodes (PROTOCOL, "Workers -> controller nodes")."""

from __future__ import annotations

import re
from enum import StrEnum
from functools import lru_cache

import msgspec

from .. import constants
from .users import InvalidMessage, is_job_ref

# A worker's token is a term, which is even, or a term plus `PROVISIONAL`.
TERM_STEP = 2
PROVISIONAL = 1

_MACHINE_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")
_ADDR = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}\Z")


class Phase(StrEnum):
    """A task's state in a report."""

    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "ended"


class ExitReason(StrEnum):
    """Why a task has ended."""

    DONE = "done"
    STOPPED = "halted"
    PEERS = "peers"
    ALONE = "alone"
    ERROR = "error"
    NO_ROOM = "no_room"
    BUSY = "in_use"
    UNKNOWN = "no_such"


@lru_cache(maxsize=constants.TASK_NAME_CACHE_MAX)
def parse_task_name(name: str) -> tuple[str, int] | None:
    """Job id and task number of a task name; None if malformed. Cached, since most names recur in the next report."""
    ref, _, number = name.partition("/")
    if is_job_ref(ref) and number.isascii() and number.isdigit() and len(number) <= 6:
        return ref, int(number)
    return None


class TaskReport(
    msgspec.Struct,
    frozen=True,
    rename={
        "task": "piece",
        "attempt": "tryNo",
        "phase": "status",
        "why": "exitCause",
    },
):
    """The state of one task in a report."""

    task: str
    attempt: int
    phase: Phase
    why: str | None = None
    saved: bool = False

    def key(self) -> tuple[str, int] | None:
        """Job id and task number, or None if the name is malformed."""
        return parse_task_name(self.task)


class Report(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "machine": "rig",
        "addr": "endpoint",
        "type": "rigType",
        "zone": "hall",
        "spot": "loaner",
        "session": "shift",
        "seq": "tick",
        "token": "baton",
        "notice_s": "recallS",
        "tasks": "pieces",
    },
):
    """Body of POST /v1/report: the state of a worker's machine and its tasks."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    notice_s: float | None = None
    tasks: list[TaskReport]

    @property
    def term(self) -> int:
        """The highest term that the worker knows, according to its token."""
        return self.token - self.token % TERM_STEP

    def has_provisional_token(self) -> bool:
        """Whether a node that may not have known all cancellations has renewed its lease in the worker's term."""
        return self.token % TERM_STEP == PROVISIONAL


class Command(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "op": "verb",
        "task": "piece",
        "attempt": "tryNo",
        "grace_s": "windDownS",
    },
):
    """A command to a worker; `op` is run, halt or reap."""

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


class Commands(msgspec.Struct, frozen=True, rename={"token": "baton", "commands": "orders"}):
    """Answer to a report: the leader's fencing token and its commands."""

    token: int
    commands: list[Command]


class DirectCommands(msgspec.Struct, frozen=True, rename={"token": "baton", "session": "shift", "commands": "orders"}):
    """Body of POST /commands."""

    token: int
    session: int
    commands: list[Command]


class Redirect(msgspec.Struct, frozen=True, omit_defaults=True, rename={"report_to": "reportsTo"}):
    """Answer with status 421: the node to report to, if one is named."""

    report_to: str | None = None


_decoder = msgspec.json.Decoder(Report)


def parse_report(body: bytes) -> Report:
    """Decode and check a report. Raises InvalidMessage that names the field."""
    try:
        report = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise InvalidMessage(str(err)) from None
    if not _MACHINE_NAME.match(report.machine):
        raise InvalidMessage("rig: expected a machine name")
    if not _ADDR.match(report.addr):
        raise InvalidMessage("endpoint: expected ip:port")
    if report.session < 1 or report.seq < 0 or not 0 <= report.token < 2**64:
        raise InvalidMessage("shift, tick, baton: out of range")
    return report


def provisional(token: int) -> int:
    """The provisional token of the same term. It is below the next term, so every later leader's token is higher."""
    return token | PROVISIONAL


def term_after(term: int) -> int:
    """The next term after one that this version or an earlier one, whose terms may be odd, has recorded."""
    return term - term % TERM_STEP + TERM_STEP


def run_command(task: str, attempt: int) -> Command:
    """The command that starts this attempt of a task."""
    return Command("run", task, attempt)


def halt_command(task: str, attempt: int, grace_s: float) -> Command:
    """The command that stops this attempt, giving it `grace_s` seconds to save its state."""
    return Command("halt", task, attempt, grace_s)


def reap_command(task: str, attempt: int) -> Command:
    """The command that makes the worker drop an ended attempt from its reports."""
    return Command("reap", task, attempt)
