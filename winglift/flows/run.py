"""One workflow at the leader: its steps become jobs, the ends of jobs become records, until it has ended.

Everything that it holds can be lost at any moment: it is built again from the head, the records of ended steps and the
uploads. A job is committed before it can run, under an id that follows from workflow and step; an end is committed
before anything is built on it. Both are conditional on the leadership key (invariant 1) and on the head, so nothing of
a cancelled workflow starts later.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from .. import constants
from ..api.jobs import infeasible_reason
from ..model import records as job_records
from ..model.job_state import JobState
from ..net.runtime import monotonic_time, wall_time
from ..store.client import InvalidRequest, RequestRejected
from ..wire import state as state_messages
from ..wire.flows import Expression, FlowState, StepOutcome, TaskResultItem, Tool
from . import records
from .engine import ContentNeeded, Engine, Leaf
from .files import UploadStoreError
from .graph import Division, Node, graph_path, lay_open
from .leader import Leader, StepFailed, Superseded
from .parts import Part, builder, key_of, parts, submission
from .values import FlowError

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Open:
    """A step whose jobs are submitted."""

    leaf: Leaf
    parts: list[Part]
    key: str
    look_at: float = 0.0  # when its failures are looked at next


class Run:
    def __init__(self, leader: Leader, head: records.FlowRecord, version: int) -> None:
        self.leader = leader
        self.ref = head.sub.ref
        self.head = head
        self.version = version
        self.engine: Engine | None = None
        self.nodes: dict[str, Node] = {}
        self.waiting: deque[Leaf] = deque()
        self.open: dict[str, Open] = {}
        self.records: dict[str, records.StepRecord] = {}
        self.reuse: dict[str, records.StepRecord] = {}
        self._ends: dict[str, float] = {}  # by path in the graph: when the last instance ended
        self._machines: dict[str, set[str]] = {}
        self._widths: dict[str, float] = {}
        self._division = Division({})
        self._dues: dict[str, float] | None = None  # sub-deadlines by what has ended so far
        self._inbox: deque[Leaf] = deque()
        self._doubtful: set[str] = set()  # steps whose jobs may exist already

    # -- building it again ---------------------------------------------------------------------

    async def load(self) -> None:
        leader, sub = self.leader, self.head.sub
        plan, self.nodes = await asyncio.to_thread(lay_open, await leader.files.get(sub.plan))
        order = msgspec.json.decode(await leader.files.get(sub.order))
        if not isinstance(order, dict):
            raise FlowError("the order is no object")
        self._division = Division(self.nodes)
        for flow, found in ((self.ref, self.records), (sub.reuse, self.reuse)):
            if flow is not None:
                for item in (await leader.state.list(records.step_prefix(flow)))[0]:
                    record = records.decode_step_record(item.value)
                    if found is self.records:
                        found[record.path] = record
                    elif record.how is StepOutcome.DONE and record.key:
                        found[record.key] = record
        self.engine = Engine(plan, order, leader.javascript_engine)
        await self._follow(self.engine.start)
        await self._settle()
        # Which of these were submitted by an earlier leader, only their records tell.
        self._doubtful = {leaf.path for leaf in self.waiting}

    async def _follow(self, call: Callable[[], object] | None = None) -> None:
        """Let the engine go on, with the contents that it asks for; what can run then lies in the inbox."""
        assert self.engine is not None
        try:
            while True:
                try:
                    if call is not None:
                        call()
                        call = None
                    # A wide graph has thousands of steps at once: the leader's other work goes on in between.
                    while self.engine.advance(constants.FLOW_STEP_BATCH_MAX):
                        await asyncio.sleep(0)
                    return
                except ContentNeeded as need:
                    content = await self.leader.files.get(need.digest)
                    if len(content) > constants.LOAD_CONTENTS_MAX_BYTES:
                        raise FlowError(
                            f"loadContents: a file of more than {constants.LOAD_CONTENTS_MAX_BYTES} bytes"
                        ) from None
                    self.engine.contents[need.digest] = content.decode(errors="replace")
        finally:
            self._inbox.extend(self.engine.take_ready())

    async def _settle(self) -> None:
        """Sort what can run into what has ended already, and so leads on, and what is to be run."""
        looked = 0
        while self._inbox:
            looked += 1
            if looked % constants.FLOW_STEP_BATCH_MAX == 0:
                await asyncio.sleep(0)
            leaf = self._inbox.popleft()
            record = self.records.get(leaf.path)
            if record is None or record.how is StepOutcome.FAILED:
                self.waiting.append(leaf)
            else:
                await self._take_end(leaf, record)

    async def _take_end(self, leaf: Leaf, record: records.StepRecord) -> None:
        """A step has ended and its record is committed: what follows from it."""
        assert self.engine is not None
        results = record.results
        if results is None:
            assert record.digest is not None
            try:
                results = msgspec.json.decode(await self.leader.files.get(record.digest), type=list[dict[str, Any]])
            except UploadStoreError:
                self._inbox.appendleft(leaf)
                raise
        path = graph_path(leaf.path)
        self._ends[path] = max(self._ends.get(path, 0.0), record.ended)
        self._dues = None
        self._machines.setdefault(path, set()).update(record.machines)
        self.engine.end(leaf, results)
        await self._follow()

    # -- committing ----------------------------------------------------------------------------

    async def _commit(self, changes: list[Any], absent: str | None = None) -> int | None:
        """The revision; None if the key that had to be absent is there. Raises Superseded, Refused, Unknown."""
        leader = self.leader
        conditions = [leader.leadership(), state_messages.Condition(records.FLOW_PREFIX + self.ref, self.version)]
        if absent is not None:
            conditions.append(state_messages.Condition(absent, 0))
        try:
            result = await leader.state.commit(state_messages.Transaction(conditions, changes))
        except InvalidRequest as err:
            # It would be refused for ever.
            raise FlowError(f"the state service does not take it: {err}") from None
        if isinstance(result, state_messages.Committed):
            return result.revision
        if result.failed == [absent]:
            return None
        raise Superseded(f"{self.ref}: {', '.join(result.failed)} changed")

    async def _write_head(self, head: records.FlowRecord) -> None:
        revision = await self._commit([state_messages.Put(records.FLOW_PREFIX + self.ref, head)])
        assert revision is not None  # no key had to be absent
        self.head, self.version = head, revision

    async def _record(self, leaf: Leaf, record: records.StepRecord, results: list[dict[str, Any]]) -> None:
        packed = msgspec.json.encode(results)
        if len(packed) <= constants.FLOW_INLINE_OUTPUT_MAX_BYTES:
            record.results = results
        else:
            record.digest = await self.leader.files.put(packed)
        # An end is committed before anything is built on it.
        await self._commit([state_messages.Put(records.step_key(self.ref, leaf.path), record)])
        self.records[leaf.path] = record
        self.open.pop(leaf.path, None)
        await self._take_end(leaf, record)
        await self._settle()

    async def finish(self, state: FlowState, cause: str = "", errors: str = "", outputs: str | None = None) -> None:
        head = msgspec.structs.replace(
            self.head,
            state=state,
            cause=records.bounded(cause),
            outputs=outputs,
            errors=records.bounded(errors),
            tidy=state is FlowState.DONE,
        )
        await self._write_head(head)
        log.info("%s: %s%s", self.ref, state.value, f": {cause}" if cause else "")

    async def step(self) -> None:
        """One look: steps that are ready are submitted, ended ones recorded. Raises FlowError where it must fail."""
        assert self.engine is not None
        await self._follow()
        await self._settle()
        while self.waiting and sum(len(o.parts) for o in self.open.values()) < self.leader.open_jobs:
            leaf = self.waiting.popleft()
            try:
                await self._launch(leaf)
            except BaseException:
                if leaf.path not in self.records:
                    self.waiting.appendleft(leaf)
                raise
            self._doubtful.discard(leaf.path)
        for found in list(self.open.values()):
            await self._look(found)
        if self.engine.outputs is not None and not self.open and not self.waiting:
            outputs = await self.leader.files.put(msgspec.json.encode(self.engine.outputs))
            await self.finish(FlowState.DONE, outputs=outputs)

    async def _launch(self, leaf: Leaf) -> None:
        assert self.engine is not None
        if len(leaf.path.encode()) > constants.FLOW_STEP_PATH_MAX_BYTES:
            raise FlowError(f"{leaf.path[:60]}…: a path of more than {constants.FLOW_STEP_PATH_MAX_BYTES} bytes")
        process = self.engine.plan.processes[leaf.process]
        if isinstance(process, Expression):
            results = self.engine.evaluate(leaf)
            await self._record(leaf, records.StepRecord(leaf.path, StepOutcome.DONE, wall_time()), results)
            return
        assert isinstance(process, Tool)
        key = key_of(self.engine, leaf)
        known = self.reuse.get(key)
        if known is not None:
            record = msgspec.structs.replace(known, path=leaf.path, ended=wall_time())
            await self._commit([state_messages.Put(records.step_key(self.ref, leaf.path), record)])
            self.records[leaf.path] = record
            log.info("%s: %s is taken over from %s", self.ref, leaf.path, self.head.sub.reuse)
            await self._take_end(leaf, record)
            await self._settle()
            return
        found = Open(leaf, await parts(self.engine, self.ref, leaf), key)
        due = self._due(leaf, found.parts)
        near = frozenset().union(*(self._machines.get(p, set()) for p in self.nodes[graph_path(leaf.path)].parents))
        for part in found.parts:
            await self._submit(part, process, leaf, due, near)
        self.open[leaf.path] = found

    def _due(self, leaf: Leaf, found: list[Part]) -> float | None:
        """Sub-deadline of a step, of the whole divided anew by what is known now: time of day, or None."""
        sub = self.head.sub
        path = graph_path(leaf.path)
        team = next((t for t in self.leader.settings.settings.teams if t.name == (leaf.hints.team or sub.team)), None)
        rows = 0.0
        for part in found:
            places = (
                [
                    most / need
                    for most, need in ((team.cpus_max, part.size.cpus), (team.gpus_max, part.size.gpus))
                    if most > 0 and need > 0
                ]
                if team is not None
                else []
            )
            rows += max(1.0, len(part.places) / max(1.0, min(places, default=len(part.places))))
        if rows > 1.0:
            self._widths[path] = max(self._widths.get(path, 1.0), rows)
            self._dues = None
        if leaf.hints.deadline_s is not None:
            return wall_time() + leaf.hints.deadline_s
        if sub.due_s is None:
            return None
        if self._dues is None:
            begin = self.head.submitted
            self._dues = self._division.at(begin, begin + sub.due_s, self._ends, self._widths)
        return self._dues[path]

    async def _submit(self, part: Part, tool: Tool, leaf: Leaf, due: float | None, near: frozenset[str]) -> None:
        leader = self.leader
        now = wall_time()
        spec = submission(
            part, tool, leaf.hints, self.head.sub.team, None if due is None else max(0.0, due - now), leaf.path
        )
        types = leader.types()
        if not types:
            raise RequestRejected("machine types are not known yet")
        why = infeasible_reason(spec, leader.settings, types)
        if why is not None:
            raise FlowError(f"{leaf.path}: can never run: {why}")
        doubtful = leaf.path in self._doubtful
        self._doubtful.add(leaf.path)
        known = await leader.state.get(job_records.JOB_PREFIX + part.ref) if doubtful else None
        if known is None:
            # What a worker needs lies ready before the job exists.
            for content in {d: b for made in part.made for d, b in made.blobs.items()}.values():
                await leader.files.put(content)
            works = [made.work for made in part.made]
            for page in range(0, len(works), constants.FLOW_UPLOAD_TASKS):
                await leader.files.describe(
                    part.ref,
                    page // constants.FLOW_UPLOAD_TASKS,
                    works[page : page + constants.FLOW_UPLOAD_TASKS],
                )
            leader.near(part.ref, near or None)
            record = job_records.new_record(spec, now)
            condition, put = job_records.build_record_write(part.ref, 0, JobState.OPEN, record)
            revision = await self._commit([put], absent=condition.key)
            if revision is not None:
                leader.take_job(part.ref, revision, record)
                log.debug("%s: %s is %s, %d tasks", self.ref, leaf.path, part.ref, spec.tasks)
                return
            known = await leader.state.get(job_records.JOB_PREFIX + part.ref)
        if known is not None:
            there = job_records.decode(known.value).spec
            if (there.team, there.tasks, there.image) != (spec.team, spec.tasks, spec.image):
                raise FlowError(f"{leaf.path}: the id {part.ref} belongs to another job")

    async def _look(self, found: Open) -> None:
        """Has a step ended?"""
        ended = 0
        for part in found.parts:
            job = self.leader.job(part.ref)
            if job is not None and job.committed_state is JobState.OPEN:
                if job.failed_on or job.failed_rounds:
                    await self._check_failures(found, part)
                continue
            item = await self.leader.state.get(job_records.JOB_PREFIX + part.ref)
            if item is None:
                raise FlowError(f"{found.leaf.path}: its job {part.ref} is not known")
            state = job_records.decode(item.value).state
            if state == JobState.CANCELLED.value:
                raise StepFailed(f"{found.leaf.path}: its job {part.ref} was cancelled")
            ended += state == JobState.DONE.value
        if ended < len(found.parts):
            return
        results: list[dict[str, Any]] = [{} for _ in found.leaf.elements]
        machines: set[str] = set()
        for part in found.parts:
            items = {i.number: i for i in await self.leader.files.found(part.ref)}
            self.leader.near(part.ref, None)
            for number, place in enumerate(part.places):
                if number not in items:
                    raise FlowError(f"{found.leaf.path}: the results of {part.ref}/{number} are missing")
                results[place] = await self._collect(found, place, items[number])
                machines.add(items[number].found.machine)
        record = records.StepRecord(
            found.leaf.path,
            StepOutcome.DONE,
            wall_time(),
            found.key,
            machines=sorted(machines)[:20],
            jobs=[p.ref for p in found.parts][:20],
            tasks=len(results),
        )
        await self._record(found.leaf, record, results)

    async def _collect(self, found: Open, place: int, item: TaskResultItem) -> dict[str, Any]:
        assert self.engine is not None
        if place % 20 == 19:
            await asyncio.sleep(0)
        made = builder(self.engine, found.leaf, place)
        made.build()
        try:
            return made.collect(item.found)
        except FlowError as err:
            raise StepFailed(str(err), item.found.errors) from None

    async def _check_failures(self, found: Open, part: Part) -> None:
        """A command that fails on one machine may be the machine's fault; on several it is its own."""
        if monotonic_time() < found.look_at:
            return
        found.look_at = monotonic_time() + 1.0
        by_task: dict[int, dict[str, TaskResultItem]] = {}
        for item in await self.leader.files.found(part.ref, failed=True):
            by_task.setdefault(item.number, {})[item.found.machine] = item
        for number, machines in by_task.items():
            if len(machines) >= constants.FLOW_STEP_FAILED_MACHINES:
                last = list(machines.values())[-1].found
                leaf, place = found.leaf, part.places[number]
                where = leaf.path if leaf.node.shape is None else f"{leaf.path}[{leaf.node.places[place]}]"
                why = last.why or f"exit code {last.code}"
                record = records.StepRecord(
                    leaf.path, StepOutcome.FAILED, wall_time(), jobs=[part.ref], tasks=len(part.places)
                )
                await self._commit([state_messages.Put(records.step_key(self.ref, leaf.path), record)])
                raise StepFailed(f"{where}: {why} on {len(machines)} machines", last.errors)

    async def tidy(self) -> None:
        """Cancel what is still open of a workflow that has ended early; then the head says so."""
        while self.engine is not None:
            # Steps behind one that can't be prepared may have been submitted by an earlier leader.
            try:
                await self._follow()
                await self._settle()
                break
            except FlowError as err:
                log.debug("%s: %s", self.ref, err)
        for leaf in [*self.waiting, *(o.leaf for o in self.open.values())]:
            if self.engine is not None and isinstance(self.engine.plan.processes[leaf.process], Tool):
                try:
                    found = await parts(self.engine, self.ref, leaf)
                except FlowError:
                    continue  # it never was submitted: its commands can't be built
                for part in found:
                    await self.leader.cancel(part.ref)
        await self._write_head(msgspec.structs.replace(self.head, tidy=True))
