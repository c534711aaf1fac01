"""Choose one of the upstreams that have a free slot."""

import abc
from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Describe an upstream with a free slot.

    ``latency_ms`` is estimated from outcomes; ``load`` is the part of this
    daemon's slots in use, 0 to 1.
    """

    address: str
    latency_ms: float
    load: float


class Placement(abc.ABC):
    """Choose an upstream for a request."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return one candidate, or None when there is none."""


class TwoChoicesPlacement(Placement):
    """Take the better of two candidates drawn at random.

    With lagging data, always taking the best one sends all requests of an
    interval to the same upstream.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the better of two random candidates."""
        if not candidates:
            return None
        first = self._rng.choice(candidates)
        second = self._rng.choice(candidates)
        return min(first, second, key=_cost)


def _cost(candidate: Candidate) -> float:
    """Return an estimate of the time that a request will take."""
    return (candidate.latency_ms + 1.0) * (1.0 + candidate.load)
