"""Select workers for tasks."""

import abc
from collections.abc import Iterable

from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _gang_fit
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _pacing


class Placement(abc.ABC):
    """Strategy that selects workers for tasks."""

    @abc.abstractmethod
    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Prepare for a round of selections at ``now_ms``."""

    @abc.abstractmethod
    def select_worker(
        self, task: _jobs.Task, pool: str
    ) -> _fleet.Worker | None:
        """Return the worker of a pool that should run a task, or None."""

    @abc.abstractmethod
    def obstacle(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> _obstacles.Obstacle | None:
        """Return what keeps a task from a worker now, usable or not."""

    def can_host(self, worker: _fleet.Worker, task: _jobs.Task) -> bool:
        """Return whether a worker could run a task now, usable or not."""
        return self.obstacle(worker, task) is None

    def select_kept(self, worker: _fleet.Worker, task: _jobs.Task) -> bool:
        """Return whether a task can start on a worker that is kept for it."""
        return self.can_host(worker, task)

    def pace_of(self, task: _jobs.Task) -> int:
        """Return the pace in percent for a task that was selected for."""
        return _pacing.FULL_PACE

    def pace_without_filling(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> int:
        """Return the pace for a task once no other filling task is left.

        It is 0 if services leave too little.
        """
        return _pacing.FULL_PACE

    @abc.abstractmethod
    def mark_changed(self, worker: _fleet.Worker) -> None:
        """Note that the capacity of a worker has changed in the round."""

    def fit_of_gang(self, task: _jobs.Task, pool: str) -> _gang_fit.GangFit:
        """Return whether all members of a task's gang may fit at present."""
        return _gang_fit.GangFit(may_fit=True, checks=0)

    @abc.abstractmethod
    def begin_gang(self) -> None:
        """Note that the next selections are for the members of one gang."""

    @abc.abstractmethod
    def abandon_gang(self) -> None:
        """Forget the selections for a gang that does not fit."""


class FirstFitPlacement(Placement):
    """Select the first worker with capacity; a baseline for comparison."""

    def __init__(self) -> None:
        self._workers: list[_fleet.Worker] = []

    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Sort the usable workers by id."""
        self._workers = sorted(
            (w for w in workers if _eligibility.is_usable(w, now_ms)),
            key=lambda w: w.info.id,
        )

    def select_worker(
        self, task: _jobs.Task, pool: str
    ) -> _fleet.Worker | None:
        """Return the first worker of a pool that can run a task."""
        for worker in self._workers:
            if worker.info.pool == pool and _eligibility.can_run(worker, task):
                return worker
        return None

    def obstacle(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> _obstacles.Obstacle | None:
        """Return what a worker lacks for a task."""
        return _eligibility.capacity_obstacle(worker, task)

    def mark_changed(self, worker: _fleet.Worker) -> None:
        """Do nothing, as each selection examines the workers anew."""

    def begin_gang(self) -> None:
        """Do nothing, as selections leave nothing behind."""

    def abandon_gang(self) -> None:
        """Do nothing, as selections leave nothing behind."""
