"""Scale-out: which machine type is rented in which zone (EPSM, section 4).

The cheapest type that meets the sub-deadline, boot time included, or else the fastest.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import constants
from ..wire.cloud import MachineType
from ..wire.users import Kind, Submission
from . import cost_model
from .snapshot import Demand, FreeCapacity, Plan, Rental, Snapshot, zone_allowed

# The number of rentals, the number of booting machines, the machines per zone, and the remaining probe allowance.
Checkpoint = tuple[int, int, dict[str, int], dict[tuple[str, str], int]]


@dataclass(frozen=True, slots=True)
class RentalChoice:
    """A machine that could be rented for a task: type, zone and kind (spot or ordinary)."""

    late: bool  # the task would miss its sub-deadline on it
    ready_s: float  # boot, fetch and run time
    key: tuple  # sort key among choices that are equally late: the smallest is the best
    type: MachineType
    zone: str
    spot: bool


class Renting:
    """Chooses the machine types to rent, except those that the cloud has refused recently."""

    def __init__(self, snapshot: Snapshot, plan: Plan, booting: list[FreeCapacity]) -> None:
        self.snapshot = snapshot
        self.plan = plan
        self.booting = booting
        self._availability: dict[tuple[str, str | None, bool], bool] = {}
        self._probe_allowance = dict(
            snapshot.boot_probe_allowance
        )  # per pool whose machines fail to boot: how many more may be rented as a probe
        self.all_zones_unreachable = all(
            zone in snapshot.unreachable_zones for mtype in snapshot.types.values() for zone in mtype.zones
        )
        self.per_zone: dict[str, int] = {}
        for capacity in snapshot.capacities:
            self.per_zone[capacity.zone] = self.per_zone.get(capacity.zone, 0) + 1

    def slack_exhausted(self, demand: Demand) -> bool:
        """Whether the task must not wait any longer (EPSM, section 4).

        Its slack is the remaining time minus boot, fetch and run time and one cycle. Boot and fetch times are those of
        the cheapest type for this task among the types available now, or among all types if none is available.
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
        """Whether a zone and kind (spot or ordinary) that the job allows has no recent refusal of this type."""
        key = mtype.name, spec.zone, spec.spot
        available = self._availability.get(key)
        if available is None:
            kinds = (False, True) if spec.spot and mtype.spot_price is not None else (False,)
            available = self._availability[key] = any(
                (mtype.name, zone, spot) not in self.snapshot.capacity_refusals
                for zone in mtype.zones
                for spot in kinds
                if spec.zone in (None, zone)
            )
        return available

    def _rental_choices(self, demand: Demand, placed: dict[str, int]) -> list[RentalChoice]:
        """The machines that could be rented for one task."""
        spec = demand.spec
        choices: list[RentalChoice] = []
        # While spot machines are refused, ordinary ones are rented for spot work only once its slack is exhausted. This
        # holds within a guarantee too: with a boot ahead, the start is late in any case.
        kinds = (False,) if not spec.spot else (True, False) if self.slack_exhausted(demand) else (True,)
        types = self.snapshot.types.values()
        may_wait = demand.is_speculative or (spec.due_s is not None and not demand.start_overdue)
        for mtype in types:
            if not cost_model.task_fits(spec, mtype):
                continue
            ready = cost_model.ready_s(spec, mtype) + demand.run_s
            for spot in kinds if mtype.spot_price is not None else (False,):
                if may_wait and cost_model.too_expensive(spec, mtype, types, spot):
                    # Machines already rented serve any work, but no new one is rented that costs more than the delay.
                    # Work that has not started for long is exempt, so that no class starves because of the price.
                    continue
                for zone in mtype.zones:
                    choice = self._choice_in_zone(demand, mtype, zone, spot, ready, placed)
                    if choice is not None:
                        choices.append(choice)
        return choices

    def _choice_in_zone(
        self, demand: Demand, mtype: MachineType, zone: str, spot: bool, ready: float, placed: dict[str, int]
    ) -> RentalChoice | None:
        """The choice of this type in one zone, or None if it must not be rented there now."""
        spec = demand.spec
        if (spec.zone is not None and zone != spec.zone) or not zone_allowed(spec, zone, placed):
            return None
        if zone in self.snapshot.unreachable_zones and not self.all_zones_unreachable:
            # An unreachable zone seems to have the fewest machines: without this rule, all rentals went there first.
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
        """Rent a machine for one task of this demand. None if no adequate machine is available."""
        choices = self._rental_choices(demand, placed)
        if not choices:
            return None
        # The cheapest that meets the sub-deadline, or else the cheapest of those about as fast as the fastest.
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
        """The state to roll back to if not all tasks of a gang can be placed."""
        return len(self.plan.rentals), len(self.booting), dict(self.per_zone), dict(self._probe_allowance)

    def rollback(self, checkpoint: Checkpoint) -> None:
        """Undo the rentals decided since the checkpoint."""
        rental_count, booting_count, per_zone, probe_allowance = checkpoint
        del self.plan.rentals[rental_count:]
        del self.booting[booting_count:]
        self.per_zone, self._probe_allowance = dict(per_zone), dict(probe_allowance)


def merge_rentals(rentals: list[Rental]) -> list[Rental]:
    """Merge rentals of the same type, zone and kind (spot or ordinary) into one request."""
    merged: dict[tuple[str, str, bool], Rental] = {}
    for rental in rentals:
        key = (rental.type, rental.zone, rental.spot)
        if key in merged:
            merged[key].count += 1
        else:
            merged[key] = Rental(rental.type, rental.zone, rental.spot)
    return list(merged.values())
