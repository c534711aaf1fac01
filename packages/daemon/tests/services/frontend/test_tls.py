"""Test the TLS listener for callers."""

import datetime
import pathlib
import ssl
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
import pytest
from twisted.internet import testing
from twisted.protocols import tls

from oriolestand_daemon import settings
from oriolestand_daemon.services.frontend import _tls

GET = b'GET /a HTTP/1.1\r\nHost: localhost\r\n\r\n'


def write_certificate(folder: pathlib.Path, name: str) -> Any:
    """Write a new self-signed certificate and key; return the settings."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False
        )
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    paths = (folder / f'{name}.crt', folder / f'{name}.key')
    paths[0].write_bytes(certificate.public_bytes(pem))
    paths[1].write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return settings.TlsSettings(certificate=str(paths[0]), key=str(paths[1]))


class Caller:
    """A TLS client connected in memory to a caller channel."""

    def __init__(self, bench: Any, cfg: Any) -> None:
        self._clock = testing.MemoryReactorClock()
        factory = tls.TLSMemoryBIOFactory(_tls.load(cfg), False, self._clock)
        context = ssl.create_default_context(cafile=cfg.certificate)
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(
            self._incoming, self._outgoing, server_hostname='localhost'
        )
        self.server = tls.TLSMemoryBIOProtocol(factory, bench.channel)
        self._transport = bench.transport
        self.server.makeConnection(bench.transport)

    def exchange(self) -> None:
        """Transfer pending bytes in both directions."""
        if self._outgoing.pending:
            self.server.dataReceived(self._outgoing.read())
        self._clock.advance(0)
        self._incoming.write(self._transport.value())
        self._transport.clear()

    def handshake(self) -> None:
        """Complete the handshake, which takes at most two round trips."""
        for _ in range(3):
            try:
                self.tls.do_handshake()
            except ssl.SSLWantReadError:
                pass
            self.exchange()


def test_request_over_tls(bench: Any, tmp_path: pathlib.Path) -> None:
    """A caller that verifies the certificate must be served."""
    bench.channel = bench.channel.factory.buildProtocol(None)
    bench.transport = type(bench.transport)()
    caller = Caller(bench, write_certificate(tmp_path, 'localhost'))
    caller.handshake()
    caller.tls.write(GET)
    caller.exchange()
    bench.answer(b'hi', Content_Length='2')
    caller.exchange()
    assert caller.tls.read().startswith(b'HTTP/1.1 200 OK')
    assert caller.tls.read() == b'hi'
    bench.leave()


def test_listener_uses_tls(bench: Any, tmp_path: pathlib.Path) -> None:
    """With TLS configured, no plain-text port may be open."""
    cfg = settings.CallerListenerSettings(
        tls=write_certificate(tmp_path, 'localhost')
    )
    reactor = testing.MemoryReactorClock()
    _tls.listen(reactor, None, cfg)
    assert len(reactor.sslServers) == 1 and not reactor.tcpServers


@pytest.mark.parametrize('fault', ['missing', 'text', 'other'])
def test_errors_of_tls_files_name_the_file(
    tmp_path: pathlib.Path, fault: str
) -> None:
    """A wrong key must be reported when the daemon starts."""
    cfg = write_certificate(tmp_path, 'localhost')
    if fault == 'missing':
        pathlib.Path(cfg.key).unlink()
    elif fault == 'text':
        pathlib.Path(cfg.key).write_text('no key')
    else:
        other = write_certificate(tmp_path, 'other')
        cfg = settings.TlsSettings(certificate=cfg.certificate, key=other.key)
    with pytest.raises(settings.SettingsError, match=r'\.key'):
        _tls.load(cfg)
