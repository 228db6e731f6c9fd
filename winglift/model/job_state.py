"""The state machine of a job, and the set of its completed tasks."""

from __future__ import annotations

import math
from enum import Enum

from .. import constants


class JobState(Enum):
    """A job's states; a record holds the value."""

    OPEN = "o"
    ENDING = "all done, in no record yet"  # seen by this leader only; a cancellation that is recorded first still wins
    DONE = "d"
    CANCELLED = "c"

    @property
    def is_final(self) -> bool:
        """Whether the state is final: recorded, and never replaced by any writer (invariant 4)."""
        return self in (JobState.DONE, JobState.CANCELLED)


class JobEvent(Enum):
    """The events of a job's state machine."""

    COMPLETE = "all tasks have completed"
    RECORD_DONE = "its record says done"
    RECORD_CANCELLED = "its record says cancelled"


# Only a record ends a job: a leader once called it done in memory, its user cancelled it, and "done" was written over
# the final state that the user had been answered. No transition leaves a recorded final state.
JOB_TRANSITIONS = {
    (JobState.OPEN, JobEvent.COMPLETE): JobState.ENDING,
    (JobState.OPEN, JobEvent.RECORD_DONE): JobState.DONE,
    (JobState.OPEN, JobEvent.RECORD_CANCELLED): JobState.CANCELLED,
    (JobState.ENDING, JobEvent.RECORD_DONE): JobState.DONE,
    (JobState.ENDING, JobEvent.RECORD_CANCELLED): JobState.CANCELLED,
}


def seconds_since_cancelled(cancelled: float | None, wall: float, skew_s: float) -> float:
    """Upper bound in s of the time since a user was answered that a job is cancelled, by the time of day in its record.

    The time was read before the commit, the user is answered after it, and two nodes' clocks are at most twice `skew_s`
    apart. A record without it, by a version that did not write it, counts as cancelled long ago. `wall`: time of day.
    """
    return wall - cancelled + 2 * skew_s if cancelled is not None else math.inf


class CompletedTasks:
    """The completed tasks of a job: all below `first_open`, and the set `above` within the record's window."""

    __slots__ = ("above", "count", "first_open")

    def __init__(self, count: int, low: int = 0, above: set[int] | None = None) -> None:
        self.count = count
        self.first_open = low
        self.above = above if above is not None else set()

    def __contains__(self, index: int) -> bool:
        return index < self.first_open or index in self.above

    def __len__(self) -> int:
        return self.first_open + len(self.above)

    def add(self, index: int) -> None:
        """Mark a task as done."""
        if index in self:
            return
        self.above.add(index)
        while self.first_open in self.above:
            self.above.remove(self.first_open)
            self.first_open += 1

    def complete(self) -> bool:
        """Whether all tasks are done."""
        return self.first_open >= self.count

    def open_window(self) -> range:
        """The numbers of the tasks that may be started: the bitmap in the record covers just these."""
        return range(self.first_open, min(self.count, self.first_open + constants.RECORD_WINDOW_TASKS))
