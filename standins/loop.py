"""An event loop in simulated time, which advances directly to the time of the next callback."""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

from winglift.net import runtime


class SuspendableHost:
    """The part of a host that the loop uses. The callbacks of a suspended host are kept until it goes on."""

    suspended_callbacks: list[asyncio.Handle] | None  # postponed while the host is suspended; None: it is running
    crashed: bool
    steps_left: int  # number of further callbacks after which the host is suspended; 0: not at all

    def suspend(self) -> None:
        if self.suspended_callbacks is None:
            self.suspended_callbacks = []


class Loop(asyncio.AbstractEventLoop):
    """Runs callbacks in order of time, then of their scheduling, and postpones those of suspended hosts."""

    def __init__(self) -> None:
        self.now = 0.0
        self.unhandled_exceptions: list[dict[str, Any]] = []  # contexts of exceptions that nothing handled
        self.steps = 0
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._timer_count = 0

    def time(self) -> float:
        return self.now

    def call_soon(self, callback, *args, context=None):  # type: ignore[no-untyped-def]
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_later(self, delay, callback, *args, context=None):  # type: ignore[no-untyped-def]
        return self.call_at(self.now + delay, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):  # type: ignore[no-untyped-def]
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, coro, **kwargs):  # type: ignore[no-untyped-def]
        return asyncio.Task(coro, loop=self, **kwargs)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.unhandled_exceptions.append(context)

    def _run(self, handle: asyncio.Handle) -> None:
        if handle.cancelled():
            return
        host = handle._context.get(runtime._current)  # type: ignore[attr-defined]
        if isinstance(host, SuspendableHost) and host.suspended_callbacks is not None:
            if not host.crashed:
                host.suspended_callbacks.append(handle)
            return
        if isinstance(host, SuspendableHost) and host.steps_left:
            host.steps_left -= 1
            if not host.steps_left:
                host.suspend()
        self.steps += 1
        handle._run()

    def run(self, until: Callable[[], bool] | float, timeout_s: float = 600.0) -> bool:
        """Run until a condition holds, or up to a time.

        Returns whether the condition came to hold within `timeout_s` simulated seconds; True for a time.
        """
        limit = until if isinstance(until, float) else self.now + timeout_s
        asyncio._set_running_loop(self)
        try:
            while True:
                for _ in range(len(self._ready)):
                    self._run(self._ready.popleft())
                if callable(until) and until():
                    return True
                if self._ready:
                    continue
                if not self._timers or self._timers[0][0] > limit:
                    self.now = limit
                    return not callable(until)
                when, _, handle = heapq.heappop(self._timers)
                self.now = max(self.now, when)
                self._ready.append(handle)
        finally:
            asyncio._set_running_loop(None)
