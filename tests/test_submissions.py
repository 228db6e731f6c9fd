"""Submissions that meet a moment of the node: while its start is under way, a sound job is never refused for good."""

from __future__ import annotations

import asyncio

import pytest
from helpers import TYPE, settings, simulated, spec

from winglift.api.jobs import Jobs, TemporarilyUnavailable


def test_a_submission_during_whose_look_up_the_types_come_is_not_told_that_it_can_never_run():
    """Found in simulated time: a user who came in the first 10 ms of a node was told 422."""

    async def scenario() -> None:
        types: dict = {}

        class State:
            def follower_share(self):
                return 0.2

            async def get(self, key, timeout=0.0, urgent=False):
                types["g4"] = TYPE
                await asyncio.sleep(0)
                return None

        jobs = Jobs(settings(), State(), lambda: types, lambda *args: None)  # type: ignore[arg-type]

        async def status(ref):
            await State().get(ref)
            return None

        jobs.status = status  # type: ignore[method-assign]
        with pytest.raises(TemporarilyUnavailable):
            await jobs.submit(spec())

    simulated(scenario())
