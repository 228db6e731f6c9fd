"""What users were told, in the order of asking and telling, and what in it contradicts itself."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

ENDS = ("done", "aborted")


@dataclass(frozen=True)
class Told:
    """One answer to one question about a job."""

    ref: str
    what: str  # "submit", "status" or "cancel"
    node: str  # address asked
    asked: float
    told: float
    code: int
    status: str = ""


def contradictions(history: list[Told]) -> list[str]:
    """Answers that take back what was told before they were asked for. Two that overlap may come in either order."""
    found: list[str] = []
    by_job: dict[str, list[Told]] = defaultdict(list)
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
