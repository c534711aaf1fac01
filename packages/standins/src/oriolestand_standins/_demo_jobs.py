"""Batch jobs of the demo: submit them, wait and count their runs."""

import json
from typing import Any

from oriolestand_standins import _cluster
from oriolestand_standins import _worker

JOB_COUNT = 12
WORK_MS = 1_500


def run_jobs(cluster: _cluster.Cluster, entries: list[str]) -> dict[str, int]:
    """Submit jobs to several daemons, wait until they end; return counts.

    :param entries: ids of daemons that hold slots of the pool ``main``.
    """
    names = [f'demo-{i}' for i in range(JOB_COUNT)]
    for i, name in enumerate(names):
        _submit(cluster, entries[i % len(entries)], name)
    _cluster.wait_until(
        lambda: all(
            get_job(cluster, entries[0], name)['state'] == 'done'
            for name in names
        ),
        'all jobs done',
    )
    runs: list[dict[str, Any]] = []
    for upstream in cluster.upstreams.values():
        answer = _cluster.send_request(upstream.port, 'GET', '/_worker/runs')
        runs += answer.json()['runs']
    job_runs = [run for run in runs if run['task'] in names]
    return {
        'jobs_submitted': len(names),
        'jobs_done': len({r['task'] for r in job_runs if r['result']}),
        'jobs_run_twice': len(job_runs) - len({r['task'] for r in job_runs}),
        'jobs_in_two_places': len(_worker.find_overlapping_tasks(job_runs)),
    }


def _submit(cluster: _cluster.Cluster, entry: str, name: str) -> None:
    """Submit a job to a daemon; submitting it again has no effect.

    :raises ValueError: if the daemon refuses the job.
    """
    job = {
        'name': name,
        'pool': 'main',
        'payload': json.dumps({'work_ms': WORK_MS}),
    }
    answer = _cluster.send_request(
        cluster.entries[entry].admin_port,
        'POST',
        '/jobs',
        json.dumps(job).encode(),
    )
    if answer.status != 200:
        raise ValueError(answer.body.decode())


def get_job(cluster: _cluster.Cluster, entry: str, name: str) -> Any:
    """Return a job as reported by a daemon."""
    port = cluster.entries[entry].admin_port
    return _cluster.send_request(port, 'GET', f'/jobs/{name}').json()
