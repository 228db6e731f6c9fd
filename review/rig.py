"""Test rig of the review: stand-ins that follow the users' pages, and the project's controllers as real processes.

The stand-ins of the state service, the cloud and the workers run in this process on loopback addresses and the real
clock. The controllers are started as separate processes with the command of `deploy/service.toml`.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import unquote

from tornado import web
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

ROOT = pathlib.Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        folder = pathlib.Path(os.environ.get("RECORD_FOLDER", folder))
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write one line."""
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")


# -- state service ---------------------------------------------------------------------------------


class State:
    """State service (PROTOCOL, "Controller nodes -> state service")."""

    def __init__(self, value_kb: float, txn_ops: int) -> None:
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.revision = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, list[float]] = {}  # duration, end
        # The last 10,000 changes: revision, key and the event as JSON.
        self.history: deque[tuple[int, str, bytes]] = deque(maxlen=10_000)
        self.down = False
        self.too_large = 0  # transactions refused because of a limit
        self.closed = False
        self._next_lease = 1
        self._changed = asyncio.Condition()

    def tick(self) -> None:
        """End the leases whose time is up; in an outage each has its full time again."""
        now = time.monotonic()
        for lease, (duration_s, ends_at) in list(self.leases.items()):
            if self.down:
                self.leases[lease][1] = now + duration_s
            elif ends_at < now:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        dropped = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if dropped:
            self._apply([{"drop": key} for key in dropped])
        return True

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for change in changes:
            if "write" in change:
                self.keys[change["write"]] = (change["v"], self.revision, change.get("permit"))
                event = {"write": change["write"], "v": change["v"], "keyRev": self.revision}
            else:
                self.keys.pop(change["drop"], None)
                event = {"drop": change["drop"], "keyRev": self.revision}
            self.history.append((self.revision, event.get("write") or event["drop"], json.dumps(event).encode()))
        asyncio.ensure_future(self._notify())

    async def close(self) -> None:
        """Answer all open watches."""
        self.closed = True
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Execute a transaction."""
        self.tick()
        changes, conditions = body.get("then", []), body.get("if", [])
        for change in changes:
            size = len(json.dumps(change.get("v"), separators=(",", ":"), ensure_ascii=False).encode())
            if size > self.value_kb * 1024:
                self.too_large += 1
                return 400, {"error": "value too large"}
            if change.get("permit") is not None and change["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        if len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            self.too_large += 1
            return 400, {"error": "too many changes"}
        failed = [c["k"] for c in conditions if self.version(c["k"]) != c["keyRev"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if changes:
            self._apply(changes)
        return 200, {"ledgerRev": self.revision}

    def version(self, key: str) -> int:
        """A key's revision; 0: there is no such key."""
        return self.keys[key][1] if key in self.keys else 0

    async def changes(self, prefix: str, after: int, block_s: float) -> bytes | None:
        """The answer to a watch after at most `block_s` seconds; None: too old. Watches wait during an outage."""
        deadline = time.monotonic() + block_s
        while True:
            if len(self.history) == self.history.maxlen and after < self.history[0][0] - 1:
                return None
            news: list[bytes] = []
            for revision, key, event in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    news.append(event)
            remaining_s = deadline - time.monotonic()
            if (news and not self.down) or remaining_s <= 0 or self.closed:
                events = b",".join(reversed(news)) if not self.down else b""
                return b'{"ledgerRev":%d,"news":[%s]}' % (self.revision, events)
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    pass

    def page(self, prefix: str, after: str, limit: int) -> bytes:
        """One page of keys."""
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        items = [{"k": k, "v": self.keys[k][0], "keyRev": self.keys[k][1]} for k in names[:limit]]
        return json.dumps({"items": items, "truncated": len(names) > limit, "ledgerRev": self.revision}).encode()


class _JsonHandler(web.RequestHandler):
    def respond(self, status: int, value: Any) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def log_exception(self, *args: Any) -> None:
        """Log nothing: processes are killed here on purpose."""


class _StateHandler(_JsonHandler):
    def initialize(self, service: State) -> None:
        """Take the service."""
        self.service = service

    def prepare(self) -> None:
        """In an outage the request is not executed."""
        self.service.tick()
        if self.service.down:
            self.respond(503, {"error": "trouble"})


class _Key(_StateHandler):
    def get(self, key: str) -> None:
        """One key."""
        found = self.service.keys.get(unquote(key))
        if found is None:
            self.respond(404, {"ledgerRev": self.service.revision})
        else:
            self.respond(200, {"k": unquote(key), "v": found[0], "keyRev": found[1], "permit": found[2]})


class _List(_StateHandler):
    def get(self) -> None:
        """One page."""
        limit = min(1000, int(self.get_argument("limit", "1000")))
        self.finish(self.service.page(self.get_argument("prefix"), self.get_argument("after", ""), limit))


class _Commit(_StateHandler):
    def post(self) -> None:
        """A transaction."""
        self.respond(*self.service.commit(json.loads(self.request.body)))


class _Grants(_StateHandler):
    def post(self) -> None:
        """A new lease."""
        duration_s = json.loads(self.request.body)["lifeMs"] / 1000
        lease, self.service._next_lease = self.service._next_lease, self.service._next_lease + 1
        self.service.leases[lease] = [duration_s, time.monotonic() + duration_s]
        self.respond(200, {"permit": lease})


class _Grant(_StateHandler):
    def post(self, lease: str) -> None:
        """Renew a lease."""
        times = self.service.leases.get(int(lease))
        if times is None:
            self.respond(404, {"error": "no such lease"})
        else:
            times[1] = time.monotonic() + times[0]
            self.respond(200, {"permit": int(lease)})

    def delete(self, lease: str) -> None:
        """End a lease."""
        self.respond(200 if self.service.end_lease(int(lease)) else 404, {})


class _Changes(_StateHandler):
    async def get(self) -> None:
        """A watch."""
        block_s = int(self.get_argument("blockMs", "0")) / 1000
        body = await self.service.changes(self.get_argument("prefix"), int(self.get_argument("after")), block_s)
        if body is None:
            self.respond(410, {"error": "too old"})
        else:
            self.finish(body)


# -- workers and cloud -----------------------------------------------------------------------------


class Worker:
    """A worker (PROTOCOL, "Workers -> controller nodes"); tasks of arrays and services only."""

    def __init__(self, rig: Rig, entry: dict[str, Any]) -> None:
        self.rig, self.entry, self.name = rig, entry, entry["ref"]
        self.session, self.seq, self.token, self.node = 1, 0, 0, random.randrange(len(rig.nodes))
        self.lease_from = time.monotonic()
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.cut = False  # its network is lost: nothing arrives, nothing leaves
        self._end_of_cut = asyncio.Event()
        self._changed = asyncio.Event()
        port = rig.serve(
            web.Application(
                [(r"/commands", _Commands, {"worker": self}), (r"/show", _Show, {"worker": self})],
                log_function=lambda handler: None,
            )
        )
        entry["endpoint"] = f"127.0.0.1:{port}"
        self._jobs = [rig.spawn(self._report()), rig.spawn(self._watch_lease())]

    def stop(self) -> None:
        """The machine is gone with all that is on it."""
        for job in self._jobs:
            job.cancel()
        self.forget("machine gone")

    def forget(self, why: str) -> None:
        """Kill and forget all tasks."""
        for task in self.tasks.values():
            if task["status"] != "ended":
                self.rig.on_end(self, task, why)
        self.tasks.clear()

    def begin_cut(self) -> None:
        """Lose the network."""
        self.cut = True
        self._end_of_cut.clear()

    def end_cut(self) -> None:
        """The network is back; connections from the time of the cut are reset."""
        self.cut = False
        self._end_of_cut.set()

    async def wait_for_network(self) -> None:
        """Wait until the cut ends."""
        await self._end_of_cut.wait()

    async def _watch_lease(self) -> None:
        lease_s = self.rig.workers["lease_s"]
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.lease_from > lease_s:
                self.rig.record(f"{self.name} lease expired, session {self.session + 1}")
                self.forget("lease expired")
                self.session, self.lease_from = self.session + 1, now
                self._changed.set()
            for task in self.tasks.values():
                if task["status"] == "fetching" and now >= task["ready"]:
                    task["status"] = "running"
                    self.rig.on_start(self, task)
                    self._changed.set()
                elif task["status"] == "running" and now >= task["ready"] + task["run_s"]:
                    task.update(status="ended", exitCause="done")
                    self.rig.on_end(self, task, "done")
                    self._changed.set()

    def body(self) -> dict[str, Any]:
        """The next report."""
        self.seq += 1
        pieces = [{k: v for k, v in t.items() if k not in ("ready", "run_s")} for t in self.tasks.values()]
        entry = {"rig" if k == "ref" else k: v for k, v in self.entry.items() if k not in ("status", "rented_at")}
        counters = {"shift": self.session, "tick": self.seq, "baton": self.token, "recallS": None}
        return entry | counters | {"pieces": pieces}

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Execute commands in order."""
        for order in orders:
            key = (order["piece"], order["tryNo"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                run_s = self.rig.run_s(order["piece"])
                ready = time.monotonic() + 0.1
                task = {"piece": key[0], "tryNo": key[1], "status": "fetching", "ready": ready, "run_s": run_s}
                self.tasks[key] = task
            elif order["verb"] == "halt" and task is not None and task["status"] != "ended":
                self.rig.on_end(self, task, "halted")
                task.update(status="ended", exitCause="halted")
            elif order["verb"] == "reap" and task is not None and task["status"] == "ended":
                del self.tasks[key]
            self._changed.set()

    async def _report(self) -> None:
        client = AsyncHTTPClient(force_instance=True)
        report_s = self.rig.workers["report_s"]
        while True:
            sent_at, session = time.monotonic(), self.session
            name, address = self.rig.nodes[self.node]
            status, answer = 0, {}
            if self.cut:
                await asyncio.sleep(4)
            else:
                self._changed.clear()
                status, answer = await request(client, "POST", address, "/v1/report", self.body(), 4.0)
                if self.cut:  # the answer was lost
                    await asyncio.sleep(max(0.0, sent_at + 4 - time.monotonic()))
                    status = 0
            if status == 200:
                if session == self.session and answer.get("baton", -1) >= self.token:
                    if answer["baton"] > self.token:
                        self.token = answer["baton"]
                        self._changed.set()
                    self.lease_from = sent_at
                    self.execute(answer["orders"])
                await asyncio.sleep(0.5)
                try:
                    await asyncio.wait_for(self._changed.wait(), max(0.01, report_s * random.uniform(0.75, 1.25) - 0.5))
                except TimeoutError:
                    pass
                continue
            target = answer.get("reportsTo") if status == 421 else None
            names = [n for n, _ in self.rig.nodes]
            if target in names and target != name:
                self.node = names.index(target)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1)


class _WorkerHandler(_JsonHandler):
    def initialize(self, worker: Worker) -> None:
        """Take the worker."""
        self.worker = worker

    async def prepare(self) -> None:
        """During a cut nothing arrives, and the connection is reset at its end."""
        if self.worker.cut:
            await self.worker.wait_for_network()
            self.request.connection.stream.close()  # type: ignore[union-attr]
            raise web.Finish


class _Show(_WorkerHandler):
    def get(self) -> None:
        """The worker's report."""
        self.respond(200, self.worker.body())


class _Commands(_WorkerHandler):
    def post(self) -> None:
        """Direct commands."""
        body, worker = json.loads(self.request.body), self.worker
        if "baton" not in body or "shift" not in body:
            self.respond(400, {"error": "baton, shift"})
            return
        valid = body["baton"] >= worker.token and body["shift"] == worker.session
        if not worker.rig.quiet:
            worker.rig.record(f"{worker.name} direct commands {'executed' if valid else 'refused'}: {body['orders']}")
        if valid:
            worker.token = body["baton"]
            worker.execute(body["orders"])
        self.respond(200 if valid else 409, worker.body())


class Cloud:
    """The cloud (PROTOCOL, "Controller nodes -> cloud"), whose machines are up within two seconds."""

    def __init__(self, rig: Rig, types: list[dict[str, Any]], capacity: int, lag_s: float) -> None:
        self.rig, self.types, self.capacity, self.lag_s = rig, types, capacity, lag_s
        self.machines: dict[str, tuple[dict[str, Any], Worker | None]] = {}
        self.gone: list[tuple[dict[str, Any], float]] = []
        self.requests: dict[str, list[str]] = {}
        self._number = 0

    def rent(self, body: dict[str, Any]) -> list[str]:
        """The machines of a request; empty: no capacity."""
        if body["hire"] in self.requests:
            return self.requests[body["hire"]]
        names = []
        for _ in range(min(body["count"], 50, self.capacity - len(self.machines))):
            self._number += 1
            name = f"vm-{self._number:06d}"
            names.append(name)
            entry = {"ref": name, "endpoint": "", "rigType": body["rigType"], "hall": body["hall"]}
            entry |= {"loaner": body["loaner"], "status": "booting", "rented_at": time.monotonic()}
            self.machines[name] = (entry, None)
            asyncio.get_running_loop().call_later(random.uniform(1, 2), self._boot, name)
        if names:
            self.requests[body["hire"]] = names
            self.rig.record(f"cloud: {body['hire']} rents {len(names)} {body['rigType']} in {body['hall']}")
        return names

    def _boot(self, name: str) -> None:
        if name in self.machines:
            entry = self.machines[name][0]
            entry["status"] = "running"
            self.machines[name] = (entry, Worker(self.rig, entry))

    def delete(self, names: list[str]) -> None:
        """Delete machines."""
        for name in names:
            entry, worker = self.machines.pop(name, (None, None))
            if entry is not None:
                self.rig.record(f"cloud: {name} is deleted")
                self.gone.append((entry, time.monotonic()))
            if worker is not None:
                worker.stop()

    def listed(self) -> list[dict[str, Any]]:
        """The machines as they were `lag_s` ago."""
        at = time.monotonic() - self.lag_s
        entries = [entry for entry, _ in self.machines.values()] + [e for e, gone_at in self.gone if gone_at > at]
        return [
            {k: v for k, v in entry.items() if k != "rented_at"} | {"ageS": at - entry["rented_at"]}
            for entry in sorted(entries, key=lambda e: e["ref"])
            if entry["rented_at"] <= at
        ]


class _CloudHandler(_JsonHandler):
    def initialize(self, cloud: Cloud) -> None:
        """Take the cloud."""
        self.cloud = cloud


class _Flavors(_CloudHandler):
    def get(self) -> None:
        """The machine types."""
        self.respond(200, {"rigTypes": self.cloud.types})


class _Hosts(_CloudHandler):
    def get(self) -> None:
        """One page of machines."""
        after, limit = self.get_argument("after", ""), int(self.get_argument("limit", "500"))
        entries = [entry for entry in self.cloud.listed() if entry["ref"] > after]
        self.respond(200, {"rigs": entries[:limit], "truncated": len(entries) > limit})

    def post(self) -> None:
        """Rent machines."""
        names = self.cloud.rent(json.loads(self.request.body))
        self.respond(*((200, {"rigs": names}) if names else (503, {"error": "no capacity"})))


class _Delete(_CloudHandler):
    def post(self) -> None:
        """Delete machines."""
        self.cloud.delete(json.loads(self.request.body)["rigs"])
        self.respond(200, {})


# -- the whole -------------------------------------------------------------------------------------


async def request(
    client: AsyncHTTPClient, method: str, address: str, path: str, body: Any, timeout_s: float
) -> tuple[int, dict[str, Any]]:
    """Send one request; status 0: no answer."""
    data = None if body is None else body if isinstance(body, str) else json.dumps(body)
    try:
        reply = await client.fetch(
            HTTPRequest(
                f"http://{address}{path}",
                method=method,
                body=data,
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
                follow_redirects=False,
            ),
            raise_error=False,
        )
    except (OSError, HTTPError):
        return 0, {}
    if reply.code == 599 or not reply.body:
        return 0 if reply.code == 599 else reply.code, {}
    try:
        return reply.code, json.loads(reply.body)
    except ValueError:
        return reply.code, {}


class Rig:
    """State service, cloud, workers, controllers and users of one case."""

    def __init__(self, folder: pathlib.Path, site: dict[str, Any]) -> None:
        self.record = Record(folder)
        self.site, self.workers = site, site["workers"]
        self.run_s: Callable[[str], float] = lambda task: 5.0
        self.temporary = tempfile.TemporaryDirectory(prefix="winglift-review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.quiet = False  # tasks' starts and ends and direct commands are left out of the record
        self.spans: list[dict[str, Any]] = []  # each time that a task was on a machine
        self._open_spans: dict[tuple[str, str, int], dict[str, Any]] = {}
        self._background: set[asyncio.Task[Any]] = set()
        self._reserved = [self._reserve_port() for _ in range(6)]
        ports = [sock.getsockname()[1] for sock in self._reserved]
        self.nodes = [(f"wingnode-{i}", f"127.0.0.1:{ports[i]}") for i in range(3)]
        self._backs = [f"127.0.0.1:{port}" for port in ports[3:]]
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.exits: list[tuple[float, int, int]] = []  # time, node and exit code of processes that ended by themselves
        self.users = AsyncHTTPClient(force_instance=True, max_clients=200)
        limits = site["state"]
        self.state: State = site.get("state_service", State)(limits["value_kb"], limits["txn_ops"])
        self.cloud = Cloud(self, site["machine_types"], site["capacity"], site["cloud"]["list_lag_s"])
        args, cloud_args = {"service": self.state}, {"cloud": self.cloud}
        routes = [
            (r"/store/(.+)", _Key, args),
            (r"/store", _List, args),
            (r"/commit", _Commit, args),
            (r"/grants", _Grants, args),
            (r"/grants/([0-9]+)/touch", _Grant, args),
            (r"/grants/([0-9]+)", _Grant, args),
            (r"/changes", _Changes, args),
        ]
        cloud_routes = [(r"/flavors", _Flavors, cloud_args), (r"/hosts", _Hosts, cloud_args)]
        cloud_routes.append((r"/hosts/delete", _Delete, cloud_args))
        self.state_port = self.serve(web.Application(routes, log_function=lambda handler: None))
        self._cloud_port = self.serve(web.Application(cloud_routes, log_function=lambda handler: None))
        self.state_address = f"127.0.0.1:{self.state_port}"
        self.spawn(self._tick())

    @staticmethod
    def _reserve_port() -> socket.socket:
        """A bound port that the system gives to nobody else and that a controller can still listen on."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        return sock

    def serve(self, application: web.Application) -> int:
        """Serve on a free port and return it."""
        sockets = bind_sockets(0, "127.0.0.1")
        HTTPServer(application).add_sockets(sockets)
        return sockets[0].getsockname()[1]

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background until the case ends."""
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self.state.tick()

    # -- what runs where ---------------------------------------------------------------------------

    def on_start(self, worker: Worker, task: dict[str, Any]) -> None:
        """Called when a task has its image: from now on it is on its machine."""
        key = (worker.name, task["piece"], task["tryNo"])
        span = {"machine": worker.name, "task": task["piece"], "from": time.monotonic(), "to": None}
        self._open_spans[key] = span
        self.spans.append(span)
        if not self.quiet:
            self.record(f"{worker.name} {task['piece']} try {task['tryNo']} starts")

    def on_end(self, worker: Worker, task: dict[str, Any], why: str) -> None:
        """Called when a task leaves its machine."""
        span = self._open_spans.pop((worker.name, task["piece"], task["tryNo"]), None)
        if span is not None:
            span["to"] = time.monotonic()
            if not self.quiet:
                self.record(f"{worker.name} {task['piece']} try {task['tryNo']} ends: {why}")

    def on_machines(self, job: str) -> list[dict[str, Any]]:
        """The tasks of a job that are on machines now."""
        return [span for span in self.spans if span["to"] is None and span["task"].startswith(job + "/")]

    def live_workers(self) -> list[Worker]:
        """The workers of all machines that are up."""
        return [worker for _, worker in self.cloud.machines.values() if worker is not None]

    # -- controllers -------------------------------------------------------------------------------

    def _settings(self, number: int) -> str:
        site, zones = self.site, self.site["zones"]
        lines = [
            f'node = "{self.nodes[number][0]}"',
            f'zone = "{zones[number % len(zones)]}"',
            f'client_listen = "{self.nodes[number][1]}"',
            f'back = "{self._backs[number]}"',
        ]
        for i in range(3):
            if i != number:
                lines += [
                    "[[seeds]]",
                    f'node = "{self.nodes[i][0]}"',
                    f'zone = "{zones[i % len(zones)]}"',
                    f'addr = "{self._backs[i]}"',
                ]
        lines += ["[services]", f'cloud = "127.0.0.1:{self._cloud_port}"', f'state = "{self.state_address}"']
        lines += ["[settings]", "nodes = 3", f"zones = {json.dumps(zones)}", f"skew_ms = {site['skew_ms']}"]
        for team in site["teams"]:
            lines += ["[[settings.teams]]", *(f"{k} = {json.dumps(v)}" for k, v in team.items())]
        for section in ("workers", "state", "cloud", "machine_limits"):
            lines += [f"[settings.{section}]", *(f"{k} = {json.dumps(v)}" for k, v in site[section].items())]
        if "state_next" in site:
            lines += ["[settings.state.next]", *(f"{k} = {json.dumps(v)}" for k, v in site["state_next"].items())]
        return "\n".join(lines) + "\n"

    async def start_node(self, number: int, sockets: int | None = None) -> None:
        """Start a controller; `sockets`: the most sockets and files that its process may have open."""
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"].split()
        config = self.folder / f"node-{number}.toml"
        config.write_text(self._settings(number))

        def limit() -> None:
            if sockets is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        with open(self.folder / f"node-{number}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                *run,
                str(config),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
                preexec_fn=limit,
            )
        self.processes[number] = process
        self.record(f"{self.nodes[number][0]} started")
        self.spawn(self._await_end(number, process))

    async def _await_end(self, number: int, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self.processes.get(number) is process:
            self.exits.append((time.monotonic(), number, code))
            self.record(f"{self.nodes[number][0]} ended by itself, code {code}")

    def kill_node(self, number: int) -> None:
        """Kill a controller with no signal that it could handle."""
        self.processes.pop(number).send_signal(signal.SIGKILL)
        self.record(f"{self.nodes[number][0]} killed")

    async def start_all(self) -> None:
        """Start all controllers and wait until they are up and one of them leads."""
        for number in range(3):
            await self.start_node(number)
        for _ in range(150):
            answers = [await request(self.users, "GET", address, "/up", None, 1.0) for _, address in self.nodes]
            if all(status == 200 for status, _ in answers) and "leader" in self.state.keys:
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun("the controllers did not come up")

    # -- users -------------------------------------------------------------------------------------

    async def ask(self, method: str, path: str, body: Any = None, node: int | None = None) -> tuple[int, Any]:
        """Send one request of a user to a node, or to any, and record it."""
        number = random.randrange(3) if node is None else node
        timeout_s = 2.0 if method == "GET" else 5.0
        data = "" if method == "POST" and body is None else body
        answer = await request(self.users, method, self.nodes[number][1], path, data, timeout_s)
        self.record(f"user {method} {path} at {self.nodes[number][0]}: {answer[0]} {json.dumps(answer[1])}")
        return answer

    async def ask_until(self, method: str, path: str, body: Any, statuses: tuple[int, ...], for_s: float) -> Any:
        """Repeat a user's request as the pages say, until it gets one of these statuses."""
        deadline = time.monotonic() + for_s
        while time.monotonic() < deadline:
            status, answer = await self.ask(method, path, body)
            if status in statuses:
                return answer
            await asyncio.sleep(1)
        raise CouldNotRun(f"{method} {path}: none of {statuses} within {for_s:g} s")

    async def stop(self) -> None:
        """End all processes and tasks."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        processes, self.processes = list(self.processes.values()), {}
        for process in processes:
            await process.wait()
        await self.state.close()
        await asyncio.sleep(0.1)
        for task in list(self._background):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("node-*"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


def main(folder: pathlib.Path, site: dict[str, Any], case: Callable[[Rig], Coroutine[Any, Any, int]]) -> None:
    """Run a case for at most 118 seconds, and exit with its code."""

    async def run() -> int:
        rig = Rig(folder, site)
        try:
            async with asyncio.timeout(118):
                code = await case(rig)
        except (CouldNotRun, TimeoutError) as err:
            rig.record(f"could not run: {err!r}")
            code = COULD_NOT_RUN
        finally:
            await rig.stop()
        rig.record({HELD: "rule held", BROKEN: "rule broken", COULD_NOT_RUN: "could not run"}[code])
        return code

    sys.exit(asyncio.run(run()))
