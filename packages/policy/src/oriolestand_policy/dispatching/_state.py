"""Dispatcher state of pools, peers and reservations."""

import dataclasses
import random

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import placement

DISTANCES = 3
"""Number of distance classes of peers; see ``PeerLoad``."""
STARVED_SHARE = 0.25
"""An entry instance that can use less than this fraction of its granted slots
is treated as cut off from its upstreams and forwards requests to be queued by
peers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Slots of one upstream reserved for the batch task ``key``."""

    key: str
    pool: str
    address: str
    slots: int
    team: str
    priority: int


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerLoad:
    """Last advertisement of free slots by a peer for one pool.

    ``address`` is the instance id of the peer. ``distance`` is 0 in the
    same failure domain, 1 in the same region and 2 across regions.
    ``sent`` counts the requests forwarded since the advertisement that have
    not ended. ``round`` is the number of the advertisement.
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
        """Return the estimated number of free slots."""
        return max(0, self.advertised - self.sent)


class PeerIndex:
    """Index of the peers of a pool by distance and free slots."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._peers: dict[str, PeerLoad] = {}
        self._by_distance: list[placement.FreeSlotIndex[PeerLoad]] = [
            placement.FreeSlotIndex() for _ in range(DISTANCES)
        ]
        self._last_round = 0
        self._addresses: list[str] = []

    def __bool__(self) -> bool:
        """Return whether any peer has free slots."""
        return any(index.total_free for index in self._by_distance)

    def values(self) -> list[PeerLoad]:
        """Return all peers."""
        return list(self._peers.values())

    def set(self, peer: str, free: int, distance: int) -> None:
        """Record an advertisement, replacing the previous one."""
        old = self._peers.get(peer)
        if old is not None:
            self._by_distance[old.distance].discard(peer)
        else:
            self._addresses.append(peer)
        self._last_round += 1
        load = PeerLoad(
            address=peer,
            advertised=free,
            distance=max(0, min(distance, DISTANCES - 1)),
            round=self._last_round,
        )
        self._peers[peer] = load
        self._by_distance[load.distance].update(load)

    def remove(self, peer: str) -> None:
        """Remove a peer whose link is down."""
        load = self._peers.pop(peer, None)
        if load is not None:
            self._by_distance[load.distance].discard(peer)
            self._addresses.remove(peer)

    def choose_any(self, avoid: str) -> PeerLoad | None:
        """Return a random peer, regardless of its advertised slots."""
        addresses = self._addresses
        size = len(addresses)
        if not size:
            return None
        position = int(self._rng.random() * size)
        if addresses[position] == avoid:
            position = (position + 1) % size
        return (
            None
            if addresses[position] == avoid
            else self._peers[addresses[position]]
        )

    def choose(self, avoid: str) -> PeerLoad | None:
        """Return a peer at the shortest distance that has free slots, or None.

        Of two peers drawn at random, it is the one with more free slots.
        """
        for index in self._by_distance:
            first = index.draw(self._rng, avoid)
            if first is None:
                continue
            second = index.draw(self._rng, avoid)
            assert second is not None
            return first if first.free >= second.free else second
        return None

    def record_sent(self, load: PeerLoad) -> None:
        """Record that a request was forwarded to a peer."""
        load.sent += 1
        self._by_distance[load.distance].update(load)

    def record_ended(self, peer: str, round_: int, was_refused: bool) -> None:
        """Record the end of a forwarded request.

        A refusal shows that the advertisement is out of date, so the peer
        gets no more requests until the next one.
        """
        load = self._peers.get(peer)
        if load is None or load.round != round_:
            return
        if was_refused:
            load.advertised = 0
        load.sent -= 1
        self._by_distance[load.distance].update(load)


class PoolState:
    """Queue, upstreams and peers of one pool.

    A removed pool is kept until its last slot is released.
    """

    __slots__ = (
        'granted',
        'has_waiting_task',
        'in_use',
        'index',
        'is_removed',
        'name',
        'peers',
        'queue',
        'task_hint_sent_at',
        'upstreams',
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
        self.index: placement.Upstreams = placement.FreeSlotIndex()
        self.in_use = 0
        self.granted = 0
        self.is_removed = False
        self.has_waiting_task = False
        self.task_hint_sent_at = core.Millis(0)
        self.peers = PeerIndex(rng)

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken now."""
        return self.index.total_free

    @property
    def is_starved(self) -> bool:
        """Return whether most of the granted slots are unusable."""
        usable = self.in_use + self.index.total_free
        return usable < STARVED_SHARE * self.granted

    def update_index(self, upstream: placement.UpstreamState) -> None:
        """Update the index of free slots after a change of an upstream."""
        self.index.update(upstream)

    def update_total_slots(self) -> None:
        """Set the number of slots that the queue divides."""
        self.queue.set_total_slots(self.in_use + self.index.total_free)
