"""How soon the change of a job's record is written to the state service."""

from __future__ import annotations

from enum import IntEnum


class WritePriority(IntEnum):
    """Priority of a pending write: above NONE, the smaller the value, the sooner it is written."""

    NONE = 0  # the record is up to date
    URGENT = 1  # a user waits for it
    START = 2  # starts wait for their commit
    PROGRESS = 3  # completed tasks; may wait for more of them
    CLEANUP = 4  # assignments that are no longer held
