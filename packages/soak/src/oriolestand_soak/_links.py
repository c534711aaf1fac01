"""Loopback proxies that disturb the connections of the daemons."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import protocol

import oriolestand_core as core
from oriolestand_soak import _http

CHUNK_BYTES = 4_096
HIGH_WATER_BYTES = 65_536
"""A connection with more bytes in transit is not read from."""


class Shaper:
    """Limits the bytes per second of all connections that share a link."""

    def __init__(self) -> None:
        self.bytes_per_s = 0
        self._free_at = 0.0

    def reserve(self, now: float, size: int) -> float:
        """Return the time at which bytes that are sent now have passed."""
        if not self.bytes_per_s:
            return now
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        return self._free_at


@dataclasses.dataclass(slots=True, kw_only=True)
class LinkFaults:
    """Faults of the connections between a daemon and a stand-in.

    ``is_up_cut``, ``is_down_cut``: bytes towards the stand-in or the daemon
    are held back until the fault ends.
    """

    delay_ms: int = 0
    is_up_cut: bool = False
    is_down_cut: bool = False


class _Direction:
    """Bytes in transit in one direction of a connection."""

    def __init__(
        self,
        reactor: Any,
        link: 'Link',
        is_cut: Callable[[], bool],
        shaper: Shaper,
    ) -> None:
        self._reactor = reactor
        self._link = link
        self._is_cut = is_cut
        self._shaper = shaper
        self._queue: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )
        self._timer: Any = None
        self._size = 0
        self.is_silent = False
        self.source: Any = None
        self.sink: Any = None

    def push(self, data: bytes | None) -> None:
        """Forward bytes, or the end of the connection for None."""
        if self.is_silent:
            return
        now = self._reactor.seconds()
        delay = self._link.faults.delay_ms / _http.MILLIS_PER_SECOND
        size = len(data or b'')
        due = self._shaper.reserve(now, size) + delay
        if self._queue:
            due = max(due, self._queue[-1][0])
        self._queue.append((due, data))
        self._size += size
        if self._size > HIGH_WATER_BYTES and self.source is not None:
            self.source.pauseProducing()
        self.flush()

    def flush(self) -> None:
        """Deliver what is due; schedule the rest."""
        if self.sink is None or self._is_cut() or self.is_silent:
            return
        now = self._reactor.seconds()
        while self._queue and self._queue[0][0] <= now:
            _, data = self._queue.popleft()
            if data is None:
                self.sink.loseConnection()
                return
            self._size -= len(data)
            self.sink.write(data)
        if self._size <= HIGH_WATER_BYTES and self.source is not None:
            self.source.resumeProducing()
        if self._queue and (self._timer is None or not self._timer.active()):
            self._timer = self._reactor.callLater(
                self._queue[0][0] - now, self.flush
            )


class _End(protocol.Protocol):
    """One end of a proxied connection."""

    def __init__(self, out: _Direction, on_lost: Callable[[], None]) -> None:
        self._out = out
        self._on_lost = on_lost

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self._out.source = transport

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on bytes."""
        for start in range(0, len(data), CHUNK_BYTES):
            self._out.push(data[start : start + CHUNK_BYTES])

    def connectionLost(  # noqa: N802
        self, reason: Any = protocol.connectionDone
    ) -> None:
        """Pass on the end of the connection."""
        self._out.source = None
        self._out.push(None)
        self._on_lost()


class _Pair:
    """A connection of a daemon and the one to the stand-in."""

    def __init__(self, reactor: Any, link: 'Link') -> None:
        self._link = link
        self.up = _Direction(
            reactor, link, lambda: link.faults.is_up_cut, link.up_shaper
        )
        self.down = _Direction(
            reactor, link, lambda: link.faults.is_down_cut, link.down_shaper
        )
        self.front = _End(self.up, self._on_lost)
        self._back: Any = None
        creator = protocol.ClientCreator(
            reactor, _End, self.down, self._on_lost
        )
        connecting = creator.connectTCP(*link.target)
        connecting.addCallbacks(self._on_open, lambda _: self.reset())

    def _on_open(self, back: _End) -> None:
        """Start forwarding."""
        self._back = back
        self.up.sink = back.transport
        self.down.sink = self.front.transport
        self.up.flush()
        self.down.flush()

    def _on_lost(self) -> None:
        """Forget the pair once both ends are closed."""
        if self.up.source is None and self.down.source is None:
            self._link.pairs.discard(self)

    def reset(self) -> None:
        """Reset both connections."""
        for end in (self.front, self._back):
            if end is not None and end.transport is not None:
                end.transport.abortConnection()

    def silence(self) -> None:
        """Deliver nothing any more, without closing the connections."""
        self.up.is_silent = True
        self.down.is_silent = True


class Link(protocol.ServerFactory):
    """The proxy between one daemon and one stand-in."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        target: tuple[str, int],
        up_shaper: Shaper,
        down_shaper: Shaper,
        on_use: Callable[[], None] = lambda: None,
    ) -> None:
        self._reactor = reactor
        self._on_use = on_use
        self.target = target
        self.up_shaper = up_shaper
        self.down_shaper = down_shaper
        self.faults = LinkFaults()
        self.pairs: set[_Pair] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the daemon's end of a new connection."""
        self._on_use()
        pair = _Pair(self._reactor, self)
        self.pairs.add(pair)
        return pair.front

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults and deliver what is no longer held back."""
        self.faults = faults
        for pair in list(self.pairs):
            pair.up.flush()
            pair.down.flush()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self.pairs):
            pair.reset()

    def silence(self) -> None:
        """Silence all open connections."""
        for pair in list(self.pairs):
            pair.silence()


class Network:
    """All links, by daemon and stand-in.

    The daemons of the far region reach everything in the other region over a
    shared link, of which each direction has its own shaper.
    """

    def __init__(self, reactor: Any, host: str) -> None:
        self._reactor = reactor
        self._host = host
        self.outbound = Shaper()
        self.inbound = Shaper()
        self._links: dict[tuple[str, str], Link] = {}
        self.last_owner = ''

    def add(
        self, daemon: str, target: str, address: str, is_shared: bool
    ) -> str:
        """Add a link and return the address of its listener.

        ``is_shared``: whether it passes the shared link.
        """
        host, _, port = address.rpartition(':')
        shapers = (self.outbound, self.inbound)
        link = Link(
            self._reactor,
            (host, int(port)),
            *(shapers if is_shared else (Shaper(), Shaper())),
            on_use=lambda: self._on_use(daemon, target),
        )
        listener = self._reactor.listenTCP(0, link, interface=self._host)
        self._links[daemon, target] = link
        return f'{self._host}:{listener.getHost().port}'

    def _on_use(self, daemon: str, target: str) -> None:
        """Record which daemon last opened a connection to a worker."""
        if target != 'store':
            self.last_owner = daemon

    def select(self, daemon: str, target: str = '') -> list[Link]:
        """Return the links of a daemon, to all targets or to one."""
        return [
            link
            for (link_daemon, link_target), link in self._links.items()
            if link_daemon == daemon and target in ('', link_target)
        ]

    def targets(self) -> list[str]:
        """Return all targets."""
        return sorted({target for _, target in self._links})


def log_failure(reason: Any) -> None:
    """Log an error in a stand-in."""
    core.get_logger('soak').error(
        'Stand-in failed', reason=reason.getTraceback()
    )
