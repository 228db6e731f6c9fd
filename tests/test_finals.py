"""A final state (done or cancelled) that a user was told never changes, whatever is written or restarted meanwhile.

Three nodes in simulated time. While the leader writes the completion of a job, the user cancels the job at another node
and repeats both requests. Nodes crash and restart during that write and at each step of the election that follows.
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import re

import msgspec
import pytest
from helpers import MACHINE_TYPE, run_simulated, spec
from helpers import settings as deployment_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.history import UserAnswer, contradictions
from standins.network import Host, Message, Network
from standins.simulation import JOB, Simulation
from winglift.api.jobs import Jobs, TemporarilyUnavailable
from winglift.model import records
from winglift.model.cluster_state import ClusterState
from winglift.model.entities import Job
from winglift.model.job_state import JOB_TRANSITIONS, JobEvent, JobState
from winglift.model.leadership import Role
from winglift.model.machine_state import MachineState
from winglift.model.record_application import _apply_final_state as apply_final_state
from winglift.model.record_application import apply_commit, apply_record
from winglift.model.write_priority import WritePriority
from winglift.store.batcher import build_job_record
from winglift.store.client import Health, OutcomeUnknown
from winglift.store.election import Election
from winglift.wire import peer as peer_messages
from winglift.wire import state as state_messages


class Scenario:
    """One job that completes after some 15 s and is cancelled `cancel_after_s` after its completion is first written.

    `write`: how that write is delivered. `fault`: which nodes crash, at the write or at request `step` of the election.
    """

    def __init__(self, write: str, fault: str, back_s: float, cancel_after_s: float, step: int = 0) -> None:
        self.simulation = simulation = Simulation(3, boot_s=2.0, run_s=6.0, cloud_list_lag_s=3.0)
        self.write, self.fault, self.back_s, self.cancel_after_s, self.step = write, fault, back_s, cancel_after_s, step
        self.sent_at: float | None = None
        self.faulted = False
        self.election_requests = 0  # since the fault
        simulation.net.loss = 0.0
        simulation.net.watch = self._watch
        simulation.start_all()
        simulation.loop.run(3.0)
        simulation.submit("wk-1")
        simulation.loop.run(lambda: self.sent_at is not None, 60.0)
        assert self.sent_at is not None
        simulation.loop.run(self.sent_at + 12.0)
        self._deliver()
        simulation.loop.run(self.sent_at + 30.0)
        for number in range(3):
            simulation.send_once(number, "GET", "/work/wk-1")
            simulation.send_once(number, "POST", "/work", {"ref": "wk-1", **JOB})
        simulation.loop.run(simulation.loop.now + 4.0)
        assert simulation.run_until_ended(["wk-1"], 30.0)
        self.rule_violations = contradictions(simulation.history) + simulation.rule_violations

    def _deliver(self) -> None:
        for arrive in self.simulation.net.held_messages:
            arrive()
        self.simulation.net.held_messages.clear()

    def _leads(self, name: str) -> bool:
        key = self.simulation.state.keys.get("leader")
        return key is not None and key[0]["node"] == name

    def _watch(self, message: Message) -> str | float | None:
        simulation = self.simulation
        if message.what == "POST /commit" and b'"o":"d"' in message.body and self._leads(message.source):
            if self.sent_at is None:
                self.sent_at = simulation.loop.now
                self._schedule_user_requests()
                if self.fault and not self.step:
                    simulation.later(0.0, self._trigger_fault)
                    return None if self.write == "in time" else "hold"
            if simulation.loop.now < self.sent_at + 4.0:
                return {"in time": None, "late": "hold", "lost": "drop", "twice": 3.0}[self.write]
        if self.faulted and self.step and message.what in ("POST /grants", "GET /store/leader", "GET /store/term"):
            self.election_requests += 1
            if self.election_requests == self.step:
                simulation.later(0.0, self._restart, message.source)
        return None

    def _schedule_user_requests(self) -> None:
        simulation, rival = self.simulation, 2 if self._leads("node-1") else 1
        for after in (self.cancel_after_s, self.cancel_after_s + 0.3, self.cancel_after_s + 7.0):
            simulation.later(after, simulation.send_once, rival, "POST", "/work/wk-1/abort", {})
            simulation.later(after + 0.05, simulation.send_once, 0, "POST", "/work", {"ref": "wk-1", **JOB})
        for number in range(24):
            simulation.later(0.4 * number, simulation.send_once, number % 3, "GET", "/work/wk-1")
        if self.fault and self.step:
            simulation.later(0.0, self._trigger_fault)

    def _trigger_fault(self) -> None:
        self.faulted = True
        for name in list(self.simulation.nodes):
            if self.fault == "all end" or self._leads(name):
                self._restart(name)

    def _restart(self, name: str) -> None:
        if name in self.simulation.nodes:
            self.simulation.crash(name)
            self.simulation.later(self.back_s, self.simulation.start, int(name[-1]))


WRITES = ("in time", "late", "lost", "twice")
CANCEL_DELAYS_S = (-0.002, 0.0, 0.5, 2.0)


@pytest.mark.parametrize("write", WRITES)
def test_final_state_is_kept_when_a_cancellation_and_retries_overlap_its_write(write):
    for when in CANCEL_DELAYS_S:
        scenario = Scenario(write, "", 0.0, max(0.0, when))
        assert not scenario.rule_violations, (write, when)


@pytest.mark.parametrize("write", WRITES)
@pytest.mark.parametrize("fault", ["the leader ends", "all end"])
def test_final_state_is_kept_when_nodes_restart_during_its_write(write, fault):
    for back_s, when in itertools.product((0.05, 0.5), (0.0, 2.0)):
        scenario = Scenario(write, fault, back_s, when)
        assert not scenario.rule_violations, (write, fault, back_s, when)


@pytest.mark.parametrize("step", range(1, 9))
def test_final_state_is_kept_when_nodes_restart_at_each_step_of_the_election(step):
    for fault, back_s in itertools.product(("the leader ends", "all end"), (0.05, 0.3)):
        scenario = Scenario("late", fault, back_s, 0.5, step)
        assert not scenario.rule_violations, (fault, back_s, step)


def test_final_state_is_kept_without_caches(monkeypatch):
    """Caches of final states can hide a wrong record. Here they are disabled, so each answer comes from the record."""
    monkeypatch.setattr("winglift.constants.FINAL_STATE_CACHE_MAX", 0)
    monkeypatch.setattr("winglift.constants.READ_CACHE_RECORDS_MAX", 1)
    for write, fault in itertools.product(WRITES, ("", "the leader ends", "all end")):
        assert not Scenario(write, fault, 0.05, 0.5).rule_violations, (write, fault)


def test_a_late_announcement_of_a_finished_jobs_record_starts_nothing():
    simulation = Simulation(3, boot_s=2.0, run_s=6.0, cloud_list_lag_s=3.0)
    simulation.net.loss = 0.0
    simulation.start_all()
    simulation.loop.run(3.0)
    simulation.submit("wk-1")
    simulation.loop.run(lambda: "job/wk-1" in simulation.state.keys, 10.0)
    value, version, _ = simulation.state.keys["job/wk-1"]
    early = records.decode(msgspec.json.encode(value))
    assert simulation.run_until_ended(["wk-1"], 60.0)
    simulation.loop.run(simulation.loop.now + 5.0)
    starts_before = sum(len(worker.starts) for worker in simulation.cloud.workers())
    for _ in range(2):
        host, node = simulation.nodes[simulation.leader() or ""]
        host.context.run(
            node._on_peer_job_record, peer_messages.RecordAnnouncement(version, "wk-1", records.encode(early))
        )
        simulation.loop.run(simulation.loop.now + 8.0)
    assert sum(len(worker.starts) for worker in simulation.cloud.workers()) == starts_before
    simulation.send_once(0, "GET", "/work/wk-1")
    simulation.loop.run(simulation.loop.now + 3.0)
    assert (
        not contradictions(simulation.history) + simulation.rule_violations and simulation.history[-1].status == "done"
    )


# -- many restarts at once, generated ----------------------------------------------------------

ACTIONS = ("end", "end all", "cancel", "copy", "ask", "hold", "deliver", "outage")


@settings(max_examples=30)
@given(
    st.integers(0, 1000),
    st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 5), st.floats(0.05, 0.5)), min_size=12, max_size=30),
)
def test_no_answer_is_contradicted_through_many_restarts(seed, course):
    simulation = Simulation(3, seed, boot_s=2.0, run_s=5.0, cloud_list_lag_s=3.0)
    hold_commits = [False]
    simulation.net.watch = lambda m: "hold" if hold_commits[0] and m.what == "POST /commit" else None
    simulation.start_all()
    simulation.loop.run(3.0)
    refs = [f"wk-{n}" for n in range(6)]
    for ref in refs:
        simulation.submit(ref)
    simulation.loop.run(8.0)

    def restart(number: int, back_s: float) -> None:
        if f"node-{number}" in simulation.nodes:
            simulation.crash(f"node-{number}")
            simulation.later(back_s, simulation.start, number)

    def set_outage(value: bool) -> None:
        simulation.state.down = value

    def deliver() -> None:
        hold_commits[0] = False
        for arrive in simulation.net.held_messages:
            arrive()
        simulation.net.held_messages.clear()

    for action, number, back_s in course:
        ref, node = refs[number], number % 3
        if action == "end":
            restart(node, back_s)
        elif action == "end all":
            for n in range(3):
                restart(n, back_s * (n + 1))
        elif action == "cancel":
            simulation.send_once(node, "POST", f"/work/{ref}/abort", {})
            simulation.send_once((node + 1) % 3, "POST", "/work", {"ref": ref, **JOB})
        elif action == "copy":
            simulation.later(back_s, simulation.send_once, node, "POST", "/work", {"ref": ref, **JOB})
        elif action == "hold":
            hold_commits[0] = True
        elif action == "deliver":
            deliver()
        elif action == "outage":
            set_outage(True)
            simulation.later(4.0 * back_s, set_outage, False)
        for n in range(3):
            simulation.later(back_s, simulation.send_once, n, "GET", f"/work/{ref}")
        simulation.loop.run(simulation.loop.now + 3 * back_s)
    deliver()
    simulation.loop.run(simulation.loop.now + 15.0)
    assert simulation.run_until_ended(sorted(simulation.accepted), 120.0)
    assert contradictions(simulation.history) + simulation.rule_violations == []


# -- the guards are necessary ------------------------------------------------------------------


def test_build_record_write_refuses_to_replace_a_final_state():
    ended = records.JobRecord(submitted_at=0.0, spec=spec(), state="c", cancelled_at=1.0)
    for recorded, state in itertools.product((JobState.DONE, JobState.CANCELLED), "odc"):
        record = msgspec.structs.replace(ended, state=state)
        if state == recorded.value:
            condition, put = records.build_record_write("wk-1", 7, recorded, record)
            assert (condition.key, condition.version, put.value) == ("job/wk-1", 7, record)
        else:
            with pytest.raises(records.FinalStateViolation):
                records.build_record_write("wk-1", 7, recorded, record)
    with pytest.raises(records.InvalidRecord):
        records.build_record_write(
            "wk-1", 7, JobState.OPEN, msgspec.structs.replace(ended, state=JobState.ENDING.value)
        )
    # Changes of job records are built nowhere else.
    source = {path: path.read_text() for path in pathlib.Path("winglift").rglob("*.py")}
    assert [str(p) for p, text in source.items() if re.search(r"Put\((job_)?(records\.)?JOB", text)] == [
        "winglift/model/records.py"
    ]


def test_final_states_have_no_transitions():
    for state, event in itertools.product((JobState.DONE, JobState.CANCELLED), JobEvent):
        assert (state, event) not in JOB_TRANSITIONS
    assert {way for way, to in JOB_TRANSITIONS.items() if to is JobState.CANCELLED} == {
        (JobState.OPEN, JobEvent.RECORD_CANCELLED),
        (JobState.ENDING, JobEvent.RECORD_CANCELLED),
    }


def leader_with_job() -> tuple[ClusterState, Job]:
    """A cluster state with one job of two tasks, one of them with a committed assignment."""
    cluster = ClusterState(deployment_settings(), {"g4": MACHINE_TYPE}, 1)
    job = apply_record(cluster, "wk-1", 5, records.new_record(spec("wk-1"), 0.0), 0.0)
    assert job is not None
    machine = cluster.register_machine("vm-1", "g4", "a", False, 0.0, None)
    machine.state = MachineState.UP
    assert cluster.propose_placement(job, [(0, machine)], 0.0)
    apply_commit(cluster, job, 6, build_job_record(job), 0.0)
    return cluster, job


def test_a_superseded_leader_does_not_adopt_the_newer_version():
    cluster, job = leader_with_job()
    record = msgspec.structs.replace(build_job_record(job), state="c", cancelled_at=1.0, assignments=[("vm-2", 9, "0")])
    apply_record(cluster, "wk-1", 8, record, 1.0)
    assert cluster.superseded and job.version == 6 and job.committed_assignments[0] == ("vm-1", 1)


@pytest.mark.parametrize("recorded", ["d", "c"])
def test_a_recorded_final_state_overrides_the_leaders_state(recorded):
    cluster, job = leader_with_job()
    job.move(JobEvent.COMPLETE)
    job.request_write(WritePriority.URGENT)
    apply_record(
        cluster, "wk-1", 7, msgspec.structs.replace(build_job_record(job), state=recorded, cancelled_at=1.0), 1.0
    )
    assert job.state is JobState(recorded) and build_job_record(job).state == recorded


def test_the_leader_record_of_an_earlier_process_is_not_taken_as_own():
    class State:
        async def grant_lease(self, ttl_s):
            return 2

        async def get(self, key, urgent=False):
            if key == records.TERM_KEY:
                return None
            return state_messages.Item(key, msgspec.Raw(b'{"term":2,"node":"node-0"}'), 9, self.lease)

        async def commit(self, txn, urgent=False):
            raise OutcomeUnknown("no answer")

        def set_leading(self, leads):
            pass

    async def scenario(lease: int) -> Role:
        state = State()
        state.lease = lease
        election = Election(state, "node-0", lambda: None)
        await election._campaign()
        return election.leadership.role

    assert run_simulated(scenario(2)) is Role.LEADER
    assert run_simulated(scenario(1)) is Role.FOLLOWER


@pytest.mark.parametrize("slow_s", [0.1, 4.0])
def test_a_paused_node_does_not_answer_from_stale_reads(slow_s):
    """While a node is paused, another node may give the user a newer answer."""

    class State:
        keys: dict = {}

        def follower_share(self):
            return 0.2

        def health(self):
            return Health.GOOD

        async def list(self, prefix):
            return [], 1

        async def changes(self, prefix, after, block_ms=0):
            return state_messages.Changes(1, [])

        async def get(self, key, timeout=0.0):
            record = records.new_record(spec("wk-000001"), 0.0)
            await asyncio.sleep(slow_s)
            return state_messages.Item(key, msgspec.Raw(records.encode(record)), 5)

        async def commit(self, txn, timeout=0.0):
            await asyncio.sleep(slow_s)
            return state_messages.Committed(5)

    async def scenario() -> None:
        jobs = Jobs(deployment_settings(), State(), lambda: {"g4": MACHINE_TYPE}, lambda *args: None)
        for call in (lambda: jobs.status("wk-000001"), lambda: jobs.submit(spec("wk-000002"))):
            if slow_s > 1.0:
                with pytest.raises(TemporarilyUnavailable):
                    await call()
            else:
                assert await call() is not None

    net = Network()
    task = Host(net, "node", "a").context.run(net.loop.create_task, scenario())
    assert net.loop.run(task.done)
    task.result()


@pytest.mark.parametrize("guard", ["the record goes first", "the one place"])
def test_a_final_state_is_replaced_only_without_both_guards(guard, monkeypatch):
    """Either of the two guards alone keeps the final state that the user was told."""
    if guard == "the record goes first":
        monkeypatch.setattr(
            "winglift.model.record_application._apply_final_state",
            lambda job, loaded: job.is_open and apply_final_state(job, loaded),
        )
        scenario = Scenario("lost", "", 0.0, 0.5)
        assert not scenario.rule_violations  # build_record_write has refused the write
        monkeypatch.setattr(records, "FinalStateViolation", type("Never", (Exception,), {}))
    original = records.build_record_write
    monkeypatch.setattr(
        records,
        "build_record_write",
        lambda ref, version, recorded, record: original(ref, version, JobState.OPEN, record),
    )
    scenario = Scenario("lost", "", 0.0, 0.5)
    assert bool(scenario.rule_violations) is (guard == "the record goes first")


def test_contradictions_are_found_in_histories_that_hold_one_each():
    def told(what: str, asked: float, status: str = "", code: int = 200, after: float = 0.1) -> UserAnswer:
        return UserAnswer("wk-1", what, "n", asked, asked + after, code, status)

    begin, cancel = told("submit", 0.0, "queued", 201), told("cancel", 2.0, "aborted")
    sound = [
        begin,
        told("status", 1.95, "running", after=1.0),
        cancel,
        told("submit", 3.0, "aborted"),
        told("status", 0.0, code=404, after=0.2),
    ]
    assert contradictions(sound) == []
    for wrong in (
        [begin, cancel, told("status", 3.0, "running")],
        [begin, cancel, told("status", 3.0, "done")],
        [begin, told("status", 1.0, "aborted")],
        [begin, told("status", 1.0, code=404)],
        [begin, told("submit", 1.0, code=422)],
        [begin, told("status", 1.0, "done"), told("submit", 2.0, "done", 201)],
        [begin, told("status", 1.0, "done"), cancel],
    ):
        assert len(contradictions(wrong)) >= 1, wrong
