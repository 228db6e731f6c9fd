"""A job's states, and which of its tasks are done."""

from __future__ import annotations

from enum import Enum

from .. import constants as c


class JobState(Enum):
    OPEN = "o"
    DONE = "d"
    CANCELLED = "c"


class JobEvent(Enum):
    COMPLETE = "complete"
    CANCEL = "cancel"


# A job's end is final: neither state has a way out.
JOB_TRANSITIONS = {
    (JobState.OPEN, JobEvent.COMPLETE): JobState.DONE,
    (JobState.OPEN, JobEvent.CANCEL): JobState.CANCELLED,
}


class DoneSet:
    """Which tasks are done: all below `low`, and a set above it within the window."""

    __slots__ = ("above", "count", "low")

    def __init__(self, count: int, low: int = 0, above: set[int] | None = None) -> None:
        self.count = count
        self.low = low
        self.above = above if above is not None else set()

    def __contains__(self, index: int) -> bool:
        return index < self.low or index in self.above

    def __len__(self) -> int:
        return self.low + len(self.above)

    def add(self, index: int) -> None:
        if index in self:
            return
        self.above.add(index)
        while self.low in self.above:
            self.above.remove(self.low)
            self.low += 1

    def complete(self) -> bool:
        return self.low >= self.count

    def window(self) -> range:
        """The tasks that may be worked on: the bitmap in the record covers just these."""
        return range(self.low, min(self.count, self.low + c.RECORD_WINDOW))
