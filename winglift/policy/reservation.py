"""Reservation of machines for the largest job that has waited for long.

Small jobs take capacity as it becomes free, and on a full platform a job that demands whole machines, or many at once,
never finds them free together. From a share of the start objective (four minutes) on, the machines that lack least for
it take nothing else of its priority or below, until it begins. One job at a time, and for a limited time, so that no
other job is starved.
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
    """The largest share of the machine that must still become free for one task."""
    spec, mtype = demand.spec, capacity.type
    return max(
        0.0,
        (spec.cpus - capacity.cpus - capacity.releasing_cpus) / mtype.cpus,
        (spec.gpus - capacity.gpus - capacity.releasing_gpus) / mtype.gpus if mtype.gpus else 0.0,
        (spec.memory_gb - capacity.memory_gb - capacity.releasing_memory_gb) / mtype.memory_gb,
    )


def largest_overdue(demands: list[Demand]) -> Demand | None:
    """The job to reserve machines for: the largest of those that have waited for long, of equals the first.

    The replicas of a service are placed before all else anyhow.
    """
    late = (demand for demand in demands if demand.start_overdue and demand.spec.kind is not Kind.SERVICE)
    return max(late, key=lambda demand: (_demand_size(demand), demand.waited_s, demand.ref), default=None)


def reservation_paused(demand: Demand) -> bool:
    """Whether the reservation is paused for other jobs.

    No job may wait for 90 s while reserved capacity is free: what was not used in time goes to any demand, and is then
    reserved anew.
    """
    held_s = demand.waited_s - constants.START_DEADLINE_S * constants.RESERVATION_DELAY_SHARE
    return held_s % (constants.RESERVATION_MAX_S + constants.RESERVATION_PAUSE_S) >= constants.RESERVATION_MAX_S


def reserve_for_largest(placement: PlacementState) -> None:
    """Reserve the machines that lack least for the largest overdue job, if there is one and it could fit."""
    demand = largest_overdue(placement.snapshot.demands)
    if demand is None or reservation_paused(demand):
        return
    tasks = len(demand.indices) if demand.spec.kind is Kind.GANG else 1
    zones: dict[str, list[FreeCapacity]] = {}
    for capacity in placement.running:
        # Replicas are never preempted: what they use does not become free.
        fixed = capacity.replica_count > 0 and _missing_share(demand, capacity) > 0
        if demand.allows(capacity) and not fixed and cost_model.task_fits(demand.spec, capacity.type):
            zones.setdefault(capacity.zone if demand.spec.one_zone else "", []).append(capacity)
    best: tuple[float, list[FreeCapacity]] | None = None
    for capacities in zones.values():
        capacities.sort(key=lambda capacity: (_missing_share(demand, capacity), capacity.name))
        chosen: list[FreeCapacity] = []
        left = tasks
        for capacity in capacities:
            if left <= 0:
                break
            chosen.append(capacity)
            left -= max(1, capacity.slots(demand.spec, soon=True))
        lacks = sum(_missing_share(demand, capacity) for capacity in chosen)
        if left <= 0 and (best is None or lacks < best[0]):
            best = lacks, chosen
    if best is None or len(best[1]) > constants.RESERVATION_MAX_SHARE * len(placement.running):
        if demand.waited_s > constants.START_DEADLINE_S:
            placement.plan.unplaceable_job = demand.ref
        return
    for capacity in best[1]:
        if capacity.reserved_for in ("", demand.ref) or capacity.reserved_rank < demand.spec.priority.rank:
            capacity.reserve(demand.ref, demand.spec.priority.rank)
