# ruff: noqa: D103
"""A long description that was accepted: its repetition is refused with 422, as the clock has more digits by then."""

import asyncio
import json
import pathlib
import sys
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2

JOBS = 60


def long_job(site: rig2.Site, number: int, pad: int) -> dict[str, Any]:
    """A job that names all machine types that it allows; `pad` sets the length of the last name."""
    names = [machine_type["name"] for machine_type in site.types] + ["optic-gpu32-" + "z" * pad]
    fields = {"rigTypes": names, "jobClass": f"lens-render-{'x' * 100}", "bundle": "i" * 120, "dueS": 900.0}
    return site.job(f"wk-{number:06d}", pieces=40, expectedS=600.0, **fields)


async def longest_accepted(site: rig2.Site) -> tuple[int, int]:
    """The longest `pad` with which each job is accepted, found by trying, and the last job number used."""
    low, high, number = 0, 115, 0
    while low < high:
        pad = (low + high + 1) // 2
        accepted = 0
        for _ in range(4):
            number += 1
            accepted += await site.submit(long_job(site, number, pad), patience_s=5.0) == 201
            await asyncio.sleep(0.1)
        low, high = (pad, high) if accepted == 4 else (low, pad - 1)
    return low, number


async def accept_longer(site: rig2.Site, pad: int, number: int) -> dict[str, dict[str, Any]]:
    """Submit jobs that are a byte or two longer; those that were accepted."""
    accepted = {}
    for extra in (1, 1, 2):
        for _ in range(JOBS // 3):
            number += 1
            job = long_job(site, number, pad + extra)
            if await site.submit(job, patience_s=5.0) == 201:
                accepted[job["ref"]] = job
            await asyncio.sleep(0.05)
    return accepted


async def repeat(site: rig2.Site, ref: str, job: dict[str, Any]) -> int:
    """Submit an accepted job again at each controller, as a user does who got no answer; the number of refusals."""
    refused = 0
    for node in site.nodes:
        status, value = await site.ask(node, "POST", "/work", job)
        if status in (400, 422):
            refused += 1
            site.break_rule("forgotten", f"{ref} was accepted; repeated at {node.name}: {status} {value}")
        await asyncio.sleep(0.05)
    return refused


async def play(site: rig2.Site) -> None:
    # The deployment has 15 machine types, most with long names.
    long_name = "optic-gpu32-" + "stock-of-the-northern-hall-" * 4
    site.types += [{**site.types[0], "name": f"{long_name}{number:02d}"} for number in range(14)]
    site.run_s = lambda piece: 600.0  # so that no job ends while the case lasts
    await site.start(machines=4)
    await site.ready()
    pad, number = await longest_accepted(site)
    accepted = await accept_longer(site, pad, number)
    size = len(json.dumps(long_job(site, 1, pad), separators=(",", ":")))
    site.record.say(f"a description of {size} bytes is always accepted; of longer ones, {len(accepted)} of {JOBS} were")
    if not accepted:
        raise rig2.CannotRun("no job of that length was accepted")
    refused = 0
    for ref, job in accepted.items():
        status, value = await site.status(ref, site.nodes[0])
        if status == 404:
            site.break_rule("forgotten", f"{ref} is not known: {value}")
        if rig2.TROUBLE:
            refused += await repeat(site, ref, job)
    site.record.say(f"{len(accepted)} accepted jobs; {refused} repetitions refused")


rig2.main(__file__, play)
