"""Order the orders that an owner has not sent yet by what they promise."""

import collections
from collections.abc import Callable
import enum

from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _jobs

MAX_GANG_MS = 1_000
"""Longest time for which the starts of a gang are sent beyond the budget. Its
members wait 3 s for each other, and a pass of a busy owner may take a second.
Leases would end during a longer time without polls."""

Order = _effects.StartTask | _effects.StopTask | _effects.PaceTask


class OrderPriority(enum.IntEnum):
    """What goes first when not all orders can be sent at once.

    ``STOP``: cancelled work must end, and its capacity is needed.
    ``PACE``: a filling task slows a service task down until it is throttled.
    ``SERVICE``: a service task that is not at work is missed at once.
    ``BATCH``: all other starts.
    """

    STOP = 0
    PACE = 1
    SERVICE = 2
    BATCH = 3


class OrderQueue:
    """Hold the orders of one owner until they are sent.

    Orders of one priority keep their order.
    """

    def __init__(self) -> None:
        self._queues: dict[OrderPriority, collections.deque[Order]] = {
            priority: collections.deque() for priority in OrderPriority
        }
        self._starts: dict[
            tuple[str, _jobs.TaskKey, int], _effects.StartTask
        ] = {}

    def __len__(self) -> int:
        """Return the number of orders."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def start_count(self) -> int:
        """Return the number of starts."""
        return len(self._starts)

    def add(self, order: Order) -> None:
        """Add an order."""
        if isinstance(order, _effects.StartTask):
            self._starts[(order.worker, order.key, order.run)] = order
        self._queues[_priority_of(order)].append(order)

    def withdraw(self, worker: str, key: _jobs.TaskKey, run: int) -> bool:
        """Remove the start of a run; return whether it was there."""
        start = self._starts.pop((worker, key, run), None)
        if start is None:
            return False
        self._queues[_priority_of(start)].remove(start)
        return True

    def take(self) -> Order | None:
        """Remove and return the next order, or None if there is none."""
        for queue in self._queues.values():
            if queue:
                order = queue.popleft()
                if isinstance(order, _effects.StartTask):
                    del self._starts[(order.worker, order.key, order.run)]
                return order
        return None

    def send(
        self,
        send_order: Callable[[Order], None],
        now_ms: Callable[[], int],
        budget_ms: int,
    ) -> bool:
        """Send orders for up to ``budget_ms``; return whether some are left.

        At least one order is sent, so that the queue always gets shorter. The
        starts of a gang are sent together for up to ``MAX_GANG_MS``.
        """
        started_ms = now_ms()
        while (order := self.take()) is not None:
            send_order(order)
            limit_ms = budget_ms
            if self._is_next_of_gang(order):
                limit_ms = MAX_GANG_MS
            if now_ms() >= started_ms + limit_ms and len(self):
                return True
        return False

    def _is_next_of_gang(self, order: Order) -> bool:
        """Return whether the next order starts the same gang as this one."""
        if not isinstance(order, _effects.StartTask) or not order.is_gang:
            return False
        following = next((q[0] for q in self._queues.values() if q), None)
        return (
            isinstance(following, _effects.StartTask)
            and following.is_gang
            and _gang_of(following) == _gang_of(order)
        )


def _gang_of(start: _effects.StartTask) -> tuple[object, ...]:
    """Return what the starts of one gang have in common."""
    return (*start.key[:3], start.run)


def _priority_of(order: Order) -> OrderPriority:
    """Return the priority of an order."""
    if isinstance(order, _effects.StopTask):
        return OrderPriority.STOP
    if isinstance(order, _effects.PaceTask):
        return OrderPriority.PACE
    if order.needs_record:
        return OrderPriority.SERVICE
    return OrderPriority.BATCH
