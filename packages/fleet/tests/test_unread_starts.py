"""Tests of workers that crash before they answer the start of a task."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
STEP = (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),)
DOWN_MS = 3_000
STEP_MS = 5
EFFECT_MS = 20


class UnansweredStarts:
    """A site in which workers crash when a job starts, without an answer.

    The order gets to the worker after ``EFFECT_MS``. A worker that has crashed
    before then never reads it; otherwise the run begins. ``crash_times`` are
    those of the crashes, which end after ``max_crashes``.
    """

    def __init__(self, site, daemons):
        self.site = site
        self.daemons = daemons
        self.has_begun = False
        self.max_crashes = 0
        self.crash_times = []
        for number in range(3, 8):
            site.add_worker(f'w{number}')
        site.run(1_000)

    def task(self):
        """Return the task of the job, as the owner knows it."""
        cell = owner_of(self.daemons).kernel.find('cell')
        job = cell._owner_term._scheduler.jobs.get(JOB)
        return job.find(scheduling.TaskKey(JOB, 0, 0, 0)) if job else None

    def submit(self, max_crashes, *, has_begun):
        """Submit the job; the workers of its first starts crash."""
        self.max_crashes = max_crashes
        self.has_begun = has_begun
        self.arm()
        self.site.submit(self.daemons[0], JOB, STEP, duration_ms=600_000)

    def arm(self):
        """Let the next start of each daemon get no answer."""
        for daemon in self.daemons:
            faults = daemon.orders.faults
            faults.unanswered_starts = len(self.crash_times) < self.max_crashes
            faults.effect_delay_ms = EFFECT_MS

    def run(self, duration_ms):
        """Let time pass, and crash the workers of unanswered starts."""
        for _ in range(0, duration_ms, STEP_MS):
            self.site.run(STEP_MS)
            if len(self.crash_times) >= self.max_crashes:
                continue
            if all(d.orders.faults.unanswered_starts for d in self.daemons):
                continue
            self.crash_times.append(self.site.clock.now())
            self.arm()
            self.crash(self.task().worker, self.has_begun * 2 * EFFECT_MS)

    def crash(self, name, delay_ms):
        """Crash a worker after a delay; it is back under its id later."""

        def restart():
            start_ms = self.site.clock.wall()
            self.site.add_worker(name, process_start_ms=start_ms)

        clock = self.site.clock
        clock.call_later(delay_ms, self.site.workers[name].crash)
        clock.call_later(delay_ms + DOWN_MS, restart)


@pytest.fixture
def cell(site, daemons):
    """Return a site of eight workers with three daemons."""
    return UnansweredStarts(site, daemons)


@pytest.mark.parametrize('changes', [0, 1, 2])
def test_job_does_not_fail_for_starts_that_dead_workers_never_read(
    cell, changes
):
    # Guards against a job that is shown as failed without cause (LOST): its
    # workers had crashed before they could read its start.
    cell.submit(5, has_begun=False)
    for count in range(40):
        cell.run(2_000)
        if count < changes:
            cell.site.shut_down(owner_of(cell.daemons))
        cell.run(2_000)
        assert cell.site.state(owner_of(cell.daemons), JOB) != 'failed'
    assert len(cell.crash_times) == 5
    (run,) = cell.site.history
    assert run.outcome == ''
    assert cell.site.state(owner_of(cell.daemons), JOB) == 'running'
    assert not cell.task().is_suspect


def test_task_that_crashes_workers_unanswered_is_kept_apart(cell):
    # Guards against a task that costs a worker, and all that runs there, each
    # 3.5 s, as no answer shows that it had begun.
    cell.submit(20, has_begun=True)
    cell.run(6_000)
    assert cell.task().is_suspect
    cell.run(80_000)
    assert {run.outcome for run in cell.site.history} == {'lost'}
    assert 3 <= len(cell.site.history) <= 5
    assert cell.site.state(owner_of(cell.daemons), JOB) == 'queued'


def test_task_is_given_up_once_answers_show_that_it_crashes_workers(cell):
    # Guards against a task that is never given up, as the answers to its
    # first starts were lost.
    cell.submit(2, has_begun=True)
    crashed = 0
    for _ in range(0, 30_000, STEP_MS):
        cell.run(STEP_MS)
        if len(cell.crash_times) == 2 and len(cell.site.history) > crashed:
            crashed = len(cell.site.history)
            if crashed > 2:
                cell.crash(cell.site.history[-1].worker, 2 * EFFECT_MS)
    assert len(cell.site.history) == 5
    assert cell.site.state(owner_of(cell.daemons), JOB) == 'failed'
