"""Constants of the batch service."""

DOMAIN = 'batch'

TASKS = 'tasks'
"""Table with one row per task, keyed by name."""
INDEX = 'task_index'
"""Table with one small row per open task, keyed by shard or controller."""
CANCELLATIONS = 'task_mail'
"""Table of cancellations, with one small row per cancelled task.

Rows are keyed by the instance that controls the task. It polls its rows and
deletes each after the cancellation was handled.
"""
CAPACITY = 'task_capacity'
"""Table with the distinct worker specs, by pool and failure domain."""

TICK_INTERVAL_MS = 250
NEXT_PASS_MS = 0
"""A timer with this delay is called in the next pass of the reactor. Each pass
calls the due timers before it reads from sockets, so that a tick directly on
a timer would not know of reports that are received already."""

POLL_INTERVAL_MS = 1_000
SPEC_INTERVAL_MS = 60_000
SPEC_RETRY_MS = 2_000
GROUP_COMMIT_MS = 10
MAX_GROUP_SIZE = 100
STORE_RETRY_MS = 250
STORE_RETRY_MAX_MS = 2_000
MAX_BACKLOG = 256
"""Length of the local queue at which no more tasks are read into it."""
ORPHAN_SCAN_MS = 60_000
"""How long to scan for tasks of a gone controller.

Its last writes may still arrive after it was found to be gone.
"""
ADOPT_GRACE_MS = 5_000
"""An adopted task without slots on its worker is evicted after this time."""
LOCAL_ADOPT_MS = 2_000
FOREIGN_ADOPT_MS = 10_000
"""Delays before the adoption of an orphaned task.

Daemons with free slots on the task's worker adopt at once, others in the
worker's failure domain after LOCAL_ADOPT_MS, the rest after FOREIGN_ADOPT_MS.
"""
DRAIN_TIMEOUT_MS = 5_000
RENEWALS_PER_LEASE = 3
THROTTLED_PERCENT = 25
FULL_PERCENT = 100

TASK_HORIZON_MS = 30_000
"""Added to a task's lease to get the horizon of the grant of its slots.

The slots of a dead daemon's tasks stay reserved for that long. It covers the
difference between the times at which daemons detect the death,
FOREIGN_ADOPT_MS, ADOPT_GRACE_MS and the eviction that follows.
"""
