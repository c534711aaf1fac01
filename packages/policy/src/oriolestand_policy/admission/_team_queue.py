"""Order the queued requests of one team and kind."""

import collections

from oriolestand_policy.admission import _queue

SLOT_TIME_SMOOTHING = 0.05
"""Weight of a new sample in the moving average of the slot time."""


class TeamQueue:
    """Queue of one team and kind, by priority and then order of arrival.

    ``in_use`` counts the slots that the team holds; ``mean_slot_ms`` is the
    moving average of the time for which it holds a slot.
    """

    __slots__ = ('_levels', '_size', 'in_use', 'mean_slot_ms', 'weight')

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.in_use = 0
        self.mean_slot_ms = 0.0
        self._size = 0
        self._levels: dict[
            int, collections.OrderedDict[str, _queue.Ticket]
        ] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._size

    @property
    def load(self) -> float:
        """Return the slots in use per unit of weight."""
        return self.in_use / self.weight

    @property
    def is_active(self) -> bool:
        """Return whether the team holds slots or has queued requests."""
        return self.in_use > 0 or self._size > 0

    def record_slot_time(self, held_ms: float) -> None:
        """Update the mean slot time with a slot held for ``held_ms``."""
        if not self.mean_slot_ms:
            self.mean_slot_ms = held_ms
        self.mean_slot_ms += SLOT_TIME_SMOOTHING * (
            held_ms - self.mean_slot_ms
        )

    def add(self, ticket: _queue.Ticket, at_head: bool = False) -> None:
        """Queue a request behind, or ahead of, those of its priority."""
        level = self._levels.get(ticket.priority)
        if level is None:
            level = self._levels[ticket.priority] = collections.OrderedDict()
        level[ticket.id] = ticket
        if at_head:
            level.move_to_end(ticket.id, last=False)
        self._size += 1

    def count_ahead_of(self, priority: int) -> int:
        """Return how many requests precede a new one of this priority."""
        return sum(
            len(level) for p, level in self._levels.items() if p >= priority
        )

    def head(self) -> _queue.Ticket:
        """Return the next request to serve without removing it."""
        level = self._levels[max(self._levels)]
        return next(iter(level.values()))

    def shed_candidate(self) -> _queue.Ticket:
        """Return the newest request of the lowest priority."""
        level = self._levels[min(self._levels)]
        return next(reversed(level.values()))

    def remove(self, ticket: _queue.Ticket) -> None:
        """Remove a queued request."""
        level = self._levels[ticket.priority]
        del level[ticket.id]
        if not level:
            del self._levels[ticket.priority]
        self._size -= 1
