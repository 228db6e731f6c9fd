"""Tests of what a new leader inherits: the age of cancellations, cached images and failover hints."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

import msgspec
import pytest
from helpers import MACHINE_TYPE, settings, spec
from hypothesis import given
from hypothesis import strategies as st
from test_leader import leader

from winglift import constants
from winglift.controller.gang_reservations import GangReservation
from winglift.duties import intent_record
from winglift.duties.duty import DutyName, Fence
from winglift.model import image_cache_record, records
from winglift.model.cluster_state import ClusterState
from winglift.model.leadership import Leadership, Role
from winglift.model.machine_state import MachineEvent, MachineState
from winglift.model.record_application import apply_record
from winglift.policy.failure_detector import FailureDetector
from winglift.store.batcher import build_job_record
from winglift.store.client import Health, StateClient
from winglift.store.election import Election
from winglift.store.image_cache_snapshots import ImageCacheSnapshots
from winglift.wire import state as state_messages
from winglift.wire import workers as worker_messages
from winglift.wire.users import Kind

WORKERS = settings().settings.workers
SKEW_S = 2.0
EPOCH = 1.7e9  # time of day (s) at true time 0, when the cancellation is confirmed to the user
DELETION_S = 3.0  # upper bound of the duration of a deletion that succeeds at the first attempt
DELETE_AGE_S = WORKERS.cancel_s * constants.CANCELLATION_DELETE_SHARE
REPORT_WAIT_S = WORKERS.report_s * constants.CANCELLATION_REPORT_WAIT_RATIO


def cancelled_record(cancelled_at: float | None) -> records.JobRecord:
    return records.JobRecord(
        submitted_at=EPOCH - 60,
        spec=spec("wk-1"),
        state="c",
        next_attempt=2,
        cancelled_at=cancelled_at,
        assignments=[("vm-9", 1, "0-1")],
    )


class Leader:
    """A leader's cluster state and failure detector with clocks of its own; parameters are true times in seconds."""

    def __init__(self, started_at: float, monotonic_offset: float, skew_s: float, value: bytes) -> None:
        self.monotonic_offset, self.skew_s = monotonic_offset, skew_s
        self.cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
        self.failure_detector = FailureDetector(self.cluster, WORKERS, SKEW_S, "ab")
        self.started_at = started_at
        apply_record(self.cluster, "wk-1", 11, records.decode(value), self.monotonic_time(started_at))
        self.failure_detector.leading_since = self.monotonic_time(started_at)

    def monotonic_time(self, true_time: float) -> float:
        return self.monotonic_offset + true_time

    def deletion_reason(self, true_time: float) -> str | None:
        # Other machines report, so that this leader does not count as isolated.
        for name, zone in (("vm-1", "a"), ("vm-2", "b")):
            machine = self.cluster.register_machine(name, "g4", zone, False, self.monotonic_time(true_time), 90.0)
            machine.state, machine.last_heard = MachineState.UP, self.monotonic_time(true_time)
        verdicts = self.failure_detector.evaluate(
            self.monotonic_time(true_time), EPOCH + true_time + self.skew_s, True, True
        )
        return next((why for machine, why in verdicts.to_delete if machine.name == "vm-9"), None)


@given(
    failover_times=st.lists(st.floats(0.3, 34.0), max_size=4),
    gap_s=st.floats(0.0, 5.0),
    skews=st.lists(st.floats(-SKEW_S, SKEW_S), min_size=6, max_size=6),
    monotonic_offsets=st.lists(st.floats(0.0, 1e6), min_size=5, max_size=5),
    step=st.sampled_from([0.15, 0.7, 1.0]),
)
def test_a_machine_with_a_cancelled_task_is_deleted_in_time_despite_failovers(
    failover_times, gap_s, skews, monotonic_offsets, step
):
    """Guards against leaders that count the age of a cancellation from their own start.

    Two failovers in a partition of 60 s once let a task run 12 s longer than cancel_s. Each leader stops `gap_s` before
    the next one starts.
    """
    value = records.encode(cancelled_record(EPOCH + skews[0]))
    start_times = [-5.0, *sorted(failover_times)]
    deleted_at = math.inf
    for number, start_time in enumerate(start_times):
        end_time = start_times[number + 1] - gap_s if number + 1 < len(start_times) else 200.0
        started_at = max(0.0, start_time)
        current_leader = Leader(started_at, monotonic_offsets[number], skews[1 + number % 5], value)
        at = started_at
        while at < end_time and deleted_at == math.inf:
            if current_leader.deletion_reason(at):
                deleted_at = at
            at += step
        # The record that a successor writes keeps the time of the cancellation for its own successor.
        value = records.encode(build_job_record(current_leader.cluster.jobs["wk-1"]))
    last_start = start_times[-1]
    assert deleted_at <= max(DELETE_AGE_S, last_start + REPORT_WAIT_S) + 2 * step
    if last_start < WORKERS.cancel_s - DELETION_S - step - 4 * SKEW_S:
        assert deleted_at + DELETION_S <= WORKERS.cancel_s


@pytest.mark.parametrize(
    "ago,at_once",
    [
        (5.0, False),
        (DELETE_AGE_S + 1, False),
        (0.8 * WORKERS.cancel_s, True),
        (3 * WORKERS.cancel_s, False),
        (None, False),
    ],
)
def test_a_successor_waits_for_a_machines_report_unless_the_deadline_is_near(ago, at_once):
    """Guards against the deletion of machines whose tasks stopped long ago, while only the record lags.

    After an outage of 40 s, all machines of a cancelled array of 100 tasks would have been deleted at once. A record
    without the time of the cancellation counts as old.
    """
    current_leader = Leader(0.0, 500.0, 0.0, records.encode(cancelled_record(EPOCH - ago if ago is not None else None)))
    assert (current_leader.deletion_reason(0.1) is not None) == at_once
    assert (current_leader.deletion_reason(REPORT_WAIT_S + 0.1) is not None) == (ago != 5.0)


def test_the_age_of_a_cancellation_counts_from_the_last_read_of_the_open_job():
    """A transaction may be applied minutes after the cancellation time that it contains."""
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
    open_record = records.JobRecord(
        submitted_at=EPOCH, spec=spec("wk-1"), next_attempt=2, assignments=[("vm-9", 1, "0-1")]
    )
    apply_record(cluster, "wk-1", 10, open_record, 100.0)
    cluster.records_current_at = 190.0
    job = apply_record(cluster, "wk-1", 11, cancelled_record(EPOCH - 500), 200.0)
    assert job is not None and job.seconds_since_cancelled(201.0, EPOCH, SKEW_S) == 11.0
    # The same for a record written by a version that did not store the time.
    other = ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
    apply_record(other, "wk-1", 10, open_record, 100.0)
    other.records_current_at = 190.0
    job = apply_record(other, "wk-1", 11, cancelled_record(None), 200.0)
    assert job is not None and job.seconds_since_cancelled(201.0, EPOCH, SKEW_S) == 11.0


def test_the_age_of_a_deferred_cancellation_counts_from_before_it_was_read():
    leader_term, _ = leader(True, [])
    leader_term.cluster.on_stop = lambda task: None
    open_record = records.JobRecord(
        submitted_at=EPOCH, spec=spec("wk-1"), next_attempt=2, assignments=[("vm-9", 1, "0-1")]
    )
    leader_term.record_watcher.apply_record("wk-1", 10, open_record, 100.0)
    job = leader_term.cluster.jobs["wk-1"]
    job.write_in_flight, leader_term.cluster.records_current_at = True, 190.0
    leader_term.record_watcher.apply_record("wk-1", 11, cancelled_record(None), 200.0)
    leader_term.cluster.records_current_at = 300.0  # later reads say nothing about the time of this commit
    leader_term.batcher._release([job])
    assert job.seconds_since_cancelled(301.0, EPOCH, SKEW_S) == 111.0


def test_a_machine_listed_as_booting_may_run_a_cancelled_task():
    current_leader = Leader(0.0, 0.0, 0.0, records.encode(cancelled_record(EPOCH - DELETE_AGE_S - 1)))
    machine = current_leader.cluster.machines["vm-9"]
    machine.state, machine.rented_at = MachineState.BOOTING, 0.0
    assert current_leader.deletion_reason(REPORT_WAIT_S + 0.1) is not None


@pytest.mark.parametrize("elsewhere", [False, True])
def test_a_leader_in_doubt_only_enforces_cancellations_in_an_outage_of_all_nodes(elsewhere):
    leader_term, deleted = leader(True, [("vm-1", "a", 985.0), ("vm-2", "a", 999.5)])
    leader_term.state = SimpleNamespace(health=lambda: Health.DOWN)
    leader_term.peers.any_peer_reaches_state_service = lambda now: elsewhere
    leader_term.duties.mark_ready(DutyName.PLACEMENT)
    leader_term.leadership.role, leader_term.leadership.valid_until = Role.LEASE_IN_DOUBT, 0.0
    leader_term.term = leader_term.cluster.term = 4
    stop_commands: list[str] = []
    leader_term.cluster.on_stop = lambda task: None
    leader_term.task_stopper = SimpleNamespace(add=lambda task: stop_commands.append(task.name))  # type: ignore[assignment]
    for ref, state in (("wk-1", "c"), ("wk-2", "o")):
        apply_record(
            leader_term.cluster,
            ref,
            11,
            records.JobRecord(
                submitted_at=EPOCH,
                spec=spec(ref),
                state=state,
                next_attempt=2,
                cancelled_at=1.0 if state == "c" else None,
                assignments=[("vm-2", 1, "0"), ("vm-9", 1, "1")],
            ),
            900.0,
        )
    leader_term.cluster.request_stop(leader_term.cluster.jobs["wk-2"].active[0], 0.0, 1000.0, "makes room")
    running = [worker_messages.TaskReport(f"wk-{n}/0", 1, worker_messages.Phase.RUNNING, None) for n in (1, 2)]
    report = worker_messages.Report(
        machine="vm-2", addr="", type="g4", zone="a", spot=False, session=1, seq=1, token=4, tasks=running
    )
    assert leader_term.may_only_enforce_cancellations() != elsewhere
    stopped_in_response = [command.task for command in leader_term.on_report(report) or []]
    if leader_term.may_only_enforce_cancellations():
        leader_term._enforce_cancellations(1000.0)
    assert stopped_in_response == ([] if elsewhere else ["wk-1/0"])
    assert stop_commands == ([] if elsewhere else ["wk-1/0"])
    # One machine reports and still runs the task; the other was silent for as long as a new leader waits.
    assert sorted(deleted) == ([] if elsewhere else ["vm-2", "vm-9"])


@pytest.mark.parametrize("named,attempt,ends", [("node-0", 1, True), ("node-1", 1, False), ("node-0", 2, False)])
def test_a_restarted_leader_does_not_wait_for_its_own_lease(named, attempt, ends):
    """After a stop of all nodes, the restarted ones waited 2 s for the former leader's lease to expire."""
    revoked: list[int] = []

    class State:
        async def get(self, key, urgent=False):
            return state_messages.Item(
                "leader", msgspec.Raw(msgspec.json.encode(records.LeaderRecord(7, named))), 3, 41
            )

        async def revoke_lease(self, lease):
            revoked.append(lease)

    async def scenario() -> None:
        election = Election(State(), "node-0", lambda: None)  # type: ignore[arg-type]
        election.campaign_requested.set()
        election._first_read = attempt == 1
        await election._follow()
        assert election.known_term == 7

    asyncio.run(scenario())
    assert revoked == ([41] if ends else [])


IMAGES = st.dictionaries(
    st.from_regex(r"vm-[0-9]{1,6}", fullmatch=True),
    st.lists(st.text("abc-", min_size=1, max_size=12), max_size=12, unique=True),
    max_size=60,
).map(lambda images: {machine: {name: len(name) + 0.25 for name in names} for machine, names in images.items()})


@given(IMAGES, st.sampled_from([300, 1000, 4000]))
def test_image_cache_records_keep_the_last_used_images_that_fit(images, max_bytes):
    cache_records = image_cache_record.pack(images, max_bytes)
    assert all(len(value) <= max_bytes for value in cache_records.values())
    assert {key for key in cache_records} <= {f"image/{n}" for n in range(constants.IMAGE_CACHE_RECORDS)}
    unpacked = image_cache_record.unpack(cache_records.values())
    for machine, sizes_by_image in unpacked.items():
        # Images are in the order of use; the least recently used ones are left out first.
        kept = list(images[machine])[-len(sizes_by_image) :]
        assert list(sizes_by_image) == kept and all(sizes_by_image[n] == images[machine][n] for n in kept)
    if max_bytes == 4000 and sum(len(names) for names in images.values()) < 60:
        assert unpacked == {machine: sizes_by_image for machine, sizes_by_image in images.items() if sizes_by_image}


@given(st.binary(max_size=60))
def test_a_malformed_image_cache_record_is_ignored(value):
    assert image_cache_record.unpack([value, b'{"n":["a"],"g":[1.0],"m":{"vm-1":[3]}}']) == {}


@pytest.mark.parametrize("free,written", [(50, True), (20, False)])
def test_image_caches_are_written_only_with_spare_write_budget(free, written):
    txns: list[state_messages.Transaction] = []

    class State:
        def health(self):
            return Health.GOOD

        _limits = settings().settings.state
        has_spare_writes = StateClient.has_spare_writes

        def available_writes(self):
            return free

        async def commit(self, txn):
            txns.append(txn)
            return state_messages.Committed(9)

    async def scenario() -> None:
        limits = settings().settings.state
        snapshots = ImageCacheSnapshots(State(), limits, Leadership(Role.LEADER, 3, 1, 77, 1e12), Fence(3, 77))  # type: ignore[arg-type]
        images = {f"vm-{i}": {"img": 5.0} for i in range(200)}
        assert not snapshots.due(0.0)
        for now in (1e9, 2e9, 3e9):
            if snapshots.due(now):
                snapshots.save(images, now)
                assert snapshots._task is None or not snapshots.due(now + 1)
                while snapshots._task is not None and not snapshots._task.done():
                    await asyncio.sleep(0)

    asyncio.run(scenario())
    keys = [put.key for txn in txns for put in txn.changes]
    # Each record is written once, since nothing changes later, conditional on the leader key, and in small batches.
    assert len(keys) == len(set(keys)) == (constants.IMAGE_CACHE_RECORDS if written else 0)
    assert all(txn.conditions == [state_messages.Condition("leader", 77)] and len(txn.changes) <= 8 for txn in txns)


def test_failover_hints_reach_the_next_leader_through_the_intent_log():
    """Guards against the loss of refusals, migrations, pending stops, reservations and suspect jobs at a failover."""
    leader_term, _ = leader(True, [("vm-1", "a", 999.5), ("vm-2", "b", 999.5)])
    gang = records.JobRecord(
        submitted_at=0.0,
        spec=spec("wk-1", kind=Kind.GANG),
        next_attempt=3,
        assignments=[("vm-1", 2, "0"), ("vm-2", 2, "1")],
    )
    other = records.JobRecord(submitted_at=0.0, spec=spec("wk-2"), next_attempt=2)
    for ref, record in (("wk-1", gang), ("wk-2", other)):
        apply_record(leader_term.cluster, ref, 11, record, 900.0)
    leader_term.cluster.on_stop = lambda task: None
    leader_term.cluster.request_stop(leader_term.cluster.jobs["wk-1"].active[0], 4.0, 1000.0, "makes room")
    leader_term.cluster.jobs["wk-2"].failed_on = {"vm-7": None, "vm-8": None}
    machine = leader_term.cluster.machines["vm-2"]
    machine.drain_reason = "emptied"
    machine.move(MachineEvent.DRAIN)
    leader_term.inventory.capacity_refusals["g4", "a", True] = 1006.0
    leader_term.drainer.next_migration_at = 1050.0
    leader_term.snapshot_builder.gang_reservations.by_job["wk-3"] = GangReservation(["vm-1", "vm-2"], 997.0)
    hints = intent_record.IntentRecord(1.7e9, 3)
    leader_term.failover_hints.add_hints(hints, 1000.0, 1.7e9)
    hints = intent_record.decode(intent_record.encode(hints))

    after, _ = leader(True, [])
    after.cluster.on_stop = lambda task: None
    for ref, record in (("wk-1", gang), ("wk-2", other)):
        apply_record(after.cluster, ref, 11, record, 50.0)
    after.failover_hints.apply_hints(hints, 50.0, 1.7e9 + 2.0)
    after.cluster.register_machine("vm-2", "g4", "b", False, 50.0, 90.0)
    after.failover_hints.resume_draining()
    assert after.cluster.machines["vm-2"].state is MachineState.DRAINING
    assert after.cluster.machines["vm-2"].drain_reason == "emptied"
    assert after.inventory.capacity_refusals == {("g4", "a", True): pytest.approx(54.0)}
    assert after.drainer.next_migration_at == pytest.approx(98.0)
    assert all(task.stopping for task in after.cluster.jobs["wk-1"].active.values())
    assert set(after.cluster.jobs["wk-2"].failed_on) == {"vm-7", "vm-8"}
    assert after.snapshot_builder.gang_reservations.by_job["wk-3"].machines == [
        "vm-1",
        "vm-2",
    ] and after.snapshot_builder.gang_reservations.by_job["wk-3"].since == pytest.approx(45.0)
    # A later attempt is not stopped, and a time further in the future than its limit is cut to the limit.
    later, _ = leader(True, [])
    apply_record(later.cluster, "wk-1", 12, msgspec.structs.replace(gang, assignments=[("vm-1", 3, "0-1")]), 50.0)
    hints.reserved_for_gangs["wk-4"] = (0.0, "vm-|no range")
    later.failover_hints.apply_hints(hints, 50.0, 1.7e9 - 5000.0)
    assert set(later.snapshot_builder.gang_reservations.by_job) == {"wk-3"}
    assert not any(task.stopping for task in later.cluster.jobs["wk-1"].active.values())
    assert later.inventory.capacity_refusals["g4", "a", True] <= 50.0 + constants.CAPACITY_REFUSAL_BACKOFF_S
    assert later.drainer.next_migration_at <= 50.0 + constants.MIGRATION_PAUSE_MAX_S
