"""Detects that this node receives reports of workers but can forward them to no leader.

That is the case when this node reaches neither the state service nor any other node, or when the state service names a
leader that this node does not reach.

The node may be partitioned together with its zone; then its answers keep the zone's workers alive, and no other node
could. Or the workers could reach the other nodes, and its answers keep them from it: the next leader then gets no
report of them for as long as that lasts. Only the workers can find out, so a few are redirected as scouts. A scout that
is back within the time that trying all nodes takes found no other node; if all stay away, the other workers follow. No
worker is redirected that was not served just before, so that its lease outlives the way, also between two nodes in the
same situation.
"""

from __future__ import annotations

import logging
from enum import Enum, auto

from .. import constants

log = logging.getLogger(__name__)

ReportOrder = tuple[int, int]  # session and number of a report


class PartitionState(Enum):
    """What this node does with the workers that report to it."""

    CONNECTED = auto()  # a leader gets the reports that come here, or there is no leader
    ISOLATED = auto()  # no leader gets them: all workers are served
    SCOUTING = auto()  # a few workers were redirected as scouts
    PARTITIONED = auto()  # a scout is back: the zone is partitioned too, and all workers are served
    REDIRECTING = auto()  # all scouts stayed away: only this node is partitioned, and all workers are redirected


class PartitionEvent(Enum):
    """What moves the detector from one state to another."""

    CONTACT_GAINED = auto()
    CONTACT_LOST = auto()
    SCOUTS_LEFT = auto()
    SCOUT_BACK = auto()
    NONE_BACK = auto()
    SCOUT_AGAIN = auto()


_S, _E = PartitionState, PartitionEvent
TRANSITIONS = {
    (_S.CONNECTED, _E.CONTACT_LOST): _S.ISOLATED,
    (_S.ISOLATED, _E.SCOUTS_LEFT): _S.SCOUTING,
    (_S.SCOUTING, _E.SCOUT_BACK): _S.PARTITIONED,
    (_S.SCOUTING, _E.NONE_BACK): _S.REDIRECTING,
    (_S.REDIRECTING, _E.SCOUT_BACK): _S.PARTITIONED,
    (_S.PARTITIONED, _E.SCOUT_AGAIN): _S.ISOLATED,
    **{(state, _E.CONTACT_GAINED): _S.CONNECTED for state in _S},
}


class PartitionDetector:
    """State machine that decides, per report, whether a worker is served here or redirected.

    Times are monotonic seconds, passed in by the caller.
    """

    def __init__(self, nodes: int, lease_s: float, report_s: float) -> None:
        """`nodes`: number of other nodes; `lease_s` and `report_s`: the workers' lease and report interval."""
        self.state = PartitionState.CONNECTED
        self.since = 0.0
        # Within this time a worker that has tried all other nodes in vain is back.
        self._round_s = nodes * constants.WORKER_NODE_TIMEOUT_S + constants.REPORT_INTERVAL_MAX_RATIO * report_s + 1.0
        self._lease_s = lease_s
        self._report_s = report_s
        self._nodes = nodes
        self._served: dict[str, float] = {}  # worker: when it was last answered with 200
        self._scouts: dict[str, ReportOrder] = {}  # redirected worker: its report answered with that

    def move(self, event: PartitionEvent, now: float) -> PartitionState:
        """Apply an event and return the state after it. This is the one place where the state changes."""
        new_state = TRANSITIONS.get((self.state, event), self.state)
        if new_state is not self.state:
            if new_state is not PartitionState.ISOLATED:
                log.info("partition detector: state changed: state=%s", new_state.name.lower())
            self.state, self.since = new_state, now
            if new_state in (PartitionState.CONNECTED, PartitionState.ISOLATED):
                self._scouts.clear()
                self._served.clear()
        return self.state

    def update(self, in_contact: bool, now: float) -> None:
        """To be called before each report; `in_contact`: a leader gets, or could get, the reports that come here."""
        if in_contact or not self._nodes:
            self.move(PartitionEvent.CONTACT_GAINED, now)
            return
        self.move(PartitionEvent.CONTACT_LOST, now)
        if self.state is PartitionState.SCOUTING and now - self.since > self._round_s:
            self.move(PartitionEvent.NONE_BACK, now)
        elif self.state is PartitionState.PARTITIONED and now - self.since > constants.PARTITION_PROBE_INTERVAL_S:
            self.move(PartitionEvent.SCOUT_AGAIN, now)

    def should_redirect(self, worker: str, order: ReportOrder, idle: bool, has_newer_token: bool, now: float) -> bool:
        """Whether this worker is to be redirected.

        `order`: that of its report, which may be a late copy; `has_newer_token`: its token is higher than any that this
        node knows.
        """
        if self.state is PartitionState.CONNECTED:
            return False
        redirected_at = self._scouts.get(worker)
        if redirected_at is not None and order > redirected_at:
            # Redirected, and here again: it found no node, or none that would keep it.
            del self._scouts[worker]
            self.move(PartitionEvent.SCOUT_BACK, now)
        served_recently = now - self._served.get(worker, -self._lease_s) < 2 * self._report_s
        if self.state is PartitionState.REDIRECTING:
            redirect = True
        elif self.state in (PartitionState.ISOLATED, PartitionState.SCOUTING):
            redirect = self._may_scout(idle or has_newer_token, now)
        else:
            redirect = False
        if redirect and served_recently:
            self._scouts[worker] = order
            if self.state is PartitionState.ISOLATED:
                self.move(PartitionEvent.SCOUTS_LEFT, now)
            return True
        return False

    def _may_scout(self, preferred: bool, now: float) -> bool:
        """Whether one more worker may be redirected as a scout.

        Idle workers first; then those whose lease outlives the whole round; if there is neither, one that may lose
        its work: that costs a machine's tasks where the zone is partitioned, and half the fleet where it is not.
        """
        if len(self._scouts) >= constants.PARTITION_PROBE_WORKERS_MAX:
            return False
        if self.state is PartitionState.SCOUTING:
            return preferred
        waited = now - self.since - constants.ISOLATION_TIMEOUT_S
        if waited <= 0:
            return False
        lease_outlives_round = self._lease_s > self._round_s + constants.CLOCK_DRIFT * self._lease_s
        return preferred or (lease_outlives_round and waited > 2 * self._report_s) or waited > self._lease_s / 2

    def on_served(self, worker: str, now: float) -> None:
        """Note that a worker's report has been answered with 200."""
        if self.state is not PartitionState.CONNECTED:
            self._served[worker] = now
