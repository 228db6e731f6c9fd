"""Gang scheduling: all tasks of a gang are placed at once, or none."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

from .. import constants
from .placement_state import PlacementState
from .search import Search
from .snapshot import Demand, FreeCapacity, Victim, fetch_s


class MachineOption(NamedTuple):
    """A machine on which one task of a gang could be placed."""

    cost_s: float  # work lost by preemption plus weighted fetch time
    capacity: FreeCapacity
    victims: list[Victim]  # tasks to preempt on the machine


def _preemption_cost_s(victims: list[Victim]) -> float:
    """Seconds of work lost by preempting these tasks, with a surcharge for those within a guarantee."""
    return sum(
        victim.lost_work_s * victim.gang_size + (constants.DISPLACEMENT_COST_S if victim.within_guarantee else 0.0)
        for victim in victims
    )


class GangPlacer:
    """Places gangs: all tasks of a gang together, or none."""

    def __init__(self, placement: PlacementState) -> None:
        self.placement = placement
        self._cached_victims: dict[Hashable, dict[str, tuple[int, list[Victim] | None]]] = {}
        self._displaced_gpus = 0.0  # GPUs of work within guarantees that is displaced in this cycle

    def _candidate_zones(self, demand: Demand) -> list[str | None]:
        """The zones to try for the whole gang, most free GPUs first; or None alone if it may span zones."""
        if not demand.spec.one_zone:
            return [None]
        free_gpus = {zone: 0.0 for mtype in self.placement.snapshot.types.values() for zone in mtype.zones}
        for capacity in self.placement.booting:
            free_gpus.setdefault(capacity.zone, 0.0)
        for capacity in self.placement.running:
            free_gpus[capacity.zone] = free_gpus.get(capacity.zone, 0.0) + capacity.gpus
        by_free_gpus = sorted(free_gpus, key=lambda zone: (-free_gpus[zone], zone))
        return list(by_free_gpus)

    def _allowed_by_zone(self, demand: Demand, capacities: list[FreeCapacity]) -> dict[str | None, list[FreeCapacity]]:
        """The machines that the demand allows, per zone; all under None if the gang may span zones."""
        by_zone: dict[str | None, list[FreeCapacity]] = {}
        for capacity in capacities:
            if demand.allows(capacity):
                by_zone.setdefault(capacity.zone if demand.spec.one_zone else None, []).append(capacity)
        return by_zone

    @staticmethod
    def _search_key(demand: Demand, stage: tuple[int, int]) -> Hashable:
        """A key shared by the gangs that may be placed on the same machines at one stage of the cycle."""
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

    def allocate_all(
        self, demand: Demand, after_stops: bool, include_booting: bool = False
    ) -> list[FreeCapacity] | None:
        """Allocate machines for all tasks of a gang, one entry per task, or for none (None)."""
        placement, spec, tasks = self.placement, demand.spec, len(demand.indices)
        search_key = self._search_key(demand, placement.search_stage(after_stops, include_booting))
        if placement.failed_searches.known_to_fail(search_key, spec, tasks):
            return None
        capacities = placement.running + placement.booting if include_booting else placement.running
        allowed_by_zone = self._allowed_by_zone(
            demand,
            [
                capacity
                for capacity in capacities
                if (capacity.fits_after_stops(spec) if after_stops else capacity.fits(spec))
            ],
        )
        best: tuple[float, list[FreeCapacity]] | None = None
        for zone in self._candidate_zones(demand):
            candidates = allowed_by_zone.get(zone, [])
            if sum(capacity.slots(spec, after_stops) for capacity in candidates) < tasks:
                continue
            taken = self._allocate_up_to_size(demand, Search(demand, candidates, placement.snapshot.now, after_stops))
            self.deallocate_all(demand, taken)
            if len(taken) == tasks:
                # A gang starts once its last task has the image: a zone whose machines hold the image is preferred.
                slowest_fetch_s = max(fetch_s(capacity, spec) for capacity in taken)
                if best is None or slowest_fetch_s < best[0]:
                    best = slowest_fetch_s, taken
                if slowest_fetch_s <= 0:
                    break
        if best is not None:
            for capacity in best[1]:
                capacity.allocate(spec)
            return best[1]
        if not spec.spread and not demand.zones:
            placement.failed_searches.add(search_key, spec, tasks)
        return None

    @staticmethod
    def _allocate_up_to_size(demand: Demand, search: Search) -> list[FreeCapacity]:
        """Allocate machines for as many tasks as fit, up to the gang's size."""
        placed = dict(demand.zones)
        taken: list[FreeCapacity] = []
        for _ in demand.indices:
            capacity = search.best(placed)
            if capacity is None:
                break
            capacity.allocate(demand.spec)
            placed[capacity.zone] = placed.get(capacity.zone, 0) + 1
            search.reinsert(capacity)
            taken.append(capacity)
        return taken

    def fetch_too_long(self, demand: Demand, capacities: list[FreeCapacity]) -> bool:
        """Whether a gang that is due now would wait for its slowest image fetch for longer than `LONG_FETCH_MIN_S`."""
        return (
            demand.spec.due_s is None
            and max(fetch_s(capacity, demand.spec) for capacity in capacities) > constants.LONG_FETCH_MIN_S
        )

    def deallocate_all(self, demand: Demand, capacities: list[FreeCapacity]) -> None:
        """Undo the allocation of one task on each of these machines."""
        for capacity in capacities:
            capacity.deallocate(demand.spec)

    def preempt(self, demand: Demand, warm: bool = False, displace: bool = False) -> bool:
        """Preempt other work for a whole gang, or nothing.

        `warm`: only on machines with its image. `displace`: also work within a guarantee, which is placed on other
        machines. The machines are reserved for the gang until it starts.
        """
        preemption, spec, tasks = self.placement.preemption, demand.spec, len(demand.indices)
        search_key = (
            "gang preempts",
            warm and spec.image,
            displace,
            demand.ref if demand.has_reservation else "",
            preemption.equivalence_class(demand),
        )
        if preemption.cannot_preempt(demand) or self.placement.failed_searches.known_to_fail(search_key, spec, tasks):
            return False
        best = self._cheapest_options(demand, warm, displace)
        if best is not None and displace:
            chosen = [option.capacity for option in best]
            displaced_gpus = sum(victim.gpus for option in best for victim in option.victims if victim.within_guarantee)
            if preemption.replaceable_gpus(self.placement.running, chosen) - self._displaced_gpus < displaced_gpus:
                best = None
            else:
                self._displaced_gpus += displaced_gpus
        if best is None:
            self.placement.failed_searches.add(search_key, spec, tasks)
            return False
        for option in best:
            for victim in option.victims:
                preemption.stop(victim, option.capacity, demand)
            option.capacity.allocate(spec)
        self.placement.plan.reservations[demand.ref] = sorted({option.capacity.name for option in best})
        return True

    def _cheapest_options(self, demand: Demand, warm: bool, displace: bool) -> list[MachineOption] | None:
        """The cheapest machines of one zone, one per task (`allocate_all` may place several tasks on one machine)."""
        preemption, spec, tasks = self.placement.preemption, demand.spec, len(demand.indices)
        # A start that waits for a fetch is later than one that waits for a stop.
        fetch_weight = constants.FETCH_COST_RATIO if spec.due_s is None else 1.0
        running = self.placement.with_image(spec.image) if warm else self.placement.running
        preemptible = {capacity.name for capacity in preemption.machines_with_enough(demand, running)}
        allowed_by_zone = self._allowed_by_zone(
            demand,
            [capacity for capacity in running if capacity.name in preemptible or capacity.fits_after_stops(spec)],
        )
        # Gangs come in few sizes: the victims chosen on a machine serve the next gang too, until the machine changes.
        equivalence_key = preemption.equivalence_class(demand), spec.gpus, spec.cpus, spec.memory_gb, warm, displace
        victims_by_machine = self._cached_victims.setdefault(equivalence_key, {})
        best: tuple[float, list[MachineOption]] | None = None
        for zone in self._candidate_zones(demand):
            capacities = allowed_by_zone.get(zone, [])
            if len(capacities) < tasks:
                continue
            options: list[MachineOption] = []
            for capacity in capacities:
                fetch = fetch_s(capacity, spec) * fetch_weight
                if capacity.fits_after_stops(spec):
                    options.append(MachineOption(fetch, capacity, []))
                elif capacity.preemptible_tasks:
                    # Preemption only to save a fetch (`warm`) must not cost another gang its start.
                    chosen = self._victims(demand, capacity, warm, displace, victims_by_machine)
                    if chosen:
                        options.append(MachineOption(_preemption_cost_s(chosen) + 1.0 + fetch, capacity, chosen))
            options.sort(key=lambda option: option.cost_s)
            if len(options) >= tasks:
                cost = sum(option.cost_s for option in options[:tasks])
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
        """The tasks to preempt on one machine, cached in `victims_by_machine` until the machine's version changes."""
        cached = victims_by_machine.get(capacity.name)
        if cached is None or cached[0] != capacity.version:
            chosen = self.placement.preemption.victims(
                demand, capacity, allow_gang_start_loss=not warm, displace=displace
            )
            cached = victims_by_machine[capacity.name] = capacity.version, chosen
        return cached[1]

    def rent(self, demand: Demand) -> bool:
        """Rent the missing machines of a gang, trying first the zone with the most usable machines."""
        placement, spec = self.placement, demand.spec
        checkpoint = placement.renting.checkpoint()
        known_capacities = placement.running + placement.booting
        allowed_by_zone = self._allowed_by_zone(
            demand, [capacity for capacity in known_capacities if capacity.fits_after_stops(spec)]
        )
        zones = sorted(
            self._candidate_zones(demand), key=lambda zone: (-len(allowed_by_zone.get(zone, [])), zone or "")
        )
        for zone in zones:
            taken = self._allocate_up_to_size(
                demand, Search(demand, allowed_by_zone.get(zone, []), placement.snapshot.now, after_stops=True)
            )
            placed = dict(demand.zones)
            if zone is not None:
                # No task of the gang is placed yet: counting one restricts the rentals to the zone that is tried.
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
