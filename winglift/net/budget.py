"""Rate budgets: token buckets that stay below what a service allows."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class TokenBucket:
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
        """Change rate and burst: a node's share of a service changes when it starts or stops leading."""
        self._fill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take `amount` tokens (at most `burst`) if they are available now; returns whether they were taken."""
        self._fill(now)
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True

    def reserve(self, now: float, amount: float, max_wait: float) -> float | None:
        """Reserve tokens in FIFO order. Returns the seconds to wait for them, or None if that exceeds `max_wait`.

        Without a reservation, each of 80 simultaneous submissions computed a short wait, and most then waited for
        5 s and more, past their users' timeout.
        """
        self._fill(now)
        wait = max(0.0, (amount - self.tokens) / self.rate)
        if wait > max_wait:
            return None
        self.tokens -= amount
        return wait

    def available(self, now: float) -> float:
        """Number of tokens available now, never negative."""
        self._fill(now)
        return max(0.0, self.tokens)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Seconds until `amount` tokens (at most `burst`) are available."""
        self._fill(now)
        return max(0.0, (min(amount, self.burst) - self.tokens) / self.rate)

    def deplete(self, now: float) -> None:
        """Empty the bucket after a 429 answer: other clients have used the service's budget too."""
        self._fill(now)
        self.tokens = min(self.tokens, 0.0)
