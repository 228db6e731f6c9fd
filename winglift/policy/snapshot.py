"""What one scheduling cycle sees and what it decides: plain data, no I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .. import constants as c
from ..model.entities import Sizes
from ..model.teams import EPS, QuotaUsage
from ..wire.cloud import MachineType
from ..wire.users import Priority, Submission

NOTHING: Sizes = (0.0, 0.0, 0.0)


def claim(priority: Priority, within: bool) -> tuple[bool, bool, int]:
    """What stands above what: production first, then what is within its team's guarantee, then priority.

    One order says both who chooses first and who may stop whom. When there were two (priority for the one, guarantees
    for the other), a borrowing gang took what was free before owed work of lower priority, which then stopped it: one
    gang was started 75 times in 250 s, and hardly anything else got done.
    """
    return priority is Priority.PRODUCTION, within, priority.rank


@dataclass(slots=True)
class Victim:
    """A task that might be stopped to make room."""

    ref: str
    index: int
    priority: Priority
    team: str
    cpus: float
    gpus: float
    memory_gb: float
    lost_s: float  # work that stopping it would cost
    group: int  # tasks that stop with it
    within: bool = False  # its job is within its team's guarantee
    frail: bool = False  # of a gang that would lose its start: it has several tasks, or hardly ran
    rank: int = field(init=False)  # both are asked for far more often than a victim is made
    claim: tuple[bool, bool, int] = field(init=False)

    def __post_init__(self) -> None:
        self.rank = self.priority.rank
        self.claim = claim(self.priority, self.within)


@dataclass(slots=True)
class Mover:
    """A replica that could be started elsewhere."""

    ref: str
    spec: Submission
    zones: dict[str, int]
    ran_s: float
    index: int = 0  # of its task


@dataclass(slots=True, eq=False)
class Room:
    """What is free on one machine, existing, booting or to be rented.

    What runs there is looked at only when something might be stopped or moved: `source` tells it then. At 515 machines,
    listing every task of every machine in every cycle once took longer than the cycle itself.
    """

    name: str
    type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    ready_in: float = 0.0  # s until it can take tasks
    images: frozenset[str] | set[str] = frozenset()  # that it holds or fetches
    held: frozenset[str] | set[str] = frozenset()  # that it holds
    victims: list[Victim] = field(default_factory=list)
    fetches: int = 0  # images on their way to it, which share its rate
    empty: bool = False
    movers: list[Mover] = field(default_factory=list)
    replicas: int = 0  # movers, known without looking
    fixed: int = 0  # tasks on it that can't be moved
    yields: int = -1  # victims, known without looking; -1: those that are listed
    gives: tuple[Sizes, Sizes, Sizes] = (NOTHING, NOTHING, NOTHING)  # of victims of rank 0, up to 1 and up to 2
    source: Callable[[], tuple[list[Victim], list[Mover]]] | None = None
    soon_cpus: float = 0.0  # room of tasks being stopped
    soon_gpus: float = 0.0
    soon_memory_gb: float = 0.0
    alone: bool = False  # its zone has no node: once that is cut off, what runs there dies with its lease
    kept_for: str = ""  # the gang for which its room is being made: only work of higher priority takes of it meanwhile
    kept_rank: int = 0  # its priority
    stamp: int = 0  # changes whenever its room does
    looked: bool = False  # `source` was asked
    touched: bool = False  # it is no longer what it was made as, but for a look: the next cycle makes it so again

    def __post_init__(self) -> None:
        if self.yields < 0:
            self.yields = len(self.victims)
            self.replicas = len(self.movers)
            self.gives = (self._below(1), self._below(2), self._below(3))

    def _below(self, rank: int) -> Sizes:
        found = [v for v in self.victims if v.rank < rank]
        return sum(v.cpus for v in found), sum(v.gpus for v in found), sum(v.memory_gb for v in found)

    def look(self) -> None:
        """Fill in the tasks that could be stopped or moved; only few rooms of a cycle need it."""
        if self.source is not None and not self.looked:
            self.looked = True
            self.victims, self.movers = self.source()

    def forget(self) -> None:
        """What a look has shown holds for one cycle."""
        if self.looked:
            self.victims, self.movers, self.looked = [], [], False

    def free(self, cpus: float, gpus: float, memory_gb: float, soon: Sizes) -> None:
        """What is free at the beginning of a cycle, and what will be once its stops are through; nobody holds it."""
        self.cpus, self.gpus, self.memory_gb = cpus, gpus, memory_gb
        self.soon_cpus, self.soon_gpus, self.soon_memory_gb = soon
        self.kept_for, self.kept_rank, self.stamp, self.touched = "", 0, 0, False

    def may_give(self, rank: int) -> Sizes:
        """What would become free if all its victims below this rank stopped: without a look at each of them."""
        return self.gives[rank - 1] if rank > 0 else NOTHING

    def keep_for(self, ref: str, rank: int) -> None:
        """Only work of higher priority takes of it from now on, and that job."""
        self.kept_for, self.kept_rank, self.touched = ref, rank, True

    def keep_warm(self) -> None:
        """Empty, but not idle."""
        self.empty, self.touched = False, True

    def fits(self, spec: Submission) -> bool:
        """Is there room for one task now?"""
        return spec.gpus <= self.gpus + EPS and spec.cpus <= self.cpus + EPS and spec.memory_gb <= self.memory_gb + EPS

    def fits_soon(self, spec: Submission) -> bool:
        """Is there room for one task once the stops under way are through?"""
        return (
            spec.gpus <= self.gpus + self.soon_gpus + EPS
            and spec.cpus <= self.cpus + self.soon_cpus + EPS
            and spec.memory_gb <= self.memory_gb + self.soon_memory_gb + EPS
        )

    def slots(self, spec: Submission, soon: bool) -> int:
        """Tasks of this size that fit."""
        most = 1_000_000
        if spec.gpus > 0:
            most = int((self.gpus + (self.soon_gpus if soon else 0.0) + EPS) / spec.gpus)
        if spec.cpus > 0:
            most = min(most, int((self.cpus + (self.soon_cpus if soon else 0.0) + EPS) / spec.cpus))
        if spec.memory_gb > 0:
            most = min(most, int((self.memory_gb + (self.soon_memory_gb if soon else 0.0) + EPS) / spec.memory_gb))
        return max(0, most)

    def take(self, spec: Submission) -> None:
        """A task is placed here."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.empty = False
        self.stamp += 1
        self.touched = True

    def give(self, spec: Submission) -> None:
        """A task that was placed here in this cycle is taken back."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.stamp += 1
        self.touched = True

    def frees(self, victim: Victim) -> None:
        """A task on it is about to be stopped."""
        self.soon_cpus += victim.cpus
        self.soon_gpus += victim.gpus
        self.soon_memory_gb += victim.memory_gb
        self.stamp += 1
        self.touched = True

    def allowed(self, spec: Submission) -> bool:
        """Does the job allow this type, zone and kind of machine?"""
        return (
            (spec.spot or not self.spot)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.types is None or self.type.name in spec.types)
        )


@dataclass(slots=True)
class Need:
    """A job's waiting tasks."""

    ref: str
    spec: Submission
    indices: list[int]
    sub_deadline: float
    run_s: float
    zones: dict[str, int]  # tasks it has, per zone
    within: bool = False  # within its team's guarantee
    may_rent: bool = True  # a gang that has not come together for long rents only now and then
    avoid: frozenset[str] = frozenset()  # machines on which it has failed
    patient: bool = False  # it waits for so short a time that nothing is stopped for it yet: others end by themselves
    probe: bool = False  # it looks mistaken: it may use what is free, and nothing is stopped or rented for it
    waited_s: float = 0.0  # since its acceptance, or since its last attempt ended
    keeps: bool = False  # room is kept for it
    spare: bool = False  # nobody waits for it: room for what may come
    near: frozenset[str] = frozenset()  # machines where the steps before it ran: what they left may still be there
    plain: bool = False  # it needs no GPU, and there are machines without: on one that has some it is a guest
    late: bool = False  # a gang that has waited for much of the time in which it should start: it displaces owed work

    @property
    def claim(self) -> tuple[bool, bool, int]:
        """Who goes first, the larger the sooner: production, within the guarantee, priority."""
        return claim(self.spec.priority, self.within)

    @property
    def overdue(self) -> bool:
        """Has none of it begun, though it has waited for much of the time in which the largest too should begin?"""
        return self.waited_s > c.BEGIN_MOST_S * c.HOLD_AFTER_SHARE and not self.probe and not any(self.zones.values())

    def guest(self, room: Room) -> bool:
        """Is the room on a machine that other work needs more? It is used last, but used."""
        return self.plain and room.type.gpus > 0

    def allows(self, room: Room) -> bool:
        """May a task go to this room: allowed by its job, not avoided, not kept for another?"""
        return (
            room.allowed(self.spec)
            and room.name not in self.avoid
            and (room.kept_for in ("", self.ref) or room.kept_rank < self.spec.priority.rank)
        )


@dataclass(slots=True)
class Stuck:
    """A replica that has been waiting long for its image, and will for some time yet."""

    need: Need  # as if it were to be placed anew
    index: int


@dataclass(slots=True)
class Rental:
    """Machines of one type, zone and kind to be rented."""

    type: str
    zone: str
    spot: bool
    count: int = 1


@dataclass(slots=True)
class Reserve:
    """Room kept warm for work that must start sooner than a machine boots."""

    spec: Submission
    count: int


@dataclass(slots=True)
class Snapshot:
    """All that one plan is made from; amounts in CPUs, GPUs and GB, times in s."""

    now: float  # time of day
    rooms: list[Room]
    needs: list[Need]
    quota: QuotaUsage
    types: dict[str, MachineType]
    refused: set[tuple[str, str, bool]]  # type, zone, spot: recently without capacity
    reserves: list[Reserve] = field(default_factory=list)
    stuck: list[Stuck] = field(default_factory=list)
    dark: dict[tuple[str, str], int] = field(default_factory=dict)  # type, zone: machines that may be rented there yet
    attended: frozenset[str] | None = None  # zones that have a node; None: all
    cut: frozenset[str] = frozenset()  # zones cut off now: what is rented there could not be reached
    may_rent: bool = True
    may_move: bool = True  # replicas may be moved off a thin machine now
    slack_pad: float = c.SLACK_PAD
    stopping_gpus: dict[str, float] = field(default_factory=dict)  # per team, of tasks being stopped
    stopping_cpus: dict[str, float] = field(default_factory=dict)

    def alone(self, zone: str) -> bool:
        """Is the zone without a controller node?"""
        return self.attended is not None and zone not in self.attended


@dataclass(slots=True)
class Plan:
    """What one cycle has decided."""

    starts: list[tuple[str, list[tuple[int, str]]]] = field(default_factory=list)
    stops: list[tuple[str, int, str]] = field(default_factory=list)  # job, task, for whom
    kept: dict[str, list[str]] = field(default_factory=dict)  # gang: machines on which room is being made for it
    rescues: list[tuple[str, int]] = field(default_factory=list)  # job, task: to be started beside its image
    moves: list[tuple[str, int]] = field(default_factory=list)  # job, task: replicas that stand in a gang's way
    rentals: list[Rental] = field(default_factory=list)
    waiting: dict[str, str] = field(default_factory=dict)  # job: why its tasks wait
    spare: set[str] = field(default_factory=set)  # empty machines that nothing needs
    too_large: str | None = None  # a job that has waited for long, and that no zone's machines could hold
    drain: str | None = None  # a machine whose replicas fit elsewhere


def fetch_s(room: Room, spec: Submission) -> float:
    """Seconds until the job's image is on the machine; 0 if it is there."""
    return 0.0 if spec.image in room.images else spec.image_gb / max(room.type.fetch_gb_per_s, 1e-3)


def zone_ok(spec: Submission, zone: str, placed: dict[str, int]) -> bool:
    """May one more task go to this zone, given those placed? Those of unknown zone ('') may be anywhere."""
    if spec.one_zone and any(n and z != zone for z, n in placed.items()):
        return False
    return not spec.spread or placed.get(zone, 0) + placed.get("", 0) < (spec.tasks + 1) // 2
