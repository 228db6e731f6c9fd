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

    `arrivals` holds the time and the number of tasks of recent jobs. The time slot with the most arrivals does not
    count towards the rate: when the service or its users start, many jobs are submitted at once, which kept 11 machines
    warm.
    """
    if now - max(when for when, _ in arrivals) > _idle_after_s([when for when, _ in arrivals]):
        # No more arrivals are expected: two GPU machines were kept warm for minutes after the last gang.
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


def _idle_after_s(times: Sequence[float]) -> float:
    """Seconds without an arrival after which no more are expected of a job class, from its mean gap between arrivals.

    Arrivals in the same time slot count as one. With fewer than two slots there is no gap, and the result is infinite.
    """
    slots = len({int(when // constants.WARM_POOL_SLOT_S) for when in times})
    if slots < 2:
        return math.inf
    return max(
        constants.WARM_POOL_QUIET_MIN_S, constants.WARM_POOL_QUIET_GAPS * (max(times) - min(times)) / (slots - 1)
    )


def _tasks_that_fit(amount: float, each: float) -> float:
    """How many tasks that take `each` fit into an amount. Infinite if they take none of it."""
    return amount / each if each > 0 else math.inf


class WarmPool:
    """Keeps capacity free for the job classes that must start sooner than a machine boots."""

    def __init__(self, placement: PlacementState) -> None:
        self.placement = placement

    def _demand(self, spec: Submission) -> Demand:
        """A demand for expected arrivals, for which no job waits yet."""
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

    def _uncovered_tasks(
        self, target: WarmPoolTarget, capacities: Iterable[FreeCapacity], keep: bool
    ) -> tuple[int, dict[str, int]]:
        """The number of tasks of a target that neither free capacity nor preemptible work covers.

        The second result is the number of covered tasks per zone. `keep`: keep the empty machines that cover some.
        """
        spec, uncovered = target.spec, target.count
        per_zone: dict[str, int] = {}
        zone_max = (target.count + 1) // 2 if spec.spread else target.count
        demand = self._demand(spec)
        for capacity in capacities:
            if uncovered <= 0:
                break
            if not capacity.allowed(spec) or demand.would_occupy_gpu_machine(capacity):
                continue
            gpus, cpus = capacity.gpus + capacity.releasing_gpus, capacity.cpus + capacity.releasing_cpus
            memory_gb = capacity.memory_gb + capacity.releasing_memory_gb
            if capacity.preemptible_tasks:
                preemptible = capacity.preemptible_below(spec.priority.rank)
                cpus, gpus, memory_gb = cpus + preemptible[0], gpus + preemptible[1], memory_gb + preemptible[2]
            covered = int(
                min(
                    _tasks_that_fit(gpus, spec.gpus),
                    _tasks_that_fit(cpus, spec.cpus),
                    _tasks_that_fit(memory_gb, spec.memory_gb),
                    uncovered,
                    zone_max - per_zone.get(capacity.zone, 0),
                )
                + AMOUNT_TOLERANCE
            )
            if covered > 0:
                if keep and capacity.empty:
                    capacity.keep_warm()
                uncovered -= covered
                per_zone[capacity.zone] = per_zone.get(capacity.zone, 0) + covered
        return uncovered, per_zone

    def covered_by(self, capacities: Iterable[FreeCapacity]) -> bool:
        """Whether these machines alone cover every target."""
        capacities = list(capacities)
        return all(
            self._uncovered_tasks(target, capacities, keep=False)[0] <= 0
            for target in self.placement.snapshot.warm_pool_targets
        )

    def maintain(self, target: WarmPoolTarget) -> None:
        """Keep capacity free for a target, and rent machines for the tasks that are not covered."""
        placement = self.placement
        # Machines in use come first: an empty one is kept only if they do not suffice.
        capacities = sorted(placement.running + placement.booting, key=attrgetter("empty", "ready_in"))
        uncovered, per_zone = self._uncovered_tasks(target, capacities, keep=True)
        spec = target.spec
        while uncovered > 0 and placement.snapshot.may_rent:
            demand = self._demand(spec)
            if spec.spread:
                demand.spec = msgspec.structs.replace(spec, tasks=max(1, target.count))
            rented = placement.renting.rent(demand, per_zone)
            if rented is None:
                return
            covered = max(1, min(rented.slots(spec, after_stops=False), uncovered))
            uncovered -= covered
            per_zone[rented.zone] = per_zone.get(rented.zone, 0) + covered
