"""Tests of rounds that may decide few starts, as the owner is busy."""

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _load

LIMIT = _load.MAX_STARTS_WHEN_BUSY


def add_jobs(harness):
    """Add jobs of one plain task each, and then one of a service task."""
    for number in range(3 * LIMIT):
        harness.add(f'{number:04x}', scheduling.StepSpec(count=1, cpu=10))
    service = scheduling.StepSpec(count=1, cpu=10, is_service=True)
    harness.add('ffff', service)


def started_jobs(harness, max_starts):
    """Run a round; return the jobs that it starts."""
    harness.scheduler.decide(
        harness.now, 0, scheduling.FormerRuns(), None, max_starts
    )
    return [start.key.job for start in harness.effects()[0]]


def test_few_starts_include_the_services(harness):
    # A service task is missed at once. It waited behind all plain tasks, of
    # which a busy owner starts some in each round.
    add_jobs(harness)
    jobs = started_jobs(harness, LIMIT)
    assert len(jobs) == LIMIT
    assert jobs[0] == 'ffff'


def test_owner_that_is_not_busy_keeps_the_order(harness):
    # Guards against plain tasks that get less room in a full cell.
    add_jobs(harness)
    assert started_jobs(harness, _load.MAX_STARTS_PER_ROUND)[-1] == 'ffff'
