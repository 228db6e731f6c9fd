"""Warm pool: capacity kept free for work that must start sooner than a machine boots."""

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
    """The number of tasks to keep capacity for: those that may arrive while a machine boots.

    `arrivals` holds time and tasks of recent jobs. The fullest stretch of time does not count towards the rate:
    when the service or its users start, everything is submitted at once, and that once kept 11 machines warm.
    """
    if now - max(when for when, _ in arrivals) > _quiet_s([when for when, _ in arrivals]):
        # No more arrivals are expected: two GPU machines were once kept warm for minutes after the last gang.
        return 0
    slots: dict[int, int] = {}
    for when, tasks in arrivals:
        slot = int((now - when) // constants.WARM_POOL_SLOT_S)
        slots[slot] = slots.get(slot, 0) + tasks
    total = sum(tasks for _, tasks in arrivals) - max(slots.values())
    span = max(constants.WARM_POOL_SPAN_MIN_S, now - min(when for when, _ in arrivals)) - constants.WARM_POOL_SLOT_S
    expected = total / span * boot_s
    mean = sum(tasks for _, tasks in arrivals) / len(arrivals)
    largest = max(tasks for _, tasks in arrivals)
    return max(largest, math.ceil(expected + deviations * math.sqrt(expected * mean)))


def _quiet_s(times: Sequence[float]) -> float:
    """Seconds without an arrival after which no more are expected of a class, by the mean gap between its arrivals.

    Arrivals in one slot count as one, and a single one gives no gap.
    """
    slots = len({int(when // constants.WARM_POOL_SLOT_S) for when in times})
    if slots < 2:
        return math.inf
    return max(
        constants.WARM_POOL_QUIET_MIN_S, constants.WARM_POOL_QUIET_GAPS * (max(times) - min(times)) / (slots - 1)
    )


def _units(amount: float, each: float) -> float:
    """How many tasks that take `each` fit into an amount; infinite if they take none of it."""
    return amount / each if each > 0 else math.inf


class WarmPool:
    """Keeps capacity warm for the classes that must start sooner than a machine boots."""

    def __init__(self, placement: PlacementState) -> None:
        self.placement = placement

    def _demand(self, spec: Submission) -> Demand:
        """A demand of expected arrivals, for which no job waits yet."""
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
        self, target: WarmPoolTarget, capacities: Iterable[FreeCapacity], keep: bool
    ) -> tuple[int, dict[str, int]]:
        """How many tasks of a target are not covered, neither by free capacity nor by preemptible work.

        Also the tasks covered per zone.
        """
        spec, left = target.spec, target.count
        per_zone: dict[str, int] = {}
        zone_max = (target.count + 1) // 2 if spec.spread else target.count
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
                    _units(gpus, spec.gpus),
                    _units(cpus, spec.cpus),
                    _units(memory, spec.memory_gb),
                    left,
                    zone_max - per_zone.get(capacity.zone, 0),
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
        """Whether these machines alone cover every target."""
        capacities = list(capacities)
        return all(
            self._missing(target, capacities, keep=False)[0] <= 0
            for target in self.placement.snapshot.warm_pool_targets
        )

    def maintain(self, target: WarmPoolTarget) -> None:
        """Keep capacity warm for a target, and rent what is missing."""
        placement = self.placement
        # Machines in use first: an empty one is kept only if they are not enough.
        capacities = sorted(placement.running + placement.booting, key=attrgetter("empty", "ready_in"))
        left, per_zone = self._missing(target, capacities, keep=True)
        spec = target.spec
        while left > 0 and placement.snapshot.may_rent:
            demand = self._demand(spec)
            if spec.spread:
                demand.spec = msgspec.structs.replace(spec, tasks=max(1, target.count))
            rented = placement.renting.rent(demand, per_zone)
            if rented is None:
                return
            fit = max(1, min(rented.slots(spec, soon=False), left))
            left -= fit
            per_zone[rented.zone] = per_zone.get(rented.zone, 0) + fit
