"""Order waiting tasks by priority and by the fair share of their team."""

import bisect
import collections
from collections.abc import Callable
import dataclasses
import heapq

from oriolestand_policy.batch import _row


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Describe a waiting task; ``pool`` and ``avoid`` limit its workers."""

    name: str
    team: str
    priority: int
    demand: _row.Demand
    pool: str
    avoid: str = ''
    lease_ms: int = 30_000


_Class = tuple[str, _row.Demand]


class _Team:
    """Hold the waiting tasks of one team and priority by class."""

    def __init__(self) -> None:
        self.classes: dict[_Class, collections.OrderedDict[str, Entry]] = {}


class TaskQueue:
    """Hold waiting tasks; the next is found by priority, team and class.

    Within a priority, the team with the least slots in use for its weight
    comes first. A decision looks at the first task of each class only, so
    its cost depends on the number of teams and classes, not of tasks.
    """

    def __init__(self) -> None:
        self._levels: dict[int, dict[str, _Team]] = {}
        self._priorities: list[int] = []
        self._entries: dict[str, Entry] = {}
        self._in_use: collections.Counter[str] = collections.Counter()
        self._weights: dict[str, int] = {}
        self._quotas: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        """Return whether a task waits here."""
        return name in self._entries

    def set_team(
        self, team: str, weight: int = 1, quota: int | None = None
    ) -> None:
        """Set the weight of a team and the most slots it may use."""
        self._weights[team] = max(1, weight)
        self._quotas.pop(team, None)
        if quota is not None:
            self._quotas[team] = quota

    def put(self, entry: Entry) -> None:
        """Add a task unless it waits already."""
        if entry.name in self._entries:
            return
        self._entries[entry.name] = entry
        level = self._levels.get(entry.priority)
        if level is None:
            level = self._levels[entry.priority] = {}
            bisect.insort(self._priorities, entry.priority)
        team = level.setdefault(entry.team, _Team())
        key = (entry.pool, entry.demand)
        team.classes.setdefault(key, collections.OrderedDict())[entry.name] = (
            entry
        )

    def classes(self) -> set[_Class]:
        """Return the pools and demands of the tasks that wait."""
        return {
            key
            for level in self._levels.values()
            for team in level.values()
            for key in team.classes
        }

    def names_of(self, pool: str, demand: _row.Demand) -> list[str]:
        """Return the waiting tasks of a class."""
        return [
            name
            for level in self._levels.values()
            for team in level.values()
            for name in team.classes.get((pool, demand), ())
        ]

    def remove(self, name: str) -> None:
        """Drop a task that is no longer waiting."""
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
        self, fits: Callable[[Entry], str | None]
    ) -> tuple[Entry, str] | None:
        """Remove and return the next task with the worker for it.

        :param fits: returns a worker for a task, or None.
        """
        missed: set[_Class] = set()
        for priority in reversed(self._priorities):
            level = self._levels[priority]
            order = [(self._usage(team), team) for team in level]
            heapq.heapify(order)
            while order:
                _, team = heapq.heappop(order)
                found = self._first(team, level[team], fits, missed)
                if found is not None:
                    self.remove(found[0].name)
                    self._in_use[team] += found[0].demand.slots
                    return found
        return None

    def _first(
        self,
        team: str,
        state: _Team,
        fits: Callable[[Entry], str | None],
        missed: set[_Class],
    ) -> tuple[Entry, str] | None:
        """Return the first task of a team that fits a worker."""
        quota = self._quotas.get(team)
        for key, entries in state.classes.items():
            slots = key[1].slots
            if quota is not None and self._in_use[team] + slots > quota:
                continue
            if key in missed:
                continue
            entry = next(iter(entries.values()))
            worker = fits(entry)
            if worker is not None:
                return entry, worker
            missed.add(key)
        return None

    def occupy(self, team: str, slots: int) -> None:
        """Count the slots of a task that was adopted."""
        self._in_use[team] += slots

    def ended(self, team: str, slots: int) -> None:
        """Count the slots of a task as free again."""
        self._in_use[team] -= slots
        if self._in_use[team] <= 0:
            del self._in_use[team]

    def _usage(self, team: str) -> float:
        """Return the slots in use for a unit of weight."""
        return self._in_use[team] / self._weights.get(team, 1)
