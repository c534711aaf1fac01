"""Test that the wait for a worker's runs is carried over between owners.

The row of a worker that an owner cannot reach holds when all runs there have
ended. A task must never run twice at
once, whenever the worker returns.
"""

import json
import random

import pytest

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins import fleet
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
TASKS = (scheduling.StepSpec(count=6, cpu=2_000),)
TERM_MS = 1_500
RESTARTS = 5


@pytest.fixture
def cell():
    """Return a site with a long task, its worker and the daemons."""
    return make_cell()


def make_cell(steps=ONE_TASK, duration_ms=60_000, seed=1):
    """Return a site whose tasks run, the name of a worker, and daemons."""
    site = fleet.FleetSimulation(seed)
    for number in range(3):
        site.add_worker(f'w{number}')
    daemons = [site.add_daemon(f'front-{n}') for n in range(RESTARTS + 2)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(500)
    site.submit(daemons[0], JOB, steps, duration_ms=duration_ms)
    site.run(1_000)
    return site, site.history[0].worker, daemons


def row_of(site, worker):
    """Return the decoded row of a worker, or None."""
    key = layout.WORKER_PREFIX + worker
    row = site.store.rows.get((layout.OWNER_TABLE, layout.CELL_PART, key))
    return None if row is None else json.loads(row.value)


def holds_end(site, worker):
    """Return whether the row of a worker holds the end of its runs."""
    row = row_of(site, worker)
    return row is not None and len(row) == 4


def set_reachable(site, daemons, worker, is_reachable):
    """Connect a worker to all daemons, or disconnect it from them.

    While it is disconnected, it is not registered either.
    """
    for daemon in daemons:
        daemon.orders.faults.unreachable = set() if is_reachable else {worker}
    set_registered(site, worker, is_reachable)


def set_registered(site, worker, is_registered):
    """Register a worker, or remove its registration."""
    if is_registered:
        site.store.register_worker(site.workers[worker].info)
    else:
        site.store.unregister_worker(worker)


def restart_owner(site, daemons, run_ms=TERM_MS):
    """Shut the owner down and let its successor act for some time."""
    owner = owner_of(daemons)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
    site.run(run_ms)


def intercept_row_commits(daemon, handle):
    """Let a coroutine handle the daemon's commits of rows of workers."""
    task = daemon.kernel.find('store')
    real = task._commit

    async def commit(msg):
        if any(put.key.startswith(layout.WORKER_PREFIX) for put in msg.puts):
            return await handle(msg, real)
        return await real(msg)

    task._commit = commit


def lose_answers(site, daemon, effect_delay_ms, count=1_000):
    """Apply the daemon's first commits of worker rows late, unanswered."""
    remaining = [count]

    async def handle(msg, real):
        if not remaining[0]:
            return await real(msg)
        remaining[0] -= 1
        site.clock.call_later(effect_delay_ms, lambda: site.store.commit(msg))
        await daemon.kernel.sleep(1_500)
        raise store.StoreError('no answer', core.Verdict.MAY_HAVE_RUN)

    intercept_row_commits(daemon, handle)


@pytest.mark.parametrize('return_ms', range(0, 14_000, 700))
def test_worker_that_returns_around_changes_of_owner(return_ms):
    # Guards against a second run of a task while the first goes on at a
    # worker that returns before or after its carried end.
    site, worker, daemons = make_cell(duration_ms=20_000)
    set_reachable(site, daemons, worker, False)
    began_ms = site.clock.now()
    site.clock.call_later(
        return_ms, lambda: set_reachable(site, daemons, worker, True)
    )
    for _ in range(RESTARTS):
        restart_owner(site, daemons)
    site.run(45_000 - (site.clock.now() - began_ms))
    assert site.overlapping_runs() == []
    assert site.state(daemons[0], JOB) == 'completed'
    assert not holds_end(site, worker)


@pytest.mark.parametrize('return_ms', range(100, 3_000, 580))
@pytest.mark.parametrize('reachable_ms', [100, 400, 900, 2_500])
def test_worker_that_returns_and_is_lost_again(return_ms, reachable_ms):
    # Guards against an owner that extends the lease of a worker whose row
    # still holds an end, so that the next owner starts its tasks too early.
    site, worker, daemons = make_cell()
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons, run_ms=1_000)
    assert holds_end(site, worker)
    restart_owner(site, daemons, run_ms=return_ms)
    set_reachable(site, daemons, worker, True)
    site.run(reachable_ms)
    set_reachable(site, daemons, worker, False)
    site.run(50)
    restart_owner(site, daemons, run_ms=25_000)
    assert site.overlapping_runs() == []
    assert len(site.history) > 1


@pytest.mark.parametrize('silent_ms', [100, 1_000, 3_000, 5_000, 9_000])
def test_silent_owner_in_a_chain_of_owners(cell, silent_ms):
    # Guards against a carried end that does not allow for a silent owner,
    # which extends leases of a worker that only it reaches.
    site, worker, daemons = cell
    silent = owner_of(daemons)
    daemons.remove(silent)
    silent.store.faults.is_unresponsive = True
    silent.orders.faults.unreachable = set(site.workers) - {worker}
    set_reachable(site, daemons, worker, False)
    site.run_until(lambda: any(d.is_owner for d in daemons), 6_000)
    site.run(silent_ms)
    is_waiting = len(site.history) == 1
    assert is_waiting == (silent_ms < 6_000)
    restart_owner(site, daemons, run_ms=500)
    # After the wait the worker, which is not registered, has no row.
    assert holds_end(site, worker) == is_waiting
    assert (row_of(site, worker) is None) != is_waiting
    restart_owner(site, daemons, run_ms=500)
    site.run(25_000)
    assert len(site.history) == 2
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('return_ms', range(0, 2_000, 400))
def test_replaced_writer_of_an_end_extends_no_lease(return_ms):
    # Guards against a silent owner that reaches a worker again after it has
    # written the end of its runs, and extends the lease.
    site, worker, daemons = make_cell()
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons, run_ms=1_000)
    assert holds_end(site, worker)
    writer = owner_of(daemons)
    daemons.remove(writer)
    writer.store.faults.is_unresponsive = True
    site.run(return_ms)
    writer.orders.faults.unreachable = set()
    site.run_until(lambda: any(d.is_owner for d in daemons), 6_000)
    site.run(25_000)
    assert len(site.history) > 1
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('effect_delay_ms', [0, 700, 4_000])
@pytest.mark.parametrize('return_ms', [300, 400, 600, 1_000, 2_200])
@pytest.mark.parametrize('count', [1, 5])
def test_late_commit_of_an_end_does_not_shorten_a_wait(
    effect_delay_ms, return_ms, count
):
    # Guards against an end that is written late, after the owner has
    # extended the lease of the worker.
    site, worker, daemons = make_cell()
    set_reachable(site, daemons, worker, False)
    for daemon in daemons:
        lose_answers(site, daemon, effect_delay_ms, count)
    restart_owner(site, daemons, run_ms=return_ms)
    set_reachable(site, daemons, worker, True)
    site.run(3_000)
    set_reachable(site, daemons, worker, False)
    site.run(50)
    restart_owner(site, daemons, run_ms=25_000)
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('effect_delay_ms', [0, 700, 4_000])
def test_end_that_may_be_stored_holds_leases_back(cell, effect_delay_ms):
    # Guards against a lease while an unanswered commit may have written, or
    # may yet write, the end of all runs into the row.
    site, worker, daemons = cell
    set_reachable(site, daemons, worker, False)
    leases = record_leases(daemons, worker)
    for daemon in daemons:
        lose_answers(site, daemon, effect_delay_ms)
    restart_owner(site, daemons, run_ms=1_000)
    leases.clear()
    set_reachable(site, daemons, worker, True)
    site.run(9_000)
    assert leases == []
    assert site.overlapping_runs() == []


def record_leases(daemons, worker):
    """Return a list to which each lease requested of a worker is added."""
    leases = []
    for daemon in daemons:
        task = daemon.kernel.find('orders')

        def record(real):
            def handle(msg):
                if msg.target.worker == worker and msg.lease_end_ms:
                    leases.append(msg.lease_end_ms)
                return real(msg)

            return handle

        task._poll = record(task._poll)
        task._start = record(task._start)
    return leases


@pytest.mark.parametrize('successors', [0, 1])
def test_worker_with_an_end_gets_its_lease_after_its_row(cell, successors):
    # Guards against a lease before the row without the end is stored, under
    # the owner that wrote it or a later one, and against polls without a
    # pause until then.
    site, worker, daemons = cell
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons)
    for _ in range(successors):
        restart_owner(site, daemons, run_ms=500)
    assert holds_end(site, worker)
    owner = owner_of(daemons)

    async def refuse(msg, real):
        raise store.StoreError('refused')

    real = owner.kernel.find('store')._commit
    intercept_row_commits(owner, refuse)
    leases = record_leases(daemons, worker)
    polls = []
    poll = site.workers[worker].poll
    site.workers[worker].poll = lambda msg: polls.append(msg) or poll(msg)
    set_reachable(site, daemons, worker, True)
    site.run(3_000)
    assert holds_end(site, worker)
    assert leases == []
    assert 1 < len(polls) <= 15
    owner.kernel.find('store')._commit = real
    site.run_until(lambda: not holds_end(site, worker), 500)
    site.run_until(lambda: bool(leases), 500)
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('reachable_ms', [500, 1_500, 3_000])
def test_owner_that_cannot_clear_an_end_extends_no_run(cell, reachable_ms):
    # Guards against a successor that starts a task at the carried end while
    # the owner before has extended its lease.
    site, worker, daemons = cell
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons, run_ms=500)
    restart_owner(site, daemons, run_ms=500)
    assert holds_end(site, worker)
    owner = owner_of(daemons)

    async def refuse(msg, real):
        raise store.StoreError('refused')

    intercept_row_commits(owner, refuse)
    set_reachable(site, daemons, worker, True)
    site.run(reachable_ms)
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons, run_ms=25_000)
    assert len(site.history) > 1
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('restart_ms', range(0, 3_000, 300))
def test_worker_that_restarts_under_its_id_with_a_carried_end(restart_ms):
    # Guards against tasks on a new incarnation of a worker while its row
    # holds the end of the runs of the former one.
    site, worker, daemons = make_cell(TASKS)
    site.workers[worker].crash()
    set_registered(site, worker, False)
    restart_owner(site, daemons, run_ms=restart_ms)
    site.add_worker(worker, process_start_ms=2)
    site.submit(daemons[0], 'b' * 16, TASKS, duration_ms=60_000)
    site.run(500)
    restart_owner(site, daemons, run_ms=9_000)
    assert not holds_end(site, worker)
    assert any(
        run.worker == worker and not run.outcome for run in site.history
    )
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons, run_ms=500)
    restart_owner(site, daemons, run_ms=20_000)
    assert site.overlapping_runs() == []


def test_store_that_sends_no_time_leaves_the_wait_as_it_was(cell):
    # Guards against an end that is derived from an unknown time.
    site, worker, daemons = cell
    site.store.sends_time = False
    site.run(1_000)
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons)
    restart_owner(site, daemons)
    assert len(row_of(site, worker)) == 3
    claimed_ms = site.clock.now() - TERM_MS
    site.run_until(lambda: len(site.history) > 1, 9_000)
    assert site.clock.now() - claimed_ms >= 6_000
    assert site.overlapping_runs() == []


def test_each_worker_is_waited_for_until_its_own_end(cell):
    # Guards against a worker that was lost long ago and is waited for as
    # long as one that was lost just now.
    site, worker, daemons = cell
    first, second = [name for name in site.workers if name != worker]
    set_reachable(site, daemons, first, False)
    restart_owner(site, daemons, run_ms=4_000)
    for daemon in daemons:
        daemon.orders.faults.unreachable = {first, second}
    set_registered(site, second, False)
    restart_owner(site, daemons, run_ms=1_000)
    takeover = owner_of(daemons).kernel.find('cell')._owner_term._takeover
    assert takeover.update(site.clock.now()).worker_ids == {first, second}
    site.run(2_500)
    assert takeover.update(site.clock.now()).worker_ids == {second}
    site.run(4_000)
    assert takeover.update(site.clock.now()).are_known


def test_end_later_than_the_deadline_of_the_owner_changes_nothing(cell):
    # Guards against a wait without limit for a worker whose row holds a time
    # far in the future, as the store's clock began anew.
    site, worker, daemons = cell
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons)
    key = layout.WORKER_PREFIX + worker
    row = [*row_of(site, worker)[:3], 10**15]
    site.store.commit(
        store.CommitRows(
            table=layout.OWNER_TABLE,
            part=layout.CELL_PART,
            checks=(),
            puts=(store.Put(key=key, value=json.dumps(row).encode()),),
        )
    )
    restart_owner(site, daemons, run_ms=9_000)
    assert len(site.history) == 2
    assert site.overlapping_runs() == []


def test_registered_worker_past_its_end_is_not_removed(cell):
    # Guards against a worker that is forgotten before the successor has read
    # which workers are registered.
    site, worker, daemons = cell
    set_reachable(site, daemons, worker, False)
    restart_owner(site, daemons, run_ms=1_000)
    assert holds_end(site, worker)
    set_registered(site, worker, True)
    site.run(8_000)
    assert holds_end(site, worker)
    for daemon in daemons:
        task = daemon.kernel.find('store')
        real = task._read_workers

        async def read_slowly(daemon=daemon, real=real):
            await daemon.kernel.sleep(1_000)
            return await real()

        task._read_workers = read_slowly
    site.shut_down(owner_of(daemons))
    daemons[:] = [daemon for daemon in daemons if not daemon.is_owner]
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
    term = owner_of(daemons).kernel.find('cell')._owner_term
    for _ in range(500):
        site.run(5)
        assert worker in term._scheduler.workers
        assert holds_end(site, worker)
    assert term._takeover.update(site.clock.now()).are_known
    set_reachable(site, daemons, worker, True)
    site.run(1_000)
    assert not holds_end(site, worker)
    assert term._scheduler.workers[worker].is_recorded


def set_random_faults(site, daemons, rng):
    """Set random faults between the daemons, the store and the workers.

    Most of the lost workers lose their registration.
    """
    lost = {name for name in site.workers if rng.random() < 0.35}
    for name in site.workers:
        is_registered = name not in lost or rng.random() < 0.3
        if is_registered != (name in site.store.workers):
            set_registered(site, name, is_registered)
    for daemon in daemons:
        faults = daemon.orders.faults
        faults.unreachable = set(lost)
        if rng.random() < 0.2:
            faults.unreachable = {rng.choice(sorted(site.workers))}
        daemon.store.faults.unanswered_commits = rng.choice([0, 0, 0, 1, 3])
        daemon.store.faults.effect_delay_ms = rng.choice([0, 400, 1_500])
        daemon.store.faults.is_unresponsive = rng.random() < 0.1


@pytest.mark.parametrize('seed', range(1, 13))
def test_random_changes_of_owner_and_workers(seed):
    # Guards against combinations of lost workers, silent owners, restarts
    # and late commits that run a task twice at once.
    rng = random.Random(seed)
    site, _, daemons = make_cell(TASKS, duration_ms=7_000, seed=seed)
    for number in range(24):
        job = f'{number:016x}'
        duration_ms = rng.choice([800, 4_000, 15_000])
        site.submit(rng.choice(daemons), job, ONE_TASK, duration_ms)
        set_random_faults(site, daemons, rng)
        owners = [daemon for daemon in daemons if daemon.is_owner]
        if owners and rng.random() < 0.5:
            site.shut_down(owners[0])
            daemons.remove(owners[0])
            daemons.append(site.add_daemon(f'more-{number}'))
        if rng.random() < 0.1:
            name = rng.choice(sorted(site.workers))
            site.workers[name].crash()
            site.add_worker(name, process_start_ms=number + 2)
        site.run(rng.choice([300, 900, 1_500, 2_500]))
    for daemon in daemons:
        daemon.store.faults = fleet.StoreFaults()
        daemon.orders.faults = fleet.OrderFaults()
    for name in site.workers:
        set_registered(site, name, True)
    site.run(40_000)
    assert site.overlapping_runs() == []
    assert len([daemon for daemon in daemons if daemon.is_owner]) == 1
    assert not any(holds_end(site, name) for name in site.workers)


@pytest.mark.parametrize('latency_ms', [450, 1_000])
def test_healthy_workers_behind_a_slow_link_keep_their_leases(latency_ms):
    # Guards against an owner that holds the leases of registered workers
    # which are merely slow to answer, and writes their rows twice.
    site, worker, daemons = make_cell(TASKS)
    for daemon in daemons:
        delay_orders(daemon, latency_ms)
    rows = worker_rows(site)
    leases = {name: record_leases(daemons, name) for name in site.workers}
    restart_owner(site, daemons, run_ms=0)
    for requested in leases.values():
        requested.clear()
    writes = []
    for daemon in daemons:
        record_row_commits(daemon, writes)
    site.run(2 * latency_ms + 100)
    assert all(leases.values())
    site.run(12_000)
    assert writes == []
    assert worker_rows(site) == rows
    assert not any(run.outcome for run in site.history)
    assert {run.epoch for run in site.history} == {1}


def worker_rows(site):
    """Return the keys and rows of all workers, sorted by key."""
    return sorted(
        (key, row)
        for (_, _, key), row in site.store.rows.items()
        if key.startswith(layout.WORKER_PREFIX)
    )


def record_row_commits(daemon, writes):
    """Add each commit of rows of workers to a list."""

    async def handle(msg, real):
        writes.append(msg)
        return await real(msg)

    intercept_row_commits(daemon, handle)


def delay_orders(daemon, latency_ms):
    """Delay each poll of a daemon on its way to the worker."""
    task = daemon.kernel.find('orders')
    real = task._poll

    async def poll(msg):
        await daemon.kernel.sleep(latency_ms)
        return await real(msg)

    task._poll = poll


@pytest.mark.parametrize('registered_ms', [300, 1_000, 2_500])
def test_worker_that_stays_registered_for_some_time(cell, registered_ms):
    # Guards against a lost worker whose registration expires only under the
    # new owner, and whose wait then begins anew with the next one.
    site, worker, daemons = cell
    set_reachable(site, daemons, worker, False)
    set_registered(site, worker, True)
    restart_owner(site, daemons, run_ms=0)
    claimed_ms = site.clock.now()
    site.run(registered_ms)
    set_registered(site, worker, False)
    site.run(1_300)
    assert holds_end(site, worker)
    for _ in range(2):
        restart_owner(site, daemons)
    site.run_until(lambda: len(site.history) > 1, 9_000)
    assert site.clock.now() - claimed_ms <= 7_500
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('delay_ms', [600, 1_000])
def test_end_is_written_only_once_the_registered_workers_are_known(
    cell, delay_ms
):
    # Guards against the end in the row of a registered worker, as the owner
    # has not read yet which workers are registered.
    site, worker, daemons = cell
    set_reachable(site, daemons, worker, False)
    set_registered(site, worker, True)
    for daemon in daemons:
        task = daemon.kernel.find('store')
        real = task._read_workers

        async def read_slowly(daemon=daemon, real=real):
            await daemon.kernel.sleep(delay_ms)
            return await real()

        task._read_workers = read_slowly
    # Polls have not failed for long enough until then.
    restart_owner(site, daemons, run_ms=1_500)
    assert not holds_end(site, worker)


def test_worker_that_had_a_lease_gets_no_end_after_a_restart(cell):
    # Guards against an owner that has requested a lease and later takes the
    # worker for one that it has never reached, as it restarted under its id.
    site, worker, daemons = cell
    restart_owner(site, daemons)
    site.workers[worker].crash()
    for daemon in daemons:
        daemon.orders.faults.unreachable = {worker}
    site.add_worker(worker, process_start_ms=2)
    site.run(500)
    scheduler = owner_of(daemons).kernel.find('cell')._owner_term._scheduler
    assert scheduler.workers[worker].announced is not None
    set_registered(site, worker, False)
    site.run(2_500)
    assert not scheduler.workers[worker].is_listed
    assert not holds_end(site, worker)
