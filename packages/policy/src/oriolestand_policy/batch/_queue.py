"""Order queued tasks by priority, by the share of their team and by age."""

import bisect
import collections
from collections.abc import Callable
import dataclasses
import heapq

from oriolestand_policy.batch import _rooms
from oriolestand_policy.batch import _row

MAX_OVERTAKES = 16
"""Number of starts of younger tasks of its pool, of any class and team, after
which a task is overdue. Room is kept for an overdue task, which leaves slots
idle until it starts; a lower number does that more often, a higher one lets
large tasks wait longer (measured in docs/decisions/0034)."""

QueuedTask = _rooms.QueuedTask

_DemandClass = tuple[str, _row.Demand]
_Holder = tuple[int, str, str]
"""Priority, team and pool of the tasks that have at most one room."""


class _TeamTasks:
    """Queued tasks of one team and priority, by demand class.

    ``order`` lists the classes by the number of their oldest task.
    """

    def __init__(self) -> None:
        self.classes: dict[
            _DemandClass, collections.OrderedDict[str, QueuedTask]
        ] = {}
        self.order: list[tuple[int, _DemandClass]] = []


@dataclasses.dataclass(slots=True, kw_only=True)
class _Decision:
    """Results of the lookups of one decision.

    ``unplaceable`` are the demand classes that fit no worker now. ``beside``
    are the rooms that tasks without one have to leave free, by priority and
    pool. ``ahead`` are the pools in which a team waits that comes first.
    """

    workers: _rooms.Workers
    unplaceable: set[_DemandClass] = dataclasses.field(default_factory=set)
    beside: dict[tuple[int, str], _rooms.Rooms] = dataclasses.field(
        default_factory=dict
    )
    ahead: set[str] = dataclasses.field(default_factory=set)


class TaskQueue:
    """Queue of batch tasks, ordered by priority, team and age.

    Within a priority, the team with the fewest slots in use per unit of
    weight comes first, where room kept for its tasks counts as in use. A team
    starts its oldest task that fits. Tasks are numbered in the order in which
    they are queued. A task is overdue after MAX_OVERTAKES starts of younger
    tasks. For the oldest overdue task of a team, priority and pool that could
    run on a worker, room is kept: the other tasks of its priority and below
    leave it free. While tasks of a team that comes first wait in the pool, a
    team with slots in use there gets no room; its younger tasks wait until it
    comes first itself or has none in use.

    Only the first task of each class is considered, so the cost of a decision
    depends on the number of teams and classes, not on that of tasks.
    """

    def __init__(self) -> None:
        self._levels: dict[int, dict[str, _TeamTasks]] = {}
        self._priorities: list[int] = []
        self._entries: dict[str, QueuedTask] = {}
        self._numbers: dict[str, int] = {}
        self._next_number = 0
        self._last_taken = ('', 0)
        self._started: dict[str, list[int]] = {}
        self._rooms: dict[_Holder, _rooms.Room] = {}
        self._starts = 0
        self._last_starts: dict[str, int] = {}
        self._kept: collections.Counter[str] = collections.Counter()
        self._in_use: collections.Counter[str] = collections.Counter()
        self._in_pool: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._weights: dict[str, int] = {}
        self._quotas: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued tasks."""
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        """Return whether a task is queued."""
        return name in self._entries

    @property
    def rooms(self) -> tuple[_rooms.Room, ...]:
        """Return the rooms that are kept for overdue tasks."""
        return tuple(self._rooms.values())

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
        self._insert(entry, self._next_number)
        self._next_number += 1

    def put_back(self, entry: QueuedTask) -> None:
        """Queue the task taken last again, which did not start, at its place.

        Its slots are released.
        """
        name, number = self._last_taken
        assert name == entry.name
        started = self._started[entry.pool]
        if number in started:
            started.remove(number)
        self.release_slots(entry.team, entry.demand.slots, entry.pool)
        # It may have been queued again since it was taken.
        self.remove(name)
        self._insert(entry, number)

    def _insert(self, entry: QueuedTask, number: int) -> None:
        """Add a task that is the youngest or the oldest one of its class."""
        self._entries[entry.name] = entry
        self._numbers[entry.name] = number
        level = self._levels.get(entry.priority)
        if level is None:
            level = self._levels[entry.priority] = {}
            bisect.insort(self._priorities, entry.priority)
        team = level.setdefault(entry.team, _TeamTasks())
        key = (entry.pool, entry.demand)
        entries = team.classes.setdefault(key, collections.OrderedDict())
        first = next(iter(entries), None)
        entries[entry.name] = entry
        if first is None:
            bisect.insort(team.order, (number, key))
        elif number < self._numbers[first]:
            entries.move_to_end(entry.name, last=False)
            self._reorder(team, key, self._numbers[first], number)

    def _reorder(
        self,
        team: _TeamTasks,
        key: _DemandClass,
        old: int,
        new: int | None,
    ) -> None:
        """Move a class to the number of its new oldest task, None if empty."""
        del team.order[bisect.bisect_left(team.order, (old,))]
        if new is not None:
            bisect.insort(team.order, (new, key))

    def rooms_beside(self, entry: QueuedTask) -> _rooms.Rooms:
        """Return the rooms that a task has to leave free, by address."""
        return {
            room.address: room.task.demand
            for room in self._rooms.values()
            if room.binds(entry)
        }

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
        """Remove a task from the queue, if it is there, and its room."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        number = self._numbers.pop(name)
        if self._room_of(entry) is not None:
            self._give_back(entry)
        level = self._levels[entry.priority]
        team = level[entry.team]
        key = (entry.pool, entry.demand)
        entries = team.classes[key]
        was_first = next(iter(entries)) == name
        del entries[name]
        if was_first:
            first = next(iter(entries), None)
            self._reorder(
                team,
                key,
                number,
                None if first is None else self._numbers[first],
            )
        if entries:
            return
        del team.classes[key]
        if team.classes:
            return
        del level[entry.team]
        if not level:
            del self._levels[entry.priority]
            self._priorities.remove(entry.priority)

    def take(
        self,
        workers: _rooms.Workers | Callable[[QueuedTask], str | None],
    ) -> tuple[QueuedTask, str] | None:
        """Remove and return the next task that can be placed, with its worker.

        :param workers: the workers, or a function that returns the address of
            a worker for a task, or None; then each pool counts as one worker.
        """
        if not isinstance(workers, _rooms.Workers):
            workers = _rooms.SingleWorker(workers)
        decision = _Decision(workers=workers)
        for priority in reversed(self._priorities):
            level = self._levels[priority]
            # Among teams with the same load, a team with short tasks would
            # always come first without turns.
            by_load = [
                (self._load(team), self._last_starts.get(team, 0), team)
                for team in level
            ]
            heapq.heapify(by_load)
            while by_load:
                _, _, team = heapq.heappop(by_load)
                found = self._first_fitting(team, level[team], decision)
                if found is not None:
                    self._record_start(found[0])
                    return found
        return None

    def _record_start(self, entry: QueuedTask) -> None:
        """Remove a task that starts and count it for those it overtakes."""
        number = self._numbers[entry.name]
        self.remove(entry.name)
        self._last_taken = (entry.name, number)
        self._starts += 1
        self._last_starts[entry.team] = self._starts
        self.take_slots(entry.team, entry.demand.slots, entry.pool)
        started = self._started.setdefault(entry.pool, [])
        bisect.insort(started, number)
        # One more than needed, as the last one may be put back.
        del started[: -(MAX_OVERTAKES + 1)]

    def _is_overdue(self, number: int, pool: str) -> bool:
        """Return whether MAX_OVERTAKES younger tasks have started."""
        started = self._started.get(pool, [])
        return (
            len(started) >= MAX_OVERTAKES and number < started[-MAX_OVERTAKES]
        )

    def _first_fitting(
        self, team: str, tasks: _TeamTasks, decision: _Decision
    ) -> tuple[QueuedTask, str] | None:
        """Return the oldest task of a team that fits a worker.

        Keeps room for the oldest overdue one of each pool that does not.
        """
        quota = self._quotas.get(team)
        waiting: set[str] = set()
        settled: set[str] = set()
        held: set[str] = set()
        for number, key in tasks.order:
            pool, demand = key
            if pool in held:
                continue
            entry = next(iter(tasks.classes[key].values()))
            is_overdue = self._is_overdue(number, pool)
            if quota is not None and self._in_use[team] + demand.slots > quota:
                if self._room_of(entry) is not None:
                    self._give_back(entry)
                if is_overdue and demand.slots <= quota:
                    # Younger tasks of the team would use up its quota.
                    return None
                continue
            worker = self._find_worker(entry, key, decision)
            if worker is not None:
                return entry, worker
            if pool in settled or (pool in waiting and not is_overdue):
                continue
            if not decision.workers.can_run(entry):
                if self._room_of(entry) is not None:
                    self._give_back(entry)
                continue
            waiting.add(pool)
            if is_overdue:
                settled.add(pool)
                if self._may_keep_room(entry, decision):
                    self._keep_room(entry, decision)
                else:
                    held.add(pool)
        decision.ahead |= waiting
        return None

    def _may_keep_room(self, entry: QueuedTask, decision: _Decision) -> bool:
        """Return whether a team may have room in view of its share.

        A team without slots of the pool may, however small its share is, as
        its tasks would never start otherwise.
        """
        return (
            entry.pool not in decision.ahead
            or not self._in_pool[entry.team, entry.pool]
            or (entry.priority, entry.team, entry.pool) in self._rooms
        )

    def _find_worker(
        self, entry: QueuedTask, key: _DemandClass, decision: _Decision
    ) -> str | None:
        """Return a worker for a task, or None."""
        if key in decision.unplaceable and self._room_of(entry) is None:
            return None
        rooms = self._rooms_beside(entry, decision)
        worker = decision.workers.find(entry, rooms)
        if worker is None:
            decision.unplaceable.add(key)
        return worker

    def _room_of(self, entry: QueuedTask) -> _rooms.Room | None:
        """Return the room that is kept for a task, or None."""
        room = self._rooms.get((entry.priority, entry.team, entry.pool))
        if room is None or room.task.name != entry.name:
            return None
        return room

    def _give_back(self, entry: QueuedTask) -> None:
        """Give back the room of a task's team, priority and pool, if any."""
        room = self._rooms.pop((entry.priority, entry.team, entry.pool), None)
        if room is not None:
            self._kept[entry.team] -= room.task.demand.slots

    def _keep_room(self, entry: QueuedTask, decision: _Decision) -> None:
        """Keep room for a task in place of the room of a younger one."""
        room = self._room_of(entry)
        if room is not None and decision.workers.can_keep(entry, room.address):
            return
        self._give_back(entry)
        decision.beside.clear()
        rooms = self._rooms_beside(entry, decision)
        address = decision.workers.find_room(entry, rooms)
        if address is None:
            return
        holder = (entry.priority, entry.team, entry.pool)
        self._rooms[holder] = _rooms.Room(task=entry, address=address)
        self._kept[entry.team] += entry.demand.slots
        decision.beside.clear()

    def _rooms_beside(
        self, entry: QueuedTask, decision: _Decision
    ) -> _rooms.Rooms:
        """Return the rooms beside a task, looked up once for those without."""
        key = (entry.priority, entry.pool)
        has_room = self._room_of(entry) is not None
        if not has_room and key in decision.beside:
            return decision.beside[key]
        rooms = self.rooms_beside(entry)
        if not has_room:
            decision.beside[key] = rooms
        return rooms

    def take_slots(self, team: str, slots: int, pool: str = '') -> None:
        """Record the slots of a started or adopted task as in use."""
        self._in_use[team] += slots
        self._in_pool[team, pool] += slots

    def release_slots(self, team: str, slots: int, pool: str = '') -> None:
        """Record that a task of a team released its slots."""
        self._in_use[team] -= slots
        if self._in_use[team] <= 0:
            del self._in_use[team]
        self._in_pool[team, pool] -= slots
        if self._in_pool[team, pool] <= 0:
            del self._in_pool[team, pool]

    def _load(self, team: str) -> float:
        """Return the slots in use or kept per unit of weight."""
        slots = self._in_use[team] + self._kept[team]
        return slots / self._weights.get(team, 1)
