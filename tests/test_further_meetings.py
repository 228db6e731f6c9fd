"""The operators' further meetings: generated plays with two teams, gangs and image fetches, and one course for each of
those that they wrote out, step by step. Judged as in `test_meetings`."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable

import pytest
from meeting import Meeting
from troubles import FURTHER, TROUBLES, at_each_new_leader, close_looks, deliver_everywhere, small_jobs

from standins.network import Cut, Delayed, Message

PAIRS = list(itertools.combinations_with_replacement(FURTHER, 2)) + list(itertools.product(FURTHER, TROUBLES))


@pytest.mark.parametrize("one,other", PAIRS[::6], ids=lambda trouble: trouble.__name__)
def test_no_rule_breaks_when_a_further_trouble_meets_another(one, other):
    assert Meeting((one, other), 0, wide=True).breaks() == []


# -- asked at all nodes within milliseconds ----------------------------------------------------


@pytest.mark.parametrize("answers", ["slow", "lost", "delayed commits", "as usual"])
@pytest.mark.parametrize("node", ["stands still", "is just back", "is sound"])
def test_no_node_answers_older_than_what_was_told_milliseconds_before(answers, node):
    def course(m: Meeting, at: float) -> None:
        close_looks(m, 20.0)
        for n in range(12):
            m.submit(8.0 + 2.5 * n, f"wk-{100 + n}", pieces=1 + n % 2, gpus=0.5)
            if n % 3 == 0:
                # Called off at once, at another node than the one that has accepted it.
                m._cancel(8.05 + 2.5 * n, f"wk-{100 + n}")
        m.lasts(9.0, 30.0, lambda: _answers(m, answers, 0.4), lambda: _answers(m, answers, 0.0))
        for n in range(5):
            if node == "stands still":
                host = m.simulation.nodes[f"node-{n % 3}"][0]
                m.simulation.later(10.0 + 5 * n, setattr, host, "steps_left", 40 + 7 * n)
                m.simulation.later(12.0 + 5 * n, host.resume)
            elif node == "is just back":
                m.crash(10.0 + 5 * n, lambda n=n: f"node-{n % 3}", 0.05)  # type: ignore[misc]

    meeting = Meeting((course,), 1, jobs=2)
    assert meeting.breaks() == []
    assert sum(len(told.ref) > 0 for told in meeting.simulation.history) > 500  # it was looked at closely


def _answers(m: Meeting, what: str, share: float) -> None:
    if what == "slow":
        m.slow_answers = share
    elif what == "lost":
        m.lost_answers = share
    elif what == "delayed commits":
        m.late_writes = share


def test_a_stale_answer_would_be_seen(monkeypatch):
    """Without the look that is sent after the question, a node tells what it knew."""
    from winglift.store.read_cache import ReadCache

    async def known(self, ref):  # type: ignore[no-untyped-def]
        if ref not in self._known:
            item = await self.state.get("job/" + ref)
            return None if item is None else self.note(ref, item.version, _decode(item.value))
        return self._known[ref][1]

    from winglift.model.records import decode as _decode

    monkeypatch.setattr(ReadCache, "get", known)
    assert any("over since" in found for found in Meeting((close_looks,), 1, wide=True).breaks())


# -- a transaction is carried out at once, only its answer is lost ------------------------------


def small_transactions(number: int = 3, reads: str = "answered") -> tuple[Meeting, list[str]]:
    """A course of elections, duty pages, submissions, starts, ends and cancellations in which the answer to each
    fourteenth transaction is lost, and which nodes missed one."""
    dropped: list[str] = []

    def course(m: Meeting, at: float) -> None:
        seen = 0
        usual = m.simulation.net.watch

        def watch(message: Message):  # type: ignore[no-untyped-def]
            nonlocal seen
            if message.what == "answer POST /commit":
                seen += 1
                if seen % 14 == number:
                    dropped.append(message.target)
                    return "drop"
            elif reads == "lost too" and message.what.startswith("answer GET /store/") and dropped and seen % 3 == 0:
                return Delayed(1.0)
            return usual(message)

        m.simulation.net.watch = watch
        for n in range(8):
            m.submit(1.0 + 2.0 * n, f"wk-{100 + n}", pieces=2)
        m._cancel(9.0, "wk-102")
        m.crash(14.0, m.leads, 0.4)
        m.crash(24.0, m.leads, 3.0)

    return Meeting((course,), number, jobs=2), dropped


@pytest.mark.parametrize("number", range(14))
@pytest.mark.parametrize("reads", ["answered", "lost too"])
def test_a_transaction_whose_answer_alone_is_lost(number, reads):
    meeting, dropped = small_transactions(number, reads)
    assert meeting.breaks() == [] and dropped


# -- every team at its limit -------------------------------------------------------------------


def full_at_a_change(machines: str = "hang", after_s: float = 2.0, for_s: float = 45.0, old: bool = False) -> Meeting:
    """Both teams are at their limits, jobs are called off whose machines can't be told, and the leader ends twice.

    `old`: reports from before these machines had any task reach every node as each new leader begins.
    """

    def course(m: Meeting, at: float) -> None:
        for n in range(14):
            m.submit(1.0 + 0.2 * n, f"wk-{100 + n}", pieces=4, owner=m.teams[n % 2])
        if old:
            m.lasts(0.0, 15.0, lambda: setattr(m, "kept_reports", 1.0), lambda: setattr(m, "kept_reports", 0.0))
            for delay in (0.0, 0.06, 0.5, 1.5):
                at_each_new_leader(m, lambda delay=delay: m.simulation.later(delay, deliver_everywhere, m, _idle(m)))
        m.simulation.later(24.0, begin, m)
        m.crash(24.0 + after_s, m.leads, 3.0)
        m.crash(24.0 + after_s + 6.0, m.leads, 0.4)

    def begin(m: Meeting) -> None:
        used = Counter(m.simulation.jobs[task.ref].spec["owner"] for task in m.simulation.tasks_on_machines())
        assert used["team"] == used["crew"] == 24  # at their limits
        called_off = ("wk-100", "wk-101", "wk-102", "wk-103")
        names = sorted({task.machine for task in m.simulation.tasks_on_machines() if task.ref in called_off})
        heal = _out_of_reach(m, names, machines)
        for ref in called_off:
            m._cancel(0.05, ref)
        m.lasts(0.0, for_s, lambda: None, heal)

    return Meeting((course,), 1, wide=True, jobs=0, run_s=150.0)


def _out_of_reach(m: Meeting, names: list[str], how: str) -> Callable[[], None]:
    """Nobody can tell these machines anything, or nobody hears them, until the returned function is called."""
    nodes = [f"node-{i}" for i in range(3)]
    hosts = [m.simulation._hosts[name] for name in names] if how == "hang" else []
    for host in hosts:
        host.suspend()
    cuts = []
    if how in ("are cut off", "don't hear"):
        cuts += [Cut(node, name, False) for node in nodes for name in names]
    if how in ("are cut off", "reach nobody"):
        cuts += [Cut(name, node, False) for node in nodes for name in names]
    m.simulation.net.cuts += cuts

    def heal() -> None:
        for host in hosts:
            host.resume()
        for cut in cuts:
            m.simulation.net.heal(cut)

    return heal


def _idle(m: Meeting) -> list[tuple[str, bytes]]:
    """Of the reports that were kept, each machine's latest without a task."""
    return list({machine: (machine, body) for machine, body in m.reports if b'"pieces": []' in body}.values())


@pytest.mark.parametrize("machines", ["hang", "are cut off", "don't hear", "reach nobody"])
@pytest.mark.parametrize("after_s", [0.1, 2.0, 12.0])
@pytest.mark.parametrize("for_s", [8.0, 45.0])
def test_every_team_is_at_its_limit_and_cancelled_jobs_run_where_nobody_is_told(machines, after_s, for_s):
    meeting = full_at_a_change(machines, after_s, for_s)
    assert meeting.breaks() == []
    assert {"wk-100", "wk-101"} <= meeting.simulation.cancel_confirmed_at.keys()


@pytest.mark.parametrize("machines", ["hang", "are cut off", "don't hear"])
def test_reports_from_before_they_had_work_free_no_place_of_a_cancelled_job(machines):
    meeting = full_at_a_change(machines, 2.0, 45.0, old=True)
    assert len(_idle(meeting)) > 5 and meeting.breaks() == []


# -- cancelled as one controller's work changes hands -------------------------------------------


@pytest.mark.parametrize("how", ["ends", "is cut off", "hands over", "stands still", "all roll"])
@pytest.mark.parametrize("asked", ["the old leader", "another"])
@pytest.mark.parametrize("offset", [-0.05, 0.0, 0.4, 2.0, 4.5])
def test_jobs_are_cancelled_in_the_seconds_in_which_work_changes_hands(how, asked, offset):
    def course(m: Meeting, at: float) -> None:
        for n in range(6):
            m.submit(1.0 + 0.2 * n, f"wk-{100 + n}", pieces=3)
        # Starts are on their way in these seconds too.
        for n in range(6, 12):
            m.submit(23.0 + 0.3 * n - 1.8, f"wk-{100 + n}", pieces=1)
        m.simulation.later(24.0, change, m)

    def change(m: Meeting) -> None:
        old = m.leads()
        number = int(old[-1]) if asked == "the old leader" else (int(old[-1]) + 1) % 3
        for n in range(0, 12, 2):
            m.simulation.later(max(0.0, 0.1 + offset + 0.03 * n), m._copy_cancel, number, f"wk-{100 + n}")
            m._cancel(max(0.0, 0.1 + offset + 0.03 * n) + 1.0, f"wk-{100 + n}")
        if how == "ends":
            m.crash(0.1, lambda: old, 3.0)
        elif how == "all roll":
            for n in range(3):
                m.crash(0.1 + 1.5 * n, lambda n=n: f"node-{n}", 0.4)  # type: ignore[misc]
        elif how == "stands still":
            host = m.simulation.nodes[old][0]
            m.lasts(0.1, 5.0, host.suspend, host.resume)
        elif how == "is cut off":
            others = [f"node-{i}" for i in range(3) if f"node-{i}" != old] + ["services"]
            m.cuts(0.1, 14.0, lambda: [p for o in others for p in ((old, o), (o, old))], True)
        else:
            host, node = m.simulation.nodes[old]
            m.simulation.later(0.1, lambda: host.run(node.election.resign("hands over")))

    meeting = Meeting((course,), 2, wide=True, jobs=0, run_s=60.0)
    assert meeting.breaks() == []
    assert len(meeting.simulation.cancel_confirmed_at) >= 6


# -- machines up at once, writes lag, the leader ends -------------------------------------------


def quick_machines_at_a_change(boot_s: float = 0.3, writes: str = "late", after_s: float = 1.2) -> Meeting:
    """Twelve jobs come at once, machines are up `boot_s` after their rental; the leader ends after `after_s`."""

    def course(m: Meeting, at: float) -> None:
        m.simulation.cloud.type.update(bootS=boot_s)
        for n in range(12):
            m.submit(18.0 + 0.1 * n, f"wk-{100 + n}", pieces=4, owner=m.teams[n % 2])
        share = {"late": "late_writes", "answers lost": "lost_answers", "slow": "slow_answers"}[writes]
        m.lasts(18.3, 12.0, lambda: setattr(m, share, 0.5), lambda: setattr(m, share, 0.0))
        m.crash(18.3 + after_s, m.leads, 3.0)
        m.crash(18.3 + after_s + 4.0, m.leads, 0.05)
        m.over += 12.0

    return Meeting((course,), 3, wide=True, jobs=0, run_s=40.0)


@pytest.mark.parametrize("boot_s", [0.3, 2.0])
@pytest.mark.parametrize("writes", ["late", "answers lost", "slow"])
@pytest.mark.parametrize("after_s", [0.5, 1.2, 2.5, 3.5, 5.0])
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(boot_s, writes, after_s):
    assert quick_machines_at_a_change(boot_s, writes, after_s).breaks() == []


# -- an old report at every controller as a leader begins --------------------------------------


@pytest.mark.parametrize("age", ["of the session", "of an earlier session", "of an earlier attempt"])
@pytest.mark.parametrize("moments", ["before the records", "before its first report", "later"])
def test_an_old_report_reaches_every_controller_as_a_leader_begins(age, moments):
    """Each copy is of a time when the machine had other tasks than now: none, or those that it has long lost."""

    def course(m: Meeting, at: float) -> None:
        for n in range(4):
            m.submit(1.0, f"wk-{100 + n}", pieces=3)
        m.lasts(0.0, 24.0, lambda: setattr(m, "kept_reports", 1.0), lambda: setattr(m, "kept_reports", 0.0))
        if age == "of an earlier session":
            # Long enough without an answer: all workers begin a new session.
            nodes = [f"node-{i}" for i in range(3)]
            m.cuts(25.0, 14.0, lambda: [(node, name) for node in nodes for name in sorted(m.simulation._hosts)], False)
        elif age == "of an earlier attempt":
            m.simulation.later(25.0, m.simulation.die, 2)
        m.crash(45.0, m.leads, 3.0)
        delay = {"before the records": 0.0, "before its first report": 0.06, "later": 1.5}[moments]
        at_each_new_leader(m, lambda: m.simulation.later(delay, deliver_everywhere, m, _idle(m) + m.reports[-60:]))

    meeting = Meeting((course,), 4, wide=True, jobs=0, run_s=40.0)
    assert meeting.reports and meeting.breaks() == []


# -- one-task jobs, four a second --------------------------------------------------------------


def test_one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled():
    meeting = Meeting((small_jobs, close_looks), 5, wide=True, jobs=0)
    assert meeting.breaks() == []
    ended = meeting.simulation.ended
    small = [ref for ref in meeting.refs if meeting.simulation.jobs[ref].spec["pieces"] == 1]
    assert len(small) == 120 and all(ref in ended for ref in small)


def test_a_one_task_job_costs_three_changes():
    """Accepted, started, done: nothing else is written of it."""
    written: Counter[str] = Counter()

    def course(m: Meeting, at: float) -> None:
        apply = m.simulation.state.apply

        def count(changes):  # type: ignore[no-untyped-def]
            written.update(c["write"][len("job/") :] for c in changes if c.get("write", "").startswith("job/"))
            return apply(changes)

        m.simulation.state.apply = count  # type: ignore[method-assign]
        for n in range(80):
            m.submit(8.0 + n / 4, f"wk-{100 + n}", pieces=1, gpus=0.25, cpus=1.0)

    meeting = Meeting((course,), 6, jobs=0)
    assert meeting.breaks() == []
    done = [ref for ref in meeting.refs if meeting.simulation.ended.get(ref) == "done"]
    assert len(done) > 50 and {written[ref] for ref in done} == {3}
