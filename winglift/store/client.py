"""Client of the state service, within its budget. Says what is known, and what is not."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import Any
from urllib.parse import quote

import msgspec

from .. import constants
from ..config.settings import State
from ..net.budget import Budget
from ..net.client import NotSent, Reply, Unanswered
from ..net.runtime import current_runtime, monotonic_time
from ..wire import state as state_messages

log = logging.getLogger(__name__)


class StateServiceError(Exception):
    """A request to the state service that has not brought the answer asked for."""


class RequestRejected(StateServiceError):
    """The request was certainly not executed: 429, 503, no connection, or no budget left."""


class InvalidRequest(RequestRejected):
    """The service says that the request breaks a limit of its own."""


class OutcomeUnknown(StateServiceError):
    """No answer: the request may have been executed, or may yet be."""


class LeaseExpired(StateServiceError):
    """The lease of a request has ended."""


class RevisionCompacted(StateServiceError):
    """The service no longer keeps the changes since the revision asked for."""


class Health(Enum):
    """How the state service has answered this node lately."""

    GOOD = "good"
    DOUBTFUL = "doubtful"
    DOWN = "down"


_page = msgspec.json.Decoder(state_messages.Page)
_item = msgspec.json.Decoder(state_messages.Item)
_committed = msgspec.json.Decoder(state_messages.Committed)
_conflict = msgspec.json.Decoder(state_messages.Conflict)
_grant = msgspec.json.Decoder(state_messages.Grant)
_changes = msgspec.json.Decoder(state_messages.Changes)


def _decode(decoder: Any, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        # Said aloud: an answer that is never understood once stayed hidden among passing failures.
        log.warning("odd answer of the state service: %s", err)
        raise OutcomeUnknown(f"odd answer of the state service: {err}") from None


class StateClient:
    """A node's requests to the state service (PROTOCOL, "Controller nodes -> state service"), within its budgets."""

    def __init__(self, host: str, port: int, limits: State, nodes: int) -> None:
        self._http = current_runtime().client(host, port)
        self._limits = limits
        self._nodes = nodes
        self._reads = Budget(limits.rps, limits.rps)
        self._writes = Budget(limits.write_rps, limits.write_rps)
        self._bad_since: float | None = None
        self._next_probe = 0.0
        self.set_leading(False)

    def follower_share(self) -> float:
        """The part of the budget that a node has which does not lead."""
        return (1 - constants.LEADER_SHARE) / (self._nodes - 1) if self._nodes > 1 else 1.0

    def set_leading(self, leads: bool) -> None:
        """All nodes share the service's budget: the leader takes the larger part."""
        share = (constants.LEADER_SHARE if self._nodes > 1 else 1.0) if leads else self.follower_share()
        now = monotonic_time()
        self._reads.resize(max(2.0, self._limits.rps * share), max(2.0, self._limits.rps * share), now)
        if self._nodes > 1:
            share = constants.LEADER_WRITE_SHARE if leads else (1 - constants.LEADER_WRITE_SHARE) / (self._nodes - 1)
        # A follower writes seldom, but then for many users at once: it may save up more than its part of a second.
        burst = share if leads or self._nodes == 1 else max(share, constants.FOLLOWER_WRITE_BURST)
        # However small the budget, one change with what is kept for users must fit into the burst.
        self._writes.resize(max(1.0, self._limits.write_rps * share), max(1.5, self._limits.write_rps * burst), now)

    def writes_free(self) -> int:
        """Changes of the leader's records that could be sent at once; a few stay for users who submit here.

        Batches once took every token as it came, and submissions at the leader waited or were refused.
        """
        kept = min(constants.SUBMIT_WRITES_KEPT, self._writes.burst * constants.SUBMIT_WRITES_SHARE)
        return max(0, int(self._writes.free(monotonic_time()) - kept))

    def has_spare_writes(self, kept_share: float) -> bool:
        """Does the service answer, and is there write budget beyond `kept_share` of the changes a second?

        Asked before writes that nothing waits for, so that they take no budget from starts, ends and users.
        """
        return self.health() is Health.GOOD and self.writes_free() >= self._limits.write_rps * kept_share

    # -- health --------------------------------------------------------------------------------

    def health(self) -> Health:
        """GOOD until a request fails, DOWN once all have failed for STATE_DOWN_AFTER_S."""
        if self._bad_since is None:
            return Health.GOOD
        if monotonic_time() - self._bad_since < constants.STATE_DOWN_AFTER_S:
            return Health.DOUBTFUL
        return Health.DOWN

    def _record_outcome(self, good: bool) -> None:
        now = monotonic_time()
        if good:
            if self._bad_since is not None and now - self._bad_since >= constants.STATE_DOWN_AFTER_S:
                log.info("state service answers again after %.1f s", now - self._bad_since)
            self._bad_since = None
        elif self._bad_since is None:
            self._bad_since = now

    def _check_circuit(self) -> None:
        """While the service is down, one request per STATE_PROBE_S finds out; the rest are refused at once,
        so that users' connections don't pile up behind a service that does not answer."""
        if self.health() is Health.DOWN:
            now = monotonic_time()
            if now < self._next_probe:
                raise RequestRejected("state service is down")
            self._next_probe = now + constants.STATE_PROBE_S

    async def _pace(self, budget: Budget, amount: float, max_wait: float) -> None:
        wait = budget.reserve(monotonic_time(), amount, max_wait)
        if wait is None:
            raise RequestRejected("budget of the state service used up")
        if wait > 0:
            await asyncio.sleep(wait)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = constants.STATE_TIMEOUT_S,
        max_wait: float = constants.MAX_QUEUE_S,
        changes: int = 0,
        urgent: bool = False,
    ) -> Reply:
        if not urgent:
            self._check_circuit()
            await self._pace(self._reads, 1, max_wait)
            if changes:
                await self._pace(self._writes, changes, max_wait)
        reply = await self._exchange(method, path, body, timeout)
        self._check_status(reply, changes)
        self._record_outcome(True)
        return reply

    async def _exchange(self, method: str, path: str, body: bytes | None, timeout: float) -> Reply:
        """Send one request and wait for its answer, whatever its status. Raises RequestRejected, OutcomeUnknown."""
        try:
            return await self._http.request(method, path, body, timeout)
        except NotSent as err:
            self._record_outcome(False)
            raise RequestRejected(str(err)) from None
        except Unanswered as err:
            self._record_outcome(False)
            raise OutcomeUnknown(str(err)) from None

    def _check_status(self, reply: Reply, changes: int) -> None:
        """Raise RequestRejected for an overloaded or failing service; a 429 slows down the request's budgets."""
        if reply.status == 429:
            self._reads.penalise(monotonic_time())
            if changes:
                self._writes.penalise(monotonic_time())
            raise RequestRejected("state service: 429")
        if reply.status >= 500:
            self._record_outcome(False)
            raise RequestRejected(f"state service: {reply.status}")

    # -- requests ------------------------------------------------------------------------------

    async def get(
        self, key: str, timeout: float = constants.STATE_TIMEOUT_S, urgent: bool = False
    ) -> state_messages.Item | None:
        """The item of a key, or None if there is none. Raises Refused or Unknown."""
        reply = await self._call("GET", f"/store/{quote(key)}", timeout=timeout, urgent=urgent)
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise RequestRejected(f"state service: {reply.status} for {key}")
        return _decode(_item, reply.body)

    async def list(self, prefix: str) -> tuple[list[state_messages.Item], int]:
        """All keys with the prefix, and a revision that is not newer than any page of it."""
        items: list[state_messages.Item] = []
        revision = 0
        after = ""
        while True:
            path = f"/store?prefix={quote(prefix)}&limit={constants.LIST_LIMIT}" + (
                f"&after={quote(after)}" if after else ""
            )
            reply = await self._call("GET", path, timeout=3.0, max_wait=2.0)
            if reply.status != 200:
                raise RequestRejected(f"state service: {reply.status} for a list")
            page = _decode(_page, reply.body)
            # Watching from the first page's revision sees again what changed during the listing.
            revision = revision or page.revision
            items += page.items
            if not page.more or not page.items:
                return items, revision
            after = page.items[-1].key

    async def commit(
        self,
        txn: state_messages.Transaction,
        timeout: float = constants.STATE_TIMEOUT_S,
        max_wait: float = constants.MAX_QUEUE_S,
        urgent: bool = False,
    ) -> state_messages.Committed | state_messages.Conflict:
        """Carry out a transaction. Raises Refused (not executed), Unknown (perhaps, or yet to be), LeaseGone."""
        body = msgspec.json.encode(txn)
        reply = await self._call("POST", "/commit", body, timeout, max_wait, len(txn.changes), urgent)
        if reply.status == 200:
            return _decode(_committed, reply.body)
        if reply.status == 409:
            return _decode(_conflict, reply.body)
        if reply.status == 400 and b"lease" in reply.body:
            raise LeaseExpired
        if reply.status in (400, 413):
            raise InvalidRequest(f"state service: {reply.status} {reply.body[:200]!r}")
        raise RequestRejected(f"state service: {reply.status} {reply.body[:200]!r}")

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease that lives for `ttl_s` without a renewal."""
        body = msgspec.json.encode(state_messages.GrantRequest(int(ttl_s * 1000)))
        reply = await self._call("POST", "/grants", body, urgent=True)
        if reply.status not in (200, 201):
            raise RequestRejected(f"state service: {reply.status} for a lease")
        return _decode(_grant, reply.body).lease

    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a lease. Raises LeaseGone if it has ended."""
        # Renewals skip the budget: a leader must not lose its lease to its own bookkeeping.
        reply = await self._call("POST", f"/grants/{lease}/touch", b"{}", timeout=timeout, urgent=True)
        if reply.status == 404:
            raise LeaseExpired
        if reply.status != 200:
            raise RequestRejected(f"state service: {reply.status} for a renewal")

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, and with it the keys attached to it."""
        await self._call("DELETE", f"/grants/{lease}", urgent=True)

    async def changes(
        self, prefix: str, after: int, block_ms: int = constants.WATCH_BLOCK_MS
    ) -> state_messages.Changes:
        """What has changed since; with `block_ms` above 0 this waits for a change."""
        path = f"/changes?prefix={quote(prefix)}&after={after}&blockMs={block_ms}"
        if block_ms:
            reply = await self._call("GET", path, timeout=block_ms / 1000 + 2.0, max_wait=2.0)
        else:
            reply = await self._call("GET", path, timeout=constants.STATUS_TIMEOUT_S)
        if reply.status == 410:
            raise RevisionCompacted
        if reply.status != 200:
            raise RequestRejected(f"state service: {reply.status} for a watch")
        return _decode(_changes, reply.body)
