"""A user's client of the controllers. Retries requests, which the protocol makes safe to repeat."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec

from .. import constants
from ..config.settings import SettingsError, parse_addr
from ..net.client import NotSent, PoolingHttpClient, Reply, Unanswered
from ..wire import flows as flow_messages


class ServerError(Exception):
    """A request was rejected, or no node answered in time."""


class ControllerClient:
    """Sends requests to one of several nodes; any node answers, and after a failure the next one is tried."""

    def __init__(self, addresses: str, timeout_s: float = constants.CLIENT_RETRY_TIMEOUT_S) -> None:
        try:
            nodes = [parse_addr(a.strip(), "--server") for a in addresses.split(",")]
        except SettingsError as err:
            raise ServerError(str(err)) from None
        self._nodes = [PoolingHttpClient(host, port) for host, port in nodes]
        self._node_index = 0
        self._timeout_s = timeout_s

    async def request_with_retry(self, method: str, path: str, body: bytes | None = None) -> Reply:
        """Sends a request until there is a final reply. Repeats it after status 429, 503 or 504 and without a reply.
        Raises ServerError if there is none within the timeout."""
        deadline = time.monotonic() + self._timeout_s
        while True:
            node = self._nodes[self._node_index % len(self._nodes)]
            delay_s = constants.CLIENT_RETRY_DELAY_S
            try:
                reply = await node.request(method, path, body, constants.CLIENT_TIMEOUT_S)
                if reply.status not in (429, 503, 504):
                    return reply
                reason = f"{reply.status} {_error_text(reply)}"
                delay_s = max(delay_s, reply.retry_after or 0.0)
            except Unanswered as err:
                reason = str(err)
                if isinstance(err, NotSent) and len(self._nodes) > 1:
                    delay_s = 0.1
            self._node_index += 1
            if time.monotonic() + delay_s > deadline:
                raise ServerError(f"no answer for {self._timeout_s:g} s: {reason}")
            await asyncio.sleep(delay_s)

    async def reply(self, method: str, path: str, body: bytes | None = None) -> flow_messages.FlowReply:
        """Sends a request whose reply describes a workflow."""
        return _decode(flow_messages.reply_decoder, await self.request_ok(method, path, body))

    async def request_ok(self, method: str, path: str, body: bytes | None = None) -> Reply:
        """Like `request_with_retry`, but raises ServerError unless the status of the reply is 200 or 201."""
        reply = await self.request_with_retry(method, path, body)
        if reply.status not in (200, 201):
            raise ServerError(f"{reply.status}: {_error_text(reply)}")
        return reply

    async def flow(self, ref: str) -> flow_messages.FlowReply:
        """A workflow with all its steps."""
        reply = await self.reply("GET", f"/flows/{ref}")
        steps = list(reply.steps)
        while reply.next is not None:
            reply = await self.reply("GET", f"/flows/{ref}?steps={reply.next}")
            steps += reply.steps
        return msgspec.structs.replace(reply, steps=steps)

    async def flows(self) -> list[flow_messages.FlowReply]:
        """All workflows, by id; requested page by page."""
        flows: list[flow_messages.FlowReply] = []
        while True:
            after = flows[-1].ref if flows else ""
            page = _decode(flow_messages.list_decoder, await self.request_ok("GET", f"/flows?after={after}"))
            flows += page.flows
            if not page.more or not page.flows:
                return flows

    async def upload_store_address(self) -> str:
        """The address of the upload store, as the nodes report it."""
        return _decode(flow_messages.list_decoder, await self.request_ok("GET", "/flows?after=z")).files


def _decode(decoder: Any, reply: Reply) -> Any:
    try:
        return decoder.decode(reply.body)
    except msgspec.DecodeError as err:
        raise ServerError(f"unreadable reply: {err}") from None


def _error_text(reply: Reply) -> str:
    try:
        return str(msgspec.json.decode(reply.body)["error"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return reply.body[:100].decode(errors="replace")
