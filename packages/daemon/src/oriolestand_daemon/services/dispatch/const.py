"""Define constants of the dispatch service."""

DOMAIN = 'dispatch'

TICK_INTERVAL_MS = 50
LOAD_INTERVAL_MS = 200
"""How often free slots are advertised to peers."""

USAGE_INTERVAL_MS = 2_000
"""How often the slowdown of services beside batch tasks is judged."""
