"""The state machine of an assigned task."""

from __future__ import annotations

from enum import Enum, auto

from .errors import InvalidTransition


class TaskState(Enum):
    """The states of an assigned task."""

    PROPOSED = auto()  # decided; its record is not committed yet
    COMMITTED = auto()  # the record holds machine and attempt; the start has not been sent
    SENT = auto()  # the start went out in a report's response; whether it took effect is open
    UNKNOWN = auto()  # inherited from a record: it may run there, no report under this term has shown it yet
    FETCHING = auto()
    WAITING = auto()
    RUNNING = auto()
    SAVING = auto()
    EXITED = auto()  # the worker still reports its exit; it uses no capacity any more
    GONE = auto()  # proven off its machine


class TaskEvent(Enum):
    """The events of a task's state machine."""

    COMMIT = auto()
    REJECT = auto()  # the commit did not happen: the task was never assigned
    SEND = auto()
    SEEN_FETCHING = auto()
    SEEN_WAITING = auto()
    SEEN_RUNNING = auto()
    SEEN_SAVING = auto()
    SEEN_EXITED = auto()
    ABSENT = auto()  # a newer report does not list it
    MACHINE_GONE = auto()  # the machine's deletion was answered


_S, _E = TaskState, TaskEvent
_ASSIGNED = (_S.COMMITTED, _S.SENT, _S.UNKNOWN, _S.FETCHING, _S.WAITING, _S.RUNNING, _S.SAVING)

TRANSITIONS: dict[tuple[TaskState, TaskEvent], TaskState] = {
    (_S.PROPOSED, _E.COMMIT): _S.COMMITTED,
    (_S.PROPOSED, _E.REJECT): _S.GONE,
    (_S.PROPOSED, _E.MACHINE_GONE): _S.GONE,
    (_S.COMMITTED, _E.SEND): _S.SENT,
    # A start that a fresh report does not show was dropped or forgotten: it may be sent again.
    (_S.SENT, _E.ABSENT): _S.COMMITTED,
    (_S.UNKNOWN, _E.ABSENT): _S.COMMITTED,
    (_S.COMMITTED, _E.ABSENT): _S.COMMITTED,
    # It was reported and no longer is: the worker's session ended.
    (_S.FETCHING, _E.ABSENT): _S.GONE,
    (_S.WAITING, _E.ABSENT): _S.GONE,
    (_S.RUNNING, _E.ABSENT): _S.GONE,
    (_S.SAVING, _E.ABSENT): _S.GONE,
    (_S.EXITED, _E.ABSENT): _S.GONE,
    (_S.EXITED, _E.SEEN_EXITED): _S.EXITED,
    (_S.EXITED, _E.MACHINE_GONE): _S.GONE,
}
for _state in _ASSIGNED:
    TRANSITIONS[_state, _E.SEEN_FETCHING] = _S.FETCHING
    TRANSITIONS[_state, _E.SEEN_WAITING] = _S.WAITING
    TRANSITIONS[_state, _E.SEEN_RUNNING] = _S.RUNNING
    TRANSITIONS[_state, _E.SEEN_SAVING] = _S.SAVING
    TRANSITIONS[_state, _E.SEEN_EXITED] = _S.EXITED
    TRANSITIONS[_state, _E.MACHINE_GONE] = _S.GONE

PRESENT = frozenset({_S.FETCHING, _S.WAITING, _S.RUNNING, _S.SAVING})


def next_state(state: TaskState, event: TaskEvent) -> TaskState:
    """The state after an event. Raises InvalidTransition."""
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise InvalidTransition(f"{event.name} in {state.name}") from None
