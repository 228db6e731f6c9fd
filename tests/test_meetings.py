"""Two troubles and more that meet, generated: several nodes in simulated time, judged by all rules and by what the
operators check at the end of a day (`standins/history.py`)."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest
from meeting import Meeting
from troubles import TROUBLES

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

PAIRS = list(itertools.combinations_with_replacement(TROUBLES, 2))


@pytest.mark.parametrize("one,other", PAIRS[::4], ids=lambda trouble: trouble.__name__)
def test_no_rule_breaks_when_two_troubles_meet(one, other):
    meeting = Meeting((one, other), 0)
    assert meeting.breaks() == []


# -- the checker -------------------------------------------------------------------------------


def test_each_rule_is_broken_by_a_history_of_its_own():
    job = Job({"ref": "wk-1", **JOB, "pieces": 2})
    jobs = {"wk-1": job, "wk-2": Job({"ref": "wk-2", **JOB, "gpus": 3.0})}
    start = TaskOnMachine("wk-1/0", "vm-1", "a")

    def found(others: list[TaskOnMachine] = [], **spec) -> list[str]:  # noqa: B006
        mine = Job({**job.spec, **spec}, cancel_confirmed_at=job.cancel_confirmed_at)
        return [
            b.partition(":")[0] for b in start_violations(start, others, {**jobs, "wk-1": mine}, 4.0, CANCEL_S, 100.0)
        ]

    assert (
        found() == []
        and found([TaskOnMachine("wk-1/1", "vm-2", "b"), TaskOnMachine("wk-2/0", "vm-2", "b")], gpus=0.5) == []
    )
    assert found([TaskOnMachine("wk-1/0", "vm-2", "b")]) == ["ran_twice"]
    assert found([TaskOnMachine("wk-2/0", "vm-2", "b")], gpus=1.5) == ["quota"]
    assert found(hall="b") == ["wrong_place"]
    assert found([TaskOnMachine("wk-1/1", "vm-2", "b")], samePlace=True) == ["wrong_place"]
    assert found([TaskOnMachine("wk-1/1", "vm-2", "a")], apart=True) == ["wrong_place"]
    spot = replace(start, spot=True)
    assert start_violations(spot, [], {"wk-1": Job({**job.spec, "loaner": False})}, 4.0, CANCEL_S, 0.0) != []
    assert start_violations(start, [], {}, 4.0, CANCEL_S, 0.0) != []
    job.cancel_confirmed_at = 100.0 - CANCEL_S - 0.1
    assert found() == ["ran_cancelled"]
    job.cancel_confirmed_at = None
    assert done_violations(job) != []
    job.done = job.names()
    assert done_violations(job) == []


def test_each_check_at_the_end_of_a_day_finds_what_it_is_for():
    told = [UserAnswer("wk-1", "status", "n", t, t + 0.1, 200, "running") for t in (10.0, 60.0, 130.0)]
    assert unanswered_jobs(told, ["wk-1"], 0.0, 150.0) == [] and unanswered_jobs(told, ["wk-1"], 0.0, 210.0) != []
    assert unanswered_jobs(told, ["wk-2"], 0.0, 80.0) != [] and unanswered_jobs(told[:1], ["wk-1"], 0.0, 100.0) != []
    job = Job({"ref": "wk-1", **JOB, "pieces": 2}, done={"wk-1/0"})
    assert tasks_waiting_below_quota({"wk-1": job}, [], [], 4.0) == {"wk-1/1"}
    assert tasks_waiting_below_quota({"wk-1": job}, ["wk-1"], [], 4.0) == set()
    assert tasks_waiting_below_quota({"wk-1": job}, [], [TaskOnMachine("wk-1/1", "vm-1", "a")], 4.0) == set()
    big = Job({"ref": "wk-2", **JOB, "gpus": 4.0})
    assert (
        tasks_waiting_below_quota({"wk-1": job, "wk-2": big}, ["wk-2"], [TaskOnMachine("wk-2/0", "vm-1", "a")], 4.0)
        == set()
    )
    assert wrongly_accepted(told, ["wk-1"]) != [] and wrongly_accepted(told, ["wk-2"]) == []
