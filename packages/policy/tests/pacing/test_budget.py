"""Test that a byte budget limits the bytes spent in any period."""

from hypothesis import given
from hypothesis import strategies as st

import oriolestand_core as core
from oriolestand_policy import pacing

STEPS = st.lists(st.tuples(st.integers(0, 500), st.integers(0, 900)))


@given(STEPS)
def test_new_work_never_exceeds_rate_and_burst(
    steps: list[tuple[int, int]],
) -> None:
    """New requests must not exceed the budget of the link between regions."""
    budget = pacing.ByteBudget(rate=1_000, burst=800)
    now = spent = 0
    for pause, size in steps:
        now += pause
        if budget.try_spend(size, core.Millis(now)):
            spent += size
        # Work larger than the burst is admitted at a full bucket, so one item
        # of up to 900 bytes may exceed the burst of 800 by 100 bytes.
        assert spent <= 800 + now + 100


def test_overdrawn_budget_delays_later_work() -> None:
    """Answers in progress may overdraw the budget, which later work repays."""
    budget = pacing.ByteBudget(rate=1_000, burst=800)
    budget.spend(1_800, core.Millis(0))
    assert budget.wait_ms(0, core.Millis(0)) == 1_000
    assert not budget.try_spend(1, core.Millis(1_000))
    assert budget.try_spend(1, core.Millis(1_001))
