"""The event loop that gathers small events."""

from __future__ import annotations

import asyncio
import socket

from winglift.net.loop import GatheringSelector


class Counting(GatheringSelector):
    """Counts the looks that may wait."""

    waits = 0

    def select(self, timeout=None):
        if timeout is None or timeout > 0:
            self.waits += 1
        return super().select(timeout)


def test_events_close_together_are_gathered_and_timers_still_fire():
    """300 reports a second, one turn of the loop each and more, were a third of a node's work."""
    selector = Counting()
    loop = asyncio.SelectorEventLoop(selector)

    async def scenario() -> int:
        near, far = socket.socketpair()
        for end in (near, far):
            end.setblocking(False)
        got = 0
        for _ in range(200):
            await loop.sock_sendall(near, b"x")
            got += len(await loop.sock_recv(far, 10))
        near.close()
        far.close()
        before = loop.time()
        await asyncio.sleep(0.05)
        assert loop.time() - before >= 0.045
        return got

    try:
        assert loop.run_until_complete(scenario()) == 200
    finally:
        loop.close()
    assert selector.waits < 400


def test_a_look_with_work_to_do_never_waits():
    selector = GatheringSelector()
    selector._looked = float("inf")
    assert selector.select(0) == []
