"""Read cache of job records with linearizable reads: one refresh serves many readers.

Several hundred users poll every few seconds, far more often than the state service allows requests. Each read waits for
a refresh that is sent after the read arrived, so its answer is at least as new as any answer that any node had given by
then (invariant 4).
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from .. import constants
from ..model import records
from ..net.runtime import monotonic_time
from ..wire import state as state_messages
from .client import RequestRejected, RevisionCompacted, StateClient

log = logging.getLogger(__name__)

Digest = TypeVar("Digest")


class ReadCache(Generic[Digest]):
    """Caches digests of job records; every answer is at least as new as its read (linearizable, invariant 4)."""

    def __init__(
        self,
        state: StateClient,
        digest: Callable[[str, records.JobRecord], Digest],
        min_interval_s: float,
        on_record: Callable[[str, int, records.JobRecord], None] = lambda ref, version, record: None,
    ) -> None:
        self.state = state
        self._digest = digest  # computes the cached digest of a record
        self._on_record = on_record  # called for each record newer than the cached one
        self._min_interval_s = min_interval_s
        self._known: OrderedDict[str, tuple[int, Digest]] = OrderedDict()
        self._revision: int | None = None
        self._next_refresh: asyncio.Task[None] | None = None  # a refresh that is not sent yet; new reads join it
        self._last_sent_at = 0.0
        self._fresh_as_of = 0.0  # when the latest completed refresh was sent; the cache is at least as new
        self._listing_lock = asyncio.Lock()

    def add_record(self, ref: str, version: int, record: records.JobRecord) -> Digest:
        """Cache a record committed at this version; return the digest of the newer of this and the cached record."""
        cached = self._known.get(ref)
        if cached is not None and cached[0] >= version:
            return cached[1]
        digest = self._digest(ref, record)
        self._on_record(ref, version, record)
        self._known[ref] = version, digest
        self._known.move_to_end(ref)
        while len(self._known) > constants.READ_CACHE_RECORDS_MAX:
            self._known.popitem(last=False)
        return digest

    async def get(self, ref: str) -> Digest | None:
        """The record's digest, at least as new as this call; None only if the state service has no such record.

        Raises RequestRejected or OutcomeUnknown.
        """
        if ref in self._known or self._revision is None:
            # After the first refresh the cache sees every change, also one made while a single record is being read.
            await self._await_refresh()
            cached = self._known.get(ref)
            # If this process was paused after the refresh was sent, the cached state may be stale: another node may
            # have given the user a newer answer meanwhile.
            if monotonic_time() - self._fresh_as_of > constants.REFRESH_MAX_AGE_S:
                raise RequestRejected("this node stood still")
            if cached is not None:
                return cached[1]
        sent_at = monotonic_time()
        item = await self.state.get(records.JOB_PREFIX + ref, timeout=constants.STATUS_TIMEOUT_S)
        if monotonic_time() - sent_at > constants.STATUS_TIMEOUT_S + constants.REFRESH_MAX_AGE_S:
            raise RequestRejected("this node stood still")
        return None if item is None else self.add_record(ref, item.version, records.decode(item.value))

    async def _await_refresh(self) -> None:
        """Wait for a refresh that is sent after this call."""
        if self._next_refresh is None:
            self._next_refresh = asyncio.ensure_future(self._refresh())
        # Shielded: a cancelled reader must not cancel the refresh that other readers wait for.
        await asyncio.shield(self._next_refresh)

    async def _refresh(self) -> None:
        """Read the changes since the last refresh, or list all records, at most once every `min_interval_s` seconds."""
        delay_s = self._last_sent_at + self._min_interval_s - monotonic_time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        self._next_refresh = None
        sent_at = self._last_sent_at = monotonic_time()
        if self._revision is None:
            async with self._listing_lock:
                if self._revision is None:
                    await self._list_all()
                    self._fresh_as_of = max(self._fresh_as_of, sent_at)
                    return
            # Another refresh has done the listing, possibly before the reads that wait for this refresh arrived, so
            # this refresh also reads the changes since that listing.
        revision = self._revision
        try:
            changes = await self.state.changes(records.JOB_PREFIX, revision, block_ms=0)
        except RevisionCompacted:
            # The missed changes are unknown, so every cached record may be stale.
            self._known.clear()
            self._revision = None
            raise RequestRejected("the changes asked for are no longer kept") from None
        self._apply_changes(changes)
        self._fresh_as_of = max(self._fresh_as_of, sent_at)

    def _apply_changes(self, changes: state_messages.Changes) -> None:
        for event in changes.events:
            if event.delete is not None:
                self._known.pop(event.delete[len(records.JOB_PREFIX) :], None)
            elif event.put is not None:
                self._add_stored_value(event.put, event.version, event.value)
        if self._revision is not None:
            self._revision = max(self._revision, changes.revision)

    async def _list_all(self) -> None:
        """Load all records at once, instead of one by one as users ask for them."""
        items, revision = await self.state.list(records.JOB_PREFIX)
        # Records cached before the listing may be stale. Later changes are read by the refreshes that follow.
        self._known = OrderedDict((ref, cached) for ref, cached in self._known.items() if cached[0] > revision)
        for item in items:
            self._add_stored_value(item.key, item.version, item.value)
        self._revision = revision

    def _add_stored_value(self, key: str, version: int, value: msgspec.Raw) -> None:
        ref = key[len(records.JOB_PREFIX) :]
        try:
            self.add_record(ref, version, records.decode(value))
        except ValueError as err:
            # Not written by this program. One invalid record must not fail the reads of the others (InvalidRecord is
            # a ValueError).
            self._known.pop(ref, None)
            log.error("job record: unreadable: job=%s error=%s", ref, err)
