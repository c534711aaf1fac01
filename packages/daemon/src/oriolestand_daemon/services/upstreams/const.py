"""Define constants of the upstreams service."""

DOMAIN = 'upstreams'

CONNECT_TIMEOUT_MS = 1_000
IDLE_CONNECTIONS_PER_UPSTREAM = 8

HEADER_DEADLINE = 'Oriolestand-Deadline-Ms'
HEADER_LEAVING = 'Oriolestand-Leaving'
HEADER_VERDICT = 'Oriolestand-Verdict'
