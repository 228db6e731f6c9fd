"""The state machine of a rented machine, as the leader knows it."""

from __future__ import annotations

from enum import Enum, auto


class MachineState(Enum):
    """A machine's states."""

    BOOTING = auto()  # rented, no report yet
    UP = auto()  # reports under the current term
    INHERITED = auto()  # known from records or the cloud's list, no report under the current term yet
    UNRESPONSIVE = auto()  # its reports arrive, but the answers don't reach it: nothing new is placed there
    DRAINING = auto()  # being reclaimed, faulty or to be returned: nothing new is placed there
    DELETING = auto()  # a deletion is in progress
    GONE = auto()  # its deletion was confirmed


class MachineEvent(Enum):
    """Events that change a machine's state."""

    REPORT = auto()
    COMMANDS_IGNORED = auto()  # its reports show that the answers to them don't reach it
    COMMANDS_ACKNOWLEDGED = auto()  # it has answered a request, or reports a task whose start was sent
    DRAIN = auto()
    DELETE = auto()
    DELETE_FAILED = auto()
    DELETED = auto()


_S, _E = MachineState, MachineEvent
TRANSITIONS: dict[tuple[MachineState, MachineEvent], MachineState] = {
    (_S.BOOTING, _E.REPORT): _S.UP,
    (_S.INHERITED, _E.REPORT): _S.UP,
    (_S.UP, _E.REPORT): _S.UP,
    (_S.DRAINING, _E.REPORT): _S.DRAINING,
    (_S.DELETING, _E.REPORT): _S.DELETING,
    (_S.UP, _E.COMMANDS_IGNORED): _S.UNRESPONSIVE,
    (_S.UNRESPONSIVE, _E.COMMANDS_ACKNOWLEDGED): _S.UP,
    (_S.UNRESPONSIVE, _E.REPORT): _S.UNRESPONSIVE,
    (_S.UNRESPONSIVE, _E.DRAIN): _S.DRAINING,
    (_S.UP, _E.DRAIN): _S.DRAINING,
    (_S.BOOTING, _E.DRAIN): _S.DRAINING,
    (_S.INHERITED, _E.DRAIN): _S.DRAINING,
    (_S.DRAINING, _E.DRAIN): _S.DRAINING,
    (_S.DELETING, _E.DRAIN): _S.DELETING,
    # A deletion that was not answered may still be executed, so nothing may be placed there again.
    (_S.DELETING, _E.DELETE_FAILED): _S.DRAINING,
    (_S.DELETING, _E.DELETED): _S.GONE,
}
for _state in (_S.BOOTING, _S.INHERITED, _S.UP, _S.UNRESPONSIVE, _S.DRAINING, _S.DELETING):
    TRANSITIONS[_state, _E.DELETE] = _S.DELETING
