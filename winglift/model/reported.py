"""What workers report, taken into the picture, and what they are answered."""

from __future__ import annotations

import logging

from .. import constants as c
from ..wire import workers as w
from ..wire.users import Kind
from . import failure_attribution
from .entities import Machine, Task
from .job import JobEvent, JobState
from .machine import MachineEvent, MachineState
from .picture import PROGRESS, TIDY, URGENT, Picture
from .task import PRESENT, TaskEvent, TaskState

log = logging.getLogger(__name__)

_SEEN = {
    w.Phase.FETCHING: TaskEvent.SEEN_FETCHING,
    w.Phase.WAITING: TaskEvent.SEEN_WAITING,
    w.Phase.RUNNING: TaskEvent.SEEN_RUNNING,
    w.Phase.SAVING: TaskEvent.SEEN_SAVING,
}


def on_report(picture: Picture, report: w.Report, now: float, direct: bool = False) -> list[w.Command] | None:
    """Take in a report and return the commands to answer it with, or None if it is not to be answered."""
    if report.machine in picture.deleted:
        return None
    if report.token < picture.term and report.machine not in picture.machines:
        # Perhaps a copy that is minutes old, of a machine that an earlier term has deleted: it is no room. A machine
        # that is there learns the term from this answer, and its next report shows it.
        return []
    machine = picture.adopt(report.machine, report.type, report.zone, report.spot, now, None)
    if (report.session, report.seq) <= (machine.session, machine.seq):
        return None  # late: it must never free a task
    if machine.seq >= 0 and report.session == machine.session and report.addr != machine.addr:
        # Two that go by one name: what the one does not have says nothing about the other, so only the first is heard.
        if not machine.doubled:
            log.error(
                "%s reports from %s, and from %s as well: only the first is heard",
                machine.name,
                machine.addr,
                report.addr,
            )
        machine.doubled = True
        return None
    if report.token < picture.term:
        # Made before this term was known there, perhaps minutes ago. It proves nothing.
        # Answering it with no commands brings the term to the worker.
        return []
    new_session = report.session > machine.session
    if not direct:
        _heeds(picture, machine, report, new_session, now)
    elif machine.state is MachineState.DEAF:
        machine.move(MachineEvent.HEARS)  # it has answered a question
        log.info("%s hears again", machine.name)
        picture.changed = True
    machine.session, machine.seq = report.session, report.seq
    if not direct or machine.last_heard is None:
        # A machine that answers questions and reaches no node gets no starts, and nothing renews its lease: it is as
        # silent as any other. Its answers once made it look sound: replicas were missed until it reached a node again.
        machine.last_heard = now
    machine.addr = report.addr
    if machine.state in (MachineState.BOOTING, MachineState.INHERITED):
        if machine.state is MachineState.BOOTING and picture.boots.came_up(machine, now):
            log.info("%s came up in time: new machines do so in %s again", machine.name, machine.zone)
        machine.move(MachineEvent.REPORT)
        machine.idle_since = now
        picture.changed = True
    if report.notice_s is not None and machine.taken_at is None:
        machine.taken_at = now + report.notice_s
        machine.drain_reason = "notice"
        machine.move(MachineEvent.DRAIN)
        picture.changed = True
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
            _seen(picture, task, piece, now)
        elif piece.phase is w.Phase.EXITED:
            pass
        else:
            # In no record: nobody may have started it. It is stopped, and its room counts till then.
            machine.strangers[key] = piece.attempt
            log.warning("%s: runs %s attempt %d, which no record names", machine.name, piece.task, piece.attempt)
            commands.append(w.halt(piece.task, piece.attempt, 0))
    # A response of /commands may have been made while our answer to a report was under way, so only a report shows that
    # a start did not take effect. But a new session has nothing of the one before it, and drops answers to its reports.
    for key, task in list(machine.tasks.items() if not direct or new_session else ()):
        # A gang that breaks takes back its unsent members, on this machine too: those are gone already.
        if (
            key not in listed
            and task.state not in (TaskState.PROPOSED, TaskState.GONE)
            and (not direct or _of_older_session(task, report))
        ):
            _absent(picture, task, report, new_session, now)
    for piece in report.tasks:
        key = piece.key()
        if key is not None and piece.phase is w.Phase.EXITED and _may_reap(picture, key, machine, piece.attempt):
            commands.append(w.reap(piece.task, piece.attempt))
    return commands


def _heeds(picture: Picture, machine: Machine, report: w.Report, new_session: bool, now: float) -> None:
    """Do our answers reach it? Told by what its reports show, never by a single lost answer.

    A worker's lease runs from its last answered report. If it ended although reports had come all the while, they were
    answered in vain; and what is sent in answers shows in the next report, or the answer was lost.
    """
    # Few reports follow a start: the others cost no look at what they list.
    sent = [
        t
        for t in machine.tasks.values()
        if t.state is TaskState.SENT and t.sent_session == report.session and t.sent_seq < report.seq
    ]
    listed = {piece.key(): piece.attempt for piece in report.tasks} if sent else {}
    in_vain = (
        new_session
        and machine.session > 0
        and machine.last_heard is not None
        and now - machine.last_heard < picture.settings.settings.workers.lease_s * c.DEAF_LEASE_SHARE
    )
    if any(listed.get((t.job.ref, t.index)) == t.attempt for t in sent):
        machine.unheeded = 0
        if machine.state is MachineState.DEAF:
            machine.move(MachineEvent.HEARS)
            log.info("%s hears again", machine.name)
        return
    machine.unheeded = c.DEAF_REPORTS if in_vain else machine.unheeded + bool(sent)
    if machine.unheeded >= c.DEAF_REPORTS and machine.state is MachineState.UP:
        machine.move(MachineEvent.UNHEEDED)
        machine.deaf_since = now
        picture.changed = True
        log.info(
            "%s reports and does not hear: nothing more is placed there (%d tasks on it)",
            machine.name,
            len(machine.tasks),
        )


def _may_reap(picture: Picture, key: tuple[str, int], machine: Machine, attempt: int) -> bool:
    """Only once the record no longer names the place: for a finished task, once `done` is committed (6)."""
    job = picture.jobs.get(key[0])
    if job is None:
        return True
    task = machine.tasks.get(key)
    if task is not None and task.attempt == attempt:
        return False
    return job.recorded.get(key[1]) != (machine.name, attempt)


def orders(machine: Machine, report: w.Report, now: float, ends_only: bool = False) -> list[w.Command]:
    """Starts and stops due on a machine; with `ends_only` just the stops of cancelled tasks.

    Starts go only here, in a report's response (invariant 3).
    """
    commands: list[w.Command] = []
    for task in list(machine.tasks.values()):
        if ends_only and task.job.state is not JobState.CANCELLED:
            continue
        if task.stopping:
            if task.state in PRESENT and (task.state is not TaskState.SAVING or task.stop_grace == 0):
                commands.append(w.halt(task.name, task.attempt, task.stop_grace or 0))
        elif task.state is TaskState.COMMITTED and task.job.is_open and machine.usable:
            commands.append(w.run(task.name, task.attempt))
            task.sent_session, task.sent_seq = report.session, report.seq
            task.move(TaskEvent.SEND, now)
    return commands


def _seen(picture: Picture, task: Task, piece: w.TaskReport, now: float) -> None:
    job, machine = task.job, task.machine
    if piece.phase is w.Phase.EXITED:
        _exited(picture, task, piece, now)
        return
    before = task.state
    task.move(_SEEN[piece.phase], now)
    if before is not task.state:
        picture.changed = True
        log.debug("%s attempt %d on %s is %s", task.name, task.attempt, machine.name, task.state.name)
        if task.state in (TaskState.RUNNING, TaskState.WAITING):
            machine.remember_image(job.spec.image, job.spec.image_gb)
        if task.state is TaskState.RUNNING:
            job.gang_started = True
    if not job.is_open and not task.stopping and job.state is JobState.CANCELLED:
        picture.stop(task, 0.0, now, "cancelled")


def _exited(picture: Picture, task: Task, piece: w.TaskReport, now: float) -> None:
    job, machine = task.job, task.machine
    run_s = now - task.running_since if task.running_since is not None else None
    task.move(TaskEvent.SEEN_EXITED, now)
    why = piece.why or w.Why.ERROR
    if why == w.Why.DONE:
        log.debug("%s attempt %d on %s: done", task.name, task.attempt, machine.name)
        failure_attribution.completed(job, machine)
        if job.kind is Kind.GANG:
            # They complete together: if one task is done, so are all.
            for index in range(job.spec.tasks):
                job.done.add(index)
        else:
            job.done.add(task.index)
        job.mark(PROGRESS)
        if run_s is not None and job.spec.estimate_s > 0 and not piece.saved:
            ratio = max(0.2, min(5.0, run_s / job.spec.estimate_s))
            old = picture.run_ratio.get(job.spec.job_class, 1.0)
            picture.run_ratio[job.spec.job_class] = old + 0.1 * (ratio - old)
        if job.done.complete() and job.is_open:
            job.move(JobEvent.COMPLETE)
            job.mark(URGENT)
            picture.on_ending()
            log.debug("%s is done", job.ref)
        picture.let_go(task, now)
        for name in list(job.failed_on):
            _suspect_machine(picture, picture.machines.get(name), now)
    else:
        picture.let_go(task, now)
        _failed(picture, task, why, now)
    job.mark(TIDY)


def _failed(picture: Picture, task: Task, why: str, now: float) -> None:
    job, machine = task.job, task.machine
    log.debug("%s attempt %d on %s: %s", task.name, task.attempt, machine.name, why)
    if why == w.Why.ERROR:
        before = failure_attribution.suspect(job, now)
        failure_attribution.failed(job, machine)
        _suspect_machine(picture, machine, now)
        if failure_attribution.suspect(job, now) and not before:
            # What failed together before was one round, however many tasks it was and whenever each was heard of: the
            # first pause was often the longest, 120 s, also for a sound job that had met two faulty machines.
            job.failures = 0
            log.info(
                "%s: failed on %s and ran nowhere; from now on it is tried rarely", job.ref, ", ".join(job.failed_on)
            )
    if why in (w.Why.ERROR, w.Why.NO_ROOM, w.Why.BUSY, w.Why.UNKNOWN):
        if now >= job.not_before:
            # Tasks that fail together are one round: eight at once had asked for the longest pause.
            job.failures += 1
        if why != w.Why.ERROR or failure_attribution.suspect(job, now):
            job.not_before = max(job.not_before, now + failure_attribution.pause_s(job, now))
    if job.kind is Kind.GANG:
        picture.break_gang(job, now, f"{task.name} ended: {why}")


def _suspect_machine(picture: Picture, machine: Machine | None, now: float) -> None:
    if machine is not None and machine.state is MachineState.UP and failure_attribution.faulty(machine, now):
        log.info("%s: counts as faulty after %d failed tasks", machine.name, sum(machine.blamed.values()))
        failure_attribution.found_faulty(machine, now)
        machine.drain_reason = "faulty"
        machine.move(MachineEvent.DRAIN)
        picture.changed = True


def _of_older_session(task: Task, report: w.Report) -> bool:
    """Was it surely sent in a session before this one? Of an inherited one that is not known: the leader before may
    have sent it in an answer that is still under way."""
    return task.state in PRESENT or (task.state is TaskState.SENT and task.sent_session < report.session)


def _absent(picture: Picture, task: Task, report: w.Report, new_session: bool, now: float) -> None:
    """A newer report does not list the task: it is proven off the machine."""
    job = task.job
    if task.state is TaskState.SENT and report.session == task.sent_session and report.seq <= task.sent_seq:
        return
    # Records come to more than a team's limit where a place was free and given to another job, and its own record did
    # not say so yet when all nodes ended. Such a place was once started again, 25 GPUs of 24 (invariant 5).
    stale = task.state is TaskState.UNKNOWN and picture.quota.exceeded(job.spec.team)
    task.move(TaskEvent.ABSENT, now)
    if task.state is TaskState.GONE or stale or task.stopping or not job.is_open or not task.machine.usable:
        gone = task.state is TaskState.GONE
        if not gone:
            task.move(TaskEvent.MACHINE_GONE, now)
        log.debug("%s is no longer on %s", task.name, task.machine.name)
        picture.let_go(task, now)
        if job.kind is Kind.GANG:
            picture.break_gang(job, now, f"{task.name} is gone")
    elif job.kind is Kind.GANG and any(t.state is TaskState.RUNNING for t in job.active.values()):
        task.move(TaskEvent.MACHINE_GONE, now)
        picture.let_go(task, now)
        picture.break_gang(job, now, f"{task.name} is not there")
