"""Is the machine faulty, or was the job submitted with a mistake? Told apart by where else either of them succeeds.

Eight tasks of one mistaken array failed on one machine at once, and the machine was emptied of its replicas and given
back: so a job counts against a machine once only, unless it is proven sound elsewhere, and not at all once it has
failed on several machines.
"""

from __future__ import annotations

from .. import constants as c
from .entities import Job, Machine
from .task import TaskState


def sound(job: Job, now: float) -> bool:
    """Has the job shown that it can run: by a task that completed, or by one that has run for long?"""
    return job.proven or any(
        t.state is TaskState.RUNNING and t.running_since is not None and now - t.running_since >= c.SOUND_RUN_S
        for t in job.active.values()
    )


def suspect(job: Job, now: float) -> bool:
    """Does it look like a job with a mistake? It is then tried rarely, a task at a time, at nobody's cost."""
    return len(job.failed_on) >= c.ERRORS_JOB and not sound(job, now)


def faulty(machine: Machine, now: float) -> bool:
    """Have enough tasks failed there that can't be blamed on their jobs?"""
    doubts = 0
    for job, failures in machine.blamed.items():
        if sound(job, now):
            doubts += failures
        elif len(job.failed_on) < c.ERRORS_JOB:
            doubts += 1
    return doubts >= c.ERRORS_SICK


def failed(job: Job, machine: Machine) -> None:
    """A task of the job ended with an error there."""
    job.failed_on[machine.name] = None
    while len(job.failed_on) > c.AVOID_MOST:
        del job.failed_on[next(iter(job.failed_on))]
    machine.blamed[job] = machine.blamed.get(job, 0) + 1


def found_faulty(machine: Machine, now: float) -> None:
    """What failed there says nothing about its jobs any more."""
    for job in machine.blamed:
        was = suspect(job, now)
        job.failed_on.pop(machine.name, None)
        if was and not suspect(job, now):
            job.not_before = min(job.not_before, now)


def completed(job: Job, machine: Machine) -> None:
    """A task of the job is done there: both are sound."""
    job.proven = True
    job.failures = 0
    machine.blamed.clear()


def pause_s(job: Job, now: float) -> float:
    """How long the job waits after its latest round of failures."""
    most = c.BACKOFF_SUSPECT_S if suspect(job, now) else c.BACKOFF_MOST_S
    return min(most, c.BACKOFF_FIRST_S * 2 ** min(job.failures, 10))
