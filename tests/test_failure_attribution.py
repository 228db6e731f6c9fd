"""Attribution of failures to a machine, a job, or a capacity pool whose new machines fail to boot."""

from __future__ import annotations

from helpers import MACHINE_TYPE, settings, spec
from hypothesis import given
from hypothesis import strategies as st

from standins.growth import NOW, Fleet
from winglift import constants
from winglift.model import failure_attribution, records
from winglift.model.boot_tracker import BootTracker, boot_overdue
from winglift.model.cluster_state import ClusterState
from winglift.model.entities import Job, Machine
from winglift.model.machine_state import MachineState
from winglift.model.record_application import apply_commit, apply_record
from winglift.model.report_reconciliation import reconcile_report
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.plan import make_plan
from winglift.policy.renting import Renting
from winglift.store.batcher import build_job_record
from winglift.wire import workers as worker_messages
from winglift.wire.users import Kind


def machine(name: str, rented_at: float = 0.0, state: MachineState = MachineState.UP, zone: str = "a") -> Machine:
    return Machine(name, MACHINE_TYPE, "g4", zone, False, state, rented_at, rented_at)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=40))
def test_a_job_that_fails_everywhere_makes_no_machine_faulty(failures):
    """The tasks of two faulty jobs fail on several machines each, however often and wherever."""
    jobs = [Job(f"wk-{i}", spec(f"wk-{i}"), 0.0) for i in range(2)]
    machines = [machine(f"vm-{i}") for i in range(6)]
    for job in jobs:
        for first in machines[: constants.SUSPECT_JOB_MACHINES]:
            failure_attribution.record_failure(job, first)
    for number, where in failures:
        failure_attribution.record_failure(jobs[number % 2], machines[where])
    assert all(failure_attribution.job_is_suspect(j, 100.0) for j in jobs) and not any(
        failure_attribution.machine_is_faulty(m, 100.0) for m in machines
    )


def test_a_machine_is_faulty_after_two_failures_of_a_job_that_succeeds_elsewhere():
    """The failures count even if a task of the job completes elsewhere only later."""
    bad, good = machine("vm-bad"), machine("vm-good")
    job = Job("wk-1", spec("wk-1"), 0.0)
    for _ in range(constants.FAULTY_MACHINE_FAILURES):
        failure_attribution.record_failure(job, bad)
    assert not failure_attribution.machine_is_faulty(bad, 0.0)
    failure_attribution.record_completion(job, good)
    assert failure_attribution.machine_is_faulty(bad, 0.0) and not failure_attribution.job_is_suspect(job, 0.0)


def test_a_job_that_failed_on_two_faulty_machines_is_not_suspect_once_they_are_detected():
    """Guards against a sound job that stays suspect, and so preempts nothing, after failures on faulty machines.

    A gang had members on two of them, and would have waited for free capacity while other sound jobs preempted tasks.
    """
    job, others = Job("wk-1", spec("wk-1"), 0.0), [Job(f"wk-{n}", spec(f"wk-{n}"), 0.0) for n in (2, 3)]
    bad = [machine("vm-1"), machine("vm-2")]
    for host, other in zip(bad, others, strict=True):
        failure_attribution.record_failure(job, host)
        other.has_completed_task = True
        for _ in range(constants.FAULTY_MACHINE_FAILURES):
            failure_attribution.record_failure(other, host)
    job.retry_not_before = 90.0
    assert failure_attribution.job_is_suspect(job, 1.0) and all(
        failure_attribution.machine_is_faulty(m, 1.0) for m in bad
    )
    failure_attribution.clear_job_failures_on(bad[0], 1.0)
    assert not failure_attribution.job_is_suspect(job, 1.0) and job.retry_not_before == 1.0


def test_failures_of_two_jobs_that_failed_nowhere_else_make_the_machine_faulty():
    bad = machine("vm-bad")
    for number in range(constants.FAULTY_MACHINE_FAILURES):
        failure_attribution.record_failure(Job(f"wk-{number}", spec(f"wk-{number}"), 0.0), bad)
    assert failure_attribution.machine_is_faulty(bad, 0.0)


def fail(cluster: ClusterState, job: Job, index: int, name: str, seq: int, now: float) -> None:
    """Place one task, and report first that it runs and then that it failed."""
    host = cluster.machines[name]
    attempt = job.next_attempt
    assert cluster.propose_placement(job, [(index, host)], now)
    apply_commit(cluster, job, job.version + 1, build_job_record(job), now)
    for phase, why in ((worker_messages.Phase.RUNNING, None), (worker_messages.Phase.EXITED, "error")):
        seq += 1
        report = worker_messages.Report(
            machine=name,
            addr="127.0.0.1:1",
            type="g4",
            zone="a",
            spot=False,
            session=1,
            seq=seq,
            token=2,
            tasks=[worker_messages.TaskReport(f"{job.ref}/{index}", attempt, phase, why)],
        )
        assert reconcile_report(cluster, report, now) is not None


def test_a_faulty_array_drains_no_machine_and_is_retried_with_growing_backoff():
    """When eight tasks of such an array failed on one machine, the machine was drained of replicas and deleted."""
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 2)
    for i in range(6):
        report = worker_messages.Report(
            machine=f"vm-{i}", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=0, token=2, tasks=[]
        )
        assert reconcile_report(cluster, report, 0.0) is not None
    job = apply_record(cluster, "wk-1", 1, records.new_record(spec("wk-1", tasks=8), 0.0), 0.0)
    assert job is not None
    now, backoffs = 10.0, []
    for number in range(6):
        for index in range(3):
            fail(cluster, job, index, f"vm-{number}", 10 * index, now)
        backoffs.append(job.retry_not_before - now)
        now = max(now + 1.0, job.retry_not_before)
    assert all(m.state is MachineState.UP for m in cluster.machines.values())
    assert backoffs[1:] == sorted(backoffs[1:]) and backoffs[-1] > 4 * backoffs[1] > 0


def test_a_suspect_job_causes_no_preemption_and_no_rental():
    job = spec("wk-1", tasks=1)
    busy = policy_snapshot.FreeCapacity(
        "vm-1",
        MACHINE_TYPE,
        "a",
        False,
        32.0,
        0.0,
        256.0,
        victims=[policy_snapshot.Victim("wk-8", 0, job.priority.LOW, "blue", 5.0, 1.0, 20.0, 3.0, 1)],
    )
    free = policy_snapshot.FreeCapacity("vm-2", MACHINE_TYPE, "a", False, 32.0, 4.0, 256.0)
    quota = ClusterState(settings(), {}, 1).quota

    def plan(capacities, **changes):
        demand = policy_snapshot.Demand("wk-1", job, [0], 1000.0, 60.0, {}, **changes)
        return make_plan(policy_snapshot.Snapshot(1000.0, capacities, [demand], quota, {"g4": MACHINE_TYPE}, set()))

    assert plan([busy]).stops
    probe = plan([busy], is_probe=True)
    assert not probe.stops and not probe.rentals and not probe.starts
    assert plan([free], is_probe=True).starts
    # A suspect job is retried only where it has not failed yet.
    assert not plan([free], is_probe=True, avoided_machines=frozenset({"vm-2"})).starts


def test_overdue_machines_mark_their_pool_as_failing_until_a_later_one_boots_in_time():
    tracker, usual = BootTracker(), constants.BOOT_EXPECTED_RATIO * MACHINE_TYPE.boot_s
    overdue = [machine(f"vm-{i}", 0.0, MachineState.BOOTING) for i in range(constants.FAILING_POOL_MACHINES)]
    assert not tracker.detect_failing_pools(overdue, usual - 1) and not boot_overdue(overdue[0], usual - 1)
    assert tracker.detect_failing_pools(overdue, usual + 1) == {("g4", "a")} and boot_overdue(overdue[0], usual + 1)
    now = usual + 2
    assert tracker.probe_allowance([MACHINE_TYPE], overdue, [], now) == {("g4", "a"): constants.FAILING_POOL_PROBES_MAX}
    probe = machine("vm-9", now, MachineState.BOOTING)
    assert tracker.probe_allowance([MACHINE_TYPE], [*overdue, probe], [], now) == {("g4", "a"): 0}
    assert tracker.probe_allowance([MACHINE_TYPE], overdue, [("g4", "a")], now) == {("g4", "a"): 0}
    # An overdue machine that boots after all does not show that the pool has recovered.
    assert not tracker.record_boot(overdue[0], now) and tracker.failing_since
    assert tracker.record_boot(probe, now + MACHINE_TYPE.boot_s) and not tracker.failing_since
    # Overdue machines rented before one that booted in time don't make the pool fail.
    assert not tracker.detect_failing_pools(overdue, now + 100)


def test_a_failing_pool_is_probed_with_few_machines_and_the_rest_are_rented_elsewhere():
    demand = policy_snapshot.Demand("wk-1", spec("wk-1", tasks=1, gpus=4.0), [0], 0.0, 60.0, {})

    def zones(probe_allowance):
        snap = policy_snapshot.Snapshot(
            1000.0,
            [],
            [],
            ClusterState(settings(), {}, 1).quota,
            {"g4": MACHINE_TYPE},
            set(),
            boot_probe_allowance=probe_allowance,
        )
        renting = Renting(snap, policy_snapshot.Plan(), [])
        capacities = [renting.rent(demand, {}) for _ in range(4)]
        return [r.zone for r in capacities if r is not None]

    assert zones({}) == ["a", "b", "a", "b"]
    assert zones({("g4", "a"): 1}) == ["b"] * 4


def test_with_all_pools_failing_overdue_machines_are_still_expected_and_half_are_kept_longer():
    """Guards against replacing all overdue machines at once.

    Machines that needed four times the usual boot time were all deleted after two and a half times it, and their
    replacements filled the cloud's capacity with machines that did not boot.
    """
    tracker, late = BootTracker(), [machine(f"vm-{i}", 0.0, MachineState.BOOTING, "ab"[i % 2]) for i in range(20)]
    assert {tracker.boot_timeout_s(m, [MACHINE_TYPE]) for m in late} == {
        constants.BOOT_TIMEOUT_RATIO * MACHINE_TYPE.boot_s
    }
    assert not any(tracker.is_boot_expected(m, [MACHINE_TYPE], 100.0) for m in late)
    tracker.detect_failing_pools(late, 100.0)
    assert tracker.all_pools_failing([MACHINE_TYPE]) and tracker.probe_allowance([MACHINE_TYPE], late, [], 100.0) == {}
    assert all(tracker.is_boot_expected(m, [MACHINE_TYPE], 100.0) for m in late)
    assert {tracker.boot_timeout_s(m, [MACHINE_TYPE]) / MACHINE_TYPE.boot_s for m in late} == {
        constants.BOOT_TIMEOUT_RATIO,
        constants.FAILING_POOL_BOOT_TIMEOUT_RATIO,
    }


@given(st.integers(1, 30), st.integers(0, 12))
def test_a_sound_job_that_failed_on_faulty_machines_waits_less_than_90_s_for_free_capacity(failures, machines):
    """The bound holds both for the longest backoff and for the time in which the job avoids machines where it failed.

    Each is counted together with the run that shows that the job is sound.
    """
    fleet = Fleet(20)
    cluster, job = fleet.cluster, fleet.cluster.jobs[fleet.job(Kind.ARRAY, 3, 1.0, 4.0)]
    for name in list(cluster.machines)[:machines]:
        failure_attribution.record_failure(job, cluster.machines[name])
    job.failed_rounds = failures
    backoff = failure_attribution.retry_delay_s(job, 0.0)
    assert (
        backoff + constants.SOUND_JOB_RUN_MIN_S + constants.IDLE_CYCLE_INTERVAL_S < 90.0
        and backoff < constants.MACHINE_AVOIDANCE_S
    )
    snapshot_builder = fleet.new_snapshot_builder()
    job.retry_not_before = fleet.now + backoff
    assert snapshot_builder.demands.demand(job, fleet.now, NOW, False) is None
    job.unplaced_since = fleet.now
    first = snapshot_builder.demands.demand(job, job.retry_not_before, NOW, False)
    assert first is not None and first.avoided_machines == frozenset(job.failed_on)
    later = snapshot_builder.demands.demand(job, fleet.now + constants.MACHINE_AVOIDANCE_S, NOW, False)
    assert later is not None and later.indices and not later.avoided_machines
    assert constants.MACHINE_AVOIDANCE_S + constants.SOUND_JOB_RUN_MIN_S + constants.IDLE_CYCLE_INTERVAL_S < 90.0


@given(st.lists(st.floats(0.0, 3.0), min_size=2, max_size=40))
def test_the_first_backoff_of_a_suspect_job_is_short(times):
    """The job's tasks fail together, but their failures are reported one after the other."""
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 2)
    count = len(times)
    for i in range(count):
        cluster.register_machine(f"vm-{i}", "g4", "a", False, 0.0, 90.0).state = MachineState.UP
    job = apply_record(cluster, "wk-1", 5, records.new_record(spec("wk-1", tasks=count, gpus=0.0), 0.0), 0.0)
    assert job is not None
    assert cluster.propose_placement(job, [(i, cluster.machines[f"vm-{i}"]) for i in range(count)], 0.0)
    apply_commit(cluster, job, 6, build_job_record(job), 0.0)
    for i, when in sorted(enumerate(times), key=lambda pair: pair[1]):
        failed = worker_messages.TaskReport(
            f"wk-1/{i}", 1, worker_messages.Phase.EXITED, worker_messages.ExitReason.ERROR
        )
        report = worker_messages.Report(
            machine=f"vm-{i}", addr="", type="g4", zone="a", spot=False, session=1, seq=1, token=2, tasks=[failed]
        )
        reconcile_report(cluster, report, 10.0 + when)
    assert failure_attribution.job_is_suspect(job, 20.0)
    assert job.retry_not_before <= 10.0 + max(times) + 8.0
