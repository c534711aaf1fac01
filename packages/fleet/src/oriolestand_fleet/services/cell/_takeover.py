"""Track what a new owner does not know yet about runs of former owners."""

from collections.abc import Mapping

import oriolestand_core as core
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import ownership
from oriolestand_policy import scheduling


class Takeover:
    """Decide when the runs of former owners are known.

    Only then may their tasks be started again. This holds once all workers
    of the former owners have reported their runs or were removed, or once
    the time to wait for them is over. That time ends earlier for a worker
    whose runs no owner has been able to extend since an earlier takeover. It
    does not end for a worker that has reported, as its leases go on: such a
    worker may have more ends than one report lists. For a report that has
    begun to arrive it is longer, once.

    :param former_worker_ids: workers that may have runs of former owners.
    :param are_all_known: whether there are no other such workers.
    :param runs_end_ms: times of the store's clock by which all runs have
        ended on a worker, by its id, if known.
    :param voter_ids: workers whose answers limit the leases of the former
        owner, empty if not known.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        former_worker_ids: frozenset[str],
        are_all_known: bool,
        runs_end_ms: Mapping[str, int],
        voter_ids: frozenset[str],
        lease_max_ms: int,
    ) -> None:
        self._clock = kernel.clock
        self._log = core.get_logger(const.DOMAIN)
        self._term = term
        self._scheduler = scheduler
        self._former_worker_ids = former_worker_ids
        self._are_all_known = are_all_known
        self._runs_end_ms = runs_end_ms
        self._voter_ids = voter_ids
        self._lease_max_ms = lease_max_ms
        self._began_ms = self._clock.now()
        self._next_report_ms = (
            self._began_ms + const.TAKEOVER_REPORT_INTERVAL_MS
        )
        self._past_deadline_ids: set[str] = set()
        self.are_workers_listed = False
        """Whether the registered workers are known to the scheduler."""
        self._is_complete = False

    def update(self, known_until_ms: int) -> scheduling.FormerRuns:
        """Return what is not known about the runs of former owners.

        The reports received until ``known_until_ms`` are applied, and no
        later owner had claimed the cell by then. Leases that end later may
        have been extended by one.
        """
        if self._is_complete:
            return scheduling.FormerRuns()
        now = self._clock.now()
        self._limit_wait(now)
        unreached = self._unreached_workers()
        missing = [
            w
            for w in unreached
            if known_until_ms < self._deadline_ms(w)
            or self._scheduler.workers[w].is_probed
            or self._scheduler.workers[w].is_report_arriving
        ]
        past_deadline = [w for w in unreached if w not in missing]
        is_over = known_until_ms >= self._term.takeover_deadline_ms
        is_list_needed = bool(past_deadline) and not self.are_workers_listed
        if is_over or not is_list_needed:
            self._past_deadline_ids.update(past_deadline)
            self._remove_unregistered_workers(past_deadline)
            if not missing and (is_over or self._are_all_known):
                self._complete(now)
                return scheduling.FormerRuns()
        if now >= self._next_report_ms:
            self._next_report_ms = now + const.TAKEOVER_REPORT_INTERVAL_MS
            self._log.info(
                'Takeover waits',
                epoch=self._term.epoch,
                waited_ms=now - self._began_ms,
                remaining_ms=self._last_deadline_ms(missing) - now,
                are_workers_known=self._are_all_known,
                missing=len(missing),
                workers=missing[: const.MAX_LOGGED_WORKERS],
            )
        return scheduling.FormerRuns(
            worker_ids=frozenset(missing),
            has_unknown_workers=not (is_over or self._are_all_known),
        )

    def _limit_wait(self, now_ms: int) -> None:
        """Shorten the wait once most workers reject the former owner."""
        former = self._term.former_leases
        if former is None or not self._voter_ids:
            return
        workers = self._scheduler.workers
        answer_count = sum(
            worker_id in workers and workers[worker_id].is_probed
            for worker_id in self._voter_ids
        )
        if answer_count < ownership.majority(len(self._voter_ids)):
            return
        self._term.former_leases = None
        self._term.takeover_deadline_ms = min(
            self._term.takeover_deadline_ms,
            former.end_ms(now_ms, self._lease_max_ms),
        )

    def _deadline_ms(self, worker_id: str) -> int:
        """Return when all runs on a worker that has not reported are over."""
        deadline_ms = self._term.takeover_deadline_ms
        store_clock = self._term.store_clock
        end_ms = self._runs_end_ms.get(worker_id)
        if end_ms is None or store_clock is None:
            return deadline_ms
        return min(deadline_ms, store_clock.to_local_ms(end_ms))

    def _last_deadline_ms(self, missing: list[str]) -> int:
        """Return when the wait for reports is over."""
        if not self._are_all_known:
            return self._term.takeover_deadline_ms
        return max(
            (self._deadline_ms(worker_id) for worker_id in missing),
            default=self._clock.now(),
        )

    def _unreached_workers(self) -> list[str]:
        """Return the former workers whose runs are not known, sorted by id.

        A worker that has listed only a part of its ends may have ended others
        that the records do not hold.
        """
        workers = self._scheduler.workers
        return sorted(
            worker_id
            for worker_id in self._former_worker_ids
            if worker_id in workers and not workers[worker_id].are_runs_known
        )

    def _remove_unregistered_workers(self, worker_ids: list[str]) -> None:
        """Remove those that are not registered; none of them has reported."""
        for worker_id in worker_ids:
            if not self._scheduler.workers[worker_id].is_listed:
                self._scheduler.remove_worker(worker_id, 'never answered')

    def _complete(self, now_ms: int) -> None:
        """Note that all runs of former owners are known or over."""
        self._is_complete = True
        is_all_reported = self._are_all_known and not self._past_deadline_ids
        self._log.info(
            'Takeover completed',
            epoch=self._term.epoch,
            reason='reported' if is_all_reported else 'deadline',
            waited_ms=now_ms - self._began_ms,
            missing=len(self._past_deadline_ids),
        )
