"""Generate seeded arrivals, identical for all policies."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
import random

from oriolestand_policy import tables

SIGMA = 0.5
"""Shape parameter of the log-normal run times."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """The requests of one team.

    ``load`` maps a time in milliseconds to the fraction of the pool's slots
    that the requests need. ``slow_fraction`` of the requests run ten times as
    long.
    """

    team: str
    kind: tables.Kind
    mean_ms: float
    timeout_ms: int
    load: Callable[[int], float]
    pool: str = 'main'
    priority: int = 0
    slow_fraction: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """Arrival of a request.

    ``work_ms`` is its run time on an otherwise idle worker.
    """

    at: int
    number: int
    stream: Stream
    work_ms: float
    is_slow: bool


def arrivals(
    stream: Stream, slots: int, until: int, seed: str
) -> Iterator[Arrival]:
    """Yield the arrivals of a stream in order of time."""
    rng = random.Random(f'{seed}/{stream.team}/{stream.pool}')
    now = 0.0
    number = 0
    while True:
        load = stream.load(int(now))
        if load <= 0:
            now += 50.0
        else:
            now += rng.expovariate(load * slots / stream.mean_ms)
        if now >= until:
            return
        if load <= 0:
            continue
        number += 1
        is_slow = rng.random() < stream.slow_fraction
        work = draw_work(rng, stream.mean_ms) * (10 if is_slow else 1)
        yield Arrival(
            at=int(now),
            number=number,
            stream=stream,
            work_ms=work,
            is_slow=is_slow,
        )


def draw_work(rng: random.Random, mean: float) -> float:
    """Return a log-normal run time in milliseconds, at least 1."""
    mu = math.log(mean) - SIGMA * SIGMA / 2
    return max(1.0, rng.lognormvariate(mu, SIGMA))
