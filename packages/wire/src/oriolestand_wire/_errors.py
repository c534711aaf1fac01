"""Define the errors of the peer protocol."""

import oriolestand_core as core


class MalformedMessageError(core.OriolestandError):
    """Raised when bytes cannot be decoded as a message."""

    code = 'malformed_message'


class FrameTooLongError(MalformedMessageError):
    """Raised when a frame is longer than the limit."""

    code = 'frame_too_long'
