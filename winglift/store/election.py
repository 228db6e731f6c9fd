"""Election of the leader by a lease of the state service. The term is the workers' token.

Its few requests skip the budget: after all nodes ended, 130 users' first polls a node once filled the queue for a
follower's 16 requests a second, and nobody could campaign.
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
from .client import LeaseExpired, OutcomeUnknown, RequestRejected, StateClient

log = logging.getLogger(__name__)

_leader = msgspec.json.Decoder(LeaderRecord)
_term = msgspec.json.Decoder(TermRecord)


class Election:
    """Campaigns for, renews and gives up the leadership of this node."""

    def __init__(self, state: StateClient, node: str, on_change: Callable[[], None]) -> None:
        self.state = state
        self.node = node
        self.leadership = Leadership()
        self.known_term = 0  # highest term seen in the state service
        self.known_leader = ""
        self._on_change = on_change
        self._pause_until = 0.0
        self._first_look = True
        self.campaign_requested = asyncio.Event()
        self._rng = current_runtime().random_source()

    async def run(self) -> None:
        """Follow, campaign or renew, for as long as the node runs."""
        while True:
            try:
                if self.leadership.role in (Role.LEADER, Role.DOUBTFUL):
                    await self._renew()
                else:
                    await self._follow()
            except (RequestRejected, OutcomeUnknown) as err:
                log.debug("election: %s", err)
                if self.leadership.role is Role.CAMPAIGNING:
                    self.leadership.move(RoleEvent.LOST)
                await asyncio.sleep(constants.CAMPAIGN_POLL_S)

    # -- leading -------------------------------------------------------------------------------

    async def _renew(self) -> None:
        sent = monotonic_time()
        try:
            await self.state.renew_lease(self.leadership.lease, timeout=1.0)
        except LeaseExpired:
            self.step_down("the lease has ended")
            return
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("renewal: %s", err)
            self.check_lease()
            await asyncio.sleep(0.25)
            return
        if self.leadership.role in (Role.LEADER, Role.DOUBTFUL):
            self.leadership.extend_lease(sent, constants.LEADER_LEASE_S)
            if self.leadership.role is Role.DOUBTFUL:
                log.info("leads term %d again: the lease held", self.leadership.term)
            self.leadership.move(RoleEvent.RENEWED)
        await asyncio.sleep(max(0.05, constants.LEADER_RENEW_S - (monotonic_time() - sent)))

    def check_lease(self) -> None:
        """Doubt the own leadership once its lease may have run out by the own clock."""
        if self.leadership.role is Role.LEADER and monotonic_time() >= self.leadership.valid_until:
            self.leadership.move(RoleEvent.OVERDUE)
            log.info("term %d in doubt: the lease was not renewed in time", self.leadership.term)

    def step_down(self, why: str) -> None:
        """Lead no more, whatever the lease says."""
        if self.leadership.role is Role.FOLLOWER:
            return
        log.info("no longer leads term %d: %s", self.leadership.term, why)
        self.leadership.move(RoleEvent.LOST)
        self.state.set_leading(False)
        self._on_change()

    async def resign(self, why: str) -> None:
        """Hand over: end the lease at once and let the others try first."""
        lease = self.leadership.lease
        self._pause_until = monotonic_time() + constants.RESIGN_PAUSE_S
        self.step_down(why)
        try:
            await self.state.revoke_lease(lease)
        except (RequestRejected, OutcomeUnknown):
            log.debug("the lease could not be ended; it runs out")

    # -- following -----------------------------------------------------------------------------

    async def expire_lease_of(self, node: str) -> None:
        """End the lease of a leader whose process seems to be gone, so that another can follow at once.

        A mistake costs a handover and nothing else: what a leader without its key decides can't be committed,
        what it sends of earlier decisions is in the records, and workers obey the higher term only.
        """
        if self.leadership.role is not Role.FOLLOWER:
            return
        try:
            item = await self.state.get(LEADER_KEY, urgent=True)
            if item is None or item.lease is None:
                return
            record = _leader.decode(item.value)
            if record.node == node and record.term >= self.known_term:
                log.info("%s seems to be gone: ends the lease of term %d", node, record.term)
                await self.state.revoke_lease(item.lease)
                self.campaign_requested.set()
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("succession: %s", err)

    async def _follow(self) -> None:
        item = await self.state.get(LEADER_KEY, urgent=True)
        first, self._first_look = self._first_look, False
        if item is not None:
            record = _leader.decode(item.value)
            self.known_term = max(self.known_term, record.term)
            self.known_leader = record.node
            if first and record.node == self.node and item.lease is not None:
                # The leader was this node, before its process ended: nobody need wait until its lease runs out. Only a
                # process's first look tells this; two nodes of one name would end each other's leases for ever.
                log.info("led term %d before it ended: ends that lease", record.term)
                await self.state.revoke_lease(item.lease)
                return
        elif monotonic_time() >= self._pause_until:
            self.known_leader = ""
            await self._campaign()
            return
        try:
            async with asyncio.timeout(constants.CAMPAIGN_POLL_S + self._rng.random() * constants.CAMPAIGN_JITTER_S):
                await self.campaign_requested.wait()
        except TimeoutError:
            pass
        self.campaign_requested.clear()

    async def _campaign(self) -> None:
        """Try once to become the leader of the next term."""
        self.leadership.move(RoleEvent.CAMPAIGN)
        sent = monotonic_time()
        lease = await self.state.grant_lease(constants.LEADER_LEASE_S)
        item = await self.state.get(TERM_KEY, urgent=True)
        last = _term.decode(item.value).term if item else 0
        version = item.version if item else 0
        term = last + 1
        # Both keys are compared: one leader at a time, and a term that only ever rises (invariant 1).
        txn = state_messages.Transaction(
            [state_messages.Condition(LEADER_KEY, 0), state_messages.Condition(TERM_KEY, version)],
            [
                state_messages.Put(LEADER_KEY, LeaderRecord(term, self.node), lease),
                state_messages.Put(TERM_KEY, TermRecord(term)),
            ],
        )
        revision = await self._commit_leadership(txn, term, lease)
        if not revision:
            self.leadership.move(RoleEvent.LOST)
            await asyncio.sleep(self._rng.random() * constants.CAMPAIGN_JITTER_S)
            return
        self._become_leader(term, lease, revision, sent)

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
        found = await self.state.get(LEADER_KEY, urgent=True)
        # The lease tells it from what an earlier process of this node has sent, perhaps with the same term: that key
        # would end while the lease renewed here is another.
        if found is None or found.lease != lease:
            return 0
        return found.version if _leader.decode(found.value) == LeaderRecord(term, self.node) else 0

    def _become_leader(self, term: int, lease: int, revision: int, sent: float) -> None:
        """Lead `term`. The lease counts from `sent`, the time at which it was asked for."""
        self.leadership.term, self.leadership.lease, self.leadership.revision = term, lease, revision
        self.leadership.valid_until = 0.0
        self.leadership.extend_lease(sent, constants.LEADER_LEASE_S)
        self.leadership.move(RoleEvent.WON)
        self.known_term, self.known_leader = term, self.node
        self.state.set_leading(True)
        log.info("leads term %d", term)
        self._on_change()
