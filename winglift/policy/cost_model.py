"""Cost model of machine types: whether a task fits, its share of a machine, its price, and which types it prefers.

In EPSM (section 4), machine types differ only in speed and price. Here they differ in GPUs and memory too: a task's
share of a machine is the largest of its shares of CPUs, GPUs and memory, and a task that uses no GPU prefers types
without GPUs if it fits one of them. Prices are per hour, times in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .. import constants
from ..model.quota import AMOUNT_TOLERANCE
from ..wire.cloud import MachineType
from ..wire.users import Submission


def task_fits(spec: Submission, mtype: MachineType) -> bool:
    """Whether one task fits on an empty machine of this type, and the job allows the type and a zone that offers it."""
    return (
        (spec.types is None or mtype.name in spec.types)
        and (spec.zone is None or spec.zone in mtype.zones)
        and spec.cpus <= mtype.cpus + AMOUNT_TOLERANCE
        and spec.gpus <= mtype.gpus + AMOUNT_TOLERANCE
        and spec.memory_gb <= mtype.memory_gb + AMOUNT_TOLERANCE
    )


def machine_share(spec: Submission, mtype: MachineType) -> float:
    """The share of a machine that one task takes, by its dominant resource."""
    return max(spec.gpus / mtype.gpus if mtype.gpus else 0.0, spec.cpus / mtype.cpus, spec.memory_gb / mtype.memory_gb)


def task_price(spec: Submission, mtype: MachineType, spot: bool) -> float:
    """The price per hour of one task's share of a machine of this type."""
    hourly_price = mtype.spot_price if spot and mtype.spot_price is not None else mtype.price
    return hourly_price * machine_share(spec, mtype)


def ready_s(spec: Submission, mtype: MachineType) -> float:
    """Seconds from the rental of a machine until a task can run on it: boot and image fetch."""
    return mtype.boot_s + spec.image_gb / max(mtype.fetch_gb_per_s, 1e-3)


def cheapest_type(spec: Submission, types: Iterable[MachineType], spot: bool = False) -> MachineType | None:
    """The type on which one task costs least, at the ordinary or the spot price. None if it fits no type."""
    fitting = [mtype for mtype in types if task_fits(spec, mtype) and (not spot or mtype.spot_price is not None)]
    return min(fitting, key=lambda mtype: (task_price(spec, mtype, spot), mtype.name), default=None)


def prefers_cpu_machines(spec: Submission, types: Mapping[str, MachineType]) -> bool:
    """Whether a task uses no GPU, and fits a type without GPUs."""
    return spec.gpus <= 0 and any(mtype.gpus <= 0 and task_fits(spec, mtype) for mtype in types.values())


def too_expensive(spec: Submission, mtype: MachineType, types: Iterable[MachineType], spot: bool) -> bool:
    """Whether a task's price here exceeds `PRICE_RATIO_MAX` times that on the cheapest type, ordinary or spot."""
    cheapest = cheapest_type(spec, types, spot)
    return (
        cheapest is not None
        and task_price(spec, mtype, spot)
        > constants.PRICE_RATIO_MAX * task_price(spec, cheapest, spot) + AMOUNT_TOLERANCE
    )
