"""The machine search for one job's tasks: machines with the image, then any with room, the cheapest in time.

All tasks of a job are alike, so the rooms are ordered once per job, and after a task is placed only the room that
changed is put in order again. What is found is what a look at every room for every task would find.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from heapq import heapify, heappop, heappush

from ..wire.users import Kind, Submission
from .snapshot import Need, Room, fetch_s, zone_ok

HERE = 6  # place in a preference of what depends on the tasks placed already


def preference(need: Need, room: Room, now: float, placed: dict[str, int]) -> tuple:
    """The smaller, the better. On machines that are already paid for, cheap means: of the cheap kind, and filling a
    machine up, so that others become empty and can be returned."""
    spec = need.spec
    fetch = fetch_s(room, spec)
    end = now + room.ready_in + fetch + need.run_s
    late = end > need.sub_deadline and spec.due_s is not None
    # Images fetched at the same time share the machine's rate: two fetches of 5 s once took 10 s each.
    # Replicas go where a node can keep them alive through a cut: in a zone without one a quarter of all once died.
    alone = room.alone and spec.kind is Kind.SERVICE
    return (
        late,
        room.ready_in,
        need.guest(room),
        1 + room.fetches if fetch > 0 else 0,
        room.name not in need.near,
        alone,
        placed.get(room.zone, 0) if spec.spread else 0,
        spec.spot and not room.spot,
        room.gpus - spec.gpus,
        room.cpus,
        end,
    )


class Search:
    """The rooms for one need, best first, per zone."""

    def __init__(self, need: Need, rooms: Iterable[Room], now: float, soon: bool = False) -> None:
        self.need = need
        self._now = now
        self._order: dict[str, int] = {}
        self._entries = 0
        self._heaps: dict[str, list[tuple[tuple, int, int, Room, int]]] = {}
        spec = need.spec
        self._fits = Room.fits_soon if soon else Room.fits
        fitting = [r for r in rooms if self._fits(r, spec)]
        self.none_fits = not fitting
        for room in fitting:
            if need.allows(room):
                self._order[room.name] = len(self._order)
                self._heaps.setdefault(room.zone, []).append(self._entry(room))
        for heap in self._heaps.values():
            heapify(heap)

    def _entry(self, room: Room) -> tuple[tuple, int, int, Room, int]:
        self._entries += 1  # no two entries are equal, so rooms themselves are never compared
        return preference(self.need, room, self._now, {}), self._order[room.name], self._entries, room, room.stamp

    def changed(self, room: Room) -> None:
        """A room was taken, given back, is being made or was rented: it finds its place anew."""
        if self._fits(room, self.need.spec) and self.need.allows(room):
            self._order.setdefault(room.name, len(self._order))
            heappush(self._heaps.setdefault(room.zone, []), self._entry(room))

    def best(self, placed: dict[str, int]) -> Room | None:
        """The best room that the zones of the tasks placed so far allow, or None."""
        spec = self.need.spec
        found: Room | None = None
        found_key: tuple | None = None
        for zone, heap in self._heaps.items():
            # An entry of an earlier stamp is void: `changed` has entered the room again.
            while heap and heap[0][4] != heap[0][3].stamp:
                heappop(heap)
            if not heap or not zone_ok(spec, zone, placed):
                continue
            plain, number, _, room, _ = heap[0]
            here = placed.get(zone, 0) if spec.spread else 0
            key = (*plain[:HERE], here, *plain[HERE + 1 :], number)
            if found_key is None or key < found_key:
                found, found_key = room, key
        return found


class Misses:
    """Sizes for which no room was found in this cycle. Rooms only fill up, so what is as large need not be sought.

    `where` names the rooms; it must change whenever there may be new room among them.
    """

    def __init__(self) -> None:
        self._sizes: dict[Hashable, list[tuple[float, float, float, int]]] = {}

    def known(self, where: Hashable, spec: Submission, tasks: int = 1) -> bool:
        """Was a need at most as large sought in these rooms in vain?"""
        return any(
            spec.gpus >= gpus and spec.cpus >= cpus and spec.memory_gb >= memory and tasks >= count
            for gpus, cpus, memory, count in self._sizes.get(where, ())
        )

    def add(self, where: Hashable, spec: Submission, tasks: int = 1) -> None:
        """A need of this size found no room among these."""
        self._sizes.setdefault(where, []).append((spec.gpus, spec.cpus, spec.memory_gb, tasks))
