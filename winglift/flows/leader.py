"""What a workflow's run needs of the node that leads, and what it says when it can't go on."""

from __future__ import annotations

from typing import Protocol

from ..config.settings import Settings
from ..model import records as job_records
from ..model.entities import Job
from ..store.client import StateClient
from ..wire import state as state_messages
from ..wire.cloud import MachineType
from .expressions import JavaScriptEngine
from .files import UploadStoreClient
from .values import FlowError


class StepFailed(FlowError):
    """A step's command has failed, not by its machine's fault."""

    def __init__(self, why: str, errors: str = "") -> None:
        super().__init__(why)
        self.errors = errors


class Superseded(Exception):
    """Another node leads, or the head has changed: what was to be written is not."""


class Leader(Protocol):
    """What a run needs of the node that leads."""

    settings: Settings
    state: StateClient
    files: UploadStoreClient
    javascript_engine: JavaScriptEngine
    open_jobs: int

    def types(self) -> dict[str, MachineType]: ...

    def job(self, ref: str) -> Job | None: ...

    def take_job(self, ref: str, version: int, record: job_records.JobRecord) -> None: ...

    def near(self, ref: str, machines: frozenset[str] | None) -> None: ...

    def leadership(self) -> state_messages.Condition: ...

    async def cancel(self, ref: str) -> None: ...
