"""Run one task through its states as its controller."""

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
    """Bound how late messages act, in milliseconds.

    A worker refuses a start or renewal that arrives more than
    ``window_ms`` after it was sent. ``margin_ms`` covers the drift of the
    worker's clock during a lease. A worker that has not answered for
    ``silence_ms`` gets no more renewals. An eviction waits ``save_ms`` for
    a checkpoint.
    """

    window_ms: int = 2_000
    margin_ms: int = 1_000
    silence_ms: int = 10_000
    repeat_ms: int = 1_000
    save_ms: int = 5_000


class _Wish(enum.IntEnum):
    """Order the reasons to stop a run; a later one wins."""

    NONE = 0
    EVICT = 1
    TIME_LIMIT = 2
    CANCEL = 3


class Lifecycle:
    """Hold one task under control; return effects, do no input or output.

    At most one write is in progress. What happens meanwhile is kept and
    decided on after it, so that each race ends in one compare-and-swap.

    :param row: the row as stored, ``version`` with it.
    :param me: ``instance_id/incarnation`` of this controller.
    :param now: monotonic time; a former controller sent nothing after it.
    """

    def __init__(
        self,
        row: _row.TaskRow,
        version: int,
        me: str,
        now: core.Millis,
        timing: Timing,
    ) -> None:
        self.row = row
        self.version = version
        self._me = me
        self._timing = timing
        self._pending: _row.TaskRow | None = None
        self._end: _messages.WorkerAnswered | None = None
        self._wish = _Wish.NONE
        self._is_confirmed = False
        self._is_leaving = False
        self._extended_at = now
        self._answered_at = now
        self._asked_at: core.Millis | None = None
        self._save_until: core.Millis | None = None
        self._is_saving = False
        self._starts = 0
        self._lost = False
        if row.is_cancel_requested:
            self._wish = _Wish.CANCEL

    @property
    def is_writing(self) -> bool:
        """Return whether a write is in progress."""
        return self._pending is not None

    @property
    def is_stopped(self) -> bool:
        """Return whether the attempt has stopped for certain."""
        return self._end is not None

    def begin(self, worker: str) -> list[_effects.Effect]:
        """Start a queued task at a worker."""
        assert self.row.state is State.QUEUED
        if self._wish is _Wish.CANCEL:
            return self._write(
                dataclasses.replace(self.row, state=State.CANCELLED)
            )
        return self._write(
            dataclasses.replace(
                self.row,
                state=State.STARTING,
                attempt=self.row.attempt + 1,
                epoch=0,
                controller=self._me,
                worker=worker,
            )
        )

    def refuse(self, reason: str) -> list[_effects.Effect]:
        """End a queued task that can never run."""
        assert self.row.state is State.QUEUED
        return self._write(
            dataclasses.replace(self.row, state=State.FAILED, reason=reason)
        )

    def may_renew(self, now: core.Millis) -> bool:
        """Return whether the lease may be extended now.

        Call ``extended`` before each message that extends it.
        """
        if self._end is not None or self._lost or not self._owns():
            return False
        pending = self._pending
        if pending is not None and pending.controller != self._me:
            # The next controller counts the lease from its adoption.
            return False
        if not self.row.state.is_placed or not self._may_run():
            return False
        return now - self._answered_at < self._timing.silence_ms

    def extended(self, now: core.Millis) -> None:
        """Note that a start or renewal is about to be sent."""
        self._extended_at = max(self._extended_at, now)

    def start_sent(self, now: core.Millis) -> None:
        """Note that a start is about to be sent."""
        self.extended(now)
        self._starts += 1

    def start_not_sent(self, now: core.Millis) -> list[_effects.Effect]:
        """Take back a start that certainly did not reach the worker.

        If no start did, the task never ran and moves on without a wait.
        An adopted task may have been started by its former controller.
        """
        self._starts -= 1
        is_ours = self._owns() and self.row.epoch == 0
        if self._starts or not is_ours or self.row.state is not State.STARTING:
            return []
        end = _messages.WorkerAnswered(
            attempt=self.row.attempt,
            status=Status.REFUSED,
            reason='worker unreachable',
        )
        return self._on_end(end, now)

    def handle(
        self, message: _messages.Message, now: core.Millis
    ) -> list[_effects.Effect]:
        """Return what to do about a message."""
        if self._lost:
            return []
        match message:
            case _messages.RowWritten(version=version):
                return self._on_written(version, now)
            case _messages.RowConflicted(row=row, version=version):
                return self._on_conflict(row, version, now)
            case _messages.WorkerAnswered():
                return self._on_answer(message, now)
            case _messages.WorkerGone():
                return self._on_end(_stopped(self.row, 'worker gone'), now)
            case _messages.EvictWanted():
                self._wish = max(self._wish, _Wish.EVICT)
            case _messages.CancelWanted():
                self._wish = _Wish.CANCEL
            case _messages.HandOverWanted():
                self._is_leaving = True
            case _messages.Tick():
                return self._on_tick(now)
        return self._decide(now)

    def _may_run(self) -> bool:
        """Return whether the worker has been seen to run the attempt."""
        return self._is_confirmed or self.row.state is State.RUNNING

    def _owns(self) -> bool:
        """Return whether the stored row names this controller."""
        return self.row.controller == self._me

    def _write(self, row: _row.TaskRow) -> list[_effects.Effect]:
        """Return the write of a new row."""
        self._pending = row
        return [
            _effects.WriteRow(row=row, before=self.row, version=self.version)
        ]

    def _on_written(
        self, version: int, now: core.Millis
    ) -> list[_effects.Effect]:
        """Act on the state that is now stored."""
        assert self._pending is not None
        self.row, self._pending = self._pending, None
        self.version = version
        if not self.row.state.is_placed or not self._owns():
            self._lost = True
            return [_effects.Forget(row=self.row)]
        return self._decide(now, is_new=True)

    def _on_conflict(
        self, row: _row.TaskRow, version: int, now: core.Millis
    ) -> list[_effects.Effect]:
        """Take over a request to cancel, or give up control."""
        is_ours = row.token == self.row.token and (
            row.controller == self.row.controller
        )
        self._pending = None
        self.row = row
        self.version = version
        if not is_ours or not row.state.is_placed:
            self._lost = True
            return [_effects.Forget(row=row)]
        if row.is_cancel_requested:
            self._wish = _Wish.CANCEL
        return self._decide(now)

    def _on_answer(
        self, answer: _messages.WorkerAnswered, now: core.Millis
    ) -> list[_effects.Effect]:
        """Note what the worker says about the present attempt."""
        if answer.attempt != self.row.attempt or self._end is not None:
            return []
        self._answered_at = max(self._answered_at, now)
        if answer.status.is_end:
            return self._on_end(answer, now)
        limit = self.row.time_limit_ms
        if limit and self.row.ran_ms + answer.ran_ms >= limit:
            self._wish = max(self._wish, _Wish.TIME_LIMIT)
        if answer.status is Status.FENCED and not self.is_writing:
            # Another controller is at work: the write shows whose row it is.
            return self._write(self.row)
        if answer.status is Status.RUNNING:
            self._is_confirmed = True
            self._is_saving = answer.is_saving
            if not answer.is_saving:
                self._asked_at = None
        if answer.status is Status.UNKNOWN:
            if self.row.state is State.RUNNING and self._owns():
                # The worker lost its memory. The stop makes it refuse a
                # start that is still on its way.
                return [_effects.StopRun(row=self.row)]
            self._is_confirmed = False
        return self._decide(now)

    def _on_end(
        self, end: _messages.WorkerAnswered, now: core.Millis
    ) -> list[_effects.Effect]:
        """Free the slots, then record the end."""
        if self._end is not None or not self.row.state.is_placed:
            return []
        self._end = end
        return [_effects.FreeSlots(row=self.row), *self._decide(now)]

    def _on_tick(self, now: core.Millis) -> list[_effects.Effect]:
        """Repeat what was not answered; notice a lapsed lease."""
        if self._end is not None or not self.row.state.is_placed:
            return self._decide(now)
        if not self._owns():
            return []
        if self._has_lapsed(now):
            return self._on_end(_stopped(self.row, 'lease lapsed'), now)
        return self._decide(now)

    def _has_lapsed(self, now: core.Millis) -> bool:
        """Return whether no lease of the attempt can be in force."""
        timing = self._timing
        if now - self._answered_at < timing.silence_ms:
            return False
        latest = self._extended_at + timing.window_ms
        return now >= latest + self.row.lease_ms + timing.margin_ms

    def _decide(
        self, now: core.Millis, is_new: bool = False
    ) -> list[_effects.Effect]:
        """Return the next step from all that is known."""
        if self._pending is not None or not self._owns():
            return []
        if self._end is not None:
            return self._write(_after_end(self.row, self._end, self._wish))
        if self._wish and self.row.state is not State.EVICTING:
            cancelled = self._wish is _Wish.CANCEL
            return self._write(
                dataclasses.replace(
                    self.row,
                    state=State.EVICTING,
                    is_cancel_requested=cancelled,
                )
            )
        if self._is_leaving:
            return self._write(dataclasses.replace(self.row, controller=''))
        if self.row.state is State.STARTING and self._is_confirmed:
            return self._write(
                dataclasses.replace(self.row, state=State.RUNNING)
            )
        return self._ask(now, is_new)

    def _ask(self, now: core.Millis, is_new: bool) -> list[_effects.Effect]:
        """Return the message to the worker that is due, if any."""
        asked = self._asked_at
        if not is_new and asked is not None:
            if now - asked < self._timing.repeat_ms:
                return []
        self._asked_at = now
        if self.row.state is State.EVICTING:
            return self._stop(now)
        is_silent = now - self._answered_at >= self._timing.silence_ms
        if is_silent:
            return [_effects.AskWorker(row=self.row)]
        if self.row.state is State.STARTING:
            self.extended(now)
            return [_effects.StartRun(row=self.row)]
        return []

    def _stop(self, now: core.Millis) -> list[_effects.Effect]:
        """Return the next message that ends the attempt.

        An eviction waits a bounded time for a new checkpoint; a task that
        ends for good needs none.
        """
        if self._save_until is None and self._wish <= _Wish.EVICT:
            self._save_until = core.Millis(now + self._timing.save_ms)
            return [_effects.CheckpointRun(row=self.row)]
        if self._is_saving and now < (self._save_until or 0):
            return [_effects.AskWorker(row=self.row)]
        return [_effects.StopRun(row=self.row)]


def _stopped(row: _row.TaskRow, reason: str) -> _messages.WorkerAnswered:
    """Return the end of an attempt that is proven without its worker."""
    return _messages.WorkerAnswered(
        attempt=row.attempt, status=Status.STOPPED, reason=reason
    )


def _after_end(
    row: _row.TaskRow, end: _messages.WorkerAnswered, wish: _Wish
) -> _row.TaskRow:
    """Return the row after its attempt has stopped for certain.

    Only a failure of the task itself uses up a retry.
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
    if wish is _Wish.CANCEL:
        return dataclasses.replace(ended, state=State.CANCELLED)
    if wish is _Wish.TIME_LIMIT:
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
