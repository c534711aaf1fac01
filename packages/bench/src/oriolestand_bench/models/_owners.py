"""Model of a task's runs when the owner of its cell changes.

Bounds: one task, two owners, two workers, two runs started by the first owner
and one by the second, two orders in transit. Each order may be lost or arrive
late, that is after the deadline that it carries. Owner ``a`` may stop at any
time, or lose the cell to ``b`` and continue without noticing. Run numbers of
a later owner are higher. The model of the leases shows that ``a`` extends none
once ``b`` has waited for it.
"""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import minicheck

MAX_RUNS = {'a': 2, 'b': 1}
MAX_ORDERS = 2
MAX_STATES_WITHOUT = 40_000
"""Search limit in models with a mechanism removed.

Each counterexample is found within the first 25,000 states.
"""

MECHANISMS = {
    'fence': 'one_run',
    'settled_doubt': 'one_run',
    'tombstone': 'one_run',
    'probe': 'one_run',
    'adoption': 'one_run',
    'lease_wait': 'one_run',
    'lease_limit': 'one_run',
    'deadline': 'one_run',
    'record_first': 'done_stays_done',
    'owner_condition': 'record_stands',
}
"""Maps each mechanism to the invariant that fails without it."""

EPOCHS = {'a': 1, 'b': 2}


class Owner(NamedTuple):
    """An owner's view of the task.

    ``at`` is the worker of run ``run``, or 0 if the task is not running.
    ``is_doubtful`` is set if the start was not answered. ``probed`` holds
    the workers that answered a poll or whose lease has expired.
    ``seen_end`` is set once the owner has observed that the task is done,
    ``has_written`` once it has stored that.
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
    """The highest epoch and run seen, and the current run.

    ``done`` is a finished run whose end is not acknowledged yet. If its
    lease lapses before that, the task may run again.
    """

    epoch: int = 0
    highest: int = 0
    running: int = 0
    done: int = 0
    has_lapsed: bool = False


class Order(NamedTuple):
    """An order in transit; a late one is past its deadline."""

    kind: str
    run: int
    epoch: int
    worker: int
    is_late: bool = False


class State(NamedTuple):
    """State of the system; the last two fields record violations.

    ``over`` are the workers at which ``a`` can extend the lease no more.
    """

    row: str = 'a'
    is_recorded: bool = False
    a: Owner = Owner(is_active=True, probed=frozenset((1, 2)))
    b: Owner = Owner()
    w1: Worker = Worker()
    w2: Worker = Worker()
    net: frozenset[Order] = frozenset()
    over: frozenset[int] = frozenset()
    is_end_acknowledged: bool = False
    ran_again: bool = False
    lost_record: bool = False


Step = tuple[str, State]


class Transitions:
    """Transitions of the model, optionally without one mechanism."""

    def __init__(self, without: str) -> None:
        self._without = without

    def has(self, mechanism: str) -> bool:
        """Return whether the model includes a mechanism."""
        return mechanism != self._without

    def steps(self, state: tuple) -> list[Step]:
        """Return all successor states with the labels of the transitions."""
        s = State(*state)
        if violates_invariant(s):
            # Don't search beyond a violation: its successors add nothing.
            return []
        found: list[Step] = []
        for owner_id in ('a', 'b'):
            if getattr(s, owner_id).is_active:
                found += self._owner_steps(s, owner_id)
        found += self._claim_steps(s)
        for number in (1, 2):
            worker: Worker = getattr(s, f'w{number}')
            if worker.running:
                done = worker._replace(running=0, done=worker.running)
                found.append(
                    (f'w{number} ends', replace(s, f'w{number}', done))
                )
        for order in s.net:
            found.append((f'w{order.worker} gets', self._deliver(s, order)))
            found.append(('lose order', s._replace(net=s.net - {order})))
        return found

    def _claim_steps(self, s: State) -> Iterator[Step]:
        """Yield the claim of ``b``.

        The death of ``a`` needs no transition: it then takes no step.
        """
        if s.row == 'a':
            is_recorded = s.is_recorded
            owner = Owner(
                is_active=True, seen_end=is_recorded, has_written=is_recorded
            )
            yield 'b claims', s._replace(row='b', b=owner)

    def _owner_steps(self, s: State, owner_id: str) -> Iterator[Step]:
        """Yield the transitions of an owner."""
        owner: Owner = getattr(s, owner_id)
        if self.can_start(owner, owner_id):
            for number in (1, 2):
                yield (
                    f'{owner_id} starts at w{number}',
                    self.start_run(s, owner_id, number),
                )
        if owner.at and not owner.seen_end:
            yield f'{owner_id} gets no answer', self._lose_answer(s, owner_id)
            if owner.is_doubtful:
                yield f'{owner_id} stops', self._send(s, owner_id, 'stop')
        for number in (1, 2):
            yield (
                f'{owner_id} polls w{number}',
                self._poll(s, owner_id, number),
            )
            yield (
                f'{owner_id} waits for w{number}',
                self._wait_for_lapse(s, owner_id, number),
            )
        if owner.seen_end and not owner.has_written:
            yield f'{owner_id} records', self._record(s, owner_id)
        elif not owner.seen_end and not self.has('owner_condition'):
            yield f'{owner_id} records', self._record(s, owner_id)

    def can_start(self, owner: Owner, owner_id: str) -> bool:
        """Return whether an owner may start the task."""
        if owner.at or owner.seen_end or owner.runs >= MAX_RUNS[owner_id]:
            return False
        return owner.probed == {1, 2} or not self.has('probe')

    def start_run(self, s: State, owner_id: str, number: int) -> State:
        """Start a new run at a worker."""
        owner: Owner = getattr(s, owner_id)
        run = EPOCHS[owner_id] * 10 + owner.runs + 1
        owner = owner._replace(
            at=number,
            run=run,
            runs=owner.runs + 1,
            is_doubtful=False,
            is_stopped=False,
        )
        return self._send(replace(s, owner_id, owner), owner_id, 'start')

    def _send(self, s: State, owner_id: str, kind: str) -> State:
        """Send an order for the current run unless the limit is reached."""
        owner: Owner = getattr(s, owner_id)
        is_late = owner_id == 'a' and owner.at in s.over
        order = Order(
            kind, owner.run, EPOCHS[owner_id], owner.at, is_late=is_late
        )
        if len(s.net | {order}) > MAX_ORDERS:
            return s
        return s._replace(net=s.net | {order})

    def _lose_answer(self, s: State, owner_id: str) -> State:
        """Record that a start was not answered."""
        owner: Owner = getattr(s, owner_id)
        if self.has('settled_doubt'):
            return replace(s, owner_id, owner._replace(is_doubtful=True))
        return replace(s, owner_id, owner._replace(at=0, run=0))

    def _poll(self, s: State, owner_id: str, number: int) -> State:
        """Poll a worker: raise its fence and apply its report."""
        owner: Owner = getattr(s, owner_id)
        name = f'w{number}'
        worker: Worker = getattr(s, name)
        if worker.epoch > EPOCHS[owner_id] and self.has('fence'):
            return replace(s, owner_id, owner._replace(is_active=False))
        worker = worker._replace(epoch=max(worker.epoch, EPOCHS[owner_id]))
        owner = owner._replace(probed=owner.probed | {number})
        if worker.done:
            owner = owner._replace(seen_end=True, at=0, run=0)
            if owner.has_written or not self.has('record_first'):
                if not worker.has_lapsed:
                    s = s._replace(is_end_acknowledged=True)
                worker = worker._replace(done=0)
        elif worker.running and not owner.at and self.has('adoption'):
            owner = owner._replace(at=number, run=worker.running)
        elif owner.at == number and owner.is_stopped and not worker.running:
            owner = owner._replace(at=0, run=0, is_doubtful=False)
        return replace(replace(s, name, worker), owner_id, owner)

    def _wait_for_lapse(self, s: State, owner_id: str, number: int) -> State:
        """Wait for the lease of an unreachable worker, then treat it as idle.

        A former owner that has not been fenced goes on, but the wait is
        longer than it may extend leases.
        """
        owner: Owner = getattr(s, owner_id)
        name = f'w{number}'
        worker: Worker = getattr(s, name)
        if owner.at and owner.at != number:
            return s
        if self.has('lease_wait'):
            worker = worker._replace(
                running=0, has_lapsed=worker.has_lapsed or bool(worker.done)
            )
            other = 'b' if owner_id == 'a' else 'a'
            if EPOCHS[other] < EPOCHS[owner_id]:
                if self.has('lease_limit'):
                    s = s._replace(over=s.over | {number})
            elif getattr(s, other).is_active:
                return s
        late = frozenset(
            o._replace(is_late=o.is_late or o.worker == number) for o in s.net
        )
        owner = owner._replace(
            at=0, run=0, is_doubtful=False, probed=owner.probed | {number}
        )
        return replace(
            replace(s._replace(net=late), name, worker), owner_id, owner
        )

    def _record(self, s: State, owner_id: str) -> State:
        """Write the record of the task according to the owner's view."""
        owner: Owner = getattr(s, owner_id)
        if s.row != owner_id and self.has('owner_condition'):
            return replace(s, owner_id, owner._replace(is_active=False))
        lost = s.is_recorded and not owner.seen_end
        owner = owner._replace(has_written=owner.seen_end)
        return replace(s, owner_id, owner)._replace(
            is_recorded=owner.seen_end, lost_record=s.lost_record or lost
        )

    def _deliver(self, s: State, order: Order) -> State:
        """Return the state after an order is delivered to its worker."""
        name = f'w{order.worker}'
        before: Worker = getattr(s, name)
        after = self.accept(before, order)
        s = s._replace(net=s.net - {order})
        if after.running and after.running != before.running:
            s = s._replace(ran_again=s.ran_again or s.is_end_acknowledged)
        s = replace(s, name, after)
        owner_id = 'a' if order.epoch == EPOCHS['a'] else 'b'
        owner: Owner = getattr(s, owner_id)
        if order.kind == 'stop' and owner.run == order.run:
            # If the answer is lost too, the owner sends the stop again.
            return replace(s, owner_id, owner._replace(is_stopped=True))
        return s

    def accept(self, worker: Worker, order: Order) -> Worker:
        """Return the worker after it has handled an order."""
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


def replace(s: State, name: str, value: Any) -> State:
    """Return the state with an owner or worker replaced."""
    return s._replace(**{name: value})


def violates_invariant(s: State) -> bool:
    """Return whether a state violates an invariant."""
    return bool(
        (s.w1.running and s.w2.running) or s.ran_again or s.lost_record
    )


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism if any.

    :raises ValueError: if there is no such mechanism.
    """
    if without and without not in MECHANISMS:
        raise ValueError(f'unknown mechanism: {without}')
    return minicheck.Protocol(
        name='owners',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=Transitions(without).steps,
        invariants={
            'one_run': lambda d: not (d['w1'].running and d['w2'].running),
            'done_stays_done': lambda d: not d['ran_again'],
            'record_stands': lambda d: not d['lost_record'],
        },
    )
