"""A daemon process whose processor time and memory are measured."""

import os
import pathlib
import sys
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

from oriolestand_bench import _process
from oriolestand_bench import _trees
from oriolestand_soak import deployment

STARTED = b'Daemon started'
READY_TIMEOUT_S = 60.0
POLL_S = 0.05
REQUEST_TIMEOUT_MS = 10_000


class BenchError(Exception):
    """Raised when a daemon does not behave as the benchmark needs."""


class MeasuredDaemon(protocol.ProcessProtocol):
    """A daemon process of a deployed tree."""

    def __init__(
        self, reactor: Any, tree: pathlib.Path, daemon: deployment.Daemon
    ) -> None:
        self._reactor = reactor
        self._output = b''
        self.daemon = daemon
        self.ended: defer.Deferred[None] = defer.Deferred()
        # The interpreter itself, since the platform uses no virtual
        # environment.
        python = os.path.realpath(sys.executable)
        self._process = reactor.spawnProcess(
            self,
            python,
            [python, str(tree / 'platform/main.py')],
            env={
                deployment.SETTINGS_VARIABLE: str(daemon.settings),
                'PYTHONPATH': str(tree / _trees.DEPENDENCIES),
                'PYTHONDONTWRITEBYTECODE': '1',
            },
            childFDs={0: 'w', 1: 'r', 2: 'r'},
        )

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        """Keep the log, which tells when the daemon has started."""
        self._output += data

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Report the end of the process."""
        self.ended.callback(None)

    def cpu_ms(self) -> float:
        """Return the processor time so far in milliseconds."""
        return _process.cpu_ns(self._process.pid) / 1e6

    def resident_mib(self) -> float:
        """Return the resident memory in MiB."""
        return _process.resident_mib(self._process.pid)

    def peak_mib(self) -> float:
        """Return the peak resident memory so far in MiB."""
        return _process.peak_resident_mib(self._process.pid)

    async def sleep(self, seconds: float) -> None:
        """Wait while the daemon runs."""
        if self.ended.called:
            raise BenchError(self._output.decode(errors='replace'))
        fut: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(seconds, fut.callback, None)
        await fut

    async def wait_ready(self) -> None:
        """Wait until the daemon has started and reports that it is ready.

        It is not asked before its log says that it has started, as the
        requests cost it processor time.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        while STARTED not in self._output:
            await self._poll(end_s)
        conn = await self.connect(self.daemon.ready_port)
        while (await self.send(conn, 'GET', '/')) != 200:
            await self._poll(end_s)
        conn.close()

    async def _poll(self, end_s: float) -> None:
        """Wait for a short time; raise BenchError after the time limit."""
        if time.monotonic() > end_s:
            raise BenchError('the daemon is not ready in time')
        await self.sleep(POLL_S)

    async def connect(self, port: int) -> deployment.ClientConnection:
        """Open a connection to the daemon."""
        conn = await deployment.connect(self._reactor, self.daemon.host, port)
        if conn is None:
            raise BenchError('the daemon does not listen')
        return conn

    async def send(
        self,
        conn: deployment.ClientConnection,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> int:
        """Send a request and return the status of the response."""
        outcome = await conn.send(
            method, path, deployment.CALLER_HOST, body, REQUEST_TIMEOUT_MS
        )
        return outcome.status

    async def stop(self) -> None:
        """End the process and wait for its end."""
        try:
            self._process.signalProcess('TERM')
        except error.ProcessExitedAlready:
            return
        await self.ended
