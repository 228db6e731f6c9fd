"""Cancellations that a node answers for until all their tasks are proven off (invariant 8: they hold whoever leads).

The record of a cancelled job names every place that can ever hold one of its tasks, since no later start can be
committed (invariants 2, 4). So each node that knows the record can see to its end, leader or not. Pure: does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from .. import constants as c
from ..wire import workers as w
from . import records
from .job import JobState, since_cancelled


class State(Enum):
    """Who sees to a confirmed cancellation."""

    OPEN = auto()  # nobody is known to see to it: this node does
    LEFT = auto()  # a leader that can act has taken it over: it is left to that one, for as long as it is in hearing
    SETTLED = auto()  # all its tasks are proven off


class Event(Enum):
    """What moves it."""

    TAKEN = auto()  # a leader that can act sees to it
    ORPHANED = auto()  # nobody is in hearing any more who does
    PROVEN = auto()  # all its machines are free of it, or gone
    SEEN = auto()  # a machine shows a task of it


_S, _E = State, Event
TRANSITIONS: dict[tuple[State, Event], State] = {
    (_S.OPEN, _E.TAKEN): _S.LEFT,
    (_S.LEFT, _E.TAKEN): _S.LEFT,
    (_S.LEFT, _E.ORPHANED): _S.OPEN,
    (_S.OPEN, _E.ORPHANED): _S.OPEN,
    (_S.OPEN, _E.PROVEN): _S.SETTLED,
    (_S.LEFT, _E.PROVEN): _S.SETTLED,
    (_S.SETTLED, _E.SEEN): _S.OPEN,
    (_S.OPEN, _E.SEEN): _S.OPEN,
    (_S.LEFT, _E.SEEN): _S.LEFT,
}


@dataclass(slots=True, eq=False)
class End:
    """A confirmed cancellation, and the machines that may hold tasks of its job."""

    ref: str
    version: int
    record: bytes  # as other nodes are told it
    cancelled: float | None  # time of day by the node that committed it
    noted_at: float  # steady time
    halts: dict[str, list[w.Command]]  # machine that may hold tasks: what it is told
    since: float  # when its state last changed
    state: State = State.OPEN
    told: dict[str, float] = field(default_factory=dict)  # node: when it is told again; infinite: it has it
    taken_by: tuple[str, int] | None = None  # the leader that has it in its picture: node and term

    def move(self, event: Event, now: float) -> State:
        """The one place where an end changes its state. What does not apply changes nothing."""
        new = TRANSITIONS.get((self.state, event), self.state)
        if new is not self.state:
            self.state, self.since = new, now
        return new

    def known_s(self, now: float) -> float:
        """At the least so many seconds ago it was committed: its time of day was read before that, and a transaction
        may be carried out minutes after the time that it holds."""
        return now - self.noted_at

    def age_s(self, wall: float, skew_s: float) -> float:
        """At the most so many seconds ago its user was told, as `Job.cancelled_for` counts it."""
        return since_cancelled(self.cancelled, wall, skew_s)


class Ends:
    """`skew_s`: how far a time of day may be from the true one. `cancel_s`: the users' word. `most`: ends kept."""

    def __init__(self, skew_s: float, cancel_s: float, most: int) -> None:
        self.skew_s = skew_s
        self.cancel_s = cancel_s
        self.most = most
        # A start that the leader sent before it lost its lease, or learnt of the end, may come up to here: a halt or an
        # answer without the task that is earlier proves nothing.
        self.settle_s = min(c.ENDS_SETTLE_S, cancel_s * c.ENDS_SETTLE_SHARE)
        self.all: dict[str, End] = {}
        self.proofs: list[tuple[str, str]] = []  # job and machine, found here: the other nodes are told

    def note(self, ref: str, version: int, record: records.JobRecord, now: float) -> End | None:
        """A record that is committed at this version; the end that is to be seen to, if there is one."""
        if record.state != JobState.CANCELLED.value:
            return None
        end = self.all.get(ref)
        if end is not None and version <= end.version:
            return end
        halts = halts_of(ref, record)
        if end is None:
            if not halts or not self._room():
                return None
            end = self.all[ref] = End(ref, version, records.encode(record), record.cancelled, now, halts, now)
            return end
        # The leader has taken places out of the record: it does that by proof only.
        end.version, end.record = version, records.encode(record)
        for machine in [m for m in end.halts if m not in halts]:
            del end.halts[machine]
        self._settle(end, now)
        return end

    def _room(self) -> bool:
        """Is there room for one more? What is proven or left to a leader goes first; nothing is forgotten otherwise."""
        if len(self.all) < self.most:
            return True
        for state in (State.SETTLED, State.LEFT):
            for ref, end in self.all.items():
                if end.state is state:
                    del self.all[ref]
                    return True
        return False

    def on_report(self, report: w.Report, now: float) -> list[w.Command]:
        """The stops that any answer to this report carries, whoever gives it."""
        found: list[w.Command] = []
        if self.all:
            for piece in report.tasks:
                key = piece.key()
                end = self.all.get(key[0]) if key is not None else None
                if end is not None and piece.phase is not w.Phase.EXITED:
                    found.append(w.halt(piece.task, piece.attempt, 0))
                    if report.machine not in end.halts:
                        # A start that was in flight: what had been proven is not.
                        end.halts[report.machine] = []
                        end.move(Event.SEEN, now)
        return found

    def answered(self, report: w.Report, asked: float, now: float) -> list[w.Command]:
        """The machine has answered a question that this node sent at `asked`: what it does not list is off it, unless a
        start could yet come then. What it still lists is to be stopped."""
        left = self.on_report(report, now)
        listed = {command.task.partition("/")[0] for command in left}
        for end in self.holding(report.machine):
            if end.ref not in listed and end.known_s(asked) >= self.settle_s:
                self.free(end.ref, report.machine, now)
        return left

    def holding(self, machine: str) -> list[End]:
        """The cancellations that may have tasks on this machine."""
        return [end for end in self.all.values() if machine in end.halts]

    def free(self, ref: str, machine: str, now: float, told: bool = False) -> None:
        """This machine is proven free of the job; `told`: another node has proven it."""
        end = self.all.get(ref)
        if end is not None and end.halts.pop(machine, None) is not None:
            if not told:
                self.proofs.append((ref, machine))
            self._settle(end, now)

    def gone(self, machine: str, now: float, told: bool = False) -> None:
        """Its deletion was answered: all that was on it is gone."""
        if not told:
            self.proofs.append(("", machine))
        for end in self.holding(machine):
            self.free(end.ref, machine, now, told=True)

    def settle(self, ref: str, now: float) -> None:
        """The leader of this node has proven all of it."""
        end = self.all.get(ref)
        if end is not None:
            for machine in list(end.halts):
                self.free(ref, machine, now)

    def _settle(self, end: End, now: float) -> None:
        if not end.halts:
            end.move(Event.PROVEN, now)

    def open(self) -> list[End]:
        """The cancellations that this node must see to."""
        return [end for end in self.all.values() if end.state is State.OPEN]

    def due(self, now: float, wall: float, rank: int, hear_s: float) -> list[str]:
        """The machines to be deleted for an end that is left to nobody; the `rank`th node waits for those before it.

        Who has just become answerable first asks the machines, for `hear_s`, unless the last moment is near that helps.
        """
        names: dict[str, None] = {}
        after_s = self.cancel_s * (c.CANCEL_DELETE_SHARE + rank * c.ENDS_RANK_SHARE)
        for end in self.open():
            age = end.age_s(wall, self.skew_s)
            late = self.cancel_s * c.CANCEL_LAST_SHARE < age < self.cancel_s * c.CANCEL_OVER_SHARE
            if age > after_s and (late or now - end.since > hear_s):
                names.update(dict.fromkeys(end.halts))
        return list(names)

    def forget(self, now: float) -> None:
        """Ended by proof, and so long ago that no start can turn up any more."""
        for ref in [
            ref for ref, end in self.all.items() if end.state is State.SETTLED and now - end.noted_at > self.cancel_s
        ]:
            del self.all[ref]


def halts_of(ref: str, record: records.JobRecord) -> dict[str, list[w.Command]]:
    """Machine: the stops of all tasks that the record places there."""
    found: dict[str, list[w.Command]] = {}
    try:
        for machine, attempt, text in record.places:
            found.setdefault(machine, []).extend(w.halt(f"{ref}/{n}", attempt, 0) for n in records.unpack_ranges(text))
    except ValueError as err:
        raise records.BadRecord(str(err)) from None
    return found
