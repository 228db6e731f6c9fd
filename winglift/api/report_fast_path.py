"""Fast path for workers' reports, which bypasses tornado's routing and handlers; other requests take the usual path.

Reports (PROTOCOL, "POST /v1/report") are by far the most frequent requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tornado import httputil, web
from tornado.http1connection import HTTP1Connection

REPORT_PATH = "/v1/report"

Answer = tuple[int, bytes]
ReportHandler = Callable[[bytes], Answer | asyncio.Future[Answer]]


class ReportFastPath(httputil.HTTPServerConnectionDelegate):
    """Dispatches requests: reports to `on_report`, all others to the web application.

    With 515 machines, a web handler per report took a third of each node's CPU time.
    """

    def __init__(self, application: web.Application, on_report: ReportHandler) -> None:
        self.application = application
        self.on_report = on_report

    def start_request(self, server_conn: object, request_conn: httputil.HTTPConnection) -> httputil.HTTPMessageDelegate:
        """Begin a request."""
        return _Request(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Pass on that a connection was closed."""
        self.application.on_close(server_conn)


class _Request(httputil.HTTPMessageDelegate):
    """One request; `delegate` handles it unless it is a report."""

    def __init__(self, fast_path: ReportFastPath, server_conn: object, request_conn: httputil.HTTPConnection) -> None:
        self.fast_path = fast_path
        self.server_conn = server_conn
        self.request_conn = request_conn
        self.delegate: httputil.HTTPMessageDelegate | None = None
        self.chunks: list[bytes] = []

    def headers_received(self, start_line, headers):  # type: ignore[no-untyped-def]
        """Choose the fast path or the application by the request's method and path."""
        if start_line.method == "POST" and start_line.path == REPORT_PATH:
            return None
        self.delegate = self.fast_path.application.start_request(self.server_conn, self.request_conn)
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect a chunk of a report's body, or pass it on."""
        if self.delegate is not None:
            return self.delegate.data_received(chunk)
        self.chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Handle the complete request; a forwarded report is answered once its future is done."""
        if self.delegate is not None:
            self.delegate.finish()
            return
        answer = self.fast_path.on_report(b"".join(self.chunks))
        if isinstance(answer, tuple):
            self._send(answer)
        else:
            answer.add_done_callback(self._on_answer_ready)

    def on_connection_close(self) -> None:
        """Pass on that the client closed the connection."""
        if self.delegate is not None:
            self.delegate.on_connection_close()

    def _on_answer_ready(self, answer: asyncio.Future[Answer]) -> None:
        if not answer.cancelled():
            self._send(answer.result())

    def _send(self, answer: Answer) -> None:
        status, body = answer
        conn = self.request_conn
        if isinstance(conn, HTTP1Connection) and conn.stream.closed():
            return
        headers = httputil.HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(body))})
        reason = httputil.responses.get(status, "Unknown")
        conn.write_headers(httputil.ResponseStartLine("HTTP/1.1", status, reason), headers, body)
        conn.finish()
