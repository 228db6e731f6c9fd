"""Builds the snapshot for the policy: free capacities, demands, quotas and warm pool targets."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from operator import attrgetter

from .. import constants
from ..cloud.inventory import Inventory
from ..config.script import Script
from ..config.settings import Settings
from ..model.cluster_state import ClusterState
from ..model.entities import Job
from ..model.job_state import JobState
from ..model.task_state import TaskState
from ..net.runtime import wall_time
from ..policy import snapshot as policy_snapshot
from ..wire.users import Kind, Submission
from .demands import DemandBuilder
from .free_capacities import FreeCapacities
from .gang_reservations import GangReservations
from .warm_pool_targets import Arrival, start_objectives, warm_pool_targets


class SnapshotBuilder:
    """Builds one snapshot per planning cycle from the cluster state and the inventory."""

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        inventory: Inventory,
        script: Script,
        may_rent: Callable[[], bool],
    ) -> None:
        self.cluster = cluster
        self.types = cluster.types
        self.inventory = inventory
        self.script = script
        self.may_rent = may_rent
        # Machines of the previous steps in a workflow, by job.
        self.preferred_machines: dict[str, frozenset[str]] = {}
        self.recent_arrivals: deque[Arrival] = deque(maxlen=constants.RECENT_ARRIVALS_MAX)
        self.gang_reservations = GangReservations(cluster)
        self.free_capacities = FreeCapacities(settings, cluster, inventory)
        objectives = settings.settings.objectives
        self.demands = DemandBuilder(cluster, script, objectives, self.gang_reservations, self.preferred_machines)
        self._start_objectives = start_objectives(objectives)

    def add_arrival(self, submitted_at: float, spec: Submission) -> None:
        """Record the arrival of a job for the size of the warm pools; `submitted_at` is a time of day (s)."""
        self.recent_arrivals.append((submitted_at, spec))

    def build(
        self,
        now: float,
        may_migrate: bool = True,
        unreachable_zones: frozenset[str] = frozenset(),
        zones_with_controllers: frozenset[str] | None = None,
    ) -> policy_snapshot.Snapshot:
        """The snapshot at `now` (monotonic, s)."""
        cluster, wall = self.cluster, wall_time()
        open_jobs = (job for job in cluster.jobs.values() if job.state is JobState.OPEN)
        jobs = sorted(open_jobs, key=attrgetter("submitted_at"))
        jobs_within_guarantee = self._jobs_within_guarantee(jobs)
        capacities = self.free_capacities.build(now, jobs_within_guarantee, zones_with_controllers)
        self._mark_reservations(capacities, now)
        demands, stalled_replicas = self._waiting_work(jobs, jobs_within_guarantee, now, wall)
        stopping_cpus, stopping_gpus = self._stopping_by_team()
        return policy_snapshot.Snapshot(
            now=wall,
            capacities=capacities,
            demands=demands,
            quota=cluster.quota,
            types=self.types,
            capacity_refusals=self.inventory.current_refusals(now),
            warm_pool_targets=warm_pool_targets(
                self._start_objectives, self.recent_arrivals, self.types, self.script, wall
            ),
            boot_probe_allowance=cluster.boot_tracker.probe_allowance(
                self.types.values(), cluster.machines.values(), self.inventory.pending_pools(), now
            ),
            stopping_gpus=stopping_gpus,
            stopping_cpus=stopping_cpus,
            slack_pad=self.script.number("slack_pad"),
            stalled_replicas=stalled_replicas,
            may_migrate=may_migrate,
            unreachable_zones=unreachable_zones,
            zones_with_controllers=zones_with_controllers,
            may_rent=self.may_rent(),
        )

    def _jobs_within_guarantee(self, jobs: list[Job]) -> set[str]:
        """The jobs that their teams' guarantees cover, counted in order of submission."""
        jobs_within_guarantee: set[str] = set()
        resources_by_team: dict[str, tuple[float, float]] = {}
        is_within_guarantee = self.cluster.quota.within_guarantee
        for job in jobs:
            spec, tasks = job.spec, job.unfinished_count()
            before = resources_by_team.get(spec.team, (0.0, 0.0))
            after = resources_by_team[spec.team] = before[0] + spec.cpus * tasks, before[1] + spec.gpus * tasks
            if is_within_guarantee(spec.team, *after):
                jobs_within_guarantee.add(job.ref)
        return jobs_within_guarantee

    def _mark_reservations(self, capacities: list[policy_snapshot.FreeCapacity], now: float) -> None:
        """Mark the capacities of machines that are reserved for a gang."""
        job_by_machine = self.gang_reservations.reserved_machines(now)
        if not job_by_machine:
            return
        for capacity in capacities:
            ref = job_by_machine.get(capacity.name)
            if ref is not None:
                capacity.reserve(ref, self.cluster.jobs[ref].spec.priority.rank)

    def _waiting_work(
        self, jobs: list[Job], jobs_within_guarantee: set[str], now: float, wall: float
    ) -> tuple[list[policy_snapshot.Demand], list[policy_snapshot.StalledReplica]]:
        """The demands of these jobs, and their replicas whose image fetch has stalled."""
        demands: list[policy_snapshot.Demand] = []
        stalled: list[policy_snapshot.StalledReplica] = []
        for job in jobs:
            if job.write_in_flight:
                continue
            # Most jobs have all their tasks assigned: they have no demand, and their tasks are not examined.
            if len(job.active) + len(job.done) < job.spec.tasks:
                demand = self.demands.demand(job, now, wall, job.ref in jobs_within_guarantee)
                if demand is not None:
                    demands.append(demand)
            else:
                job.unplaced_since = math.inf
            if job.spec.kind is Kind.SERVICE and any(task.state is TaskState.FETCHING for task in job.active.values()):
                stalled += self.demands.stalled_replicas(job, now)
        return demands, stalled

    def _stopping_by_team(self) -> tuple[dict[str, float], dict[str, float]]:
        """The CPUs and the GPUs held by tasks that are being stopped, by team."""
        stopping_cpus: dict[str, float] = {}
        stopping_gpus: dict[str, float] = {}
        for machine in self.cluster.machines.values():
            stopping = machine.usage().stopping_by_team
            if stopping:
                for team, (cpus, gpus) in stopping.items():
                    stopping_gpus[team] = stopping_gpus.get(team, 0.0) + gpus
                    stopping_cpus[team] = stopping_cpus.get(team, 0.0) + cpus
        return stopping_cpus, stopping_gpus
