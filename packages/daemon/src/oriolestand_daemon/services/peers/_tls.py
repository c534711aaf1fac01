"""Authenticate both ends of a link by certificates."""

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
    """Return options that prove this daemon and demand the same of peers.

    Raises TlsSettingsError when a file cannot be read or used.
    """
    try:
        authority = ssl.Certificate.loadPEM(_read(cfg.authority))
        own = ssl.PrivateCertificate.fromCertificateAndKeyPair(
            ssl.Certificate.loadPEM(_read(cfg.certificate)),
            ssl.KeyPair.load(_read(cfg.key), crypto.FILETYPE_PEM),
        )
    except (OSError, SSL.Error, ValueError) as exc:
        raise errors.TlsSettingsError(
            'the TLS files cannot be used', reason=str(exc)
        ) from exc
    options: ssl.CertificateOptions = own.options(authority)
    return options


def wrap(
    options: Any,
    factory: interfaces.IProtocolFactory,
    is_client: bool,
    reactor: Any,
) -> tls.TLSMemoryBIOFactory:
    """Return a factory that encrypts the connections of another one."""
    return tls.TLSMemoryBIOFactory(options, is_client, factory, reactor)


def check_identity(transport: Any, instance_id: str) -> None:
    """Require the peer's certificate to carry its instance id."""
    certificate = transport.getPeerCertificate()
    name = certificate.get_subject().CN if certificate is not None else None
    if name != instance_id:
        raise errors.HandshakeError(
            'the certificate is of another instance',
            certificate=name,
            instance_id=instance_id,
        )


def _read(path: str) -> bytes:
    """Return the bytes of a file."""
    return pathlib.Path(path).read_bytes()
