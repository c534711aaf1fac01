"""Define the stored row of a batch task."""

import dataclasses
import enum
import zlib

URGENT_PRIORITY = 8
"""Tasks of at least this priority are in a separate queue shard."""

QUEUE_SHARDS = 4
"""Number of shards of the queue of less urgent tasks; each poll reads one."""


class TaskState(enum.Enum):
    """State of a task, as stored."""

    QUEUED = 'queued'
    STARTING = 'starting'
    RUNNING = 'running'
    EVICTING = 'evicting'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Return whether the state is terminal."""
        return self in _FINAL

    @property
    def is_placed(self) -> bool:
        """Return whether the task is assigned to a worker that may run it."""
        return self in _PLACED


_FINAL = (TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED)
_PLACED = (TaskState.STARTING, TaskState.RUNNING, TaskState.EVICTING)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Demand:
    """Resources that a task needs on one worker."""

    slots: int = 1
    accelerators: int = 0
    memory_mb: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskRow:
    """Stored row of one task.

    ``attempt`` counts starts and ``epoch`` counts controllers of an attempt;
    together they are the fencing token at the worker. ``controller`` is
    ``instance_id/incarnation``, or empty if no daemon controls the task.
    ``ran_ms`` is the running time of previous attempts.
    """

    name: str
    pool: str
    team: str = 'default'
    priority: int = 0
    demand: Demand = Demand()
    payload: str = ''
    retries: int = 3
    lease_ms: int = 30_000
    time_limit_ms: int = 0
    retries_left: int = 3
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    epoch: int = 0
    controller: str = ''
    worker: str = ''
    avoid: str = ''
    checkpoint: str = ''
    is_cancel_requested: bool = False
    reason: str = ''
    result: str = ''
    ran_ms: int = 0
    evictions: int = 0

    @property
    def token(self) -> tuple[int, int]:
        """Return the fencing token: attempt and epoch."""
        return self.attempt, self.epoch


def queue_shard(name: str, priority: int) -> str:
    """Return the queue shard of a task: ``u`` if urgent, else a number."""
    if priority >= URGENT_PRIORITY:
        return 'u'
    return str(zlib.crc32(name.encode()) % QUEUE_SHARDS)


def index_key(row: TaskRow) -> str:
    """Return the index key of a task, or '' if its state is final.

    Daemons find the tasks that have not ended by this key.

    >>> index_key(TaskRow(name='t', pool='p', priority=9))
    'queue/p/u/t'
    """
    if row.state.is_final:
        return ''
    if row.state is TaskState.QUEUED:
        shard = queue_shard(row.name, row.priority)
        return f'queue/{row.pool}/{shard}/{row.name}'
    if not row.controller:
        return f'free/{row.name}'
    return f'held/{row.controller}/{row.name}'
