"""Rate budgets: never overdrawn, reservations in FIFO order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from winglift.net.budget import TokenBucket


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0.5, 3)), max_size=40))
def test_a_budget_is_never_overdrawn(steps):
    budget, now, spent = TokenBucket(5.0, 5.0), 0.0, 0.0
    for pause, amount in steps:
        now += pause
        if budget.take(now, amount):
            spent += amount
        assert spent <= 5.0 + 5.0 * now + 1e-6


@given(st.lists(st.tuples(st.floats(0, 0.5), st.sampled_from([1.0, 1.0, 4.0])), max_size=60))
def test_budget_reservations_are_served_in_order(steps):
    """Without reservations, many simultaneous requests computed the same short wait and exceeded their timeouts."""
    budget, now, sent = TokenBucket(5.0, 5.0), 0.0, []
    for pause, amount in steps:
        now += pause
        wait = budget.reserve(now, amount, 0.35)
        if wait is not None:
            assert wait <= 0.35
            sent.append((now + wait, amount))
    assert [when for when, _ in sent] == sorted(when for when, _ in sent)
    for when, _ in sent:
        assert sum(amount for t, amount in sent if t <= when) <= 5.0 + 5.0 * when + 1e-6
