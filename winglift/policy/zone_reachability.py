"""Reachability per zone: partitions, suspected partitions, asymmetric partitions and zones not heard yet.

A partition is detected when many machines of one zone are silent at once. The module does no I/O. Times are monotonic
seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .. import constants
from ..config.settings import Workers
from ..model.cluster_state import ClusterState
from ..model.entities import Machine
from ..model.machine_state import MachineState

CountPerZone = dict[str, int]


def last_contact(machine: Machine) -> float:
    """When the machine was last heard in this term, or else when this leader began to wait for it."""
    return machine.last_heard if machine.last_heard is not None else machine.known_since


@dataclass(slots=True)
class SilenceCounts:
    """The number of booted machines in each zone, and how many of those miss reports."""

    last_contact: float = 0.0  # when the zone's machine with the latest report sent it
    booted: CountPerZone = field(default_factory=dict)
    quiet: CountPerZone = field(default_factory=dict)  # silent for `ZONE_LATE_REPORT_RATIO` report intervals
    silent: CountPerZone = field(default_factory=dict)  # silent for `ZONE_SILENT_REPORT_RATIO` report intervals
    any_unresponsive: bool = False

    def leader_is_isolated(self, now: float) -> bool:
        """Whether no machine has been heard for so long that this node itself may be partitioned."""
        return sum(self.booted.values()) >= 2 and now - self.last_contact > constants.LEADER_ISOLATION_TIMEOUT_S


def count_silence(machines: Iterable[Machine], now: float, report_s: float) -> SilenceCounts:
    """Count the silent machines per zone, in one pass.

    Machines inherited from an earlier term count too: a new leader that hears none of them is itself partitioned.
    """
    counts = SilenceCounts()
    booted, quiet, silent = counts.booted, counts.quiet, counts.silent
    quiet_before = now - constants.ZONE_LATE_REPORT_RATIO * report_s
    silent_before = now - constants.ZONE_SILENT_REPORT_RATIO * report_s
    latest_contact = 0.0
    for machine in machines:
        if machine.state is MachineState.BOOTING:
            continue
        zone, contact = machine.zone, last_contact(machine)
        booted[zone] = booted.get(zone, 0) + 1
        if contact > latest_contact:
            latest_contact = contact
        if contact < quiet_before:
            quiet[zone] = quiet.get(zone, 0) + 1
            if contact < silent_before:
                silent[zone] = silent.get(zone, 0) + 1
        if machine.state is MachineState.UNRESPONSIVE:
            counts.any_unresponsive = True
    counts.last_contact = latest_contact
    return counts


class ZoneReachability:
    """Tracks over the cycles of one term which zones are unreachable or suspected to be."""

    def __init__(self, cluster: ClusterState, workers: Workers) -> None:
        self.cluster = cluster
        self.workers = workers
        self.unreachable_zones: frozenset[str] = frozenset()
        self.unheard_zones: frozenset[str] = frozenset()
        self.asymmetric_zones: frozenset[str] = frozenset()
        self.nothing_heard_yet = False
        self._suspected_until: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}
        self._first_update: float | None = None

    def recently_unreachable(self, zone: str, now: float) -> bool:
        """Whether the zone is unreachable, or was within `PARTITION_RECOVERY_S`."""
        return now < self._unreachable_until.get(zone, 0.0)

    def suspected(self, zone: str, now: float) -> bool:
        """Whether most of the zone's machines had missed a report at some time within `ZONE_SUSPICION_TIMEOUT_S`."""
        return now < self._suspected_until.get(zone, 0.0)

    def update(self, machines: list[Machine], counts: SilenceCounts, now: float) -> None:
        """Update the state of all zones from one cycle's counts."""
        self._update_unreachable_zones(counts, now)
        self._update_unheard_zones(counts.booted, now)
        self._update_suspected_zones(counts, now)
        self._update_asymmetric_zones(machines if counts.any_unresponsive else [])

    def _update_unreachable_zones(self, counts: SilenceCounts, now: float) -> None:
        """Mark the zones most of whose machines are silent as unreachable.

        After a partition, a zone's machines reconnect one by one. The zone counts as recently unreachable for
        `PARTITION_RECOVERY_S`, because machines that were still silent then were deleted, nine at a time.
        """
        self.unreachable_zones = frozenset(
            zone
            for zone, count in counts.silent.items()
            if count > max(1.0, constants.ZONE_SILENT_MACHINES_SHARE * counts.booted[zone])
        )
        for zone in self.unreachable_zones:
            self._unreachable_until[zone] = now + constants.PARTITION_RECOVERY_S

    def _update_suspected_zones(self, counts: SilenceCounts, now: float) -> None:
        """Mark the zones most of whose machines have missed a report as suspected.

        Before a partition is detected, its first silent machines look like single failures: 29 were deleted within a
        second. The same holds for the last workers to find another node after a partition between leader and workers.
        """
        for zone, count in counts.quiet.items():
            if count > max(1.0, constants.ZONE_SILENT_MACHINES_SHARE * counts.booted[zone]):
                self._suspected_until[zone] = now + constants.ZONE_SUSPICION_TIMEOUT_S

    def _update_asymmetric_zones(self, machines: list[Machine]) -> None:
        """Mark the zones with so many unresponsive machines that this node's messages to them are probably lost."""
        running: CountPerZone = {}
        unresponsive: CountPerZone = {}
        for machine in machines:
            zone = machine.zone
            if machine.state in (MachineState.UP, MachineState.UNRESPONSIVE):
                running[zone] = running.get(zone, 0) + 1
                unresponsive[zone] = unresponsive.get(zone, 0) + (machine.state is MachineState.UNRESPONSIVE)
        self.asymmetric_zones = frozenset(
            zone
            for zone, count in unresponsive.items()
            if count > max(1.0, constants.ASYMMETRIC_PARTITION_SHARE * running[zone])
        )

    def _update_unheard_zones(self, booted: CountPerZone, now: float) -> None:
        """Mark the zones from which a new leader has received no report yet as unheard.

        A partition is detected by silence, which a new leader has not observed yet. So nothing is rented in a zone
        until its first report, or until `ZONE_SILENT_REPORT_RATIO` report intervals have passed. Reports of a reachable
        zone arrive within milliseconds.
        """
        if self._first_update is None:
            self._first_update = now
        if now - self._first_update > constants.ZONE_SILENT_REPORT_RATIO * self.workers.report_s:
            self.unheard_zones, self.nothing_heard_yet = frozenset(), False
            return
        heard = {machine.zone for machine in self.cluster.machines.values() if machine.last_heard is not None}
        self.unheard_zones = frozenset(zone for zone in booted if zone and zone not in heard)
        self.nothing_heard_yet = bool(self.unheard_zones) and not heard
