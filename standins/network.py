"""Hosts and a network in simulated time, all in one process and on one event loop.

Code that runs in a host's context (`winglift.net.runtime`) sees that host's clocks. It is postponed while the host is
suspended, and dropped once the host has crashed. Within one process, the same seed repeats a run byte for byte.
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

from .loop import Loop, SuspendableHost

EPOCH = 1.7e9  # wall time at the start of a simulation


@dataclass(eq=False)
class Message:
    """A message between two hosts, as tests see it before it leaves its source."""

    source: str
    target: str
    what: str  # "POST /hosts", "answer POST /hosts", "bytes"
    body: bytes
    number: int


@dataclass(frozen=True)
class SentMessage:
    """A message that has left its host.

    `head` is the request line, or the status and headers of an answer; for other messages it is `Message.what`.
    """

    at: float  # simulated seconds
    source: str
    target: str
    head: str
    body: bytes


@dataclass(frozen=True)
class Delayed:
    """A verdict of `Network.watch`: the message arrives this much later."""

    seconds: float


@dataclass(eq=False)
class Cut:
    """A network partition in one direction: nothing from `source` reaches `target` until `Network.heal`.

    "" stands for any host, and a name with a leading "@" for all hosts of that zone.
    """

    source: str
    target: str
    hold: bool  # whether the messages sent meanwhile are delivered afterwards; otherwise they are lost
    held: list[Callable[[], None]] = field(default_factory=list)


class Host(SuspendableHost):
    """A host: its clocks and its connections to the network. A restart creates a new `Host` of the same name."""

    def __init__(self, net: Network, name: str, zone: str, drift: float = 0.0, skew_s: float = 0.0) -> None:
        self.net, self.name, self.zone = net, name, zone
        self.drift, self.skew_s = drift, skew_s
        self.suspended_callbacks = None
        self.crashed = False
        self.steps_left = 0
        self._random_source_count = 0
        self.context = contextvars.copy_context()
        self.context.run(runtime.use_runtime, self)

    def monotonic_time(self) -> float:
        return 1000.0 + self.net.loop.now * (1 + self.drift)

    def wall_time(self) -> float:
        return EPOCH + self.net.loop.now + self.skew_s

    def random_source(self) -> random.Random:
        self._random_source_count += 1
        return random.Random(f"{self.net.seed}/{self.name}/{self._random_source_count}")

    def client(self, host: str, port: int, max_idle: int | None = None) -> _Client:
        return _Client(self, f"{host}:{port}")

    def serve(self, delegate: httputil.HTTPServerConnectionDelegate, host: str, port: int, **limits: Any) -> _Server:
        return _Server(self, f"{host}:{port}", delegate)

    async def connect(self, host: str, port: int) -> _Pipe:
        return await self.net.connect(self, f"{host}:{port}")

    def listen(self, host: str, port: int, on_stream: runtime.OnStream) -> Callable[[], None]:
        self.net.listeners[f"{host}:{port}"] = (self, on_stream)
        return lambda: self.net.close_host_connections(self)

    def run(self, coroutine: Any) -> None:
        """Start a coroutine in this host's context."""
        self.context.run(self.net.loop.create_task, coroutine)

    def resume(self) -> None:
        if self.suspended_callbacks is not None and not self.crashed:
            self.net.loop._ready.extend(self.suspended_callbacks)
            self.suspended_callbacks = None

    def crash(self) -> None:
        """End the host's process: none of its callbacks run any more, and its connections are closed."""
        self.net.close_host_connections(self)
        self.crashed, self.suspended_callbacks = True, []


class Network:
    def __init__(self, seed: int = 0) -> None:
        self.loop = Loop()
        self.network_context = (
            contextvars.Context()
        )  # belongs to no host: messages are transmitted also while hosts are suspended
        self.seed = seed
        self.rng = random.Random(f"{seed}/network")
        self.listeners: dict[str, tuple[Host, Any]] = {}
        self.servers: dict[str, _Server] = {}
        self.pipes: list[_Pipe] = []
        self.cuts: list[Cut] = []
        self.held_messages: list[Callable[[], None]] = []  # messages that `watch` has held; calling an item delivers it
        self.loss = 0.002  # share of the messages that are lost once and sent again after 0.2 s
        self.log: list[str] = []
        self.number = 0
        # The verdict on a message: "hold", "drop", None (deliver), `Delayed`, or the delay in s of a second copy.
        self.watch: Callable[[Message], str | float | Delayed | None] = lambda message: None
        self.record: Callable[[SentMessage], None] = lambda sent: None  # called with each message that left its host

    def close_host_connections(self, host: Host) -> None:
        """Remove the host's listeners and servers, and close its connections."""
        self.listeners = {address: listener for address, listener in self.listeners.items() if listener[0] is not host}
        self.servers = {address: server for address, server in self.servers.items() if server.host is not host}
        for pipe in [p for p in self.pipes if p.host is host]:
            pipe.close()

    def heal(self, cut: Cut) -> None:
        """End a partition, and deliver the messages that it has held."""
        if cut in self.cuts:
            self.cuts.remove(cut)
        for deliver in cut.held:
            self.loop.call_later(0.01, deliver, context=self.network_context)
        cut.held.clear()

    def _cut(self, source: Host, target: Host) -> Cut | None:
        def matches(name: str, host: Host) -> bool:
            return name in ("", host.name, f"@{host.zone}")

        return next((c for c in self.cuts if matches(c.source, source) and matches(c.target, target)), None)

    def send(
        self,
        source: Host,
        target: Host,
        what: str,
        body: bytes,
        deliver: Callable[[], None],
        earliest: float = 0.0,
        head: str | None = None,
    ) -> float:
        """Send a message; `deliver` is called in the target's context when it arrives.

        Returns the time of arrival, or infinity if it is not known. It is not before `earliest`. `head`, if given, is
        recorded in place of `what`.
        """
        self.number += 1
        message = Message(source.name, target.name, what, body, self.number)
        self.log.append(f"{self.loop.now:.6f} {source.name} {target.name} {what} {len(body)}")
        verdict = self.watch(message)
        if source.crashed:  # `watch` may have crashed the host: then the message was never sent
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
            when = max(self.loop.now + delay, earliest)
            self.loop.call_at(when, arrive, context=self.network_context)
            return when
        return math.inf

    async def connect(self, host: Host, address: str) -> _Pipe:
        listener = self.listeners.get(address)
        await asyncio.sleep(0.002)
        if listener is None or listener[0].crashed:
            raise StreamClosedError(real_error=ConnectionRefusedError(address))
        target, on_stream = listener
        if self._cut(host, target) or self._cut(target, host):
            await asyncio.Event().wait()  # blocks until the caller's timeout
        local_end, remote_end = _Pipe(self, host), _Pipe(self, target)
        local_end.other, remote_end.other = remote_end, local_end
        target.run(on_stream(remote_end, (host.name, 0)))
        return local_end


class _Pipe:
    """One end of a byte stream between two hosts."""

    def __init__(self, net: Network, host: Host) -> None:
        self.net, self.host = net, host
        self.other: _Pipe
        self._buffer = b""
        self._last_arrival = 0.0
        self._open = True
        self._pending_read: tuple[int, asyncio.Future] | None = None
        net.pipes.append(self)

    def set_nodelay(self, value: bool) -> None:
        pass

    def closed(self) -> bool:
        return not self._open

    def close(self) -> None:
        if self._open:
            self._set_closed()
            self.net.send(self.host, self.other.host, "close", b"", self.other._set_closed, self._last_arrival)

    def _set_closed(self) -> None:
        self._open = False
        if self in self.net.pipes:
            self.net.pipes.remove(self)
        if self._pending_read is not None:
            future, self._pending_read = self._pending_read[1], None
            if not future.done():
                future.set_exception(StreamClosedError())

    def read_bytes(self, num_bytes: int) -> Awaitable[bytes]:
        future = self.net.loop.create_future()
        if not self._open and len(self._buffer) < num_bytes:
            future.set_exception(StreamClosedError())
        else:
            self._pending_read = num_bytes, future
            self._feed(b"")
        return future

    def _feed(self, data: bytes) -> None:
        self._buffer += data
        if self._pending_read is not None and len(self._buffer) >= self._pending_read[0]:
            (count, future), self._pending_read = self._pending_read, None
            chunk, self._buffer = self._buffer[:count], self._buffer[count:]
            if not future.done():
                future.set_result(chunk)

    def write(self, data: bytes) -> Awaitable[None]:
        future = self.net.loop.create_future()
        if not self._open:
            future.set_exception(StreamClosedError())
            future.exception()
        else:
            remote_end = self.other
            when = self.net.send(
                self.host, remote_end.host, "bytes", data, lambda: remote_end._feed(data), self._last_arrival
            )
            self._last_arrival = when if when < math.inf else self._last_arrival
            future.set_result(None)
        return future


class _Server:
    """An HTTP server in the simulated network. Requests arrive as single messages, without a simulated connection."""

    def __init__(self, host: Host, address: str, delegate: httputil.HTTPServerConnectionDelegate) -> None:
        self.host, self.delegate, self.open_connections = host, delegate, 0
        host.net.servers[address] = self

    def stop(self) -> None:
        self.host.net.servers = {a: s for a, s in self.host.net.servers.items() if s is not self}

    async def close_all_connections(self) -> None:
        pass


class _Exchange(httputil.HTTPConnection):
    """Receives the answer of a tornado application to one request."""

    def __init__(self, on_finished: Callable[[Reply, str], None]) -> None:
        self._on_finished = on_finished
        self._head = ""
        self._status, self._retry_after, self._chunks = 0, None, b""  # type: ignore[var-annotated]

    def _written(self) -> asyncio.Future:
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    def write_headers(self, start_line, headers, chunk=None):  # type: ignore[no-untyped-def]
        retry_after = headers.get("Retry-After")
        self._status, self._retry_after = start_line.code, float(retry_after) if retry_after else None
        # Tornado's Date comes from the real clock, and its Server names the installed version: neither is repeatable.
        kept_headers = sorted((k, v) for k, v in headers.get_all() if k not in ("Date", "Server"))
        self._head = "\n".join([f"answer {start_line.code}", *(f"{k}: {v}" for k, v in kept_headers)])
        return self.write(chunk or b"")

    def write(self, chunk: bytes) -> asyncio.Future:
        self._chunks += chunk
        return self._written()

    def finish(self) -> None:
        self._on_finished(Reply(self._status, self._chunks, self._retry_after), self._head)

    def set_close_callback(self, callback: Any) -> None:
        pass


class _Client:
    def __init__(self, host: Host, address: str) -> None:
        self.host, self.address = host, address
        # Whether a connection is open. A request on it is sent also into a partition, which may deliver it later.
        self._is_connected = False

    async def request(self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0) -> Reply:
        net, host = self.host.net, self.host
        server = net.servers.get(self.address)
        if server is None:
            await asyncio.sleep(0.002)
            raise NotSent(f"{self.address}: refused")
        target, answer = server.host, net.loop.create_future()
        name = f"{method} {path.partition('?')[0]}"

        def send_answer(reply: Reply, head: str) -> None:
            def deliver_answer() -> None:
                if not answer.done():
                    answer.set_result(reply)

            net.send(target, host, f"answer {name}", reply.body, deliver_answer, head=f"{name}\n{head}")

        def handle() -> None:
            delegate = server.delegate.start_request(object(), _Exchange(send_answer))
            headers = httputil.HTTPHeaders(
                {"Host": self.address, "Content-Length": str(len(body or b"")), "X-From": host.name}
            )
            delegate.headers_received(httputil.RequestStartLine(method, path, "HTTP/1.1"), headers)
            if body:
                delegate.data_received(body)
            delegate.finish()

        if self._is_connected or net._cut(host, target) is None:
            net.send(host, target, name, body or b"", handle, head=f"{method} {path}")
        try:
            async with asyncio.timeout(timeout):
                reply = await answer
        except TimeoutError:
            self._is_connected = False
            raise Unanswered(f"{name}: no answer within {timeout:g} s") from None
        self._is_connected = True
        return reply

    def close(self) -> None:
        self._is_connected = False
