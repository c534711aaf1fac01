"""Define messages and events of the links to peers."""

import dataclasses

import oriolestand_wire as wire


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Broadcast:
    """Send a message to all peers."""

    message: wire.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoadChanged:
    """Announce what a peer can take, for each pool."""

    peer: str
    distance: int
    pools: tuple[wire.PoolLoad, ...]
