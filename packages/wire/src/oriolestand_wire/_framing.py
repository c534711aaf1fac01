"""Write and read length-prefixed frames."""

from collections.abc import Iterator
import struct

from oriolestand_wire import _errors

MAX_FRAME_BYTES = 1 << 20
_LENGTH_PREFIX = struct.Struct('>I')


def encode_frame(payload: bytes) -> bytes:
    """Return the payload prefixed with its length, 4 bytes big-endian.

    Raises FrameTooLongError if the payload exceeds MAX_FRAME_BYTES.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise _errors.FrameTooLongError('frame too long', size=len(payload))
    return _LENGTH_PREFIX.pack(len(payload)) + payload


class FrameReader:
    """Split a byte stream into frames.

    ``limit`` is the maximum payload of a frame in bytes; it may be changed
    between frames.

    >>> reader = FrameReader()
    >>> data = encode_frame(b'ab') + encode_frame(b'c')
    >>> list(reader.feed(data[:5])), list(reader.feed(data[5:]))
    ([], [b'ab', b'c'])
    """

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Buffer received bytes and yield the payload of complete frames.

        Raises FrameTooLongError as soon as the length prefix exceeds the
        limit, without waiting for the payload.
        """
        self._buffer += data
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            (size,) = _LENGTH_PREFIX.unpack_from(self._buffer)
            if size > self.limit:
                raise _errors.FrameTooLongError('frame too long', size=size)
            end = _LENGTH_PREFIX.size + size
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            yield frame
