"""Test with processes that a task ends once, without concurrent runs."""

from collections.abc import Callable
import json
from typing import Any

import pytest

from oriolestand_standins import _cluster
from oriolestand_standins import _worker

ENTRIES = ('entry-1', 'entry-2')
LEASE_MS = 3_000
LONG_MS = 600_000


def document(cluster: _cluster.Cluster) -> dict[str, Any]:
    """Return tables with one pool of all upstreams."""
    return {
        'pools': [
            {
                'name': 'main',
                'upstreams': [
                    {
                        'address': f'{_cluster.HOST}:{up.port}',
                        'failure_domain': 'a',
                    }
                    for up in cluster.upstreams.values()
                ],
            }
        ],
    }


@pytest.fixture
def shared(cluster: _cluster.Cluster) -> _cluster.Cluster:
    """Return a cluster of two daemons that share two workers."""
    for name in ('up-1', 'up-2'):
        cluster.start_upstream(name)
    for name in ENTRIES:
        cluster.add_entry(name, 'a', 'north')
        cluster.start_daemon(name)
    _cluster.wait_until(
        lambda: (
            cluster.put_tables(ENTRIES[0], document(cluster), 0).status
            in (200, 409)
        ),
        'tables accepted',
    )
    for name in ENTRIES:
        cluster.wait_slots(name, 'main', 8)
    return cluster


def submit(cluster: _cluster.Cluster, name: str, **job: Any) -> None:
    """Submit a job through the first daemon."""
    work_ms = job.pop('work_ms', LONG_MS)
    body = {
        'name': name,
        'pool': 'main',
        'lease_ms': LEASE_MS,
        'payload': json.dumps({'work_ms': work_ms}),
        **job,
    }
    answer = _cluster.send_request(
        cluster.entries[ENTRIES[0]].admin_port,
        'POST',
        '/jobs',
        json.dumps(body).encode(),
    )
    assert answer.status == 200, answer.body


def show(cluster: _cluster.Cluster, name: str) -> Any:
    """Return a job's row as the platform stores it."""
    assert cluster.platform is not None
    path = f'/tables/tasks/{name}'
    return _cluster.send_request(cluster.platform.port, 'GET', path).json()[
        'value'
    ]


def wait_job(
    cluster: _cluster.Cluster, name: str, check: Callable[[Any], bool]
) -> Any:
    """Wait until a job's row passes a check; return the row."""
    _cluster.wait_until(
        lambda: check(show(cluster, name)), f'{name} passes the check'
    )
    return show(cluster, name)


def runs(cluster: _cluster.Cluster) -> list[Any]:
    """Return the runs of all workers."""
    found = []
    for up in cluster.upstreams.values():
        path = '/_worker/runs'
        found += _cluster.send_request(up.port, 'GET', path).json()['runs']
    return found


def set_worker_faults(cluster: _cluster.Cluster, **faults: Any) -> None:
    """Set the faults of all workers."""
    for up in cluster.upstreams.values():
        body = json.dumps(faults).encode()
        _cluster.send_request(up.port, 'POST', '/_worker/faults', body)


def wait_running(cluster: _cluster.Cluster, name: str) -> str:
    """Wait until a job runs; return the name of its controller."""
    row = wait_job(cluster, name, lambda r: r['state'] == 'running')
    return str(row['controller'].partition('/')[0])


def test_killed_controller_is_replaced(shared: _cluster.Cluster) -> None:
    """Another daemon must continue the same run without a second one."""
    submit(shared, 'job', work_ms=15_000)
    first = wait_running(shared, 'job')
    shared.daemons[first].kill()
    shared.set_entry_state(first, 'gone')
    row = wait_job(
        shared, 'job', lambda r: not r['controller'].startswith(first)
    )
    row = wait_job(shared, 'job', lambda r: r['state'] == 'done')
    assert row['epoch'] >= 1
    assert _worker.find_overlapping_tasks(runs(shared)) == []
    finished = [r for r in runs(shared) if r['status'] == 'finished']
    assert len(finished) == 1


def test_frozen_controller_resumes_after_the_lease_lapsed(
    shared: _cluster.Cluster,
) -> None:
    """A controller that resumes must not run the task a second time."""
    submit(shared, 'job', work_ms=8_000)
    first = wait_running(shared, 'job')
    shared.daemons[first].suspend()
    _cluster.wait_until(
        lambda: runs(shared)[0]['status'] == 'stopped', 'lease lapsed'
    )
    shared.daemons[first].resume()
    row = wait_job(shared, 'job', lambda r: r['state'] == 'done')
    assert row['attempt'] == 2
    assert _worker.find_overlapping_tasks(runs(shared)) == []


def test_start_with_lost_answer_runs_once(shared: _cluster.Cluster) -> None:
    """A start that was applied must be retried without a second run."""
    _cluster.wait_until(
        lambda: all(
            _cluster.send_request(up.port, 'GET', '/_worker/runs').status
            == 200
            for up in shared.upstreams.values()
        ),
        'workers up',
    )
    submit(shared, 'warm', work_ms=10)
    wait_job(shared, 'warm', lambda r: r['state'] == 'done')
    set_worker_faults(shared, loses_answers=2)
    submit(shared, 'job', work_ms=3_000)
    row = wait_job(shared, 'job', lambda r: r['state'] == 'done')
    assert row['attempt'] == 1
    assert len([r for r in runs(shared) if r['task'] == 'job']) == 1


def test_cancel_that_races_with_the_end_has_one_outcome(
    shared: _cluster.Cluster,
) -> None:
    """A job's final state must agree with what the worker reports."""
    names = [f'job-{i}' for i in range(12)]
    for i, name in enumerate(names):
        submit(shared, name, work_ms=1_500 + 150 * i)
    admin = shared.entries[ENTRIES[1]].admin_port
    wait_running(shared, names[-1])
    for name in names:
        _cluster.send_request(admin, 'DELETE', f'/jobs/{name}')
    final = {
        name: wait_job(
            shared, name, lambda r: r['state'] in ('done', 'cancelled')
        )['state']
        for name in names
    }
    ended = {r['task']: r['status'] for r in runs(shared)}
    for name, state in final.items():
        assert (state == 'done') == (ended.get(name) == 'finished')
    assert _worker.find_overlapping_tasks(runs(shared)) == []


def test_store_down_during_a_run(shared: _cluster.Cluster) -> None:
    """Tasks must continue without the store, in an unchanged stored state."""
    assert shared.platform is not None
    submit(shared, 'job', work_ms=9_000)
    wait_running(shared, 'job')
    shared.set_faults(shared.platform, is_down=True)
    _cluster.wait_until(
        lambda: runs(shared)[0]['status'] != 'running', 'run ended'
    )
    assert runs(shared)[0]['status'] == 'finished'
    shared.set_faults(shared.platform)
    assert show(shared, 'job')['state'] == 'running'
    row = wait_job(shared, 'job', lambda r: r['state'] == 'done')
    assert row['attempt'] == 1


def test_shutdown_hands_tasks_over(shared: _cluster.Cluster) -> None:
    """A shutdown must hand tasks over without stopping them."""
    submit(shared, 'job', work_ms=12_000)
    first = wait_running(shared, 'job')
    assert shared.daemons[first].terminate() == 0
    row = wait_job(shared, 'job', lambda r: r['state'] == 'done')
    assert row['attempt'] == 1
    assert row['epoch'] >= 1
