"""Measure the slowdown of services that run beside batch tasks."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

LATENCY_SMOOTHING = 0.05
"""Weight of a new sample in the moving average of a route's latency."""
MIN_LATENCY_MS = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Window:
    """Sum and count of slowdowns at one upstream since the last report."""

    total: float = 0.0
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slowdown:
    """Mean slowdown of the services at one upstream.

    A slowdown of 1 means the usual latency of a route, which is measured at
    upstreams without batch tasks. ``services`` is the number of service
    requests measured.
    """

    address: str
    slowdown: float
    services: int


class SlowdownMeter:
    """Compares latencies with the usual latency of their route.

    >>> meter = SlowdownMeter()
    >>> meter.observe('a', 'quick', 10.0, has_tasks=False)
    >>> meter.observe('b', 'quick', 15.0, has_tasks=True)
    >>> [(s.address, s.slowdown) for s in meter.collect({'b': {}})]
    [('b', 1.5)]
    """

    def __init__(self) -> None:
        self._usual_latencies: dict[str, float] = {}
        self._windows: dict[str, _Window] = {}

    def observe(
        self, address: str, route: str, latency_ms: float, has_tasks: bool
    ) -> None:
        """Record the latency of a successful service request."""
        latency = max(latency_ms, MIN_LATENCY_MS)
        usual = self._usual_latencies.get(route)
        if not has_tasks:
            previous = usual or latency
            self._usual_latencies[route] = previous + LATENCY_SMOOTHING * (
                latency - previous
            )
        elif usual is not None:
            window = self._windows.setdefault(address, _Window())
            window.total += latency / usual
            window.count += 1

    def forget_routes(self, names: Mapping[str, object]) -> None:
        """Drop the usual latencies of all routes except the given ones."""
        self._usual_latencies = {
            k: v for k, v in self._usual_latencies.items() if k in names
        }

    def collect(self, addresses: Mapping[str, object]) -> Iterator[Slowdown]:
        """Yield the slowdowns at the given upstreams and reset all sums."""
        windows, self._windows = self._windows, {}
        for address, window in windows.items():
            if address in addresses:
                yield Slowdown(
                    address=address,
                    slowdown=window.total / window.count,
                    services=window.count,
                )
