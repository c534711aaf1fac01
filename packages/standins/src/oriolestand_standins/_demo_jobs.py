"""Show batch jobs in the demo: submit, run to the end, show."""

import json
from typing import Any

from oriolestand_standins import _cluster
from oriolestand_standins import _worker

JOBS = 12
WORK_MS = 1_500


def run_jobs(cluster: _cluster.Cluster, entries: list[str]) -> dict[str, int]:
    """Submit jobs at several daemons, wait for their ends and count.

    :param entries: ids of daemons that hold slots of the pool ``main``.
    """
    names = [f'demo-{i}' for i in range(JOBS)]
    for i, name in enumerate(names):
        _submit(cluster, entries[i % len(entries)], name)
    _cluster.wait_until(
        lambda: all(
            show_job(cluster, entries[0], name)['state'] == 'done'
            for name in names
        ),
        'all jobs done',
    )
    runs: list[dict[str, Any]] = []
    for up in cluster.upstreams.values():
        answer = _cluster.call(up.port, 'GET', '/_worker/runs')
        runs += answer.json()['runs']
    mine = [run for run in runs if run['task'] in names]
    return {
        'jobs_submitted': len(names),
        'jobs_done': len({r['task'] for r in mine if r['result']}),
        'jobs_run_twice': len(mine) - len({r['task'] for r in mine}),
        'jobs_in_two_places': len(_worker.overlaps(mine)),
    }


def _submit(cluster: _cluster.Cluster, entry: str, name: str) -> None:
    """Submit a job; a repeat changes nothing."""
    job = {
        'name': name,
        'pool': 'main',
        'payload': json.dumps({'work_ms': WORK_MS}),
    }
    answer = _cluster.call(
        cluster.entries[entry].admin, 'POST', '/jobs', json.dumps(job).encode()
    )
    if answer.status != 200:
        raise ValueError(answer.body.decode())


def show_job(cluster: _cluster.Cluster, entry: str, name: str) -> Any:
    """Return a job as a daemon shows it."""
    port = cluster.entries[entry].admin
    return _cluster.call(port, 'GET', f'/jobs/{name}').json()
