"""What workers report, taken into the picture, and what they are answered."""

from __future__ import annotations

import logging

from .. import constants
from ..wire import workers as worker_messages
from ..wire.users import Kind
from . import failure_attribution
from .cluster_state import CLEANUP, PROGRESS, URGENT, ClusterState
from .entities import Machine, Task
from .job_state import JobEvent, JobState
from .machine_state import MachineEvent, MachineState
from .task_state import PRESENT, TaskEvent, TaskState

log = logging.getLogger(__name__)

_SEEN = {
    worker_messages.Phase.FETCHING: TaskEvent.SEEN_FETCHING,
    worker_messages.Phase.WAITING: TaskEvent.SEEN_WAITING,
    worker_messages.Phase.RUNNING: TaskEvent.SEEN_RUNNING,
    worker_messages.Phase.SAVING: TaskEvent.SEEN_SAVING,
}


def reconcile_report(
    cluster: ClusterState, report: worker_messages.Report, now: float, direct: bool = False
) -> list[worker_messages.Command] | None:
    """Take in a report and return the commands to answer it with, or None if it is not to be answered."""
    if report.machine in cluster.deleted_machines:
        return None
    if report.token < cluster.term and report.machine not in cluster.machines:
        # Perhaps a copy that is minutes old, of a machine that an earlier term has deleted: it is no room. A machine
        # that is there learns the term from this answer, and its next report shows it.
        return []
    machine = cluster.register_machine(report.machine, report.type, report.zone, report.spot, now, None)
    if (report.session, report.seq) <= (machine.session, machine.seq):
        return None  # late: it must never free a task
    if machine.seq >= 0 and report.session == machine.session and report.addr != machine.addr:
        # Two that go by one name: what the one does not have says nothing about the other, so only the first is heard.
        if not machine.duplicate_name_logged:
            log.error(
                "%s reports from %s, and from %s as well: only the first is heard",
                machine.name,
                machine.addr,
                report.addr,
            )
        machine.duplicate_name_logged = True
        return None
    if report.token < cluster.term:
        # Made before this term was known there, perhaps minutes ago. It proves nothing.
        # Answering it with no commands brings the term to the worker.
        return []
    new_session = report.session > machine.session
    if not direct:
        _check_commands_acknowledged(cluster, machine, report, new_session, now)
    elif machine.state is MachineState.UNRESPONSIVE:
        machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)  # it has answered a question
        log.info("%s hears again", machine.name)
        cluster.changed = True
    machine.session, machine.seq = report.session, report.seq
    if not direct or machine.last_heard is None:
        # A machine that answers questions and reaches no node gets no starts, and nothing renews its lease: it is as
        # silent as any other. Its answers once made it look sound: replicas were missed until it reached a node again.
        machine.last_heard = now
    machine.addr = report.addr
    if machine.state in (MachineState.BOOTING, MachineState.INHERITED):
        if machine.state is MachineState.BOOTING and cluster.boot_tracker.boot_completed(machine, now):
            log.info("%s came up in time: new machines do so in %s again", machine.name, machine.zone)
        machine.move(MachineEvent.REPORT)
        machine.idle_since = now
        cluster.changed = True
    if report.notice_s is not None and machine.reclaim_at is None:
        machine.reclaim_at = now + report.notice_s
        machine.drain_reason = "notice"
        machine.move(MachineEvent.DRAIN)
        cluster.changed = True
        log.info("%s: will be taken in %.1f s, %d tasks on it", machine.name, report.notice_s, len(machine.tasks))
    listed: dict[tuple[str, int], worker_messages.TaskReport] = {}
    commands: list[worker_messages.Command] = []
    machine.unknown_tasks.clear()
    for piece in report.tasks:
        key = piece.key()
        if key is None:
            continue
        task = machine.tasks.get(key)
        if task is not None and task.attempt == piece.attempt and task.state is not TaskState.PROPOSED:
            listed[key] = piece
            _task_reported(cluster, task, piece, now)
        elif piece.phase is worker_messages.Phase.EXITED:
            pass
        else:
            # In no record: nobody may have started it. It is stopped, and its room counts till then.
            machine.unknown_tasks[key] = piece.attempt
            log.warning("%s: runs %s attempt %d, which no record names", machine.name, piece.task, piece.attempt)
            commands.append(worker_messages.halt(piece.task, piece.attempt, 0))
    # A response of /commands may have been made while our answer to a report was under way, so only a report shows that
    # a start did not take effect. But a new session has nothing of the one before it, and drops answers to its reports.
    for key, task in list(machine.tasks.items() if not direct or new_session else ()):
        # A gang that breaks takes back its unsent members, on this machine too: those are gone already.
        if (
            key not in listed
            and task.state not in (TaskState.PROPOSED, TaskState.GONE)
            and (not direct or _of_older_session(task, report))
        ):
            _task_absent(cluster, task, report, new_session, now)
    for piece in report.tasks:
        key = piece.key()
        if (
            key is not None
            and piece.phase is worker_messages.Phase.EXITED
            and _may_reap(cluster, key, machine, piece.attempt)
        ):
            commands.append(worker_messages.reap(piece.task, piece.attempt))
    return commands


def _check_commands_acknowledged(
    cluster: ClusterState, machine: Machine, report: worker_messages.Report, new_session: bool, now: float
) -> None:
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
        and now - machine.last_heard < cluster.settings.settings.workers.lease_s * constants.UNRESPONSIVE_LEASE_SHARE
    )
    if any(listed.get((t.job.ref, t.index)) == t.attempt for t in sent):
        machine.unacknowledged_reports = 0
        if machine.state is MachineState.UNRESPONSIVE:
            machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)
            log.info("%s hears again", machine.name)
        return
    machine.unacknowledged_reports = (
        constants.UNRESPONSIVE_REPORTS if in_vain else machine.unacknowledged_reports + bool(sent)
    )
    if machine.unacknowledged_reports >= constants.UNRESPONSIVE_REPORTS and machine.state is MachineState.UP:
        machine.move(MachineEvent.COMMANDS_IGNORED)
        machine.unresponsive_since = now
        cluster.changed = True
        log.info(
            "%s reports and does not hear: nothing more is placed there (%d tasks on it)",
            machine.name,
            len(machine.tasks),
        )


def _may_reap(cluster: ClusterState, key: tuple[str, int], machine: Machine, attempt: int) -> bool:
    """Only once the record no longer names the place: for a finished task, once `done` is committed (6)."""
    job = cluster.jobs.get(key[0])
    if job is None:
        return True
    task = machine.tasks.get(key)
    if task is not None and task.attempt == attempt:
        return False
    return job.committed_assignments.get(key[1]) != (machine.name, attempt)


def due_commands(
    machine: Machine, report: worker_messages.Report, now: float, ends_only: bool = False
) -> list[worker_messages.Command]:
    """Starts and stops due on a machine; with `ends_only` just the stops of cancelled tasks.

    Starts go only here, in a report's response (invariant 3).
    """
    commands: list[worker_messages.Command] = []
    for task in list(machine.tasks.values()):
        if ends_only and task.job.state is not JobState.CANCELLED:
            continue
        if task.stopping:
            if task.state in PRESENT and (task.state is not TaskState.SAVING or task.stop_grace_s == 0):
                commands.append(worker_messages.halt(task.name, task.attempt, task.stop_grace_s or 0))
        elif task.state is TaskState.COMMITTED and task.job.is_open and machine.accepts_tasks:
            commands.append(worker_messages.run(task.name, task.attempt))
            task.sent_session, task.sent_seq = report.session, report.seq
            task.move(TaskEvent.SEND, now)
    return commands


def _task_reported(cluster: ClusterState, task: Task, piece: worker_messages.TaskReport, now: float) -> None:
    job, machine = task.job, task.machine
    if piece.phase is worker_messages.Phase.EXITED:
        _task_exited(cluster, task, piece, now)
        return
    before = task.state
    task.move(_SEEN[piece.phase], now)
    if before is not task.state:
        cluster.changed = True
        log.debug("%s attempt %d on %s is %s", task.name, task.attempt, machine.name, task.state.name)
        if task.state in (TaskState.RUNNING, TaskState.WAITING):
            machine.remember_image(job.spec.image, job.spec.image_gb)
        if task.state is TaskState.RUNNING:
            job.gang_started = True
    if not job.is_open and not task.stopping and job.state is JobState.CANCELLED:
        cluster.request_stop(task, 0.0, now, "cancelled")


def _task_exited(cluster: ClusterState, task: Task, piece: worker_messages.TaskReport, now: float) -> None:
    job, machine = task.job, task.machine
    run_s = now - task.running_since if task.running_since is not None else None
    task.move(TaskEvent.SEEN_EXITED, now)
    why = piece.why or worker_messages.Why.ERROR
    if why == worker_messages.Why.DONE:
        log.debug("%s attempt %d on %s: done", task.name, task.attempt, machine.name)
        failure_attribution.record_completion(job, machine)
        if job.kind is Kind.GANG:
            # They complete together: if one task is done, so are all.
            for index in range(job.spec.tasks):
                job.done.add(index)
        else:
            job.done.add(task.index)
        job.request_write(PROGRESS)
        if run_s is not None and job.spec.estimate_s > 0 and not piece.saved:
            ratio = max(0.2, min(5.0, run_s / job.spec.estimate_s))
            old = cluster.runtime_ratio.get(job.spec.job_class, 1.0)
            cluster.runtime_ratio[job.spec.job_class] = old + 0.1 * (ratio - old)
        if job.done.complete() and job.is_open:
            job.move(JobEvent.COMPLETE)
            job.request_write(URGENT)
            cluster.on_ending()
            log.debug("%s is done", job.ref)
        cluster.release(task, now)
        for name in list(job.failed_on):
            _suspect_machine(cluster, cluster.machines.get(name), now)
    else:
        cluster.release(task, now)
        _task_failed(cluster, task, why, now)
    job.request_write(CLEANUP)


def _task_failed(cluster: ClusterState, task: Task, why: str, now: float) -> None:
    job, machine = task.job, task.machine
    log.debug("%s attempt %d on %s: %s", task.name, task.attempt, machine.name, why)
    if why == worker_messages.Why.ERROR:
        before = failure_attribution.job_is_suspect(job, now)
        failure_attribution.record_failure(job, machine)
        _suspect_machine(cluster, machine, now)
        if failure_attribution.job_is_suspect(job, now) and not before:
            # What failed together before was one round, however many tasks it was and whenever each was heard of: the
            # first pause was often the longest, 120 s, also for a sound job that had met two faulty machines.
            job.failed_rounds = 0
            log.info(
                "%s: failed on %s and ran nowhere; from now on it is tried rarely", job.ref, ", ".join(job.failed_on)
            )
    if why in (
        worker_messages.Why.ERROR,
        worker_messages.Why.NO_ROOM,
        worker_messages.Why.BUSY,
        worker_messages.Why.UNKNOWN,
    ):
        if now >= job.retry_not_before:
            # Tasks that fail together are one round: eight at once had asked for the longest pause.
            job.failed_rounds += 1
        if why != worker_messages.Why.ERROR or failure_attribution.job_is_suspect(job, now):
            job.retry_not_before = max(job.retry_not_before, now + failure_attribution.retry_delay_s(job, now))
    if job.kind is Kind.GANG:
        cluster.break_gang(job, now, f"{task.name} ended: {why}")


def _suspect_machine(cluster: ClusterState, machine: Machine | None, now: float) -> None:
    if machine is not None and machine.state is MachineState.UP and failure_attribution.machine_is_faulty(machine, now):
        log.info("%s: counts as faulty after %d failed tasks", machine.name, sum(machine.attributed_failures.values()))
        failure_attribution.exonerate_jobs_on(machine, now)
        machine.drain_reason = "faulty"
        machine.move(MachineEvent.DRAIN)
        cluster.changed = True


def _of_older_session(task: Task, report: worker_messages.Report) -> bool:
    """Was it surely sent in a session before this one? Of an inherited one that is not known: the leader before may
    have sent it in an answer that is still under way."""
    return task.state in PRESENT or (task.state is TaskState.SENT and task.sent_session < report.session)


def _task_absent(
    cluster: ClusterState, task: Task, report: worker_messages.Report, new_session: bool, now: float
) -> None:
    """A newer report does not list the task: it is proven off the machine."""
    job = task.job
    if task.state is TaskState.SENT and report.session == task.sent_session and report.seq <= task.sent_seq:
        return
    # Records come to more than a team's limit where a place was free and given to another job, and its own record did
    # not say so yet when all nodes ended. Such a place was once started again, 25 GPUs of 24 (invariant 5).
    stale = task.state is TaskState.UNKNOWN and cluster.quota.exceeded(job.spec.team)
    task.move(TaskEvent.ABSENT, now)
    if task.state is TaskState.GONE or stale or task.stopping or not job.is_open or not task.machine.accepts_tasks:
        gone = task.state is TaskState.GONE
        if not gone:
            task.move(TaskEvent.MACHINE_GONE, now)
        log.debug("%s is no longer on %s", task.name, task.machine.name)
        cluster.release(task, now)
        if job.kind is Kind.GANG:
            cluster.break_gang(job, now, f"{task.name} is gone")
    elif job.kind is Kind.GANG and any(t.state is TaskState.RUNNING for t in job.active.values()):
        task.move(TaskEvent.MACHINE_GONE, now)
        cluster.release(task, now)
        cluster.break_gang(job, now, f"{task.name} is not there")
