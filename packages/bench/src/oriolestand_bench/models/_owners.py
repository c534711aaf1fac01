"""Specify who may run a task when the owner of a cell changes.

Bounds: one task, two owners, two workers, two runs of the first owner and one
of the second, two orders on their way, of which each may be lost or arrive
late. Owner ``a`` may stop at any time, or lose its claim to ``b`` and go on
without knowing. Numbers of runs rise with the owner. A late order is past the
deadline that it carries.
"""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import minicheck

MAX_RUNS = {'a': 2, 'b': 1}
MAX_ORDERS = 2
MAX_STATES_WITHOUT = 40_000
"""Each counterexample lies within the first 25,000 states."""

MECHANISMS = {
    'fence': 'one_run',
    'settled_doubt': 'one_run',
    'tombstone': 'one_run',
    'probe': 'one_run',
    'adoption': 'one_run',
    'lease_wait': 'one_run',
    'deadline': 'one_run',
    'record_first': 'done_stays_done',
    'owner_condition': 'record_stands',
}
"""Which invariant fails when a mechanism is removed."""

EPOCHS = {'a': 1, 'b': 2}


class Owner(NamedTuple):
    """Hold what an owner believes.

    ``at`` is the worker of run ``run``; 0 means that the task is idle.
    ``is_doubtful``: its start got no answer. ``probed`` are the workers that
    answered or were waited for. ``seen_end``: it saw that the task is done.
    """

    is_active: bool = False
    runs: int = 0
    at: int = 0
    run: int = 0
    is_doubtful: bool = False
    is_stopped: bool = False
    probed: frozenset[int] = frozenset()
    seen_end: bool = False
    has_written: bool = False


class Worker(NamedTuple):
    """Hold the highest epoch and run seen, and the run that is there.

    A run that is ``done`` and whose lease lapsed before its end was
    acknowledged may run again.
    """

    epoch: int = 0
    highest: int = 0
    running: int = 0
    done: int = 0
    has_lapsed: bool = False


class Order(NamedTuple):
    """Hold an order on its way; a late one is past its deadline."""

    kind: str
    run: int
    epoch: int
    worker: int
    is_late: bool = False


class State(NamedTuple):
    """Hold the whole system; the last two fields record faults."""

    row: str = 'a'
    is_recorded: bool = False
    a: Owner = Owner(is_active=True, probed=frozenset((1, 2)))
    b: Owner = Owner()
    w1: Worker = Worker()
    w2: Worker = Worker()
    net: frozenset[Order] = frozenset()
    is_forgotten: bool = False
    ran_again: bool = False
    lost_record: bool = False


Step = tuple[str, State]


class _Spec:
    """Compute the transitions with one mechanism removed, or none."""

    def __init__(self, without: str) -> None:
        self._without = without

    def has(self, mechanism: str) -> bool:
        """Return whether a mechanism is in force."""
        return mechanism != self._without

    def steps(self, state: tuple) -> list[Step]:
        """Return all next states with their labels."""
        s = State(*state)
        if _is_broken(s):
            # What follows a fault shows nothing more.
            return []
        found: list[Step] = []
        for who in ('a', 'b'):
            if getattr(s, who).is_active:
                found += self._own(s, who)
        found += self._change(s)
        for number in (1, 2):
            worker: Worker = getattr(s, f'w{number}')
            if worker.running:
                done = worker._replace(running=0, done=worker.running)
                found.append((f'w{number} ends', _set(s, f'w{number}', done)))
        for order in s.net:
            found.append((f'w{order.worker} gets', self._arrive(s, order)))
            found.append(('lost', s._replace(net=s.net - {order})))
        return found

    def _change(self, s: State) -> Iterator[Step]:
        """Yield the claim of ``b``; an ``a`` that is dead takes no step."""
        if s.row == 'a':
            known = s.is_recorded
            owner = Owner(is_active=True, seen_end=known, has_written=known)
            yield 'b claims', s._replace(row='b', b=owner)

    def _own(self, s: State, who: str) -> Iterator[Step]:
        """Yield what an owner may do."""
        mine: Owner = getattr(s, who)
        if self._may_start(mine, who):
            for number in (1, 2):
                yield f'{who} starts at w{number}', self._start(s, who, number)
        if mine.at and not mine.seen_end:
            yield f'{who} gets no answer', self._doubt(s, who)
            if mine.is_doubtful:
                yield f'{who} stops', self._order(s, who, 'stop')
        for number in (1, 2):
            yield f'{who} looks at w{number}', self._look(s, who, number)
            yield f'{who} waits for w{number}', self._wait(s, who, number)
        if mine.seen_end and not mine.has_written:
            yield f'{who} records', self._record(s, who)
        elif not mine.seen_end and not self.has('owner_condition'):
            yield f'{who} records', self._record(s, who)

    def _may_start(self, mine: Owner, who: str) -> bool:
        """Return whether an owner may start the task."""
        if mine.at or mine.seen_end or mine.runs >= MAX_RUNS[who]:
            return False
        return mine.probed == {1, 2} or not self.has('probe')

    def _start(self, s: State, who: str, number: int) -> State:
        """Start a new run at a worker."""
        mine: Owner = getattr(s, who)
        run = EPOCHS[who] * 10 + mine.runs + 1
        mine = mine._replace(
            at=number,
            run=run,
            runs=mine.runs + 1,
            is_doubtful=False,
            is_stopped=False,
        )
        return self._order(_set(s, who, mine), who, 'start')

    def _order(self, s: State, who: str, kind: str) -> State:
        """Send an order for the present run unless too many are on the way."""
        mine: Owner = getattr(s, who)
        order = Order(kind, mine.run, EPOCHS[who], mine.at)
        if len(s.net | {order}) > MAX_ORDERS:
            return s
        return s._replace(net=s.net | {order})

    def _doubt(self, s: State, who: str) -> State:
        """Take note that a start got no answer."""
        mine: Owner = getattr(s, who)
        if self.has('settled_doubt'):
            return _set(s, who, mine._replace(is_doubtful=True))
        return _set(s, who, mine._replace(at=0, run=0))

    def _look(self, s: State, who: str, number: int) -> State:
        """Raise the fence at a worker and take over what it lists."""
        mine: Owner = getattr(s, who)
        name = f'w{number}'
        worker: Worker = getattr(s, name)
        if worker.epoch > EPOCHS[who] and self.has('fence'):
            return _set(s, who, mine._replace(is_active=False))
        worker = worker._replace(epoch=max(worker.epoch, EPOCHS[who]))
        mine = mine._replace(probed=mine.probed | {number})
        if worker.done:
            mine = mine._replace(seen_end=True, at=0, run=0)
            if mine.has_written or not self.has('record_first'):
                if not worker.has_lapsed:
                    s = s._replace(is_forgotten=True)
                worker = worker._replace(done=0)
        elif worker.running and not mine.at and self.has('adoption'):
            mine = mine._replace(at=number, run=worker.running)
        elif mine.at == number and mine.is_stopped and not worker.running:
            mine = mine._replace(at=0, run=0, is_doubtful=False)
        return _set(_set(s, name, worker), who, mine)

    def _wait(self, s: State, who: str, number: int) -> State:
        """Let a worker out of reach lose its lease, then count it as empty.

        Another owner that has not been fenced goes on extending the lease
        for as long as it may act without the store.
        """
        mine: Owner = getattr(s, who)
        name = f'w{number}'
        worker: Worker = getattr(s, name)
        if mine.at and mine.at != number:
            return s
        if self.has('lease_wait'):
            worker = worker._replace(
                running=0, has_lapsed=worker.has_lapsed or bool(worker.done)
            )
            other = 'b' if who == 'a' else 'a'
            if EPOCHS[other] < EPOCHS[who]:
                # The wait outlasts what an owner may do without the store.
                blind = getattr(s, other)._replace(is_active=False)
                s = _set(s, other, blind)
            elif getattr(s, other).is_active:
                return s
        late = frozenset(
            o._replace(is_late=o.is_late or o.worker == number) for o in s.net
        )
        mine = mine._replace(
            at=0, run=0, is_doubtful=False, probed=mine.probed | {number}
        )
        return _set(_set(s._replace(net=late), name, worker), who, mine)

    def _record(self, s: State, who: str) -> State:
        """Write the record of the task as the owner knows it."""
        mine: Owner = getattr(s, who)
        if s.row != who and self.has('owner_condition'):
            return _set(s, who, mine._replace(is_active=False))
        lost = s.is_recorded and not mine.seen_end
        mine = mine._replace(has_written=mine.seen_end)
        return _set(s, who, mine)._replace(
            is_recorded=mine.seen_end, lost_record=s.lost_record or lost
        )

    def _arrive(self, s: State, order: Order) -> State:
        """Return the state after an order has reached its worker."""
        name = f'w{order.worker}'
        before: Worker = getattr(s, name)
        after = self.accept(before, order)
        s = s._replace(net=s.net - {order})
        if after.running and after.running != before.running:
            s = s._replace(ran_again=s.ran_again or s.is_forgotten)
        s = _set(s, name, after)
        who = 'a' if order.epoch == EPOCHS['a'] else 'b'
        mine: Owner = getattr(s, who)
        if order.kind == 'stop' and mine.run == order.run:
            # The answer may be lost as well; then the stop is sent again.
            return _set(s, who, mine._replace(is_stopped=True))
        return s

    def accept(self, worker: Worker, order: Order) -> Worker:
        """Return a worker after an order."""
        if order.epoch < worker.epoch and self.has('fence'):
            return worker
        worker = worker._replace(epoch=max(worker.epoch, order.epoch))
        if order.kind == 'stop':
            if worker.running and worker.running <= order.run:
                worker = worker._replace(running=0)
            if self.has('tombstone'):
                highest = max(worker.highest, order.run)
                worker = worker._replace(highest=highest)
            return worker
        if order.run <= worker.highest or worker.running:
            return worker
        if order.is_late and self.has('deadline'):
            return worker
        return worker._replace(running=order.run, highest=order.run)


def _set(s: State, name: str, value: Any) -> State:
    """Return a state with another owner or worker."""
    return s._replace(**{name: value})


def _is_broken(s: State) -> bool:
    """Return whether a state violates an invariant."""
    return bool(
        (s.w1.running and s.w2.running) or s.ran_again or s.lost_record
    )


def build(without: str = '') -> minicheck.Protocol:
    """Return the specification, with one mechanism removed if named."""
    if without and without not in MECHANISMS:
        raise ValueError(f'no mechanism is called {without}')
    return minicheck.Protocol(
        name='owners',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=_Spec(without).steps,
        invariants={
            'one_run': lambda d: not (d['w1'].running and d['w2'].running),
            'done_stays_done': lambda d: not d['ran_again'],
            'record_stands': lambda d: not d['lost_record'],
        },
    )
