"""Jobs of a run, and what they received."""

import collections
import dataclasses
import enum

from oriolestand_bench.goodput import _traffic

OVERDUE_MS = 10_000
"""Age of a step from which the scheduler counts its tasks as overdue."""


class Result(enum.StrEnum):
    """What a job has earned; one that is open at the end earns nothing."""

    IN_TIME = 'in time'
    LATE = 'late'
    NOTHING = 'nothing'


@dataclasses.dataclass(slots=True, kw_only=True)
class JobRecord:
    """Submitted job and what it has received until now.

    ``submitted_ms`` is when its caller first tried, and ``accepted_ms`` when
    it was accepted, -1 if it was refused each time.
    ``done`` holds the indices of the done tasks of each step, and
    ``ready_ms`` when each step became ready, -1 if it is not. Starts are of
    tasks whose step had been ready for at most, or for longer than
    ``OVERDUE_MS``. ``used`` is the processor time of its runs in core
    seconds. ``waits`` are task seconds by obstacle.
    """

    planned: _traffic.PlannedJob
    submitted_ms: int
    done: list[set[int]]
    ready_ms: list[int]
    accepted_ms: int = -1
    ended_ms: int = -1
    is_completed: bool = False
    starts: int = 0
    overdue_starts: int = 0
    harm_stops: int = 0
    used: float = 0.0
    waits: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def result(self) -> Result:
        """Return what the job has earned."""
        if not self.is_completed:
            return Result.NOTHING
        took_ms = self.ended_ms - self.submitted_ms
        objective_ms = self.planned.objective_ms
        if took_ms <= objective_ms:
            return Result.IN_TIME
        if took_ms <= _traffic.LATE_FACTOR * objective_ms:
            return Result.LATE
        return Result.NOTHING

    def on_task_done(self, step: int, index: int, now_ms: int) -> None:
        """Note the end of a task, which may complete its step."""
        self.done[step].add(index)
        if (
            len(self.done[step]) == len(self.planned.steps[step].run_ms)
            and step + 1 < len(self.ready_ms)
            and self.ready_ms[step + 1] < 0
        ):
            self.ready_ms[step + 1] = now_ms

    def on_start(self, step: int, now_ms: int) -> None:
        """Count a start of a task."""
        self.starts += 1
        ready_ms = self.ready_ms[step]
        if ready_ms >= 0 and now_ms - ready_ms > OVERDUE_MS:
            self.overdue_starts += 1


def new_record(planned: _traffic.PlannedJob, now_ms: int) -> JobRecord:
    """Return the record of a job that is submitted now."""
    steps = len(planned.steps)
    return JobRecord(
        planned=planned,
        submitted_ms=now_ms,
        done=[set() for _ in range(steps)],
        ready_ms=[now_ms] + [-1] * (steps - 1),
    )
