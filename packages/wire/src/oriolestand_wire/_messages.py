"""Define the messages between daemons as data classes.

``xid`` identifies an exchange within one link session; 0 stands for
messages that belong to the link itself.
"""

import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessage:
    """Carry the exchange that a message belongs to."""

    xid: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello(PeerMessage):
    """Introduce a daemon; the first message in each direction."""

    version: int
    instance_id: str
    incarnation: str
    failure_domain: str
    region: str
    peer_address: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(PeerMessage):
    """Ask whether the peer still runs."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAck(PeerMessage):
    """Answer a heartbeat."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Open(PeerMessage):
    """Forward the head of a request; ``remaining_ms`` is its deadline."""

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
    """Say that an upstream is ready for the body."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyChunk(PeerMessage):
    """Carry a part of a request's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BodyEnd(PeerMessage):
    """End a request's body."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead(PeerMessage):
    """Carry status and headers of an answer."""

    status: int
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseChunk(PeerMessage):
    """Carry a part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseEnd(PeerMessage):
    """Say that the answer is whole."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed(PeerMessage):
    """End an exchange with an error and its verdict."""

    code: str
    message: str
    verdict: str
    http_status: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancel(PeerMessage):
    """Say that the caller no longer waits."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Credit(PeerMessage):
    """Allow the other side to send more bytes of a body."""

    size: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Describe the free slots and queue of one pool at a daemon."""

    pool: str
    free: int
    queued: int
    latency_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load(PeerMessage):
    """Advertise what a daemon can take, for each pool."""

    pools: tuple[PoolLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TablesDocument(PeerMessage):
    """Carry the whole configuration document as JSON."""

    document: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(PeerMessage):
    """Name upstreams that must get no new work."""

    upstreams: tuple[str, ...]
