"""The read cache of job records under generated histories: no answer is older than the read."""

from __future__ import annotations

import asyncio
import random

import pytest
from helpers import spec
from hypothesis import given
from hypothesis import settings as hsettings
from hypothesis import strategies as st

from winglift.model import records
from winglift.store.client import RequestRejected, RevisionCompacted
from winglift.store.election import Election
from winglift.store.read_cache import ReadCache
from winglift.wire import state as state_messages


class FakeState:
    """State service whose answers are computed at one time and arrive later, in any order."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.revision = 1
        self.keys: dict[str, tuple[int, bytes]] = {}
        self.history: list[tuple[int, str]] = []
        self.oldest = 0

    def put(self, ref: str, first_open: int) -> None:
        self.revision += 1
        record = records.JobRecord(submitted_at=0.0, spec=spec(ref, tasks=99), first_open=first_open)
        self.keys[records.JOB_PREFIX + ref] = self.revision, records.encode(record)
        self.history.append((self.revision, records.JOB_PREFIX + ref))

    async def _delay(self) -> None:
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)

    def _item(self, key: str) -> state_messages.Item:
        version, value = self.keys[key]
        return state_messages.Item(key, value, version)  # type: ignore[arg-type]

    async def get(self, key, timeout=0.0, urgent=False):
        await self._delay()
        item = self._item(key) if key in self.keys else None
        await self._delay()
        return item

    async def list(self, prefix):
        await self._delay()
        revision, items = self.revision, []
        for key in sorted(self.keys):
            items.append(self._item(key))
            await self._delay()
        return items, revision

    async def changes(self, prefix, after, block_ms=0):
        await self._delay()
        if after < self.oldest:
            raise RevisionCompacted
        events = [
            state_messages.Event(put=k, version=v, value=self.keys[k][1])
            for v, k in self.history  # type: ignore[arg-type]
            if v > after and self.keys[k][0] == v
        ]
        answer = state_messages.Changes(self.revision, events)
        await self._delay()
        return answer


STEPS = ["put", "put", "ask", "ask", "forget", "pause", "settle"]


@hsettings(max_examples=400)
@given(st.integers(0, 10_000), st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 1)), min_size=20, max_size=60))
def test_no_answer_is_older_than_the_read(seed, steps):
    async def scenario() -> None:
        state = FakeState(random.Random(seed))
        read_cache: ReadCache[int] = ReadCache(state, lambda ref, record: record.first_open, 0.0)  # type: ignore[arg-type]
        latest = dict.fromkeys(range(2), 0)

        async def read(job: int, expected_min: int) -> None:
            try:
                first_open = await read_cache.get(f"wk-{job}")
            except RequestRejected:
                return
            assert (first_open or 0) >= expected_min

        reads = []
        for step, job in steps:
            if step == "put":
                latest[job] += 1
                state.put(f"wk-{job}", latest[job])
            elif step == "ask":
                reads.append(asyncio.ensure_future(read(job, latest[job])))
            elif step == "forget":
                state.oldest = state.revision
            elif step == "settle":
                await asyncio.gather(*reads)
            else:
                await asyncio.sleep(0)
        await asyncio.gather(*reads)

    asyncio.run(scenario())


def test_a_campaign_skips_the_rate_budget():
    """After a restart of all nodes, users' first polls once used up the rate budget, and no node could campaign."""
    requests: list[tuple[str, bool]] = []

    class Recorder(FakeState):
        async def get(self, key, timeout=0.0, urgent=False):
            requests.append((key, urgent))
            raise RequestRejected("enough")

    election = Election(Recorder(random.Random(1)), "node-0", lambda: None)  # type: ignore[arg-type]
    with pytest.raises(RequestRejected):
        asyncio.run(election._follow())
    assert requests == [(records.LEADER_KEY, True)]
