"""Order queued tasks by priority and by the fair share of their team."""

import bisect
import collections
from collections.abc import Callable
import dataclasses
import heapq

from oriolestand_policy.batch import _row


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


_DemandClass = tuple[str, _row.Demand]


class _TeamTasks:
    """Queued tasks of one team and priority, by demand class."""

    def __init__(self) -> None:
        self.classes: dict[
            _DemandClass, collections.OrderedDict[str, QueuedTask]
        ] = {}


class TaskQueue:
    """Queue of batch tasks, ordered by priority, team and demand class.

    Within a priority, the team with the fewest slots in use per unit of
    weight comes first. Only the first task of each class is considered, so
    the cost of a placement depends on the number of teams and classes, not
    on that of tasks.
    """

    def __init__(self) -> None:
        self._levels: dict[int, dict[str, _TeamTasks]] = {}
        self._priorities: list[int] = []
        self._entries: dict[str, QueuedTask] = {}
        self._in_use: collections.Counter[str] = collections.Counter()
        self._weights: dict[str, int] = {}
        self._quotas: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued tasks."""
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        """Return whether a task is queued."""
        return name in self._entries

    def set_team(
        self, team: str, weight: int = 1, quota: int | None = None
    ) -> None:
        """Set the weight of a team and its maximum number of slots in use."""
        self._weights[team] = max(1, weight)
        self._quotas.pop(team, None)
        if quota is not None:
            self._quotas[team] = quota

    def put(self, entry: QueuedTask) -> None:
        """Add a task unless it is already queued."""
        if entry.name in self._entries:
            return
        self._entries[entry.name] = entry
        level = self._levels.get(entry.priority)
        if level is None:
            level = self._levels[entry.priority] = {}
            bisect.insort(self._priorities, entry.priority)
        team = level.setdefault(entry.team, _TeamTasks())
        key = (entry.pool, entry.demand)
        team.classes.setdefault(key, collections.OrderedDict())[entry.name] = (
            entry
        )

    def classes(self) -> set[_DemandClass]:
        """Return the demand classes (pool and demand) of the queued tasks."""
        return {
            key
            for level in self._levels.values()
            for team in level.values()
            for key in team.classes
        }

    def names_of(self, pool: str, demand: _row.Demand) -> list[str]:
        """Return the names of the queued tasks of a demand class."""
        return [
            name
            for level in self._levels.values()
            for team in level.values()
            for name in team.classes.get((pool, demand), ())
        ]

    def remove(self, name: str) -> None:
        """Remove a task from the queue, if it is there."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        level = self._levels[entry.priority]
        team = level[entry.team]
        key = (entry.pool, entry.demand)
        del team.classes[key][name]
        if team.classes[key]:
            return
        del team.classes[key]
        if team.classes:
            return
        del level[entry.team]
        if not level:
            del self._levels[entry.priority]
            self._priorities.remove(entry.priority)

    def take(
        self, find_worker: Callable[[QueuedTask], str | None]
    ) -> tuple[QueuedTask, str] | None:
        """Remove and return the next task that can be placed, with its worker.

        :param find_worker: returns the address of a worker for a task, or
            None.
        """
        unplaceable: set[_DemandClass] = set()
        for priority in reversed(self._priorities):
            level = self._levels[priority]
            by_load = [(self._load(team), team) for team in level]
            heapq.heapify(by_load)
            while by_load:
                _, team = heapq.heappop(by_load)
                found = self._first_fitting(
                    team, level[team], find_worker, unplaceable
                )
                if found is not None:
                    self.remove(found[0].name)
                    self._in_use[team] += found[0].demand.slots
                    return found
        return None

    def _first_fitting(
        self,
        team: str,
        tasks: _TeamTasks,
        find_worker: Callable[[QueuedTask], str | None],
        unplaceable: set[_DemandClass],
    ) -> tuple[QueuedTask, str] | None:
        """Return the first task of a team that fits a worker.

        :param unplaceable: demand classes that fit no worker; updated here.
        """
        quota = self._quotas.get(team)
        for key, entries in tasks.classes.items():
            slots = key[1].slots
            if quota is not None and self._in_use[team] + slots > quota:
                continue
            if key in unplaceable:
                continue
            entry = next(iter(entries.values()))
            worker = find_worker(entry)
            if worker is not None:
                return entry, worker
            unplaceable.add(key)
        return None

    def take_slots(self, team: str, slots: int) -> None:
        """Record the slots of an adopted task as in use by its team."""
        self._in_use[team] += slots

    def release_slots(self, team: str, slots: int) -> None:
        """Record that a task of a team released its slots."""
        self._in_use[team] -= slots
        if self._in_use[team] <= 0:
            del self._in_use[team]

    def _load(self, team: str) -> float:
        """Return the slots in use per unit of weight."""
        return self._in_use[team] / self._weights.get(team, 1)
