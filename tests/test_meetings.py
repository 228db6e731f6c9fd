"""Two faults that overlap in generated runs of several nodes in simulated time, and the checks of these runs.

`standins/history.py` holds the checks: the rules of the protocol, and what the operators check at the end of a day.
"""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest
from meeting import FaultRun
from troubles import FAULTS

from standins.history import (
    Job,
    TaskOnMachine,
    UserAnswer,
    done_violations,
    start_violations,
    tasks_waiting_below_quota,
    unanswered_jobs,
    wrongly_accepted,
)
from standins.simulation import CANCEL_S, JOB

PAIRS = list(itertools.combinations_with_replacement(FAULTS, 2))


@pytest.mark.parametrize("one,other", PAIRS[::4], ids=lambda fault: fault.__name__)
def test_no_rule_is_broken_when_two_faults_overlap(one, other):
    run = FaultRun((one, other), 0)
    assert run.find_violations() == []


# -- the checks --------------------------------------------------------------------------------


def test_each_rule_reports_its_violation():
    job = Job({"ref": "wk-1", **JOB, "pieces": 2})
    jobs = {"wk-1": job, "wk-2": Job({"ref": "wk-2", **JOB, "gpus": 3.0})}
    start = TaskOnMachine("wk-1/0", "vm-1", "a")

    def broken_rules(others: list[TaskOnMachine] = [], **spec) -> list[str]:  # noqa: B006
        changed_job = Job({**job.spec, **spec}, cancel_confirmed_at=job.cancel_confirmed_at)
        return [
            broken.partition(":")[0]
            for broken in start_violations(start, others, {**jobs, "wk-1": changed_job}, 4.0, CANCEL_S, 100.0)
        ]

    assert (
        broken_rules() == []
        and broken_rules([TaskOnMachine("wk-1/1", "vm-2", "b"), TaskOnMachine("wk-2/0", "vm-2", "b")], gpus=0.5) == []
    )
    assert broken_rules([TaskOnMachine("wk-1/0", "vm-2", "b")]) == ["ran_twice"]
    assert broken_rules([TaskOnMachine("wk-2/0", "vm-2", "b")], gpus=1.5) == ["quota"]
    assert broken_rules(hall="b") == ["wrong_place"]
    assert broken_rules([TaskOnMachine("wk-1/1", "vm-2", "b")], samePlace=True) == ["wrong_place"]
    assert broken_rules([TaskOnMachine("wk-1/1", "vm-2", "a")], apart=True) == ["wrong_place"]
    spot = replace(start, spot=True)
    assert start_violations(spot, [], {"wk-1": Job({**job.spec, "loaner": False})}, 4.0, CANCEL_S, 0.0) != []
    assert start_violations(start, [], {}, 4.0, CANCEL_S, 0.0) != []
    job.cancel_confirmed_at = 100.0 - CANCEL_S - 0.1
    assert broken_rules() == ["ran_cancelled"]
    job.cancel_confirmed_at = None
    assert done_violations(job) != []
    job.done = job.names()
    assert done_violations(job) == []


def test_each_check_at_the_end_of_a_day_reports_its_violation():
    answers = [UserAnswer("wk-1", "status", "n", t, t + 0.1, 200, "running") for t in (10.0, 60.0, 130.0)]
    assert unanswered_jobs(answers, ["wk-1"], 0.0, 150.0) == [] and unanswered_jobs(answers, ["wk-1"], 0.0, 210.0) != []
    assert (
        unanswered_jobs(answers, ["wk-2"], 0.0, 80.0) != [] and unanswered_jobs(answers[:1], ["wk-1"], 0.0, 100.0) != []
    )
    job = Job({"ref": "wk-1", **JOB, "pieces": 2}, done={"wk-1/0"})
    assert tasks_waiting_below_quota({"wk-1": job}, [], [], 4.0) == {"wk-1/1"}
    assert tasks_waiting_below_quota({"wk-1": job}, ["wk-1"], [], 4.0) == set()
    assert tasks_waiting_below_quota({"wk-1": job}, [], [TaskOnMachine("wk-1/1", "vm-1", "a")], 4.0) == set()
    big = Job({"ref": "wk-2", **JOB, "gpus": 4.0})
    assert (
        tasks_waiting_below_quota({"wk-1": job, "wk-2": big}, ["wk-2"], [TaskOnMachine("wk-2/0", "vm-1", "a")], 4.0)
        == set()
    )
    assert wrongly_accepted(answers, ["wk-1"]) != [] and wrongly_accepted(answers, ["wk-2"]) == []
