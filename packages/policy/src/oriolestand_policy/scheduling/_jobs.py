"""Hold the state of jobs and tasks in memory."""

import dataclasses
import enum
from typing import NamedTuple

from oriolestand_policy.scheduling import _specs


class Outcome(enum.Enum):
    """Name how a job ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class EndKind(enum.Enum):
    """Name how a run of a task ended, as its worker says."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class TaskKey(NamedTuple):
    """Identify a task; ``index`` counts the tasks of a step."""

    job: str
    occurrence: int
    step: int
    index: int  # type: ignore[assignment]

    def __str__(self) -> str:
        """Return the name that workers know."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'


def parse_key(text: str) -> TaskKey:
    """Return the key of a task's name, or raise ValueError.

    >>> parse_key('5c0e.0.1.17')
    TaskKey(job='5c0e', occurrence=0, step=1, index=17)
    """
    job, occurrence, step, index = text.rsplit('.', 3)
    return TaskKey(job, int(occurrence), int(step), int(index))


@dataclasses.dataclass(slots=True, kw_only=True)
class Task:
    """Hold one task; ``worker`` is empty while nothing runs it.

    ``checkpoint`` is the last saved state, from whichever run.
    ``failed_runs`` are the numbers of the runs that failed: the end of one
    may be seen again by a successor of the owner, or late, after the end of
    a newer run. ``avoid`` are the workers on which it failed.
    """

    key: TaskKey
    spec: _specs.StepSpec
    is_done: bool = False
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    checkpoint: str = ''
    run: int = 0
    worker: str = ''
    started_ms: int = 0
    ready_ms: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_idle(self) -> bool:
        """Return whether the task is neither done nor with a worker."""
        return not self.is_done and not self.worker


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """Hold a job; ``tasks`` has the occurrences that are due.

    ``needs_probe`` marks a job that a former owner of the cell may have
    started on a worker that has not answered yet.
    """

    spec: _specs.JobSpec
    tasks: dict[int, list[list[Task]]] = dataclasses.field(
        default_factory=dict
    )
    outcome: Outcome | None = None
    has_started: bool = False
    is_cancelled: bool = False
    needs_probe: bool = False
    ended_wall_ms: int = 0
    seen_ms: int = 0

    def occurrence(self, number: int) -> list[list[Task]]:
        """Return the tasks of an occurrence by step, made when missing."""
        found = self.tasks.get(number)
        if found is None:
            found = [
                [
                    Task(
                        key=TaskKey(self.spec.id, number, step, index),
                        spec=spec,
                    )
                    for index in range(spec.count)
                ]
                for step, spec in enumerate(self.spec.steps)
            ]
            self.tasks[number] = found
        return found

    def find(self, key: TaskKey) -> Task | None:
        """Return a task of the job, or None when there is no such task."""
        if not 0 <= key.occurrence < self.spec.occurrence_count:
            return None
        if not 0 <= key.step < len(self.spec.steps):
            return None
        if not 0 <= key.index < self.spec.steps[key.step].count:
            return None
        return self.occurrence(key.occurrence)[key.step][key.index]

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return all(t.is_done for t in self.occurrence(occurrence)[step])

    def is_step_open(self, occurrence: int, step: int) -> bool:
        """Return whether the steps that a step waits for are done."""
        return all(
            self.is_step_done(occurrence, other)
            for other in self.spec.steps[step].after
        )

    def is_complete(self) -> bool:
        """Return whether all occurrences are done."""
        return all(
            number in self.tasks
            and all(
                self.is_step_done(number, step)
                for step in range(len(self.spec.steps))
            )
            for number in range(self.spec.occurrence_count)
        )
