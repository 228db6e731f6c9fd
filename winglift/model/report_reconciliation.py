"""Reconciliation of the cluster state with workers' reports, and the commands that answer them.

Reports and commands: PROTOCOL, "Workers -> controller nodes". `task_reconciliation` applies what a report says of
single tasks.
"""

from __future__ import annotations

import logging
from collections.abc import Container

from .. import constants
from ..wire import workers as worker_messages
from . import task_reconciliation
from .cluster_state import ClusterState
from .entities import Assignment, Machine, Task
from .job_state import JobState
from .machine_state import MachineEvent, MachineState
from .task_state import PRESENT, TaskEvent, TaskState

log = logging.getLogger(__name__)

TaskKey = tuple[str, int]  # job and task number


def reconcile_report(
    cluster: ClusterState, report: worker_messages.Report, now: float, direct: bool = False
) -> list[worker_messages.Command] | None:
    """Apply a worker's report to the cluster state; return the commands of the answer, or None for no answer.

    `direct`: the report is the response to a request of this node (`/commands`, `/show`), not a report of the worker's
    own. `now` is steady time in s.
    """
    if report.machine in cluster.deleted_machines:
        return None
    if report.token < cluster.term and report.machine not in cluster.machines:
        # Perhaps a copy that is minutes old, of a machine that an earlier term has deleted: it is no capacity. A
        # machine that exists learns the term from this answer, and its next report carries it.
        return []
    machine = cluster.register_machine(report.machine, report.type, report.zone, report.spot, now, None)
    if (report.session, report.seq) <= (machine.session, machine.seq):
        return None  # delayed or repeated: it must never free a task
    if _is_duplicate_name(machine, report):
        _log_duplicate_name(machine, report)
        return None
    if report.token < cluster.term:
        # Made before this term was known there, perhaps minutes ago. It proves nothing.
        # Answering it with no commands brings the term to the worker.
        return []
    new_session = report.session > machine.session
    _update_responsiveness(cluster, machine, report, new_session, now, direct)
    _update_contact(machine, report, now, direct)
    _complete_boot(cluster, machine, now)
    _apply_reclaim_notice(cluster, machine, report, now)
    listed, commands = _reconcile_listed_tasks(cluster, machine, report, now)
    # A response of /commands may have been made while our answer to a report was under way, so only a report shows that
    # a start did not take effect. But a new session has nothing of the one before it, and drops answers to its reports.
    if not direct or new_session:
        _reconcile_absent_tasks(cluster, machine, report, listed, now, direct)
    commands += _commands_for_exited_tasks(cluster, machine, report)
    return commands


def _is_duplicate_name(machine: Machine, report: worker_messages.Report) -> bool:
    """Whether a second worker reports under the machine's name, from another address within the same session.

    Its task list says nothing about the first worker's tasks, so only the first one's reports are accepted.
    """
    return machine.seq >= 0 and report.session == machine.session and report.addr != machine.addr


def _log_duplicate_name(machine: Machine, report: worker_messages.Report) -> None:
    """Log a duplicate machine name once per machine."""
    if not machine.duplicate_name_logged:
        log.error(
            "machine %s: duplicate name, accepted_addr=%s ignored_addr=%s",
            machine.name,
            machine.addr,
            report.addr,
        )
    machine.duplicate_name_logged = True


def _update_responsiveness(
    cluster: ClusterState,
    machine: Machine,
    report: worker_messages.Report,
    new_session: bool,
    now: float,
    direct: bool,
) -> None:
    """Update whether the node's commands reach the machine, before the report's session is taken over."""
    if not direct:
        _check_commands_acknowledged(cluster, machine, report, new_session, now)
    elif machine.state is MachineState.UNRESPONSIVE:
        machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)  # it has answered a request
        log.info("machine %s: responsive again", machine.name)
        cluster.changed = True


def _update_contact(machine: Machine, report: worker_messages.Report, now: float, direct: bool) -> None:
    """Take over the report's session, sequence number and address, and the time of the latest report."""
    machine.session, machine.seq = report.session, report.seq
    if not direct or machine.last_heard is None:
        # A machine that answers requests and reaches no node gets no starts, and nothing renews its lease: it counts as
        # silent. Its answers once made it look sound: replicas were missed until it reached a node again.
        machine.last_heard = now
    machine.addr = report.addr


def _complete_boot(cluster: ClusterState, machine: Machine, now: float) -> None:
    """Move a machine to UP on its first report under this term."""
    if machine.state not in (MachineState.BOOTING, MachineState.INHERITED):
        return
    if machine.state is MachineState.BOOTING and cluster.boot_tracker.record_boot(machine, now):
        log.info("machine %s: booted in time, capacity pool recovered, zone=%s", machine.name, machine.zone)
    machine.move(MachineEvent.REPORT)
    machine.idle_since = now
    cluster.changed = True


def _apply_reclaim_notice(cluster: ClusterState, machine: Machine, report: worker_messages.Report, now: float) -> None:
    """Drain a machine on the first report that carries a spot reclaim notice."""
    if report.notice_s is None or machine.reclaim_at is not None:
        return
    machine.reclaim_at = now + report.notice_s
    machine.drain_reason = "notice"
    machine.move(MachineEvent.DRAIN)
    cluster.changed = True
    log.info(
        "machine %s: spot reclaim notice, notice_s=%.1f tasks=%d", machine.name, report.notice_s, len(machine.tasks)
    )


def _reconcile_listed_tasks(
    cluster: ClusterState, machine: Machine, report: worker_messages.Report, now: float
) -> tuple[dict[TaskKey, worker_messages.TaskReport], list[worker_messages.Command]]:
    """Apply the tasks that a report lists; return those that are assigned there, and stops for those that are not."""
    listed: dict[TaskKey, worker_messages.TaskReport] = {}
    commands: list[worker_messages.Command] = []
    machine.unknown_tasks.clear()
    for task_report in report.tasks:
        key = task_report.key()
        if key is None:
            continue
        task = machine.tasks.get(key)
        if task is not None and task.attempt == task_report.attempt and task.state is not TaskState.PROPOSED:
            listed[key] = task_report
            task_reconciliation.apply_task_report(cluster, task, task_report, now)
        elif task_report.phase is not worker_messages.Phase.EXITED:
            # In no record: no node was allowed to start it. It is stopped, and uses capacity until then.
            machine.unknown_tasks[key] = task_report.attempt
            log.warning(
                "machine %s: task in no record, task=%s attempt=%d",
                machine.name,
                task_report.task,
                task_report.attempt,
            )
            commands.append(worker_messages.halt_command(task_report.task, task_report.attempt, 0))
    return listed, commands


def _reconcile_absent_tasks(
    cluster: ClusterState,
    machine: Machine,
    report: worker_messages.Report,
    listed: Container[TaskKey],
    now: float,
    direct: bool,
) -> None:
    """Apply the absence of the machine's tasks that a report does not list."""
    for key, task in list(machine.tasks.items()):
        # A gang that breaks releases its unsent members, on this machine too: those are gone already.
        if (
            key not in listed
            and task.state not in (TaskState.PROPOSED, TaskState.GONE)
            and (not direct or _of_older_session(task, report))
        ):
            task_reconciliation.apply_absence(cluster, task, report, now)


def _commands_for_exited_tasks(
    cluster: ClusterState, machine: Machine, report: worker_messages.Report
) -> list[worker_messages.Command]:
    """The `reap` commands for the exited tasks of a report whose exits are recorded."""
    commands: list[worker_messages.Command] = []
    for task_report in report.tasks:
        key = task_report.key()
        if (
            key is not None
            and task_report.phase is worker_messages.Phase.EXITED
            and _may_remove_exited(cluster, key, machine, task_report.attempt)
        ):
            commands.append(worker_messages.reap_command(task_report.task, task_report.attempt))
    return commands


def _check_commands_acknowledged(
    cluster: ClusterState, machine: Machine, report: worker_messages.Report, new_session: bool, now: float
) -> None:
    """Detect a machine whose reports arrive but which our answers do not reach.

    Judged by what its reports show, never by a single lost answer. A worker's lease runs from its last answered report.
    If it ended although reports had come all the while, they were answered in vain; and what is sent in answers shows
    in the next report, or the answer was lost.
    """
    sent = _starts_due_in_report(machine, report)
    if _shows_a_start(report, sent):
        machine.unacknowledged_reports = 0
        if machine.state is MachineState.UNRESPONSIVE:
            machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)
            log.info("machine %s: responsive again", machine.name)
        return
    if _session_lost_while_reporting(cluster, machine, new_session, now):
        machine.unacknowledged_reports = constants.UNACKNOWLEDGED_REPORTS_MAX
    elif sent:
        machine.unacknowledged_reports += 1
    if machine.unacknowledged_reports >= constants.UNACKNOWLEDGED_REPORTS_MAX and machine.state is MachineState.UP:
        machine.move(MachineEvent.COMMANDS_IGNORED)
        machine.unresponsive_since = now
        cluster.changed = True
        log.info(
            "machine %s: unresponsive, reports arrive but commands do not take effect; no placements, tasks=%d",
            machine.name,
            len(machine.tasks),
        )


def _starts_due_in_report(machine: Machine, report: worker_messages.Report) -> list[Task]:
    """The tasks whose start was sent in the answer to an earlier report of this session."""
    return [
        task
        for task in machine.tasks.values()
        if task.state is TaskState.SENT and task.sent_session == report.session and task.sent_seq < report.seq
    ]


def _shows_a_start(report: worker_messages.Report, sent: list[Task]) -> bool:
    """Whether the report lists at least one of the starts that were sent."""
    if not sent:
        return False  # few reports follow a start: for the others the task list need not be read
    listed = {task_report.key(): task_report.attempt for task_report in report.tasks}
    return any(listed.get((task.job.ref, task.index)) == task.attempt for task in sent)


def _session_lost_while_reporting(cluster: ClusterState, machine: Machine, new_session: bool, now: float) -> bool:
    """Whether the worker's lease expired although its reports arrived: none of their answers reached it."""
    return (
        new_session
        and machine.session > 0
        and machine.last_heard is not None
        and now - machine.last_heard < cluster.settings.settings.workers.lease_s * constants.UNRESPONSIVE_LEASE_SHARE
    )


def _may_remove_exited(cluster: ClusterState, key: tuple[str, int], machine: Machine, attempt: int) -> bool:
    """Whether an exited task may be reaped: once the record no longer assigns it there (invariant 6).

    For a finished task, that is once `done` is committed.
    """
    job = cluster.jobs.get(key[0])
    if job is None:
        return True
    task = machine.tasks.get(key)
    if task is not None and task.attempt == attempt:
        return False
    return job.committed_assignments.get(key[1]) != Assignment(machine.name, attempt)


def due_commands(
    machine: Machine, report: worker_messages.Report, now: float, cancelled_only: bool = False
) -> list[worker_messages.Command]:
    """Starts and stops due on a machine; with `cancelled_only` just the stops of cancelled tasks.

    Starts are sent only here, in a report's response (invariant 3).
    """
    commands: list[worker_messages.Command] = []
    for task in list(machine.tasks.values()):
        if cancelled_only and task.job.state is not JobState.CANCELLED:
            continue
        if task.stopping:
            if task.state in PRESENT and (task.state is not TaskState.SAVING or task.stop_grace_s == 0):
                commands.append(worker_messages.halt_command(task.name, task.attempt, task.stop_grace_s or 0))
        elif task.state is TaskState.COMMITTED and task.job.is_open and machine.accepts_tasks:
            commands.append(worker_messages.run_command(task.name, task.attempt))
            task.sent_session, task.sent_seq = report.session, report.seq
            task.move(TaskEvent.SEND, now)
    return commands


def _of_older_session(task: Task, report: worker_messages.Report) -> bool:
    """Whether the task was surely started in a session before the report's.

    Not known of an inherited task: the leader before may have sent its start in an answer that is still under way.
    """
    return task.state in PRESENT or (task.state is TaskState.SENT and task.sent_session < report.session)
