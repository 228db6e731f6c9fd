"""What job records say, taken into the picture. The record is the truth about places."""

from __future__ import annotations

import logging

from . import records
from .cluster_state import ClusterState
from .entities import Job, Machine, Task
from .job_state import JobEvent, JobState
from .machine_state import MachineState
from .task_state import TaskEvent, TaskState
from .write_priority import WritePriority

log = logging.getLogger(__name__)

_RECORDED_END = {JobState.DONE: JobEvent.RECORD_DONE, JobState.CANCELLED: JobEvent.RECORD_CANCELLED}


def apply_record(cluster: ClusterState, ref: str, version: int, record: records.JobRecord, now: float) -> Job | None:
    """Take over what a record says; the record is the truth about places."""
    job = cluster.jobs.get(ref)
    if version <= (job.version if job is not None else cluster.finished_versions.get(ref, 0)):
        return job
    loaded = records.unpack(record)
    known = job is not None
    if job is not None and _assigned_by_other_leader(job, loaded):
        # This picture is out of date. What it holds is not written again: it keeps the version that it was read at.
        cluster.superseded = True
        return job
    if job is None:
        if loaded.state is not JobState.OPEN and not loaded.assignments:
            return None
        job = Job(ref, loaded.spec, loaded.submitted_at, done=loaded.done, queued_since=now)
        cluster.jobs[ref] = job
        spec = job.spec
        if spec.due_s is None and loaded.state is JobState.OPEN:
            cluster.on_urgent()
        log.debug(
            "new %s: %s %s of %s, %d tasks of %g GPUs, priority %s, due in %s",
            ref,
            spec.job_class,
            spec.kind.value,
            spec.team,
            spec.tasks,
            spec.gpus,
            spec.priority.value,
            spec.due_s,
        )
    else:
        for index in loaded.done.above:
            job.done.add(index)
        if loaded.done.first_open > job.done.first_open:
            loaded.done.above |= {i for i in job.done.above if i >= loaded.done.first_open}
            job.done = records.CompletedTasks(loaded.done.count, loaded.done.first_open, loaded.done.above)
    job.next_attempt = max(job.next_attempt, loaded.next_attempt)
    _take_version(job, version, loaded)
    for index, (name, attempt) in loaded.assignments.items():
        task = job.active.get(index)
        if task is not None and (task.machine.name, task.attempt) == (name, attempt):
            if task.state is TaskState.PROPOSED:
                task.move(TaskEvent.COMMIT, now)
            continue
        if task is not None:
            cluster.transition_and_release(task, TaskEvent.REJECT, now)
        if name in cluster.deleted_machines:
            job.request_write(WritePriority.CLEANUP)
            continue
        _inherit_assignment(cluster, job, index, name, attempt, now)
    for task in list(job.active.values()):
        if task.state is TaskState.PROPOSED and task.index not in loaded.assignments:
            cluster.transition_and_release(task, TaskEvent.REJECT, now)
    if _apply_recorded_end(job, loaded) and job.state is JobState.CANCELLED:
        job.cancelled_at = loaded.cancelled_at
        if known:
            job.known_open_at = (
                cluster.records_current_at if job.known_open_before_write is None else job.known_open_before_write
            )
    job.known_open_before_write = None
    if job.state is JobState.CANCELLED:
        cluster.request_stop_of_all(job, now, "cancelled")
    cluster.changed = True
    return job


def _assigned_by_other_leader(job: Job, loaded: records.UnpackedRecord) -> bool:
    """Does the record name another place for a task that holds one here? Only another leader can have moved it."""
    for index, place in loaded.assignments.items():
        task = job.active.get(index)
        if task is not None and task.state is not TaskState.PROPOSED and (task.machine.name, task.attempt) != place:
            log.info("%s: the record names %s, not %s: another node leads", task.name, place[0], task.machine.name)
            return True
    return False


def _take_version(job: Job, version: int, loaded: records.UnpackedRecord) -> None:
    """The one place where a record's version is taken over, and with it all that a later write goes by."""
    job.version = version
    job.committed_assignments = loaded.assignments
    job.committed_state = loaded.state


def _apply_recorded_end(job: Job, loaded: records.UnpackedRecord) -> bool:
    """A recorded end is the job's, whatever this leader has seen or decided meanwhile; was it news?"""
    if not loaded.state.is_final or job.state.is_final:
        return False
    job.move(_RECORDED_END[loaded.state])
    return True


def _inherit_assignment(cluster: ClusterState, job: Job, index: int, name: str, attempt: int, now: float) -> None:
    """A place that a record names may be taken: it counts, and it is not started elsewhere (invariant 2)."""
    machine = cluster.machines.get(name)
    if machine is None:
        known_since = cluster.silent_since.get(name, now)
        machine = Machine(name, None, "", "", False, MachineState.INHERITED, known_since, now)
        cluster.machines[name] = machine
    cluster.assign(Task(job, index, attempt, machine, TaskState.UNKNOWN, now))


def apply_commit(cluster: ClusterState, job: Job, version: int, record: records.JobRecord, now: float) -> None:
    """A write of this job succeeded; its starts may now be sent (invariant 2)."""
    loaded = records.unpack(record)
    if version > job.version:  # otherwise its user's cancellation has been heard of before the write's answer
        _take_version(job, version, loaded)
        _apply_recorded_end(job, loaded)
    for index, place in loaded.assignments.items():
        task = job.active.get(index)
        if task and task.state is TaskState.PROPOSED and (task.machine.name, task.attempt) == place:
            task.move(TaskEvent.COMMIT, now)
            if not job.is_open or task.machine.state is not MachineState.UP:
                cluster.request_stop(task, 0.0, now, "no longer wanted")
    if not job.is_open and not job.active and not job.committed_assignments and not job.pending_write:
        cluster.forget_job(job)
