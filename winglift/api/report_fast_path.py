"""The first to see a request. Workers' reports, by far the most of them, take a short way past routing and handlers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tornado import httputil, web
from tornado.http1connection import HTTP1Connection

REPORT = "/v1/report"

Answer = tuple[int, bytes]
Handle = Callable[[bytes], Answer | asyncio.Future[Answer]]


class ReportFastPath(httputil.HTTPServerConnectionDelegate):
    """At 515 machines a web handler per report cost each node a third of its work."""

    def __init__(self, application: web.Application, on_report: Handle) -> None:
        self.application = application
        self.on_report = on_report

    def start_request(self, server_conn: object, request_conn: httputil.HTTPConnection) -> httputil.HTTPMessageDelegate:
        return _Request(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        self.application.on_close(server_conn)


class _Request(httputil.HTTPMessageDelegate):
    def __init__(self, front: ReportFastPath, server_conn: object, request_conn: httputil.HTTPConnection) -> None:
        self.front = front
        self.server_conn = server_conn
        self.request_conn = request_conn
        self.other: httputil.HTTPMessageDelegate | None = None
        self.chunks: list[bytes] = []

    def headers_received(self, start_line, headers):  # type: ignore[no-untyped-def]
        if start_line.method == "POST" and start_line.path == REPORT:
            return None
        self.other = self.front.application.start_request(self.server_conn, self.request_conn)
        return self.other.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.other is not None:
            return self.other.data_received(chunk)
        self.chunks.append(chunk)
        return None

    def finish(self) -> None:
        if self.other is not None:
            self.other.finish()
            return
        answer = self.front.on_report(b"".join(self.chunks))
        if isinstance(answer, tuple):
            self._answer(answer)
        else:
            answer.add_done_callback(self._answer_late)

    def on_connection_close(self) -> None:
        if self.other is not None:
            self.other.on_connection_close()

    def _answer_late(self, answer: asyncio.Future[Answer]) -> None:
        if not answer.cancelled():
            self._answer(answer.result())

    def _answer(self, answer: Answer) -> None:
        status, body = answer
        conn = self.request_conn
        if isinstance(conn, HTTP1Connection) and conn.stream.closed():
            return
        headers = httputil.HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(body))})
        reason = httputil.responses.get(status, "Unknown")
        conn.write_headers(httputil.ResponseStartLine("HTTP/1.1", status, reason), headers, body)
        conn.finish()
