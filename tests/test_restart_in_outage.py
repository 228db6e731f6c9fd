"""Nodes that restart while the state service is down: cancelled tasks end in time, and undisturbed work goes on.

A restarted process knows nothing: neither the records nor, unless another node tells it, any confirmed cancellation.
"""

from __future__ import annotations

import pytest

from standins.network import Cut
from standins.simulation import CANCEL_S, Simulation
from winglift.model.synchronization import SyncState

OUTAGE_S = 60.0  # s; longer than cancel_s
LEASE_S = 10.0  # s; lease of the workers in the simulation


class RestartedNodes:
    """Long tasks on machines of both zones; some machines lose the network while their jobs are cancelled."""

    def __init__(self, seed: int = 0) -> None:
        self.simulation = simulation = Simulation(3, seed, boot_s=6.0, cloud_list_lag_s=3.0, run_s=500.0)
        simulation.net.loss = 0.0
        simulation.start_all()
        simulation.loop.run(3.0)
        self.cancelled = ["wk-0", "wk-1"]
        self.undisturbed = ["wk-2", "wk-90"]
        for ref in self.cancelled:
            simulation.submit(ref, pieces=4)
        simulation.submit("wk-2", pieces=4)
        simulation.submit("wk-90", pieces=4, shape="daemon", urgency="production", expectedS=0.0, loaner=False)
        simulation.loop.run(25.0)
        assert all(len(simulation.on_machines(ref)) == 4 for ref in self.cancelled + self.undisturbed)

    def run(self, seconds: float) -> None:
        self.simulation.loop.run(self.simulation.loop.now + seconds)

    def cut_machines_off(self, *refs: str) -> list[Cut]:
        """Let the machines with tasks of these jobs lose the network."""
        machines = {machine for ref in refs for _, machine in self.simulation.on_machines(ref)}
        cuts = [Cut(a, b, False) for name in sorted(machines) for a, b in ((name, ""), ("", name))]
        self.simulation.net.cuts += cuts
        return cuts

    def cancel(self, reachable: bool = False) -> None:
        """Let a node confirm the cancellations; `reachable`: whether the tasks can be stopped at once."""
        for ref in self.cancelled:
            self.simulation.send_once(0, "POST", f"/work/{ref}/abort", {})
        confirmed = self.simulation.cancel_confirmed_at
        assert self.simulation.loop.run(lambda: len(confirmed) == len(self.cancelled), 2.0)
        assert reachable or all(len(self.simulation.on_machines(ref)) == 4 for ref in self.cancelled)

    def restart_nodes(self, *numbers: int, back_s: float = 3.0) -> None:
        """Crash these nodes now, and start them again after `back_s`."""
        for number in numbers:
            self.simulation.crash(f"node-{number}")
            self.simulation.later(back_s, self.simulation.start, number)

    def end_outage_and_check(self, after_s: float) -> None:
        """End the state service's outage after some time, and check the rules."""
        self.run(after_s)
        self.simulation.state.down = False
        self.run(5.0)
        self.check_rules()

    def check_rules(self) -> None:
        """Check the rules, and that the deployment runs a new job."""
        simulation = self.simulation
        assert not simulation.rule_violations
        simulation.submit("wk-50")
        self.run(25.0)
        assert simulation.on_machines("wk-50")
        assert not simulation.rule_violations

    def placements(self) -> list[tuple[str, str, int]]:
        """Machine, task and attempt of each task of the undisturbed jobs that is on a machine."""
        return sorted(
            (worker.entry["ref"], *key)
            for worker in self.simulation.cloud.workers()
            for key, task in worker.tasks.items()
            if key[0].rpartition("/")[0] in self.undisturbed and task["status"] == "running"
        )


@pytest.mark.parametrize("back_s", [0.05, 3.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_cancelled_tasks_end_though_all_nodes_restart_in_an_outage(seed, back_s):
    """Guards against a process that has read nothing renewing the leases of machines with cancelled tasks."""
    nodes = RestartedNodes(seed)
    cuts = nodes.cut_machines_off(*nodes.cancelled)
    nodes.cancel()
    nodes.run(1.0)
    nodes.simulation.state.down = True
    nodes.run(1.0)
    nodes.restart_nodes(0, 1, 2, back_s=back_s)
    nodes.run(4.0)
    for cut in cuts:
        nodes.simulation.net.heal(cut)
    nodes.end_outage_and_check(OUTAGE_S)


@pytest.mark.parametrize("again_s", [6.0, 9.0, 14.0])
def test_cancelled_tasks_end_though_all_nodes_restart_twice_in_an_outage(again_s):
    """Guards against renewals for a limited time after each start, which repeated restarts would add up."""
    nodes = RestartedNodes(3)
    cuts = nodes.cut_machines_off(*nodes.cancelled)
    nodes.cancel()
    nodes.run(1.0)
    nodes.simulation.state.down = True
    nodes.restart_nodes(0, 1, 2)
    nodes.run(4.0)
    for cut in cuts:
        nodes.simulation.net.heal(cut)
    for _ in range(3):
        nodes.run(again_s)
        nodes.restart_nodes(0, 1, 2)
        nodes.run(3.5)
    nodes.end_outage_and_check(OUTAGE_S)


@pytest.mark.parametrize("unread", ["GET /store", "GET /store/duty"])
def test_a_leader_that_cannot_load_does_not_keep_cancelled_tasks_alive(unread):
    """Guards against a leader elected between two outages that renews leases before its records are loaded."""
    nodes = RestartedNodes(4)
    simulation = nodes.simulation
    cuts = nodes.cut_machines_off(*nodes.cancelled)
    nodes.cancel()
    nodes.run(1.0)
    simulation.net.watch = lambda message: "drop" if message.what == unread else None
    nodes.restart_nodes(0, 1, 2)
    nodes.run(4.0)
    for cut in cuts:
        simulation.net.heal(cut)
    assert simulation.loop.run(lambda: any(node.leader_term for _, node in simulation.nodes.values()), 5.0)
    nodes.run(1.0)
    simulation.state.down = True
    simulation.net.watch = lambda message: None
    nodes.end_outage_and_check(OUTAGE_S)


@pytest.mark.parametrize("survivor", [0, 1, 2])
def test_undisturbed_tasks_go_on_while_one_node_is_left(survivor):
    """A restarted node learns all cancellations from the survivor and renews leases for the rest of the outage."""
    nodes = RestartedNodes(5)
    simulation = nodes.simulation
    cuts = nodes.cut_machines_off(*nodes.cancelled)
    nodes.cancel()
    before = nodes.placements()
    nodes.run(1.0)
    simulation.state.down = True
    nodes.run(1.0)
    nodes.restart_nodes(*{0, 1, 2} - {survivor})
    nodes.run(4.0)
    for cut in cuts:
        simulation.net.heal(cut)
    nodes.run(1.0)
    # From now on the survivor is down: the other two have what it has told them.
    nodes.restart_nodes(survivor, back_s=20.0)
    nodes.run(CANCEL_S)
    assert [p for p in nodes.placements() if p not in before] == []
    undisturbed_machines = {p[0] for p in before} - {cut.source for cut in cuts}
    assert {p for p in before if p[0] in undisturbed_machines} <= set(nodes.placements())
    simulation.state.down = False
    nodes.run(5.0)
    nodes.check_rules()


def test_cancelled_tasks_end_though_only_nodes_that_were_told_after_a_restart_are_left():
    """Guards against a survivor that lets restarted nodes renew leases without telling them the cancellations."""
    nodes = RestartedNodes(11)
    cuts = nodes.cut_machines_off(*nodes.cancelled)
    nodes.cancel()
    nodes.simulation.state.down = True
    nodes.restart_nodes(0, 2, back_s=0.05)
    nodes.run(2.0)
    nodes.restart_nodes(1, back_s=OUTAGE_S)
    nodes.run(1.0)
    for cut in cuts:
        nodes.simulation.net.heal(cut)
    nodes.end_outage_and_check(OUTAGE_S)


@pytest.mark.parametrize("outage_s", [0.0, 5.0, 12.0, 20.0])
def test_undisturbed_tasks_go_on_if_the_outage_ends_soon_after_all_nodes_have_restarted(outage_s):
    """Guards against refusing workers longer than the rule asks: 10 s of lease would end before the later outages."""
    nodes = RestartedNodes(6)
    before = nodes.placements()
    nodes.simulation.state.down = outage_s > 0
    nodes.restart_nodes(0, 1, 2)
    nodes.run(outage_s)
    nodes.simulation.state.down = False
    nodes.run(20.0)
    assert nodes.placements() == before
    nodes.check_rules()


def test_a_leader_commands_machines_that_an_isolated_restarted_node_has_kept_alive():
    """Guards against a leader whose answers and direct stops such machines drop as outdated."""
    nodes = RestartedNodes(9)
    simulation = nodes.simulation
    leader = simulation.leader()
    assert leader is not None
    number = next(n for n in range(3) if f"node-{n}" != leader)
    isolated = f"node-{number}"
    others = [f"node-{n}" for n in range(3) if n != number]
    machines = sorted(simulation.cloud.machines)
    cuts = [Cut(a, b, False) for other in [*others, "services"] for a, b in ((isolated, other), (other, isolated))]
    cuts += [Cut(a, b, False) for other in others for name in machines for a, b in ((name, other), (other, name))]
    before = nodes.placements()
    simulation.net.cuts += cuts
    nodes.restart_nodes(number, back_s=0.05)
    nodes.run(6.0)
    assert all(worker.token % 2 for worker in simulation.cloud.workers())
    for cut in cuts:
        simulation.net.heal(cut)
    nodes.run(6.0)
    assert simulation.leader() == leader and nodes.placements() == before
    nodes.cancel(reachable=True)
    nodes.run(0.05)  # direct stops take some milliseconds, a report comes once a second
    assert all(simulation.on_machines(ref) == [] for ref in nodes.cancelled)
    simulation.submit("wk-3", pieces=4)
    nodes.run(5.0)
    assert len(simulation.on_machines("wk-3")) == 4
    nodes.check_rules()


@pytest.mark.parametrize("reconnects", [True, False])
def test_a_survivor_that_was_cut_off_keeps_cancelled_tasks_alive(reconnects):
    """Guards against renewals by a node that was cut off when the job was cancelled, after all others have ended."""
    nodes = RestartedNodes(1)
    simulation = nodes.simulation
    machines = {machine for ref in nodes.cancelled for _, machine in simulation.on_machines(ref)}
    # node-1 reaches only the workers; the others reach it and the machines of the cancelled jobs no more.
    cuts = [Cut(a, b, False) for o in ["node-0", "node-2", "services"] for a, b in (("node-1", o), (o, "node-1"))]
    cuts += [
        Cut(a, b, False) for n in (0, 2) for name in machines for a, b in ((name, f"node-{n}"), (f"node-{n}", name))
    ]
    simulation.net.cuts += cuts
    nodes.run(5.0)
    nodes.cancel(reachable=True)
    # The users are told only after the tasks have ended, since node-1 can't be told.
    assert not any(simulation.on_machines(ref) for ref in nodes.cancelled)
    nodes.run(1.0)
    simulation.state.down = True
    nodes.run(1.0)
    nodes.restart_nodes(0, 2)
    nodes.run(4.0 if reconnects else OUTAGE_S)
    for cut in cuts:
        simulation.net.heal(cut)
    nodes.end_outage_and_check(OUTAGE_S if reconnects else 0.0)


def test_users_get_503_from_processes_that_have_read_nothing():
    """Guards against an answer about a job, known or not, that no read of the state service supports."""
    nodes = RestartedNodes(10)
    simulation = nodes.simulation
    simulation.state.down = True
    nodes.restart_nodes(0, 1, 2)
    nodes.run(4.0)
    answered = len(simulation.history)
    for number in range(3):
        simulation.send_once(number, "GET", "/work/wk-2")
        simulation.send_once(number, "GET", "/work/wk-77")
        simulation.send_once(number, "POST", "/work", simulation.jobs["wk-2"].spec)
        simulation.send_once(number, "POST", "/work/wk-2/abort", {})
    nodes.run(5.0)
    assert [answer.code for answer in simulation.history[answered:]] == [503] * 12


def test_a_node_is_synchronized_by_its_records_or_by_a_synchronized_peer():
    nodes = RestartedNodes(7)
    simulation = nodes.simulation

    def states() -> list[SyncState]:
        return [node.cancellation_enforcer.announcer.synchronization.state for _, node in simulation.nodes.values()]

    assert states() == [SyncState.SYNCHRONIZED] * 3
    simulation.state.down = True
    nodes.restart_nodes(0, 1)
    nodes.run(4.0)  # the survivor reconnects within 0.6 s
    assert states() == [SyncState.SYNCHRONIZED] * 3
    nodes.restart_nodes(0, 1, 2)
    nodes.run(LEASE_S)
    assert states() == [SyncState.UNSYNCHRONIZED] * 3
    simulation.state.down = False
    nodes.run(3.0)
    assert states() == [SyncState.SYNCHRONIZED] * 3


def test_a_process_that_has_read_nothing_does_not_say_that_the_state_service_works():
    """Guards against a survivor that fails its health checks, since a restarted peer claims to be served."""
    nodes = RestartedNodes(8)
    simulation = nodes.simulation
    simulation.state.down = True
    nodes.run(4.0)
    # The restarted node's requests to the state service hang, as in an outage without answers.
    simulation.net.watch = lambda message: (
        "drop" if (message.source, message.target) == ("node-0", "services") else None
    )
    nodes.restart_nodes(0)
    host, survivor = simulation.nodes["node-1"]
    reasons = set()
    for _ in range(60):
        nodes.run(0.1)
        reasons.add(host.context.run(survivor.unavailable_reason))
    assert reasons == {None}
