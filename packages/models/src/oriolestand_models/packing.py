"""Pack documents for the way between daemons.

The link between regions is billed by volume, and a document travels in one
frame; documents of 10,000 routes and upstreams shrink to a twentieth.
"""

import zlib

from oriolestand_models import document as models

LEVEL = 1
MAX_PACKED_BYTES = 768 * 1024
"""Leaves room in a frame of 1 MiB between daemons."""


def pack(document: models.DocumentModel) -> bytes:
    """Return a document in a form for peers.

    Raises InvalidTablesError when it is too large to reach them.
    """
    data = document.dump()
    packed = zlib.compress(data, LEVEL)
    if len(data) > models.MAX_DOCUMENT_BYTES:
        raise models.too_large(len(data), models.MAX_DOCUMENT_BYTES)
    if len(packed) > MAX_PACKED_BYTES:
        raise models.too_large(len(packed), MAX_PACKED_BYTES)
    return packed


def unpack(data: bytes) -> models.DocumentModel:
    """Return a validated document, or raise InvalidTablesError.

    No more than the largest document is ever unpacked.
    """
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(data, models.MAX_DOCUMENT_BYTES + 1)
    except zlib.error as exc:
        raise models.InvalidTablesError([f'.: not packed: {exc}']) from exc
    if len(text) <= models.MAX_DOCUMENT_BYTES and not unpacker.eof:
        raise models.InvalidTablesError(['.: the packed document is cut'])
    return models.parse_bytes(text)
