"""Work that leaves its machine in good time, and machines that are returned: notices, faults, idle and thin ones."""

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


class Drainer:
    """Drains machines: returns idle ones and moves replicas off thinly used ones, at a bounded pace."""

    def __init__(self, cluster: ClusterState, inventory: Inventory, script: Script, workers: Workers) -> None:
        self.cluster = cluster
        self.inventory = inventory
        self.script = script
        self.workers = workers
        self.next_migration_at = 0.0  # steady time from which a replica may be moved again

    def may_migrate(self, now: float) -> bool:
        """May a replica be moved now? Moves are paced by what they cost."""
        return now >= self.next_migration_at

    def return_idle(self, spare: set[str], now: float) -> None:
        """Idle machines go back near their paid boundary: the first paid stretch, then any second."""
        # Sorted: the order of a set of names differs from one process to the next.
        for name in sorted(spare):
            machine = self.cluster.machines.get(name)
            if machine is None or machine.tasks or machine.unknown_tasks or machine.state is not MachineState.UP:
                continue
            idle = now - (machine.idle_since if machine.idle_since is not None else now)
            if idle > self.script.number("idle_keep_s") and now - machine.rented_at > constants.FIRST_PAID_S - 2:
                self.inventory.delete(machine, f"idle for {idle:.0f} s")

    def consolidate(self, name: str | None, now: float) -> None:
        """Empty a machine by moving its replicas, one machine at a time."""
        machine = self.cluster.machines.get(name) if name else None
        if machine is None or not self.may_migrate(now):
            return
        if any(m.state is MachineState.DRAINING and m.tasks for m in self.cluster.machines.values()):
            return
        log.info("moves %d replicas off %s to return it", len(machine.tasks), machine.name)
        machine.drain_reason = "emptied"
        machine.move(MachineEvent.DRAIN)

    def _migrate_replicas(self, task: Task, now: float) -> None:
        """Move replicas one after the other, so slowly that the time they are away hardly counts."""
        if not self.may_migrate(now):
            return
        replicas = sum(len(j.active) for j in self.cluster.jobs.values() if j.kind is Kind.SERVICE)
        away = constants.MIGRATION_DOWNTIME_S + self.workers.report_s / 2
        pause = away / (self.script.number("move_loss_share") * max(1, replicas))
        self.next_migration_at = now + min(pause, constants.MIGRATION_PAUSE_MAX_S)
        self.cluster.request_stop(task, 0.0, now, "moved")

    def drain(self, now: float) -> None:
        """Work on machines that are about to be taken or are faulty moves away in time to save."""
        for machine in self.cluster.machines.values():
            if machine.state is not MachineState.DRAINING:
                continue
            left = machine.reclaim_at - now if machine.reclaim_at is not None else 0.0
            for task in list(machine.tasks.values()):
                spec = task.job.spec
                if task.stopping:
                    continue
                if machine.drain_reason == "emptied":
                    self._migrate_replicas(task, now)
                    continue
                if task.state is TaskState.COMMITTED and spec.kind is not Kind.GANG:
                    self.cluster.request_stop(task, 0.0, now, machine.drain_reason)
                    continue
                saves = spec.checkpoint_s > 0
                if machine.drain_reason == "notice" and left > (spec.save_s + 4.0 if saves else 3.0):
                    if spec.kind is Kind.SERVICE or not saves:
                        ran = now - task.running_since if task.running_since is not None else 0.0
                        if spec.kind is not Kind.SERVICE and self.cluster.estimate_s(task.job) - ran < left:
                            continue
                    else:
                        continue
                grace = task.job.grace_s
                if spec.kind is Kind.GANG:
                    for other in list(task.job.active.values()):
                        self.cluster.request_stop(other, grace, now, machine.drain_reason)
                else:
                    self.cluster.request_stop(task, grace, now, machine.drain_reason)
