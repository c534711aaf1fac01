"""Start daemon processes and send signals to them."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import sys
from typing import Any

from twisted.internet import protocol

import oriolestand_core as core
from oriolestand_soak import _recorder
from oriolestand_soak import history
from oriolestand_soak import messages

PROGRAM = pathlib.Path(__file__).parents[4] / 'platform' / 'main.py'
METRICS_PORT = 9464
SETTINGS_VARIABLE = 'ORIOLESTAND_SETTINGS'
RESTART_MS = 500
MILLIS_PER_SECOND = 1_000
ADDRESS_ATTEMPTS = 200


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Daemon:
    """A daemon, its addresses and its process, if it runs."""

    name: str
    zone: str
    host: str
    front_port: int
    ready_port: int
    settings: pathlib.Path
    log: pathlib.Path
    process: int = 0
    transport: Any = None
    is_wanted: bool = True


def free_port(host: str) -> int:
    """Return a port of an address that no process listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def find_hosts(count: int) -> list[str]:
    """Return loopback addresses whose metrics port is free."""
    hosts: list[str] = []
    base = os.getpid()
    for attempt in range(ADDRESS_ATTEMPTS + count):
        if len(hosts) == count:
            break
        number = base * 64 + attempt
        host = f'127.{1 + number // 62_500 % 250}.{number // 250 % 250}'
        host += f'.{1 + number % 250}'
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
            except OSError:
                continue
        hosts.append(host)
    return hosts


class _Process(protocol.ProcessProtocol):
    """Reports the end of a daemon process."""

    def __init__(self, owner: 'DaemonsTask', daemon: Daemon) -> None:
        self._owner = owner
        self._daemon = daemon
        self._number = daemon.process

    def processExited(self, reason: Any) -> None:  # noqa: N802
        """Report the exit status."""
        status = reason.value.exitCode
        if status is None:
            status = -(reason.value.signal or 0)
        self._owner.on_exit(self._daemon, self._number, status)


class DaemonsTask(core.Task):
    """Starts the daemons and ends only what it has started."""

    def __init__(
        self,
        kernel: core.Kernel,
        recorder: _recorder.Recorder,
        directory: pathlib.Path,
        grace_ms: int,
    ) -> None:
        super().__init__(kernel, messages.DAEMONS)
        self._recorder = recorder
        self._directory = directory
        self._grace_ms = grace_ms
        self.daemons: dict[str, Daemon] = {}

    def add(
        self, name: str, zone: str, host: str, store: str, bounds: Any
    ) -> Daemon:
        """Add a daemon and write its settings."""
        daemon = Daemon(
            name=name,
            zone=zone,
            host=host,
            front_port=free_port(host),
            ready_port=free_port(host),
            settings=self._directory / f'{name}.json',
            log=self._directory / f'{name}.log',
        )
        fields = {
            'node': name,
            'ip': host,
            'zone': zone,
            'listen': {
                'front': f'{host}:{daemon.front_port}',
                'ready': f'{host}:{daemon.ready_port}',
            },
            'bounds': bounds,
            'platform': {'address': store, 'row_bytes': 65_536},
        }
        daemon.settings.write_text(json.dumps(fields))
        self.daemons[name] = daemon
        return daemon

    def start_daemon(self, daemon: Daemon) -> None:
        """Start the process of a daemon unless it runs."""
        daemon.is_wanted = True
        if daemon.transport is not None:
            return
        daemon.process += 1
        log = os.open(daemon.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        try:
            daemon.transport = self.kernel.reactor.spawnProcess(
                _Process(self, daemon),
                sys.executable,
                [sys.executable, str(PROGRAM)],
                env={
                    'PATH': os.environ.get('PATH', ''),
                    SETTINGS_VARIABLE: str(daemon.settings),
                },
                childFDs={0: 'w', 1: log, 2: log},
            )
        finally:
            os.close(log)
        self._recorder.record(
            history.DaemonStarted(daemon=daemon.name, process=daemon.process)
        )

    def on_exit(self, daemon: Daemon, process: int, status: int) -> None:
        """Record the end of a process; restart it if it is wanted."""
        daemon.transport = None
        self._recorder.record(
            history.DaemonExited(
                daemon=daemon.name, process=process, status=status
            )
        )
        if daemon.is_wanted and not self.is_stopped:
            self.kernel.clock.call_later(
                RESTART_MS, lambda: self._restart(daemon)
            )

    def _restart(self, daemon: Daemon) -> None:
        """Start a daemon again unless it was ended in the meantime."""
        if daemon.is_wanted and not self.is_stopped:
            self.start_daemon(daemon)

    def _signal(self, daemon: Daemon, name: str) -> None:
        """Send a signal to a daemon's process, if it runs."""
        if daemon.transport is None:
            return
        self._recorder.record(
            history.DaemonSignalled(
                daemon=daemon.name, process=daemon.process, signal=name
            )
        )
        daemon.transport.signalProcess(getattr(signal, name))

    @core.handles(messages.StartDaemon)
    def _on_start(self, msg: messages.StartDaemon) -> None:
        """Start a daemon."""
        self.start_daemon(self.daemons[msg.daemon])

    @core.handles(messages.EndDaemon)
    def _on_end(self, msg: messages.EndDaemon) -> None:
        """End a daemon; kill it if it has not exited in time."""
        daemon = self.daemons[msg.daemon]
        daemon.is_wanted = False
        self._signal(daemon, msg.signal)
        self._kill_later(daemon)

    def _kill_later(self, daemon: Daemon) -> None:
        """Kill a process that has not exited in time."""
        process = daemon.process

        def kill() -> None:
            if daemon.process == process:
                self._signal(daemon, 'SIGKILL')

        self.kernel.clock.call_later(self._grace_ms, kill)

    @core.handles(messages.SignalDaemon)
    def _on_signal(self, msg: messages.SignalDaemon) -> None:
        """Send a signal to a daemon."""
        self._signal(self.daemons[msg.daemon], msg.signal)

    def stop(self) -> object:
        """Kill the processes that still run."""
        super().stop()
        for daemon in self.daemons.values():
            if daemon.transport is not None:
                daemon.transport.signalProcess('KILL')
        return None

    @property
    def running(self) -> list[Daemon]:
        """Return the daemons whose process runs."""
        return [d for d in self.daemons.values() if d.transport is not None]
