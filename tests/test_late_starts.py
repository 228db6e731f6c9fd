"""Copies of start commands that were carried out before, and late ones: they start nothing again.

Starts are sent only in answers to reports (invariant 3), and a worker drops answers that come more than 4 s after it
sent the report, or under a lower token, or for an earlier session (PROTOCOL, "POST /v1/report", "Tokens", "Leases").
Within these bounds a copy of an answer is tried here, though a request has only one answer. A worker ignores the start
of an attempt that it has in any state; after `reap` it has forgotten it.
"""

from __future__ import annotations

from typing import Any

import pytest
import troubles
from meeting import FaultRun
from test_end_of_day import begun

from standins.network import Delayed, Message, SentMessage
from standins.simulation import Simulation
from standins.worker import Worker
from winglift.net.runtime import monotonic_time

ANSWER_MAX_AGE_S = 4.0  # PROTOCOL: "no response within 4 s"


class AnswerCopies:
    """Repeats each answer with start commands at its worker, `delay_s` after it was carried out."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, delay_s: float) -> None:
        self.delay_s = delay_s
        self.repeated = self.dropped = 0  # answers that workers accepted once more, or dropped
        self.started: list[str] = []  # tasks that a copy started
        self._execute = Worker.execute
        monkeypatch.setattr(Worker, "request_timeout_s", ANSWER_MAX_AGE_S)
        monkeypatch.setattr(Worker, "execute", lambda worker, orders: self._execute_and_copy(worker, orders))

    def _execute_and_copy(self, worker: Worker, orders: list[dict[str, Any]]) -> None:
        self._execute(worker, orders)
        if any(order["verb"] == "run" for order in orders):
            simulation: Simulation = worker.on_task_change.__self__  # type: ignore[attr-defined]
            simulation.later(self.delay_s, self._repeat, worker, orders, worker.session, worker.token)

    def _repeat(self, worker: Worker, orders: list[dict[str, Any]], session: int, token: int) -> None:
        if worker.session != session or worker.token > token:
            self.dropped += 1
            return
        starts = len(worker.starts)
        worker.context.run(self._execute, worker, orders)
        self.repeated += 1
        self.started += [task for _, task in worker.starts[starts:]]


def end_task(simulation: Simulation, how: str, worker: Worker) -> None:
    """Let a task that has just begun end: cancelled by its user, or moved off a machine that the cloud takes back."""
    if how == "cancelled":
        simulation.send_once(0, "POST", "/work/wk-7/abort", {})
    elif how == "moved":
        worker.reclaim_at = worker.context.run(monotonic_time) + 10.0


def interrupt(simulation: Simulation, who: str, worker: Worker) -> None:
    """Let the leader, or the machine, be away and back within a second."""
    name = simulation.leader()
    if who == "controller" and name is not None:
        simulation.crash(name)
        simulation.later(0.3, simulation.start, int(name[-1]))
    elif who == "machine":
        host = simulation._hosts[worker.entry["ref"]]
        host.suspend()
        simulation.later(0.7, host.resume)


@pytest.mark.parametrize("delay_s", [0.7, 1.5, 2.5, 3.9])
@pytest.mark.parametrize("who", ["controller", "machine", "nobody"])
@pytest.mark.parametrize("how", ["cancelled", "moved", "done"])
def test_a_copy_of_a_start_has_no_effect_though_its_task_has_ended_since(how, who, delay_s, monkeypatch):
    """Guards against a task on two machines, or a cancelled one that runs again, by a start that arrives once more."""
    copies = AnswerCopies(monkeypatch, delay_s)
    simulation = begun()
    simulation.submit("wk-6", pieces=6)
    simulation.loop.run(25.0)
    if how == "done":
        simulation.cloud.run_s = lambda task: 0.2
    simulation.submit("wk-7", pieces=2)
    assert simulation.loop.run(lambda: bool(simulation.on_machines("wk-7")), 20.0)
    machine = simulation.on_machines("wk-7")[0][1]
    worker = next(worker for worker in simulation.cloud.workers() if worker.entry["ref"] == machine)
    simulation.later(0.1, end_task, simulation, how, worker)
    simulation.later(0.2, interrupt, simulation, who, worker)
    simulation.loop.run(simulation.loop.now + 40.0)
    assert copies.repeated + copies.dropped > 0 and copies.started == []
    assert copies.repeated or who == "controller"  # a later leader's token is higher
    assert not simulation.rule_violations and not simulation.starts_after_cancellation


@pytest.mark.parametrize("delay_s", [1.0, 2.5, 3.8])
@pytest.mark.parametrize("who", ["controller", "machine", "nobody"])
@pytest.mark.parametrize("how", ["cancelled", "moved"])
def test_a_late_start_runs_no_task_twice_and_no_cancelled_one_for_long(how, who, delay_s, monkeypatch):
    """Guards against a place that is given away, or a cancellation that counts as done, while a start is on its way."""
    monkeypatch.setattr(Worker, "request_timeout_s", ANSWER_MAX_AGE_S)
    simulation = begun()
    simulation.submit("wk-6", pieces=6)
    simulation.loop.run(25.0)
    delayed: list[Message] = []

    def delay_starts(message: Message) -> Delayed | None:
        is_start = message.what == "answer POST /v1/report" and b'"wk-7/' in message.body and b'"run"' in message.body
        if delayed or not is_start:
            return None
        delayed.append(message)
        return Delayed(delay_s)

    simulation.net.watch = delay_starts
    simulation.submit("wk-7", pieces=2)
    assert simulation.loop.run(lambda: bool(delayed), 20.0)
    worker = next(worker for worker in simulation.cloud.workers() if worker.entry["ref"] == delayed[0].target)
    simulation.later(0.1, end_task, simulation, how, worker)
    simulation.later(0.2, interrupt, simulation, who, worker)
    simulation.loop.run(simulation.loop.now + 50.0)
    assert not simulation.rule_violations
    assert simulation.on_machines("wk-7") == [] and (how == "cancelled" or simulation.run_until_ended(["wk-7"], 60.0))


@pytest.mark.parametrize("delay_s", [0.8, 2.2, 3.7])
@pytest.mark.parametrize(
    "faults",
    [
        (troubles.crash, troubles.late_reports, troubles.cancel_changes),
        (troubles.roll, troubles.late_commands),
        (troubles.hang, troubles.changes),
    ],
    ids=lambda faults: "+".join(fault.__name__ for fault in faults),
)
def test_copies_of_starts_in_generated_runs_start_nothing(faults, delay_s, monkeypatch):
    """Jobs end, are cancelled and move all the time, and controllers and machines come and go."""
    copies = AnswerCopies(monkeypatch, delay_s)
    commands: list[bytes] = []

    def note_commands(sent: SentMessage) -> None:
        if sent.head.startswith("POST /commands") and sent.source.startswith("node-"):
            commands.append(sent.body)

    run = FaultRun(faults, 0, run_s=12.0, on_sent=note_commands)
    assert copies.repeated > 0 and copies.started == []
    assert run.find_violations() == []
    # A direct command may be executed late (PROTOCOL, "Delayed messages"), so it never starts a task (invariant 3).
    assert commands and not any(b'"run"' in body for body in commands)
