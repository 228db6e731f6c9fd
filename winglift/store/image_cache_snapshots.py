"""Snapshots of the machines' image caches in the state service, written only with spare write budget."""

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
from .batcher import MAX_TXN_BYTES
from .client import LeaseExpired, OutcomeUnknown, RequestRejected, StateClient

log = logging.getLogger(__name__)


class ImageCacheSnapshots:
    """Writes and loads the snapshots, which tell a leader after a restart of all nodes what images machines hold."""

    def __init__(self, state: StateClient, limits: State, leadership: Leadership, fence: Fence) -> None:
        self.state = state
        self.limits = limits
        self.leadership = leadership
        self.fence = fence
        self._written: dict[str, bytes] = {}
        self._task: asyncio.Task | None = None
        self._next_snapshot_at = monotonic_time() + constants.IMAGE_CACHE_SNAPSHOT_INTERVAL_S

    def due(self, now: float) -> bool:
        """Whether a snapshot is due and there is write budget that neither starts nor users need."""
        return (
            now >= self._next_snapshot_at
            and (self._task is None or self._task.done())
            and self.state.has_spare_writes(constants.IMAGE_CACHE_SPARE_WRITES_SHARE)
        )

    def save(self, images: Mapping[str, Mapping[str, float]], now: float) -> None:
        """Start to write the images of all machines, as many as fit into IMAGE_CACHE_RECORDS values."""
        self._next_snapshot_at = now + constants.IMAGE_CACHE_SNAPSHOT_INTERVAL_S
        records = image_cache_record.pack(images, int(self.limits.value_kb * 1024) - constants.RECORD_HEADROOM_BYTES)
        changed = {key: value for key, value in records.items() if self._written.get(key) != value}
        if changed:
            self._task = asyncio.ensure_future(self._write(changed))

    def stop(self) -> None:
        """Cancel a write in progress, at the end of a term."""
        if self._task is not None:
            self._task.cancel()

    async def _write(self, records: dict[str, bytes]) -> None:
        keys = list(records)
        try:
            while keys and self.leadership.has_valid_lease(monotonic_time()):
                # A few records at a time, from the budget that starts and users leave over.
                max_records = min(
                    int(self.state.available_writes() - self.limits.write_rps * constants.PROGRESS_SPARE_WRITES_SHARE),
                    self.limits.txn_ops,
                    max(1, int(MAX_TXN_BYTES / (self.limits.value_kb * 1024))),
                )
                if max_records < 1:
                    await asyncio.sleep(constants.WRITE_RETRY_DELAY_S)
                    continue
                batch, keys = keys[:max_records], keys[max_records:]
                # Conditional on the leadership key's revision: a node that no longer leads can't write (invariant 1).
                txn = state_messages.Transaction(
                    [self.fence.condition()], [state_messages.Put(key, msgspec.Raw(records[key])) for key in batch]
                )
                if not isinstance(await self.state.commit(txn), state_messages.Committed):
                    return
                self._written.update((key, records[key]) for key in batch)
        except (RequestRejected, OutcomeUnknown, LeaseExpired) as err:
            log.debug("image cache snapshots: not written: error=%s", err)

    async def load(self) -> dict[str, dict[str, float]]:
        """Load the snapshot of an earlier leader: the images by machine. Empty if it can't be read now."""
        try:
            items, _ = await self.state.list(image_cache_record.PREFIX)
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("image cache snapshots: not loaded: error=%s", err)
            return {}
        self._written = {item.key: bytes(item.value) for item in items}
        return image_cache_record.unpack(item.value for item in items)
