"""Several nodes in simulated time: machines that commands or reports do not reach, nodes that reach only their workers,
late copies of reports, nodes that restart at once; afterwards every accepted job must be known."""

from __future__ import annotations

import json
import logging

import pytest

from standins.scene import Scene
from standins.worker import Worker
from standins.world import Cut, Message
from winglift.model.machine_state import MachineState

SERVICE = {"shape": "daemon", "urgency": "production", "expectedS": 0.0, "loaner": False, "gpus": 1.0, "cpus": 4.0}


def begun(nodes: int = 3, **changes) -> Scene:
    """A deployment that runs for 3 s, without message loss; tasks take 30 s."""
    scene = Scene(nodes, boot_s=6.0, lag_s=3.0, **({"run_s": 30.0} | changes))
    scene.net.loss = 0.0
    scene.start_all()
    scene.loop.run(3.0)
    return scene


def machine_of(scene: Scene, task: str) -> str | None:
    """The machine on which a task runs now, as the workers see it."""
    for worker in scene.cloud.workers():
        if any(t["status"] == "running" for (name, _), t in worker.tasks.items() if name == task):
            return worker.entry["ref"]
    return None


def unavailable_reason(scene: Scene, name: str) -> str | None:
    """The node's answer, in the context of its host: outside of it, the node would read the real clock."""
    host, node = scene.nodes[name]
    return host.context.run(node.unavailable_reason)


def told(scene: Scene, ref: str) -> dict | None:
    """The next answer about a job, or None if there is none within 2 s."""
    answers: list[dict | None] = []

    async def ask() -> None:
        answers.append(await scene._ask("GET", f"/work/{ref}", None, scene.loop.now + 2.0))

    scene.users.run(ask())
    scene.loop.run(lambda: bool(answers), 8.0)
    return answers[0] if answers else None


# -- machines that receive nothing -------------------------------------------------------------


def deafen(scene: Scene, *machines: str) -> list[Cut]:
    """Cut the connections from the nodes to these machines; the other direction works."""
    cuts = [Cut(f"node-{i}", name, False) for i in range(3) for name in machines]
    scene.net.cuts += cuts
    return cuts


def test_nothing_more_is_placed_on_a_machine_that_cannot_hear():
    """Because of its reports, such a machine counted as healthy: start commands for it were repeated without effect."""
    scene = begun()
    scene.submit("wk-1", pieces=4)
    scene.loop.run(20.0)
    name = machine_of(scene, "wk-1/0")
    assert name is not None
    cuts = deafen(scene, name)
    refs = [f"wk-{n}" for n in range(2, 8)]
    for n, ref in enumerate(refs):
        scene.later(6.0 * n, scene.submit, ref)
    assert scene.all_end(["wk-1", *refs], 150.0)
    assert not scene.broken
    # The machine is deleted once it is empty.
    scene.loop.run(scene.loop.now + 40.0)
    assert name not in scene.cloud.machines
    for cut in cuts:
        scene.net.mend(cut)


def test_replicas_on_a_machine_that_receives_nothing_run_elsewhere_once_that_is_proven_safe():
    scene = begun()
    scene.submit("wk-900", pieces=3, **SERVICE)
    scene.loop.run(25.0)
    names = {machine_of(scene, f"wk-900/{i}") for i in range(3)}
    name = next(n for n in names if n is not None)
    deafen(scene, name)
    scene.loop.run(scene.loop.now + 35.0)
    machines_after = {machine_of(scene, f"wk-900/{i}") for i in range(3)}
    assert None not in machines_after and name not in machines_after and not scene.broken


def test_a_cancelled_task_on_a_machine_that_receives_nothing_stops_in_time():
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=2)
    scene.loop.run(20.0)
    name = machine_of(scene, "wk-1/0")
    assert name is not None
    deafen(scene, name)
    scene.poll("wk-1", cancel=True)
    scene.loop.run(scene.loop.now + 35.0)
    assert machine_of(scene, "wk-1/0") is None and machine_of(scene, "wk-1/1") is None


def test_when_all_machines_cannot_hear_none_is_deleted_and_all_are_used_again():
    scene = begun()
    for n in range(6):
        scene.submit(f"wk-{n}", pieces=4)
    scene.loop.run(14.0)
    names = list(scene.cloud.machines)
    assert len(names) > 3
    cuts = [cut for name in names for cut in deafen(scene, name)]
    scene.loop.run(scene.loop.now + 25.0)
    gone = [name for name in names if name not in scene.cloud.machines]
    assert len(gone) <= 1, gone
    for cut in cuts:
        scene.net.mend(cut)
    assert scene.all_end([f"wk-{n}" for n in range(6)], 150.0) and not scene.broken


# -- nodes that reach only their workers -------------------------------------------------------


def strand(scene: Scene, name: str, hold: bool, zone: bool = False) -> list[Cut]:
    """Cut a node off from the state service and its peers, in both directions; with `zone` also its zone's workers."""
    others = [f"node-{i}" for i in range(3) if f"node-{i}" != name] + ["services"]
    ends = [name, f"@{scene.nodes[name][0].zone}"] if zone else [name]
    cuts = [Cut(a, b, hold) for end in ends for other in others for a, b in ((end, other), (other, end))]
    scene.net.cuts += cuts
    return cuts


def submit_long_jobs(scene: Scene) -> None:
    scene.submit("wk-900", pieces=6, apart=True, **SERVICE)
    for n in range(4):
        scene.submit(f"wk-{n}", pieces=6, expectedS=30.0)


@pytest.mark.parametrize("hold", [False, True])
@pytest.mark.parametrize("who", ["leader", "the only one of its zone"])
def test_workers_of_a_node_that_is_alone_are_led_by_the_others(who, hold, caplog):
    """The node kept answering its workers, so that they never turned to the next leader, which got no reports."""
    scene = begun(run_s=30.0)
    submit_long_jobs(scene)
    scene.loop.run(18.0)
    name = scene.leader() if who == "leader" else "node-1"
    assert name is not None
    cuts = strand(scene, name, hold)
    caplog.set_level(logging.INFO)
    rented = scene.cloud.rentals
    scene.loop.run(scene.loop.now + 32.0)
    leader = scene.leader()
    assert leader is not None and leader != name
    host, node = scene.nodes[leader]
    assert node.leader_term is not None
    heard = [
        m
        for m in node.leader_term.cluster.machines.values()
        if m.last_heard is not None and host.monotonic_time() - m.last_heard < 4.0
    ]
    assert len(heard) >= 0.9 * len(scene.cloud.machines)
    assert unavailable_reason(scene, name) is not None
    # A cancelled job's tasks stop in time, wherever they run.
    scene.poll("wk-900", cancel=True)
    # A new job runs on these machines, and they are not deleted in numbers.
    scene.submit("wk-50", pieces=2)
    assert scene.all_end(["wk-50"], 60.0)
    scene.loop.run(scene.loop.now + 5.0)
    assert not any(
        task[0].startswith("wk-900/") and t["status"] != "ended"
        for w in scene.cloud.workers()
        for task, t in w.tasks.items()
    )
    assert caplog.text.count("reason=silent for") <= 1 and scene.cloud.rentals - rented <= 4
    for cut in cuts:
        scene.net.mend(cut)
    scene.loop.run(scene.loop.now + 10.0)
    assert unavailable_reason(scene, name) is None
    assert scene.all_end([f"wk-{n}" for n in range(4)], 150.0) and not scene.broken


def test_workers_of_a_node_that_cannot_reach_the_leader_go_there(caplog):
    """Only connections between nodes are refused, so a node's reports did not reach the leader: after three leases
    of silence it deleted 33 healthy machines."""
    scene = begun(run_s=60.0)
    submit_long_jobs(scene)
    scene.loop.run(20.0)
    cuts = [Cut(f"node-{i}", f"node-{j}", False) for i in range(3) for j in range(3) if i != j]
    scene.net.cuts += cuts
    caplog.set_level(logging.INFO)
    scene.loop.run(scene.loop.now + 45.0)
    host, node = scene.nodes[scene.leader() or ""]
    assert node.leader_term is not None
    machines = node.leader_term.cluster.machines.values()
    assert all(m.last_heard is not None and host.monotonic_time() - m.last_heard < 4.0 for m in machines)
    assert caplog.text.count("reason=silent for") <= 1
    assert all(unavailable_reason(scene, name) is None for name in scene.nodes)
    for cut in cuts:
        scene.net.mend(cut)
    assert scene.all_end([f"wk-{n}" for n in range(4)], 150.0) and not scene.broken


@pytest.mark.parametrize("hold", [False, True])
def test_a_zone_that_is_cut_off_with_its_node_loses_nothing(hold, monkeypatch):
    """To the node this looks as if it were cut off alone, but only its answers keep its workers' tasks alive."""
    monkeypatch.setattr(Worker, "request_timeout_s", 4.0)
    monkeypatch.setattr(Worker, "retry_delay_s", 1.0)
    scene = begun(run_s=300.0)
    submit_long_jobs(scene)
    scene.loop.run(18.0)
    sessions_before = {w.entry["ref"]: w.session for w in scene.cloud.workers() if w.entry["hall"] == "b"}
    assert sessions_before
    cuts = strand(scene, "node-1", hold, zone=True)
    scene.loop.run(scene.loop.now + 40.0)
    for cut in cuts:
        scene.net.mend(cut)
    scene.loop.run(scene.loop.now + 15.0)
    sessions_after = {w.entry["ref"]: w.session for w in scene.cloud.workers()}
    lost = [ref for ref, session in sessions_before.items() if sessions_after.get(ref) != session]
    assert len(lost) <= 1, lost
    assert not scene.broken


def test_nodes_that_are_all_cut_off_in_an_outage_keep_all_sessions():
    """An outage while the nodes can't reach each other: each seems to be cut off alone, but none of them is."""
    scene = begun(run_s=300.0)
    submit_long_jobs(scene)
    scene.loop.run(18.0)
    sessions = {w.entry["ref"]: w.session for w in scene.cloud.workers()}
    scene.state.down = True
    scene.net.cuts += [Cut(f"node-{i}", f"node-{j}", False) for i in range(3) for j in range(3) if i != j]
    scene.loop.run(scene.loop.now + 45.0)
    scene.net.cuts.clear()
    scene.state.down = False
    scene.loop.run(scene.loop.now + 15.0)
    assert {w.entry["ref"]: w.session for w in scene.cloud.workers() if w.entry["ref"] in sessions} == sessions
    assert not scene.broken


# -- late copies -------------------------------------------------------------------------------


@pytest.mark.parametrize("late", [2.0, 8.0, 25.0, 70.0])
@pytest.mark.parametrize("receiver", ["as it was sent", "another node", "a successor"])
def test_copies_of_reports_free_nothing_and_start_nothing(late, receiver):
    """A second copy of every report arrives 2 s to 70 s late, which may exceed a lease, while jobs end and are
    cancelled, machines are deleted and leaders change."""
    scene = begun()
    sent: list[int] = []

    def copy(message: Message) -> float | None:
        if message.what == "POST /v1/report" and scene.loop.now < 80.0:
            sent.append(message.number)
            return late
        return None

    scene.net.watch = copy
    if receiver == "another node":
        # Workers of zone a turn to another node, so that copies reach a node to which they no longer report.
        scene.later(30.0, lambda: scene.net.cuts.append(Cut("@a", "node-0", False)))
        scene.later(50.0, lambda: scene.net.cuts.clear())
    refs = [f"wk-{n}" for n in range(8)]
    for n, ref in enumerate(refs):
        scene.later(5.0 * n, scene.submit, ref)
    scene.later(1.0, scene.submit, "wk-900")
    scene.later(30.0, scene.poll, "wk-5", True)
    scene.later(35.0, scene.die, 1)
    if receiver == "a successor":

        def change() -> None:
            name = scene.leader()
            if name is not None:
                scene.crash(name)
                scene.later(0.3, scene.start, int(name[-1]))

        for at in (24.0, 48.0):
            scene.later(at, change)
    scene.loop.run(130.0)
    assert scene.all_end(refs, 100.0) and not scene.broken
    assert len(sent) > 100
    # The leader forgets machines that no longer exist.
    leader = scene.nodes[scene.leader() or ""][1].leader_term
    assert leader is not None
    scene.loop.run(scene.loop.now + 30.0)
    assert set(leader.cluster.machines) <= set(scene.cloud.machines)


def test_a_copy_of_a_machine_that_an_earlier_term_deleted_is_no_room():
    scene = begun()
    scene.submit("wk-1")
    scene.loop.run(20.0)
    host, node = scene.nodes[scene.leader() or ""]
    assert node.leader_term is not None
    name = machine_of(scene, "wk-1/0")
    worker = next(w for w in scene.cloud.workers() if w.entry["ref"] == name)
    old = {**worker.report(), "rig": "vm-000999", "baton": node.leader_term.term - 1}
    assert node.election.leadership.has_valid_lease(host.monotonic_time())
    status, body = host.context.run(node.reports.handle, json.dumps(old).encode())  # type: ignore[misc]
    assert status == 200 and json.loads(body)["orders"] == [] and "vm-000999" not in node.leader_term.cluster.machines
    # A machine that exists learns the term from the answer, and is registered by its next report.
    new = json.dumps({**old, "baton": node.leader_term.term, "tick": 9999}).encode()
    status, _ = host.context.run(node.reports.handle, new)  # type: ignore[misc]
    assert node.leader_term.cluster.machines["vm-000999"].state is MachineState.UP


def test_a_machine_that_reports_a_lower_session_is_deleted():
    scene = begun(run_s=500.0)
    scene.submit("wk-1")
    scene.loop.run(20.0)
    name = machine_of(scene, "wk-1/0")
    worker = next(w for w in scene.cloud.workers() if w.entry["ref"] == name)
    leader = scene.nodes[scene.leader() or ""][1].leader_term
    assert leader is not None and name is not None
    leader.cluster.machines[name].session = 50
    worker.seq = 0
    scene.loop.run(scene.loop.now + 30.0)
    assert name not in scene.cloud.machines and machine_of(scene, "wk-1/0") not in (None, name)
    assert not scene.broken


# -- nodes that restart at once ----------------------------------------------------------------


@pytest.mark.parametrize("pause", [0.05, 0.2, 0.5])
@pytest.mark.parametrize("who", ["leader", "follower", "both", "again and again"])
def test_a_node_that_restarts_at_once_delays_no_election(pause, who):
    scene = begun()
    scene.submit("wk-1", pieces=8)
    scene.loop.run(16.0)
    first_leader = scene.leader()
    assert first_leader is not None
    names = {
        "leader": [first_leader],
        "follower": [n for n in scene.nodes if n != first_leader][:1],
        "both": list(scene.nodes)[:2],
        "again and again": [first_leader] * 4,
    }[who]
    for n, name in enumerate(names):
        at = n * 0.7 if who == "again and again" else 0.0
        scene.later(at, lambda name=name: name in scene.nodes and scene.crash(name))
        scene.later(at + pause, lambda name=name: name not in scene.nodes and scene.start(int(name[-1])))
    scene.submit("wk-2")
    restarted_at = scene.loop.now + (3 * 0.7 if who == "again and again" else 0.0) + pause
    scene.loop.run(restarted_at)
    assert scene.loop.run(lambda: scene.leader() is not None, 10.0)
    assert scene.loop.now - restarted_at < 3.5
    assert scene.all_end(["wk-1", "wk-2"], 120.0) and not scene.broken
    terms = [v[0] for k, v in scene.state.keys.items() if k == "term"]
    assert len(terms) == 1


# -- accepted jobs stay known ------------------------------------------------------------------


@pytest.mark.parametrize("trouble", ["all nodes end", "outage", "one node left", "slow"])
def test_after_faults_each_accepted_job_is_known_at_every_node(trouble):
    scene = begun()
    refs = [f"wk-{n}" for n in range(12)]
    for n, ref in enumerate(refs):
        scene.later(1.0 * n, scene.submit, ref)
    scene.submit("wk-900", pieces=100_000, gpus=0.0, cpus=1.0, memGb=0.1)
    scene.loop.run(18.0)
    if trouble == "all nodes end":
        for name in list(scene.nodes):
            scene.crash(name)
        scene.loop.run(21.0)
        scene.start_all()
    elif trouble == "outage":
        scene.state.down = True
        scene.later(20.0, setattr, scene.state, "down", False)
        scene.loop.run(39.0)
    elif trouble == "one node left":
        for name in list(scene.nodes)[1:]:
            scene.crash(name)
            scene.addresses.remove(f"10.0.0.{int(name[-1]) + 1}")
        scene.loop.run(24.0)
    else:
        scene.net.watch = lambda m: "drop" if m.target == "services" and m.number % 5 == 0 else None
        scene.loop.run(30.0)
        scene.net.watch = lambda m: None
    scene.loop.run(scene.loop.now + 3.0)
    for ref in [*refs, "wk-900"]:
        if ref in scene.accepted:
            for _ in range(len(scene.addresses)):
                answer = told(scene, ref)
                assert answer is not None and answer["ref"] == ref, ref
    assert len(scene.accepted) == len(refs) + 1 and not scene.broken


# -- machines that reach no node ---------------------------------------------------------------


def cut_reports(scene: Scene, *machines: str) -> list[Cut]:
    """Cut the connections from these machines to the nodes; what the nodes send arrives and is answered."""
    cuts = [Cut(name, f"node-{i}", False) for name in machines for i in range(3)]
    scene.net.cuts += cuts
    return cuts


def test_replicas_on_a_machine_that_reaches_no_node_run_elsewhere_once_its_lease_is_over():
    """The machine answered probes, and so did not count as silent: its replicas were not replaced, and new tasks were
    placed there, although they are only started by answers to reports."""
    scene = begun(run_s=500.0)
    scene.submit("wk-900", pieces=3, **SERVICE)
    scene.loop.run(25.0)
    name = next(n for i in range(3) if (n := machine_of(scene, f"wk-900/{i}")) is not None)
    cut_reports(scene, name)
    scene.later(4.0, scene.submit, "wk-1")
    scene.loop.run(scene.loop.now + 21.0)  # a lease, a boot, and two reports
    machines_after = {machine_of(scene, f"wk-900/{i}") for i in range(3)}
    assert None not in machines_after and name not in machines_after and not scene.broken
    assert {machine_of(scene, f"wk-1/{i}") for i in range(2)}.isdisjoint({None, name})


@pytest.mark.parametrize("for_s", [4.0, 8.0])
def test_a_machine_that_reaches_no_node_for_less_than_its_lease_keeps_its_tasks(for_s):
    scene = begun(run_s=500.0)
    scene.submit("wk-900", pieces=3, **SERVICE)
    scene.loop.run(25.0)
    name = next(n for i in range(3) if (n := machine_of(scene, f"wk-900/{i}")) is not None)
    before = {i: machine_of(scene, f"wk-900/{i}") for i in range(3)}
    cuts = cut_reports(scene, name)
    scene.loop.run(scene.loop.now + for_s)
    for cut in cuts:
        scene.net.mend(cut)
    scene.loop.run(scene.loop.now + 20.0)
    assert {i: machine_of(scene, f"wk-900/{i}") for i in range(3)} == before and not scene.broken


def test_a_cancelled_task_on_a_machine_that_reaches_no_node_is_stopped_directly():
    scene = begun(run_s=500.0)
    scene.submit("wk-1", pieces=2)
    scene.loop.run(20.0)
    name = machine_of(scene, "wk-1/0")
    assert name is not None
    cut_reports(scene, name)
    scene.poll("wk-1", cancel=True)
    scene.loop.run(scene.loop.now + 2.0)
    assert scene.on_machines("wk-1") == [] and name in scene.cloud.machines
