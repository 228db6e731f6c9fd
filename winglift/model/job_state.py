"""The state machine of a job, and the set of its completed tasks."""

from __future__ import annotations

import math
from enum import Enum

from .. import constants


class JobState(Enum):
    """A job's states; a record holds the value."""

    OPEN = "o"
    # All tasks are done, but only this leader knows it: a cancellation that is recorded first takes precedence.
    ENDING = "all done, in no record yet"
    DONE = "d"
    CANCELLED = "c"

    @property
    def is_final(self) -> bool:
        """Whether the state is final: it is recorded, and no writer ever replaces it (invariant 4)."""
        return self in (JobState.DONE, JobState.CANCELLED)


class JobEvent(Enum):
    """Events that change a job's state."""

    COMPLETE = "all tasks have completed"
    RECORD_DONE = "its record says done"
    RECORD_CANCELLED = "its record says cancelled"


# Only a record ends a job. When a leader ended a job in its memory and the user then cancelled it, "done" replaced the
# final state that had been confirmed to the user. No transition leaves a recorded final state.
JOB_TRANSITIONS = {
    (JobState.OPEN, JobEvent.COMPLETE): JobState.ENDING,
    (JobState.OPEN, JobEvent.RECORD_DONE): JobState.DONE,
    (JobState.OPEN, JobEvent.RECORD_CANCELLED): JobState.CANCELLED,
    (JobState.ENDING, JobEvent.RECORD_DONE): JobState.DONE,
    (JobState.ENDING, JobEvent.RECORD_CANCELLED): JobState.CANCELLED,
}


def seconds_since_cancelled(cancelled_at: float | None, wall: float, skew_s: float) -> float:
    """Upper bound in s of the time since a job's cancellation was confirmed to its user.

    `cancelled_at` is the time of day in the job's record and `wall` the current one. The former was read before the
    commit, the user is answered after it, and the clocks of two nodes differ by at most twice `skew_s`. A record
    without the time, from a version that did not write it, counts as cancelled long ago.
    """
    return wall - cancelled_at + 2 * skew_s if cancelled_at is not None else math.inf


class CompletedTasks:
    """The completed tasks of a job: all below `first_open`, and those in the set `above`.

    The numbers in `above` are higher than `first_open` and less than `RECORD_WINDOW_TASKS` beyond it.
    """

    __slots__ = ("above", "count", "first_open")

    def __init__(self, count: int, first_open: int = 0, above: set[int] | None = None) -> None:
        self.count = count
        self.first_open = first_open
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

    def is_complete(self) -> bool:
        """Whether all tasks are done."""
        return self.first_open >= self.count

    def startable_range(self) -> range:
        """The range of task numbers that may be started; the bitmap in the record covers no others."""
        return range(self.first_open, min(self.count, self.first_open + constants.RECORD_WINDOW_TASKS))
