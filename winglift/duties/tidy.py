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

from .. import constants as c
from ..config.settings import State as Limits
from ..model import imagebook
from ..model.picture import Picture
from ..net.outside import steady
from ..store.client import Health, LeaseGone, Refused, StateClient, Unknown
from ..wire import state as wire
from .duty import Duties, Name

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Removal:
    """Keys that mean nothing any more, at the revisions at which that was found, and what is written about it."""

    what: str
    keys: tuple[tuple[str, int], ...]
    puts: tuple[tuple[wire.Put, int], ...] = ()  # and the revision that its key must have

    def transaction(self, fence: wire.Condition) -> wire.Transaction:
        """The transaction that removes it, fenced."""
        conditions = [
            fence,
            *(wire.Condition(key, version) for key, version in self.keys),
            *(wire.Condition(put.key, version) for put, version in self.puts),
        ]
        return wire.Transaction(conditions, [*(wire.Drop(key) for key, _ in self.keys), *(p for p, _ in self.puts)])


class Sweeper(Protocol):
    """Knows one kind of leftovers."""

    async def find(self, most: int) -> Iterable[Removal]:
        """What may go now, each removal of at most so many changes. Raises Refused or Unknown if it can't be told."""
        ...


class Tidy:
    """Garbage collection of stored state, a little at a time, with what the budget leaves."""

    def __init__(self, state: StateClient, limits: Limits, duties: Duties) -> None:
        self.state = state
        self.duties = duties
        self.sweepers: list[Sweeper] = []
        self._limits = limits

    def _spare(self) -> bool:
        """Is there budget that neither starts nor ends nor users need?"""
        return (
            self.duties.may(Name.TIDY, steady())
            and self.state.health() is Health.GOOD
            and self.state.writes_free() >= self._limits.write_rps * c.TIDY_WRITES_KEPT
        )

    async def run(self) -> None:
        """Look for garbage every TIDY_EVERY_S while this node holds the duty."""
        while True:
            await asyncio.sleep(c.TIDY_EVERY_S)
            for sweeper in self.sweepers:
                if self._spare():
                    await self._sweep(sweeper)

    async def _sweep(self, sweeper: Sweeper) -> None:
        try:
            for removal in await sweeper.find(max(1, self._limits.txn_ops - 1)):
                while not self._spare():
                    if not self.duties.may(Name.TIDY, steady()):
                        return
                    await asyncio.sleep(c.WRITE_AGAIN_S)
                # On the leadership key at its revision, as every write of a duty (invariant 1).
                done = await self.state.commit(removal.transaction(self.duties.fence.condition()))
                if isinstance(done, wire.Committed):
                    log.debug("clean-up: %s, %d keys removed", removal.what, len(removal.keys))
        except (Refused, Unknown, LeaseGone) as err:
            log.debug("clean-up: %s; it goes on at the next look", err)


class Images:
    """Pages of images that name no machine there is."""

    def __init__(self, state: StateClient, picture: Picture) -> None:
        self.state = state
        self.picture = picture

    async def find(self, most: int) -> list[Removal]:
        """Pages of images that no longer mean anything."""
        items, _ = await self.state.list(imagebook.PREFIX)
        stale = [
            item for item in items if not any(name in self.picture.machines for name in imagebook.unpack([item.value]))
        ]
        return [Removal("images of machines that are gone", ((item.key, item.version),)) for item in stale[:most]]
