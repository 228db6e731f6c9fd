"""Writes job records in batches.

A transaction holds the records of several jobs, each conditional on its own revision, and all on the leadership key
(PROTOCOL, invariant 1).
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

MAX_TXN = 60 * 1024  # bytes; a transaction may hold 64 KiB in all
WRITE_WAIT_MAX_S = 3.0  # longest wait of a batch for write budget
REREAD_AGAIN_S = 0.3  # between two attempts to read a record whose state is in question


def build_job_record(job: Job) -> records.JobRecord:
    """The record of a job in its present state."""
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
    urgency: WritePriority  # `pending_write` of the job, restored if the write is to be repeated
    condition: state_messages.Condition
    put: state_messages.Put


class Batcher:
    """Writes changed job records in batches, most urgent first, conditional on the leadership key."""

    def __init__(self, state: StateClient, limits: State, cluster: ClusterState, fence: Fence) -> None:
        self.state = state
        self.limits = limits
        self.cluster = cluster
        self.fence = fence
        self.most_ops = limits.txn_ops
        self.fence_lost = False  # the leader key has another revision
        self._running: set[asyncio.Task] = set()
        self._waiting_since: dict[str, float] = {}  # job: time since which its change that is not urgent waits
        self._timer: asyncio.TimerHandle | None = None
        self.most_bytes = int(limits.value_kb * 1024)

    def fits(self, job: Job) -> bool:
        """Does the job's record fit into one value of the state service, beside RECORD_HEADROOM_BYTES?"""
        return len(msgspec.json.encode(build_job_record(job))) <= self.most_bytes - constants.RECORD_HEADROOM_BYTES

    def flush(self) -> None:
        """Start as many transactions as changes, parallel slots and write budget allow, urgent changes first.

        Progress is written with the budget that starts and ends leave over: with one change of progress for each ended
        task, arrays once used up all changes a second, and starts queued behind them.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        # In an outage one transaction at a time is the probe; packing hundreds of records for each rejection took
        # a tenth of a core.
        parallel = constants.CONCURRENT_TRANSACTIONS_MAX if self.state.health() is Health.GOOD else 1
        if self.fence_lost or len(self._running) >= parallel:
            return
        free = self.state.available_writes()
        due, more_waiting = self._due(free, monotonic_time())
        while due and free >= 1 and len(self._running) < parallel:
            free -= self._send(due, min(self.most_ops, free))
        if due or more_waiting:
            self.schedule_flush()

    def schedule_flush(self) -> None:
        """Schedule a flush FLUSH_RETRY_DELAY_S from now, without waiting for the next cycle."""
        if self._timer is None and not self.fence_lost:
            self._timer = asyncio.get_running_loop().call_later(constants.FLUSH_RETRY_DELAY_S, self.flush)

    def _due(self, free: int, now: float) -> tuple[list[Job], bool]:
        """The jobs to be written now, most urgent first, and whether changes that are not urgent wait."""
        dirty = [job for job in self.cluster.jobs.values() if job.pending_write and not job.write_in_flight]
        due = [job for job in dirty if job.pending_write <= WritePriority.START]
        due.sort(key=lambda job: (job.pending_write, -job.spec.priority.rank, job.submitted_at))
        deferrable = [job for job in dirty if job.pending_write > WritePriority.START]
        waiting = {job.ref: self._waiting_since.get(job.ref, now) for job in deferrable}
        self._waiting_since = waiting
        spare = free - len(due) - int(self.limits.write_rps * constants.PROGRESS_SPARE_WRITES_SHARE)
        late = [job for job in deferrable if now - waiting[job.ref] >= constants.PROGRESS_WRITE_DELAY_S]
        late.sort(key=lambda job: waiting[job.ref])
        # A change that has waited for PROGRESS_WRITE_DELAY_MAX_S is due like a start, however small the budget is.
        overdue = sum(now - waiting[job.ref] >= constants.PROGRESS_WRITE_DELAY_MAX_S for job in late)
        return due + late[: max(overdue, spare)], bool(waiting)

    def _send(self, due: list[Job], most: int) -> int:
        """Start one transaction with the first of the jobs that are due; returns the number of its changes."""
        batch = self._take_batch(due, most)
        if not batch:
            return 0
        for write in batch:
            write.job.pending_write = WritePriority.NONE
            write.job.write_in_flight = True
        # Every leader write is conditional on the leadership key at its revision (invariant 1).
        txn = state_messages.Transaction(
            [self.fence.condition(), *(write.condition for write in batch)], [write.put for write in batch]
        )
        task = asyncio.ensure_future(self._write(batch, txn))
        self._running.add(task)
        task.add_done_callback(self._finished)
        return len(batch)

    def _take_batch(self, due: list[Job], most: int) -> list[_RecordWrite]:
        """Take the first of what is due from the list: at most `most` records and MAX_TXN bytes, but at least one."""
        batch: list[_RecordWrite] = []
        size = 0
        while due and len(batch) < most:
            job = due[0]
            record = build_job_record(job)
            length = len(msgspec.json.encode(record))
            if batch and size + length > MAX_TXN:
                break
            due.pop(0)
            try:
                condition, put = records.build_record_write(job.ref, job.version, job.committed_state, record)
            except records.FinalStateViolation as err:
                log.error("job record: not written, it is final: error=%s", err)
                job.pending_write = WritePriority.NONE
                continue
            size += length
            batch.append(_RecordWrite(job, record, job.pending_write, condition, put))
        return batch

    def _finished(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled():
            self.flush()

    async def _write(self, batch: list[_RecordWrite], txn: state_messages.Transaction) -> None:
        """Commit a batch and take over its outcome in the cluster state."""
        try:
            result = await self.state.commit(txn, max_wait=WRITE_WAIT_MAX_S)
        except (RequestRejected, LeaseExpired) as err:
            self._shrink_if_invalid(batch, err)
            self._mark_for_retry(batch)
            await asyncio.sleep(constants.WRITE_RETRY_DELAY_S)
        except OutcomeUnknown as err:
            # The transaction may have been executed or may yet be: read the records before deciding anything else.
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
            # The service's limits may be smaller than the settings say: the same batch would never get through.
            self.most_ops = max(1, len(batch) // 2)
            log.warning(
                "job records: batch rejected as invalid, batches made smaller: records=%d error=%s", len(batch), err
            )
        else:
            log.debug("job records: write rejected: error=%s", err)

    async def _resolve_conflict(
        self, batch: list[_RecordWrite], conflict: state_messages.Conflict
    ) -> list[_RecordWrite]:
        """Read again the records whose revisions were not as expected; returns what is not yet released."""
        self._mark_for_retry(batch)
        if records.LEADER_KEY in conflict.failed:
            self.fence_lost = True
            return batch
        # The other records did not conflict: they may be written again before the conflicting ones have been read.
        stale = [write for write in batch if records.JOB_PREFIX + write.job.ref in conflict.failed]
        self._release(write.job for write in batch if write not in stale)
        for write in stale:
            await self._reread(write.job)
        return stale

    def _release(self, jobs: Iterable[Job]) -> None:
        """End the writes of these jobs: apply what others changed meanwhile, and allow the next write."""
        for job in jobs:
            job.write_in_flight = False
            if job.deferred_change is not None:
                version, value = job.deferred_change
                job.deferred_change = None
                apply_record(self.cluster, job.ref, version, records.decode(value), monotonic_time())
        self.cluster.changed = True

    def _mark_for_retry(self, batch: list[_RecordWrite]) -> None:
        for write in batch:
            write.job.request_write(write.urgency)

    async def _reread(self, job: Job) -> None:
        while not self.fence_lost:
            try:
                item = await self.state.get(records.JOB_PREFIX + job.ref)
                break
            except (RequestRejected, OutcomeUnknown):
                await asyncio.sleep(REREAD_AGAIN_S)
        else:
            return
        if item is not None:
            job.write_in_flight = False
            apply_record(self.cluster, job.ref, item.version, records.decode(item.value), monotonic_time())

    def stop(self) -> None:
        """Start no more transactions in this term."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.fence_lost = True

    def reject_proposals(self, job: Job, now: float, keep: int) -> None:
        """Reject all but the first `keep` proposed tasks of a job: the others would not fit into its record."""
        proposed = [task for task in job.active.values() if task.state is TaskState.PROPOSED]
        for task in proposed[keep:]:
            self.cluster.transition_and_release(task, TaskEvent.REJECT, now)
