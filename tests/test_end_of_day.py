"""Several nodes in simulated time: machines that commands or reports do not reach, nodes that reach only their workers,
late copies of reports, nodes that restart at once; afterwards every accepted job must be known."""

from __future__ import annotations

import json
import logging

import pytest

from standins.network import Cut, Message
from standins.simulation import Simulation
from standins.worker import Worker
from winglift.model.machine_state import MachineState

SERVICE = {"shape": "daemon", "urgency": "production", "expectedS": 0.0, "loaner": False, "gpus": 1.0, "cpus": 4.0}


def begun(nodes: int = 3, **changes) -> Simulation:
    """A deployment that runs for 3 s, without message loss; tasks take 30 s."""
    simulation = Simulation(nodes, boot_s=6.0, cloud_list_lag_s=3.0, **({"run_s": 30.0} | changes))
    simulation.net.loss = 0.0
    simulation.start_all()
    simulation.loop.run(3.0)
    return simulation


def machine_of(simulation: Simulation, task: str) -> str | None:
    """The machine on which a task runs now, as the workers see it."""
    for worker in simulation.cloud.workers():
        if any(t["status"] == "running" for (name, _), t in worker.tasks.items() if name == task):
            return worker.entry["ref"]
    return None


def unavailable_reason(simulation: Simulation, name: str) -> str | None:
    """The node's answer, in the context of its host: outside of it, the node would read the real clock."""
    host, node = simulation.nodes[name]
    return host.context.run(node.unavailable_reason)


def told(simulation: Simulation, ref: str) -> dict | None:
    """The next answer about a job, or None if there is none within 2 s."""
    answers: list[dict | None] = []

    async def ask() -> None:
        answers.append(await simulation._ask("GET", f"/work/{ref}", None, simulation.loop.now + 2.0))

    simulation.users.run(ask())
    simulation.loop.run(lambda: bool(answers), 8.0)
    return answers[0] if answers else None


# -- machines that receive nothing -------------------------------------------------------------


def deafen(simulation: Simulation, *machines: str) -> list[Cut]:
    """Cut the connections from the nodes to these machines; the other direction works."""
    cuts = [Cut(f"node-{i}", name, False) for i in range(3) for name in machines]
    simulation.net.cuts += cuts
    return cuts


def test_nothing_more_is_placed_on_a_machine_that_cannot_hear():
    """Because of its reports, such a machine counted as healthy: start commands for it were repeated without effect."""
    simulation = begun()
    simulation.submit("wk-1", pieces=4)
    simulation.loop.run(20.0)
    name = machine_of(simulation, "wk-1/0")
    assert name is not None
    cuts = deafen(simulation, name)
    refs = [f"wk-{n}" for n in range(2, 8)]
    for n, ref in enumerate(refs):
        simulation.later(6.0 * n, simulation.submit, ref)
    assert simulation.run_until_ended(["wk-1", *refs], 150.0)
    assert not simulation.rule_violations
    # The machine is deleted once it is empty.
    simulation.loop.run(simulation.loop.now + 40.0)
    assert name not in simulation.cloud.machines
    for cut in cuts:
        simulation.net.heal(cut)


def test_replicas_on_a_machine_that_receives_nothing_run_elsewhere_once_that_is_proven_safe():
    simulation = begun()
    simulation.submit("wk-900", pieces=3, **SERVICE)
    simulation.loop.run(25.0)
    names = {machine_of(simulation, f"wk-900/{i}") for i in range(3)}
    name = next(n for n in names if n is not None)
    deafen(simulation, name)
    simulation.loop.run(simulation.loop.now + 35.0)
    machines_after = {machine_of(simulation, f"wk-900/{i}") for i in range(3)}
    assert None not in machines_after and name not in machines_after and not simulation.rule_violations


def test_a_cancelled_task_on_a_machine_that_receives_nothing_stops_in_time():
    simulation = begun(run_s=500.0)
    simulation.submit("wk-1", pieces=2)
    simulation.loop.run(20.0)
    name = machine_of(simulation, "wk-1/0")
    assert name is not None
    deafen(simulation, name)
    simulation.poll("wk-1", cancel=True)
    simulation.loop.run(simulation.loop.now + 35.0)
    assert machine_of(simulation, "wk-1/0") is None and machine_of(simulation, "wk-1/1") is None


def test_when_all_machines_cannot_hear_none_is_deleted_and_all_are_used_again():
    simulation = begun()
    for n in range(6):
        simulation.submit(f"wk-{n}", pieces=4)
    simulation.loop.run(14.0)
    names = list(simulation.cloud.machines)
    assert len(names) > 3
    cuts = [cut for name in names for cut in deafen(simulation, name)]
    simulation.loop.run(simulation.loop.now + 25.0)
    gone = [name for name in names if name not in simulation.cloud.machines]
    assert len(gone) <= 1, gone
    for cut in cuts:
        simulation.net.heal(cut)
    assert simulation.run_until_ended([f"wk-{n}" for n in range(6)], 150.0) and not simulation.rule_violations


# -- nodes that reach only their workers -------------------------------------------------------


def strand(simulation: Simulation, name: str, hold: bool, zone: bool = False) -> list[Cut]:
    """Cut a node off from the state service and its peers, in both directions; with `zone` also its zone's workers."""
    others = [f"node-{i}" for i in range(3) if f"node-{i}" != name] + ["services"]
    ends = [name, f"@{simulation.nodes[name][0].zone}"] if zone else [name]
    cuts = [Cut(a, b, hold) for end in ends for other in others for a, b in ((end, other), (other, end))]
    simulation.net.cuts += cuts
    return cuts


def submit_long_jobs(simulation: Simulation) -> None:
    simulation.submit("wk-900", pieces=6, apart=True, **SERVICE)
    for n in range(4):
        simulation.submit(f"wk-{n}", pieces=6, expectedS=30.0)


@pytest.mark.parametrize("hold", [False, True])
@pytest.mark.parametrize("who", ["leader", "the only one of its zone"])
def test_workers_of_a_node_that_is_alone_are_led_by_the_others(who, hold, caplog):
    """The node kept answering its workers, so that they never turned to the next leader, which got no reports."""
    simulation = begun(run_s=30.0)
    submit_long_jobs(simulation)
    simulation.loop.run(18.0)
    name = simulation.leader() if who == "leader" else "node-1"
    assert name is not None
    cuts = strand(simulation, name, hold)
    caplog.set_level(logging.INFO)
    rented = simulation.cloud.rentals
    simulation.loop.run(simulation.loop.now + 32.0)
    leader = simulation.leader()
    assert leader is not None and leader != name
    host, node = simulation.nodes[leader]
    assert node.leader_term is not None
    heard = [
        m
        for m in node.leader_term.cluster.machines.values()
        if m.last_heard is not None and host.monotonic_time() - m.last_heard < 4.0
    ]
    assert len(heard) >= 0.9 * len(simulation.cloud.machines)
    assert unavailable_reason(simulation, name) is not None
    # A cancelled job's tasks stop in time, wherever they run.
    simulation.poll("wk-900", cancel=True)
    # A new job runs on these machines, and they are not deleted in numbers.
    simulation.submit("wk-50", pieces=2)
    assert simulation.run_until_ended(["wk-50"], 60.0)
    simulation.loop.run(simulation.loop.now + 5.0)
    assert not any(
        task[0].startswith("wk-900/") and t["status"] != "ended"
        for w in simulation.cloud.workers()
        for task, t in w.tasks.items()
    )
    assert caplog.text.count("reason=silent for") <= 1 and simulation.cloud.rentals - rented <= 4
    for cut in cuts:
        simulation.net.heal(cut)
    simulation.loop.run(simulation.loop.now + 10.0)
    assert unavailable_reason(simulation, name) is None
    assert simulation.run_until_ended([f"wk-{n}" for n in range(4)], 150.0) and not simulation.rule_violations


def test_workers_of_a_node_that_cannot_reach_the_leader_go_there(caplog):
    """Only connections between nodes are refused, so a node's reports did not reach the leader: after three leases
    of silence it deleted 33 healthy machines."""
    simulation = begun(run_s=60.0)
    submit_long_jobs(simulation)
    simulation.loop.run(20.0)
    cuts = [Cut(f"node-{i}", f"node-{j}", False) for i in range(3) for j in range(3) if i != j]
    simulation.net.cuts += cuts
    caplog.set_level(logging.INFO)
    simulation.loop.run(simulation.loop.now + 45.0)
    host, node = simulation.nodes[simulation.leader() or ""]
    assert node.leader_term is not None
    machines = node.leader_term.cluster.machines.values()
    assert all(m.last_heard is not None and host.monotonic_time() - m.last_heard < 4.0 for m in machines)
    assert caplog.text.count("reason=silent for") <= 1
    assert all(unavailable_reason(simulation, name) is None for name in simulation.nodes)
    for cut in cuts:
        simulation.net.heal(cut)
    assert simulation.run_until_ended([f"wk-{n}" for n in range(4)], 150.0) and not simulation.rule_violations


@pytest.mark.parametrize("hold", [False, True])
def test_a_zone_that_is_cut_off_with_its_node_loses_nothing(hold, monkeypatch):
    """To the node this looks as if it were cut off alone, but only its answers keep its workers' tasks alive."""
    monkeypatch.setattr(Worker, "request_timeout_s", 4.0)
    monkeypatch.setattr(Worker, "retry_delay_s", 1.0)
    simulation = begun(run_s=300.0)
    submit_long_jobs(simulation)
    simulation.loop.run(18.0)
    sessions_before = {w.entry["ref"]: w.session for w in simulation.cloud.workers() if w.entry["hall"] == "b"}
    assert sessions_before
    cuts = strand(simulation, "node-1", hold, zone=True)
    simulation.loop.run(simulation.loop.now + 40.0)
    for cut in cuts:
        simulation.net.heal(cut)
    simulation.loop.run(simulation.loop.now + 15.0)
    sessions_after = {w.entry["ref"]: w.session for w in simulation.cloud.workers()}
    lost = [ref for ref, session in sessions_before.items() if sessions_after.get(ref) != session]
    assert len(lost) <= 1, lost
    assert not simulation.rule_violations


def test_nodes_that_are_all_cut_off_in_an_outage_keep_all_sessions():
    """An outage while the nodes can't reach each other: each seems to be cut off alone, but none of them is."""
    simulation = begun(run_s=300.0)
    submit_long_jobs(simulation)
    simulation.loop.run(18.0)
    sessions = {w.entry["ref"]: w.session for w in simulation.cloud.workers()}
    simulation.state.down = True
    simulation.net.cuts += [Cut(f"node-{i}", f"node-{j}", False) for i in range(3) for j in range(3) if i != j]
    simulation.loop.run(simulation.loop.now + 45.0)
    simulation.net.cuts.clear()
    simulation.state.down = False
    simulation.loop.run(simulation.loop.now + 15.0)
    assert {w.entry["ref"]: w.session for w in simulation.cloud.workers() if w.entry["ref"] in sessions} == sessions
    assert not simulation.rule_violations


# -- late copies -------------------------------------------------------------------------------


@pytest.mark.parametrize("late", [2.0, 8.0, 25.0, 70.0])
@pytest.mark.parametrize("receiver", ["as it was sent", "another node", "a successor"])
def test_copies_of_reports_free_nothing_and_start_nothing(late, receiver):
    """A second copy of every report arrives 2 s to 70 s late, which may exceed a lease, while jobs end and are
    cancelled, machines are deleted and leaders change."""
    simulation = begun()
    sent: list[int] = []

    def copy(message: Message) -> float | None:
        if message.what == "POST /v1/report" and simulation.loop.now < 80.0:
            sent.append(message.number)
            return late
        return None

    simulation.net.watch = copy
    if receiver == "another node":
        # Workers of zone a turn to another node, so that copies reach a node to which they no longer report.
        simulation.later(30.0, lambda: simulation.net.cuts.append(Cut("@a", "node-0", False)))
        simulation.later(50.0, lambda: simulation.net.cuts.clear())
    refs = [f"wk-{n}" for n in range(8)]
    for n, ref in enumerate(refs):
        simulation.later(5.0 * n, simulation.submit, ref)
    simulation.later(1.0, simulation.submit, "wk-900")
    simulation.later(30.0, simulation.poll, "wk-5", True)
    simulation.later(35.0, simulation.die, 1)
    if receiver == "a successor":

        def change() -> None:
            name = simulation.leader()
            if name is not None:
                simulation.crash(name)
                simulation.later(0.3, simulation.start, int(name[-1]))

        for at in (24.0, 48.0):
            simulation.later(at, change)
    simulation.loop.run(130.0)
    assert simulation.run_until_ended(refs, 100.0) and not simulation.rule_violations
    assert len(sent) > 100
    # The leader forgets machines that no longer exist.
    leader = simulation.nodes[simulation.leader() or ""][1].leader_term
    assert leader is not None
    simulation.loop.run(simulation.loop.now + 30.0)
    assert set(leader.cluster.machines) <= set(simulation.cloud.machines)


def test_a_copy_of_a_machine_that_an_earlier_term_deleted_is_no_room():
    simulation = begun()
    simulation.submit("wk-1")
    simulation.loop.run(20.0)
    host, node = simulation.nodes[simulation.leader() or ""]
    assert node.leader_term is not None
    name = machine_of(simulation, "wk-1/0")
    worker = next(w for w in simulation.cloud.workers() if w.entry["ref"] == name)
    old = {**worker.report(), "rig": "vm-000999", "baton": node.leader_term.term - 1}
    assert node.election.leadership.has_valid_lease(host.monotonic_time())
    status, body = host.context.run(node.reports.handle, json.dumps(old).encode())  # type: ignore[misc]
    assert status == 200 and json.loads(body)["orders"] == [] and "vm-000999" not in node.leader_term.cluster.machines
    # A machine that exists learns the term from the answer, and is registered by its next report.
    new = json.dumps({**old, "baton": node.leader_term.term, "tick": 9999}).encode()
    status, _ = host.context.run(node.reports.handle, new)  # type: ignore[misc]
    assert node.leader_term.cluster.machines["vm-000999"].state is MachineState.UP


def test_a_machine_that_reports_a_lower_session_is_deleted():
    simulation = begun(run_s=500.0)
    simulation.submit("wk-1")
    simulation.loop.run(20.0)
    name = machine_of(simulation, "wk-1/0")
    worker = next(w for w in simulation.cloud.workers() if w.entry["ref"] == name)
    leader = simulation.nodes[simulation.leader() or ""][1].leader_term
    assert leader is not None and name is not None
    leader.cluster.machines[name].session = 50
    worker.seq = 0
    simulation.loop.run(simulation.loop.now + 30.0)
    assert name not in simulation.cloud.machines and machine_of(simulation, "wk-1/0") not in (None, name)
    assert not simulation.rule_violations


# -- nodes that restart at once ----------------------------------------------------------------


@pytest.mark.parametrize("pause", [0.05, 0.2, 0.5])
@pytest.mark.parametrize("who", ["leader", "follower", "both", "again and again"])
def test_a_node_that_restarts_at_once_delays_no_election(pause, who):
    simulation = begun()
    simulation.submit("wk-1", pieces=8)
    simulation.loop.run(16.0)
    first_leader = simulation.leader()
    assert first_leader is not None
    names = {
        "leader": [first_leader],
        "follower": [n for n in simulation.nodes if n != first_leader][:1],
        "both": list(simulation.nodes)[:2],
        "again and again": [first_leader] * 4,
    }[who]
    for n, name in enumerate(names):
        at = n * 0.7 if who == "again and again" else 0.0
        simulation.later(at, lambda name=name: name in simulation.nodes and simulation.crash(name))
        simulation.later(at + pause, lambda name=name: name not in simulation.nodes and simulation.start(int(name[-1])))
    simulation.submit("wk-2")
    restarted_at = simulation.loop.now + (3 * 0.7 if who == "again and again" else 0.0) + pause
    simulation.loop.run(restarted_at)
    assert simulation.loop.run(lambda: simulation.leader() is not None, 10.0)
    assert simulation.loop.now - restarted_at < 3.5
    assert simulation.run_until_ended(["wk-1", "wk-2"], 120.0) and not simulation.rule_violations
    terms = [v[0] for k, v in simulation.state.keys.items() if k == "term"]
    assert len(terms) == 1


# -- accepted jobs stay known ------------------------------------------------------------------


@pytest.mark.parametrize("trouble", ["all nodes end", "outage", "one node left", "slow"])
def test_after_faults_each_accepted_job_is_known_at_every_node(trouble):
    simulation = begun()
    refs = [f"wk-{n}" for n in range(12)]
    for n, ref in enumerate(refs):
        simulation.later(1.0 * n, simulation.submit, ref)
    simulation.submit("wk-900", pieces=100_000, gpus=0.0, cpus=1.0, memGb=0.1)
    simulation.loop.run(18.0)
    if trouble == "all nodes end":
        for name in list(simulation.nodes):
            simulation.crash(name)
        simulation.loop.run(21.0)
        simulation.start_all()
    elif trouble == "outage":
        simulation.state.down = True
        simulation.later(20.0, setattr, simulation.state, "down", False)
        simulation.loop.run(39.0)
    elif trouble == "one node left":
        for name in list(simulation.nodes)[1:]:
            simulation.crash(name)
            simulation.addresses.remove(f"10.0.0.{int(name[-1]) + 1}")
        simulation.loop.run(24.0)
    else:
        simulation.net.watch = lambda m: "drop" if m.target == "services" and m.number % 5 == 0 else None
        simulation.loop.run(30.0)
        simulation.net.watch = lambda m: None
    simulation.loop.run(simulation.loop.now + 3.0)
    for ref in [*refs, "wk-900"]:
        if ref in simulation.accepted:
            for _ in range(len(simulation.addresses)):
                answer = told(simulation, ref)
                assert answer is not None and answer["ref"] == ref, ref
    assert len(simulation.accepted) == len(refs) + 1 and not simulation.rule_violations


# -- machines that reach no node ---------------------------------------------------------------


def cut_reports(simulation: Simulation, *machines: str) -> list[Cut]:
    """Cut the connections from these machines to the nodes; what the nodes send arrives and is answered."""
    cuts = [Cut(name, f"node-{i}", False) for name in machines for i in range(3)]
    simulation.net.cuts += cuts
    return cuts


def test_replicas_on_a_machine_that_reaches_no_node_run_elsewhere_once_its_lease_is_over():
    """The machine answered probes, and so did not count as silent: its replicas were not replaced, and new tasks were
    placed there, although they are only started by answers to reports."""
    simulation = begun(run_s=500.0)
    simulation.submit("wk-900", pieces=3, **SERVICE)
    simulation.loop.run(25.0)
    name = next(n for i in range(3) if (n := machine_of(simulation, f"wk-900/{i}")) is not None)
    cut_reports(simulation, name)
    simulation.later(4.0, simulation.submit, "wk-1")
    simulation.loop.run(simulation.loop.now + 21.0)  # a lease, a boot, and two reports
    machines_after = {machine_of(simulation, f"wk-900/{i}") for i in range(3)}
    assert None not in machines_after and name not in machines_after and not simulation.rule_violations
    assert {machine_of(simulation, f"wk-1/{i}") for i in range(2)}.isdisjoint({None, name})


@pytest.mark.parametrize("for_s", [4.0, 8.0])
def test_a_machine_that_reaches_no_node_for_less_than_its_lease_keeps_its_tasks(for_s):
    simulation = begun(run_s=500.0)
    simulation.submit("wk-900", pieces=3, **SERVICE)
    simulation.loop.run(25.0)
    name = next(n for i in range(3) if (n := machine_of(simulation, f"wk-900/{i}")) is not None)
    before = {i: machine_of(simulation, f"wk-900/{i}") for i in range(3)}
    cuts = cut_reports(simulation, name)
    simulation.loop.run(simulation.loop.now + for_s)
    for cut in cuts:
        simulation.net.heal(cut)
    simulation.loop.run(simulation.loop.now + 20.0)
    assert {i: machine_of(simulation, f"wk-900/{i}") for i in range(3)} == before and not simulation.rule_violations


def test_a_cancelled_task_on_a_machine_that_reaches_no_node_is_stopped_directly():
    simulation = begun(run_s=500.0)
    simulation.submit("wk-1", pieces=2)
    simulation.loop.run(20.0)
    name = machine_of(simulation, "wk-1/0")
    assert name is not None
    cut_reports(simulation, name)
    simulation.poll("wk-1", cancel=True)
    simulation.loop.run(simulation.loop.now + 2.0)
    assert simulation.on_machines("wk-1") == [] and name in simulation.cloud.machines
