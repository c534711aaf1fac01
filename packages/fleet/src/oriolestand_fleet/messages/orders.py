"""Messages to the ``orders`` service, which an adapter provides.

Every message is a request to one worker, except WithdrawStart, LimitStarts
and WithdrawOrders, which concern unsent requests. ``lease_end_ms`` is a time
on the worker's clock.
"""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import fencing
from oriolestand_policy import scheduling

SERVICE = 'orders'


class WorkerError(core.OriolestandError):
    """Raised when a worker sent no valid response or refused a request."""

    code = 'worker_unreachable'
    http_status = 502


class WorkerReplacedError(WorkerError):
    """Raised when another incarnation of the worker responds."""

    code = 'worker_replaced'


class FencedError(WorkerError):
    """Raised when the worker has accepted a higher fencing token.

    That is the token of a newer owner, or of orders of the same owner for a
    later incarnation.
    """

    code = 'fenced'


class WithdrawnError(WorkerError):
    """Raised when an order was withdrawn before it was sent."""

    code = 'withdrawn'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One incarnation of a worker and its address, ``ip:port``.

    ``generation`` counts the incarnations under the id that the owner knows
    to have ended during its term.
    """

    worker: str
    address: str
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRequest:
    """A request to one worker.

    ``epoch`` is that of the owner. ``send_by_ms`` is the time on the daemon's
    clock until which the owner may act: a request that still waits for a
    connection then, or was held up by a pause of the process, is withdrawn.
    """

    target: Target
    epoch: int
    send_by_ms: int

    @property
    def fence(self) -> int:
        """Return the token by which workers refuse outdated requests."""
        return fencing.token(self.epoch, self.target.generation)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun(WorkerRequest):
    """Start a run; the reply is a StartReply. Fails with FencedError.

    A StartSent is published when it is sent.
    """

    key: scheduling.TaskKey
    number: int
    payload: str
    checkpoint: str
    lease_end_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartReply:
    """The outcome of a StartRun request.

    ``queued_ms`` is how long the order waited until it was sent, None if it
    was not sent. ``clock_ms`` is what the clock of the worker showed when it
    answered, None if it has not told. A worker that has restarted answers for
    its former incarnation as well, with another clock.
    """

    outcome: scheduling.StartOutcome
    reason: str = ''
    queued_ms: int | None = None
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartSent:
    """Event: a StartRun was sent, so that the worker may have received it."""

    worker: str
    key: scheduling.TaskKey
    number: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun(WorkerRequest):
    """Stop a run, or prevent it from starting later.

    A StartRun of the run that is not sent yet is withdrawn instead; it is
    never sent, and its reply is ``WITHDRAWN``. Otherwise the worker answers.
    Fails with FencedError, WorkerReplacedError or WorkerError.
    """

    key: scheduling.TaskKey
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceRun(WorkerRequest):
    """Limit a run to a percentage of its full speed.

    Earlier PaceRuns of the run that are not sent yet fail with WithdrawnError.
    Fails with FencedError, WorkerReplacedError or WorkerError.
    """

    key: scheduling.TaskKey
    number: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawStart:
    """Withdraw the StartRun of a run, as by StopRun, if it is not sent yet.

    There is no reply.
    """

    worker: str
    key: scheduling.TaskKey
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitStarts:
    """Set the time on the daemon's clock until which starts may be sent.

    It applies to unsent starts too, and replaces an earlier limit. Starts that
    would be sent later get the reply ``WITHDRAWN``. There is no reply.
    """

    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawOrders:
    """Withdraw the unsent orders of an epoch and of earlier ones.

    They are never sent: starts get the reply ``WITHDRAWN``, others fail with
    WithdrawnError. There is no reply.
    """

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PollWorker(WorkerRequest):
    """Poll a worker: extend the lease of all runs and list them.

    The reply is a scheduling.WorkerReport. A ``lease_end_ms`` of None leaves
    the lease unchanged. The worker discards ends up to ``acknowledged``. It
    answers when a run ends, or after ``wait_ms``. The report may take
    ``extra_timeout_ms`` longer than usual. Fails with FencedError,
    WorkerReplacedError, WithdrawnError or WorkerError. If the report arrives
    after that, it is published as a LateReport.
    """

    lease_end_ms: int | None
    acknowledged: int
    wait_ms: int
    extra_timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportBegun:
    """Event: a first part of the report for a poll has arrived.

    A pass of the reactor reads 64 KB at most. It is not published for a report
    that arrives at once.
    """

    worker: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LateReport:
    """Event: the report for a poll of an owner that has already failed."""

    worker: str
    epoch: int
    report: scheduling.WorkerReport
