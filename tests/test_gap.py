"""Cancellations that another node confirms while the state service refuses the leader, followed by an outage.

The state service refuses the leader only; another node confirms cancellations; then the service is down for all nodes
for longer than `cancel_s`. Whichever node leads, knows of the cancellations or is still running: the tasks must be gone
within `cancel_s`.
"""

from __future__ import annotations

import json

import pytest

from standins.network import Cut, Message
from standins.simulation import CANCEL_S, Simulation
from standins.worker import Worker
from winglift.wire import peer as peer_messages

OUTAGE_S = 60.0


class CancellationGap:
    """Long tasks on machines of both zones. From 20 s on, the state service refuses the leader only.

    `refused_s`: time from the confirmation to the outage. `outage_s`: duration of the outage.
    """

    def __init__(self, seed: int = 0, refused_s: float = 0.6, outage_s: float = OUTAGE_S, jobs: int = 3) -> None:
        self.simulation = simulation = Simulation(3, seed, boot_s=6.0, cloud_list_lag_s=3.0, run_s=500.0)
        simulation.net.loss = 0.0
        simulation.start_all()
        simulation.loop.run(3.0)
        self.refs = [f"wk-{n}" for n in range(jobs)]
        for ref in self.refs:
            simulation.submit(ref, pieces=6)
        simulation.loop.run(20.0)
        assert all(len(simulation.on_machines(ref)) == 6 for ref in self.refs)
        self.old_leader = simulation.leader() or ""
        self.others = [name for name in simulation.nodes if name != self.old_leader]
        self.refused_s, self.outage_s = refused_s, outage_s
        simulation.state.refused.add(self.old_leader)

    def node_number(self, name: str) -> int:
        return int(name[-1])

    def confirm_cancellations(self, node_name: str) -> None:
        """Let one node confirm the cancellation of all jobs, 0.2 s after the leader was first refused."""
        simulation = self.simulation
        simulation.loop.run(simulation.loop.now + 0.2)
        for ref in self.refs:
            simulation.send_once(self.node_number(node_name), "POST", f"/work/{ref}/abort", {})
        assert simulation.loop.run(lambda: len(simulation.cancel_confirmed_at) == len(self.refs), 2.0)

    def start_outage(self) -> None:
        self.simulation.loop.run(self.simulation.loop.now + self.refused_s)
        self.simulation.state.down = True

    def run_and_check(self) -> None:
        """Run until 30 s after the outage, and check the rules and that the deployment still works."""
        simulation = self.simulation
        simulation.later(self.outage_s, setattr, simulation.state, "down", False)
        simulation.later(self.outage_s, simulation.state.refused.clear)
        simulation.loop.run(simulation.loop.now + self.outage_s + 30.0)
        assert not simulation.rule_violations and not simulation.starts_after_cancellation
        assert simulation.cancel_confirmed_at.keys() == set(self.refs)
        # No cancellation is still pending, and a new job runs.
        simulation.submit("wk-50")
        simulation.loop.run(simulation.loop.now + 20.0)
        assert simulation.on_machines("wk-50")


def drop_job_record_frames(simulation: Simulation, *to: str) -> None:
    """Drop the frames with job records that nodes send to the nodes `to`; everything else arrives."""

    def watch(message: Message) -> str | None:
        if (
            message.what == "bytes"
            and message.target in to
            and len(message.body) >= peer_messages.HEADER.size
            and (
                peer_messages.parse_header(message.body[: peer_messages.HEADER.size]).type
                is peer_messages.FrameType.JOB_RECORD
            )
        ):
            return "drop"
        return None

    simulation.net.watch = watch


@pytest.mark.parametrize("apart_s", [0.1, 0.6, 2.0, 5.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_leader_that_is_refused_alone_stops_what_another_node_confirmed(apart_s, seed):
    gap = CancellationGap(seed, apart_s)
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    gap.run_and_check()


@pytest.mark.parametrize("apart_s", [0.1, 2.0])
def test_the_record_of_a_cancellation_does_not_reach_the_leader(apart_s):
    gap = CancellationGap(3, apart_s)
    drop_job_record_frames(gap.simulation, gap.old_leader)
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    gap.run_and_check()


def test_a_write_of_the_job_by_the_leader_is_unanswered():
    gap = CancellationGap(4)
    simulation = gap.simulation
    simulation.state.refused.clear()
    # The leader's next writes of the jobs get no answer: each job loses a task, and the leader gives its place up.
    simulation.state.late_s = lambda: 8.0
    simulation.die(1)
    simulation.loop.run(simulation.loop.now + 14.0)
    simulation.state.late_s = lambda: None
    simulation.state.refused.add(gap.old_leader)
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    gap.run_and_check()


@pytest.mark.parametrize("after_s", [0.0, 0.3, 5.0])
@pytest.mark.parametrize("back_s", [0.05, 3.0, None])
@pytest.mark.parametrize("who", ["old leader", "confirming", "third"])
def test_a_node_ends_inside_the_gap(who, after_s, back_s):
    gap = CancellationGap(5)
    simulation = gap.simulation
    gap.confirm_cancellations(gap.others[0])
    name = {"old leader": gap.old_leader, "confirming": gap.others[0], "third": gap.others[1]}[who]
    simulation.later(after_s, simulation.crash, name)
    if back_s is not None:
        simulation.later(after_s + back_s, simulation.start, gap.node_number(name))
    gap.start_outage()
    gap.run_and_check()


@pytest.mark.parametrize("left", ["old leader", "confirming", "third"])
def test_only_one_node_is_left_during_the_outage(left):
    gap = CancellationGap(6)
    simulation = gap.simulation
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    keep = {"old leader": gap.old_leader, "confirming": gap.others[0], "third": gap.others[1]}[left]
    for n, name in enumerate(sorted(set(simulation.nodes) - {keep})):
        simulation.later(0.2 + 0.3 * n, simulation.crash, name)
        simulation.later(OUTAGE_S, simulation.start, gap.node_number(name))
    gap.run_and_check()


def deafen(simulation: Simulation, count: int = 2) -> list[str]:
    """Cut the connections from the nodes to some machines; the other direction works."""
    some = sorted(simulation.cloud.machines)[:count]
    simulation.net.cuts += [Cut(f"node-{i}", machine, False) for machine in some for i in range(3)]
    return some


@pytest.mark.parametrize("deaf", [False, True])
def test_nodes_crash_one_after_the_other_and_restart_at_once(deaf):
    """After 6 s no process is left that ran at the confirmation: nodes must pass cancellations on to restarted ones."""
    gap = CancellationGap(7)
    simulation = gap.simulation
    if deaf:
        deafen(simulation)
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    for n, name in enumerate([gap.old_leader, *gap.others]):
        simulation.later(2.0 * n, simulation.crash, name)
        simulation.later(2.0 * n + 0.3, simulation.start, gap.node_number(name))
    gap.run_and_check()


@pytest.mark.parametrize("deaf", [False, True])
@pytest.mark.parametrize("hold", [False, True])
@pytest.mark.parametrize("mend_s", [20.0, 90.0])
def test_the_old_leader_is_partitioned_from_the_other_nodes_too(hold, mend_s, deaf):
    """Its workers keep reporting to it, and no node can tell it of the cancellations."""
    gap = CancellationGap(8)
    simulation = gap.simulation
    if deaf:
        deafen(simulation)
    cuts = [Cut(a, b, hold) for other in gap.others for a, b in ((gap.old_leader, other), (other, gap.old_leader))]
    simulation.net.cuts += cuts
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    for cut in cuts:
        simulation.later(mend_s, simulation.net.heal, cut)
    gap.run_and_check()


@pytest.mark.parametrize(
    "step", ["GET /store/duty", "answer GET /store/duty", "GET /store", "answer GET /store", "GET /changes"]
)
@pytest.mark.parametrize("told", [True, False])
def test_the_successor_is_elected_and_cannot_load_records(step, told):
    """The outage begins at one of its first requests after the election.

    With `told`, the record of the cancellation has reached the old leader.
    """
    gap = CancellationGap(9)
    simulation = gap.simulation
    if not told:
        drop_job_record_frames(simulation, gap.old_leader)
    gap.confirm_cancellations(gap.others[0])
    lost = simulation.net.watch

    def watch(message: Message) -> str | float | None:
        found = simulation.state.keys.get("leader")
        name = found[0]["node"] if found else gap.old_leader
        if name != gap.old_leader and name in (message.source, message.target) and message.what == step:
            simulation.state.down = True
        return lost(message)

    simulation.net.watch = watch
    assert simulation.loop.run(lambda: simulation.state.down, 15.0)
    simulation.net.watch = lost
    gap.run_and_check()


@pytest.mark.parametrize("hold", [False, True])
def test_machines_that_only_the_old_leader_has_heard_are_told_and_not_deleted(hold):
    """Other tasks on them go on. The other nodes take the machines' addresses from the cloud's list."""
    gap = CancellationGap(9)
    simulation = gap.simulation
    assert gap.old_leader == "node-1"  # the only node of its zone, whose workers report to it
    simulation.submit("wk-60", pieces=6)
    simulation.loop.run(simulation.loop.now + 0.1)
    simulation.state.refused.clear()
    assert simulation.loop.run(lambda: len(simulation.on_machines("wk-60")) == 6, 20.0)
    simulation.state.refused.add(gap.old_leader)
    cuts = [Cut(a, b, hold) for other in gap.others for a, b in ((gap.old_leader, other), (other, gap.old_leader))]
    simulation.net.cuts += cuts
    for other in gap.others:
        simulation.nodes[other][
            1
        ].cancellation_enforcer.contacts.clear()  # from reports before the workers found the node of their zone
    sessions = {w.entry["ref"]: w.session for w in simulation.cloud.workers()}
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    simulation.loop.run(simulation.loop.now + 25.0)
    assert all(simulation.on_machines(ref) == [] for ref in gap.refs)
    assert len(simulation.on_machines("wk-60")) == 6
    assert {w.entry["ref"]: w.session for w in simulation.cloud.workers()} == sessions
    for cut in cuts:
        simulation.net.heal(cut)
    gap.outage_s -= 25.0
    gap.run_and_check()


@pytest.mark.parametrize("rolls", [False, True])
def test_only_the_old_leader_reaches_the_machines_and_nobody_reaches_it(rolls):
    """The leader keeps their tasks alive and knows of no cancellation: the others can only delete the machines.

    With `rolls`, both other nodes restart one after the other, and learn of the cancellations from each other.
    """
    gap = CancellationGap(12)
    simulation = gap.simulation
    for other in gap.others:
        simulation.net.cuts += [Cut(gap.old_leader, other, False), Cut(other, gap.old_leader, False)]
        simulation.net.cuts += [Cut(other, machine, False) for machine in simulation.cloud.machines]
    before = set(simulation.cloud.machines)
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    for n, name in enumerate(gap.others if rolls else []):
        simulation.later(2.0 + 5.0 * n, simulation.crash, name)
        simulation.later(2.3 + 5.0 * n, simulation.start, gap.node_number(name))
    simulation.later(CANCEL_S, simulation.net.cuts.clear)
    simulation.loop.run(simulation.loop.now + CANCEL_S)
    gap.outage_s -= CANCEL_S
    assert before.isdisjoint(simulation.cloud.machines)
    gap.run_and_check()


@pytest.mark.parametrize("trouble", ["deaf", "mute"])
def test_some_machines_receive_nothing_or_reach_no_node(trouble):
    gap = CancellationGap(10)
    simulation = gap.simulation
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    if trouble == "deaf":
        deafen(simulation)
    else:
        simulation.net.cuts += [
            Cut(machine, f"node-{i}", False) for machine in sorted(simulation.cloud.machines)[:2] for i in range(3)
        ]
    gap.run_and_check()


@pytest.mark.parametrize("late_s", [0.3, 1.5, 1.8, 3.0])
@pytest.mark.parametrize("left", ["all", "confirming"])
def test_a_delayed_start_arrives_after_the_stop_command(late_s, left, monkeypatch):
    """The refused leader's last answer starts tasks, but arrives seconds late, after a stop that found no task."""
    monkeypatch.setattr(Worker, "request_timeout_s", 4.0)  # how long a worker accepts an answer
    gap = CancellationGap(11)
    simulation = gap.simulation
    simulation.state.refused.clear()
    simulation.submit("wk-7", pieces=4)
    held: list[Message] = []

    def watch(message: Message) -> str | None:
        if message.what == "answer POST /v1/report" and b'"wk-7/' in message.body and b'"run"' in message.body:
            held.append(message)
            return "hold"
        return None

    simulation.net.watch = watch
    assert simulation.loop.run(lambda: len(held) > 0, 10.0)
    gap.refs.append("wk-7")
    simulation.state.refused.add(gap.old_leader)
    gap.confirm_cancellations(gap.others[0])
    gap.start_outage()
    if left == "confirming":
        for name in (gap.old_leader, gap.others[1]):
            simulation.crash(name)
            simulation.later(30.0, simulation.start, gap.node_number(name))
    simulation.later(late_s, lambda: [deliver() for deliver in simulation.net.held_messages])
    simulation.loop.run(simulation.loop.now + late_s + 0.5)
    simulation.net.watch = lambda message: None
    # The starts were sent before the cancellation was confirmed, and executed after all nodes had sent stop commands.
    # The latest ones came after a node that hears from no other had raised the machine's token, and were dropped.
    is_fenced_off = (left, late_s) == ("confirming", 3.0)
    assert bool(simulation.starts_after_cancellation) is not is_fenced_off
    if is_fenced_off:
        assert simulation.cloud.machines[held[0].target][1].token > json.loads(held[0].body)["baton"]
    simulation.starts_after_cancellation.clear()
    gap.run_and_check()
