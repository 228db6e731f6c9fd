"""Deletes the step records of workflows that ended long ago; `--reuse` and the display of steps needed them."""

from __future__ import annotations

from .. import constants
from ..duties.garbage_collection import Removal
from ..net.runtime import monotonic_time, wall_time
from ..store.client import StateClient
from ..wire import state as state_messages
from ..wire.flows import FlowState
from . import records


class StepRecordSweeper:
    """Finds old step records. The workflow's record stays, with state and outputs, and is marked `steps_removed`."""

    def __init__(self, state: StateClient) -> None:
        self.state = state
        self._next_pass = 0.0

    async def find(self, max_changes: int) -> list[Removal]:
        """Removals of old step records, each of at most `max_changes` keys; empty between two passes."""
        if monotonic_time() < self._next_pass:
            return []
        removals: list[Removal] = []
        now = wall_time()
        items, _ = await self.state.list(records.FLOW_PREFIX)
        for item in items:
            try:
                record = records.decode_flow_record(item.value)
            except records.InvalidRecord:
                continue  # not written by this program: not changed
            ended = record.state is FlowState.DONE or record.jobs_cancelled
            if not ended or record.steps_removed or now - record.submitted < constants.GC_FLOW_STEP_RETENTION_S:
                continue
            removals += await self._step_removals(item, record, max_changes, now)
            if len(removals) >= constants.GC_REMOVALS_MAX:
                return removals  # the rest follows in the next pass
        self._next_pass = monotonic_time() + constants.GC_FLOWS_INTERVAL_S
        return removals

    async def _step_removals(
        self, item: state_messages.Item, record: records.FlowRecord, max_changes: int, now: float
    ) -> list[Removal]:
        ref = record.sub.ref
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
        record.steps_removed = True
        return [Removal(f"steps of {ref}", (), ((state_messages.Put(item.key, record), item.version),))]
