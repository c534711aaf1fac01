"""Tests that the store lists every worker that may run tasks."""

import dataclasses

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import ownership
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

LONG = (scheduling.StepSpec(count=20, cpu=2_000),)
FILL = (scheduling.StepSpec(count=20, cpu=1_000),)


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


def set_leaving(site, worker, is_leaving=True):
    """Let a worker announce that it leaves, or that it stays."""
    info = dataclasses.replace(
        site.workers[worker].info, is_leaving=is_leaving
    )
    site.store.register_worker(info)


def runs_on(site, worker):
    return [run for run in site.history if run.worker == worker]


@pytest.mark.parametrize('report_limit', [1, 500])
def test_row_of_a_leaving_worker_stays_until_its_ends_are_acknowledged(
    site, daemons, report_limit
):
    # Guards against a successor that does not look for a run, or does not
    # learn its end. A report need not list all ends at once.
    worker = site.workers['w0']
    poll = worker.poll

    async def list_some_ends(msg):
        report = await poll(msg)
        ended = report.ended[:report_limit]
        return dataclasses.replace(report, ended=ended)

    worker.poll = list_some_ends
    site.submit(daemons[0], 'a' * 16, FILL, duration_ms=3_000)
    site.run(1_000)
    assert len(runs_on(site, 'w0')) > 1
    set_leaving(site, 'w0')
    for _ in range(1_000):
        site.run(5)
        if not has_row(site, 'w0'):
            break
        row_ms = site.clock.now()
    assert not has_row(site, 'w0')
    assert all(run.is_acknowledged for run in runs_on(site, 'w0'))
    last_end_ms = max(run.ended_ms for run in runs_on(site, 'w0'))
    assert row_ms - last_end_ms <= 1_000


def test_row_of_a_leaving_worker_stays_until_a_successor_knows_all_ends(
    site, daemons
):
    # As above; the successor knows the runs only from slow reports that list
    # one end each.
    worker = site.workers['w0']
    poll = worker.poll

    async def list_an_end(msg):
        await daemons[0].kernel.sleep(300)
        report = await poll(msg)
        return dataclasses.replace(report, ended=report.ended[:1])

    site.submit(daemons[0], 'a' * 16, FILL, duration_ms=1_500)
    site.run(500)
    set_leaving(site, 'w0')
    owner = owner_of(daemons)
    daemons.remove(owner)
    site.run(500)
    site.shut_down(owner)
    for daemon in daemons:
        daemon.orders.faults.unreachable = {'w0'}
    site.run(1_500)
    worker.poll = list_an_end
    for daemon in daemons:
        daemon.orders.faults.unreachable = set()
    site.run_until(lambda: not has_row(site, 'w0'), 8_000)
    assert len(runs_on(site, 'w0')) > 1
    assert all(run.is_acknowledged for run in runs_on(site, 'w0'))


def test_row_of_a_leaving_worker_stays_until_its_ends_are_stored(
    site, daemons
):
    # Guards against an end that only a former owner knows.
    owner = owner_of(daemons)
    commits = owner.kernel.find('store')
    real = commits._commit

    async def refuse_records(msg):
        if any('a' * 16 in put.key for put in msg.puts):
            raise store.StoreError('refused')
        return await real(msg)

    site.submit(daemons[0], 'a' * 16, FILL, duration_ms=2_000)
    site.run(1_000)
    assert runs_on(site, 'w0')
    commits._commit = refuse_records
    set_leaving(site, 'w0')
    site.run(4_000)
    assert all(run.outcome for run in runs_on(site, 'w0'))
    assert has_row(site, 'w0')
    commits._commit = real
    site.run(2_000)
    assert not has_row(site, 'w0')


def test_row_of_a_leaving_worker_stays_while_a_start_is_in_doubt(
    site, daemons
):
    # Guards against a start order that is carried out after the row has been
    # removed.
    owner = owner_of(daemons)
    owner.orders.faults.unanswered_starts = 20
    owner.orders.faults.effect_delay_ms = 1_000
    site.submit(daemons[0], 'a' * 16, FILL, duration_ms=500)
    site.run(100)
    set_leaving(site, 'w0')
    site.run(800)
    assert not runs_on(site, 'w0')
    assert has_row(site, 'w0')
    for _ in range(1_000):
        site.run(5)
        is_running = any(not run.outcome for run in runs_on(site, 'w0'))
        assert has_row(site, 'w0') or not is_running
    assert not has_row(site, 'w0')


def test_row_of_a_leaving_worker_stays_while_a_former_owner_may_act(
    site, daemons
):
    # Guards against orders of a silent owner to a worker that restarted and
    # that its successor does not look for.
    silent = owner_of(daemons)
    silent.disconnect()
    set_leaving(site, 'w0')
    rest = [daemon for daemon in daemons if daemon is not silent]
    site.run_until(lambda: any(d.is_owner for d in rest), 6_000)
    claimed_ms = site.clock.now()
    site.run_until(lambda: not has_row(site, 'w0'), 15_000)
    waited_ms = site.clock.now() - claimed_ms
    # Loading the cell takes a part of the time.
    assert waited_ms >= ownership.MAX_UNRENEWED_MS - 500


@pytest.mark.parametrize('delay_ms', [0, 200, 340])
@pytest.mark.parametrize('stays_after_ms', range(0, 1_200, 100))
def test_worker_that_stops_leaving_is_recorded_before_its_next_task(
    site, daemons, delay_ms, stays_after_ms
):
    # Guards against a run that a successor does not look for, while the
    # removal of the row is on its way or was applied.
    owner = owner_of(daemons)
    commits = owner.kernel.find('store')
    real = commits._commit

    async def delay_removals(msg):
        if any(put.value is None for put in msg.puts):
            await owner.kernel.sleep(delay_ms)
        return await real(msg)

    commits._commit = delay_removals
    set_leaving(site, 'w0')
    site.run(stays_after_ms)
    site.submit(owner, 'a' * 16, LONG, duration_ms=60_000)
    set_leaving(site, 'w0', is_leaving=False)
    for _ in range(400):
        site.run(5)
        assert not runs_on(site, 'w0') or has_row(site, 'w0')
    assert runs_on(site, 'w0')


def test_leaving_worker_without_a_row_gets_none_from_a_successor(
    site, daemons
):
    # Guards against a successor of the successor that waits for the lease of
    # a worker on which nothing has run since its row was removed.
    set_leaving(site, 'w0')
    site.run(2_000)
    assert not has_row(site, 'w0')
    owner = owner_of(daemons)
    site.shut_down(owner)
    daemons.remove(owner)
    for _ in range(400):
        site.run(5)
        assert not has_row(site, 'w0')
    assert owner_of(daemons)
    set_leaving(site, 'w0', is_leaving=False)
    site.run_until(lambda: has_row(site, 'w0'), 500)


@pytest.mark.parametrize('leave_ms', range(0, 2_400, 300))
@pytest.mark.parametrize('exit_ms', [0, 400, 1_100])
def test_runs_of_a_leaving_worker_do_not_overlap_after_a_change_of_owner(
    site, daemons, leave_ms, exit_ms
):
    # Guards against a successor that starts a task again while it runs on a
    # leaving worker that it cannot reach.
    site.submit(daemons[0], 'a' * 16, FILL, duration_ms=1_700)
    site.submit(daemons[0], 'b' * 16, FILL, duration_ms=9_000)
    site.run(500 + leave_ms)
    set_leaving(site, 'w0')
    site.run(exit_ms)
    owner = owner_of(daemons)
    daemons.remove(owner)
    for daemon in daemons:
        daemon.orders.faults.unreachable = {'w0'}
    site.shut_down(owner)
    site.run(20_000)
    assert site.overlapping_runs() == []
    assert site.repeated_runs() == []
