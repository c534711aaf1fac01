"""Track what a new owner does not know yet about runs of former owners."""

import oriolestand_core as core
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class Takeover:
    """Decide when the runs of former owners are known.

    Only then may their tasks be started again. This holds once all workers
    of the former owners have reported their runs or were removed, or once
    the time to wait for them is over.

    :param former_worker_ids: workers that may have runs of former owners.
    :param are_all_known: whether there are no other such workers.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        former_worker_ids: frozenset[str],
        are_all_known: bool,
    ) -> None:
        self._clock = kernel.clock
        self._log = core.get_logger(const.DOMAIN)
        self._term = term
        self._scheduler = scheduler
        self._former_worker_ids = former_worker_ids
        self._are_all_known = are_all_known
        self._began_ms = self._clock.now()
        self._next_report_ms = (
            self._began_ms + const.TAKEOVER_REPORT_INTERVAL_MS
        )
        self._is_complete = False

    def update(self) -> scheduling.FormerRuns:
        """Return what is not known about the runs of former owners."""
        if self._is_complete:
            return scheduling.FormerRuns()
        now = self._clock.now()
        missing = self._missing_workers()
        if now >= self._term.takeover_deadline_ms:
            self._remove_unreachable_workers(missing)
            self._complete('deadline', missing, now)
            return scheduling.FormerRuns()
        if self._are_all_known and not missing:
            self._complete('reported', missing, now)
            return scheduling.FormerRuns()
        if now >= self._next_report_ms:
            self._next_report_ms = now + const.TAKEOVER_REPORT_INTERVAL_MS
            self._log.info(
                'Takeover waits',
                epoch=self._term.epoch,
                waited_ms=now - self._began_ms,
                remaining_ms=self._term.takeover_deadline_ms - now,
                are_workers_known=self._are_all_known,
                missing=len(missing),
                workers=missing[: const.MAX_LOGGED_WORKERS],
            )
        return scheduling.FormerRuns(
            worker_ids=frozenset(missing),
            has_unknown_workers=not self._are_all_known,
        )

    def _missing_workers(self) -> list[str]:
        """Return the former workers that have not reported, sorted by id."""
        workers = self._scheduler.workers
        return sorted(
            worker_id
            for worker_id in self._former_worker_ids
            if worker_id in workers and not workers[worker_id].is_probed
        )

    def _remove_unreachable_workers(self, missing: list[str]) -> None:
        """Remove unregistered workers that have not reported."""
        for worker_id in missing:
            if not self._scheduler.workers[worker_id].is_listed:
                self._scheduler.remove_worker(worker_id, 'never answered')

    def _complete(self, reason: str, missing: list[str], now_ms: int) -> None:
        """Note that all runs of former owners are known or over."""
        self._is_complete = True
        self._log.info(
            'Takeover completed',
            epoch=self._term.epoch,
            reason=reason,
            waited_ms=now_ms - self._began_ms,
            missing=len(missing),
        )
