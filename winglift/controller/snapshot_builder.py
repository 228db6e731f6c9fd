"""Builds the snapshot that the policy plans from: free capacities, demands, quotas and warm pool targets."""

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
        self.preferred_machines: dict[str, frozenset[str]] = {}  # job: machines of the steps before it in a workflow
        self.recent_arrivals: deque[Arrival] = deque(maxlen=constants.RECENT_ARRIVALS_MAX)
        self.gang_reservations = GangReservations(cluster)
        self.free_capacities = FreeCapacities(settings, cluster, inventory)
        objectives = settings.settings.objectives
        self.demands = DemandBuilder(cluster, script, objectives, self.gang_reservations, self.preferred_machines)
        self._start_objectives = start_objectives(objectives)

    def add_arrival(self, submitted_at: float, spec: Submission) -> None:
        """Count a new job towards the size of the warm pools; `submitted_at` is a time of day (s)."""
        self.recent_arrivals.append((submitted_at, spec))

    def build(
        self,
        now: float,
        may_migrate: bool = True,
        unreachable_zones: frozenset[str] = frozenset(),
        zones_with_controllers: frozenset[str] | None = None,
    ) -> policy_snapshot.Snapshot:
        """The free capacity, waiting work and quotas at `now` (monotonic time, s)."""
        cluster, wall = self.cluster, wall_time()
        open_jobs = (job for job in cluster.jobs.values() if job.state is JobState.OPEN)
        jobs = sorted(open_jobs, key=attrgetter("submitted_at"))
        within = self._jobs_within_guarantee(jobs)
        capacities = self.free_capacities.build(now, within, zones_with_controllers)
        self._mark_reservations(capacities, now)
        demands, stalled_replicas = self._waiting_work(jobs, within, now, wall)
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
        """The jobs, of these in order of submission, that their teams' guarantees cover along with the earlier ones."""
        within: set[str] = set()
        sums: dict[str, tuple[float, float]] = {}
        covers = self.cluster.quota.within_guarantee
        for job in jobs:
            spec, tasks = job.spec, job.unfinished_count()
            before = sums.get(spec.team, (0.0, 0.0))
            after = sums[spec.team] = before[0] + spec.cpus * tasks, before[1] + spec.gpus * tasks
            if covers(spec.team, *after):
                within.add(job.ref)
        return within

    def _mark_reservations(self, capacities: list[policy_snapshot.FreeCapacity], now: float) -> None:
        """Reserve the capacities of machines that are being freed for a gang."""
        job_by_machine = self.gang_reservations.reserved_machines(now)
        if not job_by_machine:
            return
        for capacity in capacities:
            ref = job_by_machine.get(capacity.name)
            if ref is not None:
                capacity.reserve(ref, self.cluster.jobs[ref].spec.priority.rank)

    def _waiting_work(
        self, jobs: list[Job], within: set[str], now: float, wall: float
    ) -> tuple[list[policy_snapshot.Demand], list[policy_snapshot.StalledReplica]]:
        """The demands of these jobs, and their replicas that wait too long for their images."""
        demands: list[policy_snapshot.Demand] = []
        stalled: list[policy_snapshot.StalledReplica] = []
        for job in jobs:
            if job.write_in_flight:
                continue
            # Most jobs run and wait for nothing: their tasks are not examined.
            if len(job.active) + len(job.done) < job.spec.tasks:
                demand = self.demands.demand(job, now, wall, job.ref in within)
                if demand is not None:
                    demands.append(demand)
            else:
                job.unplaced_since = math.inf
            if job.spec.kind is Kind.SERVICE and any(task.state is TaskState.FETCHING for task in job.active.values()):
                stalled += self.demands.stalled_replicas(job, now)
        return demands, stalled

    def _stopping_by_team(self) -> tuple[dict[str, float], dict[str, float]]:
        """The CPUs and the GPUs that tasks still hold while they stop, by team."""
        stopping_cpus: dict[str, float] = {}
        stopping_gpus: dict[str, float] = {}
        for machine in self.cluster.machines.values():
            stopping = machine.usage().stopping_by_team
            if stopping:
                for team, (cpus, gpus) in stopping.items():
                    stopping_gpus[team] = stopping_gpus.get(team, 0.0) + gpus
                    stopping_cpus[team] = stopping_cpus.get(team, 0.0) + cpus
        return stopping_cpus, stopping_gpus
