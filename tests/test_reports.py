"""Which node answers a worker's report, by zone, leadership and the state of the peer connection."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from helpers import settings
from hypothesis import given
from hypothesis import strategies as st

from winglift.wire import workers as worker_messages
from winglift.workers.provisional_renewals import ProvisionalRenewals
from winglift.workers.reports import ReportHandler


class FakePeerConnections:
    def __init__(self, leader_zone, local_nodes_by_zone):
        self.peer = SimpleNamespace(seed=SimpleNamespace(node="node-1", zone=leader_zone))
        self.local_nodes = local_nodes_by_zone
        self.reachable = True

    def leader(self, now):
        return self.peer

    def reachable_in_zone(self, zone, now):
        return self.local_nodes.get(zone)

    def forward_report(self, peer, body, done):
        done((200, b'{"baton":4,"orders":[]}') if self.reachable else None)


def follower(zone, leader_zone="a", **local_nodes_by_zone):
    peers = FakePeerConnections(leader_zone, local_nodes_by_zone)
    own_settings = SimpleNamespace(zone=zone, seeds=settings().seeds, settings=settings().settings)
    node = SimpleNamespace(
        peers=peers,
        leader_term=None,
        known_term=lambda: 4,
        knows_current_cancellations=lambda: True,
        can_reach_others=lambda: True,
        unreachable_leader_name=lambda: None,
        settings=own_settings,
        cancellation_enforcer=SimpleNamespace(on_report=lambda report: [], is_synchronized=lambda: True),
    )
    return ReportHandler(node), peers  # type: ignore[arg-type]


def send_report(handler, zone="a", token=4):
    body = {
        "rig": "vm-1",
        "endpoint": "10.0.0.1:1",
        "rigType": "g4",
        "hall": zone,
        "loaner": False,
        "shift": 1,
        "tick": 5,
        "baton": token,
        "recallS": None,
        "pieces": [],
    }

    async def answer_report():
        answer = handler.handle(json.dumps(body).encode())
        return answer if isinstance(answer, tuple) else await answer

    status, text = asyncio.run(answer_report())
    return status, json.loads(text)


def test_a_worker_is_served_before_it_is_redirected_to_its_home_node():
    """A redirect to a partitioned node costs the worker 10 s of trying all nodes, as long as its lease."""
    handler, _ = follower("b")
    assert send_report(handler)[0] == 200
    assert send_report(handler) == (421, {"reportsTo": "node-1"})
    assert [send_report(handler)[0] for _ in range(3)] == [200, 200, 200]


def test_a_worker_stays_with_a_node_of_its_own_zone():
    """When workers reported only to the leader, a partition between zones ended 86 tasks by expired leases."""
    handler, peers = follower("b")
    assert [send_report(handler, "b")[0] for _ in range(3)] == [200, 200, 200]
    peers.reachable = False
    assert send_report(handler, "b") == (200, {"baton": 4, "orders": []})


def test_a_worker_of_a_third_zone_goes_to_the_node_there_or_else_to_the_leader():
    handler, _ = follower("b", c="node-2")
    assert [send_report(handler, "c") for _ in range(2)][1] == (421, {"reportsTo": "node-2"})
    handler, _ = follower("b")
    assert [send_report(handler, "c") for _ in range(2)][1] == (421, {"reportsTo": "node-1"})


def test_without_a_peer_connection_the_lease_is_renewed_with_the_highest_term_and_no_command():
    handler, peers = follower("a")
    peers.reachable = False
    assert send_report(handler) == (200, {"baton": 4, "orders": []})
    assert send_report(handler, token=6) == (200, {"baton": 6, "orders": []})
    peers.peer = None
    assert send_report(handler, token=2) == (200, {"baton": 4, "orders": []})


def test_a_report_is_refused_while_no_term_is_known():
    handler, peers = follower("a")
    peers.peer = None
    handler.node.known_term = lambda: 0
    assert send_report(handler, token=0)[0] == 503


def without_synchronization(handler):
    """Let the handler's node know no cancellation."""
    handler.node.cancellation_enforcer.is_synchronized = lambda: False
    handler.node.knows_current_cancellations = lambda: False


def test_a_process_that_knows_no_cancellation_renews_leases_for_a_limited_time_and_marks_them():
    """Its renewals once kept cancelled tasks alive through an outage in which all nodes had restarted."""
    handler, peers = follower("a")
    without_synchronization(handler)
    peers.peer = None
    handler.node.leader_term = SimpleNamespace(term=4, on_report=None, has_pending_starts=lambda machine: False)
    assert send_report(handler, token=4) == (200, {"baton": 5, "orders": []})
    assert send_report(handler, token=5) == (200, {"baton": 5, "orders": []})
    handler._provisional_renewals.ends_at = 0.0
    assert send_report(handler, token=5)[0] == 503


def test_a_lease_that_another_process_has_renewed_so_is_not_renewed_again():
    """Without the mark, each restart in an outage would prolong the leases of cancelled tasks."""
    handler, peers = follower("a")
    without_synchronization(handler)
    peers.peer = None
    assert send_report(handler, token=5)[0] == 503


def test_a_process_that_knows_no_cancellation_passes_the_leaders_answer_on():
    handler, _ = follower("a")
    without_synchronization(handler)
    assert send_report(handler) == (200, {"baton": 4, "orders": []})


def test_a_node_that_may_have_missed_cancellations_marks_its_renewals():
    """A node that does not hear from all others goes on renewing; a process that starts later must not."""
    handler, peers = follower("a")
    peers.reachable = False
    handler.node.knows_current_cancellations = lambda: False
    assert send_report(handler, token=4) == (200, {"baton": 5, "orders": []})


@given(
    lease_s=st.floats(2.0, 30.0),
    cancel_s=st.floats(10.0, 90.0),
    last_answer_age=st.floats(0.0, 1.0),
    reports=st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 2), st.integers(0, 1)), max_size=40),
)
def test_provisional_renewals_keep_no_task_past_its_cancellation(lease_s, cancel_s, last_answer_age, reports):
    """A worker whose last informed answer came just before a cancellation reports to processes that restart.

    Each report comes some time after the one before, to one of three nodes, which may restart first.
    """
    now, token = 1000.0, 4
    last_informed = now - last_answer_age * lease_s
    lease_end = last_informed + lease_s
    processes = [ProvisionalRenewals(now, lease_s, cancel_s) for _ in range(3)]
    for delay_s, node, restarts in reports:
        now += delay_s
        if now > lease_end:
            break
        if restarts:
            processes[node] = ProvisionalRenewals(now, lease_s, cancel_s)
        report = worker_messages.Report(
            machine="vm-1", addr="", type="", zone="", spot=False, session=1, seq=0, token=token, tasks=[]
        )
        if processes[node].may_renew(report, now):
            token, lease_end = worker_messages.provisional(token), now + lease_s
    assert lease_end <= max(last_informed + lease_s, last_informed + cancel_s)
