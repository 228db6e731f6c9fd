"""Submissions, status and cancellations, answered from the state service by any node, leader or not (invariant 4)."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from .. import constants
from ..config.settings import Settings
from ..model import records
from ..model.job_state import JobState
from ..model.quota import exceeds_limit
from ..net.runtime import monotonic_time, wall_time
from ..store.client import Health, LeaseExpired, OutcomeUnknown, RequestRejected, StateClient
from ..store.read_cache import ReadCache
from ..wire import state as state_messages
from ..wire.cloud import MachineType
from ..wire.users import JobStatus, StatusReply, Submission, encode

log = logging.getLogger(__name__)

# Waits for up to the given time (s) and returns whether no node can keep tasks of a cancelled job alive unknowingly.
CancellationCheck = Callable[[str, float], Awaitable[bool]]


async def _always_known(ref: str, timeout_s: float) -> bool:
    return True


class JobRequestError(Exception):
    """A user's request about a job that is refused."""


class TemporarilyUnavailable(JobRequestError):
    """The request can't be decided at present (503); `retry_after`: s after which the user should retry."""

    def __init__(self, reason: str, retry_after: int = constants.RETRY_AFTER_S) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class Unschedulable(JobRequestError):
    """The job can never run (422)."""


def status_of(record: records.JobRecord, ref: str) -> StatusReply:
    """The status of a job according to its record."""
    state = JobState(record.state)
    done = records.done_count(record)
    if state is JobState.DONE:
        return StatusReply(ref, JobStatus.DONE, record.spec.tasks, 0)
    if state is JobState.CANCELLED:
        return StatusReply(ref, JobStatus.CANCELLED, done, 0)
    running = records.assigned_count(record)
    return StatusReply(ref, JobStatus.RUNNING if running else JobStatus.QUEUED, done, running)


def infeasible_reason(spec: Submission, settings: Settings, types: dict[str, MachineType]) -> str | None:
    """The reason why a job can never run with these machine types, or None if it can."""
    team = next((team for team in settings.settings.teams if team.name == spec.team), None)
    if team is None:
        return f"owner: unknown team {spec.team}"
    allowed = [
        machine_type
        for machine_type in types.values()
        if (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or spec.zone in machine_type.zones)
    ]
    if not any(
        spec.cpus <= machine_type.cpus and spec.gpus <= machine_type.gpus and spec.memory_gb <= machine_type.memory_gb
        for machine_type in allowed
    ):
        return "a task fits no allowed machine type"
    if exceeds_limit(team, spec):
        return "more than the team's limit"
    return None


class Jobs:
    """Submissions, status requests and cancellations on one node; the state service decides each of them."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        types: Callable[[], dict[str, MachineType]],
        on_change: Callable[[str, int, records.JobRecord], None],
        withdrawn_types: Callable[[], dict[str, MachineType]] = dict,
        on_seen: Callable[[str, int, records.JobRecord], None] = lambda ref, version, record: None,
        is_cancellation_known: CancellationCheck = _always_known,
    ) -> None:
        self.settings = settings
        self.state = state
        self.types = types
        self.withdrawn_types = withdrawn_types  # types that the cloud offered earlier but does not offer at present
        self._on_change = on_change
        self._on_seen = on_seen  # called with each record that is reported to a user, whichever node committed it
        self._is_cancellation_known = is_cancellation_known
        self._final_states: OrderedDict[str, StatusReply] = OrderedDict()
        reads_per_s = settings.settings.state.rps * state.follower_share() * constants.REFRESH_REQUEST_SHARE
        self._read_cache: ReadCache[StatusReply] = ReadCache(
            state, lambda ref, record: status_of(record, ref), 1 / reads_per_s, on_seen
        )

    def cache_final_state(self, ref: str, reply: StatusReply) -> None:
        """Cache the reply for a finished job: its state never changes, so later requests need no read."""
        if reply.status in (JobStatus.DONE, JobStatus.CANCELLED):
            self._final_states[ref] = reply
            while len(self._final_states) > constants.FINAL_STATE_CACHE_MAX:
                self._final_states.popitem(last=False)

    def _unavailable(self, reason: str) -> TemporarilyUnavailable:
        """The error to raise if the state service did not answer."""
        down = self.state.health() is Health.DOWN
        return TemporarilyUnavailable(reason, constants.RETRY_AFTER_STATE_DOWN_S if down else constants.RETRY_AFTER_S)

    async def _read(self, ref: str) -> tuple[records.JobRecord, int] | None:
        try:
            item = await self.state.get(records.JOB_PREFIX + ref, timeout=constants.STATUS_TIMEOUT_S)
        except (RequestRejected, OutcomeUnknown) as err:
            raise self._unavailable(str(err)) from None
        return None if item is None else (records.decode(item.value), item.version)

    async def status(self, ref: str) -> StatusReply | None:
        """The job's status according to the state service; None only if that has no such job (404).

        Raises TemporarilyUnavailable, or InvalidRecord.
        """
        final = self._final_states.get(ref)
        if final is not None:
            return final
        try:
            reply = await self._read_cache.get(ref)
        except (RequestRejected, OutcomeUnknown) as err:
            raise self._unavailable(str(err)) from None
        return None if reply is None else await self._checked(reply, constants.CANCELLED_STATUS_WAIT_S)

    async def _checked(self, reply: StatusReply, wait_s: float) -> StatusReply:
        """The reply, once the user may have it: that a job is cancelled is told once each node knows it (invariant 8).

        Raises TemporarilyUnavailable if that is not so within `wait_s`.
        """
        if reply.status is JobStatus.CANCELLED and not await self._is_cancellation_known(reply.ref, wait_s):
            raise TemporarilyUnavailable("some node may still keep tasks of the cancelled job alive")
        self.cache_final_state(reply.ref, reply)
        return reply

    async def submit(self, spec: Submission) -> tuple[int, StatusReply]:
        """Accept a job; return the reply with status code 201, or 200 if it was accepted before.

        Raises Unschedulable, TemporarilyUnavailable or InvalidRecord. A job is acknowledged only once its record is
        committed (invariant 4).
        """
        final = self._final_states.get(spec.ref)
        if final is not None:
            return 200, final
        record = records.new_record(spec, wall_time())
        # Whether it is refused is decided once, before the read: when the machine types arrived during the read, a job
        # that could run was refused with 422.
        refusal = self._refusal(record)
        if refusal is None:
            return await self._commit_new(spec.ref, record)
        # It may repeat a job that was accepted when types, settings or the time of day in the record were others.
        known = await self.status(spec.ref)
        if known is None:
            raise refusal
        return 200, known

    def _refusal(self, record: records.JobRecord) -> JobRequestError | None:
        """The error for a job that can't be accepted unless it was accepted before; None if it can be.

        It depends on more than the submission, so it is raised only after a look for the job's record.
        """
        spec, types = record.spec, self.types()
        if not types:
            return TemporarilyUnavailable("machine types are not known yet")
        reason = infeasible_reason(spec, self.settings, types)
        if reason is not None:
            if infeasible_reason(spec, self.settings, types | self.withdrawn_types()) is None:
                # The cloud's list of types may be incomplete for a short time, and a refusal with 422 is final.
                return TemporarilyUnavailable("the only machine type that it fits is not offered now")
            return Unschedulable(reason)
        if len(encode(record)) > self.settings.settings.state.value_kb * 1024 * constants.NEW_RECORD_SIZE_SHARE:
            return Unschedulable("the description is too long to be kept")
        return None

    async def _commit_new(self, ref: str, record: records.JobRecord) -> tuple[int, StatusReply]:
        """Commit the record of a new job: 201, or 200 if a record of it exists. Raises TemporarilyUnavailable."""
        condition, put = records.build_record_write(ref, 0, JobState.OPEN, record)
        sent_at = monotonic_time()
        try:
            result = await self.state.commit(
                state_messages.Transaction([condition], [put]), timeout=constants.SUBMIT_TIMEOUT_S
            )
        except (RequestRejected, LeaseExpired) as err:
            raise self._unavailable(str(err)) from None
        except OutcomeUnknown as err:
            # Only a read shows whether it was committed; if that fails too, the user retries.
            known = await self.status(ref)
            if known is not None:
                return 200, known
            raise self._unavailable(str(err)) from None
        if isinstance(result, state_messages.Conflict):
            known = await self.status(ref)
            if known is None:
                raise TemporarilyUnavailable("the state service contradicts itself")
            return 200, known
        # Announced only after the commit (invariant 4: a job is acknowledged once its record is committed).
        self._read_cache.add_record(ref, result.revision, record)
        self._on_change(ref, result.revision, record)
        if monotonic_time() - sent_at > constants.SUBMIT_TIMEOUT_S + constants.REFRESH_MAX_AGE_S:
            # Another node may have accepted a copy of the request, and the job may even be finished: the user retries.
            raise TemporarilyUnavailable("this node stood still")
        return 201, StatusReply(ref, JobStatus.QUEUED)

    async def cancel(self, ref: str) -> StatusReply | None:
        """Cancel a job unless it is finished; None if it was never accepted.

        Raises TemporarilyUnavailable or InvalidRecord.
        """
        final = self._final_states.get(ref)
        if final is not None:
            return final
        for _ in range(constants.CANCELLATION_ATTEMPTS_MAX):
            versioned_record = await self._read(ref)
            if versioned_record is None:
                return None
            record, version = versioned_record
            reply = status_of(record, ref)
            old_state = JobState(record.state)
            if old_state.is_final:
                # It may have been written by a transaction of this node that got no answer, or by a node that crashed
                # before it notified any other: the node that confirms a final state handles it, whichever wrote it.
                self._on_seen(ref, version, record)
                return await self._checked(reply, constants.CANCELLATION_WAIT_S)
            record.state = JobState.CANCELLED.value
            # Taken before the commit, and so before the user is answered: any later leader counts cancel_s from it.
            record.cancelled_at = wall_time()
            condition, put = records.build_record_write(ref, version, old_state, record)
            try:
                result = await self.state.commit(state_messages.Transaction([condition], [put]))
            except OutcomeUnknown:
                continue  # read again: it may have been committed
            except (RequestRejected, LeaseExpired) as err:
                raise self._unavailable(str(err)) from None
            if isinstance(result, state_messages.Committed):
                self._on_change(ref, result.revision, record)
                return await self._checked(status_of(record, ref), constants.CANCELLATION_WAIT_S)
        raise TemporarilyUnavailable("the job changes too often just now")
