"""Measure the impact of a daemon crash on callers of other daemons."""

import concurrent.futures
import itertools
import threading
import time

import click

from oriolestand_bench import _results
from oriolestand_standins import _cluster

Result = _results.Result

ENTRIES = ('entry-1', 'entry-2', 'entry-3')
CALLERS = 4
BEFORE_SECONDS = 2
AFTER_SECONDS = 6
TARGET_GAP_S = 5.0


def _start(cluster: _cluster.Cluster) -> None:
    """Start three daemons of one failure domain around one upstream."""
    cluster.start_platform()
    port = cluster.start_upstream('up-1').port
    for name in ENTRIES:
        cluster.add_entry(name, 'a', 'north')
        cluster.start_daemon(name)
    upstream = {'address': f'{_cluster.HOST}:{port}', 'failure_domain': 'a'}
    document = {
        'routes': [{'name': 'all', 'pool': 'main', 'timeout_ms': 1_000}],
        'pools': [{'name': 'main', 'upstreams': [upstream]}],
    }
    _cluster.wait_until(
        lambda: (
            cluster.put_tables(ENTRIES[0], document, 0).status in (200, 409)
        ),
        'tables accepted',
    )
    for name in ENTRIES:
        _cluster.wait_until(
            lambda name=name: cluster.held_slots(name, 'main') >= 2,  # type: ignore[misc]
            f'{name} holds its share',
        )


def _send_requests(
    stop: threading.Event, port: int
) -> tuple[list[float], list[int]]:
    """Send requests in sequence until ``stop`` is set.

    Returns the times of the successful responses, and the statuses of the
    others.
    """
    times = []
    bad_statuses = []
    while not stop.is_set():
        status = _cluster.send_request(port, 'GET', '/').status
        if status == 200:
            times.append(time.monotonic())
        else:
            bad_statuses.append(status)
    return times, bad_statuses


def run() -> list[Result]:
    """Kill one daemon under load and measure callers of the others."""
    stop = threading.Event()
    with _cluster.Cluster() as cluster:
        _start(cluster)
        ports = [cluster.entries[name].caller_port for name in ENTRIES[1:]]
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            work = [
                pool.submit(_send_requests, stop, port)
                for port in itertools.islice(itertools.cycle(ports), CALLERS)
            ]
            stop.wait(BEFORE_SECONDS)
            cluster.daemons[ENTRIES[0]].kill()
            killed = time.monotonic()
            cluster.set_entry_state(ENTRIES[0], 'gone')
            _cluster.wait_until(
                lambda: (
                    sum(cluster.held_slots(n, 'main') for n in ENTRIES[1:])
                    == 8
                ),
                'all slots held by the others',
            )
            regained = time.monotonic() - killed
            stop.wait(AFTER_SECONDS)
            stop.set()
            results = [item.result() for item in work]
    times = sorted(t for successes, _ in results for t in successes)
    gap = max(b - a for a, b in itertools.pairwise(times))
    error_count = sum(len(statuses) for _, statuses in results)
    return [
        _make_result('longest_gap', 's', gap, TARGET_GAP_S),
        _make_result('all_slots_regained', 's', regained, TARGET_GAP_S),
        _make_result('errors_at_other_daemons', 'requests', error_count, 0),
    ]


def _make_result(name: str, unit: str, value: float, target: float) -> Result:
    """Print a measurement and return it as a result."""
    click.echo(f'{name}: {value:.4g} {unit} (target {target:g})')
    return _results.Result(
        name=f'failover/{name}', unit=unit, value=value, target=target
    )


if __name__ == '__main__':
    run()
