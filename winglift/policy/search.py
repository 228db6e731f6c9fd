"""The machine search for one job's tasks (EPSM, section 4): machines with the image first, then any with free capacity.

All tasks of a job are alike, so the machines are ordered once per job; after a task is placed, only the machine that
changed is inserted again. The result is the same as that of a full search for every task.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from heapq import heapify, heappop, heappush

from ..wire.users import Kind, Submission
from .snapshot import Demand, FreeCapacity, fetch_s, zone_allowed

TASKS_IN_ZONE_INDEX = 6  # index in a preference of the only element that depends on the tasks already placed

# A machine's preference, its position, a serial number that makes entries distinct, the machine, and its version when
# the entry was created. A plain tuple, because one is created for each machine of each search and compared often.
SearchEntry = tuple[tuple, int, int, FreeCapacity, int]


def preference(demand: Demand, capacity: FreeCapacity, now: float, placed: dict[str, int]) -> tuple:
    """The sort key of a machine for a demand: the smallest is the best.

    Among machines that are already rented, spot machines and bin packing are cheapest: the fullest machine comes first,
    so that others become empty and can be returned.
    """
    spec = demand.spec
    fetch = fetch_s(capacity, spec)
    finish = now + capacity.ready_in + fetch + demand.run_s
    late = finish > demand.sub_deadline and spec.due_s is not None
    # Machines with fewer fetches under way come first, since concurrent fetches share a machine's fetch rate: two
    # fetches of 5 s took 10 s each.
    # Replicas prefer zones with a controller node, which keeps them alive through a partition: a quarter of all
    # replicas ended in a partitioned zone without one.
    zone_lacks_controller = capacity.zone_lacks_controller and spec.kind is Kind.SERVICE
    return (
        late,
        capacity.ready_in,
        demand.would_occupy_gpu_machine(capacity),
        1 + capacity.pending_fetches if fetch > 0 else 0,
        capacity.name not in demand.preferred_machines,
        zone_lacks_controller,
        placed.get(capacity.zone, 0) if spec.spread else 0,
        spec.spot and not capacity.spot,
        capacity.gpus - spec.gpus,
        capacity.cpus,
        finish,
    )


class Search:
    """The machines for one demand, kept in one heap per zone, best first."""

    def __init__(
        self, demand: Demand, capacities: Iterable[FreeCapacity], now: float, after_stops: bool = False
    ) -> None:
        self.demand = demand
        self._now = now
        self._positions: dict[str, int] = {}
        self._entry_count = 0
        self._heaps: dict[str, list[SearchEntry]] = {}
        spec = demand.spec
        self._fits = FreeCapacity.fits_after_stops if after_stops else FreeCapacity.fits
        fitting = [capacity for capacity in capacities if self._fits(capacity, spec)]
        self.none_fits = not fitting
        for capacity in fitting:
            if demand.allows(capacity):
                self._positions[capacity.name] = len(self._positions)
                self._heaps.setdefault(capacity.zone, []).append(self._entry(capacity))
        for heap in self._heaps.values():
            heapify(heap)

    def _entry(self, capacity: FreeCapacity) -> SearchEntry:
        self._entry_count += 1  # makes entries distinct, so that machines themselves are never compared
        return (
            preference(self.demand, capacity, self._now, {}),
            self._positions[capacity.name],
            self._entry_count,
            capacity,
            capacity.version,
        )

    def reinsert(self, capacity: FreeCapacity) -> None:
        """Add a new entry for a machine whose free capacity has changed or that was rented."""
        if self._fits(capacity, self.demand.spec) and self.demand.allows(capacity):
            self._positions.setdefault(capacity.name, len(self._positions))
            heappush(self._heaps.setdefault(capacity.zone, []), self._entry(capacity))

    def best(self, placed: dict[str, int]) -> FreeCapacity | None:
        """The best machine in the zones that are still allowed given the tasks placed so far, or None."""
        spec = self.demand.spec
        best_capacity: FreeCapacity | None = None
        best_key: tuple | None = None
        for zone, heap in self._heaps.items():
            # Stale entries are dropped: `reinsert` has added new ones for the same machines.
            while heap and _is_stale(heap[0]):
                heappop(heap)
            if not heap or not zone_allowed(spec, zone, placed):
                continue
            key_without_tasks, position, _, capacity, _ = heap[0]
            in_zone = placed.get(zone, 0) if spec.spread else 0
            key = (
                *key_without_tasks[:TASKS_IN_ZONE_INDEX],
                in_zone,
                *key_without_tasks[TASKS_IN_ZONE_INDEX + 1 :],
                position,
            )
            if best_key is None or key < best_key:
                best_capacity, best_key = capacity, key
        return best_capacity


def _is_stale(entry: SearchEntry) -> bool:
    """Whether the machine has changed since the entry was created."""
    _, _, _, capacity, version = entry
    return version != capacity.version


class FailedSearches:
    """The task sizes for which a search of this cycle found no machine.

    Free capacity only shrinks, so a search for a task of the same size or larger would fail too and is skipped.

    `search_key` identifies the machines searched. It must change whenever their free capacity may have grown.
    """

    def __init__(self) -> None:
        self._sizes: dict[Hashable, list[tuple[float, float, float, int]]] = {}

    def known_to_fail(self, search_key: Hashable, spec: Submission, tasks: int = 1) -> bool:
        """Whether a search of these machines for tasks of at most this size and number has failed."""
        return any(
            spec.gpus >= gpus and spec.cpus >= cpus and spec.memory_gb >= memory_gb and tasks >= count
            for gpus, cpus, memory_gb, count in self._sizes.get(search_key, ())
        )

    def add(self, search_key: Hashable, spec: Submission, tasks: int = 1) -> None:
        """Record that a search of these machines failed for tasks of this size and number."""
        self._sizes.setdefault(search_key, []).append((spec.gpus, spec.cpus, spec.memory_gb, tasks))
