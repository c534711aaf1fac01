"""Test that the batch service keeps room for overdue tasks, in virtual time.

The dispatcher has fewer slots than the workers, as services hold the others.
"""

import dataclasses

import pytest

from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.messages import config
import oriolestand_platform as platform

WORKERS = ('127.0.0.1:1', '127.0.0.1:2')
ROUND_MS = 4_000
WORK_MS = 15_000
"""Run time of a small task. Each round one of the four slots becomes free,
those of a worker 8 s apart, more than the 2 s between two renewals."""


def submit_small(harness, node, name):
    """Submit a small task and let a round pass."""
    harness.submit(node, name, work_ms=WORK_MS)
    harness.clock.advance(ROUND_MS - 20)


def fill(harness, node, rounds, prefix='small', until=None):
    """Submit a small task in each round; return whether a job has started."""
    for number in range(rounds):
        submit_small(harness, node, f'{prefix}{number}')
        if until and harness.row(until)['attempt']:
            return True
    return False


def wait_for_room(harness, node, name='large'):
    """Submit small tasks until room is kept for one; return its worker."""
    for number in range(60):
        submit_small(harness, node, f'before{number}')
        for room in rooms(node):
            if room.task.name == name:
                return room.address
    raise AssertionError('no room was kept')


def rooms(node):
    return node.batch._placer.queue.rooms


@pytest.fixture
def node(harness):
    """Return a daemon with two slots on each of two workers, all in use."""
    node = harness.node('a', slots=2)
    harness.clock.advance(1_000)
    fill(harness, node, 4, 'first')
    return node


def test_large_task_starts_beside_a_stream_of_small_ones(harness, node):
    """Each slot that becomes free must not go to a small task for good."""
    harness.submit(node, 'large', demand={'slots': 2})
    assert fill(harness, node, 60, until='large')
    harness.clock.advance(20_000)
    assert harness.row('large')['state'] == 'done'
    assert rooms(node) == ()


def test_small_tasks_start_beside_kept_room(harness, node):
    """Room on one worker must not keep the others empty."""
    harness.submit(node, 'large', demand={'slots': 2})
    kept = wait_for_room(harness, node)
    others = dict.fromkeys(WORKERS)
    del others[kept]
    fill(harness, node, 3, 'beside')
    started = [harness.row(f'beside{number}')['worker'] for number in range(3)]
    assert set(started) & set(others)


def test_cancelled_task_gives_its_room_back(harness, node):
    """Room for a task that another daemon cancelled must not stay."""
    other = harness.node('b', slots=0)
    harness.submit(node, 'large', demand={'slots': 2})
    wait_for_room(harness, node)
    other.ask(contracts.CancelJob(name='large'))
    harness.clock.advance(1_100)
    assert rooms(node) == ()
    assert harness.row('large')['state'] == 'cancelled'


@pytest.mark.parametrize('state', ['leaving', 'gone'])
def test_room_moves_from_a_worker_that_leaves(harness, node, state):
    """Room on a worker that leaves would never become free."""
    harness.submit(node, 'large', demand={'slots': 2})
    kept = wait_for_room(harness, node)
    entry = platform.InstanceEntry(
        id='w',
        role=platform.InstanceRole.UPSTREAM,
        state=platform.InstanceState(state),
        address=kept,
        failure_domain='a',
    )
    node.publish_membership(instances=[entry])
    harness.clock.advance(300)
    assert all(room.address != kept for room in rooms(node))
    assert fill(harness, node, 30, 'after', until='large')
    assert harness.row('large')['worker'] not in ('', kept)


def test_room_moves_from_a_worker_that_is_taken_off_its_pool(harness, node):
    """The configuration may move a worker to another pool."""
    harness.submit(node, 'large', demand={'slots': 2})
    kept = wait_for_room(harness, node)
    pool = harness.tables.pools['main']
    ups = tuple(up for up in pool.upstreams if up.address != kept)
    pools = {'main': dataclasses.replace(pool, upstreams=ups)}
    new_tables = dataclasses.replace(harness.tables, version=2, pools=pools)
    node.kernel.publish(
        config.TablesChanged(tables=new_tables, document=b''), is_state=True
    )
    harness.clock.advance(300)
    assert all(room.address != kept for room in rooms(node))


def test_task_larger_than_the_granted_slots_holds_up_nobody(harness, node):
    """Room for it would never suffice while this daemon has so few slots."""
    harness.submit(node, 'large', demand={'slots': 3})
    fill(harness, node, 40)
    assert rooms(node) == ()
    harness.clock.advance(20_000)
    assert harness.row('small39')['state'] == 'done'


def test_refusal_for_another_reason_keeps_no_room(harness, node):
    """More room does not help a task whose grant cannot be extended."""
    harness.submit(node, 'large', demand={'slots': 2})
    wait_for_room(harness, node)
    node.grants.refuses = True
    harness.clock.advance(20_000)
    assert harness.row('large')['state'] == 'queued'
    assert rooms(node) == ()
