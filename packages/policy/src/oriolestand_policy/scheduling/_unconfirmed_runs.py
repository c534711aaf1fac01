"""Tell which runs another incarnation of a worker may have, and until when.

A worker that has restarted under its id carries out starts that were meant
for its former incarnation. The end of the lease that a start names means
something else on its clock, so it may hold the longest lease from then on.
Until a report shows the restart, only the clock in the answer to a start
tells the incarnations apart, and an order without an answer may still be
carried out.
"""

import dataclasses

from oriolestand_policy.scheduling import _fleet

MAX_ORDER_DELAY_MS = 12_000
"""Longest time after which a worker still carries out an order that it has
left unanswered, as the users' platform describes it."""

CLOCK_TOLERANCE_MS = 2
"""Clocks show whole milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An answer to a start order.

    ``clock_ms`` is what the clock of the worker showed then, None if it has
    not told, and ``lease_end_ms`` the end of the lease that the order named,
    on the same clock. The order was sent at ``sent_ms`` or later and the
    answer received at ``received_ms``, on the clock of the owner.
    ``are_leases_limited`` is whether the owner might not request the longest
    lease then, so that a successor does not wait for it.
    """

    clock_ms: int | None
    lease_end_ms: int | None
    sent_ms: int
    received_ms: int
    are_leases_limited: bool = False


def is_from_other(worker: _fleet.Worker, answer: Answer) -> bool:
    """Return whether the clock in an answer is that of another incarnation."""
    return answer.clock_ms is not None and is_clock_of_other(
        worker, answer.clock_ms, answer.sent_ms, answer.received_ms
    )


def is_clock_of_other(
    worker: _fleet.Worker, clock_ms: int, sent_ms: int, received_ms: int
) -> bool:
    """Return whether a clock cannot be that of the known incarnation.

    It was read between ``sent_ms`` and ``received_ms``.
    """
    earliest_ms = worker.min_clock_ms(sent_ms) - CLOCK_TOLERANCE_MS
    latest_ms = worker.max_clock_ms(received_ms) + CLOCK_TOLERANCE_MS
    return not earliest_ms <= clock_ms <= latest_ms


def lease_over_ms(answer: Answer, lease_max_ms: int) -> int:
    """Return when the lease is over that an answered order has begun.

    That is a time of the owner's clock, whichever incarnation has answered.

    >>> answer = Answer(
    ...     clock_ms=10_000, lease_end_ms=13_000, sent_ms=95, received_ms=100
    ... )
    >>> lease_over_ms(answer, 6_000)
    3662
    >>> lease_over_ms(dataclasses.replace(answer, clock_ms=20), 6_000)
    6723
    >>> lease_over_ms(dataclasses.replace(answer, clock_ms=None), 6_000)
    6723
    """
    remaining_ms = lease_max_ms
    if answer.clock_ms is not None and answer.lease_end_ms is not None:
        remaining_ms = min(
            lease_max_ms, max(0, answer.lease_end_ms - answer.clock_ms)
        )
    return answer.received_ms + with_margin_ms(remaining_ms)


def with_margin_ms(lease_ms: int) -> int:
    """Return how long a lease may last, with the time to end its runs."""
    rate_num, rate_den = _fleet.CLOCK_RATE_NUM, _fleet.CLOCK_RATE_DEN
    return _fleet.LEASE_MARGIN_MS - (-lease_ms * rate_den // rate_num)


def late_ms(lease_max_ms: int) -> int:
    """Return for how long a run may last whose start has been given up."""
    return MAX_ORDER_DELAY_MS + with_margin_ms(lease_max_ms)


def unlisted_over_ms(worker: _fleet.Worker, lease_max_ms: int) -> int:
    """Return when the runs that a worker has not listed are certainly over.

    That is a time of the owner's clock, -1 if there are no such runs. An
    order that is carried out also extends the lease of all others there.
    """
    unlisted = [x for x in worker.runs.values() if not x.is_reported]
    if not unlisted:
        return -1
    delay_ms = late_ms(lease_max_ms)
    over_ms = max(worker.other_lease_over_ms, -1)
    for run in unlisted:
        if run.phase is _fleet.RunPhase.STARTING:
            over_ms = max(over_ms, run.since_ms + delay_ms)
        elif run.phase is _fleet.RunPhase.IN_DOUBT and run.doubt_ms >= 0:
            over_ms = max(over_ms, run.doubt_ms + delay_ms)
    # Orders for a former incarnation extend the lease of these as well.
    over_ms = max(over_ms, listed_over_ms(worker, lease_max_ms))
    has_doubt = any(x.phase is _fleet.RunPhase.IN_DOUBT for x in unlisted)
    if (worker.doubted_ms >= 0 or has_doubt) and worker.leased_ms >= 0:
        # So may a poll that was sent after the start was given up.
        over_ms = max(over_ms, worker.leased_ms + delay_ms)
    return over_ms


def listed_over_ms(worker: _fleet.Worker, lease_max_ms: int) -> int:
    """Return when orders for a former incarnation extend no lease any more.

    That is a time of the owner's clock, -1 if the worker refuses them.
    """
    if worker.fenced_after_ms < 0:
        return -1
    return max(worker.fenced_after_ms, worker.last_report_ms) + late_ms(
        lease_max_ms
    )
