"""Duty and operation state machines, the intent record, and the intent log with a faulty state service."""

from __future__ import annotations

import asyncio
import itertools
import math

import msgspec
import pytest
from helpers import run_simulated, settings
from hypothesis import given
from hypothesis import strategies as st

from winglift.duties import duty, external_operation, intent_record
from winglift.duties.duty import Duties, DutyName, Fence
from winglift.duties.external_operation import ExternalOperation
from winglift.duties.intent_log import FenceLost, IntentLog
from winglift.model.leadership import Leadership, Role, RoleEvent
from winglift.model.records import InvalidRecord
from winglift.model.task_state import InvalidTransition
from winglift.store.client import Health, OutcomeUnknown, RequestRejected, StateClient
from winglift.wire import state as state_messages
from winglift.wire.cloud import RentRequest

LIMITS = settings().settings.state


def rental(number: int, count: int = 2) -> ExternalOperation:
    return ExternalOperation(
        f"t3-{number}", 1000.0 + number, RentRequest(f"t3-{number}", "g4", "ab"[number % 2], False, count)
    )


# -- state machines ----------------------------------------------------------------------------


def test_final_states_of_a_duty_are_final_and_only_a_held_duty_may_act():
    for state, event in itertools.product(duty.DutyState, duty.DutyEvent):
        tested_duty = duty.Duty(DutyName.CLOUD_OPERATIONS, Fence(3, 77), state)
        new_state = tested_duty.move(event)
        if state in (duty.DutyState.LOST, duty.DutyState.RELINQUISHED):
            assert new_state is state
        if event is duty.DutyEvent.LOSE and state is not duty.DutyState.RELINQUISHED:
            assert new_state is duty.DutyState.LOST
        # A node comes to hold a duty only once it knows the previous holder's operations, or when it renews a lease
        # that was in doubt.
        if new_state is duty.DutyState.HELD and state is not duty.DutyState.HELD:
            assert (state, event) in (
                (duty.DutyState.ACQUIRING, duty.DutyEvent.READY),
                (duty.DutyState.IN_DOUBT, duty.DutyEvent.RENEW),
            )


@given(st.lists(st.tuples(st.sampled_from([*RoleEvent, "know", "again"]), st.floats(0.0, 4.0)), max_size=30))
def test_a_duty_is_held_only_within_the_lease_and_in_the_term_in_which_it_was_acquired(steps):
    leadership, now = Leadership(), 0.0
    leadership.move(RoleEvent.CAMPAIGN)
    leadership.move(RoleEvent.WON)
    leadership.term, leadership.revision = 3, 77
    leadership.extend_lease(now, 3.0)
    duties = Duties(leadership)
    known = lost = False
    for step, pause in steps:
        now += pause
        if step == "know":
            duties.mark_ready(DutyName.CLOUD_OPERATIONS)
            known = True
        elif step == "again":  # the node is elected again: these duties belong to the previous term
            leadership.term += 1
        else:
            if step is RoleEvent.RENEWED and leadership.role in (Role.LEADER, Role.LEASE_IN_DOUBT):
                leadership.extend_lease(now, 3.0)
            leadership.move(step)
        duties.sync_with_lease()
        lost = lost or leadership.role not in (Role.LEADER, Role.LEASE_IN_DOUBT) or leadership.term != 3
        may = duties.may_act(DutyName.CLOUD_OPERATIONS, now)
        assert may == (known and not lost and leadership.role is Role.LEADER and now < leadership.valid_until)
        assert duties[DutyName.CLOUD_OPERATIONS].state in (
            (duty.DutyState.LOST,) if lost else (duty.DutyState.ACQUIRING, duty.DutyState.HELD, duty.DutyState.IN_DOUBT)
        )


def test_no_operation_is_sent_before_it_is_recorded_except_deletions_for_cancellations():
    for state, event in itertools.product(external_operation.OperationState, external_operation.OperationEvent):
        operation = ExternalOperation("vm-1", 0.0, state=state)
        try:
            new_state = operation.move(event, 5.0)
        except InvalidTransition:
            assert operation.state is state and operation.ended_at == math.inf
            continue
        if new_state is external_operation.OperationState.SENT and state is external_operation.OperationState.INTENDED:
            assert event is external_operation.OperationEvent.SEND_UNRECORDED
        if not operation.is_open:
            assert operation.ended_at == 5.0
        assert new_state not in (external_operation.OperationState.SETTLED,) or state in (
            external_operation.OperationState.SENT,
            external_operation.OperationState.SETTLED,
        )


# -- the intent record ----------------------------------------------------------------------------------

NAMES = st.lists(
    st.one_of(
        st.from_regex(r"vm-[0-9]{6}", fullmatch=True),
        st.from_regex(r"[a-z|= ]{0,4}[0-9]{0,3}", fullmatch=True),
        st.text(max_size=6),
    ).filter(bool),
    unique=True,
    max_size=40,
)


@given(NAMES)
def test_unpacking_restores_packed_machine_names(names):
    assert sorted(intent_record.unpack_names(intent_record.pack_names(names))) == sorted(names)


@given(st.text("vm-|=0123456789, %", max_size=30))
def test_unpacking_arbitrary_text_succeeds_or_raises_invalid_record(text):
    try:
        assert all(isinstance(name, str) for name in intent_record.unpack_names(text))
    except InvalidRecord:
        pass


def test_a_hundred_consecutive_machine_names_take_few_bytes():
    assert len(intent_record.pack_names(f"vm-{n:06d}" for n in range(407, 507))) < 20
    with pytest.raises(InvalidRecord):
        intent_record.unpack_names("vm-|6|1-99999999999999")


# -- the intent log ----------------------------------------------------------------------------------


class FakeStateService:
    """The key of the intent log and the leadership key. Writes are handled as planned.

    "refused": rejected; "lost": applied, but the answer is lost; "late": delayed until the test applies it; otherwise
    applied and answered.
    """

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.version, self.leader = 0, 77
        self.plan: list[str] = []
        self.delayed: list[state_messages.Transaction] = []
        self.writes = 0

    _limits = LIMITS
    has_spare_writes = StateClient.has_spare_writes

    def health(self) -> Health:
        return Health.GOOD

    def available_writes(self) -> int:
        return 100

    async def get(self, key, urgent=False):
        return (
            None
            if self.value is None
            else state_messages.Item(intent_record.INTENT_LOG_KEY, msgspec.Raw(self.value), self.version)
        )

    def apply(self, txn: state_messages.Transaction) -> state_messages.Committed | state_messages.Conflict:
        versions = {"leader": self.leader, intent_record.INTENT_LOG_KEY: self.version}
        failed = [c.key for c in txn.conditions if versions[c.key] != c.version]
        if failed:
            return state_messages.Conflict(failed)
        self.version += 1
        self.writes += 1
        self.value = bytes(txn.changes[0].value)
        return state_messages.Committed(self.version)

    async def commit(self, txn, max_wait=0.0):
        outcome = self.plan.pop(0) if self.plan else "fine"
        if outcome == "refused":
            raise RequestRejected("503")
        if outcome == "late":
            self.delayed.append(txn)
            raise OutcomeUnknown("no answer")
        result = self.apply(txn)
        if outcome == "lost":
            raise OutcomeUnknown("no answer")
        return result


def intent_log(service: FakeStateService, term: int = 3, list_lag_s: float = 3.0) -> IntentLog:
    return IntentLog(service, LIMITS, Fence(term, service.leader), list_lag_s)  # type: ignore[arg-type]


async def run_with_log(log: IntentLog, work) -> None:
    await log.load()
    task = asyncio.ensure_future(log.run())
    try:
        await work
    finally:
        task.cancel()


@given(st.lists(st.sampled_from(["fine", "refused", "lost", "late"]), max_size=5), st.integers(1, 6))
def test_a_successor_reads_what_was_recorded_whatever_writes_fail(plan, count):
    async def scenario() -> None:
        service, operations = FakeStateService(), [rental(n) for n in range(count)]
        service.plan = list(plan)
        log = intent_log(service)

        async def work() -> None:
            for operation in operations:
                log.add_intent(operation)
                if service.delayed:
                    service.apply(service.delayed.pop(0))  # a delayed write of an earlier operation
                await log.persist([operation])
                assert operation.state is external_operation.OperationState.RECORDED
                successor_log = intent_log(service, term=4)
                await successor_log.load()
                assert (
                    operation.name in successor_log.rentals
                    and successor_log.rentals[operation.name].request == operation.request
                )
            service.leader = 99
            with pytest.raises(FenceLost):
                await log.persist([log.add_intent(rental(50))])
            assert all(isinstance(service.apply(txn), state_messages.Conflict) for txn in service.delayed)

        await run_with_log(log, work())

    run_simulated(scenario())


@pytest.mark.parametrize("guarded", [True, False])
def test_a_late_write_of_a_replaced_leader_fails_after_its_successor_has_read(monkeypatch, guarded):
    async def scenario() -> None:
        service = FakeStateService()
        if not guarded:
            monkeypatch.setattr(Fence, "condition", lambda self: state_messages.Condition("leader", service.leader))
        service.plan = ["late"]
        log = intent_log(service)
        await log.load()
        log.add_intent(rental(1))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await run_with_log(log, log.persist(log.rentals.values()))
        service.leader = 99
        successor_log = intent_log(service, 4)
        await successor_log.load()
        if guarded:
            assert isinstance(service.apply(service.delayed[0]), state_messages.Conflict)
        else:
            # Recorded after the successor has read the log: an operation that the successor will never know of.
            service.delayed[0].conditions[0] = log.fence.condition()
            assert (
                isinstance(service.apply(service.delayed[0]), state_messages.Committed)
                and "t3-1" not in successor_log.rentals
            )

    run_simulated(scenario())


@pytest.mark.parametrize("guarded", [True, False])
def test_a_late_write_of_the_same_leader_does_not_replace_a_newer_one(monkeypatch, guarded):
    async def scenario() -> None:
        service = FakeStateService()
        service.plan = ["late"]
        log = intent_log(service)

        async def work() -> None:
            await log.persist([log.add_intent(rental(1))])
            await log.persist([log.add_intent(rental(2))])
            if not guarded:
                service.delayed[0].conditions.pop()
            assert isinstance(service.apply(service.delayed[0]), state_messages.Conflict) == guarded
            successor_log = intent_log(service, 4)
            await successor_log.load()
            assert ("t3-2" in successor_log.rentals) == guarded

        await run_with_log(log, work())

    run_simulated(scenario())


def test_operations_requested_together_share_a_write_and_those_that_do_not_fit_wait():
    async def scenario() -> None:
        service = FakeStateService()
        log = intent_log(service)
        deletions = [ExternalOperation(f"m{n * 7919:07d}x", float(n)) for n in range(600)]  # names that make no ranges

        async def work() -> None:
            rentals = [log.add_intent(rental(n)) for n in range(12)]
            await log.persist(rentals)
            assert service.writes == 1
            for operation in deletions:
                log.add_intent(operation)
            pending = asyncio.ensure_future(log.persist(deletions))
            await asyncio.sleep(0.02)
            recorded = [
                deletion for deletion in deletions if deletion.state is external_operation.OperationState.RECORDED
            ]
            assert 100 < len(recorded) < 600 and not pending.done()
            assert service.value is not None and len(service.value) <= LIMITS.value_kb * 1024
            # Recorded operations stay in the record until they are settled; only then are the others added.
            while not pending.done():
                for operation in recorded:
                    operation.move(external_operation.OperationEvent.SEND, 0.0)
                    log.complete(operation, -1000.0)
                await asyncio.sleep(0.01)
                recorded = [
                    deletion for deletion in deletions if deletion.state is external_operation.OperationState.RECORDED
                ]

        await run_with_log(log, work())

    run_simulated(scenario())


def test_machines_of_a_rental_stay_in_the_intent_log_until_every_list_shows_them(monkeypatch):
    async def scenario() -> None:
        clock = [1000.0]
        monkeypatch.setattr("winglift.duties.intent_log.monotonic_time", lambda: clock[0])
        monkeypatch.setattr("winglift.duties.intent_log.wall_time", lambda: 1.7e9 + clock[0])
        service = FakeStateService()
        log = intent_log(service)

        async def work() -> None:
            operation = log.add_intent(rental(1, count=3))
            await log.persist([operation])
            operation.move(external_operation.OperationEvent.SEND, clock[0])
            operation.machines = ("vm-000001", "vm-000002", "vm-000009")
            log.complete(operation, clock[0])
            for elapsed_s, expected in ((7.5, True), (9.0, False)):
                clock[0] = 1000.0 + elapsed_s
                await log.persist([log.add_intent(ExternalOperation(f"vm-{elapsed_s}", clock[0]))])
                successor_log = intent_log(service, 4)
                await successor_log.load()
                inherited_rental = successor_log.rentals.get("t3-1")
                assert (inherited_rental is not None) == expected
                if inherited_rental is not None:
                    assert (
                        inherited_rental.machines == operation.machines
                        and not inherited_rental.is_open
                        and inherited_rental.inherited
                    )
                    assert abs(inherited_rental.intended_at - operation.intended_at) <= 0.5

        await run_with_log(log, work())

    run_simulated(scenario())


@pytest.mark.parametrize(
    "value", [b"{}", b"[]", b'{"w":1.0,"t":1,"r":[["t1-1",4,0,0,1,0]]}', b'{"w":1.0,"t":1,"d":"|"}']
)
def test_an_intent_log_in_another_format_is_ignored_and_overwritten(value):
    async def scenario() -> None:
        service = FakeStateService()
        service.value, service.version = value, 5
        log = intent_log(service)
        await run_with_log(log, log.persist([log.add_intent(rental(1))]))
        assert intent_record.decode(service.value).rentals[0].name == "t3-1"

    run_simulated(scenario())
