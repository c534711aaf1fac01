"""Test when a daemon claims the cell."""

import itertools

import pytest

from oriolestand_policy import ownership

OTHER = ownership.Owner(instance='b', incarnation='1', epoch=3)


@pytest.fixture
def election():
    """Return the election of daemon a, whose claims wait 100 ms."""
    return ownership.Election('a', 'x', 100)


def test_cell_without_owner_is_claimed_after_the_delay(election):
    # Guards against all daemons claiming at the same time.
    election.on_store_contact(True, 1_000)
    assert election.claim_reason(1_050) is None
    reason = election.claim_reason(1_100)
    assert reason is ownership.ClaimReason.NO_OWNER


def test_missing_renewals_count_only_while_the_store_answers(election):
    # Guards against a claim after an outage during which the owner could not
    # renew.
    election.on_owner(OTHER, 0)
    election.on_store_contact(False, 500)
    election.on_store_contact(True, 9_000)
    assert election.claim_reason(9_100) is None
    reason = election.claim_reason(9_000 + 2_700)
    assert reason is ownership.ClaimReason.SILENT


def test_renewals_keep_the_owner(election):
    # Guards against a claim while the owner renews.
    election.on_store_contact(True, 0)
    election.on_owner(OTHER, 0)
    for now in range(0, 20_000, 1_000):
        renewal = ownership.Renewal(epoch=3, count=now, unsettled_ms=0)
        election.on_renewal(renewal, now)
        assert election.claim_reason(now + 900) is None


def test_earlier_incarnation_is_replaced_at_once(election):
    # Guards against a wait for an owner whose process has been restarted.
    former = ownership.Owner(instance='a', incarnation='w', epoch=3)
    election.on_owner(former, 0)
    reason = election.claim_reason(1)
    assert reason is ownership.ClaimReason.SAME_INSTANCE


def test_owner_without_a_term_claims_again_at_once(election):
    # Guards against a cell without an acting owner after the response to a
    # claim was lost.
    named = ownership.Owner(instance='a', incarnation='x', epoch=3)
    election.on_owner(named, 0)
    assert election.claim_reason(1) is ownership.ClaimReason.INACTIVE


def test_claims_are_repeated_more_and_more_rarely(election):
    # Guards against a hot loop of claims. The longest pause lets daemons that
    # claim from a silent owner go first.
    named = ownership.Owner(instance='a', incarnation='x', epoch=3)
    election.on_owner(named, 0)
    times = []
    for now in range(1, 30_000):
        if election.claim_reason(now) is not None:
            election.on_claim(now)
            times.append(now)
    pauses = [later - time for time, later in itertools.pairwise(times)]
    assert pauses == sorted(pauses)
    assert pauses[0] <= 300
    assert 4_000 <= pauses[-1] <= 5_000


def test_first_claim_after_a_long_time_is_not_delayed(election):
    # Guards against a slow takeover because of claims long ago.
    named = ownership.Owner(instance='a', incarnation='x', epoch=3)
    election.on_owner(named, 0)
    for now in (1, 1_000, 2_000, 4_000):
        election.on_claim(now)
    assert election.claim_reason(8_000) is None
    election.on_claim(20_000)
    assert election.claim_reason(20_300) is ownership.ClaimReason.INACTIVE


def test_claims_before_another_owner_do_not_delay(election):
    # Guards against a slow takeover by a daemon that lost earlier elections.
    for now in (1, 1_000, 2_000, 4_000):
        election.on_claim(now)
    election.on_owner(OTHER, 4_100)
    released = ownership.Owner(instance='', incarnation='', epoch=3)
    election.on_owner(released, 4_200)
    assert election.claim_reason(4_300) is ownership.ClaimReason.RELEASED


def test_renewal_by_an_earlier_owner_says_nothing_of_the_owner(election):
    # Guards against a short wait for the owner before an unanswered claim,
    # which may still act although its own renewal was settled.
    renewal = ownership.Renewal(epoch=2, count=9, unsettled_ms=0)
    election.on_renewal(renewal, 0)
    election.on_owner(OTHER, 0)
    assert election.renewal_of_owner is None
    renewal = ownership.Renewal(epoch=3, count=0, unsettled_ms=10_000)
    election.on_renewal(renewal, 0)
    assert election.renewal_of_owner == renewal


@pytest.mark.parametrize('reason', list(ownership.ClaimReason))
def test_only_a_claim_from_a_silent_owner_depends_on_the_renewal(reason):
    # Guards against a late renewal of an ended process that blocks the claim
    # of its successor.
    expected = reason is ownership.ClaimReason.SILENT
    assert reason.depends_on_renewal is expected


@pytest.mark.parametrize(
    ('reason', 'unsettled_ms', 'expected'),
    [
        (ownership.ClaimReason.RELEASED, 0, 6_820),
        (ownership.ClaimReason.SAME_INSTANCE, 0, 6_820),
        # The owner before the last one may be disconnected and still act.
        (ownership.ClaimReason.RELEASED, 10_000, 16_820),
        (ownership.ClaimReason.RELEASED, 2_500, 9_320),
        (ownership.ClaimReason.SILENT, 0, 16_820),
        (ownership.ClaimReason.INACTIVE, 0, 6_820),
        # The owner before an unanswered claim.
        (ownership.ClaimReason.INACTIVE, 10_000, 16_820),
        (ownership.ClaimReason.NO_OWNER, 0, 0),
    ],
)
def test_wait_for_tasks_of_former_owners(reason, unsettled_ms, expected):
    # Guards against a wait that ends while a former owner may still extend
    # leases.
    former = ownership.Renewal(epoch=1, count=1, unsettled_ms=unsettled_ms)
    assert ownership.takeover_wait_ms(reason, former, 6_000) == expected


@pytest.mark.parametrize(
    ('reason', 'former_unsettled_ms', 'expected'),
    [
        (ownership.ClaimReason.NO_OWNER, None, 0),
        (ownership.ClaimReason.RELEASED, 0, 0),
        (ownership.ClaimReason.SAME_INSTANCE, 0, 0),
        (ownership.ClaimReason.INACTIVE, 0, 0),
        (ownership.ClaimReason.SILENT, 0, ownership.MAX_UNRENEWED_MS),
        # The owner before an ended one may be disconnected and still act, for
        # as long as it could when the ended one sent its last renewal.
        (ownership.ClaimReason.RELEASED, 10_000, ownership.MAX_UNRENEWED_MS),
        (
            ownership.ClaimReason.SAME_INSTANCE,
            10_000,
            ownership.MAX_UNRENEWED_MS,
        ),
        (ownership.ClaimReason.INACTIVE, 10_000, ownership.MAX_UNRENEWED_MS),
        (ownership.ClaimReason.SILENT, 10_000, ownership.MAX_UNRENEWED_MS),
        (ownership.ClaimReason.RELEASED, 2_500, 2_500),
        (ownership.ClaimReason.SAME_INSTANCE, 1, 1),
        (ownership.ClaimReason.INACTIVE, 9_999, 9_999),
        (ownership.ClaimReason.SILENT, 2_500, ownership.MAX_UNRENEWED_MS),
        # No owner can act for longer.
        (ownership.ClaimReason.RELEASED, 10**15, ownership.MAX_UNRENEWED_MS),
        # The renewals of the former owner are not known.
        (ownership.ClaimReason.RELEASED, None, ownership.MAX_UNRENEWED_MS),
        (ownership.ClaimReason.INACTIVE, None, ownership.MAX_UNRENEWED_MS),
    ],
)
def test_renewal_is_settled_once_no_former_owner_can_act(
    reason, former_unsettled_ms, expected
):
    # Guards against a short wait of a successor while a former owner may
    # still act, and against a long one after a chain of releases or of short
    # terms after a silent owner.
    former = None
    if former_unsettled_ms is not None:
        former = ownership.Renewal(
            epoch=3, count=1, unsettled_ms=former_unsettled_ms
        )
    assert ownership.unsettled_ms(reason, former) == expected


def test_claim_with_an_old_view_of_the_renewal_is_unsettled(election):
    # Guards against a claim that takes the renewal of an earlier owner, or
    # misses one, and counts as settled.
    released = ownership.Owner(instance='', incarnation='', epoch=3)
    election.on_owner(released, 0)
    reason = ownership.ClaimReason.RELEASED
    for renewal in (
        None,
        ownership.Renewal(epoch=2, count=9, unsettled_ms=0),
        ownership.Renewal(
            epoch=3, count=0, unsettled_ms=ownership.MAX_UNRENEWED_MS
        ),
    ):
        election.on_renewal(renewal, 0)
        former = election.renewal_of_owner
        expected = ownership.MAX_UNRENEWED_MS
        assert ownership.unsettled_ms(reason, former) == expected


@pytest.mark.parametrize('store_latency_ms', [4, 80, None])
def test_slower_daemons_claim_later(store_latency_ms):
    # Guards against an owner with little processor time beside a faster
    # daemon, and against a takeover that a slow daemon delays for long.
    delays = [
        ownership.claim_delay_ms(
            jitter_ms=0,
            store_latency_ms=store_latency_ms,
            processors=processors,
        )
        for processors in (0.01, 0.3, 0.43, 1.07, 2.0, 2.15, 64.0)
    ]
    assert delays == sorted(delays, reverse=True)
    assert delays[1] > delays[2] > delays[3] > delays[4]
    assert delays[0] - delays[-1] <= 1_000


def test_far_daemons_claim_later():
    # Guards against an owner far from the store beside a near daemon. A
    # takeover by a far, slow daemon starts at most 1.5 s later than by
    # another.
    near, far, unknown = [
        ownership.claim_delay_ms(
            jitter_ms=0, store_latency_ms=latency_ms, processors=4.0
        )
        for latency_ms in (25, 26, None)
    ]
    assert near == 0
    assert far == unknown > 0
    longest_ms = ownership.claim_delay_ms(
        jitter_ms=0, store_latency_ms=None, processors=0.01
    )
    assert longest_ms <= 1_500


def test_daemon_that_cannot_load_the_cell_lets_others_claim(election):
    # Guards against a daemon that claims the cell again and again although it
    # cannot read it; another one claims after 3.7 s of silence.
    named = ownership.Owner(instance='a', incarnation='x', epoch=3)
    election.on_owner(named, 0)
    election.on_given_up(8_000)
    assert election.claim_reason(8_000 + 3_700) is None
    reason = election.claim_reason(8_000 + 4_800)
    assert reason is ownership.ClaimReason.INACTIVE


def test_wait_for_a_silent_owner_goes_on_between_two_owners(election):
    # Guards against a chain of terms shorter than the interval of renewals
    # that adds nothing to the wait, and against an age that counts from when
    # the owner row was received, which may be later or earlier.
    renewal = ownership.Renewal(epoch=3, count=1, unsettled_ms=9_000)
    election.on_renewal(renewal, 1_000)
    released = ownership.Owner(instance='', incarnation='', epoch=3)
    election.on_owner(released, 1_400)
    age_ms = election.renewal_age_ms(1_700)
    assert age_ms == 700
    reason = ownership.ClaimReason.RELEASED
    assert ownership.unsettled_ms(reason, renewal, age_ms) == 8_300
    assert ownership.takeover_wait_ms(reason, renewal, 6_000, age_ms) == 15_120
    assert ownership.unsettled_ms(reason, renewal, 9_001) == 0
    longest_ms = ownership.MAX_UNRENEWED_MS
    silent = ownership.ClaimReason.SILENT
    assert ownership.unsettled_ms(silent, renewal, age_ms) == longest_ms
    assert ownership.unsettled_ms(reason, None, age_ms) == longest_ms
