"""Test which pools accept no filling jobs."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _backlog

PLACES = 4
"""Tasks that run at once on the two workers of the harness."""

TASK_CPU = 5_000
TASK_MS = 1_500
FRESH_JOBS = 20
"""More than half of their work is beyond what the pool can do in time."""


class FullCell:
    """A harness whose workers run filling tasks that do not end."""

    def __init__(self, make):
        self.make = make
        self.harness = make.Harness(2)
        self.jobs = 0
        self.add(PLACES)
        self.starts = self.harness.decide()[0]
        assert len(self.starts) == PLACES
        for start in self.starts:
            self.harness.answer(start)

    def add(self, jobs, count=1, cpu=TASK_CPU, label=''):
        """Add filling jobs of one step."""
        for _ in range(jobs):
            self.jobs += 1
            step = scheduling.StepSpec(
                count=count,
                cpu=cpu,
                estimate_ms=TASK_MS,
                label=label,
                is_filling=True,
            )
            self.harness.add(
                f'job{self.jobs:04}', step, accepted_ms=self.harness.now
            )

    def run(self, milliseconds):
        """Run a round a second; return the pools that are full at its end."""
        full = {}
        for _ in range(0, milliseconds, 1_000):
            self.harness.now += 1_000
            for name in self.harness.infos:
                running = [s for s in self.starts if s.worker == name]
                self.harness.poll(
                    name, [self.make.report(s, percent=1) for s in running]
                )
            starts, _ = self.harness.decide(wall=self.harness.now)
            assert starts == []
            full = self.harness.scheduler.full_pools(self.harness.now)
        return full


@pytest.fixture
def cell(make):
    """Return a cell in which all places are taken."""
    return FullCell(make)


def test_full_pool_accepts_no_jobs_beyond_what_can_be_in_time(cell):
    # Guards against more accepted jobs than can have a run in turn.
    cell.add(PLACES)
    cell.run(12_000)
    cell.add(1)
    assert cell.run(1_000) == {}
    cell.add(FRESH_JOBS - 1)
    full = cell.run(1_000)
    assert list(full) == ['p']
    assert 1 <= full['p'] <= _backlog.MAX_RETRY_AFTER_S


def test_pool_is_full_before_too_many_jobs_are_overdue(cell):
    # Guards against a burst whose jobs are all accepted, as none has waited
    # for long yet.
    cell.add(3 * FRESH_JOBS)
    assert list(cell.run(1_000)) == ['p']


def test_pool_with_fewer_overdue_jobs_than_places_accepts_jobs(cell):
    # Guards against refusals of jobs that would start before the others.
    cell.add(PLACES - 1)
    cell.run(12_000)
    cell.add(FRESH_JOBS)
    assert cell.run(1_000) == {}


@pytest.mark.parametrize('step', [{'cpu': 20_000}, {'label': 'gpu'}])
def test_jobs_that_no_worker_can_run_do_not_fill_a_pool(cell, step):
    # Guards against a caller that closes a pool with impossible jobs.
    cell.add(10 * PLACES, **step)
    cell.run(12_000)
    cell.add(FRESH_JOBS)
    assert cell.run(1_000) == {}


def test_huge_job_does_not_fill_a_pool(cell):
    # Guards against one job that decides about all others.
    cell.add(PLACES)
    cell.run(12_000)
    cell.add(1, count=1_000)
    assert cell.run(1_000) == {}


def test_pool_where_nothing_runs_accepts_jobs(make):
    # Guards against an owner that refuses jobs before it knows the runs.
    harness = make.Harness(2)
    step = scheduling.StepSpec(count=1, cpu=TASK_CPU, is_filling=True)
    for job in range(FRESH_JOBS):
        harness.add(f'job{job:04}', step, accepted_ms=1)
    harness.now += 20_000
    assert harness.scheduler.full_pools(harness.now) == {}
