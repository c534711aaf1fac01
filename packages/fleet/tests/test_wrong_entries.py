"""Tests of workers whose entry is that of another writer, or start earlier."""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins import fleet
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
LATER = 'b' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
SERVICE = (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),)
EIGHT_TASKS = (scheduling.StepSpec(count=8, cpu=1_000),)
START_MS = 50
RESTART_LIMIT_MS = 2_000
"""A poll waits 0.5 s at most, or fails after 1.2 s more."""


@pytest.fixture
def cell():
    """Return a site with a worker, and its daemons."""
    site = fleet.FleetSimulation()
    site.add_worker('w0', process_start_ms=START_MS)
    daemons = [site.add_daemon(f'front-{number}') for number in range(3)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(500)
    return site, daemons


def write_entry(site, process_start_ms):
    """Write an entry under the id of the worker."""
    site.store.register_worker(
        dataclasses.replace(
            site.workers['w0'].info, process_start_ms=process_start_ms
        )
    )


@pytest.mark.parametrize('steps', [ONE_TASK, SERVICE])
@pytest.mark.parametrize('has_new_owner', [False, True])
def test_wrong_entry_changes_nothing(cell, steps, has_new_owner):
    # Guards against a second run beside the first, and against a worker that
    # is not read or used any more.
    site, daemons = cell
    site.submit(daemons[0], JOB, steps, duration_ms=20_000)
    site.run(1_000)
    if has_new_owner:
        owner = owner_of(daemons)
        site.shut_down(owner)
        daemons.remove(owner)
    for number in range(3):
        write_entry(site, START_MS + 1 + number)
        site.run(1_500)
    site.submit(daemons[-1], LATER, ONE_TASK, duration_ms=500)
    site.run(3_000)
    assert site.state(daemons[-1], LATER) == 'completed'
    assert len([run for run in site.history if run.key.job == JOB]) == 1
    assert site.history[0].outcome == ''
    assert site.overlapping_runs() == site.repeated_runs() == []


@pytest.mark.parametrize('start_ms', [START_MS - 1, START_MS + 1])
def test_tasks_of_a_worker_that_restarts(cell, start_ms):
    # Guards against tasks that wait for the lease of a worker that answers,
    # and against one that is never read again, as its clock was set back.
    site, daemons = cell
    site.submit(daemons[0], JOB, EIGHT_TASKS, duration_ms=9_000)
    # After that time, the tasks are not suspected of the crash.
    site.run(6_000)
    site.workers['w0'].crash()
    site.add_worker('w0', process_start_ms=start_ms)
    site.run(RESTART_LIMIT_MS)
    assert len(site.history) == 16
    site.run(10_000)
    assert site.state(daemons[0], JOB) == 'completed'
    assert site.overlapping_runs() == site.repeated_runs() == []
