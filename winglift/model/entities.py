"""Jobs, tasks and machines of the cluster state, with references to one another.

Their state machines are in `job_state`, `task_state` and `machine_state`. Times are steady times in s unless stated.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import constants
from ..wire.cloud import MachineType
from ..wire.users import Kind, Priority, Submission
from .job_state import JOB_TRANSITIONS, CompletedTasks, JobEvent, JobState, seconds_since_cancelled
from .machine_state import TRANSITIONS as MACHINE_TRANSITIONS
from .machine_state import MachineEvent, MachineState
from .task_state import PRESENT, TaskEvent, TaskState, next_state
from .write_priority import WritePriority

Resources = tuple[float, float, float]  # CPUs, GPUs, GB of memory


class Assignment(NamedTuple):
    """What a job's record says of an assigned task."""

    machine: str
    attempt: int


@dataclass(slots=True, eq=False)
class Job:
    """A job: its committed record, and what this leader has decided since."""

    ref: str
    spec: Submission
    submitted_at: float  # time of day, from the node that accepted it
    version: int = 0  # revision of the record as last known
    state: JobState = JobState.OPEN
    done: CompletedTasks = field(default_factory=lambda: CompletedTasks(0))
    next_attempt: int = 1
    active: dict[int, Task] = field(default_factory=dict)
    # of the committed record: the assignments by task number, and the state
    committed_assignments: dict[int, Assignment] = field(default_factory=dict)
    committed_state: JobState = JobState.OPEN
    pending_write: WritePriority = WritePriority.NONE
    write_in_flight: bool = False
    deferred_change: tuple[int, bytes] | None = (
        None  # version and value of a change by another node, received while a write is under way
    )
    retry_not_before: float = 0.0  # backoff after failures
    failed_rounds: int = 0  # rounds of failed starts
    failed_on: dict[str, None] = field(default_factory=dict)  # machines where a task failed, the latest last
    has_completed_task: bool = False
    cancelled_at: float | None = None  # time of day, from the node that committed the cancellation
    known_open_at: float = -math.inf  # steady time at which the job was surely not cancelled yet
    known_open_before_write: float | None = (
        None  # the same, noted when a change by another node was deferred for a write
    )
    gang_started: bool = False  # the present attempt has been seen running
    gang_broken: bool = False
    unplaced_since: float = math.inf  # since when it has had waiting tasks without interruption
    queued_since: float = 0.0  # when it was first known, or when its last attempt ended

    @property
    def kind(self) -> Kind:
        """Array, gang or service."""
        return self.spec.kind

    @property
    def is_open(self) -> bool:
        """Whether it has neither ended nor completed all its tasks."""
        return self.state is JobState.OPEN

    def move(self, event: JobEvent) -> JobState:
        """Apply an event; the state is changed nowhere else. Raises KeyError for one that the state does not allow."""
        self.state = JOB_TRANSITIONS[self.state, event]
        return self.state

    def request_write(self, priority: WritePriority) -> None:
        """Request a write of the job's record; of several requests the most urgent one counts."""
        self.pending_write = min(self.pending_write, priority) if self.pending_write else priority

    def waiting_tasks(self, most: int) -> list[int]:
        """Numbers of up to `most` tasks that are neither done nor assigned, lowest first."""
        found: list[int] = []
        if not self.is_open:
            return found
        above, active = self.done.above, self.active
        for index in self.done.open_window():
            if index not in above and index not in active:
                found.append(index)
                if len(found) >= most:
                    break
        return found

    @property
    def has_waiting_tasks(self) -> bool:
        """Whether there are tasks that are neither done nor assigned."""
        return self.is_open and len(self.active) + len(self.done) < self.spec.tasks

    def seconds_since_cancelled(self, now: float, wall: float, skew_s: float) -> float:
        """Upper bound in s of the time since its user was answered that the job is cancelled; inf if not known.

        A successor knows it from the record, by the time of day (`wall`): each of several leaders once counted from its
        own start, and the last one deleted the machines 12 s too late. A leader that has read the job as open since has
        a better bound: a transaction may be applied minutes after the time that it holds.
        """
        return min(seconds_since_cancelled(self.cancelled_at, wall, skew_s), now - self.known_open_at)

    @property
    def grace_s(self) -> float:
        """Seconds that its tasks are given for a checkpoint when they are stopped; 0: they write none."""
        return self.spec.save_s + constants.STOP_GRACE_MARGIN_S if self.spec.checkpoint_s > 0 else 0.0

    def unfinished_count(self) -> int:
        """Number of tasks that are not done."""
        return self.spec.tasks - len(self.done)


@dataclass(slots=True, eq=False)
class Task:
    """One attempt of one task on a machine."""

    job: Job
    index: int
    attempt: int
    machine: Machine
    state: TaskState
    state_since: float  # when the state last changed
    sent_session: int = 0
    sent_seq: int = 0
    running_since: float | None = None
    stop_grace_s: float | None = None  # set once the task is to be stopped
    stop_sent_at: float = 0.0  # when a stop was last sent by a direct command

    @property
    def name(self) -> str:
        """The task's name in the protocol: job and number."""
        return f"{self.job.ref}/{self.index}"

    @property
    def assignment(self) -> Assignment:
        """Its machine and attempt, as a record names them."""
        return Assignment(self.machine.name, self.attempt)

    def move(self, event: TaskEvent, now: float) -> TaskState:
        """Apply an event; the state is changed nowhere else. Raises InvalidTransition."""
        new = next_state(self.state, event)
        if new is not self.state:
            self.state = new
            self.machine.invalidate_usage()
            self.state_since = now
            if new is TaskState.RUNNING and self.running_since is None:
                self.running_since = now
            elif new in (TaskState.COMMITTED, TaskState.SENT):
                self.running_since = None
        return new

    def mark_stopping(self, grace_s: float) -> None:
        """Mark the task as to be stopped, with `grace_s` seconds for a checkpoint. Done nowhere else."""
        self.stop_grace_s = grace_s
        self.machine.invalidate_usage()

    @property
    def stopping(self) -> bool:
        """Whether the task is to be stopped."""
        return self.stop_grace_s is not None

    @property
    def is_running_replica(self) -> bool:
        """Whether it is a running replica of a service that is not being stopped."""
        return not self.stopping and self.job.kind is Kind.SERVICE and self.state is TaskState.RUNNING

    @property
    def preemptible(self) -> bool:
        """Whether it may be stopped to free capacity for other tasks."""
        return (
            not self.stopping
            and self.state in PRESENT
            and not self.is_running_replica
            and self.job.spec.priority is not Priority.PRODUCTION
        )


@dataclass(frozen=True, slots=True)
class MachineUsage:
    """Resources that a machine's tasks use, and those that are being or could be released."""

    cpus: float
    gpus: float
    memory_gb: float
    releasing_cpus: float  # of tasks being stopped
    releasing_gpus: float
    releasing_memory_gb: float
    stopping_by_team: dict[str, tuple[float, float]]  # team: CPUs and GPUs of tasks being stopped
    replicas: int  # running replicas of services
    preemptible_tasks: int  # tasks that may be stopped to free capacity
    preemptible_by_rank: tuple[
        Resources, Resources, Resources
    ]  # their resources: of rank 0, up to rank 1, up to rank 2
    pinned_tasks: int  # tasks that may not be stopped, replicas aside
    images: frozenset[str]  # cached, or needed by a task
    cached_images: frozenset[str]  # cached
    pending_fetches: int  # images that it fetches, or will fetch once the starts arrive


class _TasksByDisposition:
    """Sums over a machine's tasks: those being stopped, replicas, preemptible tasks and the pinned rest."""

    __slots__ = (
        "by_rank",
        "pinned",
        "preemptible",
        "releasing_cpus",
        "releasing_gpus",
        "releasing_memory_gb",
        "replicas",
        "stopping_by_team",
    )

    def __init__(self) -> None:
        self.releasing_cpus = self.releasing_gpus = self.releasing_memory_gb = 0.0
        self.stopping_by_team: dict[str, tuple[float, float]] = {}
        self.replicas = self.preemptible = self.pinned = 0
        self.by_rank: list[Resources] = [(0.0, 0.0, 0.0)] * 3

    def add(self, task: Task) -> None:
        """Add one task to the sums of its kind."""
        if task.stopping:
            self._add_stopping(task.job.spec)
        elif task.is_running_replica:
            self.replicas += 1
        elif task.preemptible:
            self._add_preemptible(task.job.spec)
        else:
            self.pinned += 1

    def _add_stopping(self, spec: Submission) -> None:
        self.releasing_cpus += spec.cpus
        self.releasing_gpus += spec.gpus
        self.releasing_memory_gb += spec.memory_gb
        team_cpus, team_gpus = self.stopping_by_team.get(spec.team, (0.0, 0.0))
        self.stopping_by_team[spec.team] = (team_cpus + spec.cpus, team_gpus + spec.gpus)

    def _add_preemptible(self, spec: Submission) -> None:
        self.preemptible += 1
        for rank in range(spec.priority.rank, 3):
            cpus, gpus, memory_gb = self.by_rank[rank]
            self.by_rank[rank] = (cpus + spec.cpus, gpus + spec.gpus, memory_gb + spec.memory_gb)


@dataclass(slots=True, eq=False)
class Machine:
    """A rented machine."""

    name: str
    type: MachineType | None
    type_name: str
    zone: str
    spot: bool
    state: MachineState
    known_since: float
    rented_at: float  # time of the rental, as well as it is known
    addr: str = ""
    session: int = 0
    seq: int = -1
    last_heard: float | None = None  # time of its latest report
    unacknowledged_reports: int = 0  # consecutive reports that did not show the starts sent before them
    unresponsive_since: float = 0.0
    duplicate_name_logged: bool = False  # that another machine reports under its name has been logged
    probed_at: float = -math.inf  # when a probe was last sent to it
    probe_failed_at: float = -math.inf  # when a probe was sent that it did not answer
    reclaim_at: float | None = None  # when its spot reclaim notice expires
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    unknown_tasks: dict[tuple[str, int], int] = field(default_factory=dict)  # tasks on it that no record names: attempt
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    attributed_failures: dict[Job, int] = field(default_factory=dict)  # failed tasks since one completed there, per job
    idle_since: float | None = None
    drain_reason: str = ""
    _usage: MachineUsage | None = None

    def invalidate_usage(self) -> None:
        """Drop the cached usage. Called by each function that changes its tasks or images, and by nothing else."""
        self._usage = None

    def usage(self) -> MachineUsage:
        """The resources in use, cached until a change: most machines don't change from one cycle to the next."""
        if self._usage is None:
            self._usage = self._compute_usage()
        return self._usage

    def _compute_usage(self) -> MachineUsage:
        cpus = gpus = memory = 0.0
        images = set(self.images)
        missing_images = set()
        tasks = _TasksByDisposition()
        for task in self.tasks.values():
            spec = task.job.spec
            cpus += spec.cpus
            gpus += spec.gpus
            memory += spec.memory_gb
            images.add(spec.image)
            if spec.image not in self.images:
                missing_images.add(spec.image)
            tasks.add(task)
        return MachineUsage(
            cpus=cpus,
            gpus=gpus,
            memory_gb=memory,
            releasing_cpus=tasks.releasing_cpus,
            releasing_gpus=tasks.releasing_gpus,
            releasing_memory_gb=tasks.releasing_memory_gb,
            stopping_by_team=tasks.stopping_by_team,
            replicas=tasks.replicas,
            preemptible_tasks=tasks.preemptible,
            preemptible_by_rank=(tasks.by_rank[0], tasks.by_rank[1], tasks.by_rank[2]),
            pinned_tasks=tasks.pinned,
            images=frozenset(images),
            cached_images=frozenset(self.images),
            pending_fetches=len(missing_images),
        )

    def move(self, event: MachineEvent) -> MachineState:
        """Apply an event; one that the state does not allow changes nothing. The state is changed nowhere else."""
        new = MACHINE_TRANSITIONS.get((self.state, event))
        if new is not None:
            if new is not self.state:
                self.unacknowledged_reports = 0
            self.state = new
        return self.state

    @property
    def accepts_tasks(self) -> bool:
        """Whether tasks may be placed on it."""
        return self.state is MachineState.UP

    def track_image(self, image: str, gb: float) -> None:
        """Track the worker's image cache, which keeps the most recently used images; `gb`: the image's size."""
        self.images[image] = gb
        self.images.move_to_end(image)
        cache_gb = self.type.cache_gb if self.type else 0.0
        total_gb = sum(self.images.values())
        while len(self.images) > 1 and total_gb > cache_gb:
            total_gb -= self.images.popitem(last=False)[1]
        self.invalidate_usage()
