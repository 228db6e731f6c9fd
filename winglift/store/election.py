"""Leader election by a lease of the state service. The term is the fencing token that workers check.

The election's few requests skip the rate budget. After a restart of all nodes, the first polls of 130 users per node
once used up a follower's 16 requests a second, and no node could campaign.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants
from ..model.leadership import Leadership, Role, RoleEvent
from ..model.records import LEADER_KEY, TERM_KEY, LeaderRecord, TermRecord
from ..net.runtime import current_runtime, monotonic_time
from ..wire import state as state_messages
from ..wire import workers as worker_messages
from .client import LeaseExpired, OutcomeUnknown, RequestRejected, StateClient

log = logging.getLogger(__name__)

_leader_decoder = msgspec.json.Decoder(LeaderRecord)
_term_decoder = msgspec.json.Decoder(TermRecord)


RENEWAL_TIMEOUT_S = 1.0
RENEWAL_RETRY_S = 0.25  # delay after a failed renewal
RENEWAL_PAUSE_MIN_S = 0.05  # minimum delay between two renewals, also after a slow one


class Election:
    """Campaigns for, renews and resigns leadership, so that one node leads at a time (PROTOCOL, invariant 1)."""

    def __init__(self, state: StateClient, node: str, on_change: Callable[[], None]) -> None:
        self.state = state
        self.node = node
        self.leadership = Leadership()
        self.known_term = 0  # highest term seen in the state service
        self.known_leader = ""
        self._on_change = on_change
        self._no_campaign_before = 0.0
        self._first_read = True
        self.campaign_requested = asyncio.Event()
        self._rng = current_runtime().random_source()

    async def run(self) -> None:
        """Run the election until the node stops: renew the lease as leader, else follow and campaign."""
        while True:
            try:
                if self.leadership.role in (Role.LEADER, Role.LEASE_IN_DOUBT):
                    await self._renew()
                else:
                    await self._follow()
            except (RequestRejected, OutcomeUnknown) as err:
                log.debug("election: request failed: error=%s", err)
                if self.leadership.role is Role.CAMPAIGNING:
                    self.leadership.move(RoleEvent.LOST)
                await asyncio.sleep(constants.CAMPAIGN_POLL_INTERVAL_S)

    # -- leading -------------------------------------------------------------------------------

    async def _renew(self) -> None:
        """Renew the lease once and wait until the next renewal is due; step down if the lease has expired."""
        sent_at = monotonic_time()
        try:
            await self.state.renew_lease(self.leadership.lease, timeout=RENEWAL_TIMEOUT_S)
        except LeaseExpired:
            self.step_down("the lease has expired")
            return
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("election: lease renewal failed: error=%s", err)
            self.check_lease()
            await asyncio.sleep(RENEWAL_RETRY_S)
            return
        if self.leadership.role in (Role.LEADER, Role.LEASE_IN_DOUBT):
            self.leadership.extend_lease(sent_at, constants.LEADER_LEASE_S)
            if self.leadership.role is Role.LEASE_IN_DOUBT:
                log.info("election: leading again, lease renewed: term=%d", self.leadership.term)
            self.leadership.move(RoleEvent.RENEWED)
        await asyncio.sleep(
            max(RENEWAL_PAUSE_MIN_S, constants.LEADER_RENEWAL_INTERVAL_S - (monotonic_time() - sent_at))
        )

    def check_lease(self) -> None:
        """Mark the leadership as doubtful once the lease may have expired, by this node's clock."""
        if self.leadership.role is Role.LEADER and monotonic_time() >= self.leadership.valid_until:
            self.leadership.move(RoleEvent.OVERDUE)
            log.info("election: leadership in doubt, lease not renewed in time: term=%d", self.leadership.term)

    def step_down(self, reason: str) -> None:
        """Become a follower, whatever the state of the lease; `reason` is logged."""
        if self.leadership.role is Role.FOLLOWER:
            return
        log.info("election: no longer leading: term=%d reason=%s", self.leadership.term, reason)
        self.leadership.move(RoleEvent.LOST)
        self.state.set_leading(False)
        self._on_change()

    async def resign(self, reason: str) -> None:
        """Give up leadership: revoke the lease at once, and let the other nodes campaign first."""
        lease = self.leadership.lease
        self._no_campaign_before = monotonic_time() + constants.RESIGNATION_BACKOFF_S
        self.step_down(reason)
        try:
            await self.state.revoke_lease(lease)
        except (RequestRejected, OutcomeUnknown):
            log.debug("election: lease not revoked, it will expire")

    # -- following -----------------------------------------------------------------------------

    async def revoke_lease_of(self, node: str) -> None:
        """Revoke the lease of a leader whose process seems to have ended, so that another node can lead at once.

        If the process has not ended, the only cost is a failover: a leader without the leadership key can't commit new
        decisions, the commands that it still sends follow from committed records, and workers obey only the highest
        term.
        """
        if self.leadership.role is not Role.FOLLOWER:
            return
        try:
            item = await self.state.get(LEADER_KEY, urgent=True)
            if item is None or item.lease is None:
                return
            record = _leader_decoder.decode(item.value)
            if record.node == node and record.term >= self.known_term:
                log.info("election: leader seems to have ended, revoking its lease: node=%s term=%d", node, record.term)
                await self.state.revoke_lease(item.lease)
                self.campaign_requested.set()
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("election: lease of another node not revoked: error=%s", err)

    async def _follow(self) -> None:
        """Read the leadership key; campaign if it is absent, else wait until the next poll or `campaign_requested`."""
        item = await self.state.get(LEADER_KEY, urgent=True)
        is_first_read, self._first_read = self._first_read, False
        if item is not None:
            record = _leader_decoder.decode(item.value)
            self.known_term = max(self.known_term, record.term)
            self.known_leader = record.node
            if is_first_read and record.node == self.node and item.lease is not None:
                # The key was written by an earlier process of this node, so there is no need to wait until its lease
                # expires. Checked on the first read only: otherwise two nodes configured with the same name would
                # revoke each other's leases forever.
                log.info("election: revoking the lease of an earlier process: term=%d", record.term)
                await self.state.revoke_lease(item.lease)
                return
        elif monotonic_time() >= self._no_campaign_before:
            self.known_leader = ""
            await self._campaign()
            return
        try:
            async with asyncio.timeout(
                constants.CAMPAIGN_POLL_INTERVAL_S + self._rng.random() * constants.CAMPAIGN_JITTER_MAX_S
            ):
                await self.campaign_requested.wait()
        except TimeoutError:
            pass
        self.campaign_requested.clear()

    async def _campaign(self) -> None:
        """Try once to become the leader of the next term."""
        self.leadership.move(RoleEvent.CAMPAIGN)
        sent_at = monotonic_time()
        lease = await self.state.grant_lease(constants.LEADER_LEASE_S)
        item = await self.state.get(TERM_KEY, urgent=True)
        last_term = _term_decoder.decode(item.value).term if item else 0
        term_version = item.version if item else 0
        term = worker_messages.term_after(last_term)
        # The conditions on both keys guarantee a single leader and a term that only increases (invariant 1).
        txn = state_messages.Transaction(
            [state_messages.Condition(LEADER_KEY, 0), state_messages.Condition(TERM_KEY, term_version)],
            [
                state_messages.Put(LEADER_KEY, LeaderRecord(term, self.node), lease),
                state_messages.Put(TERM_KEY, TermRecord(term)),
            ],
        )
        revision = await self._commit_leadership(txn, term, lease)
        if not revision:
            self.leadership.move(RoleEvent.LOST)
            await asyncio.sleep(self._rng.random() * constants.CAMPAIGN_JITTER_MAX_S)
            return
        self._become_leader(term, lease, revision, sent_at)

    async def _commit_leadership(self, txn: state_messages.Transaction, term: int, lease: int) -> int:
        """The leadership key's revision if this transaction made the node the leader, else 0."""
        try:
            result = await self.state.commit(txn, urgent=True)
        except LeaseExpired:
            return 0
        except OutcomeUnknown:
            return await self._own_leadership_revision(term, lease)
        return result.revision if isinstance(result, state_messages.Committed) else 0

    async def _own_leadership_revision(self, term: int, lease: int) -> int:
        """The leadership key's revision if it names this node, this term and this lease, else 0."""
        item = await self.state.get(LEADER_KEY, urgent=True)
        # An earlier process of this node may have written the key, even with the same term. The lease tells the two
        # apart: that key is attached to an earlier lease, which this process does not renew and which would expire.
        if item is None or item.lease != lease:
            return 0
        return item.version if _leader_decoder.decode(item.value) == LeaderRecord(term, self.node) else 0

    def _become_leader(self, term: int, lease: int, revision: int, sent_at: float) -> None:
        """Start to lead `term`. The lease counts from `sent_at`, when it was requested."""
        self.leadership.term, self.leadership.lease, self.leadership.revision = term, lease, revision
        self.leadership.valid_until = 0.0
        self.leadership.extend_lease(sent_at, constants.LEADER_LEASE_S)
        self.leadership.move(RoleEvent.WON)
        self.known_term, self.known_leader = term, self.node
        self.state.set_leading(True)
        log.info("election: leading: term=%d", term)
        self._on_change()
