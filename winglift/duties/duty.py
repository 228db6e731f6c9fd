"""A duty of the leader as a state machine, and the fence under which all of it is done.

One lease for all duties (`docs/duties.md` weighs the others): a node holds them by the leadership key at its revision.
A duty is held only once the node knows what the holder before it had begun.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum, auto

from ..model.leadership import Leadership, Role
from ..model.records import LEADER_KEY
from ..wire.state import Condition

log = logging.getLogger(__name__)


class DutyName(Enum):
    """What only one controller may do."""

    PLACEMENT = (
        "placing"  # starts, stops, moves: reclaiming room from lost machines and from borrowed work is part of it
    )
    CLOUD_OPERATIONS = "renting and returning"
    GARBAGE_COLLECTION = "clean-up"


class DutyState(Enum):
    """How far this node is with a duty."""

    ACQUIRING = auto()  # the lease is held; what the holder before had begun is not known yet
    HELD = auto()
    IN_DOUBT = auto()  # the lease may have ended by this node's clock: nothing leaves it
    LOST = auto()  # another node holds the fence, or the lease has ended
    RELINQUISHED = auto()  # this node has ended its work by itself


class DutyEvent(Enum):
    """What moves a duty."""

    READY = auto()  # what the holder before had begun has been read and taken over
    OVERDUE = auto()
    RENEW = auto()
    LOSE = auto()
    RELINQUISH = auto()


_S, _E = DutyState, DutyEvent
TRANSITIONS: dict[tuple[DutyState, DutyEvent], DutyState] = {
    (_S.ACQUIRING, _E.READY): _S.HELD,
    (_S.HELD, _E.READY): _S.HELD,
    (_S.HELD, _E.OVERDUE): _S.IN_DOUBT,
    (_S.IN_DOUBT, _E.OVERDUE): _S.IN_DOUBT,
    (_S.IN_DOUBT, _E.RENEW): _S.HELD,
    (_S.HELD, _E.RENEW): _S.HELD,
    (_S.ACQUIRING, _E.RENEW): _S.ACQUIRING,
    (_S.ACQUIRING, _E.OVERDUE): _S.ACQUIRING,
}
for _state in (_S.ACQUIRING, _S.HELD, _S.IN_DOUBT):
    TRANSITIONS[_state, _E.LOSE] = _S.LOST
    TRANSITIONS[_state, _E.RELINQUISH] = _S.RELINQUISHED


@dataclass(frozen=True, slots=True)
class Fence:
    """What a holder's acts are checked against: by the state service the key's revision, by workers the term."""

    term: int
    revision: int

    def condition(self) -> Condition:
        """Stands in every transaction of a duty (invariant 1): it fails from the moment another node holds the key."""
        return Condition(LEADER_KEY, self.revision)


@dataclass(eq=False)
class Duty:
    """One duty of the holder, as a state machine."""

    name: DutyName
    fence: Fence
    state: DutyState = DutyState.ACQUIRING

    def move(self, event: DutyEvent) -> DutyState:
        """The one place where a duty changes its state. What does not apply changes nothing: an end is for good."""
        new = TRANSITIONS.get((self.state, event), self.state)
        if new is not self.state:
            log.debug("%s under term %d: %s", self.name.value, self.fence.term, new.name.lower())
            self.state = new
        return new


@dataclass(eq=False)
class Duties:
    """All duties of one term, and the lease that they are held by."""

    leadership: Leadership
    fence: Fence = field(init=False)
    _all: dict[DutyName, Duty] = field(init=False)

    def __post_init__(self) -> None:
        self.fence = Fence(self.leadership.term, self.leadership.revision)
        self._all = {name: Duty(name, self.fence) for name in DutyName}

    def __getitem__(self, name: DutyName) -> Duty:
        return self._all[name]

    def mark_ready(self, name: DutyName) -> None:
        """What must be known for a duty is known."""
        self._all[name].move(DutyEvent.READY)
        self.sync_with_lease()

    def sync_with_lease(self) -> None:
        """Take over what has become of the lease."""
        lead = self.leadership.role is Role.LEADER and self.leadership.term == self.fence.term
        doubt = self.leadership.role is Role.DOUBTFUL and self.leadership.term == self.fence.term
        for duty in self._all.values():
            duty.move(DutyEvent.RENEW if lead else DutyEvent.OVERDUE if doubt else DutyEvent.LOSE)

    def relinquish(self) -> None:
        """No duty may be carried out any more in this term."""
        for duty in self._all.values():
            duty.move(DutyEvent.RELINQUISH)

    def may_act(self, name: DutyName, now: float) -> bool:
        """May this be decided and sent at this moment? Asked after every wait, with the clock read anew.

        `entitled` counts the lease from when its renewal was sent, by a clock that may be slow (CLOCK_DRIFT), and ends
        it LEADER_MARGIN_S early, for what lies between this question and the sending.
        """
        duty = self._all[name]
        return (
            duty.state is DutyState.HELD and self.leadership.term == self.fence.term and self.leadership.entitled(now)
        )
