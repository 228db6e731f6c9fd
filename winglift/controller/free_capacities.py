"""The free capacity of each machine, as the policy sees it: running, booting, inherited or just requested."""

from __future__ import annotations

from dataclasses import dataclass

from .. import constants
from ..cloud.inventory import Inventory
from ..config.settings import Settings
from ..model.cluster_state import ClusterState
from ..model.entities import Machine, MachineUsage
from ..model.machine_state import MachineState
from ..policy import snapshot as policy_snapshot
from ..wire.cloud import MachineType
from .machine_inspection import MachineInspection, inspect_tasks

UNHEARD_REPORTS = 2.5  # a machine silent for so many report intervals offers no capacity


@dataclass(frozen=True, slots=True)
class CachedCapacity:
    """The free capacity of a running machine as built for an earlier snapshot, and what it was built from."""

    load: MachineUsage
    capacity: policy_snapshot.FreeCapacity
    machine: Machine


class FreeCapacities:
    """Lists free capacities; keeps those of running machines and their inspections from one cycle to the next."""

    def __init__(self, settings: Settings, cluster: ClusterState, inventory: Inventory) -> None:
        self.settings = settings
        self.cluster = cluster
        self.types = cluster.types
        self.inventory = inventory
        self._inspections: dict[str, MachineInspection] = {}
        # Most running machines are as they were a cycle ago: rebuilding all capacities took a quarter of a leader's
        # work at 970 machines.
        self._cached: dict[str, CachedCapacity] = {}
        self._unheard_s = UNHEARD_REPORTS * settings.settings.workers.report_s
        # Of the snapshot that is being built:
        self._zones_with_controllers: frozenset[str] | None = None
        self._within_guarantee: set[str] = set()
        self._now = 0.0

    def build(
        self, now: float, within_guarantee: set[str], zones_with_controllers: frozenset[str] | None
    ) -> list[policy_snapshot.FreeCapacity]:
        """All free capacities at `now` (monotonic, s); `within_guarantee` are the jobs that guarantees cover."""
        if zones_with_controllers != self._zones_with_controllers:
            self._cached.clear()
        self._within_guarantee, self._now = within_guarantee, now
        self._zones_with_controllers = zones_with_controllers
        capacities = [
            capacity
            for machine in self.cluster.machines.values()
            if (capacity := self._capacity(machine, now)) is not None
        ]
        capacities += self._requested_capacities(now)
        self._forget_deleted_machines()
        return capacities

    def _forget_deleted_machines(self) -> None:
        machines = self.cluster.machines
        if len(self._inspections) + len(self._cached) <= 4 * len(machines) + constants.INSPECTION_CACHE_STALE_MAX:
            return
        self._inspections = {name: inspection for name, inspection in self._inspections.items() if name in machines}
        self._cached = {name: cached for name, cached in self._cached.items() if name in machines}

    def _requested_capacities(self, now: float) -> list[policy_snapshot.FreeCapacity]:
        """Rentals whose answer is outstanding count as booting."""
        capacities = []
        for name, rental in self.inventory.pending_rentals.items():
            request = rental.request
            mtype = self.types.get(request.type) if request is not None else None
            if mtype is not None and request is not None:
                capacities += [
                    policy_snapshot.FreeCapacity(
                        f"{name}/{index}",
                        mtype,
                        request.zone,
                        request.spot,
                        mtype.cpus,
                        mtype.gpus,
                        mtype.memory_gb,
                        ready_in=max(1.0, mtype.boot_s - (now - rental.intended_at)),
                        zone_lacks_controller=self._zone_lacks_controller(request.zone),
                    )
                    for index in range(request.count)
                ]
        return capacities

    def _zone_lacks_controller(self, zone: str) -> bool:
        return self._zones_with_controllers is not None and zone not in self._zones_with_controllers

    def _capacity(self, machine: Machine, now: float) -> policy_snapshot.FreeCapacity | None:
        mtype = machine.type
        if mtype is None or machine.unknown_tasks:
            return None
        if machine.state is MachineState.UP:
            return self._running_capacity(machine, mtype, now)
        inherited = machine.state is MachineState.INHERITED
        if inherited and now - machine.known_since > constants.INHERITED_MACHINE_TIMEOUT_S:
            # A running machine would have reported by now: the lagging list still names what is gone.
            return None
        if inherited and machine.tasks:
            return self._inherited_capacity(machine, mtype)
        if machine.state is MachineState.BOOTING or inherited:
            return self._booting_capacity(machine, mtype, now)
        return None

    def _inherited_capacity(self, machine: Machine, mtype: MachineType) -> policy_snapshot.FreeCapacity:
        """It reports soon, unless it is lost: until then, what its tasks leave free counts like a booting machine."""
        load = machine.usage()
        return policy_snapshot.FreeCapacity(
            machine.name,
            mtype,
            machine.zone,
            machine.spot,
            mtype.cpus - load.cpus,
            mtype.gpus - load.gpus,
            mtype.memory_gb - load.memory_gb,
            images=load.images,
            ready_in=self.settings.settings.workers.report_s,
            zone_lacks_controller=self._zone_lacks_controller(machine.zone),
        )

    def _booting_capacity(
        self, machine: Machine, mtype: MachineType, now: float
    ) -> policy_snapshot.FreeCapacity | None:
        if not self.cluster.boot_tracker.is_boot_expected(machine, self.types.values(), now):
            return None
        return policy_snapshot.FreeCapacity(
            machine.name,
            mtype,
            machine.zone,
            machine.spot,
            mtype.cpus,
            mtype.gpus,
            mtype.memory_gb,
            ready_in=max(1.0, mtype.boot_s - (now - machine.rented_at)),
            zone_lacks_controller=self._zone_lacks_controller(machine.zone),
        )

    def _running_capacity(
        self, machine: Machine, mtype: MachineType, now: float
    ) -> policy_snapshot.FreeCapacity | None:
        """Rebuilt only if the machine has changed since the last build, or if a plan has taken capacity of it."""
        if now - (machine.last_heard or 0) > self._unheard_s:
            return None
        load = machine.usage()
        cached = self._cached.get(machine.name)
        if cached is None or cached.capacity.type is not mtype or cached.machine is not machine:
            capacity = self._empty_capacity(machine, mtype)
        else:
            capacity = cached.capacity
            capacity.discard_inspection()
            if cached.load is load and not capacity.modified:
                return capacity
        _fill(capacity, mtype, load, empty=not machine.tasks)
        self._cached[machine.name] = CachedCapacity(load, capacity, machine)
        return capacity

    def _empty_capacity(self, machine: Machine, mtype: MachineType) -> policy_snapshot.FreeCapacity:
        return policy_snapshot.FreeCapacity(
            machine.name,
            mtype,
            machine.zone,
            machine.spot,
            0.0,
            0.0,
            0.0,
            inspector=lambda: self._inspect(machine),
            zone_lacks_controller=self._zone_lacks_controller(machine.zone),
        )

    def _inspect(self, machine: Machine) -> tuple[list[policy_snapshot.Victim], list[policy_snapshot.MovableReplica]]:
        """As `inspect_tasks`, cached until the machine's tasks change: most stay as they are for some cycles."""
        load, within, now = machine.usage(), self._within_guarantee, self._now
        inspection = self._inspections.get(machine.name)
        if inspection is None or inspection.load is not load or now - inspection.at > constants.INSPECTION_CACHE_TTL_S:
            inspection = MachineInspection(load, now, *inspect_tasks(machine, within, now))
            self._inspections[machine.name] = inspection
        return inspection.victims, inspection.movable_replicas


def _fill(capacity: policy_snapshot.FreeCapacity, mtype: MachineType, load: MachineUsage, empty: bool) -> None:
    """Set what a machine of this type has free beside its load."""
    capacity.reset(
        mtype.cpus - load.cpus,
        mtype.gpus - load.gpus,
        mtype.memory_gb - load.memory_gb,
        (load.releasing_cpus, load.releasing_gpus, load.releasing_memory_gb),
    )
    capacity.images = load.images
    capacity.cached_images = load.cached_images
    capacity.pending_fetches = load.pending_fetches
    capacity.empty = empty
    capacity.replica_count = load.replicas
    capacity.pinned_tasks = load.pinned_tasks
    capacity.preemptible_tasks = load.preemptible_tasks
    capacity.preemptible_by_rank = load.preemptible_by_rank
