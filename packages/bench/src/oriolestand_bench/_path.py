"""Compare the request path of one daemon with a bare forwarder."""

import statistics

from oriolestand_bench import _load
from oriolestand_bench import _process
from oriolestand_bench import _results
from oriolestand_standins import _cluster

CONNECTIONS = 32
UPSTREAMS = 4
SLOTS = 8
ROUNDS = 5
ROUND_S = 4.0
"""Seconds of load per round and target.

The targets alternate, so other load on the machine affects them alike.
"""

MICROS = 1_000_000
MIN_RATE_RATIO = 0.7
MAX_ADDED_P99_RATIO = 1.5
REQUEST = (
    b'GET /check?n=1 HTTP/1.1\r\nHost: bench\r\nAccept: */*\r\n'
    b'User-Agent: bench\r\n\r\n'
)


def start_upstreams(
    cluster: _cluster.Cluster, count: int = UPSTREAMS
) -> list[str]:
    """Start upstreams that respond without delay; return their names."""
    names = [f'up-{number}' for number in range(count)]
    for name in names:
        process = cluster.start_upstream(name, slots=SLOTS)
        cluster.set_faults(process, service_ms=0)
    return names


def put_tables(
    cluster: _cluster.Cluster, entry: str, upstreams: list[str]
) -> None:
    """Store tables with one route and one pool of the upstreams."""
    document = {
        'routes': [{'name': 'check', 'pool': 'main', 'idempotent': True}],
        'pools': [
            {
                'name': 'main',
                'upstreams': [
                    {
                        'address': (
                            f'{_cluster.HOST}:{cluster.upstreams[name].port}'
                        ),
                        'failure_domain': 'a',
                    }
                    for name in upstreams
                ],
            }
        ],
    }
    _cluster.wait_until(
        lambda: cluster.put_tables(entry, document, 0).status in (200, 409),
        'tables accepted',
    )


def start_daemon(cluster: _cluster.Cluster, name: str = 'entry') -> None:
    """Start upstreams and one daemon that holds all their slots."""
    cluster.start_platform()
    upstreams = start_upstreams(cluster)
    cluster.add_entry(name, 'a', 'north')
    cluster.start_daemon(name)
    put_tables(cluster, name, upstreams)
    cluster.wait_ready(name)
    cluster.wait_slots(name, 'main', UPSTREAMS * SLOTS)


def _start_forwarder(cluster: _cluster.Cluster) -> int:
    """Start the bare forwarder; return its port."""
    port = _cluster.free_port()
    cluster.start_module(
        'forwarder',
        port,
        'oriolestand_bench._forwarder',
        f'--port={port}',
        *(f'--upstream={up.port}' for up in cluster.upstreams.values()),
    )
    _cluster.wait_until(
        lambda: _cluster.send_request(port, 'GET', '/').status == 200,
        'forwarder up',
    )
    return port


def run() -> list[_results.Result]:
    """Compare rate, latency and CPU of the daemon and the forwarder."""
    with _cluster.Cluster() as cluster:
        start_daemon(cluster)
        ports = {
            'daemon': cluster.entries['entry'].caller_port,
            'forwarder': _start_forwarder(cluster),
            'direct': cluster.upstreams['up-0'].port,
        }
        pids = {
            'daemon': cluster.daemons['entry'].popen.pid,
            'forwarder': cluster.modules['forwarder'].popen.pid,
        }
        loads: dict[str, list[_load.Load]] = {name: [] for name in ports}
        cpu: dict[str, list[float]] = {name: [] for name in pids}
        for _ in range(ROUNDS):
            for name, port in ports.items():
                # A single upstream gets its share of the connections.
                count = CONNECTIONS
                if name == 'direct':
                    count = CONNECTIONS // UPSTREAMS
                before = (
                    _process.cpu_seconds(pids[name]) if name in pids else 0
                )
                load = _load.run(port, count, ROUND_S, REQUEST)
                loads[name].append(load)
                if name in pids:
                    used = _process.cpu_seconds(pids[name]) - before
                    cpu[name].append(used * MICROS / load.requests)
    return [*_compare(loads), _compare_cpu(cpu)]


def _compare_cpu(cpu: dict[str, list[float]]) -> _results.Result:
    """Compare the CPU time per request.

    If this ratio differs from that of the rates, there was other load on
    the machine or the load generator was too slow.
    """
    return _results.Result(
        name='path/cpu',
        unit='us',
        value=statistics.median(cpu['daemon']),
        baseline=statistics.median(cpu['forwarder']),
        low=min(cpu['daemon']),
        high=max(cpu['daemon']),
    )


def _compare(loads: dict[str, list[_load.Load]]) -> list[_results.Result]:
    """Compare the medians of rate and latency over all rounds."""

    def median(name: str, field: str) -> float:
        return statistics.median(getattr(x, field) for x in loads[name])

    direct = median('direct', 'p99_ms')
    return [
        _results.Result(
            name='path/rate',
            unit='1/s',
            value=median('daemon', 'requests_per_s'),
            baseline=median('forwarder', 'requests_per_s'),
            low=min(x.requests_per_s for x in loads['daemon']),
            high=max(x.requests_per_s for x in loads['daemon']),
            target=MIN_RATE_RATIO,
            is_at_least=True,
        ),
        _results.Result(
            name='path/added_p99',
            unit='ms',
            value=median('daemon', 'p99_ms') - direct,
            baseline=median('forwarder', 'p99_ms') - direct,
            target=MAX_ADDED_P99_RATIO,
        ),
        _results.Result(
            name='path/p50',
            unit='ms',
            value=median('daemon', 'p50_ms'),
            baseline=median('forwarder', 'p50_ms'),
        ),
    ]
