"""HTTP handlers for users and the health check. Workers' reports are handled in `report_fast_path`."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from tornado import httputil, web
from tornado.httputil import HTTPServerRequest

from .. import constants
from ..model.records import InvalidRecord
from ..wire import users as user_messages
from .jobs import Jobs, TemporarilyUnavailable, Unschedulable

log = logging.getLogger(__name__)


class ApiHost(Protocol):
    """The part of a node that the handlers use."""

    @property
    def jobs(self) -> Jobs:
        """Submissions, status and cancellations."""
        ...

    def near_socket_limit(self) -> bool:
        """Whether so many connections are open that users' requests are refused."""

    def unavailable_reason(self) -> str | None:
        """The reason why the node can't serve requests, or None if it can."""


class BaseHandler(web.RequestHandler):
    """Base of all handlers: JSON responses, and errors as `{"error": text}`."""

    node: ApiHost

    def initialize(self, node: ApiHost) -> None:
        """Take the arguments of the route."""
        self.node = node

    def check_etag_header(self) -> bool:
        """Conditional requests are not supported."""
        return False

    def compute_etag(self) -> None:
        """Sends no ETag header."""
        return None

    def set_default_headers(self) -> None:
        """All responses are JSON."""
        self.set_header("Content-Type", "application/json")

    def reply(self, status: int, value: object) -> None:
        """Finish with a status code and a value that is encoded as JSON, unless it is bytes already."""
        self.set_status(status)
        self.finish(value if isinstance(value, bytes) else msgspec.json.encode(value))

    def refuse(self, status: int, reason: str, retry_after: int | None = None) -> None:
        """Finish with an error; `retry_after` in s is sent as the Retry-After header."""
        if retry_after is not None:
            self.set_header("Retry-After", str(retry_after))
        self.reply(status, {"error": reason})

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an unhandled error; a 500 may be retried."""
        if status_code == 500:
            self.set_header("Retry-After", str(constants.RETRY_AFTER_S))
        self.finish(msgspec.json.encode({"error": httputil.responses.get(status_code, "error").lower()}))

    def log_exception(self, typ, value, tb):  # type: ignore[no-untyped-def]
        """Log unhandled errors with their traceback; HTTP errors are ordinary answers."""
        if not isinstance(value, web.HTTPError):
            log.error(
                "request: failed: method=%s path=%s", self.request.method, self.request.path, exc_info=(typ, value, tb)
            )

    def parse_ref(self, text: str) -> str | None:
        """Return the job id in a path; if it is malformed, answer with 400 and return None."""
        if user_messages.is_job_ref(text):
            return text
        self.refuse(400, "ref: expected the form wk-000412")
        return None


class UserHandler(BaseHandler):
    """Base of the handlers for users. Their requests are refused while the node runs short of sockets."""

    def prepare(self) -> None:
        """Refuse the request with 503 if too many connections are open."""
        if self.node.near_socket_limit():
            self.set_header("Connection", "close")
            self.refuse(503, "too many connections", constants.RETRY_AFTER_S)

    async def respond(
        self, operation: Callable[[], Awaitable[tuple[int, object]]], missing: str = "no such job"
    ) -> None:
        """Run an operation and send its status code and reply; a reply of None is a 404 with the text `missing`.

        Invalid becomes 400, Unschedulable 422; TemporarilyUnavailable and InvalidRecord become 503 with Retry-After.
        """
        try:
            status, reply = await operation()
        except user_messages.InvalidMessage as err:
            self.refuse(400, str(err))
        except Unschedulable as err:
            self.refuse(422, str(err))
        except TemporarilyUnavailable as err:
            self.refuse(503, str(err), err.retry_after)
        except InvalidRecord as err:
            log.error("request: record unreadable: path=%s error=%s", self.request.path, err)
            self.refuse(503, "record can't be read", constants.RETRY_AFTER_S)
        else:
            if reply is None:
                self.refuse(404, missing)
            else:
                self.reply(status, reply)


class Submit(UserHandler):
    """POST /work: submit a job (PROTOCOL, "POST /work")."""

    async def post(self) -> None:
        """Accept a job: 201, or 200 if it was accepted before."""

        async def _submit() -> tuple[int, object]:
            return await self.node.jobs.submit(user_messages.parse_submission(self.request.body))

        await self.respond(_submit)


class Status(UserHandler):
    """GET /work/{ref}: the state of a job."""

    async def get(self, text: str) -> None:
        """Answer with the job's state, or 404."""
        await self.answer(text, self.node.jobs.status)

    async def answer(self, text: str, operation: Callable[[str], Awaitable[object]]) -> None:
        """Run `operation` on the job whose id is in the path and send its reply with 200."""
        ref = self.parse_ref(text)
        if ref is None:
            return

        async def _run_operation() -> tuple[int, object]:
            return 200, await operation(ref)

        await self.respond(_run_operation)


class Cancel(Status):
    """POST /work/{ref}/abort: cancel a job."""

    async def get(self, text: str) -> None:
        """Only POST is allowed."""
        raise web.HTTPError(405)

    async def post(self, text: str) -> None:
        """Cancel the job and answer with its state, or 404."""
        await self.answer(text, self.node.jobs.cancel)


class Up(BaseHandler):
    """GET /up: the health check."""

    def get(self) -> None:
        """Answer 200 if the node can serve requests, else 503 with the reason."""
        reason = self.node.unavailable_reason()
        if reason is None:
            self.reply(200, {"up": True})
        else:
            self.refuse(503, reason, constants.RETRY_AFTER_S)


class NotFound(BaseHandler):
    """Handles all other paths."""

    def prepare(self) -> None:
        """Answer 404, whatever the method."""
        raise web.HTTPError(404)


def _log_request(handler: web.RequestHandler) -> None:
    """Log only server errors, at debug level, since there are hundreds of thousands of requests a day."""
    if handler.get_status() >= 500 and log.isEnabledFor(logging.DEBUG):
        request: HTTPServerRequest = handler.request
        log.debug("request: answered: status=%d method=%s path=%s", handler.get_status(), request.method, request.path)


def application(node: ApiHost, extension_routes: list[tuple] | None = None) -> web.Application:
    """The web application of a node, with the routes of its extensions."""
    args = {"node": node}
    return web.Application(
        [
            (r"/work", Submit, args),
            (r"/work/([^/]*)", Status, args),
            (r"/work/([^/]*)/abort", Cancel, args),
            (r"/up", Up, args),
            *(extension_routes or []),
        ],
        default_handler_class=NotFound,
        default_handler_args=args,
        log_function=_log_request,
    )
