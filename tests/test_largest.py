"""The largest jobs start within four minutes, however many small jobs arrive, and no class or team starves."""

from __future__ import annotations

import copy

import msgspec
import pytest
from helpers import spec
from hypothesis import Phase, given
from hypothesis import settings as hsettings
from hypothesis import strategies as st
from test_end_of_day import begun
from test_policy import free_machine, full_machine, snapshot

from standins.history import underserved_groups
from standins.simulation import Simulation
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.plan import make_plan
from winglift.wire.users import Kind


def test_served_names_classes_teams_and_largest_jobs_that_starve():
    small = [("batch", "a", 1.0, float(n), n + 5.0) for n in range(40)]
    assert underserved_groups(small + [("batch", "a", 9.0, 0.0, 100.0)] * 4) == []
    assert underserved_groups(small + [("batch", "a", 9.0, 0.0, 250.0)] * 4) == ["largest of batch"]
    assert underserved_groups([*small, ("gang", "b", 9.0, 0.0, float("inf"))]) == [
        "class gang",
        "largest of gang",
        "team b",
    ]


def gang_wait_s(simulation: Simulation, until: float, gang: dict) -> float:
    """Seconds from the submission of a gang of several whole machines to its start, on a cluster that small jobs could
    fill alone. Infinity if the gang does not start."""
    started_at: list[float] = []

    def record_start(worker, piece):
        if piece.startswith("wk-700/"):
            started_at.append(simulation.loop.now)

    for n in range(int(until / 1.5)):
        simulation.later(1.5 * n, simulation.submit, f"wk-{n + 1000}")
    simulation.later(40.0, lambda: simulation.submit("wk-700", **gang))
    started = simulation._started
    simulation._started = lambda *args: (record_start(*args), started(*args))[1]  # type: ignore[method-assign]
    simulation.loop.run(until)
    return started_at[0] - simulation.loop.now + until - 40.0 if started_at else float("inf")


GANG = {"shape": "ensemble", "pieces": 3, "gpus": 4.0, "cpus": 30.0, "samePlace": False, "expectedS": 20.0}


@pytest.mark.parametrize("leader_changes", [0, 2])
def test_a_gang_of_whole_machines_starts_within_four_minutes_on_a_cluster_full_of_small_jobs(leader_changes):
    simulation = begun(run_s=20.0, capacity=7)
    for n in range(leader_changes):  # the wait is counted from the record, so a leader change does not reset it
        simulation.later(60.0 + 50.0 * n, lambda: simulation.leader() and simulation.crash(simulation.leader() or ""))
        simulation.later(
            61.0 + 50.0 * n, lambda: [simulation.start(i) for i in range(3) if f"node-{i}" not in simulation.nodes]
        )
    assert gang_wait_s(simulation, 300.0, GANG) <= 240.0 and not simulation.rule_violations


def test_machines_reserved_for_the_largest_job_are_not_idle_and_take_no_other_job():
    capacities = [
        free_machine("m1", empty=True),
        free_machine("m2", empty=True),
        *[full_machine(f"m{n}", []) for n in range(3, 7)],
    ]
    large = policy_snapshot.Demand(
        "wk-1", spec("wk-1", kind=Kind.GANG, tasks=3, gpus=4.0, cpus=30.0), [0, 1, 2], 900.0, 60.0, {}
    )
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=9), list(range(9)), 900.0, 60.0, {})
    snap = snapshot(capacities, [large, small])
    snap.capacity_refusals = {("g4", zone, spot) for zone in "ab" for spot in (True, False)}
    large.waited_s = 90.0
    assert {name for _, placements in make_plan(copy.deepcopy(snap)).starts for _, name in placements} == {"m1", "m2"}
    large.waited_s = 100.0
    plan = make_plan(copy.deepcopy(snap))
    assert not plan.starts and not plan.idle_machines
    # A job that fits in no zone blocks no other job, and is reported once it has waited for `START_DEADLINE_S`.
    large.spec, large.indices = msgspec.structs.replace(large.spec, tasks=40), list(range(40))
    large.waited_s = 300.0
    plan = make_plan(snap)
    assert plan.unplaceable_job == "wk-1" and plan.starts


@hsettings(max_examples=10, phases=[Phase.generate])
@given(st.integers(1, 4), st.integers(2, 6), st.floats(0.0, 60.0), st.sampled_from([1.5, 2.0, 3.0]))
def test_no_job_waits_for_90_s_while_capacity_is_reserved_for_the_largest(
    free_count, full_count, initial_wait_s, step_s
):
    """The gang never fits, some machines are free all the time, and a small job waits that could use them."""
    capacities = [free_machine(f"m{n}", empty=True) for n in range(free_count)] + [
        full_machine(f"f{n}", []) for n in range(full_count)
    ]
    large = policy_snapshot.Demand(
        "wk-1",
        spec("wk-1", kind=Kind.GANG, tasks=free_count + 1, gpus=4.0, cpus=30.0),
        list(range(free_count + 1)),
        900.0,
        60.0,
        {},
    )
    small = policy_snapshot.Demand("wk-2", spec("wk-2", tasks=1), [0], 900.0, 60.0, {})
    snap = snapshot(capacities, [large, small])
    snap.capacity_refusals = {("g4", zone, spot) for zone in "ab" for spot in (True, False)}
    wait_s, longest_wait_s, held_cycles = 0.0, 0.0, 0
    large.waited_s = initial_wait_s
    while large.waited_s < 400.0:
        small.waited_s = wait_s
        starts = {ref for ref, _ in make_plan(copy.deepcopy(snap)).starts}
        wait_s = 0.0 if "wk-2" in starts else wait_s + step_s
        held_cycles += "wk-2" not in starts
        longest_wait_s = max(longest_wait_s, wait_s)
        large.waited_s += step_s
    assert longest_wait_s < 80.0 and (held_cycles > 0 or free_count + 1 > (free_count + full_count) / 2)


def test_without_a_reservation_the_gang_waits_for_more_than_four_minutes(monkeypatch):
    monkeypatch.setattr("winglift.policy.plan.reserve_for_largest", lambda placement: None)
    assert gang_wait_s(begun(run_s=20.0, capacity=7), 300.0, GANG) > 240.0
