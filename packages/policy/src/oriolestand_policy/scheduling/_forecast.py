"""Forecast the intrinsic load of a service job.

The intrinsic load comes from a service's own requests, which rise and fall
periodically. A wave fitted to it predicts how long a filling task can run
beside a service task, and separates the intrinsic load of a service task from
the load that its neighbours add.
"""

import collections
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import math
import statistics

BIN_MS = 400
"""Width of the bins into which the loads of all tasks of a job are merged;
each bin covers several reports of each task."""

WINDOW_BINS = 75
"""Number of bins that a fit uses: 30 s, or about three periods."""

MIN_BINS = 10
SHORTEST_PERIOD_MS = 4_000
LONGEST_PERIOD_MS = 30_000
PERIOD_STEP = 1.04
"""Ratio between successive candidate periods. Over three periods, the nearest
candidate is off by at most an eighth of a period."""

MIN_SPAN = 1.1
"""Number of periods that the data must span before a period is accepted, as
a section of a long wave resembles a short one."""

MIN_FIT_SPAN = 0.4
"""Share of a known period that the data must span before a wave is fitted."""

RIDGE = 0.01
"""Ridge regularization per data point. It shrinks waves towards a constant,
as a fit to a short section would extrapolate to extremes."""

MIN_EXPLAINED = 0.6
"""Share of the variance (R squared) that a wave must explain to be used."""

STEADY_VARIANCE = 0.0009
"""Variance below which a load counts as constant; rounding of the reported
values alone can cause this much."""

VARIANCE_TOLERANCE = 1e-9
"""Far above the rounding error of a variance of loads from 0 to 1."""

RECENT_BINS = 3
"""Number of latest bins whose mean error corrects a forecast."""

SEARCH_INTERVAL_MS = 700
"""Minimum time between two searches for the period; one takes about 10 ms on
a slow processor."""

PERIODS_KEPT = 7

Bins = Sequence[tuple[int, float]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """A load that varies as a sine wave around a mean.

    ``explained`` is the share of the variance that the wave explains.
    ``peak_phase`` is the time of a peak in periods, and ``height`` the load
    above the mean at a peak.
    """

    period_ms: float
    mean: float
    sine: float = 0.0
    cosine: float = 0.0
    explained: float = 1.0
    peak_phase: float = dataclasses.field(init=False)
    height: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Calculate the peak once, as forecasts ask for it often."""
        phase = math.atan2(self.sine, self.cosine) / (2 * math.pi)
        object.__setattr__(self, 'peak_phase', phase)
        height = math.hypot(self.sine, self.cosine)
        object.__setattr__(self, 'height', height)

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
        """Return the highest load between two times.

        >>> round(Wave(period_ms=8, mean=0.5, sine=0.2).peak(1, 3), 3)
        0.7
        >>> round(Wave(period_ms=8, mean=0.5, sine=0.2).peak(3, 5), 3)
        0.641
        """
        cycles = math.ceil(begin_ms / self.period_ms - self.peak_phase)
        if (cycles + self.peak_phase) * self.period_ms <= end_ms:
            return self.mean + self.height
        if begin_ms == end_ms:
            return self.at(begin_ms)
        return max(self.at(begin_ms), self.at(end_ms))


def fit_wave(bins: Bins, period_ms: float) -> Wave:
    """Return the least-squares fit of a wave with a given period."""
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
    # Normal equations of the sine and cosine terms, centred on the mean.
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
    """Return the period in milliseconds that explains the loads best.

    Return None if the data are too short or steady, or if no period explains
    enough of the variance.
    """
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
    """Return whether the loads are nearly constant."""
    loads = [load for _, load in bins]
    mean = math.fsum(loads) / len(loads)
    variance = math.fsum((load - mean) ** 2 for load in loads) / len(loads)
    if abs(variance - STEADY_VARIANCE) < VARIANCE_TOLERANCE:
        # ``statistics`` calculates with fractions: exact, but slow.
        variance = statistics.pvariance(loads)
    return variance < STEADY_VARIANCE


class LoadHistory:
    """Recent loads of one service job, and a wave fitted to them.

    All tasks of a job have the same intrinsic load at a time, so each bin
    keeps the lowest load reported, from the least disturbed task. The wave is
    fitted when it is read: without filling tasks nothing reads it, and a fit
    for each bin would take most of the time of an owner of quiet workers.
    """

    def __init__(self) -> None:
        self.bins: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=WINDOW_BINS
        )
        self._fitted: Wave | None = None
        self._offset = 0.0
        self._is_outdated = False
        self._period_ms: float | None = None
        # The bin that the latest one has displaced; the fit includes it.
        self._displaced: tuple[int, float] | None = None

    def add(self, load: float, now_ms: int, period_ms: float | None) -> None:
        """Add the load of one task; ``period_ms`` is None while unknown."""
        begin = now_ms - now_ms % BIN_MS
        if self.bins and self.bins[-1][0] == begin:
            load = min(load, self.bins[-1][1])
            self.bins[-1] = (begin, load)
            return
        self._is_outdated = True
        self._period_ms = period_ms
        is_full = len(self.bins) == WINDOW_BINS
        self._displaced = self.bins[0] if is_full else None
        self.bins.append((begin, load))

    @property
    def _wave(self) -> Wave | None:
        """Return the wave of the completed bins, fitted if they changed."""
        if self._is_outdated:
            self._is_outdated = False
            self._fit(self._period_ms)
        return self._fitted

    def _fit(self, period_ms: float | None) -> None:
        """Fit the wave again to the bins before the latest one."""
        self._fitted = None
        bins = list(self.bins)[:-1]
        if self._displaced is not None:
            bins.insert(0, self._displaced)
        if len(bins) < MIN_BINS:
            return
        if is_steady(bins):
            mean = statistics.fmean(load for _, load in bins)
            wave = Wave(period_ms=LONGEST_PERIOD_MS, mean=mean)
        else:
            span = bins[-1][0] - bins[0][0]
            if period_ms is None or span < MIN_FIT_SPAN * period_ms:
                return
            wave = fit_wave(bins, period_ms)
        if wave.explained < MIN_EXPLAINED:
            return
        self._fitted = wave
        recent = bins[-RECENT_BINS:]
        self._offset = statistics.fmean(
            load - wave.at(when) for when, load in recent
        )

    @property
    def has_forecast(self) -> bool:
        """Return whether a wave has been fitted to forecast the load."""
        return self._wave is not None

    @property
    def has_few_bins(self) -> bool:
        """Return whether there are too few bins to tell the intrinsic load."""
        return len(self.bins) < MIN_BINS

    def value(self, now_ms: int) -> float:
        """Return the estimated load at present."""
        return self.peak(now_ms, 0)

    def peak(self, now_ms: int, ahead_ms: int) -> float:
        """Return the highest load expected within the next ``ahead_ms``."""
        wave = self._wave
        if wave is not None:
            # Bins are timed by their start, on average half a bin before the
            # reports in them.
            now_ms -= BIN_MS // 2
            return self._offset + wave.peak(now_ms, now_ms + ahead_ms)
        if not self.bins:
            return 0.0
        if len(self.bins) == 1:
            return self.bins[-1][1]
        return min(self.bins[-1][1], self.bins[-2][1])


class PeriodSearch:
    """Find the period that the loads of all service jobs share.

    ``period_ms`` is the median of the last periods found, or None.
    """

    def __init__(self) -> None:
        self._periods: collections.deque[float] = collections.deque(
            maxlen=PERIODS_KEPT
        )
        self._next_ms = 0
        self._next_index = 0
        self.period_ms: float | None = None

    def add(self, period_ms: float) -> None:
        """Add a period, found here or restored from a former owner."""
        self._periods.append(period_ms)
        self.period_ms = statistics.median(self._periods)

    def run(self, histories: Collection[LoadHistory], now_ms: int) -> None:
        """Search the history of the next job in turn, if a search is due."""
        if now_ms < self._next_ms or not histories:
            return
        self._next_ms = now_ms + SEARCH_INTERVAL_MS
        self._next_index += 1
        history = list(histories)[self._next_index % len(histories)]
        period = find_period(history.bins)
        if period is not None:
            self.add(period)
