"""Long-running asyncio tasks that are restarted after an unexpected error and cancelled together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5

TaskFunction = Callable[[], Awaitable[None]]


class SupervisedTasks:
    """Runs one asyncio task for each function, from `start` to `cancel`."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, functions: Iterable[TaskFunction]) -> None:
        """Start a task for each function, in the order given."""
        self._tasks = [asyncio.ensure_future(self._run(function)) for function in functions]

    def cancel(self) -> None:
        """Request the cancellation of all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, function: TaskFunction) -> None:
        """Run a function until it returns. An unexpected error is logged and the function is called again."""
        while True:
            try:
                await function()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("leader task failed: task=%s", function.__name__)
                await asyncio.sleep(RESTART_DELAY_S)
