"""What a node knows of the job records, brought up to date by one look at the changes for many questions at once.

Several hundred users poll every few seconds, far above the requests that the state service grants. A question waits
for a look that is sent after it came: so its answer is as new as anything that any node has told by then (invariant 4).
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
from .client import RequestRejected, RevisionCompacted, StateClient

log = logging.getLogger(__name__)

T = TypeVar("T")


class ReadCache(Generic[T]):
    """Digests of job records, each answer as new as the question (linearizable reads)."""

    def __init__(
        self,
        state: StateClient,
        digest: Callable[[str, records.JobRecord], T],
        every_s: float,
        on_record: Callable[[str, int, records.JobRecord], None] = lambda ref, version, record: None,
    ) -> None:
        self.state = state
        self._digest = digest  # what is kept of a record
        self._on_record = on_record  # hears of each record that is newer than what was known
        self._every_s = every_s
        self._known: OrderedDict[str, tuple[int, T]] = OrderedDict()
        self._revision: int | None = None
        self._next: asyncio.Task[None] | None = None  # the look that has not been sent yet
        self._last_sent = 0.0
        self._last_done = 0.0  # when the latest completed look was sent
        self._listing = asyncio.Lock()

    def add_record(self, ref: str, version: int, record: records.JobRecord) -> T:
        """A record that is committed at this version; an older one changes nothing."""
        known = self._known.get(ref)
        if known is not None and known[0] >= version:
            return known[1]
        digest = self._digest(ref, record)
        self._on_record(ref, version, record)
        self._known[ref] = version, digest
        self._known.move_to_end(ref)
        while len(self._known) > constants.READ_CACHE_RECORDS:
            self._known.popitem(last=False)
        return digest

    async def get(self, ref: str) -> T | None:
        """The record's digest, as new as this call; None only by the state service's own word."""
        if ref in self._known or self._revision is None:
            # From the first look on every change is seen, also one that happens while a record is read.
            await self._await_refresh()
            known = self._known.get(ref)
            # A node that stood still between the look and this line would tell what was true before: another node may
            # have told the user something newer meanwhile.
            if monotonic_time() - self._last_done > constants.REFRESH_VALID_S:
                raise RequestRejected("this node stood still")
            if known is not None:
                return known[1]
        sent = monotonic_time()
        item = await self.state.get(records.JOB_PREFIX + ref, timeout=constants.STATUS_TIMEOUT_S)
        if monotonic_time() - sent > constants.STATUS_TIMEOUT_S + constants.REFRESH_VALID_S:
            raise RequestRejected("this node stood still")
        return None if item is None else self.add_record(ref, item.version, records.decode(item.value))

    async def _await_refresh(self) -> None:
        """Wait for a look at the changes that is sent after this call."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._refresh())
        # Who stops waiting must not stop the others' look.
        await asyncio.shield(self._next)

    async def _refresh(self) -> None:
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
            # Another look has listed meanwhile, perhaps before this one was asked for: it sees what came after.
        revision = self._revision
        try:
            changes = await self.state.changes(records.JOB_PREFIX, revision, block_ms=0)
        except RevisionCompacted:
            # What was missed is unknown, so nothing that is known can be trusted.
            self._known.clear()
            self._revision = None
            raise RequestRejected("the changes asked for are no longer kept") from None
        for event in changes.events:
            if event.delete is not None:
                self._known.pop(event.delete[len(records.JOB_PREFIX) :], None)
            elif event.put is not None:
                self._add_stored_value(event.put, event.version, event.value)
        if self._revision is not None:
            self._revision = max(self._revision, changes.revision)
        self._last_done = max(self._last_done, sent)

    async def _list(self) -> None:
        """Learn all records at once, instead of one by one as users first ask about them."""
        items, revision = await self.state.list(records.JOB_PREFIX)
        # What was noted before the listing may have changed unseen; what is newer than it is seen from here on.
        self._known = OrderedDict((ref, known) for ref, known in self._known.items() if known[0] > revision)
        for item in items:
            self._add_stored_value(item.key, item.version, item.value)
        self._revision = revision

    def _add_stored_value(self, key: str, version: int, value: msgspec.Raw) -> None:
        ref = key[len(records.JOB_PREFIX) :]
        try:
            self.add_record(ref, version, records.decode(value))
        except ValueError as err:
            # Not written by this program (BadRecord is a ValueError): it must not stop the others' answers.
            self._known.pop(ref, None)
            log.error("record of %s: %s", ref, err)
