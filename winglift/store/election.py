"""Election of the leader by a lease of the state service. The term is the workers' token.

Its few requests skip the budget: after all nodes ended, 130 users' first polls a node once filled the queue for a
follower's 16 requests a second, and nobody could campaign.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants as c
from ..model.leadership import Leadership, Role, RoleEvent
from ..model.records import LEADER, TERM, LeaderRecord, TermRecord
from ..net.outside import here, steady
from ..wire import state as wire
from .client import LeaseGone, Refused, StateClient, Unknown

log = logging.getLogger(__name__)

_leader = msgspec.json.Decoder(LeaderRecord)
_term = msgspec.json.Decoder(TermRecord)


class Election:
    """Campaigns for, renews and gives up the leadership of this node."""

    def __init__(self, state: StateClient, node: str, on_change: Callable[[], None]) -> None:
        self.state = state
        self.node = node
        self.me = Leadership()
        self.known_term = 0  # highest term seen in the state service
        self.known_leader = ""
        self._on_change = on_change
        self._pause_until = 0.0
        self._first_look = True
        self.hurry = asyncio.Event()
        self._rng = here().chance()

    async def run(self) -> None:
        """Follow, campaign or renew, for as long as the node runs."""
        while True:
            try:
                if self.me.role in (Role.LEADER, Role.DOUBTFUL):
                    await self._renew()
                else:
                    await self._follow()
            except (Refused, Unknown) as err:
                log.debug("election: %s", err)
                if self.me.role is Role.CAMPAIGNING:
                    self.me.move(RoleEvent.LOST)
                await asyncio.sleep(c.CAMPAIGN_POLL_S)

    # -- leading -------------------------------------------------------------------------------

    async def _renew(self) -> None:
        sent = steady()
        try:
            await self.state.touch(self.me.lease, timeout=1.0)
        except LeaseGone:
            self.lose("the lease has ended")
            return
        except (Refused, Unknown) as err:
            log.debug("renewal: %s", err)
            self.check()
            await asyncio.sleep(0.25)
            return
        if self.me.role in (Role.LEADER, Role.DOUBTFUL):
            self.me.extend(sent, c.LEADER_LEASE_S)
            if self.me.role is Role.DOUBTFUL:
                log.info("leads term %d again: the lease held", self.me.term)
            self.me.move(RoleEvent.RENEWED)
        await asyncio.sleep(max(0.05, c.LEADER_RENEW_S - (steady() - sent)))

    def check(self) -> None:
        """Doubt the own leadership once its lease may have run out by the own clock."""
        if self.me.role is Role.LEADER and steady() >= self.me.valid_until:
            self.me.move(RoleEvent.OVERDUE)
            log.info("term %d in doubt: the lease was not renewed in time", self.me.term)

    def lose(self, why: str) -> None:
        """Lead no more, whatever the lease says."""
        if self.me.role is Role.FOLLOWER:
            return
        log.info("no longer leads term %d: %s", self.me.term, why)
        self.me.move(RoleEvent.LOST)
        self.state.set_leading(False)
        self._on_change()

    async def resign(self, why: str) -> None:
        """Hand over: end the lease at once and let the others try first."""
        lease = self.me.lease
        self._pause_until = steady() + c.RESIGN_PAUSE_S
        self.lose(why)
        try:
            await self.state.release(lease)
        except (Refused, Unknown):
            log.debug("the lease could not be ended; it runs out")

    # -- following -----------------------------------------------------------------------------

    async def succeed(self, node: str) -> None:
        """End the lease of a leader whose process seems to be gone, so that another can follow at once.

        A mistake costs a handover and nothing else: what a leader without its key decides can't be committed,
        what it sends of earlier decisions is in the records, and workers obey the higher term only.
        """
        if self.me.role is not Role.FOLLOWER:
            return
        try:
            item = await self.state.get(LEADER, urgent=True)
            if item is None or item.lease is None:
                return
            record = _leader.decode(item.value)
            if record.node == node and record.term >= self.known_term:
                log.info("%s seems to be gone: ends the lease of term %d", node, record.term)
                await self.state.release(item.lease)
                self.hurry.set()
        except (Refused, Unknown) as err:
            log.debug("succession: %s", err)

    async def _follow(self) -> None:
        item = await self.state.get(LEADER, urgent=True)
        first, self._first_look = self._first_look, False
        if item is not None:
            record = _leader.decode(item.value)
            self.known_term = max(self.known_term, record.term)
            self.known_leader = record.node
            if first and record.node == self.node and item.lease is not None:
                # The leader was this node, before its process ended: nobody need wait until its lease runs out. Only a
                # process's first look tells this; two nodes of one name would end each other's leases for ever.
                log.info("led term %d before it ended: ends that lease", record.term)
                await self.state.release(item.lease)
                return
        elif steady() >= self._pause_until:
            self.known_leader = ""
            await self._campaign()
            return
        try:
            async with asyncio.timeout(c.CAMPAIGN_POLL_S + self._rng.random() * c.CAMPAIGN_JITTER_S):
                await self.hurry.wait()
        except TimeoutError:
            pass
        self.hurry.clear()

    async def _campaign(self) -> None:
        self.me.move(RoleEvent.CAMPAIGN)
        sent = steady()
        lease = await self.state.grant(c.LEADER_LEASE_S)
        item = await self.state.get(TERM, urgent=True)
        last = _term.decode(item.value).term if item else 0
        version = item.version if item else 0
        term = last + 1
        # Both keys are compared: one leader at a time, and a term that only ever rises (invariant 1).
        txn = wire.Transaction(
            [wire.Condition(LEADER, 0), wire.Condition(TERM, version)],
            [wire.Put(LEADER, LeaderRecord(term, self.node), lease), wire.Put(TERM, TermRecord(term))],
        )
        revision = 0
        try:
            result = await self.state.commit(txn, urgent=True)
            if isinstance(result, wire.Committed):
                revision = result.revision
        except LeaseGone:
            pass
        except Unknown:
            found = await self.state.get(LEADER, urgent=True)
            # The lease tells it from what this node's earlier life has sent, perhaps with the same term: that one would
            # end while the lease renewed here is another.
            if (
                found is not None
                and found.lease == lease
                and _leader.decode(found.value) == LeaderRecord(term, self.node)
            ):
                revision = found.version
        if not revision:
            self.me.move(RoleEvent.LOST)
            await asyncio.sleep(self._rng.random() * c.CAMPAIGN_JITTER_S)
            return
        self.me.term, self.me.lease, self.me.revision = term, lease, revision
        self.me.valid_until = 0.0
        self.me.extend(sent, c.LEADER_LEASE_S)
        self.me.move(RoleEvent.WON)
        self.known_term, self.known_leader = term, self.node
        self.state.set_leading(True)
        log.info("leads term %d", term)
        self._on_change()
