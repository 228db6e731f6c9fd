"""Step records of workflows that ended long ago: what they were kept for, `--reuse` and looks at steps, is over."""

from __future__ import annotations

from .. import constants
from ..duties.garbage_collection import Removal
from ..net.runtime import monotonic_time, wall_time
from ..store.client import StateClient
from ..wire import state as state_messages
from ..wire.flows import FlowState
from . import records


class StepRecordSweeper:
    """Heads stay, with state and outputs; `swept` says that a workflow's steps are gone."""

    def __init__(self, state: StateClient) -> None:
        self.state = state
        self._next = 0.0

    async def find(self, max_changes: int) -> list[Removal]:
        if monotonic_time() < self._next:
            return []
        found: list[Removal] = []
        now = wall_time()
        heads, _ = await self.state.list(records.FLOW_PREFIX)
        for item in heads:
            try:
                head = records.decode_flow_record(item.value)
            except records.InvalidRecord:
                continue  # not written by this program: left alone
            over = head.state is FlowState.DONE or head.tidy
            if not over or head.swept or now - head.submitted < constants.GC_FLOW_STEP_RETENTION_S:
                continue
            found += await self._steps(item, head, max_changes, now)
            if len(found) >= constants.GC_REMOVALS_MAX:
                return found  # the rest at the next look
        self._next = monotonic_time() + constants.GC_FLOWS_INTERVAL_S
        return found

    async def _steps(
        self, item: state_messages.Item, head: records.FlowRecord, max_changes: int, now: float
    ) -> list[Removal]:
        ref = head.sub.ref
        steps, _ = await self.state.list(records.step_prefix(ref))
        for step in steps:
            try:
                if now - records.decode_step_record(step.value).ended < constants.GC_FLOW_STEP_RETENTION_S:
                    return []
            except records.InvalidRecord:
                return []
        keys = [(step.key, step.version) for step in steps]
        if keys:
            return [
                Removal(f"steps of {ref}", tuple(keys[i : i + max_changes])) for i in range(0, len(keys), max_changes)
            ]
        head.swept = True
        return [Removal(f"steps of {ref}", (), ((state_messages.Put(item.key, head), item.version),))]
