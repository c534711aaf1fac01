"""Cluster of daemon and stand-in processes, for tests and the demo."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from types import TracebackType
from typing import Any

from oriolestand_standins import _ports

HOST = '127.0.0.1'
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 30.0
LOGGED_LINES = 40


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


def send_request(
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Send one HTTP request to a local port and return the answer."""
    conn = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        conn.request(method, path, body, dict(headers or {}))
        response = conn.getresponse()
        return Answer(
            status=response.status,
            headers={k.lower(): v for k, v in response.getheaders()},
            body=response.read(),
        )
    finally:
        conn.close()


def free_port() -> int:
    """Return a port that is reserved until this process ends."""
    return _ports.reserve_port(HOST)


def wait_until(check: Callable[[], bool], description: str) -> None:
    """Poll until a check is true; I/O and decoding errors count as false.

    :raises TimeoutError: after WAIT_TIMEOUT_S, with the description.
    """
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        try:
            if check():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        _pause()
    raise TimeoutError(
        f'condition not met within {WAIT_TIMEOUT_S} s: {description}'
    )


def _pause() -> None:
    """Wait until the next poll."""
    signal.sigtimedwait([], POLL_INTERVAL_S)


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """A process that a cluster started, and its log file."""

    name: str
    port: int
    popen: 'subprocess.Popen[bytes]'
    log: pathlib.Path

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.popen.send_signal(signal.SIGCONT)

    def log_end(self) -> str:
        """Return the last lines of the log under a header."""
        lines = self.log.read_text(errors='replace').splitlines()
        status = self.popen.poll()
        header = f'--- {self.name}, port {self.port}, exit status {status}'
        return '\n'.join([header, *lines[-LOGGED_LINES:], ''])

    def terminate(self) -> int:
        """Send SIGTERM, wait for the exit and return the exit status."""
        self.popen.terminate()
        return self.popen.wait(STOP_TIMEOUT_S)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """An entry instance: its failure domain, region and local ports."""

    id: str
    failure_domain: str
    region: str
    caller_port: int
    peer_port: int
    admin_port: int


class Cluster:
    """Starts the platform, upstreams and daemons; kills them on exit."""

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix='oriolestand-')
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
        traceback: TracebackType | None,
    ) -> None:
        """Kill all processes and remove their files.

        After an error the ends of their logs are printed.
        """
        if exc is not None:
            for process in self._processes:
                sys.stderr.write(process.log_end())
        for process in self._processes:
            if process.popen.poll() is None:
                process.resume()
                process.kill()
        self._directory.cleanup()

    def start_module(
        self,
        name: str,
        port: int,
        *args: str,
        env: Mapping[str, str] | None = None,
    ) -> Process:
        """Start a Python module as a process that is killed on exit."""
        log = pathlib.Path(self._directory.name) / f'{name}.log'
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
        """Start the stand-in for the platform and wait until it answers."""
        port = free_port()
        self.platform = self.start_module(
            'platform',
            port,
            'oriolestand_standins',
            'platform',
            f'--port={port}',
        )
        wait_until(lambda: self._platform_answers(port), 'platform answers')
        return self.platform

    def _platform_answers(self, port: int) -> bool:
        """Return whether the platform answers."""
        return (
            send_request(port, 'GET', '/counts').status == http.HTTPStatus.OK
        )

    def start_upstream(self, name: str, slots: int = 8) -> Process:
        """Start a stand-in for an upstream and wait until it answers."""
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
            lambda: send_request(port, 'GET', '/_counts').status == 200,
            f'{name} answers',
        )
        return process

    def add_entry(self, name: str, domain: str, region: str) -> Entry:
        """Add an entry instance to the platform's list."""
        entry = Entry(
            id=name,
            failure_domain=domain,
            region=region,
            caller_port=free_port(),
            peer_port=free_port(),
            admin_port=free_port(),
        )
        self.entries[name] = entry
        self.set_entry_state(name, 'live')
        return entry

    def set_entry_state(self, name: str, state: str) -> None:
        """Set the state of an entry instance in the platform's list."""
        assert self.platform is not None
        entry = self.entries[name]
        body = {
            'id': name,
            'role': 'entry',
            'state': state,
            'address': f'{HOST}:{entry.caller_port}',
            'peer_address': f'{HOST}:{entry.peer_port}',
            'admin_address': f'{HOST}:{entry.admin_port}',
            'failure_domain': entry.failure_domain,
            'region': entry.region,
        }
        send_request(
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
        """Start the daemon of an entry instance, or a module that wraps it."""
        assert self.platform is not None
        entry = self.entries[name]
        data = {
            'instance_id': name,
            'failure_domain': entry.failure_domain,
            'region': entry.region,
            'callers': {'port': entry.caller_port},
            'peers': {'port': entry.peer_port},
            'admin': {'port': entry.admin_port},
            'platform': {
                'kind': 'http',
                'url': f'http://{HOST}:{self.platform.port}',
            },
            **settings,
        }
        path = pathlib.Path(self._directory.name) / f'{name}.json'
        path.write_text(json.dumps(data))
        process = self.start_module(
            name, entry.caller_port, module, f'--settings={path}', env=env
        )
        self.daemons[name] = process
        return process

    def status(self, name: str) -> Any:
        """Return the status of a daemon."""
        return send_request(
            self.entries[name].admin_port, 'GET', '/status'
        ).json()

    def wait_ready(self, name: str) -> None:
        """Wait until a daemon is ready for callers."""
        port = self.entries[name].admin_port
        wait_until(
            lambda: send_request(port, 'GET', '/ready').status == 200,
            f'{name} ready',
        )

    def held_slots(self, name: str, pool: str) -> int:
        """Return the number of slots of a pool that a daemon holds."""
        pools = self.status(name)['pools']
        upstreams = pools.get(pool, {'upstreams': {}})['upstreams']
        return sum(up['limit'] for up in upstreams.values())

    def wait_slots(self, name: str, pool: str, slots: int) -> None:
        """Wait until a daemon holds a number of slots of a pool."""
        wait_until(
            lambda: self.held_slots(name, pool) == slots,
            f'{name} holds {slots} slots of {pool}',
        )

    def counts(self, name: str) -> Any:
        """Return the counters of an upstream."""
        return send_request(
            self.upstreams[name].port, 'GET', '/_counts'
        ).json()

    def set_faults(self, process: Process, **faults: Any) -> None:
        """Replace the faults of a stand-in.

        :raises ValueError: if the stand-in refuses them.
        """
        path = '/faults' if process is self.platform else '/_faults'
        answer = send_request(
            process.port, 'POST', path, json.dumps(faults).encode()
        )
        if answer.status != http.HTTPStatus.OK:
            raise ValueError(answer.body.decode())

    def put_tables(
        self, name: str, document: Mapping[str, Any], base_version: int
    ) -> Answer:
        """Replace the tables through the admin listener of a daemon."""
        path = f'/tables?base_version={base_version}&edited_by=test'
        body = json.dumps(document).encode()
        return send_request(self.entries[name].admin_port, 'PUT', path, body)
