"""Test which pools accept no filling jobs."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _backlog

WORKERS = 4
PLACES = 8
"""Tasks that run at once on the workers of the harness."""

TASK_CPU = 5_000
TASK_MS = 1_500
FRESH_JOBS = 20
"""Their work takes longer than ``MAX_WAIT_MS``, and less than 10 s."""

BURST_JOBS = 80
"""Half of them are overdue before they can start."""

IMPOSSIBLE = ({'cpu': 20_000}, {'label': 'gpu'})
FIRST = scheduling.StepSpec(count=1, cpu=20_000)


class FullCell:
    """A harness whose workers run filling tasks that do not end."""

    def __init__(self, make, places=PLACES):
        self.make = make
        self.harness = make.Harness(WORKERS)
        self.jobs = 0
        self.add(places)
        self.starts = self.harness.decide()[0]
        assert len(self.starts) == places
        for start in self.starts:
            self.harness.answer(start)

    def add(self, jobs, first=(), **fields):
        """Add filling jobs of one step, or of one after a ``first`` one."""
        fields = {'count': 1, 'cpu': TASK_CPU, 'estimate_ms': TASK_MS} | fields
        after = (0,) if first else ()
        step = scheduling.StepSpec(is_filling=True, after=after, **fields)
        for _ in range(jobs):
            self.jobs += 1
            self.harness.add(
                f'job{self.jobs:04}',
                *first,
                step,
                accepted_ms=self.harness.now,
            )

    def run(self, seconds):
        """Run a round a second; return the pools that are full at its end."""
        full = {}
        for _ in range(seconds):
            self.harness.now += 1_000
            for name in self.harness.infos:
                running = [s for s in self.starts if s.worker == name]
                self.harness.poll(
                    name, [self.make.report(s, percent=1) for s in running]
                )
            self.starts += self.harness.decide(wall=self.harness.now)[0]
            full = self.harness.scheduler.full_pools(self.harness.now)
        return full


@pytest.fixture
def cell(make):
    """Return a cell in which all places are taken."""
    return FullCell(make)


def test_full_pool_accepts_no_jobs_beyond_what_can_be_in_time(cell):
    # Guards against more accepted jobs than can have a run in turn.
    cell.add(PLACES)
    cell.run(12)
    cell.add(1)
    assert cell.run(1) == {}
    cell.add(FRESH_JOBS - 1)
    full = cell.run(1)
    assert list(full) == ['p']
    assert 3 <= full['p'] <= _backlog.MAX_RETRY_AFTER_S


def test_no_job_is_accepted_beyond_two_overdue_ones_for_each_place(cell):
    # Guards against a backlog that grows while each new job passes it.
    cell.add(2 * PLACES - 1)
    assert cell.run(12) == {}
    cell.add(1)
    assert cell.run(12) == {'p': _backlog.MAX_RETRY_AFTER_S}


def test_pool_is_full_before_too_many_jobs_are_overdue(cell):
    # Guards against a burst whose jobs are all accepted, as none has waited
    # for long yet.
    cell.add(BURST_JOBS)
    assert list(cell.run(8)) == ['p']


def test_pool_with_fewer_overdue_jobs_than_places_accepts_jobs(cell):
    # Guards against refusals of jobs that would start before the others.
    cell.add(PLACES - 1)
    cell.run(12)
    cell.add(FRESH_JOBS)
    assert cell.run(1) == {}


@pytest.mark.parametrize('fields', IMPOSSIBLE)
def test_jobs_that_no_worker_can_run_do_not_fill_a_pool(cell, fields):
    # Guards against a caller that closes a pool with impossible jobs, when
    # they come as well as when they are overdue.
    cell.add(PLACES)
    cell.run(12)
    cell.add(BURST_JOBS, **fields)
    assert cell.run(1) == {}
    assert cell.run(12) == {}


def test_jobs_that_wait_for_other_tasks_do_not_fill_a_pool(cell):
    # Guards against a pool that is closed for good by jobs whose first step
    # has no worker.
    cell.add(BURST_JOBS, first=(FIRST,))
    assert cell.run(8) == {}


def test_huge_job_does_not_fill_a_pool(cell):
    # Guards against one job that decides about all others.
    cell.add(PLACES)
    cell.run(12)
    cell.add(1, count=1_000)
    assert cell.run(1) == {}


def test_jobs_without_estimate_fill_a_pool(cell):
    # Guards against callers that pass the limit without an estimate.
    cell.add(PLACES)
    cell.run(12)
    cell.add(2 * FRESH_JOBS, estimate_ms=0)
    assert list(cell.run(1)) == ['p']


def test_repeated_job_does_not_fill_a_pool(cell):
    # Guards against one job whose occurrences count as many jobs.
    step = scheduling.StepSpec(count=1, cpu=TASK_CPU, is_filling=True)
    cell.harness.add(
        'repeated', step, repeat_count=1_000, first_due_ms=1, period_ms=1
    )
    assert cell.run(12) == {}


def test_pool_with_idle_room_is_not_full(make):
    # Guards against the tasks that ran until now as the room of a pool.
    cell = FullCell(make, places=1)
    for _ in range(2 * _backlog.MIN_SAMPLES):
        first = cell.jobs + 1
        cell.add(BURST_JOBS)
        cell.harness.now += 500
        assert cell.harness.scheduler.full_pools(cell.harness.now) == {}
        for number in range(first, cell.jobs + 1):
            cell.harness.scheduler.cancel_job(
                f'job{number:04}', cell.harness.now
            )


@pytest.mark.parametrize(
    ('step', 'job'),
    [
        ({'is_filling': False}, {}),
        ({'is_service': True}, {}),
        ({'label': 'gpu'}, {}),
        ({'max_per_worker': 1}, {}),
        ({}, {'repeat_count': 2, 'first_due_ms': 1, 'period_ms': 9}),
    ],
)
def test_other_jobs_neither_fill_a_pool_nor_are_refused(step, job):
    # Guards against refusals of jobs that do not need the room of the pool.
    spec = scheduling.StepSpec(count=1, **{'is_filling': True} | step)
    assert not scheduling.counts_for_pool(
        scheduling.JobSpec(
            id='job', route='r', payload='', steps=(spec,), **job
        )
    )


def test_new_owner_does_not_know_a_pool_as_full(make):
    # Guards against an owner that refuses jobs before it knows the runs.
    harness = make.Harness(2)
    step = scheduling.StepSpec(count=1, cpu=TASK_CPU, is_filling=True)
    for job in range(FRESH_JOBS):
        harness.add(f'job{job:04}', step, accepted_ms=1)
    harness.now += 20_000
    for _ in range(_backlog.MIN_SAMPLES - 1):
        assert harness.scheduler.full_pools(harness.now) == {}
        harness.now += 1_000


def test_pool_accepts_jobs_again_once_the_overdue_ones_have_ended(cell):
    # Guards against a limit that outlasts its reason.
    cell.add(2 * PLACES)
    assert cell.run(12)
    for number in range(2 * PLACES):
        cell.harness.scheduler.cancel_job(
            f'job{PLACES + number + 1:04}', cell.harness.now
        )
    assert cell.run(1) == {}
