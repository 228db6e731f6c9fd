"""Who answers a worker's report on a node that does not lead."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from winglift.cluster.link import NoLink
from winglift.workers.reports import Reports


class FakeLink:
    def __init__(self) -> None:
        self.peer = SimpleNamespace(seed=SimpleNamespace(node="node-1"))
        self.works = True

    def leader(self, now):
        return self.peer

    async def relay(self, peer, body):
        if not self.works:
            raise NoLink
        return 200, b'{"baton":3,"orders":[]}'


def reports():
    link = FakeLink()
    node = SimpleNamespace(link=link, controller=None, known_term=lambda: 3)
    return Reports(node), link  # type: ignore[arg-type]


def report(token=3):
    return json.dumps({"rig": "vm-1", "endpoint": "10.0.0.1:1", "rigType": "g4", "hall": "a", "loaner": False,
                       "shift": 1, "tick": 5, "baton": token, "recallS": None, "pieces": []}).encode()


def ask(handler, token=3):
    status, body = asyncio.run(handler.handle(report(token)))
    return status, json.loads(body)


def test_a_worker_is_served_before_it_is_sent_to_the_leader():
    """A redirect to a leader behind a cut costs 10 s of going round, which is all of a lease."""
    handler, _ = reports()
    assert ask(handler)[0] == 200
    assert ask(handler) == (421, {"reportsTo": "node-1"})
    assert [ask(handler)[0] for _ in range(3)] == [200, 200, 200]


def test_without_a_link_the_lease_is_renewed_with_the_highest_term_and_no_command():
    handler, link = reports()
    link.works = False
    assert ask(handler) == (200, {"baton": 3, "orders": []})
    assert ask(handler, token=5) == (200, {"baton": 5, "orders": []})
    link.peer = None
    assert ask(handler, token=1) == (200, {"baton": 3, "orders": []})


def test_no_term_is_made_up():
    handler, link = reports()
    link.peer = None
    handler.node.known_term = lambda: 0
    assert ask(handler, token=0)[0] == 503
