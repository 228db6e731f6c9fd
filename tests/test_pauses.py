"""A node whose process is paused: no decision made before the pause takes effect after it on an outdated clock reading.

A pause is simulated by a jump of the monotonic clock between two steps of the node, as a stopped process sees it when
it resumes.
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
    """A monotonic clock that a test can advance."""
    real_monotonic, clock = time.monotonic, SimpleNamespace(offset_s=0.0)
    monkeypatch.setattr(time, "monotonic", lambda: real_monotonic() + clock.offset_s)
    return clock


def make_leadership(now: float) -> Leadership:
    leadership = Leadership()
    leadership.move(RoleEvent.CAMPAIGN)
    leadership.move(RoleEvent.WON)
    leadership.extend_lease(now, constants.LEADER_LEASE_S)
    return leadership


@pytest.mark.parametrize("act", ["rent", "delete"])
@pytest.mark.parametrize("pause_s", [0.0, constants.LEADER_LEASE_S, 90.0])
def test_no_rental_and_no_deletion_is_sent_after_a_pause_that_outlasts_the_lease(clock, act, pause_s):
    """The request was decided before the pause, and still waited for the cloud's rate limit when the node resumed."""

    async def scenario() -> list[str]:
        sent: list[str] = []

        class Http:
            async def request(self, method, path, body=None, timeout=0.0):
                sent.append(path)
                return Reply(200, b'{"rigs":["vm-1"]}')

        leadership, client = (
            make_leadership(time.monotonic()),
            CloudClient("127.0.0.1", 1, settings().settings.cloud, 3),
        )
        client._http = Http()  # type: ignore[assignment]
        client.set_leading(True)
        client.may_change = lambda: leadership.has_valid_lease(time.monotonic())
        while client._budget.take(time.monotonic()):
            pass
        request = cloud_messages.RentRequest("t1-1", "g4", "a", False, 1)
        call = asyncio.ensure_future(client.rent(request) if act == "rent" else client.delete(["vm-1"]))
        await asyncio.sleep(0)
        clock.offset_s += pause_s
        if pause_s:
            with pytest.raises(NotAuthorized):
                await call
        else:
            await call
        return sent

    assert bool(asyncio.run(scenario())) == (pause_s == 0)


@pytest.mark.parametrize("pause_s", [0.0, 30.0])
def test_an_answer_that_is_stale_after_a_pause_is_not_returned(clock, pause_s):
    """Meanwhile another node may have answered the user that the job is cancelled."""

    async def scenario() -> object:
        state = FakeState(random.Random(1))
        state.put("wk-1", 3)
        read_cache: ReadCache[int] = ReadCache(state, lambda ref, record: record.first_open, 0.0)  # type: ignore[arg-type]
        assert await read_cache.get("wk-1") == 3
        read_changes = state.changes

        async def answer_late(*args, **kwargs):
            result = await read_changes(*args, **kwargs)
            clock.offset_s += pause_s
            return result

        state.changes = answer_late  # type: ignore[method-assign]
        try:
            return await read_cache.get("wk-1")
        except RequestRejected:
            return None

    assert asyncio.run(scenario()) == (None if pause_s else 3)


@given(st.lists(st.sampled_from([0.0, 1.0, 2.0, 8.0, 30.0, 90.0]), min_size=1, max_size=6))
def test_a_resumed_node_decides_nothing_without_a_lease_and_deletes_no_machine_as_silent(pauses):
    """The node's own pause does not count as silence of its workers, and it checks its lease again."""
    leader_term, deleted = leader(True, [(f"vm-{i}", "a", 1000.0) for i in range(4)])
    leadership, now = leader_term.election.leadership, 1000.0
    leadership.extend_lease(now, constants.LEADER_LEASE_S)
    assert leader_term._may_decide(now)

    async def check_machines() -> None:
        leader_term._check_machines(now)

    for pause in pauses:
        now += pause
        may_decide = leader_term._may_decide(now)
        assert may_decide == (now < leadership.valid_until)
        if not may_decide:
            leadership.move(RoleEvent.OVERDUE)
            assert not leader_term._may_decide(now)
            leadership.extend_lease(now, constants.LEADER_LEASE_S)
            leadership.move(RoleEvent.RENEWED)
            assert leader_term._may_decide(now)
        asyncio.run(check_machines())
        assert deleted == []
        for machine in leader_term.cluster.machines.values():
            machine.last_heard = now
        leadership.extend_lease(now, constants.LEADER_LEASE_S)


def test_no_direct_command_is_sent_after_a_pause(clock, monkeypatch):
    async def scenario() -> list[str]:
        sent: list[str] = []

        class Http:
            def __init__(self, *args, **kwargs):
                pass

            async def request(self, method, path, body=None, timeout=0.0):
                sent.append(path)
                return Reply(400, b"{}")

        monkeypatch.setattr("winglift.net.runtime.PoolingHttpClient", Http)
        leader_term, _ = leader(True, [("vm-1", "a", 999.5)])
        machine, cluster = leader_term.cluster.machines["vm-1"], leader_term.cluster
        machine.addr, machine.session = "127.0.0.1:1", 1
        job = apply_record(cluster, "wk-1", 11, records.new_record(spec("wk-1", tasks=1), 0.0), 0.0)
        assert job is not None and cluster.propose_placement(job, [(0, machine)], 0.0)
        task = job.active[0]
        leadership = make_leadership(time.monotonic())
        stopper = TaskStopper(cluster, leadership)
        stopper.add(task)
        clock.offset_s += 30.0
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return sent

    assert asyncio.run(scenario()) == []


def test_a_report_answered_after_a_pause_carries_no_start(clock):
    """The report is read after the node resumes, when its lease has expired."""
    leader_term, _ = leader(True, [("vm-1", "a", 999.5)])
    leader_term.duties.mark_ready(DutyName.PLACEMENT)
    cluster = leader_term.cluster
    leader_term.election.leadership.valid_until = time.monotonic() + constants.LEADER_LEASE_S
    report = worker_messages.Report(
        machine="vm-1", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=1, token=4, tasks=[]
    )
    cluster.term = leader_term.term = 4
    assert leader_term.on_report(report) == []
    job = apply_record(
        cluster,
        "wk-1",
        11,
        records.JobRecord(submitted_at=0.0, spec=spec("wk-1", tasks=1), next_attempt=2, assignments=[("vm-1", 1, "0")]),
        0.0,
    )
    assert job is not None and MACHINE_TYPE is cluster.machines["vm-1"].type
    clock.offset_s += 30.0
    second_report = worker_messages.Report(
        machine="vm-1", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=2, token=4, tasks=[]
    )
    assert leader_term.on_report(second_report) == []
    leader_term.election.leadership.valid_until = time.monotonic() + constants.LEADER_LEASE_S
    third_report = worker_messages.Report(
        machine="vm-1", addr="127.0.0.1:1", type="g4", zone="a", spot=False, session=1, seq=3, token=4, tasks=[]
    )
    assert [o.op for o in leader_term.on_report(third_report) or []] == ["run"]
