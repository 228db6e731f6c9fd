"""When a machine is given up: silence, boots that don't end, notices that ran out, cancelled work that can't be told.

Pure: what is known of the machines stands in the picture, the time and what is heard of other nodes come from outside.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .. import constants
from ..config.settings import Workers
from ..model.boot_tracker import CapacityPool
from ..model.cluster_state import ClusterState
from ..model.entities import Machine
from ..model.job_state import JobState
from ..model.machine_state import MachineState
from ..wire.users import Kind


@dataclass
class Verdict:
    """What one look at the machines has found."""

    isolated: bool = False  # hardly a machine is heard: perhaps it is this node that is cut off
    to_delete: list[tuple[Machine, str]] = field(default_factory=list)  # to be deleted, and why
    failing_pools: set[CapacityPool] = field(
        default_factory=set
    )  # type and zone whose new machines stay dark from now on
    to_probe: list[Machine] = field(default_factory=list)  # to be asked directly whether they are still there
    to_retry: list[Machine] = field(default_factory=list)  # they may hear after all: it is rather us who were not heard
    control_machines: dict[str, Machine] = field(
        default_factory=dict
    )  # per zone the machine heard last: it should answer


class FailureDetector:
    """Judges in each cycle which machines are to be given up, asked or tried again."""

    def __init__(self, cluster: ClusterState, workers: Workers, skew_s: float, attended: Iterable[str]) -> None:
        self.cluster = cluster
        self.workers = workers
        self.skew_s = skew_s  # how far a node's time of day may be from the true one
        self.entitled_since: float | None = None  # since when this node leads without a doubt or a standstill
        self.zones_with_controllers = frozenset(attended)  # zones that have a node
        self.unreachable_zones: frozenset[str] = frozenset()  # zones most of whose machines are silent now
        self._suspected_until: dict[str, float] = {}  # zones most of whose machines had missed a report
        self._unreachable_until: dict[str, float] = {}
        self._began: float | None = None  # this leader's first look
        self.unheard_zones: frozenset[str] = frozenset()  # zones of which a new leader has heard nothing yet
        self.asymmetric_zones: frozenset[str] = (
            frozenset()
        )  # zones so many of whose machines don't hear that it may be us
        self.nothing_heard_yet = False  # nothing has been heard at all yet

    def evaluate(self, now: float, wall: float, hears_anyone: bool, hears_all: bool) -> Verdict:
        """Which machines are to be deleted now.

        `now` is steady, `wall` the time of day. `hears_anyone` and `hears_all`: is any, is every other node in hearing
        (one that is not may be keeping workers' leases alive)?
        """
        machines = list(self.cluster.machines.values())
        # Machines of an earlier term count too: a new leader that hears none of them is cut off itself.
        last = 0.0
        up: dict[str, int] = {}
        silent: dict[str, int] = {}
        quiet: dict[str, int] = {}
        report_s = self.workers.report_s
        quiet_at, silent_at = (
            now - constants.ZONE_QUIET_REPORTS * report_s,
            now - constants.ZONE_SILENT_REPORTS * report_s,
        )
        any_deaf = False
        for machine in machines:
            if machine.state is not MachineState.BOOTING:
                zone, at = machine.zone, last_contact(machine)
                up[zone] = up.get(zone, 0) + 1
                if at > last:
                    last = at
                if at < quiet_at:
                    quiet[zone] = quiet.get(zone, 0) + 1
                    if at < silent_at:
                        silent[zone] = silent.get(zone, 0) + 1
                any_deaf = any_deaf or machine.state is MachineState.UNRESPONSIVE
        if sum(up.values()) >= 2 and now - last > constants.LEADER_ISOLATED_S and not hears_anyone:
            return Verdict(isolated=True)
        self.unreachable_zones = frozenset(
            z for z, count in silent.items() if count > max(1.0, constants.ZONE_SILENT_PART * up[z])
        )
        self._track_unheard_zones(now, up)
        for zone in self.unreachable_zones:
            # When a cut ends, a zone's machines come back one by one. Those still silent were once deleted then,
            # nine machines at a time.
            self._unreachable_until[zone] = now + constants.PARTITION_MEMORY_S
        # Before a cut shows, its first machines look like lone ones: 29 were once given up within a second. And after a
        # cut between a leader and all workers the last ones to find another node looked like it.
        for zone, count in quiet.items():
            if count > max(1.0, constants.ZONE_SILENT_PART * up[zone]):
                self._suspected_until[zone] = now + constants.SUSPICION_MEMORY_S
        self._detect_asymmetric_partitions(machines if any_deaf else [])
        holding = {
            task.machine.name
            for job in self.cluster.jobs.values()
            if job.state is JobState.CANCELLED
            for task in job.active.values()
        }
        found = Verdict(failing_pools=self.cluster.boot_tracker.detect_failing_pools(machines, now))
        deaf: list[Machine] = []
        ask_at = now - constants.PROBE_REPORTS * report_s
        for machine in machines:
            if machine.state is MachineState.DELETING:
                continue
            heard = machine.last_heard
            if (
                machine.state is MachineState.UP
                and heard is not None
                and heard >= ask_at
                and machine.reclaim_at is None
                and machine.name not in holding
            ):
                # Sound: it was heard just now, and nothing speaks against it. Most machines, most of the time.
                best = found.control_machines.get(machine.zone)
                if machine.addr and (best is None or heard > (best.last_heard or 0.0)):
                    found.control_machines[machine.zone] = machine
                continue
            # Before all else: a machine that the lagging list calls booting may be running tasks.
            why = self.overdue_cancellation(machine, now, wall) if machine.name in holding else None
            why = why or self._deletion_reason(machine, now, hears_all)
            if why is not None:
                found.to_delete.append((machine, why))
            elif (
                machine.last_heard is not None
                and machine.zone not in self.unreachable_zones
                and machine.tasks
                and machine.last_heard < ask_at
                and machine.probe_failed_at < machine.last_heard
                and machine.probed_at < ask_at
            ):
                found.to_probe.append(machine)
            elif machine.state is MachineState.UNRESPONSIVE:
                if machine.zone in self.asymmetric_zones and now - machine.unresponsive_since > self.workers.lease_s:
                    found.to_retry.append(machine)
                deaf.append(machine)
            elif machine.last_heard is not None and machine.state is MachineState.UP and machine.addr:
                best = found.control_machines.get(machine.zone)
                if best is None or machine.last_heard > (best.last_heard or 0.0):
                    found.control_machines[machine.zone] = machine
        found.to_probe += deaf  # after those whose silence may be the end of what runs there
        return found

    def _detect_asymmetric_partitions(self, machines: list[Machine]) -> None:
        """In which zones do so many not hear that it is rather this node that is not heard?"""
        alive: dict[str, int] = {}
        deaf: dict[str, int] = {}
        for machine in machines:
            if machine.state in (MachineState.UP, MachineState.UNRESPONSIVE):
                alive[machine.zone] = alive.get(machine.zone, 0) + 1
                deaf[machine.zone] = deaf.get(machine.zone, 0) + (machine.state is MachineState.UNRESPONSIVE)
        self.asymmetric_zones = frozenset(
            z for z, n in deaf.items() if n > max(1.0, constants.ASYMMETRIC_PARTITION_SHARE * alive[z])
        )

    def _track_unheard_zones(self, now: float, up: dict[str, int]) -> None:
        """A cut shows by silence alone, which a new leader has not seen yet: until a zone's first report, or for as
        many as make silence, nothing is rented there. Reports of a zone that lives come within milliseconds."""
        if self._began is None:
            self._began = now
        if now - self._began > constants.ZONE_SILENT_REPORTS * self.workers.report_s:
            self.unheard_zones, self.nothing_heard_yet = frozenset(), False
            return
        heard = {m.zone for m in self.cluster.machines.values() if m.last_heard is not None}
        self.unheard_zones = frozenset(zone for zone in up if zone and zone not in heard)
        self.nothing_heard_yet = bool(self.unheard_zones) and not heard

    def silent_machines(self, now: float) -> list[Machine]:
        """The machines not heard for some reports: a successor goes on counting from when they were heard last."""
        limit = constants.ZONE_SILENT_REPORTS * self.workers.report_s
        return [
            m
            for m in self.cluster.machines.values()
            if m.state is not MachineState.BOOTING and now - last_contact(m) > limit
        ]

    def _silence_timeout_s(self, machine: Machine, now: float, hears_all: bool) -> float:
        """How long this machine may be silent until it is given up.

        The shorter, the surer it is that nothing lives there and the more its users lose by waiting. A machine that is
        given up too early costs its tasks and a boot, one that is waited for in vain its users' time.
        """
        lease_s, report_s = self.workers.lease_s, self.workers.report_s
        precious = any(t.job.is_open and t.job.kind is not Kind.ARRAY for t in machine.tasks.values())
        if now < self._unreachable_until.get(machine.zone, 0.0):
            if machine.zone in self.zones_with_controllers or not hears_all:
                # A node in there may be keeping its tasks alive.
                return lease_s * constants.SILENT_ZONE_SHARE
            # No node in there, and all others in hearing: what ran there is dead once its lease is over. Replicas start
            # elsewhere at once. The rest waits longer: when the cut ends, its machines and images are there.
            replicas = any(t.job.is_open and t.job.kind is Kind.SERVICE for t in machine.tasks.values())
            return (
                lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LEASE_OVER_S
                if replicas
                else lease_s * constants.SILENT_PEER_SHARE
            )
        if not hears_all:
            return lease_s * constants.SILENT_PEER_SHARE
        asked = machine.last_heard is not None and machine.probe_failed_at > machine.last_heard
        if precious and asked and now >= self._suspected_until.get(machine.zone, 0.0):
            return constants.SILENT_REPORTS * report_s
        return lease_s * constants.SILENT_SHARE

    def _deletion_reason(self, machine: Machine, now: float, hears_all: bool) -> str | None:
        """Why a machine is to be deleted now, or None."""
        since = self.entitled_since or 0.0
        # After an outage or a standstill of this node, silence counts anew: once 15 machines that others had kept
        # alive through an outage of 37 s were deleted in the moment it ended. In a zone that is cut off from all nodes
        # it goes on: there is nobody who could have kept anything alive.
        lost = (
            machine.zone in self.unreachable_zones
            and machine.zone not in self.zones_with_controllers
            and now - since > constants.FIND_NODE_S
        )
        quiet = now - (last_contact(machine) if lost else max(last_contact(machine), since))
        if machine.state is MachineState.BOOTING:
            if now - machine.rented_at > self.cluster.boot_tracker.boot_timeout_s(machine, self.cluster.types.values()):
                return "does not come up"
            return None
        if (
            machine.reclaim_at is not None
            and now > machine.reclaim_at + constants.RECLAIMED_SILENT_S
            and quiet > constants.RECLAIMED_SILENT_S + 1
        ):
            return "taken by the cloud"
        if (
            machine.state is MachineState.UNRESPONSIVE
            and not machine.tasks
            and machine.zone not in self.asymmetric_zones
            and now - max(machine.unresponsive_since, since) > constants.UNRESPONSIVE_KEPT_S
        ):
            return "does not hear"
        if machine.state is MachineState.DRAINING and not machine.tasks and machine.drain_reason != "notice":
            return machine.drain_reason
        # Nobody's patience is shorter than that, and hardly a machine is silent for so long.
        if quiet > constants.SILENT_REPORTS * self.workers.report_s and quiet > self._silence_timeout_s(
            machine, now, hears_all
        ):
            return f"silent for {quiet:.1f} s"
        return None

    def machines_with_overdue_cancellations(self, now: float, wall: float) -> list[tuple[Machine, str]]:
        """The machines to be deleted for a cancelled task alone: what a leader in doubt may still see to."""
        return [
            (machine, why)
            for machine in self.cluster.machines.values()
            if machine.state is not MachineState.DELETING
            and (why := self.overdue_cancellation(machine, now, wall)) is not None
        ]

    def overdue_cancellation(self, machine: Machine, now: float, wall: float) -> str | None:
        """A machine that can't be told to stop a cancelled task is deleted while `cancel_s` still allows it."""
        cancel_s = self.workers.cancel_s
        # A new leader, or one that stood still, first waits for what the machine has to say: most have long stopped
        # their tasks, and only the record lags. Not so while the last moment is near that helps.
        since = self.entitled_since or 0.0
        waits = (machine.last_heard is None or machine.last_heard < since) and now - max(
            since, machine.known_since
        ) < constants.CANCEL_HEAR_REPORTS * self.workers.report_s
        for task in machine.tasks.values():
            if task.job.state is not JobState.CANCELLED:
                continue
            age = task.job.seconds_since_cancelled(now, wall, self.skew_s)
            if age <= cancel_s * constants.CANCEL_DELETE_SHARE:
                continue
            if waits and not cancel_s * constants.CANCEL_LAST_SHARE < age < cancel_s * constants.CANCEL_OVER_SHARE:
                continue
            return f"holds the cancelled {task.name}"
        return None


def last_contact(machine: Machine) -> float:
    """When a machine was last heard under this term, or else when this leader began to wait for it."""
    return machine.last_heard if machine.last_heard is not None else machine.known_since
