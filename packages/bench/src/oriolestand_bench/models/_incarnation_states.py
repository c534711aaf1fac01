"""States of the model of incarnations, and their invariants.

For the bounds and the units of time see ``_incarnations``.
"""

from collections.abc import Callable
from typing import NamedTuple

LEASE = 1
DELAY = 2
HOLD = DELAY + LEASE
"""Time from an order until a lease that it begins is over."""

QUIET = LEASE + HOLD
"""Time without a report after which the owner may wait for nothing more: one
unit in which it notices, and the longest wait from then on."""

LAST_INCARNATION = 1
TOKENS = 4
"""Tokens of an owner."""


class Owner(NamedTuple):
    """What the present owner assumes of ``w1`` and of the task.

    ``known`` is the incarnation that has reported last, -1 if none has, -2 if
    the worker was removed; ``entry`` that of the last entry read, and
    ``generation`` the number of replaced ones. ``lease``, ``other``,
    ``leased``, ``fence_hold``, ``hold``, ``late`` and ``wait`` are units left:
    of the known lease, of that begun by an answered start, of the bounds for
    the last requested lease, for orders to a former incarnation, for a start
    in doubt, for one whose task was released, and of the wait of a successor.
    ``is_fencing`` is whether no poll with the present token was answered.
    ``run`` is the run that is counted on ``w1``, 0 if there is none, and
    ``was_carried`` whether it was started before a restart was seen. ``stop``
    is 1 if a stop is due and 2 if it was answered. ``cursor`` is the
    incarnation whose ends are read, and the number of the last one. ``row`` is
    the incarnation that the former owner has stored, -1 once one has reported.
    """

    epoch: int = 0
    known: int = 0
    entry: int = 0
    generation: int = 0
    lease: int = 0
    other: int = 0
    leased: int = 0
    is_doubted: bool = False
    is_fencing: bool = False
    fence_hold: int = 0
    is_unreachable: bool = False
    runs: int = 0
    run: int = 0
    is_in_doubt: bool = False
    is_listed: bool = False
    was_carried: bool = False
    stop: int = 0
    missed: int = 0
    hold: int = 0
    late: int = 0
    late_runs: frozenset[int] = frozenset()
    has_end: bool = False
    cursor: tuple[int, int] = (0, 1)
    wait: int = 0
    row: int = -1

    @property
    def token(self) -> int:
        """Return the fencing token of orders."""
        return self.epoch * TOKENS + self.generation

    @property
    def is_announced(self) -> bool:
        """Return whether an entry announces another incarnation."""
        return 0 <= self.known < self.entry

    @property
    def may_have_restarted(self) -> bool:
        """Return whether another incarnation may have the id."""
        return self.is_announced or self.is_doubted

    @property
    def is_unfenced(self) -> bool:
        """Return whether ``w1`` may carry out orders for a former one."""
        return (
            self.known == -1
            or self.may_have_restarted
            or self.is_unreachable
            or self.is_fencing
        )

    def hold_of_unlisted(self) -> int:
        """Return the time left of unlisted runs beyond the known lease."""
        left = max(self.other, self.hold, self.hold_of_listed())
        return max(left, self.leased) if self.is_doubted else left

    def hold_of_listed(self) -> int:
        """Return the time left of listed runs beyond the known lease."""
        return self.fence_hold if self.is_fencing else 0

    def time_left(self) -> int:
        """Return for how long the counted run may go on without reports."""
        held = (
            self.hold_of_listed()
            if self.is_listed
            else self.hold_of_unlisted()
        )
        return max(self.lease, held)


class Worker(NamedTuple):
    """The present incarnation of ``w1``.

    ``fence`` is the highest token that it has seen, -1 if none. ``lease`` are
    the units left of its lease, and ``highest`` the highest run that has
    ended or was stopped. ``has_end`` is whether it lists an end as done, and
    ``has_lapsed`` whether its lease has lapsed since; the task may run again
    then, so that its start after the acknowledgement is no violation.
    """

    incarnation: int = 0
    fence: int = -1
    lease: int = 0
    run: int = 0
    highest: int = 0
    has_end: bool = False
    has_lapsed: bool = False

    @property
    def end_number(self) -> int:
        """Return the number of the end of the task's run.

        The first incarnation has ended another task before.
        """
        return 2 if self.incarnation == 0 else 1


class Order(NamedTuple):
    """A start (``run`` is not 0) or poll in transit.

    ``left`` is the end of the lease that it names, in units from now on the
    clock of ``incarnation``, for which it was sent; -1 for no lease.
    """

    run: int
    token: int
    incarnation: int
    acknowledged: int = 0
    left: int = -1
    age: int = 0


class Report(NamedTuple):
    """A report in transit, and what was known when its poll was sent.

    ``counted`` is the run that the report may show to be missing, 0 if there
    is none or if its phase has changed since. ``is_aware`` is whether the
    owner was in doubt of the incarnation.
    """

    incarnation: int
    token: int
    run: int
    has_end: bool
    counted: int
    is_aware: bool


class State(NamedTuple):
    """State of the system; the last three fields record violations.

    ``quiet`` is the time since the last report.
    """

    owner: Owner = Owner()
    w1: Worker = Worker()
    net: frozenset[Order] = frozenset()
    report: Report | None = None
    is_elsewhere: bool = False
    quiet: int = 0
    is_acknowledged: bool = False
    lost_end: bool = False
    ran_again: bool = False
    was_misplaced: bool = False


def is_lease_recent(o: Owner) -> bool:
    """Return whether a lease was requested at most a unit ago."""
    return o.leased >= HOLD - 1


def less(left: int) -> int:
    """Return the time left after one unit."""
    return left - 1 if left else 0


def settled(o: Owner, run: int) -> Owner:
    """Return the owner once the start of a run cannot be late any more."""
    late_runs = o.late_runs - {run}
    return o._replace(late=o.late if late_runs else 0, late_runs=late_runs)


def released(o: Owner) -> Owner:
    """Return the owner without a run on ``w1``."""
    return o._replace(
        run=0,
        is_in_doubt=False,
        is_listed=False,
        was_carried=False,
        stop=0,
        missed=0,
        hold=0,
    )


def without_irrelevant(s: State) -> State:
    """Return the state without what no later transition depends on."""
    w1 = s.w1
    if w1.incarnation == LAST_INCARNATION:
        # It refuses them.
        net = frozenset(x for x in s.net if x.token >= w1.fence)
        if len(net) < len(s.net):
            s = s._replace(net=net)
    if w1.highest and not any(0 < x.run <= w1.highest for x in s.net):
        w1 = w1._replace(highest=0)
    if w1.fence >= 0 and not any(x.token < w1.fence for x in s.net):
        w1 = w1._replace(fence=-1)
    if w1.lease and not (w1.run or w1.has_end):
        # A run begins with a lease of its own.
        w1 = w1._replace(lease=0)
    return s if w1 is s.w1 else s._replace(w1=w1)


def is_lease_counted(s: State) -> bool:
    """Return whether the owner assumes no end before that of the lease."""
    o = s.owner
    if not s.w1.run:
        return True
    if o.known == -1:
        # Nothing waits for a run of a task that is done.
        return o.has_end or max(o.wait, o.late) >= s.w1.lease
    return s.w1.run != o.run or o.time_left() >= s.w1.lease


def is_wait_over(s: State) -> bool:
    """Return whether the owner waits no longer for a silent worker.

    The library checks safety only. So this says that no state can be reached
    in which the lease and the delay bound are over, counted from the last
    report, and the owner may not release the task.
    """
    o = s.owner
    if s.quiet < QUIET:
        return True
    return not ((o.run and o.time_left()) or o.late or o.wait)


INVARIANTS: dict[str, Callable[[State], bool]] = {
    'one_run': lambda s: not (s.is_elsewhere and s.w1.run),
    'done_stays_done': lambda s: not s.ran_again,
    'lease_counted': is_lease_counted,
    'acknowledged_if_read': lambda s: not s.lost_end,
    'placed_by_own_description': lambda s: not s.was_misplaced,
    'wait_ends': is_wait_over,
}
"""The invariants of the model.

``one_run``: no two runs of a task on workers that are up. ``done_stays_done``:
no start after an end as done that was acknowledged. ``lease_counted``: the end
of the lease that the owner assumes is never before the real one.
``acknowledged_if_read``: an end is acknowledged only if an owner has read it.
``placed_by_own_description``: no start by the description of a former
incarnation. ``wait_ends``: the wait for a lease that is over ends.
"""


def violates_invariant(s: State) -> bool:
    """Return whether a state violates an invariant."""
    return not all(holds(s) for holds in INVARIANTS.values())
