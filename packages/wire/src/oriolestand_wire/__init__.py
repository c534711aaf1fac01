"""Encode and decode the messages of the peer protocol."""

from oriolestand_wire._codec import PROTOCOL_VERSION
from oriolestand_wire._codec import decode
from oriolestand_wire._codec import encode
from oriolestand_wire._errors import FrameTooLongError
from oriolestand_wire._errors import MalformedMessageError
from oriolestand_wire._framing import MAX_FRAME_BYTES
from oriolestand_wire._framing import FrameReader
from oriolestand_wire._framing import encode_frame
from oriolestand_wire._messages import Accepted
from oriolestand_wire._messages import BodyChunk
from oriolestand_wire._messages import BodyEnd
from oriolestand_wire._messages import Cancel
from oriolestand_wire._messages import Credit
from oriolestand_wire._messages import Failed
from oriolestand_wire._messages import Heartbeat
from oriolestand_wire._messages import HeartbeatAck
from oriolestand_wire._messages import Hello
from oriolestand_wire._messages import Leaving
from oriolestand_wire._messages import Load
from oriolestand_wire._messages import Open
from oriolestand_wire._messages import PeerMessage
from oriolestand_wire._messages import PoolLoad
from oriolestand_wire._messages import ResponseChunk
from oriolestand_wire._messages import ResponseEnd
from oriolestand_wire._messages import ResponseHead
from oriolestand_wire._messages import TablesDocument

__all__ = [
    'Accepted',
    'BodyChunk',
    'BodyEnd',
    'Cancel',
    'Credit',
    'Failed',
    'FrameReader',
    'FrameTooLongError',
    'Heartbeat',
    'HeartbeatAck',
    'Hello',
    'Leaving',
    'Load',
    'MAX_FRAME_BYTES',
    'MalformedMessageError',
    'Open',
    'PROTOCOL_VERSION',
    'PeerMessage',
    'PoolLoad',
    'ResponseChunk',
    'ResponseEnd',
    'ResponseHead',
    'TablesDocument',
    'decode',
    'encode',
    'encode_frame',
]
