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

DELETED_NAME_KEPT_S = 600.0  # s for which the name of a deleted machine is kept


class Inventory:
    """Rents and deletes machines for one term, and reconciles them with the cloud's list."""

    def __init__(self, cloud: CloudClient, cluster: ClusterState, list_lag_s: float, intent_log: IntentLog) -> None:
        """`list_lag_s`: the usual lag of the cloud's list; `intent_log`: that of this term."""
        self.cloud = cloud
        self.cluster = cluster
        self.list_lag_s = list_lag_s
        self.intent_log = intent_log
        # Rentals without an answer, by name: their machines count as booting.
        self.pending_rentals: dict[str, ExternalOperation] = {}
        self.capacity_refusals: dict[MachinePool, float] = {}  # monotonic time until which none is requested
        self._refusals_in_a_row: dict[MachinePool, int] = {}  # refusals since the cloud last had capacity
        self.has_listed = False
        self._number = 0
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
        """Request machines. Rentals of a pool that wait for the cloud's rate are merged into one large request.

        In the first rush every cycle once queued calls of its own, of one to four machines each, for 40 s.
        """
        pool = (rental.type, rental.zone, rental.spot)
        waiting = self._unsent.get(pool)
        if waiting is not None and waiting.request is not None:
            waiting.request = replace(
                waiting.request, count=min(waiting.request.count + rental.count, constants.MACHINES_PER_RENTAL_MAX)
            )
            return
        self._number += 1
        # The name holds the term, which no other node ever has: a name is never reused (invariant 6).
        name = f"t{self.cluster.term}-{self._number}"
        request = cloud_messages.RentRequest(
            name, rental.type, rental.zone, rental.spot, min(rental.count, constants.MACHINES_PER_RENTAL_MAX)
        )
        self.pending_rentals[name] = self._unsent[pool] = ExternalOperation(name, monotonic_time(), request)
        if self._sender is None or self._sender.done():
            # One sender at a time: a second one once found that the first had sent all that there was.
            self._sender = self.spawn(self._send())

    async def _send(self) -> None:
        """Send the waiting rentals, the largest first, one whenever the cloud's rate allows a call."""
        while self._unsent:
            await self.cloud.wait_for_budget()
            if not self._withdraw_refused():
                continue
            pool = max(self._unsent, key=lambda candidate: _count(self._unsent[candidate]))
            # From here on its request stays as it is: a name stands for one request, for ever.
            operation = self.intent_log.add_intent(self._unsent.pop(pool))
            try:
                # Recorded under the fence before it is sent: a successor repeats the name, and rents nothing twice.
                await self.intent_log.persist([operation])
            except FenceLost:
                return
            self.spawn(self._rent(operation))
            await asyncio.sleep(0)  # let the call take its turn

    def _withdraw_refused(self) -> bool:
        """Withdraw rentals of pools refused meanwhile; whether any is left. Their tasks find the next choice at once.

        Such requests once went out all the same, while their tasks counted on machines that never came: in the first
        95 s of a day 95 calls were refused.
        """
        refused = [pool for pool in self._unsent if self.capacity_refusals.get(pool, 0.0) > monotonic_time()]
        for pool in refused:
            operation = self._unsent.pop(pool)
            self.pending_rentals.pop(operation.name, None)
            self.cluster.changed = True
        return bool(self._unsent)

    def _note_refusal(self, pool: MachinePool, now: float) -> None:
        """Note that a pool has no capacity: request again later, with exponential backoff while it is refused."""
        refusals = self._refusals_in_a_row[pool] = self._refusals_in_a_row.get(pool, 0) + 1
        self.capacity_refusals[pool] = now + min(
            constants.CAPACITY_REFUSAL_BACKOFF_S * 2 ** (refusals - 1), constants.CAPACITY_REFUSAL_BACKOFF_MAX_S
        )

    def _clear_refusal(self, machine: Machine) -> None:
        """Forget the refusals of a machine's pool: it has capacity again, since this machine was deleted."""
        pool = (machine.type_name, machine.zone, machine.spot)
        self.capacity_refusals.pop(pool, None)
        self._refusals_in_a_row.pop(pool, None)

    async def _rent(self, operation: ExternalOperation) -> None:
        """Carry out a rental that is recorded, until the cloud has answered it."""
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
        """Repeat a rental until it is answered: the machines' names, or None if the cloud refuses it."""
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
                # The same name again: if it was carried out, the answer is the same and nothing more is rented.
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
        """Continue the rentals and deletions that earlier terms had begun; the intent log is loaded."""
        for operation in [each for each in self.intent_log.deletions.values() if each.is_open]:
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
        """Type and zone of each machine that is requested and not answered yet."""
        return [
            (operation.request.type, operation.request.zone)
            for operation in self.pending_rentals.values()
            if operation.request is not None
            for _ in range(operation.request.count)
        ]

    def current_refusals(self, now: float) -> set[MachinePool]:
        """The pools that the cloud has refused and that are not requested again yet."""
        self.capacity_refusals = {pool: until for pool, until in self.capacity_refusals.items() if until > now}
        return set(self.capacity_refusals)

    # -- deleting ------------------------------------------------------------------------------

    def delete(self, machine: Machine, reason: str) -> None:
        """Delete a machine: nothing is placed there from now on, whether the call succeeds or not."""
        if machine.state is MachineState.DELETING or machine.name in self._to_delete:
            return
        operation = self.intent_log.add_intent(ExternalOperation(machine.name, monotonic_time()))
        # Deletions begun by an earlier term are logged in one line by the failover: most machines are gone already.
        log.log(
            logging.DEBUG if operation.inherited and not machine.tasks else logging.INFO,
            "machine: deletion decided: machine=%s zone=%s reason=%s tasks=%d",
            machine.name,
            machine.zone,
            reason,
            len(machine.tasks),
        )
        # From here on nothing is placed there, by this term or by a later one (invariant 2): once its deletion may
        # have been sent, it may be carried out minutes from now.
        machine.move(MachineEvent.DELETE)
        self._to_delete[machine.name] = machine
        if len(self._to_delete) == 1:
            self.spawn(self._delete())

    async def _delete(self) -> None:
        while self._to_delete:
            # A machine that holds a cancelled task goes first, in a request without others: a leader in doubt may still
            # delete it.
            urgent = [name for name, machine in self._to_delete.items() if holds_cancelled(machine)]
            batch = {
                name: self._to_delete[name]
                for name in (urgent or list(self._to_delete))[: constants.MACHINES_PER_DELETION_MAX]
            }
            operations = [self.intent_log.deletions[name] for name in batch]
            try:
                async with asyncio.timeout(constants.DELETION_RECORD_TIMEOUT_S):
                    await self.intent_log.persist(operations)
            except TimeoutError:
                # What a committed cancellation demands is recorded in the job: it is sent without the intent log.
                if not urgent:
                    continue
            except FenceLost:
                return
            for operation in operations:
                _move_to_sent(operation)
            try:
                await self.cloud.delete(list(batch), for_cancellation=bool(urgent))
            except CloudError as err:
                # A deletion without an answer may have been carried out: the machines stay out of use, and it is
                # repeated.
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
        """Reconcile with the cloud's list every MACHINE_LIST_INTERVAL_S."""
        while True:
            try:
                asked = monotonic_time()
                listed = await self.cloud.list()
                self.reconcile(listed, monotonic_time(), asked)
                self.has_listed = True
            except CloudError as err:
                log.info("machine list: request failed: error=%s", err)
            await asyncio.sleep(constants.MACHINE_LIST_INTERVAL_S)

    def reconcile(self, listed: list[cloud_messages.ListedMachine], now: float, asked: float) -> None:
        """Reconcile with a list requested at the monotonic time `asked`; it describes up to twice its lag earlier."""
        self._delete_unlisted({entry.name for entry in listed}, asked)
        for entry in listed:
            if entry.name not in self.cluster.deleted_machines:
                self._reconcile_entry(entry, now)
        # A name that was deleted long ago can't appear in a list any more.
        horizon = now - DELETED_NAME_KEPT_S
        for name in [name for name, at in self.cluster.deleted_machines.items() if at < horizon]:
            del self.cluster.deleted_machines[name]

    def _delete_unlisted(self, listed_names: set[str], asked: float) -> None:
        """Delete booting machines that the list must have shown if they still existed."""
        oldest = asked - 2 * self.list_lag_s - constants.INTENT_LOG_KEEP_MARGIN_S
        for machine in list(self.cluster.machines.values()):
            if (
                machine.name not in listed_names
                and machine.state is MachineState.BOOTING
                and not machine.tasks
                and machine.rented_at < oldest
            ):
                # It must have been listed, and would be still: it was reclaimed before it came up.
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


def holds_cancelled(machine: Machine) -> bool:
    """Whether the machine holds a task of a cancelled job."""
    return any(task.job.state is JobState.CANCELLED for task in machine.tasks.values())
