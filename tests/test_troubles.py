"""Processes that are back within a fraction of a second, at every step; troubles in any order; and that the guards of
`test_end_of_day` are needed: without each of them one of its plays fails."""

from __future__ import annotations

import json
from functools import cache

import pytest
import test_end_of_day as day
from hypothesis import example, given
from hypothesis import settings as how
from hypothesis import strategies as st

from standins.history import UserAnswer
from standins.network import Cut, Message
from standins.simulation import Simulation
from winglift.model import report_reconciliation
from winglift.node import Node
from winglift.workers.partition_detector import PartitionDetector, PartitionEvent, PartitionState

# -- back at once, at every step ---------------------------------------------------------------


class Back:
    """A leader crashes at 16 s while jobs come. At one of the requests to the state service that follow, whoever sends
    it ends before or after it left, and is back after `pause`."""

    def __init__(self, at: int = -1, pause: float = 0.1, sent: bool = True) -> None:
        self.simulation = simulation = day.begun(run_s=12.0)
        self.steps: list[str] = []
        self.at, self.pause, self.sent = at, pause, sent
        self.terms: list[int] = []
        apply = simulation.state.apply

        def applying(changes):
            self.terms += [c["v"]["term"] for c in changes if c.get("write") == "term"]
            return apply(changes)

        simulation.state.apply = applying  # type: ignore[method-assign]
        for n in range(3):
            simulation.submit(f"wk-{n}", pieces=4)
        simulation.loop.run(16.0)
        first = simulation.leader()
        assert first is not None
        simulation.net.watch = self._watch
        self.crash(first)
        for n in range(3, 6):
            simulation.submit(f"wk-{n}")
        simulation.loop.run(20.0)
        simulation.net.watch = lambda message: None
        self.led_at = 0.0
        if simulation.loop.run(lambda: simulation.leader() is not None, 20.0):
            self.led_at = simulation.loop.now
        self.ended = simulation.run_until_ended([f"wk-{n}" for n in range(6)], 120.0)

    def crash(self, name: str) -> None:
        if name in self.simulation.nodes:
            self.simulation.crash(name)
            self.simulation.later(
                self.pause, lambda: name in self.simulation.nodes or self.simulation.start(int(name[-1]))
            )

    def _watch(self, message: Message) -> str | None:
        if message.target != "services" or not message.source.startswith("node-") or self.simulation.loop.now > 19.0:
            return None
        self.steps.append(f"{message.source} {message.what}")
        if len(self.steps) - 1 != self.at:
            return None
        if self.sent:
            self.simulation.later(0.0, self.crash, message.source)
            return None
        self.crash(message.source)
        return "drop"


@cache
def steps() -> list[int]:
    """The requests that decide something: leases, elections, takeovers, commits."""
    plain = Back()
    assert plain.ended and not plain.simulation.rule_violations
    return [n for n, step in enumerate(plain.steps) if "POST /" in step][:16]


@pytest.mark.parametrize("pause", [0.05, 0.5])
@pytest.mark.parametrize("part", range(4))
def test_at_no_step_of_an_election_does_a_node_that_is_back_at_once_cost_a_term_twice_or_a_job(part, pause):
    for at in steps()[part::4]:
        for sent in (True, False):
            play = Back(at, pause, sent)
            where = (at, play.steps[at] if at < len(play.steps) else "", sent)
            assert play.ended and not play.simulation.rule_violations, (where, play.simulation.rule_violations)
            assert play.terms == sorted(set(play.terms)), where  # no term twice
            assert play.led_at <= 25.0, where


@pytest.mark.parametrize("pause", [0.05, 0.5])
def test_a_machine_that_is_back_at_once_under_its_address_runs_nothing_twice(pause):
    """Its worker begins anew: session 1, nothing on it. Its reports look older than what is known."""
    simulation = day.begun(run_s=25.0)
    simulation.submit("wk-1", pieces=4)
    simulation.submit("wk-900", pieces=2, **day.SERVICE)
    simulation.loop.run(20.0)
    worker = simulation.cloud.workers()[0]
    worker._forget()
    worker.mute = True
    worker.session, worker.seq = 1, 0
    simulation.later(pause, setattr, worker, "mute", False)
    assert simulation.run_until_ended(["wk-1"], 120.0)
    simulation.loop.run(simulation.loop.now + 20.0)
    assert not simulation.rule_violations
    assert None not in {day.machine_of(simulation, f"wk-900/{i}") for i in range(2)}


# -- any course of troubles --------------------------------------------------------------------

TROUBLES = ["crash", "all", "outage", "stranded", "zone", "deaf", "copies", "die", "slow"]


def befall(simulation: Simulation, trouble: str, s: float) -> None:
    """One trouble that is over after `s` seconds."""
    cuts: list[Cut] = []
    names = sorted(simulation.nodes)
    if trouble in ("crash", "all"):
        for name in names if trouble == "all" else names[:1]:
            simulation.crash(name)
            simulation.later(min(s, 4.0), lambda name=name: name in simulation.nodes or simulation.start(int(name[-1])))
    elif trouble == "outage":
        simulation.state.down = True
        simulation.later(s, setattr, simulation.state, "down", False)
    elif trouble in ("stranded", "zone") and names:
        cuts = day.strand(simulation, names[-1], s > 10.0, trouble == "zone")
    elif trouble == "deaf":
        cuts = day.deafen(simulation, *sorted(simulation.cloud.machines)[:1])
    elif trouble == "copies":
        simulation.net.watch = lambda message: s if message.what == "POST /v1/report" else None
    elif trouble == "die":
        simulation.die(1)
    else:
        simulation.net.watch = lambda message: (
            "drop" if message.target == "services" and message.number % 4 == 0 else None
        )
    if trouble in ("copies", "slow"):
        simulation.later(s, setattr, simulation.net, "watch", lambda message: None)
    for cut in cuts:
        simulation.later(s, simulation.net.heal, cut)


@how(max_examples=8, deadline=None)
@example([("outage", 1.0, 13.0)])
@given(
    st.lists(st.tuples(st.sampled_from(TROUBLES), st.floats(0.5, 25.0), st.floats(0.1, 25.0)), min_size=1, max_size=4)
)
def test_after_any_course_of_troubles_each_accepted_job_is_known_at_every_node(course):
    simulation = day.begun(run_s=15.0)
    refs = [f"wk-{n}" for n in range(8)]
    for n, ref in enumerate(refs):
        simulation.later(3.0 * n, simulation.submit, ref)
    simulation.later(20.0, simulation.poll, "wk-2", True)
    for trouble, at, s in course:
        simulation.later(5.0 + at, befall, simulation, trouble, s)
    simulation.loop.run(62.0)
    assert len(simulation.nodes) == 3 and not simulation.net.cuts
    # Far within the 75 s after which the users count a job as forgotten.
    simulation.loop.run(72.0)
    for ref in sorted(simulation.accepted):
        for _ in range(3):
            answer = day.told(simulation, ref)
            assert answer is not None and answer["ref"] == ref, (ref, course)
    assert simulation.run_until_ended(sorted(simulation.accepted), 150.0) and not simulation.rule_violations


def test_a_404_counts_as_forgotten_unless_the_job_was_not_accepted_before_the_request():
    simulation = day.begun()
    simulation.history.append(UserAnswer("wk-1", "submit", "10.0.0.1", 5.0, 5.1, 201, "queued"))
    for method, path in (("POST", "/work/wk-1/abort"), ("GET", "/work/wk-1")):
        assert simulation.is_wrongly_refused(method, path, 404, 5.1)
        assert not simulation.is_wrongly_refused(method, path, 404, 5.0)
        assert simulation.is_wrongly_refused(method, path, 400, 5.0)
        assert simulation.is_wrongly_refused(method, path, 422, 5.0)
        assert not simulation.is_wrongly_refused(method, path, 503, 6.0)
    assert simulation.is_wrongly_refused("POST", "/work", 404, 5.0)


# -- the guards are needed ---------------------------------------------------------------------


def never(*args, **kwargs) -> None:
    return None


@pytest.mark.parametrize(
    "guard",
    [
        "deaf",
        "half a zone",
        "old copies",
        "deleted before",
        "sends on",
        "to the leader",
        "keeps a cut zone",
        "served first",
    ],
)
def test_without_each_guard_a_play_fails(guard, monkeypatch, caplog):
    def fails(play, *args) -> None:
        with pytest.raises((AssertionError, KeyError)):
            play(*args)

    if guard == "deaf":
        monkeypatch.setattr(report_reconciliation, "_check_commands_acknowledged", never)
        fails(day.test_nothing_more_is_placed_on_a_machine_that_cannot_hear)
    elif guard == "half a zone":
        monkeypatch.setattr("winglift.constants.ASYMMETRIC_PARTITION_SHARE", 2.0)
        monkeypatch.setattr("winglift.constants.UNRESPONSIVE_MACHINE_TIMEOUT_S", 0.0)
        fails(day.test_when_all_machines_cannot_hear_none_is_deleted_and_all_are_used_again)
    elif guard in ("old copies", "deleted before"):
        # A copy is taken for a new report, or for the first one of a machine that nobody knows.
        take = report_reconciliation.reconcile_report

        def young(cluster, report, now, direct=False):
            known = report.machine in cluster.machines
            if guard == "old copies" and known:
                cluster.machines[report.machine].seq = -1
            if guard == "deleted before" and not known and report.machine not in cluster.deleted_machines:
                cluster.register_machine(report.machine, report.type, report.zone, report.spot, now, None)
            return take(cluster, report, now, direct)

        monkeypatch.setattr("winglift.controller.leader_term.reconcile_report", young)
        if guard == "old copies":
            fails(day.test_copies_of_reports_free_nothing_and_start_nothing, 8.0, "as it was sent")
        else:
            fails(day.test_a_copy_of_a_machine_that_an_earlier_term_deleted_is_no_room)
    elif guard == "sends on":
        monkeypatch.setattr(PartitionDetector, "should_redirect", lambda *args: False)
        fails(day.test_workers_of_a_node_that_is_alone_are_led_by_the_others, "leader", False, caplog)
    elif guard == "to the leader":
        monkeypatch.setattr(Node, "unreachable_leader_name", never)
        fails(day.test_workers_of_a_node_that_cannot_reach_the_leader_go_there, caplog)
    elif guard == "keeps a cut zone":
        whole = PartitionDetector.move
        monkeypatch.setattr(
            PartitionDetector,
            "move",
            lambda self, event, now: whole(
                self, PartitionEvent.NONE_BACK if event is PartitionEvent.SCOUT_BACK else event, now
            ),
        )
        fails(day.test_a_zone_that_is_cut_off_with_its_node_loses_nothing, False, monkeypatch)
    else:
        monkeypatch.setattr(PartitionDetector, "on_served", lambda *args: None)
        fails(day.test_workers_of_a_node_that_is_alone_are_led_by_the_others, "leader", False, caplog)


def test_who_is_sent_on_and_what_counts_as_back():
    one = PartitionDetector(2, 14.0, 1.5)
    one.update(True, 0.0)
    assert one.state is PartitionState.CONNECTED and not one.should_redirect("vm-1", (1, 1), True, False, 0.0)
    for now in (1.0, 2.5, 4.0, 5.5):
        one.update(False, now)
        one.on_served("vm-1", now)
        one.on_served("vm-2", now)
    assert one.state is PartitionState.ISOLATED
    assert not one.should_redirect("vm-3", (1, 9), True, False, 5.6)  # not served here before: its lease may be short
    assert not one.should_redirect("vm-2", (1, 9), False, False, 5.6)  # it has work, and idle ones may come yet
    assert one.should_redirect("vm-1", (1, 9), True, False, 5.6) and one.state is PartitionState.SCOUTING
    one.should_redirect("vm-1", (1, 8), True, False, 9.0)
    assert one.state is PartitionState.SCOUTING  # a late copy of what it reported before
    one.update(False, 18.0)
    one.should_redirect("vm-1", (1, 10), True, False, 18.0)
    assert one.state is PartitionState.PARTITIONED  # it found nobody: the zone is cut off, and everybody is served
    one.on_served("vm-2", 18.0)
    assert not one.should_redirect("vm-2", (1, 20), True, True, 18.5)
    one.update(False, 60.0)
    assert one.state is PartitionState.ISOLATED  # asked again later
    one.on_served("vm-2", 64.0)
    assert one.should_redirect("vm-2", (1, 30), True, False, 64.5)
    one.update(False, 90.0)
    assert one.state is PartitionState.REDIRECTING  # it stayed away
    one.update(True, 90.5)
    assert one.state is PartitionState.CONNECTED


def test_two_machines_of_one_name_are_not_taken_for_one(caplog):
    """What the one does not have says nothing about the other."""
    simulation = day.begun(run_s=60.0)
    simulation.submit("wk-1")
    simulation.loop.run(20.0)
    host, node = simulation.nodes[simulation.leader() or ""]
    assert node.leader_term is not None
    name = day.machine_of(simulation, "wk-1/0")
    worker = next(one for one in simulation.cloud.workers() if one.entry["ref"] == name)
    other = {**worker.report(), "endpoint": "10.9.9.9:1", "tick": worker.seq + 1000, "pieces": []}
    for _ in range(3):
        host.context.run(node.reports.handle, json.dumps(other).encode())
    assert len(node.leader_term.cluster.jobs["wk-1"].active) == 2
    assert caplog.text.count("duplicate name") == 1
