"""Attribution of failed tasks to a faulty machine or to a faulty job, based on where else each of them succeeds.

When eight tasks of a faulty array failed on one machine at once, the machine was drained of its replicas and deleted.
So all failures of a job together count against a machine only once, unless the job is known to be sound, and not at all
once the job has failed on several machines. All times are monotonic times in s.
"""

from __future__ import annotations

from .. import constants
from .entities import Job, Machine
from .task_state import TaskState


def job_is_sound(job: Job, now: float) -> bool:
    """Whether the job is known to be able to run: a task of it has completed, or has run for `SOUND_JOB_RUN_MIN_S`."""
    return job.has_completed_task or any(
        t.state is TaskState.RUNNING
        and t.running_since is not None
        and now - t.running_since >= constants.SOUND_JOB_RUN_MIN_S
        for t in job.active.values()
    )


def job_is_suspect(job: Job, now: float) -> bool:
    """Whether the job is probably faulty. Such a job is retried rarely, one task at a time, and preempts nothing."""
    return len(job.failed_on) >= constants.SUSPECT_JOB_MACHINES and not job_is_sound(job, now)


def machine_is_faulty(machine: Machine, now: float) -> bool:
    """Whether enough failures on the machine are attributed to it rather than to the failed tasks' jobs."""
    attributed = 0
    for job, failures in machine.attributed_failures.items():
        if job_is_sound(job, now):
            attributed += failures
        elif len(job.failed_on) < constants.SUSPECT_JOB_MACHINES:
            attributed += 1
    return attributed >= constants.FAULTY_MACHINE_FAILURES


def record_failure(job: Job, machine: Machine) -> None:
    """Record that a task of the job exited with an error on the machine."""
    job.failed_on[machine.name] = None
    while len(job.failed_on) > constants.AVOIDED_MACHINES_MAX:
        del job.failed_on[next(iter(job.failed_on))]
    machine.attributed_failures[job] = machine.attributed_failures.get(job, 0) + 1


def clear_job_failures_on(machine: Machine, now: float) -> None:
    """Clear a faulty machine's failures from the jobs that failed there.

    A job that is no longer suspect may be retried at once.
    """
    for job in machine.attributed_failures:
        was_suspect = job_is_suspect(job, now)
        job.failed_on.pop(machine.name, None)
        if was_suspect and not job_is_suspect(job, now):
            job.retry_not_before = min(job.retry_not_before, now)


def record_completion(job: Job, machine: Machine) -> None:
    """Record that a task of the job completed on the machine, which shows that both are sound."""
    job.has_completed_task = True
    job.failed_rounds = 0
    machine.attributed_failures.clear()


def retry_delay_s(job: Job, now: float) -> float:
    """The backoff in s after the job's latest round of failures."""
    max_backoff_s = constants.SUSPECT_JOB_BACKOFF_MAX_S if job_is_suspect(job, now) else constants.START_BACKOFF_MAX_S
    return min(max_backoff_s, constants.START_BACKOFF_INITIAL_S * 2 ** min(job.failed_rounds, 10))
