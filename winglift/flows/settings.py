"""Settings of workflows, a TOML file beside the settings of the platform. Example: `deploy/workflows.toml`."""

from __future__ import annotations

import tomllib

import msgspec

from .. import constants
from ..config.settings import SettingsError, parse_addr


class Expressions(msgspec.Struct, frozen=True):
    """Limits of one JavaScript expression: processor time and memory."""

    time_s: float = constants.EXPRESSION_CPU_TIMEOUT_S
    memory_mb: float = constants.EXPRESSION_MEMORY_MAX_MB


class FlowSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`files`: address of the upload store; `open_jobs`: limit of open jobs per workflow."""

    files: str
    open_jobs: int = constants.FLOW_OPEN_JOBS_MAX
    expressions: Expressions = Expressions()


def parse(text: str) -> FlowSettings:
    try:
        settings = msgspec.convert(tomllib.loads(text), FlowSettings)
    except tomllib.TOMLDecodeError as err:
        raise SettingsError(f"workflows: not TOML: {err}") from None
    except msgspec.ValidationError as err:
        raise SettingsError(f"workflows: {err}".replace("$.", "")) from None
    parse_addr(settings.files, "workflows: files")
    if settings.open_jobs < 1:
        raise SettingsError("workflows: open_jobs: expected at least 1")
    if not 0.001 <= settings.expressions.time_s <= 1.0:
        raise SettingsError("workflows: expressions.time_s: expected a number from 0.001 to 1: the leader waits for it")
    if not 1.0 <= settings.expressions.memory_mb <= 256.0:
        raise SettingsError("workflows: expressions.memory_mb: expected a number from 1 to 256")
    return settings


def load(path: str) -> FlowSettings:
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"{path}: can't be read: {err}") from None
