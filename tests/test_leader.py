"""A leader's judgement of silence: whose fault it is, and what it does about it."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from helpers import TYPE, settings

from winglift.config.script import Script
from winglift.controller.gang_reservations import gang_may_rent
from winglift.controller.leader_term import LeaderTerm
from winglift.model.leadership import Leadership, Role
from winglift.model.machine_state import MachineState
from winglift.node import Node
from winglift.wire import peer as peer_messages


class FakeElection:
    def __init__(self) -> None:
        self.leadership = Leadership(role=Role.LEADER, term=3, valid_until=1e12)
        self.resigned = ""

    async def resign(self, why):
        self.resigned = why


def leader(hears_peers: bool, machines: list[tuple[str, str, float | None]]):
    """A leader at time 1000 that knows machines by name, zone and when they were last heard."""
    deleted: list[str] = []
    peers = SimpleNamespace(
        fleet=peer_messages.FleetSummary({}, {}),
        fleet_updated_at=0.0,
        by_node={"node-1": None},
        any_fresh=lambda now: hears_peers,
        all_fresh=lambda now: hears_peers,
    )
    made = LeaderTerm(settings(), None, None, FakeElection(), {"g4": TYPE}, peers, Script())  # type: ignore[arg-type]
    made.inventory.delete = lambda machine, why: deleted.append(machine.name)  # type: ignore[method-assign]
    for name, zone, heard in machines:
        machine = made.cluster.register_machine(name, "g4", zone, False, 980.0, 20.0)
        machine.last_heard = heard
        machine.state = MachineState.UP if heard is not None else MachineState.INHERITED
    return made, deleted


def check(made):
    async def pass_once() -> None:
        made._check_machines(1000.0)
        await asyncio.sleep(0)

    asyncio.run(pass_once())


def test_a_lone_silent_machine_is_deleted_after_one_lease():
    made, deleted = leader(True, [("vm-1", "a", 985.0), ("vm-2", "a", 999.5), ("vm-3", "a", 999.5)])
    check(made)
    assert deleted == ["vm-1"]


def test_a_leader_that_hears_nobody_resigns_and_deletes_nothing():
    """A node cut off from workers and nodes once led for 16 s and then deleted all 16 machines."""
    made, deleted = leader(False, [(f"vm-{i}", "a", None) for i in range(6)])
    check(made)
    assert made.election.resigned and deleted == []


def test_machines_silent_since_before_this_term_are_spared_while_most_of_the_zone_is():
    made, deleted = leader(True, [(f"vm-{i}", "a", None) for i in range(6)] + [("vm-9", "b", 999.9)])
    check(made)
    assert deleted == []


def test_the_end_of_a_partition_deletes_nothing():
    made, deleted = leader(True, [(f"vm-{i}", "a", 985.0) for i in range(6)])
    check(made)
    for name in ("vm-0", "vm-1", "vm-2", "vm-3", "vm-4"):
        made.cluster.machines[name].last_heard = 999.9
    check(made)
    assert deleted == []


def test_silence_during_an_outage_is_not_held_against_machines():
    made, deleted = leader(True, [(f"vm-{i}", "a", 960.0) for i in range(6)] + [("vm-9", "b", 999.9)])
    made.failure_detector.leading_since = 999.0
    check(made)
    assert deleted == []
    made.failure_detector.leading_since = 900.0
    made.cluster.machines["vm-0"].last_heard = 905.0
    check(made)
    assert deleted == ["vm-0"]


def test_a_node_that_is_not_heard_may_be_renewing_a_machines_lease():
    made, deleted = leader(False, [("vm-1", "a", 985.0), ("vm-2", "a", 999.5), ("vm-3", "a", 999.5)])
    check(made)
    assert deleted == []


def test_a_machine_that_only_the_lagging_list_names_offers_no_capacity():
    """A successor once counted on machines that its predecessor had deleted, and rented nothing meanwhile."""
    made, _ = leader(True, [("vm-1", "a", None), ("vm-2", "a", 999.5)])
    assert [capacity.name for capacity in made.snapshot_builder.build(983.0).capacities] == ["vm-1", "vm-2"]
    assert [capacity.name for capacity in made.snapshot_builder.build(1000.0).capacities] == ["vm-2"]


def test_a_gang_that_never_fits_does_not_rent_for_ever():
    seconds = [t for t in range(0, 7200) if gang_may_rent(float(t), 45.0)]
    assert seconds[:226] == [*range(0, 225), 600]
    assert len(seconds) < 225 + 45 * 12


def test_only_a_node_in_reach_of_another_ends_a_leaders_lease():
    ended: list[str] = []

    async def scenario(connected: bool) -> None:
        node = Node(settings())
        node.peers.by_node["node-1"] = SimpleNamespace(last_state=SimpleNamespace(leads=True, term=1))  # type: ignore[assignment]
        node.peers.connected = lambda except_node="": connected  # type: ignore[method-assign]

        async def revoke_lease_of(name: str) -> None:
            ended.append(name)

        node.election.revoke_lease_of = revoke_lease_of  # type: ignore[method-assign]
        node._on_peer_gone("node-1")
        await asyncio.sleep(0)

    asyncio.run(scenario(False))
    assert ended == []
    asyncio.run(scenario(True))
    assert ended == ["node-1"]


def test_a_new_leader_rents_in_no_zone_that_may_be_cut_off_until_it_has_heard_of_it():
    """It has seen no silence yet, and with its machines out of reach a zone seems to be empty."""

    def at(now: float, heard: dict[str, float | None]):
        made, _ = leader(True, [(name, name[3], None) for name in ("vm-a1", "vm-a2", "vm-b1", "vm-b2")])
        for machine in made.cluster.machines.values():
            machine.known_since = 1000.0
        made.failure_detector.evaluate(1000.0, 1e9, True, True)
        for name, when in heard.items():
            made.cluster.machines[name].last_heard = when
        made.failure_detector.evaluate(now, 1e9, True, True)
        return made.failure_detector

    assert at(1000.2, {}).nothing_heard_yet
    one = at(1000.2, {"vm-a1": 1000.1})
    assert one.unheard_zones == {"b"} and not one.nothing_heard_yet and not one.unreachable_zones
    both = at(1000.2, {"vm-a1": 1000.1, "vm-b2": 1000.1})
    assert not both.unheard_zones and not both.nothing_heard_yet
    later = at(1003.5, {"vm-a1": 1003.4, "vm-a2": 1003.4})
    assert not later.unheard_zones and later.unreachable_zones == {"b"}
    assert not leader(True, [])[0].failure_detector.nothing_heard_yet
