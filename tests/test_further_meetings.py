"""Overlapping faults, second part: generated runs with two teams, gangs and image fetches, and hand-written runs.

Each section holds one course of events from the operators' page. The checks are those of `test_meetings`. A function
named `course` schedules the events; its name is part of the seed of the run.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable

import pytest
from meeting import FaultRun
from troubles import FAULTS, FURTHER_FAULTS, close_looks, on_each_new_leader, send_to_all_nodes, small_jobs

from standins.network import Cut, Delayed, Message

PAIRS = list(itertools.combinations_with_replacement(FURTHER_FAULTS, 2)) + list(
    itertools.product(FURTHER_FAULTS, FAULTS)
)


@pytest.mark.parametrize("one,other", PAIRS[::6], ids=lambda fault: fault.__name__)
def test_no_rule_is_broken_when_a_further_fault_overlaps_another(one, other):
    assert FaultRun((one, other), 0, multi_team=True).find_violations() == []


# -- requests to all nodes within milliseconds -------------------------------------------------


@pytest.mark.parametrize("answers", ["slow", "lost", "delayed commits", "as usual"])
@pytest.mark.parametrize("node", ["stands still", "is just back", "is sound"])
def test_no_node_answers_with_an_older_state_than_an_answer_milliseconds_before(answers, node):
    def course(run: FaultRun, delay_s: float) -> None:
        close_looks(run, 20.0)
        for n in range(12):
            run.submit(8.0 + 2.5 * n, f"wk-{100 + n}", pieces=1 + n % 2, gpus=0.5)
            if n % 3 == 0:
                # Cancelled at once, at another node than the one that accepted it.
                run.cancel_job(8.05 + 2.5 * n, f"wk-{100 + n}")
        run.schedule(
            9.0, 30.0, lambda: _set_fault_share(run, answers, 0.4), lambda: _set_fault_share(run, answers, 0.0)
        )
        for n in range(5):
            if node == "stands still":
                host = run.simulation.nodes[f"node-{n % 3}"][0]
                run.simulation.later(10.0 + 5 * n, setattr, host, "steps_left", 40 + 7 * n)
                run.simulation.later(12.0 + 5 * n, host.resume)
            elif node == "is just back":
                run.crash_node(10.0 + 5 * n, lambda n=n: f"node-{n % 3}", 0.05)  # type: ignore[misc]

    run = FaultRun((course,), 1, job_count=2)
    assert run.find_violations() == []
    # Enough requests for the check to be meaningful.
    assert sum(len(answer.ref) > 0 for answer in run.simulation.history) > 500


def _set_fault_share(run: FaultRun, kind: str, share: float) -> None:
    if kind == "slow":
        run.slow_answers = share
    elif kind == "lost":
        run.lost_answers = share
    elif kind == "delayed commits":
        run.late_writes = share


def test_the_checks_find_stale_answers_of_a_cache_that_is_not_refreshed(monkeypatch):
    """Without a refresh sent after the request came, a node answers with what it has cached."""
    from winglift.store.read_cache import ReadCache

    async def get_without_refresh(self, ref):  # type: ignore[no-untyped-def]
        if ref not in self._known:
            item = await self.state.get("job/" + ref)
            return None if item is None else self.add_record(ref, item.version, _decode(item.value))
        return self._known[ref][1]

    from winglift.model.records import decode as _decode

    monkeypatch.setattr(ReadCache, "get", get_without_refresh)
    assert any("ended at" in violation for violation in FaultRun((close_looks,), 1, multi_team=True).find_violations())


# -- a transaction is carried out, but its answer is lost --------------------------------------


def lose_commit_answers(number: int = 3, reads: str = "answered") -> tuple[FaultRun, list[str]]:
    """Lose the answer to each fourteenth transaction; returns the run and the nodes that missed an answer.

    The transactions are of elections, intent log records, submissions, starts, ends and cancellations. `number`: which
    of fourteen loses its answer.
    """
    dropped: list[str] = []

    def course(run: FaultRun, delay_s: float) -> None:
        answer_count = 0
        default_watch = run.simulation.net.watch

        def watch(message: Message):  # type: ignore[no-untyped-def]
            nonlocal answer_count
            if message.what == "answer POST /commit":
                answer_count += 1
                if answer_count % 14 == number:
                    dropped.append(message.target)
                    return "drop"
            elif (
                reads == "lost too"
                and message.what.startswith("answer GET /store/")
                and dropped
                and answer_count % 3 == 0
            ):
                return Delayed(1.0)
            return default_watch(message)

        run.simulation.net.watch = watch
        for n in range(8):
            run.submit(1.0 + 2.0 * n, f"wk-{100 + n}", pieces=2)
        run.cancel_job(9.0, "wk-102")
        run.crash_node(14.0, run.leader_name, 0.4)
        run.crash_node(24.0, run.leader_name, 3.0)

    return FaultRun((course,), number, job_count=2), dropped


@pytest.mark.parametrize("number", range(14))
@pytest.mark.parametrize("reads", ["answered", "lost too"])
def test_no_rule_is_broken_when_only_the_answer_to_a_transaction_is_lost(number, reads):
    run, dropped = lose_commit_answers(number, reads)
    assert run.find_violations() == [] and dropped


# -- every team at its quota -------------------------------------------------------------------


def change_leader_at_quota(
    machines: str = "hang", after_s: float = 2.0, duration_s: float = 45.0, outdated_reports: bool = False
) -> FaultRun:
    """Both teams are at their quotas, jobs on unreachable machines are cancelled, and the leader crashes twice.

    `machines`: in which way they are unreachable, from 24 s on for `duration_s`. `outdated_reports`: as each new leader
    begins, every node receives reports that the machines sent before they had any task.
    """

    def course(run: FaultRun, delay_s: float) -> None:
        for n in range(14):
            run.submit(1.0 + 0.2 * n, f"wk-{100 + n}", pieces=4, owner=run.teams[n % 2])
        if outdated_reports:
            run.schedule(
                0.0, 15.0, lambda: setattr(run, "report_captures", 1.0), lambda: setattr(run, "report_captures", 0.0)
            )
            for delay in (0.0, 0.06, 0.5, 1.5):
                on_each_new_leader(
                    run,
                    lambda delay=delay: run.simulation.later(delay, send_to_all_nodes, run, _latest_idle_reports(run)),
                )
        run.simulation.later(24.0, begin, run)
        run.crash_node(24.0 + after_s, run.leader_name, 3.0)
        run.crash_node(24.0 + after_s + 6.0, run.leader_name, 0.4)

    def begin(run: FaultRun) -> None:
        used = Counter(run.simulation.jobs[task.ref].spec["owner"] for task in run.simulation.tasks_on_machines())
        assert used["team"] == used["crew"] == 24  # both quotas are used up
        cancelled = ("wk-100", "wk-101", "wk-102", "wk-103")
        names = sorted({task.machine for task in run.simulation.tasks_on_machines() if task.ref in cancelled})
        restore = _make_unreachable(run, names, machines)
        for ref in cancelled:
            run.cancel_job(0.05, ref)
        run.schedule(0.0, duration_s, lambda: None, restore)

    return FaultRun((course,), 1, multi_team=True, job_count=0, run_s=150.0)


def _make_unreachable(run: FaultRun, names: list[str], how: str) -> Callable[[], None]:
    """Make these machines unreachable or silent until the returned function is called."""
    nodes = [f"node-{i}" for i in range(3)]
    hosts = [run.simulation._hosts[name] for name in names] if how == "hang" else []
    for host in hosts:
        host.suspend()
    cuts = []
    if how in ("are cut off", "don't hear"):
        cuts += [Cut(node, name, False) for node in nodes for name in names]
    if how in ("are cut off", "reach nobody"):
        cuts += [Cut(name, node, False) for node in nodes for name in names]
    run.simulation.net.cuts += cuts

    def restore() -> None:
        for host in hosts:
            host.resume()
        for cut in cuts:
            run.simulation.net.heal(cut)

    return restore


def _latest_idle_reports(run: FaultRun) -> list[tuple[str, bytes]]:
    """Each machine's latest captured report without a task."""
    return list(
        {machine: (machine, body) for machine, body in run.captured_reports if b'"pieces": []' in body}.values()
    )


@pytest.mark.parametrize("machines", ["hang", "are cut off", "don't hear", "reach nobody"])
@pytest.mark.parametrize("after_s", [0.1, 2.0, 12.0])
@pytest.mark.parametrize("duration_s", [8.0, 45.0])
def test_cancelled_jobs_run_on_unreachable_machines_while_all_quota_is_used(machines, after_s, duration_s):
    run = change_leader_at_quota(machines, after_s, duration_s)
    assert run.find_violations() == []
    assert {"wk-100", "wk-101"} <= run.simulation.cancel_confirmed_at.keys()


@pytest.mark.parametrize("machines", ["hang", "are cut off", "don't hear"])
def test_outdated_reports_free_no_quota_of_a_cancelled_job(machines):
    run = change_leader_at_quota(machines, 2.0, 45.0, outdated_reports=True)
    assert len(_latest_idle_reports(run)) > 5 and run.find_violations() == []


# -- cancelled during a change of leader -------------------------------------------------------


@pytest.mark.parametrize("how", ["ends", "is cut off", "hands over", "stands still", "all roll"])
@pytest.mark.parametrize("asked", ["the old leader", "another"])
@pytest.mark.parametrize("offset", [-0.05, 0.0, 0.4, 2.0, 4.5])
def test_jobs_are_cancelled_during_a_change_of_leader(how, asked, offset):
    def course(run: FaultRun, delay_s: float) -> None:
        for n in range(6):
            run.submit(1.0 + 0.2 * n, f"wk-{100 + n}", pieces=3)
        # These are started during the change.
        for n in range(6, 12):
            run.submit(23.0 + 0.3 * n - 1.8, f"wk-{100 + n}", pieces=1)
        run.simulation.later(24.0, change, run)

    def change(run: FaultRun) -> None:
        old_leader = run.leader_name()
        number = int(old_leader[-1]) if asked == "the old leader" else (int(old_leader[-1]) + 1) % 3
        for n in range(0, 12, 2):
            run.simulation.later(max(0.0, 0.1 + offset + 0.03 * n), run.cancel_job_at_node, number, f"wk-{100 + n}")
            run.cancel_job(max(0.0, 0.1 + offset + 0.03 * n) + 1.0, f"wk-{100 + n}")
        if how == "ends":
            run.crash_node(0.1, lambda: old_leader, 3.0)
        elif how == "all roll":
            for n in range(3):
                run.crash_node(0.1 + 1.5 * n, lambda n=n: f"node-{n}", 0.4)  # type: ignore[misc]
        elif how == "stands still":
            host = run.simulation.nodes[old_leader][0]
            run.schedule(0.1, 5.0, host.suspend, host.resume)
        elif how == "is cut off":
            others = [f"node-{i}" for i in range(3) if f"node-{i}" != old_leader] + ["services"]
            run.cut_links(0.1, 14.0, lambda: [p for o in others for p in ((old_leader, o), (o, old_leader))], True)
        else:
            host, node = run.simulation.nodes[old_leader]
            run.simulation.later(0.1, lambda: host.run(node.election.resign("hands over")))

    run = FaultRun((course,), 2, multi_team=True, job_count=0, run_s=60.0)
    assert run.find_violations() == []
    assert len(run.simulation.cancel_confirmed_at) >= 6


# -- fast boots, delayed writes, and the leader crashes ----------------------------------------


def change_leader_with_fast_boots(boot_s: float = 0.3, writes: str = "late", after_s: float = 1.2) -> FaultRun:
    """Twelve jobs come within 1.2 s, machines boot in `boot_s`, the leader crashes after `after_s` and 4 s later."""

    def course(run: FaultRun, delay_s: float) -> None:
        run.simulation.cloud.type.update(bootS=boot_s)
        for n in range(12):
            run.submit(18.0 + 0.1 * n, f"wk-{100 + n}", pieces=4, owner=run.teams[n % 2])
        share = {"late": "late_writes", "answers lost": "lost_answers", "slow": "slow_answers"}[writes]
        run.schedule(18.3, 12.0, lambda: setattr(run, share, 0.5), lambda: setattr(run, share, 0.0))
        run.crash_node(18.3 + after_s, run.leader_name, 3.0)
        run.crash_node(18.3 + after_s + 4.0, run.leader_name, 0.05)
        run.faults_end_at += 12.0

    return FaultRun((course,), 3, multi_team=True, job_count=0, run_s=40.0)


@pytest.mark.parametrize("boot_s", [0.3, 2.0])
@pytest.mark.parametrize("writes", ["late", "answers lost", "slow"])
@pytest.mark.parametrize("after_s", [0.5, 1.2, 2.5, 3.5, 5.0])
def test_new_machines_get_tasks_while_writes_are_delayed_and_the_leader_crashes(boot_s, writes, after_s):
    assert change_leader_with_fast_boots(boot_s, writes, after_s).find_violations() == []


# -- outdated reports at every node as a leader takes over -------------------------------------


@pytest.mark.parametrize("age", ["of the session", "of an earlier session", "of an earlier attempt"])
@pytest.mark.parametrize("moments", ["before the records", "before its first report", "later"])
def test_an_outdated_report_reaches_every_node_as_a_leader_takes_over(age, moments):
    """Each copy is from a time when the machine had no tasks, or other tasks than now."""

    def course(run: FaultRun, delay_s: float) -> None:
        for n in range(4):
            run.submit(1.0, f"wk-{100 + n}", pieces=3)
        run.schedule(
            0.0, 24.0, lambda: setattr(run, "report_captures", 1.0), lambda: setattr(run, "report_captures", 0.0)
        )
        if age == "of an earlier session":
            # Unanswered for so long, all workers begin a new session.
            nodes = [f"node-{i}" for i in range(3)]
            run.cut_links(
                25.0, 14.0, lambda: [(node, name) for node in nodes for name in sorted(run.simulation._hosts)], False
            )
        elif age == "of an earlier attempt":
            run.simulation.later(25.0, run.simulation.die, 2)
        run.crash_node(45.0, run.leader_name, 3.0)
        delay = {"before the records": 0.0, "before its first report": 0.06, "later": 1.5}[moments]
        on_each_new_leader(
            run,
            lambda: run.simulation.later(
                delay, send_to_all_nodes, run, _latest_idle_reports(run) + run.captured_reports[-60:]
            ),
        )

    run = FaultRun((course,), 4, multi_team=True, job_count=0, run_s=40.0)
    assert run.captured_reports and run.find_violations() == []


# -- one-task jobs, four a second --------------------------------------------------------------


def test_all_one_task_jobs_end_at_four_a_second_with_a_quarter_cancelled():
    run = FaultRun((small_jobs, close_looks), 5, multi_team=True, job_count=0)
    assert run.find_violations() == []
    ended = run.simulation.ended
    small = [ref for ref in run.refs if run.simulation.jobs[ref].spec["pieces"] == 1]
    assert len(small) == 120 and all(ref in ended for ref in small)


def test_the_record_of_a_one_task_job_is_written_three_times():
    """When the job is accepted, started and done; nothing else is written of it."""
    written: Counter[str] = Counter()

    def course(run: FaultRun, delay_s: float) -> None:
        apply = run.simulation.state.apply

        def count_writes(changes):  # type: ignore[no-untyped-def]
            written.update(c["write"][len("job/") :] for c in changes if c.get("write", "").startswith("job/"))
            return apply(changes)

        run.simulation.state.apply = count_writes  # type: ignore[method-assign]
        for n in range(80):
            run.submit(8.0 + n / 4, f"wk-{100 + n}", pieces=1, gpus=0.25, cpus=1.0)

    run = FaultRun((course,), 6, job_count=0)
    assert run.find_violations() == []
    done = [ref for ref in run.refs if run.simulation.ended.get(ref) == "done"]
    assert len(done) > 50 and {written[ref] for ref in done} == {3}
