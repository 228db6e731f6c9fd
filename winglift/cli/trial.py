"""`winglift try`: the whole service on loopback in a temporary folder, with stand-ins of the outside systems."""

from __future__ import annotations

import asyncio
import importlib.util
import logging
import os
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any

import click
import msgspec

from .. import constants
from .client import ControllerClient, ServerError

JOBS: list[tuple[str, dict[str, Any]]] = [
    ("wk-1", {"pieces": 6}),
    ("wk-2", {"shape": "ensemble", "pieces": 3, "samePlace": True}),
    ("wk-3", {"urgency": "urgent", "pieces": 2}),
]
JOB = {
    "jobClass": "demo",
    "owner": "team",
    "shape": "array",
    "urgency": "normal",
    "pieces": 1,
    "cpus": 2.0,
    "gpus": 0.5,
    "memGb": 4.0,
    "bundle": "demo",
    "pullGb": 0.1,
    "samePlace": False,
    "apart": False,
    "loaner": True,
    "expectedS": 1.0,
    "snapshotEveryS": 0.0,
    "snapshotS": 0.0,
    "dueS": 60.0,
}
EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "surfacing"


@click.command("try")
@click.option("--nodes", type=click.Choice(["1", "3"]), default="1", show_default=True, help="controllers")
@click.option("--demo", is_flag=True, help="run a small workload to its end, then stop; code 0 only if all was done")
def trial(nodes: str, demo: bool) -> int:
    """Start stand-ins and controllers on loopback, and print their addresses. Machines are simulated."""
    try:
        from standins import local_services
    except ModuleNotFoundError:
        raise click.ClickException("the stand-ins are part of the repository: call this in a checkout") from None
    with tempfile.TemporaryDirectory(prefix="winglift-") as folder:
        try:
            return asyncio.run(_serve(local_services, pathlib.Path(folder), int(nodes), demo))
        except ServerError as err:
            print(f"winglift: {err}", file=sys.stderr)
            return 1
        except (KeyboardInterrupt, asyncio.CancelledError):
            return 0


async def _serve(local_services: Any, folder: pathlib.Path, count: int, demo: bool) -> int:
    # Workers and nodes end together here: what they say of one another then is of no use.
    logging.getLogger("tornado.application").setLevel(logging.CRITICAL)
    flows = importlib.util.find_spec("quickjs") is not None
    # A signal ends what was started here too.
    me = asyncio.current_task()
    assert me is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, me.cancel)
    made = local_services.LocalServices(count, lambda task: 1.0, folder / "tasks" if flows else None)
    workflows = folder / "workflows.toml"
    workflows.write_text(made.workflows())
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join(p for p in sys.path if p),
        "LOG_LEVEL": os.environ.get("LOG_LEVEL", "error"),
    }
    processes = []
    try:
        for number in range(count):
            config = folder / f"node-{number}.toml"
            config.write_text(made.settings(number))
            command = [sys.executable, "-m", "winglift", "serve", "--config", str(config)]
            command += ["--workflows", str(workflows)] if flows else []
            processes.append(await asyncio.create_subprocess_exec(*command, env=environment))
        server = ControllerClient(",".join(made.addresses), constants.TRY_TIMEOUT_S)
        await _healthy(server, processes)
        for address, process in zip(made.addresses, processes, strict=True):
            click.echo(f"controller on {address}, process {process.pid}", err=True)
        click.echo(f"WINGLIFT_SERVER={','.join(made.addresses)}")
        if demo:
            return await _demo(server, made, environment, flows)
        click.echo("everything is simulated and kept in memory; end it with Ctrl-C", err=True)
        await asyncio.gather(*(p.wait() for p in processes))
        return 1
    finally:
        for process in processes:
            if process.returncode is None:
                process.terminate()
        await asyncio.gather(*(p.wait() for p in processes))
        await made.stop()


async def _healthy(server: ControllerClient, processes: list[asyncio.subprocess.Process]) -> None:
    end = time.monotonic() + constants.TRY_TIMEOUT_S
    while (await server.request_with_retry("GET", "/up")).status != 200:
        if time.monotonic() > end or any(p.returncode is not None for p in processes):
            raise ServerError("the controllers did not start")
        await asyncio.sleep(0.2)


async def _demo(server: ControllerClient, made: Any, environment: dict[str, str], flows: bool) -> int:
    """Jobs of every kind, and a workflow where the libraries for it are there."""
    for ref, changes in JOBS:
        await server.good("POST", "/work", msgspec.json.encode(JOB | {"ref": ref} | changes))
    good = True
    if flows and EXAMPLE.is_dir() and importlib.util.find_spec("cwl_utils") is not None:
        run = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "winglift",
            "flow",
            "run",
            "--team",
            "team",
            "--server",
            ",".join(made.addresses),
            str(EXAMPLE / "plan.cwl"),
            str(EXAMPLE / "order.yml"),
            env=environment,
        )
        good = await run.wait() == 0
    elif flows is False:
        click.echo("no workflow: requirements-flows.txt is not installed", err=True)
    end = time.monotonic() + constants.TRY_TIMEOUT_S
    left = [ref for ref, _ in JOBS]
    while left and time.monotonic() < end:
        reply = msgspec.json.decode((await server.good("GET", f"/work/{left[0]}")).body)
        if reply["status"] == "done":
            click.echo(f"{left.pop(0)} is done", err=True)
        else:
            await asyncio.sleep(0.2)
    for ref in left:
        click.echo(f"{ref} is not done", err=True)
    return 0 if good and not left else 1
