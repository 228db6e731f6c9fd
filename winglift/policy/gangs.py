"""Gangs: places for all tasks at once, or for none."""

from __future__ import annotations

from .. import constants as c
from .board import Board
from .search import Search
from .snapshot import Need, Room, Victim, fetch_s


class Gangs:
    def __init__(self, board: Board) -> None:
        self.board = board

    def _zones(self, need: Need) -> list[str | None]:
        """Where the whole gang may go: each zone by itself, the one with most room first, or anywhere."""
        if not need.spec.one_zone:
            return [None]
        free = {z: 0.0 for t in self.board.snap.types.values() for z in t.zones}
        for room in self.board.coming:
            free.setdefault(room.zone, 0.0)
        for room in self.board.up:
            free[room.zone] = free.get(room.zone, 0.0) + room.gpus
        by_room = sorted(free, key=lambda z: (-free[z], z))
        return list(by_room)

    def _allowed(self, need: Need, rooms: list[Room]) -> dict[str | None, list[Room]]:
        """The rooms that the gang's job allows, per zone, or all under None."""
        found: dict[str | None, list[Room]] = {}
        for room in rooms:
            if need.allows(room):
                found.setdefault(room.zone if need.spec.one_zone else None, []).append(room)
        return found

    def rooms(self, need: Need, soon: bool, coming: bool = False) -> list[Room] | None:
        """Places for all tasks of a gang, taken; or None with nothing taken."""
        board, spec, tasks = self.board, need.spec, len(need.indices)
        stage = board.stage(soon, coming)
        where = ("gang", spec.spot, spec.zone, tuple(spec.types or ()), spec.one_zone, need.avoid, stage)
        if board.misses.known(where, spec, tasks):
            return None
        rooms = board.up + board.coming if coming else board.up
        allowed = self._allowed(need, [r for r in rooms if (r.fits_soon(spec) if soon else r.fits(spec))])
        best: tuple[float, list[Room]] | None = None
        for zone in self._zones(need):
            candidates = allowed.get(zone, [])
            if sum(r.slots(spec, soon) for r in candidates) < tasks:
                continue
            taken = self._take(need, Search(need, candidates, board.snap.now, soon))
            for room in taken:
                room.give(spec)
            if len(taken) == tasks:
                # It starts once the last task has its image: a zone whose machines hold it comes before a roomier one.
                slowest = max(fetch_s(r, spec) for r in taken)
                if best is None or slowest < best[0]:
                    best = slowest, taken
                if slowest <= 0:
                    break
        if best is not None:
            for room in best[1]:
                room.take(spec)
            return best[1]
        if not spec.spread and not need.zones:
            board.misses.add(where, spec, tasks)
        return None

    @staticmethod
    def _take(need: Need, search: Search) -> list[Room]:
        """As many places as there are, up to the gang's size."""
        placed = dict(need.zones)
        taken: list[Room] = []
        for _ in need.indices:
            room = search.best(placed)
            if room is None:
                break
            room.take(need.spec)
            placed[room.zone] = placed.get(room.zone, 0) + 1
            search.changed(room)
            taken.append(room)
        return taken

    def too_cold(self, need: Need, rooms: list[Room]) -> bool:
        """Would a gang that is due now spend long on fetching its image there? It starts with the last of its tasks."""
        return need.spec.due_s is None and max(fetch_s(r, need.spec) for r in rooms) > c.FETCH_WORTH_S

    def leave(self, need: Need, rooms: list[Room]) -> None:
        """Give back places that were taken."""
        for room in rooms:
            room.give(need.spec)

    def preempt(self, need: Need, warm: bool = False) -> bool:
        """Make room for a whole gang by stopping other work, or stop nothing; `warm`: only beside its image."""
        preemption, spec = self.board.preemption, need.spec
        where = ("gang preempts", warm and spec.image, preemption.kind(need))
        # A start that waits for a fetch comes later than one that waits for a stop.
        weight = c.FETCH_WEIGHT if spec.due_s is None else 1.0
        if preemption.hopeless(need) or self.board.misses.known(where, spec, len(need.indices)):
            return False
        best: tuple[float, list[tuple[float, Room, list[Victim]]]] | None = None
        rooms_up = self.board.with_image(spec.image) if warm else self.board.up
        allowed = self._allowed(need, [
            r for r in rooms_up if r.fits_soon(spec) or (r.yields and preemption.might(need, r))])
        for zone in self._zones(need):
            rooms = allowed.get(zone, [])
            if len(rooms) < len(need.indices):
                continue
            options: list[tuple[float, Room, list[Victim]]] = []
            for room in rooms:
                if room.fits_soon(spec):
                    options.append((fetch_s(room, spec) * weight, room, []))
                    continue
                # To spare a fetch no other gang loses its start.
                chosen = preemption.victims(need, room, frail=not warm) if room.yields else None
                if chosen:
                    cost = sum(v.lost_s * v.group for v in chosen) + 1.0
                    options.append((cost + fetch_s(room, spec) * weight, room, chosen))
            options.sort(key=lambda o: o[0])
            # Each machine is counted for one task here; a gang that fits several on one is found by `rooms`.
            if len(options) >= len(need.indices):
                picked = options[:len(need.indices)]
                cost = sum(o[0] for o in picked)
                if best is None or cost < best[0]:
                    best = (cost, picked)
        if best is None:
            self.board.misses.add(where, spec, len(need.indices))
            return False
        for _, room, chosen in best[1]:
            for victim in chosen:
                preemption.stop(victim, room, need)
            room.take(spec)
        return True

    def rent(self, need: Need) -> bool:
        """Rent what a gang lacks in the zone where it lacks least."""
        board, spec = self.board, need.spec
        mark = board.renting.mark()
        known = board.up + board.coming
        allowed = self._allowed(need, [r for r in known if r.fits_soon(spec)])
        zones = sorted(self._zones(need), key=lambda z: (-len(allowed.get(z, [])), z or ""))
        for zone in zones:
            taken = self._take(need, Search(need, allowed.get(zone, []), board.snap.now, soon=True))
            placed = dict(need.zones)
            if zone is not None:
                # Nothing of the gang is in any zone yet: this keeps rentals to the zone that is tried.
                placed[zone] = placed.get(zone, 0) + 1
            while len(taken) < len(need.indices):
                room = board.renting.rent(need, placed)
                if room is None:
                    break
                while len(taken) < len(need.indices) and room.fits(spec):
                    room.take(spec)
                    taken.append(room)
            if len(taken) == len(need.indices):
                return True
            for room in taken:
                room.give(spec)
            board.renting.undo(mark)
        return False
