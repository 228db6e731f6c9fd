"""Committed cancellations, which a node enforces until all their tasks are proven to have left their machines.

Invariant 8: a cancelled job's tasks are stopped in time, whichever node leads. The record of a cancelled job names
every machine that can ever hold one of its tasks, because no later start can be committed (invariant 2: a start is sent
only after its commit; invariant 4: a recorded final state is never replaced). So each node that knows the record can
enforce the cancellation, whether it leads or not. Does no I/O. Times are monotonic times in s unless stated otherwise.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from enum import Enum, auto

from .. import constants
from ..wire import workers as worker_messages
from . import records
from .job_state import JobState, seconds_since_cancelled


class CancellationState(Enum):
    """Who enforces a committed cancellation."""

    OUTSTANDING = auto()  # this node, as no other node is known to enforce it
    DELEGATED = auto()  # a reachable leader that is able to act
    CONFIRMED = auto()  # no node: all its tasks are proven to have left their machines


class CancellationEvent(Enum):
    """Events that change a cancellation's state."""

    DELEGATE = auto()  # a leader that is able to act enforces it
    DELEGATE_LOST = auto()  # no node that enforces it can be reached any more
    PROVEN_OFF = auto()  # each of its machines is deleted or proven to hold none of its tasks
    TASK_SEEN = auto()  # a machine reports one of its tasks


_S, _E = CancellationState, CancellationEvent
TRANSITIONS: dict[tuple[CancellationState, CancellationEvent], CancellationState] = {
    (_S.OUTSTANDING, _E.DELEGATE): _S.DELEGATED,
    (_S.DELEGATED, _E.DELEGATE): _S.DELEGATED,
    (_S.DELEGATED, _E.DELEGATE_LOST): _S.OUTSTANDING,
    (_S.OUTSTANDING, _E.DELEGATE_LOST): _S.OUTSTANDING,
    (_S.OUTSTANDING, _E.PROVEN_OFF): _S.CONFIRMED,
    (_S.DELEGATED, _E.PROVEN_OFF): _S.CONFIRMED,
    (_S.CONFIRMED, _E.TASK_SEEN): _S.OUTSTANDING,
    (_S.OUTSTANDING, _E.TASK_SEEN): _S.OUTSTANDING,
    (_S.DELEGATED, _E.TASK_SEEN): _S.DELEGATED,
}


@dataclass(slots=True, eq=False)
class Cancellation:
    """A committed cancellation and the machines that may hold tasks of its job."""

    ref: str
    version: int
    record: bytes  # the encoded record, as sent to other nodes
    cancelled_at: float | None  # time of day at which the node that committed it read its clock
    learned_at: float  # when this node learned of it
    stop_commands: dict[str, list[worker_messages.Command]]  # key: each machine that may hold tasks of the job
    state_since: float  # when its state last changed
    state: CancellationState = CancellationState.OUTSTANDING
    notified: dict[str, float] = field(default_factory=dict)  # node: time of the next notification; inf: acknowledged
    delegated_to: tuple[str, int] | None = None  # node and term of the leader that enforces it
    known_to: set[str] = field(default_factory=set)  # nodes whose present process has acknowledged it
    is_known: bool = False  # whether all nodes have acknowledged it at some time
    awaited_since: float | None = None  # since when a user waits to be told of it by this node
    needs_proof: bool = False  # whether a user waits, and some node has not acknowledged it in time

    def move(self, event: CancellationEvent, now: float) -> CancellationState:
        """Apply an event and return the new state; an event that the state does not allow is ignored.

        The state is changed nowhere else.
        """
        new_state = TRANSITIONS.get((self.state, event), self.state)
        if new_state is not self.state:
            self.state, self.state_since = new_state, now
        return new_state

    def has_ended_on(self, report: worker_messages.Report) -> bool:
        """Whether the report lists each attempt that may be on its machine as exited."""
        exited = {(task.task, task.attempt) for task in report.tasks if task.phase is worker_messages.Phase.EXITED}
        stops = self.stop_commands.get(report.machine, [])
        return bool(stops) and all((stop.task, stop.attempt) in exited for stop in stops)

    def min_age_s(self, now: float) -> float:
        """Lower bound in s of the time since the commit, counted from when this node learned of the cancellation.

        The time of day in the record gives no such bound: it was read before the commit, and a transaction may be
        applied minutes later.
        """
        return now - self.learned_at

    def max_age_s(self, wall: float, skew_s: float) -> float:
        """Upper bound in s of the time since the cancellation was confirmed to its user.

        `wall`: time of day; `skew_s`: largest error of a node's time of day. See `seconds_since_cancelled`.
        """
        return seconds_since_cancelled(self.cancelled_at, wall, skew_s)


class CancellationRegistry:
    """The cancellations that a node knows, by job.

    `skew_s`: largest error of a node's time of day. `cancel_s`: time within which a cancelled job's tasks must have
    left all machines (PROTOCOL, rule `ran_cancelled`). `capacity`: largest number of cancellations kept.
    """

    def __init__(self, skew_s: float, cancel_s: float, capacity: int) -> None:
        self.skew_s = skew_s
        self.cancel_s = cancel_s
        self.capacity = capacity
        # A start that the leader sent before it lost its lease or learned of the cancellation may still arrive up to
        # this age of the cancellation. A halt sent earlier, or an earlier answer without the task, proves nothing.
        self.settle_s = min(constants.CANCELLATION_SETTLE_S, cancel_s * constants.CANCELLATION_SETTLE_SHARE)
        self.by_job: dict[str, Cancellation] = {}
        # Job and machine of proofs by this node that are still to be sent to the other nodes; job "": machine deleted.
        self.unsent_proofs: list[tuple[str, str]] = []

    def add_record(self, ref: str, version: int, record: records.JobRecord, now: float) -> Cancellation | None:
        """Add a record that is committed at `version`; return its cancellation.

        Returns None if the job is not cancelled, has no assignments, or the registry is full. Raises InvalidRecord.
        """
        if record.state != JobState.CANCELLED.value:
            return None
        cancellation = self.by_job.get(ref)
        if cancellation is not None and version <= cancellation.version:
            return cancellation
        stop_commands = stop_commands_for(ref, record)
        if cancellation is None:
            if not stop_commands or not self._make_space():
                return None
            cancellation = self.by_job[ref] = Cancellation(
                ref, version, records.encode(record), record.cancelled_at, now, stop_commands, now
            )
            return cancellation
        # The leader removes assignments from a record only once the tasks are proven to have left their machines.
        cancellation.version, cancellation.record = version, records.encode(record)
        for machine in [m for m in cancellation.stop_commands if m not in stop_commands]:
            del cancellation.stop_commands[machine]
        self._confirm_if_clear(cancellation, now)
        return cancellation

    def _make_space(self) -> bool:
        """Ensure space for one more cancellation and return whether there is any.

        Removes a confirmed cancellation if there is one, otherwise a delegated one, and never an outstanding one.
        """
        if len(self.by_job) < self.capacity:
            return True
        for state in (CancellationState.CONFIRMED, CancellationState.DELEGATED):
            for ref, cancellation in self.by_job.items():
                if cancellation.state is state:
                    del self.by_job[ref]
                    return True
        return False

    def on_report(self, report: worker_messages.Report, now: float) -> list[worker_messages.Command]:
        """The halt commands for cancelled tasks that the answer to this report carries, whichever node answers it."""
        commands: list[worker_messages.Command] = []
        if not self.by_job:
            return commands
        for task_report in report.tasks:
            key = task_report.key()
            cancellation = self.by_job.get(key[0]) if key is not None else None
            if cancellation is None or task_report.phase is worker_messages.Phase.EXITED:
                continue
            stop = worker_messages.halt_command(task_report.task, task_report.attempt, 0)
            commands.append(stop)
            if report.machine not in cancellation.stop_commands:
                # A start that was in flight took effect: the machine is no longer proven to hold none of its tasks.
                cancellation.stop_commands[report.machine] = []
                cancellation.move(CancellationEvent.TASK_SEEN, now)
            if stop not in cancellation.stop_commands[report.machine]:
                cancellation.stop_commands[report.machine].append(stop)
        return commands

    def on_probe_answer(
        self, report: worker_messages.Report, sent_at: float, now: float
    ) -> list[worker_messages.Command]:
        """Apply the answer to a probe that this node sent at `sent_at`.

        Returns the halt commands for the cancelled tasks that the answer still lists. A task that it lists as exited
        has left the machine: a start of that attempt has no effect there any more. So has a task that it does not list,
        unless its start could still have been in flight at `sent_at`.
        """
        commands = self.on_report(report, now)
        listed_jobs = {command.task.partition("/")[0] for command in commands}
        for cancellation in self.for_machine(report.machine):
            is_settled = cancellation.min_age_s(sent_at) >= self.settle_s
            if cancellation.ref not in listed_jobs and (is_settled or cancellation.has_ended_on(report)):
                self.clear_machine(cancellation.ref, report.machine, now)
        return commands

    def for_machine(self, machine: str) -> list[Cancellation]:
        """The cancellations that may have tasks on this machine."""
        return [cancellation for cancellation in self.by_job.values() if machine in cancellation.stop_commands]

    def clear_machine(self, ref: str, machine: str, now: float, proven_by_peer: bool = False) -> None:
        """Record that a machine is proven to hold no task of the job. `proven_by_peer`: another node has proven it."""
        cancellation = self.by_job.get(ref)
        if cancellation is not None and cancellation.stop_commands.pop(machine, None) is not None:
            if not proven_by_peer:
                self.unsent_proofs.append((ref, machine))
            self._confirm_if_clear(cancellation, now)

    def on_machine_deleted(self, machine: str, now: float, proven_by_peer: bool = False) -> None:
        """Record that the cloud has confirmed a machine's deletion, which ends all tasks on it."""
        if not proven_by_peer:
            self.unsent_proofs.append(("", machine))
        for cancellation in self.for_machine(machine):
            self.clear_machine(cancellation.ref, machine, now, proven_by_peer=True)

    def clear_job(self, ref: str, now: float) -> None:
        """Record that this node, as the leader, has proven that all tasks of the job have left their machines."""
        cancellation = self.by_job.get(ref)
        if cancellation is not None:
            for machine in list(cancellation.stop_commands):
                self.clear_machine(ref, machine, now)

    def _confirm_if_clear(self, cancellation: Cancellation, now: float) -> None:
        if not cancellation.stop_commands:
            cancellation.move(CancellationEvent.PROVEN_OFF, now)

    def outstanding(self) -> list[Cancellation]:
        """The cancellations that this node must enforce."""
        return [
            cancellation for cancellation in self.by_job.values() if cancellation.state is CancellationState.OUTSTANDING
        ]

    def machines_to_delete(
        self, now: float, wall: float, rank: int, probe_wait_s: float, silent: Set[str] = frozenset()
    ) -> list[str]:
        """The machines to delete because outstanding cancellations may still have tasks on them.

        `rank` is this node's position among the nodes that may delete: each waits longer than the one before it.
        A node that has just become responsible first probes the machines for `probe_wait_s`, except shortly before the
        deadline, when a deletion would otherwise come too late. `wall`: time of day.

        While a user waits to be told and some node has not acknowledged the cancellation, machines that don't answer,
        `silent`, are deleted at once: that node may keep the tasks alive.
        """
        names: dict[str, None] = {}  # used as an ordered set
        after_s = self.cancel_s * (constants.CANCELLATION_DELETE_SHARE + rank * constants.CANCELLATION_RANK_DELAY_SHARE)
        for cancellation in self.outstanding():
            age = cancellation.max_age_s(wall, self.skew_s)
            late = (
                self.cancel_s * constants.CANCELLATION_URGENT_SHARE
                < age
                < self.cancel_s * constants.CANCELLATION_OVERDUE_RATIO
            )
            if age > after_s and (late or now - cancellation.state_since > probe_wait_s):
                names.update(dict.fromkeys(cancellation.stop_commands))
            elif cancellation.needs_proof:
                names.update(dict.fromkeys(name for name in cancellation.stop_commands if name in silent))
        return list(names)

    def prune(self, now: float) -> None:
        """Remove confirmed cancellations that are so old that no start of their jobs can arrive any more."""
        for ref in [
            ref
            for ref, cancellation in self.by_job.items()
            if cancellation.state is CancellationState.CONFIRMED and now - cancellation.learned_at > self.cancel_s
        ]:
            del self.by_job[ref]


def stop_commands_for(ref: str, record: records.JobRecord) -> dict[str, list[worker_messages.Command]]:
    """The halt commands for all tasks that the record assigns, by machine. Raises InvalidRecord."""
    stop_commands: dict[str, list[worker_messages.Command]] = {}
    try:
        for machine, attempt, text in record.assignments:
            stop_commands.setdefault(machine, []).extend(
                worker_messages.halt_command(f"{ref}/{number}", attempt, 0) for number in records.unpack_ranges(text)
            )
    except ValueError as err:
        raise records.InvalidRecord(str(err)) from None
    return stop_commands
