"""Gangs: places for all tasks at once, or for none."""

from __future__ import annotations

from collections.abc import Hashable

from .. import constants as c
from .board import Board
from .search import Search
from .snapshot import Need, Room, Victim, fetch_s

Option = tuple[float, Room, list[Victim]]  # what a machine costs, and what must stop there


class Gangs:
    """Places gangs: all tasks of one together, or none."""

    def __init__(self, board: Board) -> None:
        self.board = board
        self._chosen: dict[Hashable, dict[str, tuple[int, list[Victim] | None]]] = {}
        self._displaced = 0.0  # GPUs of owed work that must find another place in this cycle

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
        where = (
            "gang",
            need.ref if need.keeps else "",
            spec.spot,
            spec.zone,
            tuple(spec.types or ()),
            spec.one_zone,
            need.avoid,
            need.plain,
            stage,
        )
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
            self.leave(need, taken)
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

    def preempt(self, need: Need, warm: bool = False, displace: bool = False) -> bool:
        """Make room for a whole gang by stopping other work, or stop nothing.

        `warm`: only beside its image. `displace`: also where owed work must find another place. The machines are kept
        for the gang until it starts.
        """
        preemption, spec, tasks = self.board.preemption, need.spec, len(need.indices)
        where = ("gang preempts", warm and spec.image, displace, need.ref if need.keeps else "", preemption.kind(need))
        if preemption.hopeless(need) or self.board.misses.known(where, spec, tasks):
            return False
        best = self._best_choice(need, warm, displace)
        if best is not None and displace:
            chosen = [room for _, room, _ in best]
            moved = sum(v.gpus for _, _, victims in best for v in victims if v.within)
            if preemption.replaceable(self.board.up, chosen) - self._displaced < moved:
                best = None
            else:
                self._displaced += moved
        if best is None:
            self.board.misses.add(where, spec, tasks)
            return False
        for _, room, chosen_victims in best:
            for victim in chosen_victims:
                preemption.stop(victim, room, need)
            room.take(spec)
        self.board.plan.kept[need.ref] = sorted({room.name for _, room, _ in best})
        return True

    def _best_choice(self, need: Need, warm: bool, displace: bool) -> list[Option] | None:
        """The cheapest machines of one zone, one for each task. A gang that fits several on one is found by `rooms`."""
        preemption, spec, tasks = self.board.preemption, need.spec, len(need.indices)
        # A start that waits for a fetch comes later than one that waits for a stop.
        weight = c.FETCH_WEIGHT if spec.due_s is None else 1.0
        rooms_up = self.board.with_image(spec.image) if warm else self.board.up
        might = {r.name for r in preemption.might(need, rooms_up)}
        allowed = self._allowed(need, [r for r in rooms_up if r.name in might or r.fits_soon(spec)])
        # Gangs are of few sizes: what one has found out about a machine holds for the next, until its room changes.
        kind = preemption.kind(need), spec.gpus, spec.cpus, spec.memory_gb, warm, displace
        kept = self._chosen.setdefault(kind, {})
        best: tuple[float, list[Option]] | None = None
        for zone in self._zones(need):
            rooms = allowed.get(zone, [])
            if len(rooms) < tasks:
                continue
            options: list[Option] = []
            for room in rooms:
                fetch = fetch_s(room, spec) * weight
                if room.fits_soon(spec):
                    options.append((fetch, room, []))
                    continue
                # To spare a fetch no other gang loses its start.
                chosen = self._victims(need, room, warm, displace, kept) if room.yields else None
                if chosen:
                    cost = sum(v.lost_s * v.group + (c.DISPLACE_S if v.within else 0.0) for v in chosen)
                    options.append((cost + 1.0 + fetch, room, chosen))
            options.sort(key=lambda o: o[0])
            if len(options) >= tasks:
                cost = sum(o[0] for o in options[:tasks])
                if best is None or cost < best[0]:
                    best = cost, options[:tasks]
        return best[1] if best is not None else None

    def _victims(
        self, need: Need, room: Room, warm: bool, displace: bool, kept: dict[str, tuple[int, list[Victim] | None]]
    ) -> list[Victim] | None:
        found = kept.get(room.name)
        if found is None or found[0] != room.stamp:
            chosen = self.board.preemption.victims(need, room, frail=not warm, displace=displace)
            found = kept[room.name] = room.stamp, chosen
        return found[1]

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
            self.leave(need, taken)
            board.renting.undo(mark)
        return False
