"""Settings of workflows: a file of the operators' beside the platform's (TOML), `deploy/workflows.toml` shows it."""

from __future__ import annotations

import tomllib

import msgspec

from .. import constants
from ..config.settings import SettingsError, parse_addr


class Expressions(msgspec.Struct, frozen=True):
    time_s: float = constants.EXPRESSION_CPU_TIMEOUT_S
    memory_mb: float = constants.EXPRESSION_MEMORY_MAX_MB


class FlowSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`files`: address of the store of uploads."""

    files: str
    open_jobs: int = constants.FLOW_OPEN_JOBS_MAX
    expressions: Expressions = Expressions()


def parse(text: str) -> FlowSettings:
    try:
        found = msgspec.convert(tomllib.loads(text), FlowSettings)
    except tomllib.TOMLDecodeError as err:
        raise SettingsError(f"workflows: not TOML: {err}") from None
    except msgspec.ValidationError as err:
        raise SettingsError(f"workflows: {err}".replace("$.", "")) from None
    parse_addr(found.files, "workflows: files")
    if found.open_jobs < 1:
        raise SettingsError("workflows: open_jobs: expected at least 1")
    if not 0.001 <= found.expressions.time_s <= 1.0:
        raise SettingsError("workflows: expressions.time_s: expected a number from 0.001 to 1: the leader waits for it")
    if not 1.0 <= found.expressions.memory_mb <= 256.0:
        raise SettingsError("workflows: expressions.memory_mb: expected a number from 1 to 256")
    return found


def load(path: str) -> FlowSettings:
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: can't be read: {err}") from None
