"""Quota accounting per team: guarantees, limits and the resources that its tasks use."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ..config.settings import Team
from ..wire.users import Kind, Submission

AMOUNT_TOLERANCE = 1e-6  # CPUs and GPUs are sums of floats; differences up to this are rounding errors
_NO_LIMIT = 1_000_000  # number of tasks allowed to a team without a limit


@dataclass(slots=True)
class ResourceUsage:
    """CPUs and GPUs in use."""

    cpus: float = 0.0
    gpus: float = 0.0


@dataclass
class QuotaUsage:
    """Resources in use per team, on which the check of its limit is based (invariant 5: no placement exceeds a limit).

    A task counts from the proposal of its assignment until it is proven to have left its machine.
    """

    teams: dict[str, Team]
    used: dict[str, ResourceUsage] = field(default_factory=lambda: defaultdict(ResourceUsage))

    def add(self, spec: Submission, tasks: int = 1) -> None:
        """Add the resources of newly assigned tasks of this size."""
        used = self.used[spec.team]
        used.cpus += spec.cpus * tasks
        used.gpus += spec.gpus * tasks

    def remove(self, spec: Submission, tasks: int = 1) -> None:
        """Subtract the resources of tasks of this size that are no longer assigned."""
        self.add(spec, -tasks)

    def tasks_allowed(self, spec: Submission) -> int:
        """The number of further tasks of this size that the team's limit allows."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        return tasks_within_limit(team, spec, self.used[spec.team])

    def is_over_limit(self, name: str) -> bool:
        """Whether the team uses more than its limit, which is possible after a failover."""
        team, used = self.teams.get(name), self.used[name]
        return team is not None and (
            (0 < team.cpus_max < used.cpus - AMOUNT_TOLERANCE) or (0 < team.gpus_max < used.gpus - AMOUNT_TOLERANCE)
        )

    def within_guarantee(self, name: str, cpus: float, gpus: float) -> bool:
        """Whether these amounts fit into the team's guarantee.

        A guaranteed amount of 0 is not checked; if both are 0, the team has no guarantee.
        """
        team = self.teams.get(name)
        if team is None or (team.cpus <= 0 and team.gpus <= 0):
            return False
        return (team.cpus <= 0 or cpus <= team.cpus + AMOUNT_TOLERANCE) and (
            team.gpus <= 0 or gpus <= team.gpus + AMOUNT_TOLERANCE
        )

    def borrows(self, name: str) -> bool:
        """Whether the team uses more than its guarantee."""
        used = self.used[name]
        return not self.within_guarantee(name, used.cpus, used.gpus)


def tasks_within_limit(team: Team, spec: Submission, used: ResourceUsage) -> int:
    """The number of tasks of this size that the team's limit allows in addition to `used`. 0 means no limit."""
    allowed = _NO_LIMIT
    for limit, needed, in_use in ((team.cpus_max, spec.cpus, used.cpus), (team.gpus_max, spec.gpus, used.gpus)):
        if limit > 0 and needed > 0:
            allowed = min(allowed, int((limit - in_use + AMOUNT_TOLERANCE) // needed))
    return max(0, allowed)


def exceeds_limit(team: Team, spec: Submission) -> bool:
    """Whether the job can never run under its team's limit.

    An array needs room for one task at a time, any other job for all its tasks at once.
    """
    return tasks_within_limit(team, spec, ResourceUsage()) < (1 if spec.kind is Kind.ARRAY else spec.tasks)
