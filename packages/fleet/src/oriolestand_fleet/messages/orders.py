"""Define the messages to the service ``orders``, which an adapter provides.

Every message is a question to one worker. ``lease_end_ms`` is a time on the
worker's clock; ``epoch`` fences off former owners of the cell.
"""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import scheduling

SERVICE = 'orders'


class WorkerError(core.OriolestandError):
    """Raise when a worker gave no usable answer."""

    code = 'worker_unreachable'
    http_status = 502


class WorkerReplacedError(WorkerError):
    """Raise when another life of the worker answers at the address."""

    code = 'worker_replaced'


class FencedError(WorkerError):
    """Raise when the worker has seen a higher epoch."""

    code = 'fenced'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Name one life of a worker and where it listens, ``ip:port``."""

    worker: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Start a run; the reply is a StartReply. Raises FencedError."""

    target: Target
    key: scheduling.TaskKey
    number: int
    payload: str
    checkpoint: str
    lease_end_ms: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartReply:
    """Say what became of an order to start."""

    outcome: scheduling.StartOutcome
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Stop a run, or keep it from ever starting.

    Raises FencedError, WorkerReplacedError or WorkerError.
    """

    target: Target
    key: scheduling.TaskKey
    number: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceRun:
    """Let a run work at a share of its speed, in percent.

    Raises FencedError, WorkerReplacedError or WorkerError.
    """

    target: Target
    key: scheduling.TaskKey
    number: int
    percent: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LookAt:
    """Extend the lease of all runs and list them; the reply is a Look.

    ``lease_end_ms`` of None leaves the lease as it is. Ends up to
    ``acknowledged`` are dropped from the list. With a wait the answer comes
    when a run ends. Raises FencedError, WorkerReplacedError or WorkerError.
    """

    target: Target
    lease_end_ms: int | None
    acknowledged: int
    wait_ms: int
    epoch: int
