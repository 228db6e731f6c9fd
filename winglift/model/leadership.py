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
    LEASE_IN_DOUBT = auto()  # held the lease, which may have expired by its own clock: no decisions


class RoleEvent(Enum):
    """Events that change a node's role."""

    CAMPAIGN = auto()
    WON = auto()
    LOST = auto()  # the state service reports another leader, a worker knows a higher term, or the node resigned
    RENEWED = auto()
    OVERDUE = auto()  # the lease was not renewed in time


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
    """A node's role, term and lease. Times are monotonic times in s."""

    role: Role = Role.FOLLOWER
    term: int = 0  # the term in which this node leads, or last led
    lease: int = 0  # identifier of the lease
    revision: int = 0  # of the leadership key; every leader write is conditional on it
    valid_until: float = 0.0  # when this node stops relying on the lease

    def move(self, event: RoleEvent) -> Role:
        """Apply an event and return the new role; an event that the role does not allow is ignored.

        The role is changed nowhere else.
        """
        self.role = TRANSITIONS.get((self.role, event), self.role)
        return self.role

    def extend_lease(self, sent_at: float, ttl_s: float) -> None:
        """Extend the lease by `ttl_s` from the time at which the renewal was *sent*.

        Subtracts the greatest possible clock drift, as this node's clock may be slow, and a safety margin.
        """
        self.valid_until = max(
            self.valid_until, sent_at + ttl_s * (1 - 2 * constants.CLOCK_DRIFT) - constants.LEADER_LEASE_MARGIN_S
        )

    def has_valid_lease(self, now: float) -> bool:
        """Whether this node may make decisions and send commands now (invariant 1: at most one leader acts)."""
        return self.role is Role.LEADER and now < self.valid_until
