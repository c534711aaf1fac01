"""Define the messages and events of the peers service."""

import dataclasses

import oriolestand_wire as wire


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Broadcast:
    """Request to send a message to all peers."""

    message: wire.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoadChanged:
    """Event: the load of a peer, per pool.

    A peer with a smaller ``distance`` is nearer.
    """

    peer: str
    distance: int
    pools: tuple[wire.PoolLoad, ...]
