"""Tests of the admission of jobs while the owner is overloaded."""

from oriolestand_policy.ownership import _admission


def test_jobs_are_accepted_without_a_report():
    assert not _admission.OwnerAdmission().is_closed(10_000)


def test_jobs_are_refused_until_the_owner_has_caught_up():
    # Without two limits, admission would change with each renewal.
    admission = _admission.OwnerAdmission()
    reports = [
        (_admission.REFUSE_DELAY_MS - 1, False),
        (_admission.REFUSE_DELAY_MS, True),
        (_admission.ACCEPT_DELAY_MS, True),
        (_admission.ACCEPT_DELAY_MS - 1, False),
        (_admission.ACCEPT_DELAY_MS, False),
    ]
    for now, (delay_ms, is_closed) in enumerate(reports):
        admission.on_report(delay_ms, now)
        assert admission.is_closed(now) is is_closed


def test_old_report_does_not_close_admission():
    # The owner that reported the delay may be gone.
    admission = _admission.OwnerAdmission()
    admission.on_report(9_000, now_ms=1_000)
    assert admission.is_closed(1_000 + _admission.REPORT_AGE_MS)
    assert not admission.is_closed(1_001 + _admission.REPORT_AGE_MS)


def test_refused_callers_return_after_the_delay_of_the_owner():
    admission = _admission.OwnerAdmission()
    for delay_ms, after_s in ((1_500, 2), (2_000, 2), (60_000, 5), (0, 1)):
        admission.on_report(delay_ms, now_ms=0)
        assert admission.retry_after_s == after_s


def test_full_pool_refuses_until_a_report_says_otherwise():
    # Guards against refusals by an owner that may be gone.
    admission = _admission.OwnerAdmission()
    assert admission.full_pool_retry_s('p', 'job', 0) == 0
    admission.on_report(0, now_ms=1_000)
    admission.set_full_pools({'p': 1})
    last_ms = 1_000 + _admission.REPORT_AGE_MS
    assert admission.full_pool_retry_s('p', 'job', last_ms) == 1
    assert admission.full_pool_retry_s('q', 'job', last_ms) == 0
    assert admission.full_pool_retry_s('p', 'job', last_ms + 1) == 0
    admission.set_full_pools({})
    assert admission.full_pool_retry_s('p', 'job', last_ms) == 0


def test_callers_of_a_full_pool_are_spread():
    # Guards against refused callers that all return at once.
    admission = _admission.OwnerAdmission()
    admission.on_report(0, now_ms=0)
    admission.set_full_pools({'p': 4})
    found = {admission.full_pool_retry_s('p', f'{n:x}', 0) for n in range(64)}
    assert found == {1, 2, 3, 4}
