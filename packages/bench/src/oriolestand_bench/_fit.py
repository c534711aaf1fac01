"""Time function calls and fit lines to the measurements."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time

MICROS_PER_SECOND = 1_000_000
REPEATS = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """A fitted line, ``value = base + slope * size``."""

    base: float
    slope: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through (size, value) points.

    >>> fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    Line(base=1.0, slope=2.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(base=mean_y - slope * mean_x, slope=slope)


def measure_call_us(func: Callable[[], object], calls: int) -> float:
    """Return the time per call in microseconds, the best of ``REPEATS``."""
    best = float('inf')
    for _ in range(REPEATS):
        begin = time.perf_counter()
        for _ in range(calls):
            func()
        best = min(best, time.perf_counter() - begin)
    return best / calls * MICROS_PER_SECOND
