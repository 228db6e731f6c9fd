"""One scheduling cycle: which tasks go where, what is stopped for them, what is rented and returned.

A pure function of a snapshot. The order and the search follow EPSM (Rodriguez & Buyya, section 4): ready tasks
by sub-deadline; machines with the image, then any with room; a task waits a cycle while its slack allows;
otherwise room on booting machines, otherwise the cheapest adequate rental. Priorities, teams, gangs and zones
are winglift's own.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from .. import constants as c
from ..model.teams import Ledger
from ..wire.cloud import MachineType
from ..wire.users import Kind, Submission

EPS = 1e-6


@dataclass(slots=True)
class Victim:
    """A task that might be stopped to make room."""

    ref: str
    index: int
    rank: int
    team: str
    cpus: float
    gpus: float
    memory_gb: float
    lost_s: float  # work that stopping it would cost
    group: int  # tasks that stop with it
    within: bool = False  # its job is within its team's guarantee


@dataclass(slots=True)
class Mover:
    """A replica that could be started elsewhere."""

    ref: str
    spec: Submission
    zones: dict[str, int]
    ran_s: float


@dataclass(slots=True)
class Room:
    """What is free on one machine, existing, booting or to be rented."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    ready_in: float = 0.0  # s until it can take tasks
    images: frozenset[str] | set[str] = frozenset()
    victims: list[Victim] = field(default_factory=list)
    soon: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])  # room of tasks being stopped
    empty: bool = False
    movers: list[Mover] = field(default_factory=list)
    fixed: int = 0  # tasks on it that can't be moved
    rent: int = -1  # place in the plan's rentals, for machines not rented yet

    def fits(self, spec: Submission) -> bool:
        return (spec.gpus <= self.gpus + EPS and spec.cpus <= self.cpus + EPS
                and spec.memory_gb <= self.memory_gb + EPS)

    def fits_soon(self, spec: Submission) -> bool:
        return (spec.gpus <= self.gpus + self.soon[1] + EPS and spec.cpus <= self.cpus + self.soon[0] + EPS
                and spec.memory_gb <= self.memory_gb + self.soon[2] + EPS)

    def take(self, spec: Submission) -> None:
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.empty = False

    def give(self, spec: Submission) -> None:
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb

    def allowed(self, spec: Submission) -> bool:
        return ((spec.spot or not self.spot) and (spec.zone is None or spec.zone == self.zone)
                and (spec.types is None or self.type.name in spec.types))


@dataclass(slots=True)
class Need:
    """A job's waiting tasks."""

    ref: str
    spec: Submission
    indices: list[int]
    sub_deadline: float
    run_s: float
    zones: dict[str, int]  # tasks it has, per zone
    within: bool = False  # within its team's guarantee
    may_rent: bool = True  # a gang that has not come together for long rents only now and then


@dataclass(slots=True)
class Rental:
    type: str
    zone: str
    spot: bool
    count: int = 1


@dataclass(slots=True)
class Reserve:
    """Room kept warm for work that must start sooner than a machine boots."""

    spec: Submission
    count: int


@dataclass(slots=True)
class Snapshot:
    now: float  # time of day
    rooms: list[Room]
    needs: list[Need]
    ledger: Ledger
    types: dict[str, MachineType]
    refused: set[tuple[str, str, bool]]  # type, zone, spot: recently without capacity
    reserves: list[Reserve] = field(default_factory=list)
    may_rent: bool = True
    slack_pad: float = c.SLACK_PAD
    stopping_gpus: dict[str, float] = field(default_factory=dict)  # per team, of tasks being stopped
    stopping_cpus: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Plan:
    starts: list[tuple[str, list[tuple[int, str]]]] = field(default_factory=list)
    stops: list[tuple[str, int, str]] = field(default_factory=list)  # job, task, for whom
    rentals: list[Rental] = field(default_factory=list)
    waiting: dict[str, str] = field(default_factory=dict)  # job: why its tasks wait
    spare: set[str] = field(default_factory=set)  # empty machines that nothing needs
    drain: str | None = None  # a machine whose replicas fit elsewhere


def order(need: Need) -> tuple[int, bool, float, str]:
    """Earliest sub-deadline first; work that may preempt other work goes before it, or it would stop it next.

    Without that, borrowed work took the room that had just been made for a guarantee, again and again.
    """
    return (-need.spec.priority.rank, not need.within, need.sub_deadline, need.ref)


def fetch_s(room: Room, spec: Submission) -> float:
    return 0.0 if spec.image in room.images else spec.image_gb / max(room.type.fetch_gb_per_s, 1e-3)


class Planner:
    def __init__(self, snap: Snapshot) -> None:
        self.snap = snap
        self.plan = Plan()
        self.rooms = snap.rooms
        self.up = [r for r in self.rooms if r.ready_in <= 0]
        self.coming = sorted((r for r in self.rooms if r.ready_in > 0), key=lambda r: r.ready_in)
        self.budget: dict[str, tuple[float, float]] = {}  # team: tasks by amounts already given in this cycle
        self.stopped: set[tuple[str, int]] = set()
        self.per_zone: dict[str, int] = {}
        for room in self.rooms:
            self.per_zone[room.zone] = self.per_zone.get(room.zone, 0) + 1

    # -- rules ---------------------------------------------------------------------------------

    def _zone_ok(self, need: Need, zone: str, placed: dict[str, int]) -> bool:
        spec = need.spec
        if spec.one_zone and any(n and z != zone for z, n in placed.items()):
            return False
        return not spec.spread or placed.get(zone, 0) + placed.get("", 0) < (spec.tasks + 1) // 2

    # -- search --------------------------------------------------------------------------------

    def _best(self, need: Need, rooms: Iterable[Room], placed: dict[str, int], soon: bool = False) -> Room | None:
        """The machine-with-image search, then any: the cheapest room that meets the sub-deadline.

        On machines that are already paid for, cheap means: of the cheap kind, and filling a machine up,
        so that others become empty and can be returned.
        """
        spec, now = need.spec, self.snap.now
        best: Room | None = None
        best_key: tuple | None = None
        for room in rooms:
            if not (room.fits_soon(spec) if soon else room.fits(spec)):
                continue
            if not room.allowed(spec) or not self._zone_ok(need, room.zone, placed):
                continue
            fetch = fetch_s(room, spec)
            end = now + room.ready_in + fetch + need.run_s
            late = end > need.sub_deadline and spec.due_s is not None
            key = (late, room.ready_in > 0 and room.ready_in, fetch > 0, placed.get(room.zone, 0) if spec.spread else 0,
                   spec.spot and not room.spot, room.gpus - spec.gpus, room.cpus, end)
            if best_key is None or key < best_key:
                best, best_key = room, key
        return best

    def _victims(self, need: Need, room: Room) -> list[Victim] | None:
        """The cheapest set of tasks on one machine whose stop makes room, or None."""
        spec = need.spec
        allowed = []
        for victim in room.victims:
            if (victim.ref, victim.index) in self.stopped:
                continue
            lower = victim.rank < spec.priority.rank
            # Only work that is itself beyond its guarantee gives way: else two teams stop each other in turn.
            owed = (need.within and not victim.within and victim.team != spec.team and victim.rank < 3
                    and self.snap.ledger.borrows(victim.team))
            if lower or owed:
                allowed.append(victim)
        allowed.sort(key=lambda v: (v.rank, v.lost_s * v.group))
        cpus, gpus, mem = room.cpus + room.soon[0], room.gpus + room.soon[1], room.memory_gb + room.soon[2]
        chosen: list[Victim] = []
        for victim in allowed:
            if spec.gpus <= gpus + EPS and spec.cpus <= cpus + EPS and spec.memory_gb <= mem + EPS:
                break
            chosen.append(victim)
            cpus, gpus, mem = cpus + victim.cpus, gpus + victim.gpus, mem + victim.memory_gb
        if spec.gpus <= gpus + EPS and spec.cpus <= cpus + EPS and spec.memory_gb <= mem + EPS:
            return chosen
        return None

    def _too_cold(self, need: Need, room: Room) -> bool:
        return need.spec.due_s is None and fetch_s(room, need.spec) > c.FETCH_WORTH_S

    def _preempt(self, need: Need, placed: dict[str, int], rooms: Iterable[Room]) -> Room | None:
        best: tuple | None = None
        for room in rooms:
            if not room.victims or not room.allowed(need.spec) or not self._zone_ok(need, room.zone, placed):
                continue
            chosen = self._victims(need, room)
            if not chosen:
                continue
            # A fetch makes production work late; others it costs no more than the time itself.
            fetch = fetch_s(room, need.spec) * (c.FETCH_WEIGHT if need.spec.due_s is None else 1.0)
            cost = (max(v.rank for v in chosen), sum(v.lost_s * v.group for v in chosen) + fetch)
            if best is None or cost < best[0]:
                best = (cost, room, chosen)
        if best is None:
            return None
        _, room, chosen = best
        for victim in chosen:
            self._stop(victim, room, need)
        return room

    def _rent(self, need: Need, placed: dict[str, int]) -> Room | None:
        """The cheapest type that meets the sub-deadline counting its boot, or else the fastest."""
        spec, now = need.spec, self.snap.now
        best: tuple | None = None
        # Cheap machines may be refused for now. Dear ones are rented instead only once the deadline asks for it:
        # with a boot ahead, the start is late for a guarantee in any case.
        kinds = (False,) if not spec.spot else (True, False) if self._slack_gone(need) else (True,)
        for mtype in self.snap.types.values():
            if spec.types is not None and mtype.name not in spec.types:
                continue
            if spec.cpus > mtype.cpus + EPS or spec.gpus > mtype.gpus + EPS or spec.memory_gb > mtype.memory_gb + EPS:
                continue
            ready = mtype.boot_s + spec.image_gb / max(mtype.fetch_gb_per_s, 1e-3) + need.run_s
            late = now + ready > need.sub_deadline
            for zone in mtype.zones:
                if (spec.zone is not None and zone != spec.zone) or not self._zone_ok(need, zone, placed):
                    continue
                for spot in kinds if mtype.spot_price is not None else (False,):
                    if (mtype.name, zone, spot) in self.snap.refused:
                        continue
                    price = (mtype.spot_price if spot else mtype.price) or mtype.price
                    share = max(spec.gpus / mtype.gpus if mtype.gpus else 0, spec.cpus / mtype.cpus)
                    key = (late, ready if late else 0.0, price * share, placed.get(zone, 0),
                           self.per_zone.get(zone, 0), zone)
                    if best is None or key < best[0]:
                        best = (key, mtype, zone, spot)
        if best is None:
            return None
        _, mtype, zone, spot = best
        room = Room(f"new-{len(self.plan.rentals)}", mtype, zone, spot, mtype.cpus, mtype.gpus, mtype.memory_gb,
                    ready_in=mtype.boot_s, rent=len(self.plan.rentals))
        self.plan.rentals.append(Rental(mtype.name, zone, spot))
        self.per_zone[zone] = self.per_zone.get(zone, 0) + 1
        self.coming.append(room)
        return room

    def must_start(self, need: Need) -> bool:
        """May the task wait no longer? Work within its team's guarantee need not wait for others: it lends no slack."""
        return need.within or self._slack_gone(need)

    def _slack_gone(self, need: Need) -> bool:
        """Remaining time minus boot, fetch and run time minus a cycle (the slack wait)."""
        if need.spec.due_s is None:
            return True
        cheapest = min((t for t in self.snap.types.values() if need.spec.types is None or t.name in need.spec.types),
                       key=lambda t: t.price, default=None)
        boot = cheapest.boot_s + need.spec.image_gb / max(cheapest.fetch_gb_per_s, 1e-3) if cheapest else 0.0
        return need.sub_deadline - self.snap.now - need.run_s * self.snap.slack_pad - boot - c.CYCLE_S <= 0

    # -- jobs ----------------------------------------------------------------------------------

    def singles(self, need: Need) -> None:
        """Arrays and services: every task for itself."""
        spec = need.spec
        room_left = self._team_room(need)
        placed = dict(need.zones)
        starts: list[tuple[int, str]] = []
        promised = 0
        blocked_up = False
        must = self.must_start(need)
        for index in need.indices:
            if room_left <= 0:
                self._spend(need, len(starts) + promised)
                self._make_team_room(need, len(need.indices) - len(starts) - promised)
                self._spend(need, -len(starts) - promised)
                self.plan.waiting[need.ref] = "team limit"
                break
            room = None if blocked_up else self._best(need, self.up, placed)
            if room is not None and self._too_cold(need, room):
                # Work due now starts sooner where its image is, even if something must stop for it.
                warm = [r for r in self.up if spec.image in r.images]
                better = self._best(need, warm, placed, soon=True) or self._preempt(need, placed, warm)
                if better is not None:
                    self._promise(better, spec, placed)
                    promised += 1
                    room_left -= 1
                    self.plan.waiting[need.ref] = "room is being made"
                    continue
            if room is not None:
                room.take(spec)
                room_left -= 1
                placed[room.zone] = placed.get(room.zone, 0) + 1
                starts.append((index, room.name))
                continue
            blocked_up = True
            room = self._best(need, self.up, placed, soon=True)
            if room is None:
                room = self._preempt(need, placed, self.up)
            if room is not None:
                self._promise(room, spec, placed)
                promised += 1
                room_left -= 1
                self.plan.waiting[need.ref] = "room is being made"
                continue
            if not must:
                self.plan.waiting[need.ref] = "slack"
                break
            room = self._best(need, self.coming, placed)
            if room is None and self.snap.may_rent:
                room = self._rent(need, placed)
            if room is None:
                self.plan.waiting[need.ref] = "nothing to rent"
                break
            self._promise(room, spec, placed)
            promised += 1
            room_left -= 1
            self.plan.waiting[need.ref] = "machines are booting"
        # Tasks that wait for promised room keep their part of the team's limit as well.
        self._spend(need, len(starts) + promised)
        if starts:
            self.plan.starts.append((need.ref, starts))

    def _promise(self, room: Room, spec: Submission, placed: dict[str, int]) -> None:
        """Keep room for a task that can't start yet, so that later tasks don't count on it too."""
        room.take(spec)
        placed[room.zone] = placed.get(room.zone, 0) + 1

    def _team_room(self, need: Need) -> int:
        spec = need.spec
        given = self.budget.get(spec.team, (0.0, 0.0))
        team = self.snap.ledger.teams.get(spec.team)
        if team is None:
            return 0
        used = self.snap.ledger.used[spec.team]
        most = 1_000_000
        for cap, want, has in ((team.cpus_max, spec.cpus, used.cpus + given[0]),
                               (team.gpus_max, spec.gpus, used.gpus + given[1])):
            if cap > 0 and want > 0:
                most = min(most, math.floor((cap - has + EPS) / want))
        return max(0, most)

    def _make_team_room(self, need: Need, tasks: int) -> None:
        """A team's own work of lower priority gives way when the team's limit leaves no room.

        The room is kept for the work it was made for: freed a task at a time, it was once taken by the team's next
        small tasks, which were stopped in turn, 600 times in 50 s. What can't suffice is not stopped at all.
        """
        spec = need.spec
        team = self.snap.ledger.teams.get(spec.team)
        if team is None:
            return
        mine = [(v, r) for r in self.up for v in r.victims
                if v.team == spec.team and v.rank < spec.priority.rank and (v.ref, v.index) not in self.stopped]
        mine.sort(key=lambda pair: (pair[0].rank, pair[0].lost_s * pair[0].group))
        used, given = self.snap.ledger.used[spec.team], self.budget.get(spec.team, (0.0, 0.0))
        gpus = used.gpus + given[1] + spec.gpus * tasks - team.gpus_max if team.gpus_max > 0 else 0.0
        cpus = used.cpus + given[0] + spec.cpus * tasks - team.cpus_max if team.cpus_max > 0 else 0.0
        gpus -= self.snap.stopping_gpus.get(spec.team, 0.0)
        cpus -= self.snap.stopping_cpus.get(spec.team, 0.0)
        if gpus > sum(v.gpus for v, _ in mine) + EPS or cpus > sum(v.cpus for v, _ in mine) + EPS:
            return
        self._spend(need, tasks)
        for victim, room in mine:
            if gpus <= EPS and cpus <= EPS:
                return
            self._stop(victim, room, need)
            gpus -= victim.gpus
            cpus -= victim.cpus

    def _stop(self, victim: Victim, room: Room, need: Need) -> None:
        self.stopped.add((victim.ref, victim.index))
        self.plan.stops.append((victim.ref, victim.index, need.ref))
        room.soon[0] += victim.cpus
        room.soon[1] += victim.gpus
        room.soon[2] += victim.memory_gb

    def _spend(self, need: Need, tasks: int) -> None:
        cpus, gpus = self.budget.get(need.spec.team, (0.0, 0.0))
        self.budget[need.spec.team] = (cpus + need.spec.cpus * tasks, gpus + need.spec.gpus * tasks)

    def gang(self, need: Need) -> None:
        """All tasks find a place or none takes one, so that two gangs never hold halves."""
        if self._team_room(need) < len(need.indices):
            self._make_team_room(need, len(need.indices))
            self.plan.waiting[need.ref] = "team limit"
            return
        found = self._gang_rooms(need, self.up, soon=False)
        if found is not None:
            self._spend(need, len(found))
            self.plan.starts.append((need.ref, list(zip(need.indices, [r.name for r in found], strict=True))))
            return
        if self._gang_rooms(need, self.up, soon=True) is not None or self._gang_preempt(need):
            why = "room is being made"
        elif not self.must_start(need):
            self.plan.waiting[need.ref] = "slack"
            return
        elif (self._gang_rooms(need, self.rooms_with_coming(), soon=True) is not None
                or (self.snap.may_rent and need.may_rent and self._gang_rent(need))):
            why = "machines are booting"
        else:
            self.plan.waiting[need.ref] = "nothing to rent"
            return
        self.plan.waiting[need.ref] = why
        # The room under the team's limit is kept too, or its lower work takes it and is stopped again.
        self._spend(need, len(need.indices))

    def rooms_with_coming(self) -> list[Room]:
        return self.up + self.coming

    def _zones(self, need: Need) -> list[str | None]:
        if not need.spec.one_zone:
            return [None]
        zones = {r.zone for r in self.up} | {r.zone for r in self.coming} | {z for t in self.snap.types.values()
                                                                               for z in t.zones}
        return sorted(zones, key=lambda z: (-sum(r.gpus for r in self.up if r.zone == z), z))

    def _gang_rooms(self, need: Need, rooms: list[Room], soon: bool) -> list[Room] | None:
        """Places for all tasks of a gang, taken; or None with nothing taken."""
        for zone in self._zones(need):
            candidates = [r for r in rooms if zone is None or r.zone == zone]
            placed = dict(need.zones)
            taken: list[Room] = []
            for _ in need.indices:
                room = self._best(need, candidates, placed, soon)
                if room is None:
                    break
                room.take(need.spec)
                placed[room.zone] = placed.get(room.zone, 0) + 1
                taken.append(room)
            if len(taken) == len(need.indices):
                return taken
            for room in taken:
                room.give(need.spec)
        return None

    def _gang_preempt(self, need: Need) -> bool:
        """Make room for a whole gang by stopping other work, or stop nothing."""
        best: tuple | None = None
        spec = need.spec
        for zone in self._zones(need):
            rooms = [r for r in self.up if (zone is None or r.zone == zone) and r.allowed(spec)]
            options: list[tuple[float, Room, list[Victim]]] = []
            for room in rooms:
                if room.fits_soon(spec):
                    options.append((0.0, room, []))
                    continue
                chosen = self._victims(need, room) if room.victims else None
                if chosen:
                    options.append((sum(v.lost_s * v.group for v in chosen) + 1.0, room, chosen))
            options.sort(key=lambda o: o[0])
            # Each machine is counted for one task here; a gang that fits several on one is found by _gang_rooms.
            if len(options) >= len(need.indices):
                picked = options[:len(need.indices)]
                cost = sum(o[0] for o in picked)
                if best is None or cost < best[0]:
                    best = (cost, picked)
        if best is None:
            return False
        for _, room, chosen in best[1]:
            for victim in chosen:
                self._stop(victim, room, need)
            room.take(spec)
        return True

    def _gang_rent(self, need: Need) -> bool:
        """Rent what a gang lacks in the zone where it lacks least."""
        spec = need.spec
        before = len(self.plan.rentals), len(self.coming), dict(self.per_zone)
        options = []
        for zone in self._zones(need):
            fitting = sum(1 for r in self.rooms_with_coming()
                          if (zone is None or r.zone == zone) and r.allowed(spec) and r.fits_soon(spec))
            options.append((len(need.indices) - fitting, zone))
        for _, zone in sorted(options, key=lambda o: (o[0], o[1] or "")):
            taken: list[Room] = []
            placed = dict(need.zones)
            if zone is not None:
                placed[zone] = placed.get(zone, 0) + 1
            for _ in need.indices:
                rooms = [r for r in self.rooms_with_coming() if zone is None or r.zone == zone]
                room = self._best(need, rooms, placed, soon=True) or self._rent(need, placed)
                if room is None or (zone is not None and room.zone != zone):
                    break
                room.take(spec)
                taken.append(room)
            if len(taken) == len(need.indices):
                return True
            for room in taken:
                room.give(spec)
            del self.plan.rentals[before[0]:]
            del self.coming[before[1]:]
            self.per_zone = dict(before[2])
        return False

    # -- reserve -------------------------------------------------------------------------------

    def _missing(self, reserve: Reserve, rooms: Iterable[Room], keep: bool) -> tuple[int, dict[str, int]]:
        """How much of a reserve is not warm: neither free nor taken by work that would give way."""
        spec, left = reserve.spec, reserve.count
        per_zone: dict[str, int] = {}
        most = (reserve.count + 1) // 2 if spec.spread else reserve.count
        for room in rooms:
            if left <= 0:
                break
            if not room.allowed(spec):
                continue
            gives = [v for v in room.victims if v.rank < spec.priority.rank]
            fit = int(min(
                (room.gpus + room.soon[1] + sum(v.gpus for v in gives)) / spec.gpus if spec.gpus else math.inf,
                (room.cpus + room.soon[0] + sum(v.cpus for v in gives)) / spec.cpus if spec.cpus else math.inf,
                left, most - per_zone.get(room.zone, 0)) + EPS)
            if fit > 0:
                if keep:
                    room.empty = False
                left -= fit
                per_zone[room.zone] = per_zone.get(room.zone, 0) + fit
        return left, per_zone

    def reserve(self, reserve: Reserve) -> None:
        """Keep room warm, and rent what is missing of it."""
        # Machines in use first: an empty one is kept only if they are not enough.
        rooms = sorted(self.up + self.coming, key=lambda r: (r.empty, r.ready_in))
        left, per_zone = self._missing(reserve, rooms, keep=True)
        spec = reserve.spec
        while left > 0 and self.snap.may_rent:
            need = Need("reserve", spec, [], self.snap.now, 0.0, {})
            if spec.spread:
                need.spec = msgspec.structs.replace(spec, tasks=max(1, reserve.count))
            rented = self._rent(need, per_zone)
            if rented is None:
                return
            fit = max(1, int(min(rented.gpus / spec.gpus if spec.gpus else math.inf,
                                 rented.cpus / spec.cpus if spec.cpus else math.inf, left) + EPS))
            left -= fit
            per_zone[rented.zone] = per_zone.get(rented.zone, 0) + fit

    # -- consolidation -------------------------------------------------------------------------

    def consolidate(self) -> None:
        """Name the emptiest machine whose replicas would all fit on others that hold their images."""
        if self.plan.waiting or self.plan.rentals or self.coming:
            return
        candidates = [r for r in self.up if r.movers and not r.fixed and not r.victims
                      and all(m.ran_s >= c.MOVE_AFTER_S for m in r.movers)]
        # Few replicas are quickly moved; few images are little lost for later starts.
        for room in sorted(candidates, key=lambda r: (len(r.movers), len(r.images), r.name)):
            others = [r for r in self.up if r is not room and not r.empty]
            taken: list[tuple[Room, Submission]] = []
            for mover in room.movers:
                placed = {z: n - (z == room.zone) for z, n in mover.zones.items()}
                need = Need(mover.ref, mover.spec, [], self.snap.now, 0.0, {})
                held = [r for r in others if mover.spec.image in r.images and r.spot == room.spot]
                target = self._best(need, held, placed)
                if target is None:
                    break
                target.take(mover.spec)
                taken.append((target, mover.spec))
            fits = len(taken) == len(room.movers) and all(
                self._missing(reserve, others, keep=False)[0] <= 0 for reserve in self.snap.reserves)
            for target, spec in taken:
                target.give(spec)
            if fits:
                self.plan.drain = room.name
                return

    def run(self) -> Plan:
        for need in sorted(self.snap.needs, key=order):
            if need.spec.kind is Kind.GANG and need.spec.tasks > 1:
                self.gang(need)
            else:
                self.singles(need)
        for reserve in self.snap.reserves:
            self.reserve(reserve)
        self.plan.spare = {r.name for r in self.up if r.empty}
        self.consolidate()
        return self.plan


def make_plan(snap: Snapshot) -> Plan:
    return Planner(snap).run()


def merge_rentals(rentals: list[Rental]) -> list[Rental]:
    """One request for what is of one type, zone and kind."""
    merged: dict[tuple[str, str, bool], Rental] = {}
    for rental in rentals:
        key = (rental.type, rental.zone, rental.spot)
        if key in merged:
            merged[key].count += 1
        else:
            merged[key] = Rental(rental.type, rental.zone, rental.spot)
    return list(merged.values())
