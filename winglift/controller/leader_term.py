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
from .record_watcher import RecordWatcher
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
        self._replicas_wait = False  # for free capacity, by the last plan: each cycle may find some
        self._last_plan = 0.0
        self._next_pass = math.inf  # when the cycle's next pass is due at the latest
        self._build_duties(cloud)
        self._build_worker_contacts()
        self._build_planning()
        self._build_observers()
        self._inherit_fleet_summary()

    def _build_duties(self, cloud: CloudClient) -> None:
        """Components that write to the state store and to the cloud, each under its duty's fence."""
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
        """Components that call workers directly, besides the answers to their reports."""
        self.task_stopper = TaskStopper(self.cluster, self.leadership, self.may_only_enforce_cancellations)
        self.prober = Prober(self.cluster, self.leadership)

    def _build_planning(self) -> None:
        """Components that build the policy's snapshot and carry out its plan."""
        cluster, inventory, script = self.cluster, self.inventory, self.script
        self.snapshot_builder = SnapshotBuilder(self.settings, cluster, inventory, script, self._may_rent)
        reservations = self.snapshot_builder.gang_reservations
        self.plan_executor = PlanExecutor(cluster, self.batcher, reservations)
        self.drainer = Drainer(cluster, inventory, script, self.settings.settings.workers)
        self.failover_hints = FailoverHints(cluster, inventory, self.drainer, reservations)

    def _build_observers(self) -> None:
        """Components that watch workers and job records, and send the fleet summary to other nodes."""
        settings = self.settings
        self.failure_detector = FailureDetector(
            self.cluster,
            settings.settings.workers,
            settings.settings.skew_ms / 1000,
            {settings.zone, *(seed.zone for seed in settings.seeds)},
        )
        self.record_watcher = RecordWatcher(
            self.state, self.cluster, self.snapshot_builder.add_arrival, self._pacer.wake
        )
        self.fleet_reporter = FleetReporter(self.cluster, self.peers, self.failure_detector, self.image_cache_snapshots)
        self.cluster.on_urgent = self._pacer.wake_urgently

    def _inherit_fleet_summary(self) -> None:
        """Take cached images and silent machines from the previous leader's last fleet summary."""
        fleet, fleet_updated_at = self.peers.fleet, self.peers.fleet_updated_at
        self.cluster.inherited_images = dict(fleet.images)
        self.cluster.silent_since = {name: fleet_updated_at - silent_s for name, silent_s in fleet.silent.items()}

    def _add_failover_hints(self, record: IntentRecord) -> None:
        self.failover_hints.add_hints(record, monotonic_time(), wall_time())

    def start(self) -> None:
        """Start the leader's tasks; nothing is decided before job records and intent log are loaded."""
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
        """Cancel all tasks of this term. A successor finds unfinished operations in job records and intent log."""
        self._tasks.cancel()
        self.duties.sync_with_lease()
        self.duties.relinquish()
        self.inventory.stop()
        self.batcher.stop()
        self.task_stopper.stop()
        self.prober.stop()
        self.image_cache_snapshots.stop()

    async def _load_image_caches(self) -> None:
        """Load the image caches from the state store if no fleet summary was received: all nodes had ended."""
        if not self.cluster.inherited_images:
            self.cluster.inherited_images = await self.image_cache_snapshots.load()
            log.debug("image caches loaded: machines=%d", len(self.cluster.inherited_images))

    # -- observe -------------------------------------------------------------------------------

    @property
    def loaded(self) -> bool:
        """Are job records and intent log loaded? Before that nothing is decided and nothing commanded."""
        return self.duties[DutyName.PLACEMENT].state is not DutyState.ACQUIRING

    async def _fail_over(self) -> None:
        """Continue what the previous leader had begun. Intent log and job records are read concurrently."""
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
        """May this term change something in the cloud now? Checked last before each such call, after every wait."""
        return self.duties.may_act(DutyName.PLACEMENT, monotonic_time())

    def _may_rent(self) -> bool:
        """May machines be rented: are all earlier rentals known, and has any machine reported?

        The intent log names the rentals that are too new for the inventory's lagging list; the list names the others.
        """
        return (
            self.duties.may_act(DutyName.CLOUD_OPERATIONS, monotonic_time())
            and not self.failure_detector.nothing_heard_yet
        )

    def apply_record(self, ref: str, version: int, record: records.JobRecord) -> None:
        """Apply a record that this node or another has committed."""
        self.record_watcher.apply_record(ref, version, record, monotonic_time())

    def handles_cancellation(self, ref: str) -> bool:
        """Does this leader know that the job is cancelled, and may it act?"""
        if not self.loaded or not (
            self.leadership.has_valid_lease(monotonic_time()) or self.may_only_enforce_cancellations()
        ):
            return False
        job = self.cluster.jobs.get(ref)
        return job is None or job.state is JobState.CANCELLED

    def has_stopped_all_tasks(self, ref: str) -> bool:
        """Has this leader proof that all tasks of a cancelled job have stopped?"""
        job = self.cluster.jobs.get(ref)
        return self.handles_cancellation(ref) and (job is None or not job.active)

    def on_machines_deleted_elsewhere(self, names: list[str]) -> None:
        """Another node has deleted these machines, for tasks of cancelled jobs.

        They are free capacity no more. That everything on them is gone, this leader proves by a response of its own
        from the cloud (invariant 2).
        """
        for name in names:
            machine = self.cluster.machines.get(name)
            if machine is not None and self.loaded:
                self.inventory.delete(machine, "another node has deleted it for a cancelled task")

    def on_report(self, report: worker_messages.Report) -> list[worker_messages.Command] | None:
        """Commands for a worker; none while this node may not command, although the answer still renews its lease.

        Returns None if the reporting machine has been deleted.
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
        if report.token != self.term:
            return commands if has_valid_lease else []
        due = due_commands(self.cluster.machines[report.machine], report, now, cancelled_only=not has_valid_lease)
        return commands + due if has_valid_lease else due

    def has_pending_starts(self, name: str) -> bool:
        """Are there starts that the answer to the machine's next report should carry?"""
        machine = self.cluster.machines.get(name)
        return machine is not None and any(
            task.state in (TaskState.COMMITTED, TaskState.PROPOSED) for task in machine.tasks.values()
        )

    # -- decide --------------------------------------------------------------------------------

    async def _run_cycles(self) -> None:
        """Run planning cycles until another node is found to lead."""
        while True:
            await self._pacer.wait_for_work()
            pause = rest = constants.CYCLE_INTERVAL_S
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
                rest = pause if self._replicas_wait else long_pause_s(took)
                if took > SLOW_CYCLE_S:
                    log.debug("planning cycle slow: duration_ms=%.0f", took * 1000)
            elif self.loaded and self.may_only_enforce_cancellations():
                self._enforce_cancellations(began)
            self._next_pass += monotonic_time() - began + rest
            await self._pacer.rest(pause, rest)

    def _may_decide(self, now: float) -> bool:
        """Is this node entitled to decide? Records since when without a break; a pause of the process is a break."""
        if not self.leadership.has_valid_lease(now) or now > self._next_pass + constants.PROCESS_PAUSE_MIN_S:
            # Reports wait unread in the sockets when a paused process resumes: that none was received does not show
            # that the workers were silent.
            self.failure_detector.leading_since = None
        self._next_pass = now + constants.IDLE_CYCLE_INTERVAL_S
        if not self.leadership.has_valid_lease(now):
            return False
        if self.failure_detector.leading_since is None:
            self.failure_detector.leading_since = now
        return True

    def may_only_enforce_cancellations(self) -> bool:
        """In an outage of the state store for all nodes, nobody can succeed this leader, and `cancel_s` runs on.

        It may still enforce committed cancellations, which hold whoever leads: stop their tasks, and delete machines
        that cannot be reached. If it is wrong about the outage, that costs a machine and violates no invariant.
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
        """One pass: plan if something has changed or `IDLE_CYCLE_INTERVAL_S` is over; commit; report to the peers."""
        cluster = self.cluster
        idle = now - self._last_plan >= constants.IDLE_CYCLE_INTERVAL_S
        if cluster.changed or idle:
            cluster.changed = False
            self.failover_hints.resume_draining()
            self._check_jobs(now)
            self._check_machines(now)
            # Reserves, returns and moves can wait a second; only waiting tasks are planned for at every change.
            if idle or any(job.has_waiting_tasks for job in cluster.jobs.values()):
                self._last_plan = now
                unreachable = self.failure_detector.unreachable_zones | self.failure_detector.unheard_zones
                snapshot = self.snapshot_builder.build(
                    now, self.drainer.may_migrate(now), unreachable, self.failure_detector.zones_with_controllers
                )
                self._apply(make_plan(snapshot), now)
            self.drainer.drain(now)
        self.batcher.flush()
        self.fleet_reporter.report_if_due(now)

    def _check_jobs(self, now: float) -> None:
        """Forget jobs that have ended and are recorded; repeat the stops of cancelled ones."""
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
                    # A lost stop command is repeated: within `cancel_s` all tasks of the job must be gone.
                    if task.state in PRESENT and now - task.stop_sent_at > constants.STOP_RETRY_DELAY_S:
                        task.stop_sent_at = now
                        task.mark_stopping(0.0)
                        self.task_stopper.add(task)

    def _check_machines(self, now: float) -> None:
        reaches_any_peer = not self.peers.by_node or self.peers.any_fresh(now)
        verdicts = self.failure_detector.evaluate(now, wall_time(), reaches_any_peer, self.peers.all_fresh(now))
        if verdicts.isolated:
            self.duties.relinquish()
            # Not cancelled by `stop`: the resignation itself ends this term. The reference protects the task from
            # garbage collection.
            self._resignation = asyncio.ensure_future(self.election.resign("hears neither workers nor other nodes"))
        for mtype, zone in verdicts.failing_pools:
            log.info("machine pool failing: type=%s zone=%s, renting elsewhere", mtype, zone)
        for machine, reason in verdicts.to_delete:
            self.inventory.delete(machine, reason)
        for machine in verdicts.to_retry:
            machine.move(MachineEvent.COMMANDS_ACKNOWLEDGED)
        self.prober.probe(verdicts.to_probe, verdicts.control_machines)

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
