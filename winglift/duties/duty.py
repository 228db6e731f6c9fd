"""A duty of the leader as a state machine, and the fence under which all of it is done.

One lease for all duties (`docs/duties.md` weighs the others): a node holds them by the leadership key at its revision.
A duty is held only once the node knows what the holder before it had begun.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum, auto

from ..model.leadership import Leadership, Role
from ..model.records import LEADER
from ..wire.state import Condition

log = logging.getLogger(__name__)


class Name(Enum):
    """What only one controller may do."""

    PLACE = "placing"  # starts, stops, moves: reclaiming room from lost machines and from borrowed work is part of it
    CLOUD = "renting and returning"
    TIDY = "clean-up"


class State(Enum):
    """How far this node is with a duty."""

    SOUGHT = auto()  # the lease is held; what the holder before had begun is not known yet
    HELD = auto()
    IN_DOUBT = auto()  # the lease may have ended by this node's clock: nothing leaves it
    LOST = auto()  # another node holds the fence, or the lease has ended
    GIVEN_UP = auto()  # this node has ended its work by itself


class Event(Enum):
    """What moves a duty."""

    KNOW = auto()  # what the holder before had begun has been read and taken over
    OVERDUE = auto()
    RENEW = auto()
    LOSE = auto()
    GIVE_UP = auto()


_S, _E = State, Event
TRANSITIONS: dict[tuple[State, Event], State] = {
    (_S.SOUGHT, _E.KNOW): _S.HELD,
    (_S.HELD, _E.KNOW): _S.HELD,
    (_S.HELD, _E.OVERDUE): _S.IN_DOUBT,
    (_S.IN_DOUBT, _E.OVERDUE): _S.IN_DOUBT,
    (_S.IN_DOUBT, _E.RENEW): _S.HELD,
    (_S.HELD, _E.RENEW): _S.HELD,
    (_S.SOUGHT, _E.RENEW): _S.SOUGHT,
    (_S.SOUGHT, _E.OVERDUE): _S.SOUGHT,
}
for _state in (_S.SOUGHT, _S.HELD, _S.IN_DOUBT):
    TRANSITIONS[_state, _E.LOSE] = _S.LOST
    TRANSITIONS[_state, _E.GIVE_UP] = _S.GIVEN_UP


@dataclass(frozen=True, slots=True)
class Fence:
    """What a holder's acts are checked against: by the state service the key's revision, by workers the term."""

    term: int
    revision: int

    def condition(self) -> Condition:
        """Stands in every transaction of a duty (invariant 1): it fails from the moment another node holds the key."""
        return Condition(LEADER, self.revision)


@dataclass(eq=False)
class Duty:
    """One duty of the holder, as a state machine."""

    name: Name
    fence: Fence
    state: State = State.SOUGHT

    def move(self, event: Event) -> State:
        """The one place where a duty changes its state. What does not apply changes nothing: an end is for good."""
        new = TRANSITIONS.get((self.state, event), self.state)
        if new is not self.state:
            log.debug("%s under term %d: %s", self.name.value, self.fence.term, new.name.lower())
            self.state = new
        return new


@dataclass(eq=False)
class Duties:
    """All duties of one term, and the lease that they are held by."""

    me: Leadership
    fence: Fence = field(init=False)
    _all: dict[Name, Duty] = field(init=False)

    def __post_init__(self) -> None:
        self.fence = Fence(self.me.term, self.me.revision)
        self._all = {name: Duty(name, self.fence) for name in Name}

    def __getitem__(self, name: Name) -> Duty:
        return self._all[name]

    def know(self, name: Name) -> None:
        """What must be known for a duty is known."""
        self._all[name].move(Event.KNOW)
        self.follow()

    def follow(self) -> None:
        """Take over what has become of the lease."""
        lead = self.me.role is Role.LEADER and self.me.term == self.fence.term
        doubt = self.me.role is Role.DOUBTFUL and self.me.term == self.fence.term
        for duty in self._all.values():
            duty.move(Event.RENEW if lead else Event.OVERDUE if doubt else Event.LOSE)

    def give_up(self) -> None:
        """No duty may be carried out any more in this term."""
        for duty in self._all.values():
            duty.move(Event.GIVE_UP)

    def may(self, name: Name, now: float) -> bool:
        """May this be decided and sent at this moment? Asked after every wait, with the clock read anew.

        `entitled` counts the lease from when its renewal was sent, by a clock that may be slow (CLOCK_DRIFT), and ends
        it LEADER_MARGIN_S early, for what lies between this question and the sending.
        """
        duty = self._all[name]
        return duty.state is State.HELD and self.me.term == self.fence.term and self.me.entitled(now)
