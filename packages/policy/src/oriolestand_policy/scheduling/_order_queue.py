"""Order the orders that an owner has not sent yet by what they promise."""

import collections
from collections.abc import Callable
import enum

from oriolestand_policy.scheduling import _effects
from oriolestand_policy.scheduling import _jobs

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

        At least one order is sent, so that the queue always gets shorter.
        """
        end_ms = now_ms() + budget_ms
        while (order := self.take()) is not None:
            send_order(order)
            if now_ms() >= end_ms and len(self):
                return True
        return False


def _priority_of(order: Order) -> OrderPriority:
    """Return the priority of an order."""
    if isinstance(order, _effects.StopTask):
        return OrderPriority.STOP
    if isinstance(order, _effects.PaceTask):
        return OrderPriority.PACE
    if order.needs_record:
        return OrderPriority.SERVICE
    return OrderPriority.BATCH
