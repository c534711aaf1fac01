"""Poll one worker during the term of an owner."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import orders
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _end_reader
from oriolestand_fleet.services.cell import _record_saver
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import ownership
from oriolestand_policy import scheduling


class _SupersededError(Exception):
    """Raised when a poll is not waited for any longer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class _HeldEnds:
    """Ends of a poll that wait until their jobs are known.

    ``entry`` is the one in ``_Cursor.pending``. ``report`` has only the ends
    as done of unknown jobs, and ``changed_jobs`` are those that the rest of
    the report has changed. After ``until_ms`` jobs are not waited for.
    """

    entry: list[int]
    report: scheduling.WorkerReport
    changed_jobs: set[str]
    until_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Cursor:
    """Track which ends of one incarnation of a worker are recorded.

    ``received`` and ``recorded`` are sequence numbers of ends: the last one
    that may be acknowledged once its job records are written, and the last
    one whose records are. ``pending`` has
    an entry for each poll that is not yet acknowledged: the last end it
    returned, and whether the job records that it changed are written. Ends
    are acknowledged in the order of the polls: an end without a record must
    not acknowledge an earlier end whose record still waits for the store.
    """

    process_start_ms: int = 0
    received: int = 0
    recorded: int = 0
    pending: collections.deque[list[int]] = dataclasses.field(
        default_factory=collections.deque
    )
    held: list[_HeldEnds] = dataclasses.field(default_factory=list)
    reader: _end_reader.EndReader = dataclasses.field(
        default_factory=_end_reader.EndReader
    )

    def mark_written(self, entry: list[int]) -> None:
        """Mark the records of a poll as written and advance the cursor."""
        entry[1] = True
        while self.pending and self.pending[0][1]:
            self.recorded = self.pending.popleft()[0]


class WorkerPoller:
    """Poll a worker to renew its lease and to get its reports."""

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        saver: _record_saver.RecordSaver,
        load: scheduling.OwnerLoad,
        worker: str,
        on_change: Callable[[], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._saver = saver
        self._load = load
        self._worker = worker
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._log = core.get_logger(const.DOMAIN)
        self._cursor = _Cursor()
        self._is_unreachable = False
        self._has_listed_ends = True
        self._generation = 0
        """That of the last poll."""
        self._open_poll: defer.Deferred[scheduling.WorkerReport] | None = None
        self._has_superseded_poll = False
        self.is_finished = False
        self.is_worker_replaced = False
        """Whether another incarnation of the worker responded."""

    @property
    def are_ends_recorded(self) -> bool:
        """Return whether the records of all ends on the worker are written.

        A report need not list all ends at once, but the worker forgets those
        that are acknowledged. So a report without ends shows that there are
        no others.
        """
        return not self._has_listed_ends

    def poll_again(self) -> None:
        """Send the next poll at once instead of waiting for an open one.

        There is one connection more than the open poll needs. A late answer
        to that poll may be the last one of the former incarnation.
        """
        fut, self._open_poll = self._open_poll, None
        if fut is not None and not self._has_superseded_poll:
            self._has_superseded_poll = True
            fut.errback(_SupersededError())

    def _ask(
        self, poll: orders.PollWorker
    ) -> 'defer.Deferred[scheduling.WorkerReport]':
        """Send a poll; the Deferred fires with the report."""
        fut: defer.Deferred[scheduling.WorkerReport] = defer.Deferred()
        self._open_poll = fut

        def on_answer(result: Any) -> None:
            if fut.called:
                self._has_superseded_poll = False
                self._publish_late(result)
                return
            self._open_poll = None
            fut.callback(result)

        self._kernel.ask(orders.SERVICE, poll).addBoth(on_answer)
        return fut

    def _publish_late(self, result: Any) -> None:
        """Publish the answer to a superseded poll, if there is one."""
        if isinstance(result, scheduling.WorkerReport):
            self._kernel.publish(
                orders.LateReport(
                    worker=self._worker, epoch=self._term.epoch, report=result
                )
            )

    async def run(self) -> None:
        """Poll until the worker is gone or the term is over."""
        try:
            await self._poll_until_done()
        finally:
            # After an unexpected error the owner starts a new poller.
            self.is_finished = True

    async def _poll_until_done(self) -> None:
        """Poll in a loop and handle failed polls."""
        while not self._term.is_over:
            worker = self._scheduler.workers.get(self._worker)
            if worker is None:
                break
            now = self._kernel.clock.now()
            if not self._term.may_act(now):
                await self._kernel.sleep(const.POLL_RETRY_MS)
                continue
            try:
                await self._poll(worker)
            except orders.FencedError as exc:
                generation = self._scheduler.generation_of(self._worker)
                if self._generation < generation:
                    await self._kernel.sleep(const.POLL_RETRY_MS)
                    continue
                self._on_fenced(str(exc))
                break
            except _SupersededError:
                continue
            except orders.WorkerReplacedError as exc:
                if worker.announced is not None:
                    # The entry may name the address of another worker.
                    self._on_poll_failed(exc)
                    await self._kernel.sleep(const.POLL_RETRY_MS)
                    continue
                self.is_worker_replaced = True
                self._log.info(
                    'Worker was replaced', worker=self._worker, why=str(exc)
                )
                self._scheduler.remove_worker(self._worker, 'replaced')
                self._on_change()
                break
            except orders.WithdrawnError:
                # It was not sent, which tells nothing about the worker.
                await self._kernel.sleep(const.POLL_RETRY_MS)
            except orders.WorkerError as exc:
                self._on_poll_failed(exc)
                await self._kernel.sleep(const.POLL_RETRY_MS)

    async def _poll(self, worker: scheduling.Worker) -> None:
        """Extend the lease, apply the report and wait for its job records."""
        sent_ms = self._kernel.clock.now()
        poll = self._make_poll(worker, sent_ms)
        late_ms = self._load.poll_pause_ms(sent_ms, has_runs=bool(worker.runs))
        late_ms += self._load.delay_ms(sent_ms)
        late_ms += max(0, poll.wait_ms - const.POLL_WAIT_MS)
        self._scheduler.on_poll_sent(
            self._worker,
            sent_ms,
            late_ms if self._load.is_busy(sent_ms) else 0,
        )
        report = await self._ask(poll)
        if self._term.is_over:
            return
        self._term.votes.on_answer(
            self._worker,
            report.process_start_ms,
            sent_ms=sent_ms,
            received_ms=self._kernel.clock.now(),
        )
        if self._is_unreachable:
            self._is_unreachable = False
            self._log.info('Worker is reachable again', worker=self._worker)
        acknowledged = poll.acknowledged
        if self._is_other_incarnation(worker, report, sent_ms):
            self._cursor = _Cursor(process_start_ms=report.process_start_ms)
            # That was a number of the former incarnation.
            acknowledged = 0
        elif report.process_start_ms:
            self._cursor.process_start_ms = report.process_start_ms
        reading = self._cursor.reader.read(report, acknowledged)
        self._apply_report(report, reading, sent_ms)
        if self._cursor.recorded < self._cursor.received:
            await self._wait_for_records()
        elif reading.is_stalled:
            # The worker answers polls at once while it lists ends.
            await self._kernel.sleep(const.RECORD_WAIT_MS)
        if (
            self._scheduler.are_leases_held(self._worker)
            or self._term.lease_limit_ms(self._kernel.clock.now()) == 0
        ):
            # A poll without a lease does not wait at the worker.
            await self._kernel.sleep(const.POLL_RETRY_MS)
        pause_ms = self._load.poll_pause_ms(
            self._kernel.clock.now(), has_runs=bool(worker.runs)
        )
        if pause_ms and not (
            worker.is_mixed
            or self._is_report_urgent(worker)
            or self._term.lease_limit_ms(self._kernel.clock.now()) is not None
        ):
            await self._kernel.sleep(pause_ms)

    def _is_other_incarnation(
        self,
        worker: scheduling.Worker,
        report: scheduling.WorkerReport,
        sent_ms: int,
    ) -> bool:
        """Return whether the ends in a report are numbered anew.

        Without a start time only the clock tells, which starts anew as well.
        """
        known_ms = self._cursor.process_start_ms
        if report.process_start_ms and known_ms:
            return report.process_start_ms != known_ms
        return scheduling.is_clock_of_other(
            worker, report.clock_ms, sent_ms, self._kernel.clock.now()
        )

    def _is_report_urgent(self, worker: scheduling.Worker) -> bool:
        """Return whether the next report must not wait for a busy owner."""
        return (
            worker.has_missing_runs
            or worker.is_on_probation
            or worker.info.is_leaving
            or (worker.is_mixed and worker.has_slow_service)
        )

    def _make_poll(
        self, worker: scheduling.Worker, sent_ms: int
    ) -> orders.PollWorker:
        """Return the next poll of a worker."""
        cursor = self._cursor
        lease_limit_ms = self._term.lease_limit_ms(sent_ms)
        lease_end_ms = None
        if not self._is_unreachable and not worker.is_in_doubt:
            # The lease of an unreachable worker is not extended: the worker
            # may receive every extension although its responses are lost,
            # and the owner could never assume that its runs have ended. The
            # clock of a worker that has restarted is not known.
            lease_end_ms = self._scheduler.new_lease_end(
                self._worker, sent_ms, lease_limit_ms
            )
        acknowledged = cursor.recorded
        if (
            worker.is_in_doubt
            or worker.failed_polls
            or 0 < cursor.process_start_ms != worker.info.process_start_ms
        ):
            # The ends of another incarnation are numbered anew.
            acknowledged = 0
        has_unrecorded_ends = cursor.recorded < cursor.received
        wait_ms = const.POLL_WAIT_MS
        if worker.is_mixed:
            wait_ms = const.MIXED_POLL_WAIT_MS
        if worker.is_on_probation:
            wait_ms = const.PROBATION_POLL_WAIT_MS
        if not self._is_report_urgent(worker):
            wait_ms = self._load.poll_wait_ms(
                wait_ms, sent_ms, has_runs=bool(worker.runs)
            )
            if worker.is_mixed:
                wait_ms = min(wait_ms, const.POLL_WAIT_MS)
        if lease_limit_ms is not None:
            wait_ms = min(wait_ms, ownership.VOTE_POLL_WAIT_MS)
        if has_unrecorded_ends or lease_end_ms is None:
            wait_ms = 0
        if worker.has_missing_runs or worker.is_in_doubt:
            # Tasks wait for the next report.
            wait_ms = 0
        if self._has_listed_ends and worker.info.is_leaving:
            # Acknowledges the ends at once; the worker may exit soon.
            wait_ms = 0
        extra_timeout_ms = 0
        if worker.is_in_doubt and worker.failed_polls:
            # Its reports may take as long as those of polls that wait. Without
            # a report it gets no lease.
            extra_timeout_ms = const.POLL_WAIT_MS
        self._generation = self._scheduler.generation_of(self._worker)
        return orders.PollWorker(
            target=orders.Target(
                worker=self._worker,
                address=worker.poll_address,
                generation=self._generation,
            ),
            lease_end_ms=lease_end_ms,
            acknowledged=acknowledged,
            wait_ms=wait_ms,
            extra_timeout_ms=extra_timeout_ms,
            epoch=self._term.epoch,
            send_by_ms=self._term.acts_until_ms,
        )

    def _apply_report(
        self,
        report: scheduling.WorkerReport,
        reading: _end_reader.Reading,
        sent_ms: int,
    ) -> None:
        """Apply a report and acknowledge its ends with the next polls."""
        cursor = self._cursor
        self._has_listed_ends = bool(report.ended)
        report = dataclasses.replace(report, ended=reading.new_ends)
        changed_jobs = self._scheduler.on_worker_report(
            self._worker, report, sent_ms, self._kernel.clock.now()
        )
        for end in reading.new_ends:
            self._count_end(end)
        if reading.last_sequence > cursor.received or reading.new_ends:
            # Ends that could not be read are acknowledged as well: a worker
            # answers polls at once while it lists ends, and lists 500 at most.
            cursor.received = max(cursor.received, reading.last_sequence)
            self._acknowledge(cursor, report, changed_jobs)
        self._release_held_ends(cursor)
        self._on_change()

    def _acknowledge(
        self,
        cursor: _Cursor,
        report: scheduling.WorkerReport,
        changed_jobs: set[str],
    ) -> None:
        """Acknowledge ends once they are applied and their records written."""
        entry = [cursor.received, False]
        cursor.pending.append(entry)
        unknown_ends = tuple(
            end
            for end in report.ended
            if end.kind is scheduling.EndKind.DONE
            and end.key.job not in self._scheduler.jobs
        )
        if not unknown_ends:
            self._mark_when_saved(cursor, entry, changed_jobs)
            return
        cursor.held.append(
            _HeldEnds(
                entry=entry,
                report=dataclasses.replace(report, ended=unknown_ends),
                changed_jobs=changed_jobs,
                until_ms=self._kernel.clock.now() + const.UNKNOWN_JOB_WAIT_MS,
            )
        )

    def _release_held_ends(self, cursor: _Cursor) -> None:
        """Apply held ends whose jobs are known or not waited for any more."""
        now = self._kernel.clock.now()
        jobs = self._scheduler.jobs
        for held in list(cursor.held):
            known_ends = tuple(
                end for end in held.report.ended if end.key.job in jobs
            )
            if len(known_ends) < len(held.report.ended):
                if now < held.until_ms:
                    continue
                self._log.info(
                    'Ends of unknown jobs acknowledged',
                    worker=self._worker,
                    ends=len(held.report.ended) - len(known_ends),
                )
            cursor.held.remove(held)
            changed_jobs = self._scheduler.on_late_report(
                dataclasses.replace(held.report, ended=known_ends), now
            )
            self._mark_when_saved(
                cursor, held.entry, held.changed_jobs | changed_jobs
            )

    def _mark_when_saved(
        self, cursor: _Cursor, entry: list[int], changed_jobs: set[str]
    ) -> None:
        """Mark a poll as written once the records of jobs are written."""
        # Changed records must be queued in the saver before waiting for them.
        self._on_change()
        fut = self._saver.when_saved(changed_jobs)
        fut.addCallback(lambda _: cursor.mark_written(entry))

    async def _wait_for_records(self) -> None:
        """Wait a limited time until the records of all ends are written."""
        cursor = self._cursor
        clock = self._kernel.clock
        # A sleep takes longer than its delay while the processor is busy.
        until_ms = clock.now() + const.RECORD_WAIT_MS
        while cursor.recorded < cursor.received and clock.now() < until_ms:
            await self._kernel.sleep(const.ROUND_DELAY_MS)

    def _count_end(self, end: scheduling.EndReport) -> None:
        """Count the end of a run by its kind."""
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Count(name='ends', label=end.kind.value),
        )

    def _on_poll_failed(self, exc: core.OriolestandError) -> None:
        """Count a failed poll; log the first of consecutive failures."""
        self._scheduler.on_poll_failed(self._worker, self._kernel.clock.now())
        worker = self._scheduler.workers.get(self._worker)
        domain = worker.info.failure_domain if worker is not None else ''
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Count(name='looks', label=f'{exc.code} {domain}'),
        )
        if not self._is_unreachable:
            self._is_unreachable = True
            self._log.warning(
                'Worker cannot be reached',
                worker=self._worker,
                failure_domain=domain,
                why=str(exc),
            )
            # The next owner must learn of the runs on the worker at once.
            self._on_change()


def start_poller(poller: WorkerPoller, log: Any) -> None:
    """Run a poller in the background and log unexpected errors."""
    fut = defer.ensureDeferred(poller.run())
    fut.addErrback(
        lambda reason: log.error('Looks failed', reason=reason.getTraceback())
    )
