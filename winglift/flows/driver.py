"""Drives all workflows, at the leader: follows their heads, and one task for each that is not over."""

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
from .run import Run
from .settings import FlowSettings
from .values import FlowError

log = logging.getLogger(__name__)

AGAIN = (RequestRejected, OutcomeUnknown, LeaseExpired, UploadStoreError, TemporarilyUnavailable)


class Driver:
    """One per term; after `stop` it writes nothing more."""

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
        self.open_jobs = settings.open_jobs
        self._jobs = jobs
        self._heads: dict[str, tuple[int, records.FlowRecord]] = {}
        self._runs: dict[str, asyncio.Task[None]] = {}
        self._wakes: dict[str, asyncio.Event] = {}
        self._task = asyncio.ensure_future(self._follow())

    def stop(self) -> None:
        self._task.cancel()
        for task in self._runs.values():
            task.cancel()

    # -- what runs need ------------------------------------------------------------------------

    def types(self) -> dict[str, MachineType]:
        return self.controller.types

    def job(self, ref: str) -> Job | None:
        return self.controller.cluster.jobs.get(ref)

    def take_job(self, ref: str, version: int, record: job_records.JobRecord) -> None:
        self.controller.apply_record(ref, version, record)

    def near(self, ref: str, machines: frozenset[str] | None) -> None:
        if machines is None:
            self.controller.snapshot_builder.preferred_machines.pop(ref, None)
        else:
            self.controller.snapshot_builder.preferred_machines[ref] = machines

    def leadership(self) -> state_messages.Condition:
        # As every leader write, on the leadership key at its revision (invariant 1).
        if not self.controller.leadership.has_valid_lease(monotonic_time()):
            raise RequestRejected("this node does not lead now")
        return self.controller.duties.fence.condition()

    async def cancel(self, ref: str) -> None:
        await self._jobs.cancel(ref)

    # -- heads ---------------------------------------------------------------------------------

    async def _follow(self) -> None:
        while True:
            try:
                items, revision = await self.state.list(records.FLOW_PREFIX)
                for item in items:
                    self._take(item.key, item.version, item.value)
                while True:
                    changes = await self.state.changes(records.FLOW_PREFIX, revision)
                    for event in changes.events:
                        if event.put is not None:
                            self._take(event.put, event.version, event.value)
                    revision = max(revision, changes.revision)
            except (RequestRejected, OutcomeUnknown, RevisionCompacted) as err:
                log.debug("workflows: %s", err)
                await asyncio.sleep(0.5)

    def _take(self, key: str, version: int, value) -> None:  # type: ignore[no-untyped-def]
        ref = key.removeprefix(records.FLOW_PREFIX)
        try:
            head = records.decode_flow_record(value)
        except records.InvalidRecord as err:
            log.error("%s is left alone: %s", ref, err)
            return
        known = self._heads.get(ref)
        if known is not None and known[0] >= version:
            return
        self._heads[ref] = version, head
        wake = self._wakes.get(ref)
        if wake is not None:
            wake.set()
        over = head.state is FlowState.DONE or head.tidy
        if not over and ref not in self._runs:
            self._wakes[ref] = asyncio.Event()
            self._runs[ref] = asyncio.ensure_future(self._drive(ref))
        elif over and ref not in self._runs:
            del self._heads[ref]

    # -- one workflow --------------------------------------------------------------------------

    async def _drive(self, ref: str) -> None:
        run: Run | None = None
        try:
            while True:
                version, head = self._heads[ref]
                if head.state is FlowState.DONE or head.tidy:
                    return
                try:
                    if run is None or run.version != version:
                        # A change by others, or by a transaction of ours that got no answer: begin from the records.
                        run = Run(self, head, version)
                        try:
                            await run.load()
                        except (FlowError, InvalidMessage) as err:
                            await self._fail(run, err)
                            continue
                    if run.head.state is FlowState.OPEN:
                        try:
                            await run.step()
                        except FlowError as err:
                            await self._fail(run, err)
                    if run.head.state in (FlowState.FAILED, FlowState.CANCELLED) and not run.head.tidy:
                        await run.tidy()
                    self._heads[ref] = max(self._heads[ref], (run.version, run.head), key=lambda found: found[0])
                except Superseded as err:
                    log.debug("%s", err)
                    await self._refresh(ref)
                except AGAIN as err:
                    log.debug("%s: %s", ref, err)
                    run = run if run is not None and run.engine is not None else None
                await self._pause(ref)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("fault in %s", ref)
            await asyncio.sleep(5.0)
        finally:
            self._runs.pop(ref, None)
            self._wakes.pop(ref, None)
            found = self._heads.pop(ref, None)
            if found is not None and not (found[1].state is FlowState.DONE or found[1].tidy):
                asyncio.get_running_loop().call_later(5.0, self._again, ref, *found)

    def _again(self, ref: str, version: int, head: records.FlowRecord) -> None:
        """A run that ended by a fault begins anew, unless this term is over."""
        if not self._task.done() and ref not in self._runs:
            self._take(records.FLOW_PREFIX + ref, version, job_records.encode(head))  # type: ignore[arg-type]

    async def _fail(self, run: Run, err: Exception) -> None:
        log.debug("%s: %s", run.ref, err)
        if run.head.state is not FlowState.OPEN:
            return
        try:
            await run.finish(FlowState.FAILED, str(err), err.errors if isinstance(err, StepFailed) else "")
        finally:
            if run.version > self._heads[run.ref][0]:
                self._heads[run.ref] = run.version, run.head

    async def _refresh(self, ref: str) -> None:
        try:
            item = await self.state.get(records.FLOW_PREFIX + ref)
            if item is not None:
                self._take(records.FLOW_PREFIX + ref, item.version, item.value)
        except (RequestRejected, OutcomeUnknown) as err:
            log.debug("%s: %s", ref, err)

    async def _pause(self, ref: str) -> None:
        wake = self._wakes[ref]
        wake.clear()
        try:
            async with asyncio.timeout(constants.FLOW_CYCLE_INTERVAL_S):
                await wake.wait()
        except TimeoutError:
            pass
        # What starts, ends and users need comes first.
        while (
            self.state.available_writes() < self.settings.settings.state.write_rps * constants.FLOW_SPARE_WRITES_SHARE
        ):
            await asyncio.sleep(constants.WRITE_RETRY_DELAY_S)
