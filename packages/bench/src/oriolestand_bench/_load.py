"""Generate closed-loop load on a fixed number of connections."""

import dataclasses
import selectors
import socket
import time

HOST = '127.0.0.1'
NANOS_PER_MILLI = 1_000_000
NANOS_PER_SECOND = 1_000_000_000
READ_BYTES = 65_536
HEAD_END = b'\r\n\r\n'
CONTENT_LENGTH = b'content-length: '


class BadResponseError(Exception):
    """Raised when a response is truncated or its status is not 200."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Throughput and latencies of one load run.

    ``requests`` includes the warm-up; the other figures exclude it.
    """

    requests: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float


class _Connection:
    """One connection with at most one request in progress."""

    def __init__(self, port: int, request: bytes) -> None:
        self.sock = socket.create_connection((HOST, port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = request
        self._data = b''
        self._sent = 0

    def send(self) -> None:
        """Send the request and start its timer."""
        self._sent = time.monotonic_ns()
        self.sock.sendall(self._request)

    def receive(self) -> int:
        """Read available bytes.

        Returns the latency in nanoseconds once the response is complete,
        otherwise 0.
        """
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise BadResponseError(
                'connection closed before the response was complete'
            )
        self._data += data
        end = self._data.find(HEAD_END)
        if end < 0:
            return 0
        head = self._data[:end].lower()
        if not head.startswith(b'http/1.1 200 '):
            raise BadResponseError(self._data.decode('latin-1'))
        start = head.index(CONTENT_LENGTH) + len(CONTENT_LENGTH)
        length = int(head[start:].split(b'\r', 1)[0])
        if len(self._data) < end + len(HEAD_END) + length:
            return 0
        self._data = b''
        return time.monotonic_ns() - self._sent


def run(port: int, connections: int, seconds: float, request: bytes) -> Load:
    """Keep one request in progress on each connection for ``seconds``.

    The first tenth of the time is the warm-up and is not measured.
    """
    begin = time.monotonic_ns()
    count_from = begin + int(seconds * NANOS_PER_SECOND / 10)
    end = begin + int(seconds * NANOS_PER_SECOND)
    latencies_ns: list[int] = []
    total = 0
    with selectors.DefaultSelector() as selector:
        conns = [_Connection(port, request) for _ in range(connections)]
        for conn in conns:
            selector.register(conn.sock, selectors.EVENT_READ, conn)
            conn.send()
        now = begin
        in_progress = connections
        # Wait for all responses: a request that its caller abandons holds
        # its slot until the deadline, which would affect the next run.
        while in_progress:
            for key, _ in selector.select(1):
                nanos = key.data.receive()
                if not nanos:
                    continue
                total += 1
                if now >= end:
                    in_progress -= 1
                    continue
                if now >= count_from:
                    latencies_ns.append(nanos)
                key.data.send()
            now = time.monotonic_ns()
        for conn in conns:
            conn.sock.close()
    latencies_ns.sort()
    return Load(
        requests=total,
        requests_per_s=len(latencies_ns)
        / ((end - count_from) / NANOS_PER_SECOND),
        p50_ms=latencies_ns[len(latencies_ns) // 2] / NANOS_PER_MILLI,
        p99_ms=latencies_ns[len(latencies_ns) * 99 // 100] / NANOS_PER_MILLI,
    )
