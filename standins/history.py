"""The rules of the protocol, judged by what users were told and what the machines ran: each a function of its own."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

ENDS = ("done", "aborted")


@dataclass(frozen=True)
class UserAnswer:
    """One answer to one question about a job."""

    ref: str
    what: str  # "submit", "status" or "cancel"
    node: str  # address asked
    asked: float
    told: float
    code: int
    status: str = ""


def contradictions(history: list[UserAnswer]) -> list[str]:
    """Answers that take back what was told before they were asked for. Two that overlap may come in either order."""
    found: list[str] = []
    by_job: dict[str, list[UserAnswer]] = defaultdict(list)
    for one in history:
        by_job[one.ref].append(one)
    for ref, answers in by_job.items():
        good = [a for a in answers if a.code in (200, 201)]
        first = min((a.told for a in good), default=None)
        ends = [a for a in good if a.status in ENDS]
        if len({a.status for a in ends}) > 1:
            found.append(f"{ref} was told two ends: {sorted({a.status for a in ends})}")
        over = min((a.told for a in ends), default=None)
        cancelled = min((a.asked for a in answers if a.what == "cancel"), default=None)
        for a in answers:
            if first is not None and a.asked > first and a.code in (400, 404, 422):
                found.append(f"{ref}: {a.code} for a {a.what} at {a.asked:.2f}, accepted at {first:.2f}")
            if over is not None and a.asked > over and a.code in (200, 201) and a.status not in ENDS:
                found.append(f"{ref}: {a.status} by {a.node} at {a.told:.2f}, over since {over:.2f}")
            if a.status == "aborted" and (cancelled is None or a.told < cancelled):
                found.append(f"{ref}: cancelled by nobody, called so at {a.told:.2f}")
            if a.code == 201 and any(b.told < a.asked for b in good if b.what != "submit"):
                found.append(f"{ref}: accepted anew at {a.told:.2f}")
    return found


@dataclass
class Job:
    """What is known of a job beside what its user was told."""

    spec: dict[str, Any]
    cancel_confirmed_at: float | None = None  # when its user was first told that it is cancelled
    done: set[str] = field(default_factory=set)  # tasks that have completed
    accepted: float | None = None  # when its user was told so,
    began: float = math.inf  # and when its first task started

    def names(self) -> set[str]:
        return {f"{self.spec['ref']}/{n}" for n in range(self.spec["pieces"])}


@dataclass(frozen=True)
class TaskOnMachine:
    """A task that is on a machine."""

    piece: str
    machine: str
    zone: str
    spot: bool = False

    @property
    def ref(self) -> str:
        return self.piece.partition("/")[0]


def start_violations(
    start: TaskOnMachine,
    others: Iterable[TaskOnMachine],
    jobs: dict[str, Job],
    gpus_max: float,
    cancel_s: float,
    now: float,
) -> list[str]:
    """The rules that a start breaks, given all other tasks that are on machines at that moment."""
    job, on, found = jobs.get(start.ref), list(others), []
    where = f"{start.piece} on {start.machine} at {now:.2f}"
    if any(o.piece == start.piece for o in on):
        found.append(f"ran_twice: {where}, and on {[o.machine for o in on if o.piece == start.piece]}")
    if job is None:
        return [*found, f"unknown: {where} belongs to no job"]
    spec = job.spec
    used = sum(jobs[o.ref].spec["gpus"] for o in on if o.ref in jobs and jobs[o.ref].spec["owner"] == spec["owner"])
    if used + spec["gpus"] > gpus_max:
        found.append(f"quota: {where} beside {used} GPUs")
    zones = [o.zone for o in on if o.ref == start.ref and o.piece != start.piece]
    if spec.get("hall") not in (None, start.zone):
        found.append(f"wrong_place: {where} in {start.zone}")
    if start.spot and not spec["loaner"]:
        found.append(f"wrong_place: {where}, a spot machine")
    if spec["samePlace"] and any(zone != start.zone for zone in zones):
        found.append(f"wrong_place: {where} in {start.zone}, others in {zones}")
    if spec["apart"] and zones.count(start.zone) + 1 > (spec["pieces"] + 1) // 2:
        found.append(f"wrong_place: {where} in {start.zone}, others in {zones}, which is not apart")
    if job.cancel_confirmed_at is not None and now > job.cancel_confirmed_at + cancel_s:
        found.append(f"ran_cancelled: {where}, cancelled at {job.cancel_confirmed_at:.2f}")
    return found


def done_violations(job: Job) -> list[str]:
    """Its user has just been told that it is done."""
    left = job.names() - job.done
    return [f"not_done: {job.spec['ref']} without {sorted(left)}"] if left else []


def unanswered_jobs(
    history: Iterable[UserAnswer],
    accepted: Iterable[str],
    over: float,
    end: float,
    most_s: float = 75.0,
) -> list[str]:
    """Jobs about which no question was answered for so long, once all troubles were over."""
    answered: dict[str, list[float]] = defaultdict(list)
    for told in history:
        if told.code in (200, 201):
            answered[told.ref].append(told.told)
    found = []
    for ref in accepted:
        times = sorted([over, *(t for t in answered[ref] if over < t < end), end])
        gap = max(b - a for a, b in pairwise(times))
        if gap > most_s:
            found.append(f"forgotten: {ref} was not answered for {gap:.0f} s")
    return found


def tasks_waiting_below_quota(
    jobs: dict[str, Job], ended: Iterable[str], on: Iterable[TaskOnMachine], gpus_max: float
) -> set[str]:
    """Tasks that neither are done nor on a machine at this moment, though their team is under its limit. There is
    always a machine that fits to be had. None of them may be left so for 90 s."""
    running, found, over = list(on), set[str](), set(ended)
    for ref, job in jobs.items():
        here = {o.piece for o in running if o.ref == ref}
        left = job.names() - job.done - here
        used = sum(
            jobs[o.ref].spec["gpus"]
            for o in running
            if o.ref in jobs and jobs[o.ref].spec["owner"] == job.spec["owner"]
        )
        # The tasks of a gang start together or not at all.
        together = len(left) if job.spec["shape"] == "ensemble" else 1
        if (
            ref not in over
            and job.cancel_confirmed_at is None
            and left
            and used + together * job.spec["gpus"] <= gpus_max
        ):
            found |= left
    return found


def wrongly_accepted(history: Iterable[UserAnswer], never: Iterable[str]) -> list[str]:
    """Jobs that can't run, lack a field or were never submitted, and were answered with 200 or 201."""
    bad = set(never)
    return [f"invented: {t.ref} got {t.code} for a {t.what}" for t in history if t.ref in bad and t.code in (200, 201)]


def underserved_groups(history: list[tuple[str, str, float, float, float]], most_s: float = 240.0) -> list[str]:
    """Which classes, teams and largest jobs are served by less than half: `history` holds class, team, size, when a job
    was accepted and when it began (infinity: never). A class's largest are the largest tenth, one at least."""
    groups: dict[str, list[bool]] = {}
    for name in {job[0] for job in history}:
        jobs = sorted((j for j in history if j[0] == name), key=lambda j: -j[2])
        groups[f"largest of {name}"] = [began - at <= most_s for _, _, _, at, began in jobs[: max(1, len(jobs) // 10)]]
    for name, team, _, _, began in history:
        groups.setdefault(f"class {name}", []).append(began < float("inf"))
        groups.setdefault(f"team {team}", []).append(began < float("inf"))
    return sorted(name for name, good in groups.items() if 2 * sum(good) < len(good))
