"""Placement on scarce capacity: near the image, in zones with a controller node, at the least cost to other work."""

from __future__ import annotations

from itertools import combinations
from types import SimpleNamespace

import msgspec
from helpers import MACHINE_TYPE, OpenIntentLog, settings, spec
from hypothesis import given
from hypothesis import strategies as st
from test_policy import free_machine, full_machine, snapshot

from winglift import constants
from winglift.cloud.inventory import Inventory
from winglift.config.script import Script
from winglift.controller.machine_inspection import inspect_tasks
from winglift.controller.snapshot_builder import SnapshotBuilder
from winglift.model import records
from winglift.model.cluster_state import ClusterState
from winglift.model.entities import Task
from winglift.model.machine_state import MachineState
from winglift.model.record_application import apply_record
from winglift.model.task_state import TaskEvent, TaskState
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.gangs import GangPlacer
from winglift.policy.placement_state import PlacementState
from winglift.policy.plan import make_plan
from winglift.wire.users import Kind, Priority

SERVICE = spec("wk-1", tasks=1, kind=Kind.SERVICE, priority=Priority.PRODUCTION, image="img")


def victim(
    ref: str, index: int, lost_s: float = 5.0, loses_gang_start: bool = False, gpus: float = 1.0
) -> policy_snapshot.Victim:
    return policy_snapshot.Victim(ref, index, Priority.LOW, "blue", 5.0, gpus, 20.0, lost_s, 1, False, loses_gang_start)


def test_replicas_prefer_a_zone_with_a_controller_unless_that_costs_a_fetch():
    """A quarter of all replicas ended in a partition, when their leases expired in a zone without a controller node."""
    demand = policy_snapshot.Demand("wk-1", SERVICE, [0], 1000.0, 0.0, {})
    far, near = (
        free_machine("m1", "b", images={"img"}, zone_lacks_controller=True),
        free_machine("m2", "a", images={"img"}),
    )
    assert make_plan(snapshot([far, near], [demand])).starts == [("wk-1", [(0, "m2")])]
    far, near = free_machine("m1", "b", images={"img"}, zone_lacks_controller=True), free_machine("m2", "a")
    assert make_plan(snapshot([far, near], [demand])).starts == [("wk-1", [(0, "m1")])]
    array = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=1), [0], 1000.0, 60.0, {})
    far, near = free_machine("m1", "b", zone_lacks_controller=True), free_machine("m2", "a")
    far.gpus = 1.0  # the fuller machine comes first for an array
    assert make_plan(snapshot([far, near], [array])).starts == [("wk-2", [(0, "m1")])]


def test_machines_for_replicas_are_rented_in_zones_with_a_controller():
    def zones(zones_with_controllers: frozenset[str] | None, kind: Kind) -> set[str]:
        snap = snapshot(
            [], [policy_snapshot.Demand("wk-1", spec("wk-1", tasks=12, kind=kind), list(range(12)), 1000.0, 0.0, {})]
        )
        snap.zones_with_controllers = zones_with_controllers
        return {rental.zone for rental in make_plan(snap).rentals}

    assert zones(frozenset("b"), Kind.SERVICE) == {"b"}
    assert zones(None, Kind.SERVICE) == zones(frozenset("b"), Kind.ARRAY) == {"a", "b"}


def test_guaranteed_arrays_defer_preemption_while_tasks_complete():
    """On a busy day, tasks were preempted for them 11 times a second while 130 tasks a second completed."""
    busy = full_machine("m", [victim("wk-9", n) for n in range(4)])
    job = spec("wk-1", tasks=2, due_s=600.0, priority=Priority.LOW)

    def plan(deferring: bool, capacities: list[policy_snapshot.FreeCapacity]) -> policy_snapshot.Plan:
        demand = policy_snapshot.Demand(
            "wk-1", job, [0, 1], 1500.0, 60.0, {}, within_guarantee=True, defers_preemption=deferring
        )
        snap = snapshot(capacities, [demand])
        snap.quota.add(spec("wk-9", team="blue", gpus=1.0), 9)  # blue uses more than its guarantee
        return make_plan(snap)

    assert not plan(True, [busy]).stops and not plan(True, [busy]).rentals
    assert len(plan(False, [busy]).stops) == 2
    # Free capacity is used, and without preemptible tasks a machine is rented instead of waiting.
    assert plan(True, [free_machine("m")]).starts and plan(True, []).rentals


def test_a_gang_due_now_preempts_on_machines_with_its_image_before_it_fetches():
    gang = spec("wk-1", tasks=2, gpus=4.0, kind=Kind.GANG, priority=Priority.HIGH, one_zone=True, image_gb=12.0)
    demand = policy_snapshot.Demand("wk-1", gang, [0, 1], 1000.0, 60.0, {})
    warm = [full_machine(f"w{i}", [victim("wk-9", 4 * i + n) for n in range(4)], images={"img"}) for i in range(2)]
    cold = [free_machine(f"c{i}", "b") for i in range(2)]
    plan = make_plan(snapshot(warm + cold, [demand]))
    assert len(plan.stops) == 8 and not plan.starts
    # It does not preempt at the cost of another gang's start, nor to save a short fetch.
    starting_gangs = [
        full_machine(f"w{i}", [victim("wk-9", 4 * i + n, loses_gang_start=True) for n in range(4)], images={"img"})
        for i in range(2)
    ]
    assert make_plan(snapshot(starting_gangs + [free_machine(f"c{i}", "b") for i in range(2)], [demand])).starts
    demand.spec = spec("wk-1", tasks=2, gpus=4.0, kind=Kind.GANG, priority=Priority.HIGH, one_zone=True, image_gb=1.0)
    warm = [full_machine(f"w{i}", [victim("wk-9", 4 * i + n) for n in range(4)], images={"img"}) for i in range(2)]
    assert make_plan(snapshot(warm + [free_machine(f"c{i}", "b") for i in range(2)], [demand])).starts


@given(
    st.lists(
        st.tuples(
            st.sampled_from("ab"), st.booleans(), st.lists(st.tuples(st.integers(1, 60), st.integers(1, 2)), max_size=4)
        ),
        max_size=7,
    ),
    st.integers(1, 3),
    st.sampled_from([1.0, 2.0, 4.0]),
)
def test_preemption_for_a_gang_costs_little_more_than_the_best_choice(machines, tasks, gpus):
    """Compared with a search of all sets of victims on all sets of machines of a zone, one task per machine.

    Victims on a machine are chosen greedily, cheapest first. On each machine that costs at most as much more than the
    best set as its largest victim costs. The choice of machines is exact.
    """
    gang = spec(
        "wk-1",
        tasks=tasks,
        gpus=gpus,
        cpus=1.0,
        memory_gb=1.0,
        kind=Kind.GANG,
        priority=Priority.HIGH,
        one_zone=True,
        image_gb=2.0,
    )
    capacities, cheapest_by_machine = [], {}
    for number, (zone, warm, tasks_on_machine) in enumerate(machines):
        victims = [
            victim("wk-9", 10 * number + i, float(lost), gpus=float(size))
            for i, (lost, size) in enumerate(tasks_on_machine)
        ]
        free = 4.0 - sum(v.gpus for v in victims)
        if free < 0:
            continue
        capacities.append(
            policy_snapshot.FreeCapacity(
                f"m{number}",
                MACHINE_TYPE,
                zone,
                False,
                32.0,
                free,
                256.0,
                victims=victims,
                images={"img"} if warm else frozenset(),
            )
        )
        fetch = 0.0 if warm else gang.image_gb / MACHINE_TYPE.fetch_gb_per_s * constants.FETCH_COST_RATIO
        sufficient_sets = [
            s
            for size in range(len(victims) + 1)
            for s in combinations(victims, size)
            if free + sum(v.gpus for v in s) >= gpus
        ]
        if sufficient_sets:
            cheapest_by_machine[f"m{number}"] = (
                zone,
                min(sum(v.lost_work_s for v in s) + (1.0 if s else 0.0) for s in sufficient_sets) + fetch,
            )
    placement = PlacementState(snapshot(capacities, []))
    preempted = GangPlacer(placement).preempt(
        policy_snapshot.Demand("wk-1", gang, list(range(tasks)), 1000.0, 60.0, {})
    )
    costs = [
        sum(sorted(cost for z, cost in cheapest_by_machine.values() if z == zone)[:tasks])
        for zone in "ab"
        if sum(z == zone for z, _ in cheapest_by_machine.values()) >= tasks
    ]
    assert preempted == bool(costs)
    if preempted:
        stopped = {(ref, index) for ref, index, _ in placement.plan.stops}
        chosen = [c for c in capacities if c.version]
        fetches = sum(0.0 if c.images else 2.0 * constants.FETCH_COST_RATIO for c in chosen)
        cost = sum(v.lost_work_s for c in capacities for v in c.victims if (v.ref, v.index) in stopped) + fetches
        assert len(chosen) == tasks
        assert cost <= min(costs) + 60.0 * tasks


def test_a_replica_with_a_stalled_fetch_restarts_near_its_image_if_there_is_capacity():
    job = spec("wk-1", tasks=2, kind=Kind.SERVICE, priority=Priority.PRODUCTION, spread=True, image="img")

    def plan(*capacities: policy_snapshot.FreeCapacity) -> policy_snapshot.Plan:
        snap = snapshot(list(capacities), [])
        snap.stalled_replicas = [
            policy_snapshot.StalledReplica(policy_snapshot.Demand("wk-1", job, [1], 1000.0, 0.0, {"a": 1, "b": 0}), 1)
        ]
        return make_plan(snap)

    assert plan(free_machine("m1", "b", images={"img"}, cached_images={"img"})).restarts_near_image == [("wk-1", 1)]
    # Neither on a machine that still fetches the image, nor in a zone that holds half of the job's tasks already.
    assert not plan(free_machine("m1", "b", images={"img"})).restarts_near_image
    assert not plan(free_machine("m1", "a", images={"img"}, cached_images={"img"})).restarts_near_image
    preempting = plan(full_machine("m1", [victim("wk-9", 0)], zone="b", images={"img"}, cached_images={"img"}))
    assert preempting.restarts_near_image and preempting.stops == [("wk-9", 0, "wk-1")]


def test_concurrent_fetches_decide_whether_a_fetch_counts_as_stalled():
    site = settings()
    cluster = ClusterState(site, {"g4": MACHINE_TYPE}, 1)
    inventory = Inventory(SimpleNamespace(), cluster, 3.0, OpenIntentLog())  # type: ignore[arg-type]
    snapshot_builder = SnapshotBuilder(site, cluster, inventory, Script(), lambda: True)
    machine = cluster.register_machine("vm-1", "g4", "a", False, 0.0, 90.0)
    job = apply_record(cluster, "wk-1", 5, records.new_record(spec("wk-1", tasks=1, kind=Kind.SERVICE), 0.0), 0.0)
    other = apply_record(cluster, "wk-2", 6, records.new_record(spec("wk-2", tasks=1, image="other"), 0.0), 0.0)
    assert job is not None and other is not None
    cluster.assign(Task(job, 0, 1, machine, TaskState.FETCHING, 100.0))
    assert not snapshot_builder.demands.stalled_replicas(job, 104.0)  # 5 GB at 1 GB/s: one second is left
    cluster.assign(Task(other, 0, 1, machine, TaskState.FETCHING, 100.0))
    assert not snapshot_builder.demands.stalled_replicas(job, 102.0)
    assert snapshot_builder.demands.stalled_replicas(job, 103.9)
    assert not snapshot_builder.demands.stalled_replicas(job, 106.0)
    assert snapshot_builder.demands.stalled_replicas(job, 113.0)  # long overdue


def gang_of(tasks: int, **changes) -> policy_snapshot.Demand:
    job = spec("wk-1", tasks=tasks, gpus=4.0, cpus=20.0, memory_gb=80.0, kind=Kind.GANG, one_zone=True, image_gb=1.0)
    return policy_snapshot.Demand("wk-1", job, list(range(tasks)), 1000.0, 60.0, {}, **changes)


@given(st.integers(1, 2), st.integers(0, 9), st.booleans())
def test_guaranteed_work_is_displaced_for_a_late_gang_only_if_it_can_be_placed_elsewhere_at_once(
    guaranteed, borrowed_elsewhere, late
):
    """One task within a guarantee blocked a gang that needs the whole machine, while as much borrowed work ran on other
    machines.
    """

    def task(ref: str, index: int, within_guarantee: bool) -> policy_snapshot.Victim:
        return policy_snapshot.Victim(ref, index, Priority.LOW, "blue", 5.0, 1.0, 20.0, 5.0, 1, within_guarantee)

    shared_machines = [
        full_machine(f"m{m}", [task("wk-8" if n < guaranteed else "wk-9", 4 * m + n, n < guaranteed) for n in range(4)])
        for m in range(2)
    ]
    others = [full_machine(f"o{i}", [task("wk-7", 10 * i, False)], zone="b") for i in range(borrowed_elsewhere)]
    snap = snapshot(shared_machines + others, [gang_of(2, may_displace=late)])
    snap.quota.add(spec("wk-9", team="blue", gpus=1.0), 30)  # blue uses more than its guarantee
    plan = make_plan(snap)
    enough = late and borrowed_elsewhere >= 2 * guaranteed
    assert len(plan.stops) == (8 if enough else 0)
    assert plan.reservations == ({"wk-1": ["m0", "m1"]} if enough else {})


def test_machines_reserved_for_a_gang_are_taken_by_no_other_job():
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=1), [0], 500.0, 60.0, {})
    capacities = [
        free_machine("m0", reserved_for="wk-1", reserved_rank=1),
        free_machine("m1", reserved_for="wk-1", reserved_rank=1),
    ]
    plan = make_plan(snapshot(capacities, [small, gang_of(2, has_reservation=True)]))
    assert plan.starts == [("wk-1", [(0, "m0"), (1, "m1")])]
    # Work of higher priority may use the reserved machines.
    capacities = [
        free_machine("m0", reserved_for="wk-1", reserved_rank=1),
        free_machine("m1", reserved_for="wk-1", reserved_rank=1),
    ]
    urgent = policy_snapshot.Demand("wk-3", spec("wk-3", tasks=1, priority=Priority.HIGH), [0], 500.0, 60.0, {})
    assert make_plan(snapshot(capacities, [small, urgent])).starts == [("wk-3", [(0, "m0")])]
    # Machines that are not free yet stay reserved, also while another gang can't be placed.
    capacities = [
        free_machine("m0", reserved_for="wk-1", reserved_rank=1),
        full_machine(
            "m1",
            [],
            reserved_for="wk-1",
            reserved_rank=1,
            releasing_gpus=4.0,
            releasing_cpus=32.0,
            releasing_memory_gb=256.0,
        ),
    ]
    other = gang_of(2)
    other.ref, other.spec = "wk-0", msgspec.structs.replace(other.spec, ref="wk-0", team="blue")
    plan = make_plan(snapshot(capacities, [other, small, gang_of(2, has_reservation=True)]))
    assert not plan.starts and plan.reservations == {"wk-1": ["m0", "m1"]}


def test_a_reservation_expires_and_is_not_renewed_at_once():
    site = settings()
    cluster = ClusterState(site, {"g4": MACHINE_TYPE}, 1)
    snapshot_builder = SnapshotBuilder(
        site, cluster, Inventory(SimpleNamespace(), cluster, 3.0, OpenIntentLog()), Script(), lambda: True
    )  # type: ignore[arg-type]
    assert apply_record(cluster, "wk-1", 5, records.new_record(gang_of(2).spec, 0.0), 0.0) is not None
    snapshot_builder.gang_reservations.reserve({"wk-1": ["vm-1", "vm-2"]}, 100.0)
    snapshot_builder.gang_reservations.reserve({"wk-1": ["vm-2", "vm-3"]}, 100.0 + constants.GANG_RESERVATION_S - 1)
    assert snapshot_builder.gang_reservations.reserved_machines(100.0 + constants.GANG_RESERVATION_S) == {
        "vm-2": "wk-1",
        "vm-3": "wk-1",
    }
    snapshot_builder.gang_reservations.reserve({"wk-1": ["vm-1", "vm-2"]}, 100.0 + constants.GANG_RESERVATION_S + 1)
    assert snapshot_builder.gang_reservations.reserved_machines(100.0 + constants.GANG_RESERVATION_S + 1) == {}
    later = 101.0 + constants.GANG_RESERVATION_S + constants.GANG_RESERVATION_PAUSE_S
    assert snapshot_builder.gang_reservations.reserved_machines(later) == {}
    snapshot_builder.gang_reservations.reserve({"wk-1": ["vm-1"]}, later)
    assert snapshot_builder.gang_reservations.reserved_machines(later) == {"vm-1": "wk-1"}


def test_only_machines_that_changed_are_inspected_again(monkeypatch):
    """A plan for 400 machines costs as many inspections as machines changed. Counts inspections, not seconds."""
    site = settings()
    cluster = ClusterState(site, {"g4": MACHINE_TYPE}, 1)
    snapshot_builder = SnapshotBuilder(
        site, cluster, Inventory(SimpleNamespace(), cluster, 3.0, OpenIntentLog()), Script(), lambda: True
    )  # type: ignore[arg-type]
    inspected: list[str] = []
    original = inspect_tasks
    monkeypatch.setattr(
        "winglift.controller.free_capacities.inspect_tasks",
        lambda machine, within, now: inspected.append(machine.name) or original(machine, within, now),
    )
    job = apply_record(cluster, "wk-1", 5, records.new_record(spec("wk-1", tasks=400), 0.0), 0.0)
    assert job is not None
    for i in range(400):
        machine = cluster.register_machine(f"vm-{i}", "g4", "ab"[i % 2], False, 0.0, 90.0)
        machine.state, machine.last_heard = MachineState.UP, 100.0
        cluster.assign(Task(job, i, 1, machine, TaskState.RUNNING, 100.0))

    def plan(now: float) -> int:
        inspected.clear()
        for capacity in snapshot_builder.build(now).capacities:
            capacity.inspect()
        return len(inspected)

    assert plan(100.0) == 400 and plan(100.2) == 0
    cluster.request_stop(job.active[7], 0.0, 100.3, "test")
    cluster.transition_and_release(job.active[8], TaskEvent.MACHINE_GONE, 100.3)
    assert plan(100.4) == 2 and set(inspected) == {"vm-7", "vm-8"}
    assert plan(100.0 + constants.INSPECTION_CACHE_TTL_S + 0.5) >= 398
