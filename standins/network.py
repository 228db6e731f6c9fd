"""Several hosts in simulated time, in one process: an event loop without a clock of its own, and a network.

Whatever runs in a host's context (`winglift.net.outside`) sees that host's clocks, and is put off while the host stands
still and dropped once it has crashed. A seed replays to the byte within one process.
"""

from __future__ import annotations

import asyncio
import contextvars
import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from tornado import httputil
from tornado.iostream import StreamClosedError

from winglift.net import runtime
from winglift.net.client import NotSent, Reply, Unanswered

from .loop import Loop, Stops

EPOCH = 1.7e9  # time of day at the beginning of a world


@dataclass(eq=False)
class Message:
    """One packet train between two hosts, as tests see it before it leaves."""

    source: str
    target: str
    what: str  # "POST /hosts", "answer POST /hosts", "bytes"
    body: bytes
    number: int


@dataclass(frozen=True)
class SentMessage:
    """What has left a host: `head` is the request line, or the status and headers of an answer; else what it is."""

    at: float  # simulated seconds
    source: str
    target: str
    head: str
    body: bytes


@dataclass(frozen=True)
class Delayed:
    """A verdict on a message: it arrives this much later."""

    seconds: float


@dataclass(eq=False)
class Cut:
    """Nothing from `source` gets to `target` ("" for any host, a leading "@" names a zone) until it is mended.

    One way only; both ways take two of them.
    """

    source: str
    target: str
    hold: bool  # what was sent is delivered after it; otherwise connections are reset
    held: list[Callable[[], None]] = field(default_factory=list)


class Host(Stops):
    """A machine's outside: its clocks, and its place in the network. Restarted under the same name it is a new one."""

    def __init__(self, net: Network, name: str, zone: str, drift: float = 0.0, skew_s: float = 0.0) -> None:
        self.net, self.name, self.zone = net, name, zone
        self.drift, self.skew_s = drift, skew_s
        self.held = None
        self.crashed = False
        self.steps_left = 0
        self._drawn = 0
        self.context = contextvars.copy_context()
        self.context.run(runtime.use_runtime, self)

    def monotonic_time(self) -> float:
        return 1000.0 + self.net.loop.now * (1 + self.drift)

    def wall_time(self) -> float:
        return EPOCH + self.net.loop.now + self.skew_s

    def random_source(self) -> random.Random:
        self._drawn += 1
        return random.Random(f"{self.net.seed}/{self.name}/{self._drawn}")

    def client(self, host: str, port: int, max_idle: int | None = None) -> _Client:
        return _Client(self, f"{host}:{port}")

    def serve(self, delegate: httputil.HTTPServerConnectionDelegate, host: str, port: int, **limits: Any) -> _Server:
        return _Server(self, f"{host}:{port}", delegate)

    async def connect(self, host: str, port: int) -> _Pipe:
        return await self.net.connect(self, f"{host}:{port}")

    def listen(self, host: str, port: int, on_stream: runtime.OnStream) -> Callable[[], None]:
        self.net.listeners[f"{host}:{port}"] = (self, on_stream)
        return lambda: self.net.shut(self)

    def run(self, coroutine: Any) -> None:
        """Start a coroutine there."""
        self.context.run(self.net.loop.create_task, coroutine)

    def resume(self) -> None:
        if self.held is not None and not self.crashed:
            self.net.loop._ready.extend(self.held)
            self.held = None

    def crash(self) -> None:
        """Its process ends: nothing of it runs any more, and its connections are closed."""
        self.net.shut(self)
        self.crashed, self.held = True, []


class Network:
    def __init__(self, seed: int = 0) -> None:
        self.loop = Loop()
        self.network_context = (
            contextvars.Context()
        )  # belongs to no host: what is on its way moves on while hosts stand still
        self.seed = seed
        self.rng = random.Random(f"{seed}/network")
        self.listeners: dict[str, tuple[Host, Any]] = {}
        self.servers: dict[str, _Server] = {}
        self.pipes: list[_Pipe] = []
        self.cuts: list[Cut] = []
        self.held_messages: list[Callable[[], None]] = []  # messages that `watch` has held; a call delivers one
        self.loss = 0.002  # of the messages; each is sent again after 0.2 s
        self.log: list[str] = []
        self.number = 0
        # "hold", "drop", None, a delay, or the seconds after which a copy comes as well
        self.watch: Callable[[Message], str | float | Delayed | None] = lambda message: None
        self.record: Callable[[SentMessage], None] = lambda sent: None  # told of each message that left its host

    def shut(self, host: Host) -> None:
        self.listeners = {a: found for a, found in self.listeners.items() if found[0] is not host}
        self.servers = {a: server for a, server in self.servers.items() if server.host is not host}
        for pipe in [p for p in self.pipes if p.host is host]:
            pipe.close()

    def heal(self, cut: Cut) -> None:
        if cut in self.cuts:
            self.cuts.remove(cut)
        for deliver in cut.held:
            self.loop.call_later(0.01, deliver, context=self.network_context)
        cut.held.clear()

    def _cut(self, source: Host, target: Host) -> Cut | None:
        def fits(name: str, host: Host) -> bool:
            return name in ("", host.name, f"@{host.zone}")

        return next((c for c in self.cuts if fits(c.source, source) and fits(c.target, target)), None)

    def send(
        self,
        source: Host,
        target: Host,
        what: str,
        body: bytes,
        deliver: Callable[[], None],
        after: float = 0.0,
        head: str | None = None,
    ) -> float:
        """Deliver in the target's context; when it will be, or infinity if that is not known.

        `head` is recorded in place of `what`, where that leaves something out.
        """
        self.number += 1
        message = Message(source.name, target.name, what, body, self.number)
        self.log.append(f"{self.loop.now:.6f} {source.name} {target.name} {what} {len(body)}")
        verdict = self.watch(message)
        if source.crashed:  # the watcher may have ended it: what it was about to send never left
            return math.inf
        self.record(SentMessage(self.loop.now, source.name, target.name, what if head is None else head, body))
        cut = self._cut(source, target)

        def arrive() -> None:
            if not target.crashed:
                self.loop.call_soon(deliver, context=target.context)

        if verdict == "hold":
            self.held_messages.append(arrive)
        elif cut is not None and cut.hold:
            cut.held.append(arrive)
        elif cut is None and verdict != "drop":
            delay = self.rng.uniform(0.0005, 0.004) + (0.2 if self.rng.random() < self.loss else 0.0)
            if isinstance(verdict, Delayed):
                delay += verdict.seconds
            elif verdict is not None:
                self.loop.call_later(float(verdict), arrive, context=self.network_context)
            when = max(self.loop.now + delay, after)
            self.loop.call_at(when, arrive, context=self.network_context)
            return when
        return math.inf

    async def connect(self, host: Host, address: str) -> _Pipe:
        found = self.listeners.get(address)
        await asyncio.sleep(0.002)
        if found is None or found[0].crashed:
            raise StreamClosedError(real_error=ConnectionRefusedError(address))
        target, on_stream = found
        if self._cut(host, target) or self._cut(target, host):
            await asyncio.Event().wait()  # hangs until its caller gives up
        near, far = _Pipe(self, host), _Pipe(self, target)
        near.other, far.other = far, near
        target.run(on_stream(far, (host.name, 0)))
        return near


class _Pipe:
    """One end of a stream of bytes."""

    def __init__(self, net: Network, host: Host) -> None:
        self.net, self.host = net, host
        self.other: _Pipe
        self._buffer = b""
        self._last = 0.0
        self._open = True
        self._wanted: tuple[int, asyncio.Future] | None = None
        net.pipes.append(self)

    def set_nodelay(self, value: bool) -> None:
        pass

    def closed(self) -> bool:
        return not self._open

    def close(self) -> None:
        if self._open:
            self._end()
            self.net.send(self.host, self.other.host, "close", b"", self.other._end, self._last)

    def _end(self) -> None:
        self._open = False
        if self in self.net.pipes:
            self.net.pipes.remove(self)
        if self._wanted is not None:
            future, self._wanted = self._wanted[1], None
            if not future.done():
                future.set_exception(StreamClosedError())

    def read_bytes(self, num_bytes: int) -> Awaitable[bytes]:
        future = self.net.loop.create_future()
        if not self._open and len(self._buffer) < num_bytes:
            future.set_exception(StreamClosedError())
        else:
            self._wanted = num_bytes, future
            self._feed(b"")
        return future

    def _feed(self, data: bytes) -> None:
        self._buffer += data
        if self._wanted is not None and len(self._buffer) >= self._wanted[0]:
            (count, future), self._wanted = self._wanted, None
            found, self._buffer = self._buffer[:count], self._buffer[count:]
            if not future.done():
                future.set_result(found)

    def write(self, data: bytes) -> Awaitable[None]:
        future = self.net.loop.create_future()
        if not self._open:
            future.set_exception(StreamClosedError())
            future.exception()
        else:
            far = self.other
            when = self.net.send(self.host, far.host, "bytes", data, lambda: far._feed(data), self._last)
            self._last = when if when < math.inf else self._last
            future.set_result(None)
        return future


class _Server:
    """An HTTP server in the simulated network; requests come without connections of their own."""

    def __init__(self, host: Host, address: str, delegate: httputil.HTTPServerConnectionDelegate) -> None:
        self.host, self.delegate, self.open_connections = host, delegate, 0
        host.net.servers[address] = self

    def stop(self) -> None:
        self.host.net.servers = {a: s for a, s in self.host.net.servers.items() if s is not self}

    async def close_all_connections(self) -> None:
        pass


class _Exchange(httputil.HTTPConnection):
    """Takes what a tornado application answers."""

    def __init__(self, done: Callable[[Reply, str], None]) -> None:
        self._done = done
        self._head = ""
        self._status, self._after, self._chunks = 0, None, b""  # type: ignore[var-annotated]

    def _written(self) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    def write_headers(self, start_line, headers, chunk=None):  # type: ignore[no-untyped-def]
        after = headers.get("Retry-After")
        self._status, self._after = start_line.code, float(after) if after else None
        # tornado takes the date from the machine's clock, and says its own version.
        held_messages = sorted((k, v) for k, v in headers.get_all() if k not in ("Date", "Server"))
        self._head = "\n".join([f"answer {start_line.code}", *(f"{k}: {v}" for k, v in held_messages)])
        return self.write(chunk or b"")

    def write(self, chunk: bytes) -> asyncio.Future:
        self._chunks += chunk
        return self._written()

    def finish(self) -> None:
        self._done(Reply(self._status, self._chunks, self._after), self._head)

    def set_close_callback(self, callback: Any) -> None:
        pass


class _Client:
    def __init__(self, host: Host, address: str) -> None:
        self.host, self.address = host, address
        self._known = False  # a connection is open: what is sent on it may be held back and delivered late

    async def request(self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0) -> Reply:
        net, host = self.host.net, self.host
        server = net.servers.get(self.address)
        if server is None:
            await asyncio.sleep(0.002)
            raise NotSent(f"{self.address}: refused")
        target, answer = server.host, net.loop.create_future()
        name = f"{method} {path.partition('?')[0]}"

        def back(reply: Reply, head: str) -> None:
            def arrive() -> None:
                if not answer.done():
                    answer.set_result(reply)

            net.send(target, host, f"answer {name}", reply.body, arrive, head=f"{name}\n{head}")

        def handle() -> None:
            delegate = server.delegate.start_request(object(), _Exchange(back))
            headers = httputil.HTTPHeaders(
                {"Host": self.address, "Content-Length": str(len(body or b"")), "X-From": host.name}
            )
            delegate.headers_received(httputil.RequestStartLine(method, path, "HTTP/1.1"), headers)
            if body:
                delegate.data_received(body)
            delegate.finish()

        if self._known or net._cut(host, target) is None:
            net.send(host, target, name, body or b"", handle, head=f"{method} {path}")
        try:
            async with asyncio.timeout(timeout):
                reply = await answer
        except TimeoutError:
            self._known = False
            raise Unanswered(f"{name}: no answer within {timeout:g} s") from None
        self._known = True
        return reply

    def close(self) -> None:
        self._known = False
