"""Compress documents for transfer between daemons.

Traffic between regions is billed by volume, and a document has to fit into
one frame. A document of 10,000 routes and upstreams shrinks to a twentieth.
"""

import zlib

from oriolestand_models import document as models

COMPRESSION_LEVEL = 1
MAX_PACKED_BYTES = 768 * 1024
"""Leaves room for the other fields of a peer frame, which is at most 1 MiB."""


def compress_document(document: models.DocumentModel) -> bytes:
    """Return a document as compressed JSON.

    Raises InvalidTablesError when it is too large to be sent to peers.
    """
    data = document.dump()
    packed = zlib.compress(data, COMPRESSION_LEVEL)
    if len(data) > models.MAX_DOCUMENT_BYTES:
        raise models.document_too_large(len(data), models.MAX_DOCUMENT_BYTES)
    if len(packed) > MAX_PACKED_BYTES:
        raise models.document_too_large(len(packed), MAX_PACKED_BYTES)
    return packed


def decompress_document(data: bytes) -> models.DocumentModel:
    """Decompress and validate a document, or raise InvalidTablesError.

    Decompression stops one byte above MAX_DOCUMENT_BYTES, so that a
    malicious payload cannot exhaust memory.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, models.MAX_DOCUMENT_BYTES + 1)
    except zlib.error as exc:
        raise models.InvalidTablesError(
            [f'.: not valid zlib data: {exc}']
        ) from exc
    if len(text) <= models.MAX_DOCUMENT_BYTES and not decompressor.eof:
        raise models.InvalidTablesError(
            ['.: the compressed document is truncated']
        )
    return models.parse_bytes(text)
