"""Send requests on a fixed number of connections and time them."""

import dataclasses
import selectors
import socket
import time

HOST = '127.0.0.1'
NANOS_PER_MILLI = 1_000_000
NANOS_PER_SECOND = 1_000_000_000
READ_BYTES = 65_536
HEAD_END = b'\r\n\r\n'
LENGTH = b'content-length: '


class BadResponseError(Exception):
    """Raise when a response is not a whole 200."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Hold what a run measured; latencies are in milliseconds.

    ``requests`` includes those of the warm-up.
    """

    requests: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float


class _Connection:
    """Send the next request as soon as a response is whole."""

    def __init__(self, port: int, request: bytes) -> None:
        self.sock = socket.create_connection((HOST, port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = request
        self._data = b''
        self._sent = 0

    def send(self) -> None:
        """Send a request."""
        self._sent = time.monotonic_ns()
        self.sock.sendall(self._request)

    def receive(self) -> int:
        """Read; return the nanoseconds of a whole response, else 0."""
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise BadResponseError('the connection was closed')
        self._data += data
        end = self._data.find(HEAD_END)
        if end < 0:
            return 0
        head = self._data[:end].lower()
        if not head.startswith(b'http/1.1 200 '):
            raise BadResponseError(self._data.decode('latin-1'))
        start = head.index(LENGTH) + len(LENGTH)
        length = int(head[start:].split(b'\r', 1)[0])
        if len(self._data) < end + len(HEAD_END) + length:
            return 0
        self._data = b''
        return time.monotonic_ns() - self._sent


def run(port: int, connections: int, seconds: float, request: bytes) -> Load:
    """Keep one request in progress on each connection for a while.

    The first tenth of the time is for warming up and is not counted.
    """
    begin = time.monotonic_ns()
    count_from = begin + int(seconds * NANOS_PER_SECOND / 10)
    end = begin + int(seconds * NANOS_PER_SECOND)
    taken: list[int] = []
    total = 0
    with selectors.DefaultSelector() as selector:
        conns = [_Connection(port, request) for _ in range(connections)]
        for conn in conns:
            selector.register(conn.sock, selectors.EVENT_READ, conn)
            conn.send()
        now = begin
        waiting = connections
        # A request cut by its caller would hold its slot until the
        # deadline, into the next run; so all responses are awaited.
        while waiting:
            for key, _ in selector.select(1):
                nanos = key.data.receive()
                if not nanos:
                    continue
                total += 1
                if now >= end:
                    waiting -= 1
                    continue
                if now >= count_from:
                    taken.append(nanos)
                key.data.send()
            now = time.monotonic_ns()
        for conn in conns:
            conn.sock.close()
    taken.sort()
    return Load(
        requests=total,
        requests_per_s=len(taken) / ((end - count_from) / NANOS_PER_SECOND),
        p50_ms=taken[len(taken) // 2] / NANOS_PER_MILLI,
        p99_ms=taken[len(taken) * 99 // 100] / NANOS_PER_MILLI,
    )
