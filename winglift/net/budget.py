"""Rate budgets: token buckets that keep a node's requests within a service's rate limit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class TokenBucket:
    """A token bucket that gains `rate` tokens a second and holds at most `burst`."""

    rate: float
    burst: float
    tokens: float = 0.0
    updated_at: float | None = None

    def _refill(self, now: float) -> None:
        if self.updated_at is None:
            self.tokens = self.burst
        else:
            self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst, as a node's share of a service does when the node starts or stops leading."""
        self._refill(now)
        self.rate, self.burst = rate, burst
        self.tokens = min(self.tokens, burst)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take `amount` tokens (at most `burst`) if they are available now; return whether they were taken."""
        self._refill(now)
        if self.tokens < min(amount, self.burst):
            return False
        self.tokens -= amount
        return True

    def reserve(self, now: float, amount: float, max_wait: float) -> float | None:
        """Reserve tokens in FIFO order; return the seconds to wait for them, or None if that exceeds `max_wait`.

        Without reservations, each of 80 simultaneous submissions computed the same short wait, and most then waited 5 s
        or more, past their users' timeouts.
        """
        self._refill(now)
        wait = max(0.0, (amount - self.tokens) / self.rate)
        if wait > max_wait:
            return None
        self.tokens -= amount
        return wait

    def available(self, now: float) -> float:
        """Number of tokens available now, never negative."""
        self._refill(now)
        return max(0.0, self.tokens)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Seconds until `amount` tokens (at most `burst`) are available."""
        self._refill(now)
        return max(0.0, (min(amount, self.burst) - self.tokens) / self.rate)

    def deplete(self, now: float) -> None:
        """Empty the bucket after a 429 answer: other clients share the service's limit."""
        self._refill(now)
        self.tokens = min(self.tokens, 0.0)
