"""A node that still hears workers, and can hand what it hears to no leader: it hears neither the state service nor any
other node, or the state service names a leader that it does not reach.

It may be cut off together with its zone; then its answers keep the zone's workers alive, and nobody else could. Or the
workers could reach the others, and its answers keep them from it: the next leader hears nothing of them for as long as
that lasts. Only the workers can tell: a few are sent on. Who is back within the time that going round the nodes takes
found nobody else; if all stay away, the others follow. Nothing is sent on that was not served just before, so that a
worker's lease outlives the way, also between two nodes in the same plight.
"""

from __future__ import annotations

import logging
from enum import Enum, auto

from .. import constants

log = logging.getLogger(__name__)

Order = tuple[int, int]  # session and number of a report


class PartitionState(Enum):
    CONNECTED = auto()  # a leader has what is heard here, or nobody leads
    ISOLATED = auto()  # none has: everybody is served
    SCOUTING = auto()  # a few workers were sent on
    PARTITIONED = auto()  # one of them is back: the zone is cut off too, and everybody is served
    REDIRECTING = auto()  # all stayed away: it is this node alone, and everybody is sent on


class PartitionEvent(Enum):
    HEARD = auto()
    LOST = auto()
    SCOUTS_LEFT = auto()
    SCOUT_BACK = auto()
    NONE_BACK = auto()
    ASK_AGAIN = auto()


_S, _E = PartitionState, PartitionEvent
TRANSITIONS = {
    (_S.CONNECTED, _E.LOST): _S.ISOLATED,
    (_S.ISOLATED, _E.SCOUTS_LEFT): _S.SCOUTING,
    (_S.SCOUTING, _E.SCOUT_BACK): _S.PARTITIONED,
    (_S.SCOUTING, _E.NONE_BACK): _S.REDIRECTING,
    (_S.REDIRECTING, _E.SCOUT_BACK): _S.PARTITIONED,
    (_S.PARTITIONED, _E.ASK_AGAIN): _S.ISOLATED,
    **{(state, _E.HEARD): _S.CONNECTED for state in _S},
}


class PartitionDetector:
    """`nodes` besides this one, `lease_s` and `report_s` of the workers. Times are steady, from outside."""

    def __init__(self, nodes: int, lease_s: float, report_s: float) -> None:
        self.state = PartitionState.CONNECTED
        self.since = 0.0
        self._round_s = (
            nodes * constants.WORKER_TRY_S + constants.REPORT_LATEST * report_s + 1.0
        )  # until one that found nobody is back
        self._lease_s = lease_s
        self._report_s = report_s
        self._nodes = nodes
        self._served: dict[str, float] = {}  # worker: when it was answered 200 last
        self._away: dict[str, tuple[float, Order]] = {}  # worker: when it was sent on, and the report that told so

    def move(self, event: PartitionEvent, now: float) -> PartitionState:
        """The one place where the state changes."""
        new = TRANSITIONS.get((self.state, event), self.state)
        if new is not self.state:
            if new is not PartitionState.ISOLATED:
                log.info("no leader has what is heard here: %s", new.name.lower())
            self.state, self.since = new, now
            if new in (PartitionState.CONNECTED, PartitionState.ISOLATED):
                self._away.clear()
                self._served.clear()
        return self.state

    def update(self, hears: bool, now: float) -> None:
        """Before each report: does any leader, or could any, get to know what is heard here?"""
        if hears or not self._nodes:
            self.move(PartitionEvent.HEARD, now)
            return
        self.move(PartitionEvent.LOST, now)
        if self.state is PartitionState.SCOUTING and now - self.since > self._round_s:
            self.move(PartitionEvent.NONE_BACK, now)
        elif self.state is PartitionState.PARTITIONED and now - self.since > constants.PARTITION_SCOUT_INTERVAL_S:
            self.move(PartitionEvent.ASK_AGAIN, now)

    def sends_on(self, worker: str, order: Order, idle: bool, knows_more: bool, now: float) -> bool:
        """Is this worker to be sent on? `order`: of its report, which may be a late copy; `knows_more`: its token is
        higher than any that this node knows."""
        if self.state is PartitionState.CONNECTED:
            return False
        left = self._away.get(worker)  # when and at which report it was sent on
        if left is not None and order > left[1]:
            # Sent on, and here again: it found nobody, or nobody who would keep it.
            del self._away[worker]
            self.move(PartitionEvent.SCOUT_BACK, now)
        ready = now - self._served.get(worker, -self._lease_s) < 2 * self._report_s
        if self.state is PartitionState.REDIRECTING:
            go = True
        elif self.state in (PartitionState.ISOLATED, PartitionState.SCOUTING):
            go = self._may_scout(idle or knows_more, now)
        else:
            go = False
        if go and ready:
            self._away[worker] = now, order
            if self.state is PartitionState.ISOLATED:
                self.move(PartitionEvent.SCOUTS_LEFT, now)
            return True
        return False

    def _may_scout(self, free: bool, now: float) -> bool:
        """Idle workers first; then those whose lease outlives the whole round; if there is neither, one that may lose
        its work: that costs a machine's tasks where the zone is cut off, and half the fleet where it is not."""
        if len(self._away) >= constants.PARTITION_SCOUTS:
            return False
        if self.state is PartitionState.SCOUTING:
            return free
        waited = now - self.since - constants.ISOLATED_AFTER_S
        if waited <= 0:
            return False
        safe = self._lease_s > self._round_s + constants.CLOCK_DRIFT * self._lease_s
        return free or (safe and waited > 2 * self._report_s) or waited > self._lease_s / 2

    def served(self, worker: str, now: float) -> None:
        if self.state is not PartitionState.CONNECTED:
            self._served[worker] = now
