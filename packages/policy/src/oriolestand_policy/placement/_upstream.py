"""Hold the slots of one upstream and an index of upstreams with room."""

import dataclasses
import random
from typing import Generic
from typing import Protocol
from typing import TypeVar

LATENCY_GAIN = 0.1


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class UpstreamState:
    """Count the slots of one upstream that this daemon uses.

    ``limit`` is granted by the table service; ``in_use`` may be above it
    only after the limit was lowered. ``starts`` counts requests and tasks
    without a result yet; health lets at most ``start_limit`` of them be
    open at a time (None: no bound beyond the slots).
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
        """Return the number of slots that may be taken."""
        if self.is_leaving or self.in_use >= self.limit:
            return 0
        free = self.limit - self.in_use
        if self.start_limit is None:
            return free
        return max(0, min(free, self.start_limit - self.starts))

    def observe(self, latency_ms: float) -> None:
        """Fold a latency into the moving average."""
        if not self.latency_ms:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_GAIN * (latency_ms - self.latency_ms)


class Target(Protocol):
    """Describe what has an address and free slots."""

    address: str

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken."""


T = TypeVar('T', bound=Target)


class FreeIndex(Generic[T]):
    """Keep the targets with a free slot, for draws in constant time.

    ``total`` is the sum of their free slots. Call ``update`` after each
    change of a target.
    """

    __slots__ = ('_free', '_items', '_place', 'total')

    def __init__(self) -> None:
        self._items: list[T] = []
        self._place: dict[str, int] = {}
        self._free: dict[str, int] = {}
        self.total = 0

    def __len__(self) -> int:
        """Return the number of targets with a free slot."""
        return len(self._items)

    def __contains__(self, address: str) -> bool:
        """Return whether a target has a free slot."""
        return address in self._place

    def update(self, target: T) -> None:
        """Bring the index up to date with a target."""
        address = target.address
        free = target.free
        before = self._free.get(address, 0)
        if free == before:
            return
        self.total += free - before
        if not free:
            self._drop(address)
            return
        self._free[address] = free
        if not before:
            self._place[address] = len(self._items)
            self._items.append(target)

    def discard(self, address: str) -> None:
        """Remove a target that is gone."""
        if address in self._place:
            self.total -= self._free[address]
            self._drop(address)

    def _drop(self, address: str) -> None:
        """Remove an item by moving the last one to its place."""
        del self._free[address]
        place = self._place.pop(address)
        last = self._items.pop()
        if last.address != address:
            self._items[place] = last
            self._place[last.address] = place

    def draw(self, rng: random.Random, avoid: str = '') -> T | None:
        """Return a random target other than ``avoid``, or None."""
        items = self._items
        size = len(items)
        avoided = self._place.get(avoid) if avoid else None
        if avoided is not None:
            size -= 1
        if size <= 0:
            return None
        place = int(rng.random() * size)
        if place == avoided:
            # The last item stands in for the one that is left out.
            place = size
        return items[place]

    def values(self) -> list[T]:
        """Return all targets with a free slot, for linear baselines."""
        return list(self._items)
