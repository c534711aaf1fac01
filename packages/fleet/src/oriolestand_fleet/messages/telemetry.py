"""Define the messages to the service ``telemetry``."""

import dataclasses

SERVICE = 'telemetry'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Count:
    """Add to a counter; ``label`` tells its series apart."""

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
    """Ask for all metrics as text in the Prometheus format."""
