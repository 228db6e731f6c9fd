"""The state machine of an assigned task."""

from __future__ import annotations

from enum import Enum, auto

from .errors import InvalidTransition


class TaskState(Enum):
    """The states of an assigned task."""

    PROPOSED = auto()  # decided, but its record is not committed yet
    COMMITTED = auto()  # the committed record holds its machine and attempt; its start has not been sent
    SENT = auto()  # its start was sent in a report's response; whether that took effect is not known
    UNKNOWN = auto()  # inherited from a record: it may be running, but no report under this term has listed it yet
    FETCHING = auto()
    WAITING = auto()
    RUNNING = auto()
    SAVING = auto()
    EXITED = auto()  # uses no capacity any more, but the worker still reports its exit
    GONE = auto()  # proven to have left its machine


class TaskEvent(Enum):
    """Events that change a task's state."""

    COMMIT = auto()
    REJECT = auto()  # the assignment was not committed
    SEND = auto()
    SEEN_FETCHING = auto()
    SEEN_WAITING = auto()
    SEEN_RUNNING = auto()
    SEEN_SAVING = auto()
    SEEN_EXITED = auto()
    ABSENT = auto()  # a newer report does not list it
    MACHINE_GONE = auto()  # the machine's deletion was confirmed


_S, _E = TaskState, TaskEvent
_ASSIGNED = (_S.COMMITTED, _S.SENT, _S.UNKNOWN, _S.FETCHING, _S.WAITING, _S.RUNNING, _S.SAVING)

TRANSITIONS: dict[tuple[TaskState, TaskEvent], TaskState] = {
    (_S.PROPOSED, _E.COMMIT): _S.COMMITTED,
    (_S.PROPOSED, _E.REJECT): _S.GONE,
    (_S.PROPOSED, _E.MACHINE_GONE): _S.GONE,
    (_S.COMMITTED, _E.SEND): _S.SENT,
    # A start whose task a newer report does not list did not take effect: it may be sent again.
    (_S.SENT, _E.ABSENT): _S.COMMITTED,
    (_S.UNKNOWN, _E.ABSENT): _S.COMMITTED,
    (_S.COMMITTED, _E.ABSENT): _S.COMMITTED,
    # A task that was reported and is no longer listed has ended with the worker's session.
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
        raise InvalidTransition(f"{event.name} is not allowed in state {state.name}") from None
