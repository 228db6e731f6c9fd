"""Failure detection: silence timeouts that depend on the state of the machine, its zone and the other nodes."""

from __future__ import annotations

import asyncio
import time

import pytest
from helpers import MACHINE_TYPE, settings, spec
from hypothesis import given
from hypothesis import strategies as st

from winglift import constants
from winglift.model import records
from winglift.model.cluster_state import ClusterState
from winglift.model.leadership import Leadership, Role
from winglift.model.machine_state import MachineState
from winglift.model.quota import QuotaUsage
from winglift.model.record_application import apply_record
from winglift.net.client import NotSent, PoolingHttpClient, Reply
from winglift.policy.failure_detector import FailureDetector
from winglift.policy.renting import Renting
from winglift.policy.snapshot import Demand, Plan, Snapshot
from winglift.wire.users import Kind
from winglift.workers import probes

WORKERS = settings().settings.workers
LEASE_S, REPORT_S = WORKERS.lease_s, WORKERS.report_s


def cluster_and_detector(
    task_kinds: dict[str, Kind], zones_with_controllers: str = "a"
) -> tuple[ClusterState, FailureDetector]:
    """Machines vm-a0 to vm-a5 and vm-b0 to vm-b5, heard at time 0, under a leader of long standing.

    `task_kinds`: for each machine with a task, the kind of its job.
    """
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 2)
    for zone in "ab":
        for i in range(6):
            machine = cluster.register_machine(f"vm-{zone}{i}", "g4", zone, False, -500.0, 0.0)
            machine.state, machine.last_heard = MachineState.UP, 0.0
    for number, (name, kind) in enumerate(task_kinds.items()):
        record = records.JobRecord(
            submitted_at=0.0,
            spec=spec(f"wk-{number}", kind=kind, tasks=1),
            next_attempt=2,
            assignments=[(name, 1, "0")],
        )
        apply_record(cluster, f"wk-{number}", 10 + number, record, -400.0)
    failure_detector = FailureDetector(cluster, WORKERS, 0.0, zones_with_controllers)
    failure_detector.leading_since = -300.0
    return cluster, failure_detector


def deletion_times(
    cluster: ClusterState, failure_detector: FailureDetector, heard: str, until: float, reaches_all_peers: bool = True
) -> dict[str, float]:
    """When each machine is deleted if only those whose names start with a prefix in `heard` keep reporting."""
    deleted_at: dict[str, float] = {}
    now = 0.0
    while now < until:
        now += 0.5
        for machine in cluster.machines.values():
            if machine.name.startswith(tuple(heard.split())):
                machine.last_heard = now
        for machine, _ in failure_detector.evaluate(now, 1e9 + now, True, reaches_all_peers).to_delete:
            deleted_at.setdefault(machine.name, now)
    return deleted_at


def test_replicas_in_a_partitioned_zone_without_a_controller_move_once_their_lease_has_expired():
    cluster, failure_detector = cluster_and_detector({"vm-b0": Kind.SERVICE, "vm-b1": Kind.ARRAY})
    deleted_at = deletion_times(cluster, failure_detector, "vm-a", 60.0)
    assert LEASE_S < deleted_at["vm-b0"] <= LEASE_S + 1.5
    # The array task has ended too, but after the partition its machine and images are available again.
    assert deleted_at["vm-b1"] > 2 * LEASE_S and set(deleted_at) == {f"vm-b{i}" for i in range(6)}
    assert failure_detector.unreachable_zones == {"b"}


@pytest.mark.parametrize("zones_with_controllers,reaches_all_peers", [("ab", True), ("a", False)])
def test_a_partitioned_zone_is_kept_while_a_node_may_be_renewing_its_leases(zones_with_controllers, reaches_all_peers):
    cluster, failure_detector = cluster_and_detector({"vm-b0": Kind.SERVICE}, zones_with_controllers)
    assert deletion_times(cluster, failure_detector, "vm-a", 5 * LEASE_S, reaches_all_peers) == {}


@given(st.lists(st.floats(0.0, 1.25), min_size=6, max_size=6), st.lists(st.floats(0.0, 0.9), min_size=6, max_size=6))
def test_the_first_silent_machines_of_a_partition_are_not_taken_for_single_failures(phases, steps):
    """Their last reports are up to 1.25 intervals apart. A node in the zone renews all their leases."""
    cluster, failure_detector = cluster_and_detector({f"vm-b{i}": Kind.SERVICE for i in range(6)}, "ab")
    for i, phase in enumerate(phases):
        cluster.machines[f"vm-b{i}"].last_heard = -phase * REPORT_S
        cluster.machines[f"vm-b{i}"].probe_failed_at = 0.5 * REPORT_S
    now = 0.0
    for step in [0.4, 1.0, *steps, 0.3, 0.3, 0.3, 0.3]:
        now += step * REPORT_S
        for i in range(6):
            cluster.machines[f"vm-a{i}"].last_heard = now
        assert not failure_detector.evaluate(now, 1e9, True, True).to_delete


def test_a_new_leader_continues_counting_the_silence_of_a_partitioned_zone():
    """A new leader waited for another whole lease, although the leases of the replicas had already expired."""
    cluster, failure_detector = cluster_and_detector({"vm-b0": Kind.SERVICE})
    deletion_times(cluster, failure_detector, "vm-a", LEASE_S - 1)
    silence_by_name = {
        m.name: LEASE_S - 1 - (m.last_heard or 0.0) for m in failure_detector.silent_machines(LEASE_S - 1)
    }
    assert set(silence_by_name) == {f"vm-b{i}" for i in range(6)}
    next_cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 4)
    next_cluster.silent_since = {name: LEASE_S - 1 - seconds for name, seconds in silence_by_name.items()}
    for ref, job in cluster.jobs.items():
        record = records.JobRecord(submitted_at=0.0, spec=job.spec, next_attempt=2, assignments=[("vm-b0", 1, "0")])
        apply_record(next_cluster, ref, job.version, record, LEASE_S)
    for name in cluster.machines:
        next_cluster.register_machine(name, "g4", name[3], False, LEASE_S, 0.0)
    next_detector = FailureDetector(next_cluster, WORKERS, 0.0, "a")
    next_detector.leading_since = LEASE_S
    for name in ("vm-a0", "vm-a1", "vm-a2", "vm-a3", "vm-a4", "vm-a5"):
        next_cluster.machines[name].last_heard = LEASE_S + constants.WORKER_FAILOVER_S
    # Workers get `WORKER_FAILOVER_S` to connect to the new leader. Then silence counts from their last report to the
    # previous leader.
    assert not next_detector.evaluate(LEASE_S + constants.WORKER_FAILOVER_S - 1, 1e9, True, True).to_delete
    to_delete = next_detector.evaluate(LEASE_S + constants.WORKER_FAILOVER_S + 0.1, 1e9, True, True).to_delete
    assert [m.name for m, _ in to_delete] == ["vm-b0"]


@given(st.integers(0, 40))
def test_a_single_silent_machine_is_probed_and_deleted_early_only_if_it_does_not_answer(heard_for):
    cluster, failure_detector = cluster_and_detector({"vm-b0": Kind.SERVICE, "vm-b1": Kind.ARRAY, "vm-b2": Kind.GANG})
    last = heard_for / 10
    for machine in cluster.machines.values():
        machine.last_heard = last
    others = "vm-a vm-b3 vm-b4 vm-b5"
    assert not deletion_times(cluster, failure_detector, others, last + constants.PROBE_REPORT_RATIO * REPORT_S)
    now = last + constants.PROBE_REPORT_RATIO * REPORT_S + 0.6
    for machine in cluster.machines.values():
        if machine.name.startswith(tuple(others.split())):
            machine.last_heard = now
    probed = failure_detector.evaluate(now, 1e9, True, True).to_probe
    assert {m.name for m in probed} == {"vm-b0", "vm-b1", "vm-b2"}
    cluster.machines["vm-b0"].probe_failed_at = cluster.machines["vm-b1"].probe_failed_at = now
    cluster.machines["vm-b2"].last_heard = now  # it has answered
    soon = last + constants.SILENT_MACHINE_REPORT_RATIO * REPORT_S + 0.1
    assert [m.name for m, _ in failure_detector.evaluate(soon, 1e9, True, True).to_delete] == ["vm-b0"]
    # A node that is not heard may still hear the machine.
    assert not failure_detector.evaluate(soon, 1e9, True, False).to_delete


@pytest.mark.parametrize(
    "answers,control_answers,node_paused",
    [(True, True, False), (False, True, False), (False, False, False), (False, True, True)],
)
def test_a_failed_probe_counts_only_if_the_node_reaches_another_machine(
    monkeypatch, answers, control_answers, node_paused
):
    """A leader that was partitioned from all workers but heard them through other nodes deleted healthy machines."""
    cluster, _ = cluster_and_detector({})
    machine, other = cluster.machines["vm-b0"], cluster.machines["vm-b1"]
    machine.addr, other.addr = "127.0.0.1:1", "127.0.0.1:2"
    clock_offset_s = [0.0]
    monotonic = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: monotonic() + clock_offset_s[0])

    async def request(self, method, path, body=None, timeout=0.0):
        clock_offset_s[0] += 30.0 if node_paused else 0.0
        if not (answers if self.port == 1 else control_answers):
            raise NotSent("refused")
        name = b"vm-b0" if self.port == 1 else b"vm-b1"
        return Reply(
            200,
            b'{"rig":"' + name + b'","endpoint":"127.0.0.1:1","rigType":"g4","hall":"b","loaner":false,'
            b'"shift":1,"tick":7,"baton":2,"recallS":null,"pieces":[]}',
        )

    monkeypatch.setattr(PoolingHttpClient, "request", request)

    async def scenario() -> None:
        prober = probes.Prober(cluster, Leadership(role=Role.LEADER, term=2, valid_until=1e12))
        prober.probe([machine], {})
        assert not prober._probes
        prober.probe([machine], {"b": other})
        prober.probe([machine], {"b": other})
        assert len(prober._probes) == 1
        while prober._probes:
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert (machine.probe_failed_at > 0) == (not answers and control_answers and not node_paused)
    assert (machine.seq == 7) == answers


def test_the_last_machines_to_find_another_node_are_not_deleted():
    """After a partition from their node, workers connect to another one by one, within two attempts of 5 s."""
    cluster, failure_detector = cluster_and_detector({f"vm-b{i}": Kind.SERVICE for i in range(6)}, "ab")
    now = 0.0
    while now < 11.0:
        now += 0.5
        for i in range(6):
            cluster.machines[f"vm-a{i}"].last_heard = now
            if now > 4.0 + i:
                cluster.machines[f"vm-b{i}"].last_heard = now
            elif now > 2.0:
                cluster.machines[f"vm-b{i}"].probe_failed_at = now
        assert not failure_detector.evaluate(now, 1e9, True, True).to_delete


def test_nothing_is_rented_in_an_unreachable_zone():
    """An unreachable zone seemed to have the fewest machines and was preferred."""

    def zones(unreachable: frozenset[str]) -> set[str]:
        snap = Snapshot(0.0, [], [], QuotaUsage({}), {"g4": MACHINE_TYPE}, set(), unreachable_zones=unreachable)
        renting = Renting(snap, Plan(), [])
        capacities = [renting.rent(Demand("wk-1", spec(), [0], 1e9, 1.0, {}), {}) for _ in range(4)]
        return {capacity.zone for capacity in capacities if capacity is not None}

    assert zones(frozenset()) == {"a", "b"} and zones(frozenset("a")) == {"b"}
    assert zones(frozenset("ab")) == {"a", "b"}
