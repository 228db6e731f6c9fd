"""Preemption of tasks of lower priority, and of those that other teams run beyond their guarantees."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heapify, heappop, heappush

from .. import constants
from ..model.quota import AMOUNT_TOLERANCE, QuotaUsage
from .snapshot import Demand, FreeCapacity, Plan, TaskStop, Victim, fetch_s, zone_allowed

# What stopping the tasks costs (precedence, seconds lost), the machine's position, a serial number that makes entries
# distinct, the machine, its version when the entry was made, and the tasks to stop. A plain tuple: it is made for
# each machine of each search, and compared often.
PreemptionEntry = tuple[tuple, int, int, FreeCapacity, int, list[Victim]]


class Preemption:
    """The tasks preempted in this cycle, and those that still may be."""

    def __init__(self, quota: QuotaUsage, plan: Plan) -> None:
        self.quota = quota
        self.plan = plan
        self.stopped: set[tuple[str, int]] = set()
        self._borrowers = {name for name in quota.teams if quota.borrows(name)}

    def _may_reclaim_lent_capacity(self, demand: Demand) -> bool:
        """Whether another team may use capacity beyond its guarantee that this demand can reclaim."""
        return demand.within_guarantee and any(name != demand.spec.team for name in self._borrowers)

    def may_preempt(self, demand: Demand, claim: tuple[bool, bool, int], victim: Victim) -> bool:
        """Whether a demand may preempt a victim. `claim` is the demand's precedence, computed once by the caller."""
        if not victim.precedence < claim or (victim.ref, victim.index) in self.stopped:
            # A demand never preempts what has precedence over it: else two teams stop each other in turn.
            return False
        return victim.rank < demand.spec.priority.rank or (
            victim.team != demand.spec.team and victim.team in self._borrowers
        )

    def may_displace(self, demand: Demand, victim: Victim) -> bool:
        """Whether a demand may displace work within a guarantee, which is then placed elsewhere at once.

        Work within a guarantee has precedence over a borrowing gang, even at lower priority. But one such task bars a
        whole machine from a gang that demands all of it, while as much borrowed work runs elsewhere, which the
        displaced work may preempt.
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

    def replaceable(self, capacities: Iterable[FreeCapacity], excluded: Iterable[FreeCapacity]) -> float:
        """GPUs of borrowed work of the lowest priority on other machines, which displaced work could preempt."""
        excluded_names = {capacity.name for capacity in excluded}
        found = 0.0
        for capacity in capacities:
            if capacity.name not in excluded_names and capacity.preemptible_by_rank[0][1] > 0:
                capacity.inspect()
                found += sum(
                    victim.gpus
                    for victim in capacity.victims
                    if victim.rank == 0
                    and not victim.within_guarantee
                    and victim.team in self._borrowers
                    and (victim.ref, victim.index) not in self.stopped
                )
        return found

    def cannot_preempt(self, demand: Demand) -> bool:
        """Whether this demand may preempt nothing anywhere."""
        if demand.is_probe:
            return True
        return demand.spec.priority.rank == 0 and not self._may_reclaim_lent_capacity(demand)

    def machines_with_enough(self, demand: Demand, capacities: Iterable[FreeCapacity]) -> list[FreeCapacity]:
        """The machines with enough GPUs if all preemptible tasks stopped, without inspecting each task."""
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
        """Whether preemption might free enough on some machine, without inspecting any task."""
        return not self.cannot_preempt(demand) and bool(self.machines_with_enough(demand, capacities))

    @staticmethod
    def equivalence_class(demand: Demand) -> tuple:
        """The key of demands that may preempt the same tasks on the same machines."""
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
        """The cheapest set of tasks on one machine whose stop frees enough for one task, or None.

        `allow_gang_start_loss`: also gangs that would lose their start. `displace`: also tasks within a guarantee that
        would be placed elsewhere.
        """
        spec = demand.spec
        allowed = self._preemptible_tasks(demand, capacity, allow_gang_start_loss, displace)
        cpus = spec.cpus - capacity.cpus - capacity.releasing_cpus
        gpus = spec.gpus - capacity.gpus - capacity.releasing_gpus
        memory_gb = spec.memory_gb - capacity.memory_gb - capacity.releasing_memory_gb
        chosen: list[Victim] = []
        for victim in allowed:
            # A task that frees nothing of what is missing is not stopped: small tasks without GPUs, the first in this
            # order, were once stopped for every service that lacked a GPU beside them.
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
            # A later one may free enough by itself.
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
        """The tasks on one machine that may be stopped for the demand, the cheapest to stop first."""
        claim = demand.precedence
        capacity.inspect()
        allowed = [
            victim
            for victim in capacity.victims
            if (allow_gang_start_loss or not victim.loses_gang_start)
            and (self.may_preempt(demand, claim, victim) or (displace and self.may_displace(demand, victim)))
        ]
        allowed.sort(key=lambda victim: (victim.precedence, victim.lost_work_s * victim.gang_size))
        return allowed

    def stop(self, victim: Victim, capacity: FreeCapacity, demand: Demand) -> None:
        """Stop a task for this demand; its resources count as releasing."""
        self.stopped.add((victim.ref, victim.index))
        self.plan.stops.append(TaskStop(victim.ref, victim.index, demand.ref))
        capacity.release_after_stop(victim)


class PreemptionCandidates:
    """For one demand: the machines on which preemption frees enough for a task, the cheapest first.

    Without `allow_gang_start_loss`, only what starts again by itself is stopped: to spare a service a fetch of 15 s,
    whole gangs were once stopped, each time before they had run. A gang of one that has run goes on from its
    checkpoint.
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
        self._entries = 0
        self._order: dict[str, int] = {}
        self.is_empty = True
        if preemption.cannot_preempt(demand):
            return
        for capacity in preemption.machines_with_enough(demand, capacities):
            self._order[capacity.name] = len(self._order)
            entry = self._entry(capacity)
            if entry is not None:
                self._heap.append(entry)
        heapify(self._heap)
        self.is_empty = not self._heap

    def _entry(self, capacity: FreeCapacity) -> PreemptionEntry | None:
        """The heap entry of a machine, or None if preemption frees too little there."""
        demand = self.demand
        chosen = self.preemption.victims(demand, capacity, self.allow_gang_start_loss)
        if not chosen:
            return None
        # A fetch makes production work late; others it costs no more than the time itself.
        fetch = fetch_s(capacity, demand.spec) * (constants.FETCH_COST_RATIO if demand.spec.due_s is None else 1.0)
        cost = (
            max(victim.precedence for victim in chosen),
            sum(victim.lost_work_s * victim.gang_size for victim in chosen) + fetch,
        )
        self._entries += 1
        return cost, self._order[capacity.name], self._entries, capacity, capacity.version, chosen

    def changed(self, capacity: FreeCapacity) -> None:
        """Enter a machine again whose free capacity has changed."""
        if capacity.name in self._order:
            entry = self._entry(capacity)
            if entry is not None:
                heappush(self._heap, entry)

    def preempt_cheapest(self, placed: dict[str, int]) -> FreeCapacity | None:
        """Stop the cheapest set of tasks; the caller allocates what that frees."""
        while self._heap:
            _, _, _, capacity, version, chosen = heappop(self._heap)
            # Zones only fill up while a demand's tasks are placed: one that is not allowed now stays so.
            if version != capacity.version or not zone_allowed(self.demand.spec, capacity.zone, placed):
                continue
            for victim in chosen:
                self.preemption.stop(victim, capacity, self.demand)
            return capacity
        return None
