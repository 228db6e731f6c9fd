"""Which machine type is rented where: the cheapest that meets the sub-deadline counting its boot, or the fastest."""

from __future__ import annotations

from .. import constants as c
from ..model.teams import EPS
from ..wire.users import Kind
from .snapshot import Need, Plan, Rental, Room, Snapshot, zone_ok

Mark = tuple[int, int, dict[str, int], dict[tuple[str, str], int]]


class Renting:
    def __init__(self, snap: Snapshot, plan: Plan, coming: list[Room]) -> None:
        self.snap = snap
        self.plan = plan
        self.coming = coming
        self._few = dict(snap.dark)  # where new machines stay dark, few are tried
        self.all_cut = all(z in snap.cut for t in snap.types.values() for z in t.zones)
        self.per_zone: dict[str, int] = {}
        for room in snap.rooms:
            self.per_zone[room.zone] = self.per_zone.get(room.zone, 0) + 1

    def slack_gone(self, need: Need) -> bool:
        """Remaining time minus boot, fetch and run time minus a cycle (the slack wait)."""
        if need.spec.due_s is None:
            return True
        cheapest = min((t for t in self.snap.types.values() if need.spec.types is None or t.name in need.spec.types),
                       key=lambda t: t.price, default=None)
        boot = cheapest.boot_s + need.spec.image_gb / max(cheapest.fetch_gb_per_s, 1e-3) if cheapest else 0.0
        return need.sub_deadline - self.snap.now - need.run_s * self.snap.slack_pad - boot - c.CYCLE_S <= 0

    def rent(self, need: Need, placed: dict[str, int]) -> Room | None:
        spec, now = need.spec, self.snap.now
        best: tuple | None = None
        # Cheap machines may be refused for now. Dear ones are rented instead only once the deadline asks for it:
        # with a boot ahead, the start is late for a guarantee in any case.
        kinds = (False,) if not spec.spot else (True, False) if self.slack_gone(need) else (True,)
        for mtype in self.snap.types.values():
            if spec.types is not None and mtype.name not in spec.types:
                continue
            if spec.cpus > mtype.cpus + EPS or spec.gpus > mtype.gpus + EPS or spec.memory_gb > mtype.memory_gb + EPS:
                continue
            ready = mtype.boot_s + spec.image_gb / max(mtype.fetch_gb_per_s, 1e-3) + need.run_s
            late = now + ready > need.sub_deadline
            for zone in mtype.zones:
                if (spec.zone is not None and zone != spec.zone) or not zone_ok(spec, zone, placed):
                    continue
                if zone in self.snap.cut and not self.all_cut:
                    # With its machines out of reach a zone looks empty, and all was rented there first.
                    continue
                dark = (mtype.name, zone) in self._few
                if dark and self._few[mtype.name, zone] < 1:
                    continue
                for spot in kinds if mtype.spot_price is not None else (False,):
                    if (mtype.name, zone, spot) in self.snap.refused:
                        continue
                    price = (mtype.spot_price if spot else mtype.price) or mtype.price
                    share = max(spec.gpus / mtype.gpus if mtype.gpus else 0, spec.cpus / mtype.cpus)
                    alone = spec.kind is Kind.SERVICE and self.snap.alone(zone)
                    key = (late, ready if late else 0.0, dark, price * share, alone, placed.get(zone, 0),
                           self.per_zone.get(zone, 0), zone)
                    if best is None or key < best[0]:
                        best = (key, mtype, zone, spot)
        if best is None:
            return None
        _, mtype, zone, spot = best
        room = Room(f"new-{len(self.plan.rentals)}", mtype, zone, spot, mtype.cpus, mtype.gpus, mtype.memory_gb,
                    ready_in=mtype.boot_s, alone=self.snap.alone(zone))
        self.plan.rentals.append(Rental(mtype.name, zone, spot))
        self.per_zone[zone] = self.per_zone.get(zone, 0) + 1
        if (mtype.name, zone) in self._few:
            self._few[mtype.name, zone] -= 1
        self.coming.append(room)
        return room

    def mark(self) -> Mark:
        return len(self.plan.rentals), len(self.coming), dict(self.per_zone), dict(self._few)

    def undo(self, mark: Mark) -> None:
        """Rent nothing of what was decided since the mark."""
        del self.plan.rentals[mark[0]:]
        del self.coming[mark[1]:]
        self.per_zone, self._few = dict(mark[2]), dict(mark[3])


def merge_rentals(rentals: list[Rental]) -> list[Rental]:
    """One request for what is of one type, zone and kind."""
    merged: dict[tuple[str, str, bool], Rental] = {}
    for rental in rentals:
        key = (rental.type, rental.zone, rental.spot)
        if key in merged:
            merged[key].count += 1
        else:
            merged[key] = Rental(rental.type, rental.zone, rental.spot)
    return list(merged.values())
