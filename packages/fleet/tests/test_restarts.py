"""Tests that nothing withdrawn is in use again after all daemons restart."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

JOB = 'a' * 16
NINE_TASKS = (scheduling.StepSpec(count=9, cpu=1_000),)
SERVICE = (
    scheduling.StepSpec(count=3, cpu=1_000, is_service=True, max_per_worker=1),
)


@pytest.fixture
def restart(site, daemons):
    """Return a function that replaces all daemons; it takes a change."""

    def run(change):
        names = [f'n{number}' for number in range(len(daemons))]
        for daemon in daemons:
            daemon.disconnect()
        change()
        daemons[:] = [site.add_daemon(name) for name in names]
        return daemons[0]

    return run


def test_worker_that_has_left_gets_no_tasks(site, daemons, restart):
    # The row of the worker is still stored, and it answers. It left while no
    # daemon ran.
    site.run(1_000)
    daemon = restart(lambda: site.store.unregister_worker('w0'))
    site.run_until(lambda: any(d.is_owner for d in daemons), 9_000)
    site.submit(daemon, JOB, NINE_TASKS, duration_ms=2_000)
    site.run(15_000)
    assert site.state(daemon, JOB) == 'completed'
    assert 'w0' not in {run.worker for run in site.history}


@pytest.mark.parametrize('steps', [NINE_TASKS, SERVICE])
def test_worker_that_leaves_gets_no_tasks(site, daemons, restart, steps):
    # Its row holds no state, so that a new owner must learn it before.
    site.run(1_000)
    info = dataclasses.replace(site.workers['w0'].info, is_leaving=True)
    daemon = restart(lambda: site.store.register_worker(info))
    site.submit(daemon, JOB, steps, duration_ms=2_000)
    site.run(20_000)
    assert site.history
    assert 'w0' not in {run.worker for run in site.history}


def test_former_incarnation_of_a_worker_is_not_used(site, daemons, restart):
    # An order for the former incarnation must not reach the present one.
    site.run(1_000)

    def change():
        site.workers['w0'].crash()
        site.add_worker('w0', process_start_ms=2)

    daemon = restart(change)
    site.run_until(lambda: any(d.is_owner for d in daemons), 9_000)
    site.submit(daemon, JOB, NINE_TASKS, duration_ms=2_000)
    site.run(15_000)
    assert site.state(daemon, JOB) == 'completed'
    assert site.overlapping_runs() == site.repeated_runs() == []


@pytest.mark.parametrize('has_run', [False, True])
def test_cancelled_job_does_not_run_again(site, daemons, restart, has_run):
    # The owner ended before it had stored what became of the cancelled job.
    former = daemons[0]
    for daemon in daemons:
        daemon.orders.faults.unreachable = (
            set() if has_run else set(site.workers)
        )
    site.submit(former, JOB, NINE_TASKS, duration_ms=60_000)
    site.run(1_000)
    runs = len(site.history)
    assert bool(runs) is has_run
    site.cancel(former, JOB)
    site.run(20)
    daemon = restart(lambda: None)
    site.run(25_000)
    assert site.state(daemon, JOB) == 'cancelled'
    assert len(site.history) == runs
