"""Duties and external operations as state machines, the intent record, and the intent log at a faulty state service."""

from __future__ import annotations

import asyncio
import itertools
import math

import msgspec
import pytest
from helpers import settings, simulated
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
        made = duty.Duty(DutyName.CLOUD_OPERATIONS, Fence(3, 77), state)
        after = made.move(event)
        if state in (duty.DutyState.LOST, duty.DutyState.RELINQUISHED):
            assert after is state
        if event is duty.DutyEvent.LOSE and state is not duty.DutyState.RELINQUISHED:
            assert after is duty.DutyState.LOST
        # Nobody comes to hold a duty but by knowing what was begun, or by a renewal of a lease that held it.
        if after is duty.DutyState.HELD and state is not duty.DutyState.HELD:
            assert (state, event) in (
                (duty.DutyState.ACQUIRING, duty.DutyEvent.READY),
                (duty.DutyState.IN_DOUBT, duty.DutyEvent.RENEW),
            )


@given(st.lists(st.tuples(st.sampled_from([*RoleEvent, "know", "again"]), st.floats(0.0, 4.0)), max_size=30))
def test_a_duty_is_held_only_within_the_lease_and_under_the_term_it_was_taken_for(steps):
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
        elif step == "again":  # the node wins once more: these duties belong to the term before
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
        made = ExternalOperation("vm-1", 0.0, state=state)
        try:
            after = made.move(event, 5.0)
        except InvalidTransition:
            assert made.state is state and made.ended_at == math.inf
            continue
        if after is external_operation.OperationState.SENT and state is external_operation.OperationState.INTENDED:
            assert event is external_operation.OperationEvent.SEND_UNRECORDED
        if not made.is_open:
            assert made.ended_at == 5.0
        assert after not in (external_operation.OperationState.SETTLED,) or state in (
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
def test_names_of_machines_survive_packing(names):
    assert sorted(intent_record.unpack_names(intent_record.pack_names(names))) == sorted(names)


@given(st.text("vm-|=0123456789, %", max_size=30))
def test_foreign_names_are_refused_or_read_but_never_crash_the_reader(text):
    try:
        assert all(isinstance(name, str) for name in intent_record.unpack_names(text))
    except InvalidRecord:
        pass


def test_a_hundred_machines_in_a_row_take_few_bytes():
    assert len(intent_record.pack_names(f"vm-{n:06d}" for n in range(407, 507))) < 20
    with pytest.raises(InvalidRecord):
        intent_record.unpack_names("vm-|6|1-99999999999999")


# -- the intent log ----------------------------------------------------------------------------------


class Service:
    """One key and its revision, and the leadership key; answers as planned: fine, refused, lost, late."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.version, self.leader = 0, 77
        self.plan: list[str] = []
        self.late: list[state_messages.Transaction] = []
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
        has = {"leader": self.leader, intent_record.INTENT_LOG_KEY: self.version}
        failed = [c.key for c in txn.conditions if has[c.key] != c.version]
        if failed:
            return state_messages.Conflict(failed)
        self.version += 1
        self.writes += 1
        self.value = bytes(txn.changes[0].value)
        return state_messages.Committed(self.version)

    async def commit(self, txn, max_wait=0.0):
        how = self.plan.pop(0) if self.plan else "fine"
        if how == "refused":
            raise RequestRejected("503")
        if how == "late":
            self.late.append(txn)
            raise OutcomeUnknown("no answer")
        result = self.apply(txn)
        if how == "lost":
            raise OutcomeUnknown("no answer")
        return result


def intent_log(service: Service, term: int = 3, list_lag_s: float = 3.0) -> IntentLog:
    return IntentLog(service, LIMITS, Fence(term, service.leader), list_lag_s)  # type: ignore[arg-type]


async def during(made: IntentLog, work) -> None:
    await made.load()
    task = asyncio.ensure_future(made.run())
    try:
        await work
    finally:
        task.cancel()


@given(st.lists(st.sampled_from(["fine", "refused", "lost", "late"]), max_size=5), st.integers(1, 6))
def test_whatever_the_service_does_what_is_recorded_is_what_a_successor_reads(plan, count):
    async def scenario() -> None:
        service, operations = Service(), [rental(n) for n in range(count)]
        service.plan = list(plan)
        made = intent_log(service)

        async def work() -> None:
            for one in operations:
                made.add_intent(one)
                if service.late:
                    service.apply(service.late.pop(0))  # held back till now
                await made.persist([one])
                assert one.state is external_operation.OperationState.RECORDED
                after = intent_log(service, term=4)
                await after.load()
                assert one.name in after.rentals and after.rentals[one.name].request == one.request
            service.leader = 99
            with pytest.raises(FenceLost):
                await made.persist([made.add_intent(rental(50))])
            assert all(isinstance(service.apply(txn), state_messages.Conflict) for txn in service.late)

        await during(made, work())

    simulated(scenario())


@pytest.mark.parametrize("guarded", [True, False])
def test_a_write_of_a_replaced_leader_changes_nothing_after_its_successor_has_read(monkeypatch, guarded):
    async def scenario() -> None:
        service = Service()
        if not guarded:
            monkeypatch.setattr(Fence, "condition", lambda self: state_messages.Condition("leader", service.leader))
        service.plan = ["late"]
        made = intent_log(service)
        await made.load()
        made.add_intent(rental(1))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await during(made, made.persist(made.rentals.values()))
        service.leader = 99
        after = intent_log(service, 4)
        await after.load()
        if guarded:
            assert isinstance(service.apply(service.late[0]), state_messages.Conflict)
        else:
            # Recorded after the successor had read: an operation that no other node will ever know of.
            service.late[0].conditions[0] = made.fence.condition()
            assert isinstance(service.apply(service.late[0]), state_messages.Committed) and "t3-1" not in after.rentals

    simulated(scenario())


@pytest.mark.parametrize("guarded", [True, False])
def test_a_late_write_of_its_own_does_not_replace_a_newer_one(monkeypatch, guarded):
    async def scenario() -> None:
        service = Service()
        service.plan = ["late"]
        made = intent_log(service)

        async def work() -> None:
            await made.persist([made.add_intent(rental(1))])
            await made.persist([made.add_intent(rental(2))])
            if not guarded:
                service.late[0].conditions.pop()
            assert isinstance(service.apply(service.late[0]), state_messages.Conflict) == guarded
            after = intent_log(service, 4)
            await after.load()
            assert ("t3-2" in after.rentals) == guarded

        await during(made, work())

    simulated(scenario())


def test_operations_requested_together_share_a_write_and_those_that_do_not_fit_wait():
    async def scenario() -> None:
        service = Service()
        made = intent_log(service)
        many = [ExternalOperation(f"m{n * 7919:07d}x", float(n)) for n in range(600)]  # names that make no ranges

        async def work() -> None:
            few = [made.add_intent(rental(n)) for n in range(12)]
            await made.persist(few)
            assert service.writes == 1
            for one in many:
                made.add_intent(one)
            waits = asyncio.ensure_future(made.persist(many))
            await asyncio.sleep(0.02)
            recorded = [e for e in many if e.state is external_operation.OperationState.RECORDED]
            assert 100 < len(recorded) < 600 and not waits.done()
            assert service.value is not None and len(service.value) <= LIMITS.value_kb * 1024
            # What was recorded first goes on being held until it is over; then the others come.
            while not waits.done():
                for one in recorded:
                    one.move(external_operation.OperationEvent.SEND, 0.0)
                    made.complete(one, -1000.0)
                await asyncio.sleep(0.01)
                recorded = [e for e in many if e.state is external_operation.OperationState.RECORDED]

        await during(made, work())

    simulated(scenario())


def test_machines_of_a_rental_stay_in_the_intent_log_until_every_list_shows_them(monkeypatch):
    async def scenario() -> None:
        clock = [1000.0]
        monkeypatch.setattr("winglift.duties.intent_log.monotonic_time", lambda: clock[0])
        monkeypatch.setattr("winglift.duties.intent_log.wall_time", lambda: 1.7e9 + clock[0])
        service = Service()
        made = intent_log(service)

        async def work() -> None:
            one = made.add_intent(rental(1, count=3))
            await made.persist([one])
            one.move(external_operation.OperationEvent.SEND, clock[0])
            one.machines = ("vm-000001", "vm-000002", "vm-000009")
            made.complete(one, clock[0])
            for later, known in ((7.5, True), (9.0, False)):
                clock[0] = 1000.0 + later
                await made.persist([made.add_intent(ExternalOperation(f"vm-{later}", clock[0]))])
                after = intent_log(service, 4)
                await after.load()
                found = after.rentals.get("t3-1")
                assert (found is not None) == known
                if found is not None:
                    assert found.machines == one.machines and not found.is_open and found.inherited
                    assert abs(found.intended_at - one.intended_at) <= 0.5

        await during(made, work())

    simulated(scenario())


@pytest.mark.parametrize(
    "value", [b"{}", b"[]", b'{"w":1.0,"t":1,"r":[["t1-1",4,0,0,1,0]]}', b'{"w":1.0,"t":1,"d":"|"}']
)
def test_an_intent_log_of_another_program_is_ignored_and_overwritten(value):
    async def scenario() -> None:
        service = Service()
        service.value, service.version = value, 5
        made = intent_log(service)
        await during(made, made.persist([made.add_intent(rental(1))]))
        assert intent_record.decode(service.value).rentals[0].name == "t3-1"

    simulated(scenario())
