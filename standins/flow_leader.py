"""Stand-ins to run workflows without network and clock: state service client, upload store and leader, in one process.

Jobs complete only when a test completes them. The output of each task is the arguments of its command.
"""

from __future__ import annotations

import asyncio
import hashlib
from itertools import chain
from typing import Any

import msgspec

from winglift.config.settings import Settings
from winglift.flows.expressions import JavaScriptEngine
from winglift.wire import flows as flow_messages
from winglift.wire import state as state_messages
from winglift.wire.cloud import MachineType

from .state import StateService


class InProcessStateClient:
    """A state service client without a network. Like a real request, each call lets other tasks run."""

    def __init__(self, service: StateService) -> None:
        self.service = service
        self.requests = 0

    async def get(self, key: str) -> state_messages.Item | None:
        self.requests += 1
        await asyncio.sleep(0)
        entry = self.service.keys.get(key)
        return None if entry is None else state_messages.Item(key, msgspec.Raw(msgspec.json.encode(entry[0])), entry[1])

    async def list(self, prefix: str) -> tuple[list[state_messages.Item], int]:
        keys = sorted(k for k in self.service.keys if k.startswith(prefix))
        return [item for k in keys if (item := await self.get(k))], self.service.revision

    async def commit(self, txn: state_messages.Transaction) -> state_messages.Committed | state_messages.Conflict:
        self.requests += 1
        await asyncio.sleep(0)
        code, answer = self.service.commit(msgspec.json.decode(msgspec.json.encode(txn)))
        return (
            state_messages.Committed(answer["ledgerRev"])
            if code == 200
            else state_messages.Conflict(answer["failed"], answer["ledgerRev"])
        )


class InMemoryUploadStore:
    """An upload store, with the interface of its client."""

    def __init__(self) -> None:
        self.blobs: dict[str, bytes] = {}
        self.tasks: dict[str, dict[int, list[flow_messages.TaskDescription]]] = {}

    async def put(self, content: bytes) -> str:
        digest = hashlib.sha256(content).hexdigest()
        self.blobs[digest] = content
        return digest

    async def get(self, digest: str) -> bytes:
        return self.blobs[digest]

    async def put_task_descriptions(
        self, job: str, page: int, descriptions: list[flow_messages.TaskDescription]
    ) -> None:
        self.tasks.setdefault(job, {}).setdefault(page, descriptions)

    async def task_results(self, job: str, failed: bool = False) -> list[flow_messages.TaskResultItem]:
        def output(description: flow_messages.TaskDescription) -> str:
            return "(" + "+".join(description.command[1:]) + ")"

        descriptions = chain(*self.tasks[job].values())
        return [
            flow_messages.TaskResultItem(
                number,
                flow_messages.TaskResult(
                    "vm-1",
                    1,
                    0,
                    True,
                    {"out": [{"class": "File", "basename": "out.txt", "contents": output(description)}]},
                ),
            )
            for number, description in enumerate(descriptions)
        ]


class StandInLeader:
    """The interface `Leader` around that state service; it knows no jobs, so their records are read."""

    def __init__(
        self,
        service: InProcessStateClient,
        uploads: InMemoryUploadStore,
        settings: Settings,
        types: dict[str, MachineType],
    ) -> None:
        self.settings = settings
        self._types = types
        self.state: Any = service
        self.files: Any = uploads
        self.javascript_engine = JavaScriptEngine()
        self.open_jobs_max = 3
        self.fencing_token = service.service.version("leader")  # the leadership key's revision at the start of its term

    def machine_types(self) -> dict[str, MachineType]:
        return self._types

    def job(self, ref: str) -> None:
        return None

    def apply_job_record(self, ref: str, version: int, record: Any) -> None:
        pass

    def set_preferred_machines(self, ref: str, machines: Any) -> None:
        pass

    def fence_condition(self) -> state_messages.Condition:
        return state_messages.Condition("leader", self.fencing_token)

    async def cancel_job(self, ref: str) -> None:
        if f"job/{ref}" in self.state.service.keys:
            value = self.state.service.keys[f"job/{ref}"][0]
            self.state.service.apply([{"write": f"job/{ref}", "v": value | {"o": "c"}}])
