"""A leader's cycle costs what its changes cost, whatever the number of machines; and caches change no plan."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.growth import Fleet, cost, exponent, main, measure
from standins.simulation import Simulation
from winglift import constants
from winglift.controller.pacing import long_pause_s, pause_s
from winglift.model.machine_state import MachineState
from winglift.model.task_state import TaskEvent
from winglift.policy.plan import make_plan
from winglift.policy.snapshot import FreeCapacity, Snapshot
from winglift.wire.users import Kind

OPERATIONS = ("change", "plan", "hold", "silent", "drain", "image", "stop", "strangers", "attended", "return", "wait")


def visible_capacities(snap: Snapshot) -> list[dict]:
    """Everything that a plan reads of the free capacities, including their inspections."""
    visible = []
    for capacity in snap.capacities:
        values = {
            f.name: getattr(capacity, f.name)
            for f in dataclasses.fields(FreeCapacity)
            if f.name not in ("inspector", "modified")
        }
        values["inspection"] = capacity.inspector() if capacity.inspector is not None else None
        visible.append(values)
    return visible


@settings(max_examples=40)
@given(
    st.integers(0, 1000), st.lists(st.tuples(st.sampled_from(OPERATIONS), st.integers(0, 39)), min_size=4, max_size=16)
)
def test_cached_capacities_equal_rebuilt_ones(seed, ops):
    """A stale cache entry would change plans: free capacities and plan must equal those that are built from scratch."""
    fleet = Fleet(40, seed)
    zones = None
    make_plan(fleet.snapshot_builder.build(fleet.now))
    for operation, number in ops:
        machine = fleet.cluster.machines[fleet.names[number]]
        if operation == "change":
            fleet.change(number % 8 + 1)
        elif operation == "plan":
            make_plan(fleet.snapshot_builder.build(fleet.now, zones_with_controllers=zones))
        elif operation == "hold":
            fleet.snapshot_builder.gang_reservations.reserve({f"wk-{fleet.jobs:06d}": [machine.name]}, fleet.now)
        elif operation == "silent":
            machine.last_heard = fleet.now - 100.0
        elif operation == "drain":
            machine.state = MachineState.DRAINING
        elif operation == "image":
            machine.track_image(f"img-{number}", 6.0)
        elif operation == "stop" and machine.tasks:
            fleet.cluster.request_stop(next(iter(machine.tasks.values())), 2.0, fleet.now, "test")
        elif operation == "strangers":
            machine.unknown_tasks[("wk-999999", 0)] = 1
        elif operation == "attended":
            zones = frozenset("a") if zones is None else None
        elif operation == "return":
            fleet.cluster.remove_machine(machine, fleet.now)
            fleet.cluster.deleted_machines.clear()
            returned = fleet.cluster.register_machine(machine.name, "g8", machine.zone, machine.spot, fleet.now, 100.0)
            returned.state, returned.last_heard = MachineState.UP, fleet.now
        elif operation == "wait":
            fleet.job(Kind.GANG if number % 2 else Kind.ARRAY, number % 5 + 1, 4.0, 20.0)
        uncached_builder = fleet.new_snapshot_builder()
        uncached_builder.gang_reservations.by_job = dict(fleet.snapshot_builder.gang_reservations.by_job)
        cached = fleet.snapshot_builder.build(fleet.now, zones_with_controllers=zones)
        rebuilt = uncached_builder.build(fleet.now, zones_with_controllers=zones)
        # The cost of a stop is cached for INSPECTION_CACHE_TTL_S. The cache is cleared, so that both are of this time.
        fleet.snapshot_builder.free_capacities._inspections.clear()
        assert visible_capacities(cached) == visible_capacities(rebuilt)
        assert make_plan(cached) == make_plan(rebuilt)


def test_cost_of_a_cycle_grows_more_slowly_than_the_number_of_machines():
    """Costs are counted in function calls, which are the same in every run. A report costs the same at any size."""
    figures = {n: measure(n, cycles=3) for n in (50, 200, 600)}
    assert exponent([(n, costs["cycle"][0]) for n, costs in figures.items()]) < 1.0
    assert exponent([(n, costs["report"][0]) for n, costs in figures.items()]) < 0.05
    # An unchanged machine or job costs only a check of its state: a few calls each.
    fleet = Fleet(600)
    fleet.snapshot_builder.build(fleet.now)
    fleet.change()
    assert cost(lambda: fleet.snapshot_builder.build(fleet.now))[0] < 6 * 600 + 16 * len(fleet.cluster.jobs)


def test_the_command_prints_costs_and_their_growth(capsys, monkeypatch, tmp_path):
    path = tmp_path / "growth.json"
    monkeypatch.setattr("sys.argv", ["growth", "--sizes", "10", "30", "--cycles", "1", "--json", str(path)])
    main()
    assert capsys.readouterr().out.count("calls grow as machines **") == 2 and '"30"' in path.read_text()
    monkeypatch.setattr("sys.argv", ["growth", "--sizes", "0"])
    with pytest.raises(SystemExit) as ended:
        main()
    assert ended.value.code == 2


def test_a_busy_planner_leaves_time_for_requests_of_users_and_workers():
    assert pause_s(0.001) == constants.CYCLE_INTERVAL_S
    assert pause_s(0.02) == 0.4 and pause_s(0.05) == 0.5 and pause_s(0.2) == pytest.approx(1.2)
    for took in (0.0, 0.003, 0.01, 0.04, 0.1, 1.0):
        assert (
            constants.CYCLE_PAUSE_MIN_RATIO * took
            <= pause_s(took)
            <= long_pause_s(took)
            <= max(constants.CYCLE_LONG_PAUSE_MAX_S, pause_s(took))
        )


def test_only_urgent_jobs_and_lost_replicas_end_the_planners_pause_early():
    fleet = Fleet(20)
    wake_ups: list[int] = []
    fleet.cluster.on_urgent = lambda: wake_ups.append(1)

    def is_urgent(act) -> bool:
        wake_ups.clear()
        act()
        return bool(wake_ups)

    assert not is_urgent(lambda: fleet.job(Kind.ARRAY, 3, 1.0, 5.0))
    assert is_urgent(lambda: fleet.job(Kind.GANG, 1, 8.0, 43.0)) and is_urgent(
        lambda: fleet.job(Kind.SERVICE, 2, 1.0, 4.0)
    )
    running = {
        kind: next(t for j in fleet.cluster.jobs.values() if j.kind is kind for t in j.active.values()) for kind in Kind
    }
    assert is_urgent(
        lambda: fleet.cluster.transition_and_release(running[Kind.SERVICE], TaskEvent.MACHINE_GONE, fleet.now)
    )
    assert not is_urgent(
        lambda: fleet.cluster.transition_and_release(running[Kind.ARRAY], TaskEvent.MACHINE_GONE, fleet.now)
    )


def test_urgent_work_ends_the_pause_between_cycles_and_is_planned(monkeypatch):
    """Cycles take no simulated time, so that no pause would follow: here each is followed by one of 30 s."""
    monkeypatch.setattr("winglift.controller.leader_term.long_pause_s", lambda took: 30.0)
    simulation = Simulation(1, boot_s=2.0, run_s=5.0, cloud_list_lag_s=1.0)
    simulation.net.loss = 0.0
    simulation.start_all()
    simulation.loop.run(20.0)
    leader = simulation.nodes["node-0"][1].leader_term
    assert leader is not None
    began = simulation.loop.now
    simulation.submit("wk-1", dueS=500.0)
    simulation.loop.run(began + 3.0)
    assert (
        not leader.cluster.jobs["wk-1"].active
        and not leader.inventory.pending_rentals
        and not simulation.cloud.machines
    )
    simulation.submit("wk-2", pieces=1)
    simulation.loop.run(lambda: bool(simulation.cloud.machines), 3.0)
    assert simulation.loop.now < began + 4.5
    # The end of a job is recorded as soon as it is reported, without waiting for a cycle.
    simulation.loop.run(lambda: any(w.starts for w in simulation.cloud.workers()), 120.0)
    ends = simulation.loop.now + 5.0
    simulation.loop.run(lambda: simulation.state.keys["job/wk-2"][0].get("o") == "d", 120.0)
    assert simulation.loop.now < ends + 2.0
