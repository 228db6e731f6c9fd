"""Input and output of one scheduling cycle: free capacity, demands and the plan. Plain data: no I/O, no clock."""

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


def precedence(priority: Priority, within_guarantee: bool) -> tuple[bool, bool, int]:
    """The sort key of work: production first, then work within its team's guarantee, then priority.

    The same order decides which demand is placed first and which work may preempt which. With two different orders
    (priority for placement, guarantees for preemption), a borrowing gang took free capacity ahead of lower-priority
    work within a guarantee, which then preempted it: one gang was started 75 times in 250 s, and little else ran.
    """
    return priority is Priority.PRODUCTION, within_guarantee, priority.rank


@dataclass(slots=True)
class Victim:
    """A task that may be preempted."""

    ref: str
    index: int
    priority: Priority
    team: str
    cpus: float
    gpus: float
    memory_gb: float
    lost_work_s: float  # run time lost if the task is stopped
    gang_size: int  # number of tasks that stop together with it
    within_guarantee: bool = False  # its job is within its team's guarantee
    # Stopping it costs its gang the start: the gang has several tasks, or has run for only a short time.
    loses_gang_start: bool = False
    # Computed once: both are read far more often than a victim is created.
    rank: int = field(init=False)
    precedence: tuple[bool, bool, int] = field(init=False)

    def __post_init__(self) -> None:
        self.rank = self.priority.rank
        self.precedence = precedence(self.priority, self.within_guarantee)


@dataclass(slots=True)
class MovableReplica:
    """A replica that can be moved to another machine."""

    ref: str
    spec: Submission
    zones: dict[str, int]  # number of the job's tasks per zone
    ran_s: float
    index: int = 0  # task index of the replica


@dataclass(slots=True, eq=False)
class FreeCapacity:
    """The free capacity of one machine that runs, boots or is to be rented, in CPUs, GPUs and GB of memory.

    The tasks on the machine are listed by `inspector`, and only when some of them may be stopped or moved: with 515
    machines, listing every task of every machine in each cycle took longer than the cycle itself.
    """

    name: str
    type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    ready_in: float = 0.0  # s until the machine can run tasks
    images: frozenset[str] | set[str] = frozenset()  # cached or being fetched
    cached_images: frozenset[str] | set[str] = frozenset()  # cached only
    victims: list[Victim] = field(default_factory=list)
    pending_fetches: int = 0  # image fetches under way, which share the machine's fetch rate
    empty: bool = False
    movable_replicas: list[MovableReplica] = field(default_factory=list)
    replica_count: int = 0  # number of movable replicas, known without inspection
    pinned_tasks: int = 0  # number of tasks that can't be moved
    preemptible_tasks: int = -1  # number of victims, known without inspection; -1: the length of `victims`
    preemptible_by_rank: tuple[Resources, Resources, Resources] = (
        NO_RESOURCES,
        NO_RESOURCES,
        NO_RESOURCES,
    )  # total resources of the victims of rank 0, up to rank 1 and up to rank 2
    inspector: Callable[[], tuple[list[Victim], list[MovableReplica]]] | None = None
    releasing_cpus: float = 0.0  # held by tasks that are being stopped, like the next two
    releasing_gpus: float = 0.0
    releasing_memory_gb: float = 0.0
    # Its zone has no controller node: in a partition, its tasks end when their lease expires.
    zone_lacks_controller: bool = False
    # The job that the machine is reserved for. Of other jobs, only those of higher priority are placed on it.
    reserved_for: str = ""
    reserved_rank: int = 0  # priority rank of that job
    version: int = 0  # incremented whenever the free capacity changes
    inspected: bool = False  # `inspector` was called in this cycle
    modified: bool = False  # changed in this cycle, other than by inspection: the next cycle resets the capacity

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
        preemptible = [victim for victim in self.victims if victim.rank < rank]
        return (
            sum(victim.cpus for victim in preemptible),
            sum(victim.gpus for victim in preemptible),
            sum(victim.memory_gb for victim in preemptible),
        )

    def inspect(self) -> None:
        """List the tasks that may be stopped or moved. Only a few machines need this in a cycle."""
        if self.inspector is not None and not self.inspected:
            self.inspected = True
            self.victims, self.movable_replicas = self.inspector()

    def discard_inspection(self) -> None:
        """Discard the result of an inspection, which is valid for one cycle."""
        if self.inspected:
            self.victims, self.movable_replicas, self.inspected = [], [], False

    def reset(self, cpus: float, gpus: float, memory_gb: float, releasing: Resources) -> None:
        """Set the free and the releasing resources at the beginning of a cycle, and clear the reservation."""
        self.cpus, self.gpus, self.memory_gb = cpus, gpus, memory_gb
        self.releasing_cpus, self.releasing_gpus, self.releasing_memory_gb = releasing
        self.reserved_for, self.reserved_rank, self.version, self.modified = "", 0, 0, False

    def preemptible_below(self, rank: int) -> Resources:
        """The resources freed if all victims below this rank stopped, without an inspection."""
        return self.preemptible_by_rank[rank - 1] if rank > 0 else NO_RESOURCES

    def reserve(self, ref: str, rank: int) -> None:
        """Reserve the machine for a job: only that job and jobs of higher priority are placed on it from now on."""
        self.reserved_for, self.reserved_rank, self.modified = ref, rank, True

    def keep_warm(self) -> None:
        """Keep the machine in the warm pool: it has no tasks, but is not returned as idle."""
        self.empty, self.modified = False, True

    def fits(self, spec: Submission) -> bool:
        """Whether one task fits into the free resources."""
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

    def slots(self, spec: Submission, after_stops: bool) -> int:
        """How many tasks of this size fit. `after_stops`: once the stops under way are complete."""
        task_count = 1_000_000
        if spec.gpus > 0:
            task_count = int((self.gpus + (self.releasing_gpus if after_stops else 0.0) + AMOUNT_TOLERANCE) / spec.gpus)
        if spec.cpus > 0:
            task_count = min(
                task_count,
                int((self.cpus + (self.releasing_cpus if after_stops else 0.0) + AMOUNT_TOLERANCE) / spec.cpus),
            )
        if spec.memory_gb > 0:
            task_count = min(
                task_count,
                int(
                    (self.memory_gb + (self.releasing_memory_gb if after_stops else 0.0) + AMOUNT_TOLERANCE)
                    / spec.memory_gb
                ),
            )
        return max(0, task_count)

    def allocate(self, spec: Submission) -> None:
        """Subtract a task's resources from the free capacity."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.empty = False
        self.version += 1
        self.modified = True

    def deallocate(self, spec: Submission) -> None:
        """Undo an `allocate` of this cycle."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.version += 1
        self.modified = True

    def release_after_stop(self, victim: Victim) -> None:
        """Count the resources of a task that is to be stopped as releasing."""
        self.releasing_cpus += victim.cpus
        self.releasing_gpus += victim.gpus
        self.releasing_memory_gb += victim.memory_gb
        self.version += 1
        self.modified = True

    def allowed(self, spec: Submission) -> bool:
        """Whether the job allows this machine's type, zone and kind (spot or ordinary)."""
        return (
            (spec.spot or not self.spot)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.types is None or self.type.name in spec.types)
        )


@dataclass(slots=True)
class Demand:
    """The waiting tasks of one job."""

    ref: str
    spec: Submission
    indices: list[int]
    sub_deadline: float
    run_s: float
    zones: dict[str, int]  # number of the job's placed tasks per zone
    within_guarantee: bool = False  # within its team's guarantee
    may_rent: bool = True  # False in most cycles for a gang that has waited for long without a start
    avoided_machines: frozenset[str] = frozenset()  # machines on which the job has failed
    # The job has waited so briefly that nothing is preempted for it yet: running tasks may complete in time.
    defers_preemption: bool = False
    is_probe: bool = False  # the job seems faulty: it may use free capacity, but nothing is preempted or rented for it
    waited_s: float = 0.0  # since the job was accepted, or since its last attempt ended
    has_reservation: bool = False  # machines are reserved for the job
    is_speculative: bool = False  # not a submitted job, but warm pool capacity for expected arrivals
    # Machines on which the preceding workflow steps ran: their outputs may still be there.
    preferred_machines: frozenset[str] = frozenset()
    # The job uses no GPU and fits a machine type without GPUs: GPU machines are its last choice.
    prefers_cpu_machines: bool = False
    # A gang that has waited for a large part of its start objective may displace work within a guarantee.
    may_displace: bool = False

    @property
    def precedence(self) -> tuple[bool, bool, int]:
        """The precedence of the job (see `precedence`): the largest is placed first."""
        return precedence(self.spec.priority, self.within_guarantee)

    @property
    def start_overdue(self) -> bool:
        """Whether no task has started within a share (`RESERVATION_DELAY_SHARE`) of the start objective."""
        return (
            self.waited_s > constants.START_DEADLINE_S * constants.RESERVATION_DELAY_SHARE
            and not self.is_probe
            and not any(self.zones.values())
        )

    def would_occupy_gpu_machine(self, capacity: FreeCapacity) -> bool:
        """Whether a task would use a GPU machine but none of its GPUs. Such a machine is the last choice."""
        return self.prefers_cpu_machines and capacity.type.gpus > 0

    def allows(self, capacity: FreeCapacity) -> bool:
        """Whether a task may be placed on this machine: allowed by its job, not avoided, not reserved for another."""
        return (
            capacity.allowed(self.spec)
            and capacity.name not in self.avoided_machines
            and (capacity.reserved_for in ("", self.ref) or capacity.reserved_rank < self.spec.priority.rank)
        )


@dataclass(slots=True)
class StalledReplica:
    """A replica whose image fetch is slow and not about to complete."""

    demand: Demand  # to place the replica on another machine
    index: int  # task index of the replica


@dataclass(slots=True)
class Rental:
    """Machines of one type, zone and kind (spot or ordinary) to rent."""

    type: str
    zone: str
    spot: bool
    count: int = 1


@dataclass(slots=True)
class WarmPoolTarget:
    """Capacity to keep free for work that must start sooner than a machine boots."""

    spec: Submission
    count: int


@dataclass(slots=True)
class Snapshot:
    """The input of one plan. Amounts are in CPUs, GPUs and GB, times in seconds."""

    now: float  # time of day
    capacities: list[FreeCapacity]
    demands: list[Demand]
    quota: QuotaUsage
    types: dict[str, MachineType]
    capacity_refusals: set[tuple[str, str, bool]]  # type, zone and spot of recently refused rentals
    warm_pool_targets: list[WarmPoolTarget] = field(default_factory=list)
    stalled_replicas: list[StalledReplica] = field(default_factory=list)
    # Number of machines that may still be rented in each capacity pool (type, zone) whose machines fail to boot.
    boot_probe_allowance: dict[tuple[str, str], int] = field(default_factory=dict)
    zones_with_controllers: frozenset[str] | None = None  # zones that have a controller node; None: all zones
    unreachable_zones: frozenset[str] = frozenset()  # partitioned zones: machines rented there could not be reached
    may_rent: bool = True
    may_migrate: bool = True  # replicas may be moved now to empty a machine
    slack_pad: float = constants.SLACK_PADDING_RATIO
    stopping_gpus: dict[str, float] = field(default_factory=dict)  # per team, held by tasks that are being stopped
    stopping_cpus: dict[str, float] = field(default_factory=dict)

    def zone_lacks_controller(self, zone: str) -> bool:
        """Whether the zone has no controller node."""
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
    """A replica, by its job and its task index."""

    ref: str
    task_index: int


@dataclass(slots=True)
class Plan:
    """The decisions of one cycle."""

    starts: list[JobStart] = field(default_factory=list)
    stops: list[TaskStop] = field(default_factory=list)
    # For each gang, the machines reserved for it while preempted tasks stop.
    reservations: dict[str, list[str]] = field(default_factory=dict)
    restarts_near_image: list[ReplicaRef] = field(default_factory=list)  # to restart on machines with their image
    # Replicas to move so that a gang can start.
    migrations: list[ReplicaRef] = field(default_factory=list)
    rentals: list[Rental] = field(default_factory=list)
    waiting: dict[str, str] = field(default_factory=dict)  # for each waiting job, the reason
    idle_machines: set[str] = field(default_factory=set)  # empty machines that may be returned
    unplaceable_job: str | None = None  # a job that has waited for long and fits no zone's machines
    drain: str | None = None  # a machine to drain: its replicas fit on others


def fetch_s(capacity: FreeCapacity, spec: Submission) -> float:
    """Seconds to fetch the job's image; 0 if the machine holds or fetches it already."""
    return 0.0 if spec.image in capacity.images else spec.image_gb / max(capacity.type.fetch_gb_per_s, 1e-3)


def zone_allowed(spec: Submission, zone: str, placed: dict[str, int]) -> bool:
    """Whether one more task may be placed in this zone.

    `placed` is the number of placed tasks per zone; those of an unknown zone ('') may be in any.
    """
    if spec.one_zone and any(count and other_zone != zone for other_zone, count in placed.items()):
        return False
    return not spec.spread or placed.get(zone, 0) + placed.get("", 0) < (spec.tasks + 1) // 2
