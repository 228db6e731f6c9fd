"""The free capacities of the policy's snapshot: of running, booting, inherited and requested machines."""

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

SILENCE_LIMIT_REPORTS = 2.5  # report intervals without a report after which a machine offers no capacity


@dataclass(frozen=True, slots=True)
class CachedCapacity:
    """The free capacity of a running machine as built for an earlier snapshot, and what it was built from."""

    machine_usage: MachineUsage
    capacity: policy_snapshot.FreeCapacity
    machine: Machine


class FreeCapacities:
    """Builds the free capacities of a cycle, and caches those of running machines and their inspections."""

    def __init__(self, settings: Settings, cluster: ClusterState, inventory: Inventory) -> None:
        self.settings = settings
        self.cluster = cluster
        self.types = cluster.types
        self.inventory = inventory
        self._inspections: dict[str, MachineInspection] = {}
        # Most running machines do not change between cycles. Without this cache, rebuilding all capacities took a
        # quarter of a leader's work at 970 machines.
        self._capacity_cache: dict[str, CachedCapacity] = {}
        self._silence_limit_s = SILENCE_LIMIT_REPORTS * settings.settings.workers.report_s
        # Inputs of the snapshot that is being built.
        self._zones_with_controllers: frozenset[str] | None = None
        self._jobs_within_guarantee: set[str] = set()
        self._now = 0.0

    def build(
        self, now: float, jobs_within_guarantee: set[str], zones_with_controllers: frozenset[str] | None
    ) -> list[policy_snapshot.FreeCapacity]:
        """All free capacities at `now` (monotonic, s).

        `jobs_within_guarantee`: references of the jobs that their teams' guarantees cover.
        """
        if zones_with_controllers != self._zones_with_controllers:
            self._capacity_cache.clear()
        self._jobs_within_guarantee, self._now = jobs_within_guarantee, now
        self._zones_with_controllers = zones_with_controllers
        capacities = [
            capacity
            for machine in self.cluster.machines.values()
            if (capacity := self._capacity(machine, now)) is not None
        ]
        capacities += self._pending_rental_capacities(now)
        self._drop_deleted_machines()
        return capacities

    def _drop_deleted_machines(self) -> None:
        machines = self.cluster.machines
        if (
            len(self._inspections) + len(self._capacity_cache)
            <= 4 * len(machines) + constants.INSPECTION_CACHE_STALE_MAX
        ):
            return
        self._inspections = {name: inspection for name, inspection in self._inspections.items() if name in machines}
        self._capacity_cache = {name: cached for name, cached in self._capacity_cache.items() if name in machines}

    def _pending_rental_capacities(self, now: float) -> list[policy_snapshot.FreeCapacity]:
        """The capacities of pending rentals, whose machines count as booting."""
        capacities = []
        for name, rental in self.inventory.pending_rentals.items():
            request = rental.request
            machine_type = self.types.get(request.type) if request is not None else None
            if machine_type is not None and request is not None:
                capacities += [
                    policy_snapshot.FreeCapacity(
                        f"{name}/{index}",
                        machine_type,
                        request.zone,
                        request.spot,
                        machine_type.cpus,
                        machine_type.gpus,
                        machine_type.memory_gb,
                        ready_in=max(1.0, machine_type.boot_s - (now - rental.intended_at)),
                        zone_lacks_controller=self._zone_lacks_controller(request.zone),
                    )
                    for index in range(request.count)
                ]
        return capacities

    def _zone_lacks_controller(self, zone: str) -> bool:
        return self._zones_with_controllers is not None and zone not in self._zones_with_controllers

    def _capacity(self, machine: Machine, now: float) -> policy_snapshot.FreeCapacity | None:
        machine_type = machine.type
        if machine_type is None or machine.unknown_tasks:
            return None
        if machine.state is MachineState.UP:
            return self._running_capacity(machine, machine_type, now)
        inherited = machine.state is MachineState.INHERITED
        if inherited and now - machine.known_since > constants.INHERITED_MACHINE_TIMEOUT_S:
            # A running machine would have reported by now. The cloud's list lags and still names deleted machines.
            return None
        if inherited and machine.tasks:
            return self._inherited_capacity(machine, machine_type)
        if machine.state is MachineState.BOOTING or inherited:
            return self._booting_capacity(machine, machine_type, now)
        return None

    def _inherited_capacity(self, machine: Machine, machine_type: MachineType) -> policy_snapshot.FreeCapacity:
        """The capacity that the tasks of an inherited machine leave free, available after its next report.

        The machine reports soon unless it is lost, so it counts like a booting one until then.
        """
        usage = machine.usage()
        return policy_snapshot.FreeCapacity(
            machine.name,
            machine_type,
            machine.zone,
            machine.spot,
            machine_type.cpus - usage.cpus,
            machine_type.gpus - usage.gpus,
            machine_type.memory_gb - usage.memory_gb,
            images=usage.images,
            ready_in=self.settings.settings.workers.report_s,
            zone_lacks_controller=self._zone_lacks_controller(machine.zone),
        )

    def _booting_capacity(
        self, machine: Machine, machine_type: MachineType, now: float
    ) -> policy_snapshot.FreeCapacity | None:
        if not self.cluster.boot_tracker.is_boot_expected(machine, self.types.values(), now):
            return None
        return policy_snapshot.FreeCapacity(
            machine.name,
            machine_type,
            machine.zone,
            machine.spot,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            ready_in=max(1.0, machine_type.boot_s - (now - machine.rented_at)),
            zone_lacks_controller=self._zone_lacks_controller(machine.zone),
        )

    def _running_capacity(
        self, machine: Machine, machine_type: MachineType, now: float
    ) -> policy_snapshot.FreeCapacity | None:
        """The capacity of a running machine, rebuilt if the machine has changed or a plan has used some of it."""
        if now - (machine.last_heard or 0) > self._silence_limit_s:
            return None
        usage = machine.usage()
        cached = self._capacity_cache.get(machine.name)
        if cached is None or cached.capacity.type is not machine_type or cached.machine is not machine:
            capacity = self._empty_capacity(machine, machine_type)
        else:
            capacity = cached.capacity
            capacity.discard_inspection()
            if cached.machine_usage is usage and not capacity.modified:
                return capacity
        _set_free_resources(capacity, machine_type, usage, empty=not machine.tasks)
        self._capacity_cache[machine.name] = CachedCapacity(usage, capacity, machine)
        return capacity

    def _empty_capacity(self, machine: Machine, machine_type: MachineType) -> policy_snapshot.FreeCapacity:
        return policy_snapshot.FreeCapacity(
            machine.name,
            machine_type,
            machine.zone,
            machine.spot,
            0.0,
            0.0,
            0.0,
            inspector=lambda: self._inspect(machine),
            zone_lacks_controller=self._zone_lacks_controller(machine.zone),
        )

    def _inspect(self, machine: Machine) -> tuple[list[policy_snapshot.Victim], list[policy_snapshot.MovableReplica]]:
        """Like `inspect_tasks`, cached for some cycles while the machine's tasks do not change."""
        usage, jobs_within_guarantee, now = machine.usage(), self._jobs_within_guarantee, self._now
        inspection = self._inspections.get(machine.name)
        if (
            inspection is None
            or inspection.machine_usage is not usage
            or now - inspection.inspected_at > constants.INSPECTION_CACHE_TTL_S
        ):
            inspection = MachineInspection(usage, now, *inspect_tasks(machine, jobs_within_guarantee, now))
            self._inspections[machine.name] = inspection
        return inspection.victims, inspection.movable_replicas


def _set_free_resources(
    capacity: policy_snapshot.FreeCapacity, machine_type: MachineType, usage: MachineUsage, empty: bool
) -> None:
    """Set the resources of a machine of this type that its usage leaves free."""
    capacity.reset(
        machine_type.cpus - usage.cpus,
        machine_type.gpus - usage.gpus,
        machine_type.memory_gb - usage.memory_gb,
        (usage.releasing_cpus, usage.releasing_gpus, usage.releasing_memory_gb),
    )
    capacity.images = usage.images
    capacity.cached_images = usage.cached_images
    capacity.pending_fetches = usage.pending_fetches
    capacity.empty = empty
    capacity.replica_count = usage.replicas
    capacity.pinned_tasks = usage.pinned_tasks
    capacity.preemptible_tasks = usage.preemptible_tasks
    capacity.preemptible_by_rank = usage.preemptible_by_rank
