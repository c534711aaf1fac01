"""Test that a new owner knows which workers fail their tasks."""

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

TASKS = (scheduling.StepSpec(count=3, cpu=8_000),)
MAX_FAILURES = 5
"""A worker that fails every task is out of use after at most 5 tasks."""


def submit_tasks(site, daemon, count, first=0):
    """Submit jobs whose tasks fail on the first worker."""
    for number in range(first, first + count):
        site.submit(daemon, f'{number:016x}', TASKS, duration_ms=50)
        site.run(400)


def failures(site):
    """Return the number of runs that have failed on the first worker."""
    return sum(run.outcome == 'failed' for run in site.history)


@pytest.fixture
def failing_site(site):
    """Return a site whose first worker fails every task."""
    site.outcome_of = lambda key, number: (
        'failed'
        if any(
            (run.key, run.number, run.worker) == (key, number, 'w0')
            for run in site.history
        )
        else 'done'
    )
    return site


def restart_owner(site, daemons):
    """Shut the owner down and wait for its successor."""
    owner = owner_of(daemons)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)


@pytest.mark.parametrize('jobs_per_term', [1, 2, 4])
def test_exclusion_goes_on_under_the_next_owners(
    failing_site, daemons, jobs_per_term
):
    # Guards against a window of failures that begins anew with each owner,
    # so that a worker that fails every task gets three tasks from each.
    site = failing_site
    daemons += [site.add_daemon(f'front-{n}') for n in range(3, 10)]
    for term in range(8):
        submit_tasks(site, daemons[-1], jobs_per_term, 10 * term)
        restart_owner(site, daemons)
    assert 0 < failures(site) <= MAX_FAILURES


def test_failures_count_no_longer_than_the_window(failing_site, daemons):
    # Guards against a worker that stays excluded for failures of long ago.
    site = failing_site
    submit_tasks(site, daemons[-1], 6)
    assert failures(site) == 3
    site.outcome_of = lambda key, number: 'done'
    restart_owner(site, daemons)
    site.run(21_000)
    submit_tasks(site, daemons[-1], 3, 10)
    assert any(
        run.worker == 'w0' and run.outcome == 'done' for run in site.history
    )
    assert owner_of(daemons) is not None


@pytest.mark.parametrize('value', [b'{"w0":[1,["x"]]}', b'[]', b'{'])
def test_malformed_failures_are_ignored(failing_site, daemons, value):
    site = failing_site
    site.store.commit(
        store.CommitRows(
            table=layout.TABLE,
            part=layout.CELL_PART,
            checks=(),
            puts=(
                store.Put(
                    key=layout.FAILURES_KEY,
                    value=value,
                    table=layout.OWNER_TABLE,
                ),
            ),
        )
    )
    restart_owner(site, daemons)
    submit_tasks(site, daemons[-1], 6)
    assert failures(site) == 3


def first_worker(daemons):
    """Return what the owner knows of the first worker."""
    term = owner_of(daemons).kernel.find('cell')._owner_term
    return term._scheduler.workers['w0']


def test_exclusion_without_a_failure_does_not_end_the_owner(site, daemons):
    # Guards against an error in each owner while a worker is excluded whose
    # runs have stalled, as no failure of it is stored.
    site.submit(daemons[0], 'a' * 16, TASKS, duration_ms=9_000)
    site.run(1_000)
    term = owner_of(daemons).kernel.find('cell')._owner_term
    site.workers['w0'].is_stalled = True
    site.run_until(lambda: first_worker(daemons).avoid_until_ms, 9_000)
    site.run(1_000)
    assert owner_of(daemons).kernel.find('cell')._owner_term is term
    assert not first_worker(daemons).failed_tasks
    restart_owner(site, daemons)
    site.run(200)
    assert first_worker(daemons).avoid_until_ms > site.clock.now()


@pytest.mark.parametrize(
    'record', ['_failure_record', '_interference_record', '_route_record']
)
def test_error_in_a_learned_record_does_not_end_the_owner(
    site, daemons, record
):
    # Guards against an owner that ends, and its successors, for a row that
    # only makes a takeover faster.
    term = owner_of(daemons).kernel.find('cell')._owner_term

    async def fail():
        raise IndexError

    getattr(term, record).update = fail
    site.run(2_000)
    assert owner_of(daemons).kernel.find('cell')._owner_term is term
