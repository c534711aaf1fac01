"""Test that failures never overload an upstream beyond its capacity."""

import concurrent.futures
from typing import Any

import pytest

from oriolestand_standins import _cluster

SLOTS = 8
ENTRIES = ('entry-1', 'entry-2', 'entry-3')
TIMEOUT_MS = 1_000


def document(cluster: _cluster.Cluster, slots: int = SLOTS) -> dict[str, Any]:
    """Return tables with one route to one pool of one upstream."""
    port = cluster.upstreams['up-1'].port
    return {
        'routes': [{'name': 'all', 'pool': 'main', 'timeout_ms': TIMEOUT_MS}],
        'pools': [
            {
                'name': 'main',
                'slots_per_upstream': slots,
                'upstreams': [
                    {
                        'address': f'{_cluster.HOST}:{port}',
                        'failure_domain': 'a',
                    }
                ],
            }
        ],
    }


@pytest.fixture
def shared(cluster: _cluster.Cluster) -> _cluster.Cluster:
    """Return a cluster of three daemons that share one upstream."""
    up = cluster.start_upstream('up-1')
    cluster.set_faults(up, service_ms=50)
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
    wait_granted(cluster, ENTRIES, SLOTS)
    return cluster


def wait_granted(
    cluster: _cluster.Cluster, names: tuple[str, ...], slots: int
) -> None:
    """Wait until daemons together hold a number of slots."""
    _cluster.wait_until(
        lambda: (
            sum(cluster.held_slots(name, 'main') for name in names) == slots
        ),
        f'{names} hold {slots} slots',
    )


def flood(
    cluster: _cluster.Cluster, names: tuple[str, ...], count: int
) -> list[int]:
    """Send concurrent requests to daemons; return the statuses."""

    def send(index: int) -> int:
        entry = cluster.entries[names[index % len(names)]]
        try:
            return _cluster.send_request(
                entry.caller_port, 'GET', f'/{index}'
            ).status
        except OSError:
            return 0

    with concurrent.futures.ThreadPoolExecutor(48) as pool:
        return list(pool.map(send, range(count)))


def assert_within_capacity(cluster: _cluster.Cluster) -> None:
    """Check the maxima that the upstream itself counted."""
    counts = cluster.counts('up-1')
    assert counts['max_running'] <= SLOTS
    assert counts['max_connections'] <= 64


def test_slots_of_a_killed_daemon_stay_reserved(
    shared: _cluster.Cluster,
) -> None:
    """Requests of a dead daemon may use its slots until the horizon."""
    shared.set_faults(shared.upstreams['up-1'], service_ms=700)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        load = pool.submit(flood, shared, ENTRIES, 48)
        _cluster.wait_until(
            lambda: shared.counts('up-1')['running'] == SLOTS, 'full'
        )
        shared.daemons[ENTRIES[0]].kill()
        shared.set_entry_state(ENTRIES[0], 'gone')
        load.result()
    wait_granted(shared, ENTRIES[1:], SLOTS)
    shared.set_faults(shared.upstreams['up-1'], service_ms=20)
    assert 200 in flood(shared, ENTRIES[1:], 200)
    assert_within_capacity(shared)


def wait_reads(cluster: _cluster.Cluster, reads: int) -> None:
    """Wait until the platform has served a number of further reads."""
    assert cluster.platform is not None
    port = cluster.platform.port

    def count() -> int:
        total: int = _cluster.send_request(port, 'GET', '/counts').json()[
            'reads'
        ]
        return total

    end = count() + reads
    _cluster.wait_until(lambda: count() >= end, f'{reads} more reads')


def test_frozen_daemon_resumes_with_old_grants(
    shared: _cluster.Cluster,
) -> None:
    """A frozen daemon may resume between its check and its send."""
    frozen, *others = ENTRIES
    shared.daemons[frozen].suspend()
    _cluster.wait_until(
        lambda: all(
            frozen not in shared.status(name)['pools']['main']['peers']
            for name in others
        ),
        'links to the frozen daemon dropped',
    )
    shared.put_tables(others[0], document(shared), 1)
    wait_reads(shared, 40)
    kept = flood(shared, tuple(others), 100)
    shared.daemons[frozen].resume()
    assert 200 in kept
    flood(shared, ENTRIES, 300)
    wait_granted(shared, ENTRIES, SLOTS)
    assert_within_capacity(shared)


def test_all_daemons_restart_at_once(shared: _cluster.Cluster) -> None:
    """Restarted daemons must not reuse slots that old requests still use."""
    shared.set_faults(shared.upstreams['up-1'], service_ms=700)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        load = pool.submit(flood, shared, ENTRIES, 48)
        _cluster.wait_until(
            lambda: shared.counts('up-1')['running'] == SLOTS, 'full'
        )
        for name in ENTRIES:
            shared.daemons[name].kill()
        load.result()
    for name in ENTRIES:
        shared.start_daemon(name)
    for name in ENTRIES:
        shared.wait_ready(name)
    wait_granted(shared, ENTRIES, SLOTS)
    shared.set_faults(shared.upstreams['up-1'], service_ms=20)
    assert 200 in flood(shared, ENTRIES, 200)
    assert_within_capacity(shared)


def test_store_outage_and_smaller_pool(shared: _cluster.Cluster) -> None:
    """Daemons must keep to their grants, also while a pool shrinks."""
    assert shared.platform is not None
    shared.set_faults(shared.platform, is_down=True)
    shared.daemons[ENTRIES[0]].kill()
    assert 200 in flood(shared, ENTRIES[1:], 100)
    shared.set_faults(shared.platform)
    shared.start_daemon(ENTRIES[0])
    shared.wait_ready(ENTRIES[0])
    wait_granted(shared, ENTRIES, SLOTS)
    _cluster.wait_until(
        lambda: (
            shared.put_tables(ENTRIES[1], document(shared, 4), 1).status
            in (200, 409)
        ),
        'smaller pool accepted',
    )
    wait_granted(shared, ENTRIES, 4)
    flood(shared, ENTRIES, 100)
    assert_within_capacity(shared)
