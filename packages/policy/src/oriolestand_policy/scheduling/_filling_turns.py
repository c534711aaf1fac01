"""Let filling tasks that have waited too long go before younger ones.

Under overload jobs that can still be in time start first, and without a limit
the others would never run. Overdue tasks have a share of the processor time
of all filling tasks that start in a pool. Jobs without a run come first, and
among them those that have waited longest since their last start, so that each
goes on however many wait.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _overdue
from oriolestand_policy.scheduling import _ready

TURN_INTERVAL_MS = 1_000
"""Longest time between turns of a pool, however little has passed."""

OVERDUE_SHARE = 0.1
"""Share of the processor time of started filling tasks that goes to turns."""

SLOW_START_INTERVAL_MS = 1_000
"""Time between tasks of a pool that may start at a lower pace in their turn.
They occupy capacity for longer than others and use up what services leave."""

ROTATION_MS = 2_000
"""Time for which a job in rotation goes on before those without a run. Most
tasks take about as long; jobs with shorter ones start several in that time."""

RETRY_MS = 2_000
"""Time until a task that could not start in its turn may have another."""


@dataclasses.dataclass(slots=True)
class _Pool:
    """Account of a pool, in thousandths of a core times milliseconds.

    ``passed`` is the processor time that overdue tasks are owed, as others
    went before them. It is negative once they have had more.
    ``next_turn_ms`` is when there is a turn even if nothing has passed.
    ``slow_task`` is the one that may start at a lower pace, and
    ``next_slow_ms`` when another one may.
    """

    passed: float = 0.0
    next_turn_ms: int = 0
    slow_task: _jobs.Task | None = None
    next_slow_ms: int = 0


class FillingTurns:
    """Choose the overdue filling tasks that go first in a round."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._pools: dict[str, _Pool] = {}
        self._last_start_ms: dict[_ready.OccurrenceKey, int] = {}
        self._last_run_ms: dict[_ready.OccurrenceKey, int] = {}
        """When a job in rotation was last seen to have a run."""
        self._rotation_began_ms: dict[_ready.OccurrenceKey, int] = {}
        self._now_ms = 0
        self._next_try_ms: dict[_jobs.TaskKey, int] = {}
        self._overdue: list[_overdue.OverdueStep] = []
        self._turns: dict[_jobs.TaskKey, str] = {}
        self._overdue_keys: set[_ready.OccurrenceKey] = set()

    def begin_round(
        self, now_ms: int, wall_ms: int, kept: Container[_jobs.TaskKey]
    ) -> list[_overdue.OverdueStep]:
        """Return the steps with tasks whose turn it is, in order.

        ``kept`` are the tasks that wait for a worker that is kept for them.
        """
        self._now_ms = now_ms
        self._overdue = self._in_turn(
            _overdue.overdue_filling_steps(self._cell, now_ms, wall_ms)
        )
        self._overdue_keys = {overdue.occurrence for overdue in self._overdue}
        self._turns = {}
        found: list[_overdue.OverdueStep] = []
        left: dict[str, float] = {}
        # One task of each job first, then the other tasks of the jobs.
        for is_first_pass in (True, False):
            for overdue in self._overdue:
                tasks = self._due_tasks(overdue, now_ms, kept)
                tasks = tasks[:1] if is_first_pass else tasks[1:]
                chosen = self._choose(overdue, tasks, left, now_ms)
                if chosen:
                    self._let_one_be_slowed(
                        self._pools[overdue.pool], chosen[0], now_ms, kept
                    )
                    found.append(dataclasses.replace(overdue, tasks=chosen))
        return found

    def _in_turn(
        self, steps: Iterable[_overdue.OverdueStep]
    ) -> list[_overdue.OverdueStep]:
        """Return overdue steps in the order of their turns.

        ``steps`` are ordered by age, which decides among equals.
        """
        return sorted(
            steps,
            key=lambda overdue: self._turn_rank(
                overdue.occurrence, overdue.tasks[0]
            ),
        )

    def _turn_rank(
        self, key: _ready.OccurrenceKey, task: _jobs.Task
    ) -> tuple[int, ...]:
        """Return the sort key of an occurrence among the overdue ones."""
        if self._note_run(key):
            return 1, self._served_ms(key, task)
        return 0, *self._idle_rank(key, task)

    def _note_run(self, key: _ready.OccurrenceKey) -> bool:
        """Return whether an occurrence has a run; note when it had one."""
        has_run = self.has_run(key)
        if has_run:
            self._last_run_ms[key] = self._now_ms
        return has_run

    def has_run(self, key: _ready.OccurrenceKey) -> bool:
        """Return whether a task of an occurrence is on a worker."""
        job_id, number = key
        return any(
            task.worker
            for tasks in self._cell.jobs[job_id].occurrence(number)
            for task in tasks
        )

    def _due_tasks(
        self,
        overdue: _overdue.OverdueStep,
        now_ms: int,
        kept: Container[_jobs.TaskKey],
    ) -> list[_jobs.Task]:
        """Return the tasks of a step that may have a turn now."""
        return [
            task
            for task in overdue.tasks
            if task.key not in kept
            and now_ms >= task.turn_after_ms
            and now_ms >= self._next_try_ms.get(task.key, 0)
        ]

    def _choose(
        self,
        overdue: _overdue.OverdueStep,
        tasks: Sequence[_jobs.Task],
        left: dict[str, float],
        now_ms: int,
    ) -> list[_jobs.Task]:
        """Return the tasks that the account of their pool allows.

        ``left`` is what is left of the accounts, by pool.
        """
        name = overdue.pool
        pool = self._pools.setdefault(name, _Pool())
        if name not in left:
            left[name] = pool.passed
            if now_ms >= pool.next_turn_ms:
                # One turn, whatever has passed.
                left[name] = max(left[name], 1.0)
        chosen: list[_jobs.Task] = []
        for task in tasks:
            if left[name] <= 0.0:
                break
            left[name] -= self._cost(task)
            chosen.append(task)
            task.is_overdue = True
            self._turns[task.key] = name
        return chosen

    def _let_one_be_slowed(
        self,
        pool: _Pool,
        task: _jobs.Task,
        now_ms: int,
        kept: Container[_jobs.TaskKey],
    ) -> None:
        """Let a task start at a lower pace, in place of the last one.

        One that a worker is kept for goes on to wait for it.
        """
        if now_ms < pool.next_slow_ms:
            return
        former = pool.slow_task
        if former is not None and former.key not in kept:
            former.may_be_slowed = False
        task.may_be_slowed = True
        pool.slow_task = task
        pool.next_slow_ms = now_ms + SLOW_START_INTERVAL_MS

    def _cost(self, task: _jobs.Task) -> float:
        """Return the processor time that a task is expected to use."""
        route = self._cell.jobs[task.key.job].spec.route
        expected_ms = self._cell.run_times.expected_ms(route, task.spec)
        return float(max(1, task.spec.cpu) * max(1, expected_ms))

    @property
    def overdue_steps(self) -> Sequence[_overdue.OverdueStep]:
        """Return the steps that the last round has found overdue."""
        return self._overdue

    def is_overdue(self, key: _ready.OccurrenceKey) -> bool:
        """Return whether filling tasks of an occurrence are overdue."""
        return key in self._overdue_keys

    def rotation_ranks(
        self, job: _jobs.Job, task: _jobs.Task
    ) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the sort keys of an occurrence among those in rotation.

        The first one is among those without a run, the other among all, since
        when it waits for a start. Equals are in order of their age. ``task``
        is one of its ready tasks.
        """
        key = task.key[:2]
        self._note_run(key)
        age_ms = job.spec.due_ms(key[1]) or job.spec.accepted_ms
        return (
            (*self._idle_rank(key, task), age_ms),
            (self._served_ms(key, task), age_ms),
        )

    def _idle_rank(
        self, key: _ready.OccurrenceKey, task: _jobs.Task
    ) -> tuple[bool, int]:
        """Return the sort key of an occurrence among those without a run.

        It goes on for a while, and then behind those that have had no run
        for longer. So a job with short runs does not wait for as long as the
        runs of the others take.
        """
        began_ms = self._rotation_began_ms.get(key)
        if began_ms is not None and self._now_ms - began_ms < ROTATION_MS:
            return False, began_ms
        last_run_ms = self._last_run_ms.get(key, 0)
        return True, max(last_run_ms, self._served_ms(key, task))

    def _served_ms(self, key: _ready.OccurrenceKey, task: _jobs.Task) -> int:
        """Return when an occurrence had its last start, or became ready.

        One with a start does not come after all later ones without.
        """
        return max(self._last_start_ms.get(key, 0), task.ready_ms)

    def on_started(self, task: _jobs.Task, pool: str, now_ms: int) -> None:
        """Enter a started filling task into the account of its pool."""
        found = self._pools.setdefault(pool, _Pool())
        key = task.key[:2]
        self._last_start_ms[key] = now_ms
        if now_ms - self._rotation_began_ms.get(key, 0) >= ROTATION_MS:
            self._rotation_began_ms[key] = now_ms
        if task.is_overdue:
            cost = self._cost(task)
            found.passed = max(-cost, found.passed - cost)
            found.next_turn_ms = now_ms + TURN_INTERVAL_MS
        else:
            found.passed += (
                self._cost(task) * OVERDUE_SHARE / (1.0 - OVERDUE_SHARE)
            )

    def end_round(self, now_ms: int, kept: Container[_jobs.TaskKey]) -> None:
        """Note which tasks could not use their turns."""
        ready = self._cell.ready
        for task_key in [k for k in self._next_try_ms if k not in ready]:
            del self._next_try_ms[task_key]
        for times in (
            self._last_start_ms,
            self._last_run_ms,
            self._rotation_began_ms,
        ):
            self._forget_ended(times)
        for task_key, name in self._turns.items():
            if task_key in kept:
                self._pools[name].next_turn_ms = now_ms + TURN_INTERVAL_MS
            elif task_key in ready:
                self._next_try_ms[task_key] = now_ms + RETRY_MS
        self._limit_accounts()

    def _forget_ended(self, times: dict[_ready.OccurrenceKey, int]) -> None:
        """Forget the times of jobs that have ended."""
        jobs = self._cell.jobs
        for key in [
            key
            for key in times
            if key[0] not in jobs or jobs[key[0]].outcome is not None
        ]:
            del times[key]

    def _limit_accounts(self) -> None:
        """Forget what has passed beyond what overdue tasks can still use."""
        usable: dict[str, float] = dict.fromkeys(self._pools, 0.0)
        for overdue in self._overdue:
            ready = sum(t.key in self._cell.ready for t in overdue.tasks)
            usable[overdue.pool] += ready * self._cost(overdue.tasks[0])
        for name, pool in self._pools.items():
            pool.passed = min(pool.passed, usable[name])
