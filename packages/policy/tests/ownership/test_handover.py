"""Tests of when an owner gives its term up to a faster daemon."""

import pytest

from oriolestand_policy.ownership import _handover

SLOW_MS = _handover.GIVE_UP_DELAY_MS


def times_of_release(*, was_passed_on=False, delays_ms, interval_ms=500):
    """Return the times at which a release is due."""
    hand_over = _handover.HandOver(
        epoch=3, began_ms=0, was_passed_on=was_passed_on
    )
    hand_over.on_offer(_handover.Candidate(epoch=3, instance='other'))
    times_ms = (index * interval_ms for index in range(len(delays_ms)))
    return [
        now
        for now, delay_ms in zip(times_ms, delays_ms, strict=True)
        if hand_over.is_due(delay_ms, now)
    ]


def test_owner_that_keeps_up_keeps_its_term():
    assert not times_of_release(delays_ms=[SLOW_MS - 1] * 400)


@pytest.mark.parametrize(
    ('was_passed_on', 'shortest_ms'),
    [
        (False, _handover.MIN_TERM_MS),
        (True, _handover.MIN_PASSED_TERM_MS),
    ],
)
def test_term_is_not_passed_on_within_its_bound(was_passed_on, shortest_ms):
    # Daemons that are all slow would pass the cell on and on.
    due_ms = times_of_release(
        was_passed_on=was_passed_on, delays_ms=[2 * SLOW_MS] * 200
    )
    assert due_ms[0] == shortest_ms


def test_short_delays_do_not_end_a_term():
    # A load of the cell or one large round is no reason to pass it on.
    slow_count = _handover.GIVE_UP_AFTER_MS // 500
    delays_ms = ([SLOW_MS] * slow_count + [10]) * 20
    assert not times_of_release(delays_ms=delays_ms)


@pytest.mark.parametrize('offered_epoch', [None, 2, 4])
def test_term_without_a_candidate_is_kept(offered_epoch):
    # Runs lapse while a cell has no owner.
    hand_over = _handover.HandOver(epoch=3, began_ms=0, was_passed_on=False)
    if offered_epoch is not None:
        hand_over.on_offer(
            _handover.Candidate(epoch=offered_epoch, instance='other')
        )
    assert not any(
        hand_over.is_due(SLOW_MS, now) for now in range(0, 90_000, 500)
    )


def is_offered(candidacy, *, owner_delay_ms=SLOW_MS, own_delay_ms=0):
    return any(
        candidacy.is_due(
            epoch=3,
            owner_delay_ms=owner_delay_ms,
            own_delay_ms=own_delay_ms,
            wait_ms=200,
            now_ms=now,
        )
        for now in range(0, 10_000, 100)
    )


def test_only_a_daemon_with_time_offers_to_take_a_slow_cell():
    too_slow_ms = _handover.MAX_CANDIDATE_DELAY_MS + 1
    assert is_offered(_handover.Candidacy())
    assert not is_offered(_handover.Candidacy(), own_delay_ms=too_slow_ms)
    assert not is_offered(_handover.Candidacy(), owner_delay_ms=SLOW_MS - 1)


def test_an_epoch_gets_one_offer():
    # Each offer is a write to the store, and all daemons see the same owner.
    candidacy = _handover.Candidacy()
    candidacy.on_offer(_handover.Candidate(epoch=3, instance='other'))
    assert not is_offered(candidacy)
