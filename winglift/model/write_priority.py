"""The priority with which changes of job records are written to the state service."""

from __future__ import annotations

from enum import IntEnum


class WritePriority(IntEnum):
    """Priority of a pending write. Apart from NONE, smaller values are written sooner."""

    NONE = 0  # the record is up to date
    URGENT = 1  # a user is waiting for the write
    START = 2  # starts are waiting for the commit
    PROGRESS = 3  # completed tasks; may wait to be written together with others
    CLEANUP = 4  # assignments that have ended
