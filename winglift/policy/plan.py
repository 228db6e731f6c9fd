"""One scheduling cycle: which tasks go where, what is stopped for them, what is rented and returned.

A pure function of a snapshot. The order and the search follow EPSM (Rodriguez & Buyya, section 4): ready tasks
by sub-deadline; machines with the image, then any with room; a task waits a cycle while its slack allows;
otherwise room on booting machines, otherwise the cheapest adequate rental. Priorities, teams, gangs and zones
are winglift's own.
"""

from __future__ import annotations

from .. import constants
from ..wire.users import Kind
from . import cost_model
from .gangs import GangPlacer
from .placement_state import PlacementState, QuotaBudget
from .preemption import PreemptionCandidates
from .replica_relocation import allocate_elsewhere, relocate_replicas
from .reservation import reserve_for_largest
from .search import Search
from .snapshot import Demand, FreeCapacity, Plan, Snapshot, fetch_s
from .warm_pool import WarmPool

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

    Without that, borrowed work took the room that had just been made for a guarantee, again and again.
    """
    production, within, rank = demand.precedence
    return not production, not within, -rank, demand.sub_deadline, demand.ref


class TaskPlacer:
    """Arrays and services: every task for itself. One object places the tasks of one need."""

    def __init__(self, placement: PlacementState, demand: Demand) -> None:
        self.placement = placement
        self.demand = demand
        self.placed = dict(demand.zones)
        self.starts: list[tuple[int, str]] = []
        self.promised = 0
        self._searches: dict[tuple[str, bool], Search] = {}
        self._all_candidates: dict[str, PreemptionCandidates] = {}

    def _capacities_of(self, which: str) -> list[FreeCapacity]:
        placement = self.placement
        return (
            placement.booting
            if which == "coming"
            else placement.running
            if which == "up"
            else placement.with_image(self.demand.spec.image)
        )

    def _belongs_to(self, which: str, capacity: FreeCapacity) -> bool:
        """Does a room belong to that part of the machines?"""
        if which == "coming":
            return capacity.ready_in > 0
        return capacity.ready_in <= 0 and (which == "up" or self.demand.spec.image in capacity.images)

    def _search(self, which: str, soon: bool = False) -> Search:
        found = self._searches.get((which, soon))
        if found is None:
            placement, spec = self.placement, self.demand.spec
            where = (which, placement.search_stage(soon, which == "coming"))
            hopeless = which != "warm" and placement.failed_searches.known_to_fail(where, spec)
            capacities = () if hopeless else self._capacities_of(which)
            if capacities and which != "coming" and spec.gpus > 0:
                capacities = placement.with_free_gpus(spec.image if which == "warm" else None, soon)
            found = Search(self.demand, capacities, placement.snapshot.now, soon)
            if found.none_fits and not hopeless and which != "warm":
                placement.failed_searches.add(where, spec)
            self._searches[which, soon] = found
        return found

    def _candidates(self, which: str) -> PreemptionCandidates:
        found = self._all_candidates.get(which)
        if found is None:
            placement, demand = self.placement, self.demand
            where = ("offers", placement.preemption.equivalence_class(demand))
            hopeless = placement.failed_searches.known_to_fail(where, demand.spec)
            found = PreemptionCandidates(
                placement.preemption, demand, () if hopeless else self._capacities_of(which), frail=which == "up"
            )
            if which == "up" and found.is_empty and not hopeless:
                placement.failed_searches.add(where, demand.spec)
            self._all_candidates[which] = found
        return found

    def _start_on(self, capacity: FreeCapacity) -> None:
        capacity.allocate(self.demand.spec)
        self.placed[capacity.zone] = self.placed.get(capacity.zone, 0) + 1
        for (which, _), search in self._searches.items():
            if self._belongs_to(which, capacity):
                search.changed(capacity)
        for offers in self._all_candidates.values():
            offers.changed(capacity)

    def _reserve_until_ready(self, capacity: FreeCapacity, why: str) -> None:
        """Keep room for a task that can't start yet, so that later tasks don't count on it too."""
        self._start_on(capacity)
        self.promised += 1
        self.placement.plan.waiting[self.demand.ref] = why

    def _released_soon(self, which: str) -> FreeCapacity | None:
        """Room that stops of this or an earlier cycle leave, or that one more stop would leave."""
        capacity = self._search(which, soon=True).best(self.placed)
        if capacity is not None or self.demand.defers_preemption:
            return capacity
        return self._candidates(which).preempt_cheapest(self.placed)

    def _fetch_too_long(self, capacity: FreeCapacity) -> bool:
        return self.demand.spec.due_s is None and fetch_s(capacity, self.demand.spec) > constants.FETCH_WORTH_S

    def place(self, index: int, must: bool) -> bool:
        """One task; or False when the need's other tasks would fare no better."""
        placement, demand = self.placement, self.demand
        capacity = self._search("up").best(self.placed)
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
            self.starts.append((index, capacity.name))
            return True
        capacity = self._released_soon("up")
        if capacity is not None:
            self._reserve_until_ready(capacity, WAITS_FOR_STOPS)
            return True
        if demand.defers_preemption and placement.preemption.may_preempt_somewhere(demand, placement.running):
            # Thousands of short tasks end every minute. Stopping others for what the next ends would give cost some
            # 11 stops a second on a busy day, each a record's change, a save and often a fetch.
            placement.plan.waiting[demand.ref] = WAITS_FOR_COMPLETIONS
            return False
        if not must or demand.is_probe:
            placement.plan.waiting[demand.ref] = WAITS_AS_PROBE if demand.is_probe else WAITS_WITHIN_SLACK
            return False
        capacity = self._search("coming").best(self.placed)
        if capacity is None and placement.snapshot.may_rent:
            capacity = placement.renting.rent(demand, self.placed)
        if capacity is None:
            way = demand.spec.kind is Kind.GANG and relocate_replicas(placement, demand)
            placement.plan.waiting[demand.ref] = WAITS_FOR_RELOCATION if way else WAITS_FOR_RENTAL
            return False
        self._reserve_until_ready(capacity, WAITS_FOR_BOOT)
        return True

    def run(self, limits: QuotaBudget) -> None:
        """Place the need's tasks one by one as far as its team's limit and the rooms allow."""
        demand, plan = self.demand, self.placement.plan
        room_left = limits.tasks_allowed(demand)
        must = self.placement.must_start(demand)
        for index in demand.indices:
            taken = len(self.starts) + self.promised
            if taken >= room_left:
                if not demand.is_probe:
                    limits.spend(demand, taken)
                    limits.preempt_within_team(demand, len(demand.indices) - taken)
                    limits.spend(demand, -taken)
                plan.waiting[demand.ref] = WAITS_FOR_QUOTA
                break
            if not self.place(index, must):
                break
        # Tasks that wait for promised room keep their part of the team's limit as well.
        limits.spend(demand, len(self.starts) + self.promised)
        if self.starts:
            plan.starts.append((demand.ref, self.starts))


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
    elif gangs.allocate_all(demand, soon=True, coming=True) is not None or (
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
    machines = [capacity.name for capacity in found]
    plan.starts.append((demand.ref, list(zip(demand.indices, machines, strict=True))))
    return True


def _preempt_for_gang(placement: PlacementState, gangs: GangPlacer, demand: Demand) -> bool:
    """Reserve what stopping tasks leave for a gang, or stop more tasks for it."""
    releasing = gangs.allocate_all(demand, soon=True)
    if releasing is not None:
        if demand.has_reservation:
            placement.plan.reservations[demand.ref] = sorted({capacity.name for capacity in releasing})
        return True
    return gangs.preempt(demand) or (demand.may_displace and gangs.preempt(demand, displace=True))


def consolidate(placement: PlacementState, reserves: WarmPool) -> str | None:
    """The emptiest machine whose replicas would all fit on others that hold their images."""
    snapshot = placement.snapshot
    if not snapshot.may_migrate or placement.plan.waiting or placement.plan.rentals or placement.booting:
        return None
    candidates = [r for r in placement.running if r.replica_count and not r.pinned_tasks and not r.preemptible_tasks]
    others = [r for r in placement.running if not r.empty]
    tried = 0
    # Few replicas are quickly moved; few images are little lost for later starts.
    # What stands on a machine that others need more goes first, then what pays most.
    for capacity in sorted(
        candidates,
        key=lambda r: (
            r.type.gpus <= 0,
            r.replica_count / max(r.type.price, constants.PRICE_MIN),
            len(r.images),
            r.name,
        ),
    ):
        capacity.inspect()
        if any(m.ran_s < constants.MIGRATION_AFTER_S for m in capacity.movable_replicas):
            continue
        tried += 1
        if tried > constants.MIGRATION_CANDIDATES:
            return None
        taken = allocate_elsewhere(
            placement, capacity, capacity.movable_replicas, [r for r in others if r.spot == capacity.spot], warm=True
        )
        fits = len(taken) == len(capacity.movable_replicas) and reserves.covered_by(
            r for r in others if r is not capacity
        )
        for replica, target in taken:
            target.deallocate(replica.spec)
        if fits:
            return capacity.name
    return None


def restart_near_image(placement: PlacementState) -> None:
    """Replicas whose fetch drags on start anew beside their image, once there is room there or may be.

    Images that are fetched at the same time share a machine's rate: a replica once waited 70 s for an image of 12 GB,
    while a machine of its zone came to hold it after 20 s.
    """
    for stalled in placement.snapshot.stalled_replicas:
        demand = stalled.demand
        warm = [r for r in placement.with_image(demand.spec.image) if demand.spec.image in r.cached_images]
        capacity = Search(demand, warm, placement.snapshot.now).best(demand.zones) or PreemptionCandidates(
            placement.preemption, demand, warm, frail=False
        ).preempt_cheapest(demand.zones)
        if capacity is not None:
            capacity.allocate(demand.spec)
            placement.plan.image_restarts.append((demand.ref, stalled.index))


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
    reserves = WarmPool(placement)
    for reserve in snapshot.warm_pool_targets:
        reserves.maintain(reserve)
    # What is held for a job that waits for more machines yet is not idle, however long that takes.
    placement.plan.idle_machines = {r.name for r in placement.running if r.empty and not r.reserved_for}
    placement.plan.drain = consolidate(placement, reserves)
    return placement.plan
