"""Apply to workers what follows from the time that has passed."""

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _crash_handler
from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _exclusions
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _unconfirmed_runs

STOP_RETRY_MS = 500


class WorkerUpkeep:
    """Release runs of lost workers, resend stops and limit exclusions."""

    def __init__(
        self, cell: _cell.Cell, crash_handler: _crash_handler.CrashHandler
    ) -> None:
        self._cell = cell
        self._crash_handler = crash_handler

    def expire_workers(self, now_ms: int, known_until_ms: int) -> None:
        """Release the runs of silent workers whose leases have expired."""
        for worker in list(self._cell.workers.values()):
            if worker.is_report_arriving:
                continue
            if not worker.is_probed:
                # It has no runs: they are added by reports or starts.
                continue
            if now_ms - worker.last_report_ms <= worker.max_report_age_ms:
                continue
            if not worker.is_lease_expired(
                known_until_ms, _fleet.LEASE_MARGIN_MS
            ):
                continue
            if not worker.is_listed:
                if known_until_ms > worker.other_lease_over_ms:
                    self._cell.remove_worker(worker.info.id, 'lease over')
                continue
            runs = self._ended_runs(worker, known_until_ms)
            if runs:
                self._cell.log(
                    'lease_over',
                    '',
                    worker=worker.info.id,
                    runs=len(runs),
                    reported=sum(run.is_reported for run in runs),
                    held=len(worker.runs) - len(runs),
                    process_start_ms=worker.info.process_start_ms,
                    silent_ms=now_ms - worker.last_report_ms,
                    polled_ms_ago=now_ms - worker.polled_ms,
                    failed_polls=worker.failed_polls,
                    lease_end_ms=worker.lease_end_ms,
                    min_clock_ms=worker.min_clock_ms(known_until_ms),
                )
                self._crash_handler.on_lease_over(worker, runs)
                self._cell.release_runs(worker, runs, now_ms)

    def _ended_runs(
        self, worker: _fleet.Worker, known_until_ms: int
    ) -> list[_fleet.Run]:
        """Return the runs of a worker, whose lease is over, that have ended.

        Another incarnation may have those that are not listed for longer.
        """
        lease_max_ms = self._cell.lease_max_ms
        unlisted_ms = _unconfirmed_runs.unlisted_over_ms(worker, lease_max_ms)
        listed_ms = _unconfirmed_runs.listed_over_ms(worker, lease_max_ms)
        return [
            run
            for run in worker.runs.values()
            if known_until_ms > (listed_ms if run.is_reported else unlisted_ms)
        ]

    def resend_stops(self, now_ms: int) -> None:
        """Resend stop orders that were not answered."""
        stopping_ids = self._cell.stopping_worker_ids
        if not stopping_ids:
            return
        still_stopping_ids = set()
        # The order of the workers decides the order of the stop orders.
        for worker_id, worker in self._cell.workers.items():
            if worker_id not in stopping_ids:
                continue
            for run in worker.runs.values():
                if run.stop_sent_ms < 0 or run.is_stop_settled:
                    continue
                still_stopping_ids.add(worker_id)
                if now_ms - run.stop_sent_ms >= STOP_RETRY_MS:
                    run.stop_sent_ms = now_ms
                    self._cell.queue_stop(
                        worker_id, run, _effects.REPEATED_STOP
                    )
        self._cell.stopping_worker_ids = still_stopping_ids

    def drain_leaving_workers(self, now_ms: int) -> None:
        """Stop service tasks on leaving workers, so that they move."""
        for worker in self._cell.workers.values():
            if not worker.info.is_leaving:
                continue
            for run in list(worker.runs.values()):
                if run.spec.is_service and run.stop_sent_ms < 0:
                    self._cell.stop_run(
                        worker.info.id, run.key, run.number, 'worker leaves'
                    )
                    self._cell.mark_stop_sent(run, now_ms)

    def limit_exclusions(self, now_ms: int) -> None:
        """Readmit workers of groups of which too many are excluded."""
        labels = self._cell.ready.labels()
        _exclusions.limit(self._cell.workers.values(), labels, now_ms)
