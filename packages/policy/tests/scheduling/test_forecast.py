"""Test the forecast of the load of service tasks."""

import math

import pytest

from oriolestand_policy.scheduling import _forecast

PERIOD_MS = 10_000


def load_at(when_ms, mean=0.5, height=0.2):
    """Return the load of a wave."""
    return mean + height * math.sin(2 * math.pi * when_ms / PERIOD_MS)


def filled(until_ms, period_ms=PERIOD_MS, disturbance=0.0):
    """Return a history of two tasks, one of them disturbed."""
    history = _forecast.LoadHistory()
    for now in range(0, until_ms, 200):
        load = load_at(now)
        history.add(load + disturbance, now, period_ms)
        history.add(load, now + 50, period_ms)
    return history


@pytest.mark.parametrize('period_ms', [4_500, 7_000, 10_000, 14_000, 20_000])
def test_period_is_found(period_ms):
    # Guards against a forecast that swings at another pace than the load.
    bins = [
        (t, 0.5 + 0.2 * math.cos(2 * math.pi * t / period_ms + 1))
        for t in range(0, 30_000, _forecast.BIN_MS)
    ]
    found = _forecast.find_period(bins)
    assert found == pytest.approx(period_ms, rel=_forecast.PERIOD_STEP - 1)


def test_no_period_is_found_in_noise_or_in_a_constant_load():
    # Guards against a forecast of waves where there are none.
    noise = [(n * 400, 0.5 + 0.1 * (hash((n, 7)) % 7 - 3)) for n in range(75)]
    assert _forecast.find_period(noise) is None
    assert _forecast.find_period([(n * 400, 0.5) for n in range(75)]) is None


def test_rise_is_forecast():
    # Guards against filling tasks that are added shortly before a peak.
    history = filled(20_000)
    assert history.is_known
    assert history.value(20_000) == pytest.approx(0.5, abs=0.06)
    assert history.peak(20_000, 2_500) == pytest.approx(0.7, abs=0.06)
    assert history.peak(25_000, 2_500) == pytest.approx(0.5, abs=0.06)


def test_disturbed_task_does_not_count():
    # Guards against harm of neighbours that is taken for own load.
    history = filled(20_000, disturbance=0.2)
    assert history.value(20_000) == pytest.approx(0.5, abs=0.06)


def test_load_counts_as_it_is_until_its_course_is_known():
    # Guards against a forecast from a part of a wave.
    history = filled(3_000)
    assert not history.is_known
    assert history.peak(3_000, 5_000) == pytest.approx(
        load_at(2_800), abs=0.08
    )
    assert not filled(20_000, period_ms=None).is_known


def test_constant_load_is_known_without_a_period():
    # Guards against a margin for waves that never come.
    history = _forecast.LoadHistory()
    for now in range(0, 8_000, 200):
        history.add(0.4, now, None)
    assert history.is_known
    assert history.peak(8_000, 5_000) == pytest.approx(0.4)


def test_level_that_changes_moves_the_forecast():
    # Guards against a forecast that ignores that the load has doubled.
    history = filled(20_000)
    for now in range(20_000, 21_600, 200):
        history.add(load_at(now) + 0.2, now, PERIOD_MS)
    assert history.value(21_600) > load_at(21_600) + 0.1


def test_jobs_are_searched_in_turn():
    # Guards against one odd job that sets the period for all.
    search = _forecast.PeriodSearch()
    odd = _forecast.LoadHistory()
    histories = [filled(25_000), odd, filled(25_000)]
    for now in range(0, 10_000, 100):
        search.run(histories, now)
    assert search.period_ms == pytest.approx(PERIOD_MS, rel=0.04)
