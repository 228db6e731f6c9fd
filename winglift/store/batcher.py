"""Writes job records: several jobs in one transaction, each on its own revision, all fenced by leadership."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

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


def pack(job: Job) -> records.JobRecord:
    """The record of a job as the leader sees it now."""
    low, bits = records.pack_done(job.done)
    state = JobState.DONE if job.state is JobState.ENDING else job.state
    return records.JobRecord(
        submitted_at=job.submitted_at,
        spec=job.spec,
        state=state.value,
        next_attempt=job.next_attempt,
        first_open=low,
        done_bitmap=bits,
        assignments=records.pack_assignments(job.active),
        cancelled_at=job.cancelled_at,
    )


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
        self._waits: dict[str, float] = {}  # since when a change waits that is not urgent
        self._timer: asyncio.TimerHandle | None = None
        self.most_bytes = int(limits.value_kb * 1024)

    def fits(self, job: Job) -> bool:
        """Does the job's record fit into one value of the state service?"""
        return len(msgspec.json.encode(pack(job))) <= self.most_bytes - constants.RECORD_SPARE_BYTES

    def flush(self) -> None:
        """Start as many transactions as there are changes, free slots and tokens. Urgent changes go first.

        What can wait is written with tokens that starts and ends leave: at a change of progress per ended task,
        arrays once used up all changes a second and starts queued behind them.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        # In an outage one try at a time finds out; packing hundreds of records for each refusal cost a core's tenth.
        parallel = constants.COMMIT_PARALLEL if self.state.health() is Health.GOOD else 1
        if self.fence_lost or len(self._running) >= parallel:
            return
        free = self.state.writes_free()
        due, left = self._due(free, monotonic_time())
        while due and free >= 1 and len(self._running) < parallel:
            free -= self._send(due, min(self.most_ops, free))
        if due or left:
            self.flush_soon()

    def flush_soon(self) -> None:
        """Write what is due without waiting for the next cycle."""
        if self._timer is None and not self.fence_lost:
            self._timer = asyncio.get_running_loop().call_later(constants.FLUSH_AGAIN_S, self.flush)

    def _due(self, free: int, now: float) -> tuple[list[Job], bool]:
        """What is to be written now, most urgent first, and whether there is more that waits."""
        dirty = [j for j in self.cluster.jobs.values() if j.pending_write and not j.write_in_flight]
        due = [j for j in dirty if j.pending_write <= WritePriority.START]
        due.sort(key=lambda j: (j.pending_write, -j.spec.priority.rank, j.submitted_at))
        waiting = {j.ref: self._waits.get(j.ref, now) for j in dirty if j.pending_write > WritePriority.START}
        self._waits = waiting
        spare = free - len(due) - int(self.limits.write_rps * constants.START_WRITES_KEPT)
        late = [
            j
            for j in dirty
            if j.pending_write > WritePriority.START and now - waiting[j.ref] >= constants.PROGRESS_AFTER_S
        ]
        late.sort(key=lambda j: waiting[j.ref])
        # However busy the service is, or small its budget: what has waited this long is due like a start.
        overdue = sum(now - waiting[j.ref] >= constants.PROGRESS_DELAY_MAX_S for j in late)
        return due + late[: max(overdue, spare)], bool(waiting)

    def _send(self, due: list[Job], most: int) -> int:
        """One transaction with the first of what is due; how many changes it holds."""
        batch: list[tuple[Job, records.JobRecord]] = []
        changes: list[tuple[state_messages.Condition, state_messages.Put]] = []
        size = 0
        while due and len(batch) < most:
            job = due[0]
            record = pack(job)
            length = len(msgspec.json.encode(record))
            if batch and size + length > MAX_TXN:
                break
            due.pop(0)
            try:
                changes.append(records.record_change(job.ref, job.version, job.committed_state, record))
            except records.FinalStateViolation as err:
                log.error("not written: %s", err)
                job.pending_write = WritePriority.NONE
                continue
            size += length
            batch.append((job, record))
        if not batch:
            return 0
        levels = {}
        for job, _ in batch:
            levels[job.ref] = job.pending_write
            job.pending_write = WritePriority.NONE
            job.write_in_flight = True
        # Every leader write is conditional on the leadership key at its revision (invariant 1).
        txn = state_messages.Transaction(
            [self.fence.condition(), *(condition for condition, _ in changes)], [put for _, put in changes]
        )
        task = asyncio.ensure_future(self._write(batch, txn, levels))
        self._running.add(task)
        task.add_done_callback(self._finished)
        return len(batch)

    def _finished(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled():
            self.flush()

    async def _write(
        self,
        batch: list[tuple[Job, records.JobRecord]],
        txn: state_messages.Transaction,
        levels: dict[str, WritePriority],
    ) -> None:
        try:
            result = await self.state.commit(txn, max_wait=3.0)
        except (RequestRejected, LeaseExpired) as err:
            if isinstance(err, InvalidRequest):
                # The service's limits may be smaller than the settings say: the same batch would never get through.
                self.most_ops = max(1, len(batch) // 2)
                log.warning("write of %d records refused, fewer at once from now on: %s", len(batch), err)
            else:
                log.debug("write refused: %s", err)
            self._mark_for_retry(batch, levels)
            await asyncio.sleep(constants.WRITE_AGAIN_S)
        except OutcomeUnknown as err:
            # It may have been executed or may yet be: read before deciding anything else.
            log.info("write without an answer, reading again: %s", err)
            self._mark_for_retry(batch, levels)
            for job, _ in batch:
                await self._reread(job)
        else:
            now = monotonic_time()
            if isinstance(result, state_messages.Committed):
                for job, record in batch:
                    apply_commit(self.cluster, job, result.revision, record, now)
            else:
                self._mark_for_retry(batch, levels)
                if records.LEADER_KEY in result.failed:
                    self.fence_lost = True
                else:
                    # The others' changes are sound: they are not held up by the reading.
                    stale = [j for j, _ in batch if records.JOB_PREFIX + j.ref in result.failed]
                    self._release(j for j, _ in batch if j not in stale)
                    for job in stale:
                        await self._reread(job)
                    batch = [(j, r) for j, r in batch if j in stale]
        finally:
            self._release(j for j, _ in batch)

    def _release(self, jobs: Iterable[Job]) -> None:
        """These jobs' writes are over: what others changed meanwhile is taken in, and they may be written again."""
        for job in jobs:
            job.write_in_flight = False
            if job.deferred_change is not None:
                version, value = job.deferred_change
                job.deferred_change = None
                apply_record(self.cluster, job.ref, version, records.decode(value), monotonic_time())
        self.cluster.changed = True

    def _mark_for_retry(self, batch: list[tuple[Job, records.JobRecord]], levels: dict[str, WritePriority]) -> None:
        for job, _ in batch:
            job.request_write(levels[job.ref])

    async def _reread(self, job: Job) -> None:
        while not self.fence_lost:
            try:
                item = await self.state.get(records.JOB_PREFIX + job.ref)
                break
            except (RequestRejected, OutcomeUnknown):
                await asyncio.sleep(0.3)
        else:
            return
        if item is not None:
            job.write_in_flight = False
            apply_record(self.cluster, job.ref, item.version, records.decode(item.value), monotonic_time())

    def stop(self) -> None:
        """Write nothing more in this term."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.fence_lost = True

    def reject(self, job: Job, now: float, keep: int) -> None:
        """Take back proposals that would not fit into the record."""
        proposed = [t for t in job.active.values() if t.state is TaskState.PROPOSED]
        for task in proposed[keep:]:
            self.cluster.transition_and_release(task, TaskEvent.REJECT, now)
