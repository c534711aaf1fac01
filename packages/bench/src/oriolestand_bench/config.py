"""Measure how long an accepted change takes to be in force everywhere.

Times are those of the daemons' own records: from the moment the accepting
daemon has a version in force to the moment the last other one has. All
processes share one machine and so one clock.
"""

import math
import time
from typing import Any

import click

from oriolestand_bench import _results
from oriolestand_standins import _cluster

Entry = _results.Result

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
    """Return tables as large as a user's; versions differ in a limit."""
    upstreams = [
        {'address': f'127.0.1.{i + 1}:80', 'failure_domain': 'none'}
        for i in range(UPSTREAMS)
    ]
    pool = {'name': 'main', 'queue_limit': limit, 'upstreams': upstreams}
    return {'routes': [{'name': 'all', 'pool': 'main'}], 'pools': [pool]}


def _start(cluster: _cluster.Cluster) -> None:
    """Start the platform and all daemons and link them."""
    cluster.start_platform()
    for entry in ENTRIES:
        cluster.add_entry(*entry)
    for name in NAMES:
        cluster.start_daemon(name, **_seeds(cluster))
    for name in NAMES:
        cluster.wait_ready(name)
        _cluster.wait_until(
            lambda name=name: _linked(cluster, name) == len(NAMES),  # type: ignore[misc]
            f'{name} linked',
        )


def _seeds(cluster: _cluster.Cluster) -> dict[str, Any]:
    """Return settings that name all peers."""
    return {
        'seed_peers': [
            f'{_cluster.HOST}:{entry.peers}'
            for entry in cluster.entries.values()
        ]
    }


def _linked(cluster: _cluster.Cluster, name: str) -> int:
    """Return how many instances a daemon reaches, itself included."""
    port = cluster.entries[name].admin
    found = _cluster.call(port, 'GET', '/instances').json()['instances']
    return sum(item['is_connected'] for item in found)


def _adopted(cluster: _cluster.Cluster, name: str, version: int) -> int | None:
    """Return when a daemon put a version in force, or None."""
    for item in cluster.status(name)['tables']['adoptions']:
        if item['version'] == version:
            return int(item['wall_ms'])
    return None


def _spread_ms(cluster: _cluster.Cluster, by: str, version: int) -> int:
    """Wait for a version everywhere; return how long it took to get there."""
    for name in NAMES:
        _cluster.wait_until(
            lambda name=name: (  # type: ignore[misc]
                _adopted(cluster, name, version) is not None
            ),
            f'version {version} at {name}',
        )
    times = {name: _adopted(cluster, name, version) for name in NAMES}
    start = times[by]
    assert start is not None
    return max(t for t in times.values() if t is not None) - start


def _edit(cluster: _cluster.Cluster, by: str, base: int) -> float:
    """Make an edit at a daemon; return how long its answer took."""
    started = time.monotonic()
    answer = cluster.put_tables(by, _document(base + 1), base)
    if answer.status != 200:
        raise ValueError(answer.body.decode())
    return (time.monotonic() - started) * 1000


def _measure_restart(cluster: _cluster.Cluster) -> float:
    """Restart a daemon without a store; return when it was ready."""
    name = NAMES[-1]
    assert cluster.platform is not None
    cluster.set_faults(cluster.platform, is_down=True)
    cluster.daemons[name].kill()
    started = time.monotonic()
    cluster.start_daemon(name, **_seeds(cluster))
    cluster.wait_ready(name)
    return (time.monotonic() - started) * 1000


def run() -> list[Entry]:
    """Edit at each daemon in turn, with the store up and going down."""
    answers = []
    spreads = []
    outages = []
    with _cluster.Cluster() as cluster:
        _start(cluster)
        platform = cluster.platform
        assert platform is not None
        for base in range(EDITS):
            by = NAMES[base % len(NAMES)]
            answers.append(_edit(cluster, by, base))
            spreads.append(_spread_ms(cluster, by, base + 1))
        for base in range(EDITS, EDITS + OUTAGES):
            by = NAMES[base % len(NAMES)]
            _edit(cluster, by, base)
            cluster.set_faults(platform, is_down=True)
            outages.append(_spread_ms(cluster, by, base + 1))
            cluster.set_faults(platform)
        ready = _measure_restart(cluster)
    return [
        _entry('edit_answer_p50', _quantile(answers, 0.5), None),
        _entry('edit_answer_max', max(answers), None),
        _entry('in_force_p50', _quantile(spreads, 0.5), None),
        _entry('in_force_max', max(spreads), TARGET_MS),
        _entry('in_force_store_down_max', max(outages), TARGET_MS),
        _entry('ready_without_store', ready, TARGET_READY_MS),
    ]


def _quantile(values: list[Any], part: float) -> float:
    """Return the smallest value that a part of all values do not exceed."""
    return float(sorted(values)[math.ceil(part * len(values)) - 1])


def _entry(name: str, value: float, target: float | None) -> Entry:
    """Return a measurement with its target."""
    bound = '' if target is None else f' (target {target:g})'
    click.echo(f'{name}: {value:.4g} ms{bound}')
    return _results.Result(
        name=f'config/{name}', unit='ms', value=value, target=target
    )


if __name__ == '__main__':
    run()
