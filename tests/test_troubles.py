"""Processes that restart within a fraction of a second, at every step of an election, and generated courses of faults.

The third part removes each guard that `test_end_of_day` relies on, one at a time: a test of that file must then fail.
"""

from __future__ import annotations

import json
from functools import cache

import pytest
import test_end_of_day as day
from hypothesis import example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from standins.history import UserAnswer
from standins.network import Cut, Message
from standins.simulation import Simulation
from winglift.model import report_reconciliation
from winglift.node import Node
from winglift.workers.partition_detector import PartitionDetector, PartitionEvent, PartitionState

# -- immediate restarts, at every step ---------------------------------------------------------


class ImmediateRestart:
    """The leader crashes at 16 s while jobs are submitted; then the sender of one request to the state service crashes.

    `crash_at`: the index of that request, -1 for none. `request_sent`: whether it still leaves the node.
    `pause_s`: the time after which crashed nodes are restarted.
    """

    def __init__(self, crash_at: int = -1, pause_s: float = 0.1, request_sent: bool = True) -> None:
        self.simulation = simulation = day.begun(run_s=12.0)
        self.requests: list[str] = []
        self.crash_at, self.pause_s, self.request_sent = crash_at, pause_s, request_sent
        self.terms: list[int] = []
        apply = simulation.state.apply

        def record_terms(changes):
            self.terms += [c["v"]["term"] for c in changes if c.get("write") == "term"]
            return apply(changes)

        simulation.state.apply = record_terms  # type: ignore[method-assign]
        for n in range(3):
            simulation.submit(f"wk-{n}", pieces=4)
        simulation.loop.run(16.0)
        leader = simulation.leader()
        assert leader is not None
        simulation.net.watch = self._watch
        self.crash(leader)
        for n in range(3, 6):
            simulation.submit(f"wk-{n}")
        simulation.loop.run(20.0)
        simulation.net.watch = lambda message: None
        self.leader_at = 0.0
        if simulation.loop.run(lambda: simulation.leader() is not None, 20.0):
            self.leader_at = simulation.loop.now
        self.ended = simulation.run_until_ended([f"wk-{n}" for n in range(6)], 120.0)

    def crash(self, name: str) -> None:
        if name in self.simulation.nodes:
            self.simulation.crash(name)
            self.simulation.later(
                self.pause_s, lambda: name in self.simulation.nodes or self.simulation.start(int(name[-1]))
            )

    def _watch(self, message: Message) -> str | None:
        if message.target != "services" or not message.source.startswith("node-") or self.simulation.loop.now > 19.0:
            return None
        self.requests.append(f"{message.source} {message.what}")
        if len(self.requests) - 1 != self.crash_at:
            return None
        if self.request_sent:
            self.simulation.later(0.0, self.crash, message.source)
            return None
        self.crash(message.source)
        return "drop"


@cache
def deciding_requests() -> list[int]:
    """Indexes of the first 16 POST requests of an undisturbed run: leases, elections, takeovers, commits."""
    undisturbed = ImmediateRestart()
    assert undisturbed.ended and not undisturbed.simulation.rule_violations
    return [n for n, request in enumerate(undisturbed.requests) if "POST /" in request][:16]


@pytest.mark.parametrize("pause", [0.05, 0.5])
@pytest.mark.parametrize("part", range(4))
def test_a_node_that_restarts_at_once_during_an_election_reuses_no_term_and_loses_no_job(part, pause):
    for crash_at in deciding_requests()[part::4]:
        for sent in (True, False):
            run = ImmediateRestart(crash_at, pause, sent)
            where = (crash_at, run.requests[crash_at] if crash_at < len(run.requests) else "", sent)
            assert run.ended and not run.simulation.rule_violations, (where, run.simulation.rule_violations)
            assert run.terms == sorted(set(run.terms)), where  # no term is used twice
            assert run.leader_at <= 25.0, where


@pytest.mark.parametrize("pause", [0.05, 0.5])
def test_a_machine_that_restarts_at_once_under_its_address_runs_nothing_twice(pause):
    """The worker starts again with session 1 and no tasks, so its reports look older than those received before."""
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


# -- generated courses of faults ---------------------------------------------------------------

FAULTS = ["crash", "all", "outage", "stranded", "zone", "deaf", "copies", "die", "slow"]


def befall(simulation: Simulation, trouble: str, s: float) -> None:
    """Inject one fault that ends after `s` seconds."""
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


# The profile is derandomized: the drawn examples depend on the source text of this function.
@hypothesis_settings(max_examples=8, deadline=None)
@example([("outage", 1.0, 13.0)])
@given(st.lists(st.tuples(st.sampled_from(FAULTS), st.floats(0.5, 25.0), st.floats(0.1, 25.0)), min_size=1, max_size=4))
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


# -- removed guards ----------------------------------------------------------------------------


def return_none(*args, **kwargs) -> None:
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
def test_a_test_of_the_end_of_a_day_fails_without_this_guard(guard, monkeypatch, caplog):
    def assert_fails(test, *args) -> None:
        with pytest.raises((AssertionError, KeyError)):
            test(*args)

    if guard == "deaf":
        monkeypatch.setattr(report_reconciliation, "_check_commands_acknowledged", return_none)
        assert_fails(day.test_nothing_more_is_placed_on_a_machine_that_cannot_hear)
    elif guard == "half a zone":
        monkeypatch.setattr("winglift.constants.ASYMMETRIC_PARTITION_SHARE", 2.0)
        monkeypatch.setattr("winglift.constants.UNRESPONSIVE_MACHINE_TIMEOUT_S", 0.0)
        assert_fails(day.test_when_all_machines_cannot_hear_none_is_deleted_and_all_are_used_again)
    elif guard in ("old copies", "deleted before"):
        # A copy is accepted as a new report, or as the first report of an unknown machine.
        reconcile_report = report_reconciliation.reconcile_report

        def accept_copy(cluster, report, now, direct=False):
            known = report.machine in cluster.machines
            if guard == "old copies" and known:
                cluster.machines[report.machine].seq = -1
            if guard == "deleted before" and not known and report.machine not in cluster.deleted_machines:
                cluster.register_machine(report.machine, report.type, report.zone, report.spot, now, None)
            return reconcile_report(cluster, report, now, direct)

        monkeypatch.setattr("winglift.controller.leader_term.reconcile_report", accept_copy)
        if guard == "old copies":
            assert_fails(day.test_copies_of_reports_free_nothing_and_start_nothing, 8.0, "as it was sent")
        else:
            assert_fails(day.test_a_copy_of_a_machine_that_an_earlier_term_deleted_is_no_room)
    elif guard == "sends on":
        monkeypatch.setattr(PartitionDetector, "should_redirect", lambda *args: False)
        assert_fails(day.test_workers_of_a_node_that_is_alone_are_led_by_the_others, "leader", False, caplog)
    elif guard == "to the leader":
        monkeypatch.setattr(Node, "unreachable_leader_name", return_none)
        assert_fails(day.test_workers_of_a_node_that_cannot_reach_the_leader_go_there, caplog)
    elif guard == "keeps a cut zone":
        move = PartitionDetector.move
        monkeypatch.setattr(
            PartitionDetector,
            "move",
            lambda self, event, now: move(
                self, PartitionEvent.NONE_BACK if event is PartitionEvent.SCOUT_BACK else event, now
            ),
        )
        assert_fails(day.test_a_zone_that_is_cut_off_with_its_node_loses_nothing, False, monkeypatch)
    else:
        monkeypatch.setattr(PartitionDetector, "on_served", lambda *args: None)
        assert_fails(day.test_workers_of_a_node_that_is_alone_are_led_by_the_others, "leader", False, caplog)


def test_which_machines_the_partition_detector_redirects_and_when():
    detector = PartitionDetector(2, 14.0, 1.5)
    detector.update(True, 0.0)
    assert detector.state is PartitionState.CONNECTED and not detector.should_redirect("vm-1", (1, 1), True, False, 0.0)
    for now in (1.0, 2.5, 4.0, 5.5):
        detector.update(False, now)
        detector.on_served("vm-1", now)
        detector.on_served("vm-2", now)
    assert detector.state is PartitionState.ISOLATED
    # vm-3 was not served here before, so its lease may end soon.
    assert not detector.should_redirect("vm-3", (1, 9), True, False, 5.6)
    # vm-2 has tasks, and an idle machine may still report.
    assert not detector.should_redirect("vm-2", (1, 9), False, False, 5.6)
    assert detector.should_redirect("vm-1", (1, 9), True, False, 5.6) and detector.state is PartitionState.SCOUTING
    detector.should_redirect("vm-1", (1, 8), True, False, 9.0)
    assert detector.state is PartitionState.SCOUTING  # a late copy of an earlier report
    detector.update(False, 18.0)
    detector.should_redirect("vm-1", (1, 10), True, False, 18.0)
    assert detector.state is PartitionState.PARTITIONED  # it returned: the zone is cut off, and all machines are served
    detector.on_served("vm-2", 18.0)
    assert not detector.should_redirect("vm-2", (1, 20), True, True, 18.5)
    detector.update(False, 60.0)
    assert detector.state is PartitionState.ISOLATED  # tried again later
    detector.on_served("vm-2", 64.0)
    assert detector.should_redirect("vm-2", (1, 30), True, False, 64.5)
    detector.update(False, 90.0)
    assert detector.state is PartitionState.REDIRECTING  # it did not return
    detector.update(True, 90.5)
    assert detector.state is PartitionState.CONNECTED


def test_two_machines_with_one_name_are_kept_apart(caplog):
    """A task that the report of one machine lacks stays on the other."""
    simulation = day.begun(run_s=60.0)
    simulation.submit("wk-1")
    simulation.loop.run(20.0)
    host, node = simulation.nodes[simulation.leader() or ""]
    assert node.leader_term is not None
    name = day.machine_of(simulation, "wk-1/0")
    worker = next(w for w in simulation.cloud.workers() if w.entry["ref"] == name)
    other = {**worker.report(), "endpoint": "10.9.9.9:1", "tick": worker.seq + 1000, "pieces": []}
    for _ in range(3):
        host.context.run(node.reports.handle, json.dumps(other).encode())
    assert len(node.leader_term.cluster.jobs["wk-1"].active) == 2
    assert caplog.text.count("duplicate name") == 1
