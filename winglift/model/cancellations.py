"""Cancellations that a node answers for until all their tasks are proven off (invariant 8: they hold whoever leads).

The record of a cancelled job names every place that can ever hold one of its tasks, since no later start can be
committed (invariants 2, 4). So each node that knows the record can see to its end, leader or not. Pure: does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from .. import constants
from ..wire import workers as worker_messages
from . import records
from .job_state import JobState, seconds_since_cancelled


class CancellationState(Enum):
    """Who sees to a confirmed cancellation."""

    OUTSTANDING = auto()  # nobody is known to see to it: this node does
    DELEGATED = (
        auto()
    )  # a leader that can act has taken it over: it is left to that one, for as long as it is in hearing
    CONFIRMED = auto()  # all its tasks are proven off


class CancellationEvent(Enum):
    """What moves it."""

    DELEGATE = auto()  # a leader that can act sees to it
    DELEGATE_LOST = auto()  # nobody is in hearing any more who does
    PROVEN_OFF = auto()  # all its machines are free of it, or gone
    TASK_SEEN = auto()  # a machine shows a task of it


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
    """A confirmed cancellation, and the machines that may hold tasks of its job."""

    ref: str
    version: int
    record: bytes  # as other nodes are told it
    cancelled_at: float | None  # time of day by the node that committed it
    noted_at: float  # steady time
    stop_commands: dict[str, list[worker_messages.Command]]  # machine that may hold tasks: what it is told
    state_since: float  # when its state last changed
    state: CancellationState = CancellationState.OUTSTANDING
    notified: dict[str, float] = field(default_factory=dict)  # node: when it is told again; infinite: it has it
    delegated_to: tuple[str, int] | None = None  # the leader that has it in its picture: node and term

    def move(self, event: CancellationEvent, now: float) -> CancellationState:
        """The one place where an end changes its state. What does not apply changes nothing."""
        new = TRANSITIONS.get((self.state, event), self.state)
        if new is not self.state:
            self.state, self.state_since = new, now
        return new

    def min_age_s(self, now: float) -> float:
        """At the least so many seconds ago it was committed: its time of day was read before that, and a transaction
        may be carried out minutes after the time that it holds."""
        return now - self.noted_at

    def max_age_s(self, wall: float, skew_s: float) -> float:
        """At the most so many seconds ago its user was told, as `Job.cancelled_for` counts it."""
        return seconds_since_cancelled(self.cancelled_at, wall, skew_s)


class CancellationRegistry:
    """`skew_s`: how far a time of day may be from the true one. `cancel_s`: the users' word. `most`: ends kept."""

    def __init__(self, skew_s: float, cancel_s: float, most: int) -> None:
        self.skew_s = skew_s
        self.cancel_s = cancel_s
        self.capacity = most
        # A start that the leader sent before it lost its lease, or learnt of the end, may come up to here: a halt or an
        # answer without the task that is earlier proves nothing.
        self.settle_s = min(constants.CANCELLATION_SETTLE_S, cancel_s * constants.CANCELLATION_SETTLE_SHARE)
        self.by_job: dict[str, Cancellation] = {}
        self.unsent_proofs: list[tuple[str, str]] = []  # job and machine, found here: the other nodes are told

    def add_record(self, ref: str, version: int, record: records.JobRecord, now: float) -> Cancellation | None:
        """A record that is committed at this version; the end that is to be seen to, if there is one."""
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
        # The leader has taken places out of the record: it does that by proof only.
        cancellation.version, cancellation.record = version, records.encode(record)
        for machine in [m for m in cancellation.stop_commands if m not in stop_commands]:
            del cancellation.stop_commands[machine]
        self._confirm_if_clear(cancellation, now)
        return cancellation

    def _make_space(self) -> bool:
        """Is there room for one more? What is proven or left to a leader goes first; nothing is forgotten otherwise."""
        if len(self.by_job) < self.capacity:
            return True
        for state in (CancellationState.CONFIRMED, CancellationState.DELEGATED):
            for ref, cancellation in self.by_job.items():
                if cancellation.state is state:
                    del self.by_job[ref]
                    return True
        return False

    def on_report(self, report: worker_messages.Report, now: float) -> list[worker_messages.Command]:
        """The stops that any answer to this report carries, whoever gives it."""
        found: list[worker_messages.Command] = []
        if self.by_job:
            for piece in report.tasks:
                key = piece.key()
                cancellation = self.by_job.get(key[0]) if key is not None else None
                if cancellation is not None and piece.phase is not worker_messages.Phase.EXITED:
                    found.append(worker_messages.halt(piece.task, piece.attempt, 0))
                    if report.machine not in cancellation.stop_commands:
                        # A start that was in flight: what had been proven is not.
                        cancellation.stop_commands[report.machine] = []
                        cancellation.move(CancellationEvent.TASK_SEEN, now)
        return found

    def on_probe_answer(
        self, report: worker_messages.Report, asked: float, now: float
    ) -> list[worker_messages.Command]:
        """The machine has answered a question that this node sent at `asked`: what it does not list is off it, unless a
        start could yet come then. What it still lists is to be stopped."""
        left = self.on_report(report, now)
        listed = {command.task.partition("/")[0] for command in left}
        for cancellation in self.on_machine(report.machine):
            if cancellation.ref not in listed and cancellation.min_age_s(asked) >= self.settle_s:
                self.clear_machine(cancellation.ref, report.machine, now)
        return left

    def on_machine(self, machine: str) -> list[Cancellation]:
        """The cancellations that may have tasks on this machine."""
        return [cancellation for cancellation in self.by_job.values() if machine in cancellation.stop_commands]

    def clear_machine(self, ref: str, machine: str, now: float, told: bool = False) -> None:
        """This machine is proven free of the job; `told`: another node has proven it."""
        cancellation = self.by_job.get(ref)
        if cancellation is not None and cancellation.stop_commands.pop(machine, None) is not None:
            if not told:
                self.unsent_proofs.append((ref, machine))
            self._confirm_if_clear(cancellation, now)

    def machine_deleted(self, machine: str, now: float, told: bool = False) -> None:
        """Its deletion was answered: all that was on it is gone."""
        if not told:
            self.unsent_proofs.append(("", machine))
        for cancellation in self.on_machine(machine):
            self.clear_machine(cancellation.ref, machine, now, told=True)

    def clear_job(self, ref: str, now: float) -> None:
        """The leader of this node has proven all of it."""
        cancellation = self.by_job.get(ref)
        if cancellation is not None:
            for machine in list(cancellation.stop_commands):
                self.clear_machine(ref, machine, now)

    def _confirm_if_clear(self, cancellation: Cancellation, now: float) -> None:
        if not cancellation.stop_commands:
            cancellation.move(CancellationEvent.PROVEN_OFF, now)

    def outstanding(self) -> list[Cancellation]:
        """The cancellations that this node must see to."""
        return [
            cancellation for cancellation in self.by_job.values() if cancellation.state is CancellationState.OUTSTANDING
        ]

    def machines_to_delete(self, now: float, wall: float, rank: int, hear_s: float) -> list[str]:
        """The machines to be deleted for an end that is left to nobody; the `rank`th node waits for those before it.

        Who has just become answerable first asks the machines, for `hear_s`, unless the last moment is near that helps.
        """
        names: dict[str, None] = {}
        after_s = self.cancel_s * (constants.CANCEL_DELETE_SHARE + rank * constants.CANCELLATION_RANK_SHARE)
        for cancellation in self.outstanding():
            age = cancellation.max_age_s(wall, self.skew_s)
            late = self.cancel_s * constants.CANCEL_LAST_SHARE < age < self.cancel_s * constants.CANCEL_OVER_SHARE
            if age > after_s and (late or now - cancellation.state_since > hear_s):
                names.update(dict.fromkeys(cancellation.stop_commands))
        return list(names)

    def prune(self, now: float) -> None:
        """Ended by proof, and so long ago that no start can turn up any more."""
        for ref in [
            ref
            for ref, cancellation in self.by_job.items()
            if cancellation.state is CancellationState.CONFIRMED and now - cancellation.noted_at > self.cancel_s
        ]:
            del self.by_job[ref]


def stop_commands_for(ref: str, record: records.JobRecord) -> dict[str, list[worker_messages.Command]]:
    """Machine: the stops of all tasks that the record places there."""
    found: dict[str, list[worker_messages.Command]] = {}
    try:
        for machine, attempt, text in record.assignments:
            found.setdefault(machine, []).extend(
                worker_messages.halt(f"{ref}/{n}", attempt, 0) for n in records.unpack_ranges(text)
            )
    except ValueError as err:
        raise records.InvalidRecord(str(err)) from None
    return found
