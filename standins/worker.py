"""Stand-in of a worker: reports, obeys tokens and sessions, runs tasks for as long as it is told."""

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
Describe = Callable[[str], dict[str, Any] | None]


class Worker:
    try_s, again_s = 1.0, 0.05  # s that a node may take to answer, and until the next is tried; real ones take 4 and 1

    def __init__(
        self,
        entry: dict[str, Any],
        controllers: list[tuple[str, str]],
        run_s: Callable[[str], float],
        report_s: float,
        lease_s: float,
        processes: Processes | None = None,
        describe: Describe = lambda ref: None,
        gangs: Gangs | None = None,
    ) -> None:
        self.entry = entry
        self.controllers = controllers
        self.run_s = run_s
        self.report_s, self.lease_s = report_s, lease_s
        self.session, self.seq, self.token = 1, 0, 0
        self.answered = monotonic_time()
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.starts: list[tuple[float, str]] = []  # what began to run here, and when
        self.processes = processes
        self._running: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.mute = False  # a worker whose machine hangs
        self.reclaim_at = math.inf  # when the cloud takes this spot machine back, once it has said so
        self._loop: asyncio.Task | None = None
        self._server: Server | None = None
        self.changed: Callable[[Worker, str, str], None] = lambda worker, what, task: None
        self.describe = describe  # a job as submitted: with it, images are fetched and gangs wait for one another
        self.gangs = gangs if gangs is not None else Gangs()
        self.fetch_gb_per_s = math.inf
        self._images: dict[str, float] = {}  # image: when it is here
        self.stands_still: Callable[[], bool] = lambda: False
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
        self._loop = asyncio.ensure_future(self._run())

    def kill(self) -> None:
        self._forget()
        if self._loop:
            self._loop.cancel()
        if self._server:
            self._server.stop()

    def _forget(self) -> None:
        for key in list(self.tasks):
            self.gangs.leave(self, key)
        self.tasks.clear()
        for task in self._running.values():
            task.cancel()
        self._running.clear()

    async def _process(self, key: tuple[str, int]) -> None:
        """A described task, as a process."""
        assert self.processes is not None
        why = await self.processes.run(*key, self.entry["ref"])
        if key in self.tasks and self.tasks[key]["status"] != "ended":
            self.tasks[key].update(status="ended", exitCause=why)
        self._running.pop(key, None)

    def report(self) -> dict[str, Any]:
        self.seq += 1
        now = monotonic_time()
        for task in self.tasks.values():
            if task["status"] == "running" and now >= task["ends"]:
                task["status"], task["exitCause"] = "ended", "done"
                self.changed(self, "done", task["piece"])
        pieces = [{k: v for k, v in t.items() if k != "ends"} for t in self.tasks.values()]
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
            "pieces": pieces,
        }

    def obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["tryNo"])
            if order["verb"] == "run" and key not in self.tasks:
                self.starts.append((monotonic_time(), order["piece"]))
                self.changed(self, "starts", order["piece"])
                self._start(key)
            elif order["verb"] == "halt" and key in self.tasks and self.tasks[key]["status"] != "ended":
                self.exit(key, "halted")
                if key in self._running:
                    self._running.pop(key).cancel()
            elif order["verb"] == "reap" and key in self.tasks and self.tasks[key]["status"] == "ended":
                del self.tasks[key]

    def _start(self, key: tuple[str, int]) -> None:
        spec = self.describe(key[0].partition("/")[0])
        described = self.processes is not None and self.processes.knows(key[0])
        self.tasks[key] = {"piece": key[0], "tryNo": key[1], "status": "running", "ends": math.inf}
        if described:
            self._running[key] = asyncio.ensure_future(self._process(key))
        elif spec is None:
            self.tasks[key]["ends"] = monotonic_time() + self.run_s(key[0])
        else:
            self.tasks[key]["status"] = "fetching"
            here_at = self._images.setdefault(spec["bundle"], monotonic_time() + spec["pullGb"] / self.fetch_gb_per_s)
            asyncio.get_running_loop().call_later(max(0.0, here_at - monotonic_time()), self._fetched, key, spec)

    def _fetched(self, key: tuple[str, int], spec: dict[str, Any]) -> None:
        if key not in self.tasks or self.tasks[key]["status"] != "fetching":
            return
        if spec["shape"] == "ensemble":
            self.tasks[key]["status"] = "waiting"
            self.gangs.join(self, key, spec["pieces"])
        else:
            self.go(key)

    def go(self, key: tuple[str, int]) -> None:
        """The task runs from now on."""
        self.tasks[key].update(status="running", ends=monotonic_time() + self.run_s(key[0]))

    def exit(self, key: tuple[str, int], why: str) -> None:
        """The task ends now; its gang will notice."""
        if key in self.tasks and self.tasks[key]["status"] != "ended":
            self.tasks[key].update(status="ended", exitCause=why)
            self.gangs.leave(self, key)

    async def _run(self) -> None:
        clients: dict[str, HttpClient] = {}
        at = 0
        while True:
            now = monotonic_time()
            if now - self.answered > self.lease_s:
                self._forget()
                self.session += 1
                self.answered = now
            if self.mute or not self.controllers:
                await asyncio.sleep(self.report_s)
                continue
            sent = monotonic_time()
            name, addr = self.controllers[at % len(self.controllers)]
            host, _, port = addr.partition(":")
            client = clients.setdefault(addr, current_runtime().client(host, int(port), 1))
            try:
                reply = await client.request("POST", "/v1/report", json.dumps(self.report()).encode(), self.try_s)
            except Unanswered:
                at += 1
                await asyncio.sleep(self.again_s)
                continue
            body = json.loads(reply.body) if reply.body else {}
            if reply.status == 200:
                if body.get("baton", 0) >= self.token:
                    self.token = body["baton"]
                    self.answered = sent
                    self.obey(body["orders"])
            else:
                names = [n for n, _ in self.controllers]
                target = body.get("reportsTo") if reply.status == 421 else None
                at = names.index(target) if target in names and target != name else at + 1
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
        good = body["baton"] >= worker.token and body["shift"] == worker.session
        if good:
            worker.token = body["baton"]
            worker.obey(body["orders"])
        self.set_status(200 if good else 409)
        self.finish(json.dumps(worker.report()))
