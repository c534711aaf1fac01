"""Define constants of the telemetry service."""

DOMAIN = 'telemetry'

LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 3_600_000
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

SERIES_LIMIT = 1_024
"""Maximum number of series, one per route, pool and verdict.

Requests beyond the limit are counted with route and pool ``_other``.
"""

PENDING_LIMIT = 512
"""Number of distinct pending latencies at which a series is flushed."""
