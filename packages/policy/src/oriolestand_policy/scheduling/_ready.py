"""Queue of the tasks that wait for a worker."""

from collections.abc import Iterator
import dataclasses

from oriolestand_policy.scheduling import _jobs

OccurrenceKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Occurrence:
    """Ready tasks of an occurrence, in the order in which they were added.

    ``steps`` holds the same tasks by step and index. ``sorted_steps`` has
    those of a step that has not changed since they were last asked for.
    """

    tasks: dict[_jobs.TaskKey, _jobs.Task] = dataclasses.field(
        default_factory=dict
    )
    steps: dict[int, dict[int, _jobs.Task]] = dataclasses.field(
        default_factory=dict
    )
    sorted_steps: dict[int, list[_jobs.Task]] = dataclasses.field(
        default_factory=dict
    )


class ReadyQueue:
    """Ready tasks, grouped by the occurrences and steps of their jobs."""

    def __init__(self) -> None:
        self._occurrences: dict[OccurrenceKey, _Occurrence] = {}

    def __contains__(self, key: _jobs.TaskKey) -> bool:
        """Return whether a task is ready."""
        found = self._occurrences.get(key[:2])
        return found is not None and key in found.tasks

    def __iter__(self) -> Iterator[_jobs.Task]:
        """Yield all ready tasks."""
        for found in self._occurrences.values():
            yield from found.tasks.values()

    def add(self, task: _jobs.Task) -> None:
        """Add a task that is not ready yet."""
        key = task.key
        found = self._occurrences.setdefault(key[:2], _Occurrence())
        found.tasks[key] = task
        found.steps.setdefault(key.step, {})[key.index] = task
        found.sorted_steps.pop(key.step, None)

    def discard(self, key: _jobs.TaskKey) -> None:
        """Remove a task if it is ready."""
        found = self._occurrences.get(key[:2])
        if found is None or found.tasks.pop(key, None) is None:
            return
        step = found.steps[key.step]
        del step[key.index]
        found.sorted_steps.pop(key.step, None)
        if not step:
            del found.steps[key.step]
        if not found.tasks:
            del self._occurrences[key[:2]]

    def occurrences(self) -> Iterator[tuple[OccurrenceKey, _jobs.Task]]:
        """Yield each occurrence and the first of its tasks to be added."""
        for key, found in self._occurrences.items():
            yield key, next(iter(found.tasks.values()))

    def labels(self) -> set[str]:
        """Return the labels that ready tasks ask for; '' means none."""
        return {
            next(iter(tasks.values())).spec.label
            for found in self._occurrences.values()
            for tasks in found.steps.values()
        }

    def steps_of(self, key: OccurrenceKey) -> list[int]:
        """Return the steps of an occurrence that have ready tasks."""
        found = self._occurrences.get(key)
        return [] if found is None else sorted(found.steps)

    def counts_of(self, key: OccurrenceKey) -> list[tuple[int, int]]:
        """Return the steps with ready tasks, and the number of these."""
        found = self._occurrences.get(key)
        if found is None:
            return []
        return [(step, len(tasks)) for step, tasks in found.steps.items()]

    def count_of(self, key: OccurrenceKey, step: int) -> int:
        """Return the number of ready tasks of a step."""
        found = self._occurrences.get(key)
        return 0 if found is None else len(found.steps.get(step, ()))

    def tasks_of(self, key: OccurrenceKey, step: int) -> list[_jobs.Task]:
        """Return the ready tasks of a step, in the order of their index.

        The caller may not change the list.
        """
        found = self._occurrences.get(key)
        if found is None:
            return []
        tasks = found.sorted_steps.get(step)
        if tasks is None:
            by_index = found.steps.get(step, {})
            tasks = [by_index[index] for index in sorted(by_index)]
            found.sorted_steps[step] = tasks
        return tasks
