"""Define constants of the batch service."""

DOMAIN = 'batch'

TASKS = 'tasks'
"""One row a task, by name."""
INDEX = 'task_index'
"""One small row an open task, by queue shard or controller."""
MAIL = 'task_mail'
"""One small row a cancelled task, by the instance that controls it."""
CAPACITY = 'task_capacity'
"""One row a pool and failure domain: the kinds of its workers."""

TICK_INTERVAL_MS = 250
POLL_INTERVAL_MS = 1_000
SPEC_INTERVAL_MS = 60_000
SPEC_RETRY_MS = 2_000
GROUP_COMMIT_MS = 10
MAX_GROUP = 100
STORE_RETRY_MS = 250
STORE_RETRY_MAX_MS = 2_000
MAX_BACKLOG = 256
"""Above this many waiting tasks no more are read from the queue."""
ORPHAN_SCAN_MS = 60_000
"""A write of a dead controller may be applied late; scan this long."""
ADOPT_GRACE_MS = 5_000
"""An adopted task that got no slots of its worker by then is evicted."""
LOCAL_ADOPT_MS = 2_000
FOREIGN_ADOPT_MS = 10_000
"""Who has free slots of the worker adopts first, then its domain, then all."""
DRAIN_BOUND_MS = 5_000
RENEWALS_PER_LEASE = 3
THROTTLED_PERCENT = 25
FULL_PERCENT = 100

TASK_HORIZON_MS = 30_000
"""Added to a task's lease: slots of a dead daemon's tasks stay taken so long.

It covers the proofs that daemons see at different times, FOREIGN_ADOPT_MS,
ADOPT_GRACE_MS and the eviction that follows it.
"""
