"""Drives all workflows on the leader: watches their records and runs one asyncio task for each open workflow."""

from __future__ import annotations

import asyncio
import logging

from .. import constants
from ..api.jobs import Jobs, TemporarilyUnavailable
from ..controller.leader_term import LeaderTerm
from ..model import records as job_records
from ..model.entities import Job
from ..net.runtime import monotonic_time
from ..store.client import LeaseExpired, OutcomeUnknown, RequestRejected, RevisionCompacted
from ..wire import state as state_messages
from ..wire.cloud import MachineType
from ..wire.flows import FlowState
from ..wire.users import InvalidMessage
from . import records
from .expressions import JavaScriptEngine
from .files import UploadStoreClient, UploadStoreError
from .leader import StepFailed, Superseded
from .run import FlowRun
from .settings import FlowSettings
from .values import FlowError

log = logging.getLogger(__name__)

RETRIABLE_ERRORS = (RequestRejected, OutcomeUnknown, LeaseExpired, UploadStoreError, TemporarilyUnavailable)


class Driver:
    """Drives the workflows for one term; after `stop` it writes nothing more."""

    def __init__(
        self,
        controller: LeaderTerm,
        jobs: Jobs,
        files: UploadStoreClient,
        javascript_engine: JavaScriptEngine,
        settings: FlowSettings,
    ) -> None:
        self.controller = controller
        self.settings = controller.settings
        self.state = controller.state
        self.files = files
        self.javascript_engine = javascript_engine
        self.open_jobs_max = settings.open_jobs
        self._jobs = jobs
        self._flow_records: dict[str, tuple[int, records.FlowRecord]] = {}
        self._flow_tasks: dict[str, asyncio.Task[None]] = {}
        self._wake_ups: dict[str, asyncio.Event] = {}
        self._watch_task = asyncio.ensure_future(self._watch_records())

    def stop(self) -> None:
        self._watch_task.cancel()
        for task in self._flow_tasks.values():
            task.cancel()

    # -- the interface `Leader` ----------------------------------------------------------------

    def machine_types(self) -> dict[str, MachineType]:
        return self.controller.types

    def job(self, ref: str) -> Job | None:
        return self.controller.cluster.jobs.get(ref)

    def apply_job_record(self, ref: str, version: int, record: job_records.JobRecord) -> None:
        self.controller.apply_record(ref, version, record)

    def set_preferred_machines(self, ref: str, machines: frozenset[str] | None) -> None:
        if machines is None:
            self.controller.snapshot_builder.preferred_machines.pop(ref, None)
        else:
            self.controller.snapshot_builder.preferred_machines[ref] = machines

    def fence_condition(self) -> state_messages.Condition:
        # Every leader write depends on the leadership key's revision: only the leader writes (invariant 1).
        if not self.controller.leadership.has_valid_lease(monotonic_time()):
            raise RequestRejected("this node does not lead now")
        return self.controller.duties.fence.condition()

    async def cancel_job(self, ref: str) -> None:
        await self._jobs.cancel(ref)

    # -- records of workflows ------------------------------------------------------------------

    async def _watch_records(self) -> None:
        while True:
            try:
                items, revision = await self.state.list(records.FLOW_PREFIX)
                for item in items:
                    self._apply_record(item.key, item.version, item.value)
                while True:
                    changes = await self.state.changes(records.FLOW_PREFIX, revision)
                    for event in changes.events:
                        if event.put is not None:
                            self._apply_record(event.put, event.version, event.value)
                    revision = max(revision, changes.revision)
            except (RequestRejected, OutcomeUnknown, RevisionCompacted) as err:
                log.debug("workflows: watch of the records failed: %s", err)
                await asyncio.sleep(0.5)

    def _apply_record(self, key: str, version: int, value) -> None:  # type: ignore[no-untyped-def]
        ref = key.removeprefix(records.FLOW_PREFIX)
        try:
            record = records.decode_flow_record(value)
        except records.InvalidRecord as err:
            log.error("%s is left alone: %s", ref, err)
            return
        known = self._flow_records.get(ref)
        if known is not None and known[0] >= version:
            return
        self._flow_records[ref] = version, record
        wake_up = self._wake_ups.get(ref)
        if wake_up is not None:
            wake_up.set()
        ended = record.state is FlowState.DONE or record.jobs_cancelled
        if not ended and ref not in self._flow_tasks:
            self._wake_ups[ref] = asyncio.Event()
            self._flow_tasks[ref] = asyncio.ensure_future(self._drive_workflow(ref))
        elif ended and ref not in self._flow_tasks:
            del self._flow_records[ref]

    # -- one workflow --------------------------------------------------------------------------

    async def _drive_workflow(self, ref: str) -> None:
        run: FlowRun | None = None
        try:
            while True:
                version, record = self._flow_records[ref]
                if record.state is FlowState.DONE or record.jobs_cancelled:
                    return
                try:
                    if run is None or run.version != version:
                        # Another node, or a transaction without an answer, has changed the record: reload.
                        run = FlowRun(self, record, version)
                        try:
                            await run.load()
                        except (FlowError, InvalidMessage) as err:
                            await self._fail(run, err)
                            continue
                    if run.flow_record.state is FlowState.OPEN:
                        try:
                            await run.run_cycle()
                        except FlowError as err:
                            await self._fail(run, err)
                    if (
                        run.flow_record.state in (FlowState.FAILED, FlowState.CANCELLED)
                        and not run.flow_record.jobs_cancelled
                    ):
                        await run.cancel_open_jobs()
                    self._flow_records[ref] = max(
                        self._flow_records[ref], (run.version, run.flow_record), key=lambda versioned: versioned[0]
                    )
                except Superseded as err:
                    log.debug("%s", err)
                    await self._refresh_record(ref)
                except RETRIABLE_ERRORS as err:
                    log.debug("%s: %s", ref, err)
                    run = run if run is not None and run.engine is not None else None
                await self._wait_for_next_cycle(ref)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("fault in %s", ref)
            await asyncio.sleep(5.0)
        finally:
            self._flow_tasks.pop(ref, None)
            self._wake_ups.pop(ref, None)
            versioned = self._flow_records.pop(ref, None)
            if versioned is not None and not (versioned[1].state is FlowState.DONE or versioned[1].jobs_cancelled):
                asyncio.get_running_loop().call_later(5.0, self._restart, ref, *versioned)

    def _restart(self, ref: str, version: int, record: records.FlowRecord) -> None:
        """Restart a run that ended by an unexpected exception, unless this term has ended."""
        if not self._watch_task.done() and ref not in self._flow_tasks:
            self._apply_record(records.FLOW_PREFIX + ref, version, job_records.encode(record))  # type: ignore[arg-type]

    async def _fail(self, run: FlowRun, err: Exception) -> None:
        log.debug("%s: %s", run.ref, err)
        if run.flow_record.state is not FlowState.OPEN:
            return
        try:
            await run.finish(FlowState.FAILED, str(err), err.errors if isinstance(err, StepFailed) else "")
        finally:
            if run.version > self._flow_records[run.ref][0]:
                self._flow_records[run.ref] = run.version, run.flow_record

    async def _refresh_record(self, ref: str) -> None:
        try:
            item = await self.state.get(records.FLOW_PREFIX + ref)
            if item is not None:
                self._apply_record(records.FLOW_PREFIX + ref, item.version, item.value)
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("%s: %s", ref, err)

    async def _wait_for_next_cycle(self, ref: str) -> None:
        wake_up = self._wake_ups[ref]
        wake_up.clear()
        try:
            async with asyncio.timeout(constants.FLOW_CYCLE_INTERVAL_S):
                await wake_up.wait()
        except TimeoutError:
            pass
        # Task starts, task ends and users' requests have priority: wait while few writes are available.
        while (
            self.state.available_writes() < self.settings.settings.state.write_rps * constants.FLOW_SPARE_WRITES_SHARE
        ):
            await asyncio.sleep(constants.WRITE_RETRY_DELAY_S)
