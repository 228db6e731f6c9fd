"""Whose fault: the machine's, the job's, or the place's, where new machines stay dark."""

from __future__ import annotations

from helpers import TYPE, settings, spec
from hypothesis import given
from hypothesis import strategies as st

from standins.growth import NOW, Fleet
from winglift import constants as c
from winglift.model import failure_attribution, records
from winglift.model.boots import Boots, overdue
from winglift.model.entities import Job, Machine
from winglift.model.machine import MachineState
from winglift.model.picture import Picture
from winglift.model.recorded import apply_record, committed
from winglift.model.reported import on_report
from winglift.policy import snapshot as p
from winglift.policy.plan import make_plan
from winglift.policy.renting import Renting
from winglift.store.batcher import pack
from winglift.wire import workers as w
from winglift.wire.users import Kind


def machine(name: str, rented_at: float = 0.0, state: MachineState = MachineState.UP, zone: str = "a") -> Machine:
    return Machine(name, TYPE, "g4", zone, False, state, rented_at, rented_at)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=40))
def test_a_job_that_fails_everywhere_makes_no_machine_faulty(failures):
    """However many tasks of two mistaken jobs fail, wherever: two jobs, each on several machines."""
    jobs = [Job(f"wk-{i}", spec(f"wk-{i}"), 0.0) for i in range(2)]
    machines = [machine(f"vm-{i}") for i in range(6)]
    for job in jobs:
        for first in machines[: c.ERRORS_JOB]:
            failure_attribution.failed(job, first)
    for number, where in failures:
        failure_attribution.failed(jobs[number % 2], machines[where])
    assert all(failure_attribution.suspect(j, 100.0) for j in jobs) and not any(
        failure_attribution.faulty(m, 100.0) for m in machines
    )


def test_a_machine_that_fails_what_runs_elsewhere_is_found_after_two_failures():
    """Also when the proof comes later, from a task that completes elsewhere."""
    bad, good = machine("vm-bad"), machine("vm-good")
    job = Job("wk-1", spec("wk-1"), 0.0)
    for _ in range(c.ERRORS_SICK):
        failure_attribution.failed(job, bad)
    assert not failure_attribution.faulty(bad, 0.0)
    failure_attribution.completed(job, good)
    assert failure_attribution.faulty(bad, 0.0) and not failure_attribution.suspect(job, 0.0)


def test_a_job_that_met_two_faulty_machines_is_suspected_no_longer_once_they_are_found():
    """A gang had members on two of them; it would have waited for free room while sound ones were made room for."""
    job, others = Job("wk-1", spec("wk-1"), 0.0), [Job(f"wk-{n}", spec(f"wk-{n}"), 0.0) for n in (2, 3)]
    bad = [machine("vm-1"), machine("vm-2")]
    for host, other in zip(bad, others, strict=True):
        failure_attribution.failed(job, host)
        other.proven = True
        for _ in range(c.ERRORS_SICK):
            failure_attribution.failed(other, host)
    job.not_before = 90.0
    assert failure_attribution.suspect(job, 1.0) and all(failure_attribution.faulty(m, 1.0) for m in bad)
    failure_attribution.found_faulty(bad[0], 1.0)
    assert not failure_attribution.suspect(job, 1.0) and job.not_before == 1.0


def test_two_jobs_that_failed_nowhere_else_speak_against_the_machine():
    bad = machine("vm-bad")
    for number in range(c.ERRORS_SICK):
        failure_attribution.failed(Job(f"wk-{number}", spec(f"wk-{number}"), 0.0), bad)
    assert failure_attribution.faulty(bad, 0.0)


def fail(picture: Picture, job: Job, index: int, name: str, seq: int, now: float) -> None:
    """One task is placed, runs and fails."""
    host = picture.machines[name]
    attempt = job.next_attempt
    assert picture.propose(job, [(index, host)], now)
    committed(picture, job, job.version + 1, pack(job), now)
    for phase, why in ((w.Phase.RUNNING, None), (w.Phase.EXITED, "error")):
        seq += 1
        report = w.Report(
            machine=name,
            addr="127.0.0.1:1",
            type="g4",
            zone="a",
            spot=False,
            session=1,
            seq=seq,
            token=1,
            tasks=[w.TaskReport(f"{job.ref}/{index}", attempt, phase, why)],
        )
        assert on_report(picture, report, now) is not None


def test_a_mistaken_array_loses_no_machine_and_is_tried_ever_more_rarely():
    """Eight of its tasks failed on one machine at once, which was emptied of its replicas and given back."""
    picture = Picture(settings(), {"g4": TYPE}, 1)
    for i in range(6):
        report = w.Report(
            machine=f"vm-{i}", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=0, token=1, tasks=[]
        )
        assert on_report(picture, report, 0.0) is not None
    job = apply_record(picture, "wk-1", 1, records.fresh(spec("wk-1", tasks=8), 0.0), 0.0)
    assert job is not None
    now, pauses = 10.0, []
    for number in range(6):
        for index in range(3):
            fail(picture, job, index, f"vm-{number}", 10 * index, now)
        pauses.append(job.not_before - now)
        now = max(now + 1.0, job.not_before)
    assert all(m.state is MachineState.UP for m in picture.machines.values())
    assert pauses[1:] == sorted(pauses[1:]) and pauses[-1] > 4 * pauses[1] > 0


def test_nothing_is_stopped_or_rented_for_a_job_that_looks_mistaken():
    job = spec("wk-1", tasks=1)
    busy = p.Room(
        "vm-1",
        TYPE,
        "a",
        False,
        32.0,
        0.0,
        256.0,
        victims=[p.Victim("wk-8", 0, job.priority.LOW, "blue", 5.0, 1.0, 20.0, 3.0, 1)],
    )
    free = p.Room("vm-2", TYPE, "a", False, 32.0, 4.0, 256.0)
    quota = Picture(settings(), {}, 1).quota

    def plan(rooms, **changes):
        need = p.Need("wk-1", job, [0], 1000.0, 60.0, {}, **changes)
        return make_plan(p.Snapshot(1000.0, rooms, [need], quota, {"g4": TYPE}, set()))

    assert plan([busy]).stops
    probe = plan([busy], probe=True)
    assert not probe.stops and not probe.rentals and not probe.starts
    assert plan([free], probe=True).starts
    # It is tried where it has not failed yet.
    assert not plan([free], probe=True, avoid=frozenset({"vm-2"})).starts


def test_an_overdue_machine_makes_its_zone_dark_until_a_later_one_comes_up_in_time():
    boots, usual = Boots(), c.BOOT_USUAL * TYPE.boot_s
    dark = [machine(f"vm-{i}", 0.0, MachineState.BOOTING) for i in range(c.DARK_MACHINES)]
    assert not boots.look(dark, usual - 1) and not overdue(dark[0], usual - 1)
    assert boots.look(dark, usual + 1) == {("g4", "a")} and overdue(dark[0], usual + 1)
    now = usual + 2
    assert boots.allowed([TYPE], dark, [], now) == {("g4", "a"): c.DARK_PROBES}
    probe = machine("vm-9", now, MachineState.BOOTING)
    assert boots.allowed([TYPE], [*dark, probe], [], now) == {("g4", "a"): 0}
    assert boots.allowed([TYPE], dark, [("g4", "a")], now) == {("g4", "a"): 0}
    # One of the first that comes up after all was late: it shows nothing.
    assert not boots.came_up(dark[0], now) and boots.dark
    assert boots.came_up(probe, now + TYPE.boot_s) and not boots.dark
    # Single late machines beside others that came up in time are no fault of the place.
    assert not boots.look(dark, now + 100)


def test_a_dark_zone_is_tried_with_few_machines_and_the_rest_go_elsewhere():
    need = p.Need("wk-1", spec("wk-1", tasks=1, gpus=4.0), [0], 0.0, 60.0, {})

    def zones(dark):
        snap = p.Snapshot(1000.0, [], [], Picture(settings(), {}, 1).quota, {"g4": TYPE}, set(), dark=dark)
        renting = Renting(snap, p.Plan(), [])
        rooms = [renting.rent(need, {}) for _ in range(4)]
        return [r.zone for r in rooms if r is not None]

    assert zones({}) == ["a", "b", "a", "b"]
    assert zones({("g4", "a"): 1}) == ["b"] * 4


def test_where_new_machines_are_late_everywhere_they_still_count_and_half_are_waited_for_longer():
    """Coming up after four times the usual, all were given back after two and a half times; replacing them at once
    filled the cloud's capacity with dark machines."""
    boots, late = Boots(), [machine(f"vm-{i}", 0.0, MachineState.BOOTING, "ab"[i % 2]) for i in range(20)]
    assert {boots.patience_s(m, [TYPE]) for m in late} == {c.BOOT_GIVE_UP * TYPE.boot_s}
    assert not any(boots.promises(m, [TYPE], 100.0) for m in late)
    boots.look(late, 100.0)
    assert boots.everywhere([TYPE]) and boots.allowed([TYPE], late, [], 100.0) == {}
    assert all(boots.promises(m, [TYPE], 100.0) for m in late)
    assert {boots.patience_s(m, [TYPE]) / TYPE.boot_s for m in late} == {c.BOOT_GIVE_UP, c.BOOT_GIVE_UP_DARK}


@given(st.integers(1, 30), st.integers(0, 12))
def test_a_sound_job_that_met_faulty_machines_waits_less_than_90_s_beside_room(failures, machines):
    """Its longest pause, the time in which it is not tried where it failed, and the run that shows it sound."""
    lab = Fleet(20)
    picture, job = lab.picture, lab.picture.jobs[lab.job(Kind.ARRAY, 3, 1.0, 4.0)]
    for name in list(picture.machines)[:machines]:
        failure_attribution.failed(job, picture.machines[name])
    job.failures = failures
    pause = failure_attribution.pause_s(job, 0.0)
    assert pause + c.SOUND_RUN_S + c.IDLE_CYCLE_S < 90.0 and pause < c.AVOID_S
    view = lab.fresh_view()
    job.not_before = lab.now + pause
    assert view._need(job, lab.now, NOW, False) is None
    job.short_since = lab.now
    first = view._need(job, job.not_before, NOW, False)
    assert first is not None and first.avoid == frozenset(job.failed_on)
    later = view._need(job, lab.now + c.AVOID_S, NOW, False)
    assert later is not None and later.indices and not later.avoid
    assert c.AVOID_S + c.SOUND_RUN_S + c.IDLE_CYCLE_S < 90.0


@given(st.lists(st.floats(0.0, 3.0), min_size=2, max_size=40))
def test_the_first_pause_of_a_job_that_looks_mistaken_is_a_short_one(times):
    """Its tasks fail together, but are heard of one after the other."""
    picture = Picture(settings(), {"g4": TYPE}, 1)
    count = len(times)
    for i in range(count):
        picture.adopt(f"vm-{i}", "g4", "a", False, 0.0, 90.0).state = MachineState.UP
    job = apply_record(picture, "wk-1", 5, records.fresh(spec("wk-1", tasks=count, gpus=0.0), 0.0), 0.0)
    assert job is not None
    assert picture.propose(job, [(i, picture.machines[f"vm-{i}"]) for i in range(count)], 0.0)
    committed(picture, job, 6, pack(job), 0.0)
    for i, when in sorted(enumerate(times), key=lambda pair: pair[1]):
        failed = w.TaskReport(f"wk-1/{i}", 1, w.Phase.EXITED, w.Why.ERROR)
        report = w.Report(
            machine=f"vm-{i}", addr="", type="g4", zone="a", spot=False, session=1, seq=1, token=1, tasks=[failed]
        )
        on_report(picture, report, 10.0 + when)
    assert failure_attribution.suspect(job, 20.0)
    assert job.not_before <= 10.0 + max(times) + 8.0
