"""How much room to keep warm for work that must start sooner than a machine boots."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from operator import attrgetter

import msgspec

from .. import constants
from ..model.quota import AMOUNT_TOLERANCE
from ..wire.users import Submission
from . import cost_model
from .placement_state import PlacementState
from .snapshot import Demand, FreeCapacity, WarmPoolTarget


def warm_pool_size(arrivals: Sequence[tuple[float, int]], now: float, boot_s: float, deviations: float) -> int:
    """Tasks to keep room for: what may arrive while a machine boots.

    `arrivals` holds time and tasks of recent jobs. The fullest stretch of time does not count towards the rate:
    when the service or its users start, everything is submitted at once, and that once kept 11 machines warm.
    """
    if now - max(when for when, _ in arrivals) > _quiet_s([when for when, _ in arrivals]):
        # No more come: two GPU machines were once kept warm for minutes after the last gang.
        return 0
    slots: dict[int, int] = {}
    for when, tasks in arrivals:
        slot = int((now - when) // constants.WARM_POOL_SLOT_S)
        slots[slot] = slots.get(slot, 0) + tasks
    total = sum(tasks for _, tasks in arrivals) - max(slots.values())
    span = max(constants.WARM_POOL_SPAN_S, now - min(when for when, _ in arrivals)) - constants.WARM_POOL_SLOT_S
    expected = total / span * boot_s
    mean = sum(tasks for _, tasks in arrivals) / len(arrivals)
    largest = max(tasks for _, tasks in arrivals)
    return max(largest, math.ceil(expected + deviations * math.sqrt(expected * mean)))


def _quiet_s(times: Sequence[float]) -> float:
    """How long a class may be quiet until no more is expected of it, by the usual gap between its arrivals.

    What comes together counts as one arrival, and a single one tells nothing about gaps.
    """
    slots = len({int(when // constants.WARM_POOL_SLOT_S) for when in times})
    if slots < 2:
        return math.inf
    return max(constants.WARM_POOL_QUIET_S, constants.WARM_POOL_QUIET_GAPS * (max(times) - min(times)) / (slots - 1))


def _times(amount: float, each: float) -> float:
    return amount / each if each > 0 else math.inf


class WarmPool:
    """Keeps room warm for the classes that must start sooner than a machine boots."""

    def __init__(self, placement: PlacementState) -> None:
        self.placement = placement

    def _demand(self, spec: Submission) -> Demand:
        snapshot = self.placement.snapshot
        return Demand(
            "reserve",
            spec,
            [],
            snapshot.now,
            0.0,
            {},
            is_speculative=True,
            prefers_cpu_machines=cost_model.prefers_cpu_machines(spec, snapshot.types),
        )

    def _missing(
        self, reserve: WarmPoolTarget, capacities: Iterable[FreeCapacity], keep: bool
    ) -> tuple[int, dict[str, int]]:
        """How much of a reserve is not warm: neither free nor taken by work that would give way."""
        spec, left = reserve.spec, reserve.count
        per_zone: dict[str, int] = {}
        most = (reserve.count + 1) // 2 if spec.spread else reserve.count
        demand = self._demand(spec)
        for capacity in capacities:
            if left <= 0:
                break
            if not capacity.allowed(spec) or demand.would_occupy_gpu_machine(capacity):
                continue
            gpus, cpus = capacity.gpus + capacity.releasing_gpus, capacity.cpus + capacity.releasing_cpus
            memory = capacity.memory_gb + capacity.releasing_memory_gb
            if capacity.preemptible_tasks:
                more = capacity.preemptible_below(spec.priority.rank)
                cpus, gpus, memory = cpus + more[0], gpus + more[1], memory + more[2]
            fit = int(
                min(
                    _times(gpus, spec.gpus),
                    _times(cpus, spec.cpus),
                    _times(memory, spec.memory_gb),
                    left,
                    most - per_zone.get(capacity.zone, 0),
                )
                + AMOUNT_TOLERANCE
            )
            if fit > 0:
                if keep and capacity.empty:
                    capacity.keep_warm()
                left -= fit
                per_zone[capacity.zone] = per_zone.get(capacity.zone, 0) + fit
        return left, per_zone

    def covered_by(self, capacities: Iterable[FreeCapacity]) -> bool:
        """Would these rooms alone keep every reserve warm?"""
        capacities = list(capacities)
        return all(
            self._missing(reserve, capacities, keep=False)[0] <= 0
            for reserve in self.placement.snapshot.warm_pool_targets
        )

    def maintain(self, reserve: WarmPoolTarget) -> None:
        """Keep room warm, and rent what is missing of it."""
        placement = self.placement
        # Machines in use first: an empty one is kept only if they are not enough.
        capacities = sorted(placement.running + placement.booting, key=attrgetter("empty", "ready_in"))
        left, per_zone = self._missing(reserve, capacities, keep=True)
        spec = reserve.spec
        while left > 0 and placement.snapshot.may_rent:
            demand = self._demand(spec)
            if spec.spread:
                demand.spec = msgspec.structs.replace(spec, tasks=max(1, reserve.count))
            rented = placement.renting.rent(demand, per_zone)
            if rented is None:
                return
            fit = max(1, min(rented.slots(spec, soon=False), left))
            left -= fit
            per_zone[rented.zone] = per_zone.get(rented.zone, 0) + fit
