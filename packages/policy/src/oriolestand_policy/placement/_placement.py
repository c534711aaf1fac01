"""Choose among the upstreams that have free slots."""

import abc
from collections.abc import Callable
import random

from oriolestand_policy.placement import _upstream

TASK_DRAWS = 6
"""Random draws for a batch task. With four draws, free slots in small pools
were not found."""

Upstreams = _upstream.FreeSlotIndex[_upstream.UpstreamState]
TaskCost = Callable[[_upstream.UpstreamState], float]


class Placement(abc.ABC):
    """Policy that chooses an upstream for a request or a batch task."""

    @abc.abstractmethod
    def choose(
        self, free: Upstreams, avoid: str = ''
    ) -> _upstream.UpstreamState | None:
        """Return an upstream with a free slot, or None.

        :param avoid: address of an upstream to exclude.
        """

    @abc.abstractmethod
    def choose_for_task(
        self,
        free: Upstreams,
        slots: int,
        cost: TaskCost,
        avoid: str = '',
    ) -> _upstream.UpstreamState | None:
        """Return an upstream with at least ``slots`` free slots, or None.

        :param cost: returns the cost of placing the task on an upstream;
            lower is better.
        :param avoid: address of an upstream to exclude.
        """


class TwoChoicesPlacement(Placement):
    """Policy that takes the better of two upstreams drawn at random.

    As load data is delayed, always taking the best upstream would send all
    requests to the same one until the next update.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, free: Upstreams, avoid: str = ''
    ) -> _upstream.UpstreamState | None:
        """Return the better of two random upstreams."""
        first = free.draw(self._rng, avoid)
        if first is None:
            return None
        second = free.draw(self._rng, avoid)
        assert second is not None
        return first if _cost(first) <= _cost(second) else second

    def choose_for_task(
        self,
        free: Upstreams,
        slots: int,
        cost: TaskCost,
        avoid: str = '',
    ) -> _upstream.UpstreamState | None:
        """Return the cheapest of a few random upstreams."""
        best = None
        best_key = (0.0, 0)
        for _ in range(min(TASK_DRAWS, 2 * len(free))):
            upstream = free.draw(self._rng, avoid)
            if upstream is None or upstream.free < slots:
                continue
            key = (cost(upstream), upstream.in_use)
            if best is None or key < best_key:
                best, best_key = upstream, key
        return best


def _cost(upstream: _upstream.UpstreamState) -> float:
    """Return a relative estimate of the latency of a request."""
    load = upstream.in_use / upstream.limit
    return (upstream.latency_ms + 1.0) * (1.0 + load)
