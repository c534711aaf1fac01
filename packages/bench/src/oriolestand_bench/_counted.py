"""Run the daemon and count the bytes on its control connections.

The operating system offers no byte counter per socket to an unprivileged
process, so the bytes are counted where Twisted reads and writes.
"""

import json
import os
import pathlib
from typing import Any

from twisted.internet import tcp

from oriolestand_daemon import __main__ as daemon

PORTS_VARIABLE = 'ORIOLESTAND_BENCH_PORTS'
FILE_VARIABLE = 'ORIOLESTAND_BENCH_FILE'
WRITE_INTERVAL_S = 0.5


class ByteCounter:
    """Counts the bytes on connections from or to the given ports."""

    def __init__(self, ports: frozenset[int]) -> None:
        self.total = 0
        self._ports = ports

    def add(self, transport: Any, size: int) -> None:
        """Count the bytes if either end of the connection uses a port."""
        ends = (transport.getHost().port, transport.getPeer().port)
        if not self._ports.isdisjoint(ends):
            self.total += size

    def install(self) -> None:
        """Patch Twisted to count the bytes of all TCP connections."""
        base: Any = tcp.Connection
        received, write = base._dataReceived, base.writeSomeData

        def count_received(transport: Any, data: bytes) -> Any:
            self.add(transport, len(data))
            return received(transport, data)

        def count_written(transport: Any, data: bytes) -> Any:
            size = write(transport, data)
            if isinstance(size, int) and size > 0:
                self.add(transport, size)
            return size

        base._dataReceived = count_received
        base.writeSomeData = count_written


def main() -> None:
    """Run the daemon and write the count to a file twice a second."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    counter = ByteCounter(frozenset(json.loads(os.environ[PORTS_VARIABLE])))
    counter.install()
    path = pathlib.Path(os.environ[FILE_VARIABLE])

    def write() -> None:
        path.write_text(str(counter.total), encoding='ascii')
        reactor.callLater(WRITE_INTERVAL_S, write)

    reactor.callWhenRunning(write)
    daemon.main()


if __name__ == '__main__':
    main()
