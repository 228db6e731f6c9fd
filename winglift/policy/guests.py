"""Replicas that stand on machines which other work needs, and move off them.

A replica without GPUs goes to a machine that has some only where there is no other room. There it would bar a gang
that fits nowhere else for as long as it runs, since nothing may stop it. So it moves, once there is room
elsewhere: a move is not a preemption, and its service goes on with the others meanwhile.
"""

from __future__ import annotations

from ..model.teams import EPS
from ..wire.users import Submission
from . import worth
from .board import Board
from .search import Search
from .snapshot import Mover, Need, Room


def _cleared(room: Room, spec: Submission, movers: list[Mover]) -> bool:
    """Would a task fit there without these replicas, and once what yields to it has stopped?"""
    gives = [v for v in room.victims if v.rank < spec.priority.rank]
    return (
        room.cpus + room.soon_cpus + sum(v.cpus for v in gives) + sum(m.spec.cpus for m in movers) + EPS >= spec.cpus
        and room.gpus + room.soon_gpus + sum(v.gpus for v in gives) + EPS >= spec.gpus
        and room.memory_gb
        + room.soon_memory_gb
        + sum(v.memory_gb for v in gives)
        + sum(m.spec.memory_gb for m in movers)
        + EPS
        >= spec.memory_gb
    )


def make_way(board: Board, need: Need) -> bool:
    """Move replicas off the machine that needs the fewest moves for one task of a need that found no room.

    Nothing is moved that finds no place elsewhere now, or where not all of them would make room.
    """
    if all(t.gpus > 0 for t in board.snap.types.values()):
        return False  # nobody is a guest anywhere: 645 machines need not be looked at for each gang that waits
    best: tuple[int, Room, list[tuple[Mover, Room]]] | None = None
    for room in board.up:
        if not room.replicas or not need.allows(room) or room.type.gpus <= 0 or not worth.fits(need.spec, room.type):
            continue
        room.look()
        movers = sorted((m for m in room.movers if worth.plain(m.spec, board.snap.types)), key=lambda m: -m.spec.cpus)
        count = next((n for n in range(1, len(movers) + 1) if _cleared(room, need.spec, movers[:n])), None)
        if count is None or (best is not None and count >= best[0]):
            continue
        found = take_elsewhere(board, room, movers[:count], board.up, warm=False)
        for mover, target in found:
            target.give(mover.spec)
        if len(found) == count:
            best = count, room, found
    if best is None:
        return False
    for mover, target in best[2]:
        target.take(mover.spec)
        board.plan.moves.append((mover.ref, mover.index))
    board.plan.kept[need.ref] = [best[1].name]
    return True


def take_elsewhere(
    board: Board, room: Room, movers: list[Mover], rooms: list[Room], warm: bool
) -> list[tuple[Mover, Room]]:
    """Places for a machine's replicas among these rooms, taken as far as there are any: the caller gives them back.

    `warm`: only beside their images.
    """
    taken: list[tuple[Mover, Room]] = []
    for mover in movers:
        plain = worth.plain(mover.spec, board.snap.types)
        need = Need(mover.ref, mover.spec, [], board.snap.now, 0.0, {}, plain=plain)
        placed = {z: n - (z == room.zone) for z, n in mover.zones.items()}
        target = Search(
            need,
            [r for r in rooms if r is not room and not need.guest(r) and (not warm or mover.spec.image in r.images)],
            board.snap.now,
        ).best(placed)
        if target is None:
            break
        target.take(mover.spec)
        taken.append((mover, target))
    return taken
