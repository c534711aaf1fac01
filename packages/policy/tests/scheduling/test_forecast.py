"""Test the load forecast for service tasks."""

import math
import random
import statistics

import pytest

from oriolestand_policy.scheduling import _forecast

PERIOD_MS = 10_000


def wave_load(when_ms, mean=0.5, height=0.2):
    """Return the load of a sine wave."""
    return mean + height * math.sin(2 * math.pi * when_ms / PERIOD_MS)


def make_history(until_ms, period_ms=PERIOD_MS, disturbance=0.0):
    """Return the load history of two tasks, one of them disturbed."""
    history = _forecast.LoadHistory()
    for now in range(0, until_ms, 200):
        load = wave_load(now)
        history.add(load + disturbance, now, period_ms)
        history.add(load, now + 50, period_ms)
    return history


@pytest.mark.parametrize('period_ms', [4_500, 7_000, 10_000, 14_000, 20_000])
def test_period_is_found(period_ms):
    # Guards against a forecast with a period other than that of the load.
    bins = [
        (t, 0.5 + 0.2 * math.cos(2 * math.pi * t / period_ms + 1))
        for t in range(0, 30_000, _forecast.BIN_MS)
    ]
    found = _forecast.find_period(bins)
    assert found == pytest.approx(period_ms, rel=_forecast.PERIOD_STEP - 1)


def test_no_period_is_found_in_noise_or_in_a_constant_load():
    # Guards against a forecast of waves for a load that has none.
    noise = [(n * 400, 0.5 + 0.1 * (hash((n, 7)) % 7 - 3)) for n in range(75)]
    assert _forecast.find_period(noise) is None
    assert _forecast.find_period([(n * 400, 0.5) for n in range(75)]) is None


def test_rise_is_forecast():
    # Guards against placing filling tasks shortly before a peak.
    history = make_history(20_000)
    assert history.has_forecast
    assert history.value(20_000) == pytest.approx(0.5, abs=0.06)
    assert history.peak(20_000, 2_500) == pytest.approx(0.7, abs=0.06)
    assert history.peak(25_000, 2_500) == pytest.approx(0.5, abs=0.06)


def test_disturbed_task_does_not_count():
    # Guards against counting load that neighbours add as intrinsic load.
    history = make_history(20_000, disturbance=0.2)
    assert history.value(20_000) == pytest.approx(0.5, abs=0.06)


def test_latest_load_is_used_until_a_forecast_exists():
    # Guards against a forecast that is fitted to part of a wave.
    history = make_history(3_000)
    assert not history.has_forecast
    assert history.peak(3_000, 5_000) == pytest.approx(
        wave_load(2_800), abs=0.08
    )
    assert not make_history(20_000, period_ms=None).has_forecast


def test_constant_load_is_forecast_without_a_period():
    # Guards against a margin for variation in a constant load.
    history = _forecast.LoadHistory()
    for now in range(0, 8_000, 200):
        history.add(0.4, now, None)
    assert history.has_forecast
    assert history.peak(8_000, 5_000) == pytest.approx(0.4)


def test_change_of_level_moves_the_forecast():
    # Guards against a forecast that ignores a sudden rise of the load.
    history = make_history(20_000)
    for now in range(20_000, 21_600, 200):
        history.add(wave_load(now) + 0.2, now, PERIOD_MS)
    assert history.value(21_600) > wave_load(21_600) + 0.1


def test_jobs_are_searched_in_turn():
    # Guards against one atypical job that sets the period for all jobs.
    search = _forecast.PeriodSearch()
    odd = _forecast.LoadHistory()
    histories = [make_history(25_000), odd, make_history(25_000)]
    for now in range(0, 10_000, 100):
        search.run(histories, now)
    assert search.period_ms == pytest.approx(PERIOD_MS, rel=0.04)


def reference_is_steady(bins):
    loads = [load for _, load in bins]
    return statistics.pvariance(loads) < _forecast.STEADY_VARIANCE


@pytest.mark.parametrize('seed', range(20))
def test_steady_loads_are_told_as_by_exact_variance(seed):
    # Guards against a rounding error that decides for loads at the threshold.
    rng = random.Random(seed)
    deviation = math.sqrt(_forecast.STEADY_VARIANCE)
    for _ in range(50):
        mean = rng.random()
        factor = rng.choice([1.0, 1.0, 1.0 + 1e-12, rng.uniform(0.5, 2.0)])
        count = rng.randrange(5, 38)
        loads = [mean - factor * deviation, mean + factor * deviation] * count
        bins = list(enumerate(loads))
        assert _forecast.is_steady(bins) == reference_is_steady(bins)


def reference_peak(wave, begin_ms, end_ms):
    peak_phase = math.atan2(wave.sine, wave.cosine) / (2 * math.pi)
    cycles = math.ceil(begin_ms / wave.period_ms - peak_phase)
    if (cycles + peak_phase) * wave.period_ms <= end_ms:
        return wave.mean + math.hypot(wave.sine, wave.cosine)
    return max(wave.at(begin_ms), wave.at(end_ms))


@pytest.mark.parametrize('seed', range(20))
def test_peak_of_a_wave_equals_the_peak_without_kept_values(seed):
    # Guards against a kept peak that differs from that of the wave.
    rng = random.Random(seed)
    for _ in range(200):
        wave = _forecast.Wave(
            period_ms=rng.choice([8, rng.uniform(4_000, 30_000)]),
            mean=rng.random(),
            sine=rng.choice([0.0, 0.2, rng.uniform(-1, 1)]),
            cosine=rng.choice([0.0, rng.uniform(-1, 1)]),
        )
        begin = rng.randrange(100_000)
        end = begin + rng.choice([0, 0, 700, 1_200])
        assert wave.peak(begin, end) == reference_peak(wave, begin, end)
