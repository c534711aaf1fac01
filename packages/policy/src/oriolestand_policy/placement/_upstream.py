"""Slot counts of an upstream, and an index of upstreams with free slots."""

import dataclasses
import random
from typing import Generic
from typing import Protocol
from typing import TypeVar

LATENCY_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of the latency."""


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class UpstreamState:
    """Slots granted to this daemon on one upstream, and those in use.

    ``limit`` is granted by the table service; ``in_use`` exceeds it only
    after the limit was lowered. ``starts`` counts the requests
    without a result and the tasks in their start phase; the health policy
    allows at most ``start_limit`` of them at a time (None: no limit beyond
    the slots).
    """

    address: str
    pool: str
    limit: int = 0
    in_use: int = 0
    starts: int = 0
    start_limit: int | None = None
    is_leaving: bool = False
    latency_ms: float = 0.0

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken now."""
        if self.is_leaving or self.in_use >= self.limit:
            return 0
        free = self.limit - self.in_use
        if self.start_limit is None:
            return free
        return max(0, min(free, self.start_limit - self.starts))

    def record_latency(self, latency_ms: float) -> None:
        """Update the moving average of the latency, in ms."""
        if not self.latency_ms:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_SMOOTHING * (latency_ms - self.latency_ms)


class SlotSource(Protocol):
    """An upstream or peer that a ``FreeSlotIndex`` can hold."""

    address: str

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken now."""


T = TypeVar('T', bound=SlotSource)


class FreeSlotIndex(Generic[T]):
    """Index of the sources with free slots, with random draws in O(1).

    ``total_free`` is the sum of their free slots. ``update`` must be called
    after each change of a source.
    """

    __slots__ = ('_free', '_items', '_positions', 'total_free')

    def __init__(self) -> None:
        self._items: list[T] = []
        self._positions: dict[str, int] = {}
        self._free: dict[str, int] = {}
        self.total_free = 0

    def __len__(self) -> int:
        """Return the number of sources with a free slot."""
        return len(self._items)

    def __contains__(self, address: str) -> bool:
        """Return whether a source has a free slot."""
        return address in self._positions

    def update(self, source: T) -> None:
        """Update the index after a change of a source."""
        address = source.address
        free = source.free
        free_before = self._free.get(address, 0)
        if free == free_before:
            return
        self.total_free += free - free_before
        if not free:
            self._remove_source(address)
            return
        self._free[address] = free
        if not free_before:
            self._positions[address] = len(self._items)
            self._items.append(source)

    def discard(self, address: str) -> None:
        """Remove a source, if it is in the index."""
        if address in self._positions:
            self.total_free -= self._free[address]
            self._remove_source(address)

    def _remove_source(self, address: str) -> None:
        """Remove a source by moving the last one to its position."""
        del self._free[address]
        position = self._positions.pop(address)
        last = self._items.pop()
        if last.address != address:
            self._items[position] = last
            self._positions[last.address] = position

    def draw(self, rng: random.Random, exclude: str = '') -> T | None:
        """Return a random source other than ``exclude``, or None."""
        items = self._items
        size = len(items)
        excluded = self._positions.get(exclude) if exclude else None
        if excluded is not None:
            size -= 1
        if size <= 0:
            return None
        position = int(rng.random() * size)
        if position == excluded:
            # The last source takes the place of the excluded one, which keeps
            # the draw uniform.
            position = size
        return items[position]

    def values(self) -> list[T]:
        """Return all sources with a free slot, in O(n).

        Meant for benchmark policies and tests only.
        """
        return list(self._items)
