"""The platform's settings file (TOML). Unknown fields are ignored; errors name the path of the field."""

from __future__ import annotations

import math
import re
import tomllib
from typing import Any

import msgspec

from .errors import ConfigurationError

_ADDR = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})\Z")


class SettingsError(ConfigurationError):
    """The settings file is invalid; the message is one line with the field's path and the expected value."""


class Seed(msgspec.Struct, frozen=True):
    """Another controller node and the address at which it listens for peers."""

    node: str
    zone: str
    addr: str


class Services(msgspec.Struct, frozen=True):
    """Addresses of the cloud and the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed CPUs and GPUs and its limits (`_max`)."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service level objective, such as a share of jobs that start within a time in s."""

    kind: str
    job_class: str = ""
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    """Times of the worker protocol, in s (PROTOCOL, "Workers -> controller nodes")."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class State(msgspec.Struct, frozen=True):
    """Limits of the state service: requests and changes a second, KiB of a value, changes in a transaction."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class Cloud(msgspec.Struct, frozen=True):
    """Limits of the cloud: requests a second, and how many s its machine list may lag."""

    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources of the machine that a node runs on: CPUs, MB of memory, sockets."""

    cpu: float
    mem_mb: float
    sockets: int


class Params(msgspec.Struct, frozen=True):
    """Parameters of the deployment, the same on all nodes."""

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
    """The settings file of one node; `back` is the address at which it listens for peers."""

    node: str
    zone: str
    client_listen: str
    back: str
    services: Services
    settings: Params
    seeds: list[Seed] = []


def parse_addr(text: str, path: str) -> tuple[str, int]:
    """Split `ip:port`; `path` names the setting in errors. Raises SettingsError."""
    match = _ADDR.match(text)
    if not match or int(match[2]) > 65535 or any(int(octet) > 255 for octet in match[1].split(".")):
        raise SettingsError(f"{path}: expected an address like 10.0.0.1:8080, got {text!r}")
    return match[1], int(match[2])


def _check_positive(value: Any, path: str, allow_zero: bool = False) -> None:
    """Check that a number is finite and above 0; with `allow_zero`, at least 0."""
    if not math.isfinite(value) or value < 0 or (value == 0 and not allow_zero):
        raise SettingsError(
            f"{path}: expected a finite number {'of at least' if allow_zero else 'above'} 0, got {value}"
        )


def parse(text: str) -> Settings:
    """Decode and check the text of a settings file. Raises SettingsError that names the field."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as err:
        raise SettingsError(f"not TOML: {err}") from None
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as err:
        raise SettingsError(str(err).replace("$.", "").replace("\n", " ")) from None
    parse_addr(settings.client_listen, "client_listen")
    parse_addr(settings.back, "back")
    parse_addr(settings.services.cloud, "services.cloud")
    parse_addr(settings.services.state, "services.state")
    for index, seed in enumerate(settings.seeds):
        parse_addr(seed.addr, f"seeds[{index}].addr")
    params = settings.settings
    _check_positive(params.nodes, "settings.nodes")
    _check_positive(params.skew_ms, "settings.skew_ms", allow_zero=True)
    if not params.zones:
        raise SettingsError("settings.zones: expected at least one zone")
    for group in ("workers", "state", "cloud", "machine_limits"):
        section = getattr(params, group)
        for field in section.__struct_fields__:
            _check_positive(getattr(section, field), f"settings.{group}.{field}", allow_zero=field == "list_lag_s")
    for index, team in enumerate(params.teams):
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _check_positive(getattr(team, field), f"settings.teams[{index}].{field}", allow_zero=True)
    if len({team.name for team in params.teams}) != len(params.teams):
        raise SettingsError("settings.teams: expected unique names")
    return settings


def load(path: str) -> Settings:
    """Read, decode and check a settings file. Raises SettingsError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: can't be read: {err}") from None
    return parse(text)
