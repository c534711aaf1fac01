"""Constants of the dispatch service."""

DOMAIN = 'dispatch'

TICK_INTERVAL_MS = 50
LOAD_INTERVAL_MS = 200
"""Interval at which changed free slots are advertised to peers."""

USAGE_INTERVAL_MS = 2_000
"""Interval of reports on the slowdown of services by batch tasks."""
