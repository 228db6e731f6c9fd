"""Stand-in for a worker: sends reports, checks terms and sessions, and simulates the run of tasks."""

from __future__ import annotations

import asyncio
import contextvars
import json
import math
from collections.abc import Callable
from typing import Any

from tornado import web
from tornado.testing import bind_unused_port

from winglift.net.client import Unanswered
from winglift.net.runtime import HttpClient, Server, current_runtime, monotonic_time

from .gangs import Gangs
from .processes import Processes

ON_MACHINE = ("fetching", "waiting", "running")
DescribeJob = Callable[[str], dict[str, Any] | None]


class Worker:
    # How long a node may take to answer, and the delay until the next node is tried. Real workers use 4 s and 1 s.
    request_timeout_s, retry_delay_s = 1.0, 0.05

    def __init__(
        self,
        entry: dict[str, Any],
        controllers: list[tuple[str, str]],
        run_s: Callable[[str], float],
        report_s: float,
        lease_s: float,
        processes: Processes | None = None,
        describe_job: DescribeJob = lambda ref: None,
        gangs: Gangs | None = None,
    ) -> None:
        self.entry = entry
        self.controllers = controllers
        self.run_s = run_s
        self.report_s, self.lease_s = report_s, lease_s
        self.session, self.seq, self.token = 1, 0, 0
        self.last_answer_at = monotonic_time()
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.starts: list[tuple[float, str]] = []  # time and task of each start command that was executed
        self.processes = processes
        self._process_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.mute = False  # sends no reports, as on a machine that hangs
        self.reclaim_at = math.inf  # when the cloud reclaims this spot machine, once it has given notice
        self._report_task: asyncio.Task | None = None
        self._server: Server | None = None
        self.on_task_change: Callable[[Worker, str, str], None] = lambda worker, what, task: None
        # Returns a job as submitted. For jobs that it knows, image fetches and the start of gangs are simulated.
        self.describe_job = describe_job
        self.gangs = gangs if gangs is not None else Gangs()
        self.fetch_gb_per_s = math.inf
        self._image_ready_at: dict[str, float] = {}  # image: when it is fetched
        self.is_suspended: Callable[[], bool] = lambda: False  # whether the machine hangs
        self.context = contextvars.copy_context()

    def start(self) -> None:
        self.context = contextvars.copy_context()
        if self.entry["endpoint"] == "127.0.0.1:1":
            sock, port = bind_unused_port()
            sock.close()
            self.entry["endpoint"] = f"127.0.0.1:{port}"
        host, _, number = self.entry["endpoint"].partition(":")
        app = web.Application(
            [(r"/commands", _Commands, {"worker": self}), (r"/show", _Show, {"worker": self})],
            log_function=lambda handler: None,
        )
        self._server = current_runtime().serve(app, host, int(number))
        self._report_task = asyncio.ensure_future(self._report_loop())

    def kill(self) -> None:
        self._forget()
        if self._report_task:
            self._report_task.cancel()
        if self._server:
            self._server.stop()

    def _forget(self) -> None:
        for key in list(self.tasks):
            self.gangs.leave(self, key)
        self.tasks.clear()
        for task in self._process_tasks.values():
            task.cancel()
        self._process_tasks.clear()

    async def _process(self, key: tuple[str, int]) -> None:
        """Run a task that has a description as a process, and record how it ended."""
        assert self.processes is not None
        cause = await self.processes.run(*key, self.entry["ref"])
        if key in self.tasks and self.tasks[key]["status"] != "ended":
            self.tasks[key].update(status="ended", exitCause=cause)
        self._process_tasks.pop(key, None)

    def report(self) -> dict[str, Any]:
        self.seq += 1
        now = monotonic_time()
        for task in self.tasks.values():
            if task["status"] == "running" and now >= task["ends"]:
                task["status"], task["exitCause"] = "ended", "done"
                self.on_task_change(self, "done", task["piece"])
        task_reports = [{k: v for k, v in t.items() if k != "ends"} for t in self.tasks.values()]
        return {
            "rig": self.entry["ref"],
            "endpoint": self.entry["endpoint"],
            "rigType": self.entry["rigType"],
            "hall": self.entry["hall"],
            "loaner": self.entry["loaner"],
            "shift": self.session,
            "tick": self.seq,
            "baton": self.token,
            "recallS": max(0.0, self.reclaim_at - now) if self.reclaim_at < math.inf else None,
            "pieces": task_reports,
        }

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["tryNo"])
            if order["verb"] == "run" and key not in self.tasks:
                self.starts.append((monotonic_time(), order["piece"]))
                self.on_task_change(self, "starts", order["piece"])
                self._start(key)
            elif order["verb"] == "halt" and key in self.tasks and self.tasks[key]["status"] != "ended":
                self.end_task(key, "halted")
                if key in self._process_tasks:
                    self._process_tasks.pop(key).cancel()
            elif order["verb"] == "reap" and key in self.tasks and self.tasks[key]["status"] == "ended":
                del self.tasks[key]

    def _start(self, key: tuple[str, int]) -> None:
        spec = self.describe_job(key[0].partition("/")[0])
        is_described = self.processes is not None and self.processes.knows(key[0])
        self.tasks[key] = {"piece": key[0], "tryNo": key[1], "status": "running", "ends": math.inf}
        if is_described:
            self._process_tasks[key] = asyncio.ensure_future(self._process(key))
        elif spec is None:
            self.tasks[key]["ends"] = monotonic_time() + self.run_s(key[0])
        else:
            self.tasks[key]["status"] = "fetching"
            ready_at = self._image_ready_at.setdefault(
                spec["bundle"], monotonic_time() + spec["pullGb"] / self.fetch_gb_per_s
            )
            asyncio.get_running_loop().call_later(max(0.0, ready_at - monotonic_time()), self._fetched, key, spec)

    def _fetched(self, key: tuple[str, int], spec: dict[str, Any]) -> None:
        if key not in self.tasks or self.tasks[key]["status"] != "fetching":
            return
        if spec["shape"] == "ensemble":
            self.tasks[key]["status"] = "waiting"
            self.gangs.join(self, key, spec["pieces"])
        else:
            self.run_task(key)

    def run_task(self, key: tuple[str, int]) -> None:
        """Mark the task as running from now on."""
        self.tasks[key].update(status="running", ends=monotonic_time() + self.run_s(key[0]))

    def end_task(self, key: tuple[str, int], cause: str) -> None:
        """End the task now, with the given cause, and remove it from its gang."""
        if key in self.tasks and self.tasks[key]["status"] != "ended":
            self.tasks[key].update(status="ended", exitCause=cause)
            self.gangs.leave(self, key)

    async def _report_loop(self) -> None:
        clients: dict[str, HttpClient] = {}
        controller_index = 0
        while True:
            now = monotonic_time()
            if now - self.last_answer_at > self.lease_s:
                self._forget()
                self.session += 1
                self.last_answer_at = now
            if self.mute or not self.controllers:
                await asyncio.sleep(self.report_s)
                continue
            sent = monotonic_time()
            name, address = self.controllers[controller_index % len(self.controllers)]
            host, _, port = address.partition(":")
            client = clients.setdefault(address, current_runtime().client(host, int(port), 1))
            try:
                reply = await client.request(
                    "POST", "/v1/report", json.dumps(self.report()).encode(), self.request_timeout_s
                )
            except Unanswered:
                controller_index += 1
                await asyncio.sleep(self.retry_delay_s)
                continue
            body = json.loads(reply.body) if reply.body else {}
            if reply.status == 200:
                if body.get("baton", 0) >= self.token:
                    self.token = body["baton"]
                    self.last_answer_at = sent
                    self.execute(body["orders"])
            else:
                names = [n for n, _ in self.controllers]
                target = body.get("reportsTo") if reply.status == 421 else None
                controller_index = names.index(target) if target in names and target != name else controller_index + 1
            await asyncio.sleep(self.report_s)


class _Show(web.RequestHandler):
    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    def get(self) -> None:
        self.finish(json.dumps(self.worker.report()))


class _Commands(web.RequestHandler):
    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    def post(self) -> None:
        body = json.loads(self.request.body)
        worker = self.worker
        is_valid = body["baton"] >= worker.token and body["shift"] == worker.session
        if is_valid:
            worker.token = body["baton"]
            worker.execute(body["orders"])
        self.set_status(200 if is_valid else 409)
        self.finish(json.dumps(worker.report()))
