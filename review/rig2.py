# ruff: noqa: D102, D103, SIM115
"""Stand-ins and checks for the cases of REPORT-2.md. Standard library only.

State service, cloud, workers and users as PROTOCOL describes them, in one event loop on loopback; the controllers are
started as separate processes with the command of `deploy/service.toml`. Everything that is sent, answered and run is
written to `record.txt` in the folder of the case, one JSON object a line.
"""

from __future__ import annotations

import asyncio
import bisect
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LINE_MAX = BODY_MAX = 64 * 1024  # PROTOCOL: a request body; a line in a response to workers or users

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any] | None]]


class CannotRun(Exception):
    """The case could not be set up; no statement about the rule."""


class Record:
    """The file of what happened, with times in s since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w")

    def now(self) -> float:
        return time.monotonic() - self.started

    def add(self, what: str, **fields: Any) -> None:
        self.file.write(json.dumps({"t": round(self.now(), 3), "what": what, **fields}) + "\n")

    def say(self, text: str) -> None:
        self.add("note", text=text)
        print(f"[{self.now():6.1f}] {text}", flush=True)


# -- HTTP ------------------------------------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def serve(port: int, handler: Handler) -> asyncio.base_events.Server:
    """An HTTP/1.1 server; a handler that returns None closes the connection without an answer."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
                answer = await handler(method, unquote(parts.path), query, body)
                if answer is None:
                    break
                data = answer[1] if isinstance(answer[1], bytes) else json.dumps(answer[1]).encode()
                head_lines = f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}"
                writer.write(f"{head_lines}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 20, backlog=1000)


async def call(
    address: str, method: str, path: str, body: Any = None, timeout: float = 5.0
) -> tuple[int, bytes] | None:
    """One request on a connection of its own; None if no complete answer came within `timeout` s."""
    host, _, port = address.partition(":")
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                + data
            )
            head = await read_head(reader)
            if head is None:
                return None
            return int(head[0].split(" ")[1]), await reader.readexactly(int(head[1].get("content-length", "0")))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


_reserved: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Ports that nobody else gets while this process lives.

    Each stays bound here, without listening, so that the system assigns it to no other process. Servers that set the
    same option, as asyncio's and tornado's do, can bind it too.
    """
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
    _reserved.extend(sockets)
    return [sock.getsockname()[1] for sock in sockets]


class Rate:
    """A rate with a burst of `burst_s` seconds' worth."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate, self.most = rate, rate * burst_s
        self.left, self.at = self.most, time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        now = time.monotonic()
        self.left = min(self.most, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < amount:
            return False
        self.left -= amount
        return True


# -- state service ---------------------------------------------------------------------------------


class State:
    """PROTOCOL, "Controller nodes -> state service". Each node has a port of its own, so that one can be refused."""

    def __init__(self, site: Site) -> None:
        self.site, self.record = site, site.record
        self.revision = 1
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.names: list[str] = []
        self.leases: dict[int, tuple[float, float]] = {}  # id: duration, end
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.last_lease = 0
        self.requests, self.writes = Rate(site.state["rps"]), Rate(site.state["write_rps"])
        self.refused: set[str] = set()  # nodes that get 503
        self.changed = asyncio.Condition()
        # Called before a request is carried out: may wait, or return False to close the connection instead.
        self.before: Callable[[str, str, str, bytes], Awaitable[bool]] | None = None
        # Called after it was carried out: may wait, or return False to lose the answer.
        self.after: Callable[[str, str, str, bytes, int], Awaitable[bool]] | None = None

    def end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, (_, _, owner) in self.items.items() if owner == lease] if lease else []
        if keys:
            self.apply([{"drop": key} for key in keys])
        return True

    def expire(self) -> None:
        now = time.monotonic()
        if len(self.refused) == len(self.site.nodes):  # an outage: every lease has its full time again
            self.leases = {lease: (life, now + life) for lease, (life, _) in self.leases.items()}
        for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
            self.end_lease(lease)

    async def expire_loop(self) -> None:
        while True:
            self.expire()
            await asyncio.sleep(0.05)

    def apply(self, changes: list[dict[str, Any]]) -> int:
        self.revision += 1
        for change in changes:
            if "write" in change:
                key = change["write"]
                if key not in self.items:
                    bisect.insort(self.names, key)
                self.items[key] = change["v"], self.revision, change.get("permit")
                event = {"write": key, "v": change["v"], "keyRev": self.revision}
            else:
                key = change["drop"]
                if self.items.pop(key, None) is not None:
                    del self.names[bisect.bisect_left(self.names, key)]
                event = {"drop": key, "keyRev": self.revision}
            self.history.append((self.revision, key, event))
        if len(self.history) > 12_000:
            del self.history[:-10_000]
        asyncio.ensure_future(self.notify())
        return self.revision

    async def notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        self.expire()
        changes, conditions = body.get("then") or [], body.get("if") or []
        limit = self.site.state
        if len(changes) > limit["txn_ops"] or len(conditions) > 4 * limit["txn_ops"]:
            return 400, {"error": "too many operations"}
        if any(len(json.dumps(c.get("v"), separators=(",", ":"))) > limit["value_kb"] * 1024 for c in changes):
            return 400, {"error": "value too large"}
        if any(c.get("permit") is not None and c["permit"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions if self.items.get(c["k"], (0, 0, 0))[1] != c["keyRev"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        return 200, {"ledgerRev": self.apply(changes) if changes else self.revision}

    async def start(self, node: str, port: int) -> None:
        async def handler(method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any] | None:
            if self.before is not None and not await self.before(node, method, path, body):
                return None
            answer = await self.answer(node, method, path, query, body)
            if path == "/commit" or answer[0] not in (200, 404):
                self.record.add("state", node=node, request=f"{method} {path}", body=body.decode()[:400], s=answer[0])
            if self.after is not None and not await self.after(node, method, path, body, answer[0]):
                return None
            return answer

        await serve(port, handler)

    async def answer(self, node: str, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        if node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        self.expire()
        if path == "/commit":
            if len(body) > BODY_MAX:
                return 400, {"error": "too large"}
            value = json.loads(body)
            if not self.writes.take(len(value.get("then") or [])):
                return 429, {"error": "too many changes"}
            return self.commit(value)
        if path == "/grants":
            self.last_lease += 1
            life = json.loads(body)["lifeMs"] / 1000
            self.leases[self.last_lease] = life, time.monotonic() + life
            return 200, {"permit": self.last_lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if method == "DELETE":
                return (200, {}) if self.end_lease(lease) else (404, {"error": "no such lease"})
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            life = self.leases[lease][0]
            self.leases[lease] = life, time.monotonic() + life
            return 200, {"permit": lease}
        if path == "/changes":
            return await self.changes(node, query)
        if path == "/store":
            return self.page(query)
        key = path.removeprefix("/store/")
        if key not in self.items:
            return 404, {"ledgerRev": self.revision}
        value, version, permit = self.items[key]
        return 200, {"k": key, "v": value, "keyRev": version, "permit": permit}

    def page(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after, limit = query["prefix"], query.get("after", ""), min(1000, int(query.get("limit", "1000")))
        index = max(bisect.bisect_left(self.names, prefix), bisect.bisect_right(self.names, after))
        items, size, more = [], 0, False
        while index < len(self.names) and self.names[index].startswith(prefix):
            key = self.names[index]
            item = json.dumps({"k": key, "v": self.items[key][0], "keyRev": self.items[key][1]}, separators=(",", ":"))
            size += len(item) + 1
            if len(items) >= limit or size > 512 * 1024 - 100:
                more = True
                break
            items.append(item)
            index += 1
        text = f'{{"items":[{",".join(items)}],"truncated":{json.dumps(more)},"ledgerRev":{self.revision}}}'
        return 200, text.encode()

    async def changes(self, node: str, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + min(60_000, int(query.get("blockMs", "0"))) / 1000
        while True:
            if node not in self.refused:
                if self.history and after < self.history[0][0] - 1:
                    return 410, {"error": "too old"}
                start = bisect.bisect_right(self.history, after, key=lambda entry: entry[0])
                news = [event for _, key, event in self.history[start:] if key.startswith(prefix)]
                if news or time.monotonic() >= end:
                    return 200, {"ledgerRev": self.revision, "news": news}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.01, min(0.5, end - time.monotonic())))
                except TimeoutError:
                    pass


# -- cloud and workers -----------------------------------------------------------------------------


class Cloud:
    """PROTOCOL, "Controller nodes -> cloud"."""

    def __init__(self, site: Site) -> None:
        self.site, self.record = site, site.record
        self.workers: dict[str, Worker] = {}
        self.gone: list[tuple[float, float, dict[str, Any]]] = []  # rented, deleted, entry
        self.hires: dict[str, list[str]] = {}
        self.number = 0
        self.rate = Rate(site.cloud["rps"], 2.0)
        self.boot_s = 2.0
        self.capacity = site.capacity
        self.down = False

    async def add(self, zone: str, spot: bool, boot_s: float) -> str:
        self.number += 1
        name = f"vm-{self.number:06d}"
        worker = self.workers[name] = Worker(self.site, name, zone, spot)
        if boot_s <= 0:
            await worker.start()
        else:
            asyncio.ensure_future(worker.start_later(boot_s))
        return name

    def remove(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()
            self.gone.append((worker.rented_at, time.monotonic(), worker.entry()))

    def listed(self) -> list[dict[str, Any]]:
        at = time.monotonic() - self.site.cloud["list_lag_s"]
        alive = [(w.rented_at, w.entry(at)) for w in self.workers.values() if w.rented_at <= at]
        alive += [(rented, entry) for rented, deleted, entry in self.gone if rented <= at < deleted]
        return sorted(({**entry, "ageS": at - rented} for rented, entry in alive), key=lambda entry: entry["ref"])

    async def start(self, port: int) -> None:
        await serve(port, self.handler)

    async def handler(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any] | None:
        await asyncio.sleep(0.02)
        if self.down:
            return 503, {"error": "trouble"}
        if not self.rate.take():
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"rigTypes": self.site.types}
        if method == "GET":
            entries = [entry for entry in self.listed() if entry["ref"] > query.get("after", "")]
            return 200, {"rigs": entries[:500], "truncated": len(entries) > 500}
        value = json.loads(body)
        if path == "/hosts/delete":
            for name in value["rigs"]:
                self.remove(name)
            self.record.add("deleted", rigs=value["rigs"])
            return 200, {}
        if value["hire"] not in self.hires:
            count = min(value["count"], 50, self.capacity - len(self.workers))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.hires[value["hire"]] = [
                await self.add(value["hall"], value["loaner"], self.boot_s) for _ in range(count)
            ]
        self.record.add("rented", request=value, rigs=self.hires[value["hire"]])
        return 200, {"rigs": self.hires[value["hire"]]}


class Worker:
    """PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"."""

    def __init__(self, site: Site, name: str, zone: str, spot: bool) -> None:
        self.site, self.record = site, site.record
        self.name, self.zone, self.spot = name, zone, spot
        self.kind = site.types[0]
        self.rented_at = time.monotonic()
        self.up_at: float | None = None
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.images: set[str] = set()
        self.session_at = self.accepted_at = 0.0
        self.port = 0
        self.node = 0
        self.loops: list[asyncio.Task[None]] = []
        self.changed = asyncio.Event()
        self.server: asyncio.base_events.Server | None = None
        self.cut = False  # the machine is cut from the network
        self.unreachable: set[str] = (
            set()
        )  # controllers that are cut from the machine; all direct commands are lost then

    def entry(self, at: float | None = None) -> dict[str, Any]:
        running = self.up_at is not None and (at is None or self.up_at <= at)
        return {
            "ref": self.name,
            "endpoint": f"127.0.0.1:{self.port or 9}",
            "rigType": self.kind["name"],
            "hall": self.zone,
            "loaner": self.spot,
            "status": "running" if running else "booting",
        }

    async def start_later(self, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if self.site.cloud_service.workers.get(self.name) is self:
            await self.start()

    async def start(self) -> None:
        self.port = free_ports(1)[0]
        self.server = await serve(self.port, self.direct)
        self.up_at = self.session_at = self.accepted_at = time.monotonic()
        self.node = self.site.home(self.zone)
        self.loops = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.lease_loop())]

    def stop(self) -> None:
        for loop in self.loops:
            loop.cancel()
        if self.server is not None:
            self.server.close()
        for key in list(self.tasks):
            self.leave(key, "machine gone")
        self.tasks.clear()

    def leave(self, key: tuple[str, int], why: str) -> None:
        task = self.tasks[key]
        if task.get("on"):
            task["on"] = False
            self.site.task_left(self, key, why)

    async def lease_loop(self) -> None:
        lease_s = self.site.workers["lease_s"]
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if now - max(self.accepted_at, self.session_at) > lease_s:
                self.record.add("session", rig=self.name, ended=self.shift, tasks=len(self.tasks))
                for key in list(self.tasks):
                    self.leave(key, "lease expired")
                self.tasks.clear()
                self.shift += 1
                self.session_at = now
                self.changed.set()

    def report(self) -> bytes:
        self.tick += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            entry = {"piece": piece, "tryNo": attempt, "status": task["status"]}
            if task["status"] == "ended":
                entry["exitCause"] = task["cause"]
            pieces.append(entry)
        value = {
            **{key: value for key, value in self.entry().items() if key not in ("ref", "status")},
            "rig": self.name,
            "shift": self.shift,
            "tick": self.tick,
            "baton": self.baton,
            "recallS": None,
            "pieces": pieces,
        }
        return json.dumps(value, separators=(",", ":")).encode()

    async def report_loop(self) -> None:
        report_s = self.site.workers["report_s"]
        while True:
            self.changed.clear()
            sent_at, shift = time.monotonic(), self.shift
            node = self.site.nodes[self.node % len(self.site.nodes)]
            body = self.report()
            if self.cut or node.name in self.unreachable:
                await asyncio.sleep(4.0)
                answer = None
            else:
                answer = await call(node.users, "POST", "/v1/report", body, 4.0)
            status = answer[0] if answer is not None else 0
            self.site.on_report(self, node, body, answer)
            if status == 200 and answer is not None:
                if max(map(len, answer[1].split(b"\n"))) > LINE_MAX:
                    self.record.add("long line", rig=self.name, node=node.name, bytes=len(answer[1]))
                    status = 0  # a line that no worker has to read: like no answer
                else:
                    value = json.loads(answer[1])
                    if shift == self.shift and value.get("baton", -1) >= self.baton:
                        self.accept_token(value["baton"])
                        self.accepted_at = sent_at
                        self.execute(value["orders"], node.name)
            if status != 200:
                target = json.loads(answer[1]).get("reportsTo") if status == 421 and answer is not None else None
                names = [n.name for n in self.site.nodes]
                if target in names and target != node.name:
                    self.node = names.index(target)
                    await asyncio.sleep(0.1)
                    continue
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1.0)
                continue
            await asyncio.sleep(max(0.0, min(0.5, report_s) - (time.monotonic() - sent_at)))
            try:
                jitter = 0.75 + 0.5 * ((self.tick * 7919) % 100) / 100
                rest = report_s * jitter - (time.monotonic() - sent_at)
                await asyncio.wait_for(self.changed.wait(), max(0.001, rest))
            except TimeoutError:
                pass

    def accept_token(self, token: int) -> None:
        if token > self.baton:
            self.baton = token
            self.changed.set()

    async def direct(self, method: str, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any] | None:
        if self.cut or self.unreachable:
            await asyncio.sleep(30.0)
            return None
        if path == "/show":
            return 200, self.report()
        if len(body) > BODY_MAX:
            return 400, {"error": "too large"}
        value = json.loads(body)
        if "baton" not in value or "shift" not in value:
            return 400, {"error": "baton or shift is missing"}
        if value["baton"] < self.baton or value["shift"] != self.shift:
            return 409, self.report()
        self.accept_token(value["baton"])
        self.execute(value["orders"], "direct")
        return 200, self.report()

    def execute(self, orders: list[dict[str, Any]], source: str) -> None:
        for order in orders:
            key = order["piece"], order["tryNo"]
            self.record.add("order", rig=self.name, source=source, **order)
            if order["verb"] == "run" and key not in self.tasks:
                self.run(key)
                self.changed.set()
            elif order["verb"] == "halt" and key in self.tasks and self.tasks[key]["status"] != "ended":
                self.end(key, "halted")
            elif order["verb"] == "reap" and key in self.tasks and self.tasks[key]["status"] == "ended":
                del self.tasks[key]
                self.changed.set()

    def has_room(self, spec: dict[str, Any]) -> bool:
        """Whether a task of this job fits beside the tasks that have not ended."""
        live = [piece for (piece, _), task in self.tasks.items() if task["status"] != "ended"]
        used = [self.site.jobs[piece.partition("/")[0]] for piece in live]
        return all(
            sum(job[name] for job in used) + spec[name] <= self.kind[name] + 1e-6 for name in ("cpus", "gpus", "memGb")
        )

    def run(self, key: tuple[str, int]) -> None:
        ref, _, number = key[0].partition("/")
        spec = self.site.jobs.get(ref)
        if spec is None or int(number) >= spec["pieces"]:
            self.tasks[key] = {"status": "ended", "cause": "no_such"}
            return
        if any(piece == key[0] and task["status"] != "ended" for (piece, _), task in self.tasks.items()):
            self.tasks[key] = {"status": "ended", "cause": "in_use"}
            return
        if not self.has_room(spec):
            self.tasks[key] = {"status": "ended", "cause": "no_room"}
            return
        self.tasks[key] = {"status": "fetching"}
        fetch_s = 0.0 if spec["bundle"] in self.images else spec["pullGb"] / self.kind["pullGbPerS"]
        asyncio.get_running_loop().call_later(fetch_s, self.fetched, key, self.shift, spec)

    def fetched(self, key: tuple[str, int], shift: int, spec: dict[str, Any]) -> None:
        task = self.tasks.get(key)
        if task is None or shift != self.shift or task["status"] != "fetching":
            return
        self.images.add(spec["bundle"])
        task.update(status="running", on=True)
        self.site.task_started(self, key)
        self.changed.set()
        if spec["shape"] != "daemon":
            run_s = 0.0 if key[0] in self.site.completed else self.site.run_s(key[0])
            asyncio.get_running_loop().call_later(run_s, self.complete, key, shift)

    def complete(self, key: tuple[str, int], shift: int) -> None:
        task = self.tasks.get(key)
        if task is not None and shift == self.shift and task["status"] == "running":
            self.site.completed.add(key[0])
            self.end(key, "done")

    def end(self, key: tuple[str, int], cause: str) -> None:
        self.leave(key, cause)
        self.tasks[key].update(status="ended", cause=cause)
        self.changed.set()


# -- the network between controllers ---------------------------------------------------------------


class Link:
    """The way from one controller to another. While it is cut, nothing passes; then its connections are reset."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.cut = False
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        await asyncio.start_server(self.connection, "127.0.0.1", port)

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        host, _, port = self.target.partition(":")
        try:
            if self.cut:
                await reader.read(1 << 20)  # silent until the cut ends
                while self.cut:
                    await asyncio.sleep(0.05)
                return
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(back_writer)
            await asyncio.gather(self.pass_on(reader, back_writer), self.pass_on(back_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()

    async def pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(1 << 16):
                if self.cut:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not self.cut:
                writer.close()

    def set_cut(self, cut: bool) -> None:
        self.cut = cut
        if not cut:
            for writer in self.writers:
                writer.transport.abort()
            self.writers.clear()


# -- controllers and the site ----------------------------------------------------------------------


class Node:
    """A controller process."""

    def __init__(self, site: Site, name: str, zone: str, users: int, back: int, state: int) -> None:
        self.site, self.name, self.zone = site, name, zone
        self.users, self.back, self.state = f"127.0.0.1:{users}", f"127.0.0.1:{back}", state
        self.process: subprocess.Popen[bytes] | None = None
        self.config = site.folder / f"{name}.toml"
        self.env: dict[str, str] = {}

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        log = open(self.site.folder / f"{self.name}.log", "ab")
        env = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info"), **self.env}
        self.process = subprocess.Popen(
            [*shlex.split(run), str(self.config)], cwd=ROOT, stdout=log, stderr=log, env=env, start_new_session=True
        )
        self.site.record.add("controller starts", node=self.name)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)
            self.site.record.add("signal", node=self.name, signal=signal.Signals(number).name)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self) -> float:
        """The memory that the process holds, without the pages of files that it has mapped."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text() if self.process else ""
        except OSError:
            return 0.0
        return next((int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("RssAnon")), 0.0)

    def log(self) -> str:
        return (self.site.folder / f"{self.name}.log").read_text(errors="replace")


class Site:
    """A small deployment: the sizes of kessaku-sapporo (BRIEF, DEPLOY)."""

    def __init__(self, folder: pathlib.Path, nodes: int = 3) -> None:
        self.case = folder
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.record = Record(folder)
        self.zones = ["ishikari-hall", "tokachi-annex"]
        self.workers = {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 35.0}
        self.state = {"rps": 120.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8}
        self.cloud = {"rps": 5.0, "list_lag_s": 3.0}
        self.teams = [
            {"name": f"platform-crew-{i:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 48.0}
            for i in range(8)
        ]
        self.objectives = [{"kind": "wait", "class": "fitcheck-live", "within_s": 8.0, "share": 0.92}]
        self.capacity = 48
        self.types: list[dict[str, Any]] = [
            {
                "name": "optic-gpu32",
                "cpus": 32,
                "gpus": 4,
                "memGb": 256,
                "cacheGb": 120,
                "pullGbPerS": 1.0,
                "hourly": 12.75,
                "spotPrice": 3.26,
                "bootS": 45,
                "halls": self.zones,
            }
        ]
        self.jobs: dict[str, dict[str, Any]] = {}
        self.completed: set[str] = set()  # tasks whose result is kept
        self.on_machine: dict[str, set[str]] = {}  # task: machines that it is on
        self.starts: dict[str, int] = {}
        self.broken: list[str] = []  # rules broken, with what was seen
        self.run_s: Callable[[str], float] = lambda piece: 5.0
        self.on_report: Callable[[Worker, Node, bytes, tuple[int, bytes] | None], None] = lambda *args: None
        self.node_count = nodes
        self.link_ports: dict[tuple[str, str], int] = {}
        self.links: dict[tuple[str, str], Link] = {}  # by the names of the two controllers
        self.nodes: list[Node] = []
        self.ports: list[int] = []
        self.background: set[asyncio.Task[Any]] = set()
        self.told: dict[str, str] = {}  # job: final state that its user was told

    def home(self, zone: str) -> int:
        return next((i for i, node in enumerate(self.nodes) if node.zone == zone), 0)

    async def start(self, machines: int = 4, links: bool = False) -> None:
        """Serve the stand-ins, with this many machines up, and start the controllers."""
        self.state_service, self.cloud_service = State(self), Cloud(self)
        ports = free_ports(3 * self.node_count + 1)
        cloud_port = ports.pop()
        await self.cloud_service.start(cloud_port)
        for i in range(self.node_count):
            zone = self.zones[i % len(self.zones)]
            node = Node(self, f"wingnode-{i}", zone, ports[3 * i], ports[3 * i + 1], ports[3 * i + 2])
            self.nodes.append(node)
            await self.state_service.start(node.name, node.state)
        if links:
            await self.start_links()
        for node in self.nodes:
            node.config.write_text(self.settings(node, cloud_port))
        self.spawn(self.state_service.expire_loop())
        for i in range(machines):
            await self.cloud_service.add(self.zones[i % len(self.zones)], False, 0.0)
        for node in self.nodes:
            node.start()

    def settings(self, node: Node, cloud_port: int) -> str:
        def table(name: str, values: dict[str, Any]) -> str:
            return f"[{name}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items()) + "\n"

        text = f'node = "{node.name}"\nzone = "{node.zone}"\nclient_listen = "{node.users}"\nback = "{node.back}"\n\n'
        for peer in self.nodes:
            if peer is not node:
                address = self.peer_address(node, peer)
                text += f'[[seeds]]\nnode = "{peer.name}"\nzone = "{peer.zone}"\naddr = "{address}"\n\n'
        text += table("services", {"cloud": f"127.0.0.1:{cloud_port}", "state": f"127.0.0.1:{node.state}"})
        text += table("settings", {"nodes": self.node_count, "zones": self.zones, "skew_ms": 25.0})
        for team in self.teams:
            text += "[" + table("settings.teams", team).replace("]\n", "]]\n", 1)
        for objective in self.objectives:
            text += "[" + table("settings.objectives", objective).replace("]\n", "]]\n", 1)
        text += table("settings.workers", self.workers)
        text += table("settings.state", self.state)
        text += table("settings.cloud", self.cloud)
        text += table("settings.machine_limits", {"cpu": 0.5, "mem_mb": 146.0, "sockets": 700})
        return text

    def peer_address(self, node: Node, peer: Node) -> str:
        return f"127.0.0.1:{self.link_ports[node.name, peer.name]}" if self.link_ports else peer.back

    async def start_links(self) -> None:
        """Let the connections between controllers go through links that can be cut. Called by `start`."""
        for node in self.nodes:
            for peer in self.nodes:
                if node is not peer:
                    link = self.links[node.name, peer.name] = Link(peer.back)
                    self.link_ports[node.name, peer.name] = free_ports(1)[0]
                    await link.start(self.link_ports[node.name, peer.name])

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    def leader(self) -> Node | None:
        """The node that the state service names as the leader."""
        item = self.state_service.items.get("leader")
        return next((node for node in self.nodes if item and node.name == item[0].get("node")), None)

    async def until(self, what: str, test: Callable[[], Any], timeout: float) -> Any:
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if (value := test()) is not None and value is not False:
                return value
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {timeout:g} s: {what}")

    async def ready(self, timeout: float = 30.0) -> None:
        """Wait until all controllers are healthy and one leads."""
        for node in self.nodes:
            end = time.monotonic() + timeout
            while (answer := await call(node.users, "GET", "/up", timeout=1.0)) is None or answer[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} is not healthy")
                await asyncio.sleep(0.2)
        await self.until("a leader", self.leader, timeout)

    # -- users ---------------------------------------------------------------------------------

    def job(self, ref: str, **fields: Any) -> dict[str, Any]:
        value = {
            "ref": ref,
            "jobClass": "lens-render",
            "owner": "platform-crew-00",
            "shape": "array",
            "urgency": "normal",
            "pieces": 1,
            "cpus": 6.0,
            "gpus": 1.0,
            "memGb": 48.0,
            "bundle": "img-00",
            "pullGb": 0.5,
            "rigTypes": None,
            "hall": None,
            "samePlace": False,
            "apart": False,
            "loaner": False,
            "expectedS": 10.0,
            "snapshotEveryS": 0.0,
            "snapshotS": 0.0,
            "dueS": None,
        }
        return {**value, **fields}

    async def ask(self, node: Node, method: str, path: str, body: Any = None, timeout: float = 5.0) -> tuple[int, Any]:
        """One request of a user; status 0: no answer."""
        answer = await call(node.users, method, path, body, timeout)
        try:
            result = (answer[0], json.loads(answer[1] or b"null")) if answer is not None else (0, None)
        except ValueError:
            result = (answer[0], None) if answer is not None else (0, None)
        sent = body if not isinstance(body, dict) else {"ref": body.get("ref"), "pieces": body.get("pieces")}
        self.record.add("user", node=node.name, request=f"{method} {path}", body=str(sent)[:300], answer=result)
        return result

    async def submit(
        self, job: dict[str, Any], node: Node | None = None, patience_s: float = 60.0, first: int = 0
    ) -> int:
        """Submit a job as a user does: retried after 1 s for `patience_s`, at one node after the other."""
        self.jobs[job["ref"]] = job  # users upload the description
        end, number = time.monotonic() + patience_s, first
        while True:
            target = node or self.nodes[number % len(self.nodes)]
            status, _ = await self.ask(target, "POST", "/work", job)
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status
            number += 1
            await asyncio.sleep(1.0)

    async def cancel(self, ref: str, node: Node | None = None, patience_s: float = 60.0) -> str | None:
        end, number = time.monotonic() + patience_s, 0
        while True:
            target = node or self.nodes[number % len(self.nodes)]
            status, value = await self.ask(target, "POST", f"/work/{ref}/abort", b"")
            if status == 200:
                return value["status"]
            if time.monotonic() > end:
                return None
            number += 1
            await asyncio.sleep(1.0)

    async def status(self, ref: str, node: Node | None = None) -> tuple[int, Any]:
        return await self.ask(node or self.nodes[0], "GET", f"/work/{ref}", timeout=2.0)

    # -- checks --------------------------------------------------------------------------------

    def task_started(self, worker: Worker, key: tuple[str, int]) -> None:
        piece = key[0]
        self.record.add("starts", piece=piece, tryNo=key[1], rig=worker.name, hall=worker.zone)
        others = self.on_machine.setdefault(piece, set())
        if others:
            self.break_rule("ran_twice", f"{piece} starts on {worker.name} while it is on {', '.join(sorted(others))}")
        others.add(worker.name)
        self.starts[piece] = self.starts.get(piece, 0) + 1

    def task_left(self, worker: Worker, key: tuple[str, int], why: str) -> None:
        self.record.add("leaves", piece=key[0], tryNo=key[1], rig=worker.name, why=why)
        self.on_machine.get(key[0], set()).discard(worker.name)

    def break_rule(self, rule: str, seen: str) -> None:
        self.broken.append(f"{rule}: {seen}")
        self.record.say(f"BROKEN {rule}: {seen}")

    def close(self) -> None:
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                (pathlib.Path(keep) / f"{node.name}.log").write_text(node.log())
        self.record.file.close()
        self.temporary.cleanup()


def main(case: str, play: Callable[[Site], Awaitable[None]], limit_s: float = 115.0, **options: Any) -> None:
    """Play a case and exit with 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    site = Site(pathlib.Path(case).resolve().parent, **options)

    async def run() -> None:
        async with asyncio.timeout(limit_s):
            await play(site)

    def on_signal(number: int, frame: Any) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_signal)  # the controllers are ended then too
    code = 2
    try:
        asyncio.run(run())
        code = 1 if site.broken else 0
    except CannotRun as err:
        site.record.say(f"cannot run: {err}")
    except TimeoutError:
        site.record.say("cannot run: out of time")
    except KeyboardInterrupt:
        site.record.say("cannot run: interrupted")
    finally:
        site.record.say({0: "the rule held", 1: "the rule was broken", 2: "no statement"}[code])
        site.close()
    sys.stdout.flush()
    os._exit(code)  # the event loop is closed; what was still open on it is of no interest
