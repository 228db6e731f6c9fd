"""The leader follows the job records: all of them once, then every change."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants as c
from ..model import records
from ..model.job import JobState
from ..model.picture import Picture
from ..model.recorded import apply_record
from ..net.outside import steady
from ..store.client import Refused, StateClient, TooOld, Unknown
from ..wire.users import Submission

log = logging.getLogger(__name__)


class Following:
    """`on_new` hears of each open job once; `wake` is called when something has changed."""

    def __init__(
        self,
        state: StateClient,
        picture: Picture,
        on_new: Callable[[float, Submission], None],
        wake: Callable[[], None],
    ) -> None:
        self.state = state
        self.picture = picture
        self.loaded = False  # all records are known
        self._on_new = on_new
        self._wake = wake
        self._revision = 0
        self._seen_refs: set[str] = set()

    async def run(self) -> None:
        """Load all records, then follow their changes. The picture is rebuilt before anything is placed."""
        while True:
            try:
                sent = steady()
                items, revision = await self.state.list(records.JOB)
                now = steady()
                for item in items:
                    self._take_record(item.key, item.version, item.value, now)
                self._revision = revision
                self.picture.watched_at = sent
                if not self.loaded:
                    log.info(
                        "term %d: %d records, %d jobs open, %d machines named",
                        self.picture.term,
                        len(items),
                        sum(j.is_open for j in self.picture.jobs.values()),
                        len(self.picture.machines),
                    )
                self.loaded = True
                self.picture.changed = True
                await self._watch()
            except TooOld:
                log.info("the watch fell behind; reading all records again")
            except (Refused, Unknown) as err:
                log.debug("records: %s", err)
                await asyncio.sleep(0.5)

    async def _watch(self) -> None:
        while True:
            sent = steady()
            try:
                changes = await self.state.changes(records.JOB, self._revision)
            except (Refused, Unknown) as err:
                log.debug("watch: %s", err)
                await asyncio.sleep(0.3)
                continue
            now = steady()
            for event in changes.events:
                if event.put is not None:
                    self._take_record(event.put, event.version, event.value, now)
            self._revision = max(self._revision, changes.revision)
            self.picture.watched_at = sent
            if changes.events:
                self._wake()
            await asyncio.sleep(c.WATCH_PAUSE_S)

    def _take_record(self, key: str, version: int, value: msgspec.Raw, now: float) -> None:
        ref = key[len(records.JOB) :]
        try:
            self.take_job(ref, version, records.decode(value), now)
        except records.BadRecord as err:
            log.error("record of %s is left alone: %s", ref, err)

    def take_job(self, ref: str, version: int, record: records.JobRecord, now: float) -> None:
        """A record that this node or another has committed."""
        job = self.picture.jobs.get(ref)
        if job is not None and job.writing and record.state != JobState.CANCELLED.value:
            # Perhaps our own write, whose answer is still under way: it is compared once that is here. A cancellation
            # is not put off: it is final whatever becomes of the write, which an outage may leave without an answer.
            if version > job.version and (job.pending is None or version > job.pending[0]):
                job.pending = (version, records.encode(record))
                if job.open_before is None:
                    job.open_before = self.picture.watched_at
            return
        if job is None and ref not in self._seen_refs and record.state == JobState.OPEN.value:
            self._seen_refs.add(ref)
            self._on_new(record.submitted, record.spec)
        apply_record(self.picture, ref, version, record, now)
        self._wake()
