"""Model of a service task's placement in the record of its job.

Bounds: one task, three owners in a row, two workers, one run started by each
owner, two orders in transit. Each order may be lost or arrive late, that is
after the deadline that it carries. An owner may stop at any time, or lose the
cell and continue without noticing. Run numbers of a later owner are higher.
The model of the owners covers what both share.
"""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import minicheck

MAX_ORDERS = 2
MAX_STATES_WITHOUT = 100_000

MECHANISMS = {
    'fence': 'one_run',
    'record_before_start': 'one_run',
    'placement_wait': 'one_run',
    'kept_placement': 'one_run',
    'owner_condition': 'one_run',
}
"""Maps each mechanism to the invariant that fails without it."""

OWNERS = 'abc'
EPOCHS = {'a': 1, 'b': 2, 'c': 3}
NOWHERE = (0, 0)


class Owner(NamedTuple):
    """An owner's view of the task.

    ``at`` is the worker of run ``run``, or 0 if the task is not running.
    ``is_written`` is set once the record holds the run, ``is_sent`` once the
    start was ordered, ``is_stopped`` once the worker has answered a stop.
    ``former`` is the worker and run in the record that the owner read.
    """

    is_active: bool = False
    has_started: bool = False
    at: int = 0
    run: int = 0
    is_written: bool = False
    is_sent: bool = False
    is_stopped: bool = False
    former: tuple[int, int] = NOWHERE
    probed: frozenset[int] = frozenset()


class Worker(NamedTuple):
    """The highest epoch and run seen, and the current run."""

    epoch: int = 0
    highest: int = 0
    running: int = 0


class Order(NamedTuple):
    """An order in transit; a late one is past its deadline."""

    kind: str
    run: int
    epoch: int
    worker: int
    is_late: bool = False


class State(NamedTuple):
    """State of the system; ``record`` is the worker and run in the store."""

    row: str = 'a'
    record: tuple[int, int] = NOWHERE
    a: Owner = Owner(is_active=True, probed=frozenset((1, 2)))
    b: Owner = Owner()
    c: Owner = Owner()
    w1: Worker = Worker()
    w2: Worker = Worker()
    net: frozenset[Order] = frozenset()


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
        if s.w1.running and s.w2.running:
            # Don't search beyond a violation: its successors add nothing.
            return []
        found: list[Step] = []
        for owner_id in OWNERS:
            if getattr(s, owner_id).is_active:
                found += self._owner_steps(s, owner_id)
        if s.row != OWNERS[-1]:
            claimant = OWNERS[OWNERS.index(s.row) + 1]
            owner = Owner(is_active=True, former=s.record)
            found.append(
                (
                    f'{claimant} claims',
                    replace(s, claimant, owner)._replace(row=claimant),
                )
            )
        for number in (1, 2):
            worker: Worker = getattr(s, f'w{number}')
            if worker.running:
                found.append(
                    (
                        f'w{number} ends',
                        replace(s, f'w{number}', worker._replace(running=0)),
                    )
                )
        for order in s.net:
            found.append((f'w{order.worker} gets', self._deliver(s, order)))
            found.append(('lose order', s._replace(net=s.net - {order})))
        return found

    def _owner_steps(self, s: State, owner_id: str) -> Iterator[Step]:
        """Yield the transitions of an owner."""
        owner: Owner = getattr(s, owner_id)
        if self._can_start(owner):
            for number in owner.probed:
                yield (
                    f'{owner_id} decides on w{number}',
                    self._decide(s, owner_id, number),
                )
        if not owner.is_written:
            yield f'{owner_id} records', self._record(s, owner_id)
        if owner.at and not owner.is_sent:
            if owner.is_written or not self.has('record_before_start'):
                sent = replace(s, owner_id, owner._replace(is_sent=True))
                yield f'{owner_id} starts', self._send(sent, owner_id, 'start')
        if owner.at and owner.is_sent:
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

    def _can_start(self, owner: Owner) -> bool:
        """Return whether an owner may start the task."""
        if owner.at or owner.has_started:
            return False
        placed = owner.former[0]
        is_known = not placed or placed in owner.probed
        return is_known or not self.has('placement_wait')

    def _decide(self, s: State, owner_id: str, number: int) -> State:
        """Assign the task to a worker."""
        owner: Owner = getattr(s, owner_id)
        owner = owner._replace(
            has_started=True,
            at=number,
            run=EPOCHS[owner_id],
            is_written=False,
            is_sent=False,
            is_stopped=False,
            former=NOWHERE,
        )
        return replace(s, owner_id, owner)

    def _record(self, s: State, owner_id: str) -> State:
        """Write the record of the task according to the owner's view."""
        owner: Owner = getattr(s, owner_id)
        if s.row != owner_id and self.has('owner_condition'):
            return replace(s, owner_id, owner._replace(is_active=False))
        record = (owner.at, owner.run)
        if not owner.at and self.has('kept_placement'):
            record = owner.former
        owner = owner._replace(is_written=True)
        return replace(s, owner_id, owner)._replace(record=record)

    def _send(self, s: State, owner_id: str, kind: str) -> State:
        """Send an order for the current run unless the limit is reached."""
        owner: Owner = getattr(s, owner_id)
        order = Order(kind, owner.run, EPOCHS[owner_id], owner.at)
        if len(s.net | {order}) > MAX_ORDERS:
            return s
        return s._replace(net=s.net | {order})

    def _poll(self, s: State, owner_id: str, number: int) -> State:
        """Poll a worker: raise its fence and apply its report."""
        owner: Owner = getattr(s, owner_id)
        name = f'w{number}'
        worker: Worker = getattr(s, name)
        if worker.epoch > EPOCHS[owner_id] and self.has('fence'):
            return replace(s, owner_id, owner._replace(is_active=False))
        worker = worker._replace(epoch=max(worker.epoch, EPOCHS[owner_id]))
        owner = owner._replace(probed=owner.probed | {number})
        if worker.running and not owner.at:
            owner = owner._replace(
                at=number, run=worker.running, is_sent=True, former=NOWHERE
            )
        elif owner.at == number and not worker.running:
            # The end of a run is reported, and a run whose start is in doubt
            # has ended once the worker has answered a stop.
            if owner.is_stopped or worker.highest == owner.run:
                owner = _released(owner)
        elif owner.former[0] == number:
            owner = owner._replace(former=NOWHERE, is_written=False)
        return replace(replace(s, name, worker), owner_id, owner)

    def _wait_for_lapse(self, s: State, owner_id: str, number: int) -> State:
        """Wait for the lease of an unreachable worker, then treat it as idle.

        Former owners can extend its lease no more then. They take no further
        steps here; those that they may take are in the model of the owners.
        """
        owner: Owner = getattr(s, owner_id)
        if owner.at and owner.at != number:
            return s
        for other in OWNERS:
            if EPOCHS[other] < EPOCHS[owner_id]:
                inactive = getattr(s, other)._replace(is_active=False)
                s = replace(s, other, inactive)
            elif other != owner_id and getattr(s, other).is_active:
                return s
        name = f'w{number}'
        worker: Worker = getattr(s, name)
        s = replace(s, name, worker._replace(running=0))
        late = frozenset(
            o._replace(is_late=o.is_late or o.worker == number) for o in s.net
        )
        if owner.at:
            owner = _released(owner)
        elif owner.former[0] == number:
            owner = owner._replace(former=NOWHERE, is_written=False)
        owner = owner._replace(probed=owner.probed | {number})
        return replace(s._replace(net=late), owner_id, owner)

    def _deliver(self, s: State, order: Order) -> State:
        """Return the state after an order is delivered to its worker."""
        name = f'w{order.worker}'
        s = s._replace(net=s.net - {order})
        worker: Worker = getattr(s, name)
        if order.epoch < worker.epoch and self.has('fence'):
            return s
        worker = worker._replace(epoch=max(worker.epoch, order.epoch))
        if order.kind == 'stop':
            if worker.running and worker.running <= order.run:
                worker = worker._replace(running=0)
            highest = max(worker.highest, order.run)
            s = replace(s, name, worker._replace(highest=highest))
            owner_id = OWNERS[order.epoch - 1]
            owner: Owner = getattr(s, owner_id)
            if owner.at == order.worker and owner.run == order.run:
                return replace(s, owner_id, owner._replace(is_stopped=True))
            return s
        if not (
            order.run <= worker.highest or worker.running or order.is_late
        ):
            worker = worker._replace(running=order.run, highest=order.run)
        return replace(s, name, worker)


def _released(owner: Owner) -> Owner:
    """Return an owner that knows that the task does not run."""
    return owner._replace(
        at=0, run=0, is_written=False, is_sent=False, is_stopped=False
    )


def replace(s: State, name: str, value: Any) -> State:
    """Return the state with an owner or worker replaced.

    The view of an owner that does not act any more is dropped, as it would
    only multiply the states.
    """
    if isinstance(value, Owner) and not value.is_active:
        value = Owner()
    return s._replace(**{name: value})


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism if any.

    :raises ValueError: if there is no such mechanism.
    """
    if without and without not in MECHANISMS:
        raise ValueError(f'unknown mechanism: {without}')
    return minicheck.Protocol(
        name='placements',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=Transitions(without).steps,
        invariants={
            'one_run': lambda d: not (d['w1'].running and d['w2'].running),
        },
    )
