"""Keeps the leader's knowledge of images in the state service, with what its budget leaves over."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping

import msgspec

from .. import constants as c
from ..config.settings import State
from ..duties.duty import Fence
from ..model import imagebook
from ..model.leadership import Leadership
from ..net.outside import steady
from ..wire import state as wire
from .batcher import MAX_TXN
from .client import Health, LeaseGone, Refused, StateClient, Unknown

log = logging.getLogger(__name__)


class Keeper:
    """Keeps which machine holds which image in the state service, for a start after all nodes ended."""

    def __init__(self, state: StateClient, limits: State, me: Leadership, fence: Fence) -> None:
        self.state = state
        self.limits = limits
        self.me = me
        self.fence = fence
        self._written: dict[str, bytes] = {}
        self._task: asyncio.Task | None = None
        self._next = steady() + c.IMAGES_KEPT_EVERY_S

    def due(self, now: float) -> bool:
        """Is there time and budget to write? Never while starts or users may need it."""
        return (
            now >= self._next
            and (self._task is None or self._task.done())
            and self.state.health() is Health.GOOD
            and self.state.writes_free() >= self.limits.write_rps * c.IMAGES_WRITES_KEPT
        )

    def save(self, images: Mapping[str, Mapping[str, float]], now: float) -> None:
        """Write the images of all machines, as far as they fit into IMAGE_PAGES values."""
        self._next = now + c.IMAGES_KEPT_EVERY_S
        pages = imagebook.pack(images, int(self.limits.value_kb * 1024) - c.RECORD_SPARE_BYTES)
        changed = {key: value for key, value in pages.items() if self._written.get(key) != value}
        if changed:
            self._task = asyncio.ensure_future(self._write(changed))

    def stop(self) -> None:
        """Write nothing more in this term."""
        if self._task is not None:
            self._task.cancel()

    async def _write(self, pages: dict[str, bytes]) -> None:
        keys = list(pages)
        try:
            while keys and self.me.entitled(steady()):
                # A few at a time, and only from what starts and users leave.
                most = min(
                    int(self.state.writes_free() - self.limits.write_rps * c.START_WRITES_KEPT),
                    self.limits.txn_ops,
                    max(1, int(MAX_TXN / (self.limits.value_kb * 1024))),
                )
                if most < 1:
                    await asyncio.sleep(c.WRITE_AGAIN_S)
                    continue
                part, keys = keys[:most], keys[most:]
                # As every leader write, on the leadership key at its revision (invariant 1).
                txn = wire.Transaction(
                    [self.fence.condition()], [wire.Put(key, msgspec.Raw(pages[key])) for key in part]
                )
                if not isinstance(await self.state.commit(txn), wire.Committed):
                    return
                self._written.update((key, pages[key]) for key in part)
        except (Refused, Unknown, LeaseGone) as err:
            log.debug("images are not kept this time: %s", err)

    async def load(self) -> dict[str, dict[str, float]]:
        """What an earlier leader kept; nothing if it can't be read now."""
        try:
            items, _ = await self.state.list(imagebook.PREFIX)
        except (Refused, Unknown) as err:
            log.debug("images are not known: %s", err)
            return {}
        self._written = {item.key: bytes(item.value) for item in items}
        return imagebook.unpack(item.value for item in items)
