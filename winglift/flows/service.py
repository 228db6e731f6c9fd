"""The workflow extension of a node: answers users' requests on every node, and runs the driver on the leader."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Protocol

from .. import constants
from ..api.handlers import ApiHost, UserHandler
from ..api.jobs import Jobs, TemporarilyUnavailable, Unschedulable
from ..config.settings import Settings, parse_addr
from ..controller.leader_term import LeaderTerm
from ..net.runtime import wall_time
from ..store.client import OutcomeUnknown, RequestRejected, StateClient
from ..wire import flows as flow_messages
from ..wire import state as state_messages
from ..wire.flows import FlowReply, FlowState, FlowSubmission, StepOutcome, StepReply
from ..wire.users import InvalidMessage, JobStatus
from . import records
from .driver import Driver
from .expressions import JavaScriptEngine
from .files import UploadNotFound, UploadStoreClient, UploadStoreError
from .graph import Node, graph_path, parse_graph
from .settings import FlowSettings
from .sweep import StepRecordSweeper
from .values import FlowError, job_ref

log = logging.getLogger(__name__)


class Host(ApiHost, Protocol):
    """The node that serves workflows."""

    settings: Settings
    state: StateClient


class FlowIdConflict(Exception):
    """The id belongs to another workflow (409)."""


class FlowService:
    """The workflow extension of a node."""

    def __init__(self, settings: FlowSettings, node: Host) -> None:
        self.node = node
        self.settings = settings
        self.files = UploadStoreClient(*parse_addr(settings.files, "files"))
        self.javascript_engine = JavaScriptEngine(settings.expressions.time_s, settings.expressions.memory_mb)
        self.driver: Driver | None = None
        self._graphs: OrderedDict[str, dict[str, Node]] = OrderedDict()

    @property
    def jobs(self) -> Jobs:
        return self.node.jobs

    def routes(self) -> list[tuple]:
        """The extension's routes for the web application."""
        args = {"node": self.node, "flows": self}
        return [
            (r"/flows", FlowsHandler, args),
            (r"/flows/([^/]*)", FlowStatusHandler, args),
            (r"/flows/([^/]*)/abort", FlowCancellationHandler, args),
        ]

    def on_leadership_gained(self, controller: LeaderTerm) -> None:
        """Start the driver for this term."""
        self.driver = Driver(controller, self.jobs, self.files, self.javascript_engine, self.settings)
        controller.garbage_collector.sweepers.append(StepRecordSweeper(controller.state))

    def on_leadership_lost(self) -> None:
        """Stop the driver."""
        if self.driver is not None:
            self.driver.stop()
            self.driver = None

    # -- users' requests -----------------------------------------------------------------------

    async def _graph(self, plan: str) -> dict[str, Node]:
        """The graph of a plan, from a cache. Raises InvalidMessage, FlowError, UploadStoreError."""
        if plan not in self._graphs:
            self._graphs[plan] = (await asyncio.to_thread(parse_graph, await self.files.get(plan)))[1]
            while len(self._graphs) > 1 and sum(map(len, self._graphs.values())) > constants.FLOW_STEPS_MAX:
                self._graphs.popitem(last=False)
        return self._graphs[plan]

    async def _read_record(self, ref: str) -> tuple[records.FlowRecord, int] | None:
        try:
            item = await self.node.state.get(records.FLOW_PREFIX + ref, timeout=constants.STATUS_TIMEOUT_S)
        except (RequestRejected, OutcomeUnknown) as err:
            raise TemporarilyUnavailable(str(err)) from None
        return None if item is None else (records.decode_flow_record(item.value), item.version)

    async def submit(self, sub: FlowSubmission) -> tuple[int, FlowReply]:
        """Accept a workflow: 201 only once it is committed (invariant 4), 200 if it exists already."""
        known = await self._read_record(sub.ref)
        if known is None:
            if all(t.name != sub.team for t in self.node.settings.settings.teams):
                raise Unschedulable(f"team: unknown team {sub.team}")
            try:
                await self._graph(sub.plan)
                await self.files.get(sub.order)
            except UploadNotFound as err:
                raise InvalidMessage(f"plan, order: {err}") from None
            except FlowError as err:
                raise InvalidMessage(f"plan: {err}") from None
            except UploadStoreError as err:
                raise TemporarilyUnavailable(str(err)) from None
            if sub.reuse is not None:
                reused = await self._read_record(sub.reuse)
                # Results may be reused within one team only.
                if reused is None or reused[0].sub.team != sub.team:
                    raise Unschedulable(f"reuse: {sub.team} has no workflow {sub.reuse}")
            record = records.FlowRecord(sub, wall_time())
            key = records.FLOW_PREFIX + sub.ref
            txn = state_messages.Transaction([state_messages.Condition(key, 0)], [state_messages.Put(key, record)])
            try:
                result = await self.node.state.commit(txn, timeout=constants.SUBMIT_TIMEOUT_S)
            except (RequestRejected, OutcomeUnknown) as err:
                # Committed or not: the user repeats the request with the same id.
                raise TemporarilyUnavailable(str(err)) from None
            if isinstance(result, state_messages.Committed):
                return 201, records.build_reply(record)
            known = await self._read_record(sub.ref)
            if known is None:
                raise TemporarilyUnavailable("the state service contradicts itself")
        if known[0].sub != sub:
            raise FlowIdConflict(f"ref: {sub.ref} belongs to another workflow")
        return 200, records.build_reply(known[0])

    async def status(self, ref: str, start: int | None) -> FlowReply | None:
        """The state of a workflow, with one page of steps from index `start` on; None: no steps."""
        known = await self._read_record(ref)
        if known is None:
            return None
        record = known[0]
        if start is None:
            return records.build_reply(record)
        try:
            items = (await self.node.state.list(records.step_prefix(ref)))[0]
            nodes = await self._graph(record.sub.plan)
        except (RequestRejected, OutcomeUnknown, UploadStoreError) as err:
            raise TemporarilyUnavailable(str(err)) from None
        except (InvalidMessage, FlowError):
            return records.build_reply(record)
        step_records = [records.decode_step_record(item.value) for item in items]
        ended_paths = {graph_path(r.path) for r in step_records}
        steps = [
            StepReply(r.path, r.how.value, r.tasks, r.tasks if r.how is StepOutcome.DONE else 0, r.jobs)
            for r in step_records
        ]
        steps += [
            StepReply(path, "skipped" if record.state is FlowState.DONE else "waiting", 0)
            for path in nodes
            if path not in ended_paths
        ]
        positions = {path: position for position, path in enumerate(nodes)}
        steps.sort(key=lambda s: (positions.get(graph_path(s.path), 0), s.path))
        page = steps[start : start + constants.FLOW_STEPS_PER_PAGE_MAX]
        if record.state is FlowState.OPEN:
            page = [
                (await self._running_step(ref, s.path) or s)
                if s.state == "waiting" and nodes[s.path].parents <= ended_paths
                else s
                for s in page
            ]
        end = start + len(page)
        return records.build_reply(record, steps=page, next=end if end < len(steps) else None)

    async def _running_step(self, ref: str, path: str) -> StepReply | None:
        """The state of a step that has not ended, by its first job; None if there is no such job."""
        job = job_ref(ref, path, 0)
        status = await self.jobs.status(job)
        if status is None:
            return None
        running = status.status in (JobStatus.RUNNING, JobStatus.DONE)
        return StepReply(
            path,
            "running" if running else "queued",
            (status.done or 0) + (status.running or 0),
            status.done or 0,
            [job],
        )

    async def list_flows(self, after: str) -> flow_messages.FlowList:
        """One page of all workflows, those with ids after `after`."""
        try:
            items, _ = await self.node.state.list(records.FLOW_PREFIX)
        except (RequestRejected, OutcomeUnknown) as err:
            raise TemporarilyUnavailable(str(err)) from None
        remaining = [i for i in items if i.key > records.FLOW_PREFIX + after]
        replies = [
            records.build_reply(records.decode_flow_record(i.value)) for i in remaining[: constants.FLOWS_PER_PAGE_MAX]
        ]
        return flow_messages.FlowList(replies, len(remaining) > constants.FLOWS_PER_PAGE_MAX, self.settings.files)

    async def cancel(self, ref: str) -> FlowReply | None:
        """Cancel a workflow and reply only once this is committed (invariant 4).

        From then on no step of it is submitted, and the leader cancels its open jobs.
        """
        for _ in range(constants.CANCELLATION_ATTEMPTS_MAX):
            known = await self._read_record(ref)
            if known is None:
                return None
            record, version = known
            if record.state is not FlowState.OPEN:
                return records.build_reply(record)
            record.state = FlowState.CANCELLED
            key = records.FLOW_PREFIX + ref
            try:
                result = await self.node.state.commit(
                    state_messages.Transaction(
                        [state_messages.Condition(key, version)], [state_messages.Put(key, record)]
                    )
                )
            except OutcomeUnknown:
                continue  # read again: it may have been committed
            except RequestRejected as err:
                raise TemporarilyUnavailable(str(err)) from None
            if isinstance(result, state_messages.Committed):
                return records.build_reply(record)
        raise TemporarilyUnavailable("the workflow changes too often just now")


class FlowHandler(UserHandler):
    """Base of the handlers for workflows."""

    def initialize(self, node: ApiHost, flows: FlowService) -> None:  # type: ignore[override]
        self.node = node
        self.flows = flows

    async def respond_or_conflict(self, operation: Callable[[], Awaitable[tuple[int, object]]]) -> None:
        """Like `respond`; an id that belongs to another workflow is refused with 409."""
        try:
            await self.respond(operation, "no such workflow")
        except FlowIdConflict as err:
            self.refuse(409, str(err))

    def checked_flow_ref(self, text: str) -> str:
        """The workflow id in a path. Raises InvalidMessage if it is malformed."""
        if not flow_messages.is_flow_ref(text):
            raise InvalidMessage("ref: expected the form fl-000412")
        return text


class FlowsHandler(FlowHandler):
    """GET and POST /flows: list workflows, submit one."""

    async def get(self) -> None:
        """Answer with one page of all workflows."""

        async def run_operation() -> tuple[int, object]:
            return 200, await self.flows.list_flows(self.get_query_argument("after", ""))

        await self.respond_or_conflict(run_operation)

    async def post(self) -> None:
        """Accept a workflow: 201, or 200 if it was accepted before."""

        async def run_operation() -> tuple[int, object]:
            return await self.flows.submit(flow_messages.parse_submission(self.request.body))

        await self.respond_or_conflict(run_operation)


class FlowStatusHandler(FlowHandler):
    """GET /flows/{ref}: the state of a workflow."""

    async def get(self, text: str) -> None:
        """Answer with the workflow's state and steps, or 404."""

        async def run_operation() -> tuple[int, object]:
            start = self.get_query_argument("steps", "0")
            if start != "no" and not (start.isascii() and start.isdigit() and len(start) < 10):
                raise InvalidMessage("steps: expected a number, or no")
            return 200, await self.flows.status(self.checked_flow_ref(text), None if start == "no" else int(start))

        await self.respond_or_conflict(run_operation)


class FlowCancellationHandler(FlowHandler):
    """POST /flows/{ref}/abort: cancel a workflow."""

    async def post(self, text: str) -> None:
        """Cancel the workflow and answer with its state, or 404."""

        async def run_operation() -> tuple[int, object]:
            return 200, await self.flows.cancel(self.checked_flow_ref(text))

        await self.respond_or_conflict(run_operation)
