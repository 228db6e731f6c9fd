"""Moments that a leader hands to the next one by way of the book: what is being emptied, refused, stopped, kept.

None of them is a promise: what the book had no room for, or what changed since it was written, begins anew as it did
before. Times are times of day; a moment that lies further off than it ever may is cut to what it may be.
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
from .draining import Drainer
from .gang_reservations import GangReservation
from .snapshot_builder import SnapshotBuilder

log = logging.getLogger(__name__)


class FailoverHints:
    """Writes the moments that a successor must know into the duty page, and takes over those of the holder before."""

    def __init__(
        self, cluster: ClusterState, inventory: Inventory, drainer: Drainer, snapshot_builder: SnapshotBuilder
    ) -> None:
        self.cluster = cluster
        self.inventory = inventory
        self.drainer = drainer
        self.snapshot_builder = snapshot_builder
        self._draining: dict[str, str] = {}  # machines not seen yet that the holder before was emptying

    # -- for the next holder -------------------------------------------------------------------

    def add_hints(self, record: IntentRecord, now: float, today: float) -> None:
        """Fill in what a successor should know, the first of each sort."""
        most = constants.FAILOVER_HINTS_MAX
        # A notice comes with the machine's next report anyhow.
        draining = [
            (m.name, m.drain_reason)
            for m in self.cluster.machines.values()
            if m.state is MachineState.DRAINING and m.drain_reason != "notice"
        ]
        record.draining = dict([*draining, *self._draining.items()][:most])
        record.capacity_refusals = [
            (*key, round(today + until - now, 1))
            for key, until in self.inventory.capacity_refusals.items()
            if until > now
        ][:most]
        record.next_migration_at = (
            round(today + self.drainer.next_migration_at - now, 1) if self.drainer.next_migration_at > now else 0.0
        )
        stopping = [
            (j.ref, t.attempt)
            for j in self.cluster.jobs.values()
            if j.kind is Kind.GANG and j.is_open
            for t in j.active.values()
            if t.stopping
        ]
        record.stopping_gangs = dict(list(dict(stopping).items())[:most])
        record.reserved_for_gangs = {
            ref: (round(today + kept.since - now, 1), pack_names(kept.machines))
            for ref, kept in list(self.snapshot_builder.gang_reservations.by_job.items())[:most]
        }
        record.failed_on = {
            j.ref: list(j.failed_on) for j in self.cluster.jobs.values() if j.is_open and job_is_suspect(j, now)
        }
        while len(record.failed_on) > most:
            record.failed_on.popitem()

    # -- from the holder before ----------------------------------------------------------------

    def apply_hints(self, record: IntentRecord, now: float, today: float) -> None:
        """Go on where the holder before stopped. Records are loaded; nothing has been decided yet."""
        cluster, inventory = self.cluster, self.inventory
        self._draining = dict(record.draining)
        self.resume_draining()
        for mtype, zone, spot, until in record.capacity_refusals:
            left = min(until - today, constants.NO_CAPACITY_PAUSE_S)
            if left > 0:
                inventory.capacity_refusals[mtype, zone, spot] = now + left
        if record.next_migration_at > today:
            self.drainer.next_migration_at = now + min(
                record.next_migration_at - today, constants.MIGRATION_PAUSE_MAX_S
            )
        for ref, attempt in record.stopping_gangs.items():
            job = cluster.jobs.get(ref)
            # A later attempt has been placed since the book was written: it was not meant.
            if job is not None and job.is_open and any(t.attempt == attempt for t in job.active.values()):
                # Parts of it have been told: the others are told too, as soon as they are heard, so that the gang ends
                # in order and is not found in half.
                log.info("%s was being stopped when term %d began: the stop goes on", ref, cluster.term)
                cluster.request_stop_of_all(job, now, "an earlier term has begun to stop it", job.grace_s)
        for ref, (since, names) in record.reserved_for_gangs.items():
            try:
                self.snapshot_builder.gang_reservations.by_job[ref] = GangReservation(
                    unpack_names(names), now - max(0.0, today - since)
                )
            except InvalidRecord as err:
                # A moment is no promise: it must not keep a holder from its duties.
                log.error("room kept for %s: %s", ref, err)
        for ref, machines in record.failed_on.items():
            job = cluster.jobs.get(ref)
            if job is not None and job.is_open and not job.failed_on:
                job.failed_on = dict.fromkeys(machines[-constants.AVOIDED_MACHINES_MAX :])

    def resume_draining(self) -> None:
        """Machines that were being emptied go on being emptied once they are known here."""
        for name in [n for n in self._draining if n in self.cluster.machines]:
            machine, reason = self.cluster.machines[name], self._draining.pop(name)
            if machine.state in (MachineState.UP, MachineState.INHERITED, MachineState.BOOTING):
                machine.drain_reason = reason
                machine.move(MachineEvent.DRAIN)
                self.cluster.changed = True
