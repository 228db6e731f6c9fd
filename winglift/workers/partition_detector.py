"""Detects that this node receives reports of workers but can't forward them to a leader.

That is the case when this node reaches neither the state service nor any other node, or when the state service names a
leader that this node can't reach.

If the whole zone is partitioned, this node's answers keep the zone's workers alive, and no other node could do so. If
only this node is partitioned, its answers keep workers from switching to other nodes, and the next leader gets no
report of them for as long as that lasts. Only the workers can tell the two cases apart, so a few of them, the scouts
(at most `PARTITION_PROBE_WORKERS_MAX`), are redirected. A scout that reports here again within the time that it takes
to try all nodes has found no other node. If no scout comes back, the other workers are redirected too. A worker is
redirected only if it was served just before, so that its lease outlasts the search, also if it is redirected back and
forth between two partitioned nodes.
"""

from __future__ import annotations

import logging
from enum import Enum, auto

from .. import constants

log = logging.getLogger(__name__)

ReportSequence = tuple[int, int]  # session and sequence number of a report


class PartitionState(Enum):
    """What this node does with the workers that report to it."""

    CONNECTED = auto()  # a leader gets the reports received here, or there is no leader
    ISOLATED = auto()  # no leader gets them: all workers are served
    SCOUTING = auto()  # a few workers were redirected as scouts
    PARTITIONED = auto()  # a scout came back: the whole zone is partitioned, and all workers are served
    REDIRECTING = auto()  # no scout came back: only this node is partitioned, and all workers are redirected


class PartitionEvent(Enum):
    """Events that change the state of the detector."""

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
        # A worker that tries all other nodes without success reports here again within this time.
        self._node_round_s = (
            nodes * constants.WORKER_NODE_TIMEOUT_S + constants.REPORT_INTERVAL_MAX_RATIO * report_s + 1.0
        )
        self._lease_s = lease_s
        self._report_s = report_s
        self._nodes = nodes
        self._served: dict[str, float] = {}  # worker: time of the last answer with 200
        self._scouts: dict[str, ReportSequence] = {}  # redirected worker: the report that the redirect answered

    def move(self, event: PartitionEvent, now: float) -> PartitionState:
        """Apply an event and return the resulting state. The state changes nowhere else."""
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
        """Update the state before each report; `in_contact`: a leader gets, or could get, the reports received here."""
        if in_contact or not self._nodes:
            self.move(PartitionEvent.CONTACT_GAINED, now)
            return
        self.move(PartitionEvent.CONTACT_LOST, now)
        if self.state is PartitionState.SCOUTING and now - self.since > self._node_round_s:
            self.move(PartitionEvent.NONE_BACK, now)
        elif self.state is PartitionState.PARTITIONED and now - self.since > constants.PARTITION_PROBE_INTERVAL_S:
            self.move(PartitionEvent.SCOUT_AGAIN, now)

    def should_redirect(
        self, worker: str, sequence: ReportSequence, idle: bool, has_newer_token: bool, now: float
    ) -> bool:
        """Whether this worker is to be redirected.

        `sequence`: that of its report, which may be a delayed copy; `has_newer_token`: the report's token is higher
        than any that this node knows.
        """
        if self.state is PartitionState.CONNECTED:
            return False
        redirected_sequence = self._scouts.get(worker)
        if redirected_sequence is not None and sequence > redirected_sequence:
            # The redirected worker reports here again: it found no node, or none that would serve it.
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
            self._scouts[worker] = sequence
            if self.state is PartitionState.ISOLATED:
                self.move(PartitionEvent.SCOUTS_LEFT, now)
            return True
        return False

    def _may_scout(self, preferred: bool, now: float) -> bool:
        """Whether one more worker may be redirected as a scout.

        Idle workers and those with a newer token go first, then workers whose lease outlasts a round of all nodes. If
        there are none, a worker goes that may lose its tasks: if the zone is partitioned, that costs the tasks of one
        machine; if it is not, sending no scout would cost half the fleet.
        """
        if len(self._scouts) >= constants.PARTITION_PROBE_WORKERS_MAX:
            return False
        if self.state is PartitionState.SCOUTING:
            return preferred
        waited = now - self.since - constants.ISOLATION_TIMEOUT_S
        if waited <= 0:
            return False
        lease_outlives_round = self._lease_s > self._node_round_s + constants.CLOCK_DRIFT * self._lease_s
        return preferred or (lease_outlives_round and waited > 2 * self._report_s) or waited > self._lease_s / 2

    def on_served(self, worker: str, now: float) -> None:
        """Record that a worker's report was answered with 200."""
        if self.state is not PartitionState.CONNECTED:
            self._served[worker] = now
