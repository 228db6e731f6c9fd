"""A generated run in simulated time: users submit and cancel jobs while faults overlap.

The faults are the functions of `troubles.py`. Tests check that `find_violations` returns nothing after the run.
"""

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

GPUS_MAX = 24.0  # quota of each team
FIRST_FAULT_S, FAULT_SPREAD_S = 18.0, 45.0  # each fault begins FIRST_FAULT_S to FIRST_FAULT_S + FAULT_SPREAD_S later
# Fields in which generated jobs differ from the default job.
SERVICE_JOB = {"shape": "daemon", "urgency": "production", "expectedS": 0.0, "loaner": False}
JOB_VARIANTS: list[dict[str, Any]] = [
    {},
    {},
    {"hall": "a"},
    {"samePlace": True},
    {"apart": True},
    SERVICE_JOB,
    {"loaner": False},
]
GANG_JOB = {"shape": "ensemble", "urgency": "urgent", "snapshotEveryS": 10.0, "snapshotS": 1.0}
MULTI_TEAM_JOB_VARIANTS = [*JOB_VARIANTS, GANG_JOB, {**GANG_JOB, "samePlace": True}, {"urgency": "idle"}]

# Schedules a fault that begins after this many simulated seconds.
Fault = Callable[["FaultRun", float], None]


class FaultRun:
    """Three nodes, some generated jobs, and faults that overlap; the constructor performs the whole run.

    The random choices follow from the seed and from the `__name__` of each fault, so renaming a fault changes them.

    `multi_team`: two teams instead of one, gangs among the jobs, and image fetches that take time.
    `job_count`: number of generated jobs. `run_s`: run time of the tasks, drawn if None.
    `on_sent`: called with each message that has left its host.
    """

    def __init__(
        self,
        faults: tuple[Fault, ...],
        seed: int,
        multi_team: bool = False,
        job_count: int = 10,
        run_s: float | None = None,
        on_sent: Callable[[SentMessage], None] = lambda sent: None,
    ) -> None:
        self.rng = random.Random(f"{tuple(t.__name__ for t in faults)}/{seed}")
        self.multi_team = multi_team
        self.teams = ("team", "crew") if multi_team else ("team",)
        drawn_run_s = self.rng.choice([12.0, 40.0, 150.0])
        self.simulation = simulation = Simulation(
            3,
            seed,
            boot_s=6.0,
            cloud_list_lag_s=3.0,
            gpus_max=GPUS_MAX,
            run_s=drawn_run_s if run_s is None else run_s,
            teams=self.teams,
            simulates_fetches=multi_team,
        )
        self.faults_end_at = 0.0  # when the last fault ends, in simulated seconds
        # Shares of messages that a fault affects while it lasts: transactions that are carried out late and not
        # answered, reports of which a copy arrives later, and direct commands that are held for `command_delay_s`.
        self.late_writes = self.report_copies = self.held_commands = 0.0
        # Transactions whose answer is lost, slow answers of the state service and the cloud, and captured reports.
        self.lost_answers = self.slow_answers = self.report_captures = 0.0
        self.command_delay_s = (1.0, 9.0)
        self.captured_reports: list[tuple[str, bytes]] = []  # machine and body, to be sent again to later leaders
        simulation.state.late_s = self._draw_write_delay
        simulation.net.watch = self._intercept
        simulation.net.record = on_sent
        simulation.start_all()
        simulation.loop.run(3.0)
        self.refs: list[str] = []
        for n in range(job_count):
            variant = self.rng.choice(MULTI_TEAM_JOB_VARIANTS if multi_team else JOB_VARIANTS)
            ref = f"wk-90{n}" if variant is SERVICE_JOB else f"wk-{n}"
            delay_s = self.rng.uniform(0.0, 14.0) if n < 6 else self.rng.uniform(15.0, 70.0)
            self.submit(delay_s, ref, pieces=self.rng.choice([1, 2, 3, 6]), **variant)
        for fault in faults:
            fault(self, FIRST_FAULT_S + self.rng.random() * FAULT_SPREAD_S)
        for n, ref in enumerate(self.refs):
            if n % 3 == 0:
                self.cancel_job(FIRST_FAULT_S + self.rng.random() * (FAULT_SPREAD_S + 25.0), ref)
        simulation.loop.call_soon(self._poll_jobs, context=simulation.net.network_context)
        simulation.loop.run(max(self.faults_end_at, FIRST_FAULT_S + FAULT_SPREAD_S + 25.0))
        self.faults_end_at = simulation.loop.now
        # Tasks that could have started at every check since the faults ended.
        self.starved_tasks: set[str] = self._startable_tasks()
        while simulation.loop.now < self.faults_end_at + 95.0:
            simulation.loop.run(simulation.loop.now + 5.0)
            self.starved_tasks &= self._startable_tasks()

    # -- jobs, requests and faults -------------------------------------------------------------

    def submit(self, after_s: float, ref: str, **changes: Any) -> None:
        """Schedule the submission of a job with these fields changed."""
        self.refs.append(ref)
        if self.multi_team:
            changes = {
                "owner": self.rng.choice(self.teams),
                "bundle": f"img-{self.rng.randrange(3)}",
                "pullGb": 2.0,
                **changes,
            }
        self.simulation.later(after_s, partial(self.simulation.submit, ref, **changes))

    def _poll_jobs(self) -> None:
        for ref in self.refs:
            if ref in self.simulation.accepted and ref not in self.simulation.ended:
                self.simulation.poll(ref)
        accepted_refs = sorted(self.simulation.accepted)
        if accepted_refs:
            # Repeat the submission of a job in any state, and cancel one that is done.
            ref = self.rng.choice(accepted_refs)
            self.simulation.send_once(self.rng.randrange(3), "POST", "/work", self.simulation.jobs[ref].spec)
            if self.simulation.ended.get(ref) == "done":
                self.simulation.send_once(self.rng.randrange(3), "POST", f"/work/{ref}/abort", {})
        # wk-77 is never submitted, the submission of wk-78 lacks fields, and wk-79 can never run.
        for ref in ("wk-77", "wk-78"):
            self.simulation.send_once(self.rng.randrange(3), "GET", f"/work/{ref}")
        self.simulation.send_once(self.rng.randrange(3), "POST", "/work", {"ref": "wk-78", "jobClass": "c"})
        self.simulation.send_once(self.rng.randrange(3), "POST", "/work", {"ref": "wk-79", **JOB, "gpus": 64.0})
        self.simulation.later(5.0, self._poll_jobs)

    def cancel_job(self, delay_s: float, ref: str) -> None:
        """Schedule a cancellation by the user, and a copy of the request to a random node."""
        self.simulation.later(delay_s, self._cancel_once_accepted, ref)
        self.simulation.later(
            delay_s + self.rng.choice([0.0, 0.05, 4.0]), self.cancel_job_at_node, self.rng.randrange(3), ref
        )

    def _cancel_once_accepted(self, ref: str) -> None:
        if ref in self.simulation.accepted:
            self.simulation.poll(ref, True)
        elif self.simulation.loop.now < self.faults_end_at:
            self.simulation.later(2.0, self._cancel_once_accepted, ref)

    def cancel_job_at_node(self, number: int, ref: str) -> None:
        """Send one cancellation to the node of this number, if the job is accepted."""
        if ref in self.simulation.accepted:
            self.simulation.send_once(number, "POST", f"/work/{ref}/abort", {})

    def _draw_write_delay(self) -> float | None:
        return self.rng.uniform(2.0, 12.0) if self.rng.random() < self.late_writes else None

    def _intercept(self, message: Message) -> str | float | Delayed | None:
        """Decide what happens to a message under the active faults; see `Network.watch`."""
        if message.what == "POST /v1/report" and self.rng.random() < self.report_copies:
            return self.rng.uniform(2.0, 25.0)
        if message.what == "POST /v1/report" and self.report_captures and self.rng.random() < self.report_captures:
            self.captured_reports.append((message.source, message.body))
        if "POST /commands" in message.what and self.rng.random() < self.held_commands:
            self.simulation.later(self.rng.uniform(*self.command_delay_s), self._release_held_message)
            return "hold"
        if message.what == "answer POST /commit" and self.lost_answers and self.rng.random() < self.lost_answers:
            return "drop"
        if message.source == "services" and self.slow_answers and self.rng.random() < self.slow_answers:
            return Delayed(self.rng.uniform(0.1, 1.4))
        return None

    def _release_held_message(self) -> None:
        if self.simulation.net.held_messages:
            self.simulation.net.held_messages.pop(0)()

    def schedule(
        self, delay_s: float, duration_s: float, begin: Callable[[], object], end: Callable[[], object]
    ) -> None:
        """Call `begin` after `delay_s` and `end` `duration_s` later; the run lasts until then at least."""
        self.simulation.later(delay_s, begin)
        self.simulation.later(delay_s + duration_s, end)
        self.faults_end_at = max(self.faults_end_at, delay_s + duration_s + self.simulation.loop.now)

    def cut_links(
        self, delay_s: float, duration_s: float, pairs: Callable[[], list[tuple[str, str]]], hold: bool
    ) -> None:
        """Cut the one-way links that `pairs` returns when the fault begins; `hold`: deliver messages afterwards."""
        added_cuts: list[Cut] = []

        def begin() -> None:
            added_cuts.extend(Cut(a, b, hold) for a, b in pairs())
            self.simulation.net.cuts += added_cuts

        self.schedule(delay_s, duration_s, begin, lambda: [self.simulation.net.heal(cut) for cut in added_cuts])

    def crash_node(self, delay_s: float, choose_node: Callable[[], str | None], restart_after_s: float) -> None:
        """Crash the node that `choose_node` returns when the fault begins, and start it again."""
        crashed: list[str] = []

        def begin() -> None:
            name = choose_node()
            if name in self.simulation.nodes:
                crashed.append(name)
                self.simulation.crash(name)

        self.schedule(
            delay_s,
            restart_after_s,
            begin,
            lambda: [self.simulation.start(int(n[-1])) for n in crashed if n not in self.simulation.nodes],
        )

    def leader_name(self) -> str:
        """The node in the leader key of the state service."""
        leader_item = self.simulation.state.keys.get("leader")
        return leader_item[0]["node"] if leader_item else "node-0"

    def sample_machines(self, share: float = 0.3) -> list[str]:
        """Names of a random share of the running machines, one at least."""
        names = sorted(w.entry["ref"] for w in self.simulation.cloud.workers())
        return self.rng.sample(names, max(1, int(len(names) * share))) if names else []

    # -- checks --------------------------------------------------------------------------------

    def _startable_tasks(self) -> set[str]:
        """Tasks that wait although their team has quota left."""
        return tasks_waiting_below_quota(
            {r: j for r, j in self.simulation.jobs.items() if r in self.simulation.accepted},
            self.simulation.ended,
            self.simulation.tasks_on_machines(unreported=True),
            GPUS_MAX,
        )

    def find_violations(self) -> list[str]:
        """Every broken rule, as text; empty if none was."""
        simulation = self.simulation
        findings = list(simulation.rule_violations) + contradictions(simulation.history)
        findings += unanswered_jobs(
            simulation.history,
            [r for r in simulation.accepted if r not in simulation.ended],
            self.faults_end_at,
            simulation.loop.now,
        )
        findings += [f"left waiting: {sorted(self.starved_tasks)}"] if self.starved_tasks else []
        # Cancelled jobs that never started are not counted, as in the users' own count.
        counted_jobs = [
            (j.spec["jobClass"], j.spec["owner"], j.spec["gpus"] * j.spec["pieces"], j.accepted, j.began)
            for j in simulation.jobs.values()
            if j.accepted is not None and (j.cancel_confirmed_at is None or j.began < math.inf)
        ]
        findings += [f"served by less than half: {name}" for name in underserved_groups(counted_jobs)]
        findings += wrongly_accepted(simulation.history, ["wk-77", "wk-78", "wk-79"])
        findings += [f"no leader at {simulation.loop.now:.0f}"] if simulation.leader() is None else []
        return findings
