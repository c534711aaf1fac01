"""Test requests from caller to upstream through real processes."""

from collections.abc import Iterator
import http.client
import json

import pytest

from oriolestand_standins import _cluster

TRACE = 'c' * 32
PARENT = 'd' * 16


@pytest.fixture(scope='module')
def cluster() -> Iterator[_cluster.Cluster]:
    """Run one daemon and one upstream that has one slot."""
    with _cluster.Cluster() as found:
        found.start_platform()
        found.start_upstream('up', slots=1)
        found.add_entry('entry', 'a', 'north')
        found.start_daemon('entry')
        address = f'{_cluster.HOST}:{found.upstreams["up"].port}'
        pool = {
            'name': 'main',
            'upstreams': [{'address': address, 'failure_domain': 'a'}],
            'slots_per_upstream': 1,
            'connections_per_upstream': 8,
        }
        document = {
            'routes': [{'name': 'all', 'pool': 'main', 'timeout_ms': 1_000}],
            'pools': [pool],
        }
        _cluster.wait_until(
            lambda: (
                found.put_tables('entry', document, 0).status in (200, 409)
            ),
            'tables accepted',
        )
        found.wait_slots('entry', 'main', 1)
        yield found


def test_connections_are_reused_on_both_sides(
    cluster: _cluster.Cluster,
) -> None:
    """An incomplete factory once limited connections to one request."""
    conn = http.client.HTTPConnection(
        _cluster.HOST, cluster.entries['entry'].caller_port, timeout=10
    )
    for size in (0, 1, 300_000):
        conn.request('POST', '/a', b'x' * size)
        res = conn.getresponse()
        assert (res.status, json.loads(res.read())['size']) == (200, size)
    conn.request('POST', '/a', iter([b'x' * 100_000] * 2))
    assert json.loads(conn.getresponse().read())['size'] == 200_000
    conn.close()
    assert cluster.counts('up')['max_connections'] <= 8


def test_trace_and_metrics(cluster: _cluster.Cluster) -> None:
    """All spans of a sampled request must be found by the trace id."""
    entry = cluster.entries['entry']
    _cluster.send_request(
        entry.caller_port,
        'GET',
        '/a',
        headers={'traceparent': f'00-{TRACE}-{PARENT}-01'},
    )
    answer = _cluster.send_request(entry.admin_port, 'GET', f'/traces/{TRACE}')
    spans = {span['name']: span for span in answer.json()['spans']}
    assert set(spans) == {'frontend', 'dispatch wait', 'upstream attempt'}
    assert spans['frontend']['parent_id'] == PARENT
    own = spans['frontend']['span_id']
    assert spans['upstream attempt']['parent_id'] == own
    text = _cluster.send_request(entry.admin_port, 'GET', '/metrics').body
    name = b'oriolestand_request_latency_ms_count'
    assert name + b'{pool="main",route="all",verdict="ran"}' in text


def test_truncated_response_is_visible_and_releases_its_slot(
    cluster: _cluster.Cluster,
) -> None:
    """A truncated response must not look complete or leak its slot."""
    port = cluster.entries['entry'].caller_port
    cluster.set_faults(cluster.upstreams['up'], cuts_answers=True)
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        _cluster.send_request(port, 'GET', '/a')
    cluster.set_faults(cluster.upstreams['up'])
    _cluster.wait_until(
        lambda: _cluster.send_request(port, 'GET', '/a').status == 200,
        'slot free',
    )
    assert cluster.counts('up')['max_running'] == 1
