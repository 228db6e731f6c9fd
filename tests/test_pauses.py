"""A node that stands still while its clocks run on: nothing decided before takes effect on an old reading of the clock.

A pause is a jump of the steady clock between two steps of the node, as a stopped process sees it when it wakes.
"""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import pytest
from helpers import MACHINE_TYPE, settings, spec
from hypothesis import given
from hypothesis import strategies as st
from test_leader import leader
from test_read_cache import FakeState

from winglift import constants
from winglift.cloud.client import CloudClient, NotAuthorized
from winglift.duties.duty import DutyName
from winglift.model import records
from winglift.model.leadership import Leadership, RoleEvent
from winglift.model.record_application import apply_record
from winglift.net.client import Reply
from winglift.store.client import RequestRejected
from winglift.store.read_cache import ReadCache
from winglift.wire import cloud as cloud_messages
from winglift.wire import workers as worker_messages
from winglift.workers.commands import TaskStopper


@pytest.fixture
def clock(monkeypatch):
    """A steady clock that a test may put forward."""
    steady, made = time.monotonic, SimpleNamespace(ahead=0.0)
    monkeypatch.setattr(time, "monotonic", lambda: steady() + made.ahead)
    return made


def leads(now: float) -> Leadership:
    leadership = Leadership()
    leadership.move(RoleEvent.CAMPAIGN)
    leadership.move(RoleEvent.WON)
    leadership.extend_lease(now, constants.LEADER_LEASE_S)
    return leadership


@pytest.mark.parametrize("act", ["rent", "delete"])
@pytest.mark.parametrize("pause_s", [0.0, constants.LEADER_LEASE_S, 90.0])
def test_no_rental_and_no_deletion_leaves_after_a_pause_that_outlasts_the_lease(clock, act, pause_s):
    """Decided before the pause, still waiting for its turn within the cloud's rate when the node woke."""

    async def scenario() -> list[str]:
        sent: list[str] = []

        class Http:
            async def request(self, method, path, body=None, timeout=0.0):
                sent.append(path)
                return Reply(200, b'{"rigs":["vm-1"]}')

        leadership, client = leads(time.monotonic()), CloudClient("127.0.0.1", 1, settings().settings.cloud, 3)
        client._http = Http()  # type: ignore[assignment]
        client.set_leading(True)
        client.may_change = lambda: leadership.has_valid_lease(time.monotonic())
        while client._budget.take(time.monotonic()):
            pass
        request = cloud_messages.RentRequest("t1-1", "g4", "a", False, 1)
        waits = asyncio.ensure_future(client.rent(request) if act == "rent" else client.delete(["vm-1"]))
        await asyncio.sleep(0)
        clock.ahead += pause_s
        if pause_s:
            with pytest.raises(NotAuthorized):
                await waits
        else:
            await waits
        return sent

    assert bool(asyncio.run(scenario())) == (pause_s == 0)


@pytest.mark.parametrize("pause_s", [0.0, 30.0])
def test_an_answer_that_a_pause_has_made_stale_is_not_given(clock, pause_s):
    """Another node may have answered the user meanwhile that the job is cancelled."""

    async def scenario() -> object:
        state = FakeState(random.Random(1))
        state.put("wk-1", 3)
        read_cache: ReadCache[int] = ReadCache(state, lambda ref, record: record.first_open, 0.0)  # type: ignore[arg-type]
        assert await read_cache.get("wk-1") == 3
        answer = state.changes

        async def late(*args, **kwargs):
            found = await answer(*args, **kwargs)
            clock.ahead += pause_s
            return found

        state.changes = late  # type: ignore[method-assign]
        try:
            return await read_cache.get("wk-1")
        except RequestRejected:
            return None

    assert asyncio.run(scenario()) == (None if pause_s else 3)


@given(st.lists(st.sampled_from([0.0, 1.0, 2.0, 8.0, 30.0, 90.0]), min_size=1, max_size=6))
def test_a_resumed_node_gives_no_commands_and_counts_no_silence_of_machines(pauses):
    """Its own pause is not the workers' silence; and what it knew of its lease it reads anew."""
    made, deleted = leader(True, [(f"vm-{i}", "a", 1000.0) for i in range(4)])
    leadership, now = made.election.leadership, 1000.0
    leadership.extend_lease(now, constants.LEADER_LEASE_S)
    assert made._may_decide(now)

    async def check_machines() -> None:
        made._check_machines(now)

    for pause in pauses:
        now += pause
        may = made._may_decide(now)
        assert may == (now < leadership.valid_until)
        if not may:
            leadership.move(RoleEvent.OVERDUE)
            assert not made._may_decide(now)
            leadership.extend_lease(now, constants.LEADER_LEASE_S)
            leadership.move(RoleEvent.RENEWED)
            assert made._may_decide(now)
        asyncio.run(check_machines())
        assert deleted == []
        for machine in made.cluster.machines.values():
            machine.last_heard = now
        leadership.extend_lease(now, constants.LEADER_LEASE_S)


def test_no_direct_command_leaves_after_a_pause(clock, monkeypatch):
    async def scenario() -> list[str]:
        sent: list[str] = []

        class Http:
            def __init__(self, *args, **kwargs):
                pass

            async def request(self, method, path, body=None, timeout=0.0):
                sent.append(path)
                return Reply(400, b"{}")

        monkeypatch.setattr("winglift.net.runtime.PoolingHttpClient", Http)
        made, _ = leader(True, [("vm-1", "a", 999.5)])
        machine, cluster = made.cluster.machines["vm-1"], made.cluster
        machine.addr, machine.session = "127.0.0.1:1", 1
        job = apply_record(cluster, "wk-1", 11, records.new_record(spec("wk-1", tasks=1), 0.0), 0.0)
        assert job is not None and cluster.propose_placement(job, [(0, machine)], 0.0)
        task = job.active[0]
        leadership = leads(time.monotonic())
        stopper = TaskStopper(cluster, leadership)
        stopper.add(task)
        clock.ahead += 30.0
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return sent

    assert asyncio.run(scenario()) == []


def test_a_report_answered_after_a_pause_carries_no_start(clock):
    """The report was read after the node woke; its lease had run out meanwhile."""
    made, _ = leader(True, [("vm-1", "a", 999.5)])
    made.duties.mark_ready(DutyName.PLACEMENT)
    cluster = made.cluster
    made.election.leadership.valid_until = time.monotonic() + constants.LEADER_LEASE_S
    report = worker_messages.Report(
        machine="vm-1", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=1, token=3, tasks=[]
    )
    cluster.term = made.term = 3
    assert made.on_report(report) == []
    job = apply_record(
        cluster,
        "wk-1",
        11,
        records.JobRecord(submitted_at=0.0, spec=spec("wk-1", tasks=1), next_attempt=2, assignments=[("vm-1", 1, "0")]),
        0.0,
    )
    assert job is not None and MACHINE_TYPE is cluster.machines["vm-1"].type
    clock.ahead += 30.0
    later = worker_messages.Report(
        machine="vm-1", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=2, token=3, tasks=[]
    )
    assert made.on_report(later) == []
    made.election.leadership.valid_until = time.monotonic() + constants.LEADER_LEASE_S
    again = worker_messages.Report(
        machine="vm-1", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=3, token=3, tasks=[]
    )
    assert [o.op for o in made.on_report(again) or []] == ["run"]
