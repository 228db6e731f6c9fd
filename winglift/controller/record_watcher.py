"""The leader follows the job records: all of them once, then every change."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants
from ..model import records
from ..model.cluster_state import ClusterState
from ..model.job_state import JobState
from ..model.record_application import apply_record
from ..net.runtime import monotonic_time
from ..store.client import OutcomeUnknown, RequestRejected, RevisionCompacted, StateClient
from ..wire.users import Submission

log = logging.getLogger(__name__)


class RecordWatcher:
    """`on_new` hears of each open job once; `wake` is called when something has changed."""

    def __init__(
        self,
        state: StateClient,
        cluster: ClusterState,
        on_new: Callable[[float, Submission], None],
        wake: Callable[[], None],
    ) -> None:
        self.state = state
        self.cluster = cluster
        self.loaded = False  # all records are known
        self._on_new = on_new
        self._wake = wake
        self._revision = 0
        self._seen_refs: set[str] = set()

    async def run(self) -> None:
        """Load all records, then follow their changes. The picture is rebuilt before anything is placed."""
        while True:
            try:
                sent = monotonic_time()
                items, revision = await self.state.list(records.JOB_PREFIX)
                now = monotonic_time()
                for item in items:
                    self._take_record(item.key, item.version, item.value, now)
                self._revision = revision
                self.cluster.records_current_at = sent
                if not self.loaded:
                    log.info(
                        "term %d: %d records, %d jobs open, %d machines named",
                        self.cluster.term,
                        len(items),
                        sum(j.is_open for j in self.cluster.jobs.values()),
                        len(self.cluster.machines),
                    )
                self.loaded = True
                self.cluster.changed = True
                await self._watch()
            except RevisionCompacted:
                log.info("the watch fell behind; reading all records again")
            except (RequestRejected, OutcomeUnknown) as err:
                log.debug("records: %s", err)
                await asyncio.sleep(0.5)

    async def _watch(self) -> None:
        while True:
            sent = monotonic_time()
            try:
                changes = await self.state.changes(records.JOB_PREFIX, self._revision)
            except (RequestRejected, OutcomeUnknown) as err:
                log.debug("watch: %s", err)
                await asyncio.sleep(0.3)
                continue
            now = monotonic_time()
            for event in changes.events:
                if event.put is not None:
                    self._take_record(event.put, event.version, event.value, now)
            self._revision = max(self._revision, changes.revision)
            self.cluster.records_current_at = sent
            if changes.events:
                self._wake()
            await asyncio.sleep(constants.WATCH_PAUSE_S)

    def _take_record(self, key: str, version: int, value: msgspec.Raw, now: float) -> None:
        ref = key[len(records.JOB_PREFIX) :]
        try:
            self.apply_record(ref, version, records.decode(value), now)
        except records.InvalidRecord as err:
            log.error("record of %s is left alone: %s", ref, err)

    def apply_record(self, ref: str, version: int, record: records.JobRecord, now: float) -> None:
        """A record that this node or another has committed."""
        job = self.cluster.jobs.get(ref)
        if job is not None and job.write_in_flight and record.state != JobState.CANCELLED.value:
            # Perhaps our own write, whose answer is still under way: it is compared once that is here. A cancellation
            # is not put off: it is final whatever becomes of the write, which an outage may leave without an answer.
            if version > job.version and (job.deferred_change is None or version > job.deferred_change[0]):
                job.deferred_change = (version, records.encode(record))
                if job.known_open_before_write is None:
                    job.known_open_before_write = self.cluster.records_current_at
            return
        if job is None and ref not in self._seen_refs and record.state == JobState.OPEN.value:
            self._seen_refs.add(ref)
            self._on_new(record.submitted_at, record.spec)
        apply_record(self.cluster, ref, version, record, now)
        self._wake()
