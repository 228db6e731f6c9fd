"""Messages between controller nodes and the cloud (PROTOCOL, "Controller nodes -> cloud")."""

from __future__ import annotations

import msgspec


class MachineType(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "memory_gb": "memGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "pullGbPerS",
        "price": "hourly",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "halls",
    },
):
    """A machine type. Memory and image cache are in GB, prices per hour."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    price: float
    spot_price: float | None = None
    boot_s: float = 60.0
    zones: list[str]


class MachineTypes(msgspec.Struct, frozen=True, rename={"types": "rigTypes"}):
    """Answer of GET /flavors."""

    types: list[msgspec.Raw]  # decoded one by one, so that a malformed type does not hide the others


_machine_type_decoder = msgspec.json.Decoder(MachineType)


def machine_type(raw: msgspec.Raw) -> MachineType:
    """Decode one machine type. Raises ValueError that names it if it is malformed or unable to run any task."""
    try:
        decoded = _machine_type_decoder.decode(raw)
    except msgspec.DecodeError as err:
        raise ValueError(f"{bytes(raw)[:60]!r}: {err}") from None
    for field, value in (("cpus", decoded.cpus), ("memGb", decoded.memory_gb)):
        if value <= 0:
            raise ValueError(f"{decoded.name}: {field} is {value:g}")
    for field, value in (
        ("gpus", decoded.gpus),
        ("hourly", decoded.price),
        ("spotPrice", decoded.spot_price or 0.0),
        ("cacheGb", decoded.cache_gb),
        ("pullGbPerS", decoded.fetch_gb_per_s),
        ("bootS", decoded.boot_s),
    ):
        if value < 0:
            raise ValueError(f"{decoded.name}: {field} is {value:g}")
    if not decoded.zones:
        raise ValueError(f"{decoded.name}: halls is empty")
    return decoded


class RentRequest(
    msgspec.Struct,
    frozen=True,
    rename={
        "request": "hire",
        "type": "rigType",
        "zone": "hall",
        "spot": "loaner",
    },
):
    """Body of POST /hosts."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, frozen=True, rename={"machines": "rigs"}):
    """Answer of POST /hosts, and body of POST /hosts/delete."""

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "name": "ref",
        "addr": "endpoint",
        "type": "rigType",
        "zone": "hall",
        "spot": "loaner",
        "state": "status",
        "age_s": "ageS",
    },
):
    """One machine in a MachineListing; `age_s` is its age in seconds."""

    name: str
    addr: str = ""
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class MachineListing(msgspec.Struct, frozen=True, rename={"machines": "rigs", "more": "truncated"}):
    """Answer of GET /hosts: one page of the listing; `more`: further pages follow."""

    machines: list[ListedMachine]
    more: bool = False
