"""A deployment in simulated time: nodes, state service, cloud with its workers, and users.

While it runs, it checks the protocol's rules and collects every violation.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from winglift.config import settings as settings_module
from winglift.duties import intent_record
from winglift.net.client import Reply, Unanswered
from winglift.node import Node

from . import cloud, state
from .__main__ import TEMPLATE
from .history import Job, TaskOnMachine, UserAnswer, acceptance_time, done_violations, start_violations
from .network import Host, Network
from .worker import ON_MACHINE, Worker

HOUR = 3600.0
CANCEL_S = 35.0
JOB = {
    "jobClass": "c",
    "owner": "team",
    "shape": "array",
    "urgency": "normal",
    "pieces": 2,
    "cpus": 8.0,
    "gpus": 1.0,
    "memGb": 8.0,
    "bundle": "img",
    "pullGb": 0.1,
    "samePlace": False,
    "apart": False,
    "loaner": True,
    "expectedS": 20.0,
    "snapshotEveryS": 0.0,
    "snapshotS": 0.0,
    "dueS": None,
}


class Simulation:
    """A deployment of `count` nodes, alternately in zones a and b.

    A run is determined by the seed and by what the test does.
    """

    def __init__(
        self,
        count: int = 3,
        seed: int = 0,
        boot_s: float = 20.0,
        run_s: float = 20.0,
        cloud_list_lag_s: float = 3.0,
        report_s: float = 1.0,
        capacity: int = 100,
        gpus_max: float = 400.0,
        teams: tuple[str, ...] = ("team",),
        simulates_fetches: bool = False,
    ) -> None:
        self.net = Network(seed)
        self.loop = self.net.loop
        self.addresses = [f"10.0.0.{i + 1}" for i in range(count)]
        self.rule_violations: list[str] = []  # violations of the rules
        self.nodes: dict[str, tuple[Host, Node]] = {}
        self.accepted: set[str] = set()
        self.ended: dict[str, str] = {}  # job: the final status that a user was told
        self.jobs: dict[str, Job] = {}  # submitted jobs and their progress
        self.gpus_max = gpus_max
        self._ended_at: dict[str, float] = {}  # job: when a user was first told its final status
        self.cancel_confirmed_at: dict[str, float] = {}  # job: when a user was first told that it is cancelled
        # Tasks that started after that. No rule forbids this by itself: a start may already be on its way.
        self.starts_after_cancellation: list[str] = []
        self.history: list[UserAnswer] = []  # every answer that a user got
        self.services = Host(self.net, "services", "")
        self.users = Host(self.net, "users", "")
        self.state, controllers = (
            state.StateService(),
            [(f"node-{i}", f"{a}:8080") for i, a in enumerate(self.addresses)],
        )
        self.cloud = cloud.Cloud(controllers, lambda task: HOUR if task.startswith("wk-90") else run_s)
        self.cloud.type.update(bootS=boot_s, halls=["a", "b"])
        self.cloud.capacity, self.cloud.list_lag_s = capacity, cloud_list_lag_s
        self.cloud.report_s, self.cloud.lease_s = report_s, 10.0
        self.cloud.start_on_host = self._start_worker
        if simulates_fetches:  # fetching an image takes time, and the tasks of a gang wait for one another
            self.cloud.type["pullGbPerS"] = 1.0
            self.cloud.describe_job = lambda ref: self.jobs[ref].spec if ref in self.jobs else None
        self._deletion_intended_at: dict[str, float] = {}  # machine: when its deletion was first recorded
        self._hosts: dict[str, Host] = {}  # machine: its host
        self._cloud_delete = self.cloud.delete
        self.cloud.delete = self._checked_delete  # type: ignore[method-assign]
        self._state_apply = self.state.apply
        self.state.apply = self._checked_apply  # type: ignore[method-assign]
        self._request_count = 0
        self._settings = (
            TEMPLATE.replace("report_s = 0.2", f"report_s = {report_s}")
            .replace("lease_s = 3.0", "lease_s = 10.0")
            .replace("cancel_s = 10.0", f"cancel_s = {CANCEL_S}")
            .replace("list_lag_s = 0.1", f"list_lag_s = {cloud_list_lag_s}")
            .replace("nodes = 1", f"nodes = {count}")
            .replace("gpus = 8.0", "gpus = 40.0")
            .replace("gpus_max = 16.0", f"gpus_max = {gpus_max}")
        )
        team_block = self._settings[
            self._settings.index("[[settings.teams]]") : self._settings.index("[settings.workers]")
        ]
        self._settings = self._settings.replace(
            team_block, "".join(team_block.replace('name = "team"', f'name = "{team}"') for team in teams)
        )
        self.services.context.run(self.services.serve, state.application(self.state), "10.1.0.1", 80)
        self.services.context.run(self.services.serve, cloud.application(self.cloud), "10.1.0.2", 80)

    # -- hosts ---------------------------------------------------------------------------------

    def start(self, number: int, drift: float = 0.0, skew_s: float = 0.0) -> Node:
        """Start a node, or start it again."""
        name = f"node-{number}"
        settings_text = (
            self._settings.replace('"node-0"', f'"{name}"')
            .replace('zone = "a"', f'zone = "{"ab"[number % 2]}"')
            .replace("127.0.0.1:{cloud}", "10.1.0.2:80")
            .replace("127.0.0.1:{state}", "10.1.0.1:80")
            .replace("127.0.0.1:{port}", f"{self.addresses[number]}:8080")
            .replace("127.0.0.1:{back}", f"{self.addresses[number]}:8081")
        )
        settings_text += "".join(
            f'\n[[seeds]]\nnode = "node-{i}"\nzone = "{"ab"[i % 2]}"\naddr = "{a}:8081"\n'
            for i, a in enumerate(self.addresses)
            if i != number
        )
        host = Host(self.net, name, "ab"[number % 2], drift, skew_s)
        node = host.context.run(Node, settings_module.parse(settings_text))
        self.nodes[name] = host, node
        host.run(node.run())
        return node

    def start_all(self) -> None:
        """Start all nodes, with the largest allowed clock differences.

        Monotonic clocks drift apart by up to 0.05%, wall clocks differ by up to `skew_ms`.
        """
        for number in range(len(self.addresses)):
            clock_offset = number / max(1, len(self.addresses) - 1) - 0.5
            self.start(number, 0.0005 * clock_offset, 0.05 * clock_offset)

    def later(self, seconds: float, callback: Callable[..., object], *args: Any) -> None:
        """Call something after `seconds`, independently of any host's state.

        In the context of the calling host, the callback would be lost if that host crashed.
        """
        self.loop.call_later(seconds, callback, *args, context=self.net.network_context)

    def crash(self, name: str) -> None:
        self.nodes.pop(name)[0].crash()

    def leader(self) -> str | None:
        """The leader according to the state service, once it has loaded all records; otherwise None."""
        leader_key = self.state.keys.get("leader")
        name = leader_key[0]["node"] if leader_key else None
        node = self.nodes[name][1] if name in self.nodes else None
        return name if node is not None and node.leader_term is not None and node.leader_term.loaded else None

    def _start_worker(self, entry: dict[str, Any], start: Callable[[], None]) -> None:
        worker = self.cloud.machines[entry["ref"]][1]
        assert worker is not None
        number = int(entry["ref"][3:])
        entry["endpoint"] = f"10.2.{number // 250}.{number % 250 + 1}:9000"
        worker.on_task_change = self._changed
        host = self._hosts[entry["ref"]] = Host(self.net, entry["ref"], entry["hall"])
        worker.is_suspended = lambda: host.suspended_callbacks is not None
        # The worker counts its lease from now, on the clock of its new host.
        worker.last_answer_at = host.monotonic_time()
        self.loop.call_soon(start, context=host.context)

    def die(self, count: int) -> list[str]:
        """Fail the first `count` running machines by name, with everything on them."""
        names = sorted(name for name, (_, w, _) in self.cloud.machines.items() if w is not None)[:count]
        for name in names:
            worker = self.cloud.machines[name][1]
            assert worker is not None
            worker.kill()
            self._hosts[name].crash()
            self.cloud.machines[name][0]["status"] = "failed"
        return names

    # -- users ---------------------------------------------------------------------------------

    async def _ask(self, method: str, path: str, body: dict[str, Any] | None, deadline: float) -> dict[str, Any] | None:
        """Send a request, with a retry at another node after each failure, as users do."""
        while self.loop.now < deadline:
            self._request_count += 1
            asked = self.loop.now
            reply = await self._ask_once(self.addresses[self._request_count % len(self.addresses)], method, path, body)
            if reply is not None and reply.status in (200, 201):
                return {**json.loads(reply.body), "asked": asked}
            if reply is not None and self.is_wrongly_refused(method, path, reply.status, asked):
                self.rule_violations.append(f"forgotten: {method} {path} got {reply.status} {reply.body[:80]!r}")
            await asyncio.sleep(1.0)
        return None

    def is_wrongly_refused(self, method: str, path: str, status: int, asked: float) -> bool:
        """Whether a response refuses a valid job. A 404 is right for one that was not accepted before the request."""
        if status != 404 or (method, path) == ("POST", "/work"):
            return status in (400, 404, 422)
        ref = path.split("/")[2]
        return acceptance_time(answer for answer in self.history if answer.ref == ref) <= asked

    async def _ask_once(self, address: str, method: str, path: str, body: dict[str, Any] | None) -> Reply | None:
        """Send a request to one node, without a retry, and add the answer to the history."""
        asked_at = self.loop.now
        ref = (body or {}).get("ref") or path.split("/")[2]
        request_type = "status" if method == "GET" else "cancel" if path.endswith("/abort") else "submit"
        try:
            data = json.dumps(body).encode() if body is not None else None
            reply = await self.users.client(address, 8080).request(method, path, data, 5.0)
        except Unanswered:
            # Recorded as well: a cancellation whose answer was lost may still have been carried out.
            self.history.append(UserAnswer(ref, request_type, address, asked_at, self.loop.now, 0))
            return None
        status = json.loads(reply.body)["status"] if reply.status in (200, 201) else ""
        self.history.append(UserAnswer(ref, request_type, address, asked_at, self.loop.now, reply.status, status))
        if status == "aborted" and ref not in self.cancel_confirmed_at:
            self.cancel_confirmed_at[ref] = self.loop.now
            if ref in self.jobs:
                self.jobs[ref].cancel_confirmed_at = self.loop.now
            self.later(CANCEL_S + 0.001, self._check_tasks_stopped, ref)
        return reply

    def send_once(self, number: int, method: str, path: str, body: dict[str, Any] | None = None) -> None:
        """Send a copy of a user's request to this node, without a retry; its answer goes into the history."""
        self.users.run(self._ask_once(self.addresses[number], method, path, body))

    def submit(self, ref: str, **changes: Any) -> None:
        """Submit a job, with retries for 60 s; `changes` replace fields of `JOB`."""
        spec = {"ref": ref, **JOB, **changes}
        self.jobs[ref] = Job(spec)

        async def ask() -> None:
            if await self._ask("POST", "/work", spec, self.loop.now + 60.0) is not None:
                self.accepted.add(ref)
                self.jobs[ref].accepted = self.loop.now

        self.users.run(ask())

    def poll(self, ref: str, cancel: bool = False) -> None:
        """Ask for a job's status, or cancel it, and check the answer against those that came before."""

        async def ask() -> None:
            answer = await (
                self._ask("POST", f"/work/{ref}/abort", {}, self.loop.now + 30.0)
                if cancel
                else self._ask("GET", f"/work/{ref}", None, self.loop.now + 10.0)
            )
            if answer is None:
                return
            earlier_status = self.ended.get(ref)
            if (
                earlier_status is not None
                and answer["status"] != earlier_status
                and answer["asked"] > self._ended_at[ref]
            ):
                self.rule_violations.append(f"went_back: {ref} was {earlier_status}, now {answer['status']}")
            if answer["status"] in ("done", "aborted"):
                if answer["status"] == "done" and ref not in self.ended:
                    self.rule_violations += done_violations(self.jobs[ref])
                self.ended[ref] = answer["status"]
                self._ended_at.setdefault(ref, self.loop.now)

        self.users.run(ask())

    def run_until_ended(self, refs: list[str], timeout_s: float = 300.0) -> bool:
        """Poll until users have been told a final status of each job; return whether that happened in time."""
        deadline = self.loop.now + timeout_s
        while self.loop.now < deadline and not all(r in self.ended for r in refs):
            for ref in refs:
                if ref in self.accepted and ref not in self.ended:
                    self.poll(ref)
            self.loop.run(self.loop.now + 2.0)
        return all(r in self.ended for r in refs)

    # -- checks of the rules -------------------------------------------------------------------

    def tasks_on_machines(self, unreported: bool = False) -> list[TaskOnMachine]:
        """All tasks on machines, as the workers see them.

        With `unreported`, includes tasks whose time is over, but whose worker has not reported their end yet.
        """
        return [
            TaskOnMachine(name, w.entry["ref"], w.entry["hall"], w.entry["loaner"])
            for w in self.cloud.workers()
            for (name, _), task in w.tasks.items()
            if task["status"] in ON_MACHINE
            and (unreported or task["ends"] > self._hosts[w.entry["ref"]].monotonic_time())
        ]

    def on_machines(self, ref: str) -> list[tuple[str, str]]:
        """The tasks of a job that are on machines, as (task, machine)."""
        return [(o.task, o.machine) for o in self.tasks_on_machines() if o.ref == ref]

    def _check_tasks_stopped(self, ref: str) -> None:
        for name, machine in self.on_machines(ref):
            self.rule_violations.append(
                f"ran_cancelled: {name} on {machine}, cancelled at {self.cancel_confirmed_at[ref]:.2f}"
            )

    def _changed(self, worker: Worker, event: str, task_name: str) -> None:
        if event == "starts":
            self._started(worker, task_name)
        elif (job := self.jobs.get(task_name.partition("/")[0])) is not None:
            # The tasks of a gang complete together.
            job.done |= job.names() if job.spec["shape"] == "ensemble" else {task_name}

    def _started(self, worker: Worker, task_name: str) -> None:
        now = self.loop.now
        entry = worker.entry
        start = TaskOnMachine(task_name, entry["ref"], entry["hall"], entry["loaner"])
        self.rule_violations += start_violations(
            start,
            [o for o in self.tasks_on_machines() if (o.task, o.machine) != (task_name, entry["ref"])],
            self.jobs,
            self.gpus_max,
            CANCEL_S,
            now,
        )
        if (job := self.jobs.get(start.ref)) is not None:
            job.began = min(job.began, now)
        cancel_confirmed_at = self.cancel_confirmed_at.get(start.ref)
        if cancel_confirmed_at is not None:
            self.starts_after_cancellation.append(f"{task_name} at {now:.2f}, cancelled at {cancel_confirmed_at:.2f}")
        if self._deletion_intended_at.get(worker.entry["ref"], now) < now - 5.0:
            # A worker still executes a start from the answer to a report up to 4 s after it sent the report.
            self.rule_violations.append(
                f"placed after its deletion was intended: {task_name} on {worker.entry['ref']} at {now:.2f}"
            )

    def _checked_apply(self, changes: list[dict[str, Any]]) -> int:
        for change in changes:
            if change.get("write") == intent_record.INTENT_LOG_KEY:
                for name in intent_record.unpack_names(change["v"].get("d", "")):
                    self._deletion_intended_at.setdefault(name, self.loop.now)
            before = self.state.keys.get(change.get("write") or change.get("drop") or "")
            if before is not None and str(change.get("write") or change["drop"]).startswith("job/"):
                old_outcome, new_outcome = before[0].get("o", "o"), change.get("v", {}).get("o", "o")
                if old_outcome != "o" and new_outcome != old_outcome:
                    self.rule_violations.append(
                        f"final outcome replaced: {change} over {old_outcome} at {self.loop.now:.2f}"
                    )
        return self._state_apply(changes)

    def _checked_delete(self, names: list[str]) -> None:
        for name in names:
            if name in self.cloud.machines and name not in self._deletion_intended_at:
                cancelled = [k for k, v in self.state.keys.items() if k.startswith("job/") and v[0].get("o") == "c"]
                if not cancelled:
                    self.rule_violations.append(f"deleted without a recorded intent: {name}")
            if name in self._hosts:
                self._hosts.pop(name).crash()
        self._cloud_delete(names)


logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
