# ruff: noqa: D103
"""A controller that two cut zones kept from a cancellation keeps its tasks alive, once all that knew it have ended."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2

MEETS = set(os.environ.get("MEETS", "cut,outage,crash" if rig2.TROUBLE else "").split(",")) - {""}
CUT_S = 15.0  # kit/sites/kessaku-sapporo.toml: zone_partition, for_s = 15
BACK_S = 3.0
OUTAGE_S = 40.0  # longer than cancel_s (hunt/LATER.md)
MARGIN_S = 1.0


def set_cut(site: rig2.Site, alone: rig2.Node, cut: bool) -> None:
    """Cut the zone of `alone` from the other zone, or end that. The state service and the cloud are in no zone."""
    for (one, other), link in site.links.items():
        if alone.name in (one, other):
            link.set_cut(cut)
    others = {node.name for node in site.nodes if node is not alone}
    for worker in site.cloud_service.workers.values():
        if worker.zone == alone.zone:
            worker.unreachable = others if cut else set()
        else:
            worker.unreachable = {alone.name} if cut else set()
    site.record.say(f"the zones {'can not' if cut else 'can'} reach each other")


async def prepare(site: rig2.Site, ref: str) -> rig2.Node:
    """Start all, and a job in the zone of one controller, which does not lead; that controller."""
    site.run_s = lambda piece: 300.0
    await site.start(machines=4, links=True)
    await site.ready()
    alone = site.nodes[1]  # the only controller of its zone
    if site.leader() is alone:
        # The case is about a follower: let another one lead.
        alone.kill()
        await site.until("another leader", lambda: site.leader() not in (None, alone), 15.0)
        alone.start()
        await asyncio.sleep(3.0)
    await asyncio.sleep(6.0)
    if await site.submit(site.job(ref, pieces=2, hall=alone.zone, expectedS=300.0)) not in (200, 201):
        raise rig2.CannotRun("the job is not accepted")
    await site.until("the tasks run", lambda: sum(map(len, site.on_machine.values())) == 2 or None, 20.0)
    await asyncio.sleep(4.0)
    if site.leader() is alone:
        raise rig2.CannotRun("the follower leads")
    return alone


async def crash(site: rig2.Site, alone: rig2.Node) -> None:
    """Let the other controllers crash; they are back after `BACK_S`."""
    others = [node for node in site.nodes if node is not alone]
    for node in others:
        node.kill()
    site.record.say("the other two controllers crash")
    await asyncio.sleep(BACK_S)
    for node in others:
        node.start()


async def play(site: rig2.Site) -> None:
    ref = "wk-000001"
    alone = await prepare(site, ref)
    if "cut" in MEETS:
        set_cut(site, alone, True)
    cut_at = time.monotonic()
    await asyncio.sleep(5.0)
    told = await site.cancel(ref, node=site.nodes[0], patience_s=20.0)
    cancelled_at = time.monotonic()
    if told != "aborted":
        raise rig2.CannotRun(f"the cancellation is answered with {told}")
    site.record.say("the user is told that the job is cancelled")
    await asyncio.sleep(1.0)
    if "outage" in MEETS:
        site.state_service.refused = {node.name for node in site.nodes}
        site.record.say("the state service is down")
    await asyncio.sleep(1.0)
    if "crash" in MEETS:
        await crash(site, alone)
    if "cut" in MEETS:
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        set_cut(site, alone, False)
    cancel_s = site.workers["cancel_s"]
    await asyncio.sleep(max(0.0, cancelled_at + cancel_s + MARGIN_S - time.monotonic()))
    left = {piece: sorted(machines) for piece, machines in site.on_machine.items() if machines}
    if left:
        site.break_rule("ran_cancelled", f"{cancel_s + MARGIN_S:g} s after the user was told: {left}")
    await asyncio.sleep(max(0.0, cancelled_at + 1.0 + OUTAGE_S - time.monotonic()))
    site.state_service.refused = set()
    await asyncio.sleep(6.0)
    left = {piece: sorted(machines) for piece, machines in site.on_machine.items() if machines}
    site.record.say(f"6 s after the outage these tasks are left: {left or 'none'}")


rig2.main(__file__, play)
