"""How much room to keep warm for work that must start sooner than a machine boots."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .. import constants as c


def reserve_size(arrivals: Sequence[tuple[float, int]], now: float, boot_s: float, deviations: float) -> int:
    """Tasks to keep room for: what may arrive while a machine boots.

    `arrivals` holds time and tasks of recent jobs. The fullest stretch of time does not count towards the rate:
    when the service or its users start, everything is submitted at once, and that once kept 11 machines warm.
    """
    slots: dict[int, int] = {}
    for when, tasks in arrivals:
        slot = int((now - when) // c.RESERVE_SLOT_S)
        slots[slot] = slots.get(slot, 0) + tasks
    total = sum(tasks for _, tasks in arrivals) - max(slots.values())
    span = max(c.RESERVE_SPAN_S, now - min(when for when, _ in arrivals)) - c.RESERVE_SLOT_S
    expected = total / span * boot_s
    mean = sum(tasks for _, tasks in arrivals) / len(arrivals)
    largest = max(tasks for _, tasks in arrivals)
    return max(largest, math.ceil(expected + deviations * math.sqrt(expected * mean)))
