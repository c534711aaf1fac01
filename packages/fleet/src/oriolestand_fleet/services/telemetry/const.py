"""Constants of the telemetry service."""

DOMAIN = 'telemetry'

LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 600_000
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MAX_SERIES = 500
"""Limits memory use, as labels can contain values from requests."""

LOOP_CHECK_INTERVAL_MS = 500
"""How often the delay of the event loop is measured."""

LONG_LOOP_DELAY_MS = 500
"""A longer delay is logged: leases allow no more between their end and the
release of the tasks."""
