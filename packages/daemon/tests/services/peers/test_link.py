"""Test the handshake and the end of links, and invalid input."""

import datetime
import pathlib
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from hypothesis import given
from hypothesis import strategies as st
from OpenSSL import SSL
import pytest
from twisted.internet import protocol
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.peers import _link
from oriolestand_daemon.services.peers import _tls
import oriolestand_wire as wire

STEPS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 300)), max_size=60
)


@given(STEPS)
def test_simultaneous_dialing_gives_one_link(
    make_net: Any, steps: list[tuple[int, int]]
) -> None:
    """Two links would split the exchanges, and none would lose them."""
    net = make_net()
    left, right = net.add_daemon('a'), net.add_daemon('b')
    links = [*net.connect(left, right), *net.connect(right, left)]
    for number, (place, size) in enumerate(steps):
        net.transports[place].deliver(size)
        left.forward('b', number)
        right.forward('a', number)
    net.deliver_all()
    net.run(1_000)
    states = [link.state.value for link in links]
    assert states in (
        ['up', 'up', 'closed', 'closed'],
        ['closed', 'closed', 'up', 'up'],
    )
    for daemon, other in ((left, right), (right, left)):
        codes = {o.error.code for o in daemon.outcomes().values()}
        assert codes <= {'peer_unreachable'}
        opened = other.dispatch.of_type(exchange.OpenExchange)
        assert len(opened) == len(steps) - len(daemon.outcomes())


def test_silent_links_are_dropped_after_three_seconds(net: Any) -> None:
    """A stalled peer must not get new requests."""
    left, right = net.add_daemon('a'), net.add_daemon('b')
    link, _ = net.connect(left, right)
    net.deliver_all()
    net.run(10_000)
    assert link.state is _link.LinkState.UP
    left.forward('b', 1)
    net.clock.advance(2_900)
    assert link.state is _link.LinkState.UP
    net.clock.advance(100)
    assert left.events.of_type(membership.PeerDisconnected)
    assert left.outcomes()['t1'].error.code == 'peer_lost'
    left.forward('b', 2)
    assert left.outcomes()['t2'].error.code == 'peer_unreachable'


def test_second_incarnation_does_not_replace_a_healthy_link(net: Any) -> None:
    """A newer connection does not prove a newer incarnation."""
    left, right, again = (
        net.add_daemon('a'),
        net.add_daemon('b'),
        net.add_daemon('b', seed=9),
    )
    link, _ = net.connect(left, right)
    net.deliver_all()
    other, _ = net.connect(left, again)
    net.deliver_all()
    assert link.state is _link.LinkState.UP
    assert other.state is _link.LinkState.CLOSED


def test_leaving_peer_is_published_without_capacity(net: Any) -> None:
    """A daemon that shuts down must not get forwarded requests."""
    left, right = net.add_daemon('a'), net.add_daemon('b')
    right.task.is_leaving = True
    _, end = net.connect(left, right)
    net.deliver_all()
    pools = (wire.PoolLoad(pool='main', free=4, queued=0, latency_ms=0),)
    end.send(wire.Load(pools=pools))
    net.deliver_all()
    assert left.events.received[-1].pools[0].free == 0


def _hello(**changes: Any) -> wire.Hello:
    """Return a valid hello."""
    values: dict[str, Any] = {
        'version': wire.PROTOCOL_VERSION,
        'instance_id': 'z',
        'incarnation': '1',
        'failure_domain': 'a',
        'region': 'r',
        'peer_address': '127.0.0.1:9',
    }
    return wire.Hello(**{**values, **changes})


def _frames(*messages: wire.PeerMessage) -> bytes:
    """Return messages as encoded frames."""
    return b''.join(wire.encode_frame(wire.encode(m)) for m in messages)


BAD_INPUT = [
    (b'\xff\xff\xff\xff', 'frame_too_long'),
    (b'\x00\x10\x00\x00', 'frame_too_long'),
    (b'GET / HTTP/1.1\r\n\r\n', 'frame_too_long'),
    (b'\x00\x00\x00\x04abcd', 'malformed_message'),
    (_frames(wire.Heartbeat(sequence=1)), 'handshake_failed'),
    (_frames(_hello(version=9)), 'handshake_failed'),
    (_frames(_hello(instance_id='a')), 'handshake_failed'),
    (_frames(_hello(), _hello()), 'protocol_violation'),
    (_frames(_hello(), wire.BodyEnd()), 'protocol_violation'),
    (_frames(_hello()) + b'\x00\x00\x00\x02ab', 'malformed_message'),
]


@pytest.mark.parametrize(('data', 'code'), BAD_INPUT)
def test_bad_input_closes_the_link_with_a_code(
    net: Any, data: bytes, code: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The log must tell operators why a link was closed."""
    daemon = net.add_daemon('a')
    logged: list[Any] = []
    monkeypatch.setattr(
        daemon.task,
        'log',
        type('Log', (), {'warning': lambda _, *a, **k: logged.append(k)})(),
    )
    link, _ = net.connect(daemon, net.add_daemon('b'))
    link.dataReceived(data)
    assert link.state is _link.LinkState.CLOSED
    assert [entry['code'] for entry in logged] == [code]


CHUNK = wire.ResponseChunk(xid=1, data=b'x')
WRONG_STATE = [
    (wire.ResponseEnd(xid=1),),
    (CHUNK,),
    (wire.Credit(xid=1, size=1),),
    (wire.BodyEnd(xid=1),),
    (wire.ResponseHead(xid=1, status=200, headers=()),),
    (wire.Accepted(xid=1), wire.ResponseEnd(xid=1)),
    (
        wire.Accepted(xid=1),
        wire.ResponseHead(xid=1, status=200, headers=()),
        wire.Accepted(xid=1),
    ),
]


@pytest.mark.parametrize('messages', WRONG_STATE)
def test_messages_in_a_wrong_state_close_the_link(
    net: Any, messages: tuple[wire.PeerMessage, ...]
) -> None:
    """A response without a head must never look complete."""
    left, right = net.add_daemon('a'), net.add_daemon('b')
    link, _ = net.connect(left, right)
    net.deliver_all()
    left.forward('b', 1)
    link.dataReceived(_frames(*messages))
    assert link.state is _link.LinkState.CLOSED
    assert left.outcomes()['t1'].error.code == 'peer_lost'
    assert not left.caller.of_type(exchange.ResponseEnd)


@given(st.lists(st.binary(max_size=200), max_size=5), st.booleans())
def test_random_input_does_not_affect_other_links(
    make_net: Any, parts: list[bytes], has_hello: bool
) -> None:
    """Arbitrary bytes must neither raise nor disturb other links."""
    net = make_net()
    left, right, third = (
        net.add_daemon('a'),
        net.add_daemon('b'),
        net.add_daemon('c'),
    )
    net.connect(left, right)
    net.deliver_all()
    bad, _ = net.connect(left, third)
    net.transports[3].other = None
    if has_hello:
        bad.dataReceived(_frames(_hello()))
    for part in parts:
        bad.dataReceived(part)
        framed = len(part).to_bytes(4, 'big') + part
        bad.dataReceived(framed)
    net.run(3_500)
    left.forward('b', 1)
    net.deliver_all()
    assert right.nth_open_message(0).head.request_id == 'r1'
    assert bad.state is _link.LinkState.CLOSED


def _certify(folder: pathlib.Path, name: str, issuer: Any) -> Any:
    """Write a certificate and key to files; return both."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[0].subject if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.BasicConstraints(ca=issuer is None, path_length=None),
            critical=True,
        )
    )
    signed = builder.sign(issuer[1] if issuer else key, hashes.SHA256())
    pem = signed.public_bytes(serialization.Encoding.PEM)
    (folder / f'{name}.pem').write_bytes(pem)
    (folder / f'{name}.key').write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return signed, key


@pytest.mark.parametrize(
    ('certificate', 'authority', 'is_up'),
    [('b', 'root', True), ('c', 'root', False), ('b', 'rogue', False)],
)
def test_tls_authenticates_both_sides(
    net: Any,
    tmp_path: pathlib.Path,
    certificate: str,
    authority: str,
    is_up: bool,
) -> None:
    """Only an instance with its own certificate may act as a peer.

    Certificates of another instance or authority must be rejected.
    """
    roots = {n: _certify(tmp_path, n, None) for n in ('root', 'rogue')}
    _certify(tmp_path, 'a', roots['root'])
    _certify(tmp_path, certificate, roots[authority])
    clock = task.Clock()
    ends = []
    for name, own in (('a', 'a'), ('b', certificate)):
        tls = {
            'certificate': str(tmp_path / f'{own}.pem'),
            'key': str(tmp_path / f'{own}.key'),
            'authority': str(tmp_path / 'root.pem'),
        }
        daemon = net.add_daemon(name, peers={'tls': tls})
        factory: Any = protocol.Factory()
        dialed_address = '127.0.0.1:1' if name == 'a' else None
        factory.protocol = lambda s=daemon, d=dialed_address: _link.Link(
            s.task, d
        )
        options = _tls.load_options(daemon.task.cfg.peers.tls)
        wrapped = _tls.wrap(options, factory, name == 'a', clock)
        ends.append((daemon, wrapped.buildProtocol(None)))
    _connect_plain(net, [end for _, end in ends], clock)
    net.deliver_all()
    states = [end.wrappedProtocol.state for _, end in ends]
    assert all(s is _link.LinkState.UP for s in states) == is_up
    assert not is_up or ends[1][0].events.of_type(membership.PeerConnected)


def _connect_plain(net: Any, ends: list[Any], clock: task.Clock) -> None:
    """Connect two TLS protocols that wrap links."""

    class Pipe(testing.StringTransport):
        """A transport with the ``deliver`` method of BufferedTransport."""

        other: Any = None
        is_closed = False

        def setTcpNoDelay(self, on: bool) -> None:
            pass

        def deliver(self, size: int | None = None) -> bool:
            clock.advance(0)
            data = self.value()
            self.clear()
            if data:
                self.other.dataReceived(data)
            return bool(data)

    pipes = [Pipe(), Pipe()]
    pipes[0].other, pipes[1].other = ends[1], ends[0]
    net.transports += pipes
    for pipe, end in zip(pipes, ends, strict=True):
        end.makeConnection(pipe)


def test_tls_handshake_failure_is_logged(
    net: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A certificate error must be distinguishable from a network fault."""
    daemon = net.add_daemon('a')
    logged: list[Any] = []
    log = type('Log', (), {'warning': lambda _, *a, **k: logged.append(k)})()
    monkeypatch.setattr(daemon.task, 'log', log)
    link, other = net.connect(daemon, net.add_daemon('b'))
    link.connectionLost(failure.Failure(SSL.Error('unknown ca')))
    assert [entry['code'] for entry in logged] == ['handshake_failed']
    assert other.state is _link.LinkState.CONNECTED
