"""A small deployment with workflows: stand-ins and nodes in this process, tasks as real processes."""

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

TIMEOUT_S = 60.0  # far longer than needed, so that a slow machine doesn't fail a test
OTHER_TEAM = '\n[[settings.teams]]\nname = "other"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 2.0\ngpus_max = 4.0\n'


class FlowWorld:
    """Stand-ins and nodes of one test."""

    def __init__(self, folder: pathlib.Path, nodes: int) -> None:
        self.local_services = LocalServices(nodes, lambda task: 0.2, folder / "tasks", OTHER_TEAM)
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

    async def until(self, condition: Callable[[], Awaitable[Any]]) -> Any:
        end = time.monotonic() + TIMEOUT_S
        while not (result := await condition()):
            for node, task in self.nodes.values():
                # A node whose task has ended still answers requests, but never leads: report its error, not a timeout.
                assert not task.done(), f"{node.settings.node} has ended: {task.exception()!r}"
            assert time.monotonic() < end, "timed out"
            await asyncio.sleep(0.05)
        return result

    async def upload(self, checked: CheckedWorkflow) -> tuple[str, str]:
        for content in checked.blobs.values():
            await self.files.put(content)
        return (
            await self.files.put(flow_messages.encode(checked.plan)),
            await self.files.put(msgspec.json.encode(checked.order)),
        )

    async def submit(self, checked: CheckedWorkflow, ref: str, **fields: Any) -> str:
        plan, order = await self.upload(checked)
        sub = flow_messages.FlowSubmission(ref=ref, **{"team": "team", "plan": plan, "order": order} | fields)
        return (await self.server.reply("POST", "/flows", flow_messages.encode(sub))).ref

    async def status(self, ref: str) -> flow_messages.FlowReply:
        return await self.server.flow(ref)

    async def ends(self, ref: str) -> flow_messages.FlowReply:
        async def ended() -> flow_messages.FlowReply | None:
            reply = await self.status(ref)
            return reply if reply.state is not flow_messages.FlowState.OPEN else None

        return await self.until(ended)

    async def outputs(self, ref: str) -> Any:
        reply = await self.ends(ref)
        assert reply.outputs is not None, (ref, reply.cause, reply.errors)
        return msgspec.json.decode(await self.files.get(reply.outputs))

    def specs(self) -> list[dict[str, Any]]:
        """The specs of all jobs in the state service."""
        return [value["s"] for key, (value, _, _) in self.local_services.state.keys.items() if key.startswith("job/")]

    def records(self, ref: str) -> list[dict[str, Any]]:
        return [v for k, (v, _, _) in self.local_services.state.keys.items() if k.startswith(f"flowstep/{ref}/")]

    def starts(self) -> list[tuple[str, int, str]]:
        assert self.local_services.processes is not None
        return self.local_services.processes.runs

    def tasks(self) -> set[str]:
        """Started tasks, each once: on a busy test machine a worker's lease may expire and its tasks start again."""
        return {task for task, _, _ in self.starts()}


@contextlib.asynccontextmanager
async def flow_world(folder: pathlib.Path, nodes: int = 1) -> AsyncIterator[FlowWorld]:
    world = FlowWorld(folder, nodes)
    try:
        for number in range(nodes):
            world.start(number)
        yield world
    finally:
        for number in list(world.nodes):
            world.kill(number)
        await world.local_services.stop()
