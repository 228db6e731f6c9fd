"""Failover hints that a leader passes to its successor in the intent log: drains, refusals, stops, reservations.

Hints are not guaranteed: an operation whose hint did not fit into the intent log, or is outdated, starts anew. Times in
the record are times of day (s). A time further in the future than its limit allows is cut to that limit.
"""

from __future__ import annotations

import logging

from .. import constants
from ..cloud.inventory import Inventory
from ..duties.intent_record import IntentRecord, pack_names, unpack_names
from ..model.cluster_state import ClusterState
from ..model.failure_attribution import job_is_suspect
from ..model.machine_state import MachineEvent, MachineState
from ..model.records import InvalidRecord
from ..wire.users import Kind
from .draining import RECLAIM_NOTICE, Drainer
from .gang_reservations import GangReservation, GangReservations

log = logging.getLogger(__name__)


class FailoverHints:
    """Writes the failover hints for the successor, and applies those of the previous leader."""

    def __init__(
        self, cluster: ClusterState, inventory: Inventory, drainer: Drainer, gang_reservations: GangReservations
    ) -> None:
        self.cluster = cluster
        self.inventory = inventory
        self.drainer = drainer
        self.gang_reservations = gang_reservations
        # Drain reasons of machines that the previous leader was draining and that this one does not know yet.
        self._inherited_drains: dict[str, str] = {}

    # -- hints for the successor ---------------------------------------------------------------

    def add_hints(self, record: IntentRecord, now: float, wall: float) -> None:
        """Add the hints to the record, at most `FAILOVER_HINTS_MAX` of each kind.

        `now` is monotonic time and `wall` the time of day, both in seconds.
        """
        limit = constants.FAILOVER_HINTS_MAX
        # Drains after a reclaim notice are left out: the machine's next report repeats the notice.
        draining = [
            (machine.name, machine.drain_reason)
            for machine in self.cluster.machines.values()
            if machine.state is MachineState.DRAINING and machine.drain_reason != RECLAIM_NOTICE
        ]
        record.draining = dict([*draining, *self._inherited_drains.items()][:limit])
        record.capacity_refusals = [
            (*key, round(wall + until - now, 1))
            for key, until in self.inventory.capacity_refusals.items()
            if until > now
        ][:limit]
        record.next_migration_at = (
            round(wall + self.drainer.next_migration_at - now, 1) if self.drainer.next_migration_at > now else 0.0
        )
        stopping = [
            (job.ref, task.attempt)
            for job in self.cluster.jobs.values()
            if job.kind is Kind.GANG and job.is_open
            for task in job.active.values()
            if task.stopping
        ]
        record.stopping_gangs = dict(list(dict(stopping).items())[:limit])
        record.reserved_for_gangs = {
            ref: (round(wall + reservation.since - now, 1), pack_names(reservation.machines))
            for ref, reservation in list(self.gang_reservations.by_job.items())[:limit]
        }
        record.failed_on = {
            job.ref: list(job.failed_on)
            for job in self.cluster.jobs.values()
            if job.is_open and job_is_suspect(job, now)
        }
        while len(record.failed_on) > limit:
            record.failed_on.popitem()

    # -- hints from the previous leader --------------------------------------------------------

    def apply_hints(self, record: IntentRecord, now: float, wall: float) -> None:
        """Resume the operations of the previous leader, after the records are loaded and before any decision.

        `now` is monotonic time and `wall` the time of day, both in seconds.
        """
        cluster, inventory = self.cluster, self.inventory
        self._inherited_drains = dict(record.draining)
        self.resume_draining()
        for machine_type, zone, spot, until in record.capacity_refusals:
            remaining_s = min(until - wall, constants.CAPACITY_REFUSAL_BACKOFF_S)
            if remaining_s > 0:
                inventory.capacity_refusals[machine_type, zone, spot] = now + remaining_s
        if record.next_migration_at > wall:
            self.drainer.next_migration_at = now + min(record.next_migration_at - wall, constants.MIGRATION_PAUSE_MAX_S)
        for ref, attempt in record.stopping_gangs.items():
            job = cluster.jobs.get(ref)
            # The hint does not apply to an attempt placed after it was written.
            if job is not None and job.is_open and any(task.attempt == attempt for task in job.active.values()):
                # Some members may have received the stop command. The others receive it with their next report, so
                # that the gang is not left with half of its members.
                log.info("gang stop resumed: job=%s term=%d", ref, cluster.term)
                cluster.request_stop_of_all(job, now, "stop begun in an earlier term", job.grace_s)
        for ref, (since, names) in record.reserved_for_gangs.items():
            try:
                self.gang_reservations.by_job[ref] = GangReservation(unpack_names(names), now - max(0.0, wall - since))
            except InvalidRecord as err:
                # An invalid hint must not prevent the leader from acquiring its duties.
                log.error("gang reservation invalid: job=%s error=%s", ref, err)
        for ref, machines in record.failed_on.items():
            job = cluster.jobs.get(ref)
            if job is not None and job.is_open and not job.failed_on:
                job.failed_on = dict.fromkeys(machines[-constants.AVOIDED_MACHINES_MAX :])

    def resume_draining(self) -> None:
        """Resume the drains of the previous leader, each once its machine is known here."""
        for name in [name for name in self._inherited_drains if name in self.cluster.machines]:
            machine, reason = self.cluster.machines[name], self._inherited_drains.pop(name)
            if machine.state in (MachineState.UP, MachineState.INHERITED, MachineState.BOOTING):
                machine.drain_reason = reason
                machine.move(MachineEvent.DRAIN)
                self.cluster.changed = True
