"""Stop batch runs so that ended service tasks are at work again in time.

In a full cell batch tasks take the room of a service task that has ended, and
keep it for as long as they run.
"""

from collections.abc import Callable

from oriolestand_policy.scheduling import _amounts
from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _room_selection

PREEMPTION_WAIT_MS = 4_000
"""Time after the end of a service task from which batch runs are stopped for
it. Its users expect it back within 6 s, and a stop takes up to 0.4 s."""

PREEMPTED = 'preempted'
"""Reason of the stop orders."""


class Preemption:
    """Stop runs on the workers whose room is kept for service tasks."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell

    def is_due(self, tasks: tuple[_jobs.Task, ...], now_ms: int) -> bool:
        """Return whether service tasks have waited too long for room."""
        return all(task.spec.is_service for task in tasks) and any(
            now_ms - task.ready_ms >= PREEMPTION_WAIT_MS for task in tasks
        )

    def make_room(
        self,
        worker: _fleet.Worker,
        demand: _room_selection.Demand,
        now_ms: int,
    ) -> None:
        """Stop the batch runs that leave too little room for a demand."""
        for run in runs_to_stop(worker, demand, self._rank(now_ms)):
            self._cell.stop_run(worker.info.id, run.key, run.number, PREEMPTED)
            self._cell.mark_stop_sent(run, now_ms)

    def _rank(self, now_ms: int) -> Callable[[_fleet.Run], tuple[int, int]]:
        """Return how to rank runs, those that cost least first.

        Runs of less urgent routes come first, then those that lose the least
        processor time.
        """

        def rank(run: _fleet.Run) -> tuple[int, int]:
            job = self._cell.jobs.get(run.key.job)
            route = self._cell.policy_of(job) if job else None
            priority = route.priority if route is not None else 0
            if run.spec.has_checkpoints:
                return (-priority, 0)
            return (-priority, run.spec.cpu * (now_ms - run.since_ms))

        return rank


def runs_to_stop(
    worker: _fleet.Worker,
    demand: _room_selection.Demand,
    rank: Callable[[_fleet.Run], tuple[int, int]],
) -> list[_fleet.Run]:
    """Return the runs whose end leaves room for a demand on a worker.

    Runs that are being stopped count as ended. Return no run if those that
    may be stopped leave too little room.
    """
    missing = _missing(worker, demand.amounts)
    chosen: list[_fleet.Run] = []
    for run in sorted(filter(_may_stop, worker.runs.values()), key=rank):
        if missing.is_within(_amounts.NOTHING):
            break
        claim = _amounts.claim_of(run.spec)
        if any(m > 0 and c > 0 for m, c in zip(missing, claim, strict=True)):
            chosen.append(run)
            missing = missing.minus(claim)
    if not missing.is_within(_amounts.NOTHING):
        return []
    # The last ones chosen may have made some of the first ones needless.
    for run in list(chosen):
        without = missing.plus(_amounts.claim_of(run.spec))
        if without.is_within(_amounts.NOTHING):
            chosen.remove(run)
            missing = without
    return chosen


def _may_stop(run: _fleet.Run) -> bool:
    """Return whether a run may be stopped for a service task.

    The end of one member would end a whole gang.
    """
    return (
        run.stop_sent_ms < 0
        and run.phase is _fleet.RunPhase.RUNNING
        and not run.spec.is_service
        and not run.spec.is_gang
    )


def _missing(
    worker: _fleet.Worker, demand: _amounts.Amounts
) -> _amounts.Amounts:
    """Return how much a worker lacks for a demand once stops have ended."""
    missing = worker.capacity.missing(demand)
    for run in worker.runs.values():
        if run.stop_sent_ms >= 0:
            missing = missing.minus(_amounts.claim_of(run.spec))
    return missing
