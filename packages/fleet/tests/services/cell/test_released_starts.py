"""Tests of unsent starts whose runs were released without a stop."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
SEND_DELAY_MS = 1_700
"""As in the incident of 2026-12-05; orders wait for up to 2,200 ms."""


@pytest.fixture
def scheduler(site, daemons):
    """Return the scheduler of an owner after a worker has restarted.

    A start for its former incarnation still waits for a connection.
    """
    owner = owner_of(daemons)
    scheduler = owner.kernel.find('cell')._owner_term._scheduler
    owner.orders.faults.send_delay_ms = SEND_DELAY_MS
    site.submit(owner, JOB, ONE_TASK, duration_ms=4_000)
    site.run_until(
        lambda: JOB in scheduler.jobs and scheduler.jobs[JOB].is_start_decided,
        2_000,
    )
    task = scheduler.jobs[JOB].tasks[0][0][0]
    name = task.worker
    site.workers[name].crash()
    site.add_worker(name, process_start_ms=2)
    owner.orders.faults.send_delay_ms = 0
    site.run_until(lambda: task.worker != name, 1_000)
    return scheduler


def test_start_is_not_sent_to_the_next_incarnation(site, scheduler):
    # A worker restarted under its id while a start for it waited for a
    # connection. The task was started elsewhere, and the first start reached
    # the new incarnation: two runs at once (TWICE).
    site.run(3_000)
    assert site.overlapping_runs() == []
    assert len(site.history) == 1


def test_unsent_start_is_not_the_cause_of_a_crash(scheduler):
    # The crash of a worker counted against a task that it never received,
    # which then waited for a worker of its own or failed.
    task = scheduler.jobs[JOB].tasks[0][0][0]
    assert task.crashes == []
