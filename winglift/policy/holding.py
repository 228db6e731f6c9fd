"""Room kept together for the largest job that has waited for long.

Small jobs take each place as it becomes free, and on a full platform one that needs whole machines, or many at once,
never sees them free together. From a share of the users' four minutes on, the machines that are nearest to holding it
take nothing else of its priority or below, until it begins. One job at a time, and for a limited time at once, so that
nobody else starves for it.
"""

from __future__ import annotations

from .. import constants as c
from ..wire.users import Kind
from . import worth
from .board import Board
from .snapshot import Need, Room


def _size(need: Need) -> tuple[float, float, float]:
    tasks = len(need.indices) if need.spec.kind is Kind.GANG else 1
    return need.spec.gpus * tasks, need.spec.cpus * tasks, need.spec.memory_gb * tasks


def _lacks(need: Need, room: Room) -> float:
    """The largest part of the machine that must become free yet."""
    spec, mtype = need.spec, room.type
    return max(
        0.0,
        (spec.cpus - room.cpus - room.soon_cpus) / mtype.cpus,
        (spec.gpus - room.gpus - room.soon_gpus) / mtype.gpus if mtype.gpus else 0.0,
        (spec.memory_gb - room.memory_gb - room.soon_memory_gb) / mtype.memory_gb,
    )


def largest(needs: list[Need]) -> Need | None:
    """The job that room is kept for: of those that have waited for long the largest, of equals the first. The replicas
    of a service go before all else anyhow."""
    late = (n for n in needs if n.overdue and n.spec.kind is not Kind.SERVICE)
    return max(late, key=lambda n: (_size(n), n.waited_s, n.ref), default=None)


def rests(need: Need) -> bool:
    """Is it the others' turn? No job may wait for 90 s beside room: what was not filled in time goes to whoever waits,
    and is then kept together anew."""
    held_s = need.waited_s - c.BEGIN_MOST_S * c.HOLD_AFTER_SHARE
    return held_s % (c.HOLD_MOST_S + c.HOLD_REST_S) >= c.HOLD_MOST_S


def hold(board: Board) -> None:
    """Keep the machines nearest to holding the largest job that waits, if there is one and it could fit."""
    need = largest(board.snap.needs)
    if need is None or rests(need):
        return
    tasks = len(need.indices) if need.spec.kind is Kind.GANG else 1
    zones: dict[str, list[Room]] = {}
    for room in board.up:
        # Where replicas stand that nothing may stop, it never becomes free.
        fixed = room.replicas > 0 and _lacks(need, room) > 0
        if need.allows(room) and not fixed and worth.fits(need.spec, room.type):
            zones.setdefault(room.zone if need.spec.one_zone else "", []).append(room)
    best: tuple[float, list[Room]] | None = None
    for rooms in zones.values():
        rooms.sort(key=lambda r: (_lacks(need, r), r.name))
        chosen: list[Room] = []
        left = tasks
        for room in rooms:
            if left <= 0:
                break
            chosen.append(room)
            left -= max(1, room.slots(need.spec, soon=True))
        lacks = sum(_lacks(need, r) for r in chosen)
        if left <= 0 and (best is None or lacks < best[0]):
            best = lacks, chosen
    if best is None or len(best[1]) > c.HOLD_MOST_PART * len(board.up):
        if need.waited_s > c.BEGIN_MOST_S:
            board.plan.too_large = need.ref
        return
    for room in best[1]:
        if room.kept_for in ("", need.ref) or room.kept_rank < need.spec.priority.rank:
            room.keep_for(need.ref, need.spec.priority.rank)
