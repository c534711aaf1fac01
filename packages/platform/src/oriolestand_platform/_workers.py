"""Define the messages of the worker protocol."""

import abc
import enum
from typing import Annotated
from typing import Literal

import pydantic


class _StrictModel(pydantic.BaseModel):
    """Base of immutable models that reject unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class RunStatus(enum.Enum):
    """The status of an attempt of a task, as a worker reports it."""

    RUNNING = 'running'
    STOPPED = 'stopped'
    FINISHED = 'finished'
    FAILED = 'failed'
    REFUSED = 'refused'
    EXPIRED = 'expired'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


class RunRef(_StrictModel):
    """Identifies an attempt of a task and the epoch of its controller."""

    task: str
    attempt: int = pydantic.Field(ge=1)
    epoch: int = pydantic.Field(default=0, ge=0)


class Renewal(RunRef):
    """A lease of ``lease_ms`` from when the worker receives the request."""

    lease_ms: int = pydantic.Field(gt=0)


class _ExpiringRequest(_StrictModel):
    """Base of requests that have no effect after ``not_after_ms``.

    The time is that of the worker's own clock since its start ``boot``.
    A request that was delayed in transit therefore has no effect, whatever
    the clocks of other machines show.
    """

    boot: str
    not_after_ms: int


class StartRequest(_ExpiringRequest):
    """Start an attempt; a repeated request extends its lease."""

    kind: Literal['start'] = 'start'
    run: Renewal
    slots: int = pydantic.Field(default=1, ge=1)
    accelerators: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    payload: str = ''
    checkpoint: str = ''


class RenewRequest(_ExpiringRequest):
    """Extend the leases of attempts that run on a worker."""

    kind: Literal['renew'] = 'renew'
    runs: tuple[Renewal, ...]


class CheckpointRequest(_StrictModel):
    """Make an attempt write a checkpoint."""

    kind: Literal['checkpoint'] = 'checkpoint'
    run: RunRef


class ThrottleRequest(_StrictModel):
    """Limit an attempt to a percentage of its full speed."""

    kind: Literal['throttle'] = 'throttle'
    run: RunRef
    percent: int = pydantic.Field(ge=1, le=100)


class StopRequest(_StrictModel):
    """Stop an attempt, or prevent it from ever starting."""

    kind: Literal['stop'] = 'stop'
    run: RunRef


class StatusRequest(_StrictModel):
    """Get reports on attempts without extending their leases."""

    kind: Literal['status'] = 'status'
    runs: tuple[RunRef, ...] = ()


class UsageRequest(_StrictModel):
    """Get the measured usage, which lags behind."""

    kind: Literal['usage'] = 'usage'


WorkerRequest = Annotated[
    StartRequest
    | RenewRequest
    | CheckpointRequest
    | ThrottleRequest
    | StopRequest
    | StatusRequest
    | UsageRequest,
    pydantic.Field(discriminator='kind'),
]
REQUEST_ADAPTER: pydantic.TypeAdapter[WorkerRequest] = pydantic.TypeAdapter(
    WorkerRequest
)


class RunReport(RunRef):
    """Report on an attempt; ``checkpoint`` is its last complete one."""

    status: RunStatus
    checkpoint: str = ''
    is_saving: bool = False
    result: str = ''
    reason: str = ''
    ran_ms: int = 0


class RunUsage(_StrictModel):
    """Measured CPU and memory usage of a task."""

    task: str
    cpu_percent: int
    memory_mb: int


class WorkerReply(_StrictModel):
    """A worker's reply, with its clock and its total resources."""

    boot: str
    now_ms: int
    slots: int
    accelerators: int = 0
    memory_mb: int = 0
    reports: tuple[RunReport, ...] = ()
    usage: tuple[RunUsage, ...] = ()
    usage_as_of_ms: int = 0


class WorkerClient(abc.ABC):
    """Send requests to workers."""

    @abc.abstractmethod
    async def call_worker(
        self, address: str, request: WorkerRequest
    ) -> WorkerReply:
        """Send a request to the worker at ``address``, ``ip:port``.

        Raises WorkerUnreachableError, whose verdict tells whether the
        request may have taken effect.
        """
