"""The leader's picture: jobs, machines and who holds what. Fed by records and reports; does no I/O."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ..config.settings import Settings
from ..wire import workers as w
from ..wire.cloud import MachineType
from ..wire.users import Kind
from . import blame, records
from .boots import Boots
from .entities import Job, Machine, Task
from .job import JobEvent, JobState
from .machine import MachineEvent, MachineState
from .task import PRESENT, TaskEvent, TaskState
from .teams import Ledger

log = logging.getLogger(__name__)

_SEEN = {
    w.Phase.FETCHING: TaskEvent.SEEN_FETCHING,
    w.Phase.WAITING: TaskEvent.SEEN_WAITING,
    w.Phase.RUNNING: TaskEvent.SEEN_RUNNING,
    w.Phase.SAVING: TaskEvent.SEEN_SAVING,
}
_RECORDED_END = {JobState.DONE: JobEvent.COMPLETE, JobState.CANCELLED: JobEvent.CANCEL}

URGENT, START, PROGRESS, TIDY = 1, 2, 3, 4  # how soon a change is written


class Picture:
    def __init__(self, settings: Settings, types: dict[str, MachineType], term: int) -> None:
        self.settings = settings
        self.types = types
        self.term = term
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.deleted: dict[str, float] = {}
        self.ledger = Ledger({t.name: t for t in settings.settings.teams})
        self.run_ratio: dict[str, float] = {}  # job class: real run time by the estimate
        self.known_images: dict[str, dict[str, float]] = {}  # what the leader before knew of machines
        self.boots = Boots()
        self.changed = True
        self.superseded = False  # a record shows that another leader has decided
        self.on_stop: Callable[[Task], None] = lambda task: None

    # -- records -------------------------------------------------------------------------------

    def apply_record(self, ref: str, version: int, record: records.JobRecord, now: float) -> Job | None:
        """Take over what a record says; the record is the truth about places."""
        job = self.jobs.get(ref)
        if job is not None and version <= job.version:
            return job
        loaded = records.unpack(record)
        if job is None:
            if loaded.state is not JobState.OPEN and not loaded.places:
                return None
            job = Job(ref, loaded.spec, loaded.submitted, done=loaded.done, first_seen=now)
            self.jobs[ref] = job
            spec = job.spec
            log.debug("new %s: %s %s of %s, %d tasks of %g GPUs, priority %s, due in %s", ref, spec.job_class,
                      spec.kind.value, spec.team, spec.tasks, spec.gpus, spec.priority.value, spec.due_s)
        else:
            for index in loaded.done.above:
                job.done.add(index)
            if loaded.done.low > job.done.low:
                loaded.done.above |= {i for i in job.done.above if i >= loaded.done.low}
                job.done = records.DoneSet(loaded.done.count, loaded.done.low, loaded.done.above)
        job.version = version
        job.next_attempt = max(job.next_attempt, loaded.next_attempt)
        job.recorded = loaded.places
        job.recorded_state = loaded.state
        for index, (name, attempt) in loaded.places.items():
            task = job.active.get(index)
            if task is not None and (task.machine.name, task.attempt) == (name, attempt):
                if task.state is TaskState.PROPOSED:
                    task.move(TaskEvent.COMMIT, now)
                continue
            if task is not None:
                if task.state is not TaskState.PROPOSED:
                    # Only another leader can have moved it: this picture is out of date (invariant 1).
                    log.info("%s: the record names %s, not %s: another node leads", task.name, name, task.machine.name)
                    self.superseded = True
                    return job
                self.drop(task, TaskEvent.REJECT, now)
            if name in self.deleted:
                job.mark(TIDY)
                continue
            self._inherit(job, index, name, attempt, now)
        for task in list(job.active.values()):
            if task.state is TaskState.PROPOSED and task.index not in loaded.places:
                self.drop(task, TaskEvent.REJECT, now)
        if loaded.state is not JobState.OPEN and job.is_open:
            job.move(_RECORDED_END[loaded.state])
            if job.state is JobState.CANCELLED:
                job.cancel_seen = now
        if job.state is JobState.CANCELLED:
            self.stop_all(job, now, "cancelled")
        self.changed = True
        return job

    def _inherit(self, job: Job, index: int, name: str, attempt: int, now: float) -> None:
        """A place that a record names may be taken: it counts, and it is not started elsewhere (invariant 2)."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, None, "", "", False, MachineState.INHERITED, now, now)
            self.machines[name] = machine
        self._hold(Task(job, index, attempt, machine, TaskState.UNKNOWN, now))

    def _hold(self, task: Task) -> None:
        task.job.active[task.index] = task
        task.machine.tasks[task.job.ref, task.index] = task
        task.machine.touch()
        self.ledger.add(task.job.spec)

    def drop(self, task: Task, event: TaskEvent, now: float) -> None:
        """The task is proven off its machine, or never got there."""
        task.move(event, now)
        self._let_go(task, now)

    def _let_go(self, task: Task, now: float) -> None:
        job = task.job
        if job.active.get(task.index) is task:
            del job.active[task.index]
            self.ledger.remove(job.spec)
        task.machine.tasks.pop((job.ref, task.index), None)
        task.machine.touch()
        if not task.machine.tasks:
            task.machine.idle_since = now
        if not job.active:
            job.gang_started = job.gang_broken = False
        if job.recorded.get(task.index) == (task.machine.name, task.attempt):
            job.mark(TIDY)
        self.changed = True

    # -- decisions -----------------------------------------------------------------------------

    def violation(self, job: Job, machine: Machine, extra: dict[str, int] | None = None) -> str | None:
        """Why a task of this job may not be placed there, or None. Every placement passes here (invariant 5)."""
        spec = job.spec
        if not job.is_open:
            return "job has ended"
        if machine.type is None or not machine.usable:
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
        if self.ledger.room_for(spec) < 1:
            return "team limit"
        return None

    def propose(self, job: Job, places: Iterable[tuple[int, Machine]], now: float) -> bool:
        """Take places for one start of tasks of a job. All or, for a gang, none."""
        attempt = job.next_attempt
        made: list[Task] = []
        for index, machine in places:
            why = "holds a place" if index in job.active or index in job.done else self.violation(job, machine)
            if why is not None:
                log.warning("%s/%d: not placed on %s: %s", job.ref, index, machine.name, why)
                if job.kind is Kind.GANG:
                    for task in made:
                        self.drop(task, TaskEvent.REJECT, now)
                    return False
                continue
            task = Task(job, index, attempt, machine, TaskState.PROPOSED, now)
            self._hold(task)
            machine.idle_since = None
            made.append(task)
        if not made:
            return False
        job.next_attempt = attempt + 1
        job.mark(START)
        return True

    def stop(self, task: Task, grace_s: float, now: float, reason: str) -> None:
        """Ask for a task to be stopped. A task that was never sent is simply let go."""
        if task.state is TaskState.COMMITTED and task.job.kind is not Kind.GANG:
            self.drop(task, TaskEvent.MACHINE_GONE, now)
            return
        if task.stop_grace is None or grace_s < task.stop_grace:
            task.tell_stop(grace_s)
            log.debug("stop %s on %s: %s, grace %.1f s", task.name, task.machine.name, reason, grace_s)
            self.on_stop(task)
            self.changed = True

    def stop_all(self, job: Job, now: float, reason: str, grace_s: float = 0.0) -> None:
        for task in list(job.active.values()):
            if task.state is TaskState.COMMITTED:
                self.drop(task, TaskEvent.MACHINE_GONE, now)
            else:
                self.stop(task, grace_s, now, reason)

    def break_gang(self, job: Job, now: float, reason: str) -> None:
        """A gang that lost a member starts again only when all its members are proven off."""
        if not job.gang_broken and job.active:
            log.debug("gang %s is broken: %s", job.ref, reason)
            job.gang_broken = True
            self.stop_all(job, now, reason)

    # -- commits -------------------------------------------------------------------------------

    def committed(self, job: Job, version: int, record: records.JobRecord, now: float) -> None:
        """A write of this job succeeded; its starts may now be sent (invariant 2)."""
        loaded = records.unpack(record)
        job.version = version
        job.recorded = loaded.places
        job.recorded_state = loaded.state
        for index, place in loaded.places.items():
            task = job.active.get(index)
            if task and task.state is TaskState.PROPOSED and (task.machine.name, task.attempt) == place:
                task.move(TaskEvent.COMMIT, now)
                if not job.is_open or task.machine.state is not MachineState.UP:
                    self.stop(task, 0.0, now, "no longer wanted")
        if not job.is_open and not job.active and not job.recorded and not job.dirty:
            self.jobs.pop(job.ref, None)

    # -- reports -------------------------------------------------------------------------------

    def adopt(self, name: str, type_name: str, zone: str, spot: bool, now: float, age_s: float | None) -> Machine:
        """A machine that a report or the list shows; strangers are used or returned."""
        machine = self.machines.get(name)
        rented = now - (age_s if age_s is not None else 0.0)
        if machine is None:
            machine = Machine(name, None, type_name, zone, spot, MachineState.INHERITED, now, rented)
            self.machines[name] = machine
        if not machine.type_name:
            machine.type_name, machine.zone, machine.spot, machine.rented_at = type_name, zone, spot, rented
        if machine.type is None:
            machine.type = self.types.get(type_name)
        for image, gb in self.known_images.pop(name, {}).items():
            machine.remember_image(image, gb)
        return machine

    def on_report(self, report: w.Report, now: float, direct: bool = False) -> list[w.Command] | None:
        """Take in a report and return the commands to answer it with, or None if it is not to be answered."""
        if report.machine in self.deleted:
            return None
        machine = self.adopt(report.machine, report.type, report.zone, report.spot, now, None)
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return None  # late: it must never free a task
        if report.token < self.term:
            # Made before this term was known there, perhaps minutes ago. It proves nothing.
            # Answering it with no commands brings the term to the worker.
            return []
        new_session = report.session > machine.session
        machine.session, machine.seq = report.session, report.seq
        machine.last_heard = now
        machine.addr = report.addr
        if machine.state in (MachineState.BOOTING, MachineState.INHERITED):
            if machine.state is MachineState.BOOTING and self.boots.came_up(machine, now):
                log.info("%s came up in time: new machines do so in %s again", machine.name, machine.zone)
            machine.move(MachineEvent.REPORT)
            machine.idle_since = now
            self.changed = True
        if report.notice_s is not None and machine.taken_at is None:
            machine.taken_at = now + report.notice_s
            machine.drain_reason = "notice"
            machine.move(MachineEvent.DRAIN)
            self.changed = True
            log.info("%s: will be taken in %.1f s, %d tasks on it", machine.name, report.notice_s, len(machine.tasks))
        listed: dict[tuple[str, int], w.TaskReport] = {}
        commands: list[w.Command] = []
        machine.strangers.clear()
        for piece in report.tasks:
            key = piece.key()
            if key is None:
                continue
            task = machine.tasks.get(key)
            if task is not None and task.attempt == piece.attempt and task.state is not TaskState.PROPOSED:
                listed[key] = piece
                self._seen(task, piece, now)
            elif piece.phase is w.Phase.EXITED:
                pass
            else:
                # In no record: nobody may have started it. It is stopped, and its room counts till then.
                machine.strangers[key] = piece.attempt
                log.warning("%s: runs %s attempt %d, which no record names", machine.name, piece.task, piece.attempt)
                commands.append(w.halt(piece.task, piece.attempt, 0))
        if not direct:
            # A response of /commands may have been made while our answer to a report was under way,
            # so only a report shows that a start did not take effect.
            for key, task in list(machine.tasks.items()):
                # A gang that breaks takes back its unsent members, on this machine too: those are gone already.
                if key not in listed and task.state not in (TaskState.PROPOSED, TaskState.GONE):
                    self._absent(task, report, new_session, now)
        for piece in report.tasks:
            key = piece.key()
            if key is not None and piece.phase is w.Phase.EXITED and self._may_reap(key, machine, piece.attempt):
                commands.append(w.reap(piece.task, piece.attempt))
        return commands

    def _may_reap(self, key: tuple[str, int], machine: Machine, attempt: int) -> bool:
        """Only once the record no longer names the place: for a finished task, once `done` is committed (6)."""
        job = self.jobs.get(key[0])
        if job is None:
            return True
        task = machine.tasks.get(key)
        if task is not None and task.attempt == attempt:
            return False
        return job.recorded.get(key[1]) != (machine.name, attempt)

    def orders(self, machine: Machine, report: w.Report, now: float) -> list[w.Command]:
        """Starts and stops due on a machine. Starts go only here, in a report's response (invariant 3)."""
        commands: list[w.Command] = []
        for task in list(machine.tasks.values()):
            if task.stopping:
                if task.state in PRESENT and (task.state is not TaskState.SAVING or task.stop_grace == 0):
                    commands.append(w.halt(task.name, task.attempt, task.stop_grace or 0))
            elif task.state is TaskState.COMMITTED and task.job.is_open and machine.usable:
                commands.append(w.run(task.name, task.attempt))
                task.sent_session, task.sent_seq = report.session, report.seq
                task.move(TaskEvent.SEND, now)
        return commands

    def _seen(self, task: Task, piece: w.TaskReport, now: float) -> None:
        job, machine = task.job, task.machine
        if piece.phase is w.Phase.EXITED:
            self._exited(task, piece, now)
            return
        before = task.state
        task.move(_SEEN[piece.phase], now)
        if before is not task.state:
            self.changed = True
            log.debug("%s attempt %d on %s is %s", task.name, task.attempt, machine.name, task.state.name)
            if task.state in (TaskState.RUNNING, TaskState.WAITING):
                machine.remember_image(job.spec.image, job.spec.image_gb)
            if task.state is TaskState.RUNNING:
                job.gang_started = True
        if not job.is_open and not task.stopping and job.state is JobState.CANCELLED:
            self.stop(task, 0.0, now, "cancelled")

    def _exited(self, task: Task, piece: w.TaskReport, now: float) -> None:
        job, machine = task.job, task.machine
        run_s = now - task.running_since if task.running_since is not None else None
        task.move(TaskEvent.SEEN_EXITED, now)
        why = piece.why or w.Why.ERROR
        if why == w.Why.DONE:
            blame.completed(job, machine)
            if job.kind is Kind.GANG:
                # They complete together: if one task is done, so are all.
                for index in range(job.spec.tasks):
                    job.done.add(index)
            else:
                job.done.add(task.index)
            job.mark(PROGRESS)
            if run_s is not None and job.spec.estimate_s > 0 and not piece.saved:
                ratio = max(0.2, min(5.0, run_s / job.spec.estimate_s))
                old = self.run_ratio.get(job.spec.job_class, 1.0)
                self.run_ratio[job.spec.job_class] = old + 0.1 * (ratio - old)
            if job.done.complete() and job.is_open:
                job.move(JobEvent.COMPLETE)
                job.mark(URGENT)
                log.debug("%s is done", job.ref)
            self._let_go(task, now)
            for name in list(job.failed_on):
                self._suspect_machine(self.machines.get(name), now)
        else:
            self._let_go(task, now)
            self._failed(task, why, now)
        job.mark(TIDY)

    def _failed(self, task: Task, why: str, now: float) -> None:
        job, machine = task.job, task.machine
        log.debug("%s attempt %d on %s: %s", task.name, task.attempt, machine.name, why)
        if why == w.Why.ERROR:
            before = blame.suspect(job, now)
            blame.failed(job, machine)
            self._suspect_machine(machine, now)
            if blame.suspect(job, now) and not before:
                log.info("%s: failed on %s and ran nowhere; from now on it is tried rarely", job.ref,
                         ", ".join(job.failed_on))
        if why in (w.Why.ERROR, w.Why.NO_ROOM, w.Why.BUSY, w.Why.UNKNOWN):
            if now >= job.not_before:
                # Tasks that fail together are one round: eight at once had asked for the longest pause.
                job.failures += 1
            if why != w.Why.ERROR or blame.suspect(job, now):
                job.not_before = max(job.not_before, now + blame.pause_s(job, now))
        if job.kind is Kind.GANG:
            self.break_gang(job, now, f"{task.name} ended: {why}")

    def _suspect_machine(self, machine: Machine | None, now: float) -> None:
        if machine is not None and machine.state is MachineState.UP and blame.faulty(machine, now):
            log.info("%s: counts as faulty after %d failed tasks", machine.name, sum(machine.blamed.values()))
            blame.found_faulty(machine, now)
            machine.drain_reason = "faulty"
            machine.move(MachineEvent.DRAIN)
            self.changed = True

    def _absent(self, task: Task, report: w.Report, new_session: bool, now: float) -> None:
        """A newer report does not list the task: it is proven off the machine."""
        job = task.job
        if task.state is TaskState.SENT and report.session == task.sent_session and report.seq <= task.sent_seq:
            return
        task.move(TaskEvent.ABSENT, now)
        if task.state is TaskState.GONE or task.stopping or not job.is_open or not task.machine.usable:
            gone = task.state is TaskState.GONE
            if not gone:
                task.move(TaskEvent.MACHINE_GONE, now)
            log.debug("%s is no longer on %s", task.name, task.machine.name)
            self._let_go(task, now)
            if job.kind is Kind.GANG:
                self.break_gang(job, now, f"{task.name} is gone")
        elif job.kind is Kind.GANG and any(t.state is TaskState.RUNNING for t in job.active.values()):
            task.move(TaskEvent.MACHINE_GONE, now)
            self._let_go(task, now)
            self.break_gang(job, now, f"{task.name} is not there")

    # -- machines ------------------------------------------------------------------------------

    def machine_gone(self, machine: Machine, now: float) -> None:
        """A deletion was answered: the machine and all that was on it are gone."""
        machine.move(MachineEvent.DELETED)
        self.deleted[machine.name] = now
        for task in list(machine.tasks.values()):
            job = task.job
            if task.state is TaskState.GONE:
                continue  # taken back when its gang broke over another member on this machine
            self.drop(task, TaskEvent.MACHINE_GONE, now)
            if job.kind is Kind.GANG:
                self.break_gang(job, now, f"{machine.name} is gone")
        self.machines.pop(machine.name, None)
        self.changed = True

    def estimate_s(self, job: Job) -> float:
        return job.spec.estimate_s * self.run_ratio.get(job.spec.job_class, 1.0)


def zone_counts(job: Job) -> dict[str, int]:
    """Tasks per zone that are there or may be. An unknown machine's zone is ''."""
    zones: dict[str, int] = {}
    for task in job.active.values():
        zones[task.machine.zone] = zones.get(task.machine.zone, 0) + 1
    return zones
