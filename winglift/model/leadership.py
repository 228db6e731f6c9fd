"""The state machine of one node's role in the leader election, and its lease."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from .. import constants


class Role(Enum):
    """A node's role in the election."""

    FOLLOWER = auto()
    CAMPAIGNING = auto()
    LEADER = auto()  # holds the lease and has loaded the records
    LEASE_IN_DOUBT = auto()  # led, but the lease may have run out by its own clock: no decisions


class RoleEvent(Enum):
    """The events of a node's role."""

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
    (_R.LEADER, _E.OVERDUE): _R.LEASE_IN_DOUBT,
    (_R.LEADER, _E.RENEWED): _R.LEADER,
    (_R.LEASE_IN_DOUBT, _E.RENEWED): _R.LEADER,
    (_R.LEASE_IN_DOUBT, _E.OVERDUE): _R.LEASE_IN_DOUBT,
    (_R.LEADER, _E.LOST): _R.FOLLOWER,
    (_R.LEASE_IN_DOUBT, _E.LOST): _R.FOLLOWER,
    (_R.FOLLOWER, _E.LOST): _R.FOLLOWER,
}


@dataclass
class Leadership:
    """A node's role, term and lease. Times are steady times in s."""

    role: Role = Role.FOLLOWER
    term: int = 0  # the term this node leads or led
    lease: int = 0
    revision: int = 0  # of the leader key; every leader write is conditional on it
    valid_until: float = 0.0

    def move(self, event: RoleEvent) -> Role:
        """Apply an event; one that the role does not allow changes nothing. The role is changed nowhere else."""
        self.role = TRANSITIONS.get((self.role, event), self.role)
        return self.role

    def extend_lease(self, sent_at: float, ttl_s: float) -> None:
        """Extend the lease by `ttl_s`, counted from when the renewal was *sent*, by a clock that may be slow."""
        self.valid_until = max(
            self.valid_until, sent_at + ttl_s * (1 - 2 * constants.CLOCK_DRIFT) - constants.LEADER_LEASE_MARGIN_S
        )

    def has_valid_lease(self, now: float) -> bool:
        """Whether this node may decide and send commands now (invariant 1)."""
        return self.role is Role.LEADER and now < self.valid_until
