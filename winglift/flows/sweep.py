"""Step records of workflows that ended long ago: what they were kept for, `--reuse` and looks at steps, is over."""

from __future__ import annotations

from .. import constants
from ..duties.garbage_collection import Removal
from ..net.runtime import monotonic_time, wall_time
from ..store.client import StateClient
from ..wire import state as state_messages
from ..wire.flows import FlowState
from . import records


class OldSteps:
    """Heads stay, with state and outputs; `swept` says that a workflow's steps are gone."""

    def __init__(self, state: StateClient) -> None:
        self.state = state
        self._next = 0.0

    async def find(self, max_changes: int) -> list[Removal]:
        if monotonic_time() < self._next:
            return []
        found: list[Removal] = []
        now = wall_time()
        items, _ = await self.state.list(records.HEAD)
        for item in items:
            try:
                record = records.decode_head(item.value)
            except records.InvalidRecord:
                continue  # not written by this program: left alone
            over = record.state is FlowState.DONE or record.jobs_cancelled
            if not over or record.steps_removed or now - record.submitted < constants.GC_FLOW_STEP_RETENTION_S:
                continue
            found += await self._removals(item, record, max_changes, now)
            if len(found) >= constants.GC_REMOVALS_MAX:
                return found  # the rest at the next look
        self._next = monotonic_time() + constants.GC_FLOWS_INTERVAL_S
        return found

    async def _removals(
        self, item: state_messages.Item, record: records.Head, max_changes: int, now: float
    ) -> list[Removal]:
        ref = record.sub.ref
        steps, _ = await self.state.list(records.step_prefix(ref))
        for step in steps:
            try:
                if now - records.decode_step(step.value).ended < constants.GC_FLOW_STEP_RETENTION_S:
                    return []
            except records.InvalidRecord:
                return []
        keys = [(step.key, step.version) for step in steps]
        if keys:
            return [
                Removal(f"steps of {ref}", tuple(keys[i : i + max_changes])) for i in range(0, len(keys), max_changes)
            ]
        record.steps_removed = True
        return [Removal(f"steps of {ref}", (), ((state_messages.Put(item.key, record), item.version),))]
