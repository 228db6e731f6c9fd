"""Team accounting: guarantees, limits and what each team's tasks hold."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ..config.settings import Team
from ..wire.users import Kind, Submission

AMOUNT_TOLERANCE = 1e-6


@dataclass(slots=True)
class ResourceUsage:
    """CPUs and GPUs in use."""

    cpus: float = 0.0
    gpus: float = 0.0


@dataclass
class QuotaUsage:
    """Counts every place from its proposal until it is proven empty (invariant 5)."""

    teams: dict[str, Team]
    used: dict[str, ResourceUsage] = field(default_factory=lambda: defaultdict(ResourceUsage))

    def add(self, spec: Submission, tasks: int = 1) -> None:
        """Tasks of this size take places."""
        used = self.used[spec.team]
        used.cpus += spec.cpus * tasks
        used.gpus += spec.gpus * tasks

    def remove(self, spec: Submission, tasks: int = 1) -> None:
        """Tasks of this size are proven off."""
        self.add(spec, -tasks)

    def tasks_allowed(self, spec: Submission) -> int:
        """How many more tasks of this job the team's limit allows."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        return tasks_within_limit(team, spec, self.used[spec.team])

    def exceeded(self, name: str) -> bool:
        """Do the team's places come to more than its limit? After a change of the leader they may."""
        team, used = self.teams.get(name), self.used[name]
        return team is not None and (
            (0 < team.cpus_max < used.cpus - AMOUNT_TOLERANCE) or (0 < team.gpus_max < used.gpus - AMOUNT_TOLERANCE)
        )

    def within_guarantee(self, name: str, cpus: float, gpus: float) -> bool:
        """Do these amounts fit into the team's guarantee? A guarantee of 0 is none."""
        team = self.teams.get(name)
        if team is None or (team.cpus <= 0 and team.gpus <= 0):
            return False
        return (team.cpus <= 0 or cpus <= team.cpus + AMOUNT_TOLERANCE) and (
            team.gpus <= 0 or gpus <= team.gpus + AMOUNT_TOLERANCE
        )

    def borrows(self, name: str) -> bool:
        """Does the team use more than its guarantee?"""
        used = self.used[name]
        return not self.within_guarantee(name, used.cpus, used.gpus)


def tasks_within_limit(team: Team, spec: Submission, used: ResourceUsage) -> int:
    """Tasks of this size that fit under the limit beside `used`; a limit of 0 is none."""
    most = 1_000_000
    for cap, need, has in ((team.cpus_max, spec.cpus, used.cpus), (team.gpus_max, spec.gpus, used.gpus)):
        if cap > 0 and need > 0:
            most = min(most, int((cap - has + AMOUNT_TOLERANCE) // need))
    return max(0, most)


def exceeds_limit(team: Team, spec: Submission) -> bool:
    """Can this job never run under its team's limit? Arrays need one task at a time, others all at once."""
    return tasks_within_limit(team, spec, ResourceUsage()) < (1 if spec.kind is Kind.ARRAY else spec.tasks)
