"""Reservation of machines for the largest job whose start is overdue.

Small jobs take capacity as soon as it is free, so that on a full cluster a job that needs whole machines, or many at
once, would never find them free together. After a share of the start objective (four minutes), the machines that lack
the fewest resources for the job accept no other work of its priority or below until it starts. Only one job has such a
reservation at a time, and for a limited time, so that no other job starves.
"""

from __future__ import annotations

from .. import constants
from ..wire.users import Kind
from . import cost_model
from .placement_state import PlacementState
from .snapshot import Demand, FreeCapacity


def _demand_size(demand: Demand) -> tuple[float, float, float]:
    tasks = len(demand.indices) if demand.spec.kind is Kind.GANG else 1
    return demand.spec.gpus * tasks, demand.spec.cpus * tasks, demand.spec.memory_gb * tasks


def _missing_share(demand: Demand, capacity: FreeCapacity) -> float:
    """The largest share of the machine, over CPUs, GPUs and memory, that must still become free for one task."""
    spec, mtype = demand.spec, capacity.type
    return max(
        0.0,
        (spec.cpus - capacity.cpus - capacity.releasing_cpus) / mtype.cpus,
        (spec.gpus - capacity.gpus - capacity.releasing_gpus) / mtype.gpus if mtype.gpus else 0.0,
        (spec.memory_gb - capacity.memory_gb - capacity.releasing_memory_gb) / mtype.memory_gb,
    )


def largest_overdue(demands: list[Demand]) -> Demand | None:
    """The job to reserve machines for: the largest whose start is overdue; among equals, the one that waited longest.

    Services are left out: their replicas are placed before all other work.
    """
    overdue = (demand for demand in demands if demand.start_overdue and demand.spec.kind is not Kind.SERVICE)
    return max(overdue, key=lambda demand: (_demand_size(demand), demand.waited_s, demand.ref), default=None)


def reservation_paused(demand: Demand) -> bool:
    """Whether the reservation is paused, so that other jobs may use the machines.

    No job may wait for 90 s while reserved capacity is free: capacity that was not used in time is open to any demand
    during the pause, and is then reserved again.
    """
    reservation_age_s = demand.waited_s - constants.START_DEADLINE_S * constants.RESERVATION_DELAY_SHARE
    return (
        reservation_age_s % (constants.RESERVATION_MAX_S + constants.RESERVATION_PAUSE_S) >= constants.RESERVATION_MAX_S
    )


def reserve_for_largest(placement: PlacementState) -> None:
    """Reserve the machines that lack the fewest resources for the largest overdue job, if it could fit there."""
    demand = largest_overdue(placement.snapshot.demands)
    if demand is None or reservation_paused(demand):
        return
    tasks = len(demand.indices) if demand.spec.kind is Kind.GANG else 1
    zones: dict[str, list[FreeCapacity]] = {}
    for capacity in placement.running:
        # Replicas are never preempted: the resources that they use do not become free.
        blocked_by_replicas = capacity.replica_count > 0 and _missing_share(demand, capacity) > 0
        if demand.allows(capacity) and not blocked_by_replicas and cost_model.task_fits(demand.spec, capacity.type):
            zones.setdefault(capacity.zone if demand.spec.one_zone else "", []).append(capacity)
    best: tuple[float, list[FreeCapacity]] | None = None
    for capacities in zones.values():
        capacities.sort(key=lambda capacity: (_missing_share(demand, capacity), capacity.name))
        chosen: list[FreeCapacity] = []
        remaining = tasks
        for capacity in capacities:
            if remaining <= 0:
                break
            chosen.append(capacity)
            remaining -= max(1, capacity.slots(demand.spec, after_stops=True))
        missing_share = sum(_missing_share(demand, capacity) for capacity in chosen)
        if remaining <= 0 and (best is None or missing_share < best[0]):
            best = missing_share, chosen
    if best is None or len(best[1]) > constants.RESERVATION_MAX_SHARE * len(placement.running):
        if demand.waited_s > constants.START_DEADLINE_S:
            placement.plan.unplaceable_job = demand.ref
        return
    for capacity in best[1]:
        if capacity.reserved_for in ("", demand.ref) or capacity.reserved_rank < demand.spec.priority.rank:
            capacity.reserve(demand.ref, demand.spec.priority.rank)
