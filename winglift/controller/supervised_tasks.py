"""Long-running asyncio tasks that are restarted after an unexpected error and cancelled together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5

Job = Callable[[], Awaitable[None]]


class SupervisedTasks:
    """Owns one task for each job, from `start` to `cancel`."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, jobs: Iterable[Job]) -> None:
        """Start a task for each job, in the order given."""
        self._tasks = [asyncio.ensure_future(self._run(job)) for job in jobs]

    def cancel(self) -> None:
        """Request the cancellation of all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, job: Job) -> None:
        """The outermost frame of each task: an unexpected error in one pass must not end the leader's work."""
        while True:
            try:
                await job()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("leader task failed: task=%s", job.__name__)
                await asyncio.sleep(RESTART_DELAY_S)
