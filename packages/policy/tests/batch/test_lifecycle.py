"""Guard the life cycle of a task against lost, late and racing events."""

import dataclasses

import pytest

import oriolestand_platform as platform
from oriolestand_policy import batch

ME = 'a/1'
State = batch.TaskState


@pytest.fixture
def world(make_world):
    world = make_world()
    world.submit('t')
    return world


def placed(world, **kw):
    world.submit('t', **kw)
    world.take(ME, 't', 'w0')
    return world


def test_runs_to_its_end(world):
    """A long task outlives several leases by renewals alone."""
    placed(world, work_ms=5_000)
    assert world.row('t').state is State.RUNNING
    world.run(5_100)
    row = world.row('t')
    assert (row.state, row.attempt) == (State.DONE, 1)
    assert row.result == 'worked 5000 ms'
    assert world.freed == [('t', 1)]


def test_lost_answer_to_a_start_starts_once(world):
    """A repeated start must not begin a second run."""
    world.take(ME, 't', 'w0')
    world.submit('u')
    life = batch.Lifecycle(world.row('u'), 1, ME, 0, batch.Timing())
    effects = life.begin('w0')
    effects = life.handle(batch.RowWritten(version=2), 0)
    assert isinstance(effects[0], batch.StartRun)
    assert life.handle(batch.Tick(), 500) == []
    again = life.handle(batch.Tick(), 1_000)
    assert again == effects
    assert again[0].row.attempt == 1


def test_evicted_task_resumes_from_its_last_whole_checkpoint(world):
    """A checkpoint that is still being written must not be used."""
    placed(world, work_ms=2_000)
    world.run(500)
    world.tell(ME, 't', batch.EvictWanted())
    assert world.row('t').checkpoint == '500'
    assert world.row('t').state is State.QUEUED
    world.take(ME, 't', 'w1')
    world.run(300)
    world.workers['w1'].faults.checkpoint_ms = 10_000
    world.tell(ME, 't', batch.EvictWanted())
    world.run(500)
    assert world.row('t').checkpoint == '500'
    assert world.row('t').evictions == 2
    world.take(ME, 't', 'w2')
    world.run(1_600)
    assert world.row('t').state is State.DONE
    assert world.overlaps() == []


def test_finish_wins_over_eviction_when_the_worker_says_so(world):
    """A task that ended while it was evicted must not run again."""
    placed(world, work_ms=300)
    world.clock.advance(400)
    world.tell(ME, 't', batch.EvictWanted())
    assert world.row('t').state is State.DONE


@pytest.mark.parametrize('second', [batch.EvictWanted, batch.CancelWanted])
def test_two_requests_to_stop_end_in_one_outcome(world, second):
    """A second eviction or a cancel must not stop the task twice."""
    placed(world)
    world.is_ordered = False
    world.tell(ME, 't', batch.EvictWanted())
    world.tell(ME, 't', second())
    world.is_ordered = True
    world.settle()
    world.run(500)
    expected = State.QUEUED
    if second is batch.CancelWanted:
        expected = State.CANCELLED
    assert world.row('t').state is expected
    assert world.freed == [('t', 1)]


def test_cancel_by_another_instance_is_seen_in_the_conflict(world):
    """A cancel that raced with the controller's write must not be lost."""
    placed(world, work_ms=300)
    row, version = world.rows['t']
    world.lives[ME]['t'].handle(batch.EvictWanted(), world.clock.now())
    life = world.lives[ME].pop('t')
    world.cancel('t')
    row, version = world.rows['t']
    effects = life.handle(
        batch.RowConflicted(row=row, version=version), world.clock.now()
    )
    assert effects[0].row.is_cancel_requested
    assert effects[0].version == version


def test_unreachable_worker_blocks_the_task_until_the_lease_is_over(world):
    """A task must not be queued while its lease may be in force."""
    placed(world, work_ms=9_000)
    world.workers['w0'].faults.hangs = True
    world.gone.add('w0')
    start = world.clock.now()
    while world.row('t').state is State.RUNNING:
        world.run(50)
    # silence - one step of renewals + window + lease + margin
    assert world.clock.now() - start >= 350 + 200 + 600 + 100
    assert world.overlaps() == []


def test_worker_that_forgot_the_task_is_told_to_stop_it(world):
    """A worker that restarted must not leave the task running nowhere."""
    placed(world)
    world.restart_worker('w0')
    world.run(100)
    assert world.row('t').state is State.QUEUED


def test_failures_use_up_retries_and_evictions_do_not(world):
    """A task that always fails must end; a refused one is not at fault."""
    world.submit('t', fails=True, retries_left=2)
    for _ in range(3):
        world.take(ME, 't', 'w0')
    row = world.row('t')
    assert (row.state, row.attempt, row.reason) == (
        State.FAILED,
        3,
        'the task failed',
    )


def test_time_limit_counts_the_time_of_all_attempts(world):
    """An evicted task must not get its whole time limit again."""
    placed(world, work_ms=9_000, time_limit_ms=1_000)
    world.run(600)
    world.tell(ME, 't', batch.EvictWanted())
    world.take(ME, 't', 'w1')
    world.run(500)
    row = world.row('t')
    assert row.state is State.FAILED
    assert 'time limit of 1000 ms' in row.reason


def test_adopted_task_goes_on_and_its_former_controller_is_fenced(world):
    """A controller that thaws must not act on a task that was adopted."""
    placed(world, work_ms=3_000)
    frozen = world.lives.pop(ME)['t']
    world.lives['b/2'] = {}
    world.take('b/2', 't')
    world.run(1_000)
    assert (world.row('t').controller, world.row('t').epoch) == ('b/2', 1)
    world.lives[ME] = {'t': frozen}
    world.tell(ME, 't', batch.Tick())
    world.ask(ME, frozen.row, None, world.clock.now() + 100)
    assert 't' not in world.lives[ME]
    world.run(2_100)
    row = world.row('t')
    assert (row.state, row.attempt) == (State.DONE, 1)


def test_hand_over_ends_renewals_before_the_row_is_free(world):
    """Renewals after a hand-over would outlive the next controller's wait."""
    placed(world, work_ms=3_000)
    life = world.lives[ME]['t']
    world.is_ordered = False
    world.tell(ME, 't', batch.HandOverWanted())
    assert not life.may_renew(world.clock.now())
    world.settle()
    assert world.row('t').controller == ''
    assert world.row('t').state is State.RUNNING
    assert batch.index_key(world.row('t')) == 'free/t'


def test_late_start_is_refused_by_the_worker(world):
    """A start that a hung worker reads too late must not begin a run."""
    world.is_ordered = False
    world.take(ME, 't', 'w0')
    world.deliver(world.mail.pop(0))
    late = world.mail.pop(0)
    world.run(2_000)
    world.mail.clear()
    world.deliver(late)
    assert world.workers['w0'].history == []


def test_store_down_keeps_the_task_renewed_without_a_state_change(world):
    """An outage of the store must not end running tasks."""
    placed(world, work_ms=3_000)
    world.is_ordered = False
    world.tell(ME, 't', batch.EvictWanted())
    writes, world.mail = world.mail, []
    world.is_ordered = True
    world.run(2_000)
    assert world.row('t').state is State.RUNNING
    run = world.workers['w0'].history[0]
    run.advance(world.clock.now())
    assert run.status is platform.RunStatus.RUNNING
    assert len(writes) == 1


def test_start_that_its_stop_overtook_has_no_effect(world):
    """A start that arrives after the stop must not begin a run."""
    world.is_ordered = False
    world.rng.random = lambda: 1.0
    world.take(ME, 't', 'w0')
    world.deliver(world.mail.pop(0))
    start = world.mail.pop(0)
    world.tell(ME, 't', batch.CancelWanted())
    while world.mail:
        world.deliver(world.mail.pop(0))
    assert world.row('t').state is State.CANCELLED
    world.deliver(start)
    world.clock.advance(100)
    run = world.workers['w0'].history[-1]
    assert run.status is platform.RunStatus.STOPPED
    assert len(world.workers['w0'].history) == 1


def test_no_renewal_once_the_end_is_being_written(world):
    """A renewal during the write of a lapse would revive the run."""
    placed(world, work_ms=9_000)
    life = world.lives[ME]['t']
    world.gone.add('w0')
    world.is_ordered = False
    world.run(1_500)
    assert life.is_stopped
    assert life.is_writing
    life.handle(
        batch.WorkerAnswered(attempt=1, status=batch.RunStatus.RUNNING),
        world.clock.now(),
    )
    assert not life.may_renew(world.clock.now())


def test_start_that_never_arrived_moves_the_task_on(world):
    """A dead worker must not hold a task for a whole lease."""
    life = batch.Lifecycle(world.row('t'), 1, ME, 0, batch.Timing())
    life.begin('w0')
    life.handle(batch.RowWritten(version=2), 0)
    life.start_sent(0)
    life.start_sent(1_000)
    assert life.start_not_sent(1_000) == []
    (free, write) = life.start_not_sent(1_000)
    assert isinstance(free, batch.FreeSlots)
    assert (write.row.state, write.row.avoid) == (State.QUEUED, 'w0')


def test_adopted_start_is_never_taken_back(world):
    """The former controller of a task may have started it."""
    placed(world)
    row = dataclasses.replace(world.row('t'), state=State.STARTING)
    row = batch.adopt(row, 'b/2')
    life = batch.Lifecycle(row, 9, 'b/2', 0, batch.Timing())
    life.start_sent(0)
    assert life.start_not_sent(0) == []
