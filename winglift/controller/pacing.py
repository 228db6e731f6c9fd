"""The pauses between planning cycles, derived from the duration of the cycles."""

from __future__ import annotations

import asyncio

from .. import constants


class CyclePacer:
    """Lets the planning loop wait for work, and pauses it after each cycle so that users and workers are served."""

    def __init__(self) -> None:
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()

    def wake(self) -> None:
        """Report a change: the next cycle begins after the long pause."""
        self._wake.set()

    def wake_urgently(self) -> None:
        """Report work that is due at once: it ends the long pause early, but never the minimum pause."""
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

    async def wait_between_cycles(self, pause: float, long_pause: float) -> None:
        """Wait for at least `pause` seconds, and for `long_pause` seconds unless urgent work arrives."""
        await asyncio.sleep(pause)
        if long_pause > pause:
            try:
                async with asyncio.timeout(long_pause - pause):
                    await self._urgent.wait()
            except TimeoutError:
                pass


def pause_s(duration_s: float) -> float:
    """The minimum pause, in seconds, after a cycle of `duration_s`.

    At 970 machines, a cycle every 0.15 s was half of the leader's work, and most cycles found little to do.
    """
    return max(
        constants.CYCLE_INTERVAL_S,
        min(duration_s * constants.CYCLE_PAUSE_RATIO, constants.CYCLE_PAUSE_MAX_S),
        duration_s * constants.CYCLE_PAUSE_MIN_RATIO,
    )


def long_pause_s(duration_s: float) -> float:
    """The pause, in seconds, after a cycle of `duration_s` unless urgent work arrives."""
    return max(
        pause_s(duration_s), min(duration_s * constants.CYCLE_LONG_PAUSE_RATIO, constants.CYCLE_LONG_PAUSE_MAX_S)
    )
