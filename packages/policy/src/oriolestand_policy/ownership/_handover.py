"""Decide when an owner gives its term up to a faster daemon."""

import dataclasses

GIVE_UP_DELAY_MS = 1_000
"""Delay of the event loop from which on an owner is too slow. A renewal takes
up to three passes, and for want of one other daemons take the cell, which
makes its tasks wait longer than a release does."""

GIVE_UP_AFTER_MS = 3_000
"""How long the delay must last; a load of the cell takes less."""

MIN_TERM_MS = 15_000
"""Shortest time from a claim to a release for this reason. A takeover polls
all workers, and so slows a daemon down by itself."""

MIN_PASSED_TERM_MS = 60_000
"""The same for a term that was passed on for this reason: if its owner is too
slow as well, a third daemon will hardly be faster."""

MAX_CANDIDATE_DELAY_MS = 250
"""Delay of the event loop up to which a daemon offers to take the cell. The
work of the owner comes on top of it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Content of the candidate row: who could take over from an epoch."""

    epoch: int
    instance: str


class Candidacy:
    """Decide whether a daemon offers to take the cell of a slow owner.

    All times are milliseconds. Each epoch gets one offer, by the daemon that
    makes it first.

    >>> candidacy = Candidacy()
    >>> candidacy.is_due(epoch=3, owner_delay_ms=1_500, own_delay_ms=20,
    ...                  wait_ms=100, now_ms=7_000)
    False
    >>> candidacy.is_due(epoch=3, owner_delay_ms=1_500, own_delay_ms=20,
    ...                  wait_ms=100, now_ms=10_100)
    True
    """

    def __init__(self) -> None:
        self._offered_epoch = 0
        self._slow_since_ms: int | None = None

    def on_offer(self, candidate: Candidate) -> None:
        """Note that a daemon has offered to take the cell."""
        self._offered_epoch = max(self._offered_epoch, candidate.epoch)

    def is_due(
        self,
        *,
        epoch: int,
        owner_delay_ms: int,
        own_delay_ms: int,
        wait_ms: int,
        now_ms: int,
    ) -> bool:
        """Return whether to make an offer now.

        ``wait_ms`` delays it in favour of daemons with more processors.
        """
        is_wanted = (
            owner_delay_ms >= GIVE_UP_DELAY_MS
            and own_delay_ms <= MAX_CANDIDATE_DELAY_MS
            and epoch > self._offered_epoch
        )
        if not is_wanted:
            self._slow_since_ms = None
            return False
        if self._slow_since_ms is None:
            self._slow_since_ms = now_ms
        return now_ms - self._slow_since_ms >= GIVE_UP_AFTER_MS + wait_ms


class HandOver:
    """Decide whether a term is given up, as its daemon is too slow.

    All times are milliseconds.

    :param epoch: the epoch of the term.
    :param began_ms: when the cell was claimed.
    :param was_passed_on: whether the former owner was too slow as well.

    >>> hand_over = HandOver(epoch=3, began_ms=0, was_passed_on=False)
    >>> hand_over.on_offer(Candidate(epoch=3, instance='front-2'))
    >>> hand_over.is_due(delay_ms=1_400, now_ms=20_000)
    False
    >>> hand_over.is_due(delay_ms=1_200, now_ms=23_000)
    True
    """

    def __init__(
        self, *, epoch: int, began_ms: int, was_passed_on: bool
    ) -> None:
        shortest_ms = MIN_PASSED_TERM_MS if was_passed_on else MIN_TERM_MS
        self._epoch = epoch
        self._earliest_ms = began_ms + shortest_ms
        self._slow_since_ms: int | None = None
        self._has_candidate = False

    def on_offer(self, candidate: Candidate) -> None:
        """Note that a daemon could take the cell."""
        if candidate.epoch == self._epoch:
            self._has_candidate = True

    def is_due(self, delay_ms: int, now_ms: int) -> bool:
        """Apply the present delay of the event loop; return the decision."""
        if delay_ms < GIVE_UP_DELAY_MS:
            self._slow_since_ms = None
            return False
        if self._slow_since_ms is None:
            self._slow_since_ms = now_ms
        if not self._has_candidate or now_ms < self._earliest_ms:
            return False
        return now_ms - self._slow_since_ms >= GIVE_UP_AFTER_MS
