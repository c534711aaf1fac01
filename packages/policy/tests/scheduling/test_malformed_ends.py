"""Tests of ends of runs that could be read only in part."""

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


def test_end_of_an_unknown_kind_releases_the_task(harness, make, started):
    # The run has ended. It counts neither as done nor as failed, and the task
    # resumes from the checkpoint of the end.
    end = make.end(started, 'unknown', checkpoint='c1')
    assert harness.poll(started.worker, ended=[end]) == {'j'}
    starts, _ = harness.decide()
    assert [(s.key, s.checkpoint) for s in starts] == [(started.key, 'c1')]
    task = harness.scheduler.jobs['j'].tasks[0][0][0]
    assert not task.is_done
    assert not task.failed_runs


def test_done_end_without_a_run_number(harness, make, started):
    # Guards against a second start of a task that is done.
    end = scheduling.EndReport(
        sequence=1,
        key=started.key,
        number=0,
        kind=scheduling.EndKind.DONE,
        checkpoint='',
    )
    assert harness.poll(started.worker, ended=[end]) == {'j'}
    assert harness.decide()[0] == []
    for _ in range(3):
        harness.now += 300
        harness.poll(started.worker)
        assert harness.decide()[0] == []
    assert not harness.scheduler.workers[started.worker].runs
