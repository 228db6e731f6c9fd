"""Reconciliation of the cluster state with workers' reports, and the commands that answer them.

Reports and commands are described in PROTOCOL, "Workers -> controller nodes". `task_reconciliation` applies what a
report says about single tasks.
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
    """Apply a worker's report to the cluster state; return the commands for its answer, or None for no answer.

    `direct`: the report is the response to a request by this node (`/commands`, `/show`), not one that the worker sent
    by itself. `now` is monotonic time in s.
    """
    if report.machine in cluster.deleted_machines:
        return None
    if report.term < cluster.term and report.machine not in cluster.machines:
        # This may be a report that was delayed by minutes, of a machine that an earlier term has deleted, so it adds no
        # capacity. An existing machine learns the term from this answer, and its next report carries that term.
        return []
    machine = cluster.register_machine(report.machine, report.type, report.zone, report.spot, now, None)
    if (report.session, report.seq) <= (machine.session, machine.seq):
        return None  # a delayed or duplicated report, which must never release a task
    if _is_duplicate_name(machine, report):
        _log_duplicate_name(machine, report)
        return None
    if report.term < cluster.term:
        # Made before the worker knew this term, perhaps minutes ago: it proves nothing.
        # An answer without commands tells the worker the term.
        return []
    new_session = report.session > machine.session
    _update_responsiveness(cluster, machine, report, new_session, now, direct)
    _update_contact(machine, report, now, direct)
    _complete_boot(cluster, machine, now)
    _apply_reclaim_notice(cluster, machine, report, now)
    listed, commands = _reconcile_listed_tasks(cluster, machine, report, now)
    # A response to /commands may have been made while the answer to a report was in flight, so only a report shows that
    # a start did not take effect. A new session, however, has no tasks of the session before it and discards answers to
    # that session's reports.
    if not direct or new_session:
        _reconcile_absent_tasks(cluster, machine, report, listed, now, direct)
    commands += _commands_for_exited_tasks(cluster, machine, report, now)
    return commands


def _is_duplicate_name(machine: Machine, report: worker_messages.Report) -> bool:
    """Whether a second worker reports under the machine's name: from another address within the same session.

    The second worker's task list says nothing about the first worker's tasks, so only the first one's reports count.
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
    """Update whether this node's commands reach the machine; must run before the report's session is taken over."""
    if not direct:
        _check_commands_acknowledged(cluster, machine, report, new_session, now)
    elif machine.state is MachineState.UNRESPONSIVE:
        machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)  # it has answered a request of this node
        log.info("machine %s: responsive again", machine.name)
        cluster.changed = True


def _update_contact(machine: Machine, report: worker_messages.Report, now: float, direct: bool) -> None:
    """Store the report's session, sequence number and address, and the time of the latest report."""
    machine.session, machine.seq = report.session, report.seq
    if not direct or machine.last_heard is None:
        # A machine that answers requests but reaches no node gets no starts, and nothing renews its lease, so it counts
        # as silent. When its answers counted as contact, its replicas were not replaced until it reached a node again.
        machine.last_heard = now
    machine.addr = report.addr


def _complete_boot(cluster: ClusterState, machine: Machine, now: float) -> None:
    """Mark a machine as UP on its first report under this term."""
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
    """Apply the tasks that a report lists.

    Returns the listed tasks that are assigned to the machine, and halt commands for those that are not.
    """
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
            # The task is in no record, so no node was allowed to start it. It uses capacity until it is stopped.
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
        # When a gang breaks in this loop, its unsent members on this machine are released and in state GONE already.
        if (
            key not in listed
            and task.state not in (TaskState.PROPOSED, TaskState.GONE)
            and (not direct or _of_older_session(task, report))
        ):
            task_reconciliation.apply_absence(cluster, task, report, now)


def _commands_for_exited_tasks(
    cluster: ClusterState, machine: Machine, report: worker_messages.Report, now: float
) -> list[worker_messages.Command]:
    """The `reap_command` commands for the exited tasks in a report whose exits are recorded.

    A worker ignores the start of an attempt that it still lists, and starts it again once it has forgotten it. So it
    may forget an attempt only when it drops every answer that holds the start.
    """
    commands: list[worker_messages.Command] = []
    machine.forget_old_starts(now)
    for task_report in report.tasks:
        key = task_report.key()
        if (
            key is not None
            and task_report.phase is worker_messages.Phase.EXITED
            and (*key, task_report.attempt) not in machine.start_sent_at
            and _may_remove_exited(cluster, key, machine, task_report.attempt)
        ):
            commands.append(worker_messages.reap_command(task_report.task, task_report.attempt))
    return commands


def _check_commands_acknowledged(
    cluster: ClusterState, machine: Machine, report: worker_messages.Report, new_session: bool, now: float
) -> None:
    """Detect a machine whose reports arrive but which the answers to them do not reach.

    Judged by the machine's reports, never by a single lost answer. A worker's lease runs from its last answered report,
    so if it expired while reports kept arriving, none of the answers reached the worker. A start that was sent in an
    answer shows in the next report unless that answer was lost.
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
    """The tasks whose start was sent in the answer to an earlier report of the same session."""
    return [
        task
        for task in machine.tasks.values()
        if task.state is TaskState.SENT and task.sent_session == report.session and task.sent_seq < report.seq
    ]


def _shows_a_start(report: worker_messages.Report, sent: list[Task]) -> bool:
    """Whether the report lists at least one of the starts that were sent."""
    if not sent:
        return False  # most reports follow no start; for those the task list need not be read
    listed = {task_report.key(): task_report.attempt for task_report in report.tasks}
    return any(listed.get((task.job.ref, task.index)) == task.attempt for task in sent)


def _session_lost_while_reporting(cluster: ClusterState, machine: Machine, new_session: bool, now: float) -> bool:
    """Whether the worker's lease expired although its reports arrived, so that none of the answers reached it."""
    return (
        new_session
        and machine.session > 0
        and machine.last_heard is not None
        and now - machine.last_heard < cluster.settings.settings.workers.lease_s * constants.UNRESPONSIVE_LEASE_SHARE
    )


def _may_remove_exited(cluster: ClusterState, key: tuple[str, int], machine: Machine, attempt: int) -> bool:
    """Whether the worker may forget an exited task: once the record no longer assigns the task to it (invariant 6).

    For a completed task, that is once its completion is committed.
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
    """The start and halt commands due on a machine; with `cancelled_only` only those that halt cancelled tasks.

    Invariant 3: starts are sent nowhere else than here, in the response to a report.
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
            machine.start_sent_at[task.job.ref, task.index, task.attempt] = now
            task.move(TaskEvent.SEND, now)
    return commands


def _of_older_session(task: Task, report: worker_messages.Report) -> bool:
    """Whether the task was certainly started in an earlier session than the report's.

    This is not known of an inherited task: the previous leader may have sent its start in an answer that is still in
    flight.
    """
    return task.state in PRESENT or (task.state is TaskState.SENT and task.sent_session < report.session)
