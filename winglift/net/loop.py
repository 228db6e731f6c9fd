"""An event loop that gathers: under many small events, what comes within a few milliseconds is handled in one turn."""

from __future__ import annotations

import asyncio
import selectors
import time

from .. import constants as c


class GatheringSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Waits a little before it looks again, if the last look was just now.

    With 300 reports a second, each with several small steps, turns of the loop were a third of a node's work. An idle
    node is woken as soon as before; a busy one answers at most LOOP_GATHER_S later.
    """

    _looked = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0:
            return super().select(timeout)  # there is work to do already
        left = self._looked + c.LOOP_GATHER_S - time.monotonic()
        if left > 0:
            pause = left if timeout is None else min(left, timeout)
            time.sleep(pause)
            timeout = None if timeout is None else timeout - pause
        found = super().select(timeout)
        self._looked = time.monotonic()
        return found


def new_loop() -> asyncio.AbstractEventLoop:
    return asyncio.SelectorEventLoop(GatheringSelector())
