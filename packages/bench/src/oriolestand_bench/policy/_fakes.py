"""Stand in for workers: slots, interference, faults, lagging reports."""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import oriolestand_core as core
from oriolestand_policy import interference

REPORT_LAG_MS = 2_000
QUIET_HARM = 0.01
NOISY_HARM = 0.4
"""Slowdown of services on a worker by one task of a noisy team."""
THROTTLED_HARM = 0.25
"""Part of the harm that is left when a task is throttled."""
THROTTLED_SPEED = 0.5
CHECKPOINT_INTERVAL_MS = 1_000
REPORT_ERROR = 0.1


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """Hold a batch task; ``done_ms`` is saved at checkpoints."""

    key: str
    team: str
    slots: int
    work_ms: float
    job: str
    done_ms: float = 0.0
    progress_ms: float = 0.0
    since: int = 0
    speed: float = 1.0
    worker: 'Worker | None' = None
    timer: Any | None = None
    is_throttled: bool = False

    def advance(self, now: int) -> None:
        """Count the work since the last change of speed."""
        self.progress_ms += (now - self.since) * self.speed
        self.since = now


class Worker:
    """Run requests and tasks on slots; count what breaks the limits."""

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

    def take(self, slots: int) -> None:
        """Use slots."""
        self.in_use += slots
        if self.in_use > self.slots:
            self.over_limit += 1

    def give(self, slots: int) -> None:
        """Free slots."""
        self.in_use -= slots

    def slowdown(self) -> float:
        """Return the time of services here relative to an idle worker."""
        harm = 0.0
        for task in self.tasks.values():
            own = NOISY_HARM if task.team == 'noisy' else QUIET_HARM
            harm += own * (THROTTLED_HARM if task.is_throttled else 1.0)
        return 1.0 + harm

    def start(self, task: Task, done: Callable[[Task], object]) -> None:
        """Run a task from its last checkpoint."""
        task.worker = self
        task.progress_ms = task.done_ms
        task.since = self._clock.now()
        task.is_throttled = False
        task.speed = 1.0
        self.tasks[task.key] = task
        self._schedule(task, done)

    def throttle(
        self, task: Task, is_on: bool, done: Callable[[Task], object]
    ) -> None:
        """Change the speed of a task."""
        task.advance(self._clock.now())
        task.is_throttled = is_on
        task.speed = THROTTLED_SPEED if is_on else 1.0
        if task.timer is not None:
            task.timer.cancel()
        self._schedule(task, done)

    def _schedule(self, task: Task, done: Callable[[Task], object]) -> None:
        """Call back when the work is done."""
        left = max(0.0, task.work_ms - task.progress_ms) / task.speed
        task.timer = self._clock.call_later(int(left) + 1, lambda: done(task))

    def stop(self, task: Task) -> float:
        """Stop a task; return the work lost since its checkpoint."""
        task.advance(self._clock.now())
        if task.timer is not None:
            task.timer.cancel()
        self.tasks.pop(task.key, None)
        task.worker = None
        ran = min(task.progress_ms, task.work_ms)
        saved = ran - (ran - task.done_ms) % CHECKPOINT_INTERVAL_MS
        lost = ran - saved
        task.done_ms = saved
        return lost * task.slots


class Reports:
    """Deliver measurements of all workers with a lag and an error."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: collections.deque[interference.UsageReport] = (
            collections.deque()
        )

    def measure(self, workers: list[Worker], now: core.Millis) -> None:
        """Measure all workers."""
        for worker in workers:
            error = 1.0 + self._rng.uniform(-REPORT_ERROR, REPORT_ERROR)
            self._waiting.append(
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
        """Return the reports that have arrived."""
        arrived = []
        while (
            self._waiting
            and self._waiting[0].measured_at + REPORT_LAG_MS <= now
        ):
            arrived.append(self._waiting.popleft())
        return arrived
