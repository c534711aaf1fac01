"""Tests that failures neither run a task twice nor lose a job."""

import json

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import owner_of
from oriolestand_standins.fleet import result_of

ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)


def survivors(daemons, lost):
    return [daemon for daemon in daemons if daemon is not lost]


def test_successor_adopts_running_tasks(site, daemons):
    # Tasks that keep running when the owner is lost must not run again.
    site.submit(daemons[0], 'a' * 16, duration_ms=8_000)
    site.run(1_000)
    lost = owner_of(daemons)
    lost.disconnect()
    rest = survivors(daemons, lost)
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    site.run(9_000)
    assert site.state(rest[0], 'a' * 16) == 'completed'
    assert len(site.history) == 2
    assert site.overlapping_runs() == []


def test_released_cell_is_claimed_at_once(site, daemons):
    # A planned shutdown must not leave the cell without an owner.
    lost = owner_of(daemons)
    site.shut_down(lost)
    rest = survivors(daemons, lost)
    site.run_until(lambda: any(d.is_owner for d in rest), 1_000)


def test_ends_are_acknowledged_after_their_records(site, daemons):
    # If a poll with an end that changes no record acknowledged earlier ends
    # that still wait for the store, a successor would run finished tasks
    # again.
    one = (scheduling.StepSpec(count=1, cpu=7_000),)
    site.submit(daemons[0], 'a' * 16, one, duration_ms=2_000)
    site.run(600)
    busy = site.history[0].worker
    site.submit(daemons[0], 'b' * 16, ONE_TASK * 1, duration_ms=2_500)
    site.submit(daemons[0], 'c' * 16, ONE_TASK * 1, duration_ms=2_500)
    site.submit(daemons[0], 'd' * 16, ONE_TASK * 1, duration_ms=2_500)
    site.run(600)
    assert any(r.worker == busy for r in site.history[1:])
    lost = owner_of(daemons)
    for daemon in daemons:
        daemon.store.faults.is_down = True
    cell = lost.kernel.find('cell')
    for job in ('b' * 16, 'c' * 16, 'd' * 16):
        cell._owner_term.cancel_job(job)
    site.run(3_000)
    lost.disconnect()
    rest = survivors(daemons, lost)
    for daemon in rest:
        daemon.store.faults.is_down = False
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    site.run(6_000)
    assert site.repeated_runs() == []
    assert len([r for r in site.history if r.key.job == 'a' * 16]) == 1


def test_late_start_does_not_run_twice(site, daemons):
    # A start order without an answer may take effect seconds later.
    owner = owner_of(daemons)
    owner.orders.faults.unanswered_starts = 1
    owner.orders.faults.effect_delay_ms = 3_000
    site.submit(daemons[0], 'a' * 16, ONE_TASK, duration_ms=2_000)
    site.run(9_000)
    assert site.state(daemons[0], 'a' * 16) == 'completed'
    assert site.overlapping_runs() == []
    assert len([r for r in site.history if r.outcome == 'done']) == 1


def test_task_moves_only_after_the_lease_of_an_unreachable_worker(
    site, daemons
):
    # A second run must not start while the first may still be running.
    site.submit(daemons[0], 'a' * 16, ONE_TASK, duration_ms=20_000)
    site.run(500)
    worker = site.history[0].worker
    for daemon in daemons:
        daemon.orders.faults.unreachable = {worker}
    site.run(12_000)
    assert len(site.history) == 2
    assert site.history[0].outcome == 'lapsed'
    assert site.overlapping_runs() == []


def test_owner_without_store_keeps_leases(site, daemons):
    # Tasks must not end because the store is unavailable for a while.
    site.submit(daemons[0], 'a' * 16, ONE_TASK, duration_ms=9_000)
    site.run(500)
    for daemon in daemons:
        daemon.store.faults.is_down = True
    site.run(7_000)
    for daemon in daemons:
        daemon.store.faults.is_down = False
    site.run(4_000)
    assert [r.outcome for r in site.history] == ['done']
    assert site.state(daemons[0], 'a' * 16) == 'completed'


def test_owner_without_store_access_is_fenced_off(site, daemons):
    # Two owners must not give orders to the same workers.
    site.submit(daemons[0], 'a' * 16, duration_ms=15_000)
    site.run(500)
    former = owner_of(daemons)
    former.store.faults.is_unresponsive = True
    rest = survivors(daemons, former)
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    site.run(1_500)
    assert not former.is_owner
    site.run(15_000)
    assert site.overlapping_runs() == []
    assert len(site.history) == 2


def test_owner_ends_its_term_after_a_long_store_outage(site, daemons):
    # A successor would have to wait for an isolated owner that extends
    # leases indefinitely.
    former = owner_of(daemons)
    former.store.faults.is_unresponsive = True
    for daemon in survivors(daemons, former):
        daemon.store.faults.is_down = True
    site.run(15_000)
    assert not former.is_owner


@pytest.mark.parametrize('effect_delay_ms', [0, 700, 3_000])
def test_lost_answer_of_the_store_does_not_refuse_a_job(
    site, daemons, effect_delay_ms
):
    # A job must not be refused if it was stored but the answer was lost.
    follower = follower_of(daemons)
    follower.store.faults.unanswered_commits = 1
    follower.store.faults.effect_delay_ms = effect_delay_ms
    fut = site.submit(follower, 'a' * 16, ONE_TASK)
    site.run(5_000)
    assert result_of(fut) in (True, False)
    assert site.state(daemons[0], 'a' * 16) == 'completed'
    assert len(site.history) == 1


@pytest.mark.parametrize('fault', ['is_down', 'is_unresponsive'])
def test_repeated_submission_is_not_refused_as_not_stored(
    site, daemons, fault
):
    # The first answer was lost after the job had been stored. Another daemon
    # that cannot consult the store told the caller that it never runs.
    first, second = daemons[0], daemons[1]
    second.store.faults.paused_tables = {layout.TABLE}
    site.run(1_500)
    setattr(second.store.faults, fault, True)
    site.run(3_500)
    first.store.faults.unanswered_commits = 100
    site.submit(first, 'a' * 16, ONE_TASK)
    fut = site.submit(second, 'a' * 16, ONE_TASK)
    site.run(5_000)
    assert isinstance(result_of(fut), jobs.JobInDoubtError)
    assert len(site.history) == 1


def test_job_is_refused_at_once_when_the_store_refuses(site, daemons):
    # A caller must not wait if its job cannot be stored.
    follower = follower_of(daemons)
    follower.store.faults.is_down = True
    fut = site.submit(follower, 'a' * 16, ONE_TASK)
    site.run(700)
    assert isinstance(result_of(fut), jobs.JobInDoubtError)
    follower.store.faults.is_down = False
    site.run(3_000)
    assert site.history == []


def test_unanswered_commit_leaves_a_job_in_doubt(site, daemons):
    # A refusal would be wrong if the store has applied the commit.
    follower = follower_of(daemons)
    follower.store.faults.is_unresponsive = True
    fut = site.submit(follower, 'a' * 16, ONE_TASK)
    site.run(3_500)
    assert isinstance(result_of(fut), jobs.JobInDoubtError)


def test_lost_answers_do_not_revert_records(site, daemons):
    # A delayed write of an older record must not replace a newer one.
    owner = owner_of(daemons)
    steps = tuple(
        scheduling.StepSpec(count=1, cpu=1_000, after=tuple(range(n)))
        for n in range(4)
    )
    owner.store.faults.effect_delay_ms = 900
    site.submit(follower_of(daemons), 'a' * 16, steps, duration_ms=300)
    for _ in range(8):
        owner.store.faults.unanswered_commits = 1
        site.run(400)
    site.run(6_000)
    assert site.state(daemons[0], 'a' * 16) == 'completed'
    assert len(site.history) == 4
    rows = site.store.rows
    for table, prefix in (
        (layout.TABLE, layout.RECORD_PREFIX),
        (layout.OWNER_TABLE, layout.PROGRESS_PREFIX),
    ):
        row = rows[(table, layout.CELL_PART, prefix + 'a' * 16)]
        assert json.loads(row.value)['outcome'] == 'completed'


@pytest.mark.parametrize('delay_ms', [0, 400, 1_500, 6_000])
def test_commits_of_the_owner_have_no_effect_when_applied_again(
    site, daemons, delay_ms
):
    # The store may apply a commit seconds late. It must not revert a record
    # that is newer, nor bring back the row of a worker that has left.
    applied_again = []
    commit = site.store.commit

    def commit_twice(msg):
        result = commit(msg)
        if any(put.table == layout.OWNER_TABLE for put in msg.puts):
            site.clock.call_later(
                delay_ms, lambda: applied_again.append(commit(msg).is_applied)
            )
        return result

    site.store.commit = commit_twice
    site.add_worker('w9')
    site.submit(daemons[0], 'a' * 16, duration_ms=300)
    site.run(1_000)
    site.store.unregister_worker('w9')
    site.workers['w9'].crash()
    site.run(20_000)
    assert site.state(daemons[0], 'a' * 16) == 'completed'
    assert len(applied_again) > 3
    assert not any(applied_again)
    assert not any('w9' in key for *_, key in site.store.rows)


def test_table_is_read_again_after_the_history_is_lost(site, daemons):
    # Jobs must not be missed if the store compacts its change history.
    site.store.truncate_history()
    site.submit(daemons[0], 'a' * 16, ONE_TASK)
    site.run(300)
    site.store.truncate_history()
    site.submit(daemons[1], 'b' * 16, ONE_TASK)
    site.run(4_000)
    for daemon in daemons:
        assert site.state(daemon, 'a' * 16) == 'completed'
        assert site.state(daemon, 'b' * 16) == 'completed'


def test_all_daemons_killed_at_once(site, daemons):
    # Jobs must neither be lost nor run twice after a power failure.
    site.submit(daemons[0], 'a' * 16, duration_ms=4_000)
    site.submit(daemons[0], 'b' * 16, duration_ms=300)
    site.run(1_500)
    for daemon in daemons:
        daemon.disconnect()
    site.run(1_000)
    fresh = [site.add_daemon(f'front-{n}') for n in range(3)]
    site.run(9_000)
    assert site.state(fresh[0], 'a' * 16) == 'completed'
    assert site.state(fresh[0], 'b' * 16) == 'completed'
    assert len(site.history) == 4
    assert site.repeated_runs() == []


def test_restarted_worker_has_lost_its_runs(site, daemons):
    # The owner must not wait for runs that ended in a crash of the worker.
    site.submit(daemons[0], 'a' * 16, ONE_TASK, duration_ms=5_000)
    site.run(500)
    name = site.history[0].worker
    site.workers[name].crash()
    site.run(300)
    site.add_worker(name, process_start_ms=2)
    site.run(7_000)
    assert site.state(daemons[0], 'a' * 16) == 'completed'
    assert [r.outcome for r in site.history] == ['lost', 'done']


def test_older_configuration_is_ignored(site, daemons):
    # An older version may be read after a newer one.
    site.set_config(5)
    site.run(500)
    site.set_config(3)
    site.run(2_500)
    for daemon in daemons:
        config = daemon.kernel.find('config')
        assert config._config.version == 5


def test_successor_waits_for_unreachable_workers(site, daemons):
    # A task must not be started again while it may still run on a worker
    # that has not yet answered the successor.
    site.submit(daemons[0], 'a' * 16, ONE_TASK, duration_ms=7_000)
    site.run(500)
    worker = site.history[0].worker
    lost = owner_of(daemons)
    rest = survivors(daemons, lost)
    for daemon in rest:
        daemon.orders.faults.unreachable = {worker}
    lost.store.faults.is_unresponsive = True
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    site.run(2_000)
    assert len(site.history) == 1
    for daemon in rest:
        daemon.orders.faults.unreachable = set()
    site.run(6_000)
    assert site.overlapping_runs() == []
    assert [r.outcome for r in site.history] == ['done']


def test_daemon_out_of_reach_of_the_store_refuses_at_once(site, daemons):
    # A daemon that has detected that it cannot reach the store must not make
    # callers wait, as another daemon can serve them.
    follower = follower_of(daemons)
    follower.store.faults.is_unresponsive = True
    site.run(3_500)
    fut = site.submit(follower, 'a' * 16, ONE_TASK)
    site.run(50)
    assert isinstance(result_of(fut), jobs.JobInDoubtError)
    follower.store.faults.is_unresponsive = False
    site.run(3_000)
    fut = site.submit(follower, 'a' * 16, ONE_TASK)
    site.run(3_000)
    assert result_of(fut) is True


def test_job_larger_than_a_row_is_refused(site, daemons):
    # The store would refuse the row of such a job on every retry.
    steps = tuple(
        scheduling.StepSpec(count=1, cpu=1, image='x' * 1_000)
        for _ in range(70)
    )
    fut = site.submit(daemons[0], 'a' * 16, steps)
    site.run(100)
    assert result_of(fut).code == 'bad_job'


def test_task_of_a_hung_worker_runs_elsewhere(site, daemons):
    # A job must not wait until a hung worker recovers.
    site.submit(daemons[0], 'a' * 16, ONE_TASK, duration_ms=2_000)
    site.run(600)
    first = site.history[0]
    site.workers[first.worker].is_stalled = True
    site.run(6_000)
    assert site.state(daemons[0], 'a' * 16) == 'completed'
    assert site.history[1].worker != first.worker
    assert site.overlapping_runs() == []


def test_successor_restores_the_interference_model(site, daemons):
    # Without the model, interference would slow service tasks down again
    # after each change of the owner.
    lost = owner_of(daemons)
    learned = scheduling.LearnedPressure(
        pairs=(
            scheduling.PairWeight(
                image='web', filling='loud', weight=2.0, variance=0.01
            ),
        ),
        bases={'web': 4},
        period_ms=9_000.0,
    )
    lost.kernel.find('cell')._owner_term._scheduler.pressure.restore(learned)
    site.run(4_000)
    lost.disconnect()
    rest = survivors(daemons, lost)
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    owner_term = owner_of(rest).kernel.find('cell')._owner_term
    assert owner_term._scheduler.pressure.learned() == learned
