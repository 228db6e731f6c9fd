"""How often the leader runs a planning cycle, by how long its cycles take."""

from __future__ import annotations

import asyncio

from .. import constants


class CyclePacer:
    """Lets the planning cycle wait for work, and rest after a pass so that users and workers get their turn."""

    def __init__(self) -> None:
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()

    def wake(self) -> None:
        """Something has changed: the next pass begins after the rest."""
        self._wake.set()

    def wake_urgently(self) -> None:
        """Work is due at once: it also ends the rest early, but never the pause."""
        self._urgent.set()

    async def wait_for_work(self) -> None:
        """Wait until there is work, for `IDLE_CYCLE_INTERVAL_S` at most."""
        if not self._urgent.is_set():
            try:
                async with asyncio.timeout(constants.IDLE_CYCLE_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()
        self._urgent.clear()

    async def rest(self, pause: float, rest: float) -> None:
        """Wait for `pause` seconds in any case, and for `rest` seconds unless urgent work comes."""
        await asyncio.sleep(pause)
        if rest > pause:
            try:
                async with asyncio.timeout(rest - pause):
                    await self._urgent.wait()
            except TimeoutError:
                pass


def pause_s(took: float) -> float:
    """How long after a cycle of `took` seconds the next one may begin, in seconds.

    At 970 machines a cycle each 0.15 s was half of the leader's work, and most of them found little to do.
    """
    return max(
        constants.CYCLE_INTERVAL_S,
        min(took * constants.CYCLE_PAUSE_RATIO, constants.CYCLE_PAUSE_MAX_S),
        took * constants.CYCLE_PAUSE_MIN_RATIO,
    )


def long_pause_s(took: float) -> float:
    """How long after a cycle of `took` seconds the next one begins, in seconds, unless urgent work comes."""
    return max(pause_s(took), min(took * constants.CYCLE_LONG_PAUSE_RATIO, constants.CYCLE_LONG_PAUSE_MAX_S))
