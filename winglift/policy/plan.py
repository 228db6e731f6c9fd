"""One scheduling cycle: which tasks go where, what is stopped for them, what is rented and returned.

A pure function of a snapshot. The order and the search follow EPSM (Rodriguez & Buyya, section 4): ready tasks
by sub-deadline; machines with the image, then any with free capacity; a task waits a cycle while its slack allows;
otherwise booting machines, otherwise the cheapest adequate rental. Priorities, teams, gangs and zones
are winglift's own.
"""

from __future__ import annotations

from typing import Literal

from .. import constants
from ..wire.users import Kind
from . import cost_model
from .gangs import GangPlacer
from .placement_state import PlacementState, QuotaBudget
from .preemption import PreemptionCandidates
from .replica_relocation import allocate_elsewhere, relocate_replicas
from .reservation import reserve_for_largest
from .search import Search
from .snapshot import Demand, FreeCapacity, JobStart, Plan, ReplicaRef, Snapshot, TaskPlacement, fetch_s
from .warm_pool import WarmPool

# A group of machines to search: with the job's image, all running, or booting.
MachineGroup = Literal["warm", "running", "booting"]

# Why a job's tasks wait, as logged.
WAITS_FOR_QUOTA = "team limit"
WAITS_FOR_STOPS = "preempted tasks are stopping"
WAITS_FOR_STOPS_BESIDE_IMAGE = "preempted tasks are stopping on machines with its image"
WAITS_FOR_COMPLETIONS = "running tasks complete soon"
WAITS_FOR_RELOCATION = "replicas are relocating"
WAITS_FOR_BOOT = "machines are booting"
WAITS_FOR_RENTAL = "nothing to rent"
WAITS_AS_PROBE = "probe without free capacity"
WAITS_WITHIN_SLACK = "slack"


def scheduling_order(demand: Demand) -> tuple[bool, bool, int, float, str]:
    """Earliest sub-deadline first; work that may preempt other work goes before it, or it would stop it next.

    Without that, borrowed work took the capacity that had just been freed for a guarantee, again and again.
    """
    production, within, rank = demand.precedence
    return not production, not within, -rank, demand.sub_deadline, demand.ref


class TaskPlacer:
    """Places the tasks of one demand of an array or a service, each task by itself."""

    def __init__(self, placement: PlacementState, demand: Demand) -> None:
        self.placement = placement
        self.demand = demand
        self.placed = dict(demand.zones)
        self.starts: list[TaskPlacement] = []
        self.reserved_count = 0
        self._searches: dict[tuple[MachineGroup, bool], Search] = {}
        self._all_candidates: dict[MachineGroup, PreemptionCandidates] = {}

    def _capacities_of(self, group: MachineGroup) -> list[FreeCapacity]:
        """The machines of a group."""
        if group == "booting":
            return self.placement.booting
        if group == "running":
            return self.placement.running
        return self.placement.with_image(self.demand.spec.image)

    def _belongs_to(self, group: MachineGroup, capacity: FreeCapacity) -> bool:
        """Whether a machine belongs to the group."""
        if group == "booting":
            return capacity.ready_in > 0
        return capacity.ready_in <= 0 and (group == "running" or self.demand.spec.image in capacity.images)

    def _search(self, group: MachineGroup, soon: bool = False) -> Search:
        """The search of a group, made once per demand. `soon`: on capacity that stops under way release too."""
        found = self._searches.get((group, soon))
        if found is None:
            placement, spec = self.placement, self.demand.spec
            where = (group, placement.search_stage(soon, group == "booting"))
            known_to_fail = group != "warm" and placement.failed_searches.known_to_fail(where, spec)
            capacities = () if known_to_fail else self._capacities_of(group)
            if capacities and group != "booting" and spec.gpus > 0:
                capacities = placement.with_free_gpus(spec.image if group == "warm" else None, soon)
            found = Search(self.demand, capacities, placement.snapshot.now, soon)
            if found.none_fits and not known_to_fail and group != "warm":
                placement.failed_searches.add(where, spec)
            self._searches[group, soon] = found
        return found

    def _candidates(self, group: MachineGroup) -> PreemptionCandidates:
        """The preemption candidates of a group, made once per demand."""
        found = self._all_candidates.get(group)
        if found is None:
            placement, demand = self.placement, self.demand
            where = ("preemption", placement.preemption.equivalence_class(demand))
            known_to_fail = placement.failed_searches.known_to_fail(where, demand.spec)
            found = PreemptionCandidates(
                placement.preemption,
                demand,
                () if known_to_fail else self._capacities_of(group),
                allow_gang_start_loss=group == "running",
            )
            if group == "running" and found.is_empty and not known_to_fail:
                placement.failed_searches.add(where, demand.spec)
            self._all_candidates[group] = found
        return found

    def _start_on(self, capacity: FreeCapacity) -> None:
        """Allocate a task on a machine, and enter the machine again in all searches."""
        capacity.allocate(self.demand.spec)
        self.placed[capacity.zone] = self.placed.get(capacity.zone, 0) + 1
        for (group, _), search in self._searches.items():
            if self._belongs_to(group, capacity):
                search.changed(capacity)
        for candidates in self._all_candidates.values():
            candidates.changed(capacity)

    def _reserve_until_ready(self, capacity: FreeCapacity, reason: str) -> None:
        """Allocate capacity to a task that can't start yet, so that later tasks don't count on it too."""
        self._start_on(capacity)
        self.reserved_count += 1
        self.placement.plan.waiting[self.demand.ref] = reason

    def _released_soon(self, group: MachineGroup) -> FreeCapacity | None:
        """A machine with capacity that stops of this or an earlier cycle release, or that one more preemption does."""
        capacity = self._search(group, soon=True).best(self.placed)
        if capacity is not None or self.demand.defers_preemption:
            return capacity
        return self._candidates(group).preempt_cheapest(self.placed)

    def _fetch_too_long(self, capacity: FreeCapacity) -> bool:
        """Whether a task that is due now would fetch its image for long there."""
        return self.demand.spec.due_s is None and fetch_s(capacity, self.demand.spec) > constants.LONG_FETCH_MIN_S

    def place(self, index: int, must_start: bool) -> bool:
        """Place one task. False if it was not placed and the demand's other tasks would not be either."""
        placement, demand = self.placement, self.demand
        capacity = self._search("running").best(self.placed)
        if capacity is not None and self._fetch_too_long(capacity):
            # Work due now starts sooner where its image is, even if something must stop for it.
            better = self._released_soon("warm")
            if better is not None and demand.would_occupy_gpu_machine(better) <= demand.would_occupy_gpu_machine(
                capacity
            ):
                self._reserve_until_ready(better, WAITS_FOR_STOPS)
                return True
        if capacity is not None:
            self._start_on(capacity)
            self.starts.append(TaskPlacement(index, capacity.name))
            return True
        capacity = self._released_soon("running")
        if capacity is not None:
            self._reserve_until_ready(capacity, WAITS_FOR_STOPS)
            return True
        if demand.defers_preemption and placement.preemption.may_preempt_somewhere(demand, placement.running):
            # Thousands of short tasks end every minute. Preempting others for what completions free next cost some
            # 11 stops a second on a busy day, each a record's change, a save and often a fetch.
            placement.plan.waiting[demand.ref] = WAITS_FOR_COMPLETIONS
            return False
        if not must_start or demand.is_probe:
            placement.plan.waiting[demand.ref] = WAITS_AS_PROBE if demand.is_probe else WAITS_WITHIN_SLACK
            return False
        capacity = self._search("booting").best(self.placed)
        if capacity is None and placement.snapshot.may_rent:
            capacity = placement.renting.rent(demand, self.placed)
        if capacity is None:
            relocating = demand.spec.kind is Kind.GANG and relocate_replicas(placement, demand)
            placement.plan.waiting[demand.ref] = WAITS_FOR_RELOCATION if relocating else WAITS_FOR_RENTAL
            return False
        self._reserve_until_ready(capacity, WAITS_FOR_BOOT)
        return True

    def run(self, limits: QuotaBudget) -> None:
        """Place the demand's tasks one by one as far as its team's limit and the free capacity allow."""
        demand, plan = self.demand, self.placement.plan
        tasks_allowed = limits.tasks_allowed(demand)
        must_start = self.placement.must_start(demand)
        for index in demand.indices:
            taken = len(self.starts) + self.reserved_count
            if taken >= tasks_allowed:
                if not demand.is_probe:
                    limits.spend(demand, taken)
                    limits.preempt_within_team(demand, len(demand.indices) - taken)
                    limits.spend(demand, -taken)
                plan.waiting[demand.ref] = WAITS_FOR_QUOTA
                break
            if not self.place(index, must_start):
                break
        # Tasks that wait for reserved capacity keep their part of the team's limit as well.
        limits.spend(demand, len(self.starts) + self.reserved_count)
        if self.starts:
            plan.starts.append(JobStart(demand.ref, self.starts))


def place_gang(placement: PlacementState, limits: QuotaBudget, gangs: GangPlacer, demand: Demand) -> None:
    """All tasks find a place or none takes one, so that two gangs never hold halves."""
    plan = placement.plan
    if limits.tasks_allowed(demand) < len(demand.indices):
        if not demand.is_probe:
            limits.preempt_within_team(demand, len(demand.indices))
        plan.waiting[demand.ref] = WAITS_FOR_QUOTA
        return
    if _start_gang(placement, limits, gangs, demand):
        return
    if _preempt_for_gang(placement, gangs, demand):
        reason = WAITS_FOR_STOPS
    elif not placement.must_start(demand) or demand.is_probe:
        plan.waiting[demand.ref] = WAITS_AS_PROBE if demand.is_probe else WAITS_WITHIN_SLACK
        return
    elif gangs.allocate_all(demand, soon=True, include_booting=True) is not None or (
        placement.snapshot.may_rent and demand.may_rent and gangs.rent(demand)
    ):
        reason = WAITS_FOR_BOOT
    elif relocate_replicas(placement, demand):
        reason = WAITS_FOR_RELOCATION
    else:
        plan.waiting[demand.ref] = WAITS_FOR_RENTAL
        return
    plan.waiting[demand.ref] = reason
    # Its part of the team's limit is kept too, or the team's lower work takes it and is stopped again.
    limits.spend(demand, len(demand.indices))


def _start_gang(placement: PlacementState, limits: QuotaBudget, gangs: GangPlacer, demand: Demand) -> bool:
    """Start a gang on free capacity, or preempt beside its image where the fetch would take long."""
    plan = placement.plan
    found = gangs.allocate_all(demand, soon=False)
    if found is not None and gangs.fetch_too_long(demand, found):
        gangs.deallocate_all(demand, found)
        if gangs.preempt(demand, warm=True):
            plan.waiting[demand.ref] = WAITS_FOR_STOPS_BESIDE_IMAGE
            limits.spend(demand, len(demand.indices))
            return True
        found = gangs.allocate_all(demand, soon=False)
    if found is None:
        return False
    limits.spend(demand, len(found))
    placements = [TaskPlacement(index, capacity.name) for index, capacity in zip(demand.indices, found, strict=True)]
    plan.starts.append(JobStart(demand.ref, placements))
    return True


def _preempt_for_gang(placement: PlacementState, gangs: GangPlacer, demand: Demand) -> bool:
    """Reserve what stopping tasks leave for a gang, or stop more tasks for it."""
    releasing = gangs.allocate_all(demand, soon=True)
    if releasing is not None:
        if demand.has_reservation:
            placement.plan.reservations[demand.ref] = sorted({capacity.name for capacity in releasing})
        return True
    return gangs.preempt(demand) or (demand.may_displace and gangs.preempt(demand, displace=True))


def _consolidation_candidates(placement: PlacementState) -> list[FreeCapacity]:
    """The machines that run only replicas which may be moved, the best to empty first.

    Few replicas are quickly moved; few images are little lost for later starts. Replicas on GPU machines, which others
    need more, go first, then those whose move saves most.
    """
    candidates = [
        capacity
        for capacity in placement.running
        if capacity.replica_count and not capacity.pinned_tasks and not capacity.preemptible_tasks
    ]
    candidates.sort(
        key=lambda capacity: (
            capacity.type.gpus <= 0,
            capacity.replica_count / max(capacity.type.price, constants.PRICE_MIN),
            len(capacity.images),
            capacity.name,
        )
    )
    return candidates


def consolidate(placement: PlacementState, warm_pool: WarmPool) -> str | None:
    """The emptiest machine whose replicas would all fit on others that hold their images."""
    snapshot = placement.snapshot
    if not snapshot.may_migrate or placement.plan.waiting or placement.plan.rentals or placement.booting:
        return None
    others = [capacity for capacity in placement.running if not capacity.empty]
    tried = 0
    for capacity in _consolidation_candidates(placement):
        capacity.inspect()
        if any(replica.ran_s < constants.MIGRATION_RUN_MIN_S for replica in capacity.movable_replicas):
            continue
        tried += 1
        if tried > constants.MIGRATION_CANDIDATES_MAX:
            return None
        taken = allocate_elsewhere(
            placement,
            capacity,
            capacity.movable_replicas,
            [other for other in others if other.spot == capacity.spot],
            warm=True,
        )
        fits = len(taken) == len(capacity.movable_replicas) and warm_pool.covered_by(
            other for other in others if other is not capacity
        )
        for replica, target in taken:
            target.deallocate(replica.spec)
        if fits:
            return capacity.name
    return None


def restart_near_image(placement: PlacementState) -> None:
    """Restart replicas with a stalled fetch on machines that hold their image, on free capacity or by preemption.

    Images that are fetched at the same time share a machine's rate: a replica once waited 70 s for an image of 12 GB,
    while a machine of its zone came to hold it after 20 s.
    """
    for stalled in placement.snapshot.stalled_replicas:
        demand = stalled.demand
        warm = [
            capacity
            for capacity in placement.with_image(demand.spec.image)
            if demand.spec.image in capacity.cached_images
        ]
        capacity = Search(demand, warm, placement.snapshot.now).best(demand.zones) or PreemptionCandidates(
            placement.preemption, demand, warm, allow_gang_start_loss=False
        ).preempt_cheapest(demand.zones)
        if capacity is not None:
            capacity.allocate(demand.spec)
            placement.plan.restarts_near_image.append(ReplicaRef(demand.ref, stalled.index))


def make_plan(snapshot: Snapshot) -> Plan:
    """One cycle's decisions (EPSM, section 4): starts, stops, moves, rentals and what may be returned."""
    placement = PlacementState(snapshot)
    limits, gangs = QuotaBudget(placement), GangPlacer(placement)
    for demand in snapshot.demands + [stalled.demand for stalled in snapshot.stalled_replicas]:
        demand.prefers_cpu_machines = cost_model.prefers_cpu_machines(demand.spec, snapshot.types)
    reserve_for_largest(placement)
    for demand in sorted(snapshot.demands, key=scheduling_order):
        if demand.spec.kind is Kind.GANG and demand.spec.tasks > 1:
            place_gang(placement, limits, gangs, demand)
        else:
            TaskPlacer(placement, demand).run(limits)
    restart_near_image(placement)
    warm_pool = WarmPool(placement)
    for target in snapshot.warm_pool_targets:
        warm_pool.maintain(target)
    # A machine reserved for a job that waits for more machines is not idle, however long that takes.
    placement.plan.idle_machines = {
        capacity.name for capacity in placement.running if capacity.empty and not capacity.reserved_for
    }
    placement.plan.drain = consolidate(placement, warm_pool)
    return placement.plan
