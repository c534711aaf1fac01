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
