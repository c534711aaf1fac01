"""Refuse filling jobs as daemons do, and note what room was idle then."""

import collections
from collections.abc import Iterable
import dataclasses

from oriolestand_bench.goodput import _traffic
from oriolestand_policy import scheduling

POOL = 'p'

FITS = 'fits'
"""Use of idle processors in which a task of a refused job would start."""

RETURN_MS = 3_000
"""Time within which the callers of both users come back after a refusal."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Refusal:
    """Refusal of a job, and where its first step had room.

    ``usable_ms`` is until when its first step may start for the job to be in
    time. ``fitting`` has the most tasks of the step that fit beside what ran
    after the next round, each counted by itself, and after any sample until
    ``usable_ms``; they are -1 before the first one. ``idle`` has the idle
    processors after the next round, in thousandths of a core, by what keeps a
    task of the step from them.
    """

    planned: _traffic.PlannedJob
    is_strong: bool
    usable_ms: int
    task: scheduling.Task
    fitting: int = -1
    fitting_in_time: int = -1
    idle: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def judge(
        self,
        workers: Iterable[scheduling.Worker],
        placement: scheduling.Placement,
        now_ms: int,
    ) -> None:
        """Note the room of a round that has just ended."""
        is_first = self.fitting < 0
        fitting = 0
        for worker in workers:
            if not scheduling.is_usable(worker, now_ms):
                continue
            idle = round(max(0.0, worker.capacity.unkept_cpu()))
            obstacle = placement.obstacle(worker, self.task)
            if obstacle is None:
                fitting += max(1, idle // max(1, self.task.spec.cpu))
            if is_first:
                self.idle[obstacle.value if obstacle else FITS] += idle
        if is_first:
            self.fitting = fitting
        self.fitting_in_time = max(self.fitting_in_time, fitting)


@dataclasses.dataclass(slots=True, kw_only=True)
class RefusalRecord:
    """Submissions of filling jobs over the load, and those refused.

    ``renewals`` are those of the owner, ``full`` those that named a full pool.
    """

    submissions: int = 0
    renewals: int = 0
    full: int = 0
    refusals: list[Refusal] = dataclasses.field(default_factory=list)

    def add(
        self,
        planned: _traffic.PlannedJob,
        *,
        is_strong: bool,
        first_ms: int,
    ) -> None:
        """Add the refusal of a job that was first submitted at a time."""
        spec = planned.specs()[0]
        chain_ms = sum(max(step.run_ms) for step in planned.steps)
        key = scheduling.TaskKey('refused', 0, 0, 0)
        self.refusals.append(
            Refusal(
                planned=planned,
                is_strong=is_strong,
                usable_ms=first_ms + planned.objective_ms - chain_ms,
                task=scheduling.Task(key=key, spec=spec),
            )
        )

    def judge(
        self,
        scheduler: scheduling.Scheduler,
        placement: scheduling.Placement,
        now_ms: int,
        *,
        is_sample: bool,
    ) -> None:
        """Note the room for new refusals, in a sample also for older ones."""
        for refusal in self.refusals:
            is_open = is_sample and now_ms <= refusal.usable_ms
            if refusal.fitting < 0 or is_open:
                refusal.judge(scheduler.workers.values(), placement, now_ms)
