"""An accepted array never starts: the state service has lowered its limits, and its record no longer fits."""

from __future__ import annotations

import asyncio
import pathlib
import time

from rig import BROKEN, HELD, TROUBLE, CouldNotRun, Rig, main

SITE = {
    "zones": ["espoo-sali", "tampere-sali", "oulu-sali", "kuopio-sali"],
    "skew_ms": 25.0,
    "teams": [{"name": "amk-verkko", "cpus": 0.0, "cpus_max": 0.0, "gpus": 600.0, "gpus_max": 1800.0}],
    "workers": {"report_s": 2.0, "lease_s": 16.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 41.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 12},
    "state_next": {"value_kb": 2.0, "txn_ops": 4, "write_rps": 21.0},
    "cloud": {"rps": 3.0, "list_lag_s": 8.0},
    "machine_limits": {"cpu": 1.0, "mem_mb": 266.0, "sockets": 1500},
    "capacity": 100,
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
    "jobClass": "quota-sweep",
    "owner": "amk-verkko",
    "shape": "array",
    "urgency": "normal",
    "pieces": 100,
    "cpus": 43.0,  # a whole machine each, like the tasks of quota-fit
    "gpus": 8.0,
    "memGb": 150.0,
    "bundle": "img-07",
    "pullGb": 1.0,
    "rigTypes": None,
    "hall": None,
    "samePlace": False,
    "apart": False,
    "loaner": False,
    "expectedS": 5.0,
    "snapshotEveryS": 0.0,
    "snapshotS": 0.0,
    "dueS": None,
}
BEFORE, AFTER = "wk-000500", "wk-000501"  # one job before the limits are lowered, and one after that
WAITING_S = 90.0  # LATER.md: "no job is left waiting for 90 s while a machine that fits has room"
JOB_S = 40.0  # enough for a job without trouble


async def wait_until_done(rig: Rig, ref: str, for_s: float) -> str:
    """Ask about a job until it is done; return the last status."""
    deadline, status = time.monotonic() + for_s, ""
    while time.monotonic() < deadline and status != "done":
        await asyncio.sleep(1)
        status = (await rig.ask("GET", f"/work/{ref}"))[1].get("status", status)
    return status


async def case(rig: Rig) -> int:
    """Run the case."""
    rig.quiet = True
    rig.run_s = lambda task: 3.0
    await rig.start_all()
    await rig.ask_until("POST", "/work", JOB | {"ref": BEFORE}, (200, 201), 10)
    if await wait_until_done(rig, BEFORE, JOB_S) != "done":
        raise CouldNotRun("the first job was not done in time")
    if TROUBLE:
        rig.record("trouble: the state service lowers its limits to those of settings.state.next")
        rig.state.value_kb, rig.state.txn_ops = SITE["state_next"]["value_kb"], SITE["state_next"]["txn_ops"]
    await rig.ask_until("POST", "/work", JOB | {"ref": AFTER}, (200, 201), 10)
    accepted_at = waiting_since = time.monotonic()
    starts = 0
    while time.monotonic() < accepted_at + WAITING_S + 1:
        await asyncio.sleep(1)
        now = time.monotonic()
        room = len(rig.live_workers()) - len(rig.on_machines(AFTER))
        started = sum(span["task"].startswith(AFTER) for span in rig.spans)
        if started > starts or room <= 0:
            starts, waiting_since = started, now
        if started >= JOB["pieces"]:
            break
        if int(now - accepted_at) % 5 == 0:
            rig.record(f"{AFTER}: {started} starts, {room} machines with room, {rig.state.too_large} writes refused")
            await rig.ask("GET", f"/work/{AFTER}")
    waited_s = time.monotonic() - waiting_since
    rig.record(f"{AFTER}: {starts} of {JOB['pieces']} tasks were started, none in the last {waited_s:.0f} s")
    return BROKEN if starts < JOB["pieces"] and waited_s >= WAITING_S else HELD


main(pathlib.Path(__file__).parent, SITE, case)
