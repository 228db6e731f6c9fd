"""The leader's machines: renting, deleting, and reconciliation with the cloud's list."""

from __future__ import annotations

import asyncio
import logging

from msgspec.structs import replace

from .. import constants
from ..duties.external_operation import ExternalOperation, OperationEvent, OperationState
from ..duties.intent_log import FenceLost, IntentLog
from ..model.cluster_state import ClusterState
from ..model.entities import Machine
from ..model.job_state import JobState
from ..model.machine_state import MachineEvent, MachineState
from ..net.runtime import monotonic_time
from ..policy.snapshot import Rental
from ..wire import cloud as cloud_messages
from .client import CloudClient, CloudError, NoCapacity

log = logging.getLogger(__name__)

MachinePool = tuple[str, str, bool]  # type, zone, spot

DELETED_NAME_KEPT_S = 600.0  # s for which the names of deleted machines are kept


class Inventory:
    """Rents and deletes machines for one term, and reconciles them with the cloud's list."""

    def __init__(self, cloud: CloudClient, cluster: ClusterState, list_lag_s: float, intent_log: IntentLog) -> None:
        """`list_lag_s`: the usual lag of the cloud's list; `intent_log`: that of this term."""
        self.cloud = cloud
        self.cluster = cluster
        self.list_lag_s = list_lag_s
        self.intent_log = intent_log
        # Unanswered rentals, by name: their machines count as booting.
        self.pending_rentals: dict[str, ExternalOperation] = {}
        self.capacity_refusals: dict[MachinePool, float] = {}  # monotonic time until which no machine is requested
        self._refusals_in_a_row: dict[MachinePool, int] = {}  # refusals since the cloud last had capacity
        self.has_listed = False
        self._last_rental_number = 0
        self._tasks: set[asyncio.Task] = set()
        self._unsent: dict[MachinePool, ExternalOperation] = {}
        self._to_delete: dict[str, Machine] = {}
        self._sender: asyncio.Task | None = None

    def spawn(self, coroutine) -> asyncio.Task:  # type: ignore[no-untyped-def, type-arg]
        """Run a coroutine as a task that is cancelled at the end of this term."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def stop(self) -> None:
        """Cancel all calls of this term."""
        for task in self._tasks:
            task.cancel()

    # -- renting -------------------------------------------------------------------------------

    def rent(self, rental: Rental) -> None:
        """Request machines. Rentals of a pool that wait for the call budget are merged into one large request.

        Before they were merged, each cycle in the first burst of jobs queued separate calls for one to four machines
        each, for 40 s.
        """
        pool = (rental.type, rental.zone, rental.spot)
        unsent = self._unsent.get(pool)
        if unsent is not None and unsent.request is not None:
            unsent.request = replace(
                unsent.request, count=min(unsent.request.count + rental.count, constants.MACHINES_PER_RENTAL_MAX)
            )
            return
        self._last_rental_number += 1
        # The name contains the term, which no other node ever has, so that no name is reused (invariant 6).
        name = f"t{self.cluster.term}-{self._last_rental_number}"
        request = cloud_messages.RentRequest(
            name, rental.type, rental.zone, rental.spot, min(rental.count, constants.MACHINES_PER_RENTAL_MAX)
        )
        self.pending_rentals[name] = self._unsent[pool] = ExternalOperation(name, monotonic_time(), request)
        if self._sender is None or self._sender.done():
            # One sender at a time: a second one once failed because the first had already sent all rentals.
            self._sender = self.spawn(self._send())

    async def _send(self) -> None:
        """Send the unsent rentals, the largest first, one whenever the call budget allows it."""
        while self._unsent:
            await self.cloud.wait_for_budget()
            if not self._withdraw_refused():
                continue
            pool = max(self._unsent, key=lambda candidate: _count(self._unsent[candidate]))
            # The request does not change from here on: a name always stands for the same request.
            operation = self.intent_log.add_intent(self._unsent.pop(pool))
            try:
                # Recorded under the fence before it is sent: the next leader repeats it under the same name, and rents
                # nothing twice.
                await self.intent_log.persist([operation])
            except FenceLost:
                return
            self.spawn(self._rent(operation))
            await asyncio.sleep(0)  # let the call use the budget first

    def _withdraw_refused(self) -> bool:
        """Withdraw unsent rentals of pools refused meanwhile; return whether any rental is left.

        Tasks that waited for such machines get their next choice at once. While these requests were still sent, tasks
        waited for machines that never came: 95 calls were refused in the first 95 s of a day.
        """
        refused = [pool for pool in self._unsent if self.capacity_refusals.get(pool, 0.0) > monotonic_time()]
        for pool in refused:
            operation = self._unsent.pop(pool)
            self.pending_rentals.pop(operation.name, None)
            self.cluster.changed = True
        return bool(self._unsent)

    def _note_refusal(self, pool: MachinePool, now: float) -> None:
        """Record that a pool has no capacity: it is requested again later, with exponential backoff."""
        refusals = self._refusals_in_a_row[pool] = self._refusals_in_a_row.get(pool, 0) + 1
        self.capacity_refusals[pool] = now + min(
            constants.CAPACITY_REFUSAL_BACKOFF_S * 2 ** (refusals - 1), constants.CAPACITY_REFUSAL_BACKOFF_MAX_S
        )

    def _clear_refusal(self, machine: Machine) -> None:
        """Clear the refusals of a deleted machine's pool: the deletion has freed capacity."""
        pool = (machine.type_name, machine.zone, machine.spot)
        self.capacity_refusals.pop(pool, None)
        self._refusals_in_a_row.pop(pool, None)

    async def _rent(self, operation: ExternalOperation) -> None:
        """Send a recorded rental until the cloud answers it."""
        request = operation.request
        assert request is not None
        try:
            names = await self._request_machines(operation, request)
            if names is not None:
                self._on_rented(operation, request, names)
        finally:
            self.pending_rentals.pop(request.request, None)
            self.cluster.changed = True

    async def _request_machines(
        self, operation: ExternalOperation, request: cloud_messages.RentRequest
    ) -> list[str] | None:
        """Send a rental until it is answered; return the machines' names, or None if the cloud has no capacity."""
        while True:
            try:
                operation.move(OperationEvent.SEND, monotonic_time())
                return await self.cloud.rent(request)
            except NoCapacity:
                self.intent_log.abandon(operation, monotonic_time())
                log.info(
                    "rental: refused, no capacity: count=%d type=%s zone=%s kind=%s",
                    request.count,
                    request.type,
                    request.zone,
                    _kind(request),
                )
                self._note_refusal(_pool(request), monotonic_time())
                return None
            except CloudError as err:
                # Retried under the same name: if it was executed, the answer is the same and nothing more is rented.
                log.info("rental: request failed: name=%s error=%s", request.request, err)
                await asyncio.sleep(constants.CLOUD_RETRY_DELAY_S)

    def _on_rented(self, operation: ExternalOperation, request: cloud_messages.RentRequest, names: list[str]) -> None:
        now = monotonic_time()
        if len(names) < request.count:
            self._note_refusal(_pool(request), now)
        else:
            self._refusals_in_a_row.pop(_pool(request), None)
        log.info(
            "rental: machines rented: type=%s zone=%s kind=%s machines=%s",
            request.type,
            request.zone,
            _kind(request),
            " ".join(names),
        )
        operation.machines = tuple(names)
        self.intent_log.complete(operation, now)
        self._register_booting(operation, now)

    def _register_booting(self, operation: ExternalOperation, now: float) -> None:
        """Register the machines of an answered rental, except those deleted since."""
        request = operation.request
        assert request is not None
        for name in operation.machines:
            if name in self.cluster.deleted_machines or name in self.intent_log.deletions:
                continue
            machine = self.cluster.register_machine(
                name,
                request.type,
                request.zone,
                request.spot,
                now,
                now - operation.intended_at if operation.inherited else 0.0,
            )
            if machine.state is MachineState.INHERITED and machine.last_heard is None:
                machine.state = MachineState.BOOTING

    def resume_operations(self, now: float) -> None:
        """Continue the rentals and deletions that earlier terms began. Called once the intent log is loaded."""
        for operation in [deletion for deletion in self.intent_log.deletions.values() if deletion.is_open]:
            machine = self.cluster.register_machine(operation.name, "", "", False, now, None)
            self.delete(machine, "deletion begun by an earlier term")
        for operation in list(self.intent_log.rentals.values()):
            if operation.is_open:
                self.pending_rentals[operation.name] = operation
                self.spawn(self._rent(operation))
            else:
                self._register_booting(operation, now)
        self.cluster.changed = True

    def pending_pools(self) -> list[tuple[str, str]]:
        """Type and zone of each machine of the unanswered rentals."""
        return [
            (operation.request.type, operation.request.zone)
            for operation in self.pending_rentals.values()
            if operation.request is not None
            for _ in range(operation.request.count)
        ]

    def current_refusals(self, now: float) -> set[MachinePool]:
        """The pools that the cloud has refused and that are not to be requested yet."""
        self.capacity_refusals = {pool: until for pool, until in self.capacity_refusals.items() if until > now}
        return set(self.capacity_refusals)

    # -- deleting ------------------------------------------------------------------------------

    def delete(self, machine: Machine, reason: str) -> None:
        """Delete a machine. Nothing is placed on it from now on, whether the call succeeds or not."""
        if machine.state is MachineState.DELETING or machine.name in self._to_delete:
            return
        operation = self.intent_log.add_intent(ExternalOperation(machine.name, monotonic_time()))
        # The failover logs deletions begun by an earlier term in one line: most of these machines are gone already.
        log.log(
            logging.DEBUG if operation.inherited and not machine.tasks else logging.INFO,
            "machine: deletion decided: machine=%s zone=%s reason=%s tasks=%d",
            machine.name,
            machine.zone,
            reason,
            len(machine.tasks),
        )
        # From here on neither this term nor a later one places anything on it (invariant 2): once its deletion may have
        # been sent, it may be executed minutes later.
        machine.move(MachineEvent.DELETE)
        self._to_delete[machine.name] = machine
        if len(self._to_delete) == 1:
            self.spawn(self._delete())

    async def _delete(self) -> None:
        while self._to_delete:
            # Machines that hold cancelled tasks go first, in a request of their own: a leader whose lease is in doubt
            # may still delete them.
            urgent = [name for name, machine in self._to_delete.items() if holds_cancelled_task(machine)]
            batch = {
                name: self._to_delete[name]
                for name in (urgent or list(self._to_delete))[: constants.MACHINES_PER_DELETION_MAX]
            }
            operations = [self.intent_log.deletions[name] for name in batch]
            try:
                async with asyncio.timeout(constants.DELETION_RECORD_TIMEOUT_S):
                    await self.intent_log.persist(operations)
            except TimeoutError:
                # A deletion that a committed cancellation requires is recorded in the job: it needs no intent log.
                if not urgent:
                    continue
            except FenceLost:
                return
            for operation in operations:
                _move_to_sent(operation)
            try:
                await self.cloud.delete(list(batch), for_cancellation=bool(urgent))
            except CloudError as err:
                # A deletion without an answer may have been executed: the machines stay out of use, and it is retried.
                log.info("deletion: request failed: error=%s", err)
                await asyncio.sleep(constants.CLOUD_RETRY_DELAY_S)
                continue
            self._on_deleted(batch, operations)

    def _on_deleted(self, batch: dict[str, Machine], operations: list[ExternalOperation]) -> None:
        now = monotonic_time()
        for operation in operations:
            self.intent_log.complete(operation, now)
        for name, machine in batch.items():
            self._to_delete.pop(name, None)
            self._clear_refusal(machine)
            self.cluster.remove_machine(machine, now)

    # -- reconciliation ------------------------------------------------------------------------

    async def run(self) -> None:
        """Reconcile with the cloud's list every `MACHINE_LIST_INTERVAL_S`."""
        while True:
            try:
                requested_at = monotonic_time()
                listed = await self.cloud.list()
                self.reconcile(listed, monotonic_time(), requested_at)
                self.has_listed = True
            except CloudError as err:
                log.info("machine list: request failed: error=%s", err)
            await asyncio.sleep(constants.MACHINE_LIST_INTERVAL_S)

    def reconcile(self, listed: list[cloud_messages.ListedMachine], now: float, requested_at: float) -> None:
        """Reconcile with a list requested at `requested_at` (monotonic), which may be older by twice the list lag."""
        self._delete_unlisted({entry.name for entry in listed}, requested_at)
        for entry in listed:
            if entry.name not in self.cluster.deleted_machines:
                self._reconcile_entry(entry, now)
        # Names deleted long ago can no longer appear in a list.
        horizon = now - DELETED_NAME_KEPT_S
        for name in [name for name, at in self.cluster.deleted_machines.items() if at < horizon]:
            del self.cluster.deleted_machines[name]

    def _delete_unlisted(self, listed_names: set[str], requested_at: float) -> None:
        """Delete booting machines that would be listed if they still existed."""
        rented_before = requested_at - 2 * self.list_lag_s - constants.INTENT_LOG_KEEP_MARGIN_S
        for machine in list(self.cluster.machines.values()):
            if (
                machine.name not in listed_names
                and machine.state is MachineState.BOOTING
                and not machine.tasks
                and machine.rented_at < rented_before
            ):
                # It was rented so long ago that it must be listed if it exists: it was reclaimed while booting.
                self.delete(machine, "not listed any more")

    def _reconcile_entry(self, entry: cloud_messages.ListedMachine, now: float) -> None:
        known = entry.name in self.cluster.machines
        machine = self.cluster.register_machine(entry.name, entry.type, entry.zone, entry.spot, now, entry.age_s)
        if not known:
            log.info(
                "machine: discovered in the list: machine=%s zone=%s state=%s", entry.name, entry.zone, entry.state
            )
            if entry.state == "booting":
                machine.state = MachineState.BOOTING
            self.cluster.changed = True
        if entry.addr and not machine.addr:
            machine.addr = entry.addr
        if entry.state == "failed":
            self.delete(machine, "failed on its own")


def _count(operation: ExternalOperation) -> int:
    return operation.request.count if operation.request is not None else 0


def _pool(request: cloud_messages.RentRequest) -> MachinePool:
    return request.type, request.zone, request.spot


def _kind(request: cloud_messages.RentRequest) -> str:
    return "spot" if request.spot else "ordinary"


def _move_to_sent(operation: ExternalOperation) -> None:
    recorded = operation.state is not OperationState.INTENDED
    operation.move(OperationEvent.SEND if recorded else OperationEvent.SEND_UNRECORDED, monotonic_time())


def holds_cancelled_task(machine: Machine) -> bool:
    """Whether the machine holds a task of a cancelled job."""
    return any(task.job.state is JobState.CANCELLED for task in machine.tasks.values())
