"""Open the listener for callers, with TLS if a certificate is set."""

import pathlib
import re
from typing import Any

from OpenSSL import SSL
from OpenSSL import crypto
from twisted.internet import ssl

from oriolestand_daemon import settings

_PEM_CERTIFICATE = re.compile(
    rb'-----BEGIN CERTIFICATE-----.+?-----END CERTIFICATE-----', re.DOTALL
)


def listen(
    reactor: Any, factory: Any, cfg: settings.CallerListenerSettings
) -> Any:
    """Return the listening port; raise SettingsError for bad TLS files."""
    if cfg.tls is None:
        return reactor.listenTCP(cfg.port, factory, interface=cfg.host)
    return reactor.listenSSL(
        cfg.port, factory, load(cfg.tls), interface=cfg.host
    )


def load(cfg: settings.TlsSettings) -> ssl.CertificateOptions:
    """Load a certificate chain and its key.

    Raise SettingsError if a file cannot be read or the key does not match.
    """
    path = cfg.certificate
    try:
        chain = [
            crypto.load_certificate(crypto.FILETYPE_PEM, text)
            for text in _PEM_CERTIFICATE.findall(
                pathlib.Path(path).read_bytes()
            )
        ]
        path = cfg.key
        key = crypto.load_privatekey(
            crypto.FILETYPE_PEM, pathlib.Path(path).read_bytes()
        )
    except OSError as exc:
        raise settings.SettingsError([f'{path}: {exc.strerror}']) from exc
    except (crypto.Error, ValueError) as exc:
        raise settings.SettingsError([f'{path}: is not valid PEM']) from exc
    if not chain:
        raise settings.SettingsError(
            [f'{cfg.certificate}: contains no certificate']
        )
    options = ssl.CertificateOptions(
        privateKey=key, certificate=chain[0], extraCertChain=chain[1:]
    )
    try:
        options.getContext().check_privatekey()
    except SSL.Error as exc:
        raise settings.SettingsError(
            [f'{cfg.key}: does not match the certificate']
        ) from exc
    return options
