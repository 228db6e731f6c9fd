"""A small deployment that serves workflows: stand-ins and nodes in this process, commands as real processes."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec

from standins.local_services import LocalServices
from winglift.cli.client import ControllerClient
from winglift.config import settings as settings_module
from winglift.cwl.load import CheckedWorkflow
from winglift.flows import settings as flow_settings
from winglift.flows.files import UploadStoreClient
from winglift.flows.service import FlowService
from winglift.node import Node
from winglift.wire import flows as flow_messages

PATIENCE_S = 60.0  # far above what is needed: a slow machine must not change the verdict
OTHER = '\n[[settings.teams]]\nname = "other"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 2.0\ngpus_max = 4.0\n'


class FlowWorld:
    def __init__(self, folder: pathlib.Path, nodes: int) -> None:
        self.local_services = LocalServices(nodes, lambda task: 0.2, folder / "tasks", OTHER)
        self.server = ControllerClient(",".join(self.local_services.addresses))
        self.files = UploadStoreClient(*settings_module.parse_addr(self.local_services.files, "files"))
        self.nodes: dict[int, tuple[Node, asyncio.Task]] = {}
        self.flows: dict[int, FlowService] = {}

    def start(self, number: int) -> None:
        node = Node(settings_module.parse(self.local_services.settings(number)))
        self.flows[number] = FlowService(flow_settings.parse(self.local_services.workflows()), node)
        node.add_extension(self.flows[number])
        self.nodes[number] = node, asyncio.ensure_future(node.run())

    def kill(self, number: int) -> None:
        node, task = self.nodes.pop(number)
        task.cancel()
        node.stop()

    def leader(self) -> int | None:
        return next((n for n, (node, _) in self.nodes.items() if node.leader_term is not None), None)

    async def until(self, what: Callable[[], Awaitable[Any]]) -> Any:
        end = time.monotonic() + PATIENCE_S
        while not (found := await what()):
            for node, task in self.nodes.values():
                # It would answer on, and never lead: what ended it is the finding, not the time that is over.
                assert not task.done(), f"{node.settings.node} has ended: {task.exception()!r}"
            assert time.monotonic() < end, "it did not happen in time"
            await asyncio.sleep(0.05)
        return found

    async def upload(self, checked: CheckedWorkflow) -> tuple[str, str]:
        for content in checked.blobs.values():
            await self.files.put(content)
        return (
            await self.files.put(flow_messages.encode(checked.plan)),
            await self.files.put(msgspec.json.encode(checked.order)),
        )

    async def submit(self, checked: CheckedWorkflow, ref: str, **more: Any) -> str:
        plan, order = await self.upload(checked)
        sub = flow_messages.FlowSubmission(ref=ref, **{"team": "team", "plan": plan, "order": order} | more)
        return (await self.server.reply("POST", "/flows", flow_messages.encode(sub))).ref

    async def status(self, ref: str) -> flow_messages.FlowReply:
        return await self.server.flow(ref)

    async def ends(self, ref: str) -> flow_messages.FlowReply:
        async def over() -> flow_messages.FlowReply | None:
            reply = await self.status(ref)
            return reply if reply.state is not flow_messages.FlowState.OPEN else None

        return await self.until(over)

    async def outputs(self, ref: str) -> Any:
        reply = await self.ends(ref)
        assert reply.outputs is not None, (ref, reply.cause, reply.errors)
        return msgspec.json.decode(await self.files.get(reply.outputs))

    def specs(self) -> list[dict[str, Any]]:
        """All jobs in the state service."""
        return [value["s"] for key, (value, _, _) in self.local_services.state.keys.items() if key.startswith("job/")]

    def records(self, ref: str) -> list[dict[str, Any]]:
        return [v for k, (v, _, _) in self.local_services.state.keys.items() if k.startswith(f"flowstep/{ref}/")]

    def starts(self) -> list[tuple[str, int, str]]:
        assert self.local_services.processes is not None
        return self.local_services.processes.runs

    def tasks(self) -> set[str]:
        """Tasks that were started, however often: on a machine that is busy elsewhere a worker's lease may run out."""
        return {task for task, _, _ in self.starts()}


@contextlib.asynccontextmanager
async def flow_world(folder: pathlib.Path, nodes: int = 1) -> AsyncIterator[FlowWorld]:
    made = FlowWorld(folder, nodes)
    try:
        for number in range(nodes):
            made.start(number)
        yield made
    finally:
        for number in list(made.nodes):
            made.kill(number)
        await made.local_services.stop()
