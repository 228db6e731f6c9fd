"""What a machine type is to a task: does it fit, what part of it the task takes, what that costs, who else it is for.

The paper's types differ in speed and price alone. Where some have GPUs and others none, the whole machine counts: a
part of a machine is the largest of its parts of CPUs, GPUs and memory, and a task that uses no GPU is a guest on a
machine that has some, as long as there is a type without any that it fits.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .. import constants as c
from ..model.teams import EPS
from ..wire.cloud import MachineType
from ..wire.users import Submission


def fits(spec: Submission, mtype: MachineType) -> bool:
    """Does one task fit on an empty machine of an allowed type?"""
    return (
        (spec.types is None or mtype.name in spec.types)
        and (spec.zone is None or spec.zone in mtype.zones)
        and spec.cpus <= mtype.cpus + EPS
        and spec.gpus <= mtype.gpus + EPS
        and spec.memory_gb <= mtype.memory_gb + EPS
    )


def part(spec: Submission, mtype: MachineType) -> float:
    """The part of a machine that one task takes: of what it takes most."""
    return max(spec.gpus / mtype.gpus if mtype.gpus else 0.0, spec.cpus / mtype.cpus, spec.memory_gb / mtype.memory_gb)


def price(spec: Submission, mtype: MachineType, spot: bool) -> float:
    """What one task's part of such a machine costs, an hour."""
    hourly = mtype.spot_price if spot and mtype.spot_price is not None else mtype.price
    return hourly * part(spec, mtype)


def ready_s(spec: Submission, mtype: MachineType) -> float:
    """Seconds from a rental until a task could run there: boot and fetch."""
    return mtype.boot_s + spec.image_gb / max(mtype.fetch_gb_per_s, 1e-3)


def cheapest(spec: Submission, types: Iterable[MachineType], spot: bool = False) -> MachineType | None:
    """The type that one task costs least on, ordinary or spot."""
    fitting = [t for t in types if fits(spec, t) and (not spot or t.spot_price is not None)]
    return min(fitting, key=lambda t: (price(spec, t, spot), t.name), default=None)


def plain(spec: Submission, types: Mapping[str, MachineType]) -> bool:
    """Does it use no GPU, and is there a type without any that it fits?"""
    return spec.gpus <= 0 and any(t.gpus <= 0 and fits(spec, t) for t in types.values())


def dear(spec: Submission, mtype: MachineType, types: Iterable[MachineType], spot: bool) -> bool:
    """Does a task cost so much more there than on the cheapest type of this kind that waiting is better?"""
    least = cheapest(spec, types, spot)
    return least is not None and price(spec, mtype, spot) > c.DEAR_MOST * price(spec, least, spot) + EPS
