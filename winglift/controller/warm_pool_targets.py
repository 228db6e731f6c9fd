"""Warm pools for job classes that must start sooner than a machine boots, sized by their recent arrivals."""

from __future__ import annotations

import math
from collections.abc import Iterable

from .. import constants
from ..config.script import Script
from ..config.settings import Objective
from ..policy import cost_model
from ..policy.snapshot import WarmPoolTarget
from ..policy.warm_pool import warm_pool_size
from ..wire.cloud import MachineType
from ..wire.users import Submission

Arrival = tuple[float, Submission]  # time of day, and what was submitted


def start_objectives(objectives: Iterable[Objective]) -> dict[str, float]:
    """Job class: the shortest time, in seconds, in which its tasks should start."""
    aims: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.within_s is not None:
            aims[objective.job_class] = min(objective.within_s, aims.get(objective.job_class, math.inf))
    return aims


def warm_pool_targets(
    aims: dict[str, float], recent: Iterable[Arrival], types: dict[str, MachineType], script: Script, wall: float
) -> list[WarmPoolTarget]:
    """The warm pool of each class, by its arrivals within `WARM_POOL_WINDOW_S` before `wall` (time of day, s)."""
    classes: dict[str, list[Arrival]] = {}
    for when, spec in recent:
        if spec.job_class in aims and wall - when < constants.WARM_POOL_WINDOW_S:
            classes.setdefault(spec.job_class, []).append((when, spec))
    deviations = script.number("reserve_deviations")
    found: list[WarmPoolTarget] = []
    for name, arrivals in classes.items():
        latest = arrivals[-1][1]
        # What is rented for a class takes the boot and the fetch of the type that serves it, not of another.
        mtype = cost_model.cheapest_type(latest, types.values())
        if mtype is None or aims[name] >= cost_model.ready_s(latest, mtype):
            continue
        proposed = warm_pool_size([(when, spec.tasks) for when, spec in arrivals], wall, mtype.boot_s, deviations)
        if proposed:
            found.append(WarmPoolTarget(latest, int(script.call_hook("reserve", proposed, name, proposed))))
    return found
