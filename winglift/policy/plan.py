"""One scheduling cycle: which tasks start where, which are stopped for them, which machines are rented and returned.

The plan is a pure function of a snapshot. The order and the search follow EPSM (Rodriguez & Buyya, section 4): ready
tasks by sub-deadline; first machines with the image, then any with free capacity; while its slack allows, a task waits
for the next cycle; else it gets a booting machine or the cheapest adequate rental. Priorities, teams, gangs and zones
are additions of winglift.
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

# A group of machines to search: running ones that hold or fetch the job's image, all running ones, or booting ones.
MachineGroup = Literal["warm", "running", "booting"]

# The reasons why a job's tasks wait, as logged.
WAITS_FOR_QUOTA = "team limit"
WAITS_FOR_STOPS = "preempted tasks are stopping"
WAITS_FOR_STOPS_NEAR_IMAGE = "preempted tasks are stopping on machines with its image"
WAITS_FOR_COMPLETIONS = "running tasks complete soon"
WAITS_FOR_RELOCATION = "replicas are relocating"
WAITS_FOR_BOOT = "machines are booting"
WAITS_FOR_RENTAL = "nothing to rent"
WAITS_AS_PROBE = "probe without free capacity"
WAITS_WITHIN_SLACK = "slack"


def scheduling_order(demand: Demand) -> tuple[bool, bool, int, float, str]:
    """The sort key of demands: highest precedence first, then earliest sub-deadline.

    Work that may preempt other work comes before it. Otherwise borrowed work repeatedly took the capacity that had just
    been freed for work within a guarantee.
    """
    production, within_guarantee, rank = demand.precedence
    return not production, not within_guarantee, -rank, demand.sub_deadline, demand.ref


class TaskPlacer:
    """Places the tasks of one demand one by one: those of an array or a service, or a gang of one task."""

    def __init__(self, placement: PlacementState, demand: Demand) -> None:
        self.placement = placement
        self.demand = demand
        self.placed = dict(demand.zones)
        self.starts: list[TaskPlacement] = []
        self.reserved_count = 0
        self._searches: dict[tuple[MachineGroup, bool], Search] = {}
        self._candidates_by_group: dict[MachineGroup, PreemptionCandidates] = {}

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

    def _search(self, group: MachineGroup, after_stops: bool = False) -> Search:
        """The search of a group, created once per demand. `after_stops`: also capacity that stops under way release."""
        search = self._searches.get((group, after_stops))
        if search is None:
            placement, spec = self.placement, self.demand.spec
            search_key = (group, placement.search_stage(after_stops, group == "booting"))
            known_to_fail = group != "warm" and placement.failed_searches.known_to_fail(search_key, spec)
            capacities = () if known_to_fail else self._capacities_of(group)
            if capacities and group != "booting" and spec.gpus > 0:
                capacities = placement.with_free_gpus(spec.image if group == "warm" else None, after_stops)
            search = Search(self.demand, capacities, placement.snapshot.now, after_stops)
            if search.none_fits and not known_to_fail and group != "warm":
                placement.failed_searches.add(search_key, spec)
            self._searches[group, after_stops] = search
        return search

    def _candidates(self, group: MachineGroup) -> PreemptionCandidates:
        """The preemption candidates of a group, created once per demand."""
        candidates = self._candidates_by_group.get(group)
        if candidates is None:
            placement, demand = self.placement, self.demand
            search_key = ("preemption", placement.preemption.equivalence_class(demand))
            known_to_fail = placement.failed_searches.known_to_fail(search_key, demand.spec)
            candidates = PreemptionCandidates(
                placement.preemption,
                demand,
                () if known_to_fail else self._capacities_of(group),
                allow_gang_start_loss=group == "running",
            )
            if group == "running" and candidates.is_empty and not known_to_fail:
                placement.failed_searches.add(search_key, demand.spec)
            self._candidates_by_group[group] = candidates
        return candidates

    def _allocate_on(self, capacity: FreeCapacity) -> None:
        """Allocate a task on a machine, and update the machine in all searches."""
        capacity.allocate(self.demand.spec)
        self.placed[capacity.zone] = self.placed.get(capacity.zone, 0) + 1
        for (group, _), search in self._searches.items():
            if self._belongs_to(group, capacity):
                search.reinsert(capacity)
        for candidates in self._candidates_by_group.values():
            candidates.reinsert(capacity)

    def _reserve_until_ready(self, capacity: FreeCapacity, reason: str) -> None:
        """Allocate capacity to a task that can't start yet, so that no later task uses it."""
        self._allocate_on(capacity)
        self.reserved_count += 1
        self.placement.plan.waiting[self.demand.ref] = reason

    def _capacity_after_stops(self, group: MachineGroup) -> FreeCapacity | None:
        """A machine with enough capacity once the stops under way are complete, or else after one more preemption."""
        capacity = self._search(group, after_stops=True).best(self.placed)
        if capacity is not None or self.demand.defers_preemption:
            return capacity
        return self._candidates(group).preempt_cheapest(self.placed)

    def _fetch_too_long(self, capacity: FreeCapacity) -> bool:
        """Whether a task that is due now would wait longer than `LONG_FETCH_MIN_S` for its image on this machine."""
        return self.demand.spec.due_s is None and fetch_s(capacity, self.demand.spec) > constants.LONG_FETCH_MIN_S

    def place(self, index: int, must_start: bool) -> bool:
        """Place one task. False if neither this task nor the demand's remaining ones can be placed."""
        placement, demand = self.placement, self.demand
        capacity = self._search("running").best(self.placed)
        if capacity is not None and self._fetch_too_long(capacity):
            # Work due now starts sooner on a machine with its image, even if a task must be stopped there.
            warm = self._capacity_after_stops("warm")
            if warm is not None and demand.would_occupy_gpu_machine(warm) <= demand.would_occupy_gpu_machine(capacity):
                self._reserve_until_ready(warm, WAITS_FOR_STOPS)
                return True
        if capacity is not None:
            self._allocate_on(capacity)
            self.starts.append(TaskPlacement(index, capacity.name))
            return True
        capacity = self._capacity_after_stops("running")
        if capacity is not None:
            self._reserve_until_ready(capacity, WAITS_FOR_STOPS)
            return True
        if demand.defers_preemption and placement.preemption.may_preempt_somewhere(demand, placement.running):
            # Thousands of short tasks complete every minute. Preempting for capacity that completions are about to
            # free cost about 11 stops a second on a busy day, each with a record change, a save and often a fetch.
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

    def place_all(self, quota_budget: QuotaBudget) -> None:
        """Place the demand's tasks one by one, as far as its team's limit and the free capacity allow."""
        demand, plan = self.demand, self.placement.plan
        tasks_allowed = quota_budget.tasks_allowed(demand)
        must_start = self.placement.must_start(demand)
        for index in demand.indices:
            placed_count = len(self.starts) + self.reserved_count
            if placed_count >= tasks_allowed:
                if not demand.is_probe:
                    quota_budget.charge(demand, placed_count)
                    quota_budget.preempt_within_team(demand, len(demand.indices) - placed_count)
                    quota_budget.charge(demand, -placed_count)
                plan.waiting[demand.ref] = WAITS_FOR_QUOTA
                break
            if not self.place(index, must_start):
                break
        # Tasks that wait for reserved capacity count against the team's limit as well.
        quota_budget.charge(demand, len(self.starts) + self.reserved_count)
        if self.starts:
            plan.starts.append(JobStart(demand.ref, self.starts))


def place_gang(placement: PlacementState, quota_budget: QuotaBudget, gang_placer: GangPlacer, demand: Demand) -> None:
    """Place all tasks of a gang or none, so that two gangs never hold part of the machines that both need."""
    plan = placement.plan
    if quota_budget.tasks_allowed(demand) < len(demand.indices):
        if not demand.is_probe:
            quota_budget.preempt_within_team(demand, len(demand.indices))
        plan.waiting[demand.ref] = WAITS_FOR_QUOTA
        return
    if _start_gang(placement, quota_budget, gang_placer, demand):
        return
    if _preempt_for_gang(placement, gang_placer, demand):
        reason = WAITS_FOR_STOPS
    elif not placement.must_start(demand) or demand.is_probe:
        plan.waiting[demand.ref] = WAITS_AS_PROBE if demand.is_probe else WAITS_WITHIN_SLACK
        return
    elif gang_placer.allocate_all(demand, after_stops=True, include_booting=True) is not None or (
        placement.snapshot.may_rent and demand.may_rent and gang_placer.rent(demand)
    ):
        reason = WAITS_FOR_BOOT
    elif relocate_replicas(placement, demand):
        reason = WAITS_FOR_RELOCATION
    else:
        plan.waiting[demand.ref] = WAITS_FOR_RENTAL
        return
    plan.waiting[demand.ref] = reason
    # The gang counts against the team's limit: else lower-priority work of the team would start and be stopped again.
    quota_budget.charge(demand, len(demand.indices))


def _start_gang(placement: PlacementState, quota_budget: QuotaBudget, gang_placer: GangPlacer, demand: Demand) -> bool:
    """Start a gang on free capacity, or preempt on machines with its image if the fetch would take long."""
    plan = placement.plan
    capacities = gang_placer.allocate_all(demand, after_stops=False)
    if capacities is not None and gang_placer.fetch_too_long(demand, capacities):
        gang_placer.deallocate_all(demand, capacities)
        if gang_placer.preempt(demand, warm=True):
            plan.waiting[demand.ref] = WAITS_FOR_STOPS_NEAR_IMAGE
            quota_budget.charge(demand, len(demand.indices))
            return True
        capacities = gang_placer.allocate_all(demand, after_stops=False)
    if capacities is None:
        return False
    quota_budget.charge(demand, len(capacities))
    placements = [
        TaskPlacement(index, capacity.name) for index, capacity in zip(demand.indices, capacities, strict=True)
    ]
    plan.starts.append(JobStart(demand.ref, placements))
    return True


def _preempt_for_gang(placement: PlacementState, gang_placer: GangPlacer, demand: Demand) -> bool:
    """Reserve the capacity that stops under way release for a gang, or stop more tasks for it."""
    releasing = gang_placer.allocate_all(demand, after_stops=True)
    if releasing is not None:
        if demand.has_reservation:
            placement.plan.reservations[demand.ref] = sorted({capacity.name for capacity in releasing})
        return True
    return gang_placer.preempt(demand) or (demand.may_displace and gang_placer.preempt(demand, displace=True))


def _consolidation_candidates(placement: PlacementState) -> list[FreeCapacity]:
    """The machines that run only movable replicas, the best to empty first.

    GPU machines come first, since other work needs them more, then those with the fewest replicas to move per unit of
    price, then those with the fewest images, which later starts could use.
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


def machine_to_consolidate(placement: PlacementState, warm_pool: WarmPool) -> str | None:
    """The best machine to empty whose replicas all fit on other machines that hold or fetch their images, or None."""
    snapshot = placement.snapshot
    if not snapshot.may_migrate or placement.plan.waiting or placement.plan.rentals or placement.booting:
        return None
    others = [capacity for capacity in placement.running if not capacity.empty]
    candidate_count = 0
    for capacity in _consolidation_candidates(placement):
        capacity.inspect()
        if any(replica.ran_s < constants.MIGRATION_RUN_MIN_S for replica in capacity.movable_replicas):
            continue
        candidate_count += 1
        if candidate_count > constants.MIGRATION_CANDIDATES_MAX:
            return None
        relocations = allocate_elsewhere(
            placement,
            capacity,
            capacity.movable_replicas,
            [other for other in others if other.spot == capacity.spot],
            warm=True,
        )
        fits = len(relocations) == len(capacity.movable_replicas) and warm_pool.covered_by(
            other for other in others if other is not capacity
        )
        for replica, target in relocations:
            target.deallocate(replica.spec)
        if fits:
            return capacity.name
    return None


def restart_near_image(placement: PlacementState) -> None:
    """Restart replicas with a stalled fetch on machines that hold their image, on free capacity or by preemption.

    Concurrent fetches share a machine's fetch rate: a replica waited 70 s for an image of 12 GB, while another machine
    of its zone held the image after 20 s.
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
    """The decisions of one cycle (EPSM, section 4): starts, stops, relocations, rentals and machines to return."""
    placement = PlacementState(snapshot)
    quota_budget, gang_placer = QuotaBudget(placement), GangPlacer(placement)
    for demand in snapshot.demands + [stalled.demand for stalled in snapshot.stalled_replicas]:
        demand.prefers_cpu_machines = cost_model.prefers_cpu_machines(demand.spec, snapshot.types)
    reserve_for_largest(placement)
    for demand in sorted(snapshot.demands, key=scheduling_order):
        if demand.spec.kind is Kind.GANG and demand.spec.tasks > 1:
            place_gang(placement, quota_budget, gang_placer, demand)
        else:
            TaskPlacer(placement, demand).place_all(quota_budget)
    restart_near_image(placement)
    warm_pool = WarmPool(placement)
    for target in snapshot.warm_pool_targets:
        warm_pool.maintain(target)
    # A machine reserved for a job that waits for more machines is not idle, however long the job waits.
    placement.plan.idle_machines = {
        capacity.name for capacity in placement.running if capacity.empty and not capacity.reserved_for
    }
    placement.plan.drain = machine_to_consolidate(placement, warm_pool)
    return placement.plan
