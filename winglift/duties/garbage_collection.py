"""Garbage collection of stored state by the leader, which uses spare write budget only.

Each removal is conditional on the fencing token and on the revision at which its key was found to be garbage. So a
removal that is applied late, or by a replaced leader, removes nothing that was written since.
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
    """Keys to be removed as garbage, and values to be written in the same transaction."""

    description: str
    keys: tuple[tuple[str, int], ...]  # each with the revision at which it was found to be garbage
    puts: tuple[tuple[state_messages.Put, int], ...] = ()  # each with the revision that its key must have

    def transaction(self, fence: state_messages.Condition) -> state_messages.Transaction:
        """The transaction that removes the keys, conditional on the fencing token and on each key's revision."""
        conditions = [
            fence,
            *(state_messages.Condition(key, version) for key, version in self.keys),
            *(state_messages.Condition(put.key, version) for put, version in self.puts),
        ]
        return state_messages.Transaction(
            conditions, [*(state_messages.Delete(key) for key, _ in self.keys), *(put for put, _ in self.puts)]
        )


class Sweeper(Protocol):
    """Finds one kind of garbage."""

    async def find(self, max_changes: int) -> Iterable[Removal]:
        """The removals that may be made now, each with at most `max_changes` changes.

        Raises RequestRejected or OutcomeUnknown.
        """
        ...


class GarbageCollector:
    """Runs the sweepers while this node holds the duty, and removes what they find."""

    def __init__(self, state: StateClient, limits: Limits, duties: Duties) -> None:
        self.state = state
        self.duties = duties
        self.sweepers: list[Sweeper] = []
        self._limits = limits

    def _has_spare_budget(self) -> bool:
        """Whether this node holds the duty, and there is write budget that no starts, completions or users need."""
        return self.duties.may_act(DutyName.GARBAGE_COLLECTION, monotonic_time()) and self.state.has_spare_writes(
            constants.GC_SPARE_WRITES_SHARE
        )

    async def run(self) -> None:
        """Run each sweeper every `GC_INTERVAL_S` while this node holds the duty and there is spare write budget."""
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
                    await asyncio.sleep(constants.WRITE_RETRY_DELAY_S)
                # Every write of a duty is conditional on the leadership key at its revision (invariant 1).
                result = await self.state.commit(removal.transaction(self.duties.fence.condition()))
                if isinstance(result, state_messages.Committed):
                    log.debug("garbage collection: removed: what=%r keys=%d", removal.description, len(removal.keys))
        except (RequestRejected, OutcomeUnknown, LeaseExpired) as err:
            log.debug("garbage collection: interrupted until the next run: error=%s", err)


class ImageCacheSweeper:
    """Finds image cache records that contain no existing machine."""

    def __init__(self, state: StateClient, cluster: ClusterState) -> None:
        self.state = state
        self.cluster = cluster

    async def find(self, max_changes: int) -> list[Removal]:
        """One removal for each image cache record all of whose machines have been deleted."""
        items, _ = await self.state.list(image_cache_record.PREFIX)
        stale = [
            item
            for item in items
            if not any(name in self.cluster.machines for name in image_cache_record.unpack([item.value]))
        ]
        return [Removal("images of deleted machines", ((item.key, item.version),)) for item in stale[:max_changes]]
