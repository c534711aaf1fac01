"""Stand in for workers that run tasks under leases."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import orders as contracts
from oriolestand_policy import scheduling

LATENCY_MS = 2
ORDER_TIMEOUT_MS = 1_200
STOP_MS = 100
LEASE_MAX_MS = 6_000
LEASE_CHECK_MS = 50
STILL_RETRY_MS = 100


@dataclasses.dataclass(slots=True, kw_only=True)
class RunRecord:
    """Hold the history of one run; ``how`` is empty while it runs."""

    worker: str
    key: scheduling.TaskKey
    number: int
    epoch: int
    started_ms: int
    checkpoint: str
    percent: int = 0
    ended_ms: int = -1
    how: str = ''
    is_acknowledged: bool = False


@dataclasses.dataclass(slots=True)
class OrderFaults:
    """Hold what goes wrong between one daemon and the workers.

    ``unreachable``: workers that get nothing and do not answer.
    ``lost_starts``: so many starts get no answer and are carried out after
    ``late_ms``.
    """

    unreachable: set[str] = dataclasses.field(default_factory=set)
    lost_starts: int = 0
    late_ms: int = 0


class FleetWorker:
    """Run tasks under a lease and list what runs and what has ended.

    ``duration_of`` and ``how_of`` decide how long a run takes and how it
    ends. The worker keeps to the rules of fences, numbers and deadlines.
    While ``is_still`` is set, tasks make no progress and do not end.
    """

    def __init__(
        self,
        clock: core.ManualClock,
        info: scheduling.WorkerInfo,
        history: list[RunRecord],
        duration_of: Callable[[scheduling.TaskKey], int],
        how_of: Callable[[scheduling.TaskKey, int], str],
    ) -> None:
        self._clock = clock
        self.info = info
        self._history = history
        self._duration_of = duration_of
        self._how_of = how_of
        self._epoch = 0
        self._lease_end = 0
        self._running: dict[scheduling.TaskKey, RunRecord] = {}
        self._highest: dict[scheduling.TaskKey, int] = {}
        self._ended: list[tuple[int, RunRecord]] = []
        self._sequence = 0
        self._waiting: list[defer.Deferred[None]] = []
        self.is_dead = False
        self.is_still = False
        self._check_lease()

    def _check_lease(self) -> None:
        """End everything once the lease is over."""
        if self.is_dead:
            return
        if self._clock.now() >= self._lease_end:
            for record in list(self._running.values()):
                self._end(record, 'lapsed')
        self._clock.call_later(LEASE_CHECK_MS, self._check_lease)

    def crash(self) -> None:
        """Lose everything, as the process is gone."""
        self.is_dead = True
        for record in self._running.values():
            record.ended_ms = self._clock.now()
            record.how = 'lost'
        self._running.clear()

    def start(self, msg: contracts.StartRun) -> contracts.StartReply:
        """Start a run unless a rule forbids it."""
        outcome = scheduling.StartOutcome
        self._raise_epoch(msg.epoch)
        running = self._running.get(msg.key)
        if running is not None and running.number == msg.number:
            return contracts.StartReply(outcome=outcome.STARTED)
        if msg.number <= self._highest.get(msg.key, 0) or running:
            return contracts.StartReply(outcome=outcome.REFUSED, reason='old')
        if msg.lease_end_ms <= self._clock.now():
            return contracts.StartReply(outcome=outcome.REFUSED, reason='late')
        self._extend(msg.lease_end_ms)
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

    def _finish(self, record: RunRecord) -> None:
        """End a run by itself, later if its worker stands still."""
        if self.is_still:
            self._clock.call_later(
                STILL_RETRY_MS, lambda: self._finish(record)
            )
            return
        self._end(record, self._how_of(record.key, record.number))

    def _percent(self, record: RunRecord) -> int:
        """Return the progress of a run."""
        if not self.is_still:
            passed = self._clock.now() - record.started_ms
            duration = max(1, self._duration_of(record.key))
            record.percent = min(99, 100 * passed // duration)
        return record.percent

    def stop(self, msg: contracts.StopRun) -> None:
        """Stop a run, or keep it from starting."""
        self._raise_epoch(msg.epoch)
        known = self._highest.get(msg.key, 0)
        self._highest[msg.key] = max(known, msg.number)
        record = self._running.get(msg.key)
        if record is not None and record.number <= msg.number:
            self._clock.call_later(
                STOP_MS, lambda: self._end(record, 'stopped')
            )

    async def look(self, msg: contracts.PollWorker) -> scheduling.WorkerReport:
        """Extend the lease, wait for an end and list everything."""
        self._raise_epoch(msg.epoch)
        if msg.lease_end_ms is not None:
            self._extend(msg.lease_end_ms)
        for sequence, record in self._ended:
            if sequence <= msg.acknowledged:
                record.is_acknowledged = True
        self._ended = [e for e in self._ended if e[0] > msg.acknowledged]
        if not self._ended and msg.wait_ms:
            fut: defer.Deferred[None] = defer.Deferred()
            self._waiting.append(fut)
            self._clock.call_later(msg.wait_ms, lambda: _fire(fut))
            await fut
        return scheduling.WorkerReport(
            clock_ms=self._clock.now(),
            process_start_ms=self.info.process_start_ms,
            running=tuple(
                scheduling.RunReport(
                    key=record.key,
                    number=record.number,
                    checkpoint='',
                    percent=self._percent(record),
                )
                for record in self._running.values()
            ),
            ended=tuple(
                scheduling.EndReport(
                    sequence=sequence,
                    key=record.key,
                    number=record.number,
                    kind=scheduling.EndKind(record.how),
                    checkpoint='',
                )
                for sequence, record in self._ended
            ),
        )

    def _raise_epoch(self, epoch: int) -> None:
        """Note the highest epoch; raise FencedError for a lower one."""
        if epoch < self._epoch:
            raise contracts.FencedError('a newer owner was seen')
        self._epoch = epoch

    def _extend(self, lease_end_ms: int) -> None:
        """Extend the lease up to the longest one."""
        longest = self._clock.now() + LEASE_MAX_MS
        self._lease_end = max(self._lease_end, min(lease_end_ms, longest))

    def _end(self, record: RunRecord, how: str) -> None:
        """End a run and tell who waits."""
        if record.how or self.is_dead:
            return
        record.how = how
        record.ended_ms = self._clock.now()
        del self._running[record.key]
        known = self._highest.get(record.key, 0)
        self._highest[record.key] = max(known, record.number)
        self._sequence += 1
        self._ended.append((self._sequence, record))
        waiting, self._waiting = self._waiting, []
        for fut in waiting:
            _fire(fut)


def _fire(fut: 'defer.Deferred[None]') -> None:
    """Fire a Deferred once."""
    if not fut.called:
        fut.callback(None)


class OrdersTask(core.Task):
    """Carry one daemon's orders to the workers."""

    def __init__(
        self, kernel: core.Kernel, workers: dict[str, FleetWorker]
    ) -> None:
        super().__init__(kernel, contracts.SERVICE)
        self._workers = workers
        self.faults = OrderFaults()

    async def _reach(self, target: contracts.Target) -> FleetWorker:
        """Return a worker, or fail like a network does."""
        worker = self._workers.get(target.worker)
        is_lost = target.worker in self.faults.unreachable
        if worker is None or worker.is_dead or is_lost:
            await self.kernel.sleep(ORDER_TIMEOUT_MS)
            raise contracts.WorkerError('no answer')
        await self.kernel.sleep(LATENCY_MS)
        return worker

    @core.handles(contracts.StartRun)
    def _on_start(self, msg: contracts.StartRun) -> Any:
        """Start a run."""
        return defer.ensureDeferred(self._start(msg))

    async def _start(self, msg: contracts.StartRun) -> contracts.StartReply:
        """Start a run; the answer may be lost, the effect late."""
        lost = contracts.StartReply(
            outcome=scheduling.StartOutcome.IN_DOUBT, reason='no answer'
        )
        try:
            worker = await self._reach(msg.target)
        except contracts.WorkerError:
            return lost
        if self.faults.lost_starts > 0:
            self.faults.lost_starts -= 1
            self.kernel.clock.call_later(
                self.faults.late_ms, lambda: _start_late(worker, msg)
            )
            await self.kernel.sleep(ORDER_TIMEOUT_MS)
            return lost
        return worker.start(msg)

    @core.handles(contracts.StopRun)
    def _on_stop(self, msg: contracts.StopRun) -> Any:
        """Stop a run."""
        return defer.ensureDeferred(self._stop(msg))

    async def _stop(self, msg: contracts.StopRun) -> None:
        """Stop a run."""
        worker = await self._reach(msg.target)
        worker.stop(msg)

    @core.handles(contracts.PaceRun)
    def _on_pace(self, msg: contracts.PaceRun) -> Any:
        """Take an order to pace; the stand-in has one speed."""
        return defer.ensureDeferred(self._reach(msg.target))

    @core.handles(contracts.PollWorker)
    def _on_look(self, msg: contracts.PollWorker) -> Any:
        """Look at a worker."""
        return defer.ensureDeferred(self._look(msg))

    async def _look(
        self, msg: contracts.PollWorker
    ) -> scheduling.WorkerReport:
        """Look at a worker; the answer may be lost on its way back."""
        worker = await self._reach(msg.target)
        look = await worker.look(msg)
        await self._reach(msg.target)
        return look


def _start_late(worker: FleetWorker, msg: contracts.StartRun) -> None:
    """Carry out a start whose answer nobody gets."""
    if worker.is_dead:
        return
    try:
        worker.start(msg)
    except contracts.FencedError:
        # A newer owner was seen meanwhile, so the start has no effect.
        return
