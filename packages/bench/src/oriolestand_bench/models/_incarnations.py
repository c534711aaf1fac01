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

import minicheck

from oriolestand_bench.models import _incarnation_states as states

MAX_ORDERS = 2
MAX_RUNS = (2, 2)
"""Highest number of a run that each owner starts on ``w1``."""

ORDERS_WITHOUT = {'answer_lease': 0}
"""Orders in transit without a mechanism, if fewer show the counterexample."""

MAX_STATES_WITHOUT = 400_000

ASSUMPTIONS = {
    'delay_bound': 'one_run',
    'entry_stays': 'one_run',
    'room': 'one_run',
    'early_acknowledgement': 'acknowledged_if_read',
    'late_after_done': 'done_stays_done',
    'late_poll_on_uncounted_run': 'lease_counted',
}
"""Maps each assumption to the invariant that fails without it.

Each excludes steps that the rules as built do not cover (0035).
``delay_bound``: no order is carried out after ``DELAY``.
``entry_stays``: the entry of a worker does not lapse while it holds runs.
``room``: a worker on which a start may be late has room for the task and is
described, and the task is no suspect of a crash.
``early_acknowledgement``: no poll with a number of the former incarnation
arrives before the first one with the higher token while the next one lists an
end.
``late_after_done``: no start for the former incarnation is carried out once
the end of its task is acknowledged.
``late_poll_on_uncounted_run``: no poll for the former incarnation extends the
lease of a run that the present owner does not count.
"""

GROUPS = {
    'answer_lease': frozenset({'answer_lease', 'doubt_hold'}),
    'rules_of_0036': frozenset(
        {
            'answer_lease',
            'doubt',
            'doubt_hold',
            'hold',
            'poll_hold',
            'fence_hold',
            'same_worker',
            'late_wait',
            'late_record',
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
    'poll_hold': 'lease_counted',
    'fence_hold': 'lease_counted',
    'same_worker': 'one_run',
    'late_wait': 'one_run',
    'late_record': 'one_run',
    'silent_lease': 'wait_ends',
    'described': 'placed_by_own_description',
    'successor_wait': 'one_run',
    'rules_of_0036': 'one_run',
    **ASSUMPTIONS,
}
"""Maps each mechanism to the invariant that fails without it, and each
assumption likewise."""


Step = tuple[str, states.State]


class Transitions:
    """Transitions of the model, without some mechanisms or assumptions."""

    def __init__(
        self, without: str = '', max_orders: int = MAX_ORDERS
    ) -> None:
        self._without = GROUPS.get(without, frozenset({without}))
        self._invariant = states.INVARIANTS.get(MECHANISMS.get(without, ''))
        self._is_shown = False
        self._delay = states.DELAY + (without == 'delay_bound')
        self._max_orders = ORDERS_WITHOUT.get(without, max_orders)

    def has(self, mechanism: str) -> bool:
        """Return whether the model includes a mechanism."""
        return mechanism not in self._without

    def steps(self, state: tuple) -> list[Step]:
        """Return all successor states with the labels of the transitions."""
        s = states.State(*state)
        if states.violates_invariant(s):
            # Don't search beyond a violation: its successors add nothing.
            if self._invariant is not None:
                self._is_shown |= not self._invariant(s)
            return []
        if self._is_shown:
            # The counterexample without the mechanism is found, so that the
            # search may end; the other invariants are not decided then.
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
        return [
            (label, states.without_irrelevant(after)) for label, after in found
        ]

    # The owner.

    def _owner_steps(self, s: states.State) -> Iterator[Step]:
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
            yield (
                f'{name} releases the run',
                s._replace(owner=states.released(o)),
            )
        if not self.has('entry_stays') and self._may_remove(o):
            gone = states.released(o)._replace(
                known=-2, late=0, late_runs=frozenset()
            )
            yield f'{name} removes w1', s._replace(owner=gone)

    def may_start(self, o: states.Owner) -> bool:
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

    def may_start_elsewhere(self, o: states.Owner) -> bool:
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

    def may_release(self, o: states.Owner) -> bool:
        """Return whether the counted run is over by the time."""
        return bool(o.run) and not o.time_left()

    def _may_remove(self, o: states.Owner) -> bool:
        """Return whether a worker whose entry has lapsed may be removed."""
        return o.known >= 0 and not o.lease and not o.other

    def start(self, s: states.State) -> states.State:
        """Start the task on ``w1``, which answers."""
        order = self._next_start(s.owner)
        s = self._begin(s)
        before = s.w1
        s = self.deliver(s, order)
        o = s.owner
        # A refusal tells the clock as well.
        if self.has('answer_lease'):
            o = o._replace(other=states.LEASE)
        if o.known != s.w1.incarnation and self.has('doubt'):
            leased = o.leased if self.has('doubt_hold') else 0
            o = o._replace(is_doubted=True, leased=leased)
        if s.w1.run != order.run or before.run:
            o = states.released(o)
        return s._replace(owner=o)

    def start_unanswered(self, s: states.State) -> states.State:
        """Start the task on ``w1``, which does not answer."""
        s = self._begin(s)
        hold = states.HOLD if self.has('hold') else 0
        o = s.owner._replace(is_in_doubt=True, stop=1, hold=hold)
        if self.has('same_worker'):
            o = o._replace(late=states.HOLD, late_runs=o.late_runs | {o.run})
        return s._replace(owner=o)

    def _next_start(self, o: states.Owner) -> states.Order:
        """Return the next start order.

        It names the end that was requested last if that is recent, which is
        up to a unit here and 2.5 s in the code.
        """
        return states.Order(
            run=max(o.runs, o.epoch * MAX_RUNS[0]) + 1,
            token=o.token,
            incarnation=o.known,
            left=o.lease if states.is_lease_recent(o) else states.LEASE,
        )

    def _begin(self, s: states.State) -> states.State:
        """Count the next run on ``w1``."""
        o = s.owner
        number = self._next_start(o).run
        misplaced = s.was_misplaced or o.entry != o.known
        if not states.is_lease_recent(o):
            o = o._replace(lease=states.LEASE, leased=states.HOLD)
        o = states.released(o)._replace(runs=number, run=number)
        return s._replace(owner=o, was_misplaced=misplaced)

    def start_elsewhere(self, s: states.State) -> states.State:
        """Start the task on another worker."""
        return s._replace(
            is_elsewhere=True, ran_again=s.ran_again or s.is_acknowledged
        )

    def poll(self, o: states.Owner) -> states.Order:
        """Return the next poll."""
        left = states.LEASE
        is_silent = o.is_unreachable and self.has('silent_lease')
        if o.known < 0 or o.may_have_restarted or is_silent:
            left = -1
        acknowledged = o.cursor[1]
        if self.has('acknowledgement') and (
            o.cursor[0] != o.known or o.may_have_restarted or o.is_unreachable
        ):
            acknowledged = 0
        return states.Order(
            run=0,
            token=o.token,
            incarnation=o.known,
            acknowledged=acknowledged,
            left=left,
        )

    def _after_poll(self, o: states.Owner, poll: states.Order) -> states.Owner:
        """Return the owner after it has sent a poll."""
        if poll.left < 0:
            return o
        hold = o.hold
        if o.is_in_doubt and self.has('poll_hold'):
            hold = states.HOLD
        return o._replace(lease=states.LEASE, leased=states.HOLD, hold=hold)

    def poll_answered(self, s: states.State) -> states.State:
        """Poll ``w1``, which reports; the report is in transit."""
        poll = self.poll(s.owner)
        o = self._after_poll(s.owner, poll)
        s = self.deliver(s._replace(owner=o), poll)
        report = states.Report(
            incarnation=s.w1.incarnation,
            token=poll.token,
            run=s.w1.run,
            has_end=s.w1.has_end,
            counted=o.run,
            is_aware=o.may_have_restarted,
        )
        return s._replace(report=report)

    def poll_unanswered(self, s: states.State) -> states.State:
        """Poll ``w1``, which does not answer."""
        o = self._after_poll(s.owner, self.poll(s.owner))
        return s._replace(owner=o._replace(is_unreachable=True))

    def stop_answered(self, s: states.State) -> states.State:
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
                o = o._replace(hold=states.HOLD)
            if s.report is not None:
                s = s._replace(report=s.report._replace(counted=0))
        return s._replace(owner=o, w1=w1)

    def read_entry(self, s: states.State, entry: int) -> states.State:
        """Read the entry of an incarnation of ``w1``."""
        o = s.owner._replace(entry=entry)
        if o.is_announced and not o.is_listed and o.stop:
            # Its former incarnation may have answered the stop.
            o = o._replace(stop=1)
        if o.known == -1:
            # Without a report, the entry counts as that of ``w1``.
            o = o._replace(row=min(o.row, entry))
        return s._replace(owner=o)

    def claim(self, s: states.State) -> states.State:
        """Let the successor claim; the former owner sends no more."""
        o = states.Owner(
            epoch=1,
            known=-1,
            entry=-1,
            cursor=(-1, 0),
            has_end=s.owner.has_end,
            wait=states.LEASE,
            row=max(s.owner.known, -1),
        )
        if self.has('late_record'):
            o = o._replace(late=s.owner.late, late_runs=s.owner.late_runs)
        return s._replace(owner=o, report=None, quiet=0)

    def read_report(self, s: states.State) -> states.State:
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
            o = o._replace(is_fencing=False, fence_hold=0, lease=states.LEASE)
        if o.is_fencing and self.has('fence_hold'):
            o = o._replace(fence_hold=states.HOLD)
        o = o._replace(is_unreachable=False, wait=0)
        s = s._replace(quiet=0)
        if report.has_end:
            number = 2 if report.incarnation == 0 else 1
            o = states.released(o)._replace(
                late=0,
                late_runs=frozenset(),
                has_end=True,
                cursor=(report.incarnation, number),
            )
            return s._replace(owner=o)
        if report.run:
            return self._apply_run(s._replace(owner=o), report)
        if o.run and report.counted == o.run:
            o = self._miss_run(o, report, fenced)
        return s._replace(owner=o)

    def _apply_incarnation(
        self, o: states.Owner, report: states.Report
    ) -> states.Owner:
        """Return the owner once it knows which incarnation has reported."""
        if o.known < 0:
            is_other = 0 <= o.row < report.incarnation
            o = o._replace(
                known=report.incarnation, lease=states.LEASE, row=-1
            )
            if not is_other or not self.has('token'):
                return o
            # The code raises the token although that of the successor is
            # higher than all former ones.
            return o._replace(generation=1, is_fencing=True)
        if report.incarnation == o.known:
            return o._replace(is_doubted=o.is_doubted and not report.is_aware)
        if o.is_listed:
            o = states.released(o)
        generation = o.generation + 1 if self.has('token') else o.generation
        cursor = (report.incarnation, 0)
        if not self.has('acknowledgement'):
            cursor = (report.incarnation, o.cursor[1])
        return o._replace(
            known=report.incarnation,
            generation=generation,
            lease=states.LEASE,
            other=0,
            leased=0,
            is_doubted=False,
            is_fencing=True,
            was_carried=bool(o.run) and report.counted == o.run,
            stop=min(o.stop, 1),
            missed=0,
            cursor=cursor,
        )

    def _apply_run(
        self, s: states.State, report: states.Report
    ) -> states.State:
        """Apply a run that a report lists."""
        o = states.settled(s.owner, report.run)
        if o.run == report.run:
            o = o._replace(
                is_in_doubt=False,
                is_listed=True,
                was_carried=o.was_carried and not o.is_in_doubt,
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

    def _miss_run(
        self, o: states.Owner, report: states.Report, fenced: bool
    ) -> states.Owner:
        """Return the owner after a report that omits the counted run."""
        is_outdated = fenced and o.was_carried
        if not is_outdated:
            if o.is_in_doubt and o.stop != 2:
                return o
            if not o.missed:
                return o._replace(missed=1)
        if is_outdated:
            o = states.settled(o, o.run)
        return states.released(o)

    # The worker, the network and time.

    def _worker_steps(self, s: states.State) -> Iterator[Step]:
        """Yield the transitions of ``w1``."""
        w1 = s.w1
        if w1.run:
            ended = w1._replace(run=0, highest=w1.run, has_end=True)
            yield 'w1 ends', s._replace(w1=ended)
        if w1.incarnation < states.LAST_INCARNATION:
            restarted = states.Worker(incarnation=w1.incarnation + 1)
            yield 'w1 restarts', s._replace(w1=restarted)

    def _network_steps(self, s: states.State) -> Iterator[Step]:
        """Yield the transitions of what is in transit."""
        if s.report is not None:
            name = 'ab'[s.owner.epoch]
            yield f'{name} gets the report', self.read_report(s)
        yield from self._delivery_steps(s)

    def _delivery_steps(self, s: states.State) -> Iterator[Step]:
        """Yield the transitions in which ``w1`` carries out an order."""
        for order in s.net:
            rest = s._replace(net=s.net - {order})
            kind = f'start {order.run}' if order.run else 'a poll'
            if not self._is_excluded(s, order):
                yield f'w1 carries out {kind}', self.deliver(rest, order)

    def _is_excluded(self, s: states.State, order: states.Order) -> bool:
        """Return whether an assumption excludes that an order is carried out.

        Only orders for a former incarnation are excluded.
        """
        if order.incarnation == s.w1.incarnation:
            return False
        if order.run and s.is_acknowledged and self.has('late_after_done'):
            return True
        if order.acknowledged and s.w1.has_end:
            is_early = s.owner.known != s.w1.incarnation or s.owner.is_fencing
            if is_early and self.has('early_acknowledgement'):
                return True
        if order.left < 0 or not s.w1.run:
            return False
        if order.run:
            return False
        return s.w1.run != s.owner.run and self.has(
            'late_poll_on_uncounted_run'
        )

    def deliver(self, s: states.State, order: states.Order) -> states.State:
        """Return the state after ``w1`` has carried out an order."""
        w1 = s.w1
        if order.token < w1.fence:
            return s
        w1 = w1._replace(fence=order.token)
        left = order.left
        if left >= 0 and order.incarnation != w1.incarnation:
            left = states.LEASE
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
        self,
        s: states.State,
        w1: states.Worker,
        order: states.Order,
        left: int,
    ) -> states.State:
        """Return the state after ``w1`` has carried out a start."""
        w1 = w1._replace(lease=max(w1.lease, left))
        if order.run <= w1.highest or w1.run or not left:
            return s._replace(w1=w1)
        return s._replace(
            w1=w1._replace(run=order.run),
            ran_again=s.ran_again or s.is_acknowledged,
        )

    def _time_steps(self, s: states.State) -> Iterator[Step]:
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

    def pass_time(self, s: states.State) -> states.State:
        """Return the state after one unit, before a lease lapses."""
        o = s.owner
        o = o._replace(
            lease=states.less(o.lease),
            other=states.less(o.other),
            leased=states.less(o.leased),
            fence_hold=states.less(o.fence_hold),
            hold=states.less(o.hold),
            late=states.less(o.late),
            late_runs=o.late_runs if o.late > 1 else frozenset(),
            wait=states.less(o.wait),
            # A worker without a report for 2.5 s gets no starts.
            is_unreachable=o.is_unreachable or s.quiet > 0,
        )
        w1 = s.w1._replace(lease=states.less(s.w1.lease))
        net = frozenset(
            x._replace(age=x.age + 1, left=max(x.left - 1, min(x.left, 0)))
            for x in s.net
            if x.age < self._delay
        )
        return s._replace(
            owner=o, w1=w1, net=net, quiet=min(states.QUIET, s.quiet + 1)
        )


def sent(
    label: str, s: states.State, order: states.Order, max_orders: int
) -> Iterator[Step]:
    """Yield the transitions in which an order is not answered."""
    yield f'{label}, lost', s
    net = s.net | {order}
    if len(net) <= max_orders:
        yield f'{label}, no answer', s._replace(net=net)


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism or assumption if any.

    :raises ValueError: if there is no such mechanism.
    """
    if without and without not in MECHANISMS:
        raise ValueError(f'unknown mechanism: {without}')

    def on_fields(
        holds: Callable[[states.State], bool],
    ) -> Callable[[dict], bool]:
        return lambda d: holds(states.State(**d))

    return minicheck.Protocol(
        name='incarnations',
        candidate=False,
        fields=states.State._fields,
        initial=states.State(),
        transitions=Transitions(without).steps,
        invariants={
            name: on_fields(holds) for name, holds in states.INVARIANTS.items()
        },
    )
