"""Tests of the reports on why tasks wait."""

import dataclasses

from oriolestand_policy import scheduling

STEP = scheduling.StepSpec(count=1, cpu=4_000)
ALL_KNOWN = scheduling.FormerRuns()


def waits_of(harness, former_runs=ALL_KNOWN):
    """Run a round; return the values of its reports on waiting tasks."""
    harness.scheduler.decide(harness.now, 0, former_runs)
    return [
        effect.values
        for effect in harness.scheduler.take_effects()
        if isinstance(effect, scheduling.LogEvent)
        and effect.event == 'task_waits'
    ]


def fill(harness, cpu):
    """Start one task on each worker."""
    spec = scheduling.StepSpec(count=2, cpu=cpu, max_per_worker=1)
    harness.add('first', spec)
    starts, _ = harness.decide()
    for start in starts:
        harness.answer(start)
    return starts


def poll_all(harness, starts, percent):
    """Report the runs of all workers with their progress."""
    for start in starts:
        report = scheduling.RunReport(
            key=start.key, number=start.run, checkpoint='', percent=percent
        )
        harness.poll(start.worker, running=[report])


def test_report_tells_fragmented_capacity_from_excluded_workers(harness):
    # An operator must be able to tell whether a task waits for capacity that
    # is free in pieces or for workers that may not be used.
    starts = fill(harness, 7_000)
    harness.add('waiting', STEP)
    assert waits_of(harness) == []
    harness.now += 2_000
    poll_all(harness, starts, 10)
    (report,) = waits_of(harness)
    assert report['waited_ms'] == 2_000
    assert report['workers'] == {'cpu': 2}
    assert report['largest_free_cpu'] == 3_000
    assert report['free_cpu'] == 6_000
    harness.scheduler.workers['w0'].avoid_until_ms = harness.now + 10_000
    harness.now += 1_000
    poll_all(harness, starts, 20)
    (report,) = waits_of(harness)
    assert report['workers'] == {'cpu': 1, 'avoided': 1}
    assert report['free_cpu'] == report['excluded_free_cpu'] == 3_000


def test_report_tells_capacity_of_runs_that_do_not_settle(harness):
    # Capacity that is held by unanswered orders must show in the report.
    harness.add('first', scheduling.StepSpec(count=1, cpu=7_000))
    harness.decide()
    harness.scheduler.workers['w1'].avoid_until_ms = harness.now + 10_000
    harness.add('waiting', STEP)
    harness.now += 2_000
    harness.poll('w0')
    harness.poll('w1')
    (report,) = waits_of(harness)
    assert report['settling_cpu'] == 7_000


def test_reports_are_limited_in_number(harness):
    # A long queue must not flood the log.
    fill(harness, 10_000)
    for number in range(20):
        harness.add(f'j{number}', STEP)
    harness.now += 2_000
    assert len(waits_of(harness)) == 1
    harness.now += 100
    assert waits_of(harness) == []


def test_report_tells_tasks_that_may_run_elsewhere(harness):
    # A task that waits for workers of a former owner must not look like one
    # that placement passes over: both have workers without an obstacle.
    spec = scheduling.JobSpec(id='a', route='r', payload='', steps=(STEP,))
    harness.scheduler.add_job(spec, harness.now, needs_probe=True)
    missing = scheduling.FormerRuns(worker_ids=frozenset({'left'}))
    harness.now += 2_000
    for worker in harness.infos:
        harness.poll(worker)
    (report,) = waits_of(harness, missing)
    assert report['workers'] == {'none': 2}
    assert report['may_run_elsewhere']


def test_report_tells_a_service_task_that_runs_nowhere(harness):
    # A service task whose record places it nowhere waits for no worker.
    step = scheduling.StepSpec(count=1, cpu=99_000, is_service=True)
    spec = scheduling.JobSpec(id='a', route='r', payload='', steps=(step,))
    missing = scheduling.FormerRuns(worker_ids=frozenset({'left'}))
    for job, placed in (('a', []), ('b', [[0, 0, 0, 'left', 7]])):
        harness.scheduler.add_job(
            dataclasses.replace(spec, id=job),
            harness.now,
            progress={'started': True, 'placed': placed},
            needs_probe=True,
        )
        harness.now += 2_000
        for worker in harness.infos:
            harness.poll(worker)
        (report,) = waits_of(harness, missing)
        assert report['may_run_elsewhere'] is bool(placed)
        harness.scheduler.cancel_job(job, harness.now)
        harness.scheduler.take_effects()
