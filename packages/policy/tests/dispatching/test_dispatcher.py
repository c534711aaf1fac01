"""Test single decisions of the dispatcher."""

import dataclasses
import random

import pytest

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import interference
from oriolestand_policy import placement
from oriolestand_policy import tables

NOW = core.Millis(1_000)
OK = dispatching.Outcome(verdict=core.Verdict.RAN, latency_ms=10.0)
NOT_RUN = dispatching.Outcome(
    verdict=core.Verdict.DID_NOT_RUN,
    error=core.OriolestandError('refused'),
    upstream_failed=True,
)
PEER_FULL = dispatching.Outcome(
    verdict=core.Verdict.DID_NOT_RUN,
    error=admission.OverloadedError('full'),
)


def ticket(name: str, **changes: object) -> admission.Ticket:
    values: dict[str, object] = {
        'id': name,
        'pool': 'p',
        'team': 't',
        'kind': tables.Kind.SERVICE,
        'priority': 0,
        'arrived': NOW,
        'deadline': NOW + 1_000,
    }
    return admission.Ticket(**{**values, **changes})  # type: ignore[arg-type]


@pytest.fixture
def one() -> dispatching.Dispatcher:
    dispatcher = dispatching.Dispatcher(
        placement.TwoChoicesPlacement(random.Random(3)), admission.FairQueue
    )
    dispatcher.set_pool('p', 16)
    return dispatcher


def warm(one: dispatching.Dispatcher, count: int = 20) -> None:
    """Save a budget for retries and let the upstreams succeed."""
    for number in range(count):
        one.submit(ticket(f'warm{number}'), NOW)
        one.finished(f'warm{number}', OK, NOW)


def test_retry_goes_elsewhere(one: dispatching.Dispatcher) -> None:
    """A retry must not take the slot that the failed attempt holds."""
    one.set_limits('p', {'a': 1, 'b': 1}, NOW)
    warm(one)
    (sent,) = one.submit(ticket('r'), NOW)
    assert isinstance(sent, dispatching.SendLocal)
    (again,) = one.finished('r', NOT_RUN, NOW)
    assert isinstance(again, dispatching.SendLocal)
    assert again.upstream != sent.upstream


def test_retry_keeps_its_place(one: dispatching.Dispatcher) -> None:
    """A retry without a free slot waits before later requests."""
    one.set_limits('p', {'a': 1}, NOW)
    warm(one)
    one.submit(ticket('first'), NOW)
    one.submit(ticket('second'), NOW)
    held = dispatching.Outcome(
        verdict=core.Verdict.DID_NOT_RUN,
        error=core.OriolestandError('refused'),
        slot_held_until=core.Millis(NOW + 100),
    )
    assert one.finished('first', held, NOW) == []
    (sent,) = one.tick(core.Millis(NOW + 100))
    assert isinstance(sent, dispatching.SendLocal)
    assert sent.ticket.id == 'first'


def test_retries_stay_within_a_tenth(one: dispatching.Dispatcher) -> None:
    """Retries must not multiply the load when everything is rejected."""
    one.set_limits('p', {f'u{n}': 8 for n in range(20)}, NOW)
    rejected = dataclasses.replace(NOT_RUN, upstream_failed=False)
    sent = 0
    for number in range(500):
        effects = one.submit(ticket(f'r{number}'), NOW)
        while effects and isinstance(effects[0], dispatching.SendLocal):
            sent += 1
            effects = one.finished(f'r{number}', rejected, NOW)
    assert 500 < sent <= 551, 'a tenth, and the one saved at the start'


def test_advertisement_recovers(one: dispatching.Dispatcher) -> None:
    """A peer whose requests have ended must be used again."""
    one.set_peer('p', 'x', 1, 0)
    for name in ('a', 'b'):
        (sent,) = one.submit(ticket(name), NOW)
        assert isinstance(sent, dispatching.SendPeer)
        one.finished(name, OK, NOW)


def test_end_of_an_older_round_does_not_count(
    one: dispatching.Dispatcher,
) -> None:
    """A new advertisement already counts what was sent before it."""
    one.set_peer('p', 'x', 2, 0)
    one.submit(ticket('a'), NOW)
    one.set_peer('p', 'x', 1, 0)
    one.finished('a', OK, NOW)
    (load,) = one.pools['p'].peers.values()
    assert load.free == 1


def test_waiting_request_uses_a_new_peer(
    one: dispatching.Dispatcher,
) -> None:
    """A request must not wait here while a peer has slots."""
    one.submit(ticket('a'), NOW)
    (sent,) = one.set_peer('p', 'x', 1, 0, NOW)
    assert isinstance(sent, dispatching.SendPeer)


def test_refused_request_waits_here(one: dispatching.Dispatcher) -> None:
    """A stale advertisement must cost no request and no retry."""
    one.set_limits('p', {'a': 1}, NOW)
    one.submit(ticket('local'), NOW)
    one.set_peer('p', 'x', 1, 0)
    one.submit(ticket('r'), NOW)
    assert one.finished('r', PEER_FULL, NOW) == []
    effects = one.finished('local', OK, NOW)
    assert isinstance(effects[-1], dispatching.SendLocal)


def test_moved_upstream_keeps_its_count(one: dispatching.Dispatcher) -> None:
    """A move between pools must not free slots that are in use."""
    one.set_pool('q', 16)
    one.set_limits('p', {'a': 2}, NOW)
    one.submit(ticket('r'), NOW)
    one.set_limits('p', {}, NOW)
    one.set_limits('q', {'a': 2}, NOW)
    assert one.pools['q'].free == 1
    one.finished('r', OK, NOW)
    assert one.pools['q'].free == 2


def test_removed_pool_ends_its_requests(one: dispatching.Dispatcher) -> None:
    """A request in a removed pool must not wait for ever."""
    one.set_limits('p', {'a': 1}, NOW)
    one.submit(ticket('sent'), NOW)
    one.submit(ticket('waits'), NOW)
    (refused,) = one.remove_pool('p', NOW)
    assert isinstance(refused, dispatching.Fail)
    assert isinstance(one.submit(ticket('new'), NOW)[0], dispatching.Fail)
    (done,) = one.finished('sent', OK, NOW)
    assert isinstance(done, dispatching.Finish)
    one.tick(NOW)
    assert not one.pools


def test_batch_leaves_room_for_services(one: dispatching.Dispatcher) -> None:
    """Batch tasks must not fill the slots that services need."""
    one.set_limits('p', {'a': 5, 'b': 5}, NOW)
    for number in range(5):
        one.submit(ticket(f'r{number}'), NOW)
    for now in range(NOW, NOW + 10_000, 50):
        one.tick(core.Millis(now))
    for number in range(3):
        one.finished(f'r{number}', OK, core.Millis(NOW + 10_000))
    got = [one.reserve(f'k{n}', 'p', 1, 'b', 0) for n in range(10)]
    assert 0 < sum(r is not None for r in got) < 8


def test_task_gets_its_share_in_a_flood(one: dispatching.Dispatcher) -> None:
    """Waiting services must leave batch tasks their share."""
    one.set_limits('p', {'a': 5, 'b': 5}, NOW)
    for number in range(10):
        one.submit(ticket(f'r{number}'), NOW)
    assert one.reserve('k', 'p', 1, 'b', 0) is None
    for now in range(NOW, NOW + 500, 50):
        one.submit(ticket(f'w{now}'), core.Millis(now))
        one.tick(core.Millis(now))
    effects = one.finished('r0', OK, core.Millis(NOW + 500))
    assert dispatching.RoomForTasks(pool='p') in effects
    assert one.reserve('k', 'p', 1, 'b', 0) is not None


def test_newest_task_is_evicted_for_services(
    one: dispatching.Dispatcher,
) -> None:
    """Eviction waits, and takes the task with the least work to lose."""
    one.set_limits('p', {'a': 4}, NOW)
    for now in range(0, 10_000, 50):
        one.tick(core.Millis(now))
    for number in range(4):
        at = core.Millis(10_000 + 5_000 * number)
        one.tick(at)
        assert one.reserve(f'k{number}', 'p', 1, f'b{number}', 0) is not None
    begin = 60_000
    one.tick(core.Millis(begin))
    late = {'deadline': begin + 9_000}
    one.submit(ticket('r', **late), core.Millis(begin))
    evicted = []
    for now in range(begin, begin + 2_000, 50):
        found = [
            (now, effect.key)
            for effect in one.tick(core.Millis(now))
            if isinstance(effect, dispatching.Evict)
        ]
        evicted += found
    assert [key for _, key in evicted] == ['k3']
    assert evicted[0][0] >= begin + 500


def test_impossible_task_has_a_reason(one: dispatching.Dispatcher) -> None:
    """A job that can never run must be told so."""
    one.set_limits('p', {'a': 4}, NOW)
    assert not one.never_fits('p', 4)
    assert '5 slots' in one.never_fits('p', 5)
    assert 'no pool' in one.never_fits('q', 1)


def test_unknown_team_runs_one_task(one: dispatching.Dispatcher) -> None:
    """A wave of unknown tasks must not slow services unseen."""
    one.set_limits('p', {'a': 8}, NOW)
    at = range(0, 8_000, 50)
    starts = []
    for now in at:
        one.tick(core.Millis(now))
        if one.reserve(f'k{now}', 'p', 1, 'new', 0) is not None:
            starts.append(now)
    assert starts[1] - starts[0] >= 5_000


def test_noisy_team_is_throttled(one: dispatching.Dispatcher) -> None:
    """A task that slows services is throttled, not evicted."""
    one.set_limits('p', {'a': 4}, NOW)
    one.adopt_reservation('k', 'a', 1, 'noisy', 0)
    effects = []
    for number in range(5):
        usage = interference.UsageReport(
            address='a',
            measured_at=NOW,
            slowdown=1.6,
            services=10,
            residents={'k': 'noisy'},
        )
        now = core.Millis(NOW + 1_000 * number)
        effects += one.report_usage(usage, now)
    assert effects == [dispatching.Throttle(key='k', is_on=True)]
