"""What a node has of the outside: clocks, chance, connections. Nothing else of this program reads a clock or opens one.

A node's tasks find it in their context, so that several nodes can live in one process, each with its own clocks and its
own place in a network. `Sockets` is the real one and the default; tests put a simulated one in its place with `enter`.
"""

from __future__ import annotations

import asyncio
import math
import random
import socket
import time
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any, Protocol

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from .client import Client, Reply


class Requests(Protocol):
    """HTTP requests to one address, one after the other or several at once."""

    async def request(self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0) -> Reply:
        """Raises `NotSent` if it was certainly not carried out, `Unanswered` if nothing is known. `timeout` in s."""
        ...

    def close(self) -> None: ...


class Stream(Protocol):
    """An open connection of bytes. All but `closed` raise tornado's StreamClosedError once it is closed."""

    def read_bytes(self, num_bytes: int) -> Awaitable[bytes]: ...

    def write(self, data: bytes) -> Awaitable[None]: ...

    def set_nodelay(self, value: bool) -> None: ...

    def closed(self) -> bool: ...

    def close(self) -> None: ...


class Server(Protocol):
    """An HTTP server that listens."""

    open: int  # connections of users and workers that are open

    def stop(self) -> None: ...

    async def close_all_connections(self) -> None: ...


OnStream = Callable[[Any, tuple], Awaitable[None]]


class Runtime(Protocol):
    def monotonic_time(self) -> float:
        """Seconds of a clock that never goes back, from an unknown beginning."""
        ...

    def wall_time(self) -> float:
        """The time of day, seconds since 1970, within `skew_ms` of the true one."""
        ...

    def random_source(self) -> random.Random: ...

    def client(self, host: str, port: int, most: int | None = None) -> Requests:
        """`most`: connections kept for later requests."""
        ...

    def serve(self, delegate: HTTPServerConnectionDelegate, host: str, port: int, **limits: Any) -> Server: ...

    async def connect(self, host: str, port: int) -> Stream:
        """Raises OSError or tornado's StreamClosedError; `ConnectionRefusedError` within it if nobody listens."""
        ...

    def listen(self, host: str, port: int, on_stream: OnStream) -> Callable[[], None]:
        """Hands each connection to `on_stream`; the answer ends the listening."""
        ...


class CountingServer(HTTPServer):
    """Counts open connections, so that users are refused before the sockets run out, and closes idle ones.

    tornado's own way to the latter is a timer and a future per request, a sixth of what a report costs.
    """

    open = 0

    def initialize(  # type: ignore[override]
        self,
        *args: Any,
        idle_connection_timeout: float = math.inf,
        **limits: Any,
    ) -> None:
        super().initialize(*args, **limits)
        self.conn_params.header_timeout = None
        self.idle_s = idle_connection_timeout
        self.seen: dict[object, float] = {}  # connection: when its latest request was awaited
        self._sweep: asyncio.TimerHandle | None = None

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self.open += 1
        super().handle_stream(stream, address)
        self._sweep_later()

    def start_request(self, server_conn: object, request_conn: Any) -> Any:
        self.seen[server_conn] = time.monotonic()
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        self.open -= 1
        self.seen.pop(server_conn, None)
        super().on_close(server_conn)

    def _sweep_later(self) -> None:
        if self._sweep is None and self.open and self.idle_s < math.inf:
            self._sweep = asyncio.get_running_loop().call_later(self.idle_s / 5, self._close_idle)

    def _close_idle(self) -> None:
        """Nobody answers so late, so a connection whose last request was awaited that long ago is idle."""
        self._sweep = None
        before = time.monotonic() - self.idle_s
        for server_conn, when in list(self.seen.items()):
            if when < before:
                server_conn.stream.close()  # type: ignore[attr-defined]
        self._sweep_later()


class _Streams(TCPServer):
    def __init__(self, on_stream: OnStream) -> None:
        super().__init__()
        self._on_stream = on_stream

    def handle_stream(self, stream: IOStream, address: tuple) -> Awaitable[None]:
        return self._on_stream(stream, address)


class SystemRuntime:
    """The machine that the process runs on."""

    def monotonic_time(self) -> float:
        return time.monotonic()

    def wall_time(self) -> float:
        return time.time()

    def random_source(self) -> random.Random:
        return random.Random()

    def client(self, host: str, port: int, most: int | None = None) -> Requests:
        return Client(host, port) if most is None else Client(host, port, most)

    def serve(self, delegate: HTTPServerConnectionDelegate, host: str, port: int, **limits: Any) -> Server:
        server = CountingServer(delegate, **limits)
        server.listen(port, host)
        return server

    async def connect(self, host: str, port: int) -> Stream:
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await stream.connect((host, port))
        except BaseException:
            stream.close()
            raise
        return stream

    def listen(self, host: str, port: int, on_stream: OnStream) -> Callable[[], None]:
        server = _Streams(on_stream)
        server.listen(port, host)
        return server.stop


_here: ContextVar[Runtime] = ContextVar("outside", default=SystemRuntime())  # noqa: B039 (it has no state of its own)


def current_runtime() -> Runtime:
    """The outside of the node to which the running code belongs."""
    return _here.get()


def use_runtime(outside: Runtime) -> None:
    """From now on, code of this context and what it starts sees this outside."""
    _here.set(outside)


def monotonic_time() -> float:
    return _here.get().monotonic_time()


def wall_time() -> float:
    return _here.get().wall_time()
