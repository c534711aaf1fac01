"""Define questions to the telemetry service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetMetrics:
    """Ask for all metrics in Prometheus text format, as ``bytes``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetTrace:
    """Ask for the kept spans of a trace, as a tuple of data classes."""

    trace_id: str
