"""Tests of leases while a report of their worker arrives."""

import pytest

from oriolestand_policy import scheduling

ONE_TASK = scheduling.StepSpec(count=1, cpu=1_000)
LEASE_OVER_MS = 10_000


@pytest.fixture
def silent(harness, make):
    """Return the start of a task on a worker whose lease is over."""
    harness.add('j', ONE_TASK)
    ((start,), _) = harness.decide()
    harness.answer(start)
    harness.poll(start.worker, running=[make.report(start)])
    harness.now += LEASE_OVER_MS
    (other,) = set(harness.infos) - {start.worker}
    harness.poll(other)
    return start


def test_lease_is_not_judged_before_the_rest_of_a_report(
    harness, make, silent
):
    # Guards against a second start of a task whose end is in a report of over
    # 64 KB, which takes more than one pass of the reactor to read.
    harness.scheduler.on_report_begun(silent.worker)
    assert harness.decide()[0] == []
    harness.poll(silent.worker, ended=[make.end(silent, 'done')])
    assert harness.decide()[0] == []
    assert harness.scheduler.jobs['j'].find(silent.key).is_done


def test_worker_that_never_sends_the_rest_is_waited_for_once(harness, silent):
    # Guards against a task that waits for a worker which begins report after
    # report.
    harness.scheduler.on_report_begun(silent.worker)
    assert harness.decide()[0] == []
    harness.scheduler.on_poll_failed(silent.worker, harness.now)
    harness.scheduler.on_report_begun(silent.worker)
    assert [s.key for s in harness.decide()[0]] == [silent.key]


def test_lease_of_a_silent_worker_is_judged(harness, silent):
    # Guards against a wait without a report that has begun to arrive.
    assert [s.key for s in harness.decide()[0]] == [silent.key]
