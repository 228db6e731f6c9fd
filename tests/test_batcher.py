"""The write batcher with a state service that rejects writes, reports conflicts or does not answer."""

from __future__ import annotations

import asyncio
import time

from helpers import MACHINE_TYPE, settings, spec

from winglift.config.settings import State
from winglift.duties.duty import Fence
from winglift.model import records
from winglift.model.cluster_state import ClusterState
from winglift.model.machine_state import MachineState
from winglift.model.record_application import apply_record
from winglift.model.task_state import TaskState
from winglift.model.write_priority import WritePriority
from winglift.store.batcher import Batcher
from winglift.store.client import Health, InvalidRequest, OutcomeUnknown, RequestRejected, StateClient
from winglift.wire import state as state_messages


class FakeState:
    """State service that takes at most `limit` changes per transaction and returns `outcomes` first."""

    def __init__(self) -> None:
        self.limit = 100
        self.outcomes: list[object] = []
        self.sizes: list[int] = []
        self.keys: dict[str, tuple[int, bytes]] = {}
        self.revision = 100
        self.tokens = 1000

        self.current_health = Health.GOOD

    def health(self):
        return self.current_health

    def available_writes(self):
        return self.tokens

    async def commit(self, txn, max_wait=0.0):
        self.sizes.append(len(txn.changes))
        self.tokens -= len(txn.changes)
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if isinstance(outcome, Exception) and not isinstance(outcome, OutcomeUnknown):
            raise outcome
        if len(txn.changes) > self.limit:
            raise InvalidRequest("too many")
        if isinstance(outcome, state_messages.Conflict):
            return outcome
        failed = [x.key for x in txn.conditions if x.key != "leader" and self.keys.get(x.key, (0, b""))[0] != x.version]
        if failed:
            return state_messages.Conflict(failed, self.revision)
        self.revision += 1
        for put in txn.changes:
            self.keys[put.key] = (self.revision, records.encode(put.value))
        if isinstance(outcome, OutcomeUnknown):
            raise outcome
        return state_messages.Committed(self.revision)

    async def get(self, key):
        stored = self.keys.get(key)
        return None if stored is None else state_messages.Item(key, stored[1], stored[0])  # type: ignore[arg-type]


def make_batcher(jobs=4):
    state = FakeState()
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
    batcher = Batcher(state, settings().settings.state, cluster, Fence(1, 0))  # type: ignore[arg-type]
    machine = cluster.register_machine("vm-1", "g4", "a", False, 0.0, 0.0)
    machine.state = MachineState.UP
    for i in range(jobs):
        record = records.new_record(spec(f"wk-{i}", tasks=1), 0.0)
        state.keys[f"job/wk-{i}"] = (i + 1, records.encode(record))
        job = apply_record(cluster, f"wk-{i}", i + 1, record, 0.0)
        assert cluster.propose_placement(job, [(0, machine)], 0.0)
    return state, cluster, batcher


def flush_until_idle(batcher):
    async def run() -> None:
        for _ in range(8):
            batcher.flush()
            while batcher._running:
                await asyncio.sleep(0.01)

    asyncio.run(run())


def test_starts_are_written_before_progress_and_progress_waits_for_spare_tokens():
    """With one write per ended task, arrays once used up the write rate, and services waited for their starts."""
    state, cluster, batcher = make_batcher(6)
    for job in list(cluster.jobs.values())[:3]:
        job.pending_write = WritePriority.PROGRESS
    state.tokens = 3
    flush_until_idle(batcher)
    assert (
        state.sizes == [3]
        and [j.pending_write for j in cluster.jobs.values()] == [WritePriority.PROGRESS] * 3 + [0] * 3
    )
    state.tokens = 1000
    batcher._waiting_since = dict.fromkeys(batcher._waiting_since, -100.0)
    flush_until_idle(batcher)
    assert state.sizes == [3, 3] and not any(j.pending_write for j in cluster.jobs.values())


def test_in_an_outage_one_transaction_at_a_time_is_tried():
    state, _, batcher = make_batcher(10)
    state.current_health = Health.DOWN

    async def count_in_flight() -> int:
        batcher.flush()
        running = len(batcher._running)
        while batcher._running:
            await asyncio.sleep(0.01)
        batcher.stop()
        return running

    assert asyncio.run(count_in_flight()) == 1


def test_batches_leave_write_budget_for_users_who_submit_at_the_leader():
    limits = settings().settings.state
    client = StateClient("127.0.0.1", 1, limits, 3)
    client.set_leading(True)
    client._writes.rate = 1e-6  # no tokens are added during the test, however slowly it runs
    free = client.available_writes()
    assert free <= limits.write_rps * 0.7 - 2
    assert client._writes.reserve(time.monotonic(), free, 0.0) == 0.0
    assert client.available_writes() == 0 and client._writes.reserve(time.monotonic(), 1, 0.0) == 0.0


def test_progress_is_written_eventually_even_with_a_small_budget():
    """At five writes a second none was ever spare, and ended tasks would have kept their machines forever."""
    state, cluster, batcher = make_batcher(1)
    (job,) = cluster.jobs.values()
    job.pending_write = WritePriority.PROGRESS
    batcher._waiting_since = {job.ref: -100.0}
    state.tokens = 1
    flush_until_idle(batcher)
    assert state.sizes == [1] and not job.pending_write
    for write_rps in (1.0, 2.0, 5.0, 50.0):
        client = StateClient("127.0.0.1", 1, State(rps=5.0, write_rps=write_rps, value_kb=4.0, txn_ops=8), 3)
        client.set_leading(True)
        client._writes.tokens = client._writes.burst
        assert client.available_writes() >= 1


def task_states(cluster):
    return {t.state for j in cluster.jobs.values() for t in j.active.values()}


def test_changes_of_several_jobs_go_in_one_transaction():
    state, cluster, batcher = make_batcher()
    flush_until_idle(batcher)
    assert state.sizes == [4] and task_states(cluster) == {TaskState.COMMITTED}


def test_a_batch_that_breaks_the_services_limits_is_made_smaller():
    """If the service's limits were below the settings, the same batch was retried forever and nothing started."""
    state, cluster, batcher = make_batcher()
    state.limit = 1
    flush_until_idle(batcher)
    assert max(state.sizes[-2:]) == 1 and task_states(cluster) == {TaskState.COMMITTED}


def test_a_rejected_write_is_retried_and_starts_wait_for_it():
    state, cluster, batcher = make_batcher()
    state.outcomes = [RequestRejected("429")]
    states_before = task_states(cluster)
    flush_until_idle(batcher)
    assert states_before == {TaskState.PROPOSED} and task_states(cluster) == {TaskState.COMMITTED}


def test_after_a_write_with_unknown_outcome_the_record_is_read_and_its_assignments_are_kept():
    state, cluster, batcher = make_batcher()
    state.outcomes = [OutcomeUnknown("lost")]
    flush_until_idle(batcher)
    assert task_states(cluster) == {TaskState.COMMITTED}
    assert all(job.active[0].attempt == 1 for job in cluster.jobs.values())


def test_a_cancellation_by_another_node_wins_over_a_start():
    state, cluster, batcher = make_batcher(2)
    cancelled = records.new_record(spec("wk-1", tasks=1), 0.0)
    cancelled.state = "c"
    state.keys["job/wk-1"] = (50, records.encode(cancelled))
    flush_until_idle(batcher)
    assert cluster.jobs["wk-0"].active[0].state is TaskState.COMMITTED
    assert "wk-1" not in cluster.jobs or not cluster.jobs["wk-1"].active


def test_a_leader_that_lost_the_leadership_key_commits_nothing_more():
    state, cluster, batcher = make_batcher()
    state.outcomes = [state_messages.Conflict(["leader"])]
    flush_until_idle(batcher)
    assert batcher.fence_lost and state.sizes == [4] and task_states(cluster) == {TaskState.PROPOSED}
