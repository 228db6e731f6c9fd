"""Submissions that must not be refused: of a job that can run while a node starts, and repetitions of accepted jobs."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from helpers import MACHINE_TYPE, SETTINGS, run_simulated, settings, spec

from winglift import constants
from winglift.api import jobs as jobs_module
from winglift.api.jobs import Jobs, TemporarilyUnavailable, Unschedulable
from winglift.config import settings as settings_module
from winglift.model import records
from winglift.store.client import Health
from winglift.wire.state import Committed, Conflict, Item, Transaction
from winglift.wire.users import JobStatus, Submission, encode


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


class RecordingState:
    """A state service that answers at once and keeps the records of accepted jobs."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}

    def follower_share(self) -> float:
        return 0.2

    def health(self) -> Health:
        return Health.GOOD

    async def commit(self, transaction: Transaction, timeout: float = 0.0) -> Committed | Conflict:
        [put] = transaction.changes
        if put.key in self.items:
            return Conflict([put.key])
        self.items[put.key] = Item(put.key, msgspec.Raw(msgspec.json.encode(put.value)), 1)
        return Committed(1)

    async def get(self, key: str, timeout: float = 0.0, urgent: bool = False) -> Item | None:
        return self.items.get(key)

    async def list(self, prefix: str) -> tuple[list[Item], int]:
        return list(self.items.values()), 1


SHORT_TIME, LONG_TIME = 1_700_000_000.0, 1_700_000_000.123457  # s; times of day with few and with many digits


def longest_job() -> Submission:
    """A job whose record is just short enough at `SHORT_TIME`."""
    types = ["g4", *(f"g4-{'x' * 100}-{number:02d}" for number in range(15))]
    limit = int(settings().settings.state.value_kb * 1024 * constants.NEW_RECORD_SIZE_SHARE)
    job = spec(types=types, image="i", job_class="c", zone="a")
    spare = limit - len(encode(records.new_record(job, SHORT_TIME)))
    return spec(types=types, image="i" * (1 + spare // 2), job_class="c" * (1 + spare - spare // 2), zone="a")


@pytest.mark.parametrize(
    ("old_setting", "new_setting", "type_name", "time_of_day"),
    [
        pytest.param("", "", "g4", LONG_TIME, id="the time of day has more digits"),
        pytest.param("", "", "g8", SHORT_TIME, id="its machine type is gone"),
        pytest.param('name = "red"', 'name = "green"', "g4", SHORT_TIME, id="its team is gone"),
        pytest.param("gpus_max = 10.0", "gpus_max = 0.5", "g4", SHORT_TIME, id="its team's limit is lower"),
        pytest.param("value_kb = 4.0", "value_kb = 1.0", "g4", SHORT_TIME, id="values are shorter"),
    ],
)
def test_a_repeated_submission_is_never_refused(old_setting, new_setting, type_name, time_of_day, monkeypatch):
    """Guards against a 422 for an accepted job, which its user takes for refused, whatever has changed since.

    The record's length varies with the digits of the time of day: of long descriptions, repetitions were refused.
    """

    def node(settings_text: str, type_name: str) -> Jobs:
        types = {type_name: msgspec.structs.replace(MACHINE_TYPE, name=type_name)}
        return Jobs(settings_module.parse(settings_text), state, lambda: types, lambda *args: None)  # type: ignore[arg-type]

    async def scenario() -> None:
        job = longest_job()
        monkeypatch.setattr(jobs_module, "wall_time", lambda: SHORT_TIME)
        first = node(SETTINGS, "g4")
        assert (await first.submit(job))[0] == 201
        monkeypatch.setattr(jobs_module, "wall_time", lambda: time_of_day)
        changed = node(SETTINGS.replace(old_setting, new_setting), type_name)
        for jobs in (first, changed):
            status, reply = await jobs.submit(job)
            assert (status, reply.status) == (200, JobStatus.QUEUED)
        # Another job, which can never run, is refused still.
        with pytest.raises(Unschedulable):
            await changed.submit(msgspec.structs.replace(job, ref="wk-000002", zone="ab"))

    state = RecordingState()
    run_simulated(scenario())
