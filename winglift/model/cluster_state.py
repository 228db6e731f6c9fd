"""The leader's cluster state: jobs, machines and assignments, and the decisions that change them. Does no I/O.

`record_application` updates it from job records, `report_reconciliation` from workers' reports. Times are monotonic
times in s.
"""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable

from .. import constants
from ..config.settings import Settings
from ..wire.cloud import MachineType
from ..wire.users import Kind
from .boot_tracker import BootTracker
from .entities import Job, Machine, Task
from .machine_state import MachineEvent, MachineState
from .quota import QuotaUsage
from .task_state import TaskEvent, TaskState
from .write_priority import WritePriority

log = logging.getLogger(__name__)


class ClusterState:
    """The cluster state of one term. Assignments are changed nowhere else."""

    def __init__(self, settings: Settings, types: dict[str, MachineType], term: int) -> None:
        self.settings = settings
        self.types = types
        self.term = term
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.deleted_machines: dict[str, float] = {}
        # Version of the last record of each ended job that has no assignments any more.
        self.finished_versions: OrderedDict[str, int] = OrderedDict()
        self.quota = QuotaUsage({t.name: t for t in settings.settings.teams})
        self.runtime_ratio: dict[str, float] = {}  # job class: run time as a ratio of the estimate
        # Image caches by machine, as the previous leader recorded them.
        self.inherited_images: dict[str, dict[str, float]] = {}
        # Time of the latest report of each machine that was silent at the failover.
        self.silent_since: dict[str, float] = {}
        self.boot_tracker = BootTracker()
        self.records_current_at = -math.inf  # changes that other nodes committed before this time are known here
        self.changed = True
        self.superseded = False  # a record shows decisions of another leader
        self.on_stop: Callable[[Task], None] = lambda task: None  # a task's stop was requested
        # An urgent job (one without a due time) was added, or a service lost a replica.
        self.on_urgent: Callable[[], None] = lambda: None
        # All tasks of a job are done, which must be recorded soon.
        self.on_all_tasks_done: Callable[[], None] = lambda: None

    # -- assignments ---------------------------------------------------------------------------

    def assign(self, task: Task) -> None:
        """Assign a task to its machine. From now on it counts toward its team's quota."""
        task.job.active[task.index] = task
        task.machine.tasks[task.job.ref, task.index] = task
        task.machine.invalidate_usage()
        self.quota.add(task.job.spec)

    def transition_and_release(self, task: Task, event: TaskEvent, now: float) -> None:
        """Apply an event that ends an assignment: the task has provably left its machine, or was never sent there."""
        task.move(event, now)
        self.release(task, now)

    def release(self, task: Task, now: float) -> None:
        """Release a task's assignment and quota."""
        job = task.job
        if job.active.get(task.index) is task:
            del job.active[task.index]
            self.quota.remove(job.spec)
            if job.kind is Kind.SERVICE and job.is_open:
                self.on_urgent()
        task.machine.tasks.pop((job.ref, task.index), None)
        task.machine.invalidate_usage()
        if not task.machine.tasks:
            task.machine.idle_since = now
        if not job.active:
            job.gang_started = job.gang_broken = False
            job.queued_since = now
        if job.committed_assignments.get(task.index) == task.assignment:
            job.request_write(WritePriority.CLEANUP)
        self.changed = True

    def forget_job(self, job: Job) -> None:
        """Remove an ended job without assignments.

        Its version is kept for a while, so that a delayed older record can't bring its assignments back.
        """
        self.jobs.pop(job.ref, None)
        self.finished_versions[job.ref] = job.version
        while len(self.finished_versions) > constants.FINAL_STATE_CACHE_MAX:
            self.finished_versions.popitem(last=False)

    # -- decisions -----------------------------------------------------------------------------

    def placement_violation(self, job: Job, machine: Machine, extra: dict[str, int] | None = None) -> str | None:
        """The reason why a task of this job may not be placed on the machine, or None if it may.

        Every placement is checked here (invariant 5: placements respect limits and constraints). `extra`: the number
        of other tasks of the job that the same plan places, by zone.
        """
        spec = job.spec
        if not job.is_open:
            return "job has ended"
        if machine.type is None or not machine.accepts_tasks:
            return "machine unavailable"
        if spec.types is not None and machine.type.name not in spec.types:
            return "machine type not allowed"
        if spec.zone is not None and machine.zone != spec.zone:
            return "zone not allowed"
        if machine.spot and not spec.spot:
            return "spot machine not allowed"
        zones = zone_counts(job)
        for zone, count in (extra or {}).items():
            zones[zone] = zones.get(zone, 0) + count
        if spec.one_zone and any(z != machine.zone for z, n in zones.items() if n):
            return "not in the zone of the job's other tasks"
        # Tasks on machines of unknown zone may be in this zone.
        if spec.spread and zones.get(machine.zone, 0) + zones.get("", 0) + 1 > (spec.tasks + 1) // 2:
            return "more than half of the job's tasks in one zone"
        if self.quota.tasks_allowed(spec) < 1:
            return "team limit"
        return None

    def propose_placement(self, job: Job, placements: Iterable[tuple[int, Machine]], now: float) -> bool:
        """Propose assignments of a job's tasks for one attempt; return whether any was made.

        Invalid placements are left out; a gang with one of them gets no assignment at all.
        """
        attempt = job.next_attempt
        proposed: list[Task] = []
        for index, machine in placements:
            if index in job.active or index in job.done:
                reason: str | None = "already assigned or done"
            else:
                reason = self.placement_violation(job, machine)
            if reason is not None:
                log.warning("task %s/%d: not placed, machine=%s reason=%s", job.ref, index, machine.name, reason)
                if job.kind is Kind.GANG:
                    for task in proposed:
                        self.transition_and_release(task, TaskEvent.REJECT, now)
                    return False
                continue
            task = Task(job, index, attempt, machine, TaskState.PROPOSED, now)
            self.assign(task)
            machine.idle_since = None
            proposed.append(task)
        if not proposed:
            return False
        job.next_attempt = attempt + 1
        job.request_write(WritePriority.START)
        return True

    def request_stop(self, task: Task, grace_s: float, now: float, reason: str) -> None:
        """Request a task's stop, with `grace_s` seconds for a checkpoint.

        A task whose start was never sent is released at once, except in a gang.
        """
        if task.state is TaskState.COMMITTED and task.job.kind is not Kind.GANG:
            self.transition_and_release(task, TaskEvent.MACHINE_GONE, now)
            return
        if task.stop_grace_s is None or grace_s < task.stop_grace_s:
            task.mark_stopping(grace_s)
            log.debug(
                "task %s: stop requested, machine=%s reason=%s grace_s=%.1f",
                task.name,
                task.machine.name,
                reason,
                grace_s,
            )
            self.on_stop(task)
            self.changed = True

    def request_stop_of_all(self, job: Job, now: float, reason: str, grace_s: float = 0.0) -> None:
        """Request the stop of all tasks of a job."""
        for task in list(job.active.values()):
            if task.state is TaskState.COMMITTED:
                self.transition_and_release(task, TaskEvent.MACHINE_GONE, now)
            else:
                self.request_stop(task, grace_s, now, reason)

    def break_gang(self, job: Job, now: float, reason: str) -> None:
        """Stop all members of a gang that lost one.

        The gang is restarted only when all members are proven to have left their machines.
        """
        if not job.gang_broken and job.active:
            log.debug("gang %s: broken, reason=%s", job.ref, reason)
            job.gang_broken = True
            self.request_stop_of_all(job, now, reason)

    # -- reports -------------------------------------------------------------------------------

    def register_machine(
        self, name: str, type_name: str, zone: str, spot: bool, now: float, age_s: float | None
    ) -> Machine:
        """The machine that a report or the cloud's list names. An unknown one is added, to be used or returned.

        `age_s`: the time since its rental, if known.
        """
        machine = self.machines.get(name)
        rented_at = now - (age_s if age_s is not None else 0.0)
        if machine is None:
            machine = Machine(
                name, None, type_name, zone, spot, MachineState.INHERITED, self.silent_since.get(name, now), rented_at
            )
            self.machines[name] = machine
        if not machine.type_name:
            machine.type_name, machine.zone, machine.spot, machine.rented_at = type_name, zone, spot, rented_at
        if machine.type is None:
            machine.type = self.types.get(type_name)
        for image, gb in self.inherited_images.pop(name, {}).items():
            machine.track_image(image, gb)
        return machine

    # -- machines ------------------------------------------------------------------------------

    def remove_machine(self, machine: Machine, now: float) -> None:
        """Remove a machine whose deletion the cloud has confirmed, and release all its tasks."""
        machine.move(MachineEvent.DELETED)
        self.deleted_machines[machine.name] = now
        for task in list(machine.tasks.values()):
            job = task.job
            if task.state is TaskState.GONE:
                continue  # released when its gang broke over another member on this machine
            self.transition_and_release(task, TaskEvent.MACHINE_GONE, now)
            if job.kind is Kind.GANG:
                self.break_gang(job, now, f"{machine.name} was deleted")
        self.machines.pop(machine.name, None)
        self.changed = True

    def estimate_s(self, job: Job) -> float:
        """A task's expected run time in s: the owner's estimate, corrected by the ratio observed for its job class."""
        return job.spec.estimate_s * self.runtime_ratio.get(job.spec.job_class, 1.0)


def zone_counts(job: Job) -> dict[str, int]:
    """The number of assigned tasks of a job by zone. The zone of an unknown machine is ''."""
    zones: dict[str, int] = {}
    for task in job.active.values():
        zones[task.machine.zone] = zones.get(task.machine.zone, 0) + 1
    return zones
