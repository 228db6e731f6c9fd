"""Checks of the protocol's rules against the answers that users got and the tasks that machines ran.

Each rule is a function that returns a description of every violation.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

FINAL_STATUSES = ("done", "aborted")


@dataclass(frozen=True)
class UserAnswer:
    """One answer to a user's request about a job."""

    ref: str
    request_type: str  # "submit", "status" or "cancel"
    address: str  # of the node that was asked
    asked_at: float
    answered_at: float
    code: int  # HTTP status, or 0 if no answer came
    status: str = ""  # of the job


def acceptance_time(answers: Iterable[UserAnswer]) -> float:
    """When a user was first told, by any answer about a job, that it is accepted; infinity if never."""
    return min((answer.answered_at for answer in answers if answer.code in (200, 201)), default=math.inf)


def contradictions(history: list[UserAnswer]) -> list[str]:
    """Answers that contradict one that a user had received before asking.

    Answers to requests that overlap in time may come in either order.
    """
    violations: list[str] = []
    by_job: dict[str, list[UserAnswer]] = defaultdict(list)
    for answer in history:
        by_job[answer.ref].append(answer)
    for ref, answers in by_job.items():
        successful = [a for a in answers if a.code in (200, 201)]
        accepted_at = acceptance_time(answers)
        final_answers = [a for a in successful if a.status in FINAL_STATUSES]
        if len({a.status for a in final_answers}) > 1:
            violations.append(f"{ref}: two final statuses reported: {sorted({a.status for a in final_answers})}")
        ended_at = min((a.answered_at for a in final_answers), default=None)
        cancel_asked_at = min((a.asked_at for a in answers if a.request_type == "cancel"), default=None)
        for a in answers:
            if a.asked_at > accepted_at and a.code in (400, 404, 422):
                violations.append(
                    f"{ref}: {a.code} for a {a.request_type} at {a.asked_at:.2f}, accepted at {accepted_at:.2f}"
                )
            if (
                ended_at is not None
                and a.asked_at > ended_at
                and a.code in (200, 201)
                and a.status not in FINAL_STATUSES
            ):
                violations.append(f"{ref}: {a.status} by {a.address} at {a.answered_at:.2f}, ended at {ended_at:.2f}")
            if a.status == "aborted" and (cancel_asked_at is None or a.answered_at < cancel_asked_at):
                violations.append(f"{ref}: cancelled by nobody, but reported as cancelled at {a.answered_at:.2f}")
            if a.code == 201 and any(b.answered_at < a.asked_at for b in successful if b.request_type != "submit"):
                violations.append(f"{ref}: accepted as a new job again at {a.answered_at:.2f}")
    return violations


@dataclass
class Job:
    """A job as submitted, and its progress as the machines and the user's answers show it."""

    spec: dict[str, Any]
    cancel_confirmed_at: float | None = None  # when a user was first told that it is cancelled
    done: set[str] = field(default_factory=set)  # tasks that have completed
    accepted: float | None = None  # when its user was told that it is accepted
    began: float = math.inf  # when its first task started

    def names(self) -> set[str]:
        return {f"{self.spec['ref']}/{n}" for n in range(self.spec["pieces"])}


@dataclass(frozen=True)
class TaskOnMachine:
    """A task that is on a machine."""

    task: str
    machine: str
    zone: str
    spot: bool = False

    @property
    def ref(self) -> str:
        return self.task.partition("/")[0]


def start_violations(
    start: TaskOnMachine,
    others: Iterable[TaskOnMachine],
    jobs: dict[str, Job],
    gpus_max: float,
    cancel_s: float,
    now: float,
) -> list[str]:
    """The rules that the start of a task violates, given all other tasks that are on machines at that time."""
    job, running, violations = jobs.get(start.ref), list(others), []
    start_text = f"{start.task} on {start.machine} at {now:.2f}"
    if any(o.task == start.task for o in running):
        violations.append(f"ran_twice: {start_text}, and on {[o.machine for o in running if o.task == start.task]}")
    if job is None:
        return [*violations, f"unknown: {start_text} belongs to no job"]
    spec = job.spec
    used_gpus = sum(
        jobs[o.ref].spec["gpus"] for o in running if o.ref in jobs and jobs[o.ref].spec["owner"] == spec["owner"]
    )
    if used_gpus + spec["gpus"] > gpus_max:
        violations.append(f"quota: {start_text}, its team already uses {used_gpus} GPUs")
    zones = [o.zone for o in running if o.ref == start.ref and o.task != start.task]
    if spec.get("hall") not in (None, start.zone):
        violations.append(f"wrong_place: {start_text} in {start.zone}")
    if start.spot and not spec["loaner"]:
        violations.append(f"wrong_place: {start_text}, a spot machine, which the job excludes")
    if spec["samePlace"] and any(zone != start.zone for zone in zones):
        violations.append(f"wrong_place: {start_text} in {start.zone}, others in {zones}")
    if spec["apart"] and zones.count(start.zone) + 1 > (spec["pieces"] + 1) // 2:
        violations.append(f"wrong_place: {start_text} in {start.zone}, others in {zones}, not spread over zones")
    if job.cancel_confirmed_at is not None and now > job.cancel_confirmed_at + cancel_s:
        violations.append(f"ran_cancelled: {start_text}, cancelled at {job.cancel_confirmed_at:.2f}")
    return violations


def done_violations(job: Job) -> list[str]:
    """Whether a job that was just reported as done has tasks that have not completed."""
    unfinished = job.names() - job.done
    return [f"not_done: {job.spec['ref']}, not completed: {sorted(unfinished)}"] if unfinished else []


def unanswered_jobs(
    history: Iterable[UserAnswer],
    accepted: Iterable[str],
    troubles_over_at: float,
    end_at: float,
    max_gap_s: float = 75.0,
) -> list[str]:
    """Jobs about which no request was answered for more than `max_gap_s` after the last injected fault had ended."""
    answer_times: dict[str, list[float]] = defaultdict(list)
    for answer in history:
        if answer.code in (200, 201):
            answer_times[answer.ref].append(answer.answered_at)
    violations = []
    for ref in accepted:
        times = sorted([troubles_over_at, *(t for t in answer_times[ref] if troubles_over_at < t < end_at), end_at])
        gap = max(b - a for a, b in pairwise(times))
        if gap > max_gap_s:
            violations.append(f"forgotten: no request about {ref} was answered for {gap:.0f} s")
    return violations


def tasks_waiting_below_quota(
    jobs: dict[str, Job], ended: Iterable[str], tasks: Iterable[TaskOnMachine], gpus_max: float
) -> set[str]:
    """Tasks that are neither completed nor on a machine now, although their team is below its GPU limit.

    The cloud always has a suitable machine, so no task may stay in this set for 90 s.
    """
    running, waiting, ended_refs = list(tasks), set[str](), set(ended)
    for ref, job in jobs.items():
        placed = {o.task for o in running if o.ref == ref}
        unplaced = job.names() - job.done - placed
        used_gpus = sum(
            jobs[o.ref].spec["gpus"]
            for o in running
            if o.ref in jobs and jobs[o.ref].spec["owner"] == job.spec["owner"]
        )
        # The tasks of a gang start together or not at all.
        tasks_to_start = len(unplaced) if job.spec["shape"] == "ensemble" else 1
        if (
            ref not in ended_refs
            and job.cancel_confirmed_at is None
            and unplaced
            and used_gpus + tasks_to_start * job.spec["gpus"] <= gpus_max
        ):
            waiting |= unplaced
    return waiting


def wrongly_accepted(history: Iterable[UserAnswer], invalid_refs: Iterable[str]) -> list[str]:
    """Answers with status 200 or 201 about jobs that cannot run, lack a field or were never submitted."""
    invalid = set(invalid_refs)
    return [
        f"invented: {t.ref} got {t.code} for a {t.request_type}"
        for t in history
        if t.ref in invalid and t.code in (200, 201)
    ]


def underserved_groups(
    accepted_jobs: list[tuple[str, str, float, float, float]], max_wait_s: float = 240.0
) -> list[str]:
    """The job classes, teams and groups of large jobs of which less than half were served.

    A job of a class or team is served if it began; a large one, if it began within `max_wait_s`. The large jobs of
    a class are its largest tenth, at least one. `accepted_jobs` holds class, team, size, the time when a job was
    accepted and the time when it began (infinity: never).
    """
    groups: dict[str, list[bool]] = {}
    for name in {job[0] for job in accepted_jobs}:
        jobs = sorted((j for j in accepted_jobs if j[0] == name), key=lambda j: -j[2])
        groups[f"largest of {name}"] = [
            began - at <= max_wait_s for _, _, _, at, began in jobs[: max(1, len(jobs) // 10)]
        ]
    for name, team, _, _, began in accepted_jobs:
        groups.setdefault(f"class {name}", []).append(began < float("inf"))
        groups.setdefault(f"team {team}", []).append(began < float("inf"))
    return sorted(name for name, begun in groups.items() if 2 * sum(begun) < len(begun))
