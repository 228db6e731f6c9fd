"""Client of the state service (PROTOCOL, "Controller nodes -> state service"), within its rate budgets.

Every request returns an answer or raises an error that says whether the request may have been executed: RequestRejected
(it was not) or OutcomeUnknown (it may have been, or may be later).
"""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import Any
from urllib.parse import quote

import msgspec

from .. import constants
from ..config.settings import State
from ..net.budget import TokenBucket
from ..net.client import NotSent, Reply, Unanswered
from ..net.runtime import current_runtime, monotonic_time
from ..wire import state as state_messages

log = logging.getLogger(__name__)


LIST_TIMEOUT_S = 3.0  # timeout for one page of a listing
LONG_QUEUE_S = 2.0  # maximum wait of listings and watches for rate budget; no user waits for them
WATCH_GRACE_S = 2.0  # added to a watch's long-poll time to give the timeout of the request


class StateServiceError(Exception):
    """A request to the state service that failed."""


class RequestRejected(StateServiceError):
    """The request was certainly not executed: status 429 or 503, no connection, or no rate budget left."""


class InvalidRequest(RequestRejected):
    """The service refused the request because it exceeds one of the service's own limits (status 400 or 413)."""


class OutcomeUnknown(StateServiceError):
    """No readable answer arrived: the request may have been executed, or may be later."""


class LeaseExpired(StateServiceError):
    """The lease named in the request has expired or was revoked; the request was not executed."""


class RevisionCompacted(StateServiceError):
    """The service no longer keeps the changes since the requested revision."""


class Health(Enum):
    """Availability of the state service, as seen by this node."""

    GOOD = "good"
    DOUBTFUL = "doubtful"
    DOWN = "down"


_listing_decoder = msgspec.json.Decoder(state_messages.Page)
_item_decoder = msgspec.json.Decoder(state_messages.Item)
_committed_decoder = msgspec.json.Decoder(state_messages.Committed)
_conflict_decoder = msgspec.json.Decoder(state_messages.Conflict)
_grant_decoder = msgspec.json.Decoder(state_messages.Grant)
_changes_decoder = msgspec.json.Decoder(state_messages.Changes)


def _decode(decoder: Any, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        # Logged as a warning: answers that could never be decoded once went unnoticed among transient failures.
        log.warning("state service: unreadable answer: error=%s", err)
        raise OutcomeUnknown(f"unreadable answer of the state service: {err}") from None


class StateClient:
    """A node's requests to the state service (PROTOCOL, "Controller nodes -> state service"), within its budgets."""

    def __init__(self, host: str, port: int, limits: State, nodes: int) -> None:
        self._http = current_runtime().client(host, port)
        self._limits = limits
        self._nodes = nodes
        self._reads = TokenBucket(limits.rps, limits.rps)
        self._writes = TokenBucket(limits.write_rps, limits.write_rps)
        self._failing_since: float | None = None
        self._has_answered = False  # whether any request of this process was answered
        self._next_probe = 0.0
        self.set_leading(False)

    def follower_share(self) -> float:
        """The share of the service's request budget, 0 to 1, that each follower may use."""
        return (1 - constants.LEADER_REQUEST_SHARE) / (self._nodes - 1) if self._nodes > 1 else 1.0

    def set_leading(self, leads: bool) -> None:
        """Resize this node's rate budgets. All nodes share the service's budget; the leader's share is the largest."""
        share = (constants.LEADER_REQUEST_SHARE if self._nodes > 1 else 1.0) if leads else self.follower_share()
        now = monotonic_time()
        self._reads.resize(max(2.0, self._limits.rps * share), max(2.0, self._limits.rps * share), now)
        if self._nodes > 1:
            share = constants.LEADER_WRITE_SHARE if leads else (1 - constants.LEADER_WRITE_SHARE) / (self._nodes - 1)
        # A follower writes rarely, but then for many users at once, so its burst may exceed its share of one second.
        burst = share if leads or self._nodes == 1 else max(share, constants.FOLLOWER_WRITE_BURST_SHARE)
        # Even with a small budget, the burst must hold one change in addition to the reserve for users.
        self._writes.resize(max(1.0, self._limits.write_rps * share), max(1.5, self._limits.write_rps * burst), now)

    def available_writes(self) -> int:
        """Number of changes that the leader may commit now; a few are reserved for users who submit at this node.

        Without the reserve, batches used every token as soon as it was available, and submissions at the leader waited
        or were refused.
        """
        reserved = min(
            constants.SUBMISSION_RESERVED_WRITES_MAX, self._writes.burst * constants.SUBMISSION_RESERVED_WRITES_SHARE
        )
        return max(0, int(self._writes.available(monotonic_time()) - reserved))

    def has_spare_writes(self, kept_share: float) -> bool:
        """Whether the service answers and more write budget is left than `kept_share` of the changes a second.

        Checked before writes that nothing waits for, so that they take no budget from starts, ends and users.
        """
        return self.health() is Health.GOOD and self.available_writes() >= self._limits.write_rps * kept_share

    # -- health --------------------------------------------------------------------------------

    def health(self) -> Health:
        """GOOD until a request fails, DOWN once all have failed for STATE_DOWN_TIMEOUT_S."""
        if self._failing_since is None:
            return Health.GOOD
        if monotonic_time() - self._failing_since < constants.STATE_DOWN_TIMEOUT_S:
            return Health.DOUBTFUL
        return Health.DOWN

    def is_known_to_work(self) -> bool:
        """Whether the service has answered this process, and no request has failed since."""
        return self._has_answered and self.health() is Health.GOOD

    def _record_outcome(self, success: bool) -> None:
        now = monotonic_time()
        if success:
            self._has_answered = True
            if self._failing_since is not None and now - self._failing_since >= constants.STATE_DOWN_TIMEOUT_S:
                log.info("state service: available again: outage_s=%.1f", now - self._failing_since)
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now

    def _check_circuit(self) -> None:
        """Circuit breaker: while the service is down, let one request per STATE_PROBE_INTERVAL_S through as a probe.

        The others are rejected at once, so that users' connections don't pile up waiting for a service that does not
        answer.
        """
        if self.health() is Health.DOWN:
            now = monotonic_time()
            if now < self._next_probe:
                raise RequestRejected("state service is down")
            self._next_probe = now + constants.STATE_PROBE_INTERVAL_S

    async def _wait_for_budget(self, budget: TokenBucket, amount: float, max_wait: float) -> None:
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
        max_wait: float = constants.REQUEST_TOKEN_TIMEOUT_S,
        changes: int = 0,
        urgent: bool = False,
    ) -> Reply:
        if not urgent:
            self._check_circuit()
            await self._wait_for_budget(self._reads, 1, max_wait)
            if changes:
                await self._wait_for_budget(self._writes, changes, max_wait)
        reply = await self._exchange(method, path, body, timeout)
        self._check_status(reply, changes)
        self._record_outcome(True)
        return reply

    async def _exchange(self, method: str, path: str, body: bytes | None, timeout: float) -> Reply:
        """Send one request and return its answer, whatever the status. Raises RequestRejected or OutcomeUnknown."""
        try:
            return await self._http.request(method, path, body, timeout)
        except NotSent as err:
            self._record_outcome(False)
            raise RequestRejected(str(err)) from None
        except Unanswered as err:
            self._record_outcome(False)
            raise OutcomeUnknown(str(err)) from None

    def _check_status(self, reply: Reply, changes: int) -> None:
        """Raise RequestRejected if the service is overloaded or failing. A 429 empties the budgets of the request."""
        if reply.status == 429:
            self._reads.deplete(monotonic_time())
            if changes:
                self._writes.deplete(monotonic_time())
            raise RequestRejected("state service: 429")
        if reply.status >= 500:
            self._record_outcome(False)
            raise RequestRejected(f"state service: {reply.status}")

    # -- requests ------------------------------------------------------------------------------

    async def get(
        self, key: str, timeout: float = constants.STATE_TIMEOUT_S, urgent: bool = False
    ) -> state_messages.Item | None:
        """The item stored under a key, or None. Raises RequestRejected or OutcomeUnknown."""
        reply = await self._call("GET", f"/store/{quote(key)}", timeout=timeout, urgent=urgent)
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise RequestRejected(f"state service: {reply.status} for {key}")
        return _decode(_item_decoder, reply.body)

    async def list(self, prefix: str) -> tuple[list[state_messages.Item], int]:
        """All items whose keys have the prefix, and a revision that is not newer than any page of the listing.

        Raises RequestRejected or OutcomeUnknown.
        """
        items: list[state_messages.Item] = []
        revision = 0
        after = ""
        while True:
            path = f"/store?prefix={quote(prefix)}&limit={constants.LIST_RECORDS_MAX}" + (
                f"&after={quote(after)}" if after else ""
            )
            reply = await self._call("GET", path, timeout=LIST_TIMEOUT_S, max_wait=LONG_QUEUE_S)
            if reply.status != 200:
                raise RequestRejected(f"state service: {reply.status} for a list")
            listing = _decode(_listing_decoder, reply.body)
            # A watch that starts from the first page's revision also returns the changes made during the listing.
            revision = revision or listing.revision
            items += listing.items
            if not listing.more or not listing.items:
                return items, revision
            after = listing.items[-1].key

    async def commit(
        self,
        txn: state_messages.Transaction,
        timeout: float = constants.STATE_TIMEOUT_S,
        max_wait: float = constants.REQUEST_TOKEN_TIMEOUT_S,
        urgent: bool = False,
    ) -> state_messages.Committed | state_messages.Conflict:
        """Execute a compare-and-swap transaction; a Conflict names the keys whose revisions were not as expected.

        Raises RequestRejected (not executed), OutcomeUnknown (may have been executed, or may be later) or LeaseExpired.
        """
        body = msgspec.json.encode(txn)
        reply = await self._call("POST", "/commit", body, timeout, max_wait, len(txn.changes), urgent)
        if reply.status == 200:
            return _decode(_committed_decoder, reply.body)
        if reply.status == 409:
            return _decode(_conflict_decoder, reply.body)
        if reply.status == 400 and b"lease" in reply.body:
            raise LeaseExpired
        if reply.status in (400, 413):
            raise InvalidRequest(f"state service: {reply.status} {reply.body[:200]!r}")
        raise RequestRejected(f"state service: {reply.status} {reply.body[:200]!r}")

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease that expires `ttl_s` seconds after its latest renewal; return its id."""
        body = msgspec.json.encode(state_messages.GrantRequest(int(ttl_s * 1000)))
        reply = await self._call("POST", "/grants", body, urgent=True)
        if reply.status not in (200, 201):
            raise RequestRejected(f"state service: {reply.status} for a lease")
        return _decode(_grant_decoder, reply.body).lease

    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a lease. Raises LeaseExpired if it has expired or was revoked."""
        # Renewals skip the rate budget: a leader must not lose its lease because its own record writes used it up.
        reply = await self._call("POST", f"/grants/{lease}/touch", b"{}", timeout=timeout, urgent=True)
        if reply.status == 404:
            raise LeaseExpired
        if reply.status != 200:
            raise RequestRejected(f"state service: {reply.status} for a renewal")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the service deletes the keys attached to it."""
        await self._call("DELETE", f"/grants/{lease}", urgent=True)

    async def changes(
        self, prefix: str, after: int, block_ms: int = constants.LONG_POLL_TIMEOUT_MS
    ) -> state_messages.Changes:
        """The changes under a prefix since revision `after`; with `block_ms` above 0, a long poll for the next change.

        Raises RevisionCompacted if the service no longer keeps them.
        """
        path = f"/changes?prefix={quote(prefix)}&after={after}&blockMs={block_ms}"
        if block_ms:
            reply = await self._call("GET", path, timeout=block_ms / 1000 + WATCH_GRACE_S, max_wait=LONG_QUEUE_S)
        else:
            reply = await self._call("GET", path, timeout=constants.STATUS_TIMEOUT_S)
        if reply.status == 410:
            raise RevisionCompacted
        if reply.status != 200:
            raise RequestRejected(f"state service: {reply.status} for a watch")
        return _decode(_changes_decoder, reply.body)
