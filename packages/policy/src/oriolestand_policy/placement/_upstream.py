"""Slot counts of an upstream, and an index of upstreams with free slots."""

import dataclasses
import random
from typing import Generic
from typing import Protocol
from typing import TypeVar

LATENCY_GAIN = 0.1


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class UpstreamState:
    """Slots of one upstream that this daemon may use and uses.

    ``limit`` is granted by the table service; ``in_use`` exceeds it only
    after the limit was lowered. ``starts`` counts requests and tasks
    without a result yet; the health policy allows at most ``start_limit``
    of them at a time (None: no limit beyond the slots).
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

    def observe(self, latency_ms: float) -> None:
        """Update the moving average of the latency, in ms."""
        if not self.latency_ms:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_GAIN * (latency_ms - self.latency_ms)


class Target(Protocol):
    """An object with an address and a number of free slots."""

    address: str

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken now."""


T = TypeVar('T', bound=Target)


class FreeIndex(Generic[T]):
    """Index of the targets with free slots, with random draws in O(1).

    ``total`` is the sum of their free slots. ``update`` must be called
    after each change of a target.
    """

    __slots__ = ('_free', '_items', '_positions', 'total')

    def __init__(self) -> None:
        self._items: list[T] = []
        self._positions: dict[str, int] = {}
        self._free: dict[str, int] = {}
        self.total = 0

    def __len__(self) -> int:
        """Return the number of targets with a free slot."""
        return len(self._items)

    def __contains__(self, address: str) -> bool:
        """Return whether a target has a free slot."""
        return address in self._positions

    def update(self, target: T) -> None:
        """Update the index after a change of a target."""
        address = target.address
        free = target.free
        before = self._free.get(address, 0)
        if free == before:
            return
        self.total += free - before
        if not free:
            self._remove_item(address)
            return
        self._free[address] = free
        if not before:
            self._positions[address] = len(self._items)
            self._items.append(target)

    def discard(self, address: str) -> None:
        """Remove a target, if it is in the index."""
        if address in self._positions:
            self.total -= self._free[address]
            self._remove_item(address)

    def _remove_item(self, address: str) -> None:
        """Remove an item by moving the last one to its position."""
        del self._free[address]
        position = self._positions.pop(address)
        last = self._items.pop()
        if last.address != address:
            self._items[position] = last
            self._positions[last.address] = position

    def draw(self, rng: random.Random, avoid: str = '') -> T | None:
        """Return a random target other than ``avoid``, or None."""
        items = self._items
        size = len(items)
        avoided = self._positions.get(avoid) if avoid else None
        if avoided is not None:
            size -= 1
        if size <= 0:
            return None
        position = int(rng.random() * size)
        if position == avoided:
            # The last item replaces the avoided one, which keeps the draw
            # uniform.
            position = size
        return items[position]

    def values(self) -> list[T]:
        """Return all targets with a free slot; meant for linear baselines."""
        return list(self._items)
