"""Define the messages of the peer protocol.

``xid`` identifies an exchange within one connection of a link. It is 0 for
messages that concern the link itself.
"""

import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessage:
    """Base of all messages; ``xid`` is the exchange they belong to."""

    xid: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello(PeerMessage):
    """Identify a daemon; the first message in each direction."""

    version: int
    instance_id: str
    incarnation: str
    failure_domain: str
    region: str
    peer_address: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(PeerMessage):
    """Check whether the peer is alive."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAck(PeerMessage):
    """Acknowledge the heartbeat with the same sequence number."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Open(PeerMessage):
    """Forward the head of a request.

    ``generation`` is the version of the tables that contain ``route``.
    ``remaining_ms`` is the time until the deadline. ``hops`` counts how often
    the request has been forwarded. ``body_length`` is None if it is unknown.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    route: str
    generation: int
    remaining_ms: int
    team: str
    traceparent: str
    hops: int
    body_length: int | None
    priority: int
    idempotency_key: str
    is_service: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted(PeerMessage):
    """Signal that an upstream is ready to receive the request's body."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyChunk(PeerMessage):
    """Transfer a chunk of a request's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyEnd(PeerMessage):
    """Signal the end of a request's body."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead(PeerMessage):
    """Transfer the status and headers of a response."""

    status: int
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseChunk(PeerMessage):
    """Transfer a chunk of a response's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseEnd(PeerMessage):
    """Signal that the response is complete."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed(PeerMessage):
    """End an exchange with an error and its verdict."""

    code: str
    message: str
    verdict: str
    http_status: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancel(PeerMessage):
    """Abort an exchange whose caller no longer waits for the response."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Credit(PeerMessage):
    """Allow the peer to send ``size`` more bytes of a body."""

    size: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Describe the free slots, queue length and latency of a pool."""

    pool: str
    free: int
    queued: int
    latency_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load(PeerMessage):
    """Advertise a daemon's spare capacity in each pool."""

    pools: tuple[PoolLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesDocument(PeerMessage):
    """Transfer the configuration document as compressed JSON."""

    document: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(PeerMessage):
    """List the addresses of upstreams that must not get new work."""

    upstreams: tuple[str, ...]
