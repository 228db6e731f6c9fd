"""Warm pools for job classes that must start before a new machine could be ready, sized by recent arrivals."""

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

Arrival = tuple[float, Submission]  # submission time (time of day, s) and submission


def start_objectives(objectives: Iterable[Objective]) -> dict[str, float]:
    """The shortest start objective, in seconds, by job class."""
    objectives_s: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.within_s is not None:
            objectives_s[objective.job_class] = min(objective.within_s, objectives_s.get(objective.job_class, math.inf))
    return objectives_s


def warm_pool_targets(
    objectives_s: dict[str, float],
    recent_arrivals: Iterable[Arrival],
    types: dict[str, MachineType],
    script: Script,
    wall: float,
) -> list[WarmPoolTarget]:
    """The warm pool of each class, by its arrivals within `WARM_POOL_WINDOW_S` before `wall` (time of day, s)."""
    arrivals_by_class: dict[str, list[Arrival]] = {}
    for submitted_at, spec in recent_arrivals:
        if spec.job_class in objectives_s and wall - submitted_at < constants.WARM_POOL_WINDOW_S:
            arrivals_by_class.setdefault(spec.job_class, []).append((submitted_at, spec))
    deviations = script.number("reserve_deviations")
    targets: list[WarmPoolTarget] = []
    for job_class, arrivals in arrivals_by_class.items():
        latest_spec = arrivals[-1][1]
        # The time until a rented machine is ready depends on the machine type that serves this class.
        machine_type = cost_model.cheapest_type(latest_spec, types.values())
        if machine_type is None or objectives_s[job_class] >= cost_model.ready_s(latest_spec, machine_type):
            continue
        proposed = warm_pool_size(
            [(submitted_at, spec.tasks) for submitted_at, spec in arrivals], wall, machine_type.boot_s, deviations
        )
        if proposed:
            targets.append(WarmPoolTarget(latest_spec, int(script.call_hook("reserve", proposed, job_class, proposed))))
    return targets
