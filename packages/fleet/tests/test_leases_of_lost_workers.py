"""Test how soon service tasks of a crashed worker start again.

The worker does not come back and stays registered for some seconds, as its
registration expires only after missed heartbeats.
"""

import json

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins import fleet
from oriolestand_standins.fleet import owner_of

SERVICE = 'a' * 16
ONE_SERVICE = (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),)
FEW_TASKS = (scheduling.StepSpec(count=1, cpu=500),)
MANY_TASKS = (scheduling.StepSpec(count=8, cpu=1_000),)
EXPIRY_MS = 4_500
"""After three missed heartbeats the registration of a worker is removed."""

LEASE_LIMIT_MS = 7_100
"""A worker may get its last lease when it crashes. It lasts 6 s, 2% more on a
slow clock, and 0.7 s are allowed to end runs; the rest is for one round."""

SERVICE_LIMIT_MS = 9_000
"""A service task must run again within 6 s, and capacity must have been free
for 3 s."""

TERM_MS = 4_400
GAP_MS = 100


@pytest.fixture
def cell():
    """Return a site whose service task runs, and its daemons."""
    site = fleet.FleetSimulation()
    for number in range(4):
        site.add_worker(f'w{number}')
    daemons = [site.add_daemon(f'front-{n}') for n in range(6)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(500)
    site.submit(daemons[-1], SERVICE, ONE_SERVICE, duration_ms=120_000)
    site.run(2_000)
    return site, daemons


def crash_worker(site, *, is_refusing=True):
    """Crash the worker of the service task; return the time."""
    worker = service_runs(site)[0].worker
    site.workers[worker].crash(is_refusing=is_refusing)
    site.clock.call_later(
        EXPIRY_MS, lambda: site.store.unregister_worker(worker)
    )
    return site.clock.now()


def service_runs(site):
    """Return the runs of the service task, the oldest first."""
    return [run for run in site.history if run.key.job == SERVICE]


def submit_short_jobs(site, daemon, steps, duration_ms):
    """Submit a job of short tasks at a fixed interval."""
    for number in range(duration_ms // GAP_MS):
        job = f'{number:016x}'
        site.submit(daemon, job, steps, duration_ms=300)
        site.run(GAP_MS)


def assert_is_back(site, crashed_ms, limit_ms):
    """Check that the service task has started again within a limit."""
    site.run_until(lambda: len(service_runs(site)) > 1, 30_000)
    assert service_runs(site)[1].started_ms - crashed_ms <= limit_ms
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('steps', [FEW_TASKS, MANY_TASKS], ids=['few', 'many'])
@pytest.mark.parametrize('is_refusing', [True, False])
def test_starts_at_a_crashed_worker_do_not_prolong_its_lease(
    cell, is_refusing, steps
):
    # Guards against a wait that counts from the last start that the owner
    # has sent to a worker which did not receive it.
    site, daemons = cell
    crashed_ms = crash_worker(site, is_refusing=is_refusing)
    submit_short_jobs(site, daemons[-1], steps, SERVICE_LIMIT_MS)
    assert_is_back(site, crashed_ms, LEASE_LIMIT_MS)


def test_no_start_is_sent_to_a_worker_that_cannot_be_reached(cell):
    # Guards against starts that are refused one after the other by a worker
    # whose polls fail.
    site, daemons = cell
    sent = []
    owner = owner_of(daemons)
    worker = service_runs(site)[0].worker
    task = owner.kernel.find('orders')
    real = task._start
    task._start = lambda msg: sent.append(msg) or real(msg)
    crash_worker(site)
    site.run(GAP_MS)
    sent.clear()
    submit_short_jobs(site, daemons[-1], MANY_TASKS, 3_000)
    assert len(sent) > 20
    assert not any(msg.target.worker == worker for msg in sent)


@pytest.mark.parametrize('is_refusing', [True, False])
@pytest.mark.parametrize('before_ms', [300, 1_500, 3_000, 4_200])
def test_owners_with_short_terms_wait_for_a_registered_worker_once(
    cell, before_ms, is_refusing
):
    # Guards against a wait that begins anew with each owner while the worker
    # is registered, although none of them extends its lease.
    site, daemons = cell
    crashed_ms = crash_worker(site, is_refusing=is_refusing)
    site.run(before_ms)
    while len(daemons) > 2:
        owner = owner_of(daemons)
        site.shut_down(owner)
        daemons.remove(owner)
        site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
        site.run(TERM_MS)
    assert_is_back(site, crashed_ms, SERVICE_LIMIT_MS)


@pytest.mark.parametrize('before_ms', [-2_000, -300, 300, 2_000])
def test_loss_of_an_owner_does_not_delay_tasks_of_a_crashed_worker(
    cell, before_ms
):
    # Guards against a successor that allows for a former owner which goes on
    # to extend leases long after its last renewal.
    site, daemons = cell
    if before_ms > 0:
        crashed_ms = crash_worker(site)
        site.run(before_ms)
    owner = owner_of(daemons)
    daemons.remove(owner)
    owner.disconnect()
    if before_ms <= 0:
        site.run(-before_ms)
        crashed_ms = crash_worker(site)
    assert_is_back(site, crashed_ms, SERVICE_LIMIT_MS)


def set_reachable(site, daemons, worker, is_reachable):
    """Connect a registered worker to all daemons, or cut it off from them."""
    for daemon in daemons:
        daemon.orders.faults.unreachable = set() if is_reachable else {worker}


@pytest.mark.parametrize('return_ms', range(300, 14_000, 700))
def test_registered_worker_that_returns_runs_no_task_twice(cell, return_ms):
    # Guards against a lease that is extended while the row of the worker
    # holds an earlier end of its runs.
    site, daemons = cell
    worker = service_runs(site)[0].worker
    set_reachable(site, daemons, worker, False)
    site.clock.call_later(
        return_ms, lambda: set_reachable(site, daemons, worker, True)
    )
    site.run(2_500)
    while len(daemons) > 2:
        owner = owner_of(daemons)
        site.shut_down(owner)
        daemons.remove(owner)
        site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
        site.run(2_500)
    site.run(10_000)
    assert site.overlapping_runs() == []
    assert [run.outcome for run in service_runs(site)].count('') == 1


@pytest.mark.parametrize('cut_ms', [400, 900, 1_600, 2_300, 3_000])
def test_short_cut_of_a_registered_worker_ends_no_run(cell, cut_ms):
    # Guards against a lease that is not extended in time, as the row of the
    # worker still holds the end of its runs.
    site, daemons = cell
    worker = service_runs(site)[0].worker
    set_reachable(site, daemons, worker, False)
    site.run(cut_ms)
    set_reachable(site, daemons, worker, True)
    site.run(20_000)
    assert [run.outcome for run in service_runs(site)] == ['']


def holds_end(site, worker):
    """Return whether the row of a worker holds the end of its runs."""
    key = layout.WORKER_PREFIX + worker
    row = site.store.rows[layout.OWNER_TABLE, layout.CELL_PART, key]
    return len(json.loads(row.value)) == 4


@pytest.mark.parametrize('reachable_ms', [1_000, 2_500, 4_000])
def test_owner_that_cannot_clear_an_end_extends_no_lease(cell, reachable_ms):
    # Guards against a successor that starts a task at the carried end while
    # the owner before has extended the lease of its worker.
    site, daemons = cell
    worker = service_runs(site)[0].worker
    set_reachable(site, daemons, worker, False)
    site.run_until(lambda: holds_end(site, worker), 4_000)
    owner = owner_of(daemons)
    task = owner.kernel.find('store')
    real = task._commit

    async def refuse_worker_rows(msg):
        if any(put.key.startswith(layout.WORKER_PREFIX) for put in msg.puts):
            raise store.StoreError('refused')
        return await real(msg)

    task._commit = refuse_worker_rows
    set_reachable(site, daemons, worker, True)
    site.run(reachable_ms)
    set_reachable(site, daemons, worker, False)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
    site.run(20_000)
    assert len(service_runs(site)) > 1
    assert site.overlapping_runs() == []


RESTART_MS = 600
CUT_MS = 2_600


@pytest.mark.parametrize('phase_ms', range(0, 1_000, 100))
@pytest.mark.parametrize('lost_ms', [1_400, 2_000])
def test_restart_is_learned_although_a_poll_of_the_former_life_is_open(
    cell, lost_ms, phase_ms
):
    # Guards against a service task that waits for a lease after a change of
    # owner: the worker is back under its id for 2 s before it is cut off, but
    # the owner waits that long for the answer of the former incarnation.
    site, daemons = cell
    worker = service_runs(site)[0].worker
    owner = owner_of(daemons)
    site.run(phase_ms)
    crashed_ms = site.clock.now()
    site.workers[worker].crash()
    site.run(RESTART_MS)
    site.add_worker(worker, process_start_ms=2)
    site.run(lost_ms - RESTART_MS)
    owner.disconnect()
    site.run(CUT_MS - lost_ms)
    for daemon in daemons:
        daemon.orders.faults.unreachable.add(worker)
    assert_is_back(site, crashed_ms, SERVICE_LIMIT_MS)


@pytest.mark.parametrize('is_listed', [False, True])
def test_restarted_worker_that_never_reports_does_not_hold_up_tasks(
    cell, is_listed
):
    # Guards against a service task that waits longer for a worker which is
    # back under its id behind a cut than for one that is lost. A run that has
    # just started is not listed by the former incarnation.
    site, daemons = cell
    second = 'b' * 16
    site.submit(daemons[-1], second, ONE_SERVICE, duration_ms=120_000)
    site.run_until(lambda: site.history[-1].key.job == second, 2_000)
    worker = site.history[-1].worker
    if is_listed:
        site.run(1_100)
    crashed_ms = site.clock.now()
    site.workers[worker].crash()
    for daemon in daemons:
        daemon.orders.faults.unreachable.add(worker)
    site.run(RESTART_MS)
    site.add_worker(worker, process_start_ms=2)
    site.run_until(
        lambda: [r.key.job for r in site.history].count(second) > 1, 30_000
    )
    assert site.history[-1].started_ms - crashed_ms <= LEASE_LIMIT_MS
    assert site.overlapping_runs() == []
