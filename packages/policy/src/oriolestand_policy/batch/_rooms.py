"""Room that is kept for overdue tasks, and what the queue asks of workers."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.batch import _row

Rooms = Mapping[str, _row.Demand]
"""Resources that are kept for other tasks, by address of the worker."""

_WHOLE_POOL = '*'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedTask:
    """A queued task and its placement constraints.

    ``avoid`` is a worker to use only if no other one fits.
    """

    name: str
    team: str
    priority: int
    demand: _row.Demand
    pool: str
    avoid: str = ''
    lease_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Room:
    """Resources of a worker that are kept for an overdue task."""

    task: QueuedTask
    address: str

    def binds(self, task: QueuedTask) -> bool:
        """Return whether a task has to leave the room free."""
        return (
            task.pool == self.task.pool
            and task.priority <= self.task.priority
            and task.name != self.task.name
        )


class Workers(abc.ABC):
    """Workers of the pools, as far as the order of the queue depends on them.

    ``rooms`` are those that the task has to leave free.
    """

    @abc.abstractmethod
    def find(self, task: QueuedTask, rooms: Rooms) -> str | None:
        """Return a worker on which a task can start now, or None."""

    @abc.abstractmethod
    def can_run(self, task: QueuedTask) -> bool:
        """Return whether a worker of the pool, when idle, could run a task."""

    @abc.abstractmethod
    def find_room(self, task: QueuedTask, rooms: Rooms) -> str | None:
        """Return the worker on which a task is likely to fit soonest.

        Returns None if no worker should be kept for it now.
        """

    @abc.abstractmethod
    def can_keep(self, task: QueuedTask, address: str) -> bool:
        """Return whether room for a task should stay on a worker."""


class SingleWorker(Workers):
    """Treats each pool as a single worker that could run all tasks.

    :param find_worker: returns the address of a worker for a task, or None.
    """

    def __init__(
        self, find_worker: Callable[[QueuedTask], str | None]
    ) -> None:
        self._find_worker = find_worker

    def find(self, task: QueuedTask, rooms: Rooms) -> str | None:
        """Return the worker unless it is kept for another task."""
        return None if rooms else self._find_worker(task)

    def can_run(self, task: QueuedTask) -> bool:
        """Return that the worker could run a task."""
        return True

    def find_room(self, task: QueuedTask, rooms: Rooms) -> str | None:
        """Return the worker unless it is kept for another task."""
        return None if rooms else _WHOLE_POOL

    def can_keep(self, task: QueuedTask, address: str) -> bool:
        """Return that the worker stays."""
        return True
