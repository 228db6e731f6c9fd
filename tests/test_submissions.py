"""Submissions while a node starts: a job that can run is never refused as unschedulable."""

from __future__ import annotations

import asyncio

import pytest
from helpers import MACHINE_TYPE, run_simulated, settings, spec

from winglift.api.jobs import Jobs, TemporarilyUnavailable


def test_submission_is_not_unschedulable_if_the_types_arrive_during_the_read():
    """Found in simulation: a submission in the first 10 ms of a node got 422."""

    async def scenario() -> None:
        types: dict = {}

        class State:
            def follower_share(self):
                return 0.2

            async def get(self, key, timeout=0.0, urgent=False):
                types["g4"] = MACHINE_TYPE
                await asyncio.sleep(0)
                return None

        jobs = Jobs(settings(), State(), lambda: types, lambda *args: None)  # type: ignore[arg-type]

        async def status(ref):
            await State().get(ref)
            return None

        jobs.status = status  # type: ignore[method-assign]
        with pytest.raises(TemporarilyUnavailable):
            await jobs.submit(spec())

    run_simulated(scenario())
