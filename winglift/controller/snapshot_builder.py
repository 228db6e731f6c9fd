"""What the next plan is made from: the picture as a snapshot of rooms, needs and reserves."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter

from .. import constants
from ..cloud.inventory import Inventory
from ..config.script import Script
from ..config.settings import Settings
from ..model.cluster_state import ClusterState, zone_counts
from ..model.entities import Job, Machine, MachineUsage
from ..model.failure_attribution import job_is_suspect
from ..model.job_state import JobState
from ..model.machine_state import MachineState
from ..model.task_state import TaskState
from ..net.runtime import wall_time
from ..policy import cost_model
from ..policy import snapshot as policy_snapshot
from ..policy.split import sub_deadline
from ..wire.cloud import MachineType
from ..wire.users import Kind, Submission
from .machine_inspection import MachineInspection, inspect_tasks
from .warm_pool_targets import Arrival, start_objectives, warm_pool_targets


@dataclass(frozen=True, slots=True)
class GangReservation:
    """Machines on which room is being made for a gang, since when."""

    machines: list[str]
    since: float


class SnapshotBuilder:
    """Builds the snapshot that the policy plans from; keeps what it may reuse from one cycle to the next."""

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        inventory: Inventory,
        script: Script,
        may_rent: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.cluster = cluster
        self.types = cluster.types
        self.inventory = inventory
        self.script = script
        self.may_rent = may_rent
        aims = [o.within_s for o in settings.settings.objectives if o.kind == "guarantee" and o.within_s is not None]
        self._preemption_delay_s = min(aims, default=0.0) * constants.PREEMPTION_DELAY_SHARE
        self._displace_after_s: dict[str, float] = {}
        for aim in settings.settings.objectives:
            if aim.kind == "wait" and aim.within_s is not None:
                after = aim.within_s * constants.DISPLACE_AFTER_SHARE
                self._displace_after_s[aim.job_class] = min(after, self._displace_after_s.get(aim.job_class, math.inf))
        self.gang_reservations: dict[str, GangReservation] = {}
        self._inspections: dict[str, MachineInspection] = {}
        # Rooms of machines that run, as made for an earlier snapshot. Most machines are as they were a cycle ago:
        # making all rooms anew took a quarter of a leader's work at 970 machines.
        self._capacities: dict[str, tuple[MachineUsage, policy_snapshot.FreeCapacity, Machine]] = {}
        self._unheard_s = 2.5 * settings.settings.workers.report_s
        self._zones_with_controllers: frozenset[str] | None = None
        self._within_guarantee: set[str] = set()  # of the snapshot being made: jobs within their teams' guarantees,
        self._now = 0.0  # and its time
        self.preferred_machines: dict[str, frozenset[str]] = {}  # job: machines of the steps before it in a workflow
        self.recent_arrivals: deque[Arrival] = deque(maxlen=constants.RECENT_ARRIVALS)
        self._start_objectives = start_objectives(settings.settings.objectives)

    def build(
        self,
        now: float,
        may_migrate: bool = True,
        unreachable_zones: frozenset[str] = frozenset(),
        zones_with_controllers: frozenset[str] | None = None,
    ) -> policy_snapshot.Snapshot:
        """The free capacity, waiting work and quotas at `now` (monotonic time, s)."""
        cluster, today = self.cluster, wall_time()
        jobs = sorted((j for j in cluster.jobs.values() if j.state is JobState.OPEN), key=attrgetter("submitted_at"))
        within = self._jobs_within_guarantee(jobs)
        if zones_with_controllers != self._zones_with_controllers:
            self._capacities.clear()
        self._within_guarantee, self._now, self._zones_with_controllers = within, now, zones_with_controllers
        capacities = [r for m in cluster.machines.values() if (r := self._capacity(m, now)) is not None]
        capacities += self._requested_capacities(now)
        if len(self._inspections) + len(self._capacities) > 4 * len(cluster.machines) + constants.INSPECTIONS_SPARE:
            self._inspections = {
                name: inspection for name, inspection in self._inspections.items() if name in cluster.machines
            }
            self._capacities = {
                name: capacity for name, capacity in self._capacities.items() if name in cluster.machines
            }
        kept = self._reserved_machines(now)
        if kept:
            for capacity in capacities:
                ref = kept.get(capacity.name)
                if ref is not None:
                    capacity.reserve(ref, cluster.jobs[ref].spec.priority.rank)
        demands: list[policy_snapshot.Demand] = []
        stalled: list[policy_snapshot.StalledReplica] = []
        for job in jobs:
            if job.write_in_flight:
                continue
            # Most jobs run and wait for nothing: they are not looked at any closer.
            if len(job.active) + len(job.done) < job.spec.tasks:
                demand = self._demand(job, now, today, job.ref in within)
                if demand is not None:
                    demands.append(demand)
            else:
                job.unplaced_since = math.inf
            if job.spec.kind is Kind.SERVICE and any(t.state is TaskState.FETCHING for t in job.active.values()):
                stalled += self._stalled_replicas(job, now)
        stopping_gpus: dict[str, float] = {}
        stopping_cpus: dict[str, float] = {}
        for machine in cluster.machines.values():
            stopping = machine.usage().stopping_by_team
            if stopping:
                for team, (cpus, gpus) in stopping.items():
                    stopping_gpus[team] = stopping_gpus.get(team, 0.0) + gpus
                    stopping_cpus[team] = stopping_cpus.get(team, 0.0) + cpus
        return policy_snapshot.Snapshot(
            now=today,
            capacities=capacities,
            demands=demands,
            quota=cluster.quota,
            types=self.types,
            capacity_refusals=self.inventory.current_refusals(now),
            warm_pool_targets=warm_pool_targets(
                self._start_objectives, self.recent_arrivals, self.types, self.script, today
            ),
            boot_probe_allowance=cluster.boot_tracker.probe_allowance(
                self.types.values(), cluster.machines.values(), self.inventory.pending_pools(), now
            ),
            stopping_gpus=stopping_gpus,
            stopping_cpus=stopping_cpus,
            slack_pad=self.script.number("slack_pad"),
            stalled_replicas=stalled,
            may_migrate=may_migrate,
            unreachable_zones=unreachable_zones,
            zones_with_controllers=zones_with_controllers,
            may_rent=self.may_rent(),
        )

    def _jobs_within_guarantee(self, jobs: list[Job]) -> set[str]:
        """Of these, in the order of their submission: those that their teams' guarantees cover beside the earlier."""
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

    def reserve_for_gangs(self, kept: dict[str, list[str]], now: float) -> None:
        """Remember for which gangs room is being made, and where. From the first time on, not for ever."""
        for ref, names in kept.items():
            old = self.gang_reservations.get(ref)
            self.gang_reservations[ref] = GangReservation(names, old.since if old is not None else now)

    def _reserved_machines(self, now: float) -> dict[str, str]:
        """Machine: the gang it is kept for."""
        capacities: dict[str, str] = {}
        for ref, kept in list(self.gang_reservations.items()):
            job = self.cluster.jobs.get(ref)
            if (
                job is None
                or not job.is_open
                or job.active
                or now - kept.since > constants.GANG_RESERVATION_S + constants.GANG_RESERVATION_PAUSE_S
            ):
                del self.gang_reservations[ref]
            elif now - kept.since <= constants.GANG_RESERVATION_S:
                capacities.update(dict.fromkeys(kept.machines, ref))
        return capacities

    def _requested_capacities(self, now: float) -> list[policy_snapshot.FreeCapacity]:
        """Rentals without an answer yet count as booting."""
        capacities = []
        for name, asked in self.inventory.pending_rentals.items():
            request = asked.request
            mtype = self.types.get(request.type) if request is not None else None
            if mtype is not None and request is not None:
                capacities += [
                    policy_snapshot.FreeCapacity(
                        f"{name}/{i}",
                        mtype,
                        request.zone,
                        request.spot,
                        mtype.cpus,
                        mtype.gpus,
                        mtype.memory_gb,
                        ready_in=max(1.0, mtype.boot_s - (now - asked.intended_at)),
                        without_controller=self._without_controller(request.zone),
                    )
                    for i in range(request.count)
                ]
        return capacities

    def _without_controller(self, zone: str) -> bool:
        return self._zones_with_controllers is not None and zone not in self._zones_with_controllers

    def _demand(self, job: Job, now: float, wall: float, within: bool) -> policy_snapshot.Demand | None:
        spec = job.spec
        if job.retry_not_before > now:
            return None
        if job.kind is Kind.GANG:
            if job.active or job.gang_broken:
                return None
            indices = [i for i in range(spec.tasks) if i not in job.done]
        else:
            indices = job.waiting_tasks(200)
        if not indices:
            job.unplaced_since = math.inf
            return None
        job.unplaced_since = min(job.unplaced_since, now)
        mistaken = job_is_suspect(job, now)
        if mistaken and job.kind is not Kind.GANG:
            # One task shows as much as a hundred; what still runs of it shows it too.
            indices = indices[: max(0, 1 - len(job.active))]
            if not indices:
                return None
        run_s = self.cluster.estimate_s(job) * constants.ESTIMATE_PAD
        run_s = self.script.ask("estimate_s", run_s, spec.job_class, spec.estimate_s, run_s)
        due = sub_deadline(job.submitted_at, spec.due_s, run_s)
        may_rent = job.kind is not Kind.GANG or gang_may_rent(now - job.queued_since, self._boot_s(spec))
        # From the record, so that a change of the leader does not begin the wait anew.
        waited = now - job.queued_since if job.next_attempt > 1 else max(0.0, wall - job.submitted_at)
        patient = job.kind is Kind.ARRAY and now - job.unplaced_since < self._preemption_delay_s
        # Where there is no other machine it is tried again where it failed: room must not be passed by for ever.
        avoid = frozenset(job.failed_on) if now - job.unplaced_since < constants.AVOID_S else frozenset()
        return policy_snapshot.Demand(
            job.ref,
            spec,
            indices,
            due,
            run_s,
            zone_counts(job),
            within,
            may_rent,
            avoid,
            patient,
            mistaken,
            has_reservation=job.ref in self.gang_reservations,
            preferred_machines=self.preferred_machines.get(job.ref, frozenset()),
            waited_s=waited,
            may_displace=now - job.queued_since > self._displace_after_s.get(spec.job_class, math.inf),
        )

    def _stalled_replicas(self, job: Job, now: float) -> list[policy_snapshot.StalledReplica]:
        """Replicas that have been fetching for some time and, as far as can be told, will for more."""
        found = []
        for task in job.active.values():
            machine = task.machine
            if task.state is not TaskState.FETCHING or task.stopping or machine.type is None:
                continue
            waited = now - task.state_since
            whole = job.spec.image_gb / max(machine.type.fetch_gb_per_s, 1e-3) * max(1, machine.usage().pending_fetches)
            left = whole - waited if waited < whole else waited * constants.FETCH_LATE_SHARE
            if waited > constants.FETCH_WORTH_S and left > constants.RESTART_MIN_FETCH_S:
                zones = zone_counts(job)
                zones[machine.zone] -= 1
                found.append(
                    policy_snapshot.StalledReplica(
                        policy_snapshot.Demand(job.ref, job.spec, [task.index], now, 0.0, zones), task.index
                    )
                )
        return found

    def _boot_s(self, spec: Submission) -> float:
        """The longest boot of the types that a task fits."""
        return max(
            (t.boot_s for t in self.types.values() if cost_model.task_fits(spec, t)), default=constants.BOOT_DEFAULT_S
        )

    def _capacity(self, machine: Machine, now: float) -> policy_snapshot.FreeCapacity | None:
        mtype = machine.type
        if mtype is None or machine.unknown_tasks:
            return None
        if machine.state is MachineState.UP:
            return self._running_capacity(machine, mtype, now)
        inherited = machine.state is MachineState.INHERITED
        if inherited and now - machine.known_since > constants.INHERITED_TRUST_S:
            # A running machine would have reported by now: the lagging list still names what is gone.
            return None
        if inherited and machine.tasks:
            # It reports soon, unless it is lost: till then what its tasks leave free counts like a machine that boots.
            load = machine.usage()
            return policy_snapshot.FreeCapacity(
                machine.name,
                mtype,
                machine.zone,
                machine.spot,
                mtype.cpus - load.cpus,
                mtype.gpus - load.gpus,
                mtype.memory_gb - load.memory_gb,
                images=load.images,
                ready_in=self.settings.settings.workers.report_s,
                without_controller=self._without_controller(machine.zone),
            )
        if machine.state is MachineState.BOOTING or inherited:
            if not self.cluster.boot_tracker.is_expected(machine, self.types.values(), now):
                return None
            left = max(1.0, mtype.boot_s - (now - machine.rented_at))
            return policy_snapshot.FreeCapacity(
                machine.name,
                mtype,
                machine.zone,
                machine.spot,
                mtype.cpus,
                mtype.gpus,
                mtype.memory_gb,
                ready_in=left,
                without_controller=self._without_controller(machine.zone),
            )
        return None

    def _running_capacity(
        self, machine: Machine, mtype: MachineType, now: float
    ) -> policy_snapshot.FreeCapacity | None:
        """Made anew only where something has changed since it was made, or where a plan has taken of it."""
        if now - (machine.last_heard or 0) > self._unheard_s:
            return None
        load = machine.usage()
        known = self._capacities.get(machine.name)
        if known is None or known[1].type is not mtype or known[2] is not machine:
            capacity = policy_snapshot.FreeCapacity(
                machine.name,
                mtype,
                machine.zone,
                machine.spot,
                0.0,
                0.0,
                0.0,
                inspector=lambda: self._inspect(machine),
                without_controller=self._without_controller(machine.zone),
            )
        else:
            capacity = known[1]
            capacity.discard_inspection()
            if known[0] is load and not capacity.modified:
                return capacity
        capacity.reset(
            mtype.cpus - load.cpus,
            mtype.gpus - load.gpus,
            mtype.memory_gb - load.memory_gb,
            (load.releasing_cpus, load.releasing_gpus, load.releasing_memory_gb),
        )
        capacity.images, capacity.cached_images, capacity.pending_fetches, capacity.empty = (
            load.images,
            load.cached_images,
            load.pending_fetches,
            not machine.tasks,
        )
        capacity.replica_count, capacity.pinned_tasks, capacity.preemptible_tasks = (
            load.replicas,
            load.pinned_tasks,
            load.preemptible_tasks,
        )
        capacity.preemptible_by_rank = load.preemptible_by_rank
        self._capacities[machine.name] = load, capacity, machine
        return capacity

    def _inspect(self, machine: Machine) -> tuple[list[policy_snapshot.Victim], list[policy_snapshot.MovableReplica]]:
        """As `_look_anew`, which is kept until the machine's tasks change: most stay as they are for some cycles."""
        load, within, now = machine.usage(), self._within_guarantee, self._now
        kept = self._inspections.get(machine.name)
        if kept is None or kept.load is not load or now - kept.at > constants.INSPECTION_KEPT_S:
            kept = self._inspections[machine.name] = MachineInspection(load, now, *inspect_tasks(machine, within, now))
        return kept.victims, kept.movable_replicas


def gang_may_rent(waited_s: float, boot_s: float) -> bool:
    """A gang that fits no zone would rent machines, see them returned idle and rent them again for ever."""
    return waited_s < constants.GANG_RENT_BOOTS * boot_s or waited_s % constants.GANG_RENT_RETRY_S < boot_s
