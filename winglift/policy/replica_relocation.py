"""Relocation of replicas off machines that other work requires.

A replica that uses no GPU is placed on a GPU machine only if no other machine has capacity. As replicas are never
preempted, it would block a gang that fits only there for as long as it runs. So it is moved once another machine has
capacity. A relocation is not a preemption: meanwhile the other replicas of the service keep serving.
"""

from __future__ import annotations

from ..model.quota import AMOUNT_TOLERANCE
from ..wire.users import Submission
from . import cost_model
from .placement_state import PlacementState
from .search import Search
from .snapshot import Demand, FreeCapacity, MovableReplica, ReplicaRef


def _fits_after_relocation(capacity: FreeCapacity, spec: Submission, replicas: list[MovableReplica]) -> bool:
    """Whether a task would fit without these replicas and without the tasks that it may preempt."""
    preemptible = [victim for victim in capacity.victims if victim.rank < spec.priority.rank]
    return (
        capacity.cpus
        + capacity.releasing_cpus
        + sum(victim.cpus for victim in preemptible)
        + sum(replica.spec.cpus for replica in replicas)
        + AMOUNT_TOLERANCE
        >= spec.cpus
        and capacity.gpus + capacity.releasing_gpus + sum(victim.gpus for victim in preemptible) + AMOUNT_TOLERANCE
        >= spec.gpus
        and capacity.memory_gb
        + capacity.releasing_memory_gb
        + sum(victim.memory_gb for victim in preemptible)
        + sum(replica.spec.memory_gb for replica in replicas)
        + AMOUNT_TOLERANCE
        >= spec.memory_gb
    )


def _relocatable_replicas(placement: PlacementState, capacity: FreeCapacity) -> list[MovableReplica]:
    """The replicas on a machine that prefer types without GPUs, those with the most CPUs first."""
    return sorted(
        (
            replica
            for replica in capacity.movable_replicas
            if cost_model.prefers_cpu_machines(replica.spec, placement.snapshot.types)
        ),
        key=lambda replica: -replica.spec.cpus,
    )


def relocate_replicas(placement: PlacementState, demand: Demand) -> bool:
    """Relocate replicas to make room for one task of an unplaced demand, on the machine with the fewest relocations.

    Replicas are relocated only if all of them fit on other machines now, and if that frees enough for the task.
    """
    if all(mtype.gpus > 0 for mtype in placement.snapshot.types.values()):
        return False  # no type without GPUs to relocate to: saves a pass over 645 machines for each waiting gang
    best: tuple[int, FreeCapacity, list[tuple[MovableReplica, FreeCapacity]]] | None = None
    for capacity in placement.running:
        if (
            not capacity.replica_count
            or not demand.allows(capacity)
            or capacity.type.gpus <= 0
            or not cost_model.task_fits(demand.spec, capacity.type)
        ):
            continue
        capacity.inspect()
        replicas = _relocatable_replicas(placement, capacity)
        count = next(
            (
                count
                for count in range(1, len(replicas) + 1)
                if _fits_after_relocation(capacity, demand.spec, replicas[:count])
            ),
            None,
        )
        if count is None or (best is not None and count >= best[0]):
            continue
        relocations = allocate_elsewhere(placement, capacity, replicas[:count], placement.running, warm=False)
        for replica, target in relocations:
            target.deallocate(replica.spec)
        if len(relocations) == count:
            best = count, capacity, relocations
    if best is None:
        return False
    for replica, target in best[2]:
        target.allocate(replica.spec)
        placement.plan.migrations.append(ReplicaRef(replica.ref, replica.index))
    placement.plan.reservations[demand.ref] = [best[1].name]
    return True


def allocate_elsewhere(
    placement: PlacementState,
    capacity: FreeCapacity,
    replicas: list[MovableReplica],
    capacities: list[FreeCapacity],
    warm: bool,
) -> list[tuple[MovableReplica, FreeCapacity]]:
    """Allocate other machines for replicas of `capacity`, until one fits on none. The caller deallocates them.

    `warm`: only machines that hold or fetch the replica's image.
    """
    relocations: list[tuple[MovableReplica, FreeCapacity]] = []
    for replica in replicas:
        prefers_cpu_machines = cost_model.prefers_cpu_machines(replica.spec, placement.snapshot.types)
        demand = Demand(
            replica.ref, replica.spec, [], placement.snapshot.now, 0.0, {}, prefers_cpu_machines=prefers_cpu_machines
        )
        placed = {zone: count - (zone == capacity.zone) for zone, count in replica.zones.items()}
        target = Search(
            demand,
            [
                other
                for other in capacities
                if other is not capacity
                and not demand.would_occupy_gpu_machine(other)
                and (not warm or replica.spec.image in other.images)
            ],
            placement.snapshot.now,
        ).best(placed)
        if target is None:
            break
        target.allocate(replica.spec)
        relocations.append((replica, target))
    return relocations
