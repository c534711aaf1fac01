"""Tests of the ages of tasks that have not run, by route and reason."""

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _wait_ages

LARGE = scheduling.StepSpec(count=1, cpu=8_000)


def add(harness, job, route, step=LARGE):
    """Add a job of a route."""
    spec = scheduling.JobSpec(id=job, route=route, payload='', steps=(step,))
    harness.scheduler.add_job(spec, harness.now)


def wait(harness, time_ms):
    """Let time pass, and run a round."""
    harness.now += time_ms
    # Runs without progress would be stalled.
    percent = harness.now // 1_000
    for name, worker in harness.scheduler.workers.items():
        runs = [
            scheduling.RunReport(
                key=key, number=number, checkpoint='', percent=percent
            )
            for key, number in worker.runs
        ]
        harness.poll(name, runs)
    starts, _ = harness.decide()
    for start in starts:
        harness.answer(start)
    return starts


def test_oldest_task_of_each_route_is_told_with_its_obstacle(harness):
    # Guards against a wait on one route that those of others hide.
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='s', pool='p', max_attempts=2)]
    )
    add(harness, 'a', 'r')
    add(harness, 'b', 'r')
    wait(harness, 0)
    add(harness, 'c', 'r')
    wait(harness, 1_000)
    add(harness, 'd', 'r')
    label = scheduling.StepSpec(count=1, cpu=1, label='ssd')
    add(harness, 'e', 's', label)
    add(harness, 'f', 'unknown')
    assert harness.scheduler.oldest_not_run_ms(harness.now) == {}
    wait(harness, 2_000)
    assert harness.scheduler.oldest_not_run_ms(harness.now) == {
        ('r', 'cpu'): 3_000,
        ('s', 'label'): 2_000,
        ('unknown', 'no_route'): 2_000,
    }


def test_tasks_that_have_run_are_left_out(harness, make):
    # Guards against a moved or failed task that looks like one that nobody
    # ever started.
    add(harness, 'a', 'r')
    (start,) = wait(harness, 0)
    harness.poll(start.worker, ended=[make.end(start, 'failed')])
    for worker in harness.scheduler.workers.values():
        worker.backoff_until_ms = harness.now + 10_000
    wait(harness, 3_000)
    assert harness.scheduler.figures.oldest_ready_ms(harness.now)[
        scheduling.TaskKind.PLAIN
    ]
    assert harness.scheduler.oldest_not_run_ms(harness.now) == {}


def test_only_the_longest_waits_are_examined(harness):
    # Guards against a gauge that takes more time with each route.
    count = _wait_ages.MAX_EXAMINED_ROUTES + 2
    step = scheduling.StepSpec(count=1, cpu=99_000)
    names = [f'r{n}' for n in range(count)]
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name=name, pool='p') for name in names]
    )
    for name in names:
        harness.now += 10
        add(harness, name, name, step)
    wait(harness, 2_500)
    ages = harness.scheduler.oldest_not_run_ms(harness.now)
    reasons = dict(ages.keys())
    assert list(reasons) == names
    assert [reasons[name] for name in names[-3:]] == [
        'cpu',
        'no_worker',
        'no_worker',
    ]
