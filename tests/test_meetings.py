"""Two troubles and more that meet, generated: several nodes in simulated time, judged by all rules and by what the
operators check at the end of a day (`standins/history.py`)."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest

from standins.history import (
    Job,
    On,
    Told,
    contradictions,
    done_breaks,
    forgotten,
    left_waiting,
    served,
    start_breaks,
    wrongly_accepted,
)
from standins.scene import CANCEL_S, JOB, Scene
from standins.world import Cut, Message

GPUS_MAX = 24.0
FIRST_S, SPREAD_S = 18.0, 45.0  # when troubles begin
SERVICE = {"shape": "daemon", "urgency": "production", "expectedS": 0.0, "loaner": False}


class Meeting:
    """A day of some jobs on which troubles meet. Everything follows from the seed and the troubles' names."""

    def __init__(self, troubles: tuple[str, ...], seed: int) -> None:
        self.rng = random.Random(f"{troubles}/{seed}")
        self.scene = scene = Scene(3, seed, boot_s=6.0, lag_s=3.0, gpus_max=GPUS_MAX,
                                   run_s=self.rng.choice([12.0, 40.0, 150.0]))
        self.over = 0.0  # when the last trouble ends
        self.late_writes = self.late_reports = self.held_commands = 0.0  # shares
        scene.state.late_s = self._late_write
        scene.net.watch = self._watch
        scene.start_all()
        scene.loop.run(3.0)
        self.refs: list[str] = []
        for n in range(10):
            shape = self.rng.choice([{}, {}, {"hall": "a"}, {"samePlace": True}, {"apart": True}, SERVICE,
                                     {"loaner": False}])
            ref = f"wk-90{n}" if shape is SERVICE else f"wk-{n}"
            self.refs.append(ref)
            at = self.rng.uniform(0.0, 14.0) if n < 6 else self.rng.uniform(15.0, 70.0)
            scene.later(at, partial(scene.submit, ref, **{"pieces": self.rng.choice([1, 2, 3, 6]), **shape}))
        for name in troubles:
            TROUBLES[name](self, FIRST_S + self.rng.random() * SPREAD_S)
        for n, ref in enumerate(self.refs):
            if n % 3 == 0:
                self._cancel(FIRST_S + self.rng.random() * (SPREAD_S + 25.0), ref)
        scene.loop.call_soon(self._poll, context=scene.net.own)
        scene.loop.run(max(self.over, FIRST_S + SPREAD_S + 25.0))
        self.over = scene.loop.now
        self.left: set[str] = self._left()  # tasks that have waited beside room at each look
        while scene.loop.now < self.over + 95.0:
            scene.loop.run(scene.loop.now + 5.0)
            self.left &= self._left()

    # -- what happens --------------------------------------------------------------------------

    def _poll(self) -> None:
        for ref in self.refs:
            if ref in self.scene.accepted and ref not in self.scene.ended:
                self.scene.poll(ref)
        known = sorted(self.scene.accepted)
        if known:
            # A submission that is repeated, whatever has become of the job, and a cancellation of one that is done.
            ref = self.rng.choice(known)
            self.scene.copy(self.rng.randrange(3), "POST", "/work", self.scene.jobs[ref].spec)
            if self.scene.ended.get(ref) == "done":
                self.scene.copy(self.rng.randrange(3), "POST", f"/work/{ref}/abort", {})
        for ref in ("wk-77", "wk-78"):  # nobody has submitted the first; the second lacks a field
            self.scene.copy(self.rng.randrange(3), "GET", f"/work/{ref}")
        self.scene.copy(self.rng.randrange(3), "POST", "/work", {"ref": "wk-78", "jobClass": "c"})
        self.scene.copy(self.rng.randrange(3), "POST", "/work", {"ref": "wk-79", **JOB, "gpus": 64.0})
        self.scene.later(5.0, self._poll)

    def _cancel(self, at: float, ref: str) -> None:
        """Its user calls it off, and a copy of that reaches another node."""
        self.scene.later(at, self._call_off, ref)
        self.scene.later(at + self.rng.choice([0.0, 0.05, 4.0]), self._copy_cancel, self.rng.randrange(3), ref)

    def _call_off(self, ref: str) -> None:
        if ref in self.scene.accepted:
            self.scene.poll(ref, True)
        elif self.scene.loop.now < self.over:
            self.scene.later(2.0, self._call_off, ref)

    def _copy_cancel(self, number: int, ref: str) -> None:
        if ref in self.scene.accepted:
            self.scene.copy(number, "POST", f"/work/{ref}/abort", {})

    def _late_write(self) -> float | None:
        return self.rng.uniform(2.0, 12.0) if self.rng.random() < self.late_writes else None

    def _watch(self, message: Message) -> str | float | None:
        if message.what == "POST /v1/report" and self.rng.random() < self.late_reports:
            return self.rng.uniform(2.0, 25.0)
        if "POST /commands" in message.what and self.rng.random() < self.held_commands:
            self.scene.later(self.rng.uniform(1.0, 9.0), self._release)
            return "hold"
        return None

    def _release(self) -> None:
        if self.scene.net.kept:
            self.scene.net.kept.pop(0)()

    def lasts(self, at: float, for_s: float, begin: Callable[[], object], end: Callable[[], object]) -> None:
        self.scene.later(at, begin)
        self.scene.later(at + for_s, end)
        self.over = max(self.over, at + for_s + self.scene.loop.now)

    def cuts(self, at: float, for_s: float, pairs: Callable[[], list[tuple[str, str]]], hold: bool) -> None:
        made: list[Cut] = []

        def begin() -> None:
            made.extend(Cut(a, b, hold) for a, b in pairs())
            self.scene.net.cuts += made
        self.lasts(at, for_s, begin, lambda: [self.scene.net.mend(cut) for cut in made])

    def crash(self, at: float, who: Callable[[], str | None], back_s: float) -> None:
        ended: list[str] = []

        def begin() -> None:
            name = who()
            if name in self.scene.nodes:
                ended.append(name)
                self.scene.crash(name)
        self.lasts(at, back_s, begin, lambda: [self.scene.start(int(n[-1])) for n in ended
                                               if n not in self.scene.nodes])

    def leads(self) -> str:
        found = self.scene.state.keys.get("leader")
        return found[0]["node"] if found else "node-0"

    def some_machines(self, part: float = 0.3) -> list[str]:
        names = sorted(w.entry["ref"] for w in self.scene.cloud.workers())
        return self.rng.sample(names, max(1, int(len(names) * part))) if names else []

    # -- the verdict ---------------------------------------------------------------------------

    def _left(self) -> set[str]:
        return left_waiting({r: j for r, j in self.scene.jobs.items() if r in self.scene.accepted}, self.scene.ended,
                            self.scene.on(unreported=True), GPUS_MAX)

    def breaks(self) -> list[str]:
        scene = self.scene
        found = list(scene.broken) + contradictions(scene.history)
        found += forgotten(scene.history, [r for r in scene.accepted if r not in scene.ended], self.over,
                           scene.loop.now)
        found += [f"left waiting: {sorted(self.left)}"] if self.left else []
        # Cancelled jobs that never began are left out, as the users' own count does.
        counted = [(j.spec["jobClass"], j.spec["owner"], j.spec["gpus"] * j.spec["pieces"], j.accepted, j.began)
                   for j in scene.jobs.values() if j.accepted is not None
                   and (j.confirmed is None or j.began < math.inf)]
        found += [f"served by less than half: {name}" for name in served(counted)]
        found += wrongly_accepted(scene.history, ["wk-77", "wk-78", "wk-79"])
        found += [f"no leader at {scene.loop.now:.0f}"] if scene.leader() is None else []
        return found


# -- the troubles, in the order of the operators' page -----------------------------------------


def alone(m: Meeting, at: float) -> None:
    name: list[str] = []

    def begin() -> None:
        name.append(m.leads())
        m.scene.state.refused.add(name[0])
    m.lasts(at, m.rng.choice([2.0, 6.0, 14.0]), begin, lambda: m.scene.state.refused.clear())


def outage(m: Meeting, at: float) -> None:
    m.lasts(at, m.rng.choice([5.0, 15.0, 33.0, 45.0]), lambda: setattr(m.scene.state, "down", True),
            lambda: setattr(m.scene.state, "down", False))


def gap(m: Meeting, at: float) -> None:
    alone(m, at)
    outage(m, at + m.rng.choice([0.1, 0.6, 1.5, 3.2, 5.0]))
    for ref in m.refs[:4]:
        m._cancel(at + 0.05 + m.rng.random() * 1.5, ref)


def apart(m: Meeting, at: float) -> None:
    others = [f"node-{i}" for i in range(3)] + ["services"]
    m.cuts(at, m.rng.choice([8.0, 20.0, 40.0]), lambda: [pair for o in others if o != (lead := m.leads())
                                                         for pair in ((lead, o), (o, lead))], m.rng.random() < 0.5)


def zone(m: Meeting, at: float) -> None:
    side = m.rng.choice(["a", "b"])
    far = "b" if side == "a" else "a"
    m.cuts(at, m.rng.choice([8.0, 16.0, 30.0]),
           lambda: [pair for o in (f"@{far}", "services", "users") for pair in ((f"@{side}", o), (o, f"@{side}"))],
           m.rng.random() < 0.5)


def late_writes(m: Meeting, at: float) -> None:
    m.lasts(at, 20.0, lambda: setattr(m, "late_writes", 0.4), lambda: setattr(m, "late_writes", 0.0))
    m.over += 12.0


def late_reports(m: Meeting, at: float) -> None:
    m.lasts(at, 30.0, lambda: setattr(m, "late_reports", 0.5), lambda: setattr(m, "late_reports", 0.0))
    m.over += 25.0


def held_commands(m: Meeting, at: float) -> None:
    m.lasts(at, 30.0, lambda: setattr(m, "held_commands", 0.7), lambda: setattr(m, "held_commands", 0.0))
    m.over += 9.0


def deaf(m: Meeting, at: float) -> None:
    m.cuts(at, m.rng.choice([8.0, 30.0]), lambda: [(f"node-{i}", name) for name in m.some_machines()
                                                   for i in range(3)], False)


def mute(m: Meeting, at: float) -> None:
    m.cuts(at, m.rng.choice([8.0, 30.0]), lambda: [(name, f"node-{i}") for name in m.some_machines()
                                                   for i in range(3)], False)


def hang(m: Meeting, at: float) -> None:
    hosts: list = []

    def begin() -> None:
        hosts.extend(m.scene._hosts[name] for name in m.some_machines())
        for host in hosts:
            host.stand_still()
    m.lasts(at, m.rng.choice([4.0, 9.0, 30.0]), begin, lambda: [host.go_on() for host in hosts])


def die(m: Meeting, at: float) -> None:
    m.scene.later(at, m.scene.die, 2)
    m.over = max(m.over, m.scene.loop.now + at + 30.0)


def freeze(m: Meeting, at: float) -> None:
    hosts: list = []

    def begin() -> None:
        if m.leads() in m.scene.nodes:
            hosts.append(m.scene.nodes[m.leads()][0])
            hosts[0].stand_still()
    m.lasts(at, m.rng.choice([4.0, 14.0]), begin, lambda: [host.go_on() for host in hosts])


def crash(m: Meeting, at: float) -> None:
    m.crash(at, m.leads, m.rng.choice([0.05, 0.4, 3.0]))


def crash_all(m: Meeting, at: float) -> None:
    back = m.rng.choice([0.1, 3.0, 14.0])
    for n in range(3):
        m.crash(at + 0.05 * n, lambda n=n: f"node-{n}", back + 0.3 * n)  # type: ignore[misc]


def changes(m: Meeting, at: float) -> None:
    for n in range(6):
        m.crash(at + 4.5 * n, m.leads, m.rng.choice([0.05, 0.4, 3.0]))


def roll(m: Meeting, at: float) -> None:
    for n in range(3):
        m.crash(at + 5.0 * n, lambda n=n: f"node-{n}", 0.4)  # type: ignore[misc]


def cloud_down(m: Meeting, at: float) -> None:
    m.lasts(at, 10.0, lambda: setattr(m.scene.cloud, "down", True), lambda: setattr(m.scene.cloud, "down", False))


def at_end(m: Meeting, at: float) -> None:
    """Jobs are called off in the moment in which their last task ends."""
    changed = m.scene._changed

    def look(worker, what, piece):
        changed(worker, what, piece)
        ref = piece.partition("/")[0]
        if what == "done" and ref in m.refs and m.scene.jobs[ref].names() == m.scene.jobs[ref].done:
            m.scene.later(m.rng.choice([0.0, 0.01, 0.1]), m.scene.poll, ref, True)
            m._copy_cancel(m.rng.randrange(3), ref)
    m.scene._changed = look  # type: ignore[method-assign]


TROUBLES = {t.__name__: t for t in (alone, outage, gap, apart, zone, late_writes, late_reports, held_commands, deaf,
                                    mute, hang, die, freeze, crash, crash_all, changes, roll, cloud_down, at_end)}
PAIRS = list(itertools.combinations_with_replacement(TROUBLES, 2))


@pytest.mark.parametrize("one,other", PAIRS[::4])
def test_no_rule_breaks_when_two_troubles_meet(one, other):
    meeting = Meeting((one, other), 0)
    assert meeting.breaks() == []


# -- the checker -------------------------------------------------------------------------------


def test_each_rule_is_broken_by_a_history_of_its_own():
    job = Job({"ref": "wk-1", **JOB, "pieces": 2})
    jobs = {"wk-1": job, "wk-2": Job({"ref": "wk-2", **JOB, "gpus": 3.0})}
    start = On("wk-1/0", "vm-1", "a")

    def found(others: list[On] = [], **spec) -> list[str]:  # noqa: B006
        mine = Job({**job.spec, **spec}, confirmed=job.confirmed)
        return [b.partition(":")[0] for b in start_breaks(start, others, {**jobs, "wk-1": mine}, 4.0, CANCEL_S, 100.0)]
    assert found() == [] and found([On("wk-1/1", "vm-2", "b"), On("wk-2/0", "vm-2", "b")], gpus=0.5) == []
    assert found([On("wk-1/0", "vm-2", "b")]) == ["ran_twice"]
    assert found([On("wk-2/0", "vm-2", "b")], gpus=1.5) == ["quota"]
    assert found(hall="b") == ["wrong_place"]
    assert found([On("wk-1/1", "vm-2", "b")], samePlace=True) == ["wrong_place"]
    assert found([On("wk-1/1", "vm-2", "a")], apart=True) == ["wrong_place"]
    spot = replace(start, spot=True)
    assert start_breaks(spot, [], {"wk-1": Job({**job.spec, "loaner": False})}, 4.0, CANCEL_S, 0.0) != []
    assert start_breaks(start, [], {}, 4.0, CANCEL_S, 0.0) != []
    job.confirmed = 100.0 - CANCEL_S - 0.1
    assert found() == ["ran_cancelled"]
    job.confirmed = None
    assert done_breaks(job) != []
    job.done = job.names()
    assert done_breaks(job) == []


def test_each_check_at_the_end_of_a_day_finds_what_it_is_for():
    told = [Told("wk-1", "status", "n", t, t + 0.1, 200, "running") for t in (10.0, 60.0, 130.0)]
    assert forgotten(told, ["wk-1"], 0.0, 150.0) == [] and forgotten(told, ["wk-1"], 0.0, 210.0) != []
    assert forgotten(told, ["wk-2"], 0.0, 80.0) != [] and forgotten(told[:1], ["wk-1"], 0.0, 100.0) != []
    job = Job({"ref": "wk-1", **JOB, "pieces": 2}, done={"wk-1/0"})
    assert left_waiting({"wk-1": job}, [], [], 4.0) == {"wk-1/1"}
    assert left_waiting({"wk-1": job}, ["wk-1"], [], 4.0) == set()
    assert left_waiting({"wk-1": job}, [], [On("wk-1/1", "vm-1", "a")], 4.0) == set()
    big = Job({"ref": "wk-2", **JOB, "gpus": 4.0})
    assert left_waiting({"wk-1": job, "wk-2": big}, ["wk-2"], [On("wk-2/0", "vm-1", "a")], 4.0) == set()
    assert wrongly_accepted(told, ["wk-1"]) != [] and wrongly_accepted(told, ["wk-2"]) == []
