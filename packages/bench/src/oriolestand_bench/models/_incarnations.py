"""Model of a worker that restarts under its id, and of what its owners assume.

Bounds: one task, one owner and its successor, one worker ``w1`` that restarts
once, three starts there (two by the first owner) and one start elsewhere,
orders in transit as ``MAX_ORDERS`` says, one report in transit. All other
workers count as one that never fails: a run there goes on, so that a run on
``w1`` beside it is a violation from then on.

Time passes in units of the longest lease (6 s). An order may be lost, and may
be carried out by whichever incarnation has the id, up to ``DELAY`` units
(12 s) after it was sent. That is the bound of the users' platform for orders
that a worker leaves unanswered (0036). Beyond it ``one_run`` and
``lease_counted`` are lost: a late start can run beside another run of its
task. Answers come in the unit of their order or never; margins and clock rates
count as zero. Bounds on time are inclusive, and the owner acts on one after
the worker has; so whole units suffice for each order of events that the same
bounds allow.

Clocks start anew with an incarnation, and lower than the one before: the end
of a lease that an order for the former incarnation names is so far ahead that
the next one holds the longest lease.

A late stop only ends runs and refuses starts, so it counts as lost. Leases of
a former owner that goes on are the subject of the model ``leases``.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

LEASE = 1
DELAY = 2
HOLD = DELAY + LEASE
"""Time from an order until a lease that it begins is over."""

QUIET = LEASE + HOLD
"""Time without a report after which the owner may wait for nothing more: one
unit in which it notices, and the longest wait from then on."""

MAX_ORDERS = 2
MAX_RUNS = (2, 2)
"""Highest number of a run that each owner starts on ``w1``."""

LAST_INCARNATION = 1
TOKENS = 4
"""Tokens of an owner."""

MAX_STATES_WITHOUT = 400_000

ASSUMPTIONS = {
    'delay_bound': 'one_run',
    'entry_stays': 'one_run',
    'successor_orders': 'one_run',
    'room': 'one_run',
    'early_acknowledgement': 'acknowledged_if_read',
    'late_after_done': 'done_stays_done',
    'late_poll_after_start': 'lease_counted',
    'late_order_on_carried_run': 'lease_counted',
}
"""Maps each assumption to the invariant that fails without it.

Each excludes steps that the rules as built do not cover (0035).
``delay_bound``: no order is carried out after ``DELAY``. ``entry_stays``: the
entry of a worker does not lapse while runs are held there.
``successor_orders``: no order of the former owner is carried out by another
incarnation after the claim. ``room``: a worker on which a start may be late
has room for the task. ``early_acknowledgement``: no poll with a number of the
former incarnation arrives before the first one with the higher token while the
next one lists an end. ``late_after_done``: no start for the former incarnation
is carried out once the end of its task is acknowledged.
``late_poll_after_start``: no poll for the former incarnation that was sent
after a start in doubt was given up extends the lease of the run that this
start has begun. ``late_order_on_carried_run``: none extends the lease of a run
that was carried over a restart, before it is listed or missed.
"""

GROUPS = {
    'answer_lease': frozenset({'answer_lease', 'doubt_hold'}),
    'rules_of_0036': frozenset(
        {
            'answer_lease',
            'doubt',
            'doubt_hold',
            'hold',
            'fence_hold',
            'same_worker',
            'late_wait',
        }
    ),
}
"""Mechanisms that are removed together.

The bound for a worker in doubt is later than that by the answer, so that the
latter is shown without the former, and without orders in transit.
"""

MECHANISMS = {
    'token': 'acknowledged_if_read',
    'acknowledgement': 'acknowledged_if_read',
    'answer_lease': 'lease_counted',
    'doubt': 'lease_counted',
    'doubt_hold': 'lease_counted',
    'hold': 'lease_counted',
    'hold_once': 'wait_ends',
    'fence_hold': 'lease_counted',
    'same_worker': 'one_run',
    'late_wait': 'one_run',
    'silent_lease': 'wait_ends',
    'described': 'placed_by_own_description',
    'successor_wait': 'one_run',
    'rules_of_0036': 'one_run',
    **ASSUMPTIONS,
}
"""Maps each mechanism to the invariant that fails without it, and each
assumption likewise."""


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
    incarnation whose ends are read, and the number of the last one.
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
    has_end: bool = False
    cursor: tuple[int, int] = (0, 1)
    wait: int = 0

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
        left = max(self.other, self.hold)
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

    ``counted`` is the run that the poll may show to be missing, 0 if there is
    none, and ``is_stopped`` whether the worker had answered its stop.
    ``is_aware`` is whether the owner was in doubt of the incarnation.
    """

    incarnation: int
    token: int
    run: int
    has_end: bool
    counted: int
    is_stopped: bool
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


Step = tuple[str, State]


class Transitions:
    """Transitions of the model, without some mechanisms or assumptions."""

    def __init__(self, without: str = '') -> None:
        self._without = GROUPS.get(without, frozenset({without}))
        self._invariant = INVARIANTS.get(MECHANISMS.get(without, ''))
        self._is_shown = False
        self._delay = DELAY + (without == 'delay_bound')
        self._max_orders = 0 if without == 'answer_lease' else MAX_ORDERS

    def has(self, mechanism: str) -> bool:
        """Return whether the model includes a mechanism."""
        return mechanism not in self._without

    def steps(self, state: tuple) -> list[Step]:
        """Return all successor states with the labels of the transitions."""
        s = State(*state)
        if violates_invariant(s):
            # Don't search beyond a violation: its successors add nothing.
            if self._invariant is not None:
                self._is_shown |= not self._invariant(s)
            return []
        if self._is_shown:
            # The counterexample of a model without a mechanism is found.
            return []
        if (s.owner.has_end or s.is_elsewhere) and not (
            s.w1.run or s.w1.has_end or any(order.run for order in s.net)
        ):
            # Nothing runs on ``w1`` any more.
            return []
        found = [
            *self._owner_steps(s),
            *self._worker_steps(s),
            *self._network_steps(s),
        ]
        if s.report is None:
            found += self._time_steps(s)
            if s.owner.epoch == 0:
                found.append(('b claims', self.claim(s)))
        return [(label, without_irrelevant(after)) for label, after in found]

    # The owner.

    def _owner_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions of the owner."""
        o = s.owner
        name = 'ab'[o.epoch]
        if self.may_start(o) and not s.is_elsewhere:
            yield f'{name} starts at w1, answered', self.start(s)
            yield from sent(
                f'{name} starts at w1',
                self.start_unanswered(s),
                self._next_start(o),
                self._max_orders,
            )
        if self.may_start_elsewhere(o) and not s.is_elsewhere:
            yield f'{name} starts elsewhere', self.start_elsewhere(s)
        if o.known == -2:
            return
        if s.report is None:
            poll = self.poll(o)
            if poll.token >= s.w1.fence and not self._is_excluded(s, poll):
                yield f'{name} polls w1, answered', self.poll_answered(s)
            unanswered = self.poll_unanswered(s)
            if poll.left < 0:
                yield f'{name} polls w1, lost', unanswered
            else:
                yield from sent(
                    f'{name} polls w1', unanswered, poll, self._max_orders
                )
                # Starts may be sent before the poll has failed.
                still_open = unanswered._replace(
                    owner=unanswered.owner._replace(
                        is_unreachable=o.is_unreachable
                    )
                )
                _, *in_transit = sent(
                    f'{name} polls w1, open',
                    still_open,
                    poll,
                    self._max_orders,
                )
                yield from in_transit
        if o.stop == 1:
            yield f'{name} stops, answered', self.stop_answered(s)
        # The entry that is read may be that of a former incarnation.
        for entry in range(o.entry + 1, s.w1.incarnation + 1):
            yield f'{name} reads entry {entry}', self.read_entry(s, entry)
        if self.may_release(o) and s.report is None:
            yield f'{name} releases the run', s._replace(owner=released(o))
        if not self.has('entry_stays') and self._may_remove(o):
            gone = released(o)._replace(known=-2, late=0)
            yield f'{name} removes w1', s._replace(owner=gone)

    def may_start(self, o: Owner) -> bool:
        """Return whether the owner may start the task on ``w1``."""
        return (
            not o.run
            and not o.has_end
            and o.runs < MAX_RUNS[o.epoch]
            and o.known >= 0
            and not o.may_have_restarted
            and not o.is_unreachable
            and (o.entry == o.known or not self.has('described'))
            and (not o.late or not o.is_unfenced)
        )

    def may_start_elsewhere(self, o: Owner) -> bool:
        """Return whether the owner may start the task on another worker."""
        if o.run or o.has_end:
            return False
        if o.known == -1 and o.wait and self.has('successor_wait'):
            return False
        if not o.late:
            return True
        if o.is_unfenced:
            return not self.has('late_wait')
        return not self.has('room')

    def may_release(self, o: Owner) -> bool:
        """Return whether the counted run is over by the time."""
        return bool(o.run) and not o.time_left()

    def _may_remove(self, o: Owner) -> bool:
        """Return whether a worker whose entry has lapsed may be removed."""
        return o.known >= 0 and not o.lease and not o.other

    def start(self, s: State) -> State:
        """Start the task on ``w1``, which answers."""
        order = self._next_start(s.owner)
        s = self._begin(s)
        before = s.w1
        s = self.deliver(s, order)
        o = s.owner
        # A refusal tells the clock as well.
        if self.has('answer_lease'):
            o = o._replace(other=LEASE)
        if o.known != s.w1.incarnation and self.has('doubt'):
            leased = o.leased if self.has('doubt_hold') else 0
            o = o._replace(is_doubted=True, leased=leased)
        if s.w1.run != order.run or before.run:
            o = released(o)
        return s._replace(owner=o)

    def start_unanswered(self, s: State) -> State:
        """Start the task on ``w1``, which does not answer."""
        s = self._begin(s)
        hold = HOLD if self.has('hold') else 0
        return s._replace(
            owner=s.owner._replace(is_in_doubt=True, stop=1, hold=hold)
        )

    def _next_start(self, o: Owner) -> Order:
        """Return the next start order.

        It names the end that was requested last if that is recent, which is
        up to a unit here and 2.5 s in the code.
        """
        return Order(
            run=max(o.runs, o.epoch * MAX_RUNS[0]) + 1,
            token=o.token,
            incarnation=o.known,
            left=o.lease if _is_lease_recent(o) else LEASE,
        )

    def _begin(self, s: State) -> State:
        """Count the next run on ``w1``."""
        o = s.owner
        number = self._next_start(o).run
        misplaced = s.was_misplaced or o.entry != o.known
        if not _is_lease_recent(o):
            o = o._replace(lease=LEASE, leased=HOLD)
        o = released(o)._replace(runs=number, run=number)
        return s._replace(owner=o, was_misplaced=misplaced)

    def start_elsewhere(self, s: State) -> State:
        """Start the task on another worker."""
        return s._replace(
            is_elsewhere=True, ran_again=s.ran_again or s.is_acknowledged
        )

    def poll(self, o: Owner) -> Order:
        """Return the next poll."""
        left = LEASE
        is_silent = o.is_unreachable and self.has('silent_lease')
        if o.known < 0 or o.may_have_restarted or is_silent:
            left = -1
        acknowledged = o.cursor[1]
        if self.has('acknowledgement') and (
            o.cursor[0] != o.known or o.may_have_restarted
        ):
            acknowledged = 0
        return Order(
            run=0,
            token=o.token,
            incarnation=o.known,
            acknowledged=acknowledged,
            left=left,
        )

    def _after_poll(self, o: Owner, poll: Order) -> Owner:
        """Return the owner after it has sent a poll."""
        if poll.left < 0:
            return o
        return o._replace(lease=LEASE, leased=HOLD)

    def poll_answered(self, s: State) -> State:
        """Poll ``w1``, which reports; the report is in transit."""
        poll = self.poll(s.owner)
        o = self._after_poll(s.owner, poll)
        s = self.deliver(s._replace(owner=o), poll)
        report = Report(
            incarnation=s.w1.incarnation,
            token=poll.token,
            run=s.w1.run,
            has_end=s.w1.has_end,
            counted=o.run,
            is_stopped=o.stop == 2,
            is_aware=o.may_have_restarted,
        )
        return s._replace(report=report)

    def poll_unanswered(self, s: State) -> State:
        """Poll ``w1``, which does not answer."""
        o = self._after_poll(s.owner, self.poll(s.owner))
        return s._replace(owner=o._replace(is_unreachable=True))

    def stop_answered(self, s: State) -> State:
        """Stop the run on ``w1``, which answers."""
        o = s.owner
        w1 = s.w1
        if w1.fence <= o.token:
            run = 0 if w1.run <= o.run else w1.run
            w1 = w1._replace(
                fence=o.token, run=run, highest=max(w1.highest, o.run)
            )
            o = o._replace(stop=2, was_carried=False)
            if o.is_in_doubt and not self.has('hold_once'):
                o = o._replace(hold=HOLD)
        return s._replace(owner=o, w1=w1)

    def read_entry(self, s: State, entry: int) -> State:
        """Read the entry of an incarnation of ``w1``."""
        o = s.owner._replace(entry=entry)
        if o.is_announced and not o.is_listed and o.stop:
            # Its former incarnation may have answered the stop.
            o = o._replace(stop=1)
        return s._replace(owner=o)

    def claim(self, s: State) -> State:
        """Let the successor claim the cell; the former owner sends no more."""
        o = Owner(
            epoch=1,
            known=-1,
            entry=-1,
            cursor=(-1, 0),
            has_end=s.owner.has_end,
            wait=LEASE,
        )
        return s._replace(owner=o, report=None, quiet=0)

    def read_report(self, s: State) -> State:
        """Apply the report that is in transit."""
        report = s.report
        assert report is not None
        s = s._replace(report=None)
        o = s.owner
        if report.incarnation < o.known:
            return s
        o = self._apply_incarnation(o, report)
        fenced = o.is_fencing and report.token == o.token
        if fenced:
            o = o._replace(is_fencing=False, fence_hold=0, lease=LEASE)
        if o.is_fencing and self.has('fence_hold'):
            o = o._replace(fence_hold=HOLD)
        o = o._replace(is_unreachable=False, wait=0)
        s = s._replace(quiet=0)
        if report.has_end:
            number = 2 if report.incarnation == 0 else 1
            o = released(o)._replace(
                has_end=True, cursor=(report.incarnation, number)
            )
            return s._replace(owner=o)
        if report.run:
            return self._apply_run(s._replace(owner=o), report)
        if o.run and report.counted == o.run:
            o = self._miss_run(o, report, fenced)
        return s._replace(owner=o)

    def _apply_incarnation(self, o: Owner, report: Report) -> Owner:
        """Return the owner once it knows which incarnation has reported."""
        if o.known < 0:
            return o._replace(known=report.incarnation, lease=LEASE)
        if report.incarnation == o.known:
            return o._replace(is_doubted=o.is_doubted and not report.is_aware)
        if o.is_listed:
            o = released(o)
        generation = o.generation + 1 if self.has('token') else o.generation
        cursor = (report.incarnation, 0)
        if not self.has('acknowledgement'):
            cursor = (report.incarnation, o.cursor[1])
        return o._replace(
            known=report.incarnation,
            generation=generation,
            lease=LEASE,
            other=0,
            leased=0,
            is_doubted=False,
            is_fencing=True,
            was_carried=bool(o.run),
            stop=min(o.stop, 1),
            missed=0,
            cursor=cursor,
        )

    def _apply_run(self, s: State, report: Report) -> State:
        """Apply a run that a report lists."""
        o = s.owner
        if o.run == report.run:
            o = o._replace(
                is_in_doubt=False,
                is_listed=True,
                was_carried=False,
                missed=0,
                hold=0,
            )
        elif not (o.run or o.has_end or s.is_elsewhere):
            o = o._replace(run=report.run, is_listed=True)
        elif s.w1.incarnation == report.incarnation:
            # Not wanted: it is stopped.
            w1 = s.w1
            if w1.run == report.run:
                w1 = w1._replace(run=0, highest=max(w1.highest, report.run))
            s = s._replace(w1=w1)
        return s._replace(owner=o)

    def _miss_run(self, o: Owner, report: Report, fenced: bool) -> Owner:
        """Return the owner after a report that omits the counted run."""
        is_outdated = fenced and o.was_carried
        if not is_outdated:
            if o.stop == 2 and not report.is_stopped:
                return o
            if o.is_in_doubt and o.stop != 2:
                return o
            if not o.missed:
                return o._replace(missed=1)
        late = o.late
        if o.is_in_doubt and not is_outdated and self.has('same_worker'):
            late = max(late, o.hold)
        return released(o)._replace(late=late)

    # The worker, the network and time.

    def _worker_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions of ``w1``."""
        w1 = s.w1
        if w1.run:
            ended = w1._replace(run=0, highest=w1.run, has_end=True)
            yield 'w1 ends', s._replace(w1=ended)
        if w1.incarnation < LAST_INCARNATION:
            restarted = Worker(incarnation=w1.incarnation + 1)
            yield 'w1 restarts', s._replace(w1=restarted)

    def _network_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions of what is in transit."""
        if s.report is not None:
            name = 'ab'[s.owner.epoch]
            yield f'{name} gets the report', self.read_report(s)
        yield from self._delivery_steps(s)

    def _delivery_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions in which ``w1`` carries out an order."""
        for order in s.net:
            rest = s._replace(net=s.net - {order})
            kind = f'start {order.run}' if order.run else 'a poll'
            if not self._is_excluded(s, order):
                yield f'w1 carries out {kind}', self.deliver(rest, order)

    def _is_excluded(self, s: State, order: Order) -> bool:
        """Return whether an assumption excludes that an order is carried out.

        Only orders for a former incarnation are excluded.
        """
        if order.incarnation == s.w1.incarnation:
            return False
        if (
            self.has('successor_orders')
            and order.token < TOKENS * s.owner.epoch
        ):
            return True
        if order.run and s.is_acknowledged and self.has('late_after_done'):
            return True
        if order.acknowledged and s.w1.has_end:
            is_early = s.owner.known != s.w1.incarnation or s.owner.is_fencing
            if is_early and self.has('early_acknowledgement'):
                return True
        if order.left < 0 or not s.w1.run:
            return False
        if is_on_carried_run(s) and self.has('late_order_on_carried_run'):
            return True
        if order.run:
            return False
        return is_after_start(s, order) and self.has('late_poll_after_start')

    def deliver(self, s: State, order: Order) -> State:
        """Return the state after ``w1`` has carried out an order."""
        w1 = s.w1
        if order.token < w1.fence:
            return s
        w1 = w1._replace(fence=order.token)
        left = order.left
        if left >= 0 and order.incarnation != w1.incarnation:
            left = LEASE
        if order.run:
            return self._deliver_start(s, w1, order, left)
        w1 = w1._replace(lease=max(w1.lease, left))
        if w1.has_end and order.acknowledged >= w1.end_number:
            return s._replace(
                w1=w1._replace(has_end=False, has_lapsed=False),
                is_acknowledged=s.is_acknowledged or not w1.has_lapsed,
                lost_end=s.lost_end or not s.owner.has_end,
            )
        return s._replace(w1=w1)

    def _deliver_start(
        self, s: State, w1: Worker, order: Order, left: int
    ) -> State:
        """Return the state after ``w1`` has carried out a start."""
        w1 = w1._replace(lease=max(w1.lease, left))
        if order.run <= w1.highest or w1.run or not left:
            return s._replace(w1=w1)
        return s._replace(
            w1=w1._replace(run=order.run),
            ran_again=s.ran_again or s.is_acknowledged,
        )

    def _time_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions in which one unit passes.

        An order may arrive at the moment at which the lease is over.
        """
        after = self.pass_time(s)
        w1 = after.w1
        if w1.lease or not (w1.run or w1.has_end):
            yield 'time passes', after
            return
        if w1.run:
            lapsed = w1._replace(run=0, highest=w1.run)
        else:
            lapsed = w1._replace(has_lapsed=True)
        yield 'time passes', after._replace(w1=lapsed)
        for label, extended in self._delivery_steps(after):
            if extended.w1.lease:
                yield f'time passes, {label}', extended

    def pass_time(self, s: State) -> State:
        """Return the state after one unit, before a lease lapses."""
        o = s.owner
        o = o._replace(
            lease=less(o.lease),
            other=less(o.other),
            leased=less(o.leased),
            fence_hold=less(o.fence_hold),
            hold=less(o.hold),
            late=less(o.late),
            wait=less(o.wait),
            # A worker without a report for 2.5 s gets no starts.
            is_unreachable=o.is_unreachable or s.quiet > 0,
        )
        w1 = s.w1._replace(lease=less(s.w1.lease))
        net = frozenset(
            x._replace(age=x.age + 1, left=max(x.left - 1, min(x.left, 0)))
            for x in s.net
            if x.age < self._delay
        )
        return s._replace(
            owner=o, w1=w1, net=net, quiet=min(QUIET, s.quiet + 1)
        )


def _is_lease_recent(o: Owner) -> bool:
    """Return whether a lease was requested at most a unit ago."""
    return o.leased >= HOLD - 1


def less(left: int) -> int:
    """Return the time left after one unit."""
    return left - 1 if left else 0


def sent(
    label: str, s: State, order: Order, max_orders: int
) -> Iterator[Step]:
    """Yield the transitions in which an order is not answered."""
    yield f'{label}, lost', s
    net = s.net | {order}
    if len(net) <= max_orders:
        yield f'{label}, no answer', s._replace(net=net)


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


def is_after_start(s: State, poll: Order) -> bool:
    """Return whether a poll was sent after the start in doubt that runs.

    The start was given up in an earlier unit.
    """
    o = s.owner
    if s.w1.run != o.run:
        return o.late < HOLD - poll.age
    return o.is_in_doubt and not o.is_doubted and o.hold < HOLD - poll.age


def is_on_carried_run(s: State) -> bool:
    """Return whether a run from before a restart goes on unlisted."""
    o = s.owner
    return (
        s.w1.run == o.run
        and s.w1.incarnation == o.known
        and o.is_fencing
        and o.was_carried
    )


def without_irrelevant(s: State) -> State:
    """Return the state without what no later transition depends on."""
    w1 = s.w1
    if w1.incarnation == LAST_INCARNATION:
        # It refuses them.
        net = frozenset(x for x in s.net if x.token >= w1.fence)
        s = s._replace(net=net)
    if w1.highest and not any(0 < x.run <= w1.highest for x in s.net):
        w1 = w1._replace(highest=0)
    if w1.fence >= 0 and not any(x.token < w1.fence for x in s.net):
        w1 = w1._replace(fence=-1)
    if w1.lease and not (w1.run or w1.has_end):
        # A run begins with a lease of its own.
        w1 = w1._replace(lease=0)
    return s._replace(w1=w1)


def is_lease_counted(s: State) -> bool:
    """Return whether the owner assumes no end before that of the lease."""
    o = s.owner
    if not s.w1.run:
        return True
    if o.known == -1:
        return o.wait >= s.w1.lease
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


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism or assumption if any.

    :raises ValueError: if there is no such mechanism.
    """
    if without and without not in MECHANISMS:
        raise ValueError(f'unknown mechanism: {without}')

    def on_fields(holds: Callable[[State], bool]) -> Callable[[dict], bool]:
        return lambda d: holds(State(**d))

    return minicheck.Protocol(
        name='incarnations',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=Transitions(without).steps,
        invariants={
            name: on_fields(holds) for name, holds in INVARIANTS.items()
        },
    )
