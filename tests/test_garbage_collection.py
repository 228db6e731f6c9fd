"""Garbage collection with the simulated state service: what it removes, what it keeps, and which node may run it."""

from __future__ import annotations

import msgspec
import pytest
from helpers import MACHINE_TYPE, settings

from standins.network import EPOCH, Host, Network
from standins.simulation import Simulation
from standins.state import StateService, application
from winglift import constants
from winglift.duties.duty import Duties, DutyName
from winglift.duties.garbage_collection import GarbageCollector, ImageCacheSweeper
from winglift.flows import records
from winglift.flows.sweep import StepRecordSweeper
from winglift.model import image_cache_record
from winglift.model.cluster_state import ClusterState
from winglift.model.leadership import Leadership, Role
from winglift.store.client import StateClient
from winglift.wire.flows import FlowState, FlowSubmission, StepOutcome


class CollectorNode:
    """A node that holds the garbage collection duty, and a state service, in simulated time."""

    def __init__(self) -> None:
        self.net = Network()
        self.service, service_host = StateService(), Host(self.net, "services", "")
        service_host.context.run(service_host.serve, application(self.service), "10.1.0.1", 80)
        self.host = Host(self.net, "node-0", "a")
        self.write("leader", {"term": 3, "node": "node-0"})
        self.leadership = Leadership(Role.LEADER, 3, 1, self.service.version("leader"), 1e12)
        limits = settings().settings.state
        self.state = self.host.context.run(StateClient, "10.1.0.1", 80, limits, 1)
        self.duties = Duties(self.leadership)
        self.duties.mark_ready(DutyName.GARBAGE_COLLECTION)
        self.collector = GarbageCollector(self.state, limits, self.duties)
        self.cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 3)

    def write(self, key: str, value: object) -> None:
        self.net.loop.run(lambda: self.service.apply([{"write": key, "v": msgspec.to_builtins(value)}]) > 0)

    def run_collections(self, runs: int = 1) -> None:
        self.host.run(self.collector.run())
        self.net.loop.run(self.net.loop.now + runs * (constants.GC_INTERVAL_S + 5.0))

    def keys(self, prefix: str) -> set[str]:
        return {key for key in self.service.keys if key.startswith(prefix)}


def images(*machines: str) -> dict:
    return {"n": ["img"], "s": [5.0], "g": [5.0], "m": {name: [0] for name in machines}}


def add_image_cache_records(node: CollectorNode) -> None:
    node.cluster.register_machine("vm-1", "g4", "a", False, 0.0, 0.0)
    for number, names in enumerate((["vm-1", "vm-2"], ["vm-3"], [])):
        node.write(f"{image_cache_record.PREFIX}{number}", images(*names))
    node.collector.sweepers.append(ImageCacheSweeper(node.state, node.cluster))


def test_image_cache_records_without_existing_machines_are_removed_and_the_others_stay():
    node = CollectorNode()
    add_image_cache_records(node)
    node.run_collections()
    assert node.keys(image_cache_record.PREFIX) == {"image/0"}


@pytest.mark.parametrize("what", ["written since", "replaced", "in doubt"])
def test_late_garbage_collection_removes_nothing(what):
    node = CollectorNode()
    add_image_cache_records(node)
    node.host.run(node.collector.run())

    def hold_commits(message):
        if message.what == "POST /commit":
            return "hold"
        return None

    if what == "in doubt":
        node.leadership.valid_until = 0.0
    else:
        node.net.watch = hold_commits
    node.net.loop.run(constants.GC_INTERVAL_S + 5.0)
    if what == "written since":
        node.write("image/1", images("vm-3", "vm-4"))
        node.write("image/2", images("vm-5"))
    elif what == "replaced":
        node.write("leader", {"term": 4, "node": "node-1"})
    node.net.watch = lambda message: None
    for arrive in node.net.held_messages:
        node.net.loop.run(lambda arrive=arrive: arrive() is None)
    node.net.loop.run(node.net.loop.now + 1.0)
    assert node.keys(image_cache_record.PREFIX) == {"image/0", "image/1", "image/2"}


def test_steps_of_workflows_that_ended_a_week_ago_are_removed_and_their_final_states_stay():
    node = CollectorNode()
    old_time, recent_time = EPOCH - constants.GC_FLOW_STEP_RETENTION_S - 3600.0, EPOCH - 3600.0
    heads = {
        "fl-1": (old_time, FlowState.DONE, old_time),
        "fl-2": (old_time, FlowState.DONE, recent_time),
        "fl-3": (old_time, FlowState.OPEN, old_time),
        "fl-4": (recent_time, FlowState.DONE, recent_time),
    }
    for ref, (submitted, state, ended) in heads.items():
        sub = FlowSubmission(ref=ref, team="red", plan="p", order="o")
        node.write(records.FLOW_PREFIX + ref, records.FlowRecord(sub, submitted, state, outputs="digest"))
        for number in range(10):
            node.write(f"{records.step_prefix(ref)}{number}", records.StepRecord(f"s{number}", StepOutcome.DONE, ended))
    node.write(f"{records.FLOW_PREFIX}fl-5", {"foreign": 1})
    node.collector.sweepers.append(StepRecordSweeper(node.state))
    node.run_collections(runs=1 + round(2 * constants.GC_FLOWS_INTERVAL_S / constants.GC_INTERVAL_S))
    remaining = {ref: len(node.keys(records.step_prefix(ref))) for ref in heads}
    assert remaining == {"fl-1": 0, "fl-2": 10, "fl-3": 10, "fl-4": 10}
    head = node.service.keys["flow/fl-1"][0]
    assert head["state"] == "done" and head["outputs"] == "digest" and head["swept"]
    assert len(node.keys(records.FLOW_PREFIX)) == 5


def test_stored_state_other_than_job_records_does_not_grow():
    """Twenty rounds of rentals, completions, machine failures, returns and failovers leave no more keys than one."""
    simulation = Simulation(3, boot_s=3.0, run_s=4.0, cloud_list_lag_s=2.0)
    simulation.start_all()
    simulation.loop.run(5.0)
    sizes = []
    for number in range(20):
        simulation.submit(f"wk-{number}", pieces=6)
        simulation.loop.run(simulation.loop.now + 40.0)
        simulation.die(1)
        leader = simulation.leader()
        assert leader is not None
        if number % 3 == 0:
            simulation.crash(leader)
            simulation.loop.run(simulation.loop.now + 3.0)
            simulation.start(int(leader[-1]))
        simulation.loop.run(simulation.loop.now + 80.0)
        other_keys = {key for key in simulation.state.keys if not key.startswith("job/")}
        assert other_keys <= {"leader", "term", "duty"} | {f"image/{n}" for n in range(constants.IMAGE_CACHE_RECORDS)}
        sizes.append(len(str(simulation.state.keys["duty"][0])))
    assert simulation.run_until_ended([f"wk-{n}" for n in range(20)]) and simulation.rule_violations == []
    assert max(sizes) < 1500
