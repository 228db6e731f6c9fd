"""The split and the plan as properties over generated snapshots."""

from __future__ import annotations

import copy

import pytest
from helpers import TYPE, settings, spec
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

BELOW = [Priority.LOW, Priority.NORMAL, Priority.HIGH]


@st.composite
def dags(draw):
    count = draw(st.integers(1, 7))
    steps = [str(i) for i in range(count)]
    slow = {s: draw(st.floats(1, 100)) for s in steps}
    fast = {s: slow[s] / 2 for s in steps}
    parents = {s: draw(st.lists(st.sampled_from(steps[:i]), unique=True)) if i else [] for i, s in enumerate(steps)}
    return slow, fast, parents


@given(dags(), st.floats(1, 2000))
def test_sub_deadlines_follow_the_order_of_steps_and_end_at_the_deadline(dag, due):
    slow, fast, parents = dag
    result = split_deadline([slow, fast], parents, 10.0, 10.0 + due)
    for step, before in parents.items():
        for parent in before:
            assert result[parent] <= result[step] + 1e-6
        assert result[step] >= 10.0 + fast[step] - 1e-6
    latest = max(result.values())
    assert latest <= 10.0 + due + 1e-6 or all(result[s] >= fast[s] for s in result)


def test_spare_time_goes_in_proportion_to_run_time():
    result = split_deadline([{"a": 10.0, "b": 30.0}], {"b": ["a"]}, 0.0, 80.0)
    assert result == {"a": pytest.approx(20.0), "b": pytest.approx(80.0)}


def test_an_early_end_gives_later_steps_more_time():
    result = split_deadline([{"a": 10.0, "b": 30.0}], {"b": ["a"]}, 0.0, 80.0, known={"a": 5.0})
    assert result == {"a": 5.0, "b": pytest.approx(80.0)}


def test_a_circle_is_an_error():
    with pytest.raises(ValueError, match="circle"):
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
                TYPE,
                draw(st.sampled_from("ab")),
                draw(st.booleans()),
                32 - 5.0 * used,
                4.0 - used,
                256 - 20.0 * used,
                ready_in=draw(st.sampled_from([0.0, 0.0, 20.0])),
                empty=used == 0,
                victims=[
                    policy_snapshot.Victim(
                        f"wk-9{i}", n, draw(st.sampled_from(BELOW)), "blue", 5.0, 1.0, 20.0, 3.0, 1, draw(st.booleans())
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
    return policy_snapshot.Snapshot(1000.0, capacities, demands, quota, {"g4": TYPE}, set())


@given(snapshots())
def test_a_plan_keeps_every_rule(snap):
    free = {r.name: (r.cpus, r.gpus, r.memory_gb, r) for r in snap.capacities}
    demands = {n.ref: n for n in snap.demands}
    plan = make_plan(snap)
    team_gpus: dict[str, float] = {}
    started = set()
    for ref, places in plan.starts:
        demand = demands[ref]
        zones: dict[str, int] = {}
        assert ref not in started
        started.add(ref)
        for index, name in places:
            assert index in demand.indices
            cpus, gpus, mem, capacity = free[name]
            assert capacity.ready_in == 0
            assert (demand.spec.spot or not capacity.spot) and demand.spec.zone in (None, capacity.zone)
            free[name] = (cpus - demand.spec.cpus, gpus - demand.spec.gpus, mem - demand.spec.memory_gb, capacity)
            assert min(free[name][:3]) >= -1e-6
            zones[capacity.zone] = zones.get(capacity.zone, 0) + 1
            team_gpus[demand.spec.team] = team_gpus.get(demand.spec.team, 0) + demand.spec.gpus
        if demand.spec.kind is Kind.GANG:
            assert len(places) == len(demand.indices)
        if demand.spec.one_zone:
            assert len(zones) == 1
        if demand.spec.spread:
            assert max(zones.values()) <= (demand.spec.tasks + 1) // 2
    assert all(gpus <= 10 for gpus in team_gpus.values())
    stopped = {(ref, index) for ref, index, _ in plan.stops}
    assert len(stopped) == len(plan.stops)
    victims = {(v.ref, v.index): v for r in snap.capacities for v in r.victims}
    for ref, index, whom in plan.stops:
        victim = victims[ref, index]
        assert demands[whom].spec.priority.rank > victim.rank or (
            demands[whom].within_guarantee and demands[whom].spec.team != "blue"
        )
        # Who may stop whom and who chooses first follow one order, so that stops can't go round in a circle.
        assert victim.precedence < demands[whom].precedence


def plain_best(demand, capacities, placed, soon):
    """The rule as it reads: of all machines that fit and are allowed, the one preferred; the first of equals."""
    fits = [
        r
        for r in capacities
        if (r.fits_after_stops(demand.spec) if soon else r.fits(demand.spec))
        and r.allowed(demand.spec)
        and policy_snapshot.zone_allowed(demand.spec, r.zone, placed)
    ]
    return min(fits, key=lambda r: preference(demand, r, 1000.0, placed), default=None)


@given(snapshots(), st.booleans())
def test_the_ordered_search_finds_what_a_full_scan_finds(snap, soon):
    for capacity in snap.capacities:
        capacity.images = {"img"} if capacity.name in ("m1", "m4") else set()
        if capacity.victims:
            capacity.release_after_stop(capacity.victims[0])
    for demand in snap.demands:
        search, placed = Search(demand, snap.capacities, 1000.0, soon), {}
        for _ in demand.indices:
            found, plain = search.best(placed), plain_best(demand, snap.capacities, placed, soon)
            assert found is plain
            if found is None:
                break
            found.allocate(demand.spec)
            search.reinsert(found)
            placed[found.zone] = placed.get(found.zone, 0) + 1


@given(snapshots())
def test_the_ordered_preemption_candidates_stop_what_a_full_scan_would(snap):
    for demand in snap.demands:
        preemption = Preemption(snap.quota, policy_snapshot.Plan())
        candidates, placed = PreemptionCandidates(preemption, demand, snap.capacities), {}
        while True:
            plain = None
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
                        if plain is None or cost < plain[0]:
                            plain = cost, capacity
            found = candidates.preempt_cheapest(placed)
            assert found is (plain[1] if plain else None)
            if found is None:
                break
            found.allocate(demand.spec)
            candidates.reinsert(found)
            placed[found.zone] = placed.get(found.zone, 0) + 1


@given(snapshots())
def test_what_is_known_not_to_fit_changes_no_plan(snap):
    twin = copy.deepcopy(snap)
    known = make_plan(snap)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FailedSearches, "known_to_fail", lambda *args: False)
        assert make_plan(twin) == known


@given(snapshots())
def test_leaving_out_full_machines_changes_no_plan(snap):
    before, with_free_gpus = make_plan(copy.deepcopy(snap)), PlacementState.with_free_gpus
    PlacementState.with_free_gpus = lambda placement, image, soon: (
        placement.running if image is None else placement.with_image(image)
    )  # type: ignore
    try:
        assert make_plan(snap) == before
    finally:
        PlacementState.with_free_gpus = with_free_gpus  # type: ignore[method-assign]


def test_a_full_cluster_is_searched_once_for_equal_jobs():
    """At 515 machines a cycle once took 5 s: every waiting task searched every machine. Counts visits, not seconds."""
    visits = 0

    class Counted(list):
        def __iter__(self):
            nonlocal visits
            visits += len(self)
            return super().__iter__()

    cluster = [full(f"m{i}", []) for i in range(100)]
    demands = [
        policy_snapshot.Demand(f"wk-{i}", spec(f"wk-{i}", tasks=50, due_s=900.0), list(range(50)), 1900.0, 60.0, {})
        for i in range(40)
    ]
    with pytest.MonkeyPatch.context() as patch:
        init = Search.__init__
        patch.setattr(
            Search, "__init__", lambda self, demand, capacities, *a: init(self, demand, Counted(capacities), *a)
        )
        plan = make_plan(snapshot(cluster, demands))
    assert len(plan.waiting) == 40 and visits <= 4 * len(cluster)


def capacity(name, zone="a", **changes):
    return policy_snapshot.FreeCapacity(name, TYPE, zone, False, 32.0, 4.0, 256.0, **changes)


def full(name, victims, **changes):
    """A machine without free GPUs, on which these might be stopped."""
    made = capacity(name, victims=victims, **changes)
    made.gpus = 0.0
    return made


def snapshot(capacities, demands):
    return policy_snapshot.Snapshot(
        1000.0, capacities, demands, QuotaUsage({t.name: t for t in settings().settings.teams}), {"g4": TYPE}, set()
    )


def test_the_earliest_sub_deadline_goes_first():
    one = [capacity("m", images={"img"})]
    one[0].gpus = 1.0
    late, soon = (
        policy_snapshot.Demand(f"wk-{i}", spec(f"wk-{i}", tasks=1, due_s=900.0), [0], due, 60.0, {})
        for i, due in ((1, 1900.0), (2, 1500.0))
    )
    assert make_plan(snapshot(one, [late, soon])).starts == [("wk-2", [(0, "m")])]


def test_a_machine_with_the_image_is_preferred():
    demand = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=1), [0], 1000.0, 60.0, {})
    assert make_plan(snapshot([capacity("m1"), capacity("m2", images={"img"})], [demand])).starts == [
        ("wk-1", [(0, "m2")])
    ]


def test_a_gang_goes_to_the_zone_that_holds_its_image():
    """A gang starts with its last task: in the zone with most free GPUs it once fetched for 12 s and more."""
    gang = policy_snapshot.Demand(
        "wk-1", spec("wk-1", tasks=2, gpus=2.0, kind=Kind.GANG, one_zone=True), [0, 1], 1000.0, 60.0, {}
    )
    capacities = [capacity("m1"), capacity("m2"), capacity("m3", "b", images={"img"}), capacity("m4")]
    plan = make_plan(snapshot(capacities, [gang]))
    assert plan.starts == [("wk-1", [(0, "m3"), (1, "m3")])]


def test_a_machine_that_fetches_other_images_is_the_last_choice_for_a_fetch():
    """Images fetched together share the rate: services once fetched for 11 s beside another fetch, not for 7 s."""
    demand = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=1), [0], 1000.0, 60.0, {})
    busy = capacity("m1", pending_fetches=1)
    busy.gpus = 1.0
    assert make_plan(snapshot([busy, capacity("m2")], [demand])).starts == [("wk-1", [(0, "m2")])]
    ours = capacity("m1", pending_fetches=1, images={"img"})
    assert make_plan(snapshot([ours, capacity("m2")], [demand])).starts == [("wk-1", [(0, "m1")])]


def test_a_task_waits_while_its_slack_allows_and_is_rented_for_after():
    job = spec("wk-1", tasks=1, due_s=900.0)
    waiting = make_plan(snapshot([], [policy_snapshot.Demand("wk-1", job, [0], 1500.0, 60.0, {})]))
    assert waiting.rentals == [] and waiting.waiting["wk-1"] == "slack"
    due = make_plan(snapshot([], [policy_snapshot.Demand("wk-1", job, [0], 1100.0, 60.0, {})]))
    assert [(r.type, r.spot) for r in due.rentals] == [("g4", False)]


def test_guarantees_do_not_stop_each_other_in_turn():
    """Two teams within their guarantees once stopped each other's tasks every second: 2,052 stops in a quiet day."""
    busy = full(
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
    one = capacity("m")
    one.gpus = 1.0
    demands = [
        policy_snapshot.Demand(f"wk-{i}", spec(f"wk-{i}", tasks=1, due_s=900.0), [0], due, 60.0, {}, within_guarantee=w)
        for i, due, w in ((1, 1100.0, False), (2, 1900.0, True))
    ]
    assert make_plan(snapshot([one], demands)).starts == [("wk-2", [(0, "m")])]


def test_borrowed_work_of_high_priority_does_not_take_what_guaranteed_work_would_preempt():
    """A borrowing gang went first, by priority, and was then stopped by work within a guarantee, 75 times in 250 s."""
    one = capacity("m")
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
    busy = full(
        "m", [policy_snapshot.Victim("wk-8", n, Priority.LOW, "red", 5.0, 1.0, 20.0, 3.0, 1, True) for n in range(4)]
    )
    assert make_plan(snapshot([busy], [gang])).stops == []


def test_only_tasks_that_free_a_missing_resource_are_stopped():
    """Small tasks without GPUs were stopped, 31 at a time, for a service that lacked one GPU beside them."""
    small = [policy_snapshot.Victim("wk-7", n, Priority.LOW, "blue", 0.25, 0.0, 1.0, 1.0, 1) for n in range(31)]
    arrays = [
        policy_snapshot.Victim("wk-8", n, Priority.NORMAL, "blue", 5.0, g, 20.0, 9.0 + g, 1)
        for n, g in ((0, 1.0), (1, 3.0))
    ]
    job = spec("wk-1", tasks=1, gpus=3.0, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    plan = make_plan(snapshot([full("m", small + arrays)], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})]))
    assert [s[:2] for s in plan.stops] == [("wk-8", 1)]


def test_a_teams_own_lower_work_is_preempted_under_its_limit():
    """A service once waited 26 s behind its own team's array, which filled the team's limit."""
    busy = full(
        "m1", [policy_snapshot.Victim("wk-8", n, Priority.NORMAL, "red", 5.0, 1.0, 20.0, 3.0, 1) for n in range(4)]
    )
    job = spec("wk-1", tasks=1, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    snap = snapshot([busy, capacity("m2")], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})])
    snap.quota.add(spec(), 10)
    assert len(make_plan(snap).stops) == 1


def test_quota_freed_under_a_limit_is_reserved_for_the_preempting_work():
    busy = full(
        "m1", [policy_snapshot.Victim("wk-8", n, Priority.LOW, "red", 5.0, 1.0, 20.0, 3.0, 1) for n in range(4)]
    )
    gang = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=2, gpus=2.0, kind=Kind.GANG), [0, 1], 1000.0, 60.0, {})
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=1, priority=Priority.LOW), [0], 1000.0, 60.0, {})
    snap = snapshot([busy, capacity("m2")], [gang, small])
    snap.quota.add(spec(), 7)
    plan = make_plan(snap)
    assert plan.starts == [] and len(plan.stops) == 1
    snap = snapshot([full("m1", busy.victims[:1]), capacity("m2")], [gang])
    snap.quota.add(spec(), 10)
    assert make_plan(snap).stops == []


def test_a_gang_that_waits_for_machines_keeps_its_part_of_the_limit():
    gang = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=2, gpus=4.0, kind=Kind.GANG), [0, 1], 1000.0, 60.0, {})
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=4, priority=Priority.LOW), [0, 1, 2, 3], 1000.0, 60.0, {})
    plan = make_plan(snapshot([capacity("m1")], [gang, small]))
    assert plan.waiting["wk-1"] == "machines are booting" and plan.waiting["wk-2"] == "team limit"


def test_work_due_now_starts_where_its_image_is():
    """Services once fetched for 16 to 25 s on an idle machine while arrays held the places beside their image."""
    busy = full(
        "m1",
        [policy_snapshot.Victim("wk-8", n, Priority.NORMAL, "blue", 5.0, 1.0, 20.0, 3.0, 1) for n in range(4)],
        images={"img"},
    )
    job = spec("wk-1", tasks=1, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    plan = make_plan(snapshot([busy, capacity("m2")], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})]))
    assert plan.starts == [] and len(plan.stops) == 1
    busy = full("m1", [], images={"img"})
    plan = make_plan(snapshot([busy, capacity("m2")], [policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})]))
    assert plan.starts == [("wk-1", [(0, "m2")])]


def test_no_gang_loses_its_start_to_spare_a_service_its_fetch():
    """40 gangs were once stopped 970 times in the first 100 s, most of them while they still fetched their images."""
    gang = [
        policy_snapshot.Victim("wk-8", n, Priority.HIGH, "blue", 5.0, 2.0, 20.0, 5.0, 2, loses_gang_start=True)
        for n in range(2)
    ]
    job = spec("wk-1", tasks=1, kind=Kind.SERVICE, priority=Priority.PRODUCTION)
    demand = policy_snapshot.Demand("wk-1", job, [0], 1000.0, 0.0, {})
    plan = make_plan(snapshot([full("m1", gang, images={"img"}), capacity("m2")], [demand]))
    assert plan.starts == [("wk-1", [(0, "m2")])] and plan.stops == []
    settled = [policy_snapshot.Victim("wk-8", 0, Priority.HIGH, "blue", 10.0, 4.0, 40.0, 5.0, 1)]
    assert len(make_plan(snapshot([full("m1", settled, images={"img"}), capacity("m2")], [demand])).stops) == 1
    # Without any other capacity it is preempted.
    assert len(make_plan(snapshot([full("m1", gang, images={"img"})], [demand])).stops) == 1


def test_the_first_rush_does_not_size_the_warm_pool():
    rush = [(0.5, 2)] * 19
    assert warm_pool_size(rush, 5.0, 45.0, 2.0) == 2
    assert warm_pool_size(rush, 200.0, 45.0, 2.0) == 2
    steady = [(10.0 * i, 2) for i in range(30)]
    assert 9 <= warm_pool_size(steady, 300.0, 45.0, 0.0) <= 10
    assert warm_pool_size(steady, 300.0, 45.0, 2.0) > warm_pool_size(steady, 300.0, 45.0, 0.0)


def test_ordinary_machines_are_rented_for_spot_work_only_when_its_slack_is_exhausted():
    """Once, when spot machines ran short, 20 ordinary ones were rented for arrays with minutes of slack."""
    job = spec("wk-1", tasks=1, due_s=900.0, spot=True)
    for due, rented in ((1900.0, []), (1100.0, [False])):
        snap = snapshot([], [policy_snapshot.Demand("wk-1", job, [0], due, 60.0, {}, within_guarantee=True)])
        snap.capacity_refusals = {("g4", z, True) for z in "ab"}
        assert [r.spot for r in make_plan(snap).rentals] == rented


def test_booting_machines_are_counted_before_more_are_rented():
    demand = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=4), [0, 1, 2, 3], 1000.0, 60.0, {})
    assert make_plan(snapshot([capacity("m", ready_in=20.0)], [demand])).rentals == []


def test_of_machines_that_serve_alike_those_of_a_step_s_parents_come_first():
    job = spec("wk-1", tasks=1)

    def capacity(name: str, **more) -> policy_snapshot.FreeCapacity:
        return policy_snapshot.FreeCapacity(
            name, TYPE, "a", False, 32.0, 4.0, 256.0, images={"img"}, cached_images={"img"}, **more
        )

    capacities = [capacity("vm-1"), capacity("vm-2"), capacity("vm-3", ready_in=9.0)]
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
    # Never at the price of waiting for a machine.
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
