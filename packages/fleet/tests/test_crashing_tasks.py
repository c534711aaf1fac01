"""Tests of a task that crashes each worker that starts it."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
MAX_STARTS = 5


def crash_workers_of_job(site, daemons, on_crash):
    """Crash each worker that starts the job, until nothing starts it."""
    crashed = 0
    for start_ms in range(2, 20):
        began_ms = site.clock.now()
        while len(site.history) == crashed:
            site.run(20)
            if site.clock.now() - began_ms > 25_000:
                return
        name = site.history[crashed].worker
        crashed += 1
        site.workers[name].crash()
        on_crash(crashed)
        site.add_worker(name, process_start_ms=start_ms)


def test_task_that_crashes_its_workers_is_given_up(site, daemons):
    # A lost run is no failed end, so that nothing limited the starts.
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=3_000)
    crash_workers_of_job(site, daemons, lambda _: site.run(3_000))
    assert site.state(daemons[0], JOB) == 'failed'
    assert len(site.history) <= 3


@pytest.mark.parametrize('delay_ms', [50, 1_500, 3_000])
def test_crashes_of_workers_count_across_owners(site, daemons, delay_ms):
    # A successor must know about crashes that it has not seen, also if the
    # owner ends between a crash and the return of the worker.
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=3_000)

    def change_owner(crashed):
        site.run(delay_ms)
        if crashed <= 2:
            site.shut_down(owner_of(daemons))
        site.run(3_000 - delay_ms + 500)

    crash_workers_of_job(site, daemons, change_owner)
    assert site.state(owner_of(daemons), JOB) == 'failed'
    assert len(site.history) <= MAX_STARTS


def test_crashes_count_although_the_worker_is_back_before_a_successor(
    site, daemons
):
    # A successor finds a worker that has started again under its id between
    # the two owners, and must not take it for the one that ran the task.
    rest = list(daemons)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=3_000)

    def change_owner(crashed):
        site.run(600)
        if crashed <= 2:
            owner = owner_of(rest)
            owner.disconnect()
            rest.remove(owner)

    crash_workers_of_job(site, daemons, change_owner)
    assert site.state(rest[0], JOB) == 'failed'
    assert len(site.history) <= 3


class CutWorkers:
    """A site in which workers are cut off right after the start of a job.

    They are reached again after ``cut_ms``. ``restart_ms`` after the cut the
    process has started again under its id; until then it runs on, or it has
    crashed at the cut.
    """

    def __init__(self, site, daemons, cut_ms, restart_ms, *, is_crash):
        self.site = site
        self.daemons = daemons
        self.cut_ms = cut_ms
        self.restart_ms = restart_ms
        self.is_crash = is_crash

    def cut_next(self, count):
        """Wait for a run of the job and cut its worker off."""
        site = self.site
        site.run_until(lambda: len(site.history) == count, 25_000)
        name = site.history[-1].worker
        site.run(50)
        for daemon in self.daemons:
            daemon.orders.faults.unreachable.add(name)
        if self.is_crash:
            site.workers[name].crash()
        site.clock.call_later(self.restart_ms, lambda: self.restart(name))
        site.clock.call_later(self.cut_ms, lambda: self.reconnect(name))

    def restart(self, name):
        """Start a worker again under its id."""
        self.site.workers[name].crash()
        self.site.add_worker(name, process_start_ms=self.site.clock.wall())

    def reconnect(self, name):
        """Let all daemons reach a worker again."""
        for daemon in self.daemons:
            daemon.orders.faults.unreachable.discard(name)


@pytest.mark.parametrize('has_new_owner', [False, True])
def test_late_restart_of_a_worker_that_was_cut_off_is_no_crash(
    site, daemons, has_new_owner
):
    # Guards against a job that fails although no run has failed (LOST): its
    # workers were cut off, ran on, and started again long after.
    for name in ('w3', 'w4', 'w5'):
        site.add_worker(name)
    cell = CutWorkers(site, daemons, 12_000, 12_000, is_crash=False)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=60_000)
    for count in range(1, 6):
        cell.cut_next(count)
        if has_new_owner and count == 2:
            site.run(3_000)
            site.shut_down(owner_of(daemons))
    site.run(20_000)
    assert [run.outcome for run in site.history] == [*['lapsed'] * 5, '']
    assert site.state(owner_of(daemons), JOB) == 'running'


def test_crash_counts_although_the_restart_is_noticed_late(site, daemons):
    # Guards against a task that crashes its workers without end, as they are
    # back soon but cut off until long after.
    for name in ('w3', 'w4', 'w5'):
        site.add_worker(name)
    cell = CutWorkers(site, daemons, 12_000, 3_000, is_crash=True)
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=60_000)
    for count in range(1, 6):
        cell.cut_next(count)
    site.run(20_000)
    assert site.state(owner_of(daemons), JOB) == 'failed'


def add_slow_owner(site, pass_ms):
    """Start a daemon that owns the cell, and workers polled in turn."""
    daemon = site.add_daemon('front-0', pass_ms=pass_ms)
    site.run_until(lambda: daemon.is_owner, 20 * pass_ms + 5_000)
    for number in range(3, 12):
        site.add_worker(f'w{number}')
        site.run(85)
    site.run(3_000)
    return daemon


@pytest.mark.parametrize(
    ('pass_ms', 'crash_ms', 'is_refusing'),
    [
        (0, 200, False),
        (600, 10, True),
        (600, 200, False),
        (600, 400, False),
        (1_200, 400, True),
    ],
)
def test_task_that_crashes_workers_of_a_slow_owner_is_given_up(
    site, pass_ms, crash_ms, is_refusing
):
    # Guards against a task that is started without end: a slow owner read
    # that it ran long after that was reported, and took it for proven.
    owner = add_slow_owner(site, pass_ms)
    site.submit(owner, JOB, ONE_TASK, duration_ms=20_000)

    def restart(name):
        site.add_worker(name, process_start_ms=site.clock.wall())

    for count in range(1, MAX_STARTS + 1):
        began_ms = site.clock.now()
        while len(site.history) < count:
            site.run(5)
            if site.clock.now() - began_ms > 15_000:
                break
        else:
            name = site.history[-1].worker
            site.run(crash_ms)
            site.workers[name].crash(is_refusing=is_refusing)
            site.clock.call_later(3_000, lambda name=name: restart(name))
    assert site.state(owner, JOB) == 'failed'
    assert len(site.history) < MAX_STARTS


@pytest.mark.parametrize(
    ('pass_ms', 'is_refusing'),
    [(0, True), (0, False), (100, False), (300, True), (300, False)],
)
def test_crashes_at_one_moment_have_a_common_cause(site, pass_ms, is_refusing):
    # Guards against suspects of workers that lost power together. Polls that
    # time out fail one after the other, as do those of a slow owner.
    owner = add_slow_owner(site, pass_ms)
    jobs = [f'{number:x}' * 16 for number in range(12)]
    large = (scheduling.StepSpec(count=1, cpu=5_000),)
    for job in jobs:
        site.submit(owner, job, large, duration_ms=30_000)
        site.run(15)
    site.run_until(lambda: len(site.history) == len(jobs), 20_000)
    site.run(50)
    names = [run.worker for run in site.history[-6:]]
    for name in names:
        site.workers[name].crash(is_refusing=is_refusing)
    site.run(3_000)
    for name in names:
        site.add_worker(name, process_start_ms=site.clock.wall())
    scheduler = owner.kernel.find('cell')._owner_term._scheduler
    kinds = set()
    for _ in range(80):
        site.run(100)
        for job in scheduler.jobs.values():
            kinds.update(
                c.kind.value for t in job.all_tasks() for c in t.crashes
            )
    assert kinds == {'common'}
