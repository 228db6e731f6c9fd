"""Which work gives way: lower priority, or what another team borrows beyond its guarantee."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heapify, heappop, heappush

from .. import constants as c
from ..model.teams import EPS, QuotaUsage
from .snapshot import Need, Plan, Room, Victim, fetch_s, zone_ok


class Preemption:
    """What has been told to give way in this cycle, and what else could be."""

    def __init__(self, quota: QuotaUsage, plan: Plan) -> None:
        self.quota = quota
        self.plan = plan
        self.stopped: set[tuple[str, int]] = set()
        self._borrowers = {name for name in quota.teams if quota.borrows(name)}

    def _owed(self, need: Need) -> bool:
        """Could another team owe this need room at all?"""
        return need.within and any(name != need.spec.team for name in self._borrowers)

    def gives(self, need: Need, claim: tuple[bool, bool, int], victim: Victim) -> bool:
        """Does a victim give way to a need? `claim` is the need's, which its caller asks for once."""
        if not victim.claim < claim or (victim.ref, victim.index) in self.stopped:
            # What stands above a need never gives way to it: else two teams stop each other in turn.
            return False
        return victim.rank < need.spec.priority.rank or (
            victim.team != need.spec.team and victim.team in self._borrowers
        )

    def displaces(self, need: Need, victim: Victim) -> bool:
        """May it take the place of owed work, which then finds another at once?

        Owed work of lower priority stands above a borrowing gang. But one such task on a machine bars all of it from a
        gang that needs it whole, while as much borrowed work runs elsewhere, of which owed work may take the place.
        """
        return (
            need.late
            and victim.within
            and not need.within
            and victim.rank < need.spec.priority.rank
            and victim.group == 1
            and not victim.frail
            and (victim.ref, victim.index) not in self.stopped
        )

    def replaceable(self, rooms: Iterable[Room], but: Iterable[Room]) -> float:
        """GPUs of borrowed work of the lowest priority, on other machines: what displaced work could take over."""
        skip = {room.name for room in but}
        found = 0.0
        for room in rooms:
            if room.name not in skip and room.gives[0][1] > 0:
                room.look()
                found += sum(
                    v.gpus
                    for v in room.victims
                    if v.rank == 0
                    and not v.within
                    and v.team in self._borrowers
                    and (v.ref, v.index) not in self.stopped
                )
        return found

    def hopeless(self, need: Need) -> bool:
        """Nothing anywhere may give way to this need."""
        if need.probe:
            return True
        return need.spec.priority.rank == 0 and not self._owed(need)

    def might(self, need: Need, rooms: Iterable[Room]) -> list[Room]:
        """Without looking at their tasks: on which are there GPUs enough, if all that may yield did?"""
        reach = 3 if self._owed(need) else need.spec.priority.rank
        least = need.spec.gpus - EPS
        if not reach:
            return [r for r in rooms if r.yields and r.gpus + r.soon_gpus >= least and need.allows(r)]
        return [
            r for r in rooms if r.yields and r.gpus + r.soon_gpus + r.gives[reach - 1][1] >= least and need.allows(r)
        ]

    def hopes(self, need: Need, rooms: Iterable[Room]) -> bool:
        """Without looking at any task: might room be made somewhere?"""
        return not self.hopeless(need) and bool(self.might(need, rooms))

    @staticmethod
    def kind(need: Need) -> tuple:
        """Needs of one kind may stop the same work on the same machines."""
        spec = need.spec
        return (
            spec.priority.rank,
            spec.team if need.within else None,
            spec.spot,
            spec.zone,
            tuple(spec.types or ()),
            spec.one_zone,
            need.avoid,
            need.plain,
        )

    def victims(self, need: Need, room: Room, frail: bool = True, displace: bool = False) -> list[Victim] | None:
        """The cheapest set of tasks on one machine whose stop makes room, or None.

        With or without frail gangs; with `displace` also owed tasks that would find another place.
        """
        spec, claim = need.spec, need.claim
        room.look()
        allowed = [
            v
            for v in room.victims
            if (frail or not v.frail) and (self.gives(need, claim, v) or (displace and self.displaces(need, v)))
        ]
        allowed.sort(key=lambda v: (v.claim, v.lost_s * v.group))
        cpus = spec.cpus - room.cpus - room.soon_cpus
        gpus = spec.gpus - room.gpus - room.soon_gpus
        mem = spec.memory_gb - room.memory_gb - room.soon_memory_gb
        chosen: list[Victim] = []
        for victim in allowed:
            # What frees nothing of what is lacking is left alone: a guest's small tasks without GPUs, the first in this
            # order, were stopped for every service that lacked a GPU beside them.
            if (
                (gpus > EPS and victim.gpus > 0)
                or (cpus > EPS and victim.cpus > 0)
                or (mem > EPS and victim.memory_gb > 0)
            ):
                chosen.append(victim)
                cpus, gpus, mem = cpus - victim.cpus, gpus - victim.gpus, mem - victim.memory_gb
        if gpus > EPS or cpus > EPS or mem > EPS:
            return None
        for victim in list(chosen):
            # A later one may free enough by itself.
            if gpus + victim.gpus <= EPS and cpus + victim.cpus <= EPS and mem + victim.memory_gb <= EPS:
                chosen.remove(victim)
                cpus, gpus, mem = cpus + victim.cpus, gpus + victim.gpus, mem + victim.memory_gb
        return chosen

    def stop(self, victim: Victim, room: Room, need: Need) -> None:
        """Decide that a task is stopped for this need; its room counts as free soon."""
        self.stopped.add((victim.ref, victim.index))
        self.plan.stops.append((victim.ref, victim.index, need.ref))
        room.frees(victim)


class Offers:
    """For one need: the machines on which stopping something makes room, cheapest first.

    Without `frail`, only what starts again by itself is stopped: to spare a service a fetch of 15 s, whole gangs were
    once stopped, each time before they had run. A gang of one that has run goes on from its checkpoint.
    """

    def __init__(self, preemption: Preemption, need: Need, rooms: Iterable[Room], frail: bool = True) -> None:
        self.frail = frail
        self.preemption = preemption
        self.need = need
        self._heap: list[tuple[tuple, int, int, Room, int, list[Victim]]] = []
        self._entries = 0
        self._order: dict[str, int] = {}
        self.none = True
        if preemption.hopeless(need):
            return
        for room in preemption.might(need, rooms):
            self._order[room.name] = len(self._order)
            entry = self._entry(room)
            if entry is not None:
                self._heap.append(entry)
        heapify(self._heap)
        self.none = not self._heap

    def _entry(self, room: Room) -> tuple[tuple, int, int, Room, int, list[Victim]] | None:
        need = self.need
        chosen = self.preemption.victims(need, room, self.frail)
        if not chosen:
            return None
        # A fetch makes production work late; others it costs no more than the time itself.
        fetch = fetch_s(room, need.spec) * (c.FETCH_WEIGHT if need.spec.due_s is None else 1.0)
        cost = (max(v.claim for v in chosen), sum(v.lost_s * v.group for v in chosen) + fetch)
        self._entries += 1
        return cost, self._order[room.name], self._entries, room, room.stamp, chosen

    def changed(self, room: Room) -> None:
        """A room has changed: it is put in order again."""
        if room.name in self._order:
            entry = self._entry(room)
            if entry is not None:
                heappush(self._heap, entry)

    def take(self, placed: dict[str, int]) -> Room | None:
        """Stop what is cheapest to stop; the room it leaves is for the caller to take."""
        while self._heap:
            _, _, _, room, stamp, chosen = heappop(self._heap)
            # Zones only fill up while a need's tasks are placed: what is closed now stays closed.
            if stamp != room.stamp or not zone_ok(self.need.spec, room.zone, placed):
                continue
            for victim in chosen:
                self.preemption.stop(victim, room, self.need)
            return room
        return None
