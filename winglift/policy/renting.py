"""Scale-out: which machine type is rented where (EPSM, section 4).

The cheapest type that meets the sub-deadline, its boot included, or else the fastest.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import constants
from ..wire.cloud import MachineType
from ..wire.users import Kind, Submission
from . import cost_model
from .snapshot import Demand, FreeCapacity, Plan, Rental, Snapshot, zone_allowed

# Numbers of rentals and of booting machines, machines per zone, and the remaining probe allowance.
Checkpoint = tuple[int, int, dict[str, int], dict[tuple[str, str], int]]


@dataclass(frozen=True, slots=True)
class RentalChoice:
    """A machine that could be rented for a task: type, zone and kind (spot or ordinary)."""

    late: bool  # it would miss its sub-deadline there
    ready_s: float  # boot, fetch and run time
    key: tuple  # of those that are equally late, the smallest is taken
    type: MachineType
    zone: str
    spot: bool


class Renting:
    """Chooses machine types to rent, within what the cloud has refused lately."""

    def __init__(self, snapshot: Snapshot, plan: Plan, booting: list[FreeCapacity]) -> None:
        self.snapshot = snapshot
        self.plan = plan
        self.booting = booting
        self._availability: dict[tuple[str, str | None, bool], bool] = {}
        self._probe_allowance = dict(
            snapshot.boot_probe_allowance
        )  # in pools whose machines fail to boot, few are tried
        self.all_zones_unreachable = all(
            zone in snapshot.unreachable_zones for mtype in snapshot.types.values() for zone in mtype.zones
        )
        self.per_zone: dict[str, int] = {}
        for capacity in snapshot.capacities:
            self.per_zone[capacity.zone] = self.per_zone.get(capacity.zone, 0) + 1

    def slack_exhausted(self, demand: Demand) -> bool:
        """Whether the task may wait no longer (EPSM, section 4).

        Its slack is the remaining time minus boot, fetch and run time and one cycle.

        Boot and fetch are those of the cheapest type for this task, of those available now if there are any.
        """
        spec = demand.spec
        if spec.due_s is None:
            return True
        types = self.snapshot.types.values()
        mtype = cost_model.cheapest_type(
            spec, [mtype for mtype in types if self._available(mtype, spec)]
        ) or cost_model.cheapest_type(spec, types)
        ready = cost_model.ready_s(spec, mtype) if mtype is not None else 0.0
        return (
            demand.sub_deadline
            - self.snapshot.now
            - demand.run_s * self.snapshot.slack_pad
            - ready
            - constants.CYCLE_INTERVAL_S
            <= 0
        )

    def _available(self, mtype: MachineType, spec: Submission) -> bool:
        """Whether the cloud has not refused this type lately in every zone and kind that the job allows."""
        key = mtype.name, spec.zone, spec.spot
        found = self._availability.get(key)
        if found is None:
            kinds = (False, True) if spec.spot and mtype.spot_price is not None else (False,)
            found = self._availability[key] = any(
                (mtype.name, zone, spot) not in self.snapshot.capacity_refusals
                for zone in mtype.zones
                for spot in kinds
                if spec.zone in (None, zone)
            )
        return found

    def _choices(self, demand: Demand, placed: dict[str, int]) -> list[RentalChoice]:
        """The machines that could be rented for one task."""
        spec = demand.spec
        found: list[RentalChoice] = []
        # Spot machines may be refused for now. Ordinary ones are rented instead only once the deadline requires it:
        # with a boot ahead, the start is late for a guarantee in any case.
        kinds = (False,) if not spec.spot else (True, False) if self.slack_exhausted(demand) else (True,)
        types = self.snapshot.types.values()
        may_wait = demand.is_speculative or (spec.due_s is not None and not demand.start_overdue)
        for mtype in types:
            if not cost_model.task_fits(spec, mtype):
                continue
            ready = cost_model.ready_s(spec, mtype) + demand.run_s
            for spot in kinds if mtype.spot_price is not None else (False,):
                if may_wait and cost_model.too_expensive(spec, mtype, types, spot):
                    # What is rented already serves all; but none is rented that costs more than being late does. Only
                    # work that would not begin at all takes it: no class is starved for its price.
                    continue
                for zone in mtype.zones:
                    choice = self._choice_in_zone(demand, mtype, zone, spot, ready, placed)
                    if choice is not None:
                        found.append(choice)
        return found

    def _choice_in_zone(
        self, demand: Demand, mtype: MachineType, zone: str, spot: bool, ready: float, placed: dict[str, int]
    ) -> RentalChoice | None:
        """The machine of this type in one zone as a choice, or None where it must not be rented now."""
        spec = demand.spec
        if (spec.zone is not None and zone != spec.zone) or not zone_allowed(spec, zone, placed):
            return None
        if zone in self.snapshot.unreachable_zones and not self.all_zones_unreachable:
            # An unreachable zone seems empty, and everything was once rented there first.
            return None
        failing = (mtype.name, zone) in self._probe_allowance
        if failing and self._probe_allowance[mtype.name, zone] < 1:
            return None
        if (mtype.name, zone, spot) in self.snapshot.capacity_refusals:
            return None
        zone_lacks_controller = spec.kind is Kind.SERVICE and self.snapshot.zone_lacks_controller(zone)
        key = (
            failing,
            cost_model.task_price(spec, mtype, spot),
            zone_lacks_controller,
            placed.get(zone, 0),
            self.per_zone.get(zone, 0),
            zone,
            mtype.name,
        )
        late = self.snapshot.now + ready > demand.sub_deadline
        return RentalChoice(late, ready, key, mtype, zone, spot)

    def rent(self, demand: Demand, placed: dict[str, int]) -> FreeCapacity | None:
        """Rent a machine for one task of this demand; None if nothing adequate is available."""
        choices = self._choices(demand, placed)
        if not choices:
            return None
        # The cheapest that meets the sub-deadline; or else the fastest, or the cheapest of those about as fast.
        similar_s = min(choice.ready_s for choice in choices) * constants.SIMILAR_LATENESS_RATIO
        best = min(choices, key=lambda choice: (choice.late, choice.late and choice.ready_s > similar_s, choice.key))
        mtype, zone = best.type, best.zone
        capacity = FreeCapacity(
            f"new-{len(self.plan.rentals)}",
            mtype,
            zone,
            best.spot,
            mtype.cpus,
            mtype.gpus,
            mtype.memory_gb,
            ready_in=mtype.boot_s,
            zone_lacks_controller=self.snapshot.zone_lacks_controller(zone),
        )
        self.plan.rentals.append(Rental(mtype.name, zone, best.spot))
        self.per_zone[zone] = self.per_zone.get(zone, 0) + 1
        if (mtype.name, zone) in self._probe_allowance:
            self._probe_allowance[mtype.name, zone] -= 1
        self.booting.append(capacity)
        return capacity

    def checkpoint(self) -> Checkpoint:
        """The state to return to if a gang finds no place for all its tasks."""
        return len(self.plan.rentals), len(self.booting), dict(self.per_zone), dict(self._probe_allowance)

    def rollback(self, checkpoint: Checkpoint) -> None:
        """Undo the rentals decided since the checkpoint."""
        rental_count, booting_count, per_zone, probe_allowance = checkpoint
        del self.plan.rentals[rental_count:]
        del self.booting[booting_count:]
        self.per_zone, self._probe_allowance = dict(per_zone), dict(probe_allowance)


def merge_rentals(rentals: list[Rental]) -> list[Rental]:
    """Merge rentals of one type, zone and kind into one request."""
    merged: dict[tuple[str, str, bool], Rental] = {}
    for rental in rentals:
        key = (rental.type, rental.zone, rental.spot)
        if key in merged:
            merged[key].count += 1
        else:
            merged[key] = Rental(rental.type, rental.zone, rental.spot)
    return list(merged.values())
