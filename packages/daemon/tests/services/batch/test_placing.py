"""Test the placement of tasks by the batch service, in virtual time."""

from oriolestand_daemon.messages import dispatch
import oriolestand_platform as platform

WORKERS = ('127.0.0.1:1', '127.0.0.1:2')


def test_dead_worker_does_not_delay_a_task_by_a_lease(harness):
    """Urgent tasks must not wait for the leases on a worker that just died."""
    node = harness.node('a')
    harness.clock.advance(1_000)
    for worker in list(harness.workers.workers.values())[:1]:
        worker.faults.is_gone = True
    for i in range(4):
        harness.submit(node, f't{i}', work_ms=1_000, priority=9)
    harness.clock.advance(4_000)
    assert {harness.row(f't{i}')['state'] for i in range(4)} == {'done'}


def test_task_is_placed_on_a_worker_with_its_resources(harness):
    """The worker that the dispatcher chooses by load may lack memory."""
    for address, memory_mb in zip(WORKERS, (10, 1_000), strict=True):
        harness.workers.workers[address] = platform.MemoryWorker(
            harness.clock.now, address, slots=8, memory_mb=memory_mb
        )
    node = harness.node('a')
    for i in range(3):
        harness.submit(node, f't{i}', demand={'memory_mb': 500})
    harness.clock.advance(2_000)
    states = sorted(harness.row(f't{i}')['state'] for i in range(3))
    assert states == ['queued', 'running', 'running']
    assert {run.request.boot for run in harness.runs()} == {WORKERS[1]}
    assert sum(node.dispatch.free.values()) == 14
    harness.clock.advance(8_000)
    assert {harness.row(f't{i}')['state'] for i in range(3)} == {'done'}


def test_daemon_with_free_slots_on_the_worker_adopts_first(harness):
    """A daemon that would have to evict the task must not adopt it first."""
    first = harness.node('a')
    harness.submit(first, work_ms=20_000)
    harness.clock.advance(2_000)
    first.kill()
    nodes = {
        'b': harness.node('b', domain='elsewhere'),
        'c': harness.node('c', slots=0),
        'd': harness.node('d'),
    }
    for node in nodes.values():
        node.publish_membership(gone=['a'])
    harness.clock.advance(3_000)
    assert harness.row()['controller'].startswith('d/')
    harness.clock.advance(22_000)
    assert harness.row()['state'] == 'done'
    assert (harness.row()['attempt'], harness.row()['epoch']) == (1, 1)
    assert set(nodes['d'].dispatch.free.values()) == {8}


def test_throttled_task_runs_slower_until_unthrottled(harness):
    """A throttle request must reach the worker, and so must its end."""
    node = harness.node('a')
    harness.submit(node, work_ms=8_000)
    harness.clock.advance(1_000)
    (key,) = node.dispatch.reserved
    node.kernel.publish(dispatch.ThrottleRequested(key=key, is_on=True))
    harness.clock.advance(8_000)
    assert harness.row()['state'] == 'running'
    node.kernel.publish(dispatch.ThrottleRequested(key=key, is_on=False))
    harness.clock.advance(8_000)
    assert (harness.row()['state'], harness.row()['attempt']) == ('done', 1)


def test_freed_slots_place_a_queued_task_at_once(harness):
    """Freed slots must not stay empty until the next tick."""
    node = harness.node('a', slots=0)
    harness.submit(node)
    harness.clock.advance(2_000)
    node.dispatch.free = dict.fromkeys(WORKERS, 8)
    node.kernel.publish(dispatch.TaskSlotsAvailable(pool='main'))
    harness.clock.advance(50)
    assert harness.row()['state'] == 'running'


def test_upstreams_of_pools_without_jobs_get_no_worker_requests(harness):
    """Upstreams of a pool without jobs may not support the worker protocol."""
    node = harness.node('a')
    harness.clock.advance(10_000)
    assert node.platform.calls == []


def test_impossible_jobs_do_not_fill_the_backlog(harness):
    """Jobs that can never run must not block the reading of others."""
    node = harness.node('a')
    for i in range(300):
        harness.submit(node, f'bad{i}', demand={'memory_mb': 1_001})
    harness.submit(node, work_ms=1_000)
    harness.clock.advance(20_000)
    assert harness.row()['state'] == 'done'
    assert {harness.row(f'bad{i}')['state'] for i in range(300)} == {'failed'}
