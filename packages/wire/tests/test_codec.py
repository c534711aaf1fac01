"""Test that decoding yields a message or MalformedMessageError."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

import oriolestand_wire as wire

XIDS = st.integers(0, 2**64 - 1)
TEXT = st.text(st.characters(exclude_categories=['Cs']), max_size=20)
HEADERS = st.lists(st.tuples(TEXT, TEXT), max_size=4).map(tuple)
OPENS = st.builds(
    wire.Open,
    xid=XIDS,
    request_id=TEXT,
    method=TEXT,
    target=TEXT,
    headers=HEADERS,
    route=TEXT,
    generation=XIDS,
    remaining_ms=st.integers(0, 2**32 - 1),
    team=TEXT,
    traceparent=TEXT,
    hops=st.integers(0, 255),
    body_length=st.none() | st.integers(0, 2**62),
    priority=st.integers(-(2**31), 2**31 - 1),
    idempotency_key=TEXT,
    is_service=st.booleans(),
)
MESSAGES = st.one_of(
    OPENS,
    st.builds(wire.BodyChunk, xid=XIDS, data=st.binary(max_size=99)),
    st.builds(wire.ResponseEnd, xid=XIDS),
    st.builds(wire.Leaving, upstreams=st.lists(TEXT, max_size=3).map(tuple)),
    st.builds(
        wire.Failed,
        xid=XIDS,
        code=TEXT,
        message=TEXT,
        verdict=TEXT,
        http_status=st.integers(0, 65535),
    ),
)


@given(MESSAGES)
def test_messages_round_trip(message: wire.PeerMessage) -> None:
    """A field that is not encoded would be lost in forwarded requests."""
    assert wire.decode(wire.encode(message)) == message


@given(st.lists(MESSAGES, max_size=4), st.lists(st.integers(1, 40)))
def test_frames_are_reassembled_from_any_segments(
    messages: list[wire.PeerMessage], sizes: list[int]
) -> None:
    """Frames must be reassembled wherever the stream is split."""
    data = b''.join(wire.encode_frame(wire.encode(m)) for m in messages)
    reader = wire.FrameReader()
    received = []
    for size in [*sizes, len(data)]:
        segment, data = data[:size], data[size:]
        received += [wire.decode(frame) for frame in reader.feed(segment)]
    assert received == messages


@given(
    MESSAGES,
    st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255))),
    st.binary(max_size=64),
)
def test_corrupt_frames_raise_only_malformed_message_error(
    message: wire.PeerMessage, edits: list[tuple[int, int]], noise: bytes
) -> None:
    """The reader of a link catches no other exception."""
    data = bytearray(wire.encode(message))
    for position, value in edits:
        data[position % len(data)] = value
    for corrupt in (bytes(data), bytes(data[:-8]), noise):
        try:
            wire.decode(corrupt)
        except wire.MalformedMessageError:
            pass


def test_oversized_frames_are_rejected_by_their_length_prefix() -> None:
    """A length prefix must not make the reader buffer gigabytes."""
    reader = wire.FrameReader(limit=100)
    with pytest.raises(wire.FrameTooLongError):
        list(reader.feed(b'\x00\x00\x00\x65'))


def test_small_frames_cannot_declare_millions_of_elements() -> None:
    """A list of empty structs takes time to decode, but no bytes."""
    data = bytearray(wire.encode(wire.Load(xid=0, pools=())))
    # Replace the word after the list pointer with a tag that declares a
    # list of 2**22 structs without fields.
    pointer = data.rindex(b'\x01\x00\x00\x00\x07\x00\x00\x00')
    data[pointer + 8 :] = b'\x00\x00\x00\x01\x00\x00\x00\x00'
    with pytest.raises(wire.MalformedMessageError):
        wire.decode(bytes(data))
