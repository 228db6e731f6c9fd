"""The leader's work: observe, decide, commit, act. One object per term."""

from __future__ import annotations

import asyncio
import logging
import math

from .. import constants
from ..cloud.client import CloudClient
from ..cloud.inventory import Inventory
from ..cluster.peer_connections import PeerConnections
from ..config.script import Script
from ..config.settings import Settings
from ..duties.duty import Duties, DutyName, DutyState
from ..duties.garbage_collection import GarbageCollector, ImageCacheSweeper
from ..duties.intent_log import IntentLog
from ..model import records
from ..model.cluster_state import ClusterState
from ..model.job_state import JobState
from ..model.leadership import Role
from ..model.machine_state import MachineEvent
from ..model.report_reconciliation import due_commands, reconcile_report
from ..model.task_state import PRESENT, TaskState
from ..net.runtime import monotonic_time, wall_time
from ..policy import snapshot as policy_snapshot
from ..policy.failure_detector import FailureDetector, last_contact
from ..policy.plan import make_plan
from ..policy.renting import merge_rentals
from ..store.batcher import Batcher
from ..store.client import Health, StateClient
from ..store.election import Election
from ..store.image_cache_snapshots import ImageCacheSnapshots
from ..wire import peer as peer_messages
from ..wire import workers as worker_messages
from ..wire.cloud import MachineType
from ..wire.users import Kind
from ..workers.commands import TaskStopper
from ..workers.probes import Prober
from .draining import Drainer
from .failover import FailoverHints
from .pacing import pause_s, rest_s
from .plan_executor import PlanExecutor
from .record_watcher import RecordWatcher
from .snapshot_builder import SnapshotBuilder

log = logging.getLogger(__name__)


class LeaderTerm:
    """Leads for one term: observes reports and records, plans, commits and acts."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        cloud: CloudClient,
        election: Election,
        types: dict[str, MachineType],
        peers: PeerConnections,
        script: Script,
    ) -> None:
        self.settings = settings
        self.state = state
        self.election = election
        self.leadership = election.leadership
        self.term = election.leadership.term
        self.types = types
        self.peers = peers
        self.script = script
        self.cluster = ClusterState(settings, types, self.term)
        self.duties = Duties(self.leadership)
        lag_s = settings.settings.cloud.list_lag_s
        self.intent_log = IntentLog(state, settings.settings.state, self.duties.fence, lag_s)
        self.batcher = Batcher(state, settings.settings.state, self.cluster, self.duties.fence)
        self.inventory = Inventory(cloud, self.cluster, lag_s, self.intent_log)
        self.image_cache_snapshots = ImageCacheSnapshots(
            state, settings.settings.state, self.leadership, self.duties.fence
        )
        self.garbage_collector = GarbageCollector(state, settings.settings.state, self.duties)
        self.garbage_collector.sweepers.append(ImageCacheSweeper(state, self.cluster))
        self.task_stopper = TaskStopper(self.cluster, self.leadership, self.may_only_enforce_cancellations)
        self.prober = Prober(self.cluster, self.leadership)
        self.snapshot_builder = SnapshotBuilder(settings, self.cluster, self.inventory, script, self._may_rent)
        self.plan_executor = PlanExecutor(self.cluster, self.batcher, self.snapshot_builder)
        self.drainer = Drainer(self.cluster, self.inventory, script, settings.settings.workers)
        self.failover_hints = FailoverHints(self.cluster, self.inventory, self.drainer, self.snapshot_builder)
        self.intent_log.add_failover_hints = lambda record: self.failover_hints.add_hints(
            record, monotonic_time(), wall_time()
        )
        self.failure_detector = FailureDetector(
            self.cluster,
            settings.settings.workers,
            settings.settings.skew_ms / 1000,
            {settings.zone, *(seed.zone for seed in settings.seeds)},
        )
        self.record_watcher = RecordWatcher(
            state,
            self.cluster,
            lambda when, spec: self.snapshot_builder.recent_arrivals.append((when, spec)),
            lambda: self._wake.set(),
        )
        self._tasks: list[asyncio.Task] = []
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._replicas_wait = False  # for room, by the last plan: each cycle may find some
        self.cluster.on_urgent = self._urgent.set
        self.cluster.on_ending = self.batcher.flush_soon
        self._last_plan = 0.0
        self._next_fleet_report = 0.0  # when the other nodes are told of the fleet again
        self._next_pass = math.inf  # when the cycle's next pass is due at the latest
        self.cluster.inherited_images = dict(peers.fleet.images)
        self.cluster.silent_since = {name: peers.fleet_at - s for name, s in peers.fleet.silent.items()}

    def start(self) -> None:
        """Begin the leader's tasks; nothing is decided before records and duty page are loaded."""
        self._tasks = [
            asyncio.ensure_future(self._run_supervised(job))
            for job in (
                self._load_image_caches,
                self.record_watcher.run,
                self._fail_over,
                self.inventory.run,
                self.intent_log.run,
                self.garbage_collector.run,
                self._run_cycles,
            )
        ]

    def stop(self) -> None:
        """End all tasks of this term. What is on its way is found by a successor in records and duty page."""
        for task in self._tasks:
            task.cancel()
        self.duties.sync_with_lease()
        self.duties.relinquish()
        self.inventory.stop()
        self.batcher.stop()
        self.task_stopper.stop()
        self.prober.stop()
        self.image_cache_snapshots.stop()

    async def _load_image_caches(self) -> None:
        """What the leader before knew of images, if it could not tell: all nodes had ended."""
        if not self.cluster.inherited_images:
            self.cluster.inherited_images = await self.image_cache_snapshots.load()
            log.debug("images of %d machines are known", len(self.cluster.inherited_images))

    async def _run_supervised(self, job) -> None:  # type: ignore[no-untyped-def]
        """A fault in one pass must not end the leader's work."""
        while True:
            try:
                await job()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("fault in %s", job.__name__)
                await asyncio.sleep(0.5)

    # -- observe -------------------------------------------------------------------------------

    @property
    def loaded(self) -> bool:
        """Are all records and the book known? Before that nothing is decided and nothing commanded."""
        return self.duties[DutyName.PLACEMENT].state is not DutyState.ACQUIRING

    async def _fail_over(self) -> None:
        """Go on with what the holder before had begun. The book and the records are read side by side."""
        await self.intent_log.load()
        while not self.record_watcher.loaded:
            await asyncio.sleep(constants.FAILOVER_POLL_S)
        now = monotonic_time()
        self.failover_hints.apply_hints(self.intent_log.inherited, now, wall_time())
        self.duties.mark_ready(DutyName.PLACEMENT)
        self.inventory.resume_operations(now)
        log.info(
            "term %d takes over %d rentals and %d deletions that were begun, %d of them without an answer",
            self.term,
            len(self.intent_log.rentals),
            len(self.intent_log.deletions),
            len(self.inventory.pending_rentals),
        )
        while not self.inventory.has_listed:
            await asyncio.sleep(constants.FAILOVER_POLL_S)
        self.duties.mark_ready(DutyName.CLOUD_OPERATIONS)
        self.duties.mark_ready(DutyName.GARBAGE_COLLECTION)
        self._wake.set()

    def may_use_cloud(self) -> bool:
        """Asked as the last thing before each call that changes something there, after every wait for a turn."""
        return self.duties.may_act(DutyName.PLACEMENT, monotonic_time())

    def _may_rent(self) -> bool:
        """Whatever was rented before is known: by the book what is too new for the list, by the list the rest."""
        return (
            self.duties.may_act(DutyName.CLOUD_OPERATIONS, monotonic_time())
            and not self.failure_detector.nothing_heard_yet
        )

    def apply_record(self, ref: str, version: int, record: records.JobRecord) -> None:
        """A record that this node or another has committed."""
        self.record_watcher.apply_record(ref, version, record, monotonic_time())

    def handles_cancellation(self, ref: str) -> bool:
        """Does this leader know that the job is cancelled, and can it act?"""
        if not self.loaded or not (self.leadership.entitled(monotonic_time()) or self.may_only_enforce_cancellations()):
            return False
        job = self.cluster.jobs.get(ref)
        return job is None or job.state is JobState.CANCELLED

    def has_cleared_job(self, ref: str) -> bool:
        """Has this leader proven all tasks of a cancelled job off?"""
        job = self.cluster.jobs.get(ref)
        return self.handles_cancellation(ref) and (job is None or not job.active)

    def on_machines_deleted_elsewhere(self, names: list[str]) -> None:
        """Another node has deleted these machines, for tasks of cancelled jobs. They are room no more; that all on them
        is gone, this leader proves by an answer of its own (invariant 2)."""
        for name in names:
            machine = self.cluster.machines.get(name)
            if machine is not None and self.loaded:
                self.inventory.delete(machine, "another node has deleted it for a cancelled task")

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command] | None:
        """Commands for a worker, or none while this node may not command: the answer renews its lease all the same."""
        now = monotonic_time()
        if not self.loaded:
            return []
        commands = reconcile_report(self.cluster, report, now)
        if commands is None:
            return None if report.machine in self.cluster.deleted_machines else []
        if self.cluster.changed:
            self._wake.set()
        entitled = self.leadership.entitled(now)
        if not entitled and not self.may_only_enforce_cancellations():
            return []
        if report.token != self.term:
            return commands if entitled else []
        due = due_commands(self.cluster.machines[report.machine], report, now, ends_only=not entitled)
        return commands + due if entitled else due

    def has_pending_starts(self, name: str) -> bool:
        """Are there starts that the next report's answer should carry?"""
        machine = self.cluster.machines.get(name)
        return machine is not None and any(
            t.state in (TaskState.COMMITTED, TaskState.PROPOSED) for t in machine.tasks.values()
        )

    # -- decide --------------------------------------------------------------------------------

    async def _run_cycles(self) -> None:
        while True:
            if not self._urgent.is_set():
                try:
                    async with asyncio.timeout(constants.IDLE_CYCLE_S):
                        await self._wake.wait()
                except TimeoutError:
                    pass
            self._wake.clear()
            self._urgent.clear()
            pause = rest = constants.CYCLE_S
            self.election.check_lease()
            self.duties.sync_with_lease()
            if self.batcher.fence_lost or self.intent_log.fence_lost or self.cluster.superseded:
                self.election.step_down("another node holds the leader key")
                return
            began = monotonic_time()
            if self._may_decide(began) and self.loaded:
                self._run_cycle(began)
                took = monotonic_time() - began
                pause = pause_s(took)
                rest = pause if self._replicas_wait else rest_s(took)
                if took > 0.1:
                    log.debug("a cycle took %.0f ms", took * 1000)
            elif self.loaded and self.may_only_enforce_cancellations():
                self._enforce_cancellations(began)
            self._next_pass += monotonic_time() - began + rest
            await asyncio.sleep(pause)
            if rest > pause:
                try:
                    async with asyncio.timeout(rest - pause):
                        await self._urgent.wait()
                except TimeoutError:
                    pass

    def _may_decide(self, now: float) -> bool:
        """Is this node entitled, and since when without a break? A pause of its own ends that too."""
        if not self.leadership.entitled(now) or now > self._next_pass + constants.NODE_PAUSE_S:
            # Reports wait unread in the sockets when a node wakes: what it has not heard is not the workers' silence.
            self.failure_detector.entitled_since = None
        self._next_pass = now + constants.IDLE_CYCLE_S
        if not self.leadership.entitled(now):
            return False
        if self.failure_detector.entitled_since is None:
            self.failure_detector.entitled_since = now
        return True

    def may_only_enforce_cancellations(self) -> bool:
        """In an outage that all nodes share nobody can follow this leader, and cancel_s runs on.

        What it may still do is what a committed cancellation demands, which holds whoever leads: stop its tasks, and
        delete machines that can't be told. If it is wrong about the outage, that costs a machine and breaks no rule.
        """
        return (
            self.leadership.role is Role.DOUBTFUL
            and self.state.health() is Health.DOWN
            and not self.peers.state_works_elsewhere(monotonic_time())
        )

    def _enforce_cancellations(self, now: float) -> None:
        self._check_jobs(now)
        for machine, why in self.failure_detector.machines_with_overdue_cancellations(now, wall_time()):
            self.inventory.delete(machine, why)

    def _run_cycle(self, now: float) -> None:
        cluster = self.cluster
        idle = now - self._last_plan >= constants.IDLE_CYCLE_S
        if cluster.changed or idle:
            cluster.changed = False
            self.failover_hints.resume_draining()
            self._check_jobs(now)
            self._check_machines(now)
            # Reserves, returns and moves can wait a second; only waiting tasks are planned for at every change.
            if idle or any(job.has_waiting_tasks for job in cluster.jobs.values()):
                self._last_plan = now
                cut = self.failure_detector.unreachable_zones | self.failure_detector.unheard_zones
                snapshot = self.snapshot_builder.build(
                    now, self.drainer.may_migrate(now), cut, self.failure_detector.zones_with_controllers
                )
                self._apply(make_plan(snapshot), now)
            self.drainer.drain(now)
        self.batcher.flush()
        if now >= self._next_fleet_report:
            self._next_fleet_report = now + constants.FLEET_INTERVAL_S
            images = {m.name: dict(m.images) for m in cluster.machines.values() if m.images}
            self.peers.announce_fleet(
                peer_messages.Fleet(
                    images, {m.name: now - last_contact(m) for m in self.failure_detector.silent_machines(now)}
                )
            )
            if self.image_cache_snapshots.due(now):
                self.image_cache_snapshots.save(images, now)

    def _check_jobs(self, now: float) -> None:
        for job in list(self.cluster.jobs.values()):
            if (
                not job.is_open
                and not job.active
                and not job.write_in_flight
                and not job.pending_write
                and not job.committed_assignments
            ):
                self.cluster.forget_job(job)
            elif job.state is JobState.CANCELLED:
                for task in job.active.values():
                    # A stop that got lost is repeated: within cancel_s all its tasks must be gone.
                    if task.state in PRESENT and now - task.stop_sent_at > constants.STOP_REPEAT_S:
                        task.stop_sent_at = now
                        task.mark_stopping(0.0)
                        self.task_stopper.add(task)

    def _check_machines(self, now: float) -> None:
        hears_anyone = not self.peers.by_node or self.peers.any_fresh(now)
        found = self.failure_detector.evaluate(now, wall_time(), hears_anyone, self.peers.all_fresh(now))
        if found.isolated:
            self.duties.relinquish()
            asyncio.ensure_future(self.election.resign("hears neither workers nor other nodes"))
        for mtype, zone in found.failing_pools:
            log.info("new machines of %s in %s stay dark: others are rented elsewhere", mtype, zone)
        for machine, why in found.to_delete:
            self.inventory.delete(machine, why)
        for machine in found.to_retry:
            machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)
        self.prober.probe(found.to_probe, found.control_machines)

    # -- commit and act ------------------------------------------------------------------------

    def _apply(self, plan: policy_snapshot.Plan, now: float) -> None:
        self.plan_executor.apply(plan, now)
        cluster = self.cluster
        self._replicas_wait = any(
            job.kind is Kind.SERVICE for ref in plan.waiting if (job := cluster.jobs.get(ref)) is not None
        )
        for rental in merge_rentals(plan.rentals):
            self.inventory.rent(rental)
        self.drainer.return_idle(plan.idle_machines, now)
        self.drainer.consolidate(plan.drain, now)
