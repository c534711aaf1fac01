"""Measure cost per unit of size, the input of the capacity page.

The value of each result is the slope of a fitted line; the measured points
are printed.
"""

import json
import threading
import tracemalloc

import click

from oriolestand_bench import _fit
from oriolestand_bench import _idle
from oriolestand_bench import _results
from oriolestand_daemon.services.grants import models as grant_models
from oriolestand_models import document as table_models
from oriolestand_policy import grants
from oriolestand_policy import routing
from oriolestand_standins import _cluster
import oriolestand_wire as wire

Result = _results.Result
Points = list[tuple[float, float]]

SHARD_SIZES = (8, 16, 32, 64)
TABLE_SIZES = (10, 100, 1_000, 10_000)
POOL_COUNTS = (1, 10, 100)
DAEMON_COUNTS = (2, 4, 8)
PEER_COUNTS = (1, 3, 7)
IDLE_SECONDS = 12
SETTLE_SECONDS = 2
HOLDERS = ('a', 'b', 'c')


def _slope(name: str, unit: str, points: Points) -> Result:
    """Fit a line, print it with its points and return the slope."""
    line = _fit.fit(points)
    text = ', '.join(f'{x:g}: {y:.4g}' for x, y in points)
    click.echo(f'{name}: {text} -> {line.base:.4g} + {line.slope:.4g} x')
    return _results.Result(
        name=f'capacity/{name}', unit=unit, value=line.slope
    )


def _address(index: int) -> str:
    """Return a distinct upstream address for an index."""
    return f'10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}:8080'


def _make_shard(size: int) -> tuple[grants.ShardRow, grants.Demand]:
    """Return a converged row with three holders, and a demand."""
    capacity = {_address(i): 8 for i in range(size)}
    demand = grants.Demand(
        capacity=capacity,
        horizon_ms=dict.fromkeys(capacity, 5_000),
        in_use={},
        entry_ids=HOLDERS,
        address='10.1.1.1:7000',
    )
    row = grants.ShardRow()
    for name in HOLDERS * 2:
        holder = grants.Holder(instance_id=name, incarnation='0' * 16)
        row = grants.plan(row, holder, demand, gone=())
    return row, demand


def measure_grants() -> list[Result]:
    """Measure plan time, row size and memory by shard size."""
    local_holder = grants.Holder(instance_id='a', incarnation='0' * 16)
    plan_points: Points = []
    size_points: Points = []
    memory_points: Points = []
    for size in SHARD_SIZES:
        row, demand = _make_shard(size)
        spent = _fit.measure_call_us(
            lambda r=row, d=demand: grants.plan(r, local_holder, d, gone=()),  # type: ignore[misc]
            50,
        )
        plan_points.append((size, spent))
        value = grant_models.dump_row(row, 'x' * 32)
        size_points.append((size, len(json.dumps(value))))
        tracemalloc.start()
        retained, _ = _make_shard(size)
        memory_points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del retained
    return [
        _slope('grants_plan_per_upstream', 'us', plan_points),
        _slope('grants_row_per_upstream', 'bytes', size_points),
        _slope('grants_memory_per_upstream', 'bytes', memory_points),
    ]


def _document(size: int) -> table_models.DocumentModel:
    """Return a document with ``size`` upstreams and ``size`` routes."""
    pools = tuple(
        table_models.PoolModel(
            name=f'pool-{p}',
            upstreams=tuple(
                table_models.UpstreamModel(
                    address=_address(p * 10 + i),
                    failure_domain='domain-1',
                    rack=f'rack-{p}',
                )
                for i in range(10)
            ),
        )
        for p in range(max(1, size // 10))
    )
    routes = tuple(
        table_models.RouteModel(
            name=f'route-{i}',
            pool=pools[i % len(pools)].name,
            match=table_models.MatchModel(path_prefix=f'/{i}/'),
        )
        for i in range(size)
    )
    return table_models.DocumentModel(version=1, routes=routes, pools=pools)


def measure_tables() -> list[Result]:
    """Measure document size, parsing, memory and routing by table size."""
    sizes: Points = []
    parsing_times: Points = []
    routing_times: Points = []
    memory: Points = []
    for size in TABLE_SIZES:
        document = _document(size)
        data = document.model_dump_json().encode()
        sizes.append((size, len(data)))
        parsing_times.append(
            (
                size,
                _fit.measure_call_us(
                    lambda d=data: table_models.to_tables(  # type: ignore[misc]
                        table_models.parse_bytes(d)
                    ),
                    1,
                ),
            )
        )
        tracemalloc.start()
        generation = table_models.to_tables(document)
        memory.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        router = routing.Router(generation)
        request = routing.RequestAttributes(
            host='h', method='GET', path=f'/{size - 1}/x', headers={}
        )
        routing_times.append(
            (
                size,
                _fit.measure_call_us(
                    lambda r=router, f=request: r.find(f),  # type: ignore[misc]
                    2_000,
                ),
            )
        )
    return [
        _slope('tables_bytes_per_route_and_upstream', 'bytes', sizes),
        _slope('tables_parse_per_route_and_upstream', 'us', parsing_times),
        _slope('tables_memory_per_route_and_upstream', 'bytes', memory),
        _slope('router_find_per_route', 'us', routing_times),
    ]


def measure_wire() -> list[Result]:
    """Measure the size of control messages by number of pools."""
    points: Points = []
    for count in POOL_COUNTS:
        pools = tuple(
            wire.PoolLoad(pool=f'pool-{i}', free=8, queued=0, latency_ms=5)
            for i in range(count)
        )
        points.append((count, len(wire.encode(wire.Load(pools=pools)))))
    entries = [_slope('load_message_per_pool', 'bytes', points)]
    heartbeat_size = len(
        wire.encode_frame(wire.encode(wire.Heartbeat(sequence=9)))
    )
    entries.append(
        _results.Result(
            name='capacity/heartbeat_message',
            unit='bytes',
            value=heartbeat_size,
        )
    )
    return entries


def _sleep(seconds: float) -> None:
    """Sleep while the daemons run."""
    threading.Event().wait(seconds)


def _store_counts(cluster: _cluster.Cluster) -> tuple[int, int]:
    """Return the platform's counts of reads and writes."""
    assert cluster.platform is not None
    counts = _cluster.send_request(
        cluster.platform.port, 'GET', '/counts'
    ).json()
    return counts['reads'], counts['writes']


def _start(cluster: _cluster.Cluster, count: int) -> list[str]:
    """Start daemons of one failure domain around two upstreams."""
    cluster.start_platform()
    ups = [cluster.start_upstream(f'up-{i}') for i in range(2)]
    names = [f'entry-{i}' for i in range(count)]
    for name in names:
        cluster.add_entry(name, 'a', 'north')
        cluster.start_daemon(name)
    document = {
        'routes': [{'name': 'all', 'pool': 'main'}],
        'pools': [
            {
                'name': 'main',
                'upstreams': [
                    {
                        'address': f'{_cluster.HOST}:{up.port}',
                        'failure_domain': 'a',
                    }
                    for up in ups
                ],
            }
        ],
    }
    _cluster.wait_until(
        lambda: cluster.put_tables(names[0], document, 0).status in (200, 409),
        'tables accepted',
    )
    _wait_granted(cluster, names)
    return names


def _wait_granted(cluster: _cluster.Cluster, names: list[str]) -> None:
    """Wait until all 16 slots are granted."""

    def granted() -> int:
        return sum(cluster.held_slots(name, 'main') for name in names)

    _cluster.wait_until(lambda: granted() == 16, 'all slots granted')


def measure_platform() -> list[Result]:
    """Measure store reads and writes per second by number of daemons.

    Also measures the writes that redistribute the slots of a dead daemon.
    """
    reads: Points = []
    writes: Points = []
    death_writes: Points = []
    for count in DAEMON_COUNTS:
        with _cluster.Cluster() as cluster:
            names = _start(cluster, count)
            # Let the syncs of the start-up finish before counting.
            _sleep(SETTLE_SECONDS)
            counts_before = _store_counts(cluster)
            _sleep(IDLE_SECONDS)
            counts_after = _store_counts(cluster)
            reads.append(
                (count, (counts_after[0] - counts_before[0]) / IDLE_SECONDS)
            )
            writes.append(
                (count, (counts_after[1] - counts_before[1]) / IDLE_SECONDS)
            )
            dead_entry = next(
                n for n in names if cluster.held_slots(n, 'main')
            )
            cluster.daemons[dead_entry].kill()
            cluster.set_entry_state(dead_entry, 'gone')
            _wait_granted(cluster, [n for n in names if n != dead_entry])
            death_writes.append(
                (count, _store_counts(cluster)[1] - counts_after[1])
            )
    return [
        _slope('platform_reads_per_second_per_daemon', '1/s', reads),
        _slope('platform_writes_per_second_per_daemon', '1/s', writes),
        _slope('grant_writes_per_death', 'writes', death_writes),
    ]


def measure_peers() -> list[Result]:
    """Measure the usage of an idle daemon by number of peers."""
    points: dict[str, Points] = {}
    for count in PEER_COUNTS:
        for result in _idle.measure_idle(count + 1):
            points.setdefault(result.name, []).append((count, result.value))
    return [
        _slope('core_percent_per_peer', '%', points['idle/core']),
        _slope('memory_per_peer', 'MiB', points['idle/resident']),
        _slope('control_per_peer', 'KiB/s', points['idle/control']),
    ]


def run() -> list[Result]:
    """Measure all slopes."""
    return [
        *measure_grants(),
        *measure_tables(),
        *measure_wire(),
        *measure_platform(),
        *measure_peers(),
    ]


if __name__ == '__main__':
    run()
