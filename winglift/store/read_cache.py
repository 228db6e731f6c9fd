"""Read cache of job records with linearizable reads: one refresh serves many readers.

Several hundred users poll every few seconds, far above the requests that the state service grants. A read waits for a
refresh that is sent after the read came: so its answer is as new as any answer that any node has given by then
(invariant 4).
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
    """Digests of job records; each answer is at least as new as the read (linearizable, invariant 4)."""

    def __init__(
        self,
        state: StateClient,
        digest: Callable[[str, records.JobRecord], Digest],
        every_s: float,
        on_record: Callable[[str, int, records.JobRecord], None] = lambda ref, version, record: None,
    ) -> None:
        self.state = state
        self._digest = digest  # makes what is cached of a record
        self._on_record = on_record  # called for each record that is newer than the cached one
        self._every_s = every_s
        self._known: OrderedDict[str, tuple[int, Digest]] = OrderedDict()
        self._revision: int | None = None
        self._next: asyncio.Task[None] | None = None  # the refresh that has not been sent yet
        self._last_sent = 0.0
        self._last_done = 0.0  # when the latest completed refresh was sent
        self._listing = asyncio.Lock()

    def add_record(self, ref: str, version: int, record: records.JobRecord) -> Digest:
        """Cache a record committed at this version; returns the digest of the newer of it and the cached one."""
        known = self._known.get(ref)
        if known is not None and known[0] >= version:
            return known[1]
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
            # From the first refresh on every change is seen, also one that happens while a record is read.
            await self._await_refresh()
            known = self._known.get(ref)
            # A process that was paused between the refresh and this line would answer with an old state: another node
            # may have given the user a newer one meanwhile.
            if monotonic_time() - self._last_done > constants.REFRESH_MAX_AGE_S:
                raise RequestRejected("this node stood still")
            if known is not None:
                return known[1]
        sent = monotonic_time()
        item = await self.state.get(records.JOB_PREFIX + ref, timeout=constants.STATUS_TIMEOUT_S)
        if monotonic_time() - sent > constants.STATUS_TIMEOUT_S + constants.REFRESH_MAX_AGE_S:
            raise RequestRejected("this node stood still")
        return None if item is None else self.add_record(ref, item.version, records.decode(item.value))

    async def _await_refresh(self) -> None:
        """Wait for a refresh that is sent after this call."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._refresh())
        # A reader that is cancelled must not cancel the refresh that others wait for.
        await asyncio.shield(self._next)

    async def _refresh(self) -> None:
        """Read the changes since the last refresh, or list all records, at most once every `every_s` seconds."""
        pause = self._last_sent + self._every_s - monotonic_time()
        if pause > 0:
            await asyncio.sleep(pause)
        self._next = None
        sent = self._last_sent = monotonic_time()
        if self._revision is None:
            async with self._listing:
                if self._revision is None:
                    await self._list()
                    self._last_done = max(self._last_done, sent)
                    return
            # Another refresh has listed meanwhile, perhaps before this one was requested: this one goes on and reads
            # the changes since that listing.
        revision = self._revision
        try:
            changes = await self.state.changes(records.JOB_PREFIX, revision, block_ms=0)
        except RevisionCompacted:
            # The changes missed are unknown, so no cached record can be trusted.
            self._known.clear()
            self._revision = None
            raise RequestRejected("the changes asked for are no longer kept") from None
        self._apply_changes(changes)
        self._last_done = max(self._last_done, sent)

    def _apply_changes(self, changes: state_messages.Changes) -> None:
        for event in changes.events:
            if event.delete is not None:
                self._known.pop(event.delete[len(records.JOB_PREFIX) :], None)
            elif event.put is not None:
                self._add_stored_value(event.put, event.version, event.value)
        if self._revision is not None:
            self._revision = max(self._revision, changes.revision)

    async def _list(self) -> None:
        """Load all records at once, instead of one by one as users first ask for them."""
        items, revision = await self.state.list(records.JOB_PREFIX)
        # Records cached before the listing may have changed unseen; what is newer than it, later refreshes will see.
        self._known = OrderedDict((ref, known) for ref, known in self._known.items() if known[0] > revision)
        for item in items:
            self._add_stored_value(item.key, item.version, item.value)
        self._revision = revision

    def _add_stored_value(self, key: str, version: int, value: msgspec.Raw) -> None:
        ref = key[len(records.JOB_PREFIX) :]
        try:
            self.add_record(ref, version, records.decode(value))
        except ValueError as err:
            # Not written by this program (InvalidRecord is a ValueError): it must not fail the reads of other records.
            self._known.pop(ref, None)
            log.error("job record: unreadable: job=%s error=%s", ref, err)
