"""Watches the job records for the leader: lists all records once, then follows their changes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

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

LIST_RETRY_S = 0.5
WATCH_RETRY_S = 0.3


class RecordListener(Protocol):
    """Receives the job records that a leader reads from the state service, whether or not it can act on them yet."""

    def add_record(self, ref: str, version: int, record: records.JobRecord) -> bool:
        """Process a record that is committed at this version."""

    def on_records_loaded(self) -> None:
        """Called once all records have been passed to `add_record`, after each complete listing."""


class RecordWatcher:
    """Applies job records to the cluster state, in the order of their versions.

    `on_new_job` is called once for each open job, with its submission time (time of day, s) and its specification;
    `wake` is called after each change.
    """

    def __init__(
        self,
        state: StateClient,
        cluster: ClusterState,
        on_new_job: Callable[[float, Submission], None],
        wake: Callable[[], None],
        listener: RecordListener,
    ) -> None:
        self.state = state
        self.cluster = cluster
        self.loaded = False  # whether all records have been listed
        self._on_new_job = on_new_job
        self._wake = wake
        self._listener = listener
        self._revision = 0
        self._seen_refs: set[str] = set()

    async def run(self) -> None:
        """Load all records, then follow their changes. Nothing is placed before the cluster state is rebuilt."""
        while True:
            try:
                requested_at = monotonic_time()
                items, revision = await self.state.list(records.JOB_PREFIX)
                now = monotonic_time()
                for item in items:
                    self._decode_and_apply(item.key, item.version, item.value, now)
                self._revision = revision
                self.cluster.records_current_at = requested_at
                if not self.loaded:
                    log.info(
                        "records loaded: term=%d records=%d open_jobs=%d machines=%d",
                        self.cluster.term,
                        len(items),
                        sum(job.is_open for job in self.cluster.jobs.values()),
                        len(self.cluster.machines),
                    )
                self.loaded = True
                self._listener.on_records_loaded()
                self.cluster.changed = True
                await self._watch()
            except RevisionCompacted:
                log.info("record watch compacted: listing all records again")
            except (RequestRejected, OutcomeUnknown) as err:
                log.debug("record list failed: error=%s", err)
                await asyncio.sleep(LIST_RETRY_S)

    async def _watch(self) -> None:
        while True:
            requested_at = monotonic_time()
            try:
                changes = await self.state.changes(records.JOB_PREFIX, self._revision)
            except (RequestRejected, OutcomeUnknown) as err:
                log.debug("record watch failed: error=%s", err)
                await asyncio.sleep(WATCH_RETRY_S)
                continue
            now = monotonic_time()
            for event in changes.events:
                if event.put is not None:
                    self._decode_and_apply(event.put, event.version, event.value, now)
            self._revision = max(self._revision, changes.revision)
            self.cluster.records_current_at = requested_at
            if changes.events:
                self._wake()
            await asyncio.sleep(constants.LONG_POLL_PAUSE_S)

    def _decode_and_apply(self, key: str, version: int, value: msgspec.Raw, now: float) -> None:
        ref = key[len(records.JOB_PREFIX) :]
        try:
            record = records.decode(value)
            self.apply_record(ref, version, record, now)
            self._listener.add_record(ref, version, record)
        except records.InvalidRecord as err:
            log.error("record invalid, ignored: job=%s error=%s", ref, err)

    def apply_record(self, ref: str, version: int, record: records.JobRecord, now: float) -> None:
        """Apply a record that this node or another has committed; `now` is monotonic time (s)."""
        job = self.cluster.jobs.get(ref)
        if job is not None and job.write_in_flight and record.state != JobState.CANCELLED.value:
            # This may be the node's own write, whose response is outstanding: the record is compared once the response
            # has arrived. A cancellation is not deferred: it is final whatever the outcome of the write, and an outage
            # may leave the write without a response.
            if version > job.version and (job.deferred_change is None or version > job.deferred_change[0]):
                job.deferred_change = (version, records.encode(record))
                if job.known_open_before_write is None:
                    job.known_open_before_write = self.cluster.records_current_at
            return
        if job is None and ref not in self._seen_refs and record.state == JobState.OPEN.value:
            self._seen_refs.add(ref)
            self._on_new_job(record.submitted_at, record.spec)
        apply_record(self.cluster, ref, version, record, now)
        self._wake()
