"""Test the lifecycle of a task under lost, late and racing events."""

import dataclasses

import pytest

import oriolestand_platform as platform
from oriolestand_policy import batch

CONTROLLER = 'a/1'
State = batch.TaskState


@pytest.fixture
def simulation(make_simulation):
    simulation = make_simulation()
    simulation.submit('t')
    return simulation


def place(simulation, **fields):
    simulation.submit('t', **fields)
    simulation.take_control(CONTROLLER, 't', 'w0')
    return simulation


def test_runs_to_its_end(simulation):
    """Renewals alone must keep a long task running over several leases."""
    place(simulation, work_ms=5_000)
    assert simulation.row('t').state is State.RUNNING
    simulation.run(5_100)
    row = simulation.row('t')
    assert (row.state, row.attempt) == (State.DONE, 1)
    assert row.result == 'worked 5000 ms'
    assert simulation.freed == [('t', 1)]


def test_start_is_repeated_as_the_same_attempt(simulation):
    """A start whose answer was lost must not begin a second run."""
    simulation.take_control(CONTROLLER, 't', 'w0')
    simulation.submit('u')
    lifecycle = batch.Lifecycle(
        simulation.row('u'), 1, CONTROLLER, 0, batch.Timing()
    )
    effects = lifecycle.begin('w0')
    effects = lifecycle.handle(batch.RowWritten(version=2), 0)
    assert isinstance(effects[0], batch.StartRun)
    assert lifecycle.handle(batch.Tick(), 500) == []
    resent = lifecycle.handle(batch.Tick(), 1_000)
    assert resent == effects
    assert resent[0].row.attempt == 1


def test_evicted_task_resumes_from_its_last_complete_checkpoint(simulation):
    """A checkpoint that is still being written must not be used."""
    place(simulation, work_ms=2_000)
    simulation.run(500)
    simulation.notify(CONTROLLER, 't', batch.EvictRequested())
    assert simulation.row('t').checkpoint == '500'
    assert simulation.row('t').state is State.QUEUED
    simulation.take_control(CONTROLLER, 't', 'w1')
    simulation.run(300)
    simulation.workers['w1'].faults.checkpoint_ms = 10_000
    simulation.notify(CONTROLLER, 't', batch.EvictRequested())
    simulation.run(500)
    assert simulation.row('t').checkpoint == '500'
    assert simulation.row('t').evictions == 2
    simulation.take_control(CONTROLLER, 't', 'w2')
    simulation.run(1_600)
    assert simulation.row('t').state is State.DONE
    assert simulation.overlapping_tasks() == []


def test_finish_takes_precedence_over_eviction(simulation):
    """A task that finished during its eviction must not run again."""
    place(simulation, work_ms=300)
    simulation.clock.advance(400)
    simulation.notify(CONTROLLER, 't', batch.EvictRequested())
    assert simulation.row('t').state is State.DONE


@pytest.mark.parametrize(
    'second', [batch.EvictRequested, batch.CancelRequested]
)
def test_two_stop_requests_have_one_outcome(simulation, second):
    """A second eviction or a cancel must not stop the task twice."""
    place(simulation)
    simulation.is_ordered = False
    simulation.notify(CONTROLLER, 't', batch.EvictRequested())
    simulation.notify(CONTROLLER, 't', second())
    simulation.is_ordered = True
    simulation.deliver_all()
    simulation.run(500)
    expected = State.QUEUED
    if second is batch.CancelRequested:
        expected = State.CANCELLED
    assert simulation.row('t').state is expected
    assert simulation.freed == [('t', 1)]


def test_cancel_by_another_instance_is_applied_on_conflict(simulation):
    """A cancel that raced with the controller's write must not be lost."""
    place(simulation, work_ms=300)
    row, version = simulation.rows['t']
    simulation.lifecycles[CONTROLLER]['t'].handle(
        batch.EvictRequested(), simulation.clock.now()
    )
    lifecycle = simulation.lifecycles[CONTROLLER].pop('t')
    simulation.cancel('t')
    row, version = simulation.rows['t']
    effects = lifecycle.handle(
        batch.RowConflicted(row=row, version=version), simulation.clock.now()
    )
    assert effects[0].row.is_cancel_requested
    assert effects[0].version == version


def test_task_of_unreachable_worker_waits_until_its_lease_expires(simulation):
    """A task must not be queued again while its lease may be valid."""
    place(simulation, work_ms=9_000)
    simulation.workers['w0'].faults.hangs = True
    simulation.gone.add('w0')
    start = simulation.clock.now()
    while simulation.row('t').state is State.RUNNING:
        simulation.run(50)
    # silence less one renewal step, plus window, lease and margin
    assert simulation.clock.now() - start >= 350 + 200 + 600 + 100
    assert simulation.overlapping_tasks() == []


def test_worker_that_lost_the_task_gets_a_stop(simulation):
    """A task must not stay RUNNING after its worker has restarted."""
    place(simulation)
    simulation.restart_worker('w0')
    simulation.run(100)
    assert simulation.row('t').state is State.QUEUED


def test_failures_consume_retries(simulation):
    """A task that always fails must end after its last retry."""
    simulation.submit('t', fails=True, retries_left=2)
    for _ in range(3):
        simulation.take_control(CONTROLLER, 't', 'w0')
    row = simulation.row('t')
    assert (row.state, row.attempt, row.reason) == (
        State.FAILED,
        3,
        'the task failed',
    )


def test_time_limit_counts_the_time_of_all_attempts(simulation):
    """Eviction must not reset the time limit of a task."""
    place(simulation, work_ms=9_000, time_limit_ms=1_000)
    simulation.run(600)
    simulation.notify(CONTROLLER, 't', batch.EvictRequested())
    simulation.take_control(CONTROLLER, 't', 'w1')
    simulation.run(500)
    row = simulation.row('t')
    assert row.state is State.FAILED
    assert 'time limit of 1000 ms' in row.reason


def test_adopted_task_continues_and_its_former_controller_is_fenced(
    simulation,
):
    """A frozen controller that resumes must not act on an adopted task."""
    place(simulation, work_ms=3_000)
    frozen = simulation.lifecycles.pop(CONTROLLER)['t']
    simulation.lifecycles['b/2'] = {}
    simulation.take_control('b/2', 't')
    simulation.run(1_000)
    assert (simulation.row('t').controller, simulation.row('t').epoch) == (
        'b/2',
        1,
    )
    simulation.lifecycles[CONTROLLER] = {'t': frozen}
    simulation.notify(CONTROLLER, 't', batch.Tick())
    simulation.request(
        CONTROLLER, frozen.row, None, simulation.clock.now() + 100
    )
    assert 't' not in simulation.lifecycles[CONTROLLER]
    simulation.run(2_100)
    row = simulation.row('t')
    assert (row.state, row.attempt) == (State.DONE, 1)


def test_hand_over_ends_renewals_before_the_row_is_free(simulation):
    """Renewals after a hand-over must not extend the lease.

    The lease could then outlast the time that the next controller waits.
    """
    place(simulation, work_ms=3_000)
    lifecycle = simulation.lifecycles[CONTROLLER]['t']
    simulation.is_ordered = False
    simulation.notify(CONTROLLER, 't', batch.HandOverRequested())
    assert not lifecycle.may_renew(simulation.clock.now())
    simulation.deliver_all()
    assert simulation.row('t').controller == ''
    assert simulation.row('t').state is State.RUNNING
    assert batch.index_key(simulation.row('t')) == 'free/t'


def test_late_start_is_refused_by_the_worker(simulation):
    """A start that a hung worker reads too late must not begin a run."""
    simulation.is_ordered = False
    simulation.take_control(CONTROLLER, 't', 'w0')
    simulation.deliver(simulation.in_transit.pop(0))
    late = simulation.in_transit.pop(0)
    simulation.run(2_000)
    simulation.in_transit.clear()
    simulation.deliver(late)
    assert simulation.workers['w0'].history == []


def test_store_outage_keeps_the_lease_renewed(simulation):
    """An outage of the store must not end or change running tasks."""
    place(simulation, work_ms=3_000)
    simulation.is_ordered = False
    simulation.notify(CONTROLLER, 't', batch.EvictRequested())
    writes, simulation.in_transit = simulation.in_transit, []
    simulation.is_ordered = True
    simulation.run(2_000)
    assert simulation.row('t').state is State.RUNNING
    run = simulation.workers['w0'].history[0]
    run.advance(simulation.clock.now())
    assert run.status is platform.RunStatus.RUNNING
    assert len(writes) == 1


def test_start_overtaken_by_its_stop_has_no_effect(simulation):
    """A start that arrives after the stop must not begin a run."""
    simulation.is_ordered = False
    simulation.rng.random = lambda: 1.0
    simulation.take_control(CONTROLLER, 't', 'w0')
    simulation.deliver(simulation.in_transit.pop(0))
    start = simulation.in_transit.pop(0)
    simulation.notify(CONTROLLER, 't', batch.CancelRequested())
    while simulation.in_transit:
        simulation.deliver(simulation.in_transit.pop(0))
    assert simulation.row('t').state is State.CANCELLED
    simulation.deliver(start)
    simulation.clock.advance(100)
    run = simulation.workers['w0'].history[-1]
    assert run.status is platform.RunStatus.STOPPED
    assert len(simulation.workers['w0'].history) == 1


def test_no_renewal_while_the_end_is_being_written(simulation):
    """A renewal while a lapsed lease is recorded would revive the run."""
    place(simulation, work_ms=9_000)
    lifecycle = simulation.lifecycles[CONTROLLER]['t']
    simulation.gone.add('w0')
    simulation.is_ordered = False
    simulation.run(1_500)
    assert lifecycle.is_stopped
    assert lifecycle.is_writing
    lifecycle.handle(
        batch.WorkerReported(attempt=1, status=batch.RunStatus.RUNNING),
        simulation.clock.now(),
    )
    assert not lifecycle.may_renew(simulation.clock.now())


def test_task_is_queued_again_if_no_start_reached_the_worker(simulation):
    """A dead worker must not delay a task for a whole lease."""
    lifecycle = batch.Lifecycle(
        simulation.row('t'), 1, CONTROLLER, 0, batch.Timing()
    )
    lifecycle.begin('w0')
    lifecycle.handle(batch.RowWritten(version=2), 0)
    lifecycle.record_start_sent(0)
    lifecycle.record_start_sent(1_000)
    assert lifecycle.record_start_failed(1_000) == []
    (free, write) = lifecycle.record_start_failed(1_000)
    assert isinstance(free, batch.ReleaseSlots)
    assert (write.row.state, write.row.avoid) == (State.QUEUED, 'w0')


def test_unsent_start_does_not_requeue_an_adopted_task(simulation):
    """The former controller of an adopted task may have started it."""
    place(simulation)
    row = dataclasses.replace(simulation.row('t'), state=State.STARTING)
    row = batch.adopt(row, 'b/2')
    lifecycle = batch.Lifecycle(row, 9, 'b/2', 0, batch.Timing())
    lifecycle.record_start_sent(0)
    assert lifecycle.record_start_failed(0) == []
