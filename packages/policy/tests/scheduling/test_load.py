"""Tests of how an owner fits its work to the processor time it gets."""

import pytest

from oriolestand_policy.scheduling import _load

LEASES_MS = (6_000, 10_000)


def make_load(delay_ms, lease_max_ms=6_000):
    load = _load.OwnerLoad(lease_max_ms)
    load.on_tick(delay_ms, now_ms=1_000)
    return load


def test_owner_that_is_not_busy_changes_nothing():
    load = make_load(_load.BUSY_DELAY_MS - 1)
    assert load.poll_wait_ms(500, 1_000, has_runs=False) == 500
    assert load.poll_pause_ms(1_000, has_runs=False) == 0
    assert load.batch_size(1_000, 0) == _load.MAX_STARTS_PER_ROUND


@pytest.mark.parametrize('lease_max_ms', LEASES_MS)
@pytest.mark.parametrize('delay_ms', range(250, 1_900, 150))
@pytest.mark.parametrize('has_runs', [False, True])
def test_poll_of_a_busy_owner_comes_before_its_lease_is_over(
    has_runs, delay_ms, lease_max_ms
):
    # Guards against tasks that end because their owner renews too late.
    load = make_load(delay_ms, lease_max_ms)
    # The answer is read at the end of a pass.
    wait_ms = load.poll_wait_ms(1_000, 1_000, has_runs=has_runs)
    answer_ms = max(wait_ms, delay_ms)
    pause_ms = load.poll_pause_ms(1_000, has_runs=has_runs)
    passes_ms = (_load.PASSES_PER_POLL - 1) * delay_ms
    assert answer_ms + pause_ms + passes_ms < lease_max_ms


@pytest.mark.parametrize('lease_max_ms', LEASES_MS)
def test_busy_owner_polls_less_often(lease_max_ms):
    # Polls of idle workers used up the processor of an owner.
    load = make_load(400, lease_max_ms)
    time_ms = load.poll_wait_ms(1_000, 1_000, has_runs=False)
    time_ms += load.poll_pause_ms(1_000, has_runs=False)
    assert time_ms >= 2_000


def test_delay_is_forgotten_after_a_while():
    load = make_load(900)
    load.on_tick(10, now_ms=1_500)
    assert load.delay_ms(1_000 + _load.WINDOW_MS) == 900
    assert load.delay_ms(1_001 + _load.WINDOW_MS) == 10
    assert not load.is_busy(1_001 + _load.WINDOW_MS)


def test_last_delay_counts_until_the_next():
    # The loop of a very slow owner turns less often than the window.
    load = make_load(4_000)
    assert load.delay_ms(9_000) == 4_000


def test_rounds_take_a_share_of_the_processor():
    # Rounds that followed each other left no time to read reports.
    load = make_load(0)
    load.on_round(duration_ms=120, now_ms=5_000)
    assert load.round_delay_ms(29, now_ms=5_000) == 240
    assert load.round_delay_ms(29, now_ms=5_230) == 29
    load.on_round(duration_ms=9_000, now_ms=6_000)
    assert load.round_delay_ms(29, 6_000) == _load.MAX_ROUND_DELAY_MS


def test_unsent_starts_limit_the_next_batch():
    # Starts were decided seconds before they were sent, and held capacity.
    load = make_load(700)
    assert load.batch_size(1_000, 0) == _load.MAX_STARTS_WHEN_BUSY
    assert load.batch_size(1_000, _load.MAX_STARTS_WHEN_BUSY + 3) == 0
