"""The platform's settings file: unknown fields are ignored, bad ones named with their path."""

from __future__ import annotations

import math
import re
import tomllib
from typing import Any

import msgspec

_ADDR = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})\Z")


class SettingsError(Exception):
    """One line: the field's path and what was expected."""


class Seed(msgspec.Struct, frozen=True):
    """Another controller node and where it listens."""

    node: str
    zone: str
    addr: str


class Services(msgspec.Struct, frozen=True):
    """Addresses of the outside services."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """What a team is guaranteed and may use at most; 0 is none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """An aim of the users, as a share within a time."""

    kind: str
    job_class: str = ""
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    """Times of the workers' protocol, in s."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class State(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class Cloud(msgspec.Struct, frozen=True):
    """Limits of the cloud."""

    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """What a node's machine grants it."""

    cpu: float
    mem_mb: float
    sockets: int


class Params(msgspec.Struct, frozen=True):
    """What holds for the deployment, alike on all nodes."""

    nodes: int
    zones: list[str]
    skew_ms: float
    teams: list[Team]
    workers: Workers
    state: State
    cloud: Cloud
    machine_limits: MachineLimits
    objectives: list[Objective] = []


class Settings(msgspec.Struct, frozen=True):
    """One node's settings file."""

    node: str
    zone: str
    client_listen: str
    back: str
    services: Services
    settings: Params
    seeds: list[Seed] = []


def parse_addr(text: str, path: str) -> tuple[str, int]:
    """Host and port of `host:port`; `path` names the setting in errors."""
    match = _ADDR.match(text)
    if not match or int(match[2]) > 65535 or any(int(p) > 255 for p in match[1].split(".")):
        raise SettingsError(f"{path}: expected an address like 10.0.0.1:8080, got {text!r}")
    return match[1], int(match[2])


def _positive(value: Any, path: str, zero: bool = False) -> None:
    """Every number of the file is a finite amount; most must be above 0."""
    if not math.isfinite(value) or value < 0 or (value == 0 and not zero):
        raise SettingsError(f"{path}: expected a finite number {'of at least' if zero else 'above'} 0, got {value}")


def parse(text: str) -> Settings:
    """Check and decode a settings file's text. Raises SettingsError that names the field."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as err:
        raise SettingsError(f"not TOML: {err}") from None
    try:
        found = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as err:
        raise SettingsError(str(err).replace("$.", "").replace("\n", " ")) from None
    parse_addr(found.client_listen, "client_listen")
    parse_addr(found.back, "back")
    parse_addr(found.services.cloud, "services.cloud")
    parse_addr(found.services.state, "services.state")
    for i, seed in enumerate(found.seeds):
        parse_addr(seed.addr, f"seeds[{i}].addr")
    params = found.settings
    _positive(params.nodes, "settings.nodes")
    _positive(params.skew_ms, "settings.skew_ms", zero=True)
    if not params.zones:
        raise SettingsError("settings.zones: expected at least one zone")
    for group in ("workers", "state", "cloud", "machine_limits"):
        section = getattr(params, group)
        for field in section.__struct_fields__:
            _positive(getattr(section, field), f"settings.{group}.{field}", zero=field == "list_lag_s")
    for i, team in enumerate(params.teams):
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _positive(getattr(team, field), f"settings.teams[{i}].{field}", zero=True)
    if len({t.name for t in params.teams}) != len(params.teams):
        raise SettingsError("settings.teams: expected names that differ")
    return found


def load(path: str) -> Settings:
    """Read a settings file. Raises SettingsError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: can't be read: {err}") from None
    return parse(text)
