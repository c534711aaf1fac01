"""Test the batch service in virtual time, without sockets."""

import collections
import dataclasses
import json

import pytest

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services import batch as service
from oriolestand_daemon.services.batch import errors
from oriolestand_daemon.services.platform import _task as platform_task
import oriolestand_platform as platform
from oriolestand_policy import batch
from oriolestand_policy import dispatching
from oriolestand_policy import tables

WORKERS = ('127.0.0.1:1', '127.0.0.1:2')
LEASE_MS = 6_000


class Platform(platform.MemoryPlatform):
    """Count and fail calls of the store."""

    def __init__(self, store, workers, clock):
        super().__init__(store, clock.wall)
        self.workers = workers
        self.is_down = False
        self.lost_answers = 0
        self.forgets = False
        self.scans = collections.Counter()
        self.commits = 0
        self.calls = []

    async def scan(self, table, prefix=''):
        self._check()
        self.scans[table] += 1
        return await super().scan(table, prefix)

    async def read(self, table, key):
        self._check()
        return await super().read(table, key)

    async def commit(self, transaction):
        self._check()
        self.commits += 1
        result = await super().commit(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            if self.forgets:
                self._store._applied.clear()
            raise platform.StoreTimeoutError('lost')
        return result

    async def call_worker(self, address, request):
        self.calls.append(request)
        return await super().call_worker(address, request)

    def _check(self):
        if self.is_down:
            raise platform.StoreUnavailableError('down')


class Slots(core.Task):
    """Stand in for the dispatch service with a number of slots each."""

    def __init__(self, kernel, slots):
        super().__init__(kernel, 'dispatch')
        self.free = dict.fromkeys(WORKERS, slots)
        self.reserved = {}

    @core.handles(dispatch.GetDispatchStatus)
    def _on_status(self, msg):
        ups = {
            address: {'limit': free, 'in_use': 0}
            for address, free in self.free.items()
        }
        return {'main': {'free': sum(self.free.values()), 'upstreams': ups}}

    @core.handles(dispatch.ReserveSlots)
    def _on_reserve(self, msg):
        address = msg.address or max(self.free, key=lambda a: self.free[a])
        if self.free[address] < msg.slots:
            return None
        self.free[address] -= msg.slots
        self.reserved[msg.key] = dataclasses.replace(msg, address=address)
        return dispatching.Reservation(
            key=msg.key,
            pool=msg.pool,
            address=address,
            slots=msg.slots,
            team=msg.team,
            priority=msg.priority,
        )

    @core.handles(dispatch.UnreserveSlots)
    def _on_unreserve(self, msg):
        one = self.reserved.pop(msg.key)
        self.free[one.address] += one.slots


class Node:
    """Hold one daemon's kernel with the batch service."""

    def __init__(self, rig, name, slots=8, domain='a'):
        self.kernel = core.Kernel(
            rig.clock, core.IdSource(seed=rig.next_seed())
        )
        self.platform = Platform(rig.store, rig.workers, rig.clock)
        task = platform_task.PlatformTask(self.kernel, self.platform)
        self.kernel.register('platform', task)
        self.slots = Slots(self.kernel, slots)
        self.kernel.register('dispatch', self.slots)
        cfg = settings.parse_settings(
            {'instance_id': name, 'failure_domain': domain, 'region': 'r'}
        )
        self.batch = service.setup(self.kernel, cfg)
        self.kernel.register('batch', self.batch)
        self.kernel.publish(
            config.TablesChanged(tables=rig.tables, document=b''),
            is_state=True,
        )
        self.batch.start()

    def ask(self, message):
        results = []
        self.kernel.ask('batch', message).addBoth(results.append)
        return results

    def members(self, gone=(), instances=()):
        self.kernel.publish(
            membership.MembershipChanged(
                instances=tuple(instances),
                live_peers=frozenset(),
                gone_instances=frozenset(gone),
            ),
            is_state=True,
        )

    def kill(self):
        self.batch.stop()
        self.platform.is_down = True
        self.kernel.find('platform').stop()


class Rig:
    """Hold what daemons share."""

    def __init__(self):
        self.clock = core.ManualClock()
        self.seed = 0
        self.store = platform.MemoryStore()
        self.workers = platform.MemoryWorkers()
        for address in WORKERS:
            self.workers.workers[address] = platform.MemoryWorker(
                self.clock.now, address, slots=8, memory_mb=1_000
            )
        ups = tuple(
            tables.Upstream(address=address, failure_domain='a')
            for address in WORKERS
        )
        pool = tables.Pool(name='main', upstreams=ups)
        self.tables = tables.Tables(version=1, pools={'main': pool})

    def next_seed(self):
        self.seed += 1
        return self.seed

    def node(self, name, **kw):
        return Node(self, name, **kw)

    def submit(self, node, name='t', work_ms=3_000, **kw):
        body = {
            'name': name,
            'pool': 'main',
            'lease_ms': LEASE_MS,
            'payload': json.dumps({'work_ms': work_ms}),
            **kw,
        }
        found = node.ask(
            contracts.SubmitJob(document=json.dumps(body).encode())
        )
        self.clock.advance(20)
        return found[0] if found else None

    def row(self, name='t'):
        return self.store.read('tasks', name).value

    def keys(self, table):
        return [row.key for row in self.store.scan(table)]

    def runs(self):
        found = []
        for worker in self.workers.workers.values():
            worker.advance(self.clock.now())
            found += worker.history
        return found


@pytest.fixture
def rig():
    return Rig()


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
    first.kill()
    rig.node('b')
    rig.clock.advance(12_000)
    assert (rig.row()['state'], rig.row()['attempt']) == ('done', 1)


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


def test_dead_worker_delays_a_task_by_no_lease(rig):
    """Urgent work must start in time although a worker has just died."""
    node = rig.node('a')
    rig.clock.advance(1_000)
    for worker in list(rig.workers.workers.values())[:1]:
        worker.faults.is_gone = True
    for i in range(4):
        rig.submit(node, f't{i}', work_ms=1_000, priority=9)
    rig.clock.advance(4_000)
    assert {rig.row(f't{i}')['state'] for i in range(4)} == {'done'}


def test_task_gets_a_worker_that_has_what_it_needs(rig):
    """The dispatcher's choice by load may lack memory."""
    for address, memory_mb in zip(WORKERS, (10, 1_000), strict=True):
        rig.workers.workers[address] = platform.MemoryWorker(
            rig.clock.now, address, slots=8, memory_mb=memory_mb
        )
    node = rig.node('a')
    for i in range(3):
        rig.submit(node, f't{i}', demand={'memory_mb': 500})
    rig.clock.advance(2_000)
    states = sorted(rig.row(f't{i}')['state'] for i in range(3))
    assert states == ['queued', 'running', 'running']
    assert {run.request.boot for run in rig.runs()} == {WORKERS[1]}
    assert sum(node.slots.free.values()) == 14
    rig.clock.advance(8_000)
    assert {rig.row(f't{i}')['state'] for i in range(3)} == {'done'}


def test_daemon_with_slots_of_the_worker_adopts(rig):
    """A daemon that would have to evict the task must not be faster."""
    first = rig.node('a')
    rig.submit(first, work_ms=20_000)
    rig.clock.advance(2_000)
    first.kill()
    nodes = {
        'b': rig.node('b', domain='elsewhere'),
        'c': rig.node('c', slots=0),
        'd': rig.node('d'),
    }
    for node in nodes.values():
        node.members(gone=['a'])
    rig.clock.advance(3_000)
    assert rig.row()['controller'].startswith('d/')
    rig.clock.advance(22_000)
    assert rig.row()['state'] == 'done'
    assert (rig.row()['attempt'], rig.row()['epoch']) == (1, 1)
    assert set(nodes['d'].slots.free.values()) == {8}


def test_throttled_task_runs_slower_until_it_is_released(rig):
    """A request to slow a task down must reach its worker and end."""
    node = rig.node('a')
    rig.submit(node, work_ms=8_000)
    rig.clock.advance(1_000)
    (key,) = node.slots.reserved
    node.kernel.publish(dispatch.ThrottleRequested(key=key, is_on=True))
    rig.clock.advance(8_000)
    assert rig.row()['state'] == 'running'
    node.kernel.publish(dispatch.ThrottleRequested(key=key, is_on=False))
    rig.clock.advance(8_000)
    assert (rig.row()['state'], rig.row()['attempt']) == ('done', 1)


def test_room_places_a_waiting_task_at_once(rig):
    """Freed slots must not stay empty until the next tick."""
    node = rig.node('a', slots=0)
    rig.submit(node)
    rig.clock.advance(2_000)
    node.slots.free = dict.fromkeys(WORKERS, 8)
    node.kernel.publish(dispatch.RoomForTasks(pool='main'))
    rig.clock.advance(50)
    assert rig.row()['state'] == 'running'


def test_upstreams_without_jobs_get_no_worker_requests(rig):
    """An upstream of a pool for requests only must not be asked for tasks."""
    node = rig.node('a')
    rig.clock.advance(10_000)
    assert node.platform.calls == []


def test_impossible_jobs_do_not_fill_the_backlog(rig):
    """Jobs that can never run must not keep others from being read."""
    node = rig.node('a')
    for i in range(300):
        rig.submit(node, f'bad{i}', demand={'memory_mb': 1_001})
    rig.submit(node, work_ms=1_000)
    rig.clock.advance(20_000)
    assert rig.row()['state'] == 'done'
    assert {rig.row(f'bad{i}')['state'] for i in range(300)} == {'failed'}
