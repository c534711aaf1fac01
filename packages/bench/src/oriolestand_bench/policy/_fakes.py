"""Simulated workers with interference, faults and delayed reports."""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import oriolestand_core as core
from oriolestand_policy import interference

REPORT_DELAY_MS = 2_000
QUIET_SLOWDOWN = 0.01
NOISY_SLOWDOWN = 0.4
"""Slowdown of services on a worker by each task of a noisy team."""
THROTTLED_SLOWDOWN_RATIO = 0.25
"""Fraction of a task's slowdown that remains when it is throttled."""
THROTTLED_SPEED = 0.5
CHECKPOINT_INTERVAL_MS = 1_000
REPORT_ERROR = 0.1


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """A batch task.

    ``checkpoint_ms`` is the work up to its last checkpoint,
    ``progress_ms`` the work up to ``updated_ms``.
    """

    key: str
    team: str
    slots: int
    work_ms: float
    job: str
    checkpoint_ms: float = 0.0
    progress_ms: float = 0.0
    updated_ms: int = 0
    speed: float = 1.0
    worker: 'Worker | None' = None
    timer: Any | None = None
    is_throttled: bool = False

    def advance(self, now: int) -> None:
        """Add the work since the last update to the progress."""
        self.progress_ms += (now - self.updated_ms) * self.speed
        self.updated_ms = now


class Worker:
    """A worker that runs requests and tasks.

    ``over_limit`` counts how often more slots were taken than it has.
    """

    def __init__(self, address: str, slots: int, clock: core.Clock) -> None:
        self.address = address
        self.slots = slots
        self.in_use = 0
        self.over_limit = 0
        self.is_down = False
        self.is_failing = False
        self.failed_starts: list[int] = []
        self.served = 0
        self.tasks: dict[str, Task] = {}
        self._clock = clock

    def occupy(self, slots: int) -> None:
        """Occupy slots."""
        self.in_use += slots
        if self.in_use > self.slots:
            self.over_limit += 1

    def release(self, slots: int) -> None:
        """Release slots."""
        self.in_use -= slots

    def slowdown(self) -> float:
        """Return the service time here relative to an idle worker."""
        slowdown_sum = 0.0
        for task in self.tasks.values():
            task_slowdown = (
                NOISY_SLOWDOWN if task.team == 'noisy' else QUIET_SLOWDOWN
            )
            slowdown_sum += task_slowdown * (
                THROTTLED_SLOWDOWN_RATIO if task.is_throttled else 1.0
            )
        return 1.0 + slowdown_sum

    def start(self, task: Task, on_done: Callable[[Task], object]) -> None:
        """Start a task from its last checkpoint."""
        task.worker = self
        task.progress_ms = task.checkpoint_ms
        task.updated_ms = self._clock.now()
        task.is_throttled = False
        task.speed = 1.0
        self.tasks[task.key] = task
        self._schedule(task, on_done)

    def throttle(
        self, task: Task, is_on: bool, on_done: Callable[[Task], object]
    ) -> None:
        """Start or stop throttling a task."""
        task.advance(self._clock.now())
        task.is_throttled = is_on
        task.speed = THROTTLED_SPEED if is_on else 1.0
        if task.timer is not None:
            task.timer.cancel()
        self._schedule(task, on_done)

    def _schedule(self, task: Task, on_done: Callable[[Task], object]) -> None:
        """Schedule the callback for the end of a task."""
        remaining_ms = max(0.0, task.work_ms - task.progress_ms) / task.speed
        task.timer = self._clock.call_later(
            int(remaining_ms) + 1, lambda: on_done(task)
        )

    def stop(self, task: Task) -> float:
        """Stop a task; return the slot time lost since its checkpoint."""
        task.advance(self._clock.now())
        if task.timer is not None:
            task.timer.cancel()
        self.tasks.pop(task.key, None)
        task.worker = None
        run_ms = min(task.progress_ms, task.work_ms)
        checkpointed_ms = (
            run_ms - (run_ms - task.checkpoint_ms) % CHECKPOINT_INTERVAL_MS
        )
        lost = run_ms - checkpointed_ms
        task.checkpoint_ms = checkpointed_ms
        return lost * task.slots


class DelayedReports:
    """Usage reports of all workers with a delay and a random error."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pending: collections.deque[interference.UsageReport] = (
            collections.deque()
        )

    def measure(self, workers: list[Worker], now: core.Millis) -> None:
        """Measure all workers."""
        for worker in workers:
            error = 1.0 + self._rng.uniform(-REPORT_ERROR, REPORT_ERROR)
            self._pending.append(
                interference.UsageReport(
                    address=worker.address,
                    measured_at=now,
                    slowdown=max(1.0, worker.slowdown() * error),
                    services=worker.served,
                    residents={k: t.team for k, t in worker.tasks.items()},
                    throttled=frozenset(
                        k for k, t in worker.tasks.items() if t.is_throttled
                    ),
                )
            )
            worker.served = 0

    def due(self, now: core.Millis) -> list[interference.UsageReport]:
        """Return the reports whose delay has passed."""
        arrived = []
        while (
            self._pending
            and self._pending[0].measured_at + REPORT_DELAY_MS <= now
        ):
            arrived.append(self._pending.popleft())
        return arrived
