"""The leader's picture: jobs, machines and who holds what; what is placed and stopped there. Does no I/O.

`recorded` feeds it from job records, `reported` from workers' reports.
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
    """The cluster state of one term. Everything that changes who holds what passes here."""

    def __init__(self, settings: Settings, types: dict[str, MachineType], term: int) -> None:
        self.settings = settings
        self.types = types
        self.term = term
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.deleted_machines: dict[str, float] = {}
        self.finished_versions: OrderedDict[str, int] = (
            OrderedDict()
        )  # jobs that hold nothing any more: the record's last version
        self.quota = QuotaUsage({t.name: t for t in settings.settings.teams})
        self.runtime_ratio: dict[str, float] = {}  # job class: real run time by the estimate
        self.inherited_images: dict[str, dict[str, float]] = {}  # what the leader before knew of machines
        self.silent_since: dict[str, float] = {}  # the same: when machines were last heard that had fallen silent
        self.boot_tracker = BootTracker()
        self.records_current_at = -math.inf  # steady time: what others committed before it is known here
        self.changed = True
        self.superseded = False  # a record shows that another leader has decided
        self.on_stop: Callable[[Task], None] = lambda task: None
        self.on_urgent: Callable[[], None] = lambda: None  # work due at once has come, or a replica was lost
        self.on_ending: Callable[[], None] = lambda: None  # all tasks of a job are done: its user waits for the record

    # -- who holds what ------------------------------------------------------------------------

    def assign(self, task: Task) -> None:
        """A task takes a place, and counts for its team from now on."""
        task.job.active[task.index] = task
        task.machine.tasks[task.job.ref, task.index] = task
        task.machine.invalidate_usage()
        self.quota.add(task.job.spec)

    def transition_and_release(self, task: Task, event: TaskEvent, now: float) -> None:
        """The task is proven off its machine, or never got there."""
        task.move(event, now)
        self.release(task, now)

    def release(self, task: Task, now: float) -> None:
        """A task leaves its place."""
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
        if job.committed_assignments.get(task.index) == (task.machine.name, task.attempt):
            job.request_write(WritePriority.CLEANUP)
        self.changed = True

    def forget_job(self, job: Job) -> None:
        """An ended job of which nothing is left. A late word of an older record must not bring its places back."""
        self.jobs.pop(job.ref, None)
        self.finished_versions[job.ref] = job.version
        while len(self.finished_versions) > constants.FINAL_STATES_CACHED:
            self.finished_versions.popitem(last=False)

    # -- decisions -----------------------------------------------------------------------------

    def placement_violation(self, job: Job, machine: Machine, extra: dict[str, int] | None = None) -> str | None:
        """Why a task of this job may not be placed there, or None. Every placement passes here (invariant 5)."""
        spec = job.spec
        if not job.is_open:
            return "job has ended"
        if machine.type is None or not machine.accepts_tasks:
            return "machine not usable"
        if spec.types is not None and machine.type.name not in spec.types:
            return "type"
        if spec.zone is not None and machine.zone != spec.zone:
            return "zone"
        if machine.spot and not spec.spot:
            return "spot"
        zones = zone_counts(job)
        for zone, count in (extra or {}).items():
            zones[zone] = zones.get(zone, 0) + count
        if spec.one_zone and any(z != machine.zone for z, n in zones.items() if n):
            return "other zone than the rest of the job"
        # A task on a machine of unknown zone may be in this one.
        if spec.spread and zones.get(machine.zone, 0) + zones.get("", 0) + 1 > (spec.tasks + 1) // 2:
            return "more than half of the job in one zone"
        if self.quota.tasks_allowed(spec) < 1:
            return "team limit"
        return None

    def propose_placement(self, job: Job, places: Iterable[tuple[int, Machine]], now: float) -> bool:
        """Take places for one start of tasks of a job. All or, for a gang, none."""
        attempt = job.next_attempt
        made: list[Task] = []
        for index, machine in places:
            why = (
                "holds a place" if index in job.active or index in job.done else self.placement_violation(job, machine)
            )
            if why is not None:
                log.warning("%s/%d: not placed on %s: %s", job.ref, index, machine.name, why)
                if job.kind is Kind.GANG:
                    for task in made:
                        self.transition_and_release(task, TaskEvent.REJECT, now)
                    return False
                continue
            task = Task(job, index, attempt, machine, TaskState.PROPOSED, now)
            self.assign(task)
            machine.idle_since = None
            made.append(task)
        if not made:
            return False
        job.next_attempt = attempt + 1
        job.request_write(WritePriority.START)
        return True

    def request_stop(self, task: Task, grace_s: float, now: float, reason: str) -> None:
        """Ask for a task to be stopped. A task that was never sent is simply let go."""
        if task.state is TaskState.COMMITTED and task.job.kind is not Kind.GANG:
            self.transition_and_release(task, TaskEvent.MACHINE_GONE, now)
            return
        if task.stop_grace_s is None or grace_s < task.stop_grace_s:
            task.mark_stopping(grace_s)
            log.debug("stop %s on %s: %s, grace %.1f s", task.name, task.machine.name, reason, grace_s)
            self.on_stop(task)
            self.changed = True

    def request_stop_of_all(self, job: Job, now: float, reason: str, grace_s: float = 0.0) -> None:
        """Ask for all tasks of a job to be stopped."""
        for task in list(job.active.values()):
            if task.state is TaskState.COMMITTED:
                self.transition_and_release(task, TaskEvent.MACHINE_GONE, now)
            else:
                self.request_stop(task, grace_s, now, reason)

    def break_gang(self, job: Job, now: float, reason: str) -> None:
        """A gang that lost a member starts again only when all its members are proven off."""
        if not job.gang_broken and job.active:
            log.debug("gang %s is broken: %s", job.ref, reason)
            job.gang_broken = True
            self.request_stop_of_all(job, now, reason)

    # -- reports -------------------------------------------------------------------------------

    def register_machine(
        self, name: str, type_name: str, zone: str, spot: bool, now: float, age_s: float | None
    ) -> Machine:
        """A machine that a report or the list shows; strangers are used or returned."""
        machine = self.machines.get(name)
        rented = now - (age_s if age_s is not None else 0.0)
        if machine is None:
            machine = Machine(
                name, None, type_name, zone, spot, MachineState.INHERITED, self.silent_since.get(name, now), rented
            )
            self.machines[name] = machine
        if not machine.type_name:
            machine.type_name, machine.zone, machine.spot, machine.rented_at = type_name, zone, spot, rented
        if machine.type is None:
            machine.type = self.types.get(type_name)
        for image, gb in self.inherited_images.pop(name, {}).items():
            machine.remember_image(image, gb)
        return machine

    # -- machines ------------------------------------------------------------------------------

    def remove_machine(self, machine: Machine, now: float) -> None:
        """A deletion was answered: the machine and all that was on it are gone."""
        machine.move(MachineEvent.DELETED)
        self.deleted_machines[machine.name] = now
        for task in list(machine.tasks.values()):
            job = task.job
            if task.state is TaskState.GONE:
                continue  # taken back when its gang broke over another member on this machine
            self.transition_and_release(task, TaskEvent.MACHINE_GONE, now)
            if job.kind is Kind.GANG:
                self.break_gang(job, now, f"{machine.name} is gone")
        self.machines.pop(machine.name, None)
        self.changed = True

    def estimate_s(self, job: Job) -> float:
        """A task's run time in s: the owner's estimate, corrected by what its class has shown."""
        return job.spec.estimate_s * self.runtime_ratio.get(job.spec.job_class, 1.0)


def zone_counts(job: Job) -> dict[str, int]:
    """Tasks per zone that are there or may be. An unknown machine's zone is ''."""
    zones: dict[str, int] = {}
    for task in job.active.values():
        zones[task.machine.zone] = zones.get(task.machine.zone, 0) + 1
    return zones
