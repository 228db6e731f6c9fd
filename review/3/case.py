"""A cancelled task goes on past `cancel_s`: all controllers restart in an outage of the state service."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time

from rig import BROKEN, HELD, TROUBLE, CouldNotRun, Rig, Worker, main

SITE = {
    "zones": ["espoo-sali", "tampere-sali", "oulu-sali", "kuopio-sali"],
    "skew_ms": 25.0,
    "teams": [{"name": "lukio-liitto", "cpus": 0.0, "cpus_max": 0.0, "gpus": 48.0, "gpus_max": 80.0}],
    "workers": {"report_s": 2.0, "lease_s": 16.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 41.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 8.0},
    "machine_limits": {"cpu": 1.0, "mem_mb": 266.0, "sockets": 1500},
    "capacity": 8,
    "machine_types": [
        {
            "name": "gpu48-sali",
            "cpus": 48,
            "gpus": 8,
            "memGb": 192,
            "cacheGb": 60,
            "pullGbPerS": 1.0,
            "hourly": 16.99,
            "spotPrice": 5.62,
            "bootS": 40,
            "halls": ["espoo-sali", "tampere-sali", "oulu-sali", "kuopio-sali"],
        }
    ],
}
JOB = {
    "ref": "wk-000412",
    "jobClass": "essay-scan",
    "owner": "lukio-liitto",
    "shape": "array",
    "urgency": "normal",
    "pieces": 4,
    "cpus": 5.0,
    "gpus": 1.0,
    "memGb": 18.0,
    "bundle": "img-07",
    "pullGb": 6.0,
    "rigTypes": None,
    "hall": None,
    "samePlace": False,
    "apart": False,
    "loaner": False,
    "expectedS": 300.0,
    "snapshotEveryS": 0.0,
    "snapshotS": 0.0,
    "dueS": 900.0,
}
# The disruptions, to find out which of them are needed: MEETS=cut,outage,crash is all of them.
MEETS = os.environ.get("MEETS", "cut,outage,crash").split(",") if TROUBLE else []
CUT_S, CRASH_AFTER_S, RESTART_S = 7.0, 2.0, 3.0


async def run_job(rig: Rig) -> list[Worker]:
    """Submit the job and wait until all its tasks run; return the workers of their machines."""
    await rig.ask_until("POST", "/work", JOB, (200, 201), 10)
    for _ in range(200):
        if len(rig.on_machines(JOB["ref"])) == JOB["pieces"]:
            await asyncio.sleep(3)
            names = {span["machine"] for span in rig.on_machines(JOB["ref"])}
            return [worker for worker in rig.live_workers() if worker.name in names]
        await asyncio.sleep(0.1)
    raise CouldNotRun("the job's tasks did not start")


async def trouble(rig: Rig, cancelled_at: float) -> None:
    """1 s after the cancellation the state service is down, 1 s later all controllers crash; they are back soon."""
    await asyncio.sleep(cancelled_at + 1 - time.monotonic())
    if "outage" in MEETS:
        rig.record("trouble: the state service is down")
        rig.state.down = True
    await asyncio.sleep(cancelled_at + CRASH_AFTER_S - time.monotonic())
    if "crash" in MEETS:
        rig.record("trouble: all controllers crash")
        for number in range(3):
            rig.kill_node(number)
        await asyncio.sleep(RESTART_S)
        for number in range(3):
            await rig.start_node(number)


async def case(rig: Rig) -> int:
    """Run the case."""
    rig.run_s = lambda task: 300.0
    cancel_s = SITE["workers"]["cancel_s"]
    await rig.start_all()
    machines = await run_job(rig)
    cut_at = time.monotonic()
    if "cut" in MEETS:
        rig.record(f"trouble: these machines lose the network: {[worker.name for worker in machines]}")
        for worker in machines:
            worker.begin_cut()
    await asyncio.sleep(0.2)
    answer = await rig.ask_until("POST", f"/work/{JOB['ref']}/abort", None, (200,), 10)
    if answer.get("status") != "aborted":
        raise CouldNotRun("the job was not cancelled")
    cancelled_at = time.monotonic()
    await trouble(rig, cancelled_at)
    await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    if "cut" in MEETS:
        rig.record("end of trouble: the machines have their network again")
        for worker in machines:
            worker.end_cut()
    # The bound: more than `cancel_s` after the user was told, a task is on a machine. 1 s more is given here.
    await asyncio.sleep(cancelled_at + cancel_s + 1 - time.monotonic())
    late = [span for span in rig.spans if span["to"] is None or span["to"] > cancelled_at + cancel_s]
    for span in late:
        rig.record(f"on a machine {cancel_s + 1:g} s after the cancellation: {span['task']} on {span['machine']}")
    if rig.state.down:
        rig.record("end of trouble: the state service is back")
        rig.state.down = False
        await asyncio.sleep(6)
    return BROKEN if late else HELD


main(pathlib.Path(__file__).parent, SITE, case)
