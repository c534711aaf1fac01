"""Test reuse and the number of connections to an upstream."""

import socket
from typing import Any

import pytest
from twisted.internet import error

from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.upstreams import const

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n'
ADDRESS = '10.0.0.1:80'


def run_one(bench: Any, headers: bytes = b'', rest: bytes = b'') -> Any:
    """Complete one request on a new connection."""
    bench.start()
    wire = bench.connect()
    wire.protocol.dataReceived(OK % headers + rest)
    assert bench.summary() == ('', 'ran', False)
    return wire


def test_clean_connection_is_reused(bench: Any) -> None:
    """A connection for each request would cost a round trip."""
    wire = run_one(bench)
    bench.start()
    assert bench.dials == 1
    assert wire.value().count(b'GET /a') == 2


@pytest.mark.parametrize(
    ('headers', 'rest'),
    [
        (b'Connection: X, Close\r\n', b''),
        (b'', b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
    ],
)
def test_unclean_connection_is_closed(
    bench: Any, headers: bytes, rest: bytes
) -> None:
    """Extra bytes would pass for the answer to the next request."""
    wire = run_one(bench, headers, rest)
    assert wire.is_closed
    bench.start()
    assert bench.dials == 2


@pytest.mark.parametrize('is_known', [False, True])
@pytest.mark.parametrize('data', [b'', b'HTTP/1.1 200 OK\r\n'])
def test_stale_idle_connection_is_not_used(
    bench: Any, is_known: bool, data: bytes
) -> None:
    """A write to a closed connection would count as may_have_run."""
    wire = run_one(bench)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    if is_known:
        wire.close(error.ConnectionDone())
    else:
        wire.socket = ours
        theirs.sendall(data)
        theirs.close()
    bench.start()
    assert bench.dials == 2
    assert wire.value().count(b'GET /a') == 1
    assert wire.is_closed
    ours.close()
    theirs.close()


def test_open_idle_connection_passes_the_check(bench: Any) -> None:
    """The check must not drop connections that are in order."""
    wire = run_one(bench)
    wire.socket, theirs = socket.socketpair()
    wire.socket.setblocking(False)
    bench.start()
    assert bench.dials == 1
    wire.socket.close()
    theirs.close()


def test_connections_stay_within_the_grant(bench: Any) -> None:
    """An upstream has 8 connections per slot for all its holders."""
    for _ in range(const.CONNECTIONS_PER_SLOT):
        bench.start()
    assert bench.dials == const.CONNECTIONS_PER_SLOT
    bench.start()
    assert bench.dials == const.CONNECTIONS_PER_SLOT
    assert bench.summary() == ('connection_limit', 'did_not_run', False)
    bench.refuse()
    assert bench.task.pool.opened(ADDRESS) == const.CONNECTIONS_PER_SLOT - 1


def test_lowered_grant_closes_idle_connections(bench: Any) -> None:
    """Idle connections count: another holder may open its own now."""
    wire = run_one(bench)
    bench.grant(0)
    assert wire.is_closed
    assert bench.task.pool.opened(ADDRESS) == 0
    bench.start()
    assert bench.summary()[0] == 'connection_limit'


def test_lowered_grant_closes_a_busy_connection_after_use(bench: Any) -> None:
    """A request in progress is not cut when its slot is taken back."""
    bench.start()
    wire = bench.connect()
    bench.grant(0)
    wire.protocol.dataReceived(OK % b'')
    assert bench.summary() == ('', 'ran', False)
    assert wire.is_closed


def test_leaving_upstream_keeps_no_idle_connection(bench: Any) -> None:
    """An upstream that leaves waits for its connections to close."""
    wire = run_one(bench)
    bench.kernel.publish(membership.UpstreamLeaving(address=ADDRESS))
    assert wire.is_closed
