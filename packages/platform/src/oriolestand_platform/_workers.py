"""Define the protocol of the platform's workers."""

import abc
import enum
from typing import Annotated
from typing import Literal

import pydantic


class _Model(pydantic.BaseModel):
    """Refuse unknown keys and changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class RunStatus(enum.Enum):
    """Name what a worker says about one attempt of a task."""

    RUNNING = 'running'
    STOPPED = 'stopped'
    FINISHED = 'finished'
    FAILED = 'failed'
    REFUSED = 'refused'
    EXPIRED = 'expired'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


class RunRef(_Model):
    """Name one attempt of a task and the epoch of its controller."""

    task: str
    attempt: int = pydantic.Field(ge=1)
    epoch: int = pydantic.Field(default=0, ge=0)


class Renewal(RunRef):
    """Extend the lease of an attempt by ``lease_ms`` from its arrival."""

    lease_ms: int = pydantic.Field(gt=0)


class _Windowed(_Model):
    """Act only while the worker's clock is at most ``not_after_ms``.

    The clock is the worker's own, of its start ``boot``, so that a message
    that was delayed on its way has no effect, whatever other clocks show.
    """

    boot: str
    not_after_ms: int


class StartRequest(_Windowed):
    """Start an attempt; a repeat extends its lease."""

    kind: Literal['start'] = 'start'
    run: Renewal
    slots: int = pydantic.Field(default=1, ge=1)
    accelerators: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    payload: str = ''
    checkpoint: str = ''


class RenewRequest(_Windowed):
    """Extend the leases of many attempts of one worker."""

    kind: Literal['renew'] = 'renew'
    runs: tuple[Renewal, ...]


class CheckpointRequest(_Model):
    """Ask an attempt to write a checkpoint."""

    kind: Literal['checkpoint'] = 'checkpoint'
    run: RunRef


class ThrottleRequest(_Model):
    """Let an attempt run at a part of its speed."""

    kind: Literal['throttle'] = 'throttle'
    run: RunRef
    percent: int = pydantic.Field(ge=1, le=100)


class StopRequest(_Model):
    """Stop an attempt, or keep it from ever starting."""

    kind: Literal['stop'] = 'stop'
    run: RunRef


class StatusRequest(_Model):
    """Ask about attempts without extending their leases."""

    kind: Literal['status'] = 'status'
    runs: tuple[RunRef, ...] = ()


class UsageRequest(_Model):
    """Ask for measured usage, which lags."""

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
    """Say how an attempt is; ``checkpoint`` is the last whole one."""

    status: RunStatus
    checkpoint: str = ''
    is_saving: bool = False
    result: str = ''
    reason: str = ''
    ran_ms: int = 0


class RunUsage(_Model):
    """Hold the measured usage of one task."""

    task: str
    cpu_percent: int
    memory_mb: int


class WorkerReply(_Model):
    """Hold a worker's answer with its clock and what it has in total."""

    boot: str
    now_ms: int
    slots: int
    accelerators: int = 0
    memory_mb: int = 0
    reports: tuple[RunReport, ...] = ()
    usage: tuple[RunUsage, ...] = ()
    usage_as_of_ms: int = 0


class WorkerClient(abc.ABC):
    """Reach the workers, each at its own address."""

    @abc.abstractmethod
    async def call_worker(
        self, address: str, request: WorkerRequest
    ) -> WorkerReply:
        """Send one request to a worker, ``ip:port``.

        Raises WorkerUnreachableError; its verdict says whether the request
        may have had an effect.
        """
