"""Define constants of the telemetry service."""

DOMAIN = 'telemetry'

LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 3_600_000
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

SERIES_LIMIT = 1_024
"""How many combinations of route, pool and verdict get a histogram.

Requests beyond the limit are counted under the route ``_other``.
"""

PENDING_LIMIT = 512
"""How many distinct latencies wait for the histogram of a series."""
