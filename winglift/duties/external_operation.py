"""An effect on the cloud, from its intent to its end, as a state machine.

The cloud checks neither term nor key. So an effect's intent is in the state service, committed under the fence, before
the call is sent: whoever follows reads it and knows what may have been done, or may yet be, minutes later.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

from ..model.task_state import InvalidTransition
from ..wire.cloud import Rent


class OperationState(Enum):
    """How far an effect on the cloud is."""

    INTENDED = auto()  # decided, known to this node alone
    RECORDED = auto()  # in the book: every later holder knows of it
    SENT = auto()  # it may have been carried out, or may yet be
    SETTLED = auto()  # answered: it is done
    ABANDONED = auto()  # certainly not done: refused, or withdrawn before it was recorded


class OperationEvent(Enum):
    """What moves an effect."""

    RECORD = auto()
    SEND = auto()
    SEND_UNRECORDED = auto()  # a deletion for a cancelled task, while the state service is away
    ANSWER = auto()
    REFUSE = auto()
    WITHDRAW = auto()


_S, _E = OperationState, OperationEvent
TRANSITIONS: dict[tuple[OperationState, OperationEvent], OperationState] = {
    (_S.INTENDED, _E.RECORD): _S.RECORDED,
    (_S.INTENDED, _E.WITHDRAW): _S.ABANDONED,
    (_S.INTENDED, _E.SEND_UNRECORDED): _S.SENT,
    (_S.RECORDED, _E.RECORD): _S.RECORDED,  # once more in a later page
    (_S.RECORDED, _E.SEND): _S.SENT,
    (_S.RECORDED, _E.SEND_UNRECORDED): _S.SENT,
    (_S.SENT, _E.RECORD): _S.SENT,
    (_S.SENT, _E.SEND): _S.SENT,  # no answer: the same again
    (_S.SENT, _E.SEND_UNRECORDED): _S.SENT,
    (_S.SENT, _E.ANSWER): _S.SETTLED,
    (_S.SENT, _E.REFUSE): _S.ABANDONED,
    (_S.SETTLED, _E.RECORD): _S.SETTLED,
    (_S.ABANDONED, _E.RECORD): _S.ABANDONED,  # the page was under way when it ended
}
OPEN = frozenset({_S.INTENDED, _S.RECORDED, _S.SENT})


@dataclass(slots=True, eq=False)
class ExternalOperation:
    """A rental under a name that is never used again, or the deletion of one machine."""

    name: str  # of the rental, or of the machine to be deleted
    intended_at: float  # steady time of its intent, as well as it is known
    request: Rent | None = None  # what is rented; None: a deletion
    state: OperationState = OperationState.INTENDED
    machines: tuple[str, ...] = ()  # what a rental has brought
    ended_at: float = math.inf
    inherited: bool = False  # an earlier holder intended it

    def move(self, event: OperationEvent, now: float) -> OperationState:
        """The one place where an effect changes its state."""
        try:
            self.state = TRANSITIONS[self.state, event]
        except KeyError:
            raise InvalidTransition(f"{event.name} in {self.state.name} of {self.name}") from None
        if self.state not in OPEN and self.ended_at == math.inf:
            self.ended_at = now
        return self.state

    @property
    def is_open(self) -> bool:
        """May it still be carried out, or is its end not known?"""
        return self.state in OPEN
