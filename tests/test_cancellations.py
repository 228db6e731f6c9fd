"""Cancellations that a node enforces: their registry and state machine, and the notifications between nodes."""

from __future__ import annotations

import itertools
import json
from types import SimpleNamespace

import pytest
import test_gap as gaps
import test_restart_in_outage as restarts
import test_unaware_nodes as unaware
from helpers import settings
from hypothesis import given
from hypothesis import strategies as st
from test_end_of_day import begun, machine_of

from standins.simulation import CANCEL_S, JOB
from winglift import constants
from winglift.controller.record_watcher import RecordWatcher
from winglift.model import records
from winglift.model.cancellations import TRANSITIONS, CancellationEvent, CancellationRegistry, CancellationState
from winglift.model.job_state import JobState
from winglift.model.record_application import apply_commit, apply_record
from winglift.wire import peer as peer_messages
from winglift.wire import workers as worker_messages
from winglift.wire.users import parse_submission
from winglift.workers.cancellation_announcements import CancellationAnnouncer
from winglift.workers.cancellation_enforcement import CancellationEnforcer, MachineContact

MACHINES = [f"vm-{n:06d}" for n in range(4)]
SPEC = parse_submission(json.dumps({"ref": "wk-1", **JOB, "pieces": 8}).encode())


def record(places: dict[str, str], state: str = "c", at: float = 0.0) -> records.JobRecord:
    return records.JobRecord(
        submitted_at=0.0,
        spec=SPEC,
        state=state,
        cancelled_at=at if state == "c" else None,
        assignments=[(machine, 1, numbers) for machine, numbers in places.items()],
    )


def report(
    machine: str, *tasks: str, phase: worker_messages.Phase = worker_messages.Phase.RUNNING
) -> worker_messages.Report:
    return worker_messages.Report(
        machine=machine,
        addr="10.0.0.1:1",
        type="g",
        zone="a",
        spot=False,
        session=1,
        seq=1,
        token=1,
        tasks=[worker_messages.TaskReport(task, 1, phase) for task in tasks],
    )


def make_registry(capacity: int = 10) -> CancellationRegistry:
    return CancellationRegistry(0.025, CANCEL_S, capacity)


ACTIONS = st.sampled_from(["record", "proof", "gone", "answer", "answer with", "report", "lead", "orphan"])


@given(st.lists(st.tuples(ACTIONS, st.sampled_from(MACHINES), st.floats(0.1, 4.0)), max_size=40))
def test_a_cancellation_is_confirmed_by_proof_only_and_reopened_by_a_reported_task(steps):
    """Compares the registry with a simple model: the machines not proven free since they last reported a task."""
    registry, now, version = make_registry(), 0.0, 5
    held = set(MACHINES)
    cancellation = registry.add_record("wk-1", version, record(dict.fromkeys(MACHINES, "0-1")), now)
    assert cancellation is not None
    for action, machine, delay_s in steps:
        now += delay_s
        # Counted from when this node learns of the cancellation: `cancelled_at` may be much earlier than the commit.
        settled = now >= registry.settle_s
        if action == "record":
            version += 1
            registry.add_record("wk-1", version, record(dict.fromkeys(held - {machine}, "0-1")), now)
            held.discard(machine)
        elif action == "proof":
            registry.clear_machine("wk-1", machine, now, proven_by_peer=True)
            held.discard(machine)
        elif action == "gone":
            registry.on_machine_deleted(machine, now)
            held.discard(machine)
        elif action == "answer":
            assert registry.on_probe_answer(report(machine, "wk-2/0"), now, now) == []
            if settled:
                held.discard(machine)
        elif action == "answer with":
            assert [stop.task for stop in registry.on_probe_answer(report(machine, "wk-1/7"), now, now)] == ["wk-1/7"]
            held.add(machine)
        elif action == "report":
            # A reported exit means neither a task on the machine nor a proof: the report may be an old copy.
            assert registry.on_report(report(machine, "wk-1/7", phase=worker_messages.Phase.EXITED), now) == []
        else:
            cancellation.move(CancellationEvent.DELEGATE if action == "lead" else CancellationEvent.DELEGATE_LOST, now)
        assert set(cancellation.stop_commands) == held
        assert (cancellation.state is CancellationState.CONFIRMED) == (not held)
        due = registry.machines_to_delete(now, now, 0, 2.0)
        assert set(due) <= held
        if due:
            assert (
                cancellation.state is CancellationState.OUTSTANDING
                and now + 2 * registry.skew_s > CANCEL_S * constants.CANCELLATION_DELETE_SHARE
            )


@pytest.mark.parametrize("late_s", [0.0, 2.0, 12.0, 60.0])
def test_the_settle_time_of_a_late_cancellation_begins_when_the_node_learns_of_it(late_s):
    """`cancelled_at` is read before the transaction is sent, and a leader may send starts until it is executed: an
    answer to a probe sent soon after that proves nothing."""
    registry, now = make_registry(), 100.0
    cancellation = registry.add_record("wk-1", 5, record({"vm-000001": "0"}, at=now - late_s), now)
    assert cancellation is not None
    # What counts is when the probe was sent: the answer may have been delayed.
    registry.on_probe_answer(report("vm-000001"), now + registry.settle_s - 0.1, now + registry.settle_s + 1.5)
    assert cancellation.state is CancellationState.OUTSTANDING
    registry.on_probe_answer(report("vm-000001"), now + registry.settle_s, now + registry.settle_s)
    assert cancellation.state is CancellationState.CONFIRMED


def test_each_event_follows_the_transition_table():
    for state, event in itertools.product(CancellationState, CancellationEvent):
        cancellation = make_registry().add_record("wk-1", 1, record({"vm-000001": "0"}), 0.0)
        assert cancellation is not None
        cancellation.state = state
        assert cancellation.move(event, 1.0) is TRANSITIONS.get((state, event), state)
    # Only a reported task reopens a confirmed cancellation, and only a proof confirms one.
    assert {e for (s, e), new in TRANSITIONS.items() if s is CancellationState.CONFIRMED} == {
        CancellationEvent.TASK_SEEN
    }
    assert {e for (_, e), new in TRANSITIONS.items() if new is CancellationState.CONFIRMED} == {
        CancellationEvent.PROVEN_OFF
    }


@pytest.mark.parametrize("state", ["o", "d"])
def test_a_record_that_is_open_or_done_gives_no_cancellation(state):
    registry = make_registry()
    assert registry.add_record("wk-1", 3, record({"vm-000001": "0"}, state), 0.0) is None and not registry.by_job
    # Cancelled, but without any assigned task.
    assert registry.add_record("wk-1", 3, record({}), 0.0) is None and not registry.by_job


def test_a_repeated_and_an_older_record_change_nothing():
    registry = make_registry()
    cancellation = registry.add_record("wk-1", 5, record({"vm-000001": "0", "vm-000002": "1"}), 0.0)
    registry.clear_machine("wk-1", "vm-000001", 1.0, proven_by_peer=True)
    for version in (5, 4):
        assert registry.add_record("wk-1", version, record(dict.fromkeys(MACHINES, "0")), 2.0) is cancellation
        assert cancellation is not None and set(cancellation.stop_commands) == {"vm-000002"}


def test_the_registry_is_bounded_and_drops_no_outstanding_cancellation():
    registry = make_registry(capacity=3)
    for n in range(3):
        registry.add_record(f"wk-{n}", 1, record({"vm-000001": "0"}), 0.0)
    registry.by_job["wk-1"].move(CancellationEvent.DELEGATE, 0.0)
    assert registry.add_record("wk-7", 1, record({"vm-000001": "0"}), 0.0) is not None
    assert set(registry.by_job) == {"wk-0", "wk-2", "wk-7"}
    assert registry.add_record("wk-8", 1, record({"vm-000001": "0"}), 0.0) is None and len(registry.by_job) == 3


def test_a_newly_responsible_node_probes_before_it_deletes_unless_the_deadline_is_near():
    registry = make_registry()
    cancellation = registry.add_record("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    assert cancellation is not None
    early, late = (
        CANCEL_S * constants.CANCELLATION_DELETE_SHARE + 0.5,
        CANCEL_S * constants.CANCELLATION_URGENT_SHARE + 0.5,
    )
    cancellation.state_since = early - 1.0
    assert registry.machines_to_delete(early, early, 0, 2.0) == [] and registry.machines_to_delete(
        early + 1.5, early + 1.5, 0, 2.0
    ) == ["vm-000001"]
    cancellation.state_since = late - 0.1
    assert registry.machines_to_delete(late, late, 0, 2.0) == ["vm-000001"]
    # A node of the next rank waits longer, so that the first one can delete the machine.
    cancellation.state_since = 0.0
    assert registry.machines_to_delete(early, early, 1, 2.0) == [] and registry.machines_to_delete(
        late, late, 1, 2.0
    ) == ["vm-000001"]


# -- announcements of peers --------------------------------------------------------------------


@pytest.mark.parametrize(
    "note", [b"", b"{", b'{"t":1}', b"\xff\xfe", records.encode(record({"vm-000001": "0"})).replace(b'"0"', b'"0-x"')]
)
def test_an_announcement_of_an_invalid_record_is_rejected(note, caplog):
    simulation = begun()
    host, node = simulation.nodes["node-1"]
    assert host.context.run(node._on_peer_job_record, peer_messages.RecordAnnouncement(3, "wk-1", note)) == 400
    assert len(caplog.records) == 1 and not node.cancellation_enforcer.cancellations.by_job


def test_a_late_announcement_of_an_older_record_restores_no_assignment():
    """The leader has proof that all tasks ended and has dropped the job; then a node announces its older record."""
    simulation = begun(run_s=500.0)
    simulation.submit("wk-1", pieces=4)
    simulation.loop.run(20.0)
    announced: list[tuple[int, records.JobRecord]] = []
    for _, node in simulation.nodes.values():

        def take(ref, version, record, original=node.cancellation_enforcer.add_record):
            announced.append((version, record))
            return original(ref, version, record)

        node.cancellation_enforcer.add_record = take  # type: ignore[method-assign]
    simulation.poll("wk-1", cancel=True)
    simulation.loop.run(simulation.loop.now + 20.0)
    host, node = simulation.nodes[simulation.leader() or ""]
    assert node.leader_term is not None and "wk-1" not in node.leader_term.cluster.jobs
    version, record = next((v, r) for v, r in announced if r.assignments)
    simulation.loop.call_soon(
        lambda: node._on_peer_job_record(peer_messages.RecordAnnouncement(version, "wk-1", records.encode(record))),
        context=host.context,
    )
    changes = simulation.state.revision
    simulation.loop.run(simulation.loop.now + 0.5)
    assert "wk-1" not in node.leader_term.cluster.jobs and node.leader_term.cluster.quota.used["team"].gpus == 0
    assert simulation.state.revision <= changes + 1  # at most one periodic write that does not concern the job


def test_frames_of_a_later_version_do_not_close_the_connection():
    simulation = begun()
    _, node = simulation.nodes["node-0"]
    peer = node.peers.by_node["node-1"]
    stream = peer.stream
    assert stream is not None
    stream.write(peer_messages.HEADER.pack(peer_messages.MAGIC, 99, 0, 3) + b"abc")
    stream.write(peer_messages.HEADER.pack(peer_messages.MAGIC, 98, 0, 0))
    simulation.loop.run(simulation.loop.now + 3.0)
    assert peer.stream is stream and not stream.closed()
    assert simulation.nodes["node-1"][1].peers.by_node["node-0"].fresh(simulation.nodes["node-1"][0].monotonic_time())


def test_a_node_of_the_previous_version_is_notified_at_intervals_and_stays_connected(monkeypatch):
    """Such a node accepts an announced record without answering, and closes the connection on an unknown frame."""
    simulation = begun(run_s=500.0)
    simulation.submit("wk-1", pieces=4)
    simulation.loop.run(20.0)
    old_node = next(n for n in simulation.nodes if n != simulation.leader())
    announced: list[int] = []
    for name, (_, node) in simulation.nodes.items():
        if name != old_node:

            def ask(peer, kind, body, done, node=node, original=node.peers._ask):
                if kind is peer_messages.FrameType.JOB_RECORD and peer.seed.node == old_node:
                    announced.append(1)
                    original(peer, kind, body, lambda answer: done(None))
                else:
                    original(peer, kind, body, done)

            node.peers._ask = ask
            peer = node.peers.by_node[old_node]
            monkeypatch.setattr(
                type(peer), "acknowledges_records", property(lambda p: p.seed.node != old_node, lambda p, value: None)
            )
    simulation.poll("wk-1", cancel=True)
    simulation.loop.run(simulation.loop.now + CANCEL_S + 5.0)
    assert not simulation.rule_violations and simulation.on_machines("wk-1") == []
    assert 1 <= len(announced) < 2 * CANCEL_S / constants.CANCELLATION_NOTIFY_INTERVAL_S


def test_without_faults_the_leader_enforces_cancellations_and_no_machine_is_deleted_for_them(caplog):
    simulation = begun(run_s=500.0)
    caplog.set_level("INFO")
    for n in range(4):
        simulation.submit(f"wk-{n}", pieces=6)
    simulation.loop.run(20.0)
    for n in range(4):
        simulation.later(0.3 * n, simulation.poll, f"wk-{n}", True)
    simulation.loop.run(simulation.loop.now + 5.0)
    assert all(simulation.on_machines(f"wk-{n}") == [] for n in range(4))
    simulation.loop.run(simulation.loop.now + 2 * CANCEL_S)
    assert "without the leader" not in caplog.text
    assert "for a cancelled task" not in caplog.text and "holds the cancelled" not in caplog.text
    # No node keeps any of these cancellations, and the followers have sent no commands to the machines.
    assert all(not node.cancellation_enforcer.cancellations.by_job for _, node in simulation.nodes.values())


def test_the_leader_places_nothing_on_a_machine_that_another_node_has_deleted():
    simulation = begun(run_s=500.0)
    simulation.submit("wk-1", pieces=4)
    simulation.loop.run(20.0)
    name = machine_of(simulation, "wk-1/0")
    leader = simulation.leader()
    assert name is not None and leader is not None
    other = next(n for n in simulation.nodes if n != leader)
    host, node = simulation.nodes[other]
    node.peers.by_node[leader].acknowledges_records = True
    host.context.run(node.peers.announce_proofs, [("", name)])
    simulation.loop.run(simulation.loop.now + 0.1)
    cluster = simulation.nodes[leader][1].leader_term.cluster  # type: ignore[union-attr]
    # The other node had not announced the deletion, so the leader gets a proof from its own request.
    assert name not in cluster.machines or not cluster.machines[name].accepts_tasks
    simulation.loop.run(simulation.loop.now + 3.0)
    assert name not in cluster.machines and name not in simulation.cloud.machines and not simulation.rule_violations


# -- each guard is needed ----------------------------------------------------------------------


def defer_record(self, ref, version, record, now):
    job = self.cluster.jobs.get(ref)
    if job is not None and job.write_in_flight:
        job.deferred_change = (version, records.encode(record))
    else:
        apply_record(self.cluster, ref, version, record, now)


def check_pending_write(late_answer: bool) -> None:
    """A write of the leader has no answer for 12 s; meanwhile the cancellation is announced to it."""
    simulation = begun(run_s=500.0)
    simulation.submit("wk-1", pieces=4)
    simulation.loop.run(20.0)
    host, node = simulation.nodes[simulation.leader() or ""]
    assert node.leader_term is not None
    job = node.leader_term.cluster.jobs["wk-1"]
    cancelled = records.decode(json.dumps(simulation.state.keys["job/wk-1"][0]).encode())
    cancelled.state, cancelled.cancelled_at = "c", simulation.loop.now
    job.write_in_flight = True
    open_record = records.decode(records.encode(cancelled))
    open_record.state, open_record.cancelled_at = "o", None
    version = job.version + 2
    answers: list[int] = []
    simulation.loop.call_soon(
        lambda: answers.append(
            node._on_peer_job_record(peer_messages.RecordAnnouncement(version, "wk-1", records.encode(cancelled)))
        ),
        context=host.context,
    )
    simulation.loop.run(simulation.loop.now + 0.01)
    assert answers == [200]
    assert job.state is JobState.CANCELLED and all(task.stopping for task in job.active.values())
    if late_answer:
        # The leader's write was executed before the cancellation: its late answer does not undo it.
        apply_commit(node.leader_term.cluster, job, version - 1, open_record, host.monotonic_time())
        assert job.state is JobState.CANCELLED and job.version == version


def test_a_cancellation_is_applied_while_a_write_of_the_job_is_unanswered():
    check_pending_write(True)


def without_settle_time(self, skew_s, cancel_s, capacity, original_init=CancellationRegistry.__init__):
    original_init(self, skew_s, cancel_s, capacity)
    self.settle_s = 0.0


WITHOUT = {
    "all nodes are told": (
        CancellationAnnouncer,
        "_announce_to",
        lambda self, peer, cancellation, now: cancellation.known_to.add(peer.seed.node),
        lambda: gaps.test_a_node_ends_inside_the_gap("confirming", 0.05, 0.3),
    ),
    "who is back is told": (
        CancellationAnnouncer,
        "on_peer_connected",
        lambda self, node: self.node.peers.by_node[node].send(peer_messages.FrameType.SYNCHRONIZED, b""),
        restarts.test_cancelled_tasks_end_though_only_nodes_that_were_told_after_a_restart_are_left,
    ),
    "users wait until all nodes know": (
        CancellationAnnouncer,
        "is_known",
        lambda self, ref: True,
        lambda: unaware.test_cancelled_tasks_end_though_only_a_zone_that_was_cut_off_is_left(True, False, False),
    ),
    "machines are deleted": (
        CancellationRegistry,
        "machines_to_delete",
        lambda self, now, wall, rank, hear_s, silent: [],
        lambda: gaps.test_only_the_old_leader_reaches_the_machines_and_nobody_reaches_it(False),
    ),
    "the door is open": (
        CancellationEnforcer,
        "may_delete",
        lambda self, names: False,
        lambda: gaps.test_only_the_old_leader_reaches_the_machines_and_nobody_reaches_it(False),
    ),
    "the list tells where machines answer": (
        CancellationEnforcer,
        "_fetch_addresses",
        lambda self, now: None,
        lambda: gaps.test_machines_that_only_the_old_leader_has_heard_are_told_and_not_deleted(False),
    ),
    "a cancellation is not put off": (RecordWatcher, "apply_record", defer_record, lambda: check_pending_write(False)),
}


@pytest.mark.parametrize("guard", WITHOUT)
def test_without_this_guard_cancelled_tasks_keep_running(guard, monkeypatch):
    owner, name, replacement, scenario = WITHOUT[guard]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        scenario()


def test_an_answer_within_the_settle_time_is_no_proof(monkeypatch):
    """Without the settle time, a machine would count as free while a start command is in flight to it."""
    monkeypatch.setattr(CancellationRegistry, "__init__", without_settle_time)
    registry = make_registry()
    registry.add_record("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    registry.on_probe_answer(report("vm-000001"), 0.1, 0.1)
    assert registry.by_job["wk-1"].state is CancellationState.CONFIRMED
    monkeypatch.undo()
    registry = make_registry()
    registry.add_record("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    registry.on_probe_answer(report("vm-000001"), 0.1, 0.1)
    assert registry.by_job["wk-1"].state is CancellationState.OUTSTANDING
    assert registry.settle_s < CANCEL_S * constants.CANCELLATION_DELETE_SHARE


def test_time_in_which_the_process_was_paused_is_no_silence_of_a_machine():
    """Guards against deleting healthy machines, whose answers are unread after a long planning cycle or a pause."""
    node = SimpleNamespace(settings=settings(), peers=SimpleNamespace(by_node={}))
    enforcer = CancellationEnforcer(node)  # type: ignore[arg-type]
    cancellation = enforcer.cancellations.add_record("wk-1", 1, record({"vm-000001": "0", "vm-000002": "1"}), 0.0)
    assert cancellation is not None
    cancellation.needs_proof = True
    enforcer.contacts["vm-000001"] = MachineContact("10.0.0.1:1", 1, 0.0, commanded_at=0.1)
    interval_s = constants.CANCELLATION_CHECK_INTERVAL_S
    silent = []
    # Checks on time, then a pause of 5 s.
    for now in (0.1, 0.1 + interval_s, 0.1 + 2 * interval_s, 6.0, *(6.0 + n * interval_s for n in range(1, 14))):
        enforcer._note_check(now)
        silent.append((now, sorted(enforcer._silent_machines(now))))
    assert [machines for now, machines in silent if now <= 6.0 + constants.CANCELLATION_ANSWER_TIMEOUT_S] == [[]] * 7
    assert silent[8][1] == ["vm-000001"] and silent[-1][1] == ["vm-000001", "vm-000002"]
