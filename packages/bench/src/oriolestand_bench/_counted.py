"""Run the daemon and count the bytes of its control connections.

The system keeps no count of bytes for each socket that a plain process can
read, so the count is taken where Twisted reads and writes.
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


class Counter:
    """Count the bytes of connections from or to some ports."""

    def __init__(self, ports: frozenset[int]) -> None:
        self.total = 0
        self._ports = ports

    def add(self, transport: Any, size: int) -> None:
        """Count bytes unless the connection is not for control."""
        ends = (transport.getHost().port, transport.getPeer().port)
        if not self._ports.isdisjoint(ends):
            self.total += size

    def install(self) -> None:
        """Count in all TCP connections of this process."""
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
    """Run the daemon; write the count to a file twice a second."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    counter = Counter(frozenset(json.loads(os.environ[PORTS_VARIABLE])))
    counter.install()
    path = pathlib.Path(os.environ[FILE_VARIABLE])

    def write() -> None:
        path.write_text(str(counter.total), encoding='ascii')
        reactor.callLater(WRITE_INTERVAL_S, write)

    reactor.callWhenRunning(write)
    daemon.main()


if __name__ == '__main__':
    main()
