"""Simulated batch controller of one entry instance."""

import collections
from collections.abc import Callable
import random
from typing import Any

from oriolestand_bench.policy import _fakes
from oriolestand_bench.policy import _record
from oriolestand_bench.policy import _workload
import oriolestand_core as core
from oriolestand_policy import tables

EVICT_MS = 100
"""Time from an eviction request until the task has stopped."""
START_FAIL_MS = 5


class Controller:
    """Starts tasks while slots can be reserved.

    The team ``reshuffle`` always has more tasks to run.

    :param apply: called with the effects of the dispatcher.
    :param mean_ms: mean run time of a task of ``reshuffle``.
    """

    def __init__(
        self,
        name: str,
        clock: core.Clock,
        record: _record.Record,
        workers: dict[str, _fakes.Worker],
        apply: Callable[[list[Any]], None],
        seed: str,
        mean_ms: float,
    ) -> None:
        self._name = name
        self._clock = clock
        self._record = record
        self._workers = workers
        self._apply = apply
        self._rng = random.Random(f'{seed}/tasks/{name}')
        self._mean_ms = mean_ms
        self._count = 0
        self.dispatcher: Any = None
        self.backlog: dict[str, collections.deque[_fakes.Task]] = {}
        self.running: dict[str, _fakes.Task] = {}
        self.pools = ['main']
        self.is_store_reachable = True
        self.is_on = True
        self.is_up = True
        self.rejection_reasons: list[str] = []

    def submit(self, team: str, slots: int, work_ms: float, job: str) -> None:
        """Submit a task, or record why it can never run."""
        self._count += 1
        key = f'{self._name}-{self._count}'
        for pool in self.pools:
            reason = self.dispatcher.unplaceable_reason(pool, slots)
            if reason:
                self.rejection_reasons.append(reason)
                return
        self._enqueue(
            _fakes.Task(
                key=key, team=team, slots=slots, work_ms=work_ms, job=job
            )
        )

    def _enqueue(self, task: _fakes.Task) -> None:
        """Append a task to the queue of its team."""
        self.backlog.setdefault(task.team, collections.deque()).append(task)

    def poll(self) -> None:
        """Start tasks of each team until one cannot be placed."""
        if not (self.is_store_reachable and self.is_on and self.is_up):
            return
        for team in ('noisy', 'reshuffle'):
            self._start_team(team)

    def _start_team(self, team: str) -> None:
        """Start tasks of a team until one cannot be placed."""
        while True:
            if team == 'reshuffle' and not self.backlog.get(team):
                work = _workload.draw_work(self._rng, self._mean_ms)
                self.submit(team, 1, work, f'job{self._count % 7}')
            queue = self.backlog.get(team)
            if not queue or not self._start(queue[0]):
                return
            queue.popleft()

    def _start(self, task: _fakes.Task) -> bool:
        """Reserve slots for a task and start it; False if there are none."""
        pool = self._rng.choice(self.pools)
        reservation = self.dispatcher.reserve(
            task.key, pool, task.slots, task.team, 0, task.job
        )
        if reservation is None:
            return False
        worker = self._workers[reservation.address]
        worker.occupy(task.slots)
        self.running[task.key] = task
        if worker.is_failing or worker.is_down:
            worker.failed_starts.append(self._clock.now())
            task.worker = worker
            task.timer = self._clock.call_later(
                START_FAIL_MS, lambda: self._on_start_failed(task)
            )
            return True
        worker.start(task, self._on_done)
        return True

    def _on_done(self, task: _fakes.Task) -> None:
        """Count a finished task and release its slots."""
        worker = task.worker
        assert worker is not None
        now = self._clock.now()
        worker.stop(task)
        phase = self._record.at(now)
        phase.done['reshuffle', tables.Kind.BATCH] += 1
        self._release(task, worker, failed=False)

    def _on_start_failed(self, task: _fakes.Task) -> None:
        """Requeue a task that failed to start."""
        worker = task.worker
        assert worker is not None
        task.worker = None
        self._enqueue(task)
        self._release(task, worker, failed=True)

    def evict(self, key: str) -> None:
        """Stop a task after ``EVICT_MS`` and requeue it."""
        if key in self.running:
            self._record.at(self._clock.now()).evictions += 1
            self._clock.call_later(
                EVICT_MS, lambda: self.stop(key, True, is_eviction=True)
            )

    def stop(
        self,
        key: str,
        requeue: bool,
        failed: bool | None = None,
        is_eviction: bool = False,
    ) -> None:
        """Stop a task now.

        :param requeue: whether it is requeued, or else cancelled.
        """
        task = self.running.get(key)
        if task is None or task.worker is None:
            return
        worker = task.worker
        lost = worker.stop(task)
        if is_eviction:
            self._record.at(self._clock.now()).lost_ms += lost
        if requeue:
            self._enqueue(task)
        self._release(task, worker, failed)

    def throttle(self, key: str, is_on: bool) -> None:
        """Start or stop throttling a task."""
        task = self.running.get(key)
        if task is not None and key in (
            task.worker.tasks if task.worker else ()
        ):
            assert task.worker is not None
            task.worker.throttle(task, is_on, self._on_done)

    def _release(
        self, task: _fakes.Task, worker: _fakes.Worker, failed: bool | None
    ) -> None:
        """Release the slots of a task and start the next ones."""
        del self.running[task.key]
        worker.release(task.slots)
        now = self._clock.now()
        self._apply(self.dispatcher.unreserve(task.key, now, failed))
        if failed:
            self._clock.call_later(START_FAIL_MS, self.poll)
        else:
            self.poll()

    def record_slot_time(self, step_ms: int) -> None:
        """Add the slot time of the running tasks to the current phase."""
        phase = self._record.at(self._clock.now())
        for task in self.running.values():
            spent = task.slots * step_ms * task.speed
            team = (task.team, tables.Kind.BATCH)
            phase.useful_ms[team] += spent
            phase.task_ms += spent
