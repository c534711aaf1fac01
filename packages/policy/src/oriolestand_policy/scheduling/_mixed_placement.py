"""Place filling tasks beside the service tasks that they slow least."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import operator

from oriolestand_policy.scheduling import _candidates
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _gang_fit
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _pacing
from oriolestand_policy.scheduling import _placement
from oriolestand_policy.scheduling import _placement_round
from oriolestand_policy.scheduling import _pressure
from oriolestand_policy.scheduling import _specs

FILLING_FORECAST_MS = 1_200
"""How far ahead the load of service tasks is forecast to place a filling task.
Filling tasks run for about this long."""

MAX_BOUND_CACHES = 16
"""Maximum number of demands whose bounds are kept between rounds. With 250
workers one takes about 50 KB."""

MAX_ROOM_CACHES = 64
"""Maximum number of demands of gangs whose rooms are kept between rounds."""

ADDED_LOAD_STEP = 0.04
"""Granularity of added load in rankings. Workers in the same step are ranked
by free processors."""


class MixedPlacement(_placement.Placement):
    """Place filling tasks beside the service tasks that they slow least.

    Within a round, the workers for tasks with the same demands are kept in a
    queue, so that only changed workers are examined again for the next task.
    Between rounds the bounds are kept by which a queue is ordered at first.
    Whether a gang can fit is found out by sums, so that its members are not
    placed in vain.
    """

    def __init__(self, pressure: _pressure.InterferenceModel) -> None:
        self._pressure = pressure
        self._workers: Iterable[_fleet.Worker] = ()
        self._now_ms = 0
        self._is_prepared = True
        self._views: dict[str, _candidates.WorkerView] = {}
        self._pair_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._by_pool: dict[str, _placement_round.PoolRound] = {}
        self._bounds: dict[
            tuple[str, _placement_round.Demands], _candidates.BoundCache
        ] = {}
        self._room_caches: dict[
            tuple[str, _placement_round.Demands], _gang_fit.RoomCache
        ] = {}
        self._capacities: dict[str, _placement_round.FillingCapacity] = {}
        self._high_tails: dict[str, bool] = {}
        self._pairs_on_trial: set[tuple[str, str]] = set()
        self._pairs_of_gang: set[tuple[str, str]] = set()
        self._paces: dict[_jobs.TaskKey, int] = {}
        self._forecast = _placement_round.RoundForecast(pressure, 0, 0)

    def plan(self, workers: Iterable[_fleet.Worker], now_ms: int) -> None:
        """Start a round; the workers are examined at the first selection."""
        self._workers = workers
        self._now_ms = now_ms
        self._is_prepared = False
        self._paces.clear()

    def _prepare(self) -> None:
        """Group the usable workers by pool and find the pairs on trial."""
        self._is_prepared = True
        self._capacities.clear()
        self._high_tails.clear()
        self._forecast = _placement_round.RoundForecast(
            self._pressure, self._now_ms, FILLING_FORECAST_MS
        )
        by_pool: dict[str, _placement_round.PoolRound] = {}
        views = self._views
        count = 0
        for worker in self._workers:
            count += 1
            info = worker.info
            view = views.get(info.id)
            if view is None or not view.is_current(worker):
                view = self._view(worker)
            if (
                _eligibility.worker_state(worker, self._now_ms)
                is _eligibility.WorkerState.USABLE
            ):
                pool_round = by_pool.get(info.pool)
                if pool_round is None:
                    pool_round = _placement_round.PoolRound()
                    by_pool[info.pool] = pool_round
                pool_round.workers.append(worker)
                pool_round.views.append(view)
        self._by_pool = by_pool
        if len(views) > count:
            worker_ids = {worker.info.id for worker in self._workers}
            for worker_id in views.keys() - worker_ids:
                self._drop_view(worker_id)
        self._pairs_on_trial = {
            pair
            for pair in self._pair_counts
            if not self._pressure.has_estimate(*pair)
        }

    def _view(self, worker: _fleet.Worker) -> _candidates.WorkerView:
        """Return the view of a worker, made again if the worker changed."""
        worker_id = worker.info.id
        view = self._views.get(worker_id)
        if view is not None and view.is_current(worker):
            return view
        self._drop_view(worker_id)
        view = self._views[worker_id] = _candidates.view_of(worker, view)
        self._pair_counts.update(view.image_pairs)
        return view

    def _drop_view(self, worker_id: str) -> None:
        """Remove the view of a worker and its image pairs."""
        view = self._views.pop(worker_id, None)
        if view is None:
            return
        for pair in view.image_pairs:
            self._pair_counts[pair] -= 1
            if not self._pair_counts[pair]:
                del self._pair_counts[pair]

    def select_worker(
        self, task: _jobs.Task, pool: str
    ) -> _fleet.Worker | None:
        """Return the lowest-ranked worker of a pool that can run a task."""
        if not self._is_prepared:
            self._prepare()
        pool_round = self._by_pool.get(pool)
        if pool_round is None:
            return None
        index = self._search(task, pool, pool_round)
        if index is None:
            return None
        best = pool_round.workers[index]
        if task.spec.is_filling:
            capacity = self._filling_capacity(best)
            self._note_filling(best, task, capacity)
        # The task that is about to be added changes the worker.
        self._capacities.pop(best.info.id, None)
        pool_round.changed.append(index)
        return best

    def select_kept(self, worker: _fleet.Worker, task: _jobs.Task) -> bool:
        """Return whether a task can start on a worker that is kept for it."""
        if not self.can_host(worker, task):
            return False
        self._note_filling(worker, task, self._capacity_beside(worker, None))
        return True

    def _note_filling(
        self,
        worker: _fleet.Worker,
        task: _jobs.Task,
        capacity: _placement_round.FillingCapacity,
    ) -> None:
        """Note the pace and the trials of a task that is about to start."""
        pace, _ = self._pace(capacity, worker, task)
        if pace < _pacing.FULL_PACE:
            self._paces[task.key] = pace
        self._start_trials(worker, task.spec.image)

    def pace_of(self, task: _jobs.Task) -> int:
        """Return the pace in percent for a task that was selected for."""
        return self._paces.get(task.key, _pacing.FULL_PACE)

    def pace_without_filling(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> int:
        """Return the pace for a task once no other filling task is left."""
        if not self._is_prepared:
            self._prepare()
        view = self._view(worker)
        capacity = _placement_round.FillingCapacity(
            free=view.free_cpu,
            is_tail_high=False,
            headrooms=self._forecast.headrooms(view, ()),
        )
        pace, _ = self._pace(capacity, worker, task)
        return pace if pace >= _pacing.MIN_PACE else 0

    def obstacle(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> _obstacles.Obstacle | None:
        """Return what a worker lacks, or why it may not be slowed that far."""
        if not self._is_prepared:
            self._prepare()
        is_kept = worker.kept_for is task
        verdict = self._examine(worker, task, is_kept)
        return verdict if isinstance(verdict, _obstacles.Obstacle) else None

    def mark_changed(self, worker: _fleet.Worker) -> None:
        """Examine a worker again before further selections of the round."""
        if not self._is_prepared:
            return
        self._capacities.pop(worker.info.id, None)
        pool_round = self._by_pool.get(worker.info.pool)
        if pool_round is not None:
            pool_round.mark_changed(worker)

    def _start_trials(self, worker: _fleet.Worker, filling: str) -> None:
        """Record the pairs that a new task tries without an estimate."""
        pairs = {
            (image, filling)
            for image in self._view(worker).target_images()
            if not self._pressure.has_estimate(image, filling)
        }
        if pairs <= self._pairs_on_trial:
            return
        self._pairs_of_gang |= pairs - self._pairs_on_trial
        self._pairs_on_trial |= pairs
        # Other tasks of the image are now placed by the upper bounds.
        self._drop_plans(filling)

    def _drop_plans(self, filling: str) -> None:
        """Drop the weights and queues for filling tasks of an image."""
        self._forecast.planned_weights.pop(filling, None)
        for pool_round in self._by_pool.values():
            pool_round.drop_queues(filling)

    def fit_of_gang(self, task: _jobs.Task, pool: str) -> _gang_fit.GangFit:
        """Return whether all members of a task's gang may fit at present."""
        if not self._is_prepared:
            self._prepare()
        pool_round = self._by_pool.get(pool)
        if pool_round is None:
            return _gang_fit.GangFit(may_fit=False, checks=0)
        spec = task.spec
        sums, checks = pool_round.sums_of(spec.label)
        if not sums.allow(spec, spec.count):
            return _gang_fit.GangFit(may_fit=False, checks=checks)
        room, more_checks = self._room_for_all(task, pool, pool_round)
        return _gang_fit.GangFit(
            may_fit=room >= spec.count, checks=checks + more_checks
        )

    def _room_for_all(
        self,
        task: _jobs.Task,
        pool: str,
        pool_round: _placement_round.PoolRound,
    ) -> tuple[int, int]:
        """Return how many tasks with the demands of one fit in a pool.

        Return also how many workers were examined for it.
        """
        demands = _placement_round.demands_of(task)
        known = pool_round.rooms.get(demands)
        stamp = len(pool_round.changed)
        if known is not None and known[0] == stamp:
            return known[1], 0
        self._refresh_views(pool_round)
        workers = pool_round.workers
        # Moves the demands behind those that were used longer ago.
        cache = self._room_caches.pop((pool, demands), None)
        if cache is None or not _are_same(cache.workers, workers):
            cache = _gang_fit.RoomCache(workers)
        self._room_caches[pool, demands] = cache
        if len(self._room_caches) > MAX_ROOM_CACHES:
            del self._room_caches[next(iter(self._room_caches))]
        room, checks = cache.total(
            pool_round.views, lambda index: self._room(workers[index], task)
        )
        pool_round.rooms[demands] = (stamp, room)
        return room, checks

    def _room(self, worker: _fleet.Worker, task: _jobs.Task) -> int:
        """Return how many tasks fit on a worker, at most a largest gang.

        The result is kept for gangs of other sizes with the same demands.
        For filling tasks this is an upper bound: the load that they add to
        services is left out, which changes without the worker.
        """
        if self._capacity_obstacle(worker, task) is not None:
            return 0
        spec = task.spec
        room = worker.room_for(spec, _specs.MAX_TASKS)
        if spec.max_per_worker:
            count = self._view(worker).count_of_step(task.key[:3])
            room = min(room, spec.max_per_worker - count)
        if spec.is_filling and spec.cpu and not task.may_be_slowed:
            free = self._view(worker).free_cpu
            if worker.kept_for is not None:
                free -= worker.kept_for.spec.cpu
            room = min(room, max(0, int(free // spec.cpu)))
        return room

    def begin_gang(self) -> None:
        """Note that the next selections are for the members of one gang."""
        self._pairs_of_gang.clear()

    def abandon_gang(self) -> None:
        """End the trials of a gang that does not fit."""
        self._pairs_on_trial -= self._pairs_of_gang
        for filling in {filling for _, filling in self._pairs_of_gang}:
            self._drop_plans(filling)
        self._pairs_of_gang.clear()

    def _search(
        self,
        task: _jobs.Task,
        pool: str,
        pool_round: _placement_round.PoolRound,
    ) -> int | None:
        """Return the index of the best worker by the queue of its demands."""
        workers = pool_round.workers
        avoid = task.avoid
        demands = _placement_round.demands_of(task)
        queue = pool_round.queues.get(demands)
        if queue is None:
            bound_of = self._rank
            if task.spec.is_filling:
                bound_of = self._bound_filling
            heap, versions = self._bounds_of((pool, demands), pool_round).heap(
                pool_round.views,
                pool_round.high_tails,
                lambda index: bound_of(workers[index], task),
            )
            queue = _candidates.CandidateQueue(
                heap,
                versions,
                lambda index: bound_of(workers[index], task),
                lambda index: self._rank(workers[index], task),
                pool_round.changed,
            )
            pool_round.queues[demands] = queue
        return queue.find_best(lambda index: workers[index].info.id in avoid)

    def _refresh_views(self, pool_round: _placement_round.PoolRound) -> None:
        """Renew the views of workers that changed since the round began."""
        views = pool_round.views
        for index, worker in enumerate(pool_round.workers):
            if views[index].version != worker.version:
                views[index] = self._view(worker)

    def _bounds_of(
        self,
        key: tuple[str, _placement_round.Demands],
        pool_round: _placement_round.PoolRound,
    ) -> _candidates.BoundCache:
        """Return the bounds that are kept for demands in a pool."""
        workers, views = pool_round.workers, pool_round.views
        self._refresh_views(pool_round)
        if key[1].filling is not None and not pool_round.high_tails:
            pool_round.high_tails = [self._is_tail_high(v) for v in views]
        # Moves the demands behind those that were used longer ago.
        bounds = self._bounds.pop(key, None)
        if bounds is None or not _are_same(bounds.workers, workers):
            bounds = _candidates.BoundCache(workers)
        if key[1].step is not None:
            # Only the few tasks of one step have these demands.
            return bounds
        self._bounds[key] = bounds
        if len(self._bounds) > MAX_BOUND_CACHES:
            del self._bounds[next(iter(self._bounds))]
        return bounds

    def _capacity_obstacle(
        self, worker: _fleet.Worker, task: _jobs.Task, is_kept: bool = False
    ) -> _obstacles.Obstacle | None:
        """Return what a worker lacks for a task, or why it may not run it."""
        spec = task.spec
        shortage = worker.shortage(spec, is_kept=is_kept)
        if shortage is not None:
            return shortage
        if spec.label and spec.label not in worker.info.labels:
            return _obstacles.Obstacle.LABEL
        if not spec.max_per_worker:
            return None
        count = self._view(worker).count_of_step(task.key[:3])
        if count < spec.max_per_worker:
            return None
        return _obstacles.Obstacle.MAX_PER_WORKER

    def _rank(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> _candidates.Rank | None:
        """Return the rank of a worker, or None if it cannot run a task.

        The rank leaves out whether the task avoids the worker.
        """
        verdict = self._examine(worker, task)
        return None if isinstance(verdict, _obstacles.Obstacle) else verdict

    def _examine(
        self, worker: _fleet.Worker, task: _jobs.Task, is_kept: bool = False
    ) -> _candidates.Rank | _obstacles.Obstacle:
        """Return the rank of a worker, or why it cannot run a task.

        ``is_kept`` is whether idle processors of it are kept for this task.
        """
        obstacle = self._capacity_obstacle(worker, task, is_kept)
        if obstacle is not None:
            return obstacle
        if task.spec.is_filling:
            return self._rank_filling(worker, task, is_kept)
        if task.spec.is_service:
            return self._rank_service(worker, task.spec)
        return self._rank_batch(worker, task.spec)

    def _bound_filling(
        self, worker: _fleet.Worker, task: _jobs.Task
    ) -> _candidates.Rank | None:
        """Return a lower bound of the rank for a filling task, or None.

        It assumes that the task adds no load to service tasks.
        """
        if self._capacity_obstacle(worker, task) is not None:
            return None
        view = self._view(worker)
        free = view.unkept_cpu
        if free < task.spec.cpu or self._is_tail_high(view):
            return None
        share = -worker.capacity.share(free)
        return (*_common_rank(worker, task.spec), 0, 0, share)

    def _rank_filling(
        self, worker: _fleet.Worker, task: _jobs.Task, is_kept: bool
    ) -> _candidates.Rank | _obstacles.Obstacle:
        """Rank by load added to service tasks, within their headroom."""
        capacity = (
            self._capacity_beside(worker, None)
            if is_kept
            else self._filling_capacity(worker)
        )
        if capacity.free < task.spec.cpu:
            return _obstacles.Obstacle.BUSY_CPU
        if capacity.is_tail_high:
            return _obstacles.Obstacle.HIGH_TAIL
        pace, added = self._pace(capacity, worker, task)
        if pace < _min_pace(task):
            return self._load_obstacle(capacity, worker, task)
        return (
            *_common_rank(worker, task.spec),
            _pacing.FULL_PACE - pace,
            int(added / ADDED_LOAD_STEP),
            -worker.capacity.share(capacity.free),
        )

    def _pace(
        self,
        capacity: _placement_round.FillingCapacity,
        worker: _fleet.Worker,
        task: _jobs.Task,
    ) -> tuple[int, float]:
        """Return the pace that services allow, and the load that it adds."""
        share = worker.capacity.share(task.spec.cpu)
        pace, max_added = _pacing.FULL_PACE, 0.0
        for service, headroom in capacity.headrooms.items():
            weight = self._weight_for(service, task)
            added = weight * share
            max_added = max(max_added, added)
            if added > headroom:
                bound = share * self._forecast.weight_bound(
                    service, task.spec.image
                )
                pace = min(pace, _pacing.pace_within(headroom, bound))
        return pace, max_added * pace / _pacing.FULL_PACE

    def _load_obstacle(
        self,
        capacity: _placement_round.FillingCapacity,
        worker: _fleet.Worker,
        task: _jobs.Task,
    ) -> _obstacles.Obstacle:
        """Return why a filling task may not add load to the services."""
        image = task.spec.image
        share = worker.capacity.share(task.spec.cpu)
        for service, headroom in capacity.headrooms.items():
            if headroom < 0:
                return _obstacles.Obstacle.NO_HEADROOM
            if self._pressure.weight(service, image) * share > headroom:
                return _obstacles.Obstacle.HEADROOM
        return _obstacles.Obstacle.TRIAL

    def _weight_for(self, service: str, task: _jobs.Task) -> float:
        """Return the weight for the placement of a task, cached."""
        image = task.spec.image
        weights = self._forecast.planned_weights.setdefault(image, {})
        weight = weights.get(service)
        if weight is None:
            weight = weights[service] = self._planned_weight(service, image)
        return weight

    def _planned_weight(self, image: str, filling: str) -> float:
        """Return the weight of a pair for the placement of a task.

        Only one task at a time runs as a trial of a pair without a converged
        estimate; others are placed by the upper bound.
        """
        if (image, filling) in self._pairs_on_trial:
            return self._forecast.weight_bound(image, filling)
        return self._pressure.weight(image, filling)

    def _filling_capacity(
        self, worker: _fleet.Worker
    ) -> _placement_round.FillingCapacity:
        """Return the capacity of a worker for filling tasks, cached.

        It leaves out what is kept for one of them.
        """
        capacity = self._capacities.get(worker.info.id)
        if capacity is None:
            capacity = self._capacity_beside(worker, worker.kept_for)
            self._capacities[worker.info.id] = capacity
        return capacity

    def _capacity_beside(
        self, worker: _fleet.Worker, kept: _jobs.Task | None
    ) -> _placement_round.FillingCapacity:
        """Return the capacity for filling tasks beside a waiting one."""
        view = self._view(worker)
        filling, free = view.filling, view.free_cpu
        if kept is not None:
            share = worker.capacity.share(kept.spec.cpu)
            filling += ((kept.spec.image, share),)
            free = view.unkept_cpu
        return _placement_round.FillingCapacity(
            free=free,
            is_tail_high=self._is_tail_high(view),
            headrooms=self._forecast.headrooms(view, filling),
        )

    def _is_tail_high(self, view: _candidates.WorkerView) -> bool:
        """Return whether a tail latency is near its target, cached."""
        worker_id = view.info.id
        is_high = self._high_tails.get(worker_id)
        if is_high is None:
            is_high = self._high_tails[worker_id] = view.has_high_tail()
        return is_high

    def _rank_service(
        self, worker: _fleet.Worker, spec: _specs.StepSpec
    ) -> _candidates.Rank:
        """Rank by other service images on the worker, then by best fit.

        Workers with filling tasks but no service task come last, as they
        have the most capacity for further filling tasks.
        """
        view = self._view(worker)
        capacity = worker.capacity
        return (
            *_common_rank(worker, spec),
            capacity.filling_cpu > 0 and not capacity.service_cpu,
            len(worker.services) - view.service_images.get(spec.image, 0),
            capacity.free_cpu,
        )

    def _rank_batch(
        self, worker: _fleet.Worker, spec: _specs.StepSpec
    ) -> _candidates.Rank:
        """Rank by best fit into the processors that are not in use."""
        free = self._view(worker).free_cpu
        shortfall = max(0, spec.cpu - free)
        return (*_common_rank(worker, spec), shortfall, free)


def _are_same(
    former: Sequence[_fleet.Worker], workers: Sequence[_fleet.Worker]
) -> bool:
    """Return whether two sequences hold the same workers."""
    return len(former) == len(workers) and all(
        map(operator.is_, former, workers)
    )


def _min_pace(task: _jobs.Task) -> int:
    """Return the lowest pace at which a filling task is started."""
    if task.may_be_slowed:
        return _pacing.MIN_PACE
    return _pacing.FULL_PACE


def _common_rank(
    worker: _fleet.Worker, spec: _specs.StepSpec
) -> _candidates.Rank:
    """Rank workers last where runs fail or stall, or data is remote."""
    return (
        worker.is_readmitted,
        bool(spec.rack) and spec.rack != worker.info.rack,
        worker.recent_failures,
    )
