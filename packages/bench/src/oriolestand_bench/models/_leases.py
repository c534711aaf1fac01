"""Model of the leases that an owner without the store may extend.

Bounds: one task, two owners, three workers, each of which may restart once.
Only the former owner ``a`` reaches worker 1, where the task runs; both owners
reach the others. Owner ``a`` goes on without noticing that ``b`` has claimed
the cell, and requests one lease at a time, which may arrive late, that is
after the end that it names.
"""

from collections.abc import Iterator
from typing import NamedTuple

import minicheck

WORKERS = (1, 2, 3)
MAJORITY = 2
MAX_STATES_WITHOUT = 100_000

MECHANISMS = {
    'wait': 'one_run',
    'lease_end': 'one_run',
    'votes': 'one_run',
    'majority': 'one_run',
    'known_process': 'one_run',
}
"""Maps each mechanism to the invariant that fails without it."""


class Former(NamedTuple):
    """The former owner.

    ``is_renewed`` is set while its last renewal is recent. ``answers`` are
    the workers that have just answered it, with the number of their process,
    and ``known`` is the process of each worker that it knew at its last
    renewal. ``has_request`` is whether a request for a lease is in transit.
    """

    is_renewed: bool = True
    answers: frozenset[tuple[int, int]] = frozenset()
    known: tuple[int, ...] = (0, 0, 0)
    has_request: bool = False


class State(NamedTuple):
    """State of the system.

    ``fences`` is the highest epoch that each worker has seen, and
    ``processes`` the number of its present process. ``answered`` are the
    workers that have answered ``b``.
    """

    row: str = 'a'
    former: Former = Former()
    fences: tuple[int, ...] = (1, 1, 1)
    processes: tuple[int, ...] = (0, 0, 0)
    is_running: bool = True
    answered: frozenset[int] = frozenset()
    has_waited: bool = False
    is_started_again: bool = False


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
        if s.is_running and s.is_started_again:
            # Don't search beyond a violation: its successors add nothing.
            return []
        found = [*self._former_steps(s), *self._worker_steps(s)]
        if s.row == 'a':
            found.append(('b claims', s._replace(row='b')))
        else:
            found += self._successor_steps(s)
        return found

    def _former_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions of the former owner."""
        a = s.former
        if s.row == 'a':
            renewed = a._replace(is_renewed=True, known=_known(a))
            yield 'a renews', s._replace(former=renewed)
        for number in WORKERS:
            if s.fences[number - 1] > 1:
                # The worker rejects the poll, and the response is lost.
                continue
            answer = (number, s.processes[number - 1])
            answers = {x for x in a.answers if x[0] != number} | {answer}
            polled = a._replace(answers=frozenset(answers))
            fences = _replaced(s.fences, number, 1)
            yield (
                f'a polls w{number}',
                s._replace(former=polled, fences=fences),
            )
        aged = a._replace(is_renewed=False)
        yield 'the renewal of a ages', s._replace(former=aged)
        forgotten = a._replace(answers=frozenset())
        yield 'the answers to a age', s._replace(former=forgotten)
        if self._may_extend(a):
            requested = a._replace(has_request=True)
            yield 'a requests a lease', s._replace(former=requested)

    def _may_extend(self, a: Former) -> bool:
        """Return whether the former owner may request a lease."""
        if a.is_renewed or not self.has('votes'):
            return True
        count = sum(
            a.known[number - 1] == process or not self.has('known_process')
            for number, process in a.answers
        )
        return count >= MAJORITY

    def _worker_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions of the workers."""
        done = s.former._replace(has_request=False)
        if s.former.has_request:
            yield 'the lease is lost', s._replace(former=done)
            if s.fences[0] <= 1:
                # A request for a lease starts the task again, if need be.
                extended = s._replace(former=done, is_running=True)
                yield 'w1 extends its lease', extended
        if s.is_running:
            yield 'the lease of w1 lapses', s._replace(is_running=False)
        for number in WORKERS[1:]:
            if not s.processes[number - 1]:
                restarted = s._replace(
                    fences=_replaced(s.fences, number, 0),
                    processes=_replaced(s.processes, number, 1),
                )
                yield f'w{number} restarts', restarted

    def _successor_steps(self, s: State) -> Iterator[Step]:
        """Yield the transitions of the successor."""
        for number in WORKERS[1:]:
            polled = s._replace(
                fences=_replaced(s.fences, number, 2),
                answered=s.answered | {number},
            )
            yield f'b polls w{number}', polled
        needed = MAJORITY if self.has('majority') else 1
        if len(s.answered) >= needed and not s.has_waited:
            yield 'b waits', self._wait(s)
        if s.has_waited:
            yield 'b starts', s._replace(is_started_again=True)

    def _wait(self, s: State) -> State:
        """Wait until all leases are over that ``a`` can have requested.

        Its renewal and all answers from before those to ``b`` are too old
        then, and a request that is still in transit names an earlier end.
        """
        s = s._replace(has_waited=True)
        if not self.has('wait'):
            return s
        a = s.former._replace(is_renewed=False, answers=frozenset())
        if self.has('lease_end'):
            a = a._replace(has_request=False)
        return s._replace(former=a, is_running=False)


def _known(a: Former) -> tuple[int, ...]:
    """Return the processes that an owner knows when it is renewed."""
    known = list(a.known)
    for number, process in a.answers:
        known[number - 1] = process
    return tuple(known)


def _replaced(values: tuple[int, ...], number: int, value: int) -> tuple:
    """Return the values of the workers with one replaced."""
    return values[: number - 1] + (value,) + values[number:]


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism if any.

    :raises ValueError: if there is no such mechanism.
    """
    if without and without not in MECHANISMS:
        raise ValueError(f'unknown mechanism: {without}')
    return minicheck.Protocol(
        name='leases',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=Transitions(without).steps,
        invariants={
            'one_run': lambda d: (
                not (d['is_running'] and d['is_started_again'])
            ),
        },
    )
