"""Limits on numbers of machines or tasks, on one node and with 970 machines, 1.5 times the largest fleet."""

from __future__ import annotations

import asyncio
import json

import pytest
from test_reports import follower

from winglift import constants
from winglift.model import image_cache_record
from winglift.model.entities import Machine
from winglift.model.leadership import Leadership
from winglift.model.machine_state import MachineState
from winglift.wire import workers as worker_messages
from winglift.workers.probes import Prober

FLEET_MACHINES = 970


def report(number: int, tick: int = 5) -> bytes:
    return json.dumps(
        {
            "rig": f"vm-{number:06d}",
            "endpoint": "10.0.0.1:1",
            "rigType": "g8",
            "hall": "ab"[number % 2],
            "loaner": False,
            "shift": 1,
            "tick": tick,
            "baton": 3,
            "recallS": None,
            "pieces": [],
        }
    ).encode()


@pytest.mark.parametrize("machines", [FLEET_MACHINES, constants.WORKER_CONTACTS_MAX + 500])
@pytest.mark.parametrize("leader_reachable", [True, False])
def test_the_remaining_node_answers_all_workers_within_a_second_and_some_of_them_twice(machines, leader_reachable):
    """No report is rejected, whether the leader can be reached or not, and the number of kept contacts is bounded."""
    handler, peers = follower("a", b="node-1")
    peers.reachable = leader_reachable

    async def ask(number: int, tick: int) -> int:
        answer = handler.handle(report(number, tick))
        return (answer if isinstance(answer, tuple) else await answer)[0]

    async def scenario() -> list[int]:
        first_answers = [await ask(n, 5) for n in range(machines)]
        return first_answers + [await ask(n, 5) for n in range(0, machines, 3)]

    statuses = asyncio.run(scenario())
    # The second report of a worker of the other zone is redirected to its own zone, once the first one was answered.
    assert set(statuses[:machines]) == {200} and set(statuses) <= {200, 421}
    assert len(handler._contacts) <= constants.WORKER_CONTACTS_MAX + 1


def test_the_parsed_names_of_all_running_tasks_stay_cached():
    """Reports list all tasks in turn, so that with a cache one entry too small every lookup would miss."""
    worker_messages.parse_task_name.cache_clear()
    for _ in range(2):
        for number in range(FLEET_MACHINES * 8):
            worker_messages.parse_task_name(f"wk-{number // 8:06d}/{number % 8}")
    assert worker_messages.parse_task_name.cache_info().hits == FLEET_MACHINES * 8
    worker_messages.parse_task_name.cache_clear()


@pytest.mark.parametrize("most", [4096 - constants.RECORD_HEADROOM_BYTES, 8192 - constants.RECORD_HEADROOM_BYTES])
def test_image_caches_of_all_machines_fit_their_records_with_the_latest_used_images_at_least(most):
    images = {
        f"vm-{n:06d}": {f"img-{i % 60:02d}": 6.0 + i % 60 for i in range(n * 7, n * 7 + 10)}
        for n in range(FLEET_MACHINES)
    }
    values = image_cache_record.pack(images, most)
    assert len(values) <= constants.IMAGE_CACHE_RECORDS and all(len(value) <= most for value in values.values())
    unpacked = image_cache_record.unpack(values.values())
    assert unpacked.keys() == images.keys()
    for name, unpacked_images in unpacked.items():
        packed_images = list(images[name].items())
        assert list(unpacked_images.items()) == packed_images[len(packed_images) - len(unpacked_images) :]


def test_probes_of_a_silent_fleet_are_limited_and_reach_all_machines_in_turn(monkeypatch):
    async def scenario() -> None:
        probed: set[str] = set()
        prober = Prober(None, Leadership())  # type: ignore[arg-type]
        machines = [
            Machine(f"vm-{n}", None, "g8", "a", False, MachineState.UP, 0.0, 0.0, addr="10.0.0.1:1", last_heard=0.0)
            for n in range(FLEET_MACHINES)
        ]
        control = machines.pop()

        async def request_report(machine):
            probed.add(machine.name)
            await asyncio.sleep(0)
            return machine is control

        monkeypatch.setattr(prober, "_request_report", request_report)
        monkeypatch.setattr("winglift.workers.probes.monotonic_time", lambda: 10.0)
        prober.cluster = type("FakeClusterState", (), {"changed": False})()  # type: ignore[assignment]
        for _ in range(FLEET_MACHINES // constants.CONCURRENT_PROBES_MAX + 2):
            prober.probe([machine for machine in machines if machine.probe_failed_at < 10.0], {"a": control})
            assert len(prober._probes) <= constants.CONCURRENT_PROBES_MAX
            while prober._probes:
                await asyncio.sleep(0)
        assert probed == {machine.name for machine in [*machines, control]}
        assert all(machine.probe_failed_at == 10.0 for machine in machines)

    asyncio.run(scenario())
