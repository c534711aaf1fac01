"""Tests of reports with runs that could be read only in part."""

import pytest

from oriolestand_policy import scheduling

ONE_TASK = scheduling.StepSpec(count=1, cpu=1_000)


@pytest.fixture
def started(harness):
    """Return the start of a task that runs on a worker."""
    harness.add('j', ONE_TASK)
    starts, _ = harness.decide()
    harness.answer(starts[0])
    return starts[0]


def poll_unreadable_run(harness, worker):
    """Apply a report of a worker with a run that could not be read."""
    harness.now += 300
    harness.scheduler.on_worker_report(
        worker,
        scheduling.WorkerReport(
            clock_ms=harness.now,
            process_start_ms=1,
            running=(),
            ended=(),
            unreadable_runs=1,
        ),
        harness.now,
        harness.now,
    )


def test_run_that_could_not_be_read_is_not_missing(harness, started):
    # The row was dropped, and the task started a second time while it ran.
    for _ in range(4):
        poll_unreadable_run(harness, started.worker)
        assert harness.decide() == ([], [])


def test_runs_of_a_former_owner_are_not_known_by_such_a_report(harness, make):
    # A new owner must not take the report as the list of all former runs.
    harness = make.Harness(workers=0)
    info = scheduling.WorkerInfo(
        id='w', pool='p', address='w:1', failure_domain='d', cpu=1, memory_mb=1
    )
    harness.scheduler.set_workers({'w': info})
    poll_unreadable_run(harness, 'w')
    assert not harness.scheduler.workers['w'].are_runs_known
    harness.poll('w')
    assert harness.scheduler.workers['w'].are_runs_known


def test_run_of_unknown_progress_is_not_stalled(harness, make, started):
    # A run whose progress could not be read looked as if it made none.
    for _ in range(20):
        harness.now += 300
        run = make.report(started, percent=scheduling.UNKNOWN_PERCENT)
        harness.poll(started.worker, running=[run])
        assert harness.decide() == ([], [])
