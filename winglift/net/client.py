"""HTTP client with a connection pool, built on tornado's IOStream and HTTP1Connection.

Tornado's simple client opens a connection for every request. This client keeps a few open per address, because each new
connection costs sockets, packets and CPU time, which are scarce on the machines.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from dataclasses import dataclass, field

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

from .. import constants

log = logging.getLogger(__name__)

_PARAMS = HTTP1ConnectionParameters(max_header_size=16 * 1024, max_body_size=64 * 1024 * 1024, decompress=False)


class Unanswered(Exception):
    """No complete response arrived: the request may have been executed or not."""


class NotSent(Unanswered):
    """The connection could not be opened: the request was certainly not executed."""


@dataclass(slots=True)
class Reply:
    """An HTTP response; `retry_after` is the Retry-After header in seconds, if it is numeric."""

    status: int
    body: bytes
    retry_after: float | None = None


class _Collector(httputil.HTTPMessageDelegate):
    """Collects status, headers and body of one response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: httputil.HTTPHeaders | None = None
        self.body_chunks: list[bytes] = []
        self.finished = False

    def headers_received(self, start_line, headers):  # type: ignore[no-untyped-def]
        """Store status and headers."""
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self.body_chunks.append(chunk)

    def finish(self) -> None:
        """Mark the response as complete."""
        self.finished = True

    def reusable(self) -> bool:
        """Whether the connection can be used for another request after this response."""
        return self.finished and self.headers is not None and self.headers.get("Connection", "").lower() != "close"


@dataclass(slots=True)
class _PooledConnection:
    stream: IOStream
    idle_since: float  # s, monotonic


@dataclass
class PoolingHttpClient:
    """Client for one address. Opens connections on demand and keeps up to `max_idle` idle ones for later requests."""

    host: str
    port: int
    max_idle: int = constants.POOLED_CONNECTIONS_PER_ADDRESS_MAX
    _idle: deque[_PooledConnection] = field(default_factory=deque)

    async def _connect(self) -> IOStream:
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            stream.set_nodelay(True)
            await stream.connect((self.host, self.port))
        except BaseException as err:
            # Also close the socket of a cancelled attempt: during network partitions, sockets left open would use up
            # the process's limit.
            stream.close()
            if isinstance(err, (StreamClosedError, OSError)):
                raise NotSent(f"{self.host}:{self.port}: {err}") from None
            raise
        return stream

    def _take_idle(self) -> IOStream | None:
        now = time.monotonic()
        while self._idle:
            pooled = self._idle.pop()
            if pooled.stream.closed() or now - pooled.idle_since > constants.POOLED_CONNECTION_IDLE_TIMEOUT_S:
                pooled.stream.close()
                continue
            return pooled.stream
        return None

    async def _exchange(self, stream: IOStream, method: str, path: str, body: bytes | None) -> Reply:
        conn = HTTP1Connection(stream, True, _PARAMS)
        headers = httputil.HTTPHeaders({"Host": f"{self.host}:{self.port}"})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(body))
        collector = _Collector()
        complete = False
        try:
            conn.write_headers(httputil.RequestStartLine(method, path, ""), headers, body)
            conn.finish()
            await conn.read_response(collector)
            complete = collector.finished
        except (StreamClosedError, OSError, httputil.HTTPInputError) as err:
            raise Unanswered(f"{method} {path}: {err}") from None
        finally:
            if not complete or not collector.reusable() or len(self._idle) >= self.max_idle or stream.closed():
                stream.close()
            else:
                conn.detach()
                stream.set_close_callback(None)
                self._idle.append(_PooledConnection(stream, time.monotonic()))
        if not complete or collector.headers is None:
            raise Unanswered(f"{method} {path}: connection closed")
        retry_after = collector.headers.get("Retry-After")
        delay_s = float(retry_after) if retry_after and retry_after.isdigit() else None
        return Reply(collector.status, b"".join(collector.body_chunks), delay_s)

    async def request(self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0) -> Reply:
        """Send one request and return its response; `timeout` in s covers connecting and the exchange.

        Raises NotSent if no connection could be opened, else Unanswered if no complete response arrived: then the
        outcome is unknown, and the caller decides whether to retry.
        """
        try:
            async with asyncio.timeout(timeout):
                stream = self._take_idle()
                if stream is not None:
                    try:
                        return await self._exchange(stream, method, path, body)
                    except Unanswered:
                        # The server may have closed the idle connection. Only a GET is safe to repeat.
                        if method != "GET":
                            raise
                return await self._exchange(await self._connect(), method, path, body)
        except TimeoutError:
            # The pooled connections may be cut off by the same network partition: open new ones next time.
            self.close()
            raise Unanswered(f"{method} {path}: no answer within {timeout:g} s") from None

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().stream.close()
