"""Step records of workflows that ended long ago: what they were kept for, `--reuse` and looks at steps, is over."""

from __future__ import annotations

from .. import constants as c
from ..duties.tidy import Removal
from ..net.outside import steady, wall
from ..store.client import StateClient
from ..wire import state as wire
from ..wire.flows import FlowState
from . import records


class OldSteps:
    """Heads stay, with state and outputs; `swept` says that a workflow's steps are gone."""

    def __init__(self, state: StateClient) -> None:
        self.state = state
        self._next = 0.0

    async def find(self, most: int) -> list[Removal]:
        if steady() < self._next:
            return []
        found: list[Removal] = []
        now = wall()
        heads, _ = await self.state.list(records.HEAD)
        for item in heads:
            try:
                head = records.decode_head(item.value)
            except records.BadRecord:
                continue  # not written by this program: left alone
            over = head.state is FlowState.DONE or head.tidy
            if not over or head.swept or now - head.submitted < c.TIDY_STEPS_S:
                continue
            found += await self._steps(item, head, most, now)
            if len(found) >= c.TIDY_REMOVALS_MOST:
                return found  # the rest at the next look
        self._next = steady() + c.TIDY_FLOWS_EVERY_S
        return found

    async def _steps(self, item: wire.Item, head: records.Head, most: int, now: float) -> list[Removal]:
        ref = head.sub.ref
        steps, _ = await self.state.list(records.step_prefix(ref))
        for step in steps:
            try:
                if now - records.decode_step(step.value).ended < c.TIDY_STEPS_S:
                    return []
            except records.BadRecord:
                return []
        keys = [(step.key, step.version) for step in steps]
        if keys:
            return [Removal(f"steps of {ref}", tuple(keys[i : i + most])) for i in range(0, len(keys), most)]
        head.swept = True
        return [Removal(f"steps of {ref}", (), ((wire.Put(item.key, head), item.version),))]
