"""Test when a daemon claims the cell."""

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
        renewal = ownership.Renewal(epoch=3, count=now, is_settled=True)
        election.on_renewal(renewal, now)
        assert election.claim_reason(now + 900) is None


def test_earlier_incarnation_is_replaced_at_once(election):
    # Guards against a wait for an owner whose process has been restarted.
    former = ownership.Owner(instance='a', incarnation='w', epoch=3)
    election.on_owner(former, 0)
    reason = election.claim_reason(1)
    assert reason is ownership.ClaimReason.SAME_INSTANCE


@pytest.mark.parametrize('reason', list(ownership.ClaimReason))
def test_only_a_claim_from_a_silent_owner_depends_on_the_renewal(reason):
    # Guards against a late renewal of an ended process that blocks the claim
    # of its successor.
    expected = reason is ownership.ClaimReason.SILENT
    assert reason.depends_on_renewal is expected


@pytest.mark.parametrize(
    ('reason', 'is_settled', 'expected'),
    [
        (ownership.ClaimReason.RELEASED, True, 6_820),
        (ownership.ClaimReason.SAME_INSTANCE, True, 6_820),
        # The owner before the last one may be disconnected and still act.
        (ownership.ClaimReason.RELEASED, False, 16_820),
        (ownership.ClaimReason.SILENT, True, 16_820),
        (ownership.ClaimReason.NO_OWNER, True, 0),
    ],
)
def test_wait_for_tasks_of_former_owners(reason, is_settled, expected):
    # Guards against a wait that ends while a former owner may still extend
    # leases.
    former = ownership.Renewal(epoch=1, count=1, is_settled=is_settled)
    assert ownership.takeover_wait_ms(reason, former, 6_000) == expected
