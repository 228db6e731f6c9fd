"""Machines of the leader: renting, returning, and reconciling the list with what reports show."""

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

Place = tuple[str, str, bool]  # type, zone, spot


class Inventory:
    """Rents and deletes machines for one term, and reconciles them with the cloud's list."""

    def __init__(self, cloud: CloudClient, cluster: ClusterState, list_lag_s: float, intent_log: IntentLog) -> None:
        self.cloud = cloud
        self.cluster = cluster
        self.list_lag_s = list_lag_s
        self.intent_log = intent_log
        self.pending_rentals: dict[
            str, ExternalOperation
        ] = {}  # rentals without an answer: their machines count as booting
        self.capacity_refusals: dict[Place, float] = {}  # until when it is not asked for again
        self._in_a_row: dict[Place, int] = {}  # refusals since anything was to be had there
        self.has_listed = False
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        self._unsent: dict[Place, ExternalOperation] = {}
        self._to_delete: dict[str, Machine] = {}
        self._sender: asyncio.Task | None = None

    def spawn(self, coroutine) -> asyncio.Task:  # type: ignore[no-untyped-def, type-arg]
        """Start a coroutine that ends with this term."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def stop(self) -> None:
        """End all calls of this term."""
        for task in self._tasks:
            task.cancel()

    # -- renting -------------------------------------------------------------------------------

    def rent(self, rental: Rental) -> None:
        """Ask for machines. What waits for its turn within the cloud's rate grows into one large request.

        In the first rush every cycle once queued calls of its own, of one to four machines each, for 40 s.
        """
        key = (rental.type, rental.zone, rental.spot)
        waiting = self._unsent.get(key)
        if waiting is not None and waiting.request is not None:
            waiting.request = replace(
                waiting.request, count=min(waiting.request.count + rental.count, constants.RENT_MAX)
            )
            return
        self._number += 1
        # The name holds the term, which no other node ever has: a name is never reused (invariant 6).
        name = f"t{self.cluster.term}-{self._number}"
        request = cloud_messages.Rent(
            name, rental.type, rental.zone, rental.spot, min(rental.count, constants.RENT_MAX)
        )
        self.pending_rentals[name] = self._unsent[key] = ExternalOperation(name, monotonic_time(), request)
        if self._sender is None or self._sender.done():
            # One at a time: a second one once found that the first had sent all that there was.
            self._sender = self.spawn(self._send())

    async def _send(self) -> None:
        """Send what waits, the largest request first, one whenever the cloud's rate allows a call."""
        while self._unsent:
            await self.cloud.turn()
            if not self._still_wanted():
                continue
            key = max(self._unsent, key=lambda k: _count(self._unsent[k]))
            # From here on its request stays as it is: a name stands for one request, for ever.
            operation = self.intent_log.intend(self._unsent.pop(key))
            try:
                # Recorded under the fence before it is sent: whoever follows repeats the same name, and rents nothing
                # twice.
                await self.intent_log.persist([operation])
            except FenceLost:
                return
            self.spawn(self._rent(operation))
            await asyncio.sleep(0)  # let the call take its turn

    def _still_wanted(self) -> bool:
        """Leave out what was refused since it was asked for: what waits on it finds the next choice at once.

        Such requests once went out all the same, while their tasks counted on machines that never came: in the first
        95 s of a day 95 calls were refused.
        """
        for key in [k for k in self._unsent if self.capacity_refusals.get(k, 0.0) > monotonic_time()]:
            operation = self._unsent.pop(key)
            self.pending_rentals.pop(operation.name, None)
            self.cluster.changed = True
        return bool(self._unsent)

    def _refuse(self, key: Place, now: float) -> None:
        """All of a type, zone and kind is taken: ask again later, and ever more rarely while that stays so."""
        row = self._in_a_row[key] = self._in_a_row.get(key, 0) + 1
        self.capacity_refusals[key] = now + min(
            constants.NO_CAPACITY_PAUSE_S * 2 ** (row - 1), constants.NO_CAPACITY_PAUSE_MAX_S
        )

    def _freed(self, machine: Machine) -> None:
        """One of its kind was given back: it can be had again."""
        key = (machine.type_name, machine.zone, machine.spot)
        self.capacity_refusals.pop(key, None)
        self._in_a_row.pop(key, None)

    async def _rent(self, operation: ExternalOperation) -> None:
        request = operation.request
        assert request is not None
        key = (request.type, request.zone, request.spot)
        try:
            while True:
                try:
                    operation.move(OperationEvent.SEND, monotonic_time())
                    names = await self.cloud.rent(request)
                    break
                except NoCapacity:
                    self.intent_log.abandon(operation, monotonic_time())
                    log.info(
                        "cloud refuses %d %s in %s (%s)",
                        request.count,
                        request.type,
                        request.zone,
                        "spot" if request.spot else "ordinary",
                    )
                    self._refuse(key, monotonic_time())
                    return
                except CloudError as err:
                    # The same name again: if it was carried out, the answer is the same and nothing more is rented.
                    log.info("rental %s: %s", request.request, err)
                    await asyncio.sleep(constants.CLOUD_PAUSE_S)
            now = monotonic_time()
            if len(names) < request.count:
                self._refuse(key, now)
            else:
                self._in_a_row.pop(key, None)
            log.info(
                "rented %s in %s (%s): %s",
                request.type,
                request.zone,
                "spot" if request.spot else "ordinary",
                " ".join(names),
            )
            operation.machines = tuple(names)
            self.intent_log.complete(operation, now)
            self._booting(operation, now)
        finally:
            self.pending_rentals.pop(request.request, None)
            self.cluster.changed = True

    def _booting(self, operation: ExternalOperation, now: float) -> None:
        """The machines that a rental has brought."""
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
        """Go on with what earlier holders had begun; the book is loaded."""
        for operation in [e for e in self.intent_log.deletions.values() if e.is_open]:
            machine = self.cluster.register_machine(operation.name, "", "", False, now, None)
            self.delete(machine, "an earlier term has begun to delete it")
        for operation in list(self.intent_log.rentals.values()):
            if operation.is_open:
                self.pending_rentals[operation.name] = operation
                self.spawn(self._rent(operation))
            else:
                self._booting(operation, now)
        self.cluster.changed = True

    def pending_pools(self) -> list[tuple[str, str]]:
        """Type and zone of each machine that is asked for and not answered yet."""
        return [
            (a.request.type, a.request.zone)
            for a in self.pending_rentals.values()
            if a.request is not None
            for _ in range(a.request.count)
        ]

    def current_refusals(self, now: float) -> set[tuple[str, str, bool]]:
        """Type, zone and kind (spot) of what the cloud has refused lately."""
        self.capacity_refusals = {k: t for k, t in self.capacity_refusals.items() if t > now}
        return set(self.capacity_refusals)

    # -- returning -----------------------------------------------------------------------------

    def delete(self, machine: Machine, why: str) -> None:
        """Delete a machine: nothing is placed there from now on, whatever becomes of the call."""
        if machine.state is MachineState.DELETING or machine.name in self._to_delete:
            return
        operation = self.intent_log.intend(ExternalOperation(machine.name, monotonic_time()))
        # What an earlier term has begun is told in one line (`take_over`): most of it is gone already.
        log.log(
            logging.DEBUG if operation.inherited and not machine.tasks else logging.INFO,
            "deletes %s in %s: %s (%d tasks)",
            machine.name,
            machine.zone,
            why,
            len(machine.tasks),
        )
        # From here on nothing is placed there, by this holder or by a later one (invariant 2): once its deletion may
        # have been sent, it may be carried out minutes from now.
        machine.move(MachineEvent.DELETE)
        self._to_delete[machine.name] = machine
        if len(self._to_delete) == 1:
            self.spawn(self._delete())

    async def _delete(self) -> None:
        while self._to_delete:
            # What holds a cancelled task goes first, and by itself: a leader in doubt may still delete that.
            urgent = [n for n, m in self._to_delete.items() if holds_cancelled(m)]
            batch = {n: self._to_delete[n] for n in (urgent or list(self._to_delete))[: constants.DELETE_MAX]}
            operations = [self.intent_log.deletions[n] for n in batch]
            try:
                async with asyncio.timeout(constants.DELETE_RECORD_S):
                    await self.intent_log.persist(operations)
            except TimeoutError:
                # What a committed cancellation demands is recorded in the job: it goes without the book.
                if not urgent:
                    continue
            except FenceLost:
                return
            for operation in operations:
                operation.move(
                    OperationEvent.SEND
                    if operation.state is not OperationState.INTENDED
                    else OperationEvent.SEND_UNRECORDED,
                    monotonic_time(),
                )
            try:
                await self.cloud.delete(list(batch), ends=bool(urgent))
            except CloudError as err:
                # Unanswered is not undone: the machines stay out of use, and the deletion is repeated.
                log.info("deletion: %s", err)
                await asyncio.sleep(constants.CLOUD_PAUSE_S)
                continue
            now = monotonic_time()
            for operation in operations:
                self.intent_log.complete(operation, now)
            for name, machine in batch.items():
                self._to_delete.pop(name, None)
                self._freed(machine)
                self.cluster.remove_machine(machine, now)

    # -- the list ------------------------------------------------------------------------------

    async def run(self) -> None:
        """Reconcile with the list every LIST_EVERY_S."""
        while True:
            try:
                asked = monotonic_time()
                listed = await self.cloud.list()
                self.reconcile(listed, monotonic_time(), asked)
                self.has_listed = True
            except CloudError as err:
                log.info("machine list: %s", err)
            await asyncio.sleep(constants.LIST_EVERY_S)

    def reconcile(self, listed: list[cloud_messages.Listed], now: float, asked: float) -> None:
        """Take in a list that was asked for at that time; it is up to twice its lag older."""
        cluster = self.cluster
        shown = {entry.name for entry in listed}
        oldest = asked - 2 * self.list_lag_s - constants.INTENT_LOG_KEEP_MARGIN_S
        for machine in list(cluster.machines.values()):
            if (
                machine.name not in shown
                and machine.state is MachineState.BOOTING
                and not machine.tasks
                and machine.rented_at < oldest
            ):
                # It must have been listed, and would be still: it was taken before it came up.
                self.delete(machine, "in no list any more")
        for entry in listed:
            if entry.name in cluster.deleted_machines:
                continue
            known = entry.name in cluster.machines
            machine = cluster.register_machine(entry.name, entry.type, entry.zone, entry.spot, now, entry.age_s)
            if not known:
                log.info("the list shows %s (%s, %s)", entry.name, entry.zone, entry.state)
                if entry.state == "booting":
                    machine.state = MachineState.BOOTING
                cluster.changed = True
            if entry.addr and not machine.addr:
                machine.addr = entry.addr
            if entry.state == "failed":
                self.delete(machine, "stopped on its own")
        # A name that was deleted long ago can't show up in a list any more.
        horizon = now - 600.0
        for name in [n for n, t in cluster.deleted_machines.items() if t < horizon]:
            del cluster.deleted_machines[name]


def _count(operation: ExternalOperation) -> int:
    return operation.request.count if operation.request is not None else 0


def holds_cancelled(machine: Machine) -> bool:
    """Does the machine hold a task of a cancelled job?"""
    return any(t.job.state is JobState.CANCELLED for t in machine.tasks.values())
