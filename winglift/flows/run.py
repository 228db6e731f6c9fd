"""Runs one workflow on the leader: submits its steps as jobs and records their results.

All state here can be rebuilt from the workflow's record, its step records and the uploads. A job is committed before it
can run, with an id derived from workflow and step; a result is committed before it is used. Both require an unchanged
leadership key (invariant 1: only the leader writes) and workflow record, so a cancelled workflow starts nothing more.
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
from .graph import DeadlineDivision, Node, graph_path, parse_graph
from .leader import Leader, StepFailed, Superseded
from .parts import StepJob, build_step_jobs, build_submission, create_task_builder, reuse_key
from .values import FlowError

log = logging.getLogger(__name__)


@dataclass(slots=True)
class SubmittedStep:
    """A step whose jobs have been submitted."""

    leaf: Leaf
    jobs: list[StepJob]
    reuse_key: str
    next_failure_check: float = 0.0  # monotonic time


class FlowRun:
    def __init__(self, leader: Leader, flow_record: records.FlowRecord, version: int) -> None:
        self.leader = leader
        self.ref = flow_record.sub.ref
        self.flow_record = flow_record
        self.version = version
        self.engine: Engine | None = None
        self.nodes: dict[str, Node] = {}
        self.unsubmitted: deque[Leaf] = deque()
        self.submitted: dict[str, SubmittedStep] = {}
        self.step_records: dict[str, records.StepRecord] = {}
        self.reusable_records: dict[str, records.StepRecord] = {}
        self._end_times: dict[str, float] = {}  # time of day, by path in the graph
        self._machines: dict[str, set[str]] = {}
        self._rounds: dict[str, float] = {}  # of scattered steps, see `DeadlineDivision`
        self._division = DeadlineDivision({})
        self._sub_deadlines: dict[str, float] | None = None  # None: to be computed
        self._unsorted_leaves: deque[Leaf] = deque()
        self._possibly_submitted: set[str] = set()  # an earlier leader may have created their jobs

    async def load(self) -> None:
        """Rebuild the state from the records. Raises FlowError, InvalidMessage."""
        leader, sub = self.leader, self.flow_record.sub
        plan, self.nodes = await asyncio.to_thread(parse_graph, await leader.files.get(sub.plan))
        order = msgspec.json.decode(await leader.files.get(sub.order))
        if not isinstance(order, dict):
            raise FlowError("the order is no object")
        self._division = DeadlineDivision(self.nodes)
        for flow, target in ((self.ref, self.step_records), (sub.reuse, self.reusable_records)):
            if flow is not None:
                for item in (await leader.state.list(records.step_prefix(flow)))[0]:
                    record = records.decode_step_record(item.value)
                    if target is self.step_records:
                        target[record.path] = record
                    elif record.how is StepOutcome.DONE and record.key:
                        target[record.key] = record
        self.engine = Engine(plan, order, leader.javascript_engine)
        await self._advance_engine(self.engine.start)
        await self._sort_leaves()
        self._possibly_submitted = {leaf.path for leaf in self.unsubmitted}

    async def _advance_engine(self, call: Callable[[], object] | None = None) -> None:
        """Advance the engine, fetching the file contents that it needs, and take the steps that are ready."""
        assert self.engine is not None
        try:
            while True:
                try:
                    if call is not None:
                        call()
                        call = None
                    # A wide graph has thousands of ready steps: yield to the leader's other work in between.
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
            self._unsorted_leaves.extend(self.engine.take_ready())

    async def _sort_leaves(self) -> None:
        """Apply the records of ready steps that have already ended; the others are to be submitted."""
        count = 0
        while self._unsorted_leaves:
            count += 1
            if count % constants.FLOW_STEP_BATCH_MAX == 0:
                await asyncio.sleep(0)
            leaf = self._unsorted_leaves.popleft()
            record = self.step_records.get(leaf.path)
            if record is None or record.how is StepOutcome.FAILED:
                self.unsubmitted.append(leaf)
            else:
                await self._apply_step_record(leaf, record)

    async def _apply_step_record(self, leaf: Leaf, record: records.StepRecord) -> None:
        """Pass the committed results of a step to the engine."""
        assert self.engine is not None
        results = record.results
        if results is None:
            assert record.digest is not None
            try:
                results = msgspec.json.decode(await self.leader.files.get(record.digest), type=list[dict[str, Any]])
            except UploadStoreError:
                self._unsorted_leaves.appendleft(leaf)
                raise
        path = graph_path(leaf.path)
        self._end_times[path] = max(self._end_times.get(path, 0.0), record.ended)
        self._sub_deadlines = None
        self._machines.setdefault(path, set()).update(record.machines)
        self.engine.complete_step(leaf, results)
        await self._advance_engine()

    async def _commit(self, changes: list[Any], absent: str | None = None) -> int | None:
        """Commit; return the revision, or None if the key `absent` exists. Raises Superseded if other keys changed."""
        leader = self.leader
        conditions = [leader.fence_condition(), state_messages.Condition(records.FLOW_PREFIX + self.ref, self.version)]
        if absent is not None:
            conditions.append(state_messages.Condition(absent, 0))
        try:
            result = await leader.state.commit(state_messages.Transaction(conditions, changes))
        except InvalidRequest as err:  # a retry would be rejected again
            raise FlowError(f"the state service does not take it: {err}") from None
        if isinstance(result, state_messages.Committed):
            return result.revision
        if result.failed == [absent]:
            return None
        raise Superseded(f"{self.ref}: {', '.join(result.failed)} changed")

    async def _write_flow_record(self, flow_record: records.FlowRecord) -> None:
        revision = await self._commit([state_messages.Put(records.FLOW_PREFIX + self.ref, flow_record)])
        assert revision is not None  # None needs `absent`
        self.flow_record, self.version = flow_record, revision

    async def _commit_step_record(self, leaf: Leaf, record: records.StepRecord, results: list[dict[str, Any]]) -> None:
        encoded = msgspec.json.encode(results)
        if len(encoded) <= constants.FLOW_INLINE_OUTPUT_MAX_BYTES:
            record.results = results
        else:
            record.digest = await self.leader.files.put(encoded)
        await self._commit([state_messages.Put(records.step_key(self.ref, leaf.path), record)])
        self.step_records[leaf.path] = record
        self.submitted.pop(leaf.path, None)
        await self._apply_step_record(leaf, record)
        await self._sort_leaves()

    async def finish(self, state: FlowState, cause: str = "", errors: str = "", outputs: str | None = None) -> None:
        flow_record = msgspec.structs.replace(
            self.flow_record,
            state=state,
            cause=records.truncate_to_end(cause),
            outputs=outputs,
            errors=records.truncate_to_end(errors),
            jobs_cancelled=state is FlowState.DONE,
        )
        await self._write_flow_record(flow_record)
        log.info("%s: %s%s", self.ref, state.value, f": {cause}" if cause else "")

    async def run_cycle(self) -> None:
        """Submit ready steps and record ended ones. Raises FlowError if the workflow has failed."""
        assert self.engine is not None
        await self._advance_engine()
        await self._sort_leaves()
        while self.unsubmitted and sum(len(s.jobs) for s in self.submitted.values()) < self.leader.open_jobs_max:
            leaf = self.unsubmitted.popleft()
            try:
                await self._start_step(leaf)
            except BaseException:
                if leaf.path not in self.step_records:
                    self.unsubmitted.appendleft(leaf)
                raise
            self._possibly_submitted.discard(leaf.path)
        for step in list(self.submitted.values()):
            await self._check_step(step)
        if self.engine.outputs is not None and not self.submitted and not self.unsubmitted:
            outputs = await self.leader.files.put(msgspec.json.encode(self.engine.outputs))
            await self.finish(FlowState.DONE, outputs=outputs)

    async def _start_step(self, leaf: Leaf) -> None:
        assert self.engine is not None
        if len(leaf.path.encode()) > constants.FLOW_STEP_PATH_MAX_BYTES:
            raise FlowError(f"{leaf.path[:60]}…: a path of more than {constants.FLOW_STEP_PATH_MAX_BYTES} bytes")
        process = self.engine.plan.processes[leaf.process]
        if isinstance(process, Expression):
            results = self.engine.evaluate(leaf)
            await self._commit_step_record(leaf, records.StepRecord(leaf.path, StepOutcome.DONE, wall_time()), results)
            return
        assert isinstance(process, Tool)
        key = reuse_key(self.engine, leaf)
        reusable = self.reusable_records.get(key)
        if reusable is not None:
            record = msgspec.structs.replace(reusable, path=leaf.path, ended=wall_time())
            await self._commit([state_messages.Put(records.step_key(self.ref, leaf.path), record)])
            self.step_records[leaf.path] = record
            log.info("%s: %s is taken over from %s", self.ref, leaf.path, self.flow_record.sub.reuse)
            await self._apply_step_record(leaf, record)
            await self._sort_leaves()
            return
        step = SubmittedStep(leaf, await build_step_jobs(self.engine, self.ref, leaf), key)
        due = self._sub_deadline(leaf, step.jobs)
        nearby = frozenset().union(*(self._machines.get(p, set()) for p in self.nodes[graph_path(leaf.path)].parents))
        for job in step.jobs:
            await self._submit(job, process, leaf, due, nearby)
        self.submitted[leaf.path] = step

    def _sub_deadline(self, leaf: Leaf, jobs: list[StepJob]) -> float | None:
        """Sub-deadline of a step by the progress so far, as time of day; None: the workflow has no deadline."""
        sub = self.flow_record.sub
        path = graph_path(leaf.path)
        team = next((t for t in self.leader.settings.settings.teams if t.name == (leaf.hints.team or sub.team)), None)
        rounds = 0.0
        for job in jobs:
            slots = (
                [
                    limit / demand
                    for limit, demand in (
                        (team.cpus_max, job.resources.cpus),
                        (team.gpus_max, job.resources.gpus),
                    )
                    if limit > 0 and demand > 0
                ]
                if team is not None
                else []
            )
            rounds += max(1.0, len(job.indices) / max(1.0, min(slots, default=len(job.indices))))
        if rounds > 1.0:
            self._rounds[path] = max(self._rounds.get(path, 1.0), rounds)
            self._sub_deadlines = None
        if leaf.hints.deadline_s is not None:
            return wall_time() + leaf.hints.deadline_s
        if sub.due_s is None:
            return None
        if self._sub_deadlines is None:
            start = self.flow_record.submitted
            self._sub_deadlines = self._division.sub_deadlines(start, start + sub.due_s, self._end_times, self._rounds)
        return self._sub_deadlines[path]

    async def _submit(self, job: StepJob, tool: Tool, leaf: Leaf, due: float | None, nearby: frozenset[str]) -> None:
        leader = self.leader
        now = wall_time()
        spec = build_submission(
            job,
            tool,
            leaf.hints,
            self.flow_record.sub.team,
            None if due is None else max(0.0, due - now),
            leaf.path,
        )
        types = leader.machine_types()
        if not types:
            raise RequestRejected("machine types are not known yet")
        reason = infeasible_reason(spec, leader.settings, types)
        if reason is not None:
            raise FlowError(f"{leaf.path}: can never run: {reason}")
        may_exist = leaf.path in self._possibly_submitted
        self._possibly_submitted.add(leaf.path)
        existing = await leader.state.get(job_records.JOB_PREFIX + job.ref) if may_exist else None
        if existing is None:
            # Uploaded before the job exists: a worker may start it at once.
            for content in {d: b for task in job.built_tasks for d, b in task.blobs.items()}.values():
                await leader.files.put(content)
            tasks = [task.description for task in job.built_tasks]
            for page in range(0, len(tasks), constants.FLOW_UPLOAD_TASKS):
                await leader.files.put_task_descriptions(
                    job.ref, page // constants.FLOW_UPLOAD_TASKS, tasks[page : page + constants.FLOW_UPLOAD_TASKS]
                )
            leader.set_preferred_machines(job.ref, nearby or None)
            record = job_records.new_record(spec, now)
            condition, put = job_records.build_record_write(job.ref, 0, JobState.OPEN, record)
            revision = await self._commit([put], absent=condition.key)
            if revision is not None:
                leader.apply_job_record(job.ref, revision, record)
                log.debug("%s: step %s: job submitted: %s, tasks=%d", self.ref, leaf.path, job.ref, spec.tasks)
                return
            existing = await leader.state.get(job_records.JOB_PREFIX + job.ref)
        if existing is not None:
            existing_spec = job_records.decode(existing.value).spec
            if (existing_spec.team, existing_spec.tasks, existing_spec.image) != (spec.team, spec.tasks, spec.image):
                raise FlowError(f"{leaf.path}: the id {job.ref} belongs to another job")

    async def _check_step(self, step: SubmittedStep) -> None:
        """Record a step once all of its jobs are done. Raises StepFailed if it failed."""
        ended = 0
        for job in step.jobs:
            known = self.leader.job(job.ref)
            if known is not None and known.committed_state is JobState.OPEN:
                if known.failed_on or known.failed_rounds:
                    await self._check_failures(step, job)
                continue
            item = await self.leader.state.get(job_records.JOB_PREFIX + job.ref)
            if item is None:
                raise FlowError(f"{step.leaf.path}: its job {job.ref} is not known")
            state = job_records.decode(item.value).state
            if state == JobState.CANCELLED.value:
                raise StepFailed(f"{step.leaf.path}: its job {job.ref} was cancelled")
            ended += state == JobState.DONE.value
        if ended < len(step.jobs):
            return
        results: list[dict[str, Any]] = [{} for _ in step.leaf.elements]
        machines: set[str] = set()
        for job in step.jobs:
            items = {i.number: i for i in await self.leader.files.task_results(job.ref)}
            self.leader.set_preferred_machines(job.ref, None)
            for number, index in enumerate(job.indices):
                if number not in items:
                    raise FlowError(f"{step.leaf.path}: the results of {job.ref}/{number} are missing")
                results[index] = await self._collect_outputs(step, index, items[number])
                machines.add(items[number].found.machine)
        record = records.StepRecord(
            step.leaf.path,
            StepOutcome.DONE,
            wall_time(),
            step.reuse_key,
            machines=sorted(machines)[:20],
            jobs=[p.ref for p in step.jobs][:20],
            tasks=len(results),
        )
        await self._commit_step_record(step.leaf, record, results)

    async def _collect_outputs(self, step: SubmittedStep, index: int, item: TaskResultItem) -> dict[str, Any]:
        assert self.engine is not None
        if index % 20 == 19:
            await asyncio.sleep(0)
        builder = create_task_builder(self.engine, step.leaf, index)
        builder.build()
        try:
            return builder.collect(item.found)
        except FlowError as err:
            raise StepFailed(str(err), item.found.errors) from None

    async def _check_failures(self, step: SubmittedStep, job: StepJob) -> None:
        """Fail the step if a task failed on several machines; one failure may be the fault of the machine."""
        if monotonic_time() < step.next_failure_check:
            return
        step.next_failure_check = monotonic_time() + 1.0
        by_task: dict[int, dict[str, TaskResultItem]] = {}
        for item in await self.leader.files.task_results(job.ref, failed=True):
            by_task.setdefault(item.number, {})[item.found.machine] = item
        for number, machines in by_task.items():
            if len(machines) >= constants.FLOW_STEP_FAILED_MACHINES:
                result = list(machines.values())[-1].found
                leaf, index = step.leaf, job.indices[number]
                where = leaf.path if leaf.instance.shape is None else f"{leaf.path}[{leaf.instance.indices[index]}]"
                reason = result.why or f"exit code {result.code}"
                record = records.StepRecord(
                    leaf.path, StepOutcome.FAILED, wall_time(), jobs=[job.ref], tasks=len(job.indices)
                )
                await self._commit([state_messages.Put(records.step_key(self.ref, leaf.path), record)])
                raise StepFailed(f"{where}: {reason} on {len(machines)} machines", result.errors)

    async def cancel_open_jobs(self) -> None:
        """Cancel the open jobs of a workflow that failed or was cancelled, then record that this is done."""
        while self.engine is not None:
            # One step may be impossible to prepare; an earlier leader may have submitted others.
            try:
                await self._advance_engine()
                await self._sort_leaves()
                break
            except FlowError as err:
                log.debug("%s: %s", self.ref, err)
        for leaf in [*self.unsubmitted, *(s.leaf for s in self.submitted.values())]:
            if self.engine is not None and isinstance(self.engine.plan.processes[leaf.process], Tool):
                try:
                    jobs = await build_step_jobs(self.engine, self.ref, leaf)
                except FlowError:
                    continue  # never submitted: its commands can't be built
                for job in jobs:
                    await self.leader.cancel_job(job.ref)
        await self._write_flow_record(msgspec.structs.replace(self.flow_record, jobs_cancelled=True))
