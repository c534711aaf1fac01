"""Generate the ids of daemon incarnations and requests."""

import random
from typing import NewType

Incarnation = NewType('Incarnation', str)

INCARNATION_BITS = 64
REQUEST_ID_BITS = 128


class IdSource:
    """Generate random ids, from a secure source or, in tests, from a seed.

    >>> IdSource(seed=1).incarnation() == IdSource(seed=1).incarnation()
    True
    """

    def __init__(self, seed: int | None = None) -> None:
        self._rng: random.Random = (
            random.SystemRandom() if seed is None else random.Random(seed)
        )

    def incarnation(self) -> Incarnation:
        """Return the id of a new daemon incarnation, 16 hex digits."""
        return Incarnation(f'{self._rng.getrandbits(INCARNATION_BITS):016x}')

    def request_id(self) -> str:
        """Return a new request id, 32 hex digits."""
        return f'{self._rng.getrandbits(REQUEST_ID_BITS):032x}'
