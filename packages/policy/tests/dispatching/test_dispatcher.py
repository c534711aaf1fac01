"""Test individual decisions of the dispatcher."""

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
def dispatcher() -> dispatching.Dispatcher:
    dispatcher = dispatching.Dispatcher(
        placement.TwoChoicesPlacement(random.Random(3)), admission.FairQueue
    )
    dispatcher.set_pool('p', 16)
    return dispatcher


def warm_up(dispatcher: dispatching.Dispatcher, count: int = 20) -> None:
    """Fill the retry budget and record successes of the upstreams."""
    for number in range(count):
        dispatcher.submit(ticket(f'warm{number}'), NOW)
        dispatcher.attempt_finished(f'warm{number}', OK, NOW)


def test_retry_goes_to_another_upstream(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A retry must not take the slot that the failed attempt holds."""
    dispatcher.set_limits('p', {'a': 1, 'b': 1}, NOW)
    warm_up(dispatcher)
    (sent,) = dispatcher.submit(ticket('r'), NOW)
    assert isinstance(sent, dispatching.SendToUpstream)
    (retried,) = dispatcher.attempt_finished('r', NOT_RUN, NOW)
    assert isinstance(retried, dispatching.SendToUpstream)
    assert retried.upstream != sent.upstream


def test_retry_is_queued_ahead_of_later_requests(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A retry without a free slot must be served before later requests."""
    dispatcher.set_limits('p', {'a': 1}, NOW)
    warm_up(dispatcher)
    dispatcher.submit(ticket('first'), NOW)
    dispatcher.submit(ticket('second'), NOW)
    held = dispatching.Outcome(
        verdict=core.Verdict.DID_NOT_RUN,
        error=core.OriolestandError('refused'),
        slot_held_until=core.Millis(NOW + 100),
    )
    assert dispatcher.attempt_finished('first', held, NOW) == []
    (sent,) = dispatcher.tick(core.Millis(NOW + 100))
    assert isinstance(sent, dispatching.SendToUpstream)
    assert sent.ticket.id == 'first'


def test_retries_stay_within_a_tenth_of_requests(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """Retries must not multiply the load when everything is rejected."""
    dispatcher.set_limits('p', {f'u{n}': 8 for n in range(20)}, NOW)
    rejected = dataclasses.replace(NOT_RUN, upstream_failed=False)
    sent = 0
    for number in range(500):
        effects = dispatcher.submit(ticket(f'r{number}'), NOW)
        while effects and isinstance(effects[0], dispatching.SendToUpstream):
            sent += 1
            effects = dispatcher.attempt_finished(f'r{number}', rejected, NOW)
    assert 500 < sent <= 551, 'a tenth, and the one saved at the start'


def test_ended_requests_release_advertised_slots(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A peer whose requests have ended must be used again."""
    dispatcher.set_peer('p', 'x', 1, 0)
    for name in ('a', 'b'):
        (sent,) = dispatcher.submit(ticket(name), NOW)
        assert isinstance(sent, dispatching.ForwardToPeer)
        dispatcher.attempt_finished(name, OK, NOW)


def test_request_sent_before_the_last_advertisement_is_not_counted(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """An advertisement already accounts for requests sent before it."""
    dispatcher.set_peer('p', 'x', 2, 0)
    dispatcher.submit(ticket('a'), NOW)
    dispatcher.set_peer('p', 'x', 1, 0)
    dispatcher.attempt_finished('a', OK, NOW)
    (load,) = dispatcher.pools['p'].peers.values()
    assert load.free == 1


def test_waiting_request_uses_a_new_peer(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A request must not stay queued while a peer has free slots."""
    dispatcher.submit(ticket('a'), NOW)
    (sent,) = dispatcher.set_peer('p', 'x', 1, 0, NOW)
    assert isinstance(sent, dispatching.ForwardToPeer)


def test_request_refused_by_a_peer_is_queued(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A stale advertisement must neither fail a request nor cost a retry."""
    dispatcher.set_limits('p', {'a': 1}, NOW)
    dispatcher.submit(ticket('local'), NOW)
    dispatcher.set_peer('p', 'x', 1, 0)
    dispatcher.submit(ticket('r'), NOW)
    assert dispatcher.attempt_finished('r', PEER_FULL, NOW) == []
    effects = dispatcher.attempt_finished('local', OK, NOW)
    assert isinstance(effects[-1], dispatching.SendToUpstream)


def test_moved_upstream_keeps_its_slots_in_use(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A move between pools must not free slots that are in use."""
    dispatcher.set_pool('q', 16)
    dispatcher.set_limits('p', {'a': 2}, NOW)
    dispatcher.submit(ticket('r'), NOW)
    dispatcher.set_limits('p', {}, NOW)
    dispatcher.set_limits('q', {'a': 2}, NOW)
    assert dispatcher.pools['q'].free == 1
    dispatcher.attempt_finished('r', OK, NOW)
    assert dispatcher.pools['q'].free == 2


def test_removed_pool_ends_its_requests(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A request in a removed pool must not stay queued forever."""
    dispatcher.set_limits('p', {'a': 1}, NOW)
    dispatcher.submit(ticket('sent'), NOW)
    dispatcher.submit(ticket('waits'), NOW)
    (refused,) = dispatcher.remove_pool('p', NOW)
    assert isinstance(refused, dispatching.Fail)
    assert isinstance(
        dispatcher.submit(ticket('new'), NOW)[0], dispatching.Fail
    )
    (finished,) = dispatcher.attempt_finished('sent', OK, NOW)
    assert isinstance(finished, dispatching.Finish)
    dispatcher.tick(NOW)
    assert not dispatcher.pools


def test_batch_leaves_slots_for_services(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """Batch tasks must not take the slots that services need."""
    dispatcher.set_limits('p', {'a': 5, 'b': 5}, NOW)
    for number in range(5):
        dispatcher.submit(ticket(f'r{number}'), NOW)
    for now in range(NOW, NOW + 10_000, 50):
        dispatcher.tick(core.Millis(now))
    for number in range(3):
        dispatcher.attempt_finished(
            f'r{number}', OK, core.Millis(NOW + 10_000)
        )
    reservations = [
        dispatcher.reserve(f'k{n}', 'p', 1, 'b', 0) for n in range(10)
    ]
    assert 0 < sum(r is not None for r in reservations) < 8


def test_batch_gets_its_share_under_service_load(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """Queued service requests must leave batch tasks their share."""
    dispatcher.set_limits('p', {'a': 5, 'b': 5}, NOW)
    for number in range(10):
        dispatcher.submit(ticket(f'r{number}'), NOW)
    assert dispatcher.reserve('k', 'p', 1, 'b', 0) is None
    for now in range(NOW, NOW + 500, 50):
        dispatcher.submit(ticket(f'w{now}'), core.Millis(now))
        dispatcher.tick(core.Millis(now))
    effects = dispatcher.attempt_finished('r0', OK, core.Millis(NOW + 500))
    assert dispatching.TaskSlotsAvailable(pool='p') in effects
    assert dispatcher.reserve('k', 'p', 1, 'b', 0) is not None


def test_newest_task_is_evicted_for_services(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """Eviction must be delayed and take the task with the least lost work."""
    dispatcher.set_limits('p', {'a': 4}, NOW)
    for now in range(0, 10_000, 50):
        dispatcher.tick(core.Millis(now))
    for number in range(4):
        at = core.Millis(10_000 + 5_000 * number)
        dispatcher.tick(at)
        assert (
            dispatcher.reserve(f'k{number}', 'p', 1, f'b{number}', 0)
            is not None
        )
    begin = 60_000
    dispatcher.tick(core.Millis(begin))
    late = {'deadline': begin + 9_000}
    dispatcher.submit(ticket('r', **late), core.Millis(begin))
    evicted = []
    for now in range(begin, begin + 2_000, 50):
        found = [
            (now, effect.key)
            for effect in dispatcher.tick(core.Millis(now))
            if isinstance(effect, dispatching.Evict)
        ]
        evicted += found
    assert [key for _, key in evicted] == ['k3']
    assert evicted[0][0] >= begin + 500


def test_unplaceable_task_has_a_reason(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """The reason why a task can never run must be reported."""
    dispatcher.set_limits('p', {'a': 4}, NOW)
    assert not dispatcher.unplaceable_reason('p', 4)
    assert '5 slots' in dispatcher.unplaceable_reason('p', 5)
    assert 'no pool' in dispatcher.unplaceable_reason('q', 1)


def test_unmeasured_team_runs_one_task(
    dispatcher: dispatching.Dispatcher,
) -> None:
    """A burst of unmeasured tasks must not slow services undetected."""
    dispatcher.set_limits('p', {'a': 8}, NOW)
    at = range(0, 8_000, 50)
    starts = []
    for now in at:
        dispatcher.tick(core.Millis(now))
        if dispatcher.reserve(f'k{now}', 'p', 1, 'new', 0) is not None:
            starts.append(now)
    assert starts[1] - starts[0] >= 5_000


def test_noisy_team_is_throttled(dispatcher: dispatching.Dispatcher) -> None:
    """A task that slows services must be throttled, not evicted."""
    dispatcher.set_limits('p', {'a': 4}, NOW)
    dispatcher.adopt_reservation('k', 'a', 1, 'noisy', 0)
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
        effects += dispatcher.report_usage(usage, now)
    assert effects == [dispatching.Throttle(key='k', is_on=True)]
