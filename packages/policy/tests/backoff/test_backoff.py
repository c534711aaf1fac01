"""Test that retries become rarer and spread out, within bounds."""

import random

from hypothesis import given
from hypothesis import strategies as st

from oriolestand_policy import backoff

RECOVERY_MS = 500
"""Share of the two seconds for recovery that a pause may take."""


def make_backoff(initial_ms: int = 100, seed: int = 1):
    return backoff.ExponentialBackoff(initial_ms, rng=random.Random(seed))


@given(st.integers(1, 2_000), st.integers(0, 2**32), st.lists(st.booleans()))
def test_delay_is_bounded(
    initial_ms: int, seed: int, outcomes: list[bool]
) -> None:
    """A loop must neither spin nor pause after the store has returned."""
    policy = make_backoff(initial_ms, seed)
    for is_success in outcomes:
        if is_success:
            policy.reset()
        delay = policy.next_delay_ms()
        assert min(initial_ms, RECOVERY_MS) / 2 <= delay <= RECOVERY_MS


@given(st.integers(0, 2**32))
def test_delays_grow_to_the_maximum(seed: int) -> None:
    """An outage must not get the full rate of retries throughout."""
    policy = make_backoff(seed=seed)
    delays = [policy.next_delay_ms() for _ in range(8)]
    assert delays[0] <= 100
    assert min(delays[4:]) >= RECOVERY_MS / 2


@given(st.integers(0, 2**32))
def test_success_resets_the_delay(seed: int) -> None:
    """A single failure after an outage must be retried soon."""
    policy = make_backoff(seed=seed)
    for _ in range(8):
        policy.next_delay_ms()
    policy.reset()
    assert policy.next_delay_ms() <= 100


def test_retries_of_many_processes_spread_out() -> None:
    """Daemons whose reads failed together must not retry together."""
    policies = [make_backoff(seed=seed) for seed in range(40)]
    times = [sum(p.next_delay_ms() for _ in range(5)) for p in policies]
    for start in range(min(times), max(times) + 1):
        at_once = [t for t in times if start <= t < start + 50]
        assert len(at_once) <= len(policies) / 2
