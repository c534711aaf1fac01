"""Tests of a new owner whose workers list runs that cannot be read."""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

LONG = 'a' * 16
FAILING = 'b' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
ONE_SERVICE = (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),)
TAKEOVER_LIMIT_MS = 9_000
"""A lease lasts 6 s, 2% more on a slow clock, and 0.5 s are allowed to end its
runs. The rest is for the claim, polls and rounds."""


@pytest.fixture(autouse=True)
def first_failure(site):
    """Let the first run of a job fail."""
    site.outcome_of = lambda key, number: (
        'failed' if key.job == FAILING and number < 2_000_000 else 'done'
    )


def replace_owner(site, daemons):
    """Let another daemon take the cell over."""
    owner = owner_of(daemons)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)


def list_unreadable_run(worker, until_ms=2**53, hidden=None):
    """Let a worker list a run that cannot be read until a time.

    ``hidden`` is the run, or None if it is foreign.
    """
    poll = worker.poll

    async def poll_changed(msg):
        report = await poll(msg)
        running = tuple(
            run
            for run in report.running
            if hidden is None or run.number != hidden.number
        )
        is_listed = hidden is None or len(running) < len(report.running)
        if not is_listed or report.clock_ms >= until_ms:
            return report
        return dataclasses.replace(report, running=running, unreadable_runs=1)

    worker.poll = poll_changed


def list_unreadable_runs_of(worker, job):
    """Let a worker list runs of a job as ones that cannot be read."""
    poll = worker.poll

    async def poll_changed(msg):
        report = await poll(msg)
        running = tuple(run for run in report.running if run.key.job != job)
        return dataclasses.replace(
            report,
            running=running,
            unreadable_runs=len(report.running) - len(running),
        )

    worker.poll = poll_changed


def runs_of(site, job):
    """Return the runs of a job, the oldest first."""
    return [run for run in site.history if run.key.job == job]


@pytest.mark.parametrize('steps', [ONE_TASK, ONE_SERVICE])
def test_foreign_run_does_not_hold_up_tasks(site, daemons, steps):
    # A task whose run had failed did not start again under the new owner, as
    # long as any worker listed a run that is not one of the owners'.
    for name in ('w0', 'w1', 'w2'):
        list_unreadable_run(site.workers[name])
    site.submit(daemons[0], FAILING, steps, duration_ms=3_000)
    site.run(1_000)
    replace_owner(site, daemons)
    site.run_until(lambda: runs_of(site, FAILING)[0].outcome, 3_000)
    site.run(TAKEOVER_LIMIT_MS)
    assert len(runs_of(site, FAILING)) > 1


def test_next_owner_does_not_wait_for_the_tasks_of_a_foreign_run(
    site, daemons
):
    # Guards against a worker that is used no more, and against runs that are
    # never missed, after its foreign run has been told from others.
    list_unreadable_run(site.workers['w0'])
    site.submit(daemons[0], FAILING, ONE_TASK, duration_ms=2_000)
    site.run(500)
    replace_owner(site, daemons)
    site.run(2 * TAKEOVER_LIMIT_MS)
    term = owner_of(daemons).kernel.find('cell')._owner_term
    assert term._scheduler.workers['w0'].are_runs_known
    steps = (scheduling.StepSpec(count=24, cpu=1_000),)
    site.submit(daemons[0], LONG, steps, duration_ms=4_000)
    site.run(1_000)
    assert len([r for r in site.history if r.worker == 'w0']) >= 8


@pytest.mark.parametrize('steps', [ONE_TASK, ONE_SERVICE])
def test_unreadable_run_ends_before_its_task_starts_again(
    site, daemons, steps
):
    # Guards against two runs of a task at once: the run that could not be
    # read is one of the former owner's, and polls extend its lease.
    site.submit(daemons[0], LONG, steps, duration_ms=60_000)
    site.run(1_000)
    (first,) = runs_of(site, LONG)
    list_unreadable_run(site.workers[first.worker], hidden=first)
    replace_owner(site, daemons)
    site.run(TAKEOVER_LIMIT_MS)
    assert [run.outcome for run in runs_of(site, LONG)] == ['lapsed', '']
    assert site.overlapping_runs() == []


def test_runs_go_on_beside_a_row_that_is_unreadable_for_a_short_time(
    site, daemons
):
    # Guards against a worker whose runs end for a report that was garbled.
    site.submit(daemons[0], LONG, ONE_SERVICE, duration_ms=60_000)
    site.submit(daemons[0], FAILING, ONE_TASK, duration_ms=3_000)
    site.run(1_000)
    for worker in site.workers.values():
        list_unreadable_run(worker, until_ms=site.clock.now() + 4_000)
    replace_owner(site, daemons)
    site.run(TAKEOVER_LIMIT_MS)
    assert len(runs_of(site, FAILING)) == 2
    assert [run.outcome for run in runs_of(site, LONG)] == ['']


def test_runs_go_on_while_no_task_waits_for_the_takeover(site, daemons):
    # Guards against a change of owner that ends the runs of a worker beside a
    # foreign one although nothing depends on it.
    site.submit(daemons[0], LONG, ONE_SERVICE, duration_ms=60_000)
    site.run(1_000)
    for worker in site.workers.values():
        list_unreadable_run(worker)
    replace_owner(site, daemons)
    site.run(2 * TAKEOVER_LIMIT_MS)
    assert [run.outcome for run in runs_of(site, LONG)] == ['']


@pytest.mark.parametrize('steps', [ONE_TASK, ONE_SERVICE])
def test_start_in_doubt_beside_a_foreign_run(site, daemons, steps):
    # Guards against a task that waits for as long as its worker lists a run
    # that cannot be read: the row might be that of the start in doubt.
    for worker in site.workers.values():
        list_unreadable_run(worker)
    site.run(1_000)
    faults = owner_of(daemons).orders.faults
    faults.unanswered_starts = 1
    faults.effect_delay_ms = 60_000
    site.submit(daemons[0], LONG, steps, duration_ms=60_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.run(TAKEOVER_LIMIT_MS)
    assert [run.outcome for run in runs_of(site, LONG)] == ['']


def test_unreadable_run_in_doubt_ends_before_its_task_starts_again(
    site, daemons
):
    # Guards against two runs of a task at once: the row that cannot be read
    # is that of the start in doubt, which goes on after its stop was answered.
    for worker in site.workers.values():
        list_unreadable_runs_of(worker, LONG)
        worker.stop = lambda msg: None
    site.run(1_000)
    faults = owner_of(daemons).orders.faults
    faults.unanswered_starts = 1
    site.submit(daemons[0], LONG, ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.run(2 * TAKEOVER_LIMIT_MS)
    assert [run.outcome for run in runs_of(site, LONG)] == ['lapsed', '']
    assert site.overlapping_runs() == []


def test_runs_go_on_beside_a_start_in_doubt_that_is_not_needed(site, daemons):
    # Guards against a worker whose runs end for a job that was cancelled.
    for worker in site.workers.values():
        list_unreadable_run(worker)
    site.submit(daemons[0], FAILING, ONE_SERVICE, duration_ms=60_000)
    site.run(1_000)
    faults = owner_of(daemons).orders.faults
    faults.unanswered_starts = 1
    faults.effect_delay_ms = 60_000
    site.submit(daemons[0], LONG, ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: not faults.unanswered_starts, 2_000)
    site.cancel(daemons[0], LONG)
    site.run(2 * TAKEOVER_LIMIT_MS)
    assert [run.outcome for run in runs_of(site, FAILING)] == ['']
