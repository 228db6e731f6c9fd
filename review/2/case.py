"""One valid submission stops all placement: planning a large gang blocks each leader until its lease has expired."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time
from typing import Any

from rig import BROKEN, HELD, TROUBLE, CouldNotRun, Rig, main, request

SITE = {
    "zones": ["asahikawa-works", "kamikawa-depot"],
    "skew_ms": 5.0,
    "teams": [{"name": "contact-crew", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "workers": {"report_s": 1.5, "lease_s": 14.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 39.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 16},
    "cloud": {"rps": 2.0, "list_lag_s": 10.0},
    "machine_limits": {"cpu": 0.75, "mem_mb": 146.0, "sockets": 900},
    "capacity": 16,
    "machine_types": [
        {
            "name": "cornea-gpu48",
            "cpus": 48,
            "gpus": 4,
            "memGb": 192,
            "cacheGb": 100,
            "pullGbPerS": 0.8,
            "hourly": 11.66,
            "spotPrice": 5.41,
            "bootS": 30,
            "halls": ["asahikawa-works", "kamikawa-depot"],
        },
        {
            "name": "sclera-gpu16",
            "cpus": 16,
            "gpus": 2,
            "memGb": 96,
            "cacheGb": 120,
            "pullGbPerS": 0.3,
            "hourly": 6.24,
            "spotPrice": 2.93,
            "bootS": 40,
            "halls": ["kamikawa-depot"],
        },
    ],
}
BATCH = {
    "jobClass": "toric-batch",
    "owner": "contact-crew",
    "shape": "array",
    "urgency": "normal",
    "pieces": 4,
    "cpus": 4.0,
    "gpus": 0.0,
    "memGb": 3.7,
    "bundle": "img-01",
    "pullGb": 2.5,
    "rigTypes": ["sclera-gpu16"],
    "hall": None,
    "samePlace": False,
    "apart": False,
    "loaner": False,
    "expectedS": 5.0,
    "snapshotEveryS": 0.0,
    "snapshotS": 0.0,
    "dueS": 30.0,
}
GANG = BATCH | {
    "jobClass": "lathe-sim",
    "shape": "ensemble",
    "urgency": "urgent",
    "pieces": int(os.environ.get("PIECES", "100000")) if TROUBLE else 1,  # PROTOCOL: "at most 100,000"
    "cpus": 43.0,
    "gpus": 4.0,
    "memGb": 150.0,
    "bundle": "img-02",
    "pullGb": 7.0,
    "rigTypes": None,
    "samePlace": True,
    "loaner": True,
    "expectedS": 150.0,
    "snapshotEveryS": 15.0,
    "snapshotS": 6.0,
    "dueS": None,
}
CPUS = 16  # of the machines on which the service and the batches run, sclera-gpu16
# One gang blocks a leader for some 4 s on the core where this was written. Three make it independent of the core.
GANGS = int(os.environ.get("GANGS", "3"))
# A service that runs all the time, so that its machines stay up. They have room for many tasks of a batch.
SERVICE = BATCH | {
    "ref": "wk-000050",
    "jobClass": "trialfit-answer",
    "shape": "daemon",
    "urgency": "production",
    "cpus": 1.0,
    "memGb": 1.1,
    "bundle": "img-03",
    "pullGb": 1.5,
    "expectedS": 0.0,
    "dueS": None,
}
BEFORE, AFTER = "wk-000100", "wk-000101"
WAITING_S = 90.0  # LATER.md: "no job is left waiting for 90 s while a machine that fits has room"


async def wait_for_starts(rig: Rig, job: dict[str, Any], tasks: int, for_s: float) -> bool:
    """Wait until that many tasks of a job were started; whether that happened."""
    deadline = time.monotonic() + for_s
    while time.monotonic() < deadline:
        if len({span["task"] for span in rig.spans if span["task"].startswith(job["ref"] + "/")}) >= tasks:
            return True
        await asyncio.sleep(0.1)
    return False


def machines_with_room(rig: Rig) -> list[str]:
    """The machines that are up and have room for a task of a batch."""
    used = {w.name: 0.0 for w in rig.live_workers() if w.entry["rigType"] == "sclera-gpu16"}
    for span in rig.spans:
        if span["to"] is None and span["machine"] in used:
            used[span["machine"]] += SERVICE["cpus"] if span["task"].startswith(SERVICE["ref"]) else BATCH["cpus"]
    return [name for name, cpus in used.items() if cpus + BATCH["cpus"] <= CPUS]


async def watch(rig: Rig) -> None:
    """Record which nodes answer their health check, and who leads."""
    while True:
        answers = await asyncio.gather(
            *(request(rig.users, "GET", address, "/up", None, 1.0) for _, address in rig.nodes)
        )
        leader = rig.state.keys.get("leader", (None,))[0]
        rig.record(f"/up: {[status for status, _ in answers]}, leader {leader}, with room: {machines_with_room(rig)}")
        memory_mb = [peak_memory_mb(process.pid) for process in rig.processes.values()]
        rig.record(f"most memory so far: {memory_mb} MB of {SITE['machine_limits']['mem_mb']:g}")
        await asyncio.sleep(3)


def peak_memory_mb(pid: int) -> int:
    """The most memory that a process has held so far; 0: it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
        return next((int(line.split()[1]) // 1024 for line in lines if line.startswith("VmHWM")), 0)
    except OSError:
        return 0


async def case(rig: Rig) -> int:
    """Run the case."""
    rig.run_s = lambda task: 600.0 if task.startswith(SERVICE["ref"]) else 5.0
    await rig.start_all()
    before, after = BATCH | {"ref": BEFORE}, BATCH | {"ref": AFTER}
    for job in (SERVICE, before):
        await rig.ask_until("POST", "/work", job, (200, 201), 5)
    if not (await wait_for_starts(rig, SERVICE, 4, 10) and await wait_for_starts(rig, before, 4, 5)):
        raise CouldNotRun("the first jobs did not start")
    await asyncio.sleep(1)
    rig.spawn(watch(rig))
    # A node that does not lead now takes the submissions: the leader may be busy already.
    leader = rig.state.keys["leader"][0]["node"]
    node = next(number for number, (name, _) in enumerate(rig.nodes) if name != leader)
    for number in range(GANGS):
        rig.record(f"{'trouble: ' if TROUBLE else ''}a user submits a gang of {GANG['pieces']} tasks")
        await rig.ask("POST", "/work", GANG | {"ref": f"wk-00090{number}"}, node)
        if number == 0 and (await rig.ask("POST", "/work", after, node))[0] != 201:
            raise CouldNotRun("the second batch was not accepted")
    accepted_at = time.monotonic()
    if not machines_with_room(rig):
        raise CouldNotRun("no machine has room")
    always_room, started = True, False
    while time.monotonic() < accepted_at + WAITING_S and not started:
        started = await wait_for_starts(rig, after, 1, 1.0)
        always_room = always_room and bool(machines_with_room(rig))
    rig.record(
        f"{AFTER}: {'was started' if started else f'no task was started in {WAITING_S:g} s'}, room: {always_room}"
    )
    await rig.ask("GET", f"/work/{AFTER}")
    return BROKEN if not started and always_room else HELD


main(pathlib.Path(__file__).parent, SITE, case)
