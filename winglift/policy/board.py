"""What all parts of one cycle share: its rooms, what was decided so far, and what the teams' limits leave."""

from __future__ import annotations

import math

from ..model.teams import EPS
from .preemption import Preemption
from .renting import Renting
from .search import Misses
from .snapshot import Need, Plan, Room, Snapshot


class Board:
    """The rooms of this cycle, and the parts that decide about them."""

    def __init__(self, snap: Snapshot) -> None:
        self.snap = snap
        self.plan = Plan()
        self.rooms = snap.rooms
        self.up = [r for r in self.rooms if r.ready_in <= 0]
        self.coming = sorted((r for r in self.rooms if r.ready_in > 0), key=lambda r: r.ready_in)
        self.preemption = Preemption(snap.quota, self.plan)
        self.renting = Renting(snap, self.plan, self.coming)
        self.misses = Misses()
        self._roomy: dict[tuple[str | None, int], list[Room]] = {}
        self._with_image: dict[str, list[Room]] = {}

    def with_image(self, image: str) -> list[Room]:
        """The running machines that hold or fetch this image."""
        found = self._with_image.get(image)
        if found is None:
            found = self._with_image[image] = [r for r in self.up if image in r.images]
        return found

    def roomy(self, image: str | None, soon: bool) -> list[Room]:
        """The machines, or those with an image, that have any GPU free, or soon: on a busy fleet few of many.

        Rooms only fill up while tasks are placed one by one; stops make the list anew.
        """
        key = image, len(self.plan.stops) if soon else -1
        found = self._roomy.get(key)
        if found is None:
            rooms = self.up if image is None else self.with_image(image)
            found = self._roomy[key] = [r for r in rooms if r.gpus + (r.soon_gpus if soon else 0.0) > EPS]
        return found

    def stage(self, soon: bool, coming: bool) -> tuple[int, int]:
        """Changes whenever there may be new room of such a sort: by stops, or by rentals."""
        return (len(self.plan.stops) if soon else -1, len(self.plan.rentals) if coming else -1)

    def must_start(self, need: Need) -> bool:
        """May the task wait no longer? Work within its team's guarantee need not wait for others: it lends no slack."""
        return need.within or self.renting.slack_gone(need)


class Limits:
    """What the teams' limits leave, and what was given of it in this cycle."""

    def __init__(self, board: Board) -> None:
        self.board = board
        self.given: dict[str, tuple[float, float]] = {}  # team: amounts already given in this cycle

    def room(self, need: Need) -> int:
        """Tasks of this need that its team's limit still allows."""
        spec, quota = need.spec, self.board.snap.quota
        given = self.given.get(spec.team, (0.0, 0.0))
        team = quota.teams.get(spec.team)
        if team is None:
            return 0
        used = quota.used[spec.team]
        most = 1_000_000
        for cap, want, has in (
            (team.cpus_max, spec.cpus, used.cpus + given[0]),
            (team.gpus_max, spec.gpus, used.gpus + given[1]),
        ):
            if cap > 0 and want > 0:
                most = min(most, math.floor((cap - has + EPS) / want))
        return max(0, most)

    def spend(self, need: Need, tasks: int) -> None:
        """Count this many tasks of a need against its team's limit for the rest of the cycle."""
        cpus, gpus = self.given.get(need.spec.team, (0.0, 0.0))
        self.given[need.spec.team] = (cpus + need.spec.cpus * tasks, gpus + need.spec.gpus * tasks)

    def make_room(self, need: Need, tasks: int) -> None:
        """A team's own work of lower priority gives way when the team's limit leaves no room.

        The room is kept for the work it was made for: freed a task at a time, it was once taken by the team's next
        small tasks, which were stopped in turn, 600 times in 50 s. What can't suffice is not stopped at all.
        """
        spec, snap, preemption = need.spec, self.board.snap, self.board.preemption
        team = snap.quota.teams.get(spec.team)
        if team is None or spec.priority.rank == 0:
            return
        mine = []
        for room in self.board.up:
            if room.yields:
                room.look()
                mine += [
                    (v, room)
                    for v in room.victims
                    if v.team == spec.team
                    and v.rank < spec.priority.rank
                    and v.claim < need.claim
                    and (v.ref, v.index) not in preemption.stopped
                ]
        mine.sort(key=lambda pair: (pair[0].claim, pair[0].lost_s * pair[0].group))
        used, given = snap.quota.used[spec.team], self.given.get(spec.team, (0.0, 0.0))
        gpus = used.gpus + given[1] + spec.gpus * tasks - team.gpus_max if team.gpus_max > 0 else 0.0
        cpus = used.cpus + given[0] + spec.cpus * tasks - team.cpus_max if team.cpus_max > 0 else 0.0
        gpus -= snap.stopping_gpus.get(spec.team, 0.0)
        cpus -= snap.stopping_cpus.get(spec.team, 0.0)
        if gpus > sum(v.gpus for v, _ in mine) + EPS or cpus > sum(v.cpus for v, _ in mine) + EPS:
            return
        self.spend(need, tasks)
        for victim, room in mine:
            if gpus <= EPS and cpus <= EPS:
                return
            if not ((gpus > EPS and victim.gpus > 0) or (cpus > EPS and victim.cpus > 0)):
                continue
            preemption.stop(victim, room, need)
            gpus -= victim.gpus
            cpus -= victim.cpus
