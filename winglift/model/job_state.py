"""A job's states, and which of its tasks are done."""

from __future__ import annotations

import math
from enum import Enum

from .. import constants


class JobState(Enum):
    """A job's states; a record holds the value."""

    OPEN = "o"
    ENDING = "all done, in no record yet"  # as this leader has seen; a cancellation that is recorded first still wins
    DONE = "d"
    CANCELLED = "c"

    @property
    def is_final(self) -> bool:
        """Ended by its record, for good and for every writer (invariant 4)."""
        return self in (JobState.DONE, JobState.CANCELLED)


class JobEvent(Enum):
    """What moves a job."""

    COMPLETE = "all tasks have completed"
    RECORD_DONE = "its record says done"
    RECORD_CANCELLED = "its record says cancelled"


# Only a record ends a job: a leader once called it done in memory, its user cancelled it, and "done" was written over
# the end that the user had been told. A recorded end has no way out.
JOB_TRANSITIONS = {
    (JobState.OPEN, JobEvent.COMPLETE): JobState.ENDING,
    (JobState.OPEN, JobEvent.RECORD_DONE): JobState.DONE,
    (JobState.OPEN, JobEvent.RECORD_CANCELLED): JobState.CANCELLED,
    (JobState.ENDING, JobEvent.RECORD_DONE): JobState.DONE,
    (JobState.ENDING, JobEvent.RECORD_CANCELLED): JobState.CANCELLED,
}


def seconds_since_cancelled(cancelled: float | None, wall: float, skew_s: float) -> float:
    """At the most so many seconds ago a user was told that a job is cancelled, by the time of day in its record.

    The time was read before the commit, the user is told after it, and two nodes' clocks are at most twice `skew_s`
    apart. A record without it, by a version that did not write it, counts as cancelled long ago.
    """
    return wall - cancelled + 2 * skew_s if cancelled is not None else math.inf


class CompletedTasks:
    """Which tasks are done: all below `low`, and a set above it within the window."""

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
        """The task is done."""
        if index in self:
            return
        self.above.add(index)
        while self.first_open in self.above:
            self.above.remove(self.first_open)
            self.first_open += 1

    def complete(self) -> bool:
        """Are all tasks done?"""
        return self.first_open >= self.count

    def open_window(self) -> range:
        """The tasks that may be worked on: the bitmap in the record covers just these."""
        return range(self.first_open, min(self.count, self.first_open + constants.RECORD_WINDOW))
