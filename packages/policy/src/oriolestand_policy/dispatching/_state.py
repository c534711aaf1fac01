"""Hold what the dispatcher knows of peers and pools."""

import dataclasses
import random

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import placement

DISTANCES = 3
STARVED_SHARE = 0.25
"""With less of its slots in use or free, an entry instance is cut off from
its upstreams and lets peers queue its requests."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Hold slots of one upstream for a batch task; ``key`` names it."""

    key: str
    pool: str
    address: str
    slots: int
    team: str
    priority: int


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerLoad:
    """Hold what a peer advertised for one pool.

    ``distance`` is 0 in the same failure domain, 1 in the same region and
    2 across the region link. ``sent`` counts the requests forwarded since
    the advertisement that have not ended; ``round`` counts advertisements.
    """

    address: str
    advertised: int
    distance: int = 0
    sent: int = 0
    round: int = 0

    @property
    def peer(self) -> str:
        """Return the instance id."""
        return self.address

    @property
    def free(self) -> int:
        """Return the slots that are likely to be free."""
        return max(0, self.advertised - self.sent)


class PeerIndex:
    """Keep the peers with free slots, by distance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._peers: dict[str, PeerLoad] = {}
        self._near: list[placement.FreeIndex[PeerLoad]] = [
            placement.FreeIndex() for _ in range(DISTANCES)
        ]
        self._rounds = 0
        self._names: list[str] = []

    def __bool__(self) -> bool:
        """Return whether a peer has free slots."""
        return any(index.total for index in self._near)

    def values(self) -> list[PeerLoad]:
        """Return all peers."""
        return list(self._peers.values())

    def set(self, peer: str, free: int, distance: int) -> None:
        """Record an advertisement."""
        old = self._peers.get(peer)
        if old is not None:
            self._near[old.distance].discard(peer)
        else:
            self._names.append(peer)
        self._rounds += 1
        load = PeerLoad(
            address=peer,
            advertised=free,
            distance=max(0, min(distance, DISTANCES - 1)),
            round=self._rounds,
        )
        self._peers[peer] = load
        self._near[load.distance].update(load)

    def remove(self, peer: str) -> None:
        """Forget a peer without a link."""
        load = self._peers.pop(peer, None)
        if load is not None:
            self._near[load.distance].discard(peer)
            self._names.remove(peer)

    def choose_any(self, avoid: str) -> PeerLoad | None:
        """Return a random peer, whatever it advertised."""
        names = self._names
        size = len(names)
        if not size:
            return None
        place = int(self._rng.random() * size)
        if names[place] == avoid:
            place = (place + 1) % size
        return None if names[place] == avoid else self._peers[names[place]]

    def choose(self, avoid: str) -> PeerLoad | None:
        """Return the freer of two random peers at the least distance."""
        for index in self._near:
            first = index.draw(self._rng, avoid)
            if first is None:
                continue
            second = index.draw(self._rng, avoid)
            assert second is not None
            return first if first.free >= second.free else second
        return None

    def sent(self, load: PeerLoad) -> None:
        """Count a request forwarded to a peer."""
        load.sent += 1
        self._near[load.distance].update(load)

    def ended(self, peer: str, round_: int, was_refused: bool) -> None:
        """Count the end of a forwarded request.

        A refusal means that the advertisement is out of date, so nothing
        more is sent until the next one.
        """
        load = self._peers.get(peer)
        if load is None or load.round != round_:
            return
        if was_refused:
            load.advertised = 0
        load.sent -= 1
        self._near[load.distance].update(load)


class PoolState:
    """Hold the queue, upstreams and peers of one pool.

    A removed pool stays until its last slot is given back.
    """

    __slots__ = (
        'granted',
        'in_use',
        'index',
        'is_removed',
        'name',
        'peers',
        'queue',
        'room_told',
        'upstreams',
        'wants_room',
    )

    def __init__(
        self,
        name: str,
        queue: admission.AdmissionQueue,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.queue = queue
        self.upstreams: dict[str, placement.UpstreamState] = {}
        self.index: placement.Upstreams = placement.FreeIndex()
        self.in_use = 0
        self.granted = 0
        self.is_removed = False
        self.wants_room = False
        self.room_told = core.Millis(0)
        self.peers = PeerIndex(rng)

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken now."""
        return self.index.total

    @property
    def is_starved(self) -> bool:
        """Return whether most granted slots cannot be used."""
        usable = self.in_use + self.index.total
        return usable < STARVED_SHARE * self.granted

    def refresh(self, upstream: placement.UpstreamState) -> None:
        """Bring the index and the shares up to date with an upstream."""
        self.index.update(upstream)

    def share_slots(self) -> None:
        """Tell the queue how many slots there are to share."""
        self.queue.set_total_slots(self.in_use + self.index.total)
