"""Authenticate both sides of a link with certificates."""

import pathlib
from typing import Any

from OpenSSL import SSL
from OpenSSL import crypto
from twisted.internet import interfaces
from twisted.internet import ssl
from twisted.protocols import tls

from oriolestand_daemon import settings
from oriolestand_daemon.services.peers import errors


def load_options(cfg: settings.PeerTlsSettings) -> ssl.CertificateOptions:
    """Return TLS options for mutual authentication with peers.

    Raise TlsSettingsError if a file cannot be read or is invalid.
    """
    try:
        authority = ssl.Certificate.loadPEM(_read(cfg.authority))
        own_certificate = ssl.PrivateCertificate.fromCertificateAndKeyPair(
            ssl.Certificate.loadPEM(_read(cfg.certificate)),
            ssl.KeyPair.load(_read(cfg.key), crypto.FILETYPE_PEM),
        )
    except (OSError, SSL.Error, ValueError) as exc:
        raise errors.TlsSettingsError(
            'the TLS files cannot be read or are invalid', reason=str(exc)
        ) from exc
    options: ssl.CertificateOptions = own_certificate.options(authority)
    return options


def wrap(
    options: Any,
    factory: interfaces.IProtocolFactory,
    is_client: bool,
    reactor: Any,
) -> tls.TLSMemoryBIOFactory:
    """Wrap a protocol factory so that its connections use TLS."""
    return tls.TLSMemoryBIOFactory(options, is_client, factory, reactor)


def check_identity(transport: Any, instance_id: str) -> None:
    """Check that the common name of the peer's certificate is its id.

    Raise HandshakeError otherwise.
    """
    certificate = transport.getPeerCertificate()
    name = certificate.get_subject().CN if certificate is not None else None
    if name != instance_id:
        raise errors.HandshakeError(
            'the certificate belongs to another instance',
            certificate=name,
            instance_id=instance_id,
        )


def _read(path: str) -> bytes:
    """Return the content of a file."""
    return pathlib.Path(path).read_bytes()
