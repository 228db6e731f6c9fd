"""The largest jobs begin within four minutes, however many small ones arrive, and no class or team is left out."""

from __future__ import annotations

import copy

import msgspec
import pytest
from helpers import spec
from hypothesis import Phase, given
from hypothesis import settings as hsettings
from hypothesis import strategies as st
from test_end_of_day import begun
from test_policy import capacity, full, snapshot

from standins.history import served
from standins.scene import Scene
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.plan import make_plan
from winglift.wire.users import Kind


def test_the_count_of_who_was_served_fails_a_day_that_serves_only_the_small():
    small = [("batch", "a", 1.0, float(n), n + 5.0) for n in range(40)]
    assert served(small + [("batch", "a", 9.0, 0.0, 100.0)] * 4) == []
    assert served(small + [("batch", "a", 9.0, 0.0, 250.0)] * 4) == ["largest of batch"]
    assert served([*small, ("gang", "b", 9.0, 0.0, float("inf"))]) == ["class gang", "largest of gang", "team b"]


def crowded(scene: Scene, until: float, gang: dict) -> float:
    """Small jobs that could fill the platform by themselves, and one that needs several whole machines: when it began,
    seconds after its acceptance; infinity if it did not."""
    began: list[float] = []

    def inspection(worker, piece):
        if piece.startswith("wk-700/"):
            began.append(scene.loop.now)

    for n in range(int(until / 1.5)):
        scene.later(1.5 * n, scene.submit, f"wk-{n + 1000}")
    scene.later(40.0, lambda: scene.submit("wk-700", **gang))
    started = scene._started
    scene._started = lambda *args: (inspection(*args), started(*args))[1]  # type: ignore[method-assign]
    scene.loop.run(until)
    return began[0] - scene.loop.now + until - 40.0 if began else float("inf")


GANG = {"shape": "ensemble", "pieces": 3, "gpus": 4.0, "cpus": 30.0, "samePlace": False, "expectedS": 20.0}


@pytest.mark.parametrize("changes", [0, 2])
def test_a_gang_of_whole_machines_begins_within_four_minutes_on_a_platform_full_of_small_jobs(changes):
    scene = begun(run_s=20.0, capacity=7)
    for n in range(changes):  # waiting is counted from the record, and outlives the leader
        scene.later(60.0 + 50.0 * n, lambda: scene.leader() and scene.crash(scene.leader() or ""))
        scene.later(61.0 + 50.0 * n, lambda: [scene.start(i) for i in range(3) if f"node-{i}" not in scene.nodes])
    assert crowded(scene, 300.0, GANG) <= 240.0 and not scene.broken


def test_machines_reserved_for_the_largest_are_not_returned_as_idle_and_go_to_no_other_job():
    capacities = [capacity("m1", empty=True), capacity("m2", empty=True), *[full(f"m{n}", []) for n in range(3, 7)]]
    large = policy_snapshot.Demand(
        "wk-1", spec("wk-1", kind=Kind.GANG, tasks=3, gpus=4.0, cpus=30.0), [0, 1, 2], 900.0, 60.0, {}
    )
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=9), list(range(9)), 900.0, 60.0, {})
    snap = snapshot(capacities, [large, small])
    snap.capacity_refusals = {("g4", zone, spot) for zone in "ab" for spot in (True, False)}
    large.waited_s = 90.0
    assert {name for _, places in make_plan(copy.deepcopy(snap)).starts for _, name in places} == {"m1", "m2"}
    large.waited_s = 100.0
    plan = make_plan(copy.deepcopy(snap))
    assert not plan.starts and not plan.idle_machines
    # A job that no zone could hold bars nobody, and is named once it has waited for the whole time.
    large.spec, large.indices = msgspec.structs.replace(large.spec, tasks=40), list(range(40))
    large.waited_s = 300.0
    plan = make_plan(snap)
    assert plan.unplaceable_job == "wk-1" and plan.starts


@hsettings(max_examples=10, phases=[Phase.generate])
@given(st.integers(1, 4), st.integers(2, 6), st.floats(0.0, 60.0), st.sampled_from([1.5, 2.0, 3.0]))
def test_no_job_waits_for_90_s_beside_capacity_reserved_for_the_largest(free, full_ones, came_s, step_s):
    """However long it does not begin: some machines are free all the while, and a small job waits for each of them."""
    capacities = [capacity(f"m{n}", empty=True) for n in range(free)] + [full(f"f{n}", []) for n in range(full_ones)]
    large = policy_snapshot.Demand(
        "wk-1",
        spec("wk-1", kind=Kind.GANG, tasks=free + 1, gpus=4.0, cpus=30.0),
        list(range(free + 1)),
        900.0,
        60.0,
        {},
    )
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=1), [0], 900.0, 60.0, {})
    snap = snapshot(capacities, [large, small])
    snap.capacity_refusals = {("g4", zone, spot) for zone in "ab" for spot in (True, False)}
    waits, longest, held = 0.0, 0.0, 0
    large.waited_s = came_s
    while large.waited_s < 400.0:
        small.waited_s = waits
        starts = {ref for ref, _ in make_plan(copy.deepcopy(snap)).starts}
        waits = 0.0 if "wk-2" in starts else waits + step_s
        held += "wk-2" not in starts
        longest = max(longest, waits)
        large.waited_s += step_s
    assert longest < 80.0 and (held > 0 or free + 1 > (free + full_ones) / 2)


def test_without_a_reservation_it_does_not(monkeypatch):
    monkeypatch.setattr("winglift.policy.plan.reserve_for_largest", lambda placement: None)
    assert crowded(begun(run_s=20.0, capacity=7), 300.0, GANG) > 240.0
