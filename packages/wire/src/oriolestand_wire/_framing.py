"""Split a byte stream into frames with a length in front."""

from collections.abc import Iterator
import struct

from oriolestand_wire import _errors

MAX_FRAME_BYTES = 1 << 20
_LENGTH = struct.Struct('>I')


def write_frame(payload: bytes) -> bytes:
    """Return the payload with its length in front."""
    if len(payload) > MAX_FRAME_BYTES:
        raise _errors.FrameTooLongError('frame too long', size=len(payload))
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Collect bytes and yield whole frames.

    ``limit`` bounds the bytes of one frame; it may change between frames.

    >>> reader = FrameReader()
    >>> data = write_frame(b'ab') + write_frame(b'c')
    >>> list(reader.feed(data[:5])), list(reader.feed(data[5:]))
    ([], [b'ab', b'c'])
    """

    def __init__(self, limit: int = MAX_FRAME_BYTES) -> None:
        self.limit = limit
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield each frame that is whole.

        Raises FrameTooLongError before more than the limit is kept.
        """
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > self.limit:
                raise _errors.FrameTooLongError('frame too long', size=size)
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            yield frame
