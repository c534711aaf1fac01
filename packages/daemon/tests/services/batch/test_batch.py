"""Test the batch service in virtual time, without sockets."""

import pytest

from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.services.batch import errors
import oriolestand_platform as platform
from oriolestand_policy import batch


def failure_of(result):
    assert not isinstance(result, contracts.SubmitReply), result
    result.cleanFailure()
    return result.value


def test_job_runs_to_its_end_with_few_writes(rig):
    """A task must cost a write only for each change of its state."""
    node = rig.node('a')
    rig.submit(node, work_ms=20_000)
    rig.clock.advance(25_000)
    assert rig.row()['state'] == 'done'
    # submit, starting, running, done; and the kinds of workers, once.
    assert node.platform.commits == 5
    assert rig.keys('task_index') == []
    assert set(node.slots.free.values()) == {8}


def test_submission_is_idempotent_by_name(rig):
    """A repeat must not run a job twice, other content must be refused."""
    node = rig.node('a')
    assert rig.submit(node).is_new
    assert not rig.submit(node).is_new
    error = failure_of(rig.submit(node, work_ms=4))
    assert isinstance(error, errors.JobExistsError)
    rig.clock.advance(9_000)
    assert len(rig.runs()) == 1


def test_bad_submission_names_all_problems(rig):
    """An operator must see every problem with its path at once."""
    node = rig.node('a')
    error = failure_of(
        rig.submit(
            node, name='a b', pool='x', priority='no', demand={'slots': 0}
        )
    )
    paths = {problem.split(':')[0] for problem in error.problems}
    assert paths == {'name', 'pool', 'priority', 'demand.slots'}
    assert rig.keys('tasks') == []


def test_job_that_can_never_run_says_why_and_costs_nothing_more(rig):
    """A job without a possible worker must not wait for ever."""
    node = rig.node('a')
    rig.submit(node, demand={'memory_mb': 1_001})
    rig.clock.advance(5_000)
    row = rig.row()
    assert row['state'] == 'failed'
    assert row['reason'] == (
        'no worker of pool main has 1001 memory_mb; the most is 1000'
    )
    commits = node.platform.commits
    rig.clock.advance(20_000)
    assert node.platform.commits == commits
    assert rig.runs() == []


def test_renewals_are_one_message_a_worker(rig):
    """Control traffic must not grow with the tasks of a worker."""
    node = rig.node('a')
    for i in range(16):
        rig.submit(node, f't{i}', work_ms=600_000)
    rig.clock.advance(62_000)
    node.platform.calls.clear()
    node.platform.scans.clear()
    rig.clock.advance(20_000)
    renewals = [
        c for c in node.platform.calls if isinstance(c, platform.RenewRequest)
    ]
    assert len(renewals) == 20
    assert {len(c.runs) for c in renewals} == {8}
    assert node.platform.scans['tasks'] == 0
    # All slots are in use: hand-overs and cancels in turn, urgent tasks.
    assert sum(node.platform.scans.values()) == 40


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_lost_answers_of_the_store_change_nothing(rig, lost):
    """A write that was applied must not be repeated as another one."""
    node = rig.node('a')
    node.platform.lost_answers = lost
    rig.submit(node)
    rig.clock.advance(12_000)
    assert rig.row()['state'] == 'done'
    assert len(rig.runs()) == 1


def test_store_that_forgot_the_request_is_read_by_its_writer(rig):
    """A repeat after the store forgot request ids must not lose control."""
    node = rig.node('a')
    rig.submit(node)
    node.platform.forgets = True
    node.platform.lost_answers = 1
    rig.clock.advance(9_000)
    assert node.platform.lost_answers == 0
    assert rig.row()['state'] == 'done'
    assert len(rig.runs()) == 1


def test_two_daemons_start_a_task_once(rig):
    """Daemons that see the same queued task must not both start it."""
    nodes = [rig.node(name, slots=4) for name in 'ab']
    for i in range(20):
        rig.submit(nodes[i % 2], f't{i}', work_ms=2_000)
    rig.clock.advance(20_000)
    assert {rig.row(f't{i}')['state'] for i in range(20)} == {'done'}
    assert len(rig.runs()) == 20


def test_tasks_of_a_gone_controller_are_adopted(rig):
    """A task must go on without a second run when its controller dies."""
    first, second = rig.node('a'), rig.node('b')
    second.platform.is_down = True
    rig.submit(first, work_ms=15_000)
    rig.clock.advance(2_000)
    assert rig.row()['controller'].startswith('a/')
    first.kill()
    second.platform.is_down = False
    rig.clock.advance(1_000)
    assert rig.row()['controller'].startswith('a/')
    second.members(gone=['a'])
    rig.clock.advance(2_000)
    assert rig.row()['controller'].startswith('b/')
    (status,) = second.ask(contracts.GetBatchStatus())
    assert (status.controlled, status.adopted) == (1, 1)
    rig.clock.advance(15_000)
    assert (rig.row()['state'], rig.row()['attempt']) == ('done', 1)


def test_restarted_daemon_adopts_its_former_tasks(rig):
    """A restart must not leave tasks without a controller."""
    first = rig.node('a')
    rig.submit(first, work_ms=9_000)
    rig.clock.advance(2_000)
    first.kill()
    rig.node('a')
    rig.clock.advance(12_000)
    assert (rig.row()['state'], rig.row()['attempt']) == ('done', 1)


def test_adopted_task_without_slots_is_evicted(rig):
    """Slots of a dead daemon are given to others; its task must move."""
    first = rig.node('a')
    rig.submit(first, work_ms=60_000)
    rig.clock.advance(2_000)
    first.kill()
    second = rig.node('b', slots=0)
    second.members(gone=['a'])
    rig.clock.advance(10_000)
    assert rig.row()['state'] == 'queued'
    assert int(rig.row()['checkpoint']) > 6_000
    assert rig.keys('task_index') == [
        f'queue/main/{batch.queue_shard("t", 0)}/t'
    ]


def test_drain_hands_running_tasks_over(rig):
    """A shutdown must not stop a task or leave it to its lease."""
    first = rig.node('a')
    rig.submit(first, work_ms=9_000)
    rig.clock.advance(2_000)
    drained = first.ask(contracts.DrainTasks())
    rig.clock.advance(100)
    assert drained == [None]
    assert rig.keys('task_index') == ['free/t']
    # Freed slots would be granted to others while the task runs on.
    assert len(first.slots.reserved) == 1
    first.kill()
    rig.node('b')
    rig.clock.advance(12_000)
    assert (rig.row()['state'], rig.row()['attempt']) == ('done', 1)


def test_task_starts_only_when_its_grant_outlives_it(rig):
    """A dead daemon's slots must stay taken while its tasks may run."""
    node = rig.node('a')
    node.grants.refuses = True
    rig.submit(node, work_ms=1_000)
    rig.clock.advance(2_000)
    assert rig.row()['state'] == 'queued'
    assert not node.slots.reserved
    node.grants.refuses = False
    rig.clock.advance(500)
    assert rig.row()['state'] == 'running'
    lease_ms = rig.row()['lease_ms']
    assert all(h > lease_ms for h in node.grants.horizons.values())


def test_store_down_keeps_tasks_running(rig):
    """An outage longer than a lease must not stop a task."""
    node = rig.node('a')
    rig.submit(node, work_ms=25_000)
    rig.clock.advance(2_000)
    node.platform.is_down = True
    rig.clock.advance(30_000)
    assert rig.row()['state'] == 'running'
    assert [run.status.value for run in rig.runs()] == ['finished']
    node.platform.is_down = False
    rig.clock.advance(5_000)
    assert (rig.row()['state'], rig.row()['attempt']) == ('done', 1)


@pytest.mark.parametrize('work_ms', [2_000, 2_300, 2_600, 9_000])
def test_eviction_raced_with_the_end_has_one_outcome(rig, work_ms):
    """A task that ended while it was evicted must not run again."""
    node = rig.node('a')
    rig.submit(node, work_ms=work_ms)
    rig.clock.advance(2_000)
    (key,) = node.slots.reserved
    node.kernel.publish(dispatch.EvictionRequested(key=key))
    node.kernel.publish(dispatch.EvictionRequested(key=key))
    rig.clock.advance(20_000)
    assert rig.row()['state'] == 'done'
    finished = [r for r in rig.runs() if r.status.value == 'finished']
    assert len(finished) == 1
    assert len(rig.runs()) == rig.row()['attempt']
    assert rig.row()['evictions'] == rig.row()['attempt'] - 1
    assert set(node.slots.free.values()) == {8}


def test_cancel_reaches_the_controller_on_another_daemon(rig):
    """A cancel must end a task that another daemon controls."""
    first = rig.node('a')
    rig.submit(first, work_ms=60_000)
    rig.clock.advance(2_000)
    second = rig.node('b')
    second.ask(contracts.CancelJob(name='t'))
    rig.clock.advance(3_000)
    assert rig.row()['state'] == 'cancelled'
    assert rig.keys('task_mail') == []
    assert [run.status.value for run in rig.runs()] == ['stopped']


@pytest.mark.parametrize('state', ['gone', 'leaving'])
def test_task_moves_when_its_worker_goes(rig, state):
    """A task must leave a leaving worker with a checkpoint, a gone one too."""
    node = rig.node('a')
    rig.submit(node, work_ms=5_000)
    rig.clock.advance(2_000)
    address = rig.row()['worker']
    rig.workers.workers[address].faults.is_gone = state == 'gone'
    entry = platform.InstanceEntry(
        id='w',
        role=platform.InstanceRole.UPSTREAM,
        state=platform.InstanceState(state),
        address=address,
        failure_domain='a',
    )
    node.members(instances=[entry])
    node.slots.free[address] = -8
    rig.clock.advance(9_000)
    assert (rig.row()['state'], rig.row()['attempt']) == ('done', 2)
    assert bool(rig.row()['checkpoint']) == (state == 'leaving')


def test_unknown_job(rig):
    """A wrong name must be told from an empty result."""
    node = rig.node('a')
    for message in (
        contracts.ShowJob(name='x'),
        contracts.CancelJob(name='x'),
    ):
        (found,) = node.ask(message)
        assert isinstance(failure_of(found), errors.UnknownJobError)
    (listed,) = node.ask(contracts.ListJobs())
    assert listed == ()
