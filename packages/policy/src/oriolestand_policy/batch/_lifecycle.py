"""State machine that controls one batch task."""

import dataclasses
import enum

import oriolestand_core as core
from oriolestand_policy.batch import _effects
from oriolestand_policy.batch import _messages
from oriolestand_policy.batch import _row

State = _row.TaskState
Status = _messages.RunStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Timeouts and intervals of a lifecycle, in milliseconds.

    A worker refuses a start or renewal that arrives more than
    ``window_ms`` after it was sent. ``margin_ms`` covers the drift of the
    worker's clock during a lease. A worker that has not answered for
    ``silence_ms`` gets no more renewals. Requests without an answer are
    resent after ``resend_ms``. An eviction waits for a checkpoint for at most
    ``checkpoint_wait_ms``.
    """

    window_ms: int = 2_000
    margin_ms: int = 1_000
    silence_ms: int = 10_000
    resend_ms: int = 1_000
    checkpoint_wait_ms: int = 5_000


class _StopReason(enum.IntEnum):
    """Reason to stop a run; a higher value takes precedence."""

    NONE = 0
    EVICT = 1
    TIME_LIMIT = 2
    CANCEL = 3


class Lifecycle:
    """State machine of one task, run by the daemon that controls it.

    It returns effects instead of doing input or output. At most one write
    is in progress. Messages that arrive during a write take effect after it,
    so that each race is decided by a single compare-and-swap.

    :param row: the stored row.
    :param version: the version of the stored row.
    :param controller_id: ``instance_id/incarnation`` of this controller.
    :param now: monotonic time, after which a former controller sent nothing.
    """

    def __init__(
        self,
        row: _row.TaskRow,
        version: int,
        controller_id: str,
        now: core.Millis,
        timing: Timing,
    ) -> None:
        self.row = row
        self.version = version
        self._controller_id = controller_id
        self._timing = timing
        self._pending_row: _row.TaskRow | None = None
        self._end_report: _messages.WorkerReported | None = None
        self._stop_reason = _StopReason.NONE
        self._is_run_confirmed = False
        self._is_handing_over = False
        self._lease_extended_at = now
        self._last_answer_at = now
        self._last_request_at: core.Millis | None = None
        self._checkpoint_deadline: core.Millis | None = None
        self._is_checkpointing = False
        self._starts_sent = 0
        self._has_lost_control = False
        if row.is_cancel_requested:
            self._stop_reason = _StopReason.CANCEL

    @property
    def is_writing(self) -> bool:
        """Return whether a write is in progress."""
        return self._pending_row is not None

    @property
    def is_stopped(self) -> bool:
        """Return whether the attempt has certainly stopped."""
        return self._end_report is not None

    def begin(self, worker: str) -> list[_effects.Effect]:
        """Start a queued task on a worker, or record its cancellation."""
        assert self.row.state is State.QUEUED
        if self._stop_reason is _StopReason.CANCEL:
            return self._write(
                dataclasses.replace(self.row, state=State.CANCELLED)
            )
        return self._write(
            dataclasses.replace(
                self.row,
                state=State.STARTING,
                attempt=self.row.attempt + 1,
                epoch=0,
                controller=self._controller_id,
                worker=worker,
            )
        )

    def refuse(self, reason: str) -> list[_effects.Effect]:
        """Fail a queued task that can never be placed."""
        assert self.row.state is State.QUEUED
        return self._write(
            dataclasses.replace(self.row, state=State.FAILED, reason=reason)
        )

    def may_renew(self, now: core.Millis) -> bool:
        """Return whether the lease may be extended now.

        The caller must call ``record_lease_extension`` before each message
        that extends it.
        """
        if (
            self._end_report is not None
            or self._has_lost_control
            or not self._is_controller()
        ):
            return False
        pending = self._pending_row
        if pending is not None and pending.controller != self._controller_id:
            # The next controller counts the lease from its adoption, so
            # it must not be extended after this write.
            return False
        if not self.row.state.is_placed or not self._is_reported_running():
            return False
        return now - self._last_answer_at < self._timing.silence_ms

    def may_start(self) -> bool:
        """Return whether the attempt may be started now."""
        return (
            self._end_report is None
            and not self._has_lost_control
            and not self.is_writing
            and self._is_controller()
            and self.row.state is State.STARTING
        )

    def record_lease_extension(self, now: core.Millis) -> None:
        """Record that a message that extends the lease is about to be sent."""
        self._lease_extended_at = max(self._lease_extended_at, now)

    def record_start_sent(self, now: core.Millis) -> None:
        """Record that a start is about to be sent."""
        self.record_lease_extension(now)
        self._starts_sent += 1

    def record_start_failed(self, now: core.Millis) -> list[_effects.Effect]:
        """Record that a start certainly did not reach the worker.

        If none reached it, the task never ran and is queued again without
        waiting for its lease. This does not apply to an adopted task, which
        its former controller may have started.
        """
        self._starts_sent -= 1
        is_own_start = self._is_controller() and self.row.epoch == 0
        if (
            self._starts_sent
            or not is_own_start
            or self.row.state is not State.STARTING
        ):
            return []
        end = _messages.WorkerReported(
            attempt=self.row.attempt,
            status=Status.REFUSED,
            reason='worker unreachable',
        )
        return self._on_end(end, now)

    def handle(
        self, message: _messages.Message, now: core.Millis
    ) -> list[_effects.Effect]:
        """Handle a message; return the effects to carry out."""
        if self._has_lost_control:
            return []
        match message:
            case _messages.RowWritten(version=version):
                return self._on_written(version, now)
            case _messages.RowConflicted(row=row, version=version):
                return self._on_conflict(row, version, now)
            case _messages.WorkerReported():
                return self._on_worker_report(message, now)
            case _messages.WorkerGone():
                return self._on_end(
                    _make_stop_report(self.row, 'worker gone'), now
                )
            case _messages.EvictRequested():
                self._stop_reason = max(self._stop_reason, _StopReason.EVICT)
            case _messages.CancelRequested():
                self._stop_reason = _StopReason.CANCEL
            case _messages.HandOverRequested():
                self._is_handing_over = True
            case _messages.Tick(received_until=received_until):
                return self._on_tick(
                    now, now if received_until is None else received_until
                )
        return self._next_effects(now)

    def _is_reported_running(self) -> bool:
        """Return whether the worker has reported the attempt as running."""
        return self._is_run_confirmed or self.row.state is State.RUNNING

    def _is_controller(self) -> bool:
        """Return whether this daemon is the controller in the stored row."""
        return self.row.controller == self._controller_id

    def _write(self, row: _row.TaskRow) -> list[_effects.Effect]:
        """Return the write of a new row and mark it as in progress."""
        self._pending_row = row
        return [
            _effects.WriteRow(row=row, before=self.row, version=self.version)
        ]

    def _on_written(
        self, version: int, now: core.Millis
    ) -> list[_effects.Effect]:
        """Continue from the row that is now stored."""
        assert self._pending_row is not None
        self.row, self._pending_row = self._pending_row, None
        self.version = version
        if not self.row.state.is_placed or not self._is_controller():
            self._has_lost_control = True
            return [_effects.DropLifecycle(row=self.row)]
        return self._next_effects(now, is_after_write=True)

    def _on_conflict(
        self, row: _row.TaskRow, version: int, now: core.Millis
    ) -> list[_effects.Effect]:
        """Apply a cancellation by another writer, or lose control."""
        is_still_controller = row.token == self.row.token and (
            row.controller == self.row.controller
        )
        self._pending_row = None
        self.row = row
        self.version = version
        if not is_still_controller or not row.state.is_placed:
            self._has_lost_control = True
            return [_effects.DropLifecycle(row=row)]
        if row.is_cancel_requested:
            self._stop_reason = _StopReason.CANCEL
        return self._next_effects(now)

    def _on_worker_report(
        self, report: _messages.WorkerReported, now: core.Millis
    ) -> list[_effects.Effect]:
        """Apply a worker's report about the current attempt."""
        if report.attempt != self.row.attempt or self._end_report is not None:
            return []
        self._last_answer_at = max(self._last_answer_at, now)
        if report.status.is_end:
            return self._on_end(report, now)
        limit = self.row.time_limit_ms
        if limit and self.row.ran_ms + report.ran_ms >= limit:
            self._stop_reason = max(self._stop_reason, _StopReason.TIME_LIMIT)
        if report.status is Status.FENCED and not self.is_writing:
            # Another controller fenced this one off. Writing the row either
            # succeeds or reveals the new controller by a conflict.
            return self._write(self.row)
        if report.status is Status.RUNNING:
            self._is_run_confirmed = True
            self._is_checkpointing = report.is_saving
            if not report.is_saving:
                self._last_request_at = None
        if report.status is Status.UNKNOWN:
            if self.row.state is State.RUNNING and self._is_controller():
                # The worker lost its state, for example by a restart. The stop
                # makes it refuse a start that is still in transit.
                return [_effects.StopRun(row=self.row)]
            self._is_run_confirmed = False
        return self._next_effects(now)

    def _on_end(
        self, end: _messages.WorkerReported, now: core.Millis
    ) -> list[_effects.Effect]:
        """Release the slots and write the row after the end of the attempt."""
        if self._end_report is not None or not self.row.state.is_placed:
            return []
        self._end_report = end
        return [_effects.ReleaseSlots(row=self.row), *self._next_effects(now)]

    def _on_tick(
        self, now: core.Millis, received_until: core.Millis
    ) -> list[_effects.Effect]:
        """Resend unanswered requests; detect a lapsed lease.

        A lease that lapsed after ``received_until`` does not count as lapsed:
        a report that is not delivered yet may have the end of the task.
        """
        if self._end_report is not None or not self.row.state.is_placed:
            return self._next_effects(now)
        if not self._is_controller():
            return []
        if self._has_lapsed(received_until):
            return self._on_end(
                _make_stop_report(self.row, 'lease lapsed'), now
            )
        return self._next_effects(now)

    def _has_lapsed(self, now: core.Millis) -> bool:
        """Return whether every lease of the attempt has certainly expired."""
        timing = self._timing
        if now - self._last_answer_at < timing.silence_ms:
            return False
        latest = self._lease_extended_at + timing.window_ms
        return now >= latest + self.row.lease_ms + timing.margin_ms

    def _next_effects(
        self, now: core.Millis, is_after_write: bool = False
    ) -> list[_effects.Effect]:
        """Return the next effects for the current state.

        :param is_after_write: whether the row was just written, so that a
            request is due without waiting for ``resend_ms``.
        """
        if self._pending_row is not None or not self._is_controller():
            return []
        if self._end_report is not None:
            return self._write(
                _row_after_end(self.row, self._end_report, self._stop_reason)
            )
        if self._stop_reason and self.row.state is not State.EVICTING:
            cancelled = self._stop_reason is _StopReason.CANCEL
            return self._write(
                dataclasses.replace(
                    self.row,
                    state=State.EVICTING,
                    is_cancel_requested=cancelled,
                )
            )
        if self._is_handing_over:
            return self._write(dataclasses.replace(self.row, controller=''))
        if self.row.state is State.STARTING and self._is_run_confirmed:
            return self._write(
                dataclasses.replace(self.row, state=State.RUNNING)
            )
        return self._next_request(now, is_after_write)

    def _next_request(
        self, now: core.Millis, is_after_write: bool
    ) -> list[_effects.Effect]:
        """Return the request to the worker that is due, if any."""
        last_request = self._last_request_at
        if not is_after_write and last_request is not None:
            if now - last_request < self._timing.resend_ms:
                return []
        self._last_request_at = now
        if self.row.state is State.EVICTING:
            return self._next_stop_request(now)
        is_silent = now - self._last_answer_at >= self._timing.silence_ms
        if is_silent:
            return [_effects.QueryRun(row=self.row)]
        if self.row.state is State.STARTING:
            self.record_lease_extension(now)
            return [_effects.StartRun(row=self.row)]
        return []

    def _next_stop_request(self, now: core.Millis) -> list[_effects.Effect]:
        """Return the next request towards stopping the attempt.

        An eviction waits a bounded time for a new checkpoint; a task that
        will not resume needs none.
        """
        if (
            self._checkpoint_deadline is None
            and self._stop_reason <= _StopReason.EVICT
        ):
            self._checkpoint_deadline = core.Millis(
                now + self._timing.checkpoint_wait_ms
            )
            return [_effects.CheckpointRun(row=self.row)]
        if self._is_checkpointing and now < (self._checkpoint_deadline or 0):
            return [_effects.QueryRun(row=self.row)]
        return [_effects.StopRun(row=self.row)]


def _make_stop_report(
    row: _row.TaskRow, reason: str
) -> _messages.WorkerReported:
    """Return the report of a stop that no worker needs to confirm."""
    return _messages.WorkerReported(
        attempt=row.attempt, status=Status.STOPPED, reason=reason
    )


def _row_after_end(
    row: _row.TaskRow, end: _messages.WorkerReported, stop_reason: _StopReason
) -> _row.TaskRow:
    """Return the row after its attempt has certainly stopped.

    Only a failure of the task itself consumes a retry.
    """
    ended = dataclasses.replace(
        row,
        controller='',
        worker='',
        checkpoint=end.checkpoint or row.checkpoint,
        ran_ms=row.ran_ms + end.ran_ms,
        reason=end.reason,
    )
    if end.status is Status.FINISHED:
        return dataclasses.replace(
            ended, state=State.DONE, result=end.result, worker=row.worker
        )
    if stop_reason is _StopReason.CANCEL:
        return dataclasses.replace(ended, state=State.CANCELLED)
    if stop_reason is _StopReason.TIME_LIMIT:
        reason = f'the time limit of {row.time_limit_ms} ms is over'
        return dataclasses.replace(ended, state=State.FAILED, reason=reason)
    if end.status is Status.FAILED:
        if row.retries_left <= 0:
            return dataclasses.replace(ended, state=State.FAILED)
        return dataclasses.replace(
            ended,
            state=State.QUEUED,
            retries_left=row.retries_left - 1,
            avoid=row.worker,
        )
    if end.status is Status.REFUSED:
        ended = dataclasses.replace(ended, avoid=row.worker)
    evicted = row.state is State.EVICTING and end.status is Status.STOPPED
    return dataclasses.replace(
        ended,
        state=State.QUEUED,
        evictions=row.evictions + int(evicted),
    )
