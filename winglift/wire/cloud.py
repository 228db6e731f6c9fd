"""Messages between controllers and the cloud."""

from __future__ import annotations

import msgspec


class MachineType(msgspec.Struct, frozen=True, kw_only=True, rename={
    "memory_gb": "memGb", "cache_gb": "cacheGb", "fetch_gb_per_s": "pullGbPerS", "price": "hourly",
    "spot_price": "spotPrice", "boot_s": "bootS", "zones": "halls",
}):
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


class Types(msgspec.Struct, frozen=True, rename={"types": "rigTypes"}):
    types: list[MachineType]


class Rent(msgspec.Struct, frozen=True, rename={
    "request": "hire", "type": "rigType", "zone": "hall", "spot": "loaner",
}):
    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Names(msgspec.Struct, frozen=True, rename={"machines": "rigs"}):
    machines: list[str]


class Listed(msgspec.Struct, frozen=True, kw_only=True, rename={
    "name": "ref", "addr": "endpoint", "type": "rigType", "zone": "hall", "spot": "loaner",
    "state": "status", "age_s": "ageS",
}):
    name: str
    addr: str = ""
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class Listing(msgspec.Struct, frozen=True, rename={"machines": "rigs", "more": "truncated"}):
    machines: list[Listed]
    more: bool = False
