"""Simulate a worker that runs tasks in virtual or real time."""

from collections.abc import Callable
import dataclasses
import json

import pydantic

from oriolestand_platform import _workers

Status = _workers.RunStatus
FULL_SPEED = 100


class Payload(pydantic.BaseModel):
    """Describe the behaviour of a simulated task."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    work_ms: int = pydantic.Field(default=1_000, ge=0)
    fails: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerFaults:
    """Faults and delays that a test injects into a worker.

    ``checkpoint_ms`` is how long it takes to write a checkpoint.
    ``loses_answers`` is the number of next requests that take effect but
    whose replies are lost.
    """

    fails_tasks: bool = False
    checkpoint_ms: int = 0
    delay_ms: int = 0
    hangs: bool = False
    loses_answers: int = 0
    is_gone: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """State of one attempt of a task; times are of the worker's clock.

    ``progress_ms`` is the work done at the time ``progress_as_of``.
    ``pending_checkpoint`` contains the time at which a checkpoint will be
    complete, and the progress that it saves.
    """

    request: _workers.StartRequest
    payload: Payload
    epoch: int
    started: int
    lease_expires_at: int
    progress_ms: float
    progress_as_of: int
    percent: int = FULL_SPEED
    status: Status = Status.RUNNING
    ended: int = 0
    checkpoint: str = ''
    pending_checkpoint: tuple[int, int] | None = None
    result: str = ''
    reason: str = ''

    @property
    def attempt(self) -> int:
        """Return the attempt's number."""
        return self.request.run.attempt

    def progress(self, now: int) -> float:
        """Return the work done, in milliseconds at full speed."""
        return (
            self.progress_ms
            + (now - self.progress_as_of) * self.percent / FULL_SPEED
        )

    def advance(self, now: int) -> None:
        """Apply checkpoint, finish and lease expiry up to ``now`` in order."""
        if self.status is not Status.RUNNING:
            return
        remaining_ms = self.payload.work_ms - self.progress(
            self.progress_as_of
        )
        finishes_at = self.progress_as_of + max(
            0, int(remaining_ms * FULL_SPEED / self.percent)
        )
        stops_at = min(finishes_at, self.lease_expires_at, now)
        if (
            self.pending_checkpoint is not None
            and self.pending_checkpoint[0] <= stops_at
        ):
            self.checkpoint = str(self.pending_checkpoint[1])
            self.pending_checkpoint = None
        if finishes_at <= min(now, self.lease_expires_at):
            self.end(finishes_at, Status.FINISHED)
            self.result = f'worked {self.payload.work_ms} ms'
        elif self.lease_expires_at <= now:
            self.end(self.lease_expires_at, Status.STOPPED, 'lease lapsed')

    def end(self, at: int, status: Status, reason: str = '') -> None:
        """Set the final status of the attempt, unless it has ended already."""
        if self.status is Status.RUNNING:
            self.status = status
            self.reason = reason
            self.ended = at
            self.pending_checkpoint = None

    def report(self, now: int) -> _workers.RunReport:
        """Return a report on the attempt."""
        is_running = self.status is Status.RUNNING
        return _workers.RunReport(
            task=self.request.run.task,
            attempt=self.attempt,
            epoch=self.epoch,
            status=self.status,
            checkpoint=self.checkpoint,
            is_saving=self.pending_checkpoint is not None,
            result=self.result,
            reason=self.reason,
            ran_ms=max(0, (now if is_running else self.ended) - self.started),
        )


class MemoryWorker:
    """Implement the worker protocol with simulated tasks.

    The state of tasks is updated when a request is handled.

    :param now_ms: the worker's monotonic clock.
    :param boot: identifies this incarnation of the worker.
    :param usage_lag_ms: age of the reported usage.
    """

    def __init__(
        self,
        now_ms: Callable[[], int],
        boot: str = 'boot-1',
        slots: int = 8,
        accelerators: int = 0,
        memory_mb: int = 0,
        usage_lag_ms: int = 5_000,
    ) -> None:
        self.faults = WorkerFaults()
        self.history: list[Run] = []
        self.boot = boot
        self.requests = 0
        self._now_ms = now_ms
        self._capacity = (slots, accelerators, memory_mb)
        self._usage_lag_ms = usage_lag_ms
        self._runs: dict[str, Run] = {}
        self._highest_tokens: dict[str, tuple[int, int]] = {}

    def handle(self, request: _workers.WorkerRequest) -> _workers.WorkerReply:
        """Execute a request and return the reply."""
        self.requests += 1
        now = self._now_ms()
        self.advance(now)
        match request:
            case _workers.StartRequest():
                reports = [self._start(request, now)]
            case _workers.RenewRequest():
                reports = [self._renew(r, request, now) for r in request.runs]
            case _workers.CheckpointRequest(run=run):
                reports = [
                    self._apply_action(run, now, self._begin_checkpoint)
                ]
            case _workers.ThrottleRequest(run=run, percent=percent):
                reports = [
                    self._apply_action(
                        run, now, lambda r, t: _throttle(r, t, percent)
                    )
                ]
            case _workers.StopRequest(run=run):
                reports = [self._stop(run, now)]
            case _workers.StatusRequest(runs=runs):
                reports = [self._report(run, now) for run in runs]
            case _workers.UsageRequest():
                reports = []
        slots, accelerators, memory_mb = self._capacity
        return _workers.WorkerReply(
            boot=self.boot,
            now_ms=now,
            slots=slots,
            accelerators=accelerators,
            memory_mb=memory_mb,
            reports=tuple(reports),
            usage=self._usage(now),
            usage_as_of_ms=now - self._usage_lag_ms,
        )

    def advance(self, now: int) -> None:
        """Update the state of all attempts to the time ``now``."""
        for run in self._runs.values():
            run.advance(now)

    def _is_fenced(self, ref: _workers.RunRef) -> bool:
        """Return whether a request with a higher token was accepted before.

        The fencing token consists of the attempt and the epoch.
        """
        token = (ref.attempt, ref.epoch)
        return token < self._highest_tokens.get(ref.task, (0, 0))

    def _accept_token(self, ref: _workers.RunRef) -> None:
        """Store a fencing token; lower ones are rejected from now on."""
        self._highest_tokens[ref.task] = (ref.attempt, ref.epoch)
        run = self._runs.get(ref.task)
        if run is not None and run.attempt == ref.attempt:
            run.epoch = ref.epoch

    def _is_expired(
        self, request: _workers._ExpiringRequest, now: int
    ) -> bool:
        """Return whether a request expired or is for another incarnation."""
        return request.boot != self.boot or now > request.not_after_ms

    def _start(
        self, request: _workers.StartRequest, now: int
    ) -> _workers.RunReport:
        """Start an attempt, or extend the lease of a repeated start.

        An attempt that was refused or stopped before is not started again.
        """
        ref = request.run
        if self._is_fenced(ref):
            return _status_report(ref, Status.FENCED)
        run = self._runs.get(ref.task)
        if run is not None and run.attempt == ref.attempt:
            self._extend_lease(run, ref, request, now)
            return run.report(now)
        if self._is_expired(request, now):
            return _status_report(ref, Status.EXPIRED)
        self._accept_token(ref)
        if run is not None:
            run.end(now, Status.STOPPED, 'a higher attempt was started')
        has_capacity = self._has_capacity(request)
        run = self._add_run(request, now)
        if not has_capacity:
            run.end(now, Status.REFUSED, 'no room')
        elif self.faults.fails_tasks or run.payload.fails:
            run.end(now, Status.FAILED, 'the task failed')
        return run.report(now)

    def _add_run(self, request: _workers.StartRequest, now: int) -> Run:
        """Add an attempt that runs from now on, and return it."""
        payload = Payload.model_validate(json.loads(request.payload or '{}'))
        run = Run(
            request=request,
            payload=payload,
            epoch=request.run.epoch,
            started=now,
            lease_expires_at=now + request.run.lease_ms,
            progress_ms=float(request.checkpoint or 0),
            progress_as_of=now,
            checkpoint=request.checkpoint,
        )
        self._runs[request.run.task] = run
        self.history.append(run)
        return run

    def _has_capacity(self, request: _workers.StartRequest) -> bool:
        """Return whether the worker has enough free resources for a task."""
        in_use = [
            (r.request.slots, r.request.accelerators, r.request.memory_mb)
            for r in self._runs.values()
            if r.status is Status.RUNNING
        ]
        wanted = (request.slots, request.accelerators, request.memory_mb)
        return all(
            sum(used[i] for used in in_use) + wanted[i] <= self._capacity[i]
            for i in range(len(wanted))
        )

    def _renew(
        self,
        ref: _workers.Renewal,
        request: _workers.RenewRequest,
        now: int,
    ) -> _workers.RunReport:
        """Extend the lease of an attempt if it is running."""
        if self._is_fenced(ref):
            return _status_report(ref, Status.FENCED)
        run = self._runs.get(ref.task)
        if run is None or run.attempt != ref.attempt:
            return _status_report(ref, Status.UNKNOWN)
        self._extend_lease(run, ref, request, now)
        return run.report(now)

    def _extend_lease(
        self,
        run: Run,
        ref: _workers.Renewal,
        request: _workers._ExpiringRequest,
        now: int,
    ) -> None:
        """Extend the lease of a run unless the request expired."""
        if self._is_expired(request, now):
            return
        self._accept_token(ref)
        if run.status is Status.RUNNING:
            run.lease_expires_at = max(
                run.lease_expires_at, now + ref.lease_ms
            )

    def _apply_action(
        self,
        ref: _workers.RunRef,
        now: int,
        action: Callable[[Run, int], None],
    ) -> _workers.RunReport:
        """Apply an action to an attempt if it is running."""
        if self._is_fenced(ref):
            return _status_report(ref, Status.FENCED)
        run = self._runs.get(ref.task)
        if run is None or run.attempt != ref.attempt:
            return _status_report(ref, Status.UNKNOWN)
        self._accept_token(ref)
        if run.status is Status.RUNNING:
            action(run, now)
        return run.report(now)

    def _begin_checkpoint(self, run: Run, now: int) -> None:
        """Begin a checkpoint, which is reported only once it is complete."""
        run.pending_checkpoint = (
            now + self.faults.checkpoint_ms,
            int(run.progress(now)),
        )
        run.advance(now)

    def _stop(self, ref: _workers.RunRef, now: int) -> _workers.RunReport:
        """Stop an attempt, or prevent it from ever starting."""
        if self._is_fenced(ref):
            return _status_report(ref, Status.FENCED)
        self._accept_token(ref)
        run = self._runs.get(ref.task)
        if run is None or run.attempt != ref.attempt:
            request = _workers.StartRequest(
                boot=self.boot,
                not_after_ms=now,
                run=_workers.Renewal(
                    task=ref.task,
                    attempt=ref.attempt,
                    epoch=ref.epoch,
                    lease_ms=1,
                ),
            )
            if run is not None:
                run.end(now, Status.STOPPED, 'a higher attempt was stopped')
            run = self._add_run(request, now)
        run.end(now, Status.STOPPED, 'stopped')
        return run.report(now)

    def _report(self, ref: _workers.RunRef, now: int) -> _workers.RunReport:
        """Return a report on an attempt."""
        run = self._runs.get(ref.task)
        if run is None or run.attempt != ref.attempt:
            return _status_report(ref, Status.UNKNOWN)
        return run.report(now)

    def _usage(self, now: int) -> tuple[_workers.RunUsage, ...]:
        """Return the usage of the tasks that ran ``usage_lag_ms`` ago."""
        as_of = now - self._usage_lag_ms
        return tuple(
            _workers.RunUsage(
                task=run.request.run.task,
                cpu_percent=run.percent * run.request.slots,
                memory_mb=run.request.memory_mb,
            )
            for run in self._runs.values()
            if run.started <= as_of
            and (run.status is Status.RUNNING or run.ended > as_of)
        )


def _throttle(run: Run, now: int, percent: int) -> None:
    """Change the speed of a run to a percentage of full speed."""
    run.progress_ms = run.progress(now)
    run.progress_as_of = now
    run.percent = percent


def _status_report(ref: _workers.RunRef, status: Status) -> _workers.RunReport:
    """Return a report without details of the attempt."""
    return _workers.RunReport(
        task=ref.task, attempt=ref.attempt, epoch=ref.epoch, status=status
    )
