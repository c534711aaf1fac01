"""Bound the leases that an owner requests without a renewal.

Workers reject the orders of a former owner once they have answered its
successor. So an owner that has not renewed its ownership for some time
extends leases only while most workers have just answered it. As soon as most
workers have answered a successor, it knows by when all leases of the former
owner are over, also at workers that it cannot reach.
"""

from collections.abc import Set
import dataclasses

from oriolestand_policy.ownership import _election

UNVOTED_MS = 1_500
"""Age of the last renewal up to which an owner needs no answers of workers.
It covers a renewal interval and a slow store; no other daemon claims the cell
for silence before."""

VOTE_AGE_MS = 2_000
"""How long an answer counts, from when its poll was sent. At the poll interval
of ``VOTE_POLL_WAIT_MS`` answers are up to 1 s old, and more on slow links."""

VOTE_POLL_WAIT_MS = 500
"""Longest wait of a worker before it answers a poll while answers count."""

VOTED_LEASE_MS = 3_000
"""Longest lease without a recent renewal. It is short, as the successor waits
for it after the answers of the workers, but longer than several polls."""

MAX_LIMITED_DELAY_MS = 200
"""Delay of the event loop from which on an owner does not limit its leases, as
it reads renewals and answers too late."""

RECHECK_MS = 100
"""Shortest time between counts of the answers, which takes some milliseconds
for the largest fleets."""


class LeaseVotes:
    """Count the workers that have answered the polls of an owner.

    An answer counts only if the worker has run since before a renewal: one
    that has restarted since does not know which owners its former process
    had answered.

    >>> votes = LeaseVotes()
    >>> votes.set_voters({'w1', 'w2'}, 3)
    >>> votes.on_answer('w1', 7, sent_ms=100, received_ms=150)
    >>> votes.on_answer('w2', 7, sent_ms=200, received_ms=250)
    >>> votes.hold(now_ms=300)
    False
    >>> votes.on_renewed(sent_ms=400)
    >>> votes.hold(now_ms=2_099), votes.hold(now_ms=2_100)
    (True, False)
    >>> votes.on_answer('w1', 8, sent_ms=2_100, received_ms=2_150)
    >>> votes.hold(now_ms=2_200)
    False
    """

    def __init__(self) -> None:
        self._voter_ids: frozenset[str] = frozenset()
        self._voter_count = 0
        self._answers: dict[str, tuple[int, int]] = {}
        """Start time of the process and when its last poll was sent."""
        self._unconfirmed: dict[str, tuple[int, int]] = {}
        """Start time of a process and when its first answer was received."""
        self._process_starts: dict[str, int] = {}
        self._held_until_ms: int | None = None
        self._next_check_ms: int | None = None

    def set_voters(self, voter_ids: Set[str], max_count: int) -> None:
        """Set the workers with a row, which a successor reads.

        ``voter_ids`` certainly have one, and ``max_count`` workers may.
        """
        self._voter_ids = frozenset(voter_ids)
        self._voter_count = max_count
        self._held_until_ms = None
        self._next_check_ms = None

    def on_answer(
        self,
        worker_id: str,
        process_start_ms: int,
        *,
        sent_ms: int,
        received_ms: int,
    ) -> None:
        """Note that a worker has answered a poll."""
        self._answers[worker_id] = (process_start_ms, sent_ms)
        if self._process_starts.get(worker_id) == process_start_ms:
            return
        known_start_ms, _ = self._unconfirmed.get(worker_id, (None, 0))
        if known_start_ms != process_start_ms:
            self._unconfirmed[worker_id] = (process_start_ms, received_ms)

    def on_renewed(self, sent_ms: int) -> None:
        """Note that a renewal was accepted that was sent at a time.

        Until then there was no other owner that workers had answered.
        """
        for worker_id, (start_ms, received_ms) in list(
            self._unconfirmed.items()
        ):
            if received_ms <= sent_ms:
                self._process_starts[worker_id] = start_ms
                del self._unconfirmed[worker_id]
                self._next_check_ms = None

    def hold(self, now_ms: int) -> bool:
        """Return whether most workers have answered recently."""
        if self._held_until_ms is not None and now_ms < self._held_until_ms:
            return True
        if self._next_check_ms is not None and now_ms < self._next_check_ms:
            return False
        self._next_check_ms = now_ms + RECHECK_MS
        self._held_until_ms = self._until_ms()
        return self._held_until_ms is not None and now_ms < self._held_until_ms

    def _until_ms(self) -> int | None:
        """Return until when the known answers are enough, if they are."""
        sent_ms = sorted(
            (
                sent_ms
                for worker_id, (start_ms, sent_ms) in self._answers.items()
                if worker_id in self._voter_ids
                and self._process_starts.get(worker_id) == start_ms
            ),
            reverse=True,
        )
        needed = majority(self._voter_count)
        if len(sent_ms) < needed:
            return None
        return sent_ms[needed - 1] + VOTE_AGE_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FormerLeases:
    """What is known of the leases that a silent former owner may request.

    ``renewed_ms`` is when its last renewal was received. ``unsettled_ms`` is
    for how long after it owners before it may request leases.
    """

    renewed_ms: int
    unsettled_ms: int

    def end_ms(self, answered_ms: int, lease_max_ms: int) -> int:
        """Return when all leases of former owners are over.

        :param answered_ms: when most workers have answered the successor.

        >>> former = FormerLeases(renewed_ms=1_000, unsettled_ms=0)
        >>> former.end_ms(answered_ms=3_700, lease_max_ms=6_000)
        9500
        >>> former.end_ms(answered_ms=9_000, lease_max_ms=6_000)
        14800
        """
        without_votes_ms = max(UNVOTED_MS, self.unsettled_ms) + lease_max_ms
        return _election.SETTLE_MARGIN_MS + max(
            self.renewed_ms + _on_slow_clock(without_votes_ms),
            answered_ms + _on_slow_clock(VOTE_AGE_MS + VOTED_LEASE_MS),
        )


def majority(count: int) -> int:
    """Return how many of the voters are more than half of them."""
    return count // 2 + 1


def _on_slow_clock(duration_ms: int) -> int:
    """Return how long a duration takes at most on another clock."""
    return -(-duration_ms * _election.CLOCK_SLACK_PERCENT // 100)
