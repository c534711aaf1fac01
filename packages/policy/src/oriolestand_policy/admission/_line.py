"""Order the waiting requests of one team and kind."""

import collections

from oriolestand_policy.admission import _queue

TIME_GAIN = 0.05


class Line:
    """Serve by priority, then in order of arrival.

    ``in_use`` counts the slots that the team holds, ``mean_ms`` follows
    how long it holds one.
    """

    __slots__ = ('_size', '_steps', 'in_use', 'mean_ms', 'weight')

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.in_use = 0
        self.mean_ms = 0.0
        self._size = 0
        self._steps: dict[
            int, collections.OrderedDict[str, _queue.Ticket]
        ] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._size

    @property
    def load(self) -> float:
        """Return the slots in use for each unit of weight."""
        return self.in_use / self.weight

    @property
    def is_active(self) -> bool:
        """Return whether the team uses or waits for slots."""
        return self.in_use > 0 or self._size > 0

    def observe(self, took_ms: float) -> None:
        """Fold the time that a slot was held into the mean."""
        if not self.mean_ms:
            self.mean_ms = took_ms
        self.mean_ms += TIME_GAIN * (took_ms - self.mean_ms)

    def add(self, ticket: _queue.Ticket, at_head: bool = False) -> None:
        """Add a request behind, or before, those of its priority."""
        step = self._steps.get(ticket.priority)
        if step is None:
            step = self._steps[ticket.priority] = collections.OrderedDict()
        step[ticket.id] = ticket
        if at_head:
            step.move_to_end(ticket.id, last=False)
        self._size += 1

    def ahead_of(self, priority: int) -> int:
        """Return how many are served before a new request."""
        return sum(
            len(step) for p, step in self._steps.items() if p >= priority
        )

    def head(self) -> _queue.Ticket:
        """Return the request to serve next."""
        step = self._steps[max(self._steps)]
        return next(iter(step.values()))

    def worst(self) -> _queue.Ticket:
        """Return the request to shed first: least urgent, newest."""
        step = self._steps[min(self._steps)]
        return next(reversed(step.values()))

    def remove(self, ticket: _queue.Ticket) -> None:
        """Remove a waiting request."""
        step = self._steps[ticket.priority]
        del step[ticket.id]
        if not step:
            del self._steps[ticket.priority]
        self._size -= 1
