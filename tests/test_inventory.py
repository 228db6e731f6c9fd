"""Renting against a cloud that allows few calls."""

from __future__ import annotations

import asyncio

from helpers import MACHINE_TYPE, OpenIntentLog, run_simulated, settings, spec

from winglift.cloud.inventory import Inventory
from winglift.duties.external_operation import OperationState
from winglift.model import records
from winglift.model.cluster_state import ClusterState
from winglift.model.record_application import apply_record
from winglift.policy.snapshot import Rental


class FakeCloud:
    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.requests: list[tuple[str, str, int]] = []

    async def wait_for_budget(self) -> None:
        await self.open.wait()

    async def rent(self, request):
        self.requests.append((request.request, request.zone, request.count))
        return [f"vm-{request.request}-{i}" for i in range(request.count)]


def test_rentals_that_wait_for_their_turn_become_one_large_request():
    """In the first rush every cycle queued calls of one to four machines, and the last were sent 40 s later."""

    async def scenario() -> None:
        cloud, cluster = FakeCloud(), ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
        inventory = Inventory(cloud, cluster, 3.0, OpenIntentLog())  # type: ignore[arg-type]
        for _ in range(30):
            inventory.rent(Rental("g4", "a", True, 2))
        inventory.rent(Rental("g4", "b", True, 3))
        assert sum(a.request.count for a in inventory.pending_rentals.values()) == 53
        cloud.open.set()
        while inventory.pending_rentals:
            await asyncio.sleep(0)
        # The most that one request may ask for, the largest first; every name is used once.
        assert [(z, n) for _, z, n in cloud.requests] == [("a", 50), ("b", 3)]
        assert len({name for name, _, _ in cloud.requests}) == 2 and len(cluster.machines) == 53

    asyncio.run(scenario())


def test_a_rental_decided_while_another_waits_for_its_turn_is_sent_once():
    """The second sender once found that the first had sent all that there was, and ended with an error."""

    async def scenario() -> None:
        cloud, cluster = FakeCloud(), ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
        inventory = Inventory(cloud, cluster, 3.0, OpenIntentLog())  # type: ignore[arg-type]
        inventory.rent(Rental("g4", "a", True, 2))
        cloud.open.set()
        for _ in range(3):
            await asyncio.sleep(0)
        cloud.open.clear()
        inventory.rent(Rental("g4", "a", False, 1))
        inventory.rent(Rental("g4", "b", False, 1))
        await asyncio.sleep(0)
        cloud.open.set()
        while inventory.pending_rentals:
            await asyncio.sleep(0)
        assert sorted(n for _, _, n in cloud.requests) == [1, 1, 2]
        assert not [t for t in inventory._tasks if t.done() and t.exception()]

    asyncio.run(scenario())


class StuckIntentLog(OpenIntentLog):
    """The state service is away: nothing is recorded."""

    async def persist(self, operations):
        await asyncio.Event().wait()


def test_without_the_state_service_only_what_a_cancellation_demands_is_deleted():
    """`cancel_s` runs on in an outage, and what demands this deletion is in the job's record."""

    async def scenario() -> None:
        deleted: list[str] = []

        class Cloud:
            async def delete(self, names, for_cancellation=False):
                assert for_cancellation
                deleted.extend(names)

        cluster = ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
        inventory = Inventory(Cloud(), cluster, 3.0, StuckIntentLog())  # type: ignore[arg-type]
        machines = [cluster.register_machine(f"vm-{n}", "g4", "a", False, 0.0, 90.0) for n in range(3)]
        job = apply_record(
            cluster,
            "wk-1",
            5,
            records.JobRecord(
                submitted_at=0.0, spec=spec("wk-1"), state="c", cancelled_at=1.0, assignments=[("vm-1", 1, "0")]
            ),
            0.0,
        )
        assert job is not None
        for machine in machines:
            inventory.delete(machine, "of any reason")
        await asyncio.sleep(5.0)
        assert deleted == ["vm-1"] and set(cluster.machines) == {"vm-0", "vm-2"}
        assert inventory.intent_log.deletions["vm-0"].state is OperationState.INTENDED

    run_simulated(scenario())
