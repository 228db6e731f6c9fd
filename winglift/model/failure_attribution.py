"""Is the machine faulty, or was the job submitted with a mistake? Told apart by where else either of them succeeds.

Eight tasks of one mistaken array failed on one machine at once, and the machine was emptied of its replicas and given
back: so a job counts against a machine once only, unless it is proven sound elsewhere, and not at all once it has
failed on several machines.
"""

from __future__ import annotations

from .. import constants
from .entities import Job, Machine
from .task_state import TaskState


def job_is_sound(job: Job, now: float) -> bool:
    """Has the job shown that it can run: by a task that completed, or by one that has run for long?"""
    return job.has_completed_task or any(
        t.state is TaskState.RUNNING and t.running_since is not None and now - t.running_since >= constants.SOUND_RUN_S
        for t in job.active.values()
    )


def job_is_suspect(job: Job, now: float) -> bool:
    """Does it look like a job with a mistake? It is then tried rarely, a task at a time, at nobody's cost."""
    return len(job.failed_on) >= constants.SUSPECT_JOB_MACHINES and not job_is_sound(job, now)


def machine_is_faulty(machine: Machine, now: float) -> bool:
    """Have enough tasks failed there that can't be blamed on their jobs?"""
    doubts = 0
    for job, failures in machine.attributed_failures.items():
        if job_is_sound(job, now):
            doubts += failures
        elif len(job.failed_on) < constants.SUSPECT_JOB_MACHINES:
            doubts += 1
    return doubts >= constants.FAULTY_MACHINE_FAILURES


def record_failure(job: Job, machine: Machine) -> None:
    """A task of the job ended with an error there."""
    job.failed_on[machine.name] = None
    while len(job.failed_on) > constants.AVOIDED_MACHINES_MAX:
        del job.failed_on[next(iter(job.failed_on))]
    machine.attributed_failures[job] = machine.attributed_failures.get(job, 0) + 1


def exonerate_jobs_on(machine: Machine, now: float) -> None:
    """What failed there says nothing about its jobs any more."""
    for job in machine.attributed_failures:
        was = job_is_suspect(job, now)
        job.failed_on.pop(machine.name, None)
        if was and not job_is_suspect(job, now):
            job.retry_not_before = min(job.retry_not_before, now)


def record_completion(job: Job, machine: Machine) -> None:
    """A task of the job is done there: both are sound."""
    job.has_completed_task = True
    job.failed_rounds = 0
    machine.attributed_failures.clear()


def retry_delay_s(job: Job, now: float) -> float:
    """How long the job waits after its latest round of failures."""
    most = constants.BACKOFF_SUSPECT_S if job_is_suspect(job, now) else constants.BACKOFF_MAX_S
    return min(most, constants.BACKOFF_FIRST_S * 2 ** min(job.failed_rounds, 10))
