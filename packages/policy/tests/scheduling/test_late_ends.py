"""Tests that a task whose end a worker has listed does not run again."""

import dataclasses

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


def task_of(harness):
    """Return the task of the job."""
    return harness.scheduler.jobs['j'].tasks[0][0][0]


def test_run_whose_end_is_not_listed_yet_is_not_missing(
    harness, make, started
):
    # A worker lists a limited number of ends at a time. While they wait for
    # their records, a run that ended after them is listed nowhere; its task
    # was started again although it had ended as done.
    for _ in range(4):
        harness.now += 300
        harness.scheduler.on_worker_report(
            started.worker,
            scheduling.WorkerReport(
                clock_ms=harness.now,
                process_start_ms=1,
                running=(),
                ended=(),
                has_more_ends=True,
            ),
            harness.now,
            harness.now,
        )
        assert harness.decide() == ([], [])
    harness.poll(started.worker, ended=[make.end(started, 'done', 501)])
    assert task_of(harness).is_done


def test_missing_run_is_released_once_all_ends_are_listed(harness, started):
    # A run that the worker has lost must not occupy its task forever.
    for _ in range(2):
        harness.now += 300
        harness.poll(started.worker)
    starts, _ = harness.decide()
    assert [s.key for s in starts] == [started.key]


def restart(harness, worker):
    """Register a later incarnation of a worker."""
    harness.infos[worker] = dataclasses.replace(
        harness.infos[worker], process_start_ms=2
    )
    harness.scheduler.set_workers(harness.infos)


def replace(harness, worker):
    """Remove a worker at whose address another one answers."""
    harness.scheduler.remove_worker(worker, 'replaced')


@pytest.mark.parametrize('lose', [restart, replace])
def test_done_end_of_a_former_incarnation_is_applied(
    harness, make, started, lose
):
    # The end of a run stays valid when the worker is gone or has restarted
    # while the report was on its way. The report was ignored, and the task
    # started again.
    lose(harness, started.worker)
    assert harness.poll(started.worker, ended=[make.end(started, 'done')]) == {
        'j'
    }
    assert task_of(harness).is_done
    assert harness.decide() == ([], [])


def test_done_end_of_a_former_incarnation_stops_the_next_run(
    harness, make, started
):
    # The task may have started elsewhere meanwhile.
    replace(harness, started.worker)
    starts, _ = harness.decide()
    harness.answer(starts[0])
    assert starts[0].worker != started.worker
    harness.poll(started.worker, ended=[make.end(started, 'done')])
    _, stops = harness.effects()
    assert [(s.worker, s.run) for s in stops] == [
        (starts[0].worker, starts[0].run)
    ]


@pytest.mark.parametrize('how', ['stopped', 'failed', 'lapsed'])
def test_other_ends_of_a_former_incarnation_are_ignored(
    harness, make, started, how
):
    # They were released with the worker and must not release a later run.
    replace(harness, started.worker)
    starts, _ = harness.decide()
    harness.answer(starts[0])
    harness.poll(started.worker, ended=[make.end(started, how)])
    assert task_of(harness).run == starts[0].run
    assert harness.decide() == ([], [])


def list_end_before_the_job(harness, make, how):
    """List the end of a run of a job that the owner does not know yet."""
    start = scheduling.StartTask(
        worker='w0',
        key=scheduling.TaskKey('j', 0, 0, 0),
        run=7,
        payload='x',
        checkpoint='',
        needs_record=False,
    )
    harness.poll('w0', ended=[make.end(start, how)])
    harness.add('j', ONE_TASK)


def test_end_that_is_listed_before_its_job_is_known(harness, make):
    # A former owner started the task. The end was acknowledged and dropped,
    # and the task started again when the job arrived.
    list_end_before_the_job(harness, make, 'done')
    assert harness.decide() == ([], [])
    assert harness.scheduler.jobs['j'].outcome is not None


def test_failed_end_that_is_listed_before_its_job_is_known(harness, make):
    # Guards against a task that counts as done without a run that is.
    list_end_before_the_job(harness, make, 'failed')
    starts, _ = harness.decide()
    assert len(starts) == 1
