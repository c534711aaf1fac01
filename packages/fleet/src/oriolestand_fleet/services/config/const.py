"""Constants of the config service."""

DOMAIN = 'config'

FOLLOW_WAIT_MS = 1_000
"""Well below the time within which a change must take effect everywhere."""

EVACUATION_READ_MS = 250
"""Time between reads of the evacuations while configurations are not read."""

RETURN_KEPT_MS = 60_000
"""How long the return of a failure domain is published, also to a new owner.
Its workers fill up within half of it."""

RETRY_MS = 150

RESTART_MS = 1_000
"""Delay before a loop that ended with an unexpected error is started again."""

LARGE_CONFIG_BYTES = 65_536
"""The change feed sends every version. After a change of this size the newest
version is read instead, as the versions that followed it would be sent too."""

BURST_GAP_MS = 2_000
"""Changes closer than this are part of a burst; then, too, only the newest
version is read."""

MIN_BURST_PAUSE_MS = 200
MAX_BURST_PAUSE_MS = 1_000
"""Bounds of the pause between reads of the newest version during a burst; the
longest one leaves time for the transfer within the users' four seconds."""

BURST_BYTES_PER_MS = 360
"""Rate that the pause limits the reads of a burst to."""
