"""Gang scheduling: places for all tasks at once, or for none."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

from .. import constants
from .placement_state import PlacementState
from .search import Search
from .snapshot import Demand, FreeCapacity, Victim, fetch_s


class Option(NamedTuple):
    """One machine that a task of a gang could use."""

    cost: float  # s: work lost by preemption, and fetch
    capacity: FreeCapacity
    victims: list[Victim]  # to preempt there


def _preemption_cost_s(victims: list[Victim]) -> float:
    """Seconds of work lost by preempting these tasks, with a surcharge for those within a guarantee."""
    return sum(
        victim.lost_work_s * victim.gang_size + (constants.DISPLACEMENT_COST_S if victim.within_guarantee else 0.0)
        for victim in victims
    )


class GangPlacer:
    """Places gangs: all tasks of one together, or none."""

    def __init__(self, placement: PlacementState) -> None:
        self.placement = placement
        self._chosen: dict[Hashable, dict[str, tuple[int, list[Victim] | None]]] = {}
        self._displaced = 0.0  # GPUs of work within guarantees that this cycle displaces

    def _zones(self, demand: Demand) -> list[str | None]:
        """Where the whole gang may go: each zone by itself, the one with most free GPUs first, or anywhere (None)."""
        if not demand.spec.one_zone:
            return [None]
        free = {zone: 0.0 for mtype in self.placement.snapshot.types.values() for zone in mtype.zones}
        for capacity in self.placement.booting:
            free.setdefault(capacity.zone, 0.0)
        for capacity in self.placement.running:
            free[capacity.zone] = free.get(capacity.zone, 0.0) + capacity.gpus
        by_free_gpus = sorted(free, key=lambda zone: (-free[zone], zone))
        return list(by_free_gpus)

    def _allowed(self, demand: Demand, capacities: list[FreeCapacity]) -> dict[str | None, list[FreeCapacity]]:
        """The machines that the gang's job allows, per zone, or all under None."""
        found: dict[str | None, list[FreeCapacity]] = {}
        for capacity in capacities:
            if demand.allows(capacity):
                found.setdefault(capacity.zone if demand.spec.one_zone else None, []).append(capacity)
        return found

    @staticmethod
    def _search_key(demand: Demand, stage: tuple[int, int]) -> Hashable:
        """The key of gangs that may be placed on the same machines, at one stage of the cycle."""
        spec = demand.spec
        return (
            "gang",
            demand.ref if demand.has_reservation else "",
            spec.spot,
            spec.zone,
            tuple(spec.types or ()),
            spec.one_zone,
            demand.avoided_machines,
            demand.prefers_cpu_machines,
            stage,
        )

    def allocate_all(self, demand: Demand, soon: bool, include_booting: bool = False) -> list[FreeCapacity] | None:
        """Allocate places for all tasks of a gang, or nothing (None)."""
        placement, spec, tasks = self.placement, demand.spec, len(demand.indices)
        where = self._search_key(demand, placement.search_stage(soon, include_booting))
        if placement.failed_searches.known_to_fail(where, spec, tasks):
            return None
        capacities = placement.running + placement.booting if include_booting else placement.running
        allowed = self._allowed(
            demand,
            [capacity for capacity in capacities if (capacity.fits_after_stops(spec) if soon else capacity.fits(spec))],
        )
        best: tuple[float, list[FreeCapacity]] | None = None
        for zone in self._zones(demand):
            candidates = allowed.get(zone, [])
            if sum(capacity.slots(spec, soon) for capacity in candidates) < tasks:
                continue
            taken = self._allocate_found(demand, Search(demand, candidates, placement.snapshot.now, soon))
            self.deallocate_all(demand, taken)
            if len(taken) == tasks:
                # It starts once the last task has its image: a zone whose machines hold it comes before others.
                slowest = max(fetch_s(capacity, spec) for capacity in taken)
                if best is None or slowest < best[0]:
                    best = slowest, taken
                if slowest <= 0:
                    break
        if best is not None:
            for capacity in best[1]:
                capacity.allocate(spec)
            return best[1]
        if not spec.spread and not demand.zones:
            placement.failed_searches.add(where, spec, tasks)
        return None

    @staticmethod
    def _allocate_found(demand: Demand, search: Search) -> list[FreeCapacity]:
        """Allocate as many places as there are, up to the gang's size."""
        placed = dict(demand.zones)
        taken: list[FreeCapacity] = []
        for _ in demand.indices:
            capacity = search.best(placed)
            if capacity is None:
                break
            capacity.allocate(demand.spec)
            placed[capacity.zone] = placed.get(capacity.zone, 0) + 1
            search.changed(capacity)
            taken.append(capacity)
        return taken

    def fetch_too_long(self, demand: Demand, capacities: list[FreeCapacity]) -> bool:
        """Whether a gang that is due now would fetch its image for long there. It starts with the last of its tasks."""
        return (
            demand.spec.due_s is None
            and max(fetch_s(capacity, demand.spec) for capacity in capacities) > constants.LONG_FETCH_MIN_S
        )

    def deallocate_all(self, demand: Demand, capacities: list[FreeCapacity]) -> None:
        """Give back places that were taken."""
        for capacity in capacities:
            capacity.deallocate(demand.spec)

    def preempt(self, demand: Demand, warm: bool = False, displace: bool = False) -> bool:
        """Preempt other work for a whole gang, or nothing.

        `warm`: only on machines with its image. `displace`: also work within a guarantee, which is placed elsewhere.
        The machines are reserved for the gang until it starts.
        """
        preemption, spec, tasks = self.placement.preemption, demand.spec, len(demand.indices)
        where = (
            "gang preempts",
            warm and spec.image,
            displace,
            demand.ref if demand.has_reservation else "",
            preemption.equivalence_class(demand),
        )
        if preemption.cannot_preempt(demand) or self.placement.failed_searches.known_to_fail(where, spec, tasks):
            return False
        best = self._best_choice(demand, warm, displace)
        if best is not None and displace:
            chosen = [option.capacity for option in best]
            moved = sum(victim.gpus for option in best for victim in option.victims if victim.within_guarantee)
            if preemption.replaceable(self.placement.running, chosen) - self._displaced < moved:
                best = None
            else:
                self._displaced += moved
        if best is None:
            self.placement.failed_searches.add(where, spec, tasks)
            return False
        for option in best:
            for victim in option.victims:
                preemption.stop(victim, option.capacity, demand)
            option.capacity.allocate(spec)
        self.placement.plan.reservations[demand.ref] = sorted({option.capacity.name for option in best})
        return True

    def _best_choice(self, demand: Demand, warm: bool, displace: bool) -> list[Option] | None:
        """The cheapest machines of one zone, one for each task. Several tasks on one machine: see `allocate_all`."""
        preemption, spec, tasks = self.placement.preemption, demand.spec, len(demand.indices)
        # A start that waits for a fetch comes later than one that waits for a stop.
        weight = constants.FETCH_COST_RATIO if spec.due_s is None else 1.0
        running = self.placement.with_image(spec.image) if warm else self.placement.running
        preemptible = {capacity.name for capacity in preemption.machines_with_enough(demand, running)}
        allowed = self._allowed(
            demand,
            [capacity for capacity in running if capacity.name in preemptible or capacity.fits_after_stops(spec)],
        )
        # Gangs are of few sizes: the victims found for one on a machine hold for the next, until the machine changes.
        kind = preemption.equivalence_class(demand), spec.gpus, spec.cpus, spec.memory_gb, warm, displace
        victims_by_machine = self._chosen.setdefault(kind, {})
        best: tuple[float, list[Option]] | None = None
        for zone in self._zones(demand):
            capacities = allowed.get(zone, [])
            if len(capacities) < tasks:
                continue
            options: list[Option] = []
            for capacity in capacities:
                fetch = fetch_s(capacity, spec) * weight
                if capacity.fits_after_stops(spec):
                    options.append(Option(fetch, capacity, []))
                elif capacity.preemptible_tasks:
                    # To spare a fetch no other gang loses its start.
                    chosen = self._victims(demand, capacity, warm, displace, victims_by_machine)
                    if chosen:
                        options.append(Option(_preemption_cost_s(chosen) + 1.0 + fetch, capacity, chosen))
            options.sort(key=lambda option: option.cost)
            if len(options) >= tasks:
                cost = sum(option.cost for option in options[:tasks])
                if best is None or cost < best[0]:
                    best = cost, options[:tasks]
        return best[1] if best is not None else None

    def _victims(
        self,
        demand: Demand,
        capacity: FreeCapacity,
        warm: bool,
        displace: bool,
        victims_by_machine: dict[str, tuple[int, list[Victim] | None]],
    ) -> list[Victim] | None:
        """The tasks to preempt on one machine, kept in `victims_by_machine` until the machine's version changes."""
        found = victims_by_machine.get(capacity.name)
        if found is None or found[0] != capacity.version:
            chosen = self.placement.preemption.victims(
                demand, capacity, allow_gang_start_loss=not warm, displace=displace
            )
            found = victims_by_machine[capacity.name] = capacity.version, chosen
        return found[1]

    def rent(self, demand: Demand) -> bool:
        """Rent the missing machines of a gang in the zone where fewest are missing."""
        placement, spec = self.placement, demand.spec
        checkpoint = placement.renting.checkpoint()
        known = placement.running + placement.booting
        allowed = self._allowed(demand, [capacity for capacity in known if capacity.fits_after_stops(spec)])
        zones = sorted(self._zones(demand), key=lambda zone: (-len(allowed.get(zone, [])), zone or ""))
        for zone in zones:
            taken = self._allocate_found(
                demand, Search(demand, allowed.get(zone, []), placement.snapshot.now, soon=True)
            )
            placed = dict(demand.zones)
            if zone is not None:
                # Nothing of the gang is in any zone yet: this keeps rentals to the zone that is tried.
                placed[zone] = placed.get(zone, 0) + 1
            while len(taken) < len(demand.indices):
                capacity = placement.renting.rent(demand, placed)
                if capacity is None:
                    break
                while len(taken) < len(demand.indices) and capacity.fits(spec):
                    capacity.allocate(spec)
                    taken.append(capacity)
            if len(taken) == len(demand.indices):
                return True
            self.deallocate_all(demand, taken)
            placement.renting.rollback(checkpoint)
        return False
