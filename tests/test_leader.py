"""Tests of a leader's reaction to silence: of single machines, of zones, and of everything around it."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from helpers import MACHINE_TYPE, settings

from winglift.config.script import Script
from winglift.controller.gang_reservations import gang_may_rent
from winglift.controller.leader_term import LeaderTerm
from winglift.model.leadership import Leadership, Role
from winglift.model.machine_state import MachineState
from winglift.node import Node
from winglift.wire import peer as peer_messages


class FakeElection:
    def __init__(self) -> None:
        self.leadership = Leadership(role=Role.LEADER, term=4, valid_until=1e12)
        self.resigned = ""

    async def resign(self, why):
        self.resigned = why


def leader(hears_peers: bool, machines: list[tuple[str, str, float | None]]):
    """Return a leader term at time 1000 that knows machines by name, zone and time of the last report.

    Also returns the list of the machines that it deletes.
    """
    deleted: list[str] = []
    peers = SimpleNamespace(
        fleet=peer_messages.FleetSummary({}, {}),
        fleet_updated_at=0.0,
        by_node={"node-1": None},
        any_fresh=lambda now: hears_peers,
        all_fresh=lambda now: hears_peers,
    )
    listener = SimpleNamespace(add_record=lambda ref, version, record: False, on_records_loaded=lambda: None)
    leader_term = LeaderTerm(settings(), None, None, FakeElection(), {"g4": MACHINE_TYPE}, peers, Script(), listener)  # type: ignore[arg-type]
    leader_term.inventory.delete = lambda machine, why: deleted.append(machine.name)  # type: ignore[method-assign]
    for name, zone, last_heard in machines:
        machine = leader_term.cluster.register_machine(name, "g4", zone, False, 980.0, 20.0)
        machine.last_heard = last_heard
        machine.state = MachineState.UP if last_heard is not None else MachineState.INHERITED
    return leader_term, deleted


def check_machines(leader_term):
    async def check_once() -> None:
        leader_term._check_machines(1000.0)
        await asyncio.sleep(0)

    asyncio.run(check_once())


def test_a_single_silent_machine_is_deleted_after_one_lease():
    leader_term, deleted = leader(True, [("vm-1", "a", 985.0), ("vm-2", "a", 999.5), ("vm-3", "a", 999.5)])
    check_machines(leader_term)
    assert deleted == ["vm-1"]


def test_an_isolated_leader_resigns_and_deletes_nothing():
    """A node partitioned from workers and nodes once led for 16 s and then deleted all 16 machines."""
    leader_term, deleted = leader(False, [(f"vm-{i}", "a", None) for i in range(6)])
    check_machines(leader_term)
    assert leader_term.election.resigned and deleted == []


def test_inherited_silent_machines_are_kept_while_most_of_the_zone_is_silent():
    leader_term, deleted = leader(True, [(f"vm-{i}", "a", None) for i in range(6)] + [("vm-9", "b", 999.9)])
    check_machines(leader_term)
    assert deleted == []


def test_no_machine_is_deleted_at_the_end_of_a_partition():
    leader_term, deleted = leader(True, [(f"vm-{i}", "a", 985.0) for i in range(6)])
    check_machines(leader_term)
    for name in ("vm-0", "vm-1", "vm-2", "vm-3", "vm-4"):
        leader_term.cluster.machines[name].last_heard = 999.9
    check_machines(leader_term)
    assert deleted == []


def test_silence_before_the_leader_could_act_does_not_count():
    leader_term, deleted = leader(True, [(f"vm-{i}", "a", 960.0) for i in range(6)] + [("vm-9", "b", 999.9)])
    leader_term.failure_detector.leading_since = 999.0
    check_machines(leader_term)
    assert deleted == []
    leader_term.failure_detector.leading_since = 900.0
    leader_term.cluster.machines["vm-0"].last_heard = 905.0
    check_machines(leader_term)
    assert deleted == ["vm-0"]


def test_a_silent_machine_is_kept_while_an_unreachable_node_may_renew_its_lease():
    leader_term, deleted = leader(False, [("vm-1", "a", 985.0), ("vm-2", "a", 999.5), ("vm-3", "a", 999.5)])
    check_machines(leader_term)
    assert deleted == []


def test_a_machine_known_only_from_the_cloud_list_offers_capacity_for_a_limited_time():
    """A successor once counted the capacity of machines that its predecessor had deleted, and rented nothing."""
    leader_term, _ = leader(True, [("vm-1", "a", None), ("vm-2", "a", 999.5)])
    assert [capacity.name for capacity in leader_term.snapshot_builder.build(983.0).capacities] == ["vm-1", "vm-2"]
    assert [capacity.name for capacity in leader_term.snapshot_builder.build(1000.0).capacities] == ["vm-2"]


def test_a_gang_that_never_fits_rents_only_at_long_intervals():
    seconds = [t for t in range(0, 7200) if gang_may_rent(float(t), 45.0)]
    assert seconds[:226] == [*range(0, 225), 600]
    assert len(seconds) < 225 + 45 * 12


def test_only_a_node_connected_to_a_peer_revokes_a_leaders_lease():
    revoked: list[str] = []

    async def scenario(connected: bool) -> None:
        node = Node(settings())
        node.peers.by_node["node-1"] = SimpleNamespace(last_state=SimpleNamespace(leads=True, term=1))  # type: ignore[assignment]
        node.peers.connected = lambda except_node="": connected  # type: ignore[method-assign]

        async def revoke_lease_of(name: str) -> None:
            revoked.append(name)

        node.election.revoke_lease_of = revoke_lease_of  # type: ignore[method-assign]
        node._on_peer_gone("node-1")
        await asyncio.sleep(0)

    asyncio.run(scenario(False))
    assert revoked == []
    asyncio.run(scenario(True))
    assert revoked == ["node-1"]


def test_a_new_leader_rents_in_no_zone_from_which_it_has_no_report():
    """Guards against rentals in a partitioned zone: its machines don't report, so it seems to have no capacity."""

    def at(now: float, heard: dict[str, float | None]):
        leader_term, _ = leader(True, [(name, name[3], None) for name in ("vm-a1", "vm-a2", "vm-b1", "vm-b2")])
        for machine in leader_term.cluster.machines.values():
            machine.known_since = 1000.0
        leader_term.failure_detector.evaluate(1000.0, 1e9, True, True)
        for name, when in heard.items():
            leader_term.cluster.machines[name].last_heard = when
        leader_term.failure_detector.evaluate(now, 1e9, True, True)
        return leader_term.failure_detector

    assert at(1000.2, {}).nothing_heard_yet
    one = at(1000.2, {"vm-a1": 1000.1})
    assert one.unheard_zones == {"b"} and not one.nothing_heard_yet and not one.unreachable_zones
    both = at(1000.2, {"vm-a1": 1000.1, "vm-b2": 1000.1})
    assert not both.unheard_zones and not both.nothing_heard_yet
    later = at(1003.5, {"vm-a1": 1003.4, "vm-a2": 1003.4})
    assert not later.unheard_zones and later.unreachable_zones == {"b"}
    assert not leader(True, [])[0].failure_detector.nothing_heard_yet
