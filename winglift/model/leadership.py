"""Leadership of one node, as a state machine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from .. import constants


class Role(Enum):
    """What a node is in the election."""

    FOLLOWER = auto()
    CAMPAIGNING = auto()
    LEADER = auto()  # holds the lease and has loaded the records
    DOUBTFUL = auto()  # led, but the lease may have run out by its own clock: no decisions


class RoleEvent(Enum):
    """What moves a role."""

    CAMPAIGN = auto()
    WON = auto()
    LOST = auto()  # the state service says so, a worker knows a higher term, or the node resigned
    RENEWED = auto()
    OVERDUE = auto()


_R, _E = Role, RoleEvent
TRANSITIONS = {
    (_R.FOLLOWER, _E.CAMPAIGN): _R.CAMPAIGNING,
    (_R.CAMPAIGNING, _E.WON): _R.LEADER,
    (_R.CAMPAIGNING, _E.LOST): _R.FOLLOWER,
    (_R.LEADER, _E.OVERDUE): _R.DOUBTFUL,
    (_R.LEADER, _E.RENEWED): _R.LEADER,
    (_R.DOUBTFUL, _E.RENEWED): _R.LEADER,
    (_R.DOUBTFUL, _E.OVERDUE): _R.DOUBTFUL,
    (_R.LEADER, _E.LOST): _R.FOLLOWER,
    (_R.DOUBTFUL, _E.LOST): _R.FOLLOWER,
    (_R.FOLLOWER, _E.LOST): _R.FOLLOWER,
}


@dataclass
class Leadership:
    """A node's role, term and lease, as a state machine."""

    role: Role = Role.FOLLOWER
    term: int = 0  # the term this node leads or led
    lease: int = 0
    revision: int = 0  # of the leader key; every leader write is conditional on it
    valid_until: float = 0.0

    def move(self, event: RoleEvent) -> Role:
        """The one place where a node changes its role. What does not apply changes nothing."""
        self.role = TRANSITIONS.get((self.role, event), self.role)
        return self.role

    def extend_lease(self, sent_at: float, ttl_s: float) -> None:
        """The lease runs at least this long: counted from when the renewal was *sent*, by a clock that may be slow."""
        self.valid_until = max(
            self.valid_until, sent_at + ttl_s * (1 - 2 * constants.CLOCK_DRIFT) - constants.LEADER_MARGIN_S
        )

    def entitled(self, now: float) -> bool:
        """May this node decide and command now? (invariant 1)"""
        return self.role is Role.LEADER and now < self.valid_until
