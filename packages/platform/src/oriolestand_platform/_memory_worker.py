"""Run tasks in virtual or real time, as a worker does."""

from collections.abc import Callable
import dataclasses
import json

import pydantic

from oriolestand_platform import _workers

Status = _workers.RunStatus
FULL_SPEED = 100


class Payload(pydantic.BaseModel):
    """Say what a simulated task does."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    work_ms: int = pydantic.Field(default=1_000, ge=0)
    fails: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerFaults:
    """Switch the faults of a worker.

    ``checkpoint_ms`` is the time that a checkpoint takes to be whole.
    ``loses_answers`` counts the answers that are lost after they took
    effect.
    """

    fails_tasks: bool = False
    checkpoint_ms: int = 0
    delay_ms: int = 0
    hangs: bool = False
    loses_answers: int = 0
    is_gone: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """Hold one attempt of a task; times are of the worker's clock."""

    request: _workers.StartRequest
    payload: Payload
    epoch: int
    started: int
    lease_until: int
    done_ms: float
    since: int
    percent: int = FULL_SPEED
    status: Status = Status.RUNNING
    ended: int = 0
    checkpoint: str = ''
    saving: tuple[int, int] | None = None
    result: str = ''
    reason: str = ''

    @property
    def attempt(self) -> int:
        """Return the attempt."""
        return self.request.run.attempt

    def progress(self, now: int) -> float:
        """Return the work done at full speed, in milliseconds."""
        return self.done_ms + (now - self.since) * self.percent / FULL_SPEED

    def advance(self, now: int) -> None:
        """Let time pass: finish, save and lapse in order of time."""
        if self.status is not Status.RUNNING:
            return
        left = self.payload.work_ms - self.progress(self.since)
        ends_at = self.since + max(0, int(left * FULL_SPEED / self.percent))
        stops_at = min(ends_at, self.lease_until, now)
        if self.saving is not None and self.saving[0] <= stops_at:
            self.checkpoint = str(self.saving[1])
            self.saving = None
        if ends_at <= min(now, self.lease_until):
            self.end(ends_at, Status.FINISHED)
            self.result = f'worked {self.payload.work_ms} ms'
        elif self.lease_until <= now:
            self.end(self.lease_until, Status.STOPPED, 'lease lapsed')

    def end(self, at: int, status: Status, reason: str = '') -> None:
        """Record the end of the attempt, once."""
        if self.status is Status.RUNNING:
            self.status = status
            self.reason = reason
            self.ended = at
            self.saving = None

    def report(self, now: int) -> _workers.RunReport:
        """Return what is known of the attempt."""
        is_running = self.status is Status.RUNNING
        return _workers.RunReport(
            task=self.request.run.task,
            attempt=self.attempt,
            epoch=self.epoch,
            status=self.status,
            checkpoint=self.checkpoint,
            is_saving=self.saving is not None,
            result=self.result,
            reason=self.reason,
            ran_ms=max(0, (now if is_running else self.ended) - self.started),
        )


class MemoryWorker:
    """Answer the worker protocol; time passes only between requests.

    :param now_ms: the worker's monotonic clock.
    :param boot: identifies this start of the worker.
    :param usage_lag_ms: how old the reported usage is.
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
        self._total = (slots, accelerators, memory_mb)
        self._usage_lag_ms = usage_lag_ms
        self._runs: dict[str, Run] = {}
        self._seen: dict[str, tuple[int, int]] = {}

    def handle(self, request: _workers.WorkerRequest) -> _workers.WorkerReply:
        """Do what a request asks and return the answer."""
        self.requests += 1
        now = self._now_ms()
        self.advance(now)
        match request:
            case _workers.StartRequest():
                reports = [self._start(request, now)]
            case _workers.RenewRequest():
                reports = [self._renew(r, request, now) for r in request.runs]
            case _workers.CheckpointRequest(run=run):
                reports = [self._act(run, now, self._save)]
            case _workers.ThrottleRequest(run=run, percent=percent):
                reports = [
                    self._act(run, now, lambda r, t: _throttle(r, t, percent))
                ]
            case _workers.StopRequest(run=run):
                reports = [self._stop(run, now)]
            case _workers.StatusRequest(runs=runs):
                reports = [self._report(run, now) for run in runs]
            case _workers.UsageRequest():
                reports = []
        slots, accelerators, memory_mb = self._total
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
        """Let time pass for all tasks."""
        for run in self._runs.values():
            run.advance(now)

    def _is_fenced(self, ref: _workers.RunRef) -> bool:
        """Return whether a higher attempt or epoch was accepted."""
        token = (ref.attempt, ref.epoch)
        return token < self._seen.get(ref.task, (0, 0))

    def _accept(self, ref: _workers.RunRef) -> None:
        """Accept nothing lower than this attempt and epoch from now on."""
        self._seen[ref.task] = (ref.attempt, ref.epoch)
        run = self._runs.get(ref.task)
        if run is not None and run.attempt == ref.attempt:
            run.epoch = ref.epoch

    def _is_late(self, request: _workers._Windowed, now: int) -> bool:
        """Return whether a message is past its window."""
        return request.boot != self.boot or now > request.not_after_ms

    def _start(
        self, request: _workers.StartRequest, now: int
    ) -> _workers.RunReport:
        """Start an attempt, unless it was refused or stopped before."""
        ref = request.run
        if self._is_fenced(ref):
            return _bare(ref, Status.FENCED)
        run = self._runs.get(ref.task)
        if run is not None and run.attempt == ref.attempt:
            self._extend(run, ref, request, now)
            return run.report(now)
        if self._is_late(request, now):
            return _bare(ref, Status.EXPIRED)
        self._accept(ref)
        if run is not None:
            run.end(now, Status.STOPPED, 'a higher attempt was started')
        has_room = self._has_room(request)
        run = self._add(request, now)
        if not has_room:
            run.end(now, Status.REFUSED, 'no room')
        elif self.faults.fails_tasks or run.payload.fails:
            run.end(now, Status.FAILED, 'the task failed')
        return run.report(now)

    def _add(self, request: _workers.StartRequest, now: int) -> Run:
        """Record a new attempt."""
        payload = Payload.model_validate(json.loads(request.payload or '{}'))
        run = Run(
            request=request,
            payload=payload,
            epoch=request.run.epoch,
            started=now,
            lease_until=now + request.run.lease_ms,
            done_ms=float(request.checkpoint or 0),
            since=now,
            checkpoint=request.checkpoint,
        )
        self._runs[request.run.task] = run
        self.history.append(run)
        return run

    def _has_room(self, request: _workers.StartRequest) -> bool:
        """Return whether the worker has what the task needs."""
        used = [
            (r.request.slots, r.request.accelerators, r.request.memory_mb)
            for r in self._runs.values()
            if r.status is Status.RUNNING
        ]
        wanted = (request.slots, request.accelerators, request.memory_mb)
        return all(
            sum(u[i] for u in used) + wanted[i] <= self._total[i]
            for i in range(len(wanted))
        )

    def _renew(
        self,
        ref: _workers.Renewal,
        request: _workers.RenewRequest,
        now: int,
    ) -> _workers.RunReport:
        """Extend a lease that has not lapsed."""
        if self._is_fenced(ref):
            return _bare(ref, Status.FENCED)
        run = self._runs.get(ref.task)
        if run is None or run.attempt != ref.attempt:
            return _bare(ref, Status.UNKNOWN)
        self._extend(run, ref, request, now)
        return run.report(now)

    def _extend(
        self,
        run: Run,
        ref: _workers.Renewal,
        request: _workers._Windowed,
        now: int,
    ) -> None:
        """Extend the lease of a run unless the message is late."""
        if self._is_late(request, now):
            return
        self._accept(ref)
        if run.status is Status.RUNNING:
            run.lease_until = max(run.lease_until, now + ref.lease_ms)

    def _act(
        self,
        ref: _workers.RunRef,
        now: int,
        action: Callable[[Run, int], None],
    ) -> _workers.RunReport:
        """Apply an action to a running attempt."""
        if self._is_fenced(ref):
            return _bare(ref, Status.FENCED)
        run = self._runs.get(ref.task)
        if run is None or run.attempt != ref.attempt:
            return _bare(ref, Status.UNKNOWN)
        self._accept(ref)
        if run.status is Status.RUNNING:
            action(run, now)
        return run.report(now)

    def _save(self, run: Run, now: int) -> None:
        """Begin a checkpoint; it counts only once it is whole."""
        run.saving = (now + self.faults.checkpoint_ms, int(run.progress(now)))
        run.advance(now)

    def _stop(self, ref: _workers.RunRef, now: int) -> _workers.RunReport:
        """Stop an attempt; one that never started never will."""
        if self._is_fenced(ref):
            return _bare(ref, Status.FENCED)
        self._accept(ref)
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
            run = self._add(request, now)
        run.end(now, Status.STOPPED, 'stopped')
        return run.report(now)

    def _report(self, ref: _workers.RunRef, now: int) -> _workers.RunReport:
        """Return the state of an attempt."""
        run = self._runs.get(ref.task)
        if run is None or run.attempt != ref.attempt:
            return _bare(ref, Status.UNKNOWN)
        return run.report(now)

    def _usage(self, now: int) -> tuple[_workers.RunUsage, ...]:
        """Return the usage as it was before the lag."""
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
    """Change the speed of a run."""
    run.done_ms = run.progress(now)
    run.since = now
    run.percent = percent


def _bare(ref: _workers.RunRef, status: Status) -> _workers.RunReport:
    """Return a report that holds only a status."""
    return _workers.RunReport(
        task=ref.task, attempt=ref.attempt, epoch=ref.epoch, status=status
    )
