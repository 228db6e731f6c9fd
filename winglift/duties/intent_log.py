"""Intent log of external operations: each is committed under the fencing token before its call is sent to the cloud.

The log is one value of the state service. Every write of it is conditional on the leadership key and on the value's own
revision, so a replaced leader can record no more operations, and it sends none that is not recorded. Operations that
are requested together share a write; the end of an operation is written together with the next operation.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from .. import constants
from ..config.settings import State as Limits
from ..model.records import LEADER_KEY, InvalidRecord
from ..net.runtime import monotonic_time, wall_time
from ..store.client import InvalidRequest, LeaseExpired, OutcomeUnknown, RequestRejected, StateClient
from ..wire import state as state_messages
from ..wire.cloud import RentRequest
from . import intent_record
from .duty import Fence
from .external_operation import ExternalOperation, OperationEvent, OperationState

log = logging.getLogger(__name__)


class FenceLost(Exception):
    """Another node holds the leadership key, so this node can record no more operations in this term."""


def _add_no_hints(record: intent_record.IntentRecord) -> None:
    """Add no failover hints to the record."""


class IntentLog:
    """The external operations of one term and of earlier ones, each committed before it is sent."""

    def __init__(
        self,
        state: StateClient,
        limits: Limits,
        fence: Fence,
        list_lag_s: float,
        add_failover_hints: Callable[[intent_record.IntentRecord], None] = _add_no_hints,
    ) -> None:
        self.state = state
        self.fence = fence
        self.fence_lost = False  # whether the leadership key has another revision
        self.loaded = False
        self.inherited = intent_record.IntentRecord(0.0, 0)  # the record that the previous leader left
        self.rentals: dict[str, ExternalOperation] = {}
        self.deletions: dict[str, ExternalOperation] = {}
        self._add_failover_hints = add_failover_hints  # fills in the record's optional fields
        self._most_bytes = int(limits.value_kb * 1024) - constants.RECORD_HEADROOM_BYTES
        # The cloud's lists are out of date by up to twice their lag. So every list requested from now on shows the
        # operations that ended longer ago than that.
        self._keep_s = 2 * list_lag_s + constants.INTENT_LOG_KEEP_MARGIN_S
        self._version = 0
        self._base_time = wall_time()
        self._written = b""
        self._written_at = 0.0
        self._write_requested = asyncio.Event()
        self._write_finished = asyncio.Condition()
        self._awaiting_commit: set[ExternalOperation] = set()  # intended operations, to be recorded by the next write

    # -- reading -------------------------------------------------------------------------------

    async def load(self) -> None:
        """Read the log of earlier leaders, retrying until that succeeds; before it does, nothing is placed or sent."""
        while not self.loaded:
            try:
                item = await self.state.get(intent_record.INTENT_LOG_KEY, urgent=True)
            except (RequestRejected, OutcomeUnknown) as err:
                log.debug("intent log: read failed, retrying: error=%s", err)
                await asyncio.sleep(constants.INTENT_LOG_RETRY_DELAY_S)
                continue
            self._version = item.version if item is not None else 0
            if item is not None:
                try:
                    self._inherit(intent_record.decode(item.value))
                except InvalidRecord as err:
                    # Not written by this program. Operations that it may have recorded show in the cloud's list.
                    log.error("intent log: unreadable, starting anew: error=%s", err)
            self.loaded = True

    def _inherit(self, record: intent_record.IntentRecord) -> None:
        """Take over the operations of an earlier leader. Raises InvalidRecord."""
        now, wall_now = monotonic_time(), wall_time()
        for name in intent_record.unpack_names(record.deletions):
            # This leader may have decided on the same deletion already.
            operation = self.deletions.setdefault(name, ExternalOperation(name, now, inherited=True))
            operation.move(OperationEvent.RECORD, now)
        for intent in record.rentals:
            self.rentals[intent.name] = self._inherited_rental(record, intent, now, wall_now)
        self.inherited = record

    def _inherited_rental(
        self, record: intent_record.IntentRecord, intent: intent_record.RentalIntent, now: float, wall_now: float
    ) -> ExternalOperation:
        """The operation of a rental that an earlier leader recorded.

        Raises InvalidRecord if its type or zone is not in the record.
        """
        if not (0 <= intent.type < len(record.types) and 0 <= intent.zone < len(record.zones)):
            raise InvalidRecord(f"intent record: rental {intent.name} has an invalid type or zone index")
        request = RentRequest(
            intent.name, record.types[intent.type], record.zones[intent.zone], bool(intent.spot), intent.count
        )
        intended_at = now - max(0.0, wall_now - record.base_time - intent.at_s)
        operation = ExternalOperation(intent.name, intended_at, request, inherited=True)
        operation.move(OperationEvent.RECORD, now)
        if intent.machines is not None:
            operation.machines = tuple(intent_record.unpack_names(intent.machines))
            operation.move(OperationEvent.SEND, now)
            operation.move(OperationEvent.ANSWER, now)
        return operation

    # -- writing -------------------------------------------------------------------------------

    def add_intent(self, operation: ExternalOperation) -> ExternalOperation:
        """Add an operation without recording it yet; returns the existing one if its name was added before."""
        operations = self.rentals if operation.request is not None else self.deletions
        return operations.setdefault(operation.name, operation)

    async def persist(self, operations: Iterable[ExternalOperation]) -> None:
        """Wait until all these operations are committed under the fencing token. Raises FenceLost if they can't be."""
        waiting = {operation for operation in operations if operation.state is OperationState.INTENDED}
        self._awaiting_commit |= waiting
        self._write_requested.set()
        async with self._write_finished:
            while any(operation.state is OperationState.INTENDED for operation in waiting):
                if self.fence_lost:
                    raise FenceLost
                await self._write_finished.wait()

    def complete(self, operation: ExternalOperation, now: float) -> None:
        """Mark an operation as confirmed by the cloud.

        This is written with the next operation, or by itself some time later.
        """
        operation.move(OperationEvent.ANSWER, now)
        self._write_requested.set()

    def abandon(self, operation: ExternalOperation, now: float) -> None:
        """Mark an operation as certainly not executed."""
        operation.move(
            OperationEvent.REFUSE if operation.state is OperationState.SENT else OperationEvent.WITHDRAW, now
        )
        self._awaiting_commit.discard(operation)
        self._write_requested.set()

    async def run(self) -> None:
        """Write the log whenever operations wait to be recorded.

        Ended operations and failover hints alone are written only with spare write budget.
        """
        while not self.fence_lost:
            try:
                async with asyncio.timeout(constants.INTENT_LOG_POLL_INTERVAL_S):
                    await self._write_requested.wait()
            except TimeoutError:
                pass
            self._write_requested.clear()
            if not self.loaded:
                continue
            if self._awaiting_commit:
                await self._write(required=True)
            elif (
                monotonic_time() - self._written_at >= constants.INTENT_LOG_WRITE_INTERVAL_S
                and self.state.has_spare_writes(constants.PROGRESS_SPARE_WRITES_SHARE)
            ):
                await self._write(required=False)

    async def _write(self, required: bool) -> None:
        """Write the record; if not `required`, only if it differs from the last one written."""
        operations = self._operations_to_keep()
        value = self._encode_record(operations)
        if not required and value == self._written:
            return
        # Every write of a duty is conditional on the leadership key at its revision (invariant 1). This one is also
        # conditional on the log's own revision, so that an earlier write of this node that is applied late fails
        # instead of replacing a newer one.
        txn = state_messages.Transaction(
            [self.fence.condition(), state_messages.Condition(intent_record.INTENT_LOG_KEY, self._version)],
            [state_messages.Put(intent_record.INTENT_LOG_KEY, msgspec.Raw(value))],
        )
        try:
            result = await self.state.commit(txn, max_wait=constants.INTENT_LOG_TOKEN_TIMEOUT_S)
        except (RequestRejected, LeaseExpired) as err:
            level = logging.WARNING if isinstance(err, InvalidRequest) else logging.DEBUG
            log.log(level, "intent log: write rejected: error=%s", err)
            await self._retry_later()
            return
        except OutcomeUnknown as err:
            log.info("intent log: outcome of a write unknown, reading again: error=%s", err)
            await self._reread(value, operations)
            return
        if isinstance(result, state_messages.Committed):
            await self._committed(result.revision, value, operations)
        elif LEADER_KEY in result.failed:
            await self._fence_lost()
        else:
            await self._reread(value, operations)

    async def _reread(self, value: bytes, operations: list[ExternalOperation]) -> None:
        """Read the log to find out whether a write was applied; only the holder of the leadership key writes it."""
        try:
            item = await self.state.get(intent_record.INTENT_LOG_KEY, urgent=True)
        except (RequestRejected, OutcomeUnknown):
            await self._retry_later()
            return
        if item is not None and bytes(item.value) == value:
            await self._committed(item.version, value, operations)
            return
        self._version = item.version if item is not None else 0
        await self._retry_later()

    async def _committed(self, version: int, value: bytes, operations: list[ExternalOperation]) -> None:
        """Mark the operations of a committed record as recorded, and wake the callers of `persist`."""
        now = monotonic_time()
        self._version, self._written, self._written_at = version, value, now
        recorded_any = any(operation.state is OperationState.INTENDED for operation in operations)
        for operation in operations:
            operation.move(OperationEvent.RECORD, now)
        self._awaiting_commit = {
            operation for operation in self._awaiting_commit if operation.state is OperationState.INTENDED
        }
        self._remove_ended({operation.name for operation in operations})
        async with self._write_finished:
            self._write_finished.notify_all()
        if self._awaiting_commit and recorded_any:
            self._write_requested.set()
        elif self._awaiting_commit:
            # The record is full. The waiting operations are added once others have ended. The retry is delayed because
            # each attempt costs a write.
            await self._retry_later()

    def _remove_ended(self, recorded_names: set[str]) -> None:
        """Remove the operations that have ended and are no longer in the record."""
        for operations in (self.rentals, self.deletions):
            ended = [
                name for name, operation in operations.items() if not operation.is_open and name not in recorded_names
            ]
            for name in ended:
                del operations[name]

    async def _retry_later(self) -> None:
        await asyncio.sleep(constants.INTENT_LOG_RETRY_DELAY_S)
        self._write_requested.set()

    async def _fence_lost(self) -> None:
        self.fence_lost = True
        async with self._write_finished:
            self._write_finished.notify_all()

    # -- the record ----------------------------------------------------------------------------

    def _operations_to_keep(self) -> list[ExternalOperation]:
        """The operations for the next record: the open ones, and settled ones that a list may not show yet."""
        now = monotonic_time()
        candidates = [
            operation
            for operations in (self.deletions, self.rentals)
            for operation in operations.values()
            if operation.is_open
            or (operation.state is OperationState.SETTLED and now - operation.ended_at < self._keep_s)
        ]
        if self._fits(candidates):
            return candidates
        required, optional = self._by_priority(candidates)
        return required + optional[: self._count_that_fits(required, optional)]

    def _by_priority(
        self, operations: list[ExternalOperation]
    ) -> tuple[list[ExternalOperation], list[ExternalOperation]]:
        """The operations that the record must hold, and the optional ones in the order in which they are added.

        Recorded open operations are required; they always fit, as they did when they were recorded. Intended ones
        follow in the order of their intents, then ended ones, the most recent first.
        """
        required = [
            operation
            for operation in operations
            if operation.is_open and operation.state is not OperationState.INTENDED
        ]
        intended = [operation for operation in operations if operation.state is OperationState.INTENDED]
        ended = [operation for operation in operations if not operation.is_open]
        intended.sort(key=lambda operation: operation.intended_at)
        ended.sort(key=lambda operation: -operation.ended_at)
        return required, intended + ended

    def _count_that_fits(self, required: list[ExternalOperation], optional: list[ExternalOperation]) -> int:
        """The number of optional operations, from the first one on, that fit in addition to the required ones.

        Found by binary search.
        """
        low, high = 0, len(optional)
        while low < high:
            middle = (low + high + 1) // 2
            if self._fits(required + optional[:middle]):
                low = middle
            else:
                high = middle - 1
        return low

    def _fits(self, operations: list[ExternalOperation]) -> bool:
        """Whether these operations fit into one record that also has `FAILOVER_HINTS_RESERVED_BYTES` left for hints."""
        return (
            len(intent_record.encode(self._record_without_hints(operations)))
            <= self._most_bytes - constants.FAILOVER_HINTS_RESERVED_BYTES
        )

    def _record_without_hints(self, operations: list[ExternalOperation]) -> intent_record.IntentRecord:
        now, since_base_s = monotonic_time(), wall_time() - self._base_time
        record = intent_record.IntentRecord(self._base_time, self.fence.term)
        types: dict[str, int] = {}
        zones: dict[str, int] = {}
        for operation in operations:
            if operation.request is not None:
                intended_at_s = round(since_base_s - (now - operation.intended_at))
                record.rentals.append(_rental_intent(operation, operation.request, intended_at_s, types, zones))
        record.types, record.zones = list(types), list(zones)
        record.deletions = intent_record.pack_names(
            operation.name for operation in operations if operation.request is None
        )
        return record

    def _encode_record(self, operations: list[ExternalOperation]) -> bytes:
        record = self._record_without_hints(operations)
        without_hints = intent_record.encode(record)
        self._add_failover_hints(record)
        with_hints = intent_record.encode(record)
        # Operations are required and hints are not, so the hints are left out if they don't fit.
        return with_hints if len(with_hints) <= self._most_bytes else without_hints


def _rental_intent(
    operation: ExternalOperation, request: RentRequest, intended_at_s: int, types: dict[str, int], zones: dict[str, int]
) -> intent_record.RentalIntent:
    """The entry of a rental in the record. Adds its type and zone to the tables `types` and `zones` where missing."""
    return intent_record.RentalIntent(
        operation.name,
        types.setdefault(request.type, len(types)),
        zones.setdefault(request.zone, len(zones)),
        int(request.spot),
        request.count,
        intended_at_s,
        intent_record.pack_names(operation.machines) if operation.state is OperationState.SETTLED else None,
    )
