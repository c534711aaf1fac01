"""Compare the dispatcher with a reference model on random event sequences."""

import random
import threading

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import health
from oriolestand_policy import interference
from oriolestand_policy import placement
from oriolestand_policy import retries
from oriolestand_policy import tables

QUEUE_LIMIT = 4
TIMEOUT_MS = 400


class NaiveDispatcher:
    """Reference model of the dispatcher that only counts slots."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.limits: list[tuple[str, int]] = []
        self.sent: list[tuple[str, str]] = []
        self.waiting: list[admission.Ticket] = []
        self.failed_ids: list[str] = []

    def free(self) -> int:
        """Return the free slots; an upstream over its limit counts as 0."""
        used = [address for _, address in self.sent]
        return sum(max(0, n - used.count(a)) for a, n in self.limits)

    def submit(self, ticket: admission.Ticket) -> str:
        """Submit a request; return 'sent', 'waits' or 'failed'."""
        with self.lock:
            if self.free() and not self.waiting:
                return 'sent'
            if len(self.waiting) < QUEUE_LIMIT:
                self.waiting.append(ticket)
                return 'waits'
            self.failed_ids.append(ticket.id)
            return 'failed'

    def send_waiting(self) -> list[str]:
        """Remove and return the ids of the requests that can be sent now."""
        with self.lock:
            count = min(self.free(), len(self.waiting))
            sent, self.waiting = self.waiting[:count], self.waiting[count:]
            return [ticket.id for ticket in sent]


def make_dispatcher(
    queue: type[admission.AdmissionQueue],
) -> dispatching.Dispatcher:
    return dispatching.Dispatcher(
        placement.TwoChoicesPlacement(random.Random(7)),
        queue,  # type: ignore[arg-type]
        health_policy=health.NeverEject(),
        make_retries=retries.FixedRetries,
        interference_policy=interference.NoInterference(),
    )


def ticket_of(number: int, now: int, **changes: object) -> admission.Ticket:
    values: dict[str, object] = {
        'id': f'r{number}',
        'pool': 'p',
        'team': 't',
        'kind': tables.Kind.SERVICE,
        'priority': 0,
        'arrived': now,
        'deadline': now + TIMEOUT_MS,
    }
    return admission.Ticket(**{**values, **changes})  # type: ignore[arg-type]


UPSTREAM_LIMITS = st.dictionaries(
    st.sampled_from(['a', 'b', 'c']), st.integers(0, 3), max_size=3
)
REQUEST_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just('submit'), st.integers(0, 3)),
        st.tuples(st.just('finish'), st.integers(0, 30)),
        st.tuples(st.just('limits'), UPSTREAM_LIMITS),
        st.tuples(st.just('wait'), st.integers(1, 300)),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(REQUEST_EVENTS)
def test_same_slot_counts_as_the_naive_dispatcher(
    events: list[tuple[str, object]],
) -> None:
    """Free slots and the order of requests must match the naive dispatcher."""
    dispatcher, naive = make_dispatcher(admission.FifoQueue), NaiveDispatcher()
    dispatcher.set_pool('p', QUEUE_LIMIT)
    for number, (name, value) in enumerate(events):
        if name == 'submit':
            ticket = ticket_of(number, 0)
            effects = dispatcher.submit(ticket, core.Millis(0))
            expected = naive.submit(ticket)
            effect_types = [type(effect).__name__ for effect in effects]
            assert (
                effect_types
                == {
                    'sent': ['SendToUpstream'],
                    'waits': [],
                    'failed': ['Fail'],
                }[expected]
            )
        elif name == 'limits':
            assert isinstance(value, dict)
            naive.limits = list(value.items())
            effects = dispatcher.set_limits('p', value, core.Millis(0))
            assert [e.ticket.id for e in effects] == naive.send_waiting()
        elif name == 'finish' and naive.sent:
            assert isinstance(value, int)
            ended = naive.sent.pop(value % len(naive.sent))[0]
            outcome = dispatching.Outcome(verdict=core.Verdict.RAN)
            effects = dispatcher.attempt_finished(
                ended, outcome, core.Millis(0)
            )
            assert isinstance(effects.pop(0), dispatching.Finish)
            assert [e.ticket.id for e in effects] == naive.send_waiting()
        else:
            continue
        naive.sent += [
            (e.ticket.id, e.upstream)
            for e in effects
            if isinstance(e, dispatching.SendToUpstream)
        ]
        assert dispatcher.pools['p'].free == naive.free()
        assert len(dispatcher.pools['p'].queue) == len(naive.waiting)


class InvariantChecker:
    """Check the effects of a dispatcher.

    No upstream may exceed its limit, and no request may end twice.
    """

    def __init__(self) -> None:
        self.dispatcher = dispatching.Dispatcher(
            placement.TwoChoicesPlacement(random.Random(7)),
            admission.FairQueue,
        )
        self.limits: dict[str, int] = {}
        self.lowered: dict[str, int] = {}
        self.open: set[str] = set()
        self.sent: dict[str, str] = {}
        self.slots_in_use: dict[str, int] = {'a': 0, 'b': 0, 'c': 0}
        self.held_slots: list[tuple[int, str]] = []

    def apply(self, effects: list[dispatching.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, dispatching.SendToUpstream):
                assert effect.ticket.id in self.open
                self.sent[effect.ticket.id] = effect.upstream
                self.slots_in_use[effect.upstream] += 1
                limit = self.limits.get(effect.upstream, 0)
                assert self.slots_in_use[effect.upstream] <= limit
            elif isinstance(effect, dispatching.ForwardToPeer):
                self.sent[effect.ticket.id] = ''
            elif isinstance(effect, dispatching.Fail | dispatching.Finish):
                # This raises KeyError if the request has already ended.
                self.open.remove(effect.ticket.id)

    def finish(self, number: int, value: int, now: int) -> None:
        if not self.sent:
            return
        # ``value`` selects the request. Modulo 5 it determines whether the
        # slot stays held, modulo 3 the verdict, and modulo 2 whether the
        # request fails.
        ticket_id = sorted(self.sent)[value % len(self.sent)]
        address = self.sent.pop(ticket_id)
        held_until = None
        if address and value % 5 == 0:
            held_until = core.Millis(now + 100)
            self.held_slots.append((now + 100, address))
        elif address:
            self.slots_in_use[address] -= 1
        verdict = list(core.Verdict)[value % 3]
        error = None
        if value % 2 or held_until is not None:
            error = core.OriolestandError('failed', verdict=verdict)
        outcome = dispatching.Outcome(
            verdict=verdict,
            error=error,
            slot_held_until=held_until,
            upstream_failed=bool(error),
        )
        self.apply(
            self.dispatcher.attempt_finished(
                ticket_id, outcome, core.Millis(now)
            )
        )

    def tick(self, now: int) -> None:
        for due, address in self.held_slots:
            if due <= now:
                self.slots_in_use[address] -= 1
        self.held_slots = [item for item in self.held_slots if item[0] > now]
        self.apply(self.dispatcher.tick(core.Millis(now)))


PEER_LOADS = st.tuples(st.sampled_from(['x', 'y']), st.integers(0, 3))
ALL_EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just('submit'), st.integers(0, 11)),
        st.tuples(st.just('submit'), st.integers(0, 11)),
        st.tuples(st.just('finish'), st.integers(0, 60)),
        st.tuples(st.just('finish'), st.integers(0, 60)),
        st.tuples(st.just('limits'), UPSTREAM_LIMITS),
        st.tuples(st.just('peer'), PEER_LOADS),
        st.tuples(st.just('cancel'), st.integers(0, 60)),
        st.tuples(st.just('reserve'), st.integers(1, 2)),
        st.tuples(st.just('unreserve'), st.integers(0, 60)),
        st.tuples(st.just('wait'), st.integers(1, 300)),
    ),
    max_size=80,
)


def apply_event(
    checker: InvariantChecker,
    tasks: dict[str, dispatching.Reservation],
    number: int,
    name: str,
    value: object,
    now: int,
) -> None:
    dispatcher, at = checker.dispatcher, core.Millis(now)
    if name == 'submit':
        assert isinstance(value, int)
        kind = list(tables.Kind)[value % 2]
        ticket = ticket_of(
            number, now, kind=kind, team=f't{value % 3}', priority=value % 2
        )
        checker.open.add(ticket.id)
        checker.apply(dispatcher.submit(ticket, at))
    elif name == 'finish':
        assert isinstance(value, int)
        checker.finish(number, value, now)
    elif name == 'limits':
        assert isinstance(value, dict)
        checker.limits = value
        checker.apply(dispatcher.set_limits('p', value, at))
    elif name == 'peer':
        assert isinstance(value, tuple)
        checker.apply(dispatcher.set_peer('p', value[0], value[1], 1, at))
    elif name == 'cancel':
        waiting = sorted(checker.open - set(checker.sent))
        if waiting:
            assert isinstance(value, int)
            cancelled = waiting[value % len(waiting)]
            checker.open.remove(cancelled)
            checker.apply(dispatcher.cancel(cancelled, at))
    elif name == 'reserve':
        assert isinstance(value, int)
        reservation = dispatcher.reserve(f'k{number}', 'p', value, 'batch', 0)
        if reservation is not None:
            tasks[reservation.key] = reservation
            checker.slots_in_use[reservation.address] += reservation.slots
            assert (
                checker.slots_in_use[reservation.address]
                <= checker.limits[reservation.address]
            )
    elif name == 'unreserve' and tasks:
        assert isinstance(value, int)
        key = sorted(tasks)[value % len(tasks)]
        released = tasks.pop(key)
        checker.slots_in_use[released.address] -= released.slots
        checker.apply(dispatcher.unreserve(key, at, failed=bool(value % 2)))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(ALL_EVENTS)
def test_invariants_hold(events: list[tuple[str, object]]) -> None:
    """Slots in use stay within limits and each request ends exactly once."""
    checker = InvariantChecker()
    checker.dispatcher.set_pool('p', QUEUE_LIMIT)
    tasks: dict[str, dispatching.Reservation] = {}
    now = 0
    for number, (name, value) in enumerate(events):
        if name == 'wait':
            assert isinstance(value, int)
            now += value
            checker.tick(now)
        apply_event(checker, tasks, number, name, value, now)
        used = {
            address: upstream.in_use
            for address, upstream in checker.dispatcher.pools[
                'p'
            ].upstreams.items()
            if upstream.in_use
        }
        assert used == {a: n for a, n in checker.slots_in_use.items() if n}
    # A failed request may be sent again, so bound the number of attempts.
    for _ in range(4 * len(events) + 1):
        if not checker.sent:
            break
        checker.finish(0, 2, now)
    checker.tick(now + TIMEOUT_MS)
    assert not checker.open
