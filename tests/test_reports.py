"""Which node answers a worker's report, by zone, leadership and the state of the peer connection."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
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


def send_report(handler, zone="a", token=4, seq=5):
    body = {
        "rig": "vm-1",
        "endpoint": "10.0.0.1:1",
        "rigType": "g4",
        "hall": zone,
        "loaner": False,
        "shift": 1,
        "tick": seq,
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
    assert send_report(handler, token=4, seq=5) == (200, {"baton": 5, "orders": []})
    assert send_report(handler, token=5, seq=6) == (200, {"baton": 5, "orders": []})
    handler._provisional_renewals.ends_at = 0.0
    assert send_report(handler, token=5, seq=7)[0] == 503


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


class ReportingWorker:
    """A worker that nodes answer provisionally, from one second after its last answer with all stops."""

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.now, self.token, self.seq = 1000.0, 4, 10
        self.last_informed = self.now - 1.0
        self.lease_end = self.last_informed + lease_s
        self.sent: list[worker_messages.Report] = []

    def report(self) -> worker_messages.Report:
        self.seq += 1
        self.sent.append(
            worker_messages.Report(
                machine="vm-1",
                addr="",
                type="",
                zone="",
                spot=False,
                session=1,
                seq=self.seq,
                token=self.token,
                tasks=[],
            )
        )
        return self.sent[-1]

    def report_to(self, process: ProvisionalRenewals) -> None:
        if process.may_renew(self.report(), self.now):
            self.token, self.lease_end = worker_messages.provisional(self.token), self.now + self.lease_s


class Action(Enum):
    REPORT = "report"
    RESTART = "restart"  # the node restarts
    COPY = "copy"  # a copy of a report arrives at the node, after the worker has reported since


@given(
    lease_s=st.floats(2.0, 30.0),
    cancel_s=st.floats(10.0, 90.0),
    actions=st.lists(st.tuples(st.sampled_from(Action), st.integers(0, 2), st.integers(0, 50)), max_size=60),
)
def test_provisional_renewals_keep_no_task_past_its_cancellation(lease_s, cancel_s, actions):
    """A worker whose last informed answer came just before a cancellation reports to three nodes that restart."""
    worker = ReportingWorker(lease_s)
    processes = [ProvisionalRenewals(worker.now, lease_s, cancel_s) for _ in range(3)]
    for action, node, tenths in actions:
        worker.now += tenths / 10
        if worker.now > worker.lease_end:
            break
        if action is Action.REPORT:
            worker.report_to(processes[node])
        elif action is Action.RESTART:
            processes[node] = ProvisionalRenewals(worker.now, lease_s, cancel_s)
        elif worker.sent[:-1]:
            processes[node].may_renew(worker.sent[:-1][tenths % (len(worker.sent) - 1)], worker.now)
    assert worker.lease_end <= worker.last_informed + max(lease_s, cancel_s)


def test_a_copy_of_an_unmarked_report_does_not_prolong_a_marked_lease():
    """Copies of reports also reach processes that started after them."""
    worker, process = ReportingWorker(10.0), ProvisionalRenewals(1000.0, 10.0, 35.0)
    worker.report_to(process)
    worker.now += 1.0
    worker.report_to(process)
    restarted = ProvisionalRenewals(worker.now, 10.0, 35.0)
    restarted.may_renew(worker.sent[0], worker.now)
    worker.now += 1.0
    worker.report_to(restarted)
    assert worker.lease_end == 1011.0


def test_a_worker_that_stays_with_a_restarted_node_is_renewed_until_the_limit():
    worker, process = ReportingWorker(10.0), ProvisionalRenewals(1000.0, 10.0, 35.0)
    for _ in range(20):
        worker.report_to(process)
        worker.now += 1.0
    assert worker.lease_end == 1022.0  # 35 s - 2 * 10.01 s - 2.5 s after the start, in steps of 1 s, plus 10 s
