"""Test that loads are forecast as if each bin were followed by a fit.

Guards against a forecast from other bins, or with another period, than those
known when the latest bin began.
"""

import math
import random

import pytest

from oriolestand_policy.scheduling import _forecast

STEPS = 1_500


class EagerHistory(_forecast.LoadHistory):
    """Fits the wave whenever a bin is complete."""

    def add(self, load, now_ms, period_ms):
        """Add a load and read the wave at once."""
        super().add(load, now_ms, period_ms)
        assert self.has_forecast in (False, True)


class ReferenceHistory:
    """Fits the wave to the completed bins before it adds one."""

    def __init__(self):
        self.bins = []
        self.wave = None
        self.offset = 0.0

    def add(self, load, now_ms, period_ms):
        """Add a load."""
        begin = now_ms - now_ms % _forecast.BIN_MS
        if self.bins and self.bins[-1][0] == begin:
            self.bins[-1] = (begin, min(load, self.bins[-1][1]))
            return
        self.fit(period_ms)
        self.bins.append((begin, load))
        self.bins = self.bins[-_forecast.WINDOW_BINS :]

    def fit(self, period_ms):
        """Fit the wave to all bins."""
        bins, self.wave = self.bins, None
        if len(bins) < _forecast.MIN_BINS:
            return
        if _forecast.is_steady(bins):
            mean = math.fsum(load for _, load in bins) / len(bins)
            wave = _forecast.Wave(
                period_ms=_forecast.LONGEST_PERIOD_MS, mean=mean
            )
        else:
            span = bins[-1][0] - bins[0][0]
            if period_ms is None or (
                span < _forecast.MIN_FIT_SPAN * period_ms
            ):
                return
            wave = _forecast.fit_wave(bins, period_ms)
        if wave.explained < _forecast.MIN_EXPLAINED:
            return
        self.wave = wave
        recent = bins[-_forecast.RECENT_BINS :]
        errors = [load - wave.at(when) for when, load in recent]
        self.offset = math.fsum(errors) / len(errors)


@pytest.mark.parametrize('seed', range(6))
def test_forecast_is_the_same_however_rarely_it_is_read(seed):
    rng = random.Random(seed)
    history, eager = _forecast.LoadHistory(), EagerHistory()
    reference = ReferenceHistory()
    period_ms = None
    amplitude = rng.choice((0.0, 0.2))
    now_ms = 10_000
    forecasts = 0
    for _ in range(STEPS):
        now_ms += rng.choice((5, 120, 350, 450))
        load = 0.5 + amplitude * math.sin(2 * math.pi * now_ms / 9_000)
        load += rng.uniform(-0.02, 0.02)
        if rng.random() < 0.02:
            period_ms = rng.choice((None, 8_900.0, 9_000.0, 9_100.0))
        for each in (history, eager, reference):
            each.add(load, now_ms, period_ms)
        if rng.random() < 0.8:
            continue
        assert history.has_forecast == (reference.wave is not None)
        assert history.has_forecast == eager.has_forecast
        assert history.peak(now_ms, 1_200) == eager.peak(now_ms, 1_200)
        if reference.wave is None:
            continue
        forecasts += 1
        begin_ms = now_ms - _forecast.BIN_MS // 2
        assert history.peak(now_ms, 1_200) == (
            reference.offset + reference.wave.peak(begin_ms, begin_ms + 1_200)
        )
    assert forecasts > 20
