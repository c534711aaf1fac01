"""Test conversions between the clocks of a daemon and of the store."""

import random

import pytest

from oriolestand_policy import ownership


@pytest.mark.parametrize('seed', range(50))
def test_converted_times_have_passed_on_both_clocks(seed):
    # Guards against a wait that ends too early, as the clocks differ in rate
    # or the response with the time was slow.
    rng = random.Random(seed)
    rate = rng.uniform(0.981, 1.019)
    offset_ms = rng.randrange(10**9)

    def read_store_clock(local_ms):
        return int(offset_ms + local_ms * rate)

    sent_ms = rng.randrange(100_000)
    read_ms = sent_ms + rng.randrange(1_500)
    received_ms = read_ms + rng.randrange(1_500)
    clock = ownership.StoreClock(
        sent_ms=sent_ms,
        received_ms=received_ms,
        store_ms=read_store_clock(read_ms),
    )
    deadline_ms = received_ms + rng.randrange(-3_000, 17_000)
    store_ms = clock.to_store_ms(deadline_ms)
    assert store_ms >= read_store_clock(deadline_ms)
    local_ms = clock.to_local_ms(store_ms)
    # The reading of a clock is rounded down.
    assert read_store_clock(local_ms + 1) >= store_ms
    assert local_ms >= deadline_ms


def test_time_that_has_passed_is_not_converted_to_an_earlier_one():
    # Guards against a conversion into the past, where no reading is known.
    clock = ownership.StoreClock(sent_ms=100, received_ms=150, store_ms=900)
    assert clock.to_store_ms(20) == 900
    assert clock.to_local_ms(5) == 150
