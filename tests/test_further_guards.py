"""Guards of the operators' further meetings: without each of them a play of `test_further_meetings` fails."""

from __future__ import annotations

import msgspec
import pytest
from meeting import Meeting
from test_further_meetings import full_at_a_change, quick_machines_at_a_change, small_transactions

from winglift.controller import record_watcher
from winglift.model import record_application, records
from winglift.model.job_state import JobState
from winglift.model.task_state import TaskEvent, TaskState
from winglift.store import batcher
from winglift.store.client import StateClient


def without_the_condition_of_a_new_record(monkeypatch):
    """A submission that is repeated after its answer was lost replaces the record."""
    commit = StateClient.commit

    async def blindly(self, txn, *args, **kwargs):
        kept = [one for one in txn.conditions if not (one.key.startswith(records.JOB_PREFIX) and one.version == 0)]
        return await commit(self, msgspec.structs.replace(txn, conditions=kept), *args, **kwargs)

    monkeypatch.setattr(StateClient, "commit", blindly)


def without_the_places_of_ended_jobs(monkeypatch):
    """A successor counts only what open jobs hold."""
    apply_record = record_application.apply_record

    def open_only(cluster, ref, version, record, now):
        if ref not in cluster.jobs and record.state != JobState.OPEN.value:
            return None
        return apply_record(cluster, ref, version, record, now)

    monkeypatch.setattr(record_watcher, "apply_record", open_only)
    monkeypatch.setattr(batcher, "apply_record", open_only)


def without_waiting_for_the_commit(monkeypatch):
    """Starts are sent as soon as they are decided."""
    send = batcher.Batcher._send

    def at_once(self, due, most):
        for job in due[:most]:
            for task in job.active.values():
                if task.state is TaskState.PROPOSED:
                    task.move(TaskEvent.COMMIT, 0.0)
        return send(self, due, most)

    monkeypatch.setattr(batcher.Batcher, "_send", at_once)


PLAYS = {
    "a new record's condition": (without_the_condition_of_a_new_record, lambda: small_transactions()[0]),
    "places of ended jobs count": (without_the_places_of_ended_jobs, full_at_a_change),
    "no start before its commit": (
        without_waiting_for_the_commit,
        lambda: quick_machines_at_a_change(0.3, "late", 3.5),
    ),
}


@pytest.mark.parametrize("guard", PLAYS)
def test_without_this_guard_a_rule_breaks(guard, monkeypatch):
    remove, play = PLAYS[guard]
    remove(monkeypatch)
    meeting: Meeting = play()
    assert meeting.breaks() != []
