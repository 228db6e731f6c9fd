"""HTTP client with kept connections, from tornado's own parts (IOStream and HTTP1Connection).

Tornado's simple client opens a connection for every request. This one keeps a few per address,
since connections cost sockets, packets and processor time that the machines are short of.
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
    """No complete answer came: the request may or may not have been carried out."""


class NotSent(Unanswered):
    """The connection could not be opened: the request was certainly not carried out."""


@dataclass(slots=True)
class Reply:
    """An HTTP answer."""

    status: int
    body: bytes
    retry_after: float | None = None


class _Collector(httputil.HTTPMessageDelegate):
    """Gathers one response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: httputil.HTTPHeaders | None = None
        self.chunks: list[bytes] = []
        self.finished = False

    def headers_received(self, start_line, headers):  # type: ignore[no-untyped-def]
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.finished = True

    def keep(self) -> bool:
        return self.finished and self.headers is not None and self.headers.get("Connection", "").lower() != "close"


@dataclass(slots=True)
class _Kept:
    stream: IOStream
    since: float


@dataclass
class Client:
    """One address. Connections are opened on demand and kept for the next request."""

    host: str
    port: int
    most: int = constants.POOL_PER_HOST
    _free: deque[_Kept] = field(default_factory=deque)

    async def _connect(self) -> IOStream:
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            stream.set_nodelay(True)
            await stream.connect((self.host, self.port))
        except BaseException as err:
            # A cancelled attempt must give its socket back, or cuts use up the socket limit.
            stream.close()
            if isinstance(err, (StreamClosedError, OSError)):
                raise NotSent(f"{self.host}:{self.port}: {err}") from None
            raise
        return stream

    def _take(self) -> IOStream | None:
        now = time.monotonic()
        while self._free:
            kept = self._free.pop()
            if kept.stream.closed() or now - kept.since > constants.POOL_IDLE_S:
                kept.stream.close()
                continue
            return kept.stream
        return None

    async def _exchange(self, stream: IOStream, method: str, path: str, body: bytes | None) -> Reply:
        conn = HTTP1Connection(stream, True, _PARAMS)
        headers = httputil.HTTPHeaders({"Host": f"{self.host}:{self.port}"})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(body))
        got = _Collector()
        done = False
        try:
            conn.write_headers(httputil.RequestStartLine(method, path, ""), headers, body)
            conn.finish()
            await conn.read_response(got)
            done = got.finished
        except (StreamClosedError, OSError, httputil.HTTPInputError) as err:
            raise Unanswered(f"{method} {path}: {err}") from None
        finally:
            if not done or not got.keep() or len(self._free) >= self.most or stream.closed():
                stream.close()
            else:
                conn.detach()
                stream.set_close_callback(None)
                self._free.append(_Kept(stream, time.monotonic()))
        if not done or got.headers is None:
            raise Unanswered(f"{method} {path}: connection closed")
        after = got.headers.get("Retry-After")
        return Reply(got.status, b"".join(got.chunks), float(after) if after and after.isdigit() else None)

    async def request(self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0) -> Reply:
        """Send one request. Without a complete answer nothing is known about it, and the caller decides."""
        try:
            async with asyncio.timeout(timeout):
                kept = self._take()
                if kept is not None:
                    try:
                        return await self._exchange(kept, method, path, body)
                    except Unanswered:
                        # The other side may have closed an idle connection; a read can simply be repeated.
                        if method != "GET":
                            raise
                return await self._exchange(await self._connect(), method, path, body)
        except TimeoutError:
            # Kept connections may sit behind the same cut: start afresh next time.
            self.close()
            raise Unanswered(f"{method} {path}: no answer within {timeout:g} s") from None

    def close(self) -> None:
        while self._free:
            self._free.pop().stream.close()
