"""`winglift flow`: workflows in CWL, from a check of the files to the output object."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import time
from collections.abc import Coroutine
from typing import Any

import click
import msgspec

from .. import constants
from ..config.settings import parse_addr
from ..flows.files import UploadNotFound, UploadStoreClient, UploadStoreError
from ..flows.graph import graph
from ..flows.values import FlowError
from ..wire import flows as flow_messages
from ..wire.flows import FlowReply, FlowState
from .client import ControllerClient, ServerError
from .show import describe, display, draw, step_states

UNSUPPORTED = 33


def run_async(work: Coroutine[Any, Any, int]) -> int:
    """The exit code; what goes wrong is one line on standard error."""
    try:
        return asyncio.run(work)
    except (ServerError, UploadStoreError, FlowError, flow_messages.InvalidMessage) as err:
        print(f"winglift: {err}", file=sys.stderr)
        return 1


def read(plan: str, order: str | None):  # type: ignore[no-untyped-def]
    """The checked files, or an exit code."""
    from ..cwl.errors import CwlError, Unsupported
    from ..cwl.load import check

    try:
        return check(plan, order)
    except Unsupported as err:
        print(f"winglift: unsupported: {err}", file=sys.stderr)
        return UNSUPPORTED
    except CwlError as err:
        print(f"winglift: {err}", file=sys.stderr)
        return 1


def out(value: Any) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def server_option(command):  # type: ignore[no-untyped-def]
    return click.option(
        "--server",
        envvar="WINGLIFT_SERVER",
        default="127.0.0.1:18080",
        show_default=True,
        metavar="ADDR[,ADDR]",
        help="nodes; default: the variable WINGLIFT_SERVER",
    )(command)


def files_option(command):  # type: ignore[no-untyped-def]
    return click.option(
        "--files", envvar="WINGLIFT_FILES", metavar="ADDR", help="store of uploads; default: as the nodes say"
    )(command)


def json_option(command):  # type: ignore[no-untyped-def]
    return click.option("--json", "as_json", is_flag=True, help="print JSON, for programs")(command)


def order_options(command):  # type: ignore[no-untyped-def]
    for option in (
        click.option(
            "--id",
            "ref",
            metavar="FL-N",
            help="the workflow's id; default: a random one. A repetition with the same id changes nothing",
        ),
        click.option("--team", envvar="WINGLIFT_TEAM", help="who is charged; default: the files' own hint"),
        click.option(
            "--due",
            type=click.FloatRange(min=0, min_open=True),
            metavar="S",
            help="seconds until all should be done; default: the files' own hint, or none",
        ),
        click.option("--reuse", metavar="FL-N", help="take over what an earlier workflow of the team has done"),
        files_option,
        server_option,
        click.argument("order", type=click.Path(dir_okay=False)),
        click.argument("plan", type=click.Path(dir_okay=False)),
    ):
        command = option(command)
    return command


@click.group()
def flow() -> None:
    """Workflows in CWL v1.2."""


@flow.command()
@click.argument("plan", type=click.Path(dir_okay=False))
@click.argument("order", type=click.Path(dir_okay=False), required=False)
@json_option
def check(plan: str, order: str | None, as_json: bool) -> int:
    """Check the files; nothing is submitted. Exit code 1: something is wrong, 33: something is unsupported."""
    found = read(plan, order)
    if isinstance(found, int):
        return found
    if as_json:
        out(describe(found.nodes, dict.fromkeys(found.nodes, "waiting")))
    else:
        click.echo(f"{plan}: valid, {len(found.nodes)} steps", err=True)
    return 0


async def _submit(
    found: Any,
    server: ControllerClient,
    ref: str | None,
    team: str | None,
    due: float | None,
    reuse: str | None,
    files: str | None,
) -> FlowReply:
    hints = found.plan.processes[found.plan.main].hints
    team = team or hints.team
    if team is None:
        raise ServerError("no team: give --team, or the hint winglift:Job with team in the workflow")
    store = UploadStoreClient(*parse_addr(files or await server.files(), "--files"))
    for content in found.blobs.values():
        await store.put(content)
    plan, order = await store.put(flow_messages.encode(found.plan)), await store.put(msgspec.json.encode(found.order))
    # The id is chosen once: every repetition of the request is the same workflow.
    ref = ref or f"fl-{random.SystemRandom().randrange(10**17)}"
    sub = flow_messages.FlowSubmission(
        ref=ref, team=team, plan=plan, order=order, due_s=due or hints.deadline_s, reuse=reuse
    )
    return await server.reply("POST", "/flows", flow_messages.encode(sub))


@flow.command()
@order_options
@json_option
def submit(
    plan: str,
    order: str,
    server: str,
    ref: str | None,
    team: str | None,
    due: float | None,
    reuse: str | None,
    files: str | None,
    as_json: bool,
) -> int:
    """Check and submit; print the workflow's id."""
    found = read(plan, order)
    if isinstance(found, int):
        return found

    async def work() -> int:
        reply = await _submit(found, ControllerClient(server), ref, team, due, reuse, files)
        out(reply) if as_json else click.echo(reply.ref)
        return 0

    return run_async(work())


@flow.command()
@order_options
@click.option("--outdir", type=click.Path(file_okay=False), help="write output files there; default: leave them")
def run(
    plan: str,
    order: str,
    server: str,
    ref: str | None,
    team: str | None,
    due: float | None,
    reuse: str | None,
    files: str | None,
    outdir: str | None,
) -> int:
    """Check, submit, wait, and print the output object as JSON."""
    found = read(plan, order)
    if isinstance(found, int):
        return found

    async def work() -> int:
        nodes = ControllerClient(server)
        reply = await _submit(found, nodes, ref, team, due, reuse, files)
        click.echo(f"{reply.ref} is accepted; it goes on without this command", err=True)
        with display() as shown:
            next_look = 0.0
            while reply.state is FlowState.OPEN:
                await asyncio.sleep(constants.CLIENT_POLL_INTERVAL_S)
                reply = await nodes.reply("GET", f"/flows/{reply.ref}?steps=no")
                if time.monotonic() >= next_look or reply.state is not FlowState.OPEN:
                    reply = await nodes.flow(reply.ref)
                    next_look = time.monotonic() + len(reply.steps) * constants.CLIENT_POLL_INTERVAL_PER_STEP_S
                    shown.show(reply)
        return await _finish(reply, nodes, files, outdir)

    return run_async(work())


async def _finish(reply: FlowReply, server: ControllerClient, files: str | None, outdir: str | None) -> int:
    if reply.state is not FlowState.DONE or reply.outputs is None:
        click.echo(f"winglift: {reply.ref} {reply.state.value}: {reply.cause or 'by its user'}", err=True)
        if reply.errors:
            click.echo(reply.errors.rstrip("\n"), err=True)
        return 1
    store = UploadStoreClient(*parse_addr(files or await server.files(), "--files"))
    outputs = msgspec.json.decode(await store.get(reply.outputs))
    if outdir is not None:
        outputs = await _save(outputs, pathlib.Path(outdir), store, set())
    out(outputs)
    return 0


async def _save(value: Any, folder: pathlib.Path, store: UploadStoreClient, taken: set[pathlib.Path]) -> Any:
    """Write files below a folder and name their places; equal names get numbers."""
    if isinstance(value, list):
        return [await _save(v, folder, store, taken) for v in value]
    if not isinstance(value, dict):
        return value
    if value.get("class") not in ("File", "Directory"):
        return {k: await _save(v, folder, store, taken) for k, v in value.items()}
    name = pathlib.PurePath(value["basename"])
    path, number = folder / name.name, 1
    while path in taken:
        number += 1
        path = folder / f"{name.stem}_{number}{name.suffix}"
    taken.add(path)
    if value["class"] == "Directory":
        path.mkdir(parents=True, exist_ok=True)
        listing = [await _save(v, path, store, taken) for v in value.get("listing") or []]
        return value | {"location": path.resolve().as_uri(), "path": str(path.resolve()), "listing": listing}
    folder.mkdir(parents=True, exist_ok=True)
    path.write_bytes(await store.get(value["location"].removeprefix(flow_messages.UPLOAD_PREFIX)))
    return value | {"location": path.resolve().as_uri(), "path": str(path.resolve())}


def _print(reply: FlowReply) -> None:
    click.echo(f"{reply.ref}  {reply.state.value}  {reply.team}" + (f"  {reply.cause}" if reply.cause else ""))
    for step in reply.steps:
        count = f"  {step.done} of {step.tasks}" if step.tasks > 1 else ""
        click.echo(f"  {step.path:30s} {step.state}{count}")


@flow.command()
@click.argument("ref")
@server_option
@json_option
def status(ref: str, server: str, as_json: bool) -> int:
    """State of a workflow and of its steps."""

    async def work() -> int:
        reply = await ControllerClient(server).flow(ref)
        out(reply) if as_json else _print(reply)
        return 0

    return run_async(work())


@flow.command()
@click.argument("ref")
@server_option
@json_option
def cancel(ref: str, server: str, as_json: bool) -> int:
    """Cancel a workflow: nothing of it starts later. What has ended keeps its outputs."""

    async def work() -> int:
        reply = await ControllerClient(server).reply("POST", f"/flows/{ref}/abort", b"")
        out(reply) if as_json else click.echo(f"{reply.ref}  {reply.state.value}")
        return 0 if reply.state is FlowState.CANCELLED else 1

    return run_async(work())


@flow.command("list")
@server_option
@json_option
def list_flows(server: str, as_json: bool) -> int:
    """All workflows, by id."""

    async def work() -> int:
        found = await ControllerClient(server).flows()
        if as_json:
            out(found)
        else:
            for reply in found:
                _print(reply)
        return 0

    return run_async(work())


@flow.command("graph")
@click.argument("what", metavar="PLAN|FL-N")
@click.option(
    "--out",
    "file",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default="flow.svg",
    show_default=True,
    help="the picture; its suffix says which format (svg, png, pdf)",
)
@files_option
@server_option
@json_option
def graph_(what: str, file: pathlib.Path, files: str | None, server: str, as_json: bool) -> int:
    """A picture of the steps and the critical path: of a file, or of a workflow by its id, coloured by state."""

    async def work() -> int:
        if flow_messages.is_flow_ref(what):
            nodes_ = ControllerClient(server)
            reply = await nodes_.flow(what)
            store = UploadStoreClient(*parse_addr(files or await nodes_.files(), "--files"))
            try:
                nodes = graph(flow_messages.parse_plan(await store.get(reply.plan)))
            except UploadNotFound:
                raise ServerError(f"the plan of {what} is no longer there") from None
            states, title = step_states(nodes, reply.steps), f"{what}: {reply.state.value}"
        else:
            found = read(what, None)
            if isinstance(found, int):
                return found
            nodes, title = found.nodes, pathlib.Path(what).name
            states = dict.fromkeys(nodes, "waiting")
        if as_json:
            out(describe(nodes, states))
            return 0
        if file.suffix not in (".svg", ".png", ".pdf"):
            raise ServerError(f"{file}: expected a name that ends in .svg, .png or .pdf")
        draw(nodes, states, title, file)
        click.echo(f"{file} is written", err=True)
        return 0

    return run_async(work())
