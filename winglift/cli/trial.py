"""`winglift try`: runs the service on loopback in a temporary folder, with stand-ins for external services."""

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

DEMO_JOBS: list[tuple[str, dict[str, Any]]] = [
    ("wk-1", {"pieces": 6}),
    ("wk-2", {"shape": "ensemble", "pieces": 3, "samePlace": True}),
    ("wk-3", {"urgency": "urgent", "pieces": 2}),
]
JOB_DEFAULTS = {
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
EXAMPLE_FOLDER = pathlib.Path(__file__).parents[2] / "examples" / "surfacing"


@click.command("try")
@click.option("--nodes", type=click.Choice(["1", "3"]), default="1", show_default=True, help="controllers")
@click.option("--demo", is_flag=True, help="run a small workload, then stop; exit code 0 only if all of it is done")
def trial(nodes: str, demo: bool) -> int:
    """Start stand-ins and controllers on loopback, and print their addresses. Machines are simulated."""
    try:
        from standins import local_services
    except ModuleNotFoundError:
        raise click.ClickException("the stand-ins are part of the repository: run this command in a checkout") from None
    with tempfile.TemporaryDirectory(prefix="winglift-") as folder:
        try:
            return asyncio.run(_run_services(local_services, pathlib.Path(folder), int(nodes), demo))
        except ServerError as err:
            print(f"winglift: {err}", file=sys.stderr)
            return 1
        except (KeyboardInterrupt, asyncio.CancelledError):
            return 0


async def _run_services(local_services: Any, folder: pathlib.Path, count: int, demo: bool) -> int:
    # Workers and nodes are stopped at the same time here; their errors about lost connections are of no use.
    logging.getLogger("tornado.application").setLevel(logging.CRITICAL)
    flows_installed = importlib.util.find_spec("quickjs") is not None
    # SIGTERM cancels this task, so that the processes started here are stopped too.
    current_task = asyncio.current_task()
    assert current_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current_task.cancel)
    services = local_services.LocalServices(count, lambda task: 1.0, folder / "tasks" if flows_installed else None)
    workflows = folder / "workflows.toml"
    workflows.write_text(services.workflows())
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join(p for p in sys.path if p),
        "LOG_LEVEL": os.environ.get("LOG_LEVEL", "error"),
    }
    processes = []
    try:
        for number in range(count):
            config = folder / f"node-{number}.toml"
            config.write_text(services.settings(number))
            command = [sys.executable, "-m", "winglift", "serve", "--config", str(config)]
            command += ["--workflows", str(workflows)] if flows_installed else []
            processes.append(await asyncio.create_subprocess_exec(*command, env=environment))
        client = ControllerClient(",".join(services.addresses), constants.TRY_TIMEOUT_S)
        await _wait_until_up(client, processes)
        for address, process in zip(services.addresses, processes, strict=True):
            click.echo(f"controller on {address}, process {process.pid}", err=True)
        click.echo(f"WINGLIFT_SERVER={','.join(services.addresses)}")
        if demo:
            return await _run_demo(client, services, environment, flows_installed)
        click.echo("everything is simulated and kept in memory; stop with Ctrl-C", err=True)
        await asyncio.gather(*(p.wait() for p in processes))
        return 1
    finally:
        for process in processes:
            if process.returncode is None:
                process.terminate()
        await asyncio.gather(*(p.wait() for p in processes))
        await services.stop()


async def _wait_until_up(client: ControllerClient, processes: list[asyncio.subprocess.Process]) -> None:
    """Waits until a controller reports that it is up. Raises ServerError if a process ends or time runs out."""
    deadline = time.monotonic() + constants.TRY_TIMEOUT_S
    while (await client.request_with_retry("GET", "/up")).status != 200:
        if time.monotonic() > deadline or any(p.returncode is not None for p in processes):
            raise ServerError("the controllers did not start")
        await asyncio.sleep(0.2)


async def _run_demo(client: ControllerClient, services: Any, environment: dict[str, str], flows_installed: bool) -> int:
    """Runs jobs of every kind, and a workflow if its libraries are installed. Returns the exit code."""
    for ref, changes in DEMO_JOBS:
        await client.request_ok("POST", "/work", msgspec.json.encode(JOB_DEFAULTS | {"ref": ref} | changes))
    flow_succeeded = True
    if flows_installed and EXAMPLE_FOLDER.is_dir() and importlib.util.find_spec("cwl_utils") is not None:
        flow_run = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "winglift",
            "flow",
            "run",
            "--team",
            "team",
            "--server",
            ",".join(services.addresses),
            str(EXAMPLE_FOLDER / "plan.cwl"),
            str(EXAMPLE_FOLDER / "order.yml"),
            env=environment,
        )
        flow_succeeded = await flow_run.wait() == 0
    elif flows_installed is False:
        click.echo("no workflow: requirements-flows.txt is not installed", err=True)
    deadline = time.monotonic() + constants.TRY_TIMEOUT_S
    pending = [ref for ref, _ in DEMO_JOBS]
    while pending and time.monotonic() < deadline:
        reply = msgspec.json.decode((await client.request_ok("GET", f"/work/{pending[0]}")).body)
        if reply["status"] == "done":
            click.echo(f"{pending.pop(0)} is done", err=True)
        else:
            await asyncio.sleep(0.2)
    for ref in pending:
        click.echo(f"{ref} is not done", err=True)
    return 0 if flow_succeeded and not pending else 1
