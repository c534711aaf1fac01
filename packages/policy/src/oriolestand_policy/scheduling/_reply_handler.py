"""Apply replies to orders to the state of a cell."""

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _crash_handler
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _incarnations
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _reports
from oriolestand_policy.scheduling import _unconfirmed_runs

REFUSAL_AVOID_MS = 300
UNHEALTHY_AVOID_MS = 1_000

_SENT_OUTCOMES = frozenset(
    {_reports.StartOutcome.STARTED, _reports.StartOutcome.IN_DOUBT}
)
"""Outcomes with which a worker may have a run."""


_LEASE_OUTCOMES = frozenset(
    {
        _reports.StartOutcome.STARTED,
        _reports.StartOutcome.REFUSED,
        _reports.StartOutcome.NO_ROOM,
    }
)
"""Outcomes with which a worker may have extended its lease."""


class ReplyHandler:
    """Update a cell from replies to orders."""

    def __init__(
        self,
        cell: _cell.Cell,
        crash_handler: _crash_handler.CrashHandler,
        incarnations: _incarnations.Incarnations,
    ) -> None:
        self._cell = cell
        self._crash_handler = crash_handler
        self._incarnations = incarnations

    def on_start_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        outcome: _reports.StartOutcome,
        reason: str,
        now_ms: int,
        answer: _unconfirmed_runs.Answer | None = None,
    ) -> None:
        """Apply the outcome of a start order.

        ``answer`` is None if there is none, or if the worker has not told its
        clock.
        """
        if outcome is _reports.StartOutcome.WITHDRAWN:
            self.withdraw_start(worker_id, key, number, now_ms)
            return
        if outcome is _reports.StartOutcome.STARTED:
            # The run may have been released before the reply was read.
            job = self._cell.jobs.get(key.job)
            if job is not None:
                self._cell.confirm_start(job)
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return
        run = worker.runs.get((key, number))
        if run is None:
            return
        run.is_sent = outcome in _SENT_OUTCOMES
        if outcome in _LEASE_OUTCOMES:
            self._apply_answer(worker, run, answer, now_ms)
        if outcome is _reports.StartOutcome.STARTED:
            run.has_begun = True
            self._crash_handler.on_begun(run)
            if run.phase is _fleet.RunPhase.STARTING:
                run.phase = _fleet.RunPhase.RUNNING
                run.since_ms = now_ms
            return
        if outcome is _reports.StartOutcome.IN_DOUBT:
            if run.phase is _fleet.RunPhase.STARTING:
                run.phase = _fleet.RunPhase.IN_DOUBT
                run.since_ms = run.doubt_ms = now_ms
                self._cell.log(
                    'start_in_doubt',
                    key.job,
                    task=str(key),
                    run=number,
                    worker=worker_id,
                    reason=reason,
                )
                self._cell.stop_run(worker_id, key, number, 'in doubt')
                self._note_doubt(run, worker_id)
            return
        self._cell.log(
            'start_refused',
            key.job,
            task=str(key),
            run=number,
            worker=worker_id,
            reason=reason,
        )
        if run.phase is _fleet.RunPhase.RUNNING:
            return
        pause = REFUSAL_AVOID_MS
        if outcome is _reports.StartOutcome.UNHEALTHY:
            pause = UNHEALTHY_AVOID_MS
        worker.backoff_until_ms = max(worker.backoff_until_ms, now_ms + pause)
        worker.drop(run)
        self._crash_handler.on_start_without_effect(run)
        self._cell.release(run, worker_id, now_ms, has_run=False)

    def _note_doubt(self, run: _fleet.Run, worker_id: str) -> None:
        """Store that a start may be carried out late, for a successor."""
        self._cell.note_late_start(run, worker_id)
        job = self._cell.jobs.get(run.key.job)
        if job is not None and job.outcome is None:
            self._cell.save(job)

    def _apply_answer(
        self,
        worker: _fleet.Worker,
        run: _fleet.Run,
        answer: _unconfirmed_runs.Answer | None,
        now_ms: int,
    ) -> None:
        """Note which incarnation has answered a start, and its lease."""
        if answer is None:
            answer = _unconfirmed_runs.Answer(
                clock_ms=None,
                lease_end_ms=None,
                sent_ms=now_ms,
                received_ms=now_ms,
            )
        worker.other_lease_over_ms = max(
            worker.other_lease_over_ms,
            _unconfirmed_runs.lease_over_ms(answer, self._cell.lease_max_ms),
        )
        if answer.clock_ms is None:
            return
        if _unconfirmed_runs.is_from_other(worker, answer):
            self._incarnations.on_other_clock(worker, answer)
            if answer.are_leases_limited:
                self._stop_unlisted(worker, now_ms)
        elif run.is_sent:
            run.is_confirmed = True

    def _stop_unlisted(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Stop the runs that another incarnation of a worker has begun.

        It holds the longest lease, which outlasts the wait of a successor
        while this owner may only request shorter ones or none.
        """
        for run in list(worker.runs.values()):
            if run.is_reported or run.stop_sent_ms >= 0:
                continue
            self._cell.stop_run(
                worker.info.id, run.key, run.number, 'other incarnation'
            )
            self._cell.mark_stop_sent(run, now_ms)

    def withdraw_start(
        self, worker_id: str, key: _jobs.TaskKey, number: int, now_ms: int
    ) -> None:
        """Release a run whose start order was not sent."""
        worker = self._cell.workers.get(worker_id)
        run = worker.runs.get((key, number)) if worker is not None else None
        if worker is None or run is None:
            return
        self._cell.log(
            'start_withdrawn',
            key.job,
            task=str(key),
            run=number,
            worker=worker_id,
        )
        worker.drop(run)
        self._crash_handler.on_start_without_effect(run)
        self._cell.release(run, worker_id, now_ms, has_run=False)
        if run.spec.is_gang:
            self._stop_gang(run, now_ms)

    def _stop_gang(self, run: _fleet.Run, now_ms: int) -> None:
        """Stop the other members of a gang of which a run never starts.

        They would occupy their workers until they end alone.
        """
        job = self._cell.jobs.get(run.key.job)
        if job is None or job.outcome is not None:
            return
        for member in job.occurrence(run.key.occurrence)[run.key.step]:
            if not member.worker or member.run != run.number:
                continue
            self._cell.stop_run(
                member.worker, member.key, member.run, 'member withdrawn'
            )
            self._cell.mark_task_stop_sent(member, now_ms)

    def on_pace_failed(
        self, worker_id: str, key: _jobs.TaskKey, number: int
    ) -> None:
        """Note that a worker did not answer an order to pace a run.

        The present pace is sent again once the worker lists the run, also if
        it is newer: the order that failed may take effect after it.
        """
        worker = self._cell.workers.get(worker_id)
        run = worker.runs.get((key, number)) if worker is not None else None
        if run is not None:
            run.is_pace_in_doubt = True

    def on_stop_reply(
        self,
        worker_id: str,
        key: _jobs.TaskKey,
        number: int,
        is_answered: bool,
        now_ms: int,
    ) -> None:
        """Record whether a worker answered a stop order.

        A worker that answered will not act on an earlier start order for
        the same run that arrives late.
        """
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return
        run = worker.runs.get((key, number))
        if run is None:
            return
        if is_answered:
            run.is_stop_settled = True
            run.stop_sent_ms = now_ms
            if run.phase is not _fleet.RunPhase.IN_DOUBT:
                run.phase = _fleet.RunPhase.STOPPING
            run.since_ms = now_ms
