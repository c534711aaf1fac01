"""Provide a request for the client whose headers are already encoded."""

import re
from typing import Any

from twisted.web import client

_METHOD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r'[\x21-\x7e]+')

_Request: Any = client.Request


class WireRequest(_Request):
    """A request with encoded headers for the HTTP client.

    Raise ValueError for a malformed method or target.
    """

    def __init__(
        self, method: str, target: str, headers: bytes, body: Any
    ) -> None:
        if not _METHOD.fullmatch(method) or not _TARGET.fullmatch(target):
            raise ValueError('the method or target is malformed')
        self.method = method.encode('ascii')
        self.bodyProducer = body
        self.persistent = True
        self._request_line = f'{method} {target} HTTP/1.1\r\n'.encode('ascii')
        self._encoded_headers = headers

    def _writeHeaders(  # noqa: N802
        self, transport: Any, framing: bytes | None
    ) -> None:
        """Write the head; ``framing`` is the header that frames the body."""
        transport.write(
            self._request_line + (framing or b'') + self._encoded_headers
        )
