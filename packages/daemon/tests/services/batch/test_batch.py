"""Test the batch service in virtual time, without sockets."""

import pytest

from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.services.batch import errors
import oriolestand_platform as platform
from oriolestand_policy import batch


def error_of(result):
    assert not isinstance(result, contracts.SubmitReply), result
    result.cleanFailure()
    return result.value


def test_job_completes_with_one_write_per_state_change(harness):
    """A task must cost one write for each change of its state, no more."""
    node = harness.node('a')
    harness.submit(node, work_ms=20_000)
    harness.clock.advance(25_000)
    assert harness.row()['state'] == 'done'
    # Submit, starting, running and done, and the worker specs once.
    assert node.platform.commits == 5
    assert harness.keys('task_index') == []
    assert set(node.dispatch.free.values()) == {8}


def test_submission_is_idempotent_by_name(harness):
    """A repeat must not run a job twice; other content must be rejected."""
    node = harness.node('a')
    assert harness.submit(node).is_new
    assert not harness.submit(node).is_new
    error = error_of(harness.submit(node, work_ms=4))
    assert isinstance(error, errors.JobExistsError)
    harness.clock.advance(9_000)
    assert len(harness.runs()) == 1


def test_invalid_submission_reports_all_problems(harness):
    """An operator must see every problem with its path at once."""
    node = harness.node('a')
    error = error_of(
        harness.submit(
            node, name='a b', pool='x', priority='no', demand={'slots': 0}
        )
    )
    paths = {problem.split(':')[0] for problem in error.problems}
    assert paths == {'name', 'pool', 'priority', 'demand.slots'}
    assert harness.keys('tasks') == []


def test_job_that_can_never_run_fails_once_with_reason(harness):
    """A job that no worker can run must fail, with no writes after that."""
    node = harness.node('a')
    harness.submit(node, demand={'memory_mb': 1_001})
    harness.clock.advance(5_000)
    row = harness.row()
    assert row['state'] == 'failed'
    assert row['reason'] == (
        'no worker of pool main has 1001 memory_mb; the most is 1000'
    )
    commits = node.platform.commits
    harness.clock.advance(20_000)
    assert node.platform.commits == commits
    assert harness.runs() == []


def test_renewals_are_one_message_per_worker(harness):
    """Control traffic must not grow with the number of tasks of a worker."""
    node = harness.node('a')
    for i in range(16):
        harness.submit(node, f't{i}', work_ms=600_000)
    harness.clock.advance(62_000)
    node.platform.calls.clear()
    node.platform.scans.clear()
    harness.clock.advance(20_000)
    renewals = [
        c for c in node.platform.calls if isinstance(c, platform.RenewRequest)
    ]
    assert len(renewals) == 20
    assert {len(c.runs) for c in renewals} == {8}
    assert node.platform.scans['tasks'] == 0
    # All slots are in use, so each poll scans hand-overs or cancellations
    # alternately and the urgent queue shard.
    assert sum(node.platform.scans.values()) == 40


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_lost_store_answers_do_not_repeat_writes(harness, lost):
    """A write that was applied must not be sent again as a new one."""
    node = harness.node('a')
    node.platform.lost_answers = lost
    harness.submit(node)
    harness.clock.advance(12_000)
    assert harness.row()['state'] == 'done'
    assert len(harness.runs()) == 1


def test_write_is_recognized_after_the_store_dropped_its_request_id(harness):
    """A task must survive a retry after the store dropped request ids."""
    node = harness.node('a')
    harness.submit(node)
    node.platform.drops_request_ids = True
    node.platform.lost_answers = 1
    harness.clock.advance(9_000)
    assert node.platform.lost_answers == 0
    assert harness.row()['state'] == 'done'
    assert len(harness.runs()) == 1


def test_two_daemons_start_a_task_once(harness):
    """Daemons that find the same queued task must not both start it."""
    nodes = [harness.node(name, slots=4) for name in 'ab']
    for i in range(20):
        harness.submit(nodes[i % 2], f't{i}', work_ms=2_000)
    harness.clock.advance(20_000)
    assert {harness.row(f't{i}')['state'] for i in range(20)} == {'done'}
    assert len(harness.runs()) == 20


def test_tasks_of_a_gone_controller_are_adopted(harness):
    """A task must continue without a second run when its controller dies."""
    first, second = harness.node('a'), harness.node('b')
    second.platform.is_down = True
    harness.submit(first, work_ms=15_000)
    harness.clock.advance(2_000)
    assert harness.row()['controller'].startswith('a/')
    first.kill()
    second.platform.is_down = False
    harness.clock.advance(1_000)
    assert harness.row()['controller'].startswith('a/')
    second.publish_membership(gone=['a'])
    harness.clock.advance(2_000)
    assert harness.row()['controller'].startswith('b/')
    (status,) = second.ask(contracts.GetBatchStatus())
    assert (status.controlled, status.adopted) == (1, 1)
    harness.clock.advance(15_000)
    assert (harness.row()['state'], harness.row()['attempt']) == ('done', 1)


def test_restarted_daemon_adopts_its_former_tasks(harness):
    """A restart must not leave tasks without a controller."""
    first = harness.node('a')
    harness.submit(first, work_ms=9_000)
    harness.clock.advance(2_000)
    first.kill()
    harness.node('a')
    harness.clock.advance(12_000)
    assert (harness.row()['state'], harness.row()['attempt']) == ('done', 1)


def test_adopted_task_without_slots_is_evicted(harness):
    """Slots of a dead daemon go to other daemons, so its task must move."""
    first = harness.node('a')
    harness.submit(first, work_ms=60_000)
    harness.clock.advance(2_000)
    first.kill()
    second = harness.node('b', slots=0)
    second.publish_membership(gone=['a'])
    harness.clock.advance(10_000)
    assert harness.row()['state'] == 'queued'
    assert int(harness.row()['checkpoint']) > 6_000
    assert harness.keys('task_index') == [
        f'queue/main/{batch.queue_shard("t", 0)}/t'
    ]


def test_drain_hands_running_tasks_over(harness):
    """A shutdown must not stop a task or let its lease lapse."""
    first = harness.node('a')
    harness.submit(first, work_ms=9_000)
    harness.clock.advance(2_000)
    drained = first.ask(contracts.DrainTasks())
    harness.clock.advance(100)
    assert drained == [None]
    assert harness.keys('task_index') == ['free/t']
    # The task still runs, so its slots must not be freed for other tasks.
    assert len(first.dispatch.reserved) == 1
    first.kill()
    harness.node('b')
    harness.clock.advance(12_000)
    assert (harness.row()['state'], harness.row()['attempt']) == ('done', 1)


def test_task_starts_only_if_its_grant_outlives_its_lease(harness):
    """A dead daemon's slots must stay reserved while its tasks may run."""
    node = harness.node('a')
    node.grants.refuses = True
    harness.submit(node, work_ms=1_000)
    harness.clock.advance(2_000)
    assert harness.row()['state'] == 'queued'
    assert not node.dispatch.reserved
    node.grants.refuses = False
    harness.clock.advance(500)
    assert harness.row()['state'] == 'running'
    lease_ms = harness.row()['lease_ms']
    assert all(h > lease_ms for h in node.grants.horizons.values())


def test_store_down_keeps_tasks_running(harness):
    """An outage longer than a lease must not stop a task."""
    node = harness.node('a')
    harness.submit(node, work_ms=25_000)
    harness.clock.advance(2_000)
    node.platform.is_down = True
    harness.clock.advance(30_000)
    assert harness.row()['state'] == 'running'
    assert [run.status.value for run in harness.runs()] == ['finished']
    node.platform.is_down = False
    harness.clock.advance(5_000)
    assert (harness.row()['state'], harness.row()['attempt']) == ('done', 1)


@pytest.mark.parametrize('work_ms', [2_000, 2_300, 2_600, 9_000])
def test_eviction_that_races_with_the_end_has_one_outcome(harness, work_ms):
    """A task that ended while it was evicted must not run again."""
    node = harness.node('a')
    harness.submit(node, work_ms=work_ms)
    harness.clock.advance(2_000)
    (key,) = node.dispatch.reserved
    node.kernel.publish(dispatch.EvictionRequested(key=key))
    node.kernel.publish(dispatch.EvictionRequested(key=key))
    harness.clock.advance(20_000)
    assert harness.row()['state'] == 'done'
    finished = [r for r in harness.runs() if r.status.value == 'finished']
    assert len(finished) == 1
    assert len(harness.runs()) == harness.row()['attempt']
    assert harness.row()['evictions'] == harness.row()['attempt'] - 1
    assert set(node.dispatch.free.values()) == {8}


def test_cancel_reaches_the_controller_on_another_daemon(harness):
    """A cancel must end a task that another daemon controls."""
    first = harness.node('a')
    harness.submit(first, work_ms=60_000)
    harness.clock.advance(2_000)
    second = harness.node('b')
    second.ask(contracts.CancelJob(name='t'))
    harness.clock.advance(3_000)
    assert harness.row()['state'] == 'cancelled'
    assert harness.keys('task_mail') == []
    assert [run.status.value for run in harness.runs()] == ['stopped']


@pytest.mark.parametrize('state', ['gone', 'leaving'])
def test_task_moves_off_a_gone_or_leaving_worker(harness, state):
    """A task must move with a checkpoint if its worker still answers."""
    node = harness.node('a')
    harness.submit(node, work_ms=5_000)
    harness.clock.advance(2_000)
    address = harness.row()['worker']
    harness.workers.workers[address].faults.is_gone = state == 'gone'
    entry = platform.InstanceEntry(
        id='w',
        role=platform.InstanceRole.UPSTREAM,
        state=platform.InstanceState(state),
        address=address,
        failure_domain='a',
    )
    node.publish_membership(instances=[entry])
    node.dispatch.free[address] = -8
    harness.clock.advance(9_000)
    assert (harness.row()['state'], harness.row()['attempt']) == ('done', 2)
    assert bool(harness.row()['checkpoint']) == (state == 'leaving')


def test_unknown_job_is_an_error(harness):
    """An unknown name must be distinguishable from an empty result."""
    node = harness.node('a')
    for message in (
        contracts.GetJob(name='x'),
        contracts.CancelJob(name='x'),
    ):
        (found,) = node.ask(message)
        assert isinstance(error_of(found), errors.UnknownJobError)
    (listed,) = node.ask(contracts.ListJobs())
    assert listed == ()
