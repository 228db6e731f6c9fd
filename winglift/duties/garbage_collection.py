"""Clean-up of state: what no longer means anything is removed by the duty's holder, with what the write budget leaves.

Each removal is conditional on the fence and on the revision at which its key was found to mean nothing: a clean-up that
is applied late, or by a replaced holder, removes nothing that was written since.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from .. import constants
from ..config.settings import State as Limits
from ..model import image_cache_record
from ..model.cluster_state import ClusterState
from ..net.runtime import monotonic_time
from ..store.client import LeaseExpired, OutcomeUnknown, RequestRejected, StateClient
from ..wire import state as state_messages
from .duty import Duties, DutyName

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Removal:
    """Keys that mean nothing any more, at the revisions at which that was found, and what is written about it."""

    what: str
    keys: tuple[tuple[str, int], ...]
    puts: tuple[tuple[state_messages.Put, int], ...] = ()  # and the revision that its key must have

    def transaction(self, fence: state_messages.Condition) -> state_messages.Transaction:
        """The transaction that removes it, fenced."""
        conditions = [
            fence,
            *(state_messages.Condition(key, version) for key, version in self.keys),
            *(state_messages.Condition(put.key, version) for put, version in self.puts),
        ]
        return state_messages.Transaction(
            conditions, [*(state_messages.Drop(key) for key, _ in self.keys), *(p for p, _ in self.puts)]
        )


class Sweeper(Protocol):
    """Knows one kind of leftovers."""

    async def find(self, most: int) -> Iterable[Removal]:
        """What may go now, each removal of at most so many changes. Raises Refused or Unknown if it can't be told."""
        ...


class GarbageCollector:
    """Garbage collection of stored state, a little at a time, with what the budget leaves."""

    def __init__(self, state: StateClient, limits: Limits, duties: Duties) -> None:
        self.state = state
        self.duties = duties
        self.sweepers: list[Sweeper] = []
        self._limits = limits

    def _has_spare_budget(self) -> bool:
        """Is there budget that neither starts nor ends nor users need?"""
        return self.duties.may_act(DutyName.GARBAGE_COLLECTION, monotonic_time()) and self.state.has_spare_writes(
            constants.GC_WRITES_KEPT
        )

    async def run(self) -> None:
        """Look for garbage every GC_INTERVAL_S while this node holds the duty."""
        while True:
            await asyncio.sleep(constants.GC_INTERVAL_S)
            for sweeper in self.sweepers:
                if self._has_spare_budget():
                    await self._sweep(sweeper)

    async def _sweep(self, sweeper: Sweeper) -> None:
        try:
            for removal in await sweeper.find(max(1, self._limits.txn_ops - 1)):
                while not self._has_spare_budget():
                    if not self.duties.may_act(DutyName.GARBAGE_COLLECTION, monotonic_time()):
                        return
                    await asyncio.sleep(constants.WRITE_AGAIN_S)
                # On the leadership key at its revision, as every write of a duty (invariant 1).
                done = await self.state.commit(removal.transaction(self.duties.fence.condition()))
                if isinstance(done, state_messages.Committed):
                    log.debug("clean-up: %s, %d keys removed", removal.what, len(removal.keys))
        except (RequestRejected, OutcomeUnknown, LeaseExpired) as err:
            log.debug("clean-up: %s; it goes on at the next look", err)


class ImageCacheSweeper:
    """Pages of images that name no machine there is."""

    def __init__(self, state: StateClient, cluster: ClusterState) -> None:
        self.state = state
        self.cluster = cluster

    async def find(self, most: int) -> list[Removal]:
        """Pages of images that no longer mean anything."""
        items, _ = await self.state.list(image_cache_record.PREFIX)
        stale = [
            item
            for item in items
            if not any(name in self.cluster.machines for name in image_cache_record.unpack([item.value]))
        ]
        return [Removal("images of machines that are gone", ((item.key, item.version),)) for item in stale[:most]]
