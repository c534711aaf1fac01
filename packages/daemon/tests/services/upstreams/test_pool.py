"""Test the reuse and the limit of connections to an upstream."""

import socket
from typing import Any

import pytest
from twisted.internet import error

from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.upstreams import const

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n'
ADDRESS = '10.0.0.1:80'


def complete_request(
    bench: Any, headers: bytes = b'', extra_data: bytes = b''
) -> Any:
    """Complete one request on a new connection and return its transport."""
    bench.start()
    transport = bench.connect()
    transport.protocol.dataReceived(OK % headers + extra_data)
    assert bench.summary() == ('', 'ran', False)
    return transport


def test_clean_connection_is_reused(bench: Any) -> None:
    """A new connection for each request would cost a round trip."""
    transport = complete_request(bench)
    bench.start()
    assert bench.dials == 1
    assert transport.value().count(b'GET /a') == 2


@pytest.mark.parametrize(
    ('headers', 'extra_data'),
    [
        (b'Connection: X, Close\r\n', b''),
        (b'', b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
    ],
)
def test_unclean_connection_is_closed(
    bench: Any, headers: bytes, extra_data: bytes
) -> None:
    """Extra bytes would be taken for the response to the next request."""
    transport = complete_request(bench, headers, extra_data)
    assert transport.is_closed
    bench.start()
    assert bench.dials == 2


@pytest.mark.parametrize('is_known', [False, True])
@pytest.mark.parametrize('data', [b'', b'HTTP/1.1 200 OK\r\n'])
def test_stale_idle_connection_is_not_used(
    bench: Any, is_known: bool, data: bytes
) -> None:
    """A request written to it would get the verdict may_have_run."""
    transport = complete_request(bench)
    client, server = socket.socketpair()
    client.setblocking(False)
    if is_known:
        transport.close(error.ConnectionDone())
    else:
        transport.socket = client
        server.sendall(data)
        server.close()
    bench.start()
    assert bench.dials == 2
    assert transport.value().count(b'GET /a') == 1
    assert transport.is_closed
    client.close()
    server.close()


def test_open_idle_connection_passes_the_check(bench: Any) -> None:
    """The check must not close connections that are usable."""
    transport = complete_request(bench)
    transport.socket, server = socket.socketpair()
    transport.socket.setblocking(False)
    bench.start()
    assert bench.dials == 1
    transport.socket.close()
    server.close()


def test_connections_are_limited_by_the_grant(bench: Any) -> None:
    """An upstream has 8 connections per slot for all holders together."""
    for _ in range(const.CONNECTIONS_PER_SLOT):
        bench.start()
    assert bench.dials == const.CONNECTIONS_PER_SLOT
    bench.start()
    assert bench.dials == const.CONNECTIONS_PER_SLOT
    assert bench.summary() == ('connection_limit', 'did_not_run', False)
    bench.refuse()
    assert (
        bench.task.pool.count_open(ADDRESS) == const.CONNECTIONS_PER_SLOT - 1
    )


def test_lowered_grant_closes_idle_connections(bench: Any) -> None:
    """Idle connections count too, as another holder may now open its own."""
    transport = complete_request(bench)
    bench.grant(0)
    assert transport.is_closed
    assert bench.task.pool.count_open(ADDRESS) == 0
    bench.start()
    assert bench.summary()[0] == 'connection_limit'


def test_lowered_grant_closes_a_busy_connection_after_use(bench: Any) -> None:
    """A request in progress must not be aborted with its slot."""
    bench.start()
    transport = bench.connect()
    bench.grant(0)
    transport.protocol.dataReceived(OK % b'')
    assert bench.summary() == ('', 'ran', False)
    assert transport.is_closed


def test_idle_connections_to_a_leaving_upstream_are_closed(bench: Any) -> None:
    """A leaving upstream waits until its connections are closed."""
    transport = complete_request(bench)
    bench.kernel.publish(membership.UpstreamLeaving(address=ADDRESS))
    assert transport.is_closed
