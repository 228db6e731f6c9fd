"""The runtime of a node: clocks, randomness and network connections.

All other modules of a node read clocks and open connections through the runtime. It is kept in a context variable, so
that several nodes can run in one process, each with its own clocks and its own location in the network. `SystemRuntime`
is the default; tests install a simulated runtime with `use_runtime`.
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

from .client import PoolingHttpClient, Reply


class HttpClient(Protocol):
    """HTTP client for one address; requests may run concurrently."""

    async def request(self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0) -> Reply:
        """Send one request; `timeout` in s. Raises NotSent if it was certainly not executed, else Unanswered."""
        ...

    def close(self) -> None:
        """Close all idle connections."""
        ...


class Stream(Protocol):
    """An open byte stream. All methods but `closed` and `close` raise tornado's StreamClosedError once it is closed."""

    def read_bytes(self, num_bytes: int) -> Awaitable[bytes]:
        """Read exactly `num_bytes` bytes."""
        ...

    def write(self, data: bytes) -> Awaitable[None]:
        """Write all of `data`; completes once the data is handed to the socket."""
        ...

    def set_nodelay(self, value: bool) -> None:
        """Switch TCP_NODELAY on or off."""
        ...

    def closed(self) -> bool:
        """Whether the stream is closed."""
        ...

    def close(self) -> None:
        """Close the stream."""
        ...


class Server(Protocol):
    """A listening HTTP server."""

    open_connections: int  # number of open connections from users and workers

    def stop(self) -> None:
        """Accept no more connections."""
        ...

    async def close_all_connections(self) -> None:
        """Close all open connections."""
        ...


OnStream = Callable[[Any, tuple], Awaitable[None]]


class Runtime(Protocol):
    """Clocks, randomness and network connections of one node."""

    def monotonic_time(self) -> float:
        """Seconds of a clock that never goes backwards, counted from an arbitrary origin."""
        ...

    def wall_time(self) -> float:
        """Wall-clock time in seconds since 1970, within `skew_ms` of the true time."""
        ...

    def random_source(self) -> random.Random:
        """A new random generator."""
        ...

    def client(self, host: str, port: int, max_idle: int | None = None) -> HttpClient:
        """An HTTP client for one address; `max_idle` is the number of idle connections it keeps."""
        ...

    def serve(self, delegate: HTTPServerConnectionDelegate, host: str, port: int, **limits: Any) -> Server:
        """Start an HTTP server; `limits` are keyword arguments of tornado's HTTPServer."""
        ...

    async def connect(self, host: str, port: int) -> Stream:
        """Open a connection.

        Raises OSError or tornado's StreamClosedError, whose `real_error` is a ConnectionRefusedError if nothing listens
        on the port.
        """
        ...

    def listen(self, host: str, port: int, on_stream: OnStream) -> Callable[[], None]:
        """Pass each accepted connection to `on_stream`; return a function that stops listening."""
        ...


class CountingServer(HTTPServer):
    """HTTP server that counts open connections and closes idle ones.

    The count lets the node refuse users before it runs out of sockets. Tornado's own idle timeout is not used: it
    creates a timer and a future per request, which took a sixth of the cost of handling a report.
    """

    open_connections = 0

    def initialize(  # type: ignore[override]
        self,
        *args: Any,
        idle_connection_timeout: float = math.inf,
        **limits: Any,
    ) -> None:
        """Set up the server; `idle_connection_timeout` in s, `limits` as for tornado's HTTPServer."""
        super().initialize(*args, **limits)
        self.conn_params.header_timeout = None
        self.idle_s = idle_connection_timeout
        self.waiting_since: dict[object, float] = {}  # monotonic s, by connection
        self._sweep_timer: asyncio.TimerHandle | None = None

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Count an accepted connection and serve it."""
        self.open_connections += 1
        super().handle_stream(stream, address)
        self._schedule_sweep()

    def start_request(self, server_conn: object, request_conn: Any) -> Any:
        """Record that the connection waits for its next request from now on."""
        self.waiting_since[server_conn] = time.monotonic()
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection from the count."""
        self.open_connections -= 1
        self.waiting_since.pop(server_conn, None)
        super().on_close(server_conn)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None and self.open_connections and self.idle_s < math.inf:
            self._sweep_timer = asyncio.get_running_loop().call_later(self.idle_s / 5, self._close_idle)

    def _close_idle(self) -> None:
        """Close connections that have waited longer than `idle_s`. No answer takes that long, so they are idle."""
        self._sweep_timer = None
        min_waiting_since = time.monotonic() - self.idle_s
        for server_conn, since in list(self.waiting_since.items()):
            if since < min_waiting_since:
                server_conn.stream.close()  # type: ignore[attr-defined]
        self._schedule_sweep()


class _StreamServer(TCPServer):
    """TCP server that passes each accepted connection to a callback."""

    def __init__(self, on_stream: OnStream) -> None:
        super().__init__()
        self._on_stream = on_stream

    def handle_stream(self, stream: IOStream, address: tuple) -> Awaitable[None]:
        """Pass on an accepted connection."""
        return self._on_stream(stream, address)


class SystemRuntime:
    """Runtime with the clocks, random generator and network of the operating system."""

    def monotonic_time(self) -> float:
        """Seconds of the system's monotonic clock."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Seconds since 1970 by the system's clock."""
        return time.time()

    def random_source(self) -> random.Random:
        """A new random generator, seeded by the operating system."""
        return random.Random()

    def client(self, host: str, port: int, max_idle: int | None = None) -> HttpClient:
        """A pooling HTTP client for one address; `max_idle` is the number of idle connections it keeps."""
        return PoolingHttpClient(host, port) if max_idle is None else PoolingHttpClient(host, port, max_idle)

    def serve(self, delegate: HTTPServerConnectionDelegate, host: str, port: int, **limits: Any) -> Server:
        """Start an HTTP server on `host:port`."""
        server = CountingServer(delegate, **limits)
        server.listen(port, host)
        return server

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection. Raises OSError or tornado's StreamClosedError."""
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await stream.connect((host, port))
        except BaseException:
            stream.close()
            raise
        return stream

    def listen(self, host: str, port: int, on_stream: OnStream) -> Callable[[], None]:
        """Listen for TCP connections; return a function that stops listening."""
        server = _StreamServer(on_stream)
        server.listen(port, host)
        return server.stop


_current: ContextVar[Runtime] = ContextVar("runtime", default=SystemRuntime())  # noqa: B039 (SystemRuntime is stateless)


def current_runtime() -> Runtime:
    """The runtime of the node to which the running code belongs."""
    return _current.get()


def use_runtime(runtime: Runtime) -> None:
    """Install a runtime in the current context; tasks that are created from it later inherit the runtime."""
    _current.set(runtime)


def monotonic_time() -> float:
    """Seconds of the current runtime's monotonic clock."""
    return _current.get().monotonic_time()


def wall_time() -> float:
    """Seconds since 1970 by the current runtime's clock."""
    return _current.get().wall_time()
