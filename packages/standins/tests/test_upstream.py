"""Test the faults of the stand-in for an upstream."""

from twisted.internet import task
from twisted.internet import testing

from oriolestand_standins import _upstream

FAULTS = b'{"service_ms": 0, "holds_path": "%s"}'


def _request(site: _upstream.UpstreamSite, head: bytes, body: bytes) -> bytes:
    """Send a request; return the bytes that the upstream has written."""
    channel = site.buildProtocol(None)
    transport = testing.StringTransport()
    channel.makeConnection(transport)
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    channel.dataReceived(head + b' HTTP/1.1\r\nHost: u\r\n' + length + body)
    site.reactor.advance(1)
    answers.append(transport)
    return bytes(transport.value())


answers: list[testing.StringTransport] = []


def test_held_answers_end_when_the_fault_is_cleared() -> None:
    """Tests of long streams need an answer that stays open until released."""
    site = _upstream.UpstreamSite(task.Clock(), 'u')
    _request(site, b'POST /_faults', FAULTS % b'/x')
    first = _request(site, b'GET /x', b'')
    assert b'"upstream"' in first
    assert not first.endswith(b'0\r\n\r\n')
    assert site.counts()['held'] == 1
    held = answers[-1]
    _request(site, b'POST /_faults', FAULTS % b'')
    assert held.value().endswith(b'0\r\n\r\n')
    assert site.counts()['running'] == 0
