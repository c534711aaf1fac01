"""Define the errors of the protocol between daemons."""

import oriolestand_core as core


class MalformedMessageError(core.OriolestandError):
    """Raise when bytes are not a message of the protocol."""

    code = 'malformed_message'


class FrameTooLongError(MalformedMessageError):
    """Raise when a frame announces more bytes than are allowed."""

    code = 'frame_too_long'
