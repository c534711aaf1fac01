"""Keep looking at one worker while the cell is owned."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import orders
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _saver
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


@dataclasses.dataclass(slots=True, kw_only=True)
class _Cursor:
    """Hold the ends of one life of a worker that were seen and written.

    ``pending`` has, by look, the last end seen and whether the records that
    it led to are written. Ends are acknowledged in the order of the looks:
    an end without a record must not acknowledge an earlier one.
    """

    born_ms: int = 0
    seen: int = 0
    written: int = 0
    pending: collections.deque[list[int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def settle(self, entry: list[int]) -> None:
        """Note that the records of a look are written."""
        entry[1] = True
        while self.pending and self.pending[0][1]:
            self.written = self.pending.popleft()[0]


class Looker:
    """Look at a worker again and again; own the cursor of its ends."""

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        saver: _saver.Saver,
        worker: str,
        on_change: Callable[[], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._saver = saver
        self._worker = worker
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._log = core.get_logger(const.DOMAIN)
        self._cursor = _Cursor()
        self._is_lost = False
        self.is_ended = False
        self.is_dead = False
        """Whether another life of the worker answered at its address."""

    async def run(self) -> None:
        """Look until the worker is gone or the term is over."""
        try:
            await self._run()
        finally:
            # After a fault the owner starts a new looker.
            self.is_ended = True

    async def _run(self) -> None:
        """Look again and again."""
        while not self._term.is_over:
            worker = self._scheduler.workers.get(self._worker)
            if worker is None:
                break
            now = self._kernel.clock.now()
            if not self._term.is_entitled(now):
                await self._kernel.sleep(const.LOOK_RETRY_MS)
                continue
            try:
                await self._look(worker)
            except orders.FencedError as exc:
                self._on_fenced(str(exc))
                break
            except orders.WorkerReplacedError as exc:
                self.is_dead = True
                self._log.info(
                    'Worker was replaced', worker=self._worker, why=str(exc)
                )
                self._scheduler.drop_worker(self._worker, 'replaced')
                self._on_change()
                break
            except orders.WorkerError as exc:
                self._note_lost(exc)
                await self._kernel.sleep(const.LOOK_RETRY_MS)

    async def _look(self, worker: scheduling.Worker) -> None:
        """Extend the lease, take over what is listed, wait for records."""
        cursor = self._cursor
        clock = self._kernel.clock
        sent = clock.now()
        lease = None
        if not self._is_lost:
            # A worker out of reach may take every extension that is sent to
            # it, so that its runs would never be known to be over.
            lease = self._scheduler.new_lease_end(self._worker, sent)
        has_open_ends = cursor.written < cursor.seen
        wait = const.LOOK_WAIT_MS
        if worker.service_cpu and worker.filling_cpu:
            wait = const.MIXED_LOOK_WAIT_MS
        if has_open_ends or lease is None:
            wait = 0
        look: scheduling.Look = await self._kernel.ask(
            orders.SERVICE,
            orders.LookAt(
                target=orders.Target(
                    worker=self._worker, address=worker.info.address
                ),
                lease_end_ms=lease,
                acknowledged=cursor.written,
                wait_ms=wait,
                epoch=self._term.epoch,
            ),
        )
        if self._term.is_over:
            return
        if self._is_lost:
            self._is_lost = False
            self._log.info('Worker is reached again', worker=self._worker)
        if look.born_ms != cursor.born_ms:
            if look.born_ms < cursor.born_ms:
                return
            cursor = self._cursor = _Cursor(born_ms=look.born_ms)
        fresh = tuple(e for e in look.ended if e.sequence > cursor.seen)
        touched = self._scheduler.on_look(
            self._worker,
            dataclasses.replace(look, ended=fresh),
            sent,
            clock.now(),
        )
        for end in fresh:
            self._count_end(end)
        if fresh:
            cursor.seen = max(end.sequence for end in fresh)
            self._acknowledge(cursor, touched)
        self._on_change()
        if cursor.written < cursor.seen:
            await self._wait_for_records()

    def _acknowledge(self, cursor: _Cursor, touched: set[str]) -> None:
        """Let ends be dropped once the records of their jobs are written."""
        entry = [cursor.seen, False]
        cursor.pending.append(entry)
        # The change must reach the saver before it is asked to wait.
        self._on_change()
        fut = self._saver.when_saved(touched)
        fut.addCallback(lambda _: cursor.settle(entry))

    async def _wait_for_records(self) -> None:
        """Wait until the ends are written, or for a short while."""
        cursor = self._cursor
        step = 0
        while cursor.written < cursor.seen and step < const.LOOK_PAUSE_MS:
            await self._kernel.sleep(const.DECIDE_DELAY_MS)
            step += const.DECIDE_DELAY_MS

    def _count_end(self, end: scheduling.EndReport) -> None:
        """Count an end by its kind."""
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Count(name='ends', label=end.kind.value),
        )

    def _note_lost(self, exc: core.OriolestandError) -> None:
        """Log the first of a row of failures."""
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Count(name='looks', label=exc.code),
        )
        if not self._is_lost:
            self._is_lost = True
            self._log.warning(
                'Worker cannot be reached', worker=self._worker, why=str(exc)
            )


def launch(looker: Looker, log: Any) -> None:
    """Run a looker; a fault in it is logged, not lost."""
    fut = defer.ensureDeferred(looker.run())
    fut.addErrback(
        lambda reason: log.error('Looks failed', reason=reason.getTraceback())
    )
