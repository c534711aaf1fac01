"""Demo: run four daemons in three failure domains and check counts."""

from collections.abc import Mapping
import concurrent.futures
import http
import sys
from typing import Any

import click

from oriolestand_standins import _cluster
from oriolestand_standins import _demo_jobs

ENTRIES = (
    ('entry-a1', 'a', 'north'),
    ('entry-a2', 'a', 'north'),
    ('entry-b1', 'b', 'north'),
    ('entry-c1', 'c', 'south'),
)
NAMES = tuple(name for name, _, _ in ENTRIES)
MAIN_UPSTREAMS = (('up-a1', 'a'), ('up-a2', 'a'), ('up-c1', 'c'))
SPARE_UPSTREAMS = (('up-b1', 'b'),)
UPSTREAMS = MAIN_UPSTREAMS + SPARE_UPSTREAMS
EXPECTED_SLOTS = (
    ('entry-a1', 'main', 8),
    ('entry-a2', 'main', 8),
    ('entry-b1', 'spare', 8),
    ('entry-c1', 'main', 8),
)
REQUESTS = 400
REQUESTS_AFTER_EDIT = 40
CALLERS = 16
ACCEPTED = (http.HTTPStatus.OK, http.HTTPStatus.CONFLICT)


def _pool(
    cluster: _cluster.Cluster, name: str, members: tuple[Any, ...]
) -> dict[str, Any]:
    """Return the definition of a pool with some upstreams."""
    return {
        'name': name,
        'upstreams': [
            {
                'address': f'{_cluster.HOST}:{cluster.upstreams[member].port}',
                'failure_domain': domain,
            }
            for member, domain in members
        ],
    }


def _document(
    cluster: _cluster.Cluster, pool_of_checks: str
) -> dict[str, Any]:
    """Return tables with two routes and two pools over all upstreams."""
    return {
        'routes': [
            {'name': 'check', 'pool': pool_of_checks, 'idempotent': True},
            {
                'name': 'book',
                'pool': 'main',
                'match': {'path_prefix': '/book'},
            },
        ],
        'pools': [
            _pool(cluster, 'main', MAIN_UPSTREAMS),
            _pool(cluster, 'spare', SPARE_UPSTREAMS),
        ],
    }


def _start(cluster: _cluster.Cluster) -> None:
    """Start all processes and wait until each daemon holds its slots."""
    cluster.start_platform()
    for name, _ in UPSTREAMS:
        cluster.start_upstream(name)
    for entry in ENTRIES:
        cluster.add_entry(*entry)
    for name in NAMES:
        cluster.start_daemon(name)
    document = _document(cluster, 'main')
    _cluster.wait_until(
        lambda: cluster.put_tables(NAMES[0], document, 0).status in ACCEPTED,
        'tables accepted',
    )
    for name in NAMES:
        cluster.wait_ready(name)
    for name, pool, slots in EXPECTED_SLOTS:
        cluster.wait_slots(name, pool, slots)


def _matches_request(answer: _cluster.Answer, index: int, size: int) -> bool:
    """Return whether an answer is complete and belongs to a request."""
    if answer.status != http.HTTPStatus.OK:
        return False
    body = answer.json()
    return bool(body['key'] == f'request-{index}' and body['size'] == size)


def _call_in_turn(
    cluster: _cluster.Cluster,
    turn: int,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
) -> _cluster.Answer:
    """Send a request to one of the daemons, chosen by turn."""
    entry = cluster.entries[NAMES[turn % len(NAMES)]]
    return _cluster.send_request(
        entry.caller_port, method, path, body, headers
    )


def _send_check(cluster: _cluster.Cluster, index: int) -> bool:
    """Send a check request; return whether its answer is correct."""
    headers = {'x-request-key': f'request-{index}'}
    path = f'/check?n={index}'
    answer = _call_in_turn(cluster, index, 'GET', path, None, headers)
    return _matches_request(answer, index, 0)


def _send_booking(cluster: _cluster.Cluster, index: int) -> bool:
    """Send a booking and repeat it at another daemon with the same key.

    The repeat is answered from the record of the first request, or refused
    while that record is being written. Returns whether both are correct.
    """
    body = b'x' * (index + 1)
    headers = {
        'x-request-key': f'request-{index}',
        'Idempotency-Key': f'booking-{index}',
    }
    first = _call_in_turn(cluster, index, 'POST', '/book', body, headers)
    repeat = _call_in_turn(cluster, index + 1, 'POST', '/book', body, headers)
    return (
        _matches_request(first, index, len(body)) and repeat.status in ACCEPTED
    )


def _send_request(cluster: _cluster.Cluster, index: int) -> bool:
    """Send a booking as each fourth request, and a check otherwise."""
    return (
        _send_booking(cluster, index)
        if index % 4 == 0
        else _send_check(cluster, index)
    )


def _edit_route(cluster: _cluster.Cluster) -> int:
    """Route checks to another pool; return how many requests reached it."""
    cluster.put_tables(NAMES[0], _document(cluster, 'spare'), 1)
    for name in NAMES:
        _cluster.wait_until(
            lambda name=name: cluster.status(name)['version'] == 2,  # type: ignore[misc]
            f'version 2 in force at {name}',
        )
    before = cluster.counts('up-b1')['requests']
    for index in range(REQUESTS, REQUESTS + REQUESTS_AFTER_EDIT):
        _send_check(cluster, index)
    moved: int = cluster.counts('up-b1')['requests'] - before
    return moved


def run(cluster: _cluster.Cluster) -> dict[str, int]:
    """Run all steps of the demo and return the counts."""
    _start(cluster)
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        results = list(
            pool.map(lambda i: _send_request(cluster, i), range(REQUESTS))
        )
    jobs = _demo_jobs.run_jobs(cluster, ['entry-a1', 'entry-c1'])
    moved = _edit_route(cluster)
    counts = [cluster.counts(name) for name, _ in UPSTREAMS]
    return {
        'sent': REQUESTS,
        'answered': sum(results),
        'lost': REQUESTS - sum(results),
        'run_more_than_once': sum(c['run_more_than_once'] for c in counts),
        'over_capacity': sum(c['max_running'] > c['slots'] for c in counts),
        **jobs,
        'sent_after_route_edit': REQUESTS_AFTER_EDIT,
        'answered_by_new_pool': moved,
    }


def counts_are_valid(counts: Mapping[str, int]) -> bool:
    """Return whether all counts have the expected values."""
    must_be_zero = (
        'lost',
        'run_more_than_once',
        'over_capacity',
        'jobs_run_twice',
        'jobs_in_two_places',
    )
    return (
        not any(counts[name] for name in must_be_zero)
        and counts['jobs_done'] == counts['jobs_submitted']
        and counts['answered_by_new_pool'] == REQUESTS_AFTER_EDIT
    )


def main() -> int:
    """Run the demo and print the counts; return 1 if one is wrong."""
    with _cluster.Cluster() as cluster:
        counts = run(cluster)
    for name, value in counts.items():
        click.echo(f'{name:24} {value}')
    return 0 if counts_are_valid(counts) else 1


if __name__ == '__main__':
    sys.exit(main())
