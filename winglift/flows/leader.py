"""The interface between the run of a workflow and the leader, and the exceptions of a run."""

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
    """A step has failed for a reason other than a fault of its machine."""

    def __init__(self, reason: str, errors: str = "") -> None:
        super().__init__(reason)
        self.errors = errors


class Superseded(Exception):
    """A write was rejected because another node leads or the workflow's record has changed."""


class Leader(Protocol):
    """What the run of a workflow needs from the leader."""

    settings: Settings
    state: StateClient
    files: UploadStoreClient
    javascript_engine: JavaScriptEngine
    open_jobs_max: int

    def machine_types(self) -> dict[str, MachineType]:
        """The known machine types by name; empty until they are known."""
        ...

    def job(self, ref: str) -> Job | None:
        """The job, if the leader holds it."""
        ...

    def apply_job_record(self, ref: str, version: int, record: job_records.JobRecord) -> None:
        """Take in the record of a job that was just committed."""
        ...

    def set_preferred_machines(self, ref: str, machines: frozenset[str] | None) -> None:
        """Prefer these machines for the job's tasks; None ends the preference."""
        ...

    def fence_condition(self) -> state_messages.Condition:
        """The condition of every leader write. Raises RequestRejected if the lease is not valid."""
        ...

    async def cancel_job(self, ref: str) -> None:
        """Cancel a job."""
        ...
