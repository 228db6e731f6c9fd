"""A generated day in simulated time on which troubles meet, and the troubles: for tests that judge what came of it."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from standins.history import (
    contradictions,
    tasks_waiting_below_quota,
    unanswered_jobs,
    underserved_groups,
    wrongly_accepted,
)
from standins.network import Cut, Delayed, Message, SentMessage
from standins.simulation import JOB, Simulation

GPUS_MAX = 24.0  # of each team
FIRST_S, SPREAD_S = 18.0, 45.0  # when troubles begin
SERVICE = {"shape": "daemon", "urgency": "production", "expectedS": 0.0, "loaner": False}
SHAPES: list[dict[str, Any]] = [{}, {}, {"hall": "a"}, {"samePlace": True}, {"apart": True}, SERVICE, {"loaner": False}]
GANG = {"shape": "ensemble", "urgency": "urgent", "snapshotEveryS": 10.0, "snapshotS": 1.0}
WIDE_SHAPES = [*SHAPES, GANG, {**GANG, "samePlace": True}, {"urgency": "idle"}]

Trouble = Callable[["Meeting", float], None]


class Meeting:
    """A day of some jobs on which troubles meet. Everything follows from the seed and the troubles' names.

    `wide`: two teams, gangs, and images that take their time. `jobs`: how many come by themselves.
    `run_s`: how long tasks run, if not as the seed says. `record`: is told of each message that left its host.
    """

    def __init__(
        self,
        troubles: tuple[Trouble, ...],
        seed: int,
        wide: bool = False,
        jobs: int = 10,
        run_s: float | None = None,
        record: Callable[[SentMessage], None] = lambda sent: None,
    ) -> None:
        self.rng = random.Random(f"{tuple(t.__name__ for t in troubles)}/{seed}")
        self.wide = wide
        self.teams = ("team", "crew") if wide else ("team",)
        drawn_s = self.rng.choice([12.0, 40.0, 150.0])
        self.simulation = simulation = Simulation(
            3,
            seed,
            boot_s=6.0,
            cloud_list_lag_s=3.0,
            gpus_max=GPUS_MAX,
            run_s=drawn_s if run_s is None else run_s,
            teams=self.teams,
            simulates_fetches=wide,
        )
        self.over = 0.0  # when the last trouble ends
        self.late_writes = self.late_reports = self.held_commands = 0.0  # shares
        self.lost_answers = self.slow_answers = self.kept_reports = 0.0  # the same, for the further troubles
        self.command_delay_s = (1.0, 9.0)
        self.reports: list[tuple[str, bytes]] = []  # copies kept for the next leader: machine, body
        simulation.state.late_s = self._late_write
        simulation.net.watch = self._watch
        simulation.net.record = record
        simulation.start_all()
        simulation.loop.run(3.0)
        self.refs: list[str] = []
        for n in range(jobs):
            shape = self.rng.choice(WIDE_SHAPES if wide else SHAPES)
            ref = f"wk-90{n}" if shape is SERVICE else f"wk-{n}"
            at = self.rng.uniform(0.0, 14.0) if n < 6 else self.rng.uniform(15.0, 70.0)
            self.submit(at, ref, pieces=self.rng.choice([1, 2, 3, 6]), **shape)
        for trouble in troubles:
            trouble(self, FIRST_S + self.rng.random() * SPREAD_S)
        for n, ref in enumerate(self.refs):
            if n % 3 == 0:
                self._cancel(FIRST_S + self.rng.random() * (SPREAD_S + 25.0), ref)
        simulation.loop.call_soon(self._poll, context=simulation.net.network_context)
        simulation.loop.run(max(self.over, FIRST_S + SPREAD_S + 25.0))
        self.over = simulation.loop.now
        self.left: set[str] = self._left()  # tasks that have waited beside room at each look
        while simulation.loop.now < self.over + 95.0:
            simulation.loop.run(simulation.loop.now + 5.0)
            self.left &= self._left()

    # -- what happens --------------------------------------------------------------------------

    def submit(self, after_s: float, ref: str, **changes: Any) -> None:
        """A user submits a job then."""
        self.refs.append(ref)
        if self.wide:
            changes = {
                "owner": self.rng.choice(self.teams),
                "bundle": f"img-{self.rng.randrange(3)}",
                "pullGb": 2.0,
                **changes,
            }
        self.simulation.later(after_s, partial(self.simulation.submit, ref, **changes))

    def _poll(self) -> None:
        for ref in self.refs:
            if ref in self.simulation.accepted and ref not in self.simulation.ended:
                self.simulation.poll(ref)
        known = sorted(self.simulation.accepted)
        if known:
            # A submission that is repeated, whatever has become of the job, and a cancellation of one that is done.
            ref = self.rng.choice(known)
            self.simulation.send_once(self.rng.randrange(3), "POST", "/work", self.simulation.jobs[ref].spec)
            if self.simulation.ended.get(ref) == "done":
                self.simulation.send_once(self.rng.randrange(3), "POST", f"/work/{ref}/abort", {})
        for ref in ("wk-77", "wk-78"):  # nobody has submitted the first; the second lacks a field
            self.simulation.send_once(self.rng.randrange(3), "GET", f"/work/{ref}")
        self.simulation.send_once(self.rng.randrange(3), "POST", "/work", {"ref": "wk-78", "jobClass": "c"})
        self.simulation.send_once(self.rng.randrange(3), "POST", "/work", {"ref": "wk-79", **JOB, "gpus": 64.0})
        self.simulation.later(5.0, self._poll)

    def _cancel(self, at: float, ref: str) -> None:
        """Its user calls it off, and a copy of that reaches another node."""
        self.simulation.later(at, self._call_off, ref)
        self.simulation.later(at + self.rng.choice([0.0, 0.05, 4.0]), self._copy_cancel, self.rng.randrange(3), ref)

    def _call_off(self, ref: str) -> None:
        if ref in self.simulation.accepted:
            self.simulation.poll(ref, True)
        elif self.simulation.loop.now < self.over:
            self.simulation.later(2.0, self._call_off, ref)

    def _copy_cancel(self, number: int, ref: str) -> None:
        if ref in self.simulation.accepted:
            self.simulation.send_once(number, "POST", f"/work/{ref}/abort", {})

    def _late_write(self) -> float | None:
        return self.rng.uniform(2.0, 12.0) if self.rng.random() < self.late_writes else None

    def _watch(self, message: Message) -> str | float | Delayed | None:
        if message.what == "POST /v1/report" and self.rng.random() < self.late_reports:
            return self.rng.uniform(2.0, 25.0)
        if message.what == "POST /v1/report" and self.kept_reports and self.rng.random() < self.kept_reports:
            self.reports.append((message.source, message.body))
        if "POST /commands" in message.what and self.rng.random() < self.held_commands:
            self.simulation.later(self.rng.uniform(*self.command_delay_s), self._release)
            return "hold"
        if message.what == "answer POST /commit" and self.lost_answers and self.rng.random() < self.lost_answers:
            return "drop"
        if message.source == "services" and self.slow_answers and self.rng.random() < self.slow_answers:
            return Delayed(self.rng.uniform(0.1, 1.4))
        return None

    def _release(self) -> None:
        if self.simulation.net.held_messages:
            self.simulation.net.held_messages.pop(0)()

    def lasts(self, at: float, for_s: float, begin: Callable[[], object], end: Callable[[], object]) -> None:
        self.simulation.later(at, begin)
        self.simulation.later(at + for_s, end)
        self.over = max(self.over, at + for_s + self.simulation.loop.now)

    def cuts(self, at: float, for_s: float, pairs: Callable[[], list[tuple[str, str]]], hold: bool) -> None:
        made: list[Cut] = []

        def begin() -> None:
            made.extend(Cut(a, b, hold) for a, b in pairs())
            self.simulation.net.cuts += made

        self.lasts(at, for_s, begin, lambda: [self.simulation.net.heal(cut) for cut in made])

    def crash(self, at: float, who: Callable[[], str | None], back_s: float) -> None:
        ended: list[str] = []

        def begin() -> None:
            name = who()
            if name in self.simulation.nodes:
                ended.append(name)
                self.simulation.crash(name)

        self.lasts(
            at,
            back_s,
            begin,
            lambda: [self.simulation.start(int(n[-1])) for n in ended if n not in self.simulation.nodes],
        )

    def leads(self) -> str:
        found = self.simulation.state.keys.get("leader")
        return found[0]["node"] if found else "node-0"

    def some_machines(self, part: float = 0.3) -> list[str]:
        names = sorted(w.entry["ref"] for w in self.simulation.cloud.workers())
        return self.rng.sample(names, max(1, int(len(names) * part))) if names else []

    # -- the verdict ---------------------------------------------------------------------------

    def _left(self) -> set[str]:
        return tasks_waiting_below_quota(
            {r: j for r, j in self.simulation.jobs.items() if r in self.simulation.accepted},
            self.simulation.ended,
            self.simulation.tasks_on_machines(unreported=True),
            GPUS_MAX,
        )

    def breaks(self) -> list[str]:
        simulation = self.simulation
        found = list(simulation.rule_violations) + contradictions(simulation.history)
        found += unanswered_jobs(
            simulation.history,
            [r for r in simulation.accepted if r not in simulation.ended],
            self.over,
            simulation.loop.now,
        )
        found += [f"left waiting: {sorted(self.left)}"] if self.left else []
        # Cancelled jobs that never began are left out, as the users' own count does.
        counted = [
            (j.spec["jobClass"], j.spec["owner"], j.spec["gpus"] * j.spec["pieces"], j.accepted, j.began)
            for j in simulation.jobs.values()
            if j.accepted is not None and (j.cancel_confirmed_at is None or j.began < math.inf)
        ]
        found += [f"served by less than half: {name}" for name in underserved_groups(counted)]
        found += wrongly_accepted(simulation.history, ["wk-77", "wk-78", "wk-79"])
        found += [f"no leader at {simulation.loop.now:.0f}"] if simulation.leader() is None else []
        return found
