"""Tests of workers that restart as another kind while the store is away."""

import pytest

from oriolestand_fleet.services.cell import const
from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility
from oriolestand_standins import fleet
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
STORE_DOWN_MS = 4_500
DESCRIPTION_WAIT_MS = 4_500
FORMER_MS = 50
START_MS = 60
KIND = frozenset({'b'})
OTHER_KIND = frozenset({'a'})
LABELLED = (scheduling.StepSpec(count=4, cpu=1_000, label='b'),)
SERVICE = (
    scheduling.StepSpec(count=2, cpu=1_000, label='b', is_service=True),
)


@pytest.fixture
def cell():
    """Return a site with a worker of each kind, and its daemons."""
    site = fleet.FleetSimulation()
    site.add_worker('w0', process_start_ms=FORMER_MS, labels=KIND)
    site.add_worker('w1', labels=OTHER_KIND)
    daemons = [site.add_daemon(f'front-{number}') for number in range(3)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(500)
    return site, daemons


def set_store(daemons, fault, is_set):
    """Set a fault between all daemons and the store, or end it."""
    for daemon in daemons:
        setattr(daemon.store.faults, fault, is_set)


def restart(site, register_after_ms, labels=OTHER_KIND, start_ms=START_MS):
    """Crash w0 and start it again under its id."""
    site.workers['w0'].crash(is_refusing=True)
    site.add_worker(
        'w0',
        process_start_ms=start_ms,
        labels=labels,
        register_after_ms=register_after_ms,
    )


def state_at(daemon):
    """Return the state of w0 at the owner."""
    scheduler = daemon.kernel.find('cell')._owner_term._scheduler
    now = daemon.kernel.clock.now()
    return _eligibility.worker_state(scheduler.workers['w0'], now)


@pytest.mark.parametrize('fault', ['is_down', 'is_unresponsive'])
@pytest.mark.parametrize('steps', [LABELLED, SERVICE])
@pytest.mark.parametrize('labels', [KIND, OTHER_KIND])
def test_restart_while_the_store_is_away(cell, fault, steps, labels):
    # Guards against starts on a worker without the label: it has started
    # again as another kind and can write its entry only later.
    site, daemons = cell
    site.submit(daemons[0], JOB, steps, duration_ms=60_000)
    site.workers['w0'].crash(is_refusing=True)
    site.run(300)
    assert [run for run in site.history if run.key.job == JOB] == []
    set_store(daemons, fault, True)
    site.run(1_000)
    restart(site, STORE_DOWN_MS - 1_000, labels)
    site.run(2_000)
    assert state_at(owner_of(daemons)) is (
        _eligibility.WorkerState.NOT_DESCRIBED
    )
    site.run(STORE_DOWN_MS - 3_000)
    set_store(daemons, fault, False)
    assert site.history == []
    site.run(15_000)
    assert bool(site.history) is (labels == KIND)
    assert {run.worker for run in site.history} <= {'w0'}
    if labels == KIND:
        assert len(site.history) == steps[0].count
        return
    site.add_worker('w2', labels=KIND)
    site.run(3_000)
    assert {run.worker for run in site.history} == {'w2'}


@pytest.mark.parametrize('is_crashed', [True, False])
def test_next_owner_reads_the_entry_of_the_former_incarnation(
    cell, is_crashed
):
    # Guards against a successor that takes the stored row, or the entry of
    # the former incarnation, for that of the one that answers its polls.
    site, daemons = cell
    restart(site, 60_000)
    owner = owner_of(daemons)
    if is_crashed:
        owner.disconnect()
    else:
        site.shut_down(owner)
    daemons.remove(owner)
    site.submit(daemons[0], JOB, LABELLED, duration_ms=300)
    site.run_until(lambda: any(d.is_owner for d in daemons), 15_000)
    site.run(DESCRIPTION_WAIT_MS - 1_000)
    assert state_at(owner_of(daemons)) is (
        _eligibility.WorkerState.NOT_DESCRIBED
    )
    assert site.history == []
    site.store.register_worker(site.workers['w0'].info)
    site.run(1_000)
    assert state_at(owner_of(daemons)) is _eligibility.WorkerState.USABLE
    assert site.history == []


def test_next_owner_with_the_store_away_for_entries(cell):
    # Guards against a successor that has the row of a worker, polls it before
    # it can read entries, and then reads that of the former incarnation.
    site, daemons = cell
    owner = owner_of(daemons)
    site.workers['w0'].crash(is_refusing=True)
    site.submit(daemons[0], JOB, LABELLED, duration_ms=60_000)
    site.run(300)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 9_000)
    set_store(daemons, 'is_down', True)
    restart(site, STORE_DOWN_MS + 1_400)
    site.run(2_000)
    assert state_at(owner_of(daemons)) is _eligibility.WorkerState.NOT_LISTED
    site.run(STORE_DOWN_MS - 2_000)
    set_store(daemons, 'is_down', False)
    site.run(1_300)
    assert state_at(owner_of(daemons)) is (
        _eligibility.WorkerState.NOT_DESCRIBED
    )
    site.run(8_000)
    assert state_at(owner_of(daemons)) is _eligibility.WorkerState.USABLE
    assert site.history == []


def test_worker_whose_own_entry_never_comes_is_used_again(cell):
    # Guards against a worker that is closed for good as its entry, which it
    # or another writer writes, has another start time than its reports.
    site, daemons = cell
    restart(site, 60_000, KIND)
    site.run(500)
    site.submit(daemons[0], JOB, LABELLED, duration_ms=300)
    site.run(DESCRIPTION_WAIT_MS - 1_000)
    assert site.history == []
    # A read that is sent after the wait has to be answered.
    site.run(1_000 + 2 * const.FOLLOW_WAIT_MS + 500)
    assert len(site.history) == 4


def test_wait_for_an_entry_begins_anew_when_the_store_was_away(cell):
    # Guards against a start by the entry of the former incarnation right
    # after an outage of the store, before the present one has written its own.
    site, daemons = cell
    owner = owner_of(daemons)
    restart(site, 60_000)
    site.run(2_000)
    site.submit(daemons[0], JOB, LABELLED, duration_ms=300)
    site.run(200)
    set_store(daemons, 'is_down', True)
    site.run(STORE_DOWN_MS)
    set_store(daemons, 'is_down', False)
    assert owner.is_owner
    site.run(DESCRIPTION_WAIT_MS - 500)
    assert owner.is_owner
    assert site.history == []


def test_entry_that_cannot_be_read_costs_no_work(cell):
    # Guards against runs that are lost, and a worker that stays closed, when
    # the entry holds a start time that is no number. It counts as no entry.
    site, daemons = cell
    site.submit(daemons[0], JOB, LABELLED, duration_ms=20_000)
    site.run_until(lambda: len(site.history) == 4, 2_000)
    info = site.workers['w0'].info
    for _ in range(3):
        site.store.unregister_worker('w0')
        site.run(1_500)
        site.store.register_worker(info)
        site.run(1_500)
        assert state_at(owner_of(daemons)) is _eligibility.WorkerState.USABLE
    site.run(14_000)
    assert [run.outcome for run in site.history] == ['done'] * 4
    assert site.state(daemons[0], JOB) == 'completed'
