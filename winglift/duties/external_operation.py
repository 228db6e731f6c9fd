"""The state machine of an external operation: a rental or deletion of machines at the cloud.

The cloud checks neither the term nor the leadership key. So the intent is committed to the state service under the
fencing token before the call is sent. A successor reads it and knows which calls may have been executed, or may still
be executed minutes later.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

from ..model.task_state import InvalidTransition
from ..wire.cloud import RentRequest


class OperationState(Enum):
    """States of an external operation."""

    INTENDED = auto()  # decided, but known to this node alone
    RECORDED = auto()  # committed in the intent log, from which every successor learns of it
    SENT = auto()  # the call may have been executed, or may still be
    SETTLED = auto()  # the cloud has confirmed it
    ABANDONED = auto()  # certainly not executed: refused, or withdrawn before it was recorded


class OperationEvent(Enum):
    """Events that change an operation's state."""

    RECORD = auto()
    SEND = auto()
    SEND_UNRECORDED = auto()  # a deletion because of a cancelled task, while the state service is unavailable
    ANSWER = auto()
    REFUSE = auto()
    WITHDRAW = auto()


_S, _E = OperationState, OperationEvent
TRANSITIONS: dict[tuple[OperationState, OperationEvent], OperationState] = {
    (_S.INTENDED, _E.RECORD): _S.RECORDED,
    (_S.INTENDED, _E.WITHDRAW): _S.ABANDONED,
    (_S.INTENDED, _E.SEND_UNRECORDED): _S.SENT,
    (_S.RECORDED, _E.RECORD): _S.RECORDED,  # written again in a later intent record
    (_S.RECORDED, _E.SEND): _S.SENT,
    (_S.RECORDED, _E.SEND_UNRECORDED): _S.SENT,
    (_S.SENT, _E.RECORD): _S.SENT,
    (_S.SENT, _E.SEND): _S.SENT,  # retried after no answer
    (_S.SENT, _E.SEND_UNRECORDED): _S.SENT,
    (_S.SENT, _E.ANSWER): _S.SETTLED,
    (_S.SENT, _E.REFUSE): _S.ABANDONED,
    (_S.SETTLED, _E.RECORD): _S.SETTLED,
    (_S.ABANDONED, _E.RECORD): _S.ABANDONED,  # it ended while the intent record was being written
}
OPEN = frozenset({_S.INTENDED, _S.RECORDED, _S.SENT})


@dataclass(slots=True, eq=False)
class ExternalOperation:
    """A rental under a name that is never reused, or the deletion of one machine."""

    name: str  # name of the rental, or of the machine to be deleted
    intended_at: float  # monotonic time in s; for an inherited rental, computed from times of day
    request: RentRequest | None = None  # the rental request; None for a deletion
    state: OperationState = OperationState.INTENDED
    machines: tuple[str, ...] = ()  # the machines that a settled rental has provided
    ended_at: float = math.inf
    inherited: bool = False  # whether an earlier leader intended it

    def move(self, event: OperationEvent, now: float) -> OperationState:
        """Apply an event; the state is changed nowhere else. Raises InvalidTransition."""
        try:
            self.state = TRANSITIONS[self.state, event]
        except KeyError:
            raise InvalidTransition(
                f"{event.name} is not allowed in state {self.state.name} of operation {self.name}"
            ) from None
        if self.state not in OPEN and self.ended_at == math.inf:
            self.ended_at = now
        return self.state

    @property
    def is_open(self) -> bool:
        """Whether it may still be executed, or its outcome is not known."""
        return self.state in OPEN
