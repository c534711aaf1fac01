"""Tell which runs another incarnation of a worker may have, and until when.

A worker that has restarted under its id carries out starts that were meant
for its former incarnation. The end of the lease that a start names means
nothing on its clock, so it holds the longest lease from then on. Until a
report shows the restart, only the clock in the answer to a start tells the
incarnations apart, and a start without an answer may still be carried out.
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
    not told. The order was sent at ``sent_ms`` or later and the answer
    received at ``received_ms``, on the clock of the owner.
    """

    clock_ms: int | None
    sent_ms: int
    received_ms: int


def is_from_other(worker: _fleet.Worker, answer: Answer) -> bool:
    """Return whether the clock in an answer is that of another incarnation."""
    if answer.clock_ms is None:
        return False
    earliest_ms = worker.min_clock_ms(answer.sent_ms) - CLOCK_TOLERANCE_MS
    latest_ms = worker.max_clock_ms(answer.received_ms) + CLOCK_TOLERANCE_MS
    return not earliest_ms <= answer.clock_ms <= latest_ms


def longest_lease_ms(lease_max_ms: int) -> int:
    """Return how long a lease may last, with the time to end its runs."""
    rate_num, rate_den = _fleet.CLOCK_RATE_NUM, _fleet.CLOCK_RATE_DEN
    return _fleet.LEASE_MARGIN_MS - (-lease_max_ms * rate_den // rate_num)


def over_ms(worker: _fleet.Worker, lease_max_ms: int) -> int:
    """Return when the unconfirmed runs of a worker are certainly over.

    That is a time of the owner's clock, -1 if there are no such runs. A start
    that is carried out also extends the lease of all others there.
    """
    unconfirmed = [x for x in worker.runs.values() if not x.is_confirmed]
    if not unconfirmed:
        return -1
    late_ms = MAX_ORDER_DELAY_MS + longest_lease_ms(lease_max_ms)
    return max(
        worker.other_lease_over_ms,
        *(x.since_ms + late_ms for x in unconfirmed if _is_open(x)),
        -1,
    )


def _is_open(run: _fleet.Run) -> bool:
    """Return whether the start of a run may still be carried out."""
    if run.phase is _fleet.RunPhase.STARTING:
        return run.is_sent
    return run.phase is _fleet.RunPhase.IN_DOUBT
