"""Preemption of tasks of lower priority, and of tasks that other teams run beyond their guarantees."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heapify, heappop, heappush

from .. import constants
from ..model.quota import AMOUNT_TOLERANCE, QuotaUsage
from .snapshot import Demand, FreeCapacity, Plan, TaskStop, Victim, fetch_s, zone_allowed

# The cost of stopping the tasks (precedence, seconds lost), the machine's position, a serial number that makes entries
# distinct, the machine, its version when the entry was created, and the tasks to stop. A plain tuple, because one is
# created for each machine of each search and compared often.
PreemptionEntry = tuple[tuple, int, int, FreeCapacity, int, list[Victim]]


class Preemption:
    """Decides which tasks may be preempted, and records those preempted in this cycle."""

    def __init__(self, quota: QuotaUsage, plan: Plan) -> None:
        self.quota = quota
        self.plan = plan
        self.stopped: set[tuple[str, int]] = set()
        self._borrowers = {name for name in quota.teams if quota.borrows(name)}

    def _may_reclaim_lent_capacity(self, demand: Demand) -> bool:
        """Whether another team uses capacity beyond its guarantee that this demand may reclaim."""
        return demand.within_guarantee and any(name != demand.spec.team for name in self._borrowers)

    def may_preempt(self, demand: Demand, demand_precedence: tuple[bool, bool, int], victim: Victim) -> bool:
        """Whether a demand may preempt a victim. `demand_precedence` is computed once by the caller."""
        if not victim.precedence < demand_precedence or (victim.ref, victim.index) in self.stopped:
            # A demand never preempts work with precedence over it: otherwise two teams would stop each other in turn.
            return False
        return victim.rank < demand.spec.priority.rank or (
            victim.team != demand.spec.team and victim.team in self._borrowers
        )

    def may_displace(self, demand: Demand, victim: Victim) -> bool:
        """Whether a demand may displace a task within a guarantee, which is then placed on another machine at once.

        Work within a guarantee has precedence over a borrowing gang, even at lower priority. But a single such task can
        block a gang that needs the whole machine, while other machines run as much borrowed work, which the displaced
        task may preempt.
        """
        return (
            demand.may_displace
            and victim.within_guarantee
            and not demand.within_guarantee
            and victim.rank < demand.spec.priority.rank
            and victim.gang_size == 1
            and not victim.loses_gang_start
            and (victim.ref, victim.index) not in self.stopped
        )

    def replaceable_gpus(self, capacities: Iterable[FreeCapacity], excluded: Iterable[FreeCapacity]) -> float:
        """GPUs of borrowed work of the lowest priority on other machines, which displaced tasks could preempt."""
        excluded_names = {capacity.name for capacity in excluded}
        gpus = 0.0
        for capacity in capacities:
            if capacity.name not in excluded_names and capacity.preemptible_by_rank[0][1] > 0:
                capacity.inspect()
                gpus += sum(
                    victim.gpus
                    for victim in capacity.victims
                    if victim.rank == 0
                    and not victim.within_guarantee
                    and victim.team in self._borrowers
                    and (victim.ref, victim.index) not in self.stopped
                )
        return gpus

    def cannot_preempt(self, demand: Demand) -> bool:
        """Whether this demand may preempt no task on any machine."""
        if demand.is_probe:
            return True
        return demand.spec.priority.rank == 0 and not self._may_reclaim_lent_capacity(demand)

    def machines_with_enough(self, demand: Demand, capacities: Iterable[FreeCapacity]) -> list[FreeCapacity]:
        """The machines that would have enough GPUs if all preemptible tasks stopped, without inspecting any task."""
        rank_limit = 3 if self._may_reclaim_lent_capacity(demand) else demand.spec.priority.rank
        gpus_min = demand.spec.gpus - AMOUNT_TOLERANCE
        if not rank_limit:
            return [
                capacity
                for capacity in capacities
                if capacity.preemptible_tasks
                and capacity.gpus + capacity.releasing_gpus >= gpus_min
                and demand.allows(capacity)
            ]
        return [
            capacity
            for capacity in capacities
            if capacity.preemptible_tasks
            and capacity.gpus + capacity.releasing_gpus + capacity.preemptible_by_rank[rank_limit - 1][1] >= gpus_min
            and demand.allows(capacity)
        ]

    def may_preempt_somewhere(self, demand: Demand, capacities: Iterable[FreeCapacity]) -> bool:
        """Whether preemption might free enough GPUs on some machine, without inspecting any task."""
        return not self.cannot_preempt(demand) and bool(self.machines_with_enough(demand, capacities))

    @staticmethod
    def equivalence_class(demand: Demand) -> tuple:
        """A key shared by the demands that may preempt the same tasks on the same machines."""
        spec = demand.spec
        return (
            spec.priority.rank,
            spec.team if demand.within_guarantee else None,
            spec.spot,
            spec.zone,
            tuple(spec.types or ()),
            spec.one_zone,
            demand.avoided_machines,
            demand.prefers_cpu_machines,
        )

    def victims(
        self, demand: Demand, capacity: FreeCapacity, allow_gang_start_loss: bool = True, displace: bool = False
    ) -> list[Victim] | None:
        """The cheapest set of tasks on one machine whose stop frees enough for one task of the demand, or None.

        `allow_gang_start_loss`: also tasks whose stop costs their gang its start. `displace`: also tasks within a
        guarantee, to be placed on other machines.
        """
        spec = demand.spec
        preemptible = self._preemptible_tasks(demand, capacity, allow_gang_start_loss, displace)
        cpus = spec.cpus - capacity.cpus - capacity.releasing_cpus
        gpus = spec.gpus - capacity.gpus - capacity.releasing_gpus
        memory_gb = spec.memory_gb - capacity.memory_gb - capacity.releasing_memory_gb
        chosen: list[Victim] = []
        for victim in preemptible:
            # A task that frees none of the missing resources is not stopped: small tasks without GPUs, which come first
            # in this order, were stopped for every service that lacked a GPU on their machine.
            if (
                (gpus > AMOUNT_TOLERANCE and victim.gpus > 0)
                or (cpus > AMOUNT_TOLERANCE and victim.cpus > 0)
                or (memory_gb > AMOUNT_TOLERANCE and victim.memory_gb > 0)
            ):
                chosen.append(victim)
                cpus, gpus, memory_gb = cpus - victim.cpus, gpus - victim.gpus, memory_gb - victim.memory_gb
        if gpus > AMOUNT_TOLERANCE or cpus > AMOUNT_TOLERANCE or memory_gb > AMOUNT_TOLERANCE:
            return None
        for victim in list(chosen):
            # A victim chosen later may free enough without this one.
            if (
                gpus + victim.gpus <= AMOUNT_TOLERANCE
                and cpus + victim.cpus <= AMOUNT_TOLERANCE
                and memory_gb + victim.memory_gb <= AMOUNT_TOLERANCE
            ):
                chosen.remove(victim)
                cpus, gpus, memory_gb = cpus + victim.cpus, gpus + victim.gpus, memory_gb + victim.memory_gb
        return chosen

    def _preemptible_tasks(
        self, demand: Demand, capacity: FreeCapacity, allow_gang_start_loss: bool, displace: bool
    ) -> list[Victim]:
        """The tasks on one machine that may be preempted for the demand, the cheapest to stop first."""
        demand_precedence = demand.precedence
        capacity.inspect()
        preemptible = [
            victim
            for victim in capacity.victims
            if (allow_gang_start_loss or not victim.loses_gang_start)
            and (
                self.may_preempt(demand, demand_precedence, victim) or (displace and self.may_displace(demand, victim))
            )
        ]
        preemptible.sort(key=lambda victim: (victim.precedence, victim.lost_work_s * victim.gang_size))
        return preemptible

    def stop(self, victim: Victim, capacity: FreeCapacity, demand: Demand) -> None:
        """Stop a task for this demand. Its resources count as releasing."""
        self.stopped.add((victim.ref, victim.index))
        self.plan.stops.append(TaskStop(victim.ref, victim.index, demand.ref))
        capacity.release_after_stop(victim)


class PreemptionCandidates:
    """The machines on which preemption frees enough for one task of a demand, the cheapest first.

    Without `allow_gang_start_loss`, no task is stopped whose stop costs its gang the start: to save a service a fetch
    of 15 s, whole gangs were stopped again and again before they had run. A gang of one task that has run resumes from
    its checkpoint.
    """

    def __init__(
        self,
        preemption: Preemption,
        demand: Demand,
        capacities: Iterable[FreeCapacity],
        allow_gang_start_loss: bool = True,
    ) -> None:
        self.allow_gang_start_loss = allow_gang_start_loss
        self.preemption = preemption
        self.demand = demand
        self._heap: list[PreemptionEntry] = []
        self._entry_count = 0
        self._positions: dict[str, int] = {}
        self.is_empty = True
        if preemption.cannot_preempt(demand):
            return
        for capacity in preemption.machines_with_enough(demand, capacities):
            self._positions[capacity.name] = len(self._positions)
            entry = self._entry(capacity)
            if entry is not None:
                self._heap.append(entry)
        heapify(self._heap)
        self.is_empty = not self._heap

    def _entry(self, capacity: FreeCapacity) -> PreemptionEntry | None:
        """The heap entry of a machine, or None if preemption frees too little on it."""
        demand = self.demand
        chosen = self.preemption.victims(demand, capacity, self.allow_gang_start_loss)
        if not chosen:
            return None
        # A fetch delays work that is due now, so it weighs more there; for other work it counts as its duration.
        fetch = fetch_s(capacity, demand.spec) * (constants.FETCH_COST_RATIO if demand.spec.due_s is None else 1.0)
        cost = (
            max(victim.precedence for victim in chosen),
            sum(victim.lost_work_s * victim.gang_size for victim in chosen) + fetch,
        )
        self._entry_count += 1
        return cost, self._positions[capacity.name], self._entry_count, capacity, capacity.version, chosen

    def reinsert(self, capacity: FreeCapacity) -> None:
        """Add a new entry for a machine whose free capacity has changed."""
        if capacity.name in self._positions:
            entry = self._entry(capacity)
            if entry is not None:
                heappush(self._heap, entry)

    def preempt_cheapest(self, placed: dict[str, int]) -> FreeCapacity | None:
        """Stop the cheapest set of tasks on one machine. The caller allocates the released capacity."""
        while self._heap:
            _, _, _, capacity, version, chosen = heappop(self._heap)
            # Zones only fill up while a demand's tasks are placed: a zone that is not allowed now stays disallowed.
            if version != capacity.version or not zone_allowed(self.demand.spec, capacity.zone, placed):
                continue
            for victim in chosen:
                self.preemption.stop(victim, capacity, self.demand)
            return capacity
        return None
