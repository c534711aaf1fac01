"""Tell which incarnation of a worker runs, by its entry and its reports.

Anyone can write an entry under the id of a worker, and clocks are set back. So
the answer to the latest poll decides, and an entry only marks a worker.

Labels, capacity and pool belong to an incarnation, and only its own entry
tells them. So an incarnation that reports its start time gets no tasks before
an entry with that start time has been read.
"""

import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _unconfirmed_runs

DESCRIPTION_WAIT_MS = 4_500
"""Time after which the entry of a worker describes it whatever its start time
is. Workers write their entries every 1.5 s, and the entry of a former
incarnation expires after 4.5 s, so that what is still there is not of these.
Only time in which the entries could be read counts."""


class Incarnations:
    """Apply entries and reports that show another incarnation of a worker."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._undescribed_ids: set[str] = set()

    def apply_entry(
        self, worker: _fleet.Worker, info: _fleet.WorkerInfo
    ) -> None:
        """Apply the entry of a worker.

        If it is that of a later incarnation, the worker may have restarted.
        """
        known_ms = worker.info.process_start_ms
        is_later = 0 < known_ms < info.process_start_ms
        has_moved = info.address != worker.info.address
        former = worker.entry
        worker.entry = info
        if not worker.info.address:
            # Its row is malformed, so it has not been polled.
            self._describe(worker, info)
        elif is_later or has_moved:
            if info not in (worker.announced, worker.refuted):
                if is_later and worker.announced is None:
                    # Otherwise a stream of entries would supersede each poll.
                    self._poll_again(worker)
                self._announce(worker, info)
        else:
            worker.announced = None
            worker.refuted = None
            if _may_describe(worker, info):
                self._describe(worker, info)
            elif (
                former is None
                or former.process_start_ms != info.process_start_ms
            ):
                self._log_entry('entry_ignored', worker, info)

    def on_other_clock(
        self, worker: _fleet.Worker, answer: _unconfirmed_runs.Answer
    ) -> None:
        """Learn soon which incarnation has answered a start."""
        if worker.doubted_ms < 0:
            self._poll_again(worker)
            self._cell.log(
                'other_incarnation_answered',
                '',
                worker=worker.info.id,
                process_start_ms=worker.info.process_start_ms,
                clock_ms=answer.clock_ms,
                min_clock_ms=worker.min_clock_ms(answer.sent_ms),
                max_clock_ms=worker.max_clock_ms(answer.received_ms),
            )
        worker.doubted_ms = answer.received_ms

    def on_poll_failed(self, worker: _fleet.Worker) -> None:
        """Consider an entry again that was wrong while the worker answered."""
        if worker.refuted is not None:
            self._announce(worker, worker.refuted)

    def apply_report(
        self,
        worker: _fleet.Worker,
        report: _reports.WorkerReport,
        sent_ms: int,
        now_ms: int,
    ) -> _fleet.Worker | None:
        """Return the incarnation that a report is from, None if it is gone.

        Without another start time, the clock shows that a worker has
        restarted.
        """
        if self._is_claimed(worker, report, sent_ms, now_ms):
            return None
        known_ms = worker.info.process_start_ms
        start_ms = report.process_start_ms or known_ms
        is_stale = worker.is_probed and sent_ms < worker.last_report_ms
        if start_ms < known_ms and is_stale:
            return None
        entry = worker.announced
        if sent_ms <= worker.announced_after_ms:
            entry = None
        if entry is not None and not report.process_start_ms:
            start_ms = entry.process_start_ms
        is_clock_new = (
            worker.is_probed
            and start_ms == known_ms
            and _unconfirmed_runs.is_clock_of_other(
                worker, report.clock_ms, sent_ms, now_ms
            )
        )
        if start_ms != known_ms or is_clock_new:
            if not self._is_same(worker, report):
                worker = self._apply_restart(
                    worker, start_ms, sent_ms, is_certain=is_clock_new
                )
                worker.tells_start = report.process_start_ms > 0
                self._note_description(worker, sent_ms)
                return worker
            self._correct_start(worker, report.process_start_ms or known_ms)
        if report.process_start_ms:
            worker.tells_start = True
        elif not worker.is_start_missing:
            worker.is_start_missing = True
            self._log_entry('start_time_missing', worker, worker.entry)
        if entry is not None:
            self._settle(worker, entry)
        self._note_description(worker, sent_ms)
        if worker.doubted_ms < sent_ms:
            worker.doubted_ms = -1
        return worker

    def _is_claimed(
        self,
        worker: _fleet.Worker,
        report: _reports.WorkerReport,
        sent_ms: int,
        now_ms: int,
    ) -> bool:
        """Return whether two processes answer polls of a worker in turn.

        Then neither gets leases or tasks, until one has not answered for
        longer than its lease. What the other one runs has ended by then.
        """
        wait_ms = _unconfirmed_runs.with_margin_ms(self._cell.lease_max_ms)
        former = worker.former
        # A process that tells another start time in between keeps its clock.
        is_own = not _unconfirmed_runs.is_clock_of_other(
            worker, report.clock_ms, sent_ms, now_ms
        )
        if is_own:
            worker.answered_ms = now_ms
        if (
            is_own
            or former is None
            # A report that was on its way during a restart.
            or sent_ms < worker.last_report_ms
            or not _is_from(former, report, sent_ms, now_ms)
        ):
            if worker.claimed_ms < 0:
                return False
            if now_ms - worker.claimed_ms <= wait_ms:
                return True
            worker.claimed_ms = -1
            self._log_entry('id_claimed_once', worker, worker.entry)
            return False
        former.clock_ms = report.clock_ms
        former.last_report_ms = now_ms
        former.report_sent_ms = sent_ms
        if now_ms - worker.answered_ms > wait_ms:
            worker.claimed_ms = -1
            self._log_entry('id_claimed_once', worker, worker.entry)
            return False
        if worker.claimed_ms < 0:
            self._cell.log(
                'id_claimed_twice',
                '',
                worker=worker.info.id,
                address=worker.polled_address,
                process_start_ms=worker.info.process_start_ms,
                other_start_ms=report.process_start_ms,
                runs=len(worker.runs),
            )
        worker.claimed_ms = now_ms
        return True

    def on_entries_read(self, since_ms: int, sent_ms: int) -> bool:
        """Accept entries that are wrong, as no others are written.

        For the times see ``Scheduler``. Return whether any was accepted.
        """
        has_accepted = False
        for worker_id in sorted(self._undescribed_ids):
            worker = self._cell.workers.get(worker_id)
            if worker is None or worker.undescribed_ms < 0:
                self._undescribed_ids.discard(worker_id)
                continue
            entry = worker.entry
            if entry is None or not worker.is_listed or worker.is_in_doubt:
                continue
            from_ms = max(since_ms, worker.undescribed_ms)
            if sent_ms - from_ms < DESCRIPTION_WAIT_MS:
                continue
            worker.is_entry_trusted = True
            self._describe(worker, entry)
            self._log_entry('entry_trusted', worker, entry)
            has_accepted = True
        return has_accepted

    def _describe(
        self, worker: _fleet.Worker, entry: _fleet.WorkerInfo
    ) -> None:
        """Apply the description in an entry to a worker.

        Reports have shown the start time and the address, if there are any.
        """
        info = entry
        if worker.is_probed or worker.tells_start:
            info = dataclasses.replace(
                entry,
                address=worker.info.address,
                process_start_ms=worker.info.process_start_ms,
            )
        worker.update_info(info)
        worker.described_ms = entry.process_start_ms
        if entry.process_start_ms == info.process_start_ms:
            worker.is_entry_trusted = False
        self._cell.mark_evacuated(worker)
        self._note_described(worker)

    def _note_description(self, worker: _fleet.Worker, sent_ms: int) -> None:
        """Note whether the incarnation that has reported is described."""
        entry = worker.entry
        if worker.is_described:
            self._note_described(worker)
            return
        known_ms = worker.info.process_start_ms
        if entry is not None and entry.process_start_ms == known_ms:
            # It was read before a report has shown this incarnation.
            self._describe(worker, entry)
            return
        if worker.undescribed_ms < 0:
            worker.undescribed_ms = sent_ms
            self._undescribed_ids.add(worker.info.id)
            self._log_entry('worker_not_described', worker, entry)

    def _note_described(self, worker: _fleet.Worker) -> None:
        """Log that the description of a worker is known now."""
        if worker.undescribed_ms >= 0:
            worker.undescribed_ms = -1
            self._undescribed_ids.discard(worker.info.id)
            self._log_entry('worker_described', worker, worker.entry)

    def _log_entry(
        self,
        event: str,
        worker: _fleet.Worker,
        entry: _fleet.WorkerInfo | None,
    ) -> None:
        """Log an event of a worker, and what its entry tells."""
        self._cell.log(
            event,
            '',
            worker=worker.info.id,
            process_start_ms=worker.info.process_start_ms,
            entry_start_ms=entry.process_start_ms if entry else None,
            entry_address=entry.address if entry else None,
        )

    def _poll_again(self, worker: _fleet.Worker) -> None:
        """Learn soon whether a worker has restarted."""
        self._cell.effects.append(
            _effects.PollWorkerAgain(worker=worker.info.id)
        )

    def _announce(
        self, worker: _fleet.Worker, info: _fleet.WorkerInfo
    ) -> None:
        """Mark a worker whose entry is that of another incarnation.

        Orders that were not answered may have reached that one.
        """
        if worker.announced is None:
            # Otherwise a stream of entries would never be refuted.
            worker.announced_after_ms = worker.polled_ms
        worker.announced = info
        worker.refuted = None
        self._log_entry('entry_announced', worker, info)
        for run in worker.runs.values():
            if not run.is_reported:
                self._cell.repeat_orders(worker, run)

    def _settle(self, worker: _fleet.Worker, info: _fleet.WorkerInfo) -> None:
        """Note that the known incarnation answers in spite of an entry."""
        worker.announced = None
        if worker.polled_address == info.address != worker.info.address:
            # Its address has changed.
            worker.update_info(
                dataclasses.replace(worker.info, address=info.address)
            )
            if _may_describe(worker, info):
                self._describe(worker, info)
            else:
                self._log_entry('entry_ignored', worker, info)
            return
        worker.refuted = info
        self._log_entry('entry_refuted', worker, info)

    def _apply_restart(
        self,
        worker: _fleet.Worker,
        start_ms: int,
        sent_ms: int,
        *,
        is_certain: bool,
    ) -> _fleet.Worker:
        """Return the state of a worker that reports another start time.

        If its start time was known before, the worker has restarted.
        ``is_certain`` is whether it has in any case.
        """
        info = worker.info
        described_ms = worker.described_ms
        entry = worker.announced
        if entry is not None and start_ms >= entry.process_start_ms:
            info = entry
            described_ms = entry.process_start_ms
        info = dataclasses.replace(
            info,
            address=worker.polled_address or info.address,
            process_start_ms=start_ms,
        )
        known_ms = worker.info.process_start_ms
        is_known = known_ms > 0 and (worker.is_probed or start_ms >= known_ms)
        if not (is_known or is_certain):
            # Only its entry has told a start time, which was wrong.
            worker.update_info(info)
            worker.described_ms = described_ms
            return worker
        return self._cell.replace_worker(
            worker,
            info,
            described_ms=described_ms,
            is_listed=worker.is_listed,
            fenced_after_ms=sent_ms,
        )

    def _correct_start(self, worker: _fleet.Worker, start_ms: int) -> None:
        """Set the start time of an incarnation that has told a wrong one."""
        if worker.is_described:
            worker.described_ms = start_ms
        worker.update_info(
            dataclasses.replace(worker.info, process_start_ms=start_ms)
        )

    @staticmethod
    def _is_same(worker: _fleet.Worker, report: _reports.WorkerReport) -> bool:
        """Return whether a report lists a run that the worker listed before.

        Runs end with the process, so its start time is what is wrong then.
        """
        return any(
            run.is_reported
            for listed in report.running
            if (run := worker.runs.get((listed.key, listed.number)))
        )


def _is_from(
    worker: _fleet.Worker,
    report: _reports.WorkerReport,
    sent_ms: int,
    now_ms: int,
) -> bool:
    """Return whether a report has the start time and clock of a process."""
    start_ms = report.process_start_ms
    return (
        not start_ms or start_ms == worker.info.process_start_ms
    ) and not _unconfirmed_runs.is_clock_of_other(
        worker, report.clock_ms, sent_ms, now_ms
    )


def _may_describe(worker: _fleet.Worker, entry: _fleet.WorkerInfo) -> bool:
    """Return whether an entry may be that of the present incarnation."""
    return (
        not worker.tells_start
        or worker.is_entry_trusted
        or entry.process_start_ms == worker.info.process_start_ms
    )
