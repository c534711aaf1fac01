"""Measure how much services slow down beside batch tasks."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

USUAL_GAIN = 0.05
MIN_LATENCY_MS = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Window:
    """Sum the slowdowns of one upstream since the last report."""

    total: float = 0.0
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slowdown:
    """Hold the mean slowdown of the services at one upstream.

    1 is the usual time of a route, measured at upstreams without tasks.
    """

    address: str
    slowdown: float
    services: int


class SlowdownMeter:
    """Compare latencies with the usual one of their route.

    >>> meter = SlowdownMeter()
    >>> meter.observe('a', 'quick', 10.0, has_tasks=False)
    >>> meter.observe('b', 'quick', 15.0, has_tasks=True)
    >>> [(s.address, s.slowdown) for s in meter.collect({'b': {}})]
    [('b', 1.5)]
    """

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}
        self._windows: dict[str, _Window] = {}

    def observe(
        self, address: str, route: str, latency_ms: float, has_tasks: bool
    ) -> None:
        """Add a service request that ended well at an upstream."""
        latency = max(latency_ms, MIN_LATENCY_MS)
        usual = self._usual.get(route)
        if not has_tasks:
            former = usual or latency
            self._usual[route] = former + USUAL_GAIN * (latency - former)
        elif usual is not None:
            window = self._windows.setdefault(address, _Window())
            window.total += latency / usual
            window.count += 1

    def forget_routes(self, names: Mapping[str, object]) -> None:
        """Keep the usual times of the named routes only."""
        self._usual = {k: v for k, v in self._usual.items() if k in names}

    def collect(self, addresses: Mapping[str, object]) -> Iterator[Slowdown]:
        """Yield the slowdowns at some upstreams and begin anew."""
        windows, self._windows = self._windows, {}
        for address, window in windows.items():
            if address in addresses:
                yield Slowdown(
                    address=address,
                    slowdown=window.total / window.count,
                    services=window.count,
                )
