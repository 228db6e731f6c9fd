"""Jobs, tasks and machines of the cluster state, with references to one another.

Their state machines are in `job_state`, `task_state` and `machine_state`. Times are monotonic times in s unless stated
otherwise.
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
    """The machine and attempt that a job's record names for an assigned task."""

    machine: str
    attempt: int


@dataclass(slots=True, eq=False)
class Job:
    """A job: its committed record and this leader's decisions since then."""

    ref: str
    spec: Submission
    submitted_at: float  # time of day, by the clock of the node that accepted it
    version: int = 0  # latest known revision of the record
    state: JobState = JobState.OPEN
    done: CompletedTasks = field(default_factory=lambda: CompletedTasks(0))
    next_attempt: int = 1
    active: dict[int, Task] = field(default_factory=dict)
    # In the committed record: the assignments by task number, and the state.
    committed_assignments: dict[int, Assignment] = field(default_factory=dict)
    committed_state: JobState = JobState.OPEN
    pending_write: WritePriority = WritePriority.NONE
    write_in_flight: bool = False
    # Version and value of a change by another node that was received while a write was in flight.
    deferred_change: tuple[int, bytes] | None = None
    retry_not_before: float = 0.0  # end of the backoff after failures
    failed_rounds: int = 0  # rounds of failed starts; tasks that fail together are one round
    failed_on: dict[str, None] = field(default_factory=dict)  # machines where a task failed, most recent last
    has_completed_task: bool = False
    cancelled_at: float | None = None  # time of day, by the clock of the node that committed the cancellation
    known_open_at: float = -math.inf  # latest time at which the job was certainly not cancelled yet
    # The same, stored when a change by another node was deferred until a write had finished.
    known_open_before_write: float | None = None
    gang_started: bool = False  # a task of the current attempt has been seen running
    gang_broken: bool = False
    unplaced_since: float = math.inf  # start of the current uninterrupted period with waiting tasks
    queued_since: float = 0.0  # when the job became known, or when its last attempt ended

    @property
    def kind(self) -> Kind:
        """Array, gang or service."""
        return self.spec.kind

    @property
    def is_open(self) -> bool:
        """Whether the job has neither ended nor completed all its tasks."""
        return self.state is JobState.OPEN

    def move(self, event: JobEvent) -> JobState:
        """Apply an event; the state is changed nowhere else. Raises KeyError for one that the state does not allow."""
        self.state = JOB_TRANSITIONS[self.state, event]
        return self.state

    def request_write(self, priority: WritePriority) -> None:
        """Request a write of the job's record, at the most urgent priority requested so far."""
        self.pending_write = min(self.pending_write, priority) if self.pending_write else priority

    def waiting_tasks(self, max_count: int) -> list[int]:
        """Numbers of up to `max_count` tasks that are neither done nor assigned, lowest first."""
        indices: list[int] = []
        if not self.is_open:
            return indices
        above, active = self.done.above, self.active
        for index in self.done.startable_range():
            if index not in above and index not in active:
                indices.append(index)
                if len(indices) >= max_count:
                    break
        return indices

    @property
    def has_waiting_tasks(self) -> bool:
        """Whether there are tasks that are neither done nor assigned."""
        return self.is_open and len(self.active) + len(self.done) < self.spec.tasks

    def seconds_since_cancelled(self, now: float, wall: float, skew_s: float) -> float:
        """Upper bound in s of the time since the cancellation was confirmed to its user; inf if it is not known.

        A successor computes it from the time of day in the record and the current one (`wall`). When each of several
        leaders counted from the start of its own term instead, the last one deleted the machines 12 s too late. A
        leader that has read the job as open has a tighter bound, as a transaction may be applied minutes after the time
        in its record.
        """
        return min(seconds_since_cancelled(self.cancelled_at, wall, skew_s), now - self.known_open_at)

    @property
    def grace_s(self) -> float:
        """Seconds that its tasks get for a checkpoint when they are stopped; 0 if they write no checkpoints."""
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
    stop_grace_s: float | None = None  # time for a checkpoint; None unless the task is to be stopped
    stop_sent_at: float = 0.0  # when a stop was last sent as a direct command

    @property
    def name(self) -> str:
        """The task's name in the protocol: job and number."""
        return f"{self.job.ref}/{self.index}"

    @property
    def assignment(self) -> Assignment:
        """Its machine and attempt, as in a record."""
        return Assignment(self.machine.name, self.attempt)

    def move(self, event: TaskEvent, now: float) -> TaskState:
        """Apply an event; the state is changed nowhere else. Raises InvalidTransition."""
        new_state = next_state(self.state, event)
        if new_state is not self.state:
            self.state = new_state
            self.machine.invalidate_usage()
            self.state_since = now
            if new_state is TaskState.RUNNING and self.running_since is None:
                self.running_since = now
            elif new_state in (TaskState.COMMITTED, TaskState.SENT):
                self.running_since = None
        return new_state

    def mark_stopping(self, grace_s: float) -> None:
        """Mark the task as to be stopped, with `grace_s` seconds for a checkpoint. It is marked nowhere else."""
        self.stop_grace_s = grace_s
        self.machine.invalidate_usage()

    @property
    def stopping(self) -> bool:
        """Whether the task is to be stopped."""
        return self.stop_grace_s is not None

    @property
    def is_running_replica(self) -> bool:
        """Whether it is a running replica of a service and not being stopped."""
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
    """Resources that a machine's tasks use, are releasing, or would release if preempted."""

    cpus: float
    gpus: float
    memory_gb: float
    releasing_cpus: float  # this and the next two: of tasks being stopped
    releasing_gpus: float
    releasing_memory_gb: float
    stopping_by_team: dict[str, tuple[float, float]]  # team: CPUs and GPUs of tasks being stopped
    replicas: int  # running replicas of services
    preemptible_tasks: int  # tasks that may be stopped to free capacity
    # Resources of the preemptible tasks whose priority has rank 0, at most rank 1, and at most rank 2.
    preemptible_by_rank: tuple[Resources, Resources, Resources]
    pinned_tasks: int  # tasks that may not be stopped, apart from replicas
    images: frozenset[str]  # cached or needed by a task
    cached_images: frozenset[str]
    pending_fetches: int  # images that the machine is fetching, or will fetch once starts that need them arrive


class _TaskSums:
    """Counts and resources of a machine's tasks, separately for stopping, replica, preemptible and pinned tasks."""

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
        """Add a task to the sums of its category."""
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
    rented_at: float  # time of the rental; if that is not known, when the machine became known
    addr: str = ""
    session: int = 0
    seq: int = -1
    last_heard: float | None = None  # time of its latest report
    unacknowledged_reports: int = 0  # consecutive reports that did not show the starts sent before them
    unresponsive_since: float = 0.0
    duplicate_name_logged: bool = False  # whether it has been logged that another machine reports under its name
    probed_at: float = -math.inf  # when a probe was last sent to it
    probe_failed_at: float = -math.inf  # when the latest probe that it did not answer was sent
    reclaim_at: float | None = None  # when its spot reclaim notice expires
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    # Attempt of each task that runs on it without being assigned to it in any record.
    unknown_tasks: dict[tuple[str, int], int] = field(default_factory=dict)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)  # cached images: size in GB, latest used last
    # When the start of an attempt (job, task number, attempt) was last sent to it, if the answer may still arrive.
    start_sent_at: dict[tuple[str, int, int], float] = field(default_factory=dict)
    # Number of failed tasks per job since a task last completed on the machine.
    attributed_failures: dict[Job, int] = field(default_factory=dict)
    idle_since: float | None = None
    drain_reason: str = ""
    _usage: MachineUsage | None = None

    def forget_old_starts(self, now: float) -> None:
        """Forget the starts that were sent so long ago that the worker drops the answers which hold them."""
        if self.start_sent_at:
            self.start_sent_at = {
                attempt: sent_at
                for attempt, sent_at in self.start_sent_at.items()
                if now - sent_at < constants.START_ARRIVAL_MAX_S
            }

    def invalidate_usage(self) -> None:
        """Discard the cached usage. Every function that changes the machine's tasks or images calls this."""
        self._usage = None

    def usage(self) -> MachineUsage:
        """The resources in use, cached because most machines don't change from one scheduling cycle to the next."""
        if self._usage is None:
            self._usage = self._compute_usage()
        return self._usage

    def _compute_usage(self) -> MachineUsage:
        cpus = gpus = memory = 0.0
        images = set(self.images)
        missing_images = set()
        tasks = _TaskSums()
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
        """Apply an event and return the new state; an event that the state does not allow is ignored.

        The state is changed nowhere else.
        """
        new_state = MACHINE_TRANSITIONS.get((self.state, event))
        if new_state is not None:
            if new_state is not self.state:
                self.unacknowledged_reports = 0
            self.state = new_state
        return self.state

    @property
    def accepts_tasks(self) -> bool:
        """Whether tasks may be placed on it."""
        return self.state is MachineState.UP

    def track_image(self, image: str, gb: float) -> None:
        """Record the use of an image by the worker, whose cache keeps the most recently used images.

        `gb`: the image's size.
        """
        self.images[image] = gb
        self.images.move_to_end(image)
        cache_gb = self.type.cache_gb if self.type else 0.0
        total_gb = sum(self.images.values())
        while len(self.images) > 1 and total_gb > cache_gb:
            total_gb -= self.images.popitem(last=False)[1]
        self.invalidate_usage()
