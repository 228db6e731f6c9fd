"""Reconciliation of single tasks with a worker's report: phases, exits and absence."""

from __future__ import annotations

import logging

from ..wire import workers as worker_messages
from ..wire.users import Kind
from . import failure_attribution
from .cluster_state import ClusterState
from .entities import Job, Machine, Task
from .job_state import JobEvent, JobState
from .machine_state import MachineEvent, MachineState
from .task_state import TaskEvent, TaskState
from .write_priority import WritePriority

log = logging.getLogger(__name__)

_EVENT_OF_PHASE = {
    worker_messages.Phase.FETCHING: TaskEvent.SEEN_FETCHING,
    worker_messages.Phase.WAITING: TaskEvent.SEEN_WAITING,
    worker_messages.Phase.RUNNING: TaskEvent.SEEN_RUNNING,
    worker_messages.Phase.SAVING: TaskEvent.SEEN_SAVING,
}

# The run time of a job class as a ratio of the owners' estimates is an exponential moving average over completed tasks,
# whose ratios are clamped to these bounds.
_RUNTIME_RATIO_WEIGHT = 0.1
_RUNTIME_RATIO_MIN = 0.2
_RUNTIME_RATIO_MAX = 5.0

_BACKOFF_REASONS = (
    worker_messages.ExitReason.ERROR,
    worker_messages.ExitReason.NO_ROOM,
    worker_messages.ExitReason.BUSY,
    worker_messages.ExitReason.UNKNOWN,
)


def apply_task_report(cluster: ClusterState, task: Task, task_report: worker_messages.TaskReport, now: float) -> None:
    """Apply the phase in which a report lists a task; `now` is monotonic time in s."""
    job, machine = task.job, task.machine
    if task_report.phase is worker_messages.Phase.EXITED:
        _apply_exit(cluster, task, task_report, now)
        return
    previous = task.state
    task.move(_EVENT_OF_PHASE[task_report.phase], now)
    if previous is not task.state:
        cluster.changed = True
        log.debug(
            "task %s: phase changed, attempt=%d machine=%s state=%s",
            task.name,
            task.attempt,
            machine.name,
            task.state.name,
        )
        if task.state in (TaskState.RUNNING, TaskState.WAITING):
            machine.track_image(job.spec.image, job.spec.image_gb)
        if task.state is TaskState.RUNNING:
            job.gang_started = True
    if not job.is_open and not task.stopping and job.state is JobState.CANCELLED:
        cluster.request_stop(task, 0.0, now, "cancelled")


def apply_absence(cluster: ClusterState, task: Task, report: worker_messages.Report, now: float) -> None:
    """Apply the absence of a task from a newer report, which proves that it is not on the machine."""
    job = task.job
    if task.state is TaskState.SENT and report.session == task.sent_session and report.seq <= task.sent_seq:
        return
    # Records may add up to more than a team's limit: a task had left its machine and its quota was given to another
    # job, but all nodes stopped before its own record was updated. Such a task must not be started again: once that
    # brought a team to 25 GPUs with a limit of 24 (invariant 5: no placement exceeds the limit).
    over_limit = task.state is TaskState.UNKNOWN and cluster.quota.is_over_limit(job.spec.team)
    task.move(TaskEvent.ABSENT, now)
    gone = task.state is TaskState.GONE
    if gone or over_limit or task.stopping or not job.is_open or not task.machine.accepts_tasks:
        if not gone:
            task.move(TaskEvent.MACHINE_GONE, now)
        log.debug("task %s: no longer on machine, machine=%s", task.name, task.machine.name)
        cluster.release(task, now)
        if job.kind is Kind.GANG:
            cluster.break_gang(job, now, f"{task.name} is no longer on its machine")
    elif job.kind is Kind.GANG and any(t.state is TaskState.RUNNING for t in job.active.values()):
        task.move(TaskEvent.MACHINE_GONE, now)
        cluster.release(task, now)
        cluster.break_gang(job, now, f"{task.name} is missing from its machine")


def _apply_exit(cluster: ClusterState, task: Task, task_report: worker_messages.TaskReport, now: float) -> None:
    job = task.job
    run_s = now - task.running_since if task.running_since is not None else None
    task.move(TaskEvent.SEEN_EXITED, now)
    exit_reason = task_report.why or worker_messages.ExitReason.ERROR
    if exit_reason == worker_messages.ExitReason.DONE:
        _apply_completion(cluster, task, task_report, run_s, now)
    else:
        cluster.release(task, now)
        _apply_failure(cluster, task, exit_reason, now)
    job.request_write(WritePriority.CLEANUP)


def _apply_completion(
    cluster: ClusterState, task: Task, task_report: worker_messages.TaskReport, run_s: float | None, now: float
) -> None:
    """Apply the completion of a task; `run_s`: the seconds for which it was seen running, if it was."""
    job, machine = task.job, task.machine
    log.debug("task %s: done, attempt=%d machine=%s", task.name, task.attempt, machine.name)
    failure_attribution.record_completion(job, machine)
    _mark_done(job, task)
    job.request_write(WritePriority.PROGRESS)
    if run_s is not None and job.spec.estimate_s > 0 and not task_report.saved:
        _update_runtime_ratio(cluster, job, run_s)
    if job.done.is_complete() and job.is_open:
        job.move(JobEvent.COMPLETE)
        job.request_write(WritePriority.URGENT)
        cluster.on_all_tasks_done()
        log.debug("job %s: all tasks done", job.ref)
    cluster.release(task, now)
    for name in list(job.failed_on):
        _drain_if_faulty(cluster, cluster.machines.get(name), now)


def _mark_done(job: Job, task: Task) -> None:
    if job.kind is Kind.GANG:
        # All tasks of a gang complete together.
        for index in range(job.spec.tasks):
            job.done.add(index)
    else:
        job.done.add(task.index)


def _update_runtime_ratio(cluster: ClusterState, job: Job, run_s: float) -> None:
    """Update the ratio of run time to the owner's estimate for the job's class."""
    ratio = max(_RUNTIME_RATIO_MIN, min(_RUNTIME_RATIO_MAX, run_s / job.spec.estimate_s))
    average = cluster.runtime_ratio.get(job.spec.job_class, 1.0)
    cluster.runtime_ratio[job.spec.job_class] = average + _RUNTIME_RATIO_WEIGHT * (ratio - average)


def _apply_failure(cluster: ClusterState, task: Task, exit_reason: str, now: float) -> None:
    job, machine = task.job, task.machine
    log.debug("task %s: exited, attempt=%d machine=%s reason=%s", task.name, task.attempt, machine.name, exit_reason)
    if exit_reason == worker_messages.ExitReason.ERROR:
        _attribute_failure(cluster, job, machine, now)
    if exit_reason in _BACKOFF_REASONS:
        if now >= job.retry_not_before:
            # Tasks that fail together count as one round; otherwise eight of them led to the longest backoff at once.
            job.failed_rounds += 1
        if exit_reason != worker_messages.ExitReason.ERROR or failure_attribution.job_is_suspect(job, now):
            job.retry_not_before = max(job.retry_not_before, now + failure_attribution.retry_delay_s(job, now))
    if job.kind is Kind.GANG:
        cluster.break_gang(job, now, f"{task.name} ended: {exit_reason}")


def _attribute_failure(cluster: ClusterState, job: Job, machine: Machine, now: float) -> None:
    """Record a failure of the job on the machine, and act if that makes the machine faulty or the job suspect."""
    was_suspect = failure_attribution.job_is_suspect(job, now)
    failure_attribution.record_failure(job, machine)
    _drain_if_faulty(cluster, machine, now)
    if failure_attribution.job_is_suspect(job, now) and not was_suspect:
        # The failures so far count as one round, however many tasks failed and whenever each was reported. Otherwise
        # the first backoff was often the longest one, 120 s, even for a sound job that had met two faulty machines.
        job.failed_rounds = 0
        log.info("job %s: suspect, retried with backoff, failed_on=%s", job.ref, ", ".join(job.failed_on))


def _drain_if_faulty(cluster: ClusterState, machine: Machine | None, now: float) -> None:
    if machine is not None and machine.state is MachineState.UP and failure_attribution.machine_is_faulty(machine, now):
        log.info(
            "machine %s: faulty, draining, failed_tasks=%d", machine.name, sum(machine.attributed_failures.values())
        )
        failure_attribution.clear_job_failures_on(machine, now)
        machine.drain_reason = "faulty"
        machine.move(MachineEvent.DRAIN)
        cluster.changed = True
