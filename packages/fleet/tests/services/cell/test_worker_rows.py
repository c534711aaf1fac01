"""Tests that the store lists every worker that may run tasks."""

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

LONG = (scheduling.StepSpec(count=20, cpu=2_000),)


def has_row(site, worker):
    key = layout.WORKER_PREFIX + worker
    return any(key == row_key for *_, row_key in site.store.rows)


def test_worker_that_returns_during_its_removal_is_recorded_again(
    site, daemons
):
    # The row of a worker that left and came back is missing if the answer to
    # its removal was lost, so a successor would not look for its runs.
    owner = owner_of(daemons)
    cell = owner.kernel.find('cell')
    site.add_worker('w9')
    site.run(1_000)
    assert has_row(site, 'w9')
    # The removal is applied, but neither copy of it is answered.
    commits = owner.kernel.find('store')
    real = commits._commit

    async def lose_removals(msg):
        result = await real(msg)
        if any(
            put.value is None and put.key == layout.WORKER_PREFIX + 'w9'
            for put in msg.puts
        ):
            await owner.kernel.sleep(1_500)
            raise store.StoreError('the answer was lost')
        return result

    commits._commit = lose_removals
    site.workers['w9'].crash()
    site.store.unregister_worker('w9')
    site.run_until(
        lambda: 'w9' not in cell._owner_term._scheduler.workers, 15_000
    )
    site.add_worker('w8')
    site.run_until(lambda: not has_row(site, 'w9'), 1_000)
    site.add_worker('w9', process_start_ms=2)
    site.run(1_000)
    commits._commit = real
    site.submit(owner, 'a' * 16, LONG, duration_ms=60_000)
    site.run(3_000)
    assert 'w9' in cell._owner_term._scheduler.workers
    runs_there = [r for r in site.history if r.worker == 'w9']
    assert runs_there
    assert has_row(site, 'w9')


def test_runs_of_a_worker_that_returned_do_not_run_twice(site, daemons):
    # As above; the successor cannot reach the worker at first, and starts its
    # tasks again while they run.
    owner = owner_of(daemons)
    cell = owner.kernel.find('cell')
    site.add_worker('w9')
    site.run(1_000)
    site.workers['w9'].crash()
    site.store.unregister_worker('w9')
    site.run_until(
        lambda: 'w9' not in cell._owner_term._scheduler.workers, 15_000
    )
    owner.store.faults.unanswered_commits = 2
    site.add_worker('w8')
    site.run_until(lambda: not has_row(site, 'w9'), 2_000)
    site.add_worker('w9', process_start_ms=2)
    site.run(1_000)
    site.submit(owner, 'a' * 16, LONG, duration_ms=60_000)
    site.run(6_000)
    assert [r for r in site.history if r.worker == 'w9']
    rest = [daemon for daemon in daemons if daemon is not owner]
    for daemon in rest:
        daemon.orders.faults.unreachable = {'w9'}
    owner.disconnect()
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    site.run(1_000)
    assert site.overlapping_runs() == []


def test_worker_that_returns_before_its_removal_is_applied_gets_no_task(
    site, daemons
):
    # A removal that is on its way does not yet count, so tasks would start on
    # a worker whose row is about to disappear.
    owner = owner_of(daemons)
    site.add_worker('w9')
    site.run(1_000)
    commits = owner.kernel.find('store')
    real = commits._commit

    async def delay_removals(msg):
        if any(
            put.value is None and put.key == layout.WORKER_PREFIX + 'w9'
            for put in msg.puts
        ):
            await owner.kernel.sleep(340)
        return await real(msg)

    commits._commit = delay_removals
    cell = owner.kernel.find('cell')
    site.workers['w9'].crash()
    site.store.unregister_worker('w9')
    site.run_until(
        lambda: 'w9' not in cell._owner_term._scheduler.workers, 15_000
    )
    site.add_worker('w8')
    site.submit(owner, 'a' * 16, LONG, duration_ms=60_000)
    site.add_worker('w9', process_start_ms=2)
    for _ in range(400):
        site.run(5)
        runs_there = [r for r in site.history if r.worker == 'w9']
        assert not runs_there or has_row(site, 'w9')
    assert runs_there


def test_row_of_a_lost_worker_is_removed(site, daemons):
    # A successor waits for the reports of all workers that have a row, up to
    # the longest lease and 10 s more.
    owner = owner_of(daemons)
    cell = owner.kernel.find('cell')
    site.add_worker('w9')
    site.run(1_000)
    site.workers['w9'].crash()
    site.store.unregister_worker('w9')
    site.run_until(
        lambda: 'w9' not in cell._owner_term._scheduler.workers, 15_000
    )
    site.run_until(lambda: not has_row(site, 'w9'), 5_000)


def test_workers_of_an_earlier_version_are_forgotten(site):
    # The list of an earlier version was never removed, so that each successor
    # waited for workers that had left long ago.
    site.store.commit(
        store.CommitRows(
            table=layout.TABLE,
            part=layout.CELL_PART,
            checks=(),
            puts=(
                store.Put(
                    key=layout.FLEET_KEY,
                    value=b'[["gone","gone:1","pool","d1"]]',
                ),
            ),
        )
    )
    daemons = [site.add_daemon(f'front-{number}') for number in range(3)]
    site.run(25_000)
    owner = owner_of(daemons)
    cell = owner.kernel.find('cell')
    assert 'gone' not in cell._owner_term._scheduler.workers
    two_steps = (
        scheduling.StepSpec(count=1, cpu=1_000),
        scheduling.StepSpec(count=1, cpu=1_000, after=(0,)),
    )
    site.submit(owner, 'a' * 16, two_steps, duration_ms=1_000)
    site.run(500)
    site.shut_down(owner)
    site.run(4_000)
    rest = [daemon for daemon in daemons if daemon is not owner]
    assert site.state(rest[0], 'a' * 16) == 'completed'
