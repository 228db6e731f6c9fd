"""Rate budgets: token buckets that stay below what a service allows."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Budget:
    """A bucket of `rate` tokens a second, holding at most `burst`."""

    rate: float
    burst: float
    tokens: float = 0.0
    at: float | None = None

    def _fill(self, now: float) -> None:
        if self.at is None:
            self.tokens = self.burst
        else:
            self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now

    def resize(self, rate: float, burst: float, now: float) -> None:
        """A node's share changes when it begins or ceases to lead."""
        self._fill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens now, if there are so many."""
        self._fill(now)
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True

    def reserve(self, now: float, amount: float, max_wait: float) -> float | None:
        """Seconds to wait for tokens that are kept from now on, first come first served; or None: it would take longer.

        Without a place in the queue, each of 80 submissions in a rush saw a short wait, and most then waited for 5 s
        and more, past their users' patience.
        """
        self._fill(now)
        wait = max(0.0, (amount - self.tokens) / self.rate)
        if wait > max_wait:
            return None
        self.tokens -= amount
        return wait

    def free(self, now: float) -> float:
        """Tokens that are there."""
        self._fill(now)
        return max(0.0, self.tokens)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Seconds until that much is there."""
        self._fill(now)
        return max(0.0, (min(amount, self.burst) - self.tokens) / self.rate)

    def penalise(self, now: float) -> None:
        """The service said 429: others have used its budget too."""
        self._fill(now)
        self.tokens = min(self.tokens, 0.0)
