"""Stand-in for workers that run tasks under leases."""

from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import orders as contracts
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import _slow_clock

LATENCY_MS = 2
ORDER_TIMEOUT_MS = 1_200
STOP_MS = 100
LEASE_MAX_MS = 6_000
LEASE_CHECK_MS = 50
STALL_RETRY_MS = 100
MAX_LISTED_ENDS = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class RunRecord:
    """Record of one run; ``outcome`` is empty while it runs."""

    worker: str
    key: scheduling.TaskKey
    number: int
    epoch: int
    started_ms: int
    checkpoint: str
    percent: int = 0
    ended_ms: int = -1
    outcome: str = ''
    is_acknowledged: bool = False


@dataclasses.dataclass(slots=True)
class OrderFaults:
    """The faults between one daemon and the workers.

    ``unreachable``: workers that the daemon cannot reach.
    ``unanswered_starts``: number of starts that get no answer and are carried
    out after ``effect_delay_ms``. ``unanswered_polls``: the same for polls, by
    worker. ``send_delay_ms``: how long orders wait for a connection before
    they are sent, and ``transit_ms`` how long starts are on their way then.
    ``report_delays_ms``: how long each report of a worker is on
    its way, by worker.
    """

    unreachable: set[str] = dataclasses.field(default_factory=set)
    send_delay_ms: int = 0
    transit_ms: int = 0
    unanswered_starts: int = 0
    unanswered_polls: dict[str, int] = dataclasses.field(default_factory=dict)
    effect_delay_ms: int = 0
    report_delays_ms: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Receipt:
    """A response that arrives at a daemon, and whether it has been read."""

    arrival_ms: int
    is_read: bool = False


class FleetWorker:
    """Worker that simulates runs under a lease and reports them.

    ``duration_of`` and ``outcome_of`` return the duration of a run in ms and
    its outcome. The worker enforces fencing epochs, run numbers and lease
    ends, which are times on its own clock: ``clock_ms`` is what that shows at
    the start. While ``is_stalled`` is set, tasks make no progress and do not
    end. A report lists at most ``max_listed_ends`` ends, the oldest ones.
    While ``is_refusing`` is set, the machine refuses connections at once.
    """

    def __init__(
        self,
        clock: core.ManualClock,
        info: scheduling.WorkerInfo,
        history: list[RunRecord],
        duration_of: Callable[[scheduling.TaskKey], int],
        outcome_of: Callable[[scheduling.TaskKey, int], str],
        clock_ms: int | None = None,
    ) -> None:
        self._clock = clock
        now = clock.now()
        self._clock_offset_ms = 0 if clock_ms is None else clock_ms - now
        self.info = info
        self._history = history
        self._duration_of = duration_of
        self._outcome_of = outcome_of
        self._fence = 0
        self._lease_end = 0
        self._running: dict[scheduling.TaskKey, RunRecord] = {}
        self._highest_numbers: dict[scheduling.TaskKey, int] = {}
        self._ended: list[tuple[int, RunRecord]] = []
        self._sequence = 0
        self._pending_polls: list[defer.Deferred[None]] = []
        self.has_crashed = False
        self.is_refusing = False
        self.is_stalled = False
        self.max_listed_ends = MAX_LISTED_ENDS
        self._check_lease()

    def _worker_now(self) -> int:
        """Return the time on the worker's clock."""
        return self._clock.now() + self._clock_offset_ms

    def _check_lease(self) -> None:
        """End all runs once the lease has expired; check periodically."""
        if self.has_crashed:
            return
        if self._worker_now() >= self._lease_end:
            for record in list(self._running.values()):
                self._end_run(record, 'lapsed')
        self._clock.call_later(LEASE_CHECK_MS, self._check_lease)

    def crash(self, *, is_refusing: bool = False) -> None:
        """Simulate a crash of the process: all runs are lost.

        If ``is_refusing``, the machine goes on and resets its connections.
        Otherwise nothing answers any more.
        """
        self.has_crashed = True
        self.is_refusing = is_refusing
        for record in self._running.values():
            record.ended_ms = self._clock.now()
            record.outcome = 'lost'
        self._running.clear()
        if is_refusing:
            self._answer_polls()

    def start(self, msg: contracts.StartRun) -> contracts.StartReply:
        """Start a run; refuse an old number, an expired lease or a second run.

        A repeated start of the current run is accepted without effect.

        :raises FencedError: if a newer owner is known.
        """
        outcome = scheduling.StartOutcome
        self._advance_fence(msg.fence)
        running = self._running.get(msg.key)
        if running is not None and running.number == msg.number:
            return contracts.StartReply(outcome=outcome.STARTED)
        if msg.number <= self._highest_numbers.get(msg.key, 0) or running:
            return contracts.StartReply(outcome=outcome.REFUSED, reason='old')
        if msg.lease_end_ms <= self._worker_now():
            return contracts.StartReply(outcome=outcome.REFUSED, reason='late')
        self._extend_lease(msg.lease_end_ms)
        record = RunRecord(
            worker=self.info.id,
            key=msg.key,
            number=msg.number,
            epoch=msg.epoch,
            started_ms=self._clock.now(),
            checkpoint=msg.checkpoint,
        )
        self._history.append(record)
        self._running[msg.key] = record
        self._clock.call_later(
            self._duration_of(msg.key),
            lambda: self._finish(record),
        )
        return contracts.StartReply(outcome=outcome.STARTED)

    def answer_start(self, msg: contracts.StartRun) -> contracts.StartReply:
        """Start a run as ``start`` does; the reply shows the clock."""
        return dataclasses.replace(
            self.start(msg), clock_ms=self._worker_now()
        )

    def _finish(self, record: RunRecord) -> None:
        """End a run that is complete; postpone that while tasks stall."""
        if self.is_stalled:
            self._clock.call_later(
                STALL_RETRY_MS, lambda: self._finish(record)
            )
            return
        self._end_run(record, self._outcome_of(record.key, record.number))

    def _progress_percent(self, record: RunRecord) -> int:
        """Return the progress of a run in percent."""
        if not self.is_stalled:
            elapsed = self._clock.now() - record.started_ms
            duration = max(1, self._duration_of(record.key))
            record.percent = min(99, 100 * elapsed // duration)
        return record.percent

    def stop(self, msg: contracts.StopRun) -> None:
        """Stop a run, or prevent its start if it has not started."""
        self._advance_fence(msg.fence)
        highest = self._highest_numbers.get(msg.key, 0)
        self._highest_numbers[msg.key] = max(highest, msg.number)
        record = self._running.get(msg.key)
        if record is not None and record.number <= msg.number:
            self._clock.call_later(
                STOP_MS, lambda: self._end_run(record, 'stopped')
            )

    async def poll(self, msg: contracts.PollWorker) -> scheduling.WorkerReport:
        """Extend the lease and report all runs, after at most ``wait_ms``.

        Ends up to the acknowledged one are dropped first. With a wait and
        no ends left, the report comes when a run ends.
        """
        self._advance_fence(msg.fence)
        if msg.lease_end_ms is not None:
            self._extend_lease(msg.lease_end_ms)
        for sequence, record in self._ended:
            if sequence <= msg.acknowledged:
                record.is_acknowledged = True
        self._ended = [end for end in self._ended if end[0] > msg.acknowledged]
        if not self._ended and msg.wait_ms:
            fut: defer.Deferred[None] = defer.Deferred()
            self._pending_polls.append(fut)
            self._clock.call_later(msg.wait_ms, lambda: _fire_once(fut))
            await fut
        listed_ends = self._ended[: self.max_listed_ends]
        return scheduling.WorkerReport(
            clock_ms=self._worker_now(),
            process_start_ms=self.info.process_start_ms,
            running=tuple(
                scheduling.RunReport(
                    key=record.key,
                    number=record.number,
                    checkpoint='',
                    percent=self._progress_percent(record),
                )
                for record in self._running.values()
            ),
            ended=tuple(
                scheduling.EndReport(
                    sequence=sequence,
                    key=record.key,
                    number=record.number,
                    kind=scheduling.EndKind(record.outcome),
                    checkpoint='',
                )
                for sequence, record in listed_ends
            ),
            has_more_ends=len(listed_ends) >= self.max_listed_ends,
        )

    def _advance_fence(self, fence: int) -> None:
        """Record the highest token; raise FencedError for a lower one."""
        if fence < self._fence:
            raise contracts.FencedError(
                'the worker has seen a higher fencing token'
            )
        self._fence = fence

    def _extend_lease(self, lease_end_ms: int) -> None:
        """Extend the lease, to at most LEASE_MAX_MS from now."""
        latest_end = self._worker_now() + LEASE_MAX_MS
        self._lease_end = max(self._lease_end, min(lease_end_ms, latest_end))

    def _end_run(self, record: RunRecord, outcome: str) -> None:
        """End a run and answer the pending polls."""
        if record.outcome or self.has_crashed:
            return
        record.outcome = outcome
        record.ended_ms = self._clock.now()
        del self._running[record.key]
        highest = self._highest_numbers.get(record.key, 0)
        self._highest_numbers[record.key] = max(highest, record.number)
        self._sequence += 1
        self._ended.append((self._sequence, record))
        self._answer_polls()

    def _answer_polls(self) -> None:
        """End the wait of all polls."""
        pending_polls, self._pending_polls = self._pending_polls, []
        for fut in pending_polls:
            _fire_once(fut)


def _fire_once(fut: 'defer.Deferred[None]') -> None:
    """Fire a Deferred unless it has fired."""
    if not fut.called:
        fut.callback(None)


_RunId = tuple[str, scheduling.TaskKey, int]
"""Worker, task and number of a run."""

_Order = contracts.StopRun | contracts.PaceRun | contracts.PollWorker
"""Requests that fail with an error if they are withdrawn."""


class RefusedError(contracts.WorkerError):
    """Raised when a machine refuses a connection, so nothing was sent."""


class OrdersTask(core.Task):
    """Orders service of one daemon, with faults towards the workers."""

    def __init__(
        self, kernel: core.Kernel, workers: dict[str, FleetWorker]
    ) -> None:
        super().__init__(kernel, contracts.SERVICE)
        self._workers = workers
        self._unsent_starts: dict[_RunId, defer.Deferred[None]] = {}
        self._starts_until_ms = 2**53
        self.faults = OrderFaults()
        self.receipts: list[Receipt] = []
        self.poll_count = 0

    def _check_time(self, msg: _Order) -> None:
        """Raise WithdrawnError if a request may not be sent any more."""
        if self.kernel.clock.now() >= msg.send_by_ms:
            raise contracts.WithdrawnError('the owner may not act any more')

    async def _reach_worker(self, target: contracts.Target) -> FleetWorker:
        """Return a worker after the latency.

        :raises WorkerError: after a time-out, if it cannot be reached, or at
            once, if it refuses the connection.
        """
        worker = await self._check_reachable(target)
        await self.kernel.sleep(LATENCY_MS)
        return worker

    async def _check_reachable(self, target: contracts.Target) -> FleetWorker:
        """Return a worker if it can be reached.

        :raises WorkerError: as ``_reach_worker``.
        """
        worker = self._workers.get(target.address) or self._workers.get(
            target.worker
        )
        is_unreachable = target.worker in self.faults.unreachable
        if worker is not None and worker.is_refusing and not is_unreachable:
            await self.kernel.sleep(LATENCY_MS)
            raise RefusedError('connection refused')
        if worker is None or worker.has_crashed or is_unreachable:
            await self.kernel.sleep(ORDER_TIMEOUT_MS)
            raise contracts.WorkerError('no answer')
        return worker

    async def _receive_from(self, target: contracts.Target) -> None:
        """Wait until the response of a worker is read.

        :raises WorkerError: as ``_reach_worker``.
        """
        await self._check_reachable(target)
        receipt = Receipt(arrival_ms=self.kernel.clock.now() + LATENCY_MS)
        self.receipts.append(receipt)
        await _slow_clock.receive(self.kernel, LATENCY_MS)
        receipt.is_read = True

    async def _wait_to_send(self) -> None:
        """Wait for a connection."""
        if self.faults.send_delay_ms:
            await self.kernel.sleep(self.faults.send_delay_ms)

    async def _is_withdrawn(self, msg: contracts.StartRun) -> bool:
        """Wait for a connection; return whether a stop came before."""
        if not self.faults.send_delay_ms:
            return False
        run = (msg.target.worker, msg.key, msg.number)
        fut: defer.Deferred[None] = defer.Deferred()
        self._unsent_starts[run] = fut
        self.kernel.clock.call_later(
            self.faults.send_delay_ms, lambda: _fire_once(fut)
        )
        await fut
        return self._unsent_starts.pop(run, None) is None

    @core.handles(contracts.StartRun)
    def _on_start(self, msg: contracts.StartRun) -> Any:
        """Handle an order to start a run."""
        return defer.ensureDeferred(self._start(msg))

    async def _start(self, msg: contracts.StartRun) -> contracts.StartReply:
        """Start a run; with a fault the answer is lost and the start late."""
        is_withdrawn = await self._is_withdrawn(msg)
        send_by_ms = min(msg.send_by_ms, self._starts_until_ms)
        if is_withdrawn or self.kernel.clock.now() >= send_by_ms:
            return contracts.StartReply(
                outcome=scheduling.StartOutcome.WITHDRAWN
            )
        self.kernel.publish(
            contracts.StartSent(
                worker=msg.target.worker,
                key=msg.key,
                number=msg.number,
                epoch=msg.epoch,
            )
        )
        queued_ms = self.faults.send_delay_ms
        in_doubt = contracts.StartReply(
            outcome=scheduling.StartOutcome.IN_DOUBT,
            reason='no answer',
            queued_ms=queued_ms,
        )
        if self.faults.transit_ms:
            await self.kernel.sleep(self.faults.transit_ms)
        try:
            worker = await self._reach_worker(msg.target)
        except RefusedError as exc:
            return contracts.StartReply(
                outcome=scheduling.StartOutcome.UNHEALTHY, reason=str(exc)
            )
        except contracts.WorkerError:
            return in_doubt
        if self.faults.unanswered_starts > 0:
            self.faults.unanswered_starts -= 1
            self.kernel.clock.call_later(
                self.faults.effect_delay_ms,
                lambda: self._start_without_answer(msg),
            )
            await self.kernel.sleep(ORDER_TIMEOUT_MS)
            return in_doubt
        return dataclasses.replace(
            worker.answer_start(msg), queued_ms=queued_ms
        )

    @core.handles(contracts.StopRun)
    def _on_stop(self, msg: contracts.StopRun) -> Any:
        """Handle an order to stop a run."""
        return defer.ensureDeferred(self._stop(msg))

    def _withdraw(self, run: _RunId) -> bool:
        """Withdraw a start; return False if none waits to be sent."""
        unsent_start = self._unsent_starts.pop(run, None)
        if unsent_start is not None:
            _fire_once(unsent_start)
        return unsent_start is not None

    @core.handles(contracts.WithdrawStart)
    def _on_withdraw_start(self, msg: contracts.WithdrawStart) -> None:
        """Withdraw the start of a run if it is not sent yet."""
        self._withdraw((msg.worker, msg.key, msg.number))

    @core.handles(contracts.LimitStarts)
    def _on_limit_starts(self, msg: contracts.LimitStarts) -> None:
        """Set the time until which starts are sent."""
        self._starts_until_ms = msg.until_ms

    @core.handles(contracts.WithdrawOrders)
    def _on_withdraw_orders(self, msg: contracts.WithdrawOrders) -> None:
        """Withdraw all starts that are not sent; a daemon has one epoch."""
        unsent_starts, self._unsent_starts = self._unsent_starts, {}
        for fut in unsent_starts.values():
            _fire_once(fut)

    async def _stop(self, msg: contracts.StopRun) -> None:
        """Stop a run, or withdraw its start if that is not sent yet."""
        if self._withdraw((msg.target.worker, msg.key, msg.number)):
            return
        await self._wait_to_send()
        self._check_time(msg)
        worker = await self._reach_worker(msg.target)
        worker.stop(msg)

    @core.handles(contracts.PaceRun)
    def _on_pace(self, msg: contracts.PaceRun) -> Any:
        """Accept an order to pace a run; it has no effect in the stand-in."""
        return defer.ensureDeferred(self._pace(msg))

    async def _pace(self, msg: contracts.PaceRun) -> None:
        """Reach the worker."""
        await self._wait_to_send()
        self._check_time(msg)
        await self._reach_worker(msg.target)

    @core.handles(contracts.PollWorker)
    def _on_poll(self, msg: contracts.PollWorker) -> Any:
        """Handle a poll of a worker."""
        self.poll_count += 1
        return defer.ensureDeferred(self._poll(msg))

    async def _poll(
        self, msg: contracts.PollWorker
    ) -> scheduling.WorkerReport:
        """Poll a worker; the report is lost if it becomes unreachable."""
        self._check_time(msg)
        sent_ms = self.kernel.clock.now()
        worker = await self._reach_worker(msg.target)
        unanswered_polls = self.faults.unanswered_polls
        if unanswered_polls.get(msg.target.worker, 0) > 0:
            unanswered_polls[msg.target.worker] -= 1
            self.kernel.clock.call_later(
                self.faults.effect_delay_ms,
                lambda: self._poll_without_answer(msg),
            )
            await self.kernel.sleep(ORDER_TIMEOUT_MS)
            raise contracts.WorkerError('no answer')
        report = await worker.poll(msg)
        if worker.has_crashed and not worker.is_refusing:
            # Another incarnation does not answer polls of this one.
            await self.kernel.sleep(ORDER_TIMEOUT_MS)
            raise contracts.WorkerError('no answer')
        if msg.target.worker in self.faults.report_delays_ms:
            await self._delay_report(msg, sent_ms, report)
        else:
            await self._receive_from(msg.target)
        return report

    def _present_worker(self, target: contracts.Target) -> FleetWorker | None:
        """Return the worker that runs now under the id of a target.

        Another incarnation cannot tell that an order was for a former one.
        """
        worker = self._workers.get(target.address) or self._workers.get(
            target.worker
        )
        return None if worker is None or worker.has_crashed else worker

    def _start_without_answer(self, msg: contracts.StartRun) -> None:
        """Carry out a start whose answer is lost."""
        worker = self._present_worker(msg.target)
        if worker is None:
            return
        with contextlib.suppress(contracts.FencedError):
            worker.start(msg)

    def _poll_without_answer(self, msg: contracts.PollWorker) -> None:
        """Carry out a poll whose answer is lost."""
        worker = self._present_worker(msg.target)
        if worker is None:
            return
        fut = defer.ensureDeferred(worker.poll(msg))
        fut.addErrback(lambda reason: reason.trap(contracts.FencedError))

    async def _delay_report(
        self,
        msg: contracts.PollWorker,
        sent_ms: int,
        report: scheduling.WorkerReport,
    ) -> None:
        """Wait until a report arrives, as long as its poll may take.

        :raises WorkerError: if the report does not arrive in time; it is
            published when it arrives.
        """
        timeout_ms = msg.wait_ms + msg.extra_timeout_ms + ORDER_TIMEOUT_MS
        passed_ms = self.kernel.clock.now() - sent_ms
        delay_ms = self.faults.report_delays_ms[msg.target.worker]
        if passed_ms + delay_ms > timeout_ms:
            late_report = contracts.LateReport(
                worker=msg.target.worker, epoch=msg.epoch, report=report
            )
            self.kernel.clock.call_later(
                delay_ms, lambda: self.kernel.publish(late_report)
            )
            await self.kernel.sleep(timeout_ms - passed_ms)
            raise contracts.WorkerError('no answer in time')
        await self.kernel.sleep(delay_ms)
