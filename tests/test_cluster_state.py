"""The cluster state under generated sequences of record changes, late and lost reports, deletions and failovers."""

from __future__ import annotations

from helpers import MACHINE_TYPE, settings, spec
from hypothesis import given
from hypothesis import settings as hsettings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from winglift.model import records
from winglift.model.cluster_state import ClusterState
from winglift.model.leadership import Leadership, Role, RoleEvent
from winglift.model.record_application import apply_commit, apply_record
from winglift.model.report_reconciliation import due_commands, reconcile_report
from winglift.model.task_state import TRANSITIONS, InvalidTransition, TaskEvent, TaskState, next_state
from winglift.policy.failure_detector import FailureDetector
from winglift.store.batcher import build_job_record
from winglift.wire import workers as worker_messages
from winglift.wire.users import Kind


class FakeWorker:
    """A simulated worker; holds what really runs on the machine, independent of the leader's cluster state."""

    def __init__(self, name: str, zone: str, spot: bool) -> None:
        self.name, self.zone, self.spot = name, zone, spot
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], str] = {}

    def report(self) -> worker_messages.Report:
        self.seq += 1
        task_reports = [
            worker_messages.TaskReport(
                name,
                attempt,
                worker_messages.Phase.EXITED if state != "running" else worker_messages.Phase.RUNNING,
                state if state != "running" else None,
            )
            for (name, attempt), state in self.tasks.items()
        ]
        return worker_messages.Report(
            machine=self.name,
            addr="127.0.0.1:1",
            type="g4",
            zone=self.zone,
            spot=self.spot,
            session=self.session,
            seq=self.seq,
            token=self.token,
            tasks=task_reports,
        )

    def execute(self, token: int, commands: list[worker_messages.Command]) -> list[str]:
        """Execute the commands unless their term is outdated; return the tasks that were started."""
        started = []
        if token < self.token:
            return started
        self.token = token
        for command in commands:
            key = (command.task, command.attempt)
            if command.op == "run" and key not in self.tasks:
                self.tasks[key] = "running"
                started.append(command.task)
            elif command.op == "halt" and self.tasks.get(key) == "running":
                self.tasks[key] = "halted"
            elif command.op == "reap" and self.tasks.get(key) not in (None, "running"):
                del self.tasks[key]
        return started


class ClusterStateMachine(RuleBasedStateMachine):
    """A leader's cluster state, the committed records and four workers."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.version = 0.0, 10
        self.committed_records: dict[str, tuple[int, records.JobRecord]] = {}
        self.workers = {f"vm-{i}": FakeWorker(f"vm-{i}", "ab"[i % 2], i > 1) for i in range(4)}
        self.delayed_reports: list[worker_messages.Report] = []
        self.term = worker_messages.term_after(0)
        self.partitioned_zone = ""  # the zone whose reports don't arrive at present; "": none
        self.start_term()

    def start_term(self) -> None:
        self.cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, self.term)
        for ref, (version, record) in self.committed_records.items():
            apply_record(self.cluster, ref, version, record, self.now)
        self.failure_detector = FailureDetector(self.cluster, settings().settings.workers, 0.0, "a")
        self.failure_detector.leading_since = self.now

    def commit_record(self, ref: str, record: records.JobRecord) -> int:
        self.version += 1
        self.committed_records[ref] = (self.version, record)
        return self.version

    @rule(
        kind=st.sampled_from([Kind.ARRAY, Kind.SERVICE, Kind.GANG]),
        tasks=st.integers(1, 3),
        spot=st.booleans(),
        one_zone=st.booleans(),
        team=st.sampled_from(["red", "blue"]),
    )
    def submit(self, kind, tasks, spot, one_zone, team):
        if len(self.committed_records) < 5:
            ref = f"wk-{len(self.committed_records)}"
            record = records.new_record(
                spec(
                    ref,
                    kind=kind,
                    tasks=tasks,
                    spot=spot,
                    one_zone=one_zone,
                    team=team,
                    gpus=2.0,
                    spread=kind is Kind.SERVICE,
                ),
                0.0,
            )
            apply_record(self.cluster, ref, self.commit_record(ref, record), record, self.now)

    @rule(data=st.data())
    def place(self, data):
        jobs = [j for j in self.cluster.jobs.values() if j.waiting_tasks(9) and not (j.kind is Kind.GANG and j.active)]
        machines = list(self.cluster.machines.values())
        if jobs and machines:
            job = data.draw(st.sampled_from(jobs))
            places = [(i, data.draw(st.sampled_from(machines))) for i in job.waiting_tasks(9)]
            self.cluster.propose_placement(job, places, self.now)

    @rule(lost=st.booleans(), answered=st.booleans())
    def commit(self, lost, answered):
        for job in list(self.cluster.jobs.values()):
            if not job.pending_write:
                continue
            record = build_job_record(job)
            if lost or self.committed_records[job.ref][0] != job.version:
                apply_record(self.cluster, job.ref, *self.committed_records[job.ref], self.now)
                continue
            job.pending_write = 0
            version = self.commit_record(job.ref, record)
            if answered:
                apply_commit(self.cluster, job, version, record, self.now)
            else:
                apply_record(self.cluster, job.ref, version, record, self.now)

    @rule(name=st.sampled_from(["vm-0", "vm-1", "vm-2", "vm-3"]), arrives=st.booleans(), answered=st.booleans())
    def report(self, name, arrives, answered):
        worker = self.workers.get(name)
        if worker is None:
            return
        self.now += 1.0
        report = worker.report()
        if not arrives or worker.zone == self.partitioned_zone:
            self.delayed_reports.append(report)
            return
        self.deliver(worker, report, answered)

    @rule(name=st.sampled_from(["vm-0", "vm-1", "vm-2", "vm-3"]))
    def renew_provisionally(self, name):
        """A node that may not know all cancellations renews the worker's lease under the term that the worker knows."""
        worker = self.workers.get(name)
        if worker is not None and worker.token:
            worker.execute(worker_messages.provisional(worker.token), [])

    def deliver(self, worker, report, answered):
        commands = reconcile_report(self.cluster, report, self.now)
        if commands is None:
            return
        if report.term == self.term:
            commands = commands + due_commands(self.cluster.machines[report.machine], report, self.now)
        if answered and (report.session, report.seq) == (worker.session, worker.seq):
            for task in worker.execute(max(self.term, report.token), commands):
                ref, _, index = task.partition("/")
                # Invariant 2: before a task is started, its committed record names the machine.
                assert records.unpack(self.committed_records[ref][1]).assignments[int(index)][0] == worker.name
                elsewhere = [
                    o.name
                    for o in self.workers.values()
                    if o is not worker
                    for (t, _), state in o.tasks.items()
                    if t == task and state == "running"
                ]
                assert not elsewhere, f"{task} runs on {elsewhere} and starts on {worker.name}"

    @rule(zone=st.sampled_from(["", "a", "b"]))
    def partition_zone(self, zone):
        """Reports from one zone stop arriving, or none. Its tasks run on until `expire_worker_lease` ends them."""
        self.partitioned_zone = zone

    @rule(seconds=st.sampled_from([0.5, 3.0, 11.0, 40.0]), reaches_all_peers=st.booleans(), answered=st.booleans())
    def evaluate_machines(self, seconds, reaches_all_peers, answered):
        """The leader deletes unresponsive machines; the deletions are executed, but not always answered."""
        self.now += seconds
        for machine, _ in self.failure_detector.evaluate(self.now, 1e9 + self.now, True, reaches_all_peers).to_delete:
            self.workers.pop(machine.name, None)
            if answered:
                self.cluster.remove_machine(machine, self.now)

    @rule(seconds=st.sampled_from([5.0, 30.0]))
    def pause_leader(self, seconds):
        """The leader resumes after a pause with a valid lease."""
        self.now += seconds
        self.failure_detector.leading_since = self.now

    @rule()
    def deliver_delayed_report(self):
        if self.delayed_reports:
            report = self.delayed_reports.pop(0)
            worker = self.workers.get(report.machine)
            if worker is not None:
                self.deliver(worker, report, False)

    @rule(name=st.sampled_from(["vm-0", "vm-1", "vm-2", "vm-3"]), exit_reason=st.sampled_from(["done", "error"]))
    def finish_task(self, name, exit_reason):
        worker = self.workers.get(name)
        for key, state in list(worker.tasks.items()) if worker else []:
            if state == "running":
                worker.tasks[key] = exit_reason
                break

    @rule(name=st.sampled_from(["vm-0", "vm-1", "vm-2", "vm-3"]))
    def expire_worker_lease(self, name):
        worker = self.workers.get(name)
        if worker is not None:
            worker.tasks.clear()
            worker.session += 1

    @rule(name=st.sampled_from(["vm-2", "vm-3"]))
    def delete_machine(self, name):
        worker = self.workers.pop(name, None)
        if worker is not None and name in self.cluster.machines:
            self.cluster.remove_machine(self.cluster.machines[name], self.now)

    @rule(data=st.data())
    def cancel_job(self, data):
        if self.committed_records:
            ref = data.draw(st.sampled_from(sorted(self.committed_records)))
            _, record = self.committed_records[ref]
            if record.state == "o":
                copy = records.decode(records.encode(record))
                copy.state = "c"
                apply_record(self.cluster, ref, self.commit_record(ref, copy), copy, self.now)

    @rule()
    def fail_over(self):
        self.term = worker_messages.term_after(self.term)
        self.start_term()

    @invariant()
    def quota_usage_is_consistent(self):
        for team in ("red", "blue"):
            held = [t for j in self.cluster.jobs.values() for t in j.active.values() if j.spec.team == team]
            assert abs(self.cluster.quota.used[team].gpus - sum(t.job.spec.gpus for t in held)) < 1e-6
            running_gpus = sum(
                2.0
                for o in self.workers.values()
                for (t, _), s in o.tasks.items()
                if s == "running" and self.committed_records[t.partition("/")[0]][1].spec.team == team
            )
            assert running_gpus <= 10.0
        for job in self.cluster.jobs.values():
            for task in job.active.values():
                assert task.machine.tasks[job.ref, task.index] is task

    @invariant()
    def running_tasks_respect_constraints(self):
        running: dict[str, list[FakeWorker]] = {}
        for worker in self.workers.values():
            for (task, _), state in worker.tasks.items():
                if state == "running":
                    running.setdefault(task.partition("/")[0], []).append(worker)
        for ref, where in running.items():
            job = self.committed_records[ref][1].spec
            assert job.spot or not any(o.spot for o in where)
            if job.one_zone:
                assert len({o.zone for o in where}) == 1
            if job.spread:
                assert all([o.zone for o in where].count(z) <= (job.tasks + 1) // 2 for z in "ab")


TestClusterStateMachine = ClusterStateMachine.TestCase
TestClusterStateMachine.settings = hsettings(max_examples=150, stateful_step_count=50, deadline=None, derandomize=True)


def gang_on_shared_machine(tasks: int) -> tuple[ClusterState, FakeWorker, FakeWorker]:
    """A gang with two members on vm-0 and a third one, if any, on vm-2; its starts are committed, but not sent."""
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 2)
    first, second = FakeWorker("vm-0", "a", False), FakeWorker("vm-2", "a", False)
    for worker in (first, second):
        worker.token = 2
        reconcile_report(cluster, worker.report(), 0.0)
    record = records.new_record(spec("wk-1", kind=Kind.GANG, tasks=tasks, gpus=2.0), 0.0)
    job = apply_record(cluster, "wk-1", 11, record, 0.0)
    assert job is not None
    places = [(0, cluster.machines["vm-0"]), (1, cluster.machines["vm-0"]), (2, cluster.machines["vm-2"])][:tasks]
    assert cluster.propose_placement(job, places, 0.0)
    apply_commit(cluster, job, 12, build_job_record(job), 0.0)
    return cluster, first, second


def test_a_gang_found_broken_after_a_failover_releases_both_members_on_one_machine():
    """Members of large gangs share machines. The report that showed the loss of one raised an error for the other."""
    before, first, second = gang_on_shared_machine(3)
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 2)
    apply_record(cluster, "wk-1", 12, build_job_record(before.jobs["wk-1"]), 0.0)
    second.tasks["wk-1/2", 1] = "running"
    for worker in (first, second, first):
        assert reconcile_report(cluster, worker.report(), 1.0) is not None
    assert cluster.jobs["wk-1"].gang_broken and not cluster.machines["vm-0"].tasks
    assert [t.index for t in cluster.jobs["wk-1"].active.values()] == [2]


def test_deleting_a_machine_releases_both_unsent_gang_members_on_it():
    cluster, _, _ = gang_on_shared_machine(2)
    cluster.remove_machine(cluster.machines["vm-0"], 1.0)
    assert not cluster.jobs["wk-1"].active and cluster.quota.used["red"].gpus == 0


def test_every_task_state_can_end_and_gone_is_final():
    for state in TaskState:
        if state is TaskState.GONE:
            for event in TaskEvent:
                try:
                    next_state(state, event)
                except InvalidTransition:
                    continue
                raise AssertionError(f"GONE allows {event}")
        else:
            assert (state, TaskEvent.MACHINE_GONE) in TRANSITIONS


def test_a_start_is_sent_only_after_its_commit():
    assert next_state(TaskState.COMMITTED, TaskEvent.SEND) is TaskState.SENT
    for state in TaskState:
        if state is not TaskState.COMMITTED:
            assert (state, TaskEvent.SEND) not in TRANSITIONS


def test_a_leader_may_not_act_once_its_lease_may_have_expired():
    leadership = Leadership()
    leadership.move(RoleEvent.CAMPAIGN)
    leadership.move(RoleEvent.WON)
    leadership.extend_lease(100.0, 3.0)
    assert leadership.has_valid_lease(102.0) and not leadership.has_valid_lease(103.0)
    leadership.move(RoleEvent.OVERDUE)
    assert leadership.role is Role.LEASE_IN_DOUBT and not leadership.has_valid_lease(101.0)
    leadership.move(RoleEvent.RENEWED)
    assert leadership.has_valid_lease(101.0)
    leadership.move(RoleEvent.LOST)
    leadership.move(RoleEvent.RENEWED)
    assert leadership.role is Role.FOLLOWER


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), min_size=1, max_size=14), st.permutations(range(4)))
def test_assignments_beyond_a_teams_limit_are_not_restarted_by_a_new_leader(places, order):
    """Records may assign more than the limit allows: a task had left its machine and its quota was given to another
    job, but all nodes stopped before its own record was updated. Tasks that don't run are restarted only up to the
    limit; running ones keep running."""
    cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 2)
    limit = int(cluster.quota.teams["red"].gpus_max)
    running = [n for n, (_, runs) in enumerate(places) if runs][:limit]
    for n, (machine, _) in enumerate(places):
        record = records.JobRecord(
            submitted_at=0.0,
            spec=spec(f"wk-{n}", tasks=1, gpus=1.0, team="red"),
            next_attempt=2,
            assignments=[(f"vm-{machine}", 1, "0")],
        )
        apply_record(cluster, f"wk-{n}", 5, record, 0.0)
    started: set[str] = set()
    for seq in (1, 2):
        for machine in order:
            listed = [
                worker_messages.TaskReport(f"wk-{n}/0", 1, worker_messages.Phase.RUNNING)
                for n, (m, _) in enumerate(places)
                if m == machine and (n in running or f"wk-{n}/0" in started)
            ]
            report = worker_messages.Report(
                machine=f"vm-{machine}",
                addr="10.0.0.1:1",
                type="g4",
                zone="a",
                spot=False,
                session=1,
                seq=seq,
                token=2,
                tasks=listed,
            )
            reconcile_report(cluster, report, float(seq))
            known_machine = cluster.machines.get(f"vm-{machine}")
            for command in due_commands(known_machine, report, float(seq)) if known_machine is not None else ():
                assert command.op == "run"
                started.add(command.task)
            assert len(started | {f"wk-{n}/0" for n in running}) <= limit
    assert {t.name for j in cluster.jobs.values() for t in j.active.values()} == started | {
        f"wk-{n}/0" for n in running
    }
    assert len(started) + len(running) == min(limit, len(places))
