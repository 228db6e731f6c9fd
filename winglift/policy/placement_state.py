"""The state of one scheduling cycle: free capacity, the plan so far, and the remaining budgets of the teams' limits."""

from __future__ import annotations

import math

from ..model.quota import AMOUNT_TOLERANCE
from .preemption import Preemption
from .renting import Renting
from .search import FailedSearches
from .snapshot import Demand, FreeCapacity, Plan, Snapshot, Victim


class PlacementState:
    """The free capacity in one cycle, and the components that allocate it."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.plan = Plan()
        self.capacities = snapshot.capacities
        self.running = [capacity for capacity in self.capacities if capacity.ready_in <= 0]
        self.booting = sorted(
            (capacity for capacity in self.capacities if capacity.ready_in > 0), key=lambda capacity: capacity.ready_in
        )
        self.preemption = Preemption(snapshot.quota, self.plan)
        self.renting = Renting(snapshot, self.plan, self.booting)
        self.failed_searches = FailedSearches()
        self._with_free_gpus: dict[tuple[str | None, int], list[FreeCapacity]] = {}
        self._with_image: dict[str, list[FreeCapacity]] = {}

    def with_image(self, image: str) -> list[FreeCapacity]:
        """The running machines that hold or fetch this image."""
        capacities = self._with_image.get(image)
        if capacities is None:
            capacities = self._with_image[image] = [capacity for capacity in self.running if image in capacity.images]
        return capacities

    def with_free_gpus(self, image: str | None, after_stops: bool) -> list[FreeCapacity]:
        """The running machines with any free GPU, a small part of a busy cluster.

        `image`: only those that hold or fetch it. `after_stops`: also GPUs that stops under way release. Free capacity
        only shrinks while tasks are placed, so the list is computed again only after new stops.
        """
        key = image, len(self.plan.stops) if after_stops else -1
        with_free_gpus = self._with_free_gpus.get(key)
        if with_free_gpus is None:
            capacities = self.running if image is None else self.with_image(image)
            with_free_gpus = self._with_free_gpus[key] = [
                capacity
                for capacity in capacities
                if capacity.gpus + (capacity.releasing_gpus if after_stops else 0.0) > AMOUNT_TOLERANCE
            ]
        return with_free_gpus

    def search_stage(self, after_stops: bool, include_booting: bool) -> tuple[int, int]:
        """A key that changes whenever stops or rentals may have added capacity to the machines searched."""
        return (len(self.plan.stops) if after_stops else -1, len(self.plan.rentals) if include_booting else -1)

    def must_start(self, demand: Demand) -> bool:
        """Whether the task must not wait any longer. Work within its team's guarantee never waits for its slack."""
        return demand.within_guarantee or self.renting.slack_exhausted(demand)


class QuotaBudget:
    """The teams' limits, less the tasks already running and those placed in this cycle."""

    def __init__(self, placement: PlacementState) -> None:
        self.placement = placement
        self.charged: dict[str, tuple[float, float]] = {}  # per team: CPUs and GPUs placed in this cycle

    def tasks_allowed(self, demand: Demand) -> int:
        """How many tasks of this demand the team's limit still allows."""
        spec, quota = demand.spec, self.placement.snapshot.quota
        charged_cpus, charged_gpus = self.charged.get(spec.team, (0.0, 0.0))
        team = quota.teams.get(spec.team)
        if team is None:
            return 0
        used = quota.used[spec.team]
        task_count = 1_000_000
        for limit, per_task, in_use in (
            (team.cpus_max, spec.cpus, used.cpus + charged_cpus),
            (team.gpus_max, spec.gpus, used.gpus + charged_gpus),
        ):
            if limit > 0 and per_task > 0:
                task_count = min(task_count, math.floor((limit - in_use + AMOUNT_TOLERANCE) / per_task))
        return max(0, task_count)

    def charge(self, demand: Demand, tasks: int) -> None:
        """Count this many tasks of a demand against its team's limit for the rest of the cycle."""
        cpus, gpus = self.charged.get(demand.spec.team, (0.0, 0.0))
        self.charged[demand.spec.team] = (cpus + demand.spec.cpus * tasks, gpus + demand.spec.gpus * tasks)

    def preempt_within_team(self, demand: Demand, tasks: int) -> None:
        """Stop lower-priority work of the demand's own team when the team's limit leaves too little quota.

        The demand is charged against the limit at once: quota that was freed one task at a time was taken by the next
        small tasks of the team, which were then stopped in turn, 600 times in 50 s. Nothing is stopped if stopping all
        candidates would free too little.
        """
        spec, snapshot, preemption = demand.spec, self.placement.snapshot, self.placement.preemption
        team = snapshot.quota.teams.get(spec.team)
        if team is None or spec.priority.rank == 0:
            return
        candidates = self._lower_work_of_team(demand)
        used = snapshot.quota.used[spec.team]
        charged_cpus, charged_gpus = self.charged.get(spec.team, (0.0, 0.0))
        gpus = used.gpus + charged_gpus + spec.gpus * tasks - team.gpus_max if team.gpus_max > 0 else 0.0
        cpus = used.cpus + charged_cpus + spec.cpus * tasks - team.cpus_max if team.cpus_max > 0 else 0.0
        gpus -= snapshot.stopping_gpus.get(spec.team, 0.0)
        cpus -= snapshot.stopping_cpus.get(spec.team, 0.0)
        if (
            gpus > sum(victim.gpus for victim, _ in candidates) + AMOUNT_TOLERANCE
            or cpus > sum(victim.cpus for victim, _ in candidates) + AMOUNT_TOLERANCE
        ):
            return
        self.charge(demand, tasks)
        for victim, capacity in candidates:
            if gpus <= AMOUNT_TOLERANCE and cpus <= AMOUNT_TOLERANCE:
                return
            if not ((gpus > AMOUNT_TOLERANCE and victim.gpus > 0) or (cpus > AMOUNT_TOLERANCE and victim.cpus > 0)):
                continue
            preemption.stop(victim, capacity, demand)
            gpus -= victim.gpus
            cpus -= victim.cpus

    def _lower_work_of_team(self, demand: Demand) -> list[tuple[Victim, FreeCapacity]]:
        """The tasks of the demand's team that it may preempt, each with its machine, the cheapest to stop first."""
        spec, preemption = demand.spec, self.placement.preemption
        candidates = []
        for capacity in self.placement.running:
            if capacity.preemptible_tasks:
                capacity.inspect()
                candidates += [
                    (victim, capacity)
                    for victim in capacity.victims
                    if victim.team == spec.team
                    and victim.rank < spec.priority.rank
                    and victim.precedence < demand.precedence
                    and (victim.ref, victim.index) not in preemption.stopped
                ]
        candidates.sort(key=lambda pair: (pair[0].precedence, pair[0].lost_work_s * pair[0].gang_size))
        return candidates
