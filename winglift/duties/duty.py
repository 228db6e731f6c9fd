"""The leader's exclusive duties as state machines, and the fencing token under which they are carried out.

One lease covers all duties (`docs/duties.md` compares the alternatives): a node holds them through the leadership key
at its revision. It holds a duty only once it knows which operations the previous holder had begun.
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
    """The duties that only one controller may carry out."""

    PLACEMENT = "placement"  # starts, stops and moves tasks; reclaims the capacity of lost machines and borrowed quota
    CLOUD_OPERATIONS = "cloud operations"  # rentals and deletions of machines
    GARBAGE_COLLECTION = "garbage collection"


class DutyState(Enum):
    """States of a duty on this node."""

    ACQUIRING = auto()  # the lease is held, but the previous holder's operations are not known yet
    HELD = auto()
    IN_DOUBT = auto()  # the lease may have expired by this node's clock, so nothing is sent
    LOST = auto()  # another node holds the leadership key, or the lease has expired
    RELINQUISHED = auto()  # this node has resigned


class DutyEvent(Enum):
    """Events that change a duty's state."""

    READY = auto()  # the previous holder's operations have been read and taken over
    OVERDUE = auto()  # the lease was not renewed in time
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
    """Fencing token of a term. The state service checks the leadership key's revision, workers check the term."""

    term: int
    revision: int

    def condition(self) -> Condition:
        """The condition of every transaction of a duty (invariant 1): it fails once another node holds the key."""
        return Condition(LEADER_KEY, self.revision)


@dataclass(eq=False)
class Duty:
    """One duty of one term, as a state machine."""

    name: DutyName
    fence: Fence
    state: DutyState = DutyState.ACQUIRING

    def move(self, event: DutyEvent) -> DutyState:
        """Apply an event and return the new state; an event that the state does not allow is ignored.

        The state is changed nowhere else. LOST and RELINQUISHED are final.
        """
        new_state = TRANSITIONS.get((self.state, event), self.state)
        if new_state is not self.state:
            log.debug(
                "duty: state changed: duty=%r term=%d state=%s",
                self.name.value,
                self.fence.term,
                new_state.name.lower(),
            )
            self.state = new_state
        return new_state


@dataclass(eq=False)
class Duties:
    """All duties of one term, held by one lease."""

    leadership: Leadership
    fence: Fence = field(init=False)
    _all: dict[DutyName, Duty] = field(init=False)

    def __post_init__(self) -> None:
        self.fence = Fence(self.leadership.term, self.leadership.revision)
        self._all = {name: Duty(name, self.fence) for name in DutyName}

    def __getitem__(self, name: DutyName) -> Duty:
        return self._all[name]

    def mark_ready(self, name: DutyName) -> None:
        """Mark a duty as ready: everything that its holder must know has been read."""
        self._all[name].move(DutyEvent.READY)
        self.sync_with_lease()

    def sync_with_lease(self) -> None:
        """Apply the current state of the lease to all duties."""
        is_leader = self.leadership.role is Role.LEADER and self.leadership.term == self.fence.term
        in_doubt = self.leadership.role is Role.LEASE_IN_DOUBT and self.leadership.term == self.fence.term
        event = DutyEvent.RENEW if is_leader else DutyEvent.OVERDUE if in_doubt else DutyEvent.LOSE
        for duty in self._all.values():
            duty.move(event)

    def relinquish(self) -> None:
        """End all duties of this term."""
        for duty in self._all.values():
            duty.move(DutyEvent.RELINQUISH)

    def may_act(self, name: DutyName, now: float) -> bool:
        """Whether this duty may be carried out at monotonic time `now`.

        Callers must check this after every wait, with a new reading of the clock. `Leadership.has_valid_lease` counts
        the lease from when its renewal was sent, allows for a clock that runs slow (`CLOCK_DRIFT`), and ends the lease
        `LEADER_LEASE_MARGIN_S` early to cover the time between this check and the sending.
        """
        duty = self._all[name]
        return (
            duty.state is DutyState.HELD
            and self.leadership.term == self.fence.term
            and self.leadership.has_valid_lease(now)
        )
