"""Warm room for job classes that must start sooner than a machine boots, sized by their recent arrivals."""

from __future__ import annotations

import math
from collections.abc import Iterable

from .. import constants as c
from ..config.script import Script
from ..config.settings import Objective
from ..policy import worth
from ..policy.reserve import reserve_size
from ..policy.snapshot import Reserve
from ..wire.cloud import MachineType
from ..wire.users import Submission

Arrival = tuple[float, Submission]  # time of day, and what was submitted


def start_aims(objectives: Iterable[Objective]) -> dict[str, float]:
    """Job class: the shortest time, in seconds, in which its tasks should start."""
    aims: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.within_s is not None:
            aims[objective.job_class] = min(objective.within_s, aims.get(objective.job_class, math.inf))
    return aims


def warm_reserves(
    aims: dict[str, float], recent: Iterable[Arrival], types: dict[str, MachineType], script: Script, wall: float
) -> list[Reserve]:
    """The room to be kept warm for each class, by its arrivals within `RESERVE_WINDOW_S` before `wall`."""
    classes: dict[str, list[Arrival]] = {}
    for when, spec in recent:
        if spec.job_class in aims and wall - when < c.RESERVE_WINDOW_S:
            classes.setdefault(spec.job_class, []).append((when, spec))
    deviations = script.number("reserve_deviations")
    found: list[Reserve] = []
    for name, arrivals in classes.items():
        latest = arrivals[-1][1]
        # What is rented for a class takes the boot and the fetch of the type that serves it, not of another.
        mtype = worth.cheapest(latest, types.values())
        if mtype is None or aims[name] >= worth.ready_s(latest, mtype):
            continue
        proposed = reserve_size([(when, spec.tasks) for when, spec in arrivals], wall, mtype.boot_s, deviations)
        if proposed:
            found.append(Reserve(latest, int(script.ask("reserve", proposed, name, proposed))))
    return found
