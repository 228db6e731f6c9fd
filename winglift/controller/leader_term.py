"""The leader's work in one term: observe, decide, commit, act."""

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
from ..duties.intent_record import IntentRecord
from ..model import records
from ..model.cluster_state import ClusterState
from ..model.job_state import JobState
from ..model.leadership import Role
from ..model.machine_state import MachineEvent
from ..model.report_reconciliation import due_commands, reconcile_report
from ..model.task_state import PRESENT, TaskState
from ..net.runtime import monotonic_time, wall_time
from ..policy import snapshot as policy_snapshot
from ..policy.failure_detector import FailureDetector
from ..policy.plan import make_plan
from ..policy.renting import merge_rentals
from ..store.batcher import Batcher
from ..store.client import Health, StateClient
from ..store.election import Election
from ..store.image_cache_snapshots import ImageCacheSnapshots
from ..wire import workers as worker_messages
from ..wire.cloud import MachineType
from ..wire.users import Kind
from ..workers.commands import TaskStopper
from ..workers.probes import Prober
from .draining import Drainer
from .failover import FailoverHints
from .fleet_reporter import FleetReporter
from .pacing import CyclePacer, long_pause_s, pause_s
from .plan_executor import PlanExecutor
from .record_watcher import RecordListener, RecordWatcher
from .snapshot_builder import SnapshotBuilder
from .supervised_tasks import SupervisedTasks

log = logging.getLogger(__name__)

SLOW_CYCLE_S = 0.1  # a planning cycle that takes longer is logged


class LeaderTerm:
    """Leads for one term: observes reports and records, plans, commits and acts.

    It decides nothing before all job records and the intent log are loaded, and acts only while its lease is valid.
    """

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        cloud: CloudClient,
        election: Election,
        types: dict[str, MachineType],
        peers: PeerConnections,
        script: Script,
        record_listener: RecordListener,
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
        self._tasks = SupervisedTasks()
        self._resignation: asyncio.Future[None] | None = None
        self._pacer = CyclePacer()
        # Whether replicas wait for free capacity according to the last plan: each cycle may find some.
        self._replicas_waiting = False
        self._last_planned_at = 0.0  # monotonic time (s)
        self._next_cycle_due_at = math.inf  # monotonic time (s) by which the next cycle is due
        self._build_duties(cloud)
        self._build_worker_contacts()
        self._build_planning()
        self._build_observers(record_listener)
        self._inherit_fleet_summary()

    def _build_duties(self, cloud: CloudClient) -> None:
        """Create the components that write to the state service and the cloud, each fenced by its duty."""
        state, limits, fence = self.state, self.settings.settings.state, self.duties.fence
        lag_s = self.settings.settings.cloud.list_lag_s
        self.intent_log = IntentLog(state, limits, fence, lag_s, self._add_failover_hints)
        self.batcher = Batcher(state, limits, self.cluster, fence)
        self.cluster.on_all_tasks_done = self.batcher.schedule_flush
        self.inventory = Inventory(cloud, self.cluster, lag_s, self.intent_log)
        self.image_cache_snapshots = ImageCacheSnapshots(state, limits, self.leadership, fence)
        self.garbage_collector = GarbageCollector(state, limits, self.duties)
        self.garbage_collector.sweepers.append(ImageCacheSweeper(state, self.cluster))

    def _build_worker_contacts(self) -> None:
        """Create the components that send requests to workers, in addition to the answers to their reports."""
        self.task_stopper = TaskStopper(self.cluster, self.leadership, self.may_only_enforce_cancellations)
        self.prober = Prober(self.cluster, self.leadership)

    def _build_planning(self) -> None:
        """Create the components that build the policy's snapshot and carry out its plan."""
        cluster, inventory, script = self.cluster, self.inventory, self.script
        self.snapshot_builder = SnapshotBuilder(self.settings, cluster, inventory, script, self._may_rent)
        reservations = self.snapshot_builder.gang_reservations
        self.plan_executor = PlanExecutor(cluster, self.batcher, reservations)
        self.drainer = Drainer(cluster, inventory, script, self.settings.settings.workers)
        self.failover_hints = FailoverHints(cluster, inventory, self.drainer, reservations)

    def _build_observers(self, record_listener: RecordListener) -> None:
        """Create the components that watch workers and job records, and send the fleet summary to other nodes."""
        params = self.settings.settings
        node_zones = {self.settings.zone, *(seed.zone for seed in self.settings.seeds)}
        self.failure_detector = FailureDetector(self.cluster, params.workers, params.skew_ms / 1000, node_zones)
        self.record_watcher = RecordWatcher(
            self.state, self.cluster, self.snapshot_builder.add_arrival, self._pacer.wake, record_listener
        )
        self.fleet_reporter = FleetReporter(self.cluster, self.peers, self.failure_detector, self.image_cache_snapshots)
        self.cluster.on_urgent = self._pacer.wake_urgently

    def _inherit_fleet_summary(self) -> None:
        """Initialize cached images and silent machines from the previous leader's last fleet summary."""
        fleet, fleet_updated_at = self.peers.fleet, self.peers.fleet_updated_at
        self.cluster.inherited_images = dict(fleet.images)
        self.cluster.silent_since = {name: fleet_updated_at - silent_s for name, silent_s in fleet.silent.items()}

    def _add_failover_hints(self, record: IntentRecord) -> None:
        self.failover_hints.add_hints(record, monotonic_time(), wall_time())

    def start(self) -> None:
        """Start the leader's tasks. No decision is made before the job records and the intent log are loaded."""
        self._tasks.start(
            (
                self._load_image_caches,
                self.record_watcher.run,
                self._fail_over,
                self.inventory.run,
                self.intent_log.run,
                self.garbage_collector.run,
                self._run_cycles,
            )
        )

    def stop(self) -> None:
        """Cancel all tasks of this term. The successor reads unfinished operations from job records and intent log."""
        self._tasks.cancel()
        self.duties.sync_with_lease()
        self.duties.relinquish()
        self.inventory.stop()
        self.batcher.stop()
        self.task_stopper.stop()
        self.prober.stop()
        self.image_cache_snapshots.stop()

    async def _load_image_caches(self) -> None:
        """Load the image caches from the state service if there is no fleet summary, since all nodes had ended."""
        if not self.cluster.inherited_images:
            self.cluster.inherited_images = await self.image_cache_snapshots.load()
            log.debug("image caches loaded: machines=%d", len(self.cluster.inherited_images))

    # -- observe -------------------------------------------------------------------------------

    @property
    def loaded(self) -> bool:
        """Whether job records and intent log are loaded. Before that nothing is decided and no command is sent."""
        return self.duties[DutyName.PLACEMENT].state is not DutyState.ACQUIRING

    async def _fail_over(self) -> None:
        """Resume the operations of the previous leader. Intent log and job records are read concurrently."""
        await self.intent_log.load()
        while not self.record_watcher.loaded:
            await asyncio.sleep(constants.FAILOVER_POLL_INTERVAL_S)
        now = monotonic_time()
        self.failover_hints.apply_hints(self.intent_log.inherited, now, wall_time())
        self.duties.mark_ready(DutyName.PLACEMENT)
        self.inventory.resume_operations(now)
        log.info(
            "failover complete: term=%d rentals=%d deletions=%d unanswered=%d",
            self.term,
            len(self.intent_log.rentals),
            len(self.intent_log.deletions),
            len(self.inventory.pending_rentals),
        )
        while not self.inventory.has_listed:
            await asyncio.sleep(constants.FAILOVER_POLL_INTERVAL_S)
        self.duties.mark_ready(DutyName.CLOUD_OPERATIONS)
        self.duties.mark_ready(DutyName.GARBAGE_COLLECTION)
        self._pacer.wake()

    def may_use_cloud(self) -> bool:
        """Whether this term may change the cloud now; checked right before each such call, after all waits."""
        return self.duties.may_act(DutyName.PLACEMENT, monotonic_time())

    def _may_rent(self) -> bool:
        """Whether machines may be rented: all earlier rentals are known, and some machine has reported.

        The intent log holds the rentals that are too recent for the cloud's lagging list; the list holds the others.
        """
        return (
            self.duties.may_act(DutyName.CLOUD_OPERATIONS, monotonic_time())
            and not self.failure_detector.nothing_heard_yet
        )

    def apply_record(self, ref: str, version: int, record: records.JobRecord) -> None:
        """Apply a record that this node or another has committed."""
        self.record_watcher.apply_record(ref, version, record, monotonic_time())

    def handles_cancellation(self, ref: str) -> bool:
        """Whether this leader knows that the job is cancelled and may enforce it."""
        if not self.loaded or not (
            self.leadership.has_valid_lease(monotonic_time()) or self.may_only_enforce_cancellations()
        ):
            return False
        job = self.cluster.jobs.get(ref)
        return job is None or job.state is JobState.CANCELLED

    def has_stopped_all_tasks(self, ref: str) -> bool:
        """Whether this leader has proof that all tasks of a cancelled job have stopped."""
        job = self.cluster.jobs.get(ref)
        return self.handles_cancellation(ref) and (job is None or not job.active)

    def on_machines_deleted_elsewhere(self, names: list[str]) -> None:
        """Handle the deletion of machines by another node, for tasks of cancelled jobs.

        They no longer count as free capacity. This leader deletes them too, because its assignments there end only with
        proof that the tasks have stopped (invariant 2): its own response from the cloud.
        """
        for name in names:
            machine = self.cluster.machines.get(name)
            if machine is not None and self.loaded:
                self.inventory.delete(machine, "another node has deleted it for a cancelled task")

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command] | None:
        """Return the commands for a worker, or None if the reporting machine has been deleted.

        There are none while this node may not send commands; the answer still renews the worker's lease.
        """
        now = monotonic_time()
        if not self.loaded:
            return []
        commands = reconcile_report(self.cluster, report, now)
        if commands is None:
            return None if report.machine in self.cluster.deleted_machines else []
        if self.cluster.changed:
            self._pacer.wake()
        has_valid_lease = self.leadership.has_valid_lease(now)
        if not has_valid_lease and not self.may_only_enforce_cancellations():
            return []
        if report.term != self.term:
            return commands if has_valid_lease else []
        due = due_commands(self.cluster.machines[report.machine], report, now, cancelled_only=not has_valid_lease)
        return commands + due if has_valid_lease else due

    def has_pending_starts(self, name: str) -> bool:
        """Whether the answer to the machine's next report is to carry starts."""
        machine = self.cluster.machines.get(name)
        return machine is not None and any(
            task.state in (TaskState.COMMITTED, TaskState.PROPOSED) for task in machine.tasks.values()
        )

    # -- decide --------------------------------------------------------------------------------

    async def _run_cycles(self) -> None:
        """Run planning cycles until another node is found to lead."""
        while True:
            await self._pacer.wait_for_work()
            pause = long_pause = constants.CYCLE_INTERVAL_S
            self.election.check_lease()
            self.duties.sync_with_lease()
            if self.batcher.fence_lost or self.intent_log.fence_lost or self.cluster.superseded:
                self.election.step_down("another node holds the leader key")
                return
            started_at = monotonic_time()
            if self._may_decide(started_at) and self.loaded:
                self._run_cycle(started_at)
                duration_s = monotonic_time() - started_at
                pause = pause_s(duration_s)
                long_pause = pause if self._replicas_waiting else long_pause_s(duration_s)
                if duration_s > SLOW_CYCLE_S:
                    log.debug("planning cycle slow: duration_ms=%.0f", duration_s * 1000)
            elif self.loaded and self.may_only_enforce_cancellations():
                self._enforce_cancellations(started_at)
            self._next_cycle_due_at += monotonic_time() - started_at + long_pause
            await self._pacer.wait_between_cycles(pause, long_pause)

    def _may_decide(self, now: float) -> bool:
        """Whether this node may decide; tracks since when it has done so without interruption.

        A pause of the process counts as an interruption.
        """
        if not self.leadership.has_valid_lease(now) or now > self._next_cycle_due_at + constants.PROCESS_PAUSE_MIN_S:
            # When a paused process resumes, reports are still unread in its sockets. Their absence does not show that
            # the workers were silent.
            self.failure_detector.leading_since = None
        self._next_cycle_due_at = now + constants.IDLE_CYCLE_INTERVAL_S
        if not self.leadership.has_valid_lease(now):
            return False
        if self.failure_detector.leading_since is None:
            self.failure_detector.leading_since = now
        return True

    def may_only_enforce_cancellations(self) -> bool:
        """Whether this leader, whose lease is in doubt, may still enforce cancellations.

        It may in an outage of the state service for all nodes: no other node can become leader, and the deadline
        `cancel_s` still applies. Committed cancellations are valid under any leader, so this one may stop their tasks
        and delete machines that cannot be reached. If it is wrong about the outage, that costs a machine and violates
        no invariant.
        """
        return (
            self.leadership.role is Role.LEASE_IN_DOUBT
            and self.state.health() is Health.DOWN
            and not self.peers.any_peer_reaches_state_service(monotonic_time())
        )

    def _enforce_cancellations(self, now: float) -> None:
        self._check_jobs(now)
        for machine, reason in self.failure_detector.machines_with_overdue_cancellations(now, wall_time()):
            self.inventory.delete(machine, reason)

    def _run_cycle(self, now: float) -> None:
        """Plan if something has changed or the last plan is `IDLE_CYCLE_INTERVAL_S` old, commit, send summaries."""
        cluster = self.cluster
        plan_due = now - self._last_planned_at >= constants.IDLE_CYCLE_INTERVAL_S
        if cluster.changed or plan_due:
            cluster.changed = False
            self.failover_hints.resume_draining()
            self._check_jobs(now)
            self._check_machines(now)
            # Waiting tasks are planned at every change. Warm pools, deletions and migrations may wait for a second.
            if plan_due or any(job.has_waiting_tasks for job in cluster.jobs.values()):
                self._last_planned_at = now
                unreachable = self.failure_detector.unreachable_zones | self.failure_detector.unheard_zones
                snapshot = self.snapshot_builder.build(
                    now, self.drainer.may_migrate(now), unreachable, self.failure_detector.zones_with_controllers
                )
                self._apply(make_plan(snapshot), now)
            self.drainer.drain(now)
        self.batcher.flush()
        self.fleet_reporter.report_if_due(now)

    def _check_jobs(self, now: float) -> None:
        """Remove ended jobs whose records are written, and repeat the stops of cancelled jobs."""
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
                    # A stop command may have been lost, and all tasks of the job must end within `cancel_s`.
                    if task.state in PRESENT and now - task.stop_sent_at > constants.STOP_RETRY_DELAY_S:
                        task.stop_sent_at = now
                        task.mark_stopping(0.0)
                        self.task_stopper.add(task)

    def _check_machines(self, now: float) -> None:
        reaches_any_peer = not self.peers.by_node or self.peers.any_fresh(now)
        verdicts = self.failure_detector.evaluate(now, wall_time(), reaches_any_peer, self.peers.all_fresh(now))
        if verdicts.isolated:
            self.duties.relinquish()
            # Not in `_tasks`: the resignation triggers `stop`, which must not cancel it. Referenced against collection.
            self._resignation = asyncio.ensure_future(self.election.resign("hears neither workers nor other nodes"))
        for machine_type, zone in verdicts.failing_pools:
            log.info("machine pool failing: type=%s zone=%s, renting elsewhere", machine_type, zone)
        for machine, reason in verdicts.to_delete:
            self.inventory.delete(machine, reason)
        for machine in verdicts.to_retry:
            machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)
        self.prober.probe(verdicts.to_probe, verdicts.control_machines)

    # -- commit and act ------------------------------------------------------------------------

    def _apply(self, plan: policy_snapshot.Plan, now: float) -> None:
        self.plan_executor.apply(plan, now)
        cluster = self.cluster
        self._replicas_waiting = any(
            job.kind is Kind.SERVICE for ref in plan.waiting if (job := cluster.jobs.get(ref)) is not None
        )
        for rental in merge_rentals(plan.rentals):
            self.inventory.rent(rental)
        self.drainer.delete_idle_machines(plan.idle_machines, now)
        self.drainer.consolidate(plan.drain, now)
