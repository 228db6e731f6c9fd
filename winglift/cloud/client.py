"""Client of the cloud (PROTOCOL, "Controller nodes -> cloud"), within the rate that the cloud allows."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants
from ..config.settings import Cloud
from ..net.budget import TokenBucket
from ..net.client import NotSent, Reply, Unanswered
from ..net.runtime import current_runtime, monotonic_time
from ..wire import cloud as cloud_messages

log = logging.getLogger(__name__)

LEADER_RATE_SHARE = 0.8  # of the rate that the cloud allows
FOLLOWERS_RATE_SHARE = 0.2  # of the same rate, shared by all followers
BUDGET_WAIT_MARGIN_S = 0.002  # s waited after the budget allows a call


class CloudError(Exception):
    """The cloud answered with an error or not at all: the request may have been executed, or may still be."""


class NotAuthorized(CloudError):
    """This node is not entitled to act at present; nothing was sent."""


class NoCapacity(Exception):
    """The cloud has no machine of this type, zone and kind (spot or ordinary) at present."""


_types_decoder = msgspec.json.Decoder(cloud_messages.MachineTypes)
_names_decoder = msgspec.json.Decoder(cloud_messages.MachineNames)
_listing_decoder = msgspec.json.Decoder(cloud_messages.MachineListing)


class CloudClient:
    """One node's calls to the cloud, within its share of the rate."""

    def __init__(self, host: str, port: int, limits: Cloud, nodes: int) -> None:
        """`nodes`: the number of controller nodes, which share the rate of `limits`."""
        self._http = current_runtime().client(host, port)
        self._limits = limits
        self._nodes = nodes
        # Whether this node may send requests that change anything.
        self.may_change: Callable[[], bool] = lambda: True
        # Whether a leader whose lease is in doubt may still delete machines that hold cancelled tasks.
        self.may_enforce_cancellations: Callable[[], bool] = lambda: False
        # For deletions without the fence, by a node that may not lead: whether all these machines are still to be
        # deleted for cancelled jobs.
        self.may_delete_unfenced: Callable[[list[str]], bool] = lambda names: False
        self._budget = TokenBucket(limits.rps, limits.rps)
        # Number of deletions for cancelled tasks that wait for the budget: all other calls wait until they are sent.
        self._cancellation_calls_waiting = 0
        self.set_leading(False)

    def set_leading(self, leads: bool) -> None:
        """Set this node's share of the rate: the leader has most of it, followers only request the machine types."""
        share = LEADER_RATE_SHARE if leads or self._nodes == 1 else FOLLOWERS_RATE_SHARE / max(1, self._nodes - 1)
        self._budget.resize(self._limits.rps * share, max(1.0, self._limits.rps * share), monotonic_time())

    async def wait_for_budget(self) -> None:
        """Wait until the budget allows a call; rentals of a pool that are decided meanwhile become one request."""
        while self._cancellation_calls_waiting or self._budget.available(monotonic_time()) < 1:
            await asyncio.sleep(self._budget.wait_s(monotonic_time()) + BUDGET_WAIT_MARGIN_S)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        for_cancellation: bool = False,
        may_bypass_fence: Callable[[], bool] = lambda: False,
    ) -> Reply:
        """Send a request once the budget allows it. Raises NotAuthorized, or CloudError if there is no answer.

        `may_bypass_fence`: whether a request that the fence rejects may be sent nevertheless.
        """
        self._cancellation_calls_waiting += for_cancellation
        try:
            while (self._cancellation_calls_waiting and not for_cancellation) or not self._budget.take(
                monotonic_time()
            ):
                await asyncio.sleep(self._budget.wait_s(monotonic_time()) + BUDGET_WAIT_MARGIN_S)
        finally:
            self._cancellation_calls_waiting -= for_cancellation
        # Checked after the wait: the node may have been paused in it, and another leader may have taken over.
        if (
            body is not None
            and not self.may_change()
            and not (for_cancellation and self.may_enforce_cancellations())
            and not may_bypass_fence()
        ):
            raise NotAuthorized("not entitled to act")
        try:
            reply = await self._http.request(method, path, body, constants.CLOUD_TIMEOUT_S)
        except (Unanswered, NotSent) as err:
            raise CloudError(str(err)) from None
        if reply.status == 429:
            self._budget.deplete(monotonic_time())
        return reply

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder, reply: Reply):  # type: ignore[no-untyped-def, type-arg]
        if reply.status != 200:
            raise CloudError(f"cloud: {reply.status} {reply.body[:100]!r}")
        try:
            return decoder.decode(reply.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            raise CloudError(f"cloud: answer that can't be decoded: {err}") from None

    async def types(self) -> dict[str, cloud_messages.MachineType]:
        """The machine types offered at present, with current prices. Raises CloudError."""
        offered_types: dict[str, cloud_messages.MachineType] = {}
        for raw in self._decode(_types_decoder, await self._call("GET", "/flavors")).types:
            try:
                machine_type = cloud_messages.machine_type(raw)
            except ValueError as err:
                log.error("machine type: invalid, left out: error=%s", err)
                continue
            offered_types[machine_type.name] = machine_type
        return offered_types

    async def rent(self, request: cloud_messages.RentRequest) -> list[str]:
        """Rent machines and return their names. Repeating a request under the same name (`hire`) rents nothing more.

        Raises NoCapacity, or CloudError if the outcome is unknown.
        """
        reply = await self._call("POST", "/hosts", msgspec.json.encode(request))
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity
        return self._decode(_names_decoder, reply).machines

    async def delete(self, names: list[str], for_cancellation: bool = False) -> None:
        """Delete machines, at most 100. Raises CloudError.

        `for_cancellation`: each of them holds a cancelled task, so a leader whose lease is in doubt may delete it too.
        """
        reply = await self._call(
            "POST", "/hosts/delete", msgspec.json.encode(cloud_messages.MachineNames(names)), for_cancellation
        )
        if reply.status != 200:
            raise CloudError(f"cloud: {reply.status} for a deletion")

    async def delete_for_cancellation(self, names: list[str]) -> None:
        """Delete machines that may hold tasks of cancelled jobs. No other request bypasses the fence.

        No leader is known to enforce these cancellations. The committed job records require the deletion, name the
        machines, and are valid whichever node leads (invariant 8: confirmed cancellations are enforced). Raises
        CloudError.
        """
        reply = await self._call(
            "POST",
            "/hosts/delete",
            msgspec.json.encode(cloud_messages.MachineNames(names)),
            True,
            lambda: self.may_delete_unfenced(names),
        )
        if reply.status != 200:
            raise CloudError(f"cloud: {reply.status} for a deletion")

    async def list(self) -> list[cloud_messages.ListedMachine]:
        """All machines, read page by page; the result may be as old as the cloud's list lag. Raises CloudError."""
        machines: list[cloud_messages.ListedMachine] = []
        after = ""
        while True:
            path = f"/hosts?limit={constants.MACHINE_LIST_PAGE_MAX}" + (f"&after={after}" if after else "")
            reply = self._decode(_listing_decoder, await self._call("GET", path))
            machines += reply.machines
            if not reply.more or not reply.machines:
                return machines
            after = reply.machines[-1].name
