"""Nodes that don't learn of a cancellation: its tasks end in time, and undisturbed work goes on.

A node may be cut off, stand still or lead without hearing from the others while a job is cancelled. It goes on renewing
its workers' leases, as it must if its zone is cut off, so users are told only once it can't keep cancelled tasks alive.
"""

from __future__ import annotations

import pytest
from test_restart_in_outage import OUTAGE_S, RestartedNodes

from standins.network import Cut, Message
from standins.simulation import CANCEL_S

UNAWARE = "node-1"  # the only node of zone b


class UnawareNode(RestartedNodes):
    """One node that can be cut off with the machines of its zone, or suspended; the other two go on."""

    def __init__(self, seed: int = 0, leads: bool = False) -> None:
        super().__init__(seed)
        self.aware = [0, 2]
        if (self.simulation.leader() == UNAWARE) is not leads:
            self.restart_nodes(*(self.aware if leads else [1]), back_s=8.0)
            self.run(25.0)
        assert (self.simulation.leader() == UNAWARE) is leads
        self.cancelled.append("wk-3")
        self.undisturbed.append("wk-4")
        for ref in ("wk-3", "wk-4"):
            self.simulation.submit(ref, pieces=2, hall="b")
        self.run(15.0)
        assert all(len(self.simulation.on_machines(ref)) == 2 for ref in ("wk-3", "wk-4"))

    def cut_zone_off(self, hold: bool = False, state_service: bool = True) -> list[Cut]:
        """Cut zone b off from the other zone and, with `state_service`, from the state service and the cloud."""
        pairs = [("@b", "@a"), ("@a", "@b")]
        if state_service:
            pairs += [("@b", "services"), ("services", "@b")]
        cuts = [Cut(source, target, hold) for source, target in pairs]
        self.simulation.net.cuts += cuts
        return cuts

    def heal(self, cuts: list[Cut]) -> None:
        for cut in cuts:
            self.simulation.net.heal(cut)

    def cancel_as_users_do(self, patience_s: float = 12.0) -> None:
        """Cancel the jobs at nodes that are not cut off, with retries, until users have been told."""
        simulation = self.simulation
        deadline = simulation.loop.now + patience_s
        while len(simulation.cancel_confirmed_at) < len(self.cancelled) and simulation.loop.now < deadline:
            for ref in set(self.cancelled) - set(simulation.cancel_confirmed_at):
                simulation.send_once(self.aware[0], "POST", f"/work/{ref}/abort", {})
            self.run(1.0)
        assert len(simulation.cancel_confirmed_at) == len(self.cancelled)

    def end_those_who_know(self) -> None:
        """Let the state service go down for longer than `cancel_s`, and the nodes that know of the jobs crash."""
        self.run(1.0)
        self.simulation.state.down = True
        self.run(0.5)
        self.restart_nodes(*self.aware)


@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("hold", [False, True])
@pytest.mark.parametrize("back", [True, False])
def test_cancelled_tasks_end_though_only_a_zone_that_was_cut_off_is_left(back, hold, leads):
    """Guards against a node in a cut-off zone, leader or not, that keeps cancelled tasks alive for ever."""
    nodes = UnawareNode(21, leads)
    cuts = nodes.cut_zone_off(hold)
    nodes.run(5.0)
    nodes.cancel_as_users_do()
    nodes.end_those_who_know()
    nodes.run(4.0 if back else OUTAGE_S)
    nodes.heal(cuts)
    nodes.end_outage_and_check(OUTAGE_S if back else 0.0)


@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("pause_s", [6.0, 20.0])
def test_cancelled_tasks_end_though_only_a_node_that_stood_still_is_left(pause_s, leads):
    """Guards against a process that resumes without the cancellations that were confirmed while it stood still."""
    nodes = UnawareNode(22, leads)
    host = nodes.simulation.nodes[UNAWARE][0]
    host.suspend()
    nodes.simulation.later(pause_s, host.resume)
    nodes.run(1.0)
    nodes.cancel_as_users_do()
    nodes.end_those_who_know()
    nodes.end_outage_and_check(OUTAGE_S)


@pytest.mark.parametrize("path", ["cancellation", "status", "submission"])
def test_no_node_tells_users_of_a_cancellation_that_another_may_not_know(path):
    """Guards against telling it while a cut-off node can keep the tasks alive, whichever request the user makes."""
    nodes = UnawareNode(23)
    simulation = nodes.simulation
    cuts = nodes.cut_zone_off()
    nodes.run(3.0)
    simulation.cloud.down = True
    ref = "wk-3"
    nodes.cancelled = [ref]
    simulation.send_once(0, "POST", f"/work/{ref}/abort", {})
    nodes.run(6.0)
    assert len(simulation.on_machines(ref)) == 2
    asked_from = simulation.loop.now
    for number in nodes.aware:
        if path == "cancellation":
            simulation.send_once(number, "POST", f"/work/{ref}/abort", {})
        elif path == "status":
            simulation.send_once(number, "GET", f"/work/{ref}")
        else:
            simulation.send_once(number, "POST", "/work", simulation.jobs[ref].spec)
    nodes.run(5.0)
    codes = [answer.code for answer in simulation.history if answer.ref == ref and answer.asked_at >= asked_from]
    assert codes == [503, 503] and ref not in simulation.cancel_confirmed_at
    simulation.cloud.down = False
    nodes.cancel_as_users_do()
    assert simulation.on_machines(ref) == []
    nodes.heal(cuts)
    nodes.run(CANCEL_S)
    nodes.check_rules()


@pytest.mark.parametrize("hold", [False, True])
@pytest.mark.parametrize("state_service", [False, True])
@pytest.mark.parametrize("leads", [False, True])
def test_undisturbed_work_lives_through_a_zone_cut(leads, state_service, hold):
    """Guards against a limit on the renewals of a cut-off node: it can't tell this from the tests above."""
    nodes = UnawareNode(24, leads)
    zone_b = {worker.entry["ref"] for worker in nodes.simulation.cloud.workers() if worker.entry["hall"] == "b"}
    before = [placement for placement in nodes.placements() if placement[0] in zone_b]
    cuts = nodes.cut_zone_off(hold, state_service)
    nodes.run(2 * CANCEL_S)
    assert before and [p for p in nodes.placements() if p[0] in zone_b] == before
    nodes.heal(cuts)
    nodes.run(10.0)
    nodes.check_rules()


def test_undisturbed_work_lives_through_an_outage_in_which_nobody_is_cut_off():
    nodes = UnawareNode(25)
    before = nodes.placements()
    nodes.simulation.state.down = True
    nodes.run(2 * OUTAGE_S)
    assert nodes.placements() == before
    nodes.simulation.state.down = False
    nodes.run(10.0)
    nodes.check_rules()


def test_a_cancellation_that_a_restarting_node_has_not_acknowledged_deletes_no_machine():
    """Guards against deletions, with other work on the machines, each time that a node restarts."""
    nodes = UnawareNode(26)
    before = nodes.placements()
    machines = set(nodes.simulation.cloud.machines)
    nodes.restart_nodes(1)
    nodes.run(0.3)
    nodes.cancel(reachable=True)
    assert not any(nodes.simulation.on_machines(ref) for ref in nodes.cancelled)
    nodes.run(3.0)
    assert machines == set(nodes.simulation.cloud.machines) and nodes.placements() == before
    nodes.check_rules()


def test_a_node_that_stood_still_deletes_no_machine_whose_answer_it_has_not_read_yet():
    """Guards against a pause, or a long planning cycle, that passes for the silence of healthy machines."""
    nodes = UnawareNode(27)
    simulation = nodes.simulation
    machines = set(simulation.cloud.machines)
    nodes.restart_nodes(1, back_s=20.0)
    nodes.run(1.0)
    host = simulation.nodes["node-0"][0]

    def pause(message: Message) -> None:
        if message.source.startswith("vm-") and message.target == "node-0" and "/commands" in message.what:
            simulation.net.watch = lambda message: None
            host.suspend()
            simulation.later(2.0, host.resume)

    simulation.net.watch = pause
    for ref in nodes.cancelled:
        simulation.send_once(0, "POST", f"/work/{ref}/abort", {})
    nodes.run(6.0)
    assert host.suspended_callbacks is None and not any(simulation.on_machines(ref) for ref in nodes.cancelled)
    assert machines == set(simulation.cloud.machines)
