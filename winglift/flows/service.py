"""Workflows as part of a node: what users ask for, answered by any node, and the driver while the node leads."""

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
from .graph import Node, graph_path, lay_open
from .settings import FlowSettings
from .sweep import StepRecordSweeper
from .values import FlowError, job_ref

log = logging.getLogger(__name__)


class Host(ApiHost, Protocol):
    """The node that serves workflows."""

    settings: Settings
    state: StateClient


class Unlike(Exception):
    """The id belongs to another workflow (409)."""


class FlowService:
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
        args = {"node": self.node, "flows": self}
        return [(r"/flows", Submit, args), (r"/flows/([^/]*)", Status, args), (r"/flows/([^/]*)/abort", Cancel, args)]

    def on_leadership_gained(self, controller: LeaderTerm) -> None:
        self.driver = Driver(controller, self.jobs, self.files, self.javascript_engine, self.settings)
        controller.garbage_collector.sweepers.append(StepRecordSweeper(controller.state))

    def on_leadership_lost(self) -> None:
        if self.driver is not None:
            self.driver.stop()
            self.driver = None

    # -- what users ask for --------------------------------------------------------------------

    async def _graph(self, plan: str) -> dict[str, Node]:
        """The steps of a plan; raises InvalidMessage, FlowError, UploadStoreError."""
        if plan not in self._graphs:
            self._graphs[plan] = (await asyncio.to_thread(lay_open, await self.files.get(plan)))[1]
            while len(self._graphs) > 1 and sum(map(len, self._graphs.values())) > constants.FLOW_STEPS_MAX:
                self._graphs.popitem(last=False)
        return self._graphs[plan]

    async def _head(self, ref: str) -> tuple[records.FlowRecord, int] | None:
        try:
            item = await self.node.state.get(records.FLOW_PREFIX + ref, timeout=constants.STATUS_TIMEOUT_S)
        except (RequestRejected, OutcomeUnknown) as err:
            raise TemporarilyUnavailable(str(err)) from None
        return None if item is None else (records.decode_flow_record(item.value), item.version)

    async def submit(self, sub: FlowSubmission) -> tuple[int, FlowReply]:
        """Accept a workflow: 201 once it is committed (invariant 4), 200 if it is known already."""
        known = await self._head(sub.ref)
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
                earlier = await self._head(sub.reuse)
                # What another team's workflow has found is nobody else's to see.
                if earlier is None or earlier[0].sub.team != sub.team:
                    raise Unschedulable(f"reuse: {sub.team} has no workflow {sub.reuse}")
            head = records.FlowRecord(sub, wall_time())
            key = records.FLOW_PREFIX + sub.ref
            txn = state_messages.Transaction([state_messages.Condition(key, 0)], [state_messages.Put(key, head)])
            try:
                result = await self.node.state.commit(txn, timeout=constants.SUBMIT_TIMEOUT_S)
            except (RequestRejected, OutcomeUnknown) as err:
                # Taken or not: the user asks again, and the same id tells.
                raise TemporarilyUnavailable(str(err)) from None
            if isinstance(result, state_messages.Committed):
                return 201, records.reply(head)
            known = await self._head(sub.ref)
            if known is None:
                raise TemporarilyUnavailable("the state service contradicts itself")
        if known[0].sub != sub:
            raise Unlike(f"ref: {sub.ref} belongs to another workflow")
        return 200, records.reply(known[0])

    async def status(self, ref: str, start: int | None) -> FlowReply | None:
        """A workflow's state, with a page of its steps from `start` on; None: without them."""
        known = await self._head(ref)
        if known is None:
            return None
        head = known[0]
        if start is None:
            return records.reply(head)
        try:
            items = (await self.node.state.list(records.step_prefix(ref)))[0]
            nodes = await self._graph(head.sub.plan)
        except (RequestRejected, OutcomeUnknown, UploadStoreError) as err:
            raise TemporarilyUnavailable(str(err)) from None
        except (InvalidMessage, FlowError):
            return records.reply(head)
        ended = [records.decode_step_record(item.value) for item in items]
        over = {graph_path(r.path) for r in ended}
        steps = [
            StepReply(r.path, r.how.value, r.tasks, r.tasks if r.how is StepOutcome.DONE else 0, r.jobs) for r in ended
        ]
        steps += [
            StepReply(path, "skipped" if head.state is FlowState.DONE else "waiting", 0)
            for path in nodes
            if path not in over
        ]
        order = {path: number for number, path in enumerate(nodes)}
        steps.sort(key=lambda s: (order.get(graph_path(s.path), 0), s.path))
        page = steps[start : start + constants.FLOW_STEPS_PER_PAGE_MAX]
        if head.state is FlowState.OPEN:
            page = [
                (await self._open(ref, s.path) or s) if s.state == "waiting" and nodes[s.path].parents <= over else s
                for s in page
            ]
        later = start + len(page)
        return records.reply(head, steps=page, next=later if later < len(steps) else None)

    async def _open(self, ref: str, path: str) -> StepReply | None:
        job = job_ref(ref, path, 0)
        found = await self.jobs.status(job)
        if found is None:
            return None
        running = found.status in (JobStatus.RUNNING, JobStatus.DONE)
        return StepReply(
            path, "running" if running else "queued", (found.done or 0) + (found.running or 0), found.done or 0, [job]
        )

    async def listing(self, after: str) -> flow_messages.FlowList:
        try:
            items, _ = await self.node.state.list(records.FLOW_PREFIX)
        except (RequestRejected, OutcomeUnknown) as err:
            raise TemporarilyUnavailable(str(err)) from None
        later = [i for i in items if i.key > records.FLOW_PREFIX + after]
        found = [records.reply(records.decode_flow_record(i.value)) for i in later[: constants.FLOWS_PER_PAGE_MAX]]
        return flow_messages.FlowList(found, len(later) > constants.FLOWS_PER_PAGE_MAX, self.settings.files)

    async def cancel(self, ref: str) -> FlowReply | None:
        """Answered once it is committed (invariant 4). From then on nothing of it is submitted; the leader cancels the
        jobs that are open."""
        for _ in range(constants.CANCELLATION_ATTEMPTS_MAX):
            known = await self._head(ref)
            if known is None:
                return None
            head, version = known
            if head.state is not FlowState.OPEN:
                return records.reply(head)
            head.state = FlowState.CANCELLED
            key = records.FLOW_PREFIX + ref
            try:
                result = await self.node.state.commit(
                    state_messages.Transaction(
                        [state_messages.Condition(key, version)], [state_messages.Put(key, head)]
                    )
                )
            except OutcomeUnknown:
                continue  # read again: it may have been carried out
            except RequestRejected as err:
                raise TemporarilyUnavailable(str(err)) from None
            if isinstance(result, state_messages.Committed):
                return records.reply(head)
        raise TemporarilyUnavailable("the workflow changes too often just now")


class ForFlows(UserHandler):
    def initialize(self, node: ApiHost, flows: FlowService) -> None:  # type: ignore[override]
        self.node = node
        self.flows = flows

    async def answer(self, ask: Callable[[], Awaitable[tuple[int, object]]]) -> None:
        try:
            await self.respond(ask, "no such workflow")
        except Unlike as err:
            self.refuse(409, str(err))

    def flow(self, text: str) -> str:
        if not flow_messages.is_flow_ref(text):
            raise InvalidMessage("ref: expected the form fl-000412")
        return text


class Submit(ForFlows):
    async def get(self) -> None:
        async def ask() -> tuple[int, object]:
            return 200, await self.flows.listing(self.get_query_argument("after", ""))

        await self.answer(ask)

    async def post(self) -> None:
        async def ask() -> tuple[int, object]:
            return await self.flows.submit(flow_messages.parse_submission(self.request.body))

        await self.answer(ask)


class Status(ForFlows):
    async def get(self, text: str) -> None:
        async def ask() -> tuple[int, object]:
            start = self.get_query_argument("steps", "0")
            if start != "no" and not (start.isascii() and start.isdigit() and len(start) < 10):
                raise InvalidMessage("steps: expected a number, or no")
            return 200, await self.flows.status(self.flow(text), None if start == "no" else int(start))

        await self.answer(ask)


class Cancel(ForFlows):
    async def post(self, text: str) -> None:
        async def ask() -> tuple[int, object]:
            return 200, await self.flows.cancel(self.flow(text))

        await self.answer(ask)
