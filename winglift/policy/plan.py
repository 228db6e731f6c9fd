"""One scheduling cycle: which tasks go where, what is stopped for them, what is rented and returned.

A pure function of a snapshot. The order and the search follow EPSM (Rodriguez & Buyya, section 4): ready tasks
by sub-deadline; machines with the image, then any with room; a task waits a cycle while its slack allows;
otherwise room on booting machines, otherwise the cheapest adequate rental. Priorities, teams, gangs and zones
are winglift's own.
"""

from __future__ import annotations

from .. import constants as c
from ..wire.users import Kind
from . import worth
from .board import Board, Limits
from .gangs import Gangs
from .guests import make_way, take_elsewhere
from .holding import hold
from .preemption import Offers
from .reserve import Reserves
from .search import Search
from .snapshot import Need, Plan, Room, Snapshot, fetch_s


def order(need: Need) -> tuple[bool, bool, int, float, str]:
    """Earliest sub-deadline first; work that may preempt other work goes before it, or it would stop it next.

    Without that, borrowed work took the room that had just been made for a guarantee, again and again.
    """
    production, within, rank = need.claim
    return not production, not within, -rank, need.sub_deadline, need.ref


class Singles:
    """Arrays and services: every task for itself. One object places the tasks of one need."""

    def __init__(self, board: Board, need: Need) -> None:
        self.board = board
        self.need = need
        self.placed = dict(need.zones)
        self.starts: list[tuple[int, str]] = []
        self.promised = 0
        self._searches: dict[tuple[str, bool], Search] = {}
        self._all_offers: dict[str, Offers] = {}

    def _rooms(self, which: str) -> list[Room]:
        board = self.board
        return (
            board.coming if which == "coming" else board.up if which == "up" else board.with_image(self.need.spec.image)
        )

    def _has(self, which: str, room: Room) -> bool:
        """Does a room belong to that part of the machines?"""
        if which == "coming":
            return room.ready_in > 0
        return room.ready_in <= 0 and (which == "up" or self.need.spec.image in room.images)

    def _search(self, which: str, soon: bool = False) -> Search:
        found = self._searches.get((which, soon))
        if found is None:
            board, spec = self.board, self.need.spec
            where = (which, board.stage(soon, which == "coming"))
            hopeless = which != "warm" and board.misses.known(where, spec)
            rooms = () if hopeless else self._rooms(which)
            if rooms and which != "coming" and spec.gpus > 0:
                rooms = board.roomy(spec.image if which == "warm" else None, soon)
            found = Search(self.need, rooms, board.snap.now, soon)
            if found.none_fits and not hopeless and which != "warm":
                board.misses.add(where, spec)
            self._searches[which, soon] = found
        return found

    def _offers(self, which: str) -> Offers:
        found = self._all_offers.get(which)
        if found is None:
            board, need = self.board, self.need
            where = ("offers", board.preemption.kind(need))
            hopeless = board.misses.known(where, need.spec)
            found = Offers(board.preemption, need, () if hopeless else self._rooms(which), frail=which == "up")
            if which == "up" and found.none and not hopeless:
                board.misses.add(where, need.spec)
            self._all_offers[which] = found
        return found

    def _take(self, room: Room) -> None:
        room.take(self.need.spec)
        self.placed[room.zone] = self.placed.get(room.zone, 0) + 1
        for (which, _), search in self._searches.items():
            if self._has(which, room):
                search.changed(room)
        for offers in self._all_offers.values():
            offers.changed(room)

    def _promise(self, room: Room, why: str) -> None:
        """Keep room for a task that can't start yet, so that later tasks don't count on it too."""
        self._take(room)
        self.promised += 1
        self.board.plan.waiting[self.need.ref] = why

    def _being_made(self, which: str) -> Room | None:
        """Room that stops of this or an earlier cycle leave, or that one more stop would leave."""
        room = self._search(which, soon=True).best(self.placed)
        if room is not None or self.need.patient:
            return room
        return self._offers(which).take(self.placed)

    def _too_cold(self, room: Room) -> bool:
        return self.need.spec.due_s is None and fetch_s(room, self.need.spec) > c.FETCH_WORTH_S

    def place(self, index: int, must: bool) -> bool:
        """One task; or False when the need's other tasks would fare no better."""
        board, need = self.board, self.need
        room = self._search("up").best(self.placed)
        if room is not None and self._too_cold(room):
            # Work due now starts sooner where its image is, even if something must stop for it.
            better = self._being_made("warm")
            if better is not None and need.guest(better) <= need.guest(room):
                self._promise(better, "room is being made")
                return True
        if room is not None:
            self._take(room)
            self.starts.append((index, room.name))
            return True
        room = self._being_made("up")
        if room is not None:
            self._promise(room, "room is being made")
            return True
        if need.patient and board.preemption.hopes(need, board.up):
            # Thousands of short tasks end every minute. Stopping others for what the next ends would give cost some
            # 11 stops a second on a busy day, each a record's change, a save and often a fetch.
            board.plan.waiting[need.ref] = "others' ends"
            return False
        if not must or need.probe:
            board.plan.waiting[need.ref] = "its next try" if need.probe else "slack"
            return False
        room = self._search("coming").best(self.placed)
        if room is None and board.snap.may_rent:
            room = board.renting.rent(need, self.placed)
        if room is None:
            way = need.spec.kind is Kind.GANG and make_way(board, need)
            board.plan.waiting[need.ref] = "replicas move out of its way" if way else "nothing to rent"
            return False
        self._promise(room, "machines are booting")
        return True

    def run(self, limits: Limits) -> None:
        """Place the need's tasks one by one as far as its team's limit and the rooms allow."""
        need, plan = self.need, self.board.plan
        room_left = limits.room(need)
        must = self.board.must_start(need)
        for index in need.indices:
            taken = len(self.starts) + self.promised
            if taken >= room_left:
                if not need.probe:
                    limits.spend(need, taken)
                    limits.make_room(need, len(need.indices) - taken)
                    limits.spend(need, -taken)
                plan.waiting[need.ref] = "team limit"
                break
            if not self.place(index, must):
                break
        # Tasks that wait for promised room keep their part of the team's limit as well.
        limits.spend(need, len(self.starts) + self.promised)
        if self.starts:
            plan.starts.append((need.ref, self.starts))


def gang(board: Board, limits: Limits, gangs: Gangs, need: Need) -> None:
    """All tasks find a place or none takes one, so that two gangs never hold halves."""
    plan = board.plan
    if limits.room(need) < len(need.indices):
        if not need.probe:
            limits.make_room(need, len(need.indices))
        plan.waiting[need.ref] = "team limit"
        return
    found = gangs.rooms(need, soon=False)
    if found is not None and gangs.too_cold(need, found):
        gangs.leave(need, found)
        if gangs.preempt(need, warm=True):
            plan.waiting[need.ref] = "room is being made beside its image"
            limits.spend(need, len(need.indices))
            return
        found = gangs.rooms(need, soon=False)
    if found is not None:
        limits.spend(need, len(found))
        plan.starts.append((need.ref, list(zip(need.indices, [r.name for r in found], strict=True))))
        return
    soon = gangs.rooms(need, soon=True)
    if soon is not None:
        why = "room is being made"
        if need.keeps:
            plan.kept[need.ref] = sorted({r.name for r in soon})
    elif gangs.preempt(need) or (need.late and gangs.preempt(need, displace=True)):
        why = "room is being made"
    elif not board.must_start(need) or need.probe:
        plan.waiting[need.ref] = "its next try" if need.probe else "slack"
        return
    elif gangs.rooms(need, soon=True, coming=True) is not None or (
        board.snap.may_rent and need.may_rent and gangs.rent(need)
    ):
        why = "machines are booting"
    elif make_way(board, need):
        why = "replicas move out of its way"
    else:
        plan.waiting[need.ref] = "nothing to rent"
        return
    plan.waiting[need.ref] = why
    # The room under the team's limit is kept too, or its lower work takes it and is stopped again.
    limits.spend(need, len(need.indices))


def consolidate(board: Board, reserves: Reserves) -> str | None:
    """The emptiest machine whose replicas would all fit on others that hold their images."""
    snap = board.snap
    if not snap.may_move or board.plan.waiting or board.plan.rentals or board.coming:
        return None
    candidates = [r for r in board.up if r.replicas and not r.fixed and not r.yields]
    others = [r for r in board.up if not r.empty]
    tried = 0
    # Few replicas are quickly moved; few images are little lost for later starts.
    # What stands on a machine that others need more goes first, then what pays most.
    for room in sorted(
        candidates,
        key=lambda r: (r.type.gpus <= 0, r.replicas / max(r.type.price, c.PRICE_LEAST), len(r.images), r.name),
    ):
        room.look()
        if any(m.ran_s < c.MOVE_AFTER_S for m in room.movers):
            continue
        tried += 1
        if tried > c.MOVE_CANDIDATES:
            return None
        taken = take_elsewhere(board, room, room.movers, [r for r in others if r.spot == room.spot], warm=True)
        fits = len(taken) == len(room.movers) and reserves.covered(r for r in others if r is not room)
        for mover, target in taken:
            target.give(mover.spec)
        if fits:
            return room.name
    return None


def rescue(board: Board) -> None:
    """Replicas whose fetch drags on start anew beside their image, once there is room there or may be.

    Images that are fetched at the same time share a machine's rate: a replica once waited 70 s for an image of 12 GB,
    while a machine of its zone came to hold it after 20 s.
    """
    for stuck in board.snap.stuck:
        need = stuck.need
        warm = [r for r in board.with_image(need.spec.image) if need.spec.image in r.held]
        room = Search(need, warm, board.snap.now).best(need.zones) or Offers(
            board.preemption, need, warm, frail=False
        ).take(need.zones)
        if room is not None:
            room.take(need.spec)
            board.plan.rescues.append((need.ref, stuck.index))


def make_plan(snap: Snapshot) -> Plan:
    """One cycle's decisions (EPSM, section 4): starts, stops, moves, rentals and what may be returned."""
    board = Board(snap)
    limits, gangs = Limits(board), Gangs(board)
    for need in snap.needs + [stuck.need for stuck in snap.stuck]:
        need.plain = worth.plain(need.spec, snap.types)
    hold(board)
    for need in sorted(snap.needs, key=order):
        if need.spec.kind is Kind.GANG and need.spec.tasks > 1:
            gang(board, limits, gangs, need)
        else:
            Singles(board, need).run(limits)
    rescue(board)
    reserves = Reserves(board)
    for reserve in snap.reserves:
        reserves.keep(reserve)
    # What is held for a job that waits for more machines yet is not idle, however long that takes.
    board.plan.spare = {r.name for r in board.up if r.empty and not r.kept_for}
    board.plan.drain = consolidate(board, reserves)
    return board.plan
