"""Keeps the leader's knowledge of images in the state service, with what its budget leaves over."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping

import msgspec

from .. import constants
from ..config.settings import State
from ..duties.duty import Fence
from ..model import image_cache_record
from ..model.leadership import Leadership
from ..net.runtime import monotonic_time
from ..wire import state as state_messages
from .batcher import MAX_TXN
from .client import LeaseExpired, OutcomeUnknown, RequestRejected, StateClient

log = logging.getLogger(__name__)


class ImageCacheSnapshots:
    """Keeps which machine holds which image in the state service, for a start after all nodes ended."""

    def __init__(self, state: StateClient, limits: State, leadership: Leadership, fence: Fence) -> None:
        self.state = state
        self.limits = limits
        self.leadership = leadership
        self.fence = fence
        self._written: dict[str, bytes] = {}
        self._task: asyncio.Task | None = None
        self._next = monotonic_time() + constants.IMAGE_CACHE_SNAPSHOT_S

    def due(self, now: float) -> bool:
        """Is there time and budget to write? Never while starts or users may need it."""
        return (
            now >= self._next
            and (self._task is None or self._task.done())
            and self.state.has_spare_writes(constants.IMAGE_CACHE_WRITES_KEPT)
        )

    def save(self, images: Mapping[str, Mapping[str, float]], now: float) -> None:
        """Write the images of all machines, as far as they fit into IMAGE_CACHE_RECORDS values."""
        self._next = now + constants.IMAGE_CACHE_SNAPSHOT_S
        records = image_cache_record.pack(images, int(self.limits.value_kb * 1024) - constants.RECORD_SPARE_BYTES)
        changed = {key: value for key, value in records.items() if self._written.get(key) != value}
        if changed:
            self._task = asyncio.ensure_future(self._write(changed))

    def stop(self) -> None:
        """Write nothing more in this term."""
        if self._task is not None:
            self._task.cancel()

    async def _write(self, records: dict[str, bytes]) -> None:
        keys = list(records)
        try:
            while keys and self.leadership.entitled(monotonic_time()):
                # A few at a time, and only from what starts and users leave.
                most = min(
                    int(self.state.writes_free() - self.limits.write_rps * constants.START_WRITES_KEPT),
                    self.limits.txn_ops,
                    max(1, int(MAX_TXN / (self.limits.value_kb * 1024))),
                )
                if most < 1:
                    await asyncio.sleep(constants.WRITE_AGAIN_S)
                    continue
                part, keys = keys[:most], keys[most:]
                # As every leader write, on the leadership key at its revision (invariant 1).
                txn = state_messages.Transaction(
                    [self.fence.condition()], [state_messages.Put(key, msgspec.Raw(records[key])) for key in part]
                )
                if not isinstance(await self.state.commit(txn), state_messages.Committed):
                    return
                self._written.update((key, records[key]) for key in part)
        except (RequestRejected, OutcomeUnknown, LeaseExpired) as err:
            log.debug("images are not kept this time: %s", err)

    async def load(self) -> dict[str, dict[str, float]]:
        """What an earlier leader kept; nothing if it can't be read now."""
        try:
            items, _ = await self.state.list(image_cache_record.PREFIX)
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("images are not known: %s", err)
            return {}
        self._written = {item.key: bytes(item.value) for item in items}
        return image_cache_record.unpack(item.value for item in items)
