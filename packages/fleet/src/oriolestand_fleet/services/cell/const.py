"""Constants of the cell service."""

DOMAIN = 'cell'

ROUND_DELAY_MS = 5
"""Worker reports that arrive within this time share one scheduling round."""

WORKERS_PER_MS_OF_DELAY = 10
"""A scheduling round visits all workers. Its delay grows by one millisecond
for each group of this many workers, so that rounds do not use up a slow
processor in a large fleet."""

EVENT_COUNTERS = {
    'worker_crashed': 'worker_crashes',
    'worker_lost': 'worker_losses',
    'task_suspected': 'tasks_suspected',
    'task_cleared': 'tasks_cleared',
    'task_given_up': 'tasks_given_up',
    'late_ends': 'late_end_reports',
}
"""Counters of events of the scheduler; their label is the reason."""

WARNING_EVENTS = frozenset({'lease_over', 'lease_lapses', 'late_ends'})
"""Events of the scheduler that are rare and explain why tasks start again, so
the limit on log lines of single runs must not drop them."""

NEXT_PASS_MS = 0
"""A timer with this delay is called in the next pass of the reactor. Each pass
calls the due timers before it reads from sockets, up to 64 KB from each. The
report of a worker with 500 ends has about 33 KB, so that one pass reads it;
for larger ones see ``ReportBegun``."""

SEND_BUDGET_MS = 20
"""Time for which orders are sent before the event loop reads reports again."""

TICK_MS = 200
FULL_POOLS_INTERVAL_MS = 1_000
"""As often as the owner publishes them with its renewals."""

GAUGE_INTERVAL_MS = 1_000
IDLE_LOG_INTERVAL_MS = 5_000
LOGGED_IDLE_SHARE = 0.25
"""Share of a pool's processors above which it is logged that they are idle
while tasks wait."""

TAKEOVER_REPORT_INTERVAL_MS = 1_000

MAX_LOGGED_WORKERS = 10
"""Maximum number of worker ids in one log line."""

POLL_WAIT_MS = 1_000
"""Long enough to keep polls few, short enough for leases of seconds."""

MIXED_POLL_WAIT_MS = 500
"""Interference by filling tasks slows a service task down for its users within
a few seconds, so workers that run both are polled more often."""

PROBATION_POLL_WAIT_MS = 250
"""A worker that is kept for a suspect gets no other task until a report shows
that it survives the suspect."""

POLL_RETRY_MS = 250

CARRY_DELAY_MS = 500
"""How long a registered worker must not have answered before the end of its
runs is carried to the next owner. Connections that were reset are open again
within it."""

PASSES_PER_POLL = 4
"""Passes of the event loop in which a poll is repeated and answered: its
pause, a connection, the request and the response."""

CARRY_RENEWAL_AGE_MS = 1_500
"""Age of the last renewal up to which such an end is written. A worker whose
row holds one gets no lease until the store has accepted its row again."""

MAX_CARRIED_WAITS = 480
"""Most workers for which such ends are written at the same time. Their rows
take ten commits, so that all are written again well within a lease."""

RECORD_WAIT_MS = 250
"""Longest delay of the next poll while the records of ended runs wait to be
written to the store."""

UNKNOWN_JOB_WAIT_MS = 5_000
"""How long ends as done of a job that the owner does not know are not
acknowledged. New jobs arrive within it even if two reads of them time out,
after 1.9 s each. Ends of removed jobs are acknowledged after it: a worker
lists a limited number of ends, and later ones wait behind them."""

EVACUATION_MARGIN_MS = 500
"""Part of the time within which an evacuation must take effect that is left
for orders on their way to workers and for differences between clocks."""

FOLLOW_WAIT_MS = 1_000
RETRY_MS = 150

UNKNOWN_INSTANCE = '?'
"""Stands for the owner in a malformed row; no instance has this name."""

CLAIM_JITTER_MS = 120

LOOP_DELAY_WINDOW_MS = 3_000
"""How long a delay of the event loop delays claims in favour of daemons that
have more processor time."""

MAX_LOOP_DELAY_MS = 1_000
"""Longest such delay: a cell needs an owner even if all daemons are slow."""

LATENCY_INTERVALS_MS = (5_000, 10_000, 30_000, 60_000)
"""Times between measurements of the store latency; the last one repeats. They
are shorter after the start, when all daemons may load the network."""

SAVE_BATCH = 32
"""Maximum number of records in one commit. Each takes up to three entries, the
check of the owner takes one, and the store accepts 100."""

SAVE_BATCH_BYTES = 700_000
"""Maximum size of the values in one commit of records, in bytes. The store
accepts commits of 1 MB, in which values are base64, which adds a third, and
up to 97 entries have keys and versions."""

WORKER_BATCH = 48
"""Maximum number of workers in one commit; each takes two entries."""

WORKER_WRITE_PAUSE_MS = 50
"""Pause between commits of workers, so that one commit covers several that
register at the same time."""

SAVE_RETRY_MS = 150

SWEEP_INTERVAL_MS = 3_000
SWEEP_BATCH = 33
"""Maximum number of jobs in one commit; each takes up to three entries."""

RETENTION_MARGIN_MS = 30_000
"""Allows for differences between the clocks of daemons."""

PRESSURE_INTERVAL_MS = 3_000
"""Shortest time between writes of the learned interference model; without the
row, a successor needs about ten seconds to learn the model again."""

FAILURES_INTERVAL_MS = 500
"""Shortest time between writes of the recent failures of workers."""

ROUTES_INTERVAL_MS = 500
"""Time between comparisons of the known policies of routes with the stored
ones. A policy that is replaced within it is not stored."""

ROUTE_BATCH = 48
"""Maximum number of routes in one commit; each takes two entries."""

MAX_STORED_FAILURES = 200
"""Workers whose recent failures are stored, the latest first. With names of
the longest kind these are about 50 KB of the 64 KB of a row."""
