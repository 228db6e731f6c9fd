"""What job records say, taken into the picture. The record is the truth about places."""

from __future__ import annotations

import logging

from . import records
from .entities import Job, Machine, Task
from .job import JobEvent, JobState
from .machine import MachineState
from .picture import TIDY, Picture
from .task import TaskEvent, TaskState

log = logging.getLogger(__name__)

_RECORDED_END = {JobState.DONE: JobEvent.RECORD_DONE, JobState.CANCELLED: JobEvent.RECORD_CANCELLED}


def apply_record(picture: Picture, ref: str, version: int, record: records.JobRecord, now: float) -> Job | None:
    """Take over what a record says; the record is the truth about places."""
    job = picture.jobs.get(ref)
    if version <= (job.version if job is not None else picture.over.get(ref, 0)):
        return job
    loaded = records.unpack(record)
    known = job is not None
    if job is not None and _placed_by_others(job, loaded):
        # This picture is out of date. What it holds is not written again: it keeps the version that it was read at.
        picture.superseded = True
        return job
    if job is None:
        if loaded.state is not JobState.OPEN and not loaded.places:
            return None
        job = Job(ref, loaded.spec, loaded.submitted, done=loaded.done, waits_since=now)
        picture.jobs[ref] = job
        spec = job.spec
        if spec.due_s is None and loaded.state is JobState.OPEN:
            picture.on_urgent()
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
        if loaded.done.low > job.done.low:
            loaded.done.above |= {i for i in job.done.above if i >= loaded.done.low}
            job.done = records.DoneSet(loaded.done.count, loaded.done.low, loaded.done.above)
    job.next_attempt = max(job.next_attempt, loaded.next_attempt)
    _take_version(job, version, loaded)
    for index, (name, attempt) in loaded.places.items():
        task = job.active.get(index)
        if task is not None and (task.machine.name, task.attempt) == (name, attempt):
            if task.state is TaskState.PROPOSED:
                task.move(TaskEvent.COMMIT, now)
            continue
        if task is not None:
            picture.drop(task, TaskEvent.REJECT, now)
        if name in picture.deleted:
            job.mark(TIDY)
            continue
        _inherit(picture, job, index, name, attempt, now)
    for task in list(job.active.values()):
        if task.state is TaskState.PROPOSED and task.index not in loaded.places:
            picture.drop(task, TaskEvent.REJECT, now)
    if _end(job, loaded) and job.state is JobState.CANCELLED:
        job.cancelled = loaded.cancelled
        if known:
            job.open_at = picture.watched_at if job.open_before is None else job.open_before
    job.open_before = None
    if job.state is JobState.CANCELLED:
        picture.stop_all(job, now, "cancelled")
    picture.changed = True
    return job


def _placed_by_others(job: Job, loaded: records.Loaded) -> bool:
    """Does the record name another place for a task that holds one here? Only another leader can have moved it."""
    for index, place in loaded.places.items():
        task = job.active.get(index)
        if task is not None and task.state is not TaskState.PROPOSED and (task.machine.name, task.attempt) != place:
            log.info("%s: the record names %s, not %s: another node leads", task.name, place[0], task.machine.name)
            return True
    return False


def _take_version(job: Job, version: int, loaded: records.Loaded) -> None:
    """The one place where a record's version is taken over, and with it all that a later write goes by."""
    job.version = version
    job.recorded = loaded.places
    job.recorded_state = loaded.state


def _end(job: Job, loaded: records.Loaded) -> bool:
    """A recorded end is the job's, whatever this leader has seen or decided meanwhile; was it news?"""
    if not loaded.state.final or job.state.final:
        return False
    job.move(_RECORDED_END[loaded.state])
    return True


def _inherit(picture: Picture, job: Job, index: int, name: str, attempt: int, now: float) -> None:
    """A place that a record names may be taken: it counts, and it is not started elsewhere (invariant 2)."""
    machine = picture.machines.get(name)
    if machine is None:
        known_since = picture.silent_since.get(name, now)
        machine = Machine(name, None, "", "", False, MachineState.INHERITED, known_since, now)
        picture.machines[name] = machine
    picture.hold(Task(job, index, attempt, machine, TaskState.UNKNOWN, now))


def committed(picture: Picture, job: Job, version: int, record: records.JobRecord, now: float) -> None:
    """A write of this job succeeded; its starts may now be sent (invariant 2)."""
    loaded = records.unpack(record)
    if version > job.version:  # otherwise its user's cancellation has been heard of before the write's answer
        _take_version(job, version, loaded)
        _end(job, loaded)
    for index, place in loaded.places.items():
        task = job.active.get(index)
        if task and task.state is TaskState.PROPOSED and (task.machine.name, task.attempt) == place:
            task.move(TaskEvent.COMMIT, now)
            if not job.is_open or task.machine.state is not MachineState.UP:
                picture.stop(task, 0.0, now, "no longer wanted")
    if not job.is_open and not job.active and not job.recorded and not job.dirty:
        picture.forget(job)
