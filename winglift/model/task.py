"""A task's life while it holds a place, as a state machine with one function for every change."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from ..wire.users import Kind, Priority

if TYPE_CHECKING:
    from .job import Job
    from .machine import Machine


class TaskState(Enum):
    PROPOSED = auto()  # decided; its record is not committed yet
    COMMITTED = auto()  # the record holds machine and attempt; the start has not been sent
    SENT = auto()  # the start went out in a report's response; whether it took effect is open
    UNKNOWN = auto()  # inherited from a record: it may run there, no fresh report has told yet
    FETCHING = auto()
    WAITING = auto()
    RUNNING = auto()
    SAVING = auto()
    EXITED = auto()  # the worker holds its exit; it takes no room any more
    GONE = auto()  # proven off its machine


class TaskEvent(Enum):
    COMMIT = auto()
    REJECT = auto()  # the commit did not happen: the place was never taken
    SEND = auto()
    SEEN_FETCHING = auto()
    SEEN_WAITING = auto()
    SEEN_RUNNING = auto()
    SEEN_SAVING = auto()
    SEEN_EXITED = auto()
    ABSENT = auto()  # a fresh report without it
    MACHINE_GONE = auto()  # deletion answered


class WrongEvent(Exception):
    """An event that the state does not allow."""


_S, _E = TaskState, TaskEvent
_HELD = (_S.COMMITTED, _S.SENT, _S.UNKNOWN, _S.FETCHING, _S.WAITING, _S.RUNNING, _S.SAVING)

TRANSITIONS: dict[tuple[TaskState, TaskEvent], TaskState] = {
    (_S.PROPOSED, _E.COMMIT): _S.COMMITTED,
    (_S.PROPOSED, _E.REJECT): _S.GONE,
    (_S.PROPOSED, _E.MACHINE_GONE): _S.GONE,
    (_S.COMMITTED, _E.SEND): _S.SENT,
    # A start that a fresh report does not show was dropped or forgotten: it may be sent again.
    (_S.SENT, _E.ABSENT): _S.COMMITTED,
    (_S.UNKNOWN, _E.ABSENT): _S.COMMITTED,
    (_S.COMMITTED, _E.ABSENT): _S.COMMITTED,
    # It was there and is not any more: the session ended.
    (_S.FETCHING, _E.ABSENT): _S.GONE,
    (_S.WAITING, _E.ABSENT): _S.GONE,
    (_S.RUNNING, _E.ABSENT): _S.GONE,
    (_S.SAVING, _E.ABSENT): _S.GONE,
    (_S.EXITED, _E.ABSENT): _S.GONE,
    (_S.EXITED, _E.SEEN_EXITED): _S.EXITED,
    (_S.EXITED, _E.MACHINE_GONE): _S.GONE,
}
for _state in _HELD:
    TRANSITIONS[_state, _E.SEEN_FETCHING] = _S.FETCHING
    TRANSITIONS[_state, _E.SEEN_WAITING] = _S.WAITING
    TRANSITIONS[_state, _E.SEEN_RUNNING] = _S.RUNNING
    TRANSITIONS[_state, _E.SEEN_SAVING] = _S.SAVING
    TRANSITIONS[_state, _E.SEEN_EXITED] = _S.EXITED
    TRANSITIONS[_state, _E.MACHINE_GONE] = _S.GONE

PRESENT = frozenset({_S.FETCHING, _S.WAITING, _S.RUNNING, _S.SAVING})


def next_state(state: TaskState, event: TaskEvent) -> TaskState:
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise WrongEvent(f"{event.name} in {state.name}") from None


@dataclass(slots=True, eq=False)
class Task:
    """One start of one task: an attempt on a machine."""

    job: Job
    index: int
    attempt: int
    machine: Machine
    state: TaskState
    since: float  # when the state last changed
    sent_session: int = 0
    sent_seq: int = 0
    running_since: float | None = None
    stop_grace: float | None = None  # set once the task is told to stop
    stop_at: float = 0.0  # when it was last told so directly

    @property
    def name(self) -> str:
        return f"{self.job.ref}/{self.index}"

    def move(self, event: TaskEvent, now: float) -> TaskState:
        """The one place where a task changes its state."""
        new = next_state(self.state, event)
        if new is not self.state:
            self.state = new
            self.machine.touch()
            self.since = now
            if new is TaskState.RUNNING and self.running_since is None:
                self.running_since = now
            elif new in (TaskState.COMMITTED, TaskState.SENT):
                self.running_since = None
        return new

    def tell_stop(self, grace_s: float) -> None:
        """The one place where a task is marked to be stopped."""
        self.stop_grace = grace_s
        self.machine.touch()

    @property
    def stopping(self) -> bool:
        return self.stop_grace is not None

    @property
    def replica(self) -> bool:
        """A running part of a service, which could be started elsewhere."""
        return not self.stopping and self.job.kind is Kind.SERVICE and self.state is TaskState.RUNNING

    @property
    def yields(self) -> bool:
        """Could it be stopped to make room?"""
        return (not self.stopping and self.state in PRESENT and not self.replica
                and self.job.spec.priority is not Priority.PRODUCTION)
