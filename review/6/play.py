# ruff: noqa: D103
"""A service whose record outgrows a value: a fifth of its replicas never start, beside empty machines."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2

MACHINES = 36
PIECES = 1000 if rig2.TROUBLE else 500
WAIT_S = 90.0  # hunt/LATER.md: no job is left waiting for 90 s while a machine that fits has room
MARGIN_S = 4.0


def empty_machines(site: rig2.Site) -> set[str]:
    return {worker.name for worker in site.cloud_service.workers.values() if worker.up_at and not worker.tasks}


async def play(site: rig2.Site) -> None:
    site.capacity = MACHINES
    refused: list[int] = []

    async def after(node: str, method: str, path: str, body: bytes, status: int) -> bool:
        if path == "/commit" and status == 400:
            refused.append(len(body))
        return True

    await site.start(machines=MACHINES)
    site.state_service.after = after
    await site.ready()
    await asyncio.sleep(6.0)  # all machines have reported
    service = site.job(
        "wk-000001",
        jobClass="fitcheck-live",
        shape="daemon",
        urgency="production",
        pieces=PIECES,
        cpus=1.0,
        gpus=0.0,
        memGb=2.0,
        pullGb=0.2,
        apart=True,
        expectedS=0.0,
    )
    if await site.submit(service) not in (200, 201):
        raise rig2.CannotRun("the service is not accepted")
    accepted_at = time.monotonic()
    await asyncio.sleep(MARGIN_S)
    # Machines that have been empty at every look, of those that were up before the submission.
    always_empty = empty_machines(site)
    while time.monotonic() - accepted_at < WAIT_S + 2 * MARGIN_S:
        await asyncio.sleep(0.5)
        always_empty &= empty_machines(site)
    waiting = PIECES - sum(1 for piece in site.starts if piece.startswith("wk-000001/"))
    site.record.say(f"{waiting} of {PIECES} replicas have not started; {len(refused)} transactions answered with 400")
    site.record.say(f"as its user sees it: {(await site.status('wk-000001'))[1]}")
    if always_empty and waiting:
        site.break_rule(
            "left_waiting",
            f"{waiting} replicas of 1 CPU wait for more than {WAIT_S:g} s; their team has no limit of CPUs; "
            f"empty all the time, with 32 CPUs each: {', '.join(sorted(always_empty))}",
        )


rig2.main(__file__, play)
