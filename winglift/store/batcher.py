"""Writes job records to the state service in batches.

One transaction holds the records of several jobs. Each record is conditional on its own revision, and the whole
transaction on the leadership key, so that only the current leader can write (PROTOCOL, invariant 1).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .. import constants
from ..config.settings import State
from ..duties.duty import Fence
from ..model import records
from ..model.cluster_state import ClusterState
from ..model.entities import Job
from ..model.job_state import JobState
from ..model.record_application import apply_commit, apply_record
from ..model.task_state import TaskEvent, TaskState
from ..model.write_priority import WritePriority
from ..net.runtime import monotonic_time
from ..wire import state as state_messages
from .client import Health, InvalidRequest, LeaseExpired, OutcomeUnknown, RequestRejected, StateClient

log = logging.getLogger(__name__)

MAX_TXN_BYTES = 60 * 1024  # bytes of records in one transaction; the limit for a whole transaction is 64 KiB
WRITE_WAIT_MAX_S = 3.0  # maximum wait of a batch for write budget
REREAD_RETRY_S = 0.3  # delay before a failed read of a record is retried, after a conflict or an unknown outcome


def build_job_record(job: Job) -> records.JobRecord:
    """Build the record of a job from its current state."""
    first_open, done_bitmap = records.pack_done(job.done)
    state = JobState.DONE if job.state is JobState.ENDING else job.state
    return records.JobRecord(
        submitted_at=job.submitted_at,
        spec=job.spec,
        state=state.value,
        next_attempt=job.next_attempt,
        first_open=first_open,
        done_bitmap=done_bitmap,
        assignments=records.pack_assignments(job.active),
        cancelled_at=job.cancelled_at,
    )


@dataclass(frozen=True, slots=True, eq=False)
class _RecordWrite:
    """One job's part of a transaction."""

    job: Job
    record: records.JobRecord
    priority: WritePriority  # the job's `pending_write`, restored if the write has to be retried
    condition: state_messages.Condition
    put: state_messages.Put


class Batcher:
    """Writes changed job records in batches, most urgent first, on condition that this node still leads."""

    def __init__(self, state: StateClient, limits: State, cluster: ClusterState, fence: Fence) -> None:
        self.state = state
        self.limits = limits
        self.cluster = cluster
        self.fence = fence
        self.max_batch_records = limits.txn_ops
        self.fence_lost = False  # no more writes: the leadership key has another revision, or `stop` was called
        self._running: set[asyncio.Task] = set()
        self._waiting_since: dict[str, float] = {}  # per job: since when a non-urgent change has been waiting
        self._timer: asyncio.TimerHandle | None = None
        self.max_value_bytes = int(limits.value_kb * 1024)

    def fits(self, job: Job) -> bool:
        """Whether the job's record fits into one value of the state service, leaving RECORD_HEADROOM_BYTES free."""
        return len(msgspec.json.encode(build_job_record(job))) <= self.max_value_bytes - constants.RECORD_HEADROOM_BYTES

    def flush(self) -> None:
        """Start as many transactions as the budget allows, up to CONCURRENT_TRANSACTIONS_MAX, urgent changes first.

        Progress is written only with the budget that starts and ends leave over: when each ended task cost one write,
        arrays used up the whole write rate, and starts queued behind them.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        # During an outage a single transaction serves as the probe: building hundreds of records for each rejected
        # attempt took a tenth of a core.
        max_parallel = constants.CONCURRENT_TRANSACTIONS_MAX if self.state.health() is Health.GOOD else 1
        if self.fence_lost or len(self._running) >= max_parallel:
            return
        available = self.state.available_writes()
        due, more_waiting = self._due(available, monotonic_time())
        while due and available >= 1 and len(self._running) < max_parallel:
            available -= self._send(due, min(self.max_batch_records, available))
        if due or more_waiting:
            self.schedule_flush()

    def schedule_flush(self) -> None:
        """Schedule a flush in FLUSH_RETRY_DELAY_S, instead of waiting for the next planning cycle."""
        if self._timer is None and not self.fence_lost:
            self._timer = asyncio.get_running_loop().call_later(constants.FLUSH_RETRY_DELAY_S, self.flush)

    def _due(self, available: int, now: float) -> tuple[list[Job], bool]:
        """The jobs to write now, most urgent first, and whether any non-urgent changes are pending."""
        dirty = [job for job in self.cluster.jobs.values() if job.pending_write and not job.write_in_flight]
        due = [job for job in dirty if job.pending_write <= WritePriority.START]
        due.sort(key=lambda job: (job.pending_write, -job.spec.priority.rank, job.submitted_at))
        deferrable = [job for job in dirty if job.pending_write > WritePriority.START]
        waiting = {job.ref: self._waiting_since.get(job.ref, now) for job in deferrable}
        self._waiting_since = waiting
        spare = available - len(due) - int(self.limits.write_rps * constants.PROGRESS_SPARE_WRITES_SHARE)
        delayed = [job for job in deferrable if now - waiting[job.ref] >= constants.PROGRESS_WRITE_DELAY_S]
        delayed.sort(key=lambda job: waiting[job.ref])
        # A change that has waited for PROGRESS_WRITE_DELAY_MAX_S is due like a start, even if no budget is left over.
        overdue = sum(now - waiting[job.ref] >= constants.PROGRESS_WRITE_DELAY_MAX_S for job in delayed)
        return due + delayed[: max(overdue, spare)], bool(waiting)

    def _send(self, due: list[Job], max_records: int) -> int:
        """Start one transaction with the first of the due jobs; return the number of its changes."""
        batch = self._take_batch(due, max_records)
        if not batch:
            return 0
        for write in batch:
            write.job.pending_write = WritePriority.NONE
            write.job.write_in_flight = True
        # Conditional on the leadership key's revision: a node that no longer leads can't write (invariant 1).
        txn = state_messages.Transaction(
            [self.fence.condition(), *(write.condition for write in batch)], [write.put for write in batch]
        )
        task = asyncio.ensure_future(self._write(batch, txn))
        self._running.add(task)
        task.add_done_callback(self._on_write_done)
        return len(batch)

    def _take_batch(self, due: list[Job], max_records: int) -> list[_RecordWrite]:
        """Remove the first jobs from `due`, up to `max_records` records and MAX_TXN_BYTES but at least one."""
        batch: list[_RecordWrite] = []
        batch_bytes = 0
        while due and len(batch) < max_records:
            job = due[0]
            record = build_job_record(job)
            record_bytes = len(msgspec.json.encode(record))
            if batch and batch_bytes + record_bytes > MAX_TXN_BYTES:
                break
            due.pop(0)
            try:
                condition, put = records.build_record_write(job.ref, job.version, job.committed_state, record)
            except records.FinalStateViolation as err:
                log.error("job record: not written, it is final: error=%s", err)
                job.pending_write = WritePriority.NONE
                continue
            batch_bytes += record_bytes
            batch.append(_RecordWrite(job, record, job.pending_write, condition, put))
        return batch

    def _on_write_done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled():
            self.flush()

    async def _write(self, batch: list[_RecordWrite], txn: state_messages.Transaction) -> None:
        """Commit a batch and apply the result to the cluster state."""
        try:
            result = await self.state.commit(txn, max_wait=WRITE_WAIT_MAX_S)
        except (RequestRejected, LeaseExpired) as err:
            self._shrink_if_invalid(batch, err)
            self._mark_for_retry(batch)
            await asyncio.sleep(constants.WRITE_RETRY_DELAY_S)
        except OutcomeUnknown as err:
            # The transaction may have been executed, or may be later: read the records before any further decision.
            log.info("job records: outcome of a write unknown, reading again: error=%s", err)
            self._mark_for_retry(batch)
            for write in batch:
                await self._reread(write.job)
        else:
            now = monotonic_time()
            if isinstance(result, state_messages.Committed):
                for write in batch:
                    apply_commit(self.cluster, write.job, result.revision, write.record, now)
            else:
                batch = await self._resolve_conflict(batch, result)
        finally:
            self._release(write.job for write in batch)

    def _shrink_if_invalid(self, batch: list[_RecordWrite], err: RequestRejected | LeaseExpired) -> None:
        if isinstance(err, InvalidRequest):
            # The service's limits may be lower than the settings say; the same batch would be rejected every time.
            self.max_batch_records = max(1, len(batch) // 2)
            log.warning(
                "job records: batch rejected as invalid, batches made smaller: records=%d error=%s", len(batch), err
            )
        else:
            log.debug("job records: write rejected: error=%s", err)

    async def _resolve_conflict(
        self, batch: list[_RecordWrite], conflict: state_messages.Conflict
    ) -> list[_RecordWrite]:
        """Reread the records whose revisions conflicted; return the writes that are still to be released."""
        self._mark_for_retry(batch)
        if records.LEADER_KEY in conflict.failed:
            self.fence_lost = True
            return batch
        # The other records did not conflict and may be written again without waiting for the reread.
        stale = [write for write in batch if records.JOB_PREFIX + write.job.ref in conflict.failed]
        self._release(write.job for write in batch if write not in stale)
        for write in stale:
            await self._reread(write.job)
        return stale

    def _release(self, jobs: Iterable[Job]) -> None:
        """Mark the jobs' writes as finished, and apply the changes by other nodes that arrived during the writes."""
        for job in jobs:
            job.write_in_flight = False
            if job.deferred_change is not None:
                version, value = job.deferred_change
                job.deferred_change = None
                apply_record(self.cluster, job.ref, version, records.decode(value), monotonic_time())
        self.cluster.changed = True

    def _mark_for_retry(self, batch: list[_RecordWrite]) -> None:
        for write in batch:
            write.job.request_write(write.priority)

    async def _reread(self, job: Job) -> None:
        while not self.fence_lost:
            try:
                item = await self.state.get(records.JOB_PREFIX + job.ref)
                break
            except (RequestRejected, OutcomeUnknown):
                await asyncio.sleep(REREAD_RETRY_S)
        else:
            return
        if item is not None:
            job.write_in_flight = False
            apply_record(self.cluster, job.ref, item.version, records.decode(item.value), monotonic_time())

    def stop(self) -> None:
        """Start no more transactions in this term. Those in flight are left to finish."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.fence_lost = True

    def reject_proposals(self, job: Job, now: float, keep: int) -> None:
        """Reject all but the first `keep` proposed tasks of a job, so that its record fits into one value."""
        proposed = [task for task in job.active.values() if task.state is TaskState.PROPOSED]
        for task in proposed[keep:]:
            self.cluster.transition_and_release(task, TaskEvent.REJECT, now)
