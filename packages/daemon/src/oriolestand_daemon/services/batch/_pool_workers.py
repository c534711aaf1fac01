"""Workers of the pools, by their counted resources and the granted slots."""

from collections.abc import Mapping
import dataclasses
from typing import Any

import oriolestand_core as core
from oriolestand_policy import batch


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Slots:
    """Granted slots of a worker and how many of them are free."""

    limit: int
    free: int


class PoolWorkers(batch.Workers):
    """Answers the queue for one placement.

    Slots that services hold are known only to the dispatcher. Its counts take
    a message for each placement, so they are set only where room is kept or
    wanted for a task.

    :param indexes: the index of workers of each pool.
    """

    def __init__(
        self, indexes: Mapping[str, batch.WorkerIndex], now: core.Millis
    ) -> None:
        self._indexes = indexes
        self._now = now
        self._refused: set[tuple[str, str, int]] = set()
        self._slots: dict[str, dict[str, _Slots]] | None = None
        self._needs_slots = False

    @property
    def needs_slots(self) -> bool:
        """Return whether room was wanted before the granted slots were set."""
        return self._needs_slots

    def set_dispatch_status(self, status: Mapping[str, Any]) -> None:
        """Set the granted slots from the status of the dispatcher."""
        self._needs_slots = False
        self._slots = {
            pool: {
                address: _Slots(
                    limit=up['limit'], free=up['limit'] - up['in_use']
                )
                for address, up in value['upstreams'].items()
            }
            for pool, value in status.items()
        }

    def record_refusal(self, task: batch.QueuedTask) -> None:
        """Record that the dispatcher refused the slots of a task."""
        self._refused.add((task.pool, task.team, task.demand.slots))

    def find(self, task: batch.QueuedTask, rooms: batch.Rooms) -> str | None:
        """Return a worker on which a task can start now, or None.

        Returns None if an equal request for slots was refused.
        """
        if self._is_refused(task):
            return None
        return self._choose(task, rooms)

    def can_run(self, task: batch.QueuedTask) -> bool:
        """Return whether a worker of the pool, when idle, could run a task."""
        index = self._indexes.get(task.pool)
        return index is not None and index.can_run(task.demand)

    def find_room(
        self, task: batch.QueuedTask, rooms: batch.Rooms
    ) -> str | None:
        """Return the worker on which a task is likely to fit soonest.

        Returns None if the granted slots are not set, or if the dispatcher
        refused the task although a worker has room, as more would not help.
        """
        if self._slots is None:
            self._needs_slots = True
            return None
        if self._is_refused(task) and self._choose(task, rooms) is not None:
            return None

        def free_slots(address: str) -> int | None:
            if address in rooms:
                return None
            return self._free_slots(task, address)

        index = self._indexes[task.pool]
        return index.choose_room(
            task.demand, self._now, free_slots, task.avoid
        )

    def can_keep(self, task: batch.QueuedTask, address: str) -> bool:
        """Return whether room for a task should stay on a worker."""
        index = self._indexes[task.pool]
        return (
            index.can_host(address, task.demand, self._now)
            and self._free_slots(task, address) is not None
        )

    def accepts(
        self, task: batch.QueuedTask, address: str, rooms: batch.Rooms
    ) -> bool:
        """Return whether a task may start on a worker with reserved slots."""
        index = self._indexes[task.pool]
        if not index.accepts(address, task.demand, self._now):
            return False
        return self._leaves_rooms(task, address, rooms)

    def _is_refused(self, task: batch.QueuedTask) -> bool:
        """Return whether an equal request for slots was refused."""
        key = (task.pool, task.team, task.demand.slots)
        return key in self._refused

    def _choose(
        self, task: batch.QueuedTask, rooms: batch.Rooms
    ) -> str | None:
        """Return a worker with the resources that a task needs, or None."""
        index = self._indexes.get(task.pool)
        if index is None:
            return None

        def may_use(address: str) -> bool:
            free = self._free_slots(task, address)
            if free is None or free < task.demand.slots:
                return False
            return self._leaves_rooms(task, address, rooms)

        return index.choose(task.demand, self._now, task.avoid, may_use)

    def _leaves_rooms(
        self, task: batch.QueuedTask, address: str, rooms: batch.Rooms
    ) -> bool:
        """Return whether a task leaves the room on a worker free."""
        room = rooms.get(address)
        if room is None:
            return True
        slots = self._slots_of(task.pool, address)
        if slots is not None and (slots.free - task.demand.slots < room.slots):
            return False
        index = self._indexes[task.pool]
        return index.leaves_free(address, task.demand, room)

    def _free_slots(self, task: batch.QueuedTask, address: str) -> int | None:
        """Return the free slots of a worker, None if too few are granted."""
        if self._slots is None:
            return task.demand.slots
        slots = self._slots_of(task.pool, address)
        if slots is None or slots.limit < task.demand.slots:
            return None
        return slots.free

    def _slots_of(self, pool: str, address: str) -> _Slots | None:
        """Return the granted slots of a worker, or None if unknown."""
        if self._slots is None:
            return None
        return self._slots.get(pool, {}).get(address)
