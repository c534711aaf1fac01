"""Write a request whose headers are encoded already."""

import re
from typing import Any

from twisted.web import client

_METHOD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r'[\x21-\x7e]+')

_Request: Any = client.Request


class WireRequest(_Request):
    """Carry method, target and encoded headers to the client.

    Raise ValueError for a method or target that HTTP cannot carry.
    """

    def __init__(
        self, method: str, target: str, headers: bytes, body: Any
    ) -> None:
        if not _METHOD.fullmatch(method) or not _TARGET.fullmatch(target):
            raise ValueError('the method or target is malformed')
        self.method = method.encode('ascii')
        self.bodyProducer = body
        self.persistent = True
        self._line = f'{method} {target} HTTP/1.1\r\n'.encode('ascii')
        self._encoded = headers

    def _writeHeaders(  # noqa: N802
        self, transport: Any, framing: bytes | None
    ) -> None:
        """Write the head; ``framing`` is a whole line that frames the body."""
        transport.write(self._line + (framing or b'') + self._encoded)
