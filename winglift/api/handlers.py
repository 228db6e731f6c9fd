"""HTTP handlers of a node: users and the health check. Workers' reports are taken in `front`."""

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
    """What the handlers need of the node that they belong to."""

    @property
    def jobs(self) -> Jobs: ...

    def crowded(self) -> bool:
        """Are so many connections open that users are better refused?"""

    def not_up(self) -> str | None:
        """Why the node can't serve requests, or None."""


class Base(web.RequestHandler):
    node: ApiHost

    def initialize(self, node: ApiHost) -> None:
        self.node = node

    def check_etag_header(self) -> bool:
        return False

    def compute_etag(self) -> None:
        return None

    def set_default_headers(self) -> None:
        self.set_header("Content-Type", "application/json")

    def reply(self, status: int, value: object) -> None:
        self.set_status(status)
        self.finish(value if isinstance(value, bytes) else msgspec.json.encode(value))

    def refuse(self, status: int, why: str, retry_after: int | None = None) -> None:
        if retry_after is not None:
            self.set_header("Retry-After", str(retry_after))
        self.reply(status, {"error": why})

    def write_error(self, status_code: int, **kwargs: object) -> None:
        if status_code == 500:
            self.set_header("Retry-After", str(constants.RETRY_AFTER_S))
        self.finish(msgspec.json.encode({"error": httputil.responses.get(status_code, "error").lower()}))

    def log_exception(self, typ, value, tb):  # type: ignore[no-untyped-def]
        if not isinstance(value, web.HTTPError):
            log.error("%s %s", self.request.method, self.request.path, exc_info=(typ, value, tb))

    def ref(self, text: str) -> str | None:
        if user_messages.is_ref(text):
            return text
        self.refuse(400, "ref: expected the form wk-000412")
        return None


class ForUsers(Base):
    def prepare(self) -> None:
        if self.node.crowded():
            self.set_header("Connection", "close")
            self.refuse(503, "too many connections", constants.RETRY_AFTER_S)

    async def tell(self, ask: Callable[[], Awaitable[tuple[int, object]]], missing: str = "no such job") -> None:
        """Answer with status and reply, None being 404, or say what stands against it."""
        try:
            status, reply = await ask()
        except user_messages.Invalid as err:
            self.refuse(400, str(err))
        except Unschedulable as err:
            self.refuse(422, str(err))
        except TemporarilyUnavailable as err:
            self.refuse(503, str(err), err.retry_after)
        except InvalidRecord as err:
            log.error("%s: record: %s", self.request.path, err)
            self.refuse(503, "record can't be read", constants.RETRY_AFTER_S)
        else:
            if reply is None:
                self.refuse(404, missing)
            else:
                self.reply(status, reply)


class Submit(ForUsers):
    async def post(self) -> None:
        async def ask() -> tuple[int, object]:
            return await self.node.jobs.submit(user_messages.parse_submission(self.request.body))

        await self.tell(ask)


class Status(ForUsers):
    async def get(self, text: str) -> None:
        await self.answer(text, self.node.jobs.status)

    async def answer(self, text: str, about: Callable[[str], Awaitable[object]]) -> None:
        ref = self.ref(text)
        if ref is None:
            return

        async def ask() -> tuple[int, object]:
            return 200, await about(ref)

        await self.tell(ask)


class Cancel(Status):
    async def get(self, text: str) -> None:
        raise web.HTTPError(405)

    async def post(self, text: str) -> None:
        await self.answer(text, self.node.jobs.cancel)


class Up(Base):
    def get(self) -> None:
        why = self.node.not_up()
        if why is None:
            self.reply(200, {"up": True})
        else:
            self.refuse(503, why, constants.RETRY_AFTER_S)


class NotFound(Base):
    def prepare(self) -> None:
        raise web.HTTPError(404)


def _quiet(handler: web.RequestHandler) -> None:
    """No line per request: a day has hundreds of thousands."""
    if handler.get_status() >= 500 and log.isEnabledFor(logging.DEBUG):
        request: HTTPServerRequest = handler.request
        log.debug("%d %s %s", handler.get_status(), request.method, request.path)


def application(node: ApiHost, more: list[tuple] | None = None) -> web.Application:
    args = {"node": node}
    return web.Application(
        [
            (r"/work", Submit, args),
            (r"/work/([^/]*)", Status, args),
            (r"/work/([^/]*)/abort", Cancel, args),
            (r"/up", Up, args),
            *(more or []),
        ],
        default_handler_class=NotFound,
        default_handler_args=args,
        log_function=_quiet,
    )
