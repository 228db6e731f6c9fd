"""Application of job records to the cluster state. The committed record is authoritative for assignments."""

from __future__ import annotations

import logging

from . import records
from .cluster_state import ClusterState
from .entities import Assignment, Job, Machine, Task
from .job_state import JobEvent, JobState
from .machine_state import MachineState
from .task_state import TaskEvent, TaskState
from .write_priority import WritePriority

log = logging.getLogger(__name__)

_EVENT_OF_FINAL_STATE = {JobState.DONE: JobEvent.RECORD_DONE, JobState.CANCELLED: JobEvent.RECORD_CANCELLED}


def apply_record(cluster: ClusterState, ref: str, version: int, record: records.JobRecord, now: float) -> Job | None:
    """Apply a job's record as read at `version`; return the job, or None if it has ended without assignments.

    The record is authoritative for assignments. A version that is not newer than the known one changes nothing. `now`
    is monotonic time in s. Raises InvalidRecord.
    """
    job = cluster.jobs.get(ref)
    if version <= (job.version if job is not None else cluster.finished_versions.get(ref, 0)):
        return job
    loaded = records.unpack(record)
    known = job is not None
    if job is not None and _assigned_by_other_leader(job, loaded):
        # This state is out of date. The job keeps the version at which it was read, so that no write of its outdated
        # assignments can succeed.
        cluster.superseded = True
        return job
    if job is None:
        if loaded.state is not JobState.OPEN and not loaded.assignments:
            return None
        job = _add_job(cluster, ref, loaded, now)
    else:
        _merge_done(job, loaded)
    job.next_attempt = max(job.next_attempt, loaded.next_attempt)
    _take_version(job, version, loaded)
    _apply_assignments(cluster, job, loaded, now)
    _reject_unrecorded_proposals(cluster, job, loaded, now)
    if _apply_final_state(job, loaded) and job.state is JobState.CANCELLED:
        _note_cancellation(cluster, job, loaded, known)
    job.known_open_before_write = None
    if job.state is JobState.CANCELLED:
        cluster.request_stop_of_all(job, now, "cancelled")
    cluster.changed = True
    return job


def _add_job(cluster: ClusterState, ref: str, loaded: records.UnpackedRecord, now: float) -> Job:
    job = Job(ref, loaded.spec, loaded.submitted_at, done=loaded.done, queued_since=now)
    cluster.jobs[ref] = job
    spec = job.spec
    if spec.due_s is None and loaded.state is JobState.OPEN:
        cluster.on_urgent()
    log.debug(
        "job %s: new, class=%s kind=%s team=%s tasks=%d gpus=%g priority=%s due_s=%s",
        ref,
        spec.job_class,
        spec.kind.value,
        spec.team,
        spec.tasks,
        spec.gpus,
        spec.priority.value,
        spec.due_s,
    )
    return job


def _merge_done(job: Job, loaded: records.UnpackedRecord) -> None:
    """Merge the record's completed tasks with those that this leader has seen, without losing any."""
    for index in loaded.done.above:
        job.done.add(index)
    if loaded.done.first_open > job.done.first_open:
        loaded.done.above |= {i for i in job.done.above if i >= loaded.done.first_open}
        job.done = records.CompletedTasks(loaded.done.count, loaded.done.first_open, loaded.done.above)


def _apply_assignments(cluster: ClusterState, job: Job, loaded: records.UnpackedRecord, now: float) -> None:
    """Mark the proposals that the record names as committed, and take over its other assignments."""
    for index, assignment in loaded.assignments.items():
        task = job.active.get(index)
        if task is not None and task.assignment == assignment:
            if task.state is TaskState.PROPOSED:
                task.move(TaskEvent.COMMIT, now)
            continue
        if task is not None:
            cluster.transition_and_release(task, TaskEvent.REJECT, now)
        if assignment.machine in cluster.deleted_machines:
            job.request_write(WritePriority.CLEANUP)
            continue
        _inherit_assignment(cluster, job, index, assignment, now)


def _reject_unrecorded_proposals(cluster: ClusterState, job: Job, loaded: records.UnpackedRecord, now: float) -> None:
    for task in list(job.active.values()):
        if task.state is TaskState.PROPOSED and task.index not in loaded.assignments:
            cluster.transition_and_release(task, TaskEvent.REJECT, now)


def _note_cancellation(cluster: ClusterState, job: Job, loaded: records.UnpackedRecord, known: bool) -> None:
    """Store when the job was cancelled. `known`: this leader knew the job as open before."""
    job.cancelled_at = loaded.cancelled_at
    if not known:
        return
    if job.known_open_before_write is None:
        job.known_open_at = cluster.records_current_at
    else:
        job.known_open_at = job.known_open_before_write


def _assigned_by_other_leader(job: Job, loaded: records.UnpackedRecord) -> bool:
    """Whether the record's assignment of a task differs from this state's, which only another leader can cause."""
    for index, assignment in loaded.assignments.items():
        task = job.active.get(index)
        if task is not None and task.state is not TaskState.PROPOSED and task.assignment != assignment:
            log.info(
                "task %s: assigned by another leader, recorded_machine=%s machine=%s",
                task.name,
                assignment.machine,
                task.machine.name,
            )
            return True
    return False


def _take_version(job: Job, version: int, loaded: records.UnpackedRecord) -> None:
    """Take over a record's version together with the assignments and state committed at it.

    Later writes are conditional on that version. This is done nowhere else.
    """
    job.version = version
    job.committed_assignments = loaded.assignments
    job.committed_state = loaded.state


def _apply_final_state(job: Job, loaded: records.UnpackedRecord) -> bool:
    """Apply a recorded final state, whatever this leader has seen or decided; return whether the job changed."""
    if not loaded.state.is_final or job.state.is_final:
        return False
    job.move(_EVENT_OF_FINAL_STATE[loaded.state])
    return True


def _inherit_assignment(cluster: ClusterState, job: Job, index: int, assignment: Assignment, now: float) -> None:
    """Take over an assignment from a record.

    The task may be running there, so it counts toward its team's limit and is not started elsewhere (invariant 2: a
    task runs only where its committed record says).
    """
    name = assignment.machine
    machine = cluster.machines.get(name)
    if machine is None:
        known_since = cluster.silent_since.get(name, now)
        machine = Machine(name, None, "", "", False, MachineState.INHERITED, known_since, now)
        cluster.machines[name] = machine
    cluster.assign(Task(job, index, assignment.attempt, machine, TaskState.UNKNOWN, now))


def apply_commit(cluster: ClusterState, job: Job, version: int, record: records.JobRecord, now: float) -> None:
    """Apply the successful write of a job's record, whose starts may now be sent (invariant 2: not before the commit).

    `version`: the revision of the write. Raises InvalidRecord.
    """
    loaded = records.unpack(record)
    if version > job.version:  # otherwise the user's later cancellation was received before the answer to this write
        _take_version(job, version, loaded)
        _apply_final_state(job, loaded)
    for index, assignment in loaded.assignments.items():
        task = job.active.get(index)
        if task and task.state is TaskState.PROPOSED and task.assignment == assignment:
            task.move(TaskEvent.COMMIT, now)
            if not job.is_open or task.machine.state is not MachineState.UP:
                cluster.request_stop(task, 0.0, now, "job ended or machine unavailable")
    if not job.is_open and not job.active and not job.committed_assignments and not job.pending_write:
        cluster.forget_job(job)
