"""A user's client of the nodes: repeats what may be repeated, as the protocol has users do."""

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
    """The service refuses for good, or can't be reached in time."""


class ControllerClient:
    """Several addresses, asked in turn: any node answers."""

    def __init__(self, addresses: str, patience_s: float = constants.CLIENT_RETRY_TIMEOUT_S) -> None:
        try:
            found = [parse_addr(a.strip(), "--server") for a in addresses.split(",")]
        except SettingsError as err:
            raise ServerError(str(err)) from None
        self._nodes = [PoolingHttpClient(host, port) for host, port in found]
        self._at = 0
        self._patience_s = patience_s

    async def request_with_retry(self, method: str, path: str, body: bytes | None = None) -> Reply:
        """The answer, once there is one that counts. Requests with a 503 or without an answer are repeated."""
        end = time.monotonic() + self._patience_s
        while True:
            node = self._nodes[self._at % len(self._nodes)]
            pause = constants.CLIENT_RETRY_DELAY_S
            try:
                reply = await node.request(method, path, body, constants.CLIENT_TIMEOUT_S)
                if reply.status not in (429, 503, 504):
                    return reply
                why = f"{reply.status} {_error(reply)}"
                pause = max(pause, reply.retry_after or 0.0)
            except Unanswered as err:
                why = str(err)
                if isinstance(err, NotSent) and len(self._nodes) > 1:
                    pause = 0.1
            self._at += 1
            if time.monotonic() + pause > end:
                raise ServerError(f"no answer for {self._patience_s:g} s: {why}")
            await asyncio.sleep(pause)

    async def reply(self, method: str, path: str, body: bytes | None = None) -> flow_messages.FlowReply:
        return _decode(flow_messages.reply_decoder, await self.good(method, path, body))

    async def good(self, method: str, path: str, body: bytes | None = None) -> Reply:
        reply = await self.request_with_retry(method, path, body)
        if reply.status not in (200, 201):
            raise ServerError(f"{reply.status}: {_error(reply)}")
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
        found: list[flow_messages.FlowReply] = []
        while True:
            after = found[-1].ref if found else ""
            page = _decode(flow_messages.list_decoder, await self.good("GET", f"/flows?after={after}"))
            found += page.flows
            if not page.more or not page.flows:
                return found

    async def files(self) -> str:
        """Where uploads go, as the nodes say it."""
        return _decode(flow_messages.list_decoder, await self.good("GET", "/flows?after=z")).files


def _decode(decoder: Any, reply: Reply) -> Any:
    try:
        return decoder.decode(reply.body)
    except msgspec.DecodeError as err:
        raise ServerError(f"an odd answer: {err}") from None


def _error(reply: Reply) -> str:
    try:
        return str(msgspec.json.decode(reply.body)["error"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return reply.body[:100].decode(errors="replace")
