"""Run four daemons in three failure domains and check every count."""

import concurrent.futures
import sys
from typing import Any

import click

from oriolestand_standins import _cluster

ENTRIES = (
    ('entry-a1', 'a', 'north'),
    ('entry-a2', 'a', 'north'),
    ('entry-b1', 'b', 'north'),
    ('entry-c1', 'c', 'south'),
)
UPSTREAMS = (('up-a1', 'a'), ('up-a2', 'a'), ('up-b1', 'b'), ('up-c1', 'c'))
REQUESTS = 400
CALLERS = 16
SLOTS = 8


def _document(cluster: _cluster.Cluster) -> dict[str, Any]:
    """Return routes and pools over all upstreams."""
    upstreams = [
        {
            'address': f'{_cluster.HOST}:{cluster.upstreams[name].port}',
            'failure_domain': domain,
        }
        for name, domain in UPSTREAMS
    ]
    return {
        'routes': [
            {'name': 'check', 'pool': 'main', 'idempotent': True},
            {
                'name': 'book',
                'pool': 'main',
                'match': {'path_prefix': '/book'},
            },
        ],
        'pools': [{'name': 'main', 'upstreams': upstreams}],
    }


def _start(cluster: _cluster.Cluster) -> None:
    """Start all processes and wait until the slots are shared."""
    cluster.start_platform()
    for name, _ in UPSTREAMS:
        cluster.start_upstream(name)
    for entry in ENTRIES:
        cluster.add_entry(*entry)
    for name, _, _ in ENTRIES:
        cluster.start_daemon(name)
    first = ENTRIES[0][0]
    _cluster.wait_until(
        lambda: (
            cluster.put_tables(first, _document(cluster), 0).status
            in (200, 409)
        ),
        'tables accepted',
    )
    for name, _, _ in ENTRIES:
        cluster.wait_ready(name)
    for name, slots in zip(
        (e[0] for e in ENTRIES), (SLOTS, SLOTS, SLOTS, SLOTS), strict=True
    ):
        cluster.wait_slots(name, 'main', slots)


def _send(cluster: _cluster.Cluster, index: int) -> bool:
    """Send one request; return whether its own whole answer came."""
    entry = ENTRIES[index % len(ENTRIES)][0]
    method, path = ('POST', '/book') if index % 4 == 0 else ('GET', '/check')
    body = b'x' * index if method == 'POST' else None
    answer = _cluster.call(
        cluster.entries[entry].callers,
        method,
        f'{path}?n={index}',
        body,
        {'x-request-key': f'request-{index}'},
    )
    return (
        answer.status == 200
        and answer.json()['key'] == f'request-{index}'
        and answer.json()['size'] == len(body or b'')
    )


def run(cluster: _cluster.Cluster) -> dict[str, int]:
    """Send all requests and return the counts."""
    _start(cluster)
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        results = list(pool.map(lambda i: _send(cluster, i), range(REQUESTS)))
    counts = [cluster.counts(name) for name, _ in UPSTREAMS]
    return {
        'sent': REQUESTS,
        'answered': sum(results),
        'lost': REQUESTS - sum(results),
        'run_more_than_once': sum(c['run_more_than_once'] for c in counts),
        'over_capacity': sum(c['max_running'] > c['slots'] for c in counts),
    }


def main() -> int:
    """Run the demo; return 1 when a count is wrong."""
    with _cluster.Cluster() as cluster:
        counts = run(cluster)
    for name, value in counts.items():
        click.echo(f'{name:20} {value}')
    is_right = (
        counts['answered'] == REQUESTS
        and not counts['run_more_than_once']
        and not counts['over_capacity']
    )
    return 0 if is_right else 1


if __name__ == '__main__':
    sys.exit(main())
