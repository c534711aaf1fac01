"""Forecast the load that a service job brings itself.

The requests to a service rise and fall in waves. A wave that is known says
for how long a filling task may run beside a service task, and it tells the
load of the service task from what its neighbours add.
"""

import collections
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import math
import statistics

BIN_MS = 400
"""Loads of all tasks of a job are joined over this time; several reports of
each task fall into it."""

WINDOW_BINS = 75
"""Loads that a fit uses: 30 s, or some three waves."""

MIN_BINS = 10
SHORTEST_PERIOD_MS = 4_000
LONGEST_PERIOD_MS = 30_000
PERIOD_STEP = 1.04
"""Ratio of two periods tried one after the other: over three waves a fit
with the next best period is off by an eighth of a wave at most."""

MIN_SPAN = 1.1
"""Share of a period that must have been seen before it is believed. A part
of a long wave looks like a short one."""

MIN_FIT_SPAN = 0.4
"""Share of a known period that must have been seen before a wave is fitted."""

RIDGE = 0.01
"""Pulls waves that are seen in part towards a constant, by this share of the
loads, as a short part would extrapolate to extremes."""

MIN_EXPLAINED = 0.6
"""Share of the variance that a wave must explain to be used."""

STEADY_VARIANCE = 0.0009
"""Loads that vary less count as constant; rounding alone does that."""

RECENT_BINS = 3
"""Latest loads that correct a forecast."""

SEARCH_INTERVAL_MS = 700
"""A search for the period takes some 10 ms of a slow processor."""

SEARCHES_KEPT = 7

Bins = Sequence[tuple[int, float]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Describe a load that rises and falls around a mean."""

    period_ms: float
    mean: float
    sine: float = 0.0
    cosine: float = 0.0
    explained: float = 1.0

    def at(self, when_ms: float) -> float:
        """Return the load at a time.

        >>> round(Wave(period_ms=8, mean=0.5, sine=0.2).at(2), 3)
        0.7
        """
        angle = 2 * math.pi * when_ms / self.period_ms
        return (
            self.mean
            + self.sine * math.sin(angle)
            + self.cosine * math.cos(angle)
        )

    def peak(self, begin_ms: float, end_ms: float) -> float:
        """Return the highest load within a time.

        >>> round(Wave(period_ms=8, mean=0.5, sine=0.2).peak(1, 3), 3)
        0.7
        >>> round(Wave(period_ms=8, mean=0.5, sine=0.2).peak(3, 5), 3)
        0.641
        """
        top = math.atan2(self.sine, self.cosine) / (2 * math.pi)
        waves = math.ceil(begin_ms / self.period_ms - top)
        if (waves + top) * self.period_ms <= end_ms:
            return self.mean + math.hypot(self.sine, self.cosine)
        return max(self.at(begin_ms), self.at(end_ms))


def fit_wave(bins: Bins, period_ms: float) -> Wave:
    """Return the wave of a period that is closest to loads."""
    count = len(bins)
    mean = math.fsum(load for _, load in bins) / count
    sin_sum = cos_sum = sin_sin = cos_cos = sin_cos = 0.0
    sin_load = cos_load = variance = 0.0
    for when, load in bins:
        angle = 2 * math.pi * when / period_ms
        sin, cos = math.sin(angle), math.cos(angle)
        load -= mean
        sin_sum += sin
        cos_sum += cos
        sin_sin += sin * sin
        cos_cos += cos * cos
        sin_cos += sin * cos
        sin_load += sin * load
        cos_load += cos * load
        variance += load * load
    # Normal equations of the two waves, after the mean is taken out.
    a = sin_sin - sin_sum * sin_sum / count + RIDGE * count
    b = sin_cos - sin_sum * cos_sum / count
    d = cos_cos - cos_sum * cos_sum / count + RIDGE * count
    determinant = a * d - b * b
    sine = (d * sin_load - b * cos_load) / determinant
    cosine = (a * cos_load - b * sin_load) / determinant
    explained = sine * sin_load + cosine * cos_load
    return Wave(
        period_ms=period_ms,
        mean=mean - (sine * sin_sum + cosine * cos_sum) / count,
        sine=sine,
        cosine=cosine,
        explained=explained / variance if variance > 0 else 1.0,
    )


def find_period(bins: Bins) -> float | None:
    """Return the period in milliseconds that explains loads best, or None."""
    if len(bins) < MIN_BINS or is_steady(bins):
        return None
    span = bins[-1][0] - bins[0][0]
    best: Wave | None = None
    period = float(SHORTEST_PERIOD_MS)
    while period <= LONGEST_PERIOD_MS and span >= MIN_SPAN * period:
        wave = fit_wave(bins, period)
        if best is None or wave.explained > best.explained:
            best = wave
        period *= PERIOD_STEP
    if best is None or best.explained < MIN_EXPLAINED:
        return None
    return best.period_ms


def is_steady(bins: Bins) -> bool:
    """Return whether loads hardly vary."""
    loads = [load for _, load in bins]
    return statistics.pvariance(loads) < STEADY_VARIANCE


class LoadHistory:
    """Keep the loads of the tasks of one service job.

    All tasks of a job have the same load of their own at a time, so that
    the least disturbed one tells it.
    """

    def __init__(self) -> None:
        self.bins: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=WINDOW_BINS
        )
        self._wave: Wave | None = None
        self._offset = 0.0

    def add(self, load: float, now_ms: int, period_ms: float | None) -> None:
        """Take over the load of one task."""
        begin = now_ms - now_ms % BIN_MS
        if self.bins and self.bins[-1][0] == begin:
            load = min(load, self.bins[-1][1])
            self.bins[-1] = (begin, load)
            return
        self._fit(period_ms)
        self.bins.append((begin, load))

    def _fit(self, period_ms: float | None) -> None:
        """Fit the wave again to the loads that are complete."""
        self._wave = None
        if self.is_short:
            return
        if is_steady(self.bins):
            mean = statistics.fmean(load for _, load in self.bins)
            wave = Wave(period_ms=LONGEST_PERIOD_MS, mean=mean)
        else:
            span = self.bins[-1][0] - self.bins[0][0]
            if period_ms is None or span < MIN_FIT_SPAN * period_ms:
                return
            wave = fit_wave(self.bins, period_ms)
        if wave.explained < MIN_EXPLAINED:
            return
        self._wave = wave
        recent = list(self.bins)[-RECENT_BINS:]
        self._offset = statistics.fmean(
            load - wave.at(when) for when, load in recent
        )

    @property
    def is_known(self) -> bool:
        """Return whether the course of the load is known."""
        return self._wave is not None

    @property
    def is_short(self) -> bool:
        """Return whether too little was seen to tell the own load."""
        return len(self.bins) < MIN_BINS

    def value(self, now_ms: int) -> float:
        """Return the load at present."""
        return self.peak(now_ms, 0)

    def peak(self, now_ms: int, ahead_ms: int) -> float:
        """Return the highest load expected up to a time ahead."""
        if self._wave is not None:
            # A bin stands for all reports up to its end.
            now_ms -= BIN_MS // 2
            return self._offset + self._wave.peak(now_ms, now_ms + ahead_ms)
        if not self.bins:
            return 0.0
        if len(self.bins) == 1:
            return self.bins[-1][1]
        return min(self.bins[-1][1], self.bins[-2][1])


class PeriodSearch:
    """Find the period that the loads of all service jobs have in common."""

    def __init__(self) -> None:
        self._found: collections.deque[float] = collections.deque(
            maxlen=SEARCHES_KEPT
        )
        self._next_ms = 0
        self._turn = 0

    @property
    def period_ms(self) -> float | None:
        """Return the period, or None while it is not known."""
        return statistics.median(self._found) if self._found else None

    def add(self, period_ms: float) -> None:
        """Take over a period that was found before."""
        self._found.append(period_ms)

    def run(self, histories: Collection[LoadHistory], now_ms: int) -> None:
        """Search the loads of one job, in turn, when that is due."""
        if now_ms < self._next_ms or not histories:
            return
        self._next_ms = now_ms + SEARCH_INTERVAL_MS
        self._turn += 1
        history = list(histories)[self._turn % len(histories)]
        period = find_period(history.bins)
        if period is not None:
            self.add(period)
