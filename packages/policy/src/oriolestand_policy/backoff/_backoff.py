"""Exponential back-off with jitter."""

import random

MAX_DELAY_MS = 500
"""Readiness needs a successful read within about two seconds after an outage,
and a read without a response takes up to 1,900 ms of that."""


class ExponentialBackoff:
    """Compute the delays before retries in one loop.

    The upper limit of the delay doubles with each failure. A delay is random
    between half of the limit and the limit, so that processes whose requests
    failed at the same time do not retry at the same time.

    :param initial_ms: limit of the first delay.
    :param max_ms: limit of all delays.
    :param rng: source of the jitter; processes need different seeds.

    >>> backoff = ExponentialBackoff(100, rng=random.Random(1))
    >>> [backoff.next_delay_ms() for _ in range(5)]
    [58, 172, 395, 266, 315]
    >>> backoff.reset()
    >>> backoff.next_delay_ms() <= 100
    True
    """

    def __init__(
        self,
        initial_ms: int,
        max_ms: int = MAX_DELAY_MS,
        *,
        rng: random.Random,
    ) -> None:
        self._initial_ms = min(initial_ms, max_ms)
        self._max_ms = max_ms
        self._limit_ms = self._initial_ms
        self._rng = rng

    def next_delay_ms(self) -> int:
        """Return the delay before the next retry, after a failure."""
        limit_ms = self._limit_ms
        self._limit_ms = min(2 * limit_ms, self._max_ms)
        return self._rng.randint(limit_ms - limit_ms // 2, limit_ms)

    def reset(self) -> None:
        """Start again with the first delay, after a success."""
        self._limit_ms = self._initial_ms
