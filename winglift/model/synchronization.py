"""Whether this process knows every confirmed cancellation, as it must before it keeps any worker's tasks alive.

A process that has just started knows none. While the state service is down it can't read the records either, and its
answers would keep cancelled tasks alive for as long as that lasts (PROTOCOL, rule `ran_cancelled`; invariant 8).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class SyncState(Enum):
    """What this process knows of the confirmed cancellations."""

    UNSYNCHRONIZED = auto()  # nothing for certain, so it renews leases for a short time only (`provisional_renewals`)
    SYNCHRONIZED = auto()  # all of them; later ones are announced to it by the nodes that confirm them


class SyncEvent(Enum):
    """Events after which a process knows all confirmed cancellations."""

    RECORDS_LOADED = auto()  # this node leads and has read all job records
    PEER_SYNCHRONIZED = auto()  # a synchronized peer has announced all the cancellations that it enforces


_S, _E = SyncState, SyncEvent
TRANSITIONS = {(state, event): _S.SYNCHRONIZED for state in _S for event in _E}


@dataclass
class Synchronization:
    """The state machine of one process; it stays synchronized until the process ends."""

    state: SyncState = SyncState.UNSYNCHRONIZED

    def move(self, event: SyncEvent) -> bool:
        """Apply an event and return whether the state changed. The state is changed nowhere else."""
        new_state = TRANSITIONS[self.state, event]
        changed = new_state is not self.state
        self.state = new_state
        return changed
