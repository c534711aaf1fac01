"""Define constants of the cell service."""

DOMAIN = 'cell'

DECIDE_DELAY_MS = 5
"""Answers that arrive close together lead to one round of decisions."""

DECIDE_WORKERS_PER_MS = 10
"""A round of decisions passes over all workers: in a larger fleet it waits a
millisecond longer for this many workers, so that rounds do not take all of a
slow processor."""

TICK_MS = 200
GAUGE_INTERVAL_MS = 1_000
LOOK_WAIT_MS = 1_000
"""Long enough to keep looks few, short enough for leases of seconds."""

MIXED_LOOK_WAIT_MS = 500
"""Users of a service task are harmed after a few seconds, so that workers
with neighbours beside service tasks are looked at more often."""

LOOK_RETRY_MS = 250
LOOK_PAUSE_MS = 250
"""Pause between looks while ends cannot be written to the store."""

FOLLOW_WAIT_MS = 1_000
RETRY_MS = 150

CLAIM_JITTER_MS = 120
FAR_DELAY_MS = 500
"""Daemons far from the store claim the cell later."""

FAR_LATENCY_MS = 25
CLAIM_RETRY_MS = 300

SAVE_BATCH = 40
"""Records in one commit; the store takes up to 100 entries."""

SAVE_RETRY_MS = 150

SWEEP_INTERVAL_MS = 10_000
SWEEP_BATCH = 20
RETENTION_MARGIN_MS = 30_000
"""Covers clocks that differ between daemons."""

PRESSURE_INTERVAL_MS = 3_000
"""What is learned of neighbours is written at most this often; a successor
would need some ten seconds to learn it again."""
