"""Tell which incarnation of a worker runs, by its entry and its reports.

Anyone can write an entry under the id of a worker, and clocks are set back. So
the answer to the latest poll decides, and an entry only marks a worker.
"""

import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _unconfirmed_runs


class Incarnations:
    """Apply entries and reports that show another incarnation of a worker."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell

    def apply_entry(
        self, worker: _fleet.Worker, info: _fleet.WorkerInfo
    ) -> None:
        """Apply the entry of a worker.

        If it is that of a later incarnation, the worker may have restarted.
        """
        known_ms = worker.info.process_start_ms
        is_later = 0 < known_ms < info.process_start_ms
        has_moved = info.address != worker.info.address
        if not worker.info.address:
            # Its row is malformed, so it has not been polled.
            worker.update_info(info)
        elif is_later or has_moved:
            if info not in (worker.announced, worker.refuted):
                if is_later and worker.announced is None:
                    # Otherwise a stream of entries would supersede each poll.
                    self._poll_again(worker)
                self._announce(worker, info)
        else:
            worker.announced = None
            worker.refuted = None
            if worker.is_probed:
                # Reports have shown the start time.
                info = dataclasses.replace(info, process_start_ms=known_ms)
            worker.update_info(info)

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
    ) -> _fleet.Worker | None:
        """Return the incarnation that a report is from, None if it is gone."""
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
        if start_ms != known_ms:
            if not self._is_same(worker, report):
                return self._apply_restart(worker, start_ms, sent_ms)
            worker.update_info(
                dataclasses.replace(
                    worker.info,
                    process_start_ms=report.process_start_ms or known_ms,
                )
            )
        if entry is not None:
            self._settle(worker, entry)
        if worker.doubted_ms < sent_ms:
            worker.doubted_ms = -1
        return worker

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
        self._cell.log(
            'entry_announced',
            '',
            worker=worker.info.id,
            process_start_ms=worker.info.process_start_ms,
            entry_start_ms=info.process_start_ms,
            entry_address=info.address,
        )
        for run in worker.runs.values():
            if not run.is_reported:
                self._cell.repeat_orders(worker, run)

    def _settle(self, worker: _fleet.Worker, info: _fleet.WorkerInfo) -> None:
        """Note that the known incarnation answers in spite of an entry."""
        worker.announced = None
        if worker.polled_address == info.address != worker.info.address:
            # Its address has changed.
            start_ms = worker.info.process_start_ms
            worker.update_info(
                dataclasses.replace(info, process_start_ms=start_ms)
            )
            return
        worker.refuted = info
        self._cell.log(
            'entry_refuted',
            '',
            worker=worker.info.id,
            process_start_ms=worker.info.process_start_ms,
            entry_start_ms=info.process_start_ms,
            entry_address=info.address,
        )

    def _apply_restart(
        self, worker: _fleet.Worker, start_ms: int, sent_ms: int
    ) -> _fleet.Worker:
        """Return the state of a worker that reports another start time.

        If its start time was known before, the worker has restarted.
        """
        info = worker.info
        if worker.announced is not None and (
            start_ms >= worker.announced.process_start_ms
        ):
            info = worker.announced
        info = dataclasses.replace(
            info,
            address=worker.polled_address or info.address,
            process_start_ms=start_ms,
        )
        known_ms = worker.info.process_start_ms
        if not known_ms or (start_ms < known_ms and not worker.is_probed):
            # Only its entry has told a start time, which was wrong.
            worker.update_info(info)
            return worker
        return self._cell.replace_worker(
            worker,
            info,
            is_listed=worker.is_listed,
            fenced_after_ms=sent_ms,
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
