"""What a leader knew must not be lost with it where a rule rests on it: cancellations under changing leaders."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

import msgspec
import pytest
from helpers import TYPE, settings, spec
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
EPOCH = 1.7e9  # time of day at the true time 0, when the cancellation is confirmed to the user
DELETION_S = 3.0  # the longest that a deletion takes which the cloud answers at the first try
LIMIT = WORKERS.cancel_s * constants.CANCELLATION_DELETE_SHARE
HEAR = WORKERS.report_s * constants.CANCELLATION_REPORT_WAIT_RATIO


def record_of(cancelled: float | None) -> records.JobRecord:
    return records.JobRecord(
        submitted_at=EPOCH - 60,
        spec=spec("wk-1"),
        state="c",
        next_attempt=2,
        cancelled_at=cancelled,
        assignments=[("vm-9", 1, "0-1")],
    )


class Leader:
    """One leader's cluster state and failure detector, on its own clocks; `began` and all times are true times."""

    def __init__(self, began: float, steady0: float, skew_s: float, value: bytes) -> None:
        self.steady0, self.skew_s = steady0, skew_s
        self.cluster = ClusterState(settings(), {"g4": TYPE}, 1)
        self.failure_detector = FailureDetector(self.cluster, WORKERS, SKEW_S, "ab")
        self.began = began
        apply_record(self.cluster, "wk-1", 11, records.decode(value), self.steady(began))
        self.failure_detector.leading_since = self.steady(began)

    def steady(self, true: float) -> float:
        return self.steady0 + true

    def gives_up(self, true: float) -> str | None:
        for name, zone in (("vm-1", "a"), ("vm-2", "b")):  # others are heard, so this leader is not isolated
            machine = self.cluster.register_machine(name, "g4", zone, False, self.steady(true), 90.0)
            machine.state, machine.last_heard = MachineState.UP, self.steady(true)
        found = self.failure_detector.evaluate(self.steady(true), EPOCH + true + self.skew_s, True, True)
        return next((why for machine, why in found.to_delete if machine.name == "vm-9"), None)


@given(
    changes=st.lists(st.floats(0.3, 34.0), max_size=4),
    standstill=st.floats(0.0, 5.0),
    skews=st.lists(st.floats(-SKEW_S, SKEW_S), min_size=6, max_size=6),
    steady=st.lists(st.floats(0.0, 1e6), min_size=5, max_size=5),
    step=st.sampled_from([0.15, 0.7, 1.0]),
)
def test_a_cancelled_task_out_of_reach_is_deleted_in_time_however_often_the_leader_changes(
    changes, standstill, skews, steady, step
):
    """Each leader ends, or stands still for ever, when the next one begins `standstill` after that.

    Two changes in a cut of 60 s once let a task run 12 s past cancel_s: each leader had counted from its own start.
    """
    value = records.encode(record_of(EPOCH + skews[0]))
    begins = [-5.0, *sorted(changes)]
    deleted = math.inf
    for number, began in enumerate(begins):
        ends = begins[number + 1] - standstill if number + 1 < len(begins) else 200.0
        first = max(0.0, began)
        one = Leader(first, steady[number], skews[1 + number % 5], value)
        at = first
        while at < ends and deleted == math.inf:
            if one.gives_up(at):
                deleted = at
            at += step
        # What a successor writes preserves the time of the cancellation for its own successor.
        value = records.encode(build_job_record(one.cluster.jobs["wk-1"]))
    last = begins[-1]
    assert deleted <= max(LIMIT, last + HEAR) + 2 * step
    if last < WORKERS.cancel_s - DELETION_S - step - 4 * SKEW_S:
        assert deleted + DELETION_S <= WORKERS.cancel_s


@pytest.mark.parametrize(
    "ago,at_once",
    [(5.0, False), (LIMIT + 1, False), (0.8 * WORKERS.cancel_s, True), (3 * WORKERS.cancel_s, False), (None, False)],
)
def test_a_successor_waits_for_a_machines_report_unless_the_deadline_is_near(ago, at_once):
    """Most machines have long stopped their tasks, and only the record lags: after an outage of 40 s all machines of a
    cancelled array of 100 tasks would have been deleted at once. A record without its time counts as old."""
    one = Leader(0.0, 500.0, 0.0, records.encode(record_of(EPOCH - ago if ago is not None else None)))
    assert (one.gives_up(0.1) is not None) == at_once
    assert (one.gives_up(HEAR + 0.1) is not None) == (ago != 5.0)


def test_a_leader_that_has_seen_the_job_open_counts_from_then():
    """A transaction may be applied minutes after the time that it holds."""
    cluster = ClusterState(settings(), {"g4": TYPE}, 1)
    fresh = records.JobRecord(submitted_at=EPOCH, spec=spec("wk-1"), next_attempt=2, assignments=[("vm-9", 1, "0-1")])
    apply_record(cluster, "wk-1", 10, fresh, 100.0)
    cluster.records_current_at = 190.0
    job = apply_record(cluster, "wk-1", 11, record_of(EPOCH - 500), 200.0)
    assert job is not None and job.seconds_since_cancelled(201.0, EPOCH, SKEW_S) == 11.0
    # Also where the record was written by a version that did not keep the time.
    other = ClusterState(settings(), {"g4": TYPE}, 1)
    apply_record(other, "wk-1", 10, fresh, 100.0)
    other.records_current_at = 190.0
    job = apply_record(other, "wk-1", 11, record_of(None), 200.0)
    assert job is not None and job.seconds_since_cancelled(201.0, EPOCH, SKEW_S) == 11.0


def test_a_change_put_off_for_a_write_counts_from_before_it_was_seen():
    made, _ = leader(True, [])
    made.cluster.on_stop = lambda task: None
    fresh = records.JobRecord(submitted_at=EPOCH, spec=spec("wk-1"), next_attempt=2, assignments=[("vm-9", 1, "0-1")])
    made.record_watcher.apply_record("wk-1", 10, fresh, 100.0)
    job = made.cluster.jobs["wk-1"]
    job.write_in_flight, made.cluster.records_current_at = True, 190.0
    made.record_watcher.apply_record("wk-1", 11, record_of(None), 200.0)
    made.cluster.records_current_at = 300.0  # later looks say nothing about when this was committed
    made.batcher._release([job])
    assert job.seconds_since_cancelled(301.0, EPOCH, SKEW_S) == 111.0


def test_a_machine_that_the_list_calls_booting_may_hold_a_cancelled_task():
    one = Leader(0.0, 0.0, 0.0, records.encode(record_of(EPOCH - LIMIT - 1)))
    machine = one.cluster.machines["vm-9"]
    machine.state, machine.rented_at = MachineState.BOOTING, 0.0
    assert one.gives_up(HEAR + 0.1) is not None


@pytest.mark.parametrize("elsewhere", [False, True])
def test_in_an_outage_that_all_share_a_leader_in_doubt_sees_to_cancellations_only(elsewhere):
    made, deleted = leader(True, [("vm-1", "a", 985.0), ("vm-2", "a", 999.5)])
    made.state = SimpleNamespace(health=lambda: Health.DOWN)
    made.peers.any_peer_reaches_state_service = lambda now: elsewhere
    made.duties.mark_ready(DutyName.PLACEMENT)
    made.leadership.role, made.leadership.valid_until = Role.LEASE_IN_DOUBT, 0.0
    made.term = made.cluster.term = 3
    stop_commands: list[str] = []
    made.cluster.on_stop = lambda task: None
    made.task_stopper = SimpleNamespace(add=lambda task: stop_commands.append(task.name))  # type: ignore[assignment]
    for ref, state in (("wk-1", "c"), ("wk-2", "o")):
        apply_record(
            made.cluster,
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
    made.cluster.request_stop(made.cluster.jobs["wk-2"].active[0], 0.0, 1000.0, "makes room")
    running = [worker_messages.TaskReport(f"wk-{n}/0", 1, worker_messages.Phase.RUNNING, None) for n in (1, 2)]
    report = worker_messages.Report(
        machine="vm-2", addr="", type="g4", zone="a", spot=False, session=1, seq=1, token=3, tasks=running
    )
    assert made.may_only_enforce_cancellations() != elsewhere
    halted = [command.task for command in made.on_report(report) or []]
    if made.may_only_enforce_cancellations():
        made._enforce_cancellations(1000.0)
    assert halted == ([] if elsewhere else ["wk-1/0"])
    assert stop_commands == ([] if elsewhere else ["wk-1/0"])
    # One was heard and holds it all the same, one was not heard for as long as a new leader waits.
    assert sorted(deleted) == ([] if elsewhere else ["vm-2", "vm-9"])


@pytest.mark.parametrize("named,attempt,ends", [("node-0", 1, True), ("node-1", 1, False), ("node-0", 2, False)])
def test_a_node_that_led_before_it_ended_does_not_wait_for_its_own_lease(named, attempt, ends):
    """After all nodes had ended, nobody knew that the leader was gone, and 2 s of its lease were waited for."""
    released: list[int] = []

    class State:
        async def get(self, key, urgent=False):
            return state_messages.Item(
                "leader", msgspec.Raw(msgspec.json.encode(records.LeaderRecord(7, named))), 3, 41
            )

        async def revoke_lease(self, lease):
            released.append(lease)

    async def scenario() -> None:
        election = Election(State(), "node-0", lambda: None)  # type: ignore[arg-type]
        election.campaign_requested.set()
        election._first_read = attempt == 1
        await election._follow()
        assert election.known_term == 7

    asyncio.run(scenario())
    assert released == ([41] if ends else [])


IMAGES = st.dictionaries(
    st.from_regex(r"vm-[0-9]{1,6}", fullmatch=True),
    st.lists(st.text("abc-", min_size=1, max_size=12), max_size=12, unique=True),
    max_size=60,
).map(lambda found: {machine: {name: len(name) + 0.25 for name in held} for machine, held in found.items()})


@given(IMAGES, st.sampled_from([300, 1000, 4000]))
def test_images_survive_the_end_of_all_nodes_as_far_as_they_fit(images, most):
    cache_records = image_cache_record.pack(images, most)
    assert all(len(value) <= most for value in cache_records.values())
    assert {key for key in cache_records} <= {f"image/{n}" for n in range(constants.IMAGE_CACHE_RECORDS)}
    again = image_cache_record.unpack(cache_records.values())
    for machine, held in again.items():
        # In the order of use, the least recently used left out first.
        kept = list(images[machine])[-len(held) :]
        assert list(held) == kept and all(held[n] == images[machine][n] for n in kept)
    if most == 4000 and sum(len(h) for h in images.values()) < 60:
        assert again == {machine: held for machine, held in images.items() if held}


@given(st.binary(max_size=60))
def test_a_malformed_image_cache_record_is_ignored(value):
    assert image_cache_record.unpack([value, b'{"n":["a"],"g":[1.0],"m":{"vm-1":[3]}}']) == {}


@pytest.mark.parametrize("free,written", [(50, True), (20, False)])
def test_images_are_kept_with_what_the_budget_leaves_over(free, written):
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
    # Once, since nothing has changed since; under the leader's key; a few at a time.
    assert len(keys) == len(set(keys)) == (constants.IMAGE_CACHE_RECORDS if written else 0)
    assert all(txn.conditions == [state_messages.Condition("leader", 77)] and len(txn.changes) <= 8 for txn in txns)


def test_failover_hints_reach_the_next_leader_through_the_intent_log():
    """Each was lost at every failover: refusals, migrations, stops under way, reservations, suspect jobs."""
    made, _ = leader(True, [("vm-1", "a", 999.5), ("vm-2", "b", 999.5)])
    gang = records.JobRecord(
        submitted_at=0.0,
        spec=spec("wk-1", kind=Kind.GANG),
        next_attempt=3,
        assignments=[("vm-1", 2, "0"), ("vm-2", 2, "1")],
    )
    other = records.JobRecord(submitted_at=0.0, spec=spec("wk-2"), next_attempt=2)
    for ref, record in (("wk-1", gang), ("wk-2", other)):
        apply_record(made.cluster, ref, 11, record, 900.0)
    made.cluster.on_stop = lambda task: None
    made.cluster.request_stop(made.cluster.jobs["wk-1"].active[0], 4.0, 1000.0, "makes room")
    made.cluster.jobs["wk-2"].failed_on = {"vm-7": None, "vm-8": None}
    machine = made.cluster.machines["vm-2"]
    machine.drain_reason = "emptied"
    machine.move(MachineEvent.DRAIN)
    made.inventory.capacity_refusals["g4", "a", True] = 1006.0
    made.drainer.next_migration_at = 1050.0
    made.snapshot_builder.gang_reservations.by_job["wk-3"] = GangReservation(["vm-1", "vm-2"], 997.0)
    found = intent_record.IntentRecord(1.7e9, 3)
    made.failover_hints.add_hints(found, 1000.0, 1.7e9)
    found = intent_record.decode(intent_record.encode(found))

    after, _ = leader(True, [])
    after.cluster.on_stop = lambda task: None
    for ref, record in (("wk-1", gang), ("wk-2", other)):
        apply_record(after.cluster, ref, 11, record, 50.0)
    after.failover_hints.apply_hints(found, 50.0, 1.7e9 + 2.0)
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
    # A later attempt is not stopped, and a time further ahead than its limit is cut to the limit.
    later, _ = leader(True, [])
    apply_record(later.cluster, "wk-1", 12, msgspec.structs.replace(gang, assignments=[("vm-1", 3, "0-1")]), 50.0)
    found.reserved_for_gangs["wk-4"] = (0.0, "vm-|no range")
    later.failover_hints.apply_hints(found, 50.0, 1.7e9 - 5000.0)
    assert set(later.snapshot_builder.gang_reservations.by_job) == {"wk-3"}
    assert not any(task.stopping for task in later.cluster.jobs["wk-1"].active.values())
    assert later.inventory.capacity_refusals["g4", "a", True] <= 50.0 + constants.CAPACITY_REFUSAL_BACKOFF_S
    assert later.drainer.next_migration_at <= 50.0 + constants.MIGRATION_PAUSE_MAX_S
