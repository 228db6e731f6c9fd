"""Machine types that differ: with and without GPUs, large and small, available and refused."""

from __future__ import annotations

import asyncio
import copy
from types import SimpleNamespace

import msgspec
import pytest
from helpers import OpenIntentLog, run_simulated, settings, spec
from hypothesis import given
from hypothesis import strategies as st

from winglift import constants
from winglift.api.jobs import Jobs, TemporarilyUnavailable, Unschedulable
from winglift.cloud.client import CloudClient, NoCapacity
from winglift.cloud.inventory import Inventory
from winglift.model.cluster_state import ClusterState
from winglift.model.entities import Machine
from winglift.model.machine_state import MachineState
from winglift.model.quota import QuotaUsage
from winglift.net.client import Reply
from winglift.net.runtime import monotonic_time
from winglift.node import Node
from winglift.policy import cost_model
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.plan import make_plan
from winglift.policy.renting import Renting
from winglift.policy.search import FailedSearches
from winglift.policy.warm_pool import warm_pool_size
from winglift.wire import cloud as cloud_messages
from winglift.wire.users import Kind, Priority

SMALL = cloud_messages.MachineType(
    name="s",
    cpus=16.0,
    gpus=0.0,
    memory_gb=64.0,
    cache_gb=40.0,
    fetch_gb_per_s=0.4,
    price=1.1,
    spot_price=0.4,
    boot_s=30.0,
    zones=["a", "b"],
)
WIDE = cloud_messages.MachineType(
    name="w",
    cpus=64.0,
    gpus=0.0,
    memory_gb=128.0,
    cache_gb=40.0,
    fetch_gb_per_s=1.0,
    price=4.1,
    spot_price=1.7,
    boot_s=20.0,
    zones=["a", "b"],
)
GPU = cloud_messages.MachineType(
    name="g",
    cpus=48.0,
    gpus=4.0,
    memory_gb=192.0,
    cache_gb=99.0,
    fetch_gb_per_s=0.8,
    price=11.7,
    spot_price=5.4,
    boot_s=30.0,
    zones=["a", "b"],
)
TYPES = {t.name: t for t in (SMALL, WIDE, GPU)}
BATCH = spec("wk-1", tasks=1, cpus=4.0, gpus=0.0, memory_gb=3.7, image_gb=2.5, due_s=300.0, spot=True)
REPLICA = spec("wk-2", tasks=1, cpus=1.0, gpus=0.0, memory_gb=1.1, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
GANG = spec("wk-3", tasks=1, cpus=43.0, gpus=4.0, memory_gb=150.0, kind=Kind.GANG, priority=Priority.HIGH)


def free_machine(
    name: str, mtype: cloud_messages.MachineType, zone: str = "a", **changes
) -> policy_snapshot.FreeCapacity:
    return policy_snapshot.FreeCapacity(
        name, mtype, zone, False, mtype.cpus, mtype.gpus, mtype.memory_gb, empty=True, **changes
    )


def snapshot(capacities, demands, types=TYPES, **changes) -> policy_snapshot.Snapshot:
    config = settings().settings
    quota = QuotaUsage(
        {t.name: msgspec.structs.replace(t, cpus=0, gpus=0, cpus_max=0, gpus_max=0) for t in config.teams}
    )
    return policy_snapshot.Snapshot(1000.0, capacities, demands, quota, types, set(), **changes)


def demand(job, count: int = 1, due: float = 1300.0, run_s: float = 50.0) -> policy_snapshot.Demand:
    return policy_snapshot.Demand(job.ref, job, list(range(count)), due, run_s, {})


@st.composite
def machine_types(draw):
    types = {}
    for i in range(draw(st.integers(1, 5))):
        types[f"t{i}"] = cloud_messages.MachineType(
            name=f"t{i}",
            cpus=draw(st.sampled_from([2.0, 16.0, 64.0])),
            gpus=draw(st.sampled_from([0.0, 0.0, 8.0])),
            memory_gb=draw(st.sampled_from([8.0, 64.0, 512.0])),
            cache_gb=40.0,
            boot_s=draw(st.floats(5, 60)),
            fetch_gb_per_s=draw(st.sampled_from([0.0, 0.4, 1.0])),
            price=draw(st.sampled_from([0.0, 1.0, 4.0, 12.0])),
            spot_price=draw(st.sampled_from([None, 0.0, 0.5, 5.0])),
            zones=draw(st.sampled_from([["a"], ["a", "b"]])),
        )
    return types


@st.composite
def mixed_snapshots(draw):
    types = draw(machine_types())
    capacities = [
        free_machine(f"m{i}", draw(st.sampled_from(list(types.values()))), images=draw(st.sampled_from([(), {"img"}])))
        for i in range(draw(st.integers(0, 5)))
    ]
    demands = []
    for i in range(draw(st.integers(1, 5))):
        kind = draw(st.sampled_from(list(Kind)))
        job = spec(
            f"wk-{i}",
            kind=kind,
            tasks=draw(st.integers(1, 4)),
            cpus=draw(st.sampled_from([1.0, 4.0, 43.0])),
            gpus=draw(st.sampled_from([0.0, 0.0, 1.0, 4.0])),
            memory_gb=draw(st.sampled_from([1.0, 150.0])),
            spot=draw(st.booleans()),
            priority=draw(st.sampled_from(list(Priority))),
            one_zone=kind is Kind.GANG,
            due_s=draw(st.sampled_from([None, 100.0, 500.0])),
        )
        demands.append(demand(job, job.tasks, 1000.0 + draw(st.floats(-100, 500))))
    refused = draw(st.sets(st.tuples(st.sampled_from(list(types)), st.sampled_from("ab"), st.booleans())))
    snap = snapshot(capacities, demands, types)
    snap.capacity_refusals = refused
    return snap


@given(mixed_snapshots())
def test_no_task_goes_where_it_does_not_fit_and_the_same_input_gives_the_same_plan(snap):
    snap_copy = copy.deepcopy(snap)
    free = {c.name: [c.cpus, c.gpus, c.memory_gb] for c in snap.capacities}
    specs = {d.ref: d.spec for d in snap.demands}
    plan = make_plan(snap)
    for ref, placements in plan.starts:
        for _, name in placements:
            for i, amount in enumerate((specs[ref].cpus, specs[ref].gpus, specs[ref].memory_gb)):
                free[name][i] -= amount
    assert all(amount >= -1e-6 for amounts in free.values() for amount in amounts)
    for rental in plan.rentals:
        assert (rental.type, rental.zone, rental.spot) not in snap.capacity_refusals
        assert any(
            cost_model.task_fits(job, snap.types[rental.type]) and (job.spot or not rental.spot)
            for job in specs.values()
        )
    assert make_plan(snap_copy) == plan


@given(mixed_snapshots())
def test_skipping_searches_that_are_known_to_fail_changes_no_plan_with_several_types(snap):
    snap_copy = copy.deepcopy(snap)
    plan = make_plan(snap)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FailedSearches, "known_to_fail", lambda *args: False)
        assert make_plan(snap_copy) == plan


@given(mixed_snapshots())
def test_a_rental_never_costs_more_than_an_available_choice_with_the_same_lateness(snap):
    for job_demand in snap.demands:
        renting = Renting(snap, policy_snapshot.Plan(), [])
        choices = renting._rental_choices(job_demand, {})
        rented = renting.rent(job_demand, {})
        if rented is None:
            assert not choices
            continue
        price = cost_model.task_price(job_demand.spec, rented.type, rented.spot)
        ready = cost_model.ready_s(job_demand.spec, rented.type) + job_demand.run_s
        late = 1000.0 + ready > job_demand.sub_deadline
        if late:
            assert all(c.late for c in choices)  # a choice that meets the sub-deadline comes first
            ready = min(c.ready_s for c in choices) * constants.SIMILAR_LATENESS_RATIO
        for choice in choices:
            if choice.late == late and (not late or choice.ready_s <= ready):
                assert price <= cost_model.task_price(job_demand.spec, choice.type, choice.spot) + 1e-9


def test_work_with_a_deadline_rents_no_machine_that_costs_several_times_as_much():
    """While cheap types were refused, 20 GPU machines and 30 others at six times the price were rented for arrays."""
    snap = snapshot([], [demand(BATCH, due=1010.0)])
    snap.capacity_refusals = {(t, z, s) for t in ("s", "w") for z in "ab" for s in (True, False)}
    assert make_plan(snap).rentals == []
    # No job starves because of the price: work that has not started for long takes any available type.
    overdue = demand(BATCH, due=1010.0)
    overdue.waited_s = 100.0
    snap = snapshot([], [overdue])
    snap.capacity_refusals = {(t, z, s) for t in ("s", "w") for z in "ab" for s in (True, False)}
    assert [rental.type for rental in make_plan(snap).rentals] == ["g"]
    # Replicas and gangs are due now: they take any available type.
    snap = snapshot([], [demand(REPLICA, due=1000.0, run_s=0.0)])
    snap.capacity_refusals = {(t, z, False) for t in ("s", "w") for z in "ab"}
    assert [rental.type for rental in make_plan(snap).rentals] == ["g"]
    # If the job allows no other type, there is no cheaper one to compare with.
    only = msgspec.structs.replace(BATCH, types=["g"])
    assert [rental.type for rental in make_plan(snapshot([], [demand(only, due=1010.0)])).rentals] == ["g"]


def test_memory_counts_as_much_as_cpus_and_gpus():
    big = msgspec.structs.replace(BATCH, cpus=1.0, memory_gb=60.0)
    assert cost_model.machine_share(big, SMALL) == pytest.approx(60 / 64) and cost_model.machine_share(
        big, WIDE
    ) == pytest.approx(60 / 128)
    # By CPUs alone, the large type would seem cheapest, but two of these tasks fill its memory.
    assert [rental.type for rental in make_plan(snapshot([], [demand(big, due=1400.0)])).rentals] == []
    assert [rental.type for rental in make_plan(snapshot([], [demand(big, due=1010.0)])).rentals] == ["s"]


def test_the_slack_wait_counts_the_boot_of_the_cheapest_type_that_is_available():
    slow = msgspec.structs.replace(WIDE, name="slow", boot_s=200.0, price=0.5, spot_price=0.1)
    batch = demand(BATCH, due=1000.0 + 50 * constants.SLACK_PADDING_RATIO + 100.0)
    snap = snapshot([], [batch], {"slow": slow, "w": WIDE})
    assert Renting(snap, policy_snapshot.Plan(), []).slack_exhausted(batch)  # the cheapest type takes 200 s to boot
    snap.capacity_refusals = {("slow", z, s) for z in "ab" for s in (True, False)}
    assert not Renting(snap, policy_snapshot.Plan(), []).slack_exhausted(batch)  # refused types don't count


def test_work_without_gpus_uses_gpu_machines_last():
    capacities = [free_machine("m1", GPU, images={"img"}, cached_images={"img"}), free_machine("m2", SMALL)]
    for job in (BATCH, REPLICA):
        assert make_plan(snapshot(copy.deepcopy(capacities), [demand(job)])).starts == [(job.ref, [(0, "m2")])]
    # A rented GPU machine is used if there is no other capacity.
    plan = make_plan(snapshot(capacities[:1], [demand(BATCH)]))
    assert plan.starts == [("wk-1", [(0, "m1")])]


def replicas(count: int, ran_s: float = 100.0) -> list[policy_snapshot.MovableReplica]:
    return [
        policy_snapshot.MovableReplica(f"wk-5{i}", msgspec.structs.replace(REPLICA, ref=f"wk-5{i}"), {"a": 1}, ran_s, i)
        for i in range(count)
    ]


@pytest.mark.parametrize("other_capacity", [True, False])
def test_replicas_are_relocated_for_a_gang_that_fits_nowhere_else(other_capacity):
    blocked = free_machine("m1", GPU, movable_replicas=replicas(8))
    blocked.cpus -= 8
    blocked.empty = False
    capacities = [blocked] + ([free_machine("m2", SMALL)] if other_capacity else [])
    snap = snapshot(capacities, [demand(GANG, due=1000.0)])
    snap.capacity_refusals = {("g", z, s) for z in "ab" for s in (True, False)}
    plan = make_plan(snap)
    # 40 CPUs are free and the gang needs 43: three relocations suffice, and none happens without a target machine.
    assert len(plan.migrations) == (3 if other_capacity else 0)
    assert plan.reservations == ({"wk-3": ["m1"]} if other_capacity else {})


def test_nothing_is_kept_warm_for_a_class_without_recent_arrivals():
    arrivals = [(float(t), 2) for t in range(0, 300, 30)]
    assert warm_pool_size(arrivals, 300.0, 30.0, 2.0) > 0
    assert warm_pool_size(arrivals, 270.0 + 8 * 30.0 + 1, 30.0, 2.0) == 0
    # For a class with frequent arrivals, capacity is kept through a short outage.
    frequent = [(float(t), 2) for t in range(0, 300, 2)]
    assert warm_pool_size(frequent, 298.0 + 60.0, 30.0, 2.0) > 0
    assert warm_pool_size(frequent, 298.0 + 90.0, 30.0, 2.0) == 0


class RefusingCloud:
    """A cloud without capacity that records the requested types."""

    def __init__(self) -> None:
        self.requested_types: list[str] = []
        self.budget_free = asyncio.Event()

    async def wait_for_budget(self) -> None:
        await self.budget_free.wait()

    async def rent(self, request: cloud_messages.RentRequest) -> list[str]:
        self.requested_types.append(request.type)
        raise NoCapacity

    async def delete(self, names: list[str], ends: bool = False) -> None:
        pass


def test_a_waiting_rental_is_dropped_once_its_type_and_zone_are_refused():
    async def play() -> Inventory:
        cloud = RefusingCloud()
        inventory = Inventory(cloud, ClusterState(settings(), TYPES, 1), 3.0, OpenIntentLog())  # type: ignore[arg-type]
        inventory.rent(policy_snapshot.Rental("s", "a", True, 9))
        inventory._note_refusal(("s", "a", True), monotonic_time())
        inventory.rent(policy_snapshot.Rental("w", "a", True, 2))
        cloud.budget_free.set()
        await asyncio.sleep(0.1)
        assert cloud.requested_types == ["w"] and not inventory.pending_rentals and not inventory._unsent
        return inventory

    inventory = run_simulated(play())
    # After repeated refusals a type is requested less and less often, until a machine of that type is returned.
    key, until = ("w", "a", True), []
    for _ in range(5):
        inventory._note_refusal(key, 0.0)
        until.append(inventory.capacity_refusals[key])
    assert (
        until == sorted(until)
        and until[-1] == constants.CAPACITY_REFUSAL_BACKOFF_MAX_S
        and until[0] > constants.CAPACITY_REFUSAL_BACKOFF_S
    )
    inventory._clear_refusal(Machine("vm-1", WIDE, "w", "a", True, MachineState.UP, 0.0, 0.0))
    assert key not in inventory.capacity_refusals
    inventory._note_refusal(key, 0.0)
    assert inventory.capacity_refusals[key] == constants.CAPACITY_REFUSAL_BACKOFF_S


def test_a_deletion_for_a_cancelled_task_waits_for_no_other_request():
    """Queued rentals on a cloud that allows 2 calls a second would delay the deletion by seconds of cancel_s."""
    sent_paths: list[str] = []

    class Http:
        async def request(self, method, path, body=None, timeout=0.0):
            sent_paths.append(path)
            return Reply(200, b'{"rigs":["vm-1"]}')

    async def play() -> None:
        client = CloudClient("127.0.0.1", 1, settings().settings.cloud, 3)
        client._http = Http()  # type: ignore[assignment]
        for _ in range(4):
            asyncio.ensure_future(client.rent(cloud_messages.RentRequest("t1-1", "s", "a", False, 1)))
        await asyncio.sleep(0.01)
        del sent_paths[:]
        for _ in range(20):
            asyncio.ensure_future(client.rent(cloud_messages.RentRequest("t1-2", "s", "a", False, 1)))
        await asyncio.sleep(0.001)
        await client.delete(["vm-1"], for_cancellation=True)

    asyncio.run(play())
    assert sent_paths == ["/hosts/delete"]


def offered_types(**changes) -> bytes:
    valid = {"name": "s", "cpus": 16, "gpus": 0, "memGb": 64, "hourly": 1.0, "halls": ["a"]}
    return msgspec.json.encode({"rigTypes": [{**valid, **changes}, {**valid, "name": "good"}]})


@pytest.mark.parametrize(
    "changes,message",
    [
        ({"cpus": 0}, "s: cpus"),
        ({"memGb": -1}, "s: memGb"),
        ({"gpus": -2}, "s: gpus"),
        ({"hourly": -1.0}, "s: hourly"),
        ({"halls": []}, "s: halls"),
        ({"halls": None}, "halls"),
        ({"memGb": "x"}, "memGb"),
    ],
)
def test_an_invalid_machine_type_is_left_out_with_one_log_line(changes, message, caplog):
    class Http:
        async def request(self, *args, **kwargs):
            return Reply(200, offered_types(**changes))

    client = CloudClient("127.0.0.1", 1, settings().settings.cloud, 3)
    client._http = Http()  # type: ignore[assignment]
    types = run_simulated(client.types())
    assert list(types) == ["good"]
    assert len(caplog.records) == 1 and message in caplog.text


def test_a_machine_that_costs_nothing_is_rented_like_any_other():
    free = msgspec.structs.replace(SMALL, name="free", price=0.0, spot_price=0.0)
    plan = make_plan(snapshot([], [demand(BATCH, due=1010.0)], {"free": free, "w": WIDE}))
    assert [rental.type for rental in plan.rentals] == ["free"]


def test_jobs_for_a_withdrawn_type_are_rejected_only_temporarily():
    node = SimpleNamespace(types={}, withdrawn_types={})
    Node._update_types(node, dict(TYPES))  # type: ignore[arg-type]
    Node._update_types(node, {"s": SMALL})  # type: ignore[arg-type]
    assert set(node.withdrawn_types) == {"w", "g"} and set(node.types) == {"s"}
    jobs = Jobs(
        settings(),
        SimpleNamespace(follower_share=lambda: 0.2),
        lambda: node.types,  # type: ignore[arg-type]
        lambda *args: None,
        lambda: node.withdrawn_types,
    )

    async def unknown(ref):
        return None

    jobs.status = unknown  # type: ignore[method-assign]
    with pytest.raises(TemporarilyUnavailable, match="not offered now"):
        run_simulated(jobs.submit(GANG))
    with pytest.raises(Unschedulable):
        run_simulated(jobs.submit(msgspec.structs.replace(GANG, cpus=999.0)))
    Node._update_types(node, dict(TYPES))  # type: ignore[arg-type]
    assert not node.withdrawn_types
