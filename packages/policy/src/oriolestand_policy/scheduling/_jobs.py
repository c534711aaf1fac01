"""In-memory state of jobs and tasks."""

from collections.abc import Iterator
import dataclasses
import enum
from typing import NamedTuple

from oriolestand_policy.scheduling import _specs


class Outcome(enum.Enum):
    """How a job ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class EndKind(enum.Enum):
    """How a run of a task ended, as reported by its worker.

    UNKNOWN: the worker reported a value that is none of the others.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    UNKNOWN = 'unknown'


class TaskKey(NamedTuple):
    """Key of a task; ``index`` is its position within the step."""

    job: str
    occurrence: int
    step: int
    index: int  # type: ignore[assignment]

    def __str__(self) -> str:
        """Return the name of the task on workers and in logs."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'


MAX_NAME_CHARS = 100
MAX_INDEX = 1_000_000
"""Limits on the names of tasks, which have an id of 16 digits and three
numbers below ``MAX_REPEATED_TASKS``."""


def parse_key(text: str) -> TaskKey:
    """Return the key for a task name, or raise ValueError.

    >>> parse_key('5c0e.0.1.17')
    TaskKey(job='5c0e', occurrence=0, step=1, index=17)
    """
    if len(text) > MAX_NAME_CHARS:
        raise ValueError('the task name is too long')
    job, occurrence, step, index = text.rsplit('.', 3)
    key = TaskKey(job, int(occurrence), int(step), int(index))
    if str(key) != text or not 0 <= min(key[1:]) <= max(key[1:]) < MAX_INDEX:
        # int() also reads signs, spaces, underscores and other digits, and
        # orders for the run would name another task.
        raise ValueError('the task name is not as the owner writes it')
    return key


class CrashKind(enum.StrEnum):
    """What speaks for a task as the cause of a crash.

    ALONE: only this task, or its gang, had just started on the worker. LATE:
    as ALONE, but the crash was noticed later than those that tasks cause.
    SHARED: others had just started as well. COMMON: so many workers crashed
    at the same moment that no single task can be the cause.
    """

    ALONE = 'alone'
    LATE = 'late'
    SHARED = 'shared'
    COMMON = 'common'


class Crash(NamedTuple):
    """Crash of the worker at an address, on which a task had just started."""

    address: str
    kind: CrashKind


class Watch(NamedTuple):
    """Run of a task whose worker may have crashed or may crash.

    ``kind`` is that of the crash. ``process_start_ms`` is when the worker
    process started, 0 if unknown, and ``rack`` may be empty. ``began_ms`` is
    when the run began in Unix time, 0 if unknown. ``has_begun`` is as in
    ``Run``.
    """

    run: int
    worker: str
    address: str
    kind: CrashKind
    process_start_ms: int = 0
    rack: str = ''
    began_ms: int = 0
    has_begun: bool = True


class Idleness(NamedTuple):
    """How long a run has shown no progress beyond a percentage."""

    run: int
    percent: int
    idle_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Task:
    """State of one task; ``worker`` is empty while no worker runs it.

    ``checkpoint`` is the last state saved by any run. ``failed_runs`` holds
    the numbers of the runs that failed, so that each counts once: the end of
    a run may be reported again to the next owner, and may arrive after the
    end of a newer run. ``avoid`` holds the workers on which the task failed.
    ``former_worker`` and ``former_run`` are where a former owner placed the
    task; the worker is empty once that run has ended or was adopted.
    ``late_worker`` is where the next incarnation may carry out the starts of
    ``late_runs``, which last until ``late_until_ms`` at most. It is empty if
    there are none.
    ``is_overdue`` is whether it is a filling task that has waited too long,
    ``may_be_slowed`` whether it may start at a lower pace therefore, and
    ``turn_after_ms`` the time until which it does not go before others.
    ``crashes`` are those that count against the task. ``doubtful_crashes`` are
    those of workers that may never have read the order to start it.
    ``watch`` is a run whose worker the next owner must know about, if it has
    crashed.
    ``idleness`` is that of the last run that showed no progress for a while,
    and ``stalls`` counts the runs that were stopped as stalled.
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
    former_worker: str = ''
    former_run: int = 0
    late_worker: str = ''
    late_runs: set[int] = dataclasses.field(default_factory=set)
    late_until_ms: int = -1
    is_overdue: bool = False
    may_be_slowed: bool = False
    turn_after_ms: int = 0
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    doubtful_crashes: list[Crash] = dataclasses.field(default_factory=list)
    watch: Watch | None = None
    idleness: Idleness | None = None
    stalls: int = 0

    @property
    def all_crashes(self) -> list[Crash]:
        """Return the crashes that the task may have caused."""
        return [*self.crashes, *self.doubtful_crashes]

    @property
    def is_suspect(self) -> bool:
        """Return whether the task may be the cause of crashes.

        Tasks that crash their workers may do so at the same moment, so a
        second crash counts although it seems to have a common cause.
        """
        if not (self.crashes or self.doubtful_crashes):
            return False
        crashes = self.all_crashes
        return len(crashes) > 1 or any(
            crash.kind is not CrashKind.COMMON for crash in crashes
        )

    @property
    def is_idle(self) -> bool:
        """Return whether the task is neither done nor assigned."""
        return not self.is_done and not self.worker

    def assign(self, worker: str, run: int, now_ms: int) -> None:
        """Assign the task to a run on a worker."""
        self.worker = worker
        self.run = run
        self.started_ms = now_ms
        self.former_worker = ''


def _task_at(steps: list[list[Task]], key: TaskKey) -> Task | None:
    """Return the task of an occurrence with a key, or None."""
    if not 0 <= key.step < len(steps):
        return None
    tasks = steps[key.step]
    return tasks[key.index] if 0 <= key.index < len(tasks) else None


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """State of a job; ``tasks`` holds the occurrences that are known.

    ``next_occurrence`` is the first one that was not queued as due; a new
    owner may know a later one. ``has_started`` is whether a worker has
    confirmed a run of the job, and ``is_start_decided`` whether this owner or
    a former one has decided to start one. ``needs_probe`` is set if a former
    owner of the cell may have started the job on a worker that has not
    reported to this owner yet. ``completions`` counts the tasks that were
    marked as done. ``has_unknown_placements`` is whether its service tasks may
    run on workers that its record does not name. ``ready_wall_ms`` is the Unix
    time at which steps became ready that depend on others, by occurrence and
    step. ``crashed_keys`` are the tasks that have had crashes; those of others
    need not be looked for. ``policy`` is the one that the job was accepted
    under, or None if it is not known. ``is_policy_awaited`` is whether the row
    that may hold it has not been received. ``is_loadable`` is whether a later
    owner may load the job.
    """

    spec: _specs.JobSpec
    policy: _specs.RoutePolicy | None = None
    is_policy_awaited: bool = False
    is_loadable: bool = True
    tasks: dict[int, list[list[Task]]] = dataclasses.field(
        default_factory=dict
    )
    next_occurrence: int = 0
    outcome: Outcome | None = None
    is_start_decided: bool = False
    has_started: bool = False
    is_cancelled: bool = False
    needs_probe: bool = False
    has_unknown_placements: bool = False
    ended_wall_ms: int = 0
    added_ms: int = 0
    completions: int = 0
    ready_wall_ms: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    crashed_keys: set[TaskKey] = dataclasses.field(default_factory=set)

    @property
    def has_services(self) -> bool:
        """Return whether the job has service tasks."""
        return any(step.is_service for step in self.spec.steps)

    def gang_of(self, task: Task) -> list[Task]:
        """Return the members of the gang of a task, or only the task."""
        if not task.spec.is_gang:
            return [task]
        return self.occurrence(task.key.occurrence)[task.key.step]

    def has_suspect_in_gang_of(self, task: Task) -> bool:
        """Return whether a member of the gang of a task is a suspect.

        This is asked for each member, so it visits crashed ones only.
        """
        for key in self.crashed_keys:
            if key[:3] == task.key[:3]:
                member = self.find(key)
                if member is not None and member.is_suspect:
                    return True
        return False

    def mark_done(self, task: Task) -> None:
        """Mark a task as done."""
        task.is_done = True
        self.completions += 1

    def occurrence(self, number: int) -> list[list[Task]]:
        """Return the tasks of an occurrence by step; create missing ones."""
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

    def all_tasks(self) -> Iterator[Task]:
        """Yield the tasks of the occurrences due so far."""
        for steps in self.tasks.values():
            for tasks in steps:
                yield from tasks

    def find(self, key: TaskKey) -> Task | None:
        """Return the task with a key, or None if the job has no such task."""
        steps = self.tasks.get(key.occurrence)
        if steps is not None:
            return _task_at(steps, key)
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

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(
            self.is_step_done(occurrence, dependency)
            for dependency in self.spec.steps[step].after
        )

    def is_complete(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return all(
            number in self.tasks
            and all(
                self.is_step_done(number, step)
                for step in range(len(self.spec.steps))
            )
            for number in range(self.spec.occurrence_count)
        )
