"""The machine search for one job's tasks (EPSM, section 4): machines with the image first, then any with free capacity.

All tasks of a job are alike, so the machines are ordered once per job, and after a task is placed only the machine that
changed is entered again. The result is the same as that of a search of all machines for every task.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from heapq import heapify, heappop, heappush

from ..wire.users import Kind, Submission
from .snapshot import Demand, FreeCapacity, fetch_s, zone_allowed

PLACED_POSITION = 6  # position in a preference of the only element that depends on the tasks placed already

# A machine's preference, its position, a serial number that makes entries distinct, the machine, and its version when
# the entry was made. A plain tuple: it is made for each machine of each search, and compared often.
SearchEntry = tuple[tuple, int, int, FreeCapacity, int]


def preference(demand: Demand, capacity: FreeCapacity, now: float, placed: dict[str, int]) -> tuple:
    """The sort key of a machine for a demand: the smallest is the best.

    On machines that are already rented, cheap means spot, and bin packing: the fullest machine first, so that others
    become empty and can be returned.
    """
    spec = demand.spec
    fetch = fetch_s(capacity, spec)
    finish = now + capacity.ready_in + fetch + demand.run_s
    late = finish > demand.sub_deadline and spec.due_s is not None
    # Images fetched at the same time share the machine's rate: two fetches of 5 s once took 10 s each.
    # Replicas go where a node can keep them alive through a partition: in a zone without one
    # a quarter of all once died.
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
    """The machines for one demand, best first, per zone."""

    def __init__(self, demand: Demand, capacities: Iterable[FreeCapacity], now: float, soon: bool = False) -> None:
        self.demand = demand
        self._now = now
        self._order: dict[str, int] = {}
        self._entries = 0
        self._heaps: dict[str, list[SearchEntry]] = {}
        spec = demand.spec
        self._fits = FreeCapacity.fits_after_stops if soon else FreeCapacity.fits
        fitting = [capacity for capacity in capacities if self._fits(capacity, spec)]
        self.none_fits = not fitting
        for capacity in fitting:
            if demand.allows(capacity):
                self._order[capacity.name] = len(self._order)
                self._heaps.setdefault(capacity.zone, []).append(self._entry(capacity))
        for heap in self._heaps.values():
            heapify(heap)

    def _entry(self, capacity: FreeCapacity) -> SearchEntry:
        self._entries += 1  # no two entries are equal, so machines themselves are never compared
        return (
            preference(self.demand, capacity, self._now, {}),
            self._order[capacity.name],
            self._entries,
            capacity,
            capacity.version,
        )

    def changed(self, capacity: FreeCapacity) -> None:
        """Enter a machine again whose free capacity has changed, or that was rented."""
        if self._fits(capacity, self.demand.spec) and self.demand.allows(capacity):
            self._order.setdefault(capacity.name, len(self._order))
            heappush(self._heaps.setdefault(capacity.zone, []), self._entry(capacity))

    def best(self, placed: dict[str, int]) -> FreeCapacity | None:
        """The best machine in a zone that the tasks placed so far allow, or None."""
        spec = self.demand.spec
        found: FreeCapacity | None = None
        found_key: tuple | None = None
        for zone, heap in self._heaps.items():
            # An entry of an earlier version is void: `changed` has entered the machine again.
            while heap and _is_stale(heap[0]):
                heappop(heap)
            if not heap or not zone_allowed(spec, zone, placed):
                continue
            unplaced, position, _, capacity, _ = heap[0]
            in_zone = placed.get(zone, 0) if spec.spread else 0
            key = (*unplaced[:PLACED_POSITION], in_zone, *unplaced[PLACED_POSITION + 1 :], position)
            if found_key is None or key < found_key:
                found, found_key = capacity, key
        return found


def _is_stale(entry: SearchEntry) -> bool:
    """Whether the machine has changed since the entry was made."""
    _, _, _, capacity, version = entry
    return version != capacity.version


class FailedSearches:
    """Sizes for which no machine was found in this cycle.

    Free capacity only shrinks, so no machine is searched for a demand that is as large.

    `where` identifies the machines searched; it must change whenever their free capacity may have grown.
    """

    def __init__(self) -> None:
        self._sizes: dict[Hashable, list[tuple[float, float, float, int]]] = {}

    def known_to_fail(self, where: Hashable, spec: Submission, tasks: int = 1) -> bool:
        """Whether a search of these machines for a demand at most as large has failed."""
        return any(
            spec.gpus >= gpus and spec.cpus >= cpus and spec.memory_gb >= memory and tasks >= count
            for gpus, cpus, memory, count in self._sizes.get(where, ())
        )

    def add(self, where: Hashable, spec: Submission, tasks: int = 1) -> None:
        """Record that a demand of this size found no machine among these."""
        self._sizes.setdefault(where, []).append((spec.gpus, spec.cpus, spec.memory_gb, tasks))
