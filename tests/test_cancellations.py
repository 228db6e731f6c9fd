"""Cancellations that a node enforces: their registry and state machine, and the notifications between nodes."""

from __future__ import annotations

import itertools
import json

import pytest
import test_gap as gaps
from hypothesis import given
from hypothesis import strategies as st
from test_end_of_day import begun, machine_of

from standins.scene import CANCEL_S, JOB
from winglift import constants
from winglift.controller.record_watcher import RecordWatcher
from winglift.model import records
from winglift.model.cancellations import TRANSITIONS, CancellationEvent, CancellationRegistry, CancellationState
from winglift.model.job_state import JobState
from winglift.model.record_application import apply_commit, apply_record
from winglift.wire import peer as peer_messages
from winglift.wire import workers as worker_messages
from winglift.wire.users import parse_submission
from winglift.workers.cancellation_enforcement import CancellationEnforcer

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


def cancellations(most: int = 10) -> CancellationRegistry:
    return CancellationRegistry(0.025, CANCEL_S, most)


ACTIONS = st.sampled_from(["record", "proof", "gone", "answer", "answer with", "report", "lead", "orphan"])


@given(st.lists(st.tuples(ACTIONS, st.sampled_from(MACHINES), st.floats(0.1, 4.0)), max_size=40))
def test_a_cancellation_is_confirmed_by_proof_only_and_reopened_by_a_reported_task(course):
    """Against a plain model: the machines that have not been proven free since they were last seen to hold a task."""
    registry, now, version = cancellations(), 0.0, 5
    held = set(MACHINES)
    cancellation = registry.add_record("wk-1", version, record(dict.fromkeys(MACHINES, "0-1")), now)
    assert cancellation is not None
    for action, machine, later in course:
        now += later
        # Since this node knows of it: its time of day may be of long before the commit.
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
            assert [h.task for h in registry.on_probe_answer(report(machine, "wk-1/7"), now, now)] == ["wk-1/7"]
            held.add(machine)
        elif action == "report":
            # An exit is no task on the machine, and no proof either: it may be a copy of an old report.
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
def test_a_cancellation_that_was_carried_out_late_is_no_older_than_the_word_of_it(late_s):
    """Its time of day was read before the transaction was sent, and a leader may have sent starts until it was carried
    out: an answer that comes soon after proves nothing."""
    registry, now = cancellations(), 100.0
    cancellation = registry.add_record("wk-1", 5, record({"vm-000001": "0"}, at=now - late_s), now)
    assert cancellation is not None
    # What counts is when the probe was sent: the answer may have been delayed.
    registry.on_probe_answer(report("vm-000001"), now + registry.settle_s - 0.1, now + registry.settle_s + 1.5)
    assert cancellation.state is CancellationState.OUTSTANDING
    registry.on_probe_answer(report("vm-000001"), now + registry.settle_s, now + registry.settle_s)
    assert cancellation.state is CancellationState.CONFIRMED


def test_each_event_leads_to_a_state_or_changes_nothing():
    for state, event in itertools.product(CancellationState, CancellationEvent):
        cancellation = cancellations().add_record("wk-1", 1, record({"vm-000001": "0"}), 0.0)
        assert cancellation is not None
        cancellation.state = state
        assert cancellation.move(event, 1.0) is TRANSITIONS.get((state, event), state)
    # Only a reported task reopens a confirmed one, and nothing confirms one but a proof.
    assert {e for (s, e), new in TRANSITIONS.items() if s is CancellationState.CONFIRMED} == {
        CancellationEvent.TASK_SEEN
    }
    assert {e for (_, e), new in TRANSITIONS.items() if new is CancellationState.CONFIRMED} == {
        CancellationEvent.PROVEN_OFF
    }


@pytest.mark.parametrize("state", ["o", "d"])
def test_a_record_that_is_open_or_done_gives_no_cancellation(state):
    registry = cancellations()
    assert registry.add_record("wk-1", 3, record({"vm-000001": "0"}, state), 0.0) is None and not registry.by_job
    # Cancelled, but nothing was ever assigned.
    assert registry.add_record("wk-1", 3, record({}), 0.0) is None and not registry.by_job


def test_a_repeated_and_an_older_record_change_nothing():
    registry = cancellations()
    cancellation = registry.add_record("wk-1", 5, record({"vm-000001": "0", "vm-000002": "1"}), 0.0)
    registry.clear_machine("wk-1", "vm-000001", 1.0, proven_by_peer=True)
    for version in (5, 4):
        assert registry.add_record("wk-1", version, record(dict.fromkeys(MACHINES, "0")), 2.0) is cancellation
        assert cancellation is not None and set(cancellation.stop_commands) == {"vm-000002"}


def test_the_registry_has_a_bound_and_drops_no_outstanding_cancellation():
    registry = cancellations(most=3)
    for n in range(3):
        registry.add_record(f"wk-{n}", 1, record({"vm-000001": "0"}), 0.0)
    registry.by_job["wk-1"].move(CancellationEvent.DELEGATE, 0.0)
    assert registry.add_record("wk-7", 1, record({"vm-000001": "0"}), 0.0) is not None
    assert set(registry.by_job) == {"wk-0", "wk-2", "wk-7"}
    assert registry.add_record("wk-8", 1, record({"vm-000001": "0"}), 0.0) is None and len(registry.by_job) == 3


def test_a_node_that_has_just_become_responsible_probes_first_unless_time_runs_out():
    registry = cancellations()
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
    # The next node waits for what the first one does.
    cancellation.state_since = 0.0
    assert registry.machines_to_delete(early, early, 1, 2.0) == [] and registry.machines_to_delete(
        late, late, 1, 2.0
    ) == ["vm-000001"]


# -- announcements of peers --------------------------------------------------------------------


@pytest.mark.parametrize(
    "note", [b"", b"{", b'{"t":1}', b"\xff\xfe", records.encode(record({"vm-000001": "0"})).replace(b'"0"', b'"0-x"')]
)
def test_an_announcement_that_is_no_record_is_refused_and_ends_no_connection(note, caplog):
    scene = begun()
    host, node = scene.nodes["node-1"]
    assert host.context.run(node._on_peer_job_record, peer_messages.RecordAnnouncement(3, "wk-1", note)) == 400
    assert len(caplog.records) == 1 and not node.cancellation_enforcer.cancellations.by_job


def test_a_late_announcement_of_an_older_record_brings_no_assignment_back():
    """The leader has proven all of it and forgotten the job; a node tells it the record as it was cancelled."""
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    told: list[tuple[int, records.JobRecord]] = []
    for _, node in scene.nodes.values():

        def take(ref, version, record, usual=node.cancellation_enforcer.add_record):
            told.append((version, record))
            return usual(ref, version, record)

        node.cancellation_enforcer.add_record = take  # type: ignore[method-assign]
    scene.poll("wk-1", cancel=True)
    scene.loop.run(scene.loop.now + 20.0)
    host, node = scene.nodes[scene.leader() or ""]
    assert node.leader_term is not None and "wk-1" not in node.leader_term.cluster.jobs
    version, record = next((v, r) for v, r in told if r.assignments)
    scene.loop.call_soon(
        lambda: node._on_peer_job_record(peer_messages.RecordAnnouncement(version, "wk-1", records.encode(record))),
        context=host.context,
    )
    changes = scene.state.revision
    scene.loop.run(scene.loop.now + 0.5)
    assert "wk-1" not in node.leader_term.cluster.jobs and node.leader_term.cluster.quota.used["team"].gpus == 0
    assert scene.state.revision <= changes + 1  # at most the book's page


def test_a_frame_of_a_later_version_ends_no_connection():
    scene = begun()
    _, node = scene.nodes["node-0"]
    peer = node.peers.by_node["node-1"]
    stream = peer.stream
    assert stream is not None
    stream.write(peer_messages.HEADER.pack(peer_messages.MAGIC, 99, 0, 3) + b"abc")
    stream.write(peer_messages.HEADER.pack(peer_messages.MAGIC, 98, 0, 0))
    scene.loop.run(scene.loop.now + 3.0)
    assert peer.stream is stream and not stream.closed()
    assert scene.nodes["node-1"][1].peers.by_node["node-0"].fresh(scene.nodes["node-1"][0].monotonic_time())


def test_a_node_of_the_version_before_is_notified_at_intervals_and_its_connection_holds(monkeypatch):
    """It takes an announced record and never answers; a frame that it does not know would end its connection."""
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    old = next(n for n in scene.nodes if n != scene.leader())
    told: list[int] = []
    for name, (_, node) in scene.nodes.items():
        if name != old:

            def ask(peer, kind, body, done, node=node, usual=node.peers._ask):
                if kind is peer_messages.FrameType.JOB_RECORD and peer.seed.node == old:
                    told.append(1)
                    usual(peer, kind, body, lambda answer: done(None))
                else:
                    usual(peer, kind, body, done)

            node.peers._ask = ask
            peer = node.peers.by_node[old]
            monkeypatch.setattr(
                type(peer), "acknowledges_records", property(lambda p: p.seed.node != old, lambda p, value: None)
            )
    scene.poll("wk-1", cancel=True)
    scene.loop.run(scene.loop.now + CANCEL_S + 5.0)
    assert not scene.broken and scene.on_machines("wk-1") == []
    assert 1 <= len(told) < 2 * CANCEL_S / constants.CANCELLATION_NOTIFY_INTERVAL_S


def test_without_faults_the_leader_enforces_cancellations_and_no_machine_is_deleted_for_them(caplog):
    scene = begun(run_s=500.0)
    caplog.set_level("INFO")
    for n in range(4):
        scene.submit(f"wk-{n}", pieces=6)
    scene.loop.run(20.0)
    for n in range(4):
        scene.later(0.3 * n, scene.poll, f"wk-{n}", True)
    scene.loop.run(scene.loop.now + 5.0)
    assert all(scene.on_machines(f"wk-{n}") == [] for n in range(4))
    scene.loop.run(scene.loop.now + 2 * CANCEL_S)
    assert "without the leader" not in caplog.text
    assert "for a cancelled task" not in caplog.text and "holds the cancelled" not in caplog.text
    # Nobody keeps anything of it, and nothing was asked of the machines by those who don't lead.
    assert all(not node.cancellation_enforcer.cancellations.by_job for _, node in scene.nodes.values())


def test_the_leader_places_nothing_on_a_machine_that_another_node_has_deleted():
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    name = machine_of(scene, "wk-1/0")
    leader = scene.leader()
    assert name is not None and leader is not None
    other = next(n for n in scene.nodes if n != leader)
    host, node = scene.nodes[other]
    node.peers.by_node[leader].acknowledges_records = True
    host.context.run(node.peers.announce_proofs, [("", name)])
    scene.loop.run(scene.loop.now + 0.1)
    cluster = scene.nodes[leader][1].leader_term.cluster  # type: ignore[union-attr]
    # Nobody had told that it deletes it, so the leader proves it by an answer of its own.
    assert name not in cluster.machines or not cluster.machines[name].accepts_tasks
    scene.loop.run(scene.loop.now + 3.0)
    assert name not in cluster.machines and name not in scene.cloud.machines and not scene.broken


# -- each guard is needed ----------------------------------------------------------------------


def put_off(self, ref, version, record, now):
    job = self.cluster.jobs.get(ref)
    if job is not None and job.write_in_flight:
        job.deferred_change = (version, records.encode(record))
    else:
        apply_record(self.cluster, ref, version, record, now)


def took_at_once(late_answer: bool) -> None:
    """A write of the leader has no answer for 12 s; meanwhile the word of the cancellation comes."""
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    host, node = scene.nodes[scene.leader() or ""]
    assert node.leader_term is not None
    job = node.leader_term.cluster.jobs["wk-1"]
    found = records.decode(json.dumps(scene.state.keys["job/wk-1"][0]).encode())
    found.state, found.cancelled_at = "c", scene.loop.now
    job.write_in_flight = True
    before = records.decode(records.encode(found))
    before.state, before.cancelled_at = "o", None
    version = job.version + 2
    answers: list[int] = []
    scene.loop.call_soon(
        lambda: answers.append(
            node._on_peer_job_record(peer_messages.RecordAnnouncement(version, "wk-1", records.encode(found)))
        ),
        context=host.context,
    )
    scene.loop.run(scene.loop.now + 0.01)
    assert answers == [200]
    assert job.state is JobState.CANCELLED and all(task.stopping for task in job.active.values())
    if late_answer:
        # Its own write was carried out before: the answer takes nothing back.
        apply_commit(node.leader_term.cluster, job, version - 1, before, host.monotonic_time())
        assert job.state is JobState.CANCELLED and job.version == version


def test_a_cancellation_is_taken_in_beside_a_write_without_an_answer():
    took_at_once(True)


def no_settling(self, skew_s, cancel_s, capacity, made=CancellationRegistry.__init__):
    made(self, skew_s, cancel_s, capacity)
    self.settle_s = 0.0


WITHOUT = {
    "all nodes are told": (
        CancellationEnforcer,
        "_announce",
        lambda self, cancellation, now: None,
        lambda: gaps.test_a_node_ends_inside_the_gap("confirming", 0.05, 0.3),
    ),
    "who is back is told": (
        CancellationEnforcer,
        "on_peer_connected",
        lambda self, node: None,
        lambda: gaps.test_only_the_old_leader_reaches_the_machines_and_nobody_reaches_it(True),
    ),
    "machines are deleted": (
        CancellationRegistry,
        "machines_to_delete",
        lambda self, now, wall, rank, hear_s: [],
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
    "a cancellation is not put off": (RecordWatcher, "apply_record", put_off, lambda: took_at_once(False)),
}


@pytest.mark.parametrize("guard", WITHOUT)
def test_without_this_guard_cancelled_tasks_go_on(guard, monkeypatch):
    owner, name, instead, play = WITHOUT[guard]
    monkeypatch.setattr(owner, name, instead)
    with pytest.raises(AssertionError):
        play()


def test_a_start_in_flight_proves_that_an_early_answer_is_no_proof(monkeypatch):
    """Without the time in which it may come a machine counts as free while the start is on its way to it."""
    monkeypatch.setattr(CancellationRegistry, "__init__", no_settling)
    registry = cancellations()
    registry.add_record("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    registry.on_probe_answer(report("vm-000001"), 0.1, 0.1)
    assert registry.by_job["wk-1"].state is CancellationState.CONFIRMED
    monkeypatch.undo()
    registry = cancellations()
    registry.add_record("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    registry.on_probe_answer(report("vm-000001"), 0.1, 0.1)
    assert registry.by_job["wk-1"].state is CancellationState.OUTSTANDING
    assert registry.settle_s < CANCEL_S * constants.CANCELLATION_DELETE_SHARE
