"""Client of the cloud, within its rate."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants
from ..config.settings import Cloud
from ..net.budget import Budget
from ..net.client import NotSent, Reply, Unanswered
from ..net.runtime import current_runtime, monotonic_time
from ..wire import cloud as cloud_messages

log = logging.getLogger(__name__)


class CloudError(Exception):
    """Refused, or no answer: the request may have been carried out or may yet be."""


class NotAuthorized(CloudError):
    """This node may not act just now; nothing was sent."""


class NoCapacity(Exception):
    """None of this type, zone and kind are to be had now."""


_types = msgspec.json.Decoder(cloud_messages.Types)
_names = msgspec.json.Decoder(cloud_messages.Names)
_listing = msgspec.json.Decoder(cloud_messages.Listing)


class CloudClient:
    """One node's calls to the cloud (PROTOCOL, "Controller nodes -> cloud"), within its share of the rate."""

    def __init__(self, host: str, port: int, limits: Cloud, nodes: int) -> None:
        self._http = current_runtime().client(host, port)
        self._limits = limits
        self._nodes = nodes
        self.may_change: Callable[[], bool] = lambda: True
        self.may_enforce_cancellations: Callable[[], bool] = lambda: (
            False
        )  # in doubt, may it still delete what holds cancelled tasks?
        # Past the fence: are these machines still to be deleted for cancelled jobs, by a node that may not lead?
        self.may_delete_unfenced: Callable[[list[str]], bool] = lambda names: False
        self._budget = Budget(limits.rps, limits.rps)
        self._ends_waiting = 0  # deletions for cancelled tasks that wait for their turn: all else waits behind them
        self.set_leading(False)

    def set_leading(self, leads: bool) -> None:
        """The leader deals with the cloud; the others only ask for the types now and then."""
        share = 0.8 if leads or self._nodes == 1 else 0.2 / max(1, self._nodes - 1)
        self._budget.resize(self._limits.rps * share, max(1.0, self._limits.rps * share), monotonic_time())

    async def turn(self) -> None:
        """Wait until a call could be sent at once."""
        while self._ends_waiting or self._budget.free(monotonic_time()) < 1:
            await asyncio.sleep(self._budget.wait_s(monotonic_time()) + 0.002)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        ends: bool = False,
        door: Callable[[], bool] = lambda: False,
    ) -> Reply:
        self._ends_waiting += ends
        try:
            while (self._ends_waiting and not ends) or not self._budget.take(monotonic_time()):
                await asyncio.sleep(self._budget.wait_s(monotonic_time()) + 0.002)
        finally:
            self._ends_waiting -= ends
        # A node that stood still woke in this queue: what it had decided before is another leader's to decide now.
        if (
            body is not None
            and not self.may_change()
            and not (ends and self.may_enforce_cancellations())
            and not door()
        ):
            raise NotAuthorized("not entitled to act")
        try:
            reply = await self._http.request(method, path, body, constants.CLOUD_TIMEOUT_S)
        except (Unanswered, NotSent) as err:
            raise CloudError(str(err)) from None
        if reply.status == 429:
            self._budget.penalise(monotonic_time())
        return reply

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder, reply: Reply):  # type: ignore[no-untyped-def, type-arg]
        if reply.status != 200:
            raise CloudError(f"cloud: {reply.status} {reply.body[:100]!r}")
        try:
            return decoder.decode(reply.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            raise CloudError(f"odd answer of the cloud: {err}") from None

    async def types(self) -> dict[str, cloud_messages.MachineType]:
        """The machine types now offered, with current prices. Raises CloudError."""
        found: dict[str, cloud_messages.MachineType] = {}
        for raw in self._decode(_types, await self._call("GET", "/flavors")).types:
            try:
                mtype = cloud_messages.machine_type(raw)
            except ValueError as err:
                log.error("a machine type of the cloud is left out: %s", err)
                continue
            found[mtype.name] = mtype
        return found

    async def rent(self, request: cloud_messages.Rent) -> list[str]:
        """Rent machines; their names. Raises NoCapacity, or CloudError if it is not known what happened."""
        reply = await self._call("POST", "/hosts", msgspec.json.encode(request))
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity
        return self._decode(_names, reply).machines

    async def delete(self, names: list[str], ends: bool = False) -> None:
        """Delete machines; `ends`: each of them for a cancelled task, which a leader in doubt may do too."""
        reply = await self._call("POST", "/hosts/delete", msgspec.json.encode(cloud_messages.Names(names)), ends)
        if reply.status != 200:
            raise CloudError(f"cloud: {reply.status} for a deletion")

    async def delete_for_cancellation(self, names: list[str]) -> None:
        """The one door past the fence: machines that may hold tasks of cancelled jobs, which nobody else sees to.

        What demands it is committed in the jobs' records, names the machines, and holds whoever leads (invariant 8).
        """
        reply = await self._call(
            "POST",
            "/hosts/delete",
            msgspec.json.encode(cloud_messages.Names(names)),
            True,
            lambda: self.may_delete_unfenced(names),
        )
        if reply.status != 200:
            raise CloudError(f"cloud: {reply.status} for a deletion")

    async def list(self) -> list[cloud_messages.Listed]:
        """All machines, page by page; as old as the cloud's lag. Raises CloudError."""
        found: list[cloud_messages.Listed] = []
        after = ""
        while True:
            path = f"/hosts?limit={constants.LIST_PAGE}" + (f"&after={after}" if after else "")
            page = self._decode(_listing, await self._call("GET", path))
            found += page.machines
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].name
