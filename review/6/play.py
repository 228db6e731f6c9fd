# ruff: noqa: D103
"""A gang of 100,000 tasks: while it waits, no controller leads for longer than a planning cycle, and nothing runs."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2

WAIT_S = 90.0  # hunt/LATER.md: no job is left waiting for 90 s while a machine that fits has room
MARGIN_S = 2.0


def size_as_yhteishaku_core(site: rig2.Site) -> None:
    """BRIEF, "Proposal: adopt winglift for shared admissions"."""
    site.zones = ["espoo-sali", "tampere-sali", "oulu-sali", "kuopio-sali"]
    site.workers = {"report_s": 2.0, "lease_s": 16.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0, "cancel_s": 41.0}
    site.state = {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 12}
    site.cloud = {"rps": 3.0, "list_lag_s": 8.0}
    limits = {
        "alusta-tiimi": (16.0, 64.0),
        "lukio-liitto": (48.0, 80.0),
        "amk-verkko": (32.0, 96.0),
        "ammatti-opisto": (24.0, 64.0),
        "yliopisto-ryhma": (40.0, 96.0),
    }
    site.teams = [
        {"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most}
        for name, (gpus, most) in limits.items()
    ]
    site.capacity = 28
    site.types[0].update(
        name="gpu48-sali",
        cpus=48,
        gpus=8,
        memGb=192,
        cacheGb=60,
        pullGbPerS=0.4,
        hourly=16.99,
        spotPrice=5.62,
        bootS=40,
    )
    site.types[0]["halls"] = site.zones


async def play(site: rig2.Site) -> None:
    size_as_yhteishaku_core(site)
    await site.start(machines=4)
    await site.ready()
    big = site.job(
        "wk-000001",
        jobClass="quota-fit",
        owner="amk-verkko",
        shape="ensemble",
        pieces=100_000,
        cpus=43.0,
        gpus=0.0,
        memGb=150.0,
        pullGb=7.0,
        loaner=True,
        expectedS=60.0,
    )
    if rig2.TROUBLE:
        status = await site.submit(big)
        if status not in (200, 201):
            raise rig2.CannotRun(f"the gang is not accepted: {status}")
        site.record.say("the gang of 100,000 tasks is accepted")
    accepted: dict[str, float] = {}
    leaders: set[str] = set()
    started = time.monotonic()
    while time.monotonic() - started < WAIT_S + 6.0:
        if len(accepted) < 12:
            ref = f"wk-{100 + len(accepted):06d}"
            job = site.job(
                ref, jobClass="essay-scan", owner="lukio-liitto", urgency="idle", cpus=5.0, memGb=18.0, loaner=True
            )
            if await site.submit(job, patience_s=5.0) in (200, 201):
                accepted[ref] = time.monotonic()
        item = site.state_service.items.get("leader")
        if item is not None:
            leaders.add(f"{item[0]['node']} in term {item[0]['term']}")
        await asyncio.sleep(0.4)
    now = time.monotonic()
    waiting = {ref: now - at for ref, at in accepted.items() if not site.starts.get(f"{ref}/0")}
    site.record.say(f"{len(accepted)} small jobs accepted, {len(accepted) - len(waiting)} of them have started a task")
    site.record.say(f"leaders seen meanwhile: {', '.join(sorted(leaders))}")
    # Every machine is up from the start; each of them has room for a task if it has none.
    idle = [w.name for w in site.cloud_service.workers.values() if w.up_at and not w.tasks and w.up_at < started]
    late = [ref for ref, waited in waiting.items() if waited > WAIT_S + MARGIN_S]
    if late and idle:
        site.break_rule(
            "left waiting",
            f"{', '.join(late)}: accepted {WAIT_S:g} s ago, no task started, while {', '.join(idle)} are empty",
        )
    if not site.starts:
        site.break_rule("nothing_ran", "no task was started")
    if rig2.TROUBLE:
        # For the reader only: once its user cancels the gang, the others run.
        await site.cancel("wk-000001", patience_s=8.0)
        await asyncio.sleep(4.0)
        site.record.say(f"the gang is cancelled; tasks started since: {sum(site.starts.values())}")


rig2.main(__file__, play)
