"""Input and output of one scheduling cycle: free capacity, demands, and the plan. Plain data, no I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import constants
from ..model.entities import Resources
from ..model.quota import AMOUNT_TOLERANCE, QuotaUsage
from ..wire.cloud import MachineType
from ..wire.users import Priority, Submission

NO_RESOURCES: Resources = (0.0, 0.0, 0.0)


def precedence(priority: Priority, within: bool) -> tuple[bool, bool, int]:
    """The order of work: production first, then what is within its team's guarantee, then priority.

    One order decides both which demand is placed first and which work may preempt which. When there were two (priority
    for the one, guarantees for the other), a borrowing gang took free capacity before work of lower priority within a
    guarantee, which then stopped it: one gang was started 75 times in 250 s, and hardly anything else got done.
    """
    return priority is Priority.PRODUCTION, within, priority.rank


@dataclass(slots=True)
class Victim:
    """A task that might be preempted."""

    ref: str
    index: int
    priority: Priority
    team: str
    cpus: float
    gpus: float
    memory_gb: float
    lost_work_s: float  # work that stopping it would cost
    gang_size: int  # tasks that stop with it
    within_guarantee: bool = False  # its job is within its team's guarantee
    loses_gang_start: bool = False  # of a gang that would lose its start: it has several tasks, or hardly ran
    rank: int = field(init=False)  # both are read far more often than a victim is made
    precedence: tuple[bool, bool, int] = field(init=False)

    def __post_init__(self) -> None:
        self.rank = self.priority.rank
        self.precedence = precedence(self.priority, self.within_guarantee)


@dataclass(slots=True)
class MovableReplica:
    """A replica that could be started elsewhere."""

    ref: str
    spec: Submission
    zones: dict[str, int]
    ran_s: float
    index: int = 0  # of its task


@dataclass(slots=True, eq=False)
class FreeCapacity:
    """The free capacity of one machine, existing, booting or to be rented; CPUs, GPUs and GB of memory.

    What runs there is listed by `inspector` only when something might be stopped or moved. At 515 machines,
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
    cached_images: frozenset[str] | set[str] = frozenset()  # that it holds
    victims: list[Victim] = field(default_factory=list)
    pending_fetches: int = 0  # images on their way to it, which share its rate
    empty: bool = False
    movable_replicas: list[MovableReplica] = field(default_factory=list)
    replica_count: int = 0  # number of movable replicas, known without inspection
    pinned_tasks: int = 0  # tasks on it that can't be moved
    preemptible_tasks: int = -1  # number of victims, known without inspection; -1: those that are listed
    preemptible_by_rank: tuple[Resources, Resources, Resources] = (
        NO_RESOURCES,
        NO_RESOURCES,
        NO_RESOURCES,
    )  # of victims of rank 0, up to 1 and up to 2
    inspector: Callable[[], tuple[list[Victim], list[MovableReplica]]] | None = None
    releasing_cpus: float = 0.0  # resources of tasks being stopped
    releasing_gpus: float = 0.0
    releasing_memory_gb: float = 0.0
    zone_lacks_controller: bool = False  # its zone has no node: in a partition, what runs there dies with its lease
    # The job it is reserved for: only work of higher priority is placed on it meanwhile.
    reserved_for: str = ""
    reserved_rank: int = 0  # its priority
    version: int = 0  # changes whenever its free capacity does
    inspected: bool = False  # `inspector` was called
    modified: bool = False  # changed since the cycle began, other than by inspection: the next cycle resets it

    def __post_init__(self) -> None:
        if self.preemptible_tasks < 0:
            self.preemptible_tasks = len(self.victims)
            self.replica_count = len(self.movable_replicas)
            self.preemptible_by_rank = (
                self._preemptible_below(1),
                self._preemptible_below(2),
                self._preemptible_below(3),
            )

    def _preemptible_below(self, rank: int) -> Resources:
        found = [victim for victim in self.victims if victim.rank < rank]
        return (
            sum(victim.cpus for victim in found),
            sum(victim.gpus for victim in found),
            sum(victim.memory_gb for victim in found),
        )

    def inspect(self) -> None:
        """Fill in the tasks that could be stopped or moved; only few machines of a cycle need it."""
        if self.inspector is not None and not self.inspected:
            self.inspected = True
            self.victims, self.movable_replicas = self.inspector()

    def discard_inspection(self) -> None:
        """Forget the result of an inspection: it holds for one cycle."""
        if self.inspected:
            self.victims, self.movable_replicas, self.inspected = [], [], False

    def reset(self, cpus: float, gpus: float, memory_gb: float, soon: Resources) -> None:
        """Set what is free at the beginning of a cycle, and what will be after its stops; nothing is reserved."""
        self.cpus, self.gpus, self.memory_gb = cpus, gpus, memory_gb
        self.releasing_cpus, self.releasing_gpus, self.releasing_memory_gb = soon
        self.reserved_for, self.reserved_rank, self.version, self.modified = "", 0, 0, False

    def preemptible_below(self, rank: int) -> Resources:
        """What would become free if all its victims below this rank stopped, without inspecting each of them."""
        return self.preemptible_by_rank[rank - 1] if rank > 0 else NO_RESOURCES

    def reserve(self, ref: str, rank: int) -> None:
        """Reserve the machine for a job: only that job and work of higher priority are placed on it from now on."""
        self.reserved_for, self.reserved_rank, self.modified = ref, rank, True

    def keep_warm(self) -> None:
        """Count the machine as part of the warm pool: empty, but not idle."""
        self.empty, self.modified = False, True

    def fits(self, spec: Submission) -> bool:
        """Whether one task fits now."""
        return (
            spec.gpus <= self.gpus + AMOUNT_TOLERANCE
            and spec.cpus <= self.cpus + AMOUNT_TOLERANCE
            and spec.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
        )

    def fits_after_stops(self, spec: Submission) -> bool:
        """Whether one task fits once the stops under way are complete."""
        return (
            spec.gpus <= self.gpus + self.releasing_gpus + AMOUNT_TOLERANCE
            and spec.cpus <= self.cpus + self.releasing_cpus + AMOUNT_TOLERANCE
            and spec.memory_gb <= self.memory_gb + self.releasing_memory_gb + AMOUNT_TOLERANCE
        )

    def slots(self, spec: Submission, soon: bool) -> int:
        """How many tasks of this size fit."""
        most = 1_000_000
        if spec.gpus > 0:
            most = int((self.gpus + (self.releasing_gpus if soon else 0.0) + AMOUNT_TOLERANCE) / spec.gpus)
        if spec.cpus > 0:
            most = min(most, int((self.cpus + (self.releasing_cpus if soon else 0.0) + AMOUNT_TOLERANCE) / spec.cpus))
        if spec.memory_gb > 0:
            most = min(
                most,
                int((self.memory_gb + (self.releasing_memory_gb if soon else 0.0) + AMOUNT_TOLERANCE) / spec.memory_gb),
            )
        return max(0, most)

    def allocate(self, spec: Submission) -> None:
        """Place a task here."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.empty = False
        self.version += 1
        self.modified = True

    def deallocate(self, spec: Submission) -> None:
        """Take back a task that was placed here in this cycle."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.version += 1
        self.modified = True

    def release_after_stop(self, victim: Victim) -> None:
        """Count the resources of a task that is about to be stopped as releasing."""
        self.releasing_cpus += victim.cpus
        self.releasing_gpus += victim.gpus
        self.releasing_memory_gb += victim.memory_gb
        self.version += 1
        self.modified = True

    def allowed(self, spec: Submission) -> bool:
        """Whether the job allows this type, zone and kind (spot or ordinary) of machine."""
        return (
            (spec.spot or not self.spot)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.types is None or self.type.name in spec.types)
        )


@dataclass(slots=True)
class Demand:
    """A job's waiting tasks."""

    ref: str
    spec: Submission
    indices: list[int]
    sub_deadline: float
    run_s: float
    zones: dict[str, int]  # tasks it has, per zone
    within_guarantee: bool = False  # within its team's guarantee
    may_rent: bool = True  # a gang that has not come together for long rents only now and then
    avoided_machines: frozenset[str] = frozenset()  # machines on which it has failed
    # It has waited for so short a time that nothing is preempted for it yet: other tasks complete by themselves.
    defers_preemption: bool = False
    is_probe: bool = False  # the job seems faulty: it may use free capacity, and nothing is preempted or rented for it
    waited_s: float = 0.0  # since its acceptance, or since its last attempt ended
    has_reservation: bool = False  # machines are reserved for it
    is_speculative: bool = False  # no submitted job: warm pool for expected arrivals
    # Machines where the steps before it ran: their outputs may still be there.
    preferred_machines: frozenset[str] = frozenset()
    # It uses no GPU, and there are types without: it takes a machine with GPUs only where there is no other.
    prefers_cpu_machines: bool = False
    # A gang that has waited for much of the time in which it should start: it may displace work within a guarantee.
    may_displace: bool = False

    @property
    def precedence(self) -> tuple[bool, bool, int]:
        """The largest is placed first: production, within the guarantee, priority."""
        return precedence(self.spec.priority, self.within_guarantee)

    @property
    def start_overdue(self) -> bool:
        """Whether nothing of it has begun though it has waited for much of START_DEADLINE_S."""
        return (
            self.waited_s > constants.START_DEADLINE_S * constants.RESERVATION_DELAY_SHARE
            and not self.is_probe
            and not any(self.zones.values())
        )

    def would_occupy_gpu_machine(self, capacity: FreeCapacity) -> bool:
        """Whether it would take a GPU machine without using its GPUs. Such machines are used last, but used."""
        return self.prefers_cpu_machines and capacity.type.gpus > 0

    def allows(self, capacity: FreeCapacity) -> bool:
        """Whether a task may go to this machine: allowed by its job, not avoided, not reserved for another."""
        return (
            capacity.allowed(self.spec)
            and capacity.name not in self.avoided_machines
            and (capacity.reserved_for in ("", self.ref) or capacity.reserved_rank < self.spec.priority.rank)
        )


@dataclass(slots=True)
class StalledReplica:
    """A replica whose image fetch has taken long, and will take some time yet."""

    demand: Demand  # as if it were to be placed anew
    index: int


@dataclass(slots=True)
class Rental:
    """Machines of one type, zone and kind to be rented."""

    type: str
    zone: str
    spot: bool
    count: int = 1


@dataclass(slots=True)
class WarmPoolTarget:
    """Capacity to keep warm for work that must start sooner than a machine boots."""

    spec: Submission
    count: int


@dataclass(slots=True)
class Snapshot:
    """The input of one plan; amounts in CPUs, GPUs and GB, times in seconds."""

    now: float  # time of day
    capacities: list[FreeCapacity]
    demands: list[Demand]
    quota: QuotaUsage
    types: dict[str, MachineType]
    capacity_refusals: set[tuple[str, str, bool]]  # type, zone, spot: recently without capacity
    warm_pool_targets: list[WarmPoolTarget] = field(default_factory=list)
    stalled_replicas: list[StalledReplica] = field(default_factory=list)
    # Of failing pools (type, zone): how many machines may be rented there yet.
    boot_probe_allowance: dict[tuple[str, str], int] = field(default_factory=dict)
    zones_with_controllers: frozenset[str] | None = None  # zones that have a node; None: all
    unreachable_zones: frozenset[str] = frozenset()  # partitioned zones: what is rented there could not be reached
    may_rent: bool = True
    may_migrate: bool = True  # replicas may be moved off a nearly empty machine now
    slack_pad: float = constants.SLACK_PADDING_RATIO
    stopping_gpus: dict[str, float] = field(default_factory=dict)  # per team, of tasks being stopped
    stopping_cpus: dict[str, float] = field(default_factory=dict)

    def zone_lacks_controller(self, zone: str) -> bool:
        """Is the zone without a controller node?"""
        return self.zones_with_controllers is not None and zone not in self.zones_with_controllers


class TaskPlacement(NamedTuple):
    """A task of a job, by its index, and the machine it starts on."""

    task_index: int
    machine: str


class JobStart(NamedTuple):
    """The tasks of one job that start in this cycle."""

    ref: str
    placements: list[TaskPlacement]


class TaskStop(NamedTuple):
    """A task that is preempted, and the job it is preempted for."""

    ref: str
    task_index: int
    preempted_for: str


class ReplicaRef(NamedTuple):
    """A replica, by its job and its index."""

    ref: str
    task_index: int


@dataclass(slots=True)
class Plan:
    """The decisions of one cycle."""

    starts: list[JobStart] = field(default_factory=list)
    stops: list[TaskStop] = field(default_factory=list)
    # Gang: the machines reserved for it while preempted tasks stop.
    reservations: dict[str, list[str]] = field(default_factory=dict)
    restarts_near_image: list[ReplicaRef] = field(default_factory=list)  # to be started beside their image
    # Replicas that must move for a gang to start.
    migrations: list[ReplicaRef] = field(default_factory=list)
    rentals: list[Rental] = field(default_factory=list)
    waiting: dict[str, str] = field(default_factory=dict)  # job: why its tasks wait
    idle_machines: set[str] = field(default_factory=set)  # empty machines that may be returned
    unplaceable_job: str | None = None  # a job that has waited for long, and that no zone's machines could hold
    drain: str | None = None  # a machine whose replicas fit elsewhere


def fetch_s(capacity: FreeCapacity, spec: Submission) -> float:
    """Seconds until the job's image is on the machine; 0 if it is there."""
    return 0.0 if spec.image in capacity.images else spec.image_gb / max(capacity.type.fetch_gb_per_s, 1e-3)


def zone_allowed(spec: Submission, zone: str, placed: dict[str, int]) -> bool:
    """Whether one more task may go to this zone, given those placed. Those of unknown zone ('') may be anywhere."""
    if spec.one_zone and any(count and other_zone != zone for other_zone, count in placed.items()):
        return False
    return not spec.spread or placed.get(zone, 0) + placed.get("", 0) < (spec.tasks + 1) // 2
