"""Messages to the ``telemetry`` service."""

import dataclasses

SERVICE = 'telemetry'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Count:
    """Add to a counter; each ``label`` has its own series."""

    name: str
    label: str = ''
    amount: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observe:
    """Record a latency in milliseconds in a histogram."""

    name: str
    label: str
    latency_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetGauge:
    """Set the value of a gauge."""

    name: str
    label: str
    value: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetMetrics:
    """Request all metrics in the Prometheus text format."""
