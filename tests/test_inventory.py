"""Rentals and deletions while the cloud allows few calls or the state service is unavailable."""

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
        self.calls_allowed = asyncio.Event()
        self.requests: list[tuple[str, str, int]] = []

    async def wait_for_budget(self) -> None:
        await self.calls_allowed.wait()

    async def rent(self, request):
        self.requests.append((request.request, request.zone, request.count))
        return [f"vm-{request.request}-{i}" for i in range(request.count)]


def test_rentals_that_wait_for_the_call_budget_are_merged_into_one_large_request():
    """In a first burst of jobs, every cycle queued calls for one to four machines; the last were sent 40 s later."""

    async def scenario() -> None:
        cloud, cluster = FakeCloud(), ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
        inventory = Inventory(cloud, cluster, 3.0, OpenIntentLog())  # type: ignore[arg-type]
        for _ in range(30):
            inventory.rent(Rental("g4", "a", True, 2))
        inventory.rent(Rental("g4", "b", True, 3))
        assert sum(operation.request.count for operation in inventory.pending_rentals.values()) == 53
        cloud.calls_allowed.set()
        while inventory.pending_rentals:
            await asyncio.sleep(0)
        # The maximum for one request, the largest request first; every name is used once.
        assert [(zone, count) for _, zone, count in cloud.requests] == [("a", 50), ("b", 3)]
        assert len({name for name, _, _ in cloud.requests}) == 2 and len(cluster.machines) == 53

    asyncio.run(scenario())


def test_a_rental_decided_while_another_waits_for_the_call_budget_is_sent_once():
    """A second sender once failed because the first had already sent all rentals."""

    async def scenario() -> None:
        cloud, cluster = FakeCloud(), ClusterState(settings(), {"g4": MACHINE_TYPE}, 1)
        inventory = Inventory(cloud, cluster, 3.0, OpenIntentLog())  # type: ignore[arg-type]
        inventory.rent(Rental("g4", "a", True, 2))
        cloud.calls_allowed.set()
        for _ in range(3):
            await asyncio.sleep(0)
        cloud.calls_allowed.clear()
        inventory.rent(Rental("g4", "a", False, 1))
        inventory.rent(Rental("g4", "b", False, 1))
        await asyncio.sleep(0)
        cloud.calls_allowed.set()
        while inventory.pending_rentals:
            await asyncio.sleep(0)
        assert sorted(count for _, _, count in cloud.requests) == [1, 1, 2]
        assert not [t for t in inventory._tasks if t.done() and t.exception()]

    asyncio.run(scenario())


class StuckIntentLog(OpenIntentLog):
    """An intent log without the state service: nothing gets recorded."""

    async def persist(self, operations):
        await asyncio.Event().wait()


def test_without_the_state_service_only_machines_with_cancelled_tasks_are_deleted():
    """`cancel_s` also counts during an outage, and the job's record is enough to require this deletion."""

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
