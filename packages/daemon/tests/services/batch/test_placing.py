"""Test where the batch service places tasks, in virtual time."""

from oriolestand_daemon.messages import dispatch
import oriolestand_platform as platform

WORKERS = ('127.0.0.1:1', '127.0.0.1:2')


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
