"""Deadline split, plan and warm pool size: examples, and properties over generated workflows and snapshots."""

from __future__ import annotations

import copy

import pytest
from helpers import MACHINE_TYPE, settings, spec
from hypothesis import given
from hypothesis import strategies as st

from winglift.model.quota import QuotaUsage
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.placement_state import PlacementState
from winglift.policy.plan import make_plan
from winglift.policy.preemption import Preemption, PreemptionCandidates
from winglift.policy.search import FailedSearches, Search, preference
from winglift.policy.split import split_deadline, sub_deadline
from winglift.policy.warm_pool import warm_pool_size
from winglift.wire.users import Kind, Priority

PREEMPTIBLE_PRIORITIES = [Priority.LOW, Priority.NORMAL, Priority.HIGH]


@st.composite
def workflows(draw):
    count = draw(st.integers(1, 7))
    steps = [str(i) for i in range(count)]
    slow = {s: draw(st.floats(1, 100)) for s in steps}
    fast = {s: slow[s] / 2 for s in steps}
    parents = {s: draw(st.lists(st.sampled_from(steps[:i]), unique=True)) if i else [] for i, s in enumerate(steps)}
    return slow, fast, parents


@given(workflows(), st.floats(1, 2000))
def test_sub_deadlines_follow_the_order_of_steps_and_end_at_the_deadline(workflow, due):
    slow, fast, parents = workflow
    sub_deadlines = split_deadline([slow, fast], parents, 10.0, 10.0 + due)
    for step, step_parents in parents.items():
        for parent in step_parents:
            assert sub_deadlines[parent] <= sub_deadlines[step] + 1e-6
        assert sub_deadlines[step] >= 10.0 + fast[step] - 1e-6
    latest = max(sub_deadlines.values())
    assert latest <= 10.0 + due + 1e-6 or all(sub_deadlines[s] >= fast[s] for s in sub_deadlines)


def test_spare_time_is_divided_in_proportion_to_run_time():
    sub_deadlines = split_deadline([{"a": 10.0, "b": 30.0}], {"b": ["a"]}, 0.0, 80.0)
    assert sub_deadlines == {"a": pytest.approx(20.0), "b": pytest.approx(80.0)}


def test_a_step_that_finishes_early_gives_later_steps_more_time():
    sub_deadlines = split_deadline([{"a": 10.0, "b": 30.0}], {"b": ["a"]}, 0.0, 80.0, known={"a": 5.0})
    assert sub_deadlines == {"a": 5.0, "b": pytest.approx(80.0)}


def test_cyclic_dependencies_are_an_error():
    with pytest.raises(ValueError, match="form a cycle"):
        split_deadline([{"a": 1.0, "b": 1.0}], {"a": ["b"], "b": ["a"]}, 0.0, 5.0)


def test_without_a_deadline_a_job_is_due_now():
    assert sub_deadline(100.0, None, 60.0) == 100.0
    assert sub_deadline(100.0, 300.0, 60.0) == 400.0


@st.composite
def snapshots(draw):
    capacities = []
    for i in range(draw(st.integers(0, 6))):
        used = draw(st.integers(0, 4))
        capacities.append(
            policy_snapshot.FreeCapacity(
                f"m{i}",
                MACHINE_TYPE,
                draw(st.sampled_from("ab")),
                draw(st.booleans()),
                32 - 5.0 * used,
                4.0 - used,
                256 - 20.0 * used,
                ready_in=draw(st.sampled_from([0.0, 0.0, 20.0])),
                empty=used == 0,
                victims=[
                    policy_snapshot.Victim(
                        f"wk-9{i}",
                        n,
                        draw(st.sampled_from(PREEMPTIBLE_PRIORITIES)),
                        "blue",
                        5.0,
                        1.0,
                        20.0,
                        3.0,
                        1,
                        draw(st.booleans()),
                    )
                    for n in range(used)
                ],
            )
        )
    demands = []
    for i in range(draw(st.integers(0, 5))):
        kind = draw(st.sampled_from(list(Kind)))
        tasks = draw(st.integers(1, 6))
        zone = draw(st.sampled_from([None, "a"]))
        job = spec(
            f"wk-{i}",
            kind=kind,
            tasks=tasks,
            team=draw(st.sampled_from(["red", "blue"])),
            gpus=draw(st.sampled_from([1.0, 2.0])),
            priority=draw(st.sampled_from(list(Priority))),
            one_zone=kind is Kind.GANG and draw(st.booleans()),
            spread=kind is Kind.SERVICE,
            zone=zone,
            spot=draw(st.booleans()),
            due_s=draw(st.sampled_from([None, 100.0, 500.0])),
        )
        demands.append(
            policy_snapshot.Demand(
                job.ref,
                job,
                list(range(tasks)),
                1000.0 + draw(st.floats(-100, 500)),
                60.0,
                {},
                within_guarantee=draw(st.booleans()),
            )
        )
    quota = QuotaUsage({t.name: t for t in settings().settings.teams})
    return policy_snapshot.Snapshot(1000.0, capacities, demands, quota, {"g4": MACHINE_TYPE}, set())


@given(snapshots())
def test_a_plan_keeps_every_rule(snap):
    free = {c.name: (c.cpus, c.gpus, c.memory_gb, c) for c in snap.capacities}
    demands = {d.ref: d for d in snap.demands}
    plan = make_plan(snap)
    team_gpus: dict[str, float] = {}
    started = set()
    for ref, placements in plan.starts:
        demand = demands[ref]
        zones: dict[str, int] = {}
        assert ref not in started
        started.add(ref)
        for index, name in placements:
            assert index in demand.indices
            cpus, gpus, memory_gb, capacity = free[name]
            assert capacity.ready_in == 0
            assert (demand.spec.spot or not capacity.spot) and demand.spec.zone in (None, capacity.zone)
            free[name] = (cpus - demand.spec.cpus, gpus - demand.spec.gpus, memory_gb - demand.spec.memory_gb, capacity)
            assert min(free[name][:3]) >= -1e-6
            zones[capacity.zone] = zones.get(capacity.zone, 0) + 1
            team_gpus[demand.spec.team] = team_gpus.get(demand.spec.team, 0) + demand.spec.gpus
        if demand.spec.kind is Kind.GANG:
            assert len(placements) == len(demand.indices)
        if demand.spec.one_zone:
            assert len(zones) == 1
        if demand.spec.spread:
            assert max(zones.values()) <= (demand.spec.tasks + 1) // 2
    assert all(gpus <= 10 for gpus in team_gpus.values())
    stopped = {(ref, index) for ref, index, _ in plan.stops}
    assert len(stopped) == len(plan.stops)
    victims = {(v.ref, v.index): v for c in snap.capacities for v in c.victims}
    for ref, index, preempted_for in plan.stops:
        victim = victims[ref, index]
        assert demands[preempted_for].spec.priority.rank > victim.rank or (
            demands[preempted_for].within_guarantee and demands[preempted_for].spec.team != "blue"
        )
        # Preemption follows the placement order, so that two jobs can't preempt each other in turn.
        assert victim.precedence < demands[preempted_for].precedence


def full_scan_best(demand, capacities, placed, after_stops):
    """The most preferred of all machines that fit and are allowed, the first of equals."""
    fitting = [
        c
        for c in capacities
        if (c.fits_after_stops(demand.spec) if after_stops else c.fits(demand.spec))
        and c.allowed(demand.spec)
        and policy_snapshot.zone_allowed(demand.spec, c.zone, placed)
    ]
    return min(fitting, key=lambda c: preference(demand, c, 1000.0, placed), default=None)


@given(snapshots(), st.booleans())
def test_the_ordered_search_finds_what_a_full_scan_finds(snap, after_stops):
    for capacity in snap.capacities:
        capacity.images = {"img"} if capacity.name in ("m1", "m4") else set()
        if capacity.victims:
            capacity.release_after_stop(capacity.victims[0])
    for demand in snap.demands:
        search, placed = Search(demand, snap.capacities, 1000.0, after_stops), {}
        for _ in demand.indices:
            best, expected = search.best(placed), full_scan_best(demand, snap.capacities, placed, after_stops)
            assert best is expected
            if best is None:
                break
            best.allocate(demand.spec)
            search.reinsert(best)
            placed[best.zone] = placed.get(best.zone, 0) + 1


@given(snapshots())
def test_the_ordered_preemption_candidates_stop_what_a_full_scan_would(snap):
    for demand in snap.demands:
        preemption = Preemption(snap.quota, policy_snapshot.Plan())
        candidates, placed = PreemptionCandidates(preemption, demand, snap.capacities), {}
        while True:
            cheapest = None
            for capacity in snap.capacities:
                if capacity.allowed(demand.spec) and policy_snapshot.zone_allowed(demand.spec, capacity.zone, placed):
                    chosen = preemption.victims(demand, capacity)
                    if chosen:
                        fetch = policy_snapshot.fetch_s(capacity, demand.spec) * (
                            10.0 if demand.spec.due_s is None else 1.0
                        )
                        cost = (
                            max(v.precedence for v in chosen),
                            sum(v.lost_work_s * v.gang_size for v in chosen) + fetch,
                        )
                        if cheapest is None or cost < cheapest[0]:
                            cheapest = cost, capacity
            preempted = candidates.preempt_cheapest(placed)
            assert preempted is (cheapest[1] if cheapest else None)
            if preempted is None:
                break
            preempted.allocate(demand.spec)
            candidates.reinsert(preempted)
            placed[preempted.zone] = placed.get(preempted.zone, 0) + 1


@given(snapshots())
def test_skipping_searches_that_are_known_to_fail_changes_no_plan(snap):
    snap_copy = copy.deepcopy(snap)
    plan = make_plan(snap)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FailedSearches, "known_to_fail", lambda *args: False)
        assert make_plan(snap_copy) == plan


@given(snapshots())
def test_skipping_machines_without_free_gpus_changes_no_plan(snap):
    expected, with_free_gpus = make_plan(copy.deepcopy(snap)), PlacementState.with_free_gpus
    PlacementState.with_free_gpus = lambda placement, image, after_stops: (
        placement.running if image is None else placement.with_image(image)
    )  # type: ignore
    try:
        assert make_plan(snap) == expected
    finally:
        PlacementState.with_free_gpus = with_free_gpus  # type: ignore[method-assign]


def test_a_full_cluster_is_searched_once_for_equal_jobs():
    """With 515 machines a cycle took 5 s, since every waiting task searched every machine. Counts visits, not time."""
    visits = 0

    class CountingList(list):
        def __iter__(self):
            nonlocal visits
            visits += len(self)
            return super().__iter__()

    cluster = [full_machine(f"m{i}", []) for i in range(100)]
    demands = [
        policy_snapshot.Demand(f"wk-{i}", spec(f"wk-{i}", tasks=50, due_s=900.0), list(range(50)), 1900.0, 60.0, {})
        for i in range(40)
    ]
    with pytest.MonkeyPatch.context() as patch:
        init = Search.__init__
        patch.setattr(
            Search, "__init__", lambda self, demand, capacities, *a: init(self, demand, CountingList(capacities), *a)
        )
        plan = make_plan(snapshot(cluster, demands))
    assert len(plan.waiting) == 40 and visits <= 4 * len(cluster)


def free_machine(name, zone="a", **changes):
    return policy_snapshot.FreeCapacity(name, MACHINE_TYPE, zone, False, 32.0, 4.0, 256.0, **changes)


def full_machine(name, victims, **changes):
    """A machine without free GPUs, on which these tasks may be preempted."""
    machine = free_machine(name, victims=victims, **changes)
    machine.gpus = 0.0
    return machine


def snapshot(capacities, demands):
    return policy_snapshot.Snapshot(
        1000.0,
        capacities,
        demands,
        QuotaUsage({t.name: t for t in settings().settings.teams}),
        {"g4": MACHINE_TYPE},
        set(),
    )


def test_the_earliest_sub_deadline_goes_first():
    one = [free_machine("m", images={"img"})]
    one[0].gpus = 1.0
    late, soon = (
        policy_snapshot.Demand(f"wk-{i}", spec(f"wk-{i}", tasks=1, due_s=900.0), [0], due, 60.0, {})
        for i, due in ((1, 1900.0), (2, 1500.0))
    )
    assert make_plan(snapshot(one, [late, soon])).starts == [("wk-2", [(0, "m")])]


def test_a_machine_with_the_image_is_preferred():
    demand = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=1), [0], 1000.0, 60.0, {})
    assert make_plan(snapshot([free_machine("m1"), free_machine("m2", images={"img"})], [demand])).starts == [
        ("wk-1", [(0, "m2")])
    ]


def test_a_gang_goes_to_the_zone_that_holds_its_image():
    """A gang starts with its last task: in the zone with the most free GPUs, it waited for fetches of 12 s and more."""
    gang = policy_snapshot.Demand(
        "wk-1", spec("wk-1", tasks=2, gpus=2.0, kind=Kind.GANG, one_zone=True), [0, 1], 1000.0, 60.0, {}
    )
    capacities = [free_machine("m1"), free_machine("m2"), free_machine("m3", "b", images={"img"}), free_machine("m4")]
    plan = make_plan(snapshot(capacities, [gang]))
    assert plan.starts == [("wk-1", [(0, "m3"), (1, "m3")])]


def test_a_machine_that_fetches_other_images_is_the_last_choice_for_a_fetch():
    """Concurrent fetches share a machine's rate: services fetched for 11 s beside another fetch instead of 7 s."""
    demand = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=1), [0], 1000.0, 60.0, {})
    busy = free_machine("m1", pending_fetches=1)
    busy.gpus = 1.0
    assert make_plan(snapshot([busy, free_machine("m2")], [demand])).starts == [("wk-1", [(0, "m2")])]
    with_image = free_machine("m1", pending_fetches=1, images={"img"})
    assert make_plan(snapshot([with_image, free_machine("m2")], [demand])).starts == [("wk-1", [(0, "m1")])]


def test_a_task_waits_while_its_slack_allows_and_then_a_machine_is_rented():
    job = spec("wk-1", tasks=1, due_s=900.0)
    waiting = make_plan(snapshot([], [policy_snapshot.Demand("wk-1", job, [0], 1500.0, 60.0, {})]))
    assert waiting.rentals == [] and waiting.waiting["wk-1"] == "slack"
    due = make_plan(snapshot([], [policy_snapshot.Demand("wk-1", job, [0], 1100.0, 60.0, {})]))
    assert [(rental.type, rental.spot) for rental in due.rentals] == [("g4", False)]


def test_teams_within_their_guarantees_do_not_preempt_each_other():
    """Two teams within their guarantees preempted each other's tasks every second: 2,052 stops on a quiet day."""
    busy = full_machine(
        "m",
        [policy_snapshot.Victim("wk-8", n, Priority.NORMAL, "blue", 5.0, 1.0, 20.0, 3.0, 1, True) for n in range(4)],
    )
    snap = snapshot(
        [busy], [policy_snapshot.Demand("wk-1", spec("wk-1", tasks=1), [0], 1000.0, 60.0, {}, within_guarantee=True)]
    )
    snap.quota.add(spec(team="blue"), 6)
    assert make_plan(snap).stops == []
    busy.victims[2] = policy_snapshot.Victim("wk-8", 2, Priority.NORMAL, "blue", 5.0, 1.0, 20.0, 3.0, 1, False)
    assert [s[:2] for s in make_plan(snap).stops] == [("wk-8", 2)]


def test_capacity_freed_for_a_guarantee_is_not_taken_by_borrowed_work():
    one = free_machine("m")
    one.gpus = 1.0
    demands = [
        policy_snapshot.Demand(f"wk-{i}", spec(f"wk-{i}", tasks=1, due_s=900.0), [0], due, 60.0, {}, within_guarantee=w)
        for i, due, w in ((1, 1100.0, False), (2, 1900.0, True))
    ]
    assert make_plan(snapshot([one], demands)).starts == [("wk-2", [(0, "m")])]


def test_borrowed_work_of_high_priority_does_not_take_what_guaranteed_work_would_preempt():
    """A borrowing gang was placed first by priority, then preempted by work within a guarantee: 75 times in 250 s."""
    one = free_machine("m")
    one.gpus = 2.0
    gang = policy_snapshot.Demand(
        "wk-1",
        spec("wk-1", team="blue", tasks=2, gpus=1.0, kind=Kind.GANG, priority=Priority.HIGH),
        [0, 1],
        900.0,
        60.0,
        {},
    )
    guaranteed = policy_snapshot.Demand(
        "wk-2", spec("wk-2", tasks=1, due_s=900.0, priority=Priority.LOW), [0], 1900.0, 60.0, {}, within_guarantee=True
    )
    assert make_plan(snapshot([one], [gang, guaranteed])).starts == [("wk-2", [(0, "m")])]
    busy = full_machine(
        "m", [policy_snapshot.Victim("wk-8", n, Priority.LOW, "red", 5.0, 1.0, 20.0, 3.0, 1, True) for n in range(4)]
    )
    assert make_plan(snapshot([busy], [gang])).stops == []


def test_only_tasks_that_free_a_missing_resource_are_stopped():
    """Small tasks without GPUs were stopped, 31 at a time, for a service that lacked one GPU on their machine."""
    small = [policy_snapshot.Victim("wk-7", n, Priority.LOW, "blue", 0.25, 0.0, 1.0, 1.0, 1) for n in range(31)]
    arrays = [
        policy_snapshot.Victim("wk-8", n, Priority.NORMAL, "blue", 5.0, g, 20.0, 9.0 + g, 1)
        for n, g in ((0, 1.0), (1, 3.0))
    ]
    job = spec("wk-1", tasks=1, gpus=3.0, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    plan = make_plan(
        snapshot([full_machine("m", small + arrays)], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})])
    )
    assert [s[:2] for s in plan.stops] == [("wk-8", 1)]


def test_a_team_at_its_limit_preempts_its_own_work_of_lower_priority():
    """A service waited 26 s because an array of its own team used up the team's limit."""
    busy = full_machine(
        "m1", [policy_snapshot.Victim("wk-8", n, Priority.NORMAL, "red", 5.0, 1.0, 20.0, 3.0, 1) for n in range(4)]
    )
    job = spec("wk-1", tasks=1, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    snap = snapshot([busy, free_machine("m2")], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})])
    snap.quota.add(spec(), 10)
    assert len(make_plan(snap).stops) == 1


def test_quota_freed_at_a_limit_is_reserved_for_the_preempting_work():
    busy = full_machine(
        "m1", [policy_snapshot.Victim("wk-8", n, Priority.LOW, "red", 5.0, 1.0, 20.0, 3.0, 1) for n in range(4)]
    )
    gang = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=2, gpus=2.0, kind=Kind.GANG), [0, 1], 1000.0, 60.0, {})
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=1, priority=Priority.LOW), [0], 1000.0, 60.0, {})
    snap = snapshot([busy, free_machine("m2")], [gang, small])
    snap.quota.add(spec(), 7)
    plan = make_plan(snap)
    assert plan.starts == [] and len(plan.stops) == 1
    snap = snapshot([full_machine("m1", busy.victims[:1]), free_machine("m2")], [gang])
    snap.quota.add(spec(), 10)
    assert make_plan(snap).stops == []


def test_a_gang_that_waits_for_machines_counts_against_its_teams_limit():
    gang = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=2, gpus=4.0, kind=Kind.GANG), [0, 1], 1000.0, 60.0, {})
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=4, priority=Priority.LOW), [0, 1, 2, 3], 1000.0, 60.0, {})
    plan = make_plan(snapshot([free_machine("m1")], [gang, small]))
    assert plan.waiting["wk-1"] == "machines are booting" and plan.waiting["wk-2"] == "team limit"


def test_work_due_now_starts_on_a_machine_with_its_image():
    """Services fetched for 16 to 25 s on an idle machine while arrays used the machines that held their image."""
    busy = full_machine(
        "m1",
        [policy_snapshot.Victim("wk-8", n, Priority.NORMAL, "blue", 5.0, 1.0, 20.0, 3.0, 1) for n in range(4)],
        images={"img"},
    )
    job = spec("wk-1", tasks=1, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    plan = make_plan(snapshot([busy, free_machine("m2")], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})]))
    assert plan.starts == [] and len(plan.stops) == 1
    busy = full_machine("m1", [], images={"img"})
    plan = make_plan(snapshot([busy, free_machine("m2")], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})]))
    assert plan.starts == [("wk-1", [(0, "m2")])]


def test_no_gang_loses_its_start_to_save_a_service_a_fetch():
    """40 gangs were preempted 970 times in the first 100 s, mostly while they still fetched their images."""
    gang = [
        policy_snapshot.Victim("wk-8", n, Priority.HIGH, "blue", 5.0, 2.0, 20.0, 5.0, 2, loses_gang_start=True)
        for n in range(2)
    ]
    job = spec("wk-1", tasks=1, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    demand = policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})
    plan = make_plan(snapshot([full_machine("m1", gang, images={"img"}), free_machine("m2")], [demand]))
    assert plan.starts == [("wk-1", [(0, "m2")])] and plan.stops == []
    running_gang = [policy_snapshot.Victim("wk-8", 0, Priority.HIGH, "blue", 10.0, 4.0, 40.0, 5.0, 1)]
    assert (
        len(make_plan(snapshot([full_machine("m1", running_gang, images={"img"}), free_machine("m2")], [demand])).stops)
        == 1
    )
    # Without any other capacity the gang is preempted.
    assert len(make_plan(snapshot([full_machine("m1", gang, images={"img"})], [demand])).stops) == 1


def test_an_initial_burst_of_arrivals_does_not_size_the_warm_pool():
    burst = [(0.5, 2)] * 19
    assert warm_pool_size(burst, 5.0, 45.0, 2.0) == 2
    assert warm_pool_size(burst, 200.0, 45.0, 2.0) == 2
    steady = [(10.0 * i, 2) for i in range(30)]
    assert 9 <= warm_pool_size(steady, 300.0, 45.0, 0.0) <= 10
    assert warm_pool_size(steady, 300.0, 45.0, 2.0) > warm_pool_size(steady, 300.0, 45.0, 0.0)


def test_ordinary_machines_are_rented_for_spot_work_only_when_its_slack_is_exhausted():
    """When spot machines were scarce, 20 ordinary ones were rented for arrays with minutes of slack."""
    job = spec("wk-1", tasks=1, due_s=900.0, spot=True)
    for due, expected_rentals in ((1900.0, []), (1100.0, [False])):
        snap = snapshot([], [policy_snapshot.Demand("wk-1", job, [0], due, 60.0, {}, within_guarantee=True)])
        snap.capacity_refusals = {("g4", z, True) for z in "ab"}
        assert [rental.spot for rental in make_plan(snap).rentals] == expected_rentals


def test_booting_machines_are_counted_before_more_are_rented():
    demand = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=4), [0, 1, 2, 3], 1000.0, 60.0, {})
    assert make_plan(snapshot([free_machine("m", ready_in=20.0)], [demand])).rentals == []


def test_among_equal_machines_those_that_ran_the_preceding_steps_come_first():
    job = spec("wk-1", tasks=1)

    def free_machine(name: str, **more) -> policy_snapshot.FreeCapacity:
        return policy_snapshot.FreeCapacity(
            name, MACHINE_TYPE, "a", False, 32.0, 4.0, 256.0, images={"img"}, cached_images={"img"}, **more
        )

    capacities = [free_machine("vm-1"), free_machine("vm-2"), free_machine("vm-3", ready_in=9.0)]
    assert Search(policy_snapshot.Demand("wk-1", job, [0], 1e6, 60.0, {}), capacities, 0.0).best({}).name == "vm-1"
    assert (
        Search(
            policy_snapshot.Demand("wk-1", job, [0], 1e6, 60.0, {}, preferred_machines=frozenset({"vm-2"})),
            capacities,
            0.0,
        )
        .best({})
        .name
        == "vm-2"
    )
    # A booting machine is not preferred to a running one.
    assert (
        Search(
            policy_snapshot.Demand("wk-1", job, [0], 1e6, 60.0, {}, preferred_machines=frozenset({"vm-3"})),
            capacities,
            0.0,
        )
        .best({})
        .name
        == "vm-1"
    )
