"""Tests of ids of workers that two processes claim."""

import pytest

from oriolestand_policy import scheduling


def report(harness, start_ms, clock_ms, sent_ms):
    """Apply a report of w0 to a poll that was sent at a time."""
    harness.scheduler.on_worker_report(
        'w0',
        scheduling.WorkerReport(
            clock_ms=clock_ms, process_start_ms=start_ms, running=(), ended=()
        ),
        sent_ms,
        harness.now,
    )


@pytest.mark.parametrize('is_late', [True, False])
def test_late_report_of_a_former_process_claims_no_id(harness, is_late):
    # Guards against a worker that gets no tasks after a restart, as a report
    # of the process before was on its way.
    harness.now += 1_000
    report(harness, 1, 900_000, harness.now)
    harness.now += 500
    report(harness, 2, 100, harness.now)
    harness.now += 200
    report(harness, 2, 300, harness.now)
    assert not harness.scheduler.workers['w0'].is_in_doubt
    harness.now += 200
    sent_ms = harness.now - 250 if is_late else harness.now
    report(harness, 1, 900_900, sent_ms)
    assert harness.scheduler.workers['w0'].is_in_doubt is not is_late
