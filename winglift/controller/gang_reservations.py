"""Reservations of machines for gangs that wait until enough capacity is free."""

from __future__ import annotations

from dataclasses import dataclass

from .. import constants
from ..model.cluster_state import ClusterState


@dataclass(frozen=True, slots=True)
class GangReservation:
    """Machines that are being freed for a gang, and the monotonic time (s) at which the reservation began."""

    machines: list[str]
    since: float


class GangReservations:
    """The reservations of this term, by job reference. Each one ends after `GANG_RESERVATION_S`."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.by_job: dict[str, GangReservation] = {}

    def reserve(self, machines_by_job: dict[str, list[str]], now: float) -> None:
        """Record the machines reserved for each gang. A renewed reservation keeps its start, so that it expires."""
        for ref, names in machines_by_job.items():
            earlier = self.by_job.get(ref)
            self.by_job[ref] = GangReservation(names, earlier.since if earlier is not None else now)

    def reserved_machines(self, now: float) -> dict[str, str]:
        """The job for which each machine is reserved, by machine; drops reservations that no longer apply."""
        job_by_machine: dict[str, str] = {}
        for ref, reservation in list(self.by_job.items()):
            job = self.cluster.jobs.get(ref)
            age_s = now - reservation.since
            if (
                job is None
                or not job.is_open
                or job.active
                or age_s > constants.GANG_RESERVATION_S + constants.GANG_RESERVATION_PAUSE_S
            ):
                del self.by_job[ref]
            elif age_s <= constants.GANG_RESERVATION_S:
                job_by_machine.update(dict.fromkeys(reservation.machines, ref))
        return job_by_machine


def gang_may_rent(waited_s: float, boot_s: float) -> bool:
    """Whether a gang that has waited for `waited_s` may rent machines now.

    Without this limit, machines for a gang that fits no zone would be rented, deleted as idle and rented again for
    ever.
    """
    return (
        waited_s < constants.GANG_RENTAL_TIMEOUT_BOOTS * boot_s
        or waited_s % constants.GANG_RENTAL_RETRY_INTERVAL_S < boot_s
    )
