"""Draining of machines that are reclaimed, faulty or little used, and deletion of idle ones."""

from __future__ import annotations

import logging

from .. import constants
from ..cloud.inventory import Inventory
from ..config.script import Script
from ..config.settings import Workers
from ..model.cluster_state import ClusterState
from ..model.entities import Task
from ..model.machine_state import MachineEvent, MachineState
from ..model.task_state import TaskState
from ..wire.users import Kind

log = logging.getLogger(__name__)

# Drain reasons, as stored in the intent log.
CONSOLIDATION = "emptied"
RECLAIM_NOTICE = "notice"

MINIMUM_CHARGE_MARGIN_S = 2.0  # an idle machine may be deleted this long before its minimum charge is used up
SAVE_MARGIN_S = 4.0  # time kept before a machine is reclaimed, besides the time for saving a checkpoint
STOP_MARGIN_S = 3.0  # the same for tasks without checkpoints


class Drainer:
    """Deletes idle machines, stops the tasks of draining ones, and migrates replicas off little used ones.

    Migrations are limited in rate.
    """

    def __init__(self, cluster: ClusterState, inventory: Inventory, script: Script, workers: Workers) -> None:
        self.cluster = cluster
        self.inventory = inventory
        self.script = script
        self.workers = workers
        self.next_migration_at = 0.0  # monotonic time (s) from which a replica may be migrated again

    def may_migrate(self, now: float) -> bool:
        """Whether a replica may be migrated now. The downtime of migrations limits their rate."""
        return now >= self.next_migration_at

    def delete_idle_machines(self, idle_machines: set[str], now: float) -> None:
        """Delete machines that have been idle for `idle_keep_s` and whose minimum charge is nearly used up.

        After the minimum charge, machines are charged by the second.
        """
        # Sorted, since the order of a set of names differs between processes.
        for name in sorted(idle_machines):
            machine = self.cluster.machines.get(name)
            if machine is None or machine.tasks or machine.unknown_tasks or machine.state is not MachineState.UP:
                continue
            idle_s = now - (machine.idle_since if machine.idle_since is not None else now)
            rented_s = now - machine.rented_at
            if (
                idle_s > self.script.number("idle_keep_s")
                and rented_s > constants.MINIMUM_CHARGE_S - MINIMUM_CHARGE_MARGIN_S
            ):
                self.inventory.delete(machine, f"idle for {idle_s:.0f} s")

    def consolidate(self, name: str | None, now: float) -> None:
        """Start to drain a little used machine by migrating its replicas, one machine at a time."""
        machine = self.cluster.machines.get(name) if name else None
        if machine is None or not self.may_migrate(now):
            return
        if any(other.state is MachineState.DRAINING and other.tasks for other in self.cluster.machines.values()):
            return
        log.info("drain started: replicas=%d machine=%s reason=consolidation", len(machine.tasks), machine.name)
        machine.drain_reason = CONSOLIDATION
        machine.move(MachineEvent.DRAIN)

    def _migrate_replica(self, task: Task, now: float) -> None:
        """Migrate a replica unless the last migration is too recent for the accepted share of downtime."""
        if not self.may_migrate(now):
            return
        replicas = sum(len(job.active) for job in self.cluster.jobs.values() if job.kind is Kind.SERVICE)
        downtime_s = constants.MIGRATION_DOWNTIME_S + self.workers.report_s / 2
        pause_s = downtime_s / (self.script.number("move_loss_share") * max(1, replicas))
        self.next_migration_at = now + min(pause_s, constants.MIGRATION_PAUSE_MAX_S)
        self.cluster.request_stop(task, 0.0, now, "migrated")

    def drain(self, now: float) -> None:
        """Stop tasks on draining machines, early enough to save their work before the machine is reclaimed."""
        for machine in self.cluster.machines.values():
            if machine.state is not MachineState.DRAINING:
                continue
            remaining_s = machine.reclaim_at - now if machine.reclaim_at is not None else 0.0
            for task in list(machine.tasks.values()):
                if not task.stopping:
                    self._drain_task(task, remaining_s, now)

    def _drain_task(self, task: Task, remaining_s: float, now: float) -> None:
        """Stop a task on a machine that is reclaimed in `remaining_s`, unless it may keep running for now."""
        kind, reason = task.job.spec.kind, task.machine.drain_reason
        if reason == CONSOLIDATION:
            self._migrate_replica(task, now)
            return
        if task.state is TaskState.COMMITTED and kind is not Kind.GANG:
            self.cluster.request_stop(task, 0.0, now, reason)
            return
        if reason == RECLAIM_NOTICE and self._may_keep_running(task, remaining_s, now):
            return
        grace_s = task.job.grace_s
        if kind is Kind.GANG:
            for member in list(task.job.active.values()):
                self.cluster.request_stop(member, grace_s, now, reason)
        else:
            self.cluster.request_stop(task, grace_s, now, reason)

    def _may_keep_running(self, task: Task, remaining_s: float, now: float) -> bool:
        """Whether enough time remains before the machine is reclaimed to save later, or to finish."""
        spec = task.job.spec
        saves = spec.checkpoint_s > 0
        if remaining_s <= (spec.save_s + SAVE_MARGIN_S if saves else STOP_MARGIN_S):
            return False
        if spec.kind is Kind.SERVICE:
            return False
        if saves:
            return True
        ran_s = now - task.running_since if task.running_since is not None else 0.0
        return self.cluster.estimate_s(task.job) - ran_s < remaining_s
