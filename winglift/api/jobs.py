"""What users ask for, answered from the state service by any node, leader or not (invariant 4)."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

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


class TemporarilyUnavailable(Exception):
    """Can't be decided now; the user is told when to come back."""

    def __init__(self, why: str, retry_after: int = constants.RETRY_AFTER_S) -> None:
        super().__init__(why)
        self.retry_after = retry_after


class Unschedulable(Exception):
    """The job can never run (422)."""


def status_of(record: records.JobRecord, ref: str) -> StatusReply:
    """What a user is told of a job by its record."""
    state = JobState(record.state)
    done = records.done_count(record)
    if state is JobState.DONE:
        return StatusReply(ref, JobStatus.DONE, record.spec.tasks, 0)
    if state is JobState.CANCELLED:
        return StatusReply(ref, JobStatus.CANCELLED, done, 0)
    running = records.assigned_count(record)
    return StatusReply(ref, JobStatus.RUNNING if running else JobStatus.QUEUED, done, running)


def feasible(spec: Submission, settings: Settings, types: dict[str, MachineType]) -> str | None:
    """Why a job can never run, or None."""
    team = next((t for t in settings.settings.teams if t.name == spec.team), None)
    if team is None:
        return f"owner: unknown team {spec.team}"
    allowed = [
        t
        for t in types.values()
        if (spec.types is None or t.name in spec.types) and (spec.zone is None or spec.zone in t.zones)
    ]
    if not any(spec.cpus <= t.cpus and spec.gpus <= t.gpus and spec.memory_gb <= t.memory_gb for t in allowed):
        return "a task fits no allowed machine type"
    if exceeds_limit(team, spec):
        return "more than the team's limit"
    return None


class Jobs:
    """Submissions, questions and cancellations on one node, each decided by the state service's word."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        types: Callable[[], dict[str, MachineType]],
        on_change: Callable[[str, int, records.JobRecord], None],
        missing: Callable[[], dict[str, MachineType]] = dict,
        on_seen: Callable[[str, int, records.JobRecord], None] = lambda ref, version, record: None,
    ) -> None:
        self.settings = settings
        self.state = state
        self.types = types
        self.missing = missing  # types that the cloud has offered before
        self._on_change = on_change
        self._on_seen = on_seen  # a record that anybody has committed, as users are told of it here
        self._ends: OrderedDict[str, StatusReply] = OrderedDict()
        looks = settings.settings.state.rps * state.follower_share() * constants.REFRESH_SHARE
        self._read_cache: ReadCache[StatusReply] = ReadCache(
            state, lambda ref, record: status_of(record, ref), 1 / looks, on_seen
        )

    def remember_end(self, ref: str, reply: StatusReply) -> None:
        """An end never changes, so it may be answered without asking."""
        if reply.status in (JobStatus.DONE, JobStatus.CANCELLED):
            self._ends[ref] = reply
            while len(self._ends) > constants.FINAL_STATES_CACHED:
                self._ends.popitem(last=False)

    def _down(self, why: str) -> TemporarilyUnavailable:
        down = self.state.health() is Health.DOWN
        return TemporarilyUnavailable(why, constants.RETRY_AFTER_DOWN_S if down else constants.RETRY_AFTER_S)

    async def _read(self, ref: str) -> tuple[records.JobRecord, int] | None:
        try:
            item = await self.state.get(records.JOB_PREFIX + ref, timeout=constants.STATUS_TIMEOUT_S)
        except (RequestRejected, OutcomeUnknown) as err:
            raise self._down(str(err)) from None
        return None if item is None else (records.decode(item.value), item.version)

    async def status(self, ref: str) -> StatusReply | None:
        """A job's state as the state service has it; None only by its own word (404)."""
        end = self._ends.get(ref)
        if end is not None:
            return end
        try:
            reply = await self._read_cache.get(ref)
        except (RequestRejected, OutcomeUnknown) as err:
            raise self._down(str(err)) from None
        if reply is not None:
            self.remember_end(ref, reply)
        return reply

    async def submit(self, spec: Submission) -> tuple[int, StatusReply]:
        """Accept a job, or find that it is known: status code and reply. Raises NeverRuns or NotNow."""
        end = self._ends.get(spec.ref)
        if end is not None:
            return 200, end
        types = self.types()
        # What looks impossible may be a repeat of a job that is accepted already: look it up before 422.
        # Whether the types are known is asked once: they came during the look-up, and a sound job was told 422.
        unknown = not types
        why = "machine types are not known yet" if unknown else feasible(spec, self.settings, types)
        if why is not None:
            known = await self.status(spec.ref)
            if known is not None:
                return 200, known
            if not unknown and feasible(spec, self.settings, types | self.missing()) is None:
                # The cloud's answer may be short for a moment; a refusal is for ever.
                raise TemporarilyUnavailable("the only machine type that it fits is not offered now")
            raise TemporarilyUnavailable(why) if unknown else Unschedulable(why)
        record = records.new_record(spec, wall_time())
        if len(encode(record)) > self.settings.settings.state.value_kb * 1024 * 0.6:
            raise Unschedulable("the description is too long to be kept")
        condition, put = records.record_change(spec.ref, 0, JobState.OPEN, record)
        sent = monotonic_time()
        try:
            result = await self.state.commit(
                state_messages.Transaction([condition], [put]), timeout=constants.SUBMIT_TIMEOUT_S
            )
        except (RequestRejected, LeaseExpired) as err:
            raise self._down(str(err)) from None
        except OutcomeUnknown as err:
            # It may have been taken. Only a reading tells; otherwise the user asks again.
            known = await self.status(spec.ref)
            if known is not None:
                return 200, known
            raise self._down(str(err)) from None
        if isinstance(result, state_messages.Conflict):
            known = await self.status(spec.ref)
            if known is None:
                raise TemporarilyUnavailable("the state service contradicts itself")
            return 200, known
        # Told only now, after the commit (invariant 4).
        self._read_cache.add_record(spec.ref, result.revision, record)
        self._on_change(spec.ref, result.revision, record)
        if monotonic_time() - sent > constants.SUBMIT_TIMEOUT_S + constants.REFRESH_VALID_S:
            # A copy of the request may have been answered elsewhere, and the job be over: it is looked up.
            raise TemporarilyUnavailable("this node stood still")
        return 201, StatusReply(spec.ref, JobStatus.QUEUED)

    async def cancel(self, ref: str) -> StatusReply | None:
        """Cancel a job, unless it is done; None if it was never accepted. Raises NotNow."""
        end = self._ends.get(ref)
        if end is not None:
            return end
        for _ in range(constants.CANCEL_TRIES):
            found = await self._read(ref)
            if found is None:
                return None
            record, version = found
            reply = status_of(record, ref)
            recorded = JobState(record.state)
            if recorded.is_final:
                # Perhaps by this node's own transaction that got no answer, or by a node that ended before it could
                # tell anybody: who confirms an end answers for it, whoever has written it.
                self._on_seen(ref, version, record)
                self.remember_end(ref, reply)
                return reply
            record.state = JobState.CANCELLED.value
            # Read before the commit, and so before the user is told: whoever leads later counts cancel_s from it.
            record.cancelled_at = wall_time()
            condition, put = records.record_change(ref, version, recorded, record)
            try:
                result = await self.state.commit(state_messages.Transaction([condition], [put]))
            except OutcomeUnknown:
                continue  # read again: it may have been carried out
            except (RequestRejected, LeaseExpired) as err:
                raise self._down(str(err)) from None
            if isinstance(result, state_messages.Committed):
                self._on_change(ref, result.revision, record)
                reply = status_of(record, ref)
                self.remember_end(ref, reply)
                return reply
        raise TemporarilyUnavailable("the job changes too often just now")
