"""The guards that `test_further_meetings` relies on: a run fails once one of them is removed.

So the runs of that file would fail if the program lost the guard.
"""

from __future__ import annotations

import msgspec
import pytest
from meeting import FaultRun
from test_further_meetings import change_leader_at_quota, change_leader_with_fast_boots, lose_commit_answers

from winglift.controller import record_watcher
from winglift.model import record_application, records
from winglift.model.job_state import JobState
from winglift.model.task_state import TaskEvent, TaskState
from winglift.store import batcher
from winglift.store.client import StateClient


def without_the_condition_of_a_new_record(monkeypatch):
    """A submission that is repeated after its answer was lost overwrites the record."""
    commit = StateClient.commit

    async def commit_without_condition(self, txn, *args, **kwargs):
        conditions = [c for c in txn.conditions if not (c.key.startswith(records.JOB_PREFIX) and c.version == 0)]
        return await commit(self, msgspec.structs.replace(txn, conditions=conditions), *args, **kwargs)

    monkeypatch.setattr(StateClient, "commit", commit_without_condition)


def without_quota_of_ended_jobs(monkeypatch):
    """A new leader counts only the quota that tasks of open jobs use."""
    apply_record = record_application.apply_record

    def apply_open_records(cluster, ref, version, record, now):
        if ref not in cluster.jobs and record.state != JobState.OPEN.value:
            return None
        return apply_record(cluster, ref, version, record, now)

    monkeypatch.setattr(record_watcher, "apply_record", apply_open_records)
    monkeypatch.setattr(batcher, "apply_record", apply_open_records)


def without_waiting_for_the_commit(monkeypatch):
    """Starts are sent as soon as they are proposed, before the commit."""
    send = batcher.Batcher._send

    def send_uncommitted(self, due, most):
        for job in due[:most]:
            for task in job.active.values():
                if task.state is TaskState.PROPOSED:
                    task.move(TaskEvent.COMMIT, 0.0)
        return send(self, due, most)

    monkeypatch.setattr(batcher.Batcher, "_send", send_uncommitted)


RUNS = {
    "a new record's condition": (without_the_condition_of_a_new_record, lambda: lose_commit_answers()[0]),
    "places of ended jobs count": (without_quota_of_ended_jobs, change_leader_at_quota),
    "no start before its commit": (
        without_waiting_for_the_commit,
        lambda: change_leader_with_fast_boots(2.0, "late", 5.0),
    ),
}


@pytest.mark.parametrize("guard", RUNS)
def test_a_rule_is_broken_without_this_guard(guard, monkeypatch):
    remove, start_run = RUNS[guard]
    remove(monkeypatch)
    run: FaultRun = start_run()
    assert run.find_violations() != []
