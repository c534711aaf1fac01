"""Measure how long a configuration change takes to reach all daemons.

The times are those that the daemons report: from when the daemon that accepts
an edit puts the version in force until the last other daemon does. All
processes run on one machine, so they share a clock.
"""

import math
import time
from typing import Any

import click

from oriolestand_bench import _results
from oriolestand_standins import _cluster

Result = _results.Result

ENTRIES = (
    ('entry-a1', 'a', 'north'),
    ('entry-a2', 'a', 'north'),
    ('entry-b1', 'b', 'north'),
    ('entry-b2', 'b', 'north'),
    ('entry-c1', 'c', 'south'),
    ('entry-c2', 'c', 'south'),
)
NAMES = tuple(name for name, _, _ in ENTRIES)
EDITS = 40
OUTAGES = 8
UPSTREAMS = 33
TARGET_MS = 3_000
TARGET_READY_MS = 5_000


def _document(limit: int) -> dict[str, Any]:
    """Return tables of the size of a user's; versions differ in a limit."""
    upstreams = [
        {'address': f'127.0.1.{i + 1}:80', 'failure_domain': 'none'}
        for i in range(UPSTREAMS)
    ]
    pool = {'name': 'main', 'queue_limit': limit, 'upstreams': upstreams}
    return {'routes': [{'name': 'all', 'pool': 'main'}], 'pools': [pool]}


def _start(cluster: _cluster.Cluster) -> None:
    """Start the platform and all daemons and wait for their links."""
    cluster.start_platform()
    for entry in ENTRIES:
        cluster.add_entry(*entry)
    for name in NAMES:
        cluster.start_daemon(name, **_seeds(cluster))
    for name in NAMES:
        cluster.wait_ready(name)
        _cluster.wait_until(
            lambda name=name: _count_connected(cluster, name) == len(NAMES),  # type: ignore[misc]
            f'{name} linked',
        )


def _seeds(cluster: _cluster.Cluster) -> dict[str, Any]:
    """Return settings with all daemons as seed peers."""
    return {
        'seed_peers': [
            f'{_cluster.HOST}:{entry.peer_port}'
            for entry in cluster.entries.values()
        ]
    }


def _count_connected(cluster: _cluster.Cluster, name: str) -> int:
    """Return the number of connected instances, including itself."""
    port = cluster.entries[name].admin_port
    found = _cluster.send_request(port, 'GET', '/instances').json()[
        'instances'
    ]
    return sum(item['is_connected'] for item in found)


def _adopted_at_ms(
    cluster: _cluster.Cluster, name: str, version: int
) -> int | None:
    """Return when a daemon put a version in force (ms), or None."""
    for item in cluster.status(name)['tables']['adoptions']:
        if item['version'] == version:
            return int(item['wall_ms'])
    return None


def _propagation_ms(cluster: _cluster.Cluster, by: str, version: int) -> int:
    """Wait until all daemons have a version; return the delay in ms.

    The delay counts from when the daemon ``by`` put the version in force.
    """
    for name in NAMES:
        _cluster.wait_until(
            lambda name=name: (  # type: ignore[misc]
                _adopted_at_ms(cluster, name, version) is not None
            ),
            f'version {version} at {name}',
        )
    times = {name: _adopted_at_ms(cluster, name, version) for name in NAMES}
    start = times[by]
    assert start is not None
    return max(t for t in times.values() if t is not None) - start


def _edit(cluster: _cluster.Cluster, by: str, base: int) -> float:
    """Edit the tables at a daemon; return the response time in ms."""
    started = time.monotonic()
    answer = cluster.put_tables(by, _document(base + 1), base)
    if answer.status != 200:
        raise ValueError(answer.body.decode())
    return (time.monotonic() - started) * 1000


def _measure_restart(cluster: _cluster.Cluster) -> float:
    """Restart a daemon while the store is down.

    Returns the time until it is ready, in milliseconds.
    """
    name = NAMES[-1]
    assert cluster.platform is not None
    cluster.set_faults(cluster.platform, is_down=True)
    cluster.daemons[name].kill()
    started = time.monotonic()
    cluster.start_daemon(name, **_seeds(cluster))
    cluster.wait_ready(name)
    return (time.monotonic() - started) * 1000


def run() -> list[Result]:
    """Edit at each daemon in turn, with the store up and then failing."""
    edit_times_ms = []
    propagation_times_ms = []
    outage_times_ms = []
    with _cluster.Cluster() as cluster:
        _start(cluster)
        platform = cluster.platform
        assert platform is not None
        for base in range(EDITS):
            by = NAMES[base % len(NAMES)]
            edit_times_ms.append(_edit(cluster, by, base))
            propagation_times_ms.append(_propagation_ms(cluster, by, base + 1))
        for base in range(EDITS, EDITS + OUTAGES):
            by = NAMES[base % len(NAMES)]
            _edit(cluster, by, base)
            cluster.set_faults(platform, is_down=True)
            outage_times_ms.append(_propagation_ms(cluster, by, base + 1))
            cluster.set_faults(platform)
        ready = _measure_restart(cluster)
    return [
        _make_result('edit_answer_p50', _quantile(edit_times_ms, 0.5), None),
        _make_result('edit_answer_max', max(edit_times_ms), None),
        _make_result(
            'in_force_p50', _quantile(propagation_times_ms, 0.5), None
        ),
        _make_result('in_force_max', max(propagation_times_ms), TARGET_MS),
        _make_result(
            'in_force_store_down_max', max(outage_times_ms), TARGET_MS
        ),
        _make_result('ready_without_store', ready, TARGET_READY_MS),
    ]


def _quantile(values: list[Any], part: float) -> float:
    """Return a quantile of the values by the nearest-rank method."""
    return float(sorted(values)[math.ceil(part * len(values)) - 1])


def _make_result(name: str, value: float, target: float | None) -> Result:
    """Print a measurement and return it as a result."""
    bound = '' if target is None else f' (target {target:g})'
    click.echo(f'{name}: {value:.4g} ms{bound}')
    return _results.Result(
        name=f'config/{name}', unit='ms', value=value, target=target
    )


if __name__ == '__main__':
    run()
