"""Run daemons and stand-ins as processes, for tests and the demo."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from types import TracebackType
from typing import Any

HOST = '127.0.0.1'
WAIT_BOUND_S = 60.0
POLL_S = 0.05
STOP_BOUND_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Hold an HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def call(
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Send one HTTP request to this machine and return the answer."""
    conn = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        conn.request(method, path, body, dict(headers or {}))
        res = conn.getresponse()
        return Answer(
            status=res.status,
            headers={k.lower(): v for k, v in res.getheaders()},
            body=res.read(),
        )
    finally:
        conn.close()


def free_port() -> int:
    """Return a port that no process listens on now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def wait_until(check: Callable[[], bool], what: str) -> None:
    """Poll until a state is reached; raise TimeoutError past the bound."""
    end = time.monotonic() + WAIT_BOUND_S
    while time.monotonic() < end:
        try:
            if check():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        _pause()
    raise TimeoutError(f'not reached within {WAIT_BOUND_S} s: {what}')


def _pause() -> None:
    """Wait until the next poll."""
    signal.sigtimedwait([], POLL_S)


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """Own one process that this cluster started."""

    name: str
    port: int
    popen: 'subprocess.Popen[bytes]'
    log: pathlib.Path

    def kill(self) -> None:
        """End the process at once."""
        self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process run again."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Ask the process to shut down; return its exit status."""
        self.popen.terminate()
        return self.popen.wait(STOP_BOUND_S)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Describe an entry instance: its place and ports."""

    id: str
    failure_domain: str
    region: str
    callers: int
    peers: int
    admin: int


class Cluster:
    """Start the platform, upstreams and daemons; end them on exit."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix='oriolestand-')
        self._processes: list[Process] = []
        self.platform: Process | None = None
        self.upstreams: dict[str, Process] = {}
        self.entries: dict[str, Entry] = {}
        self.daemons: dict[str, Process] = {}
        self.modules: dict[str, Process] = {}

    def __enter__(self) -> 'Cluster':
        """Return the cluster."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes."""
        for process in self._processes:
            if process.popen.poll() is None:
                process.thaw()
                process.kill()
        self._folder.cleanup()

    def start_module(
        self,
        name: str,
        port: int,
        *args: str,
        env: Mapping[str, str] | None = None,
    ) -> Process:
        """Start a Python module as a process that ends with the cluster."""
        log = pathlib.Path(self._folder.name) / f'{name}.log'
        with log.open('ab') as out:
            popen = subprocess.Popen(
                [sys.executable, '-m', *args],
                stdout=out,
                stderr=out,
                env={**os.environ, 'PYTHONUNBUFFERED': '1', **(env or {})},
            )
        process = Process(name=name, port=port, popen=popen, log=log)
        self._processes.append(process)
        self.modules[name] = process
        return process

    def start_platform(self) -> Process:
        """Start the platform's stand-in."""
        port = free_port()
        self.platform = self.start_module(
            'platform',
            port,
            'oriolestand_standins',
            'platform',
            f'--port={port}',
        )
        wait_until(lambda: self._platform_answers(port), 'platform up')
        return self.platform

    def _platform_answers(self, port: int) -> bool:
        """Return whether the platform answers."""
        return call(port, 'GET', '/counts').status == http.HTTPStatus.OK

    def start_upstream(self, name: str, slots: int = 8) -> Process:
        """Start an upstream's stand-in."""
        port = free_port()
        process = self.start_module(
            name,
            port,
            'oriolestand_standins',
            'upstream',
            f'--port={port}',
            f'--name={name}',
            f'--slots={slots}',
        )
        self.upstreams[name] = process
        wait_until(
            lambda: call(port, 'GET', '/_counts').status == 200,
            f'{name} up',
        )
        return process

    def add_entry(self, name: str, domain: str, region: str) -> Entry:
        """Add an entry instance to the platform's list."""
        entry = Entry(
            id=name,
            failure_domain=domain,
            region=region,
            callers=free_port(),
            peers=free_port(),
            admin=free_port(),
        )
        self.entries[name] = entry
        self.list_entry(name, 'live')
        return entry

    def list_entry(self, name: str, state: str) -> None:
        """Set the state of an entry instance in the platform's list."""
        assert self.platform is not None
        entry = self.entries[name]
        body = {
            'id': name,
            'role': 'entry',
            'state': state,
            'address': f'{HOST}:{entry.callers}',
            'peer_address': f'{HOST}:{entry.peers}',
            'admin_address': f'{HOST}:{entry.admin}',
            'failure_domain': entry.failure_domain,
            'region': entry.region,
        }
        call(
            self.platform.port, 'POST', '/instances', json.dumps(body).encode()
        )

    def start_daemon(
        self,
        name: str,
        *,
        module: str = 'oriolestand_daemon',
        env: Mapping[str, str] | None = None,
        **settings: Any,
    ) -> Process:
        """Start the daemon of an entry instance, or a module around it."""
        assert self.platform is not None
        entry = self.entries[name]
        data = {
            'instance_id': name,
            'failure_domain': entry.failure_domain,
            'region': entry.region,
            'callers': {'port': entry.callers},
            'peers': {'port': entry.peers},
            'admin': {'port': entry.admin},
            'platform': {
                'kind': 'http',
                'url': f'http://{HOST}:{self.platform.port}',
            },
            **settings,
        }
        path = pathlib.Path(self._folder.name) / f'{name}.json'
        path.write_text(json.dumps(data))
        process = self.start_module(
            name, entry.callers, module, f'--settings={path}', env=env
        )
        self.daemons[name] = process
        return process

    def status(self, name: str) -> Any:
        """Return the status of a daemon."""
        return call(self.entries[name].admin, 'GET', '/status').json()

    def wait_ready(self, name: str) -> None:
        """Wait until a daemon is ready for callers."""
        port = self.entries[name].admin
        wait_until(
            lambda: call(port, 'GET', '/ready').status == 200, f'{name} ready'
        )

    def held_slots(self, name: str, pool: str) -> int:
        """Return the slots of a pool that a daemon may use."""
        pools = self.status(name)['pools']
        ups = pools.get(pool, {'upstreams': {}})['upstreams']
        return sum(up['limit'] for up in ups.values())

    def wait_slots(self, name: str, pool: str, slots: int) -> None:
        """Wait until a daemon holds a number of slots of a pool."""
        wait_until(
            lambda: self.held_slots(name, pool) == slots,
            f'{name} holds {slots} slots of {pool}',
        )

    def counts(self, name: str) -> Any:
        """Return what an upstream counted."""
        return call(self.upstreams[name].port, 'GET', '/_counts').json()

    def set_faults(self, process: Process, **faults: Any) -> None:
        """Switch the faults of a stand-in."""
        path = '/faults' if process is self.platform else '/_faults'
        answer = call(process.port, 'POST', path, json.dumps(faults).encode())
        if answer.status != http.HTTPStatus.OK:
            raise ValueError(answer.body.decode())

    def put_tables(
        self, name: str, document: Mapping[str, Any], base_version: int
    ) -> Answer:
        """Replace the tables through a daemon's admin listener."""
        path = f'/tables?base_version={base_version}&edited_by=test'
        body = json.dumps(document).encode()
        return call(self.entries[name].admin, 'PUT', path, body)
