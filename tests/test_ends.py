"""Cancellations that a node answers for: the list of them as a state machine, and what it may be told."""

from __future__ import annotations

import itertools
import json

import pytest
import test_gap as gaps
from hypothesis import given
from hypothesis import strategies as st
from test_end_of_day import begun, machine_of

from standins.scene import CANCEL_S, JOB
from winglift import constants as c
from winglift.controller.following import Following
from winglift.model import records
from winglift.model.ends import TRANSITIONS, Ends, Event, State
from winglift.model.job import JobState
from winglift.model.recorded import apply_record, committed
from winglift.wire import back
from winglift.wire import workers as w
from winglift.wire.users import parse_submission
from winglift.workers.ends import EndsKeeper

MACHINES = [f"vm-{n:06d}" for n in range(4)]
SPEC = parse_submission(json.dumps({"ref": "wk-1", **JOB, "pieces": 8}).encode())


def record(places: dict[str, str], state: str = "c", at: float = 0.0) -> records.JobRecord:
    return records.JobRecord(
        submitted=0.0,
        spec=SPEC,
        state=state,
        cancelled=at if state == "c" else None,
        places=[(machine, 1, numbers) for machine, numbers in places.items()],
    )


def report(machine: str, *tasks: str, phase: w.Phase = w.Phase.RUNNING) -> w.Report:
    return w.Report(
        machine=machine,
        addr="10.0.0.1:1",
        type="g",
        zone="a",
        spot=False,
        session=1,
        seq=1,
        token=1,
        tasks=[w.TaskReport(task, 1, phase) for task in tasks],
    )


def ends(most: int = 10) -> Ends:
    return Ends(0.025, CANCEL_S, most)


ACTS = st.sampled_from(["record", "proof", "gone", "answer", "answer with", "report", "lead", "orphan"])


@given(st.lists(st.tuples(ACTS, st.sampled_from(MACHINES), st.floats(0.1, 4.0)), max_size=40))
def test_an_end_is_settled_by_proof_only_and_what_shows_up_again_is_seen_to(course):
    """Against a plain model: the machines that have not been proven free since they were last seen to hold a task."""
    book, now, version = ends(), 0.0, 5
    held = set(MACHINES)
    end = book.note("wk-1", version, record(dict.fromkeys(MACHINES, "0-1")), now)
    assert end is not None
    for act, machine, later in course:
        now += later
        settled = now >= book.settle_s  # since this node knows of it: its time of day may be of long before the commit
        if act == "record":
            version += 1
            book.note("wk-1", version, record(dict.fromkeys(held - {machine}, "0-1")), now)
            held.discard(machine)
        elif act == "proof":
            book.free("wk-1", machine, now, told=True)
            held.discard(machine)
        elif act == "gone":
            book.gone(machine, now)
            held.discard(machine)
        elif act == "answer":
            assert book.answered(report(machine, "wk-2/0"), now, now) == []
            if settled:
                held.discard(machine)
        elif act == "answer with":
            assert [h.task for h in book.answered(report(machine, "wk-1/7"), now, now)] == ["wk-1/7"]
            held.add(machine)
        elif act == "report":
            # An exit is no task on the machine, and no proof either: it may be a copy of an old report.
            assert book.on_report(report(machine, "wk-1/7", phase=w.Phase.EXITED), now) == []
        else:
            end.move(Event.TAKEN if act == "lead" else Event.ORPHANED, now)
        assert set(end.halts) == held
        assert (end.state is State.SETTLED) == (not held)
        due = book.due(now, now, 0, 2.0)
        assert set(due) <= held
        if due:
            assert end.state is State.OPEN and now + 2 * book.skew_s > CANCEL_S * c.CANCEL_DELETE_SHARE


@pytest.mark.parametrize("late_s", [0.0, 2.0, 12.0, 60.0])
def test_a_cancellation_that_was_carried_out_late_is_no_older_than_the_word_of_it(late_s):
    """Its time of day was read before the transaction was sent, and a leader may have sent starts until it was carried
    out: an answer that comes soon after proves nothing."""
    book, now = ends(), 100.0
    end = book.note("wk-1", 5, record({"vm-000001": "0"}, at=now - late_s), now)
    assert end is not None
    # What counts is when it was asked: the answer may have been held up.
    book.answered(report("vm-000001"), now + book.settle_s - 0.1, now + book.settle_s + 1.5)
    assert end.state is State.OPEN
    book.answered(report("vm-000001"), now + book.settle_s, now + book.settle_s)
    assert end.state is State.SETTLED


def test_each_event_leads_to_a_state_or_changes_nothing():
    for state, event in itertools.product(State, Event):
        end = ends().note("wk-1", 1, record({"vm-000001": "0"}), 0.0)
        assert end is not None
        end.state = state
        assert end.move(event, 1.0) is TRANSITIONS.get((state, event), state)
    # Only what a machine shows leads out of a settled one, and nothing settles one but a proof.
    assert {e for (s, e), new in TRANSITIONS.items() if s is State.SETTLED} == {Event.SEEN}
    assert {e for (_, e), new in TRANSITIONS.items() if new is State.SETTLED} == {Event.PROVEN}


@pytest.mark.parametrize("state", ["o", "d"])
def test_what_is_open_or_done_is_no_end_to_see_to(state):
    book = ends()
    assert book.note("wk-1", 3, record({"vm-000001": "0"}, state), 0.0) is None and not book.all
    assert book.note("wk-1", 3, record({}), 0.0) is None and not book.all  # nothing was ever placed


def test_a_copy_and_an_older_word_change_nothing():
    book = ends()
    end = book.note("wk-1", 5, record({"vm-000001": "0", "vm-000002": "1"}), 0.0)
    book.free("wk-1", "vm-000001", 1.0, told=True)
    for version in (5, 4):
        assert book.note("wk-1", version, record(dict.fromkeys(MACHINES, "0")), 2.0) is end
        assert end is not None and set(end.halts) == {"vm-000002"}


def test_the_list_has_a_bound_and_what_is_open_is_not_forgotten_for_it():
    book = ends(most=3)
    for n in range(3):
        book.note(f"wk-{n}", 1, record({"vm-000001": "0"}), 0.0)
    book.all["wk-1"].move(Event.TAKEN, 0.0)
    assert book.note("wk-7", 1, record({"vm-000001": "0"}), 0.0) is not None
    assert set(book.all) == {"wk-0", "wk-2", "wk-7"}
    assert book.note("wk-8", 1, record({"vm-000001": "0"}), 0.0) is None and len(book.all) == 3


def test_who_has_just_become_answerable_asks_first_unless_it_is_the_last_moment():
    book = ends()
    end = book.note("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    assert end is not None
    early, late = CANCEL_S * c.CANCEL_DELETE_SHARE + 0.5, CANCEL_S * c.CANCEL_LAST_SHARE + 0.5
    end.since = early - 1.0
    assert book.due(early, early, 0, 2.0) == [] and book.due(early + 1.5, early + 1.5, 0, 2.0) == ["vm-000001"]
    end.since = late - 0.1
    assert book.due(late, late, 0, 2.0) == ["vm-000001"]
    # The next node waits for what the first one does.
    end.since = 0.0
    assert book.due(early, early, 1, 2.0) == [] and book.due(late, late, 1, 2.0) == ["vm-000001"]


# -- what comes over the link ------------------------------------------------------------------


@pytest.mark.parametrize(
    "note", [b"", b"{", b'{"t":1}', b"\xff\xfe", records.encode(record({"vm-000001": "0"})).replace(b'"0"', b'"0-x"')]
)
def test_a_word_that_is_no_record_is_refused_and_ends_no_link(note, caplog):
    scene = begun()
    host, node = scene.nodes["node-1"]
    assert host.context.run(node._on_job, back.JobNote(3, "wk-1", note)) == 400
    assert len(caplog.records) == 1 and not node.ends.ends.all


def test_a_late_word_of_an_older_record_brings_no_place_back():
    """The leader has proven all of it and forgotten the job; a node tells it the record as it was cancelled."""
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    told: list[tuple[int, records.JobRecord]] = []
    for _, node in scene.nodes.values():

        def take(ref, version, record, usual=node.ends.take):
            told.append((version, record))
            return usual(ref, version, record)

        node.ends.take = take  # type: ignore[method-assign]
    scene.poll("wk-1", cancel=True)
    scene.loop.run(scene.loop.now + 20.0)
    host, node = scene.nodes[scene.leader() or ""]
    assert node.controller is not None and "wk-1" not in node.controller.picture.jobs
    version, record = next((v, r) for v, r in told if r.places)
    scene.loop.call_soon(
        lambda: node._on_job(back.JobNote(version, "wk-1", records.encode(record))), context=host.context
    )
    changes = scene.state.revision
    scene.loop.run(scene.loop.now + 0.5)
    assert "wk-1" not in node.controller.picture.jobs and node.controller.picture.quota.used["team"].gpus == 0
    assert scene.state.revision <= changes + 1  # at most the book's page


def test_a_frame_of_a_later_version_ends_no_link():
    scene = begun()
    _, node = scene.nodes["node-0"]
    peer = node.link.peers["node-1"]
    stream = peer.stream
    assert stream is not None
    stream.write(back.HEADER.pack(back.MAGIC, 99, 0, 3) + b"abc")
    stream.write(back.HEADER.pack(back.MAGIC, 98, 0, 0))
    scene.loop.run(scene.loop.now + 3.0)
    assert peer.stream is stream and not stream.closed()
    assert scene.nodes["node-1"][1].link.peers["node-0"].fresh(scene.nodes["node-1"][0].steady())


def test_a_node_of_the_version_before_is_told_again_at_a_pace_and_its_link_holds(monkeypatch):
    """It takes a word about a record and never answers; a frame that it does not know would end its link."""
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    old = next(n for n in scene.nodes if n != scene.leader())
    told: list[int] = []
    for name, (_, node) in scene.nodes.items():
        if name != old:

            def ask(peer, kind, body, done, node=node, usual=node.link._ask):
                if kind is back.FrameType.JOB and peer.seed.node == old:
                    told.append(1)
                    usual(peer, kind, body, lambda answer: done(None))
                else:
                    usual(peer, kind, body, done)

            node.link._ask = ask
            peer = node.link.peers[old]
            monkeypatch.setattr(type(peer), "answers", property(lambda p: p.seed.node != old, lambda p, value: None))
    scene.poll("wk-1", cancel=True)
    scene.loop.run(scene.loop.now + CANCEL_S + 5.0)
    assert not scene.broken and scene.on_machines("wk-1") == []
    assert 1 <= len(told) < 2 * CANCEL_S / c.ENDS_TELL_S


def test_on_a_quiet_day_the_leader_sees_to_it_and_no_machine_is_deleted_for_it(caplog):
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
    assert "past the leader" not in caplog.text
    assert "for a cancelled task" not in caplog.text and "holds the cancelled" not in caplog.text
    # Nobody keeps anything of it, and nothing was asked of the machines by those who don't lead.
    assert all(not node.ends.ends.all for _, node in scene.nodes.values())


def test_a_machine_deleted_past_the_leader_is_no_room_for_it():
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    name = machine_of(scene, "wk-1/0")
    leader = scene.leader()
    assert name is not None and leader is not None
    other = next(n for n in scene.nodes if n != leader)
    host, node = scene.nodes[other]
    node.link.peers[leader].answers = True
    host.context.run(node.link.tell_proofs, [("", name)])
    scene.loop.run(scene.loop.now + 0.1)
    picture = scene.nodes[leader][1].controller.picture  # type: ignore[union-attr]
    # Nobody had told that it deletes it, so the leader proves it by an answer of its own.
    assert name not in picture.machines or not picture.machines[name].usable
    scene.loop.run(scene.loop.now + 3.0)
    assert name not in picture.machines and name not in scene.cloud.machines and not scene.broken


# -- each guard is needed ----------------------------------------------------------------------


def put_off(self, ref, version, record, now):
    job = self.picture.jobs.get(ref)
    if job is not None and job.writing:
        job.pending = (version, records.encode(record))
    else:
        apply_record(self.picture, ref, version, record, now)


def took_at_once(late_answer: bool) -> None:
    """A write of the leader has no answer for 12 s; meanwhile the word of the cancellation comes."""
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    host, node = scene.nodes[scene.leader() or ""]
    assert node.controller is not None
    job = node.controller.picture.jobs["wk-1"]
    found = records.decode(json.dumps(scene.state.keys["job/wk-1"][0]).encode())
    found.state, found.cancelled = "c", scene.loop.now
    job.writing = True
    before = records.decode(records.encode(found))
    before.state, before.cancelled = "o", None
    version = job.version + 2
    answers: list[int] = []
    scene.loop.call_soon(
        lambda: answers.append(node._on_job(back.JobNote(version, "wk-1", records.encode(found)))), context=host.context
    )
    scene.loop.run(scene.loop.now + 0.01)
    assert answers == [200]
    assert job.state is JobState.CANCELLED and all(task.stopping for task in job.active.values())
    if late_answer:
        # Its own write was carried out before: the answer takes nothing back.
        committed(node.controller.picture, job, version - 1, before, host.steady())
        assert job.state is JobState.CANCELLED and job.version == version


def test_a_cancellation_is_taken_in_beside_a_write_without_an_answer():
    took_at_once(True)


def no_settling(self, skew_s, cancel_s, most, made=Ends.__init__):
    made(self, skew_s, cancel_s, most)
    self.settle_s = 0.0


WITHOUT = {
    "all nodes are told": (
        EndsKeeper,
        "_tell",
        lambda self, end, now: None,
        lambda: gaps.test_a_node_ends_inside_the_gap("confirming", 0.05, 0.3),
    ),
    "who is back is told": (
        EndsKeeper,
        "on_link",
        lambda self, node: None,
        lambda: gaps.test_only_the_old_leader_reaches_the_machines_and_nobody_reaches_it(True),
    ),
    "machines are deleted": (
        Ends,
        "due",
        lambda self, now, wall, rank, hear_s: [],
        lambda: gaps.test_only_the_old_leader_reaches_the_machines_and_nobody_reaches_it(False),
    ),
    "the door is open": (
        EndsKeeper,
        "answerable",
        lambda self, names: False,
        lambda: gaps.test_only_the_old_leader_reaches_the_machines_and_nobody_reaches_it(False),
    ),
    "the list tells where machines answer": (
        EndsKeeper,
        "_learn",
        lambda self, now: None,
        lambda: gaps.test_machines_that_only_the_old_leader_has_heard_are_told_and_not_deleted(False),
    ),
    "a cancellation is not put off": (Following, "take_job", put_off, lambda: took_at_once(False)),
}


@pytest.mark.parametrize("guard", WITHOUT)
def test_without_this_guard_cancelled_tasks_go_on(guard, monkeypatch):
    owner, name, instead, play = WITHOUT[guard]
    monkeypatch.setattr(owner, name, instead)
    with pytest.raises(AssertionError):
        play()


def test_a_start_in_flight_proves_that_an_early_answer_is_no_proof(monkeypatch):
    """Without the time in which it may come a machine counts as free while the start is on its way to it."""
    monkeypatch.setattr(Ends, "__init__", no_settling)
    book = ends()
    book.note("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    book.answered(report("vm-000001"), 0.1, 0.1)
    assert book.all["wk-1"].state is State.SETTLED
    monkeypatch.undo()
    book = ends()
    book.note("wk-1", 1, record({"vm-000001": "0"}), 0.0)
    book.answered(report("vm-000001"), 0.1, 0.1)
    assert book.all["wk-1"].state is State.OPEN
    assert book.settle_s < CANCEL_S * c.CANCEL_DELETE_SHARE
