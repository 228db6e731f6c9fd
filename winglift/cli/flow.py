"""`winglift flow`: checks, submits, follows and cancels workflows in CWL."""

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
from .show import create_display, draw_graph, graph_data, step_states

EXIT_UNSUPPORTED = 33


def run_async(work: Coroutine[Any, Any, int]) -> int:
    """Runs a command; returns its exit code. Errors are printed as one line on standard error."""
    try:
        return asyncio.run(work)
    except (ServerError, UploadStoreError, FlowError, flow_messages.InvalidMessage) as err:
        print(f"winglift: {err}", file=sys.stderr)
        return 1


def check_files(plan: str, order: str | None):  # type: ignore[no-untyped-def]
    """Checks a document and an order. Returns the checked workflow, or an exit code after an error."""
    from ..cwl.errors import CwlError, Unsupported
    from ..cwl.load import check

    try:
        return check(plan, order)
    except Unsupported as err:
        print(f"winglift: unsupported: {err}", file=sys.stderr)
        return EXIT_UNSUPPORTED
    except CwlError as err:
        print(f"winglift: {err}", file=sys.stderr)
        return 1


def print_json(value: Any) -> None:
    """Prints a value as indented JSON on standard output."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def server_option(command):  # type: ignore[no-untyped-def]
    return click.option(
        "--server",
        envvar="WINGLIFT_SERVER",
        default="127.0.0.1:18080",
        show_default=True,
        metavar="ADDR[,ADDR]",
        help="addresses of controller nodes; default: the variable WINGLIFT_SERVER",
    )(command)


def files_option(command):  # type: ignore[no-untyped-def]
    return click.option(
        "--files", envvar="WINGLIFT_FILES", metavar="ADDR", help="upload store; default: the one that the nodes report"
    )(command)


def json_option(command):  # type: ignore[no-untyped-def]
    return click.option("--json", "as_json", is_flag=True, help="print JSON, for programs")(command)


def order_options(command):  # type: ignore[no-untyped-def]
    for option in (
        click.option(
            "--id",
            "ref",
            metavar="FL-N",
            help="the workflow's id; default: a random one. Submitting again with the same id changes nothing",
        ),
        click.option(
            "--team", envvar="WINGLIFT_TEAM", help="team whose quota is used; default: the document's hint winglift:Job"
        ),
        click.option(
            "--due",
            type=click.FloatRange(min=0, min_open=True),
            metavar="S",
            help="deadline in seconds after submission; default: the document's hint winglift:Job, or none",
        ),
        click.option("--reuse", metavar="FL-N", help="reuse the results of an earlier workflow of the same team"),
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
    """Check the files; submit nothing. Exit code 1: a file is invalid, 33: a feature of CWL is unsupported."""
    checked = check_files(plan, order)
    if isinstance(checked, int):
        return checked
    if as_json:
        print_json(graph_data(checked.nodes, dict.fromkeys(checked.nodes, "waiting")))
    else:
        click.echo(f"{plan}: valid, {len(checked.nodes)} steps", err=True)
    return 0


async def _submit(
    checked: Any,
    client: ControllerClient,
    ref: str | None,
    team: str | None,
    due: float | None,
    reuse: str | None,
    files: str | None,
) -> FlowReply:
    hints = checked.plan.processes[checked.plan.main].hints
    team = team or hints.team
    if team is None:
        raise ServerError("no team: give --team, or the hint winglift:Job with team in the workflow")
    store = UploadStoreClient(*parse_addr(files or await client.upload_store_address(), "--files"))
    for content in checked.blobs.values():
        await store.put(content)
    plan, order = (
        await store.put(flow_messages.encode(checked.plan)),
        await store.put(msgspec.json.encode(checked.order)),
    )
    # The id is chosen before the first request, so that a repeated request submits the same workflow.
    ref = ref or f"fl-{random.SystemRandom().randrange(10**17)}"
    submission = flow_messages.FlowSubmission(
        ref=ref, team=team, plan=plan, order=order, due_s=due or hints.deadline_s, reuse=reuse
    )
    return await client.reply("POST", "/flows", flow_messages.encode(submission))


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
    """Check and submit a workflow; print its id."""
    checked = check_files(plan, order)
    if isinstance(checked, int):
        return checked

    async def work() -> int:
        reply = await _submit(checked, ControllerClient(server), ref, team, due, reuse, files)
        print_json(reply) if as_json else click.echo(reply.ref)
        return 0

    return run_async(work())


@flow.command()
@order_options
@click.option(
    "--outdir", type=click.Path(file_okay=False), help="folder for the output files; default: they are not downloaded"
)
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
    """Check and submit a workflow, wait for its end, and print the output object as JSON."""
    checked = check_files(plan, order)
    if isinstance(checked, int):
        return checked

    async def work() -> int:
        client = ControllerClient(server)
        reply = await _submit(checked, client, ref, team, due, reuse, files)
        click.echo(f"{reply.ref} is accepted; it continues if this command ends", err=True)
        with create_display() as progress:
            next_full_poll = 0.0
            while reply.state is FlowState.OPEN:
                await asyncio.sleep(constants.CLIENT_POLL_INTERVAL_S)
                reply = await client.reply("GET", f"/flows/{reply.ref}?steps=no")
                if time.monotonic() >= next_full_poll or reply.state is not FlowState.OPEN:
                    reply = await client.flow(reply.ref)
                    next_full_poll = time.monotonic() + len(reply.steps) * constants.CLIENT_POLL_INTERVAL_PER_STEP_S
                    progress.show(reply)
        return await _print_result(reply, client, files, outdir)

    return run_async(work())


async def _print_result(reply: FlowReply, client: ControllerClient, files: str | None, outdir: str | None) -> int:
    if reply.state is not FlowState.DONE or reply.outputs is None:
        click.echo(f"winglift: {reply.ref} {reply.state.value}: {reply.cause or 'by its user'}", err=True)
        if reply.errors:
            click.echo(reply.errors.rstrip("\n"), err=True)
        return 1
    store = UploadStoreClient(*parse_addr(files or await client.upload_store_address(), "--files"))
    outputs = msgspec.json.decode(await store.get(reply.outputs))
    if outdir is not None:
        outputs = await _save_outputs(outputs, pathlib.Path(outdir), store, set())
    print_json(outputs)
    return 0


async def _save_outputs(
    value: Any, folder: pathlib.Path, store: UploadStoreClient, used_paths: set[pathlib.Path]
) -> Any:
    """Writes the files of a value to a folder; returns the value with their paths. Duplicate names get a number."""
    if isinstance(value, list):
        return [await _save_outputs(v, folder, store, used_paths) for v in value]
    if not isinstance(value, dict):
        return value
    if value.get("class") not in ("File", "Directory"):
        return {k: await _save_outputs(v, folder, store, used_paths) for k, v in value.items()}
    name = pathlib.PurePath(value["basename"])
    path, number = folder / name.name, 1
    while path in used_paths:
        number += 1
        path = folder / f"{name.stem}_{number}{name.suffix}"
    used_paths.add(path)
    if value["class"] == "Directory":
        path.mkdir(parents=True, exist_ok=True)
        listing = [await _save_outputs(v, path, store, used_paths) for v in value.get("listing") or []]
        return value | {"location": path.resolve().as_uri(), "path": str(path.resolve()), "listing": listing}
    folder.mkdir(parents=True, exist_ok=True)
    path.write_bytes(await store.get(value["location"].removeprefix(flow_messages.UPLOAD_PREFIX)))
    return value | {"location": path.resolve().as_uri(), "path": str(path.resolve())}


def _print_flow(reply: FlowReply) -> None:
    click.echo(f"{reply.ref}  {reply.state.value}  {reply.team}" + (f"  {reply.cause}" if reply.cause else ""))
    for step in reply.steps:
        count = f"  {step.done} of {step.tasks}" if step.tasks > 1 else ""
        click.echo(f"  {step.path:30s} {step.state}{count}")


@flow.command()
@click.argument("ref")
@server_option
@json_option
def status(ref: str, server: str, as_json: bool) -> int:
    """Print the state of a workflow and of its steps."""

    async def work() -> int:
        reply = await ControllerClient(server).flow(ref)
        print_json(reply) if as_json else _print_flow(reply)
        return 0

    return run_async(work())


@flow.command()
@click.argument("ref")
@server_option
@json_option
def cancel(ref: str, server: str, as_json: bool) -> int:
    """Cancel a workflow: no further tasks of it start. Steps that have ended keep their outputs."""

    async def work() -> int:
        reply = await ControllerClient(server).reply("POST", f"/flows/{ref}/abort", b"")
        print_json(reply) if as_json else click.echo(f"{reply.ref}  {reply.state.value}")
        return 0 if reply.state is FlowState.CANCELLED else 1

    return run_async(work())


@flow.command("list")
@server_option
@json_option
def list_flows(server: str, as_json: bool) -> int:
    """Print all workflows, by id."""

    async def work() -> int:
        flows = await ControllerClient(server).flows()
        if as_json:
            print_json(flows)
        else:
            for reply in flows:
                _print_flow(reply)
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
    help="image file; its suffix selects the format (svg, png, pdf)",
)
@files_option
@server_option
@json_option
def graph_(what: str, file: pathlib.Path, files: str | None, server: str, as_json: bool) -> int:
    """Draw the steps and the critical path of a file, or of a workflow by its id, coloured by state."""

    async def work() -> int:
        if flow_messages.is_flow_ref(what):
            client = ControllerClient(server)
            reply = await client.flow(what)
            store = UploadStoreClient(*parse_addr(files or await client.upload_store_address(), "--files"))
            try:
                nodes = graph(flow_messages.parse_plan(await store.get(reply.plan)))
            except UploadNotFound:
                raise ServerError(f"the plan of {what} is no longer stored") from None
            states, title = step_states(nodes, reply.steps), f"{what}: {reply.state.value}"
        else:
            checked = check_files(what, None)
            if isinstance(checked, int):
                return checked
            nodes, title = checked.nodes, pathlib.Path(what).name
            states = dict.fromkeys(nodes, "waiting")
        if as_json:
            print_json(graph_data(nodes, states))
            return 0
        if file.suffix not in (".svg", ".png", ".pdf"):
            raise ServerError(f"{file}: expected a name that ends in .svg, .png or .pdf")
        draw_graph(nodes, states, title, file)
        click.echo(f"{file} is written", err=True)
        return 0

    return run_async(work())
