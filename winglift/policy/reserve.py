"""How much room to keep warm for work that must start sooner than a machine boots."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from operator import attrgetter

import msgspec

from .. import constants as c
from ..model.teams import EPS
from ..wire.users import Submission
from . import worth
from .board import Board
from .snapshot import Need, Reserve, Room


def reserve_size(arrivals: Sequence[tuple[float, int]], now: float, boot_s: float, deviations: float) -> int:
    """Tasks to keep room for: what may arrive while a machine boots.

    `arrivals` holds time and tasks of recent jobs. The fullest stretch of time does not count towards the rate:
    when the service or its users start, everything is submitted at once, and that once kept 11 machines warm.
    """
    if now - max(when for when, _ in arrivals) > _quiet_s([when for when, _ in arrivals]):
        # No more come: two GPU machines were once kept warm for minutes after the last gang.
        return 0
    slots: dict[int, int] = {}
    for when, tasks in arrivals:
        slot = int((now - when) // c.RESERVE_SLOT_S)
        slots[slot] = slots.get(slot, 0) + tasks
    total = sum(tasks for _, tasks in arrivals) - max(slots.values())
    span = max(c.RESERVE_SPAN_S, now - min(when for when, _ in arrivals)) - c.RESERVE_SLOT_S
    expected = total / span * boot_s
    mean = sum(tasks for _, tasks in arrivals) / len(arrivals)
    largest = max(tasks for _, tasks in arrivals)
    return max(largest, math.ceil(expected + deviations * math.sqrt(expected * mean)))


def _quiet_s(times: Sequence[float]) -> float:
    """How long a class may be quiet until no more is expected of it, by the usual gap between its arrivals.

    What comes together counts as one arrival, and a single one tells nothing about gaps.
    """
    slots = len({int(when // c.RESERVE_SLOT_S) for when in times})
    if slots < 2:
        return math.inf
    return max(c.RESERVE_QUIET_S, c.RESERVE_QUIET_GAPS * (max(times) - min(times)) / (slots - 1))


def _times(amount: float, each: float) -> float:
    return amount / each if each > 0 else math.inf


class Reserves:
    """Keeps room warm for the classes that must start sooner than a machine boots."""

    def __init__(self, board: Board) -> None:
        self.board = board

    def _need(self, spec: Submission) -> Need:
        snap = self.board.snap
        return Need("reserve", spec, [], snap.now, 0.0, {}, spare=True, plain=worth.plain(spec, snap.types))

    def _missing(self, reserve: Reserve, rooms: Iterable[Room], keep: bool) -> tuple[int, dict[str, int]]:
        """How much of a reserve is not warm: neither free nor taken by work that would give way."""
        spec, left = reserve.spec, reserve.count
        per_zone: dict[str, int] = {}
        most = (reserve.count + 1) // 2 if spec.spread else reserve.count
        need = self._need(spec)
        for room in rooms:
            if left <= 0:
                break
            if not room.allowed(spec) or need.guest(room):
                continue
            gpus, cpus = room.gpus + room.soon_gpus, room.cpus + room.soon_cpus
            memory = room.memory_gb + room.soon_memory_gb
            if room.yields:
                more = room.may_give(spec.priority.rank)
                cpus, gpus, memory = cpus + more[0], gpus + more[1], memory + more[2]
            fit = int(
                min(
                    _times(gpus, spec.gpus),
                    _times(cpus, spec.cpus),
                    _times(memory, spec.memory_gb),
                    left,
                    most - per_zone.get(room.zone, 0),
                )
                + EPS
            )
            if fit > 0:
                if keep and room.empty:
                    room.keep_warm()
                left -= fit
                per_zone[room.zone] = per_zone.get(room.zone, 0) + fit
        return left, per_zone

    def covered(self, rooms: Iterable[Room]) -> bool:
        """Would these rooms alone keep every reserve warm?"""
        rooms = list(rooms)
        return all(self._missing(reserve, rooms, keep=False)[0] <= 0 for reserve in self.board.snap.reserves)

    def keep(self, reserve: Reserve) -> None:
        """Keep room warm, and rent what is missing of it."""
        board = self.board
        # Machines in use first: an empty one is kept only if they are not enough.
        rooms = sorted(board.up + board.coming, key=attrgetter("empty", "ready_in"))
        left, per_zone = self._missing(reserve, rooms, keep=True)
        spec = reserve.spec
        while left > 0 and board.snap.may_rent:
            need = self._need(spec)
            if spec.spread:
                need.spec = msgspec.structs.replace(spec, tasks=max(1, reserve.count))
            rented = board.renting.rent(need, per_zone)
            if rented is None:
                return
            fit = max(1, min(rented.slots(spec, soon=False), left))
            left -= fit
            per_zone[rented.zone] = per_zone.get(rented.zone, 0) + fit
