"""What drives a workflow, without network and clock: a state service, uploads and a leader in this process.

Its jobs complete when they are told to, and every task leaves as text the words of its command.
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


class Direct:
    """A state service's interface without the network between. Others may run meanwhile, as they would."""

    def __init__(self, service: StateService) -> None:
        self.service = service
        self.requests = 0

    async def get(self, key: str) -> state_messages.Item | None:
        self.requests += 1
        await asyncio.sleep(0)
        found = self.service.keys.get(key)
        return None if found is None else state_messages.Item(key, msgspec.Raw(msgspec.json.encode(found[0])), found[1])

    async def list(self, prefix: str) -> tuple[list[state_messages.Item], int]:
        keys = sorted(k for k in self.service.keys if k.startswith(prefix))
        return [i for k in keys if (i := await self.get(k))], self.service.revision

    async def commit(self, txn: state_messages.Transaction) -> state_messages.Committed | state_messages.Conflict:
        self.requests += 1
        await asyncio.sleep(0)
        code, answer = self.service.commit(msgspec.json.decode(msgspec.json.encode(txn)))
        return (
            state_messages.Committed(answer["ledgerRev"])
            if code == 200
            else state_messages.Conflict(answer["failed"], answer["ledgerRev"])
        )


class Uploads:
    def __init__(self) -> None:
        self.blobs: dict[str, bytes] = {}
        self.tasks: dict[str, dict[int, list[flow_messages.TaskDescription]]] = {}

    async def put(self, content: bytes) -> str:
        digest = hashlib.sha256(content).hexdigest()
        self.blobs[digest] = content
        return digest

    async def get(self, digest: str) -> bytes:
        return self.blobs[digest]

    async def describe(self, job: str, page: int, works: list[flow_messages.TaskDescription]) -> None:
        self.tasks.setdefault(job, {}).setdefault(page, works)

    async def found(self, job: str, failed: bool = False) -> list[flow_messages.TaskResultItem]:
        def text(work: flow_messages.TaskDescription) -> str:
            return "(" + "+".join(work.command[1:]) + ")"

        works = chain(*self.tasks[job].values())
        return [
            flow_messages.TaskResultItem(
                n,
                flow_messages.TaskResult(
                    "vm-1", 1, 0, True, {"out": [{"class": "File", "basename": "out.txt", "contents": text(w)}]}
                ),
            )
            for n, w in enumerate(works)
        ]


class Leads:
    """What a run needs, around that state service. Its jobs are done by `work`."""

    def __init__(self, service: Direct, uploads: Uploads, settings: Settings, types: dict[str, MachineType]) -> None:
        self.settings = settings
        self._types = types
        self.state: Any = service
        self.files: Any = uploads
        self.javascript_engine = JavaScriptEngine()
        self.open_jobs = 3
        self.term = service.service.version("leader")  # its own key's revision, whoever leads later

    def types(self) -> dict[str, MachineType]:
        return self._types

    def job(self, ref: str) -> None:
        return None

    def take_job(self, ref: str, version: int, record: Any) -> None:
        pass

    def near(self, ref: str, machines: Any) -> None:
        pass

    def leadership(self) -> state_messages.Condition:
        return state_messages.Condition("leader", self.term)

    async def cancel(self, ref: str) -> None:
        if f"job/{ref}" in self.state.service.keys:
            value = self.state.service.keys[f"job/{ref}"][0]
            self.state.service.apply([{"write": f"job/{ref}", "v": value | {"o": "c"}}])
