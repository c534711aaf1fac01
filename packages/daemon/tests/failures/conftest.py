"""Fixtures: daemons and stand-ins as processes for the failure tests."""

from collections.abc import Iterator
import http.client
import json
from typing import Any

import pytest

from oriolestand_standins import _cluster

HOLD_ANSWERS = {'holds_path': '/stream', 'service_ms': 0}
LINGER_MS = 2_000
"""How long a draining daemon still accepts requests.

A client may still send that long after it saw the entry instance ready.
"""

COMPLETE_ANSWERS = {'holds_path': '', 'service_ms': 0}


class Stream:
    """A request whose answer has begun but not ended."""

    def __init__(self, port: int, key: str, **headers: str) -> None:
        self.key = key
        self._conn = http.client.HTTPConnection(
            _cluster.HOST, port, timeout=_cluster.WAIT_TIMEOUT_S
        )
        sent = {'x-request-key': key, **headers}
        self._conn.request('POST', '/stream', b'body', sent)

    def begin(self) -> None:
        """Wait for the head and the first byte of the answer."""
        self._answer = self._conn.getresponse()
        self._data = self._answer.read(1)

    def is_complete(self) -> bool:
        """Read the rest; return whether the answer is complete."""
        try:
            self._data += self._answer.read()
        except (http.client.HTTPException, OSError):
            return False
        finally:
            self._conn.close()
        body = json.loads(self._data)
        assert body['key'] == self.key
        return True


class FailureSetup:
    """Starts entry instances and upstreams in given failure domains."""

    def __init__(self, cluster: _cluster.Cluster) -> None:
        self.cluster = cluster

    def start(self, entries: dict[str, str], ups: dict[str, str]) -> None:
        """Start all processes and wait until the slots are shared."""
        cluster = self.cluster
        cluster.start_platform()
        for name in ups:
            cluster.start_upstream(name)
        for name, domain in entries.items():
            cluster.add_entry(name, domain, 'north')
        for name in entries:
            self.start_daemon(name)
        first = next(iter(entries))
        _cluster.wait_until(
            lambda: (
                cluster.put_tables(first, self._document(ups), 0).status
                in (200, 409)
            ),
            'tables accepted',
        )
        for name in entries:
            cluster.wait_ready(name)
        for domain in set(entries.values()):
            holders = [n for n, d in entries.items() if d == domain]
            slots = 8 * sum(d == domain for d in ups.values())
            _cluster.wait_until(
                lambda holders=holders, slots=slots: (
                    sum(self.limits(name) for name in holders) == slots
                    and all(
                        bool(slots) == bool(self.limits(n)) for n in holders
                    )
                ),
                f'the slots of {domain} are shared',
            )

    def limits(self, name: str) -> int:
        """Return the number of slots that a daemon holds."""
        pool = self.cluster.status(name)['pools'].get('main', {})
        ups = pool.get('upstreams', {})
        return sum(up['limit'] for up in ups.values())

    def peers(self, name: str) -> dict[str, int]:
        """Return the free slots of the peers that a daemon may forward to."""
        pool = self.cluster.status(name)['pools'].get('main', {})
        found: dict[str, int] = pool.get('peers', {})
        return found

    def start_daemon(self, name: str) -> None:
        """Start a daemon with short time limits."""
        self.cluster.start_daemon(
            name, limits={'linger_ms': LINGER_MS, 'abort_grace_ms': 50}
        )

    def _document(self, ups: dict[str, str]) -> dict[str, Any]:
        """Return one route and one pool over all upstreams."""
        return {
            'routes': [{'name': 'book', 'pool': 'main', 'timeout_ms': 60_000}],
            'pools': [
                {
                    'name': 'main',
                    'upstreams': [
                        {
                            'address': self.address(name),
                            'failure_domain': domain,
                        }
                        for name, domain in ups.items()
                    ],
                }
            ],
        }

    def address(self, upstream: str) -> str:
        """Return the address of an upstream."""
        return f'{_cluster.HOST}:{self.cluster.upstreams[upstream].port}'

    def wait_until_forwarding(self, name: str, peer: str) -> None:
        """Wait until a daemon may forward to a peer."""
        _cluster.wait_until(
            lambda: bool(self.peers(name).get(peer)),
            f'{name} may forward to {peer}',
        )

    def hold(self, upstream: str, is_held: bool) -> None:
        """Let an upstream hold its answers open, or complete them."""
        process = self.cluster.upstreams[upstream]
        self.cluster.set_faults(
            process, **(HOLD_ANSWERS if is_held else COMPLETE_ANSWERS)
        )

    def open(self, entry: str, key: str, **headers: str) -> Stream:
        """Start a request and wait until its answer has begun."""
        stream = Stream(
            self.cluster.entries[entry].caller_port, key, **headers
        )
        stream.begin()
        return stream

    def send(
        self, entry: str, key: str, path: str = '/book', **headers: str
    ) -> _cluster.Answer:
        """Send a request and return its answer."""
        return _cluster.send_request(
            self.cluster.entries[entry].caller_port,
            'POST',
            path,
            b'body',
            {'x-request-key': key, **headers},
        )


@pytest.fixture
def cluster() -> Iterator[_cluster.Cluster]:
    """Yield a cluster whose processes end with the test."""
    with _cluster.Cluster() as running:
        running.start_platform()
        yield running


@pytest.fixture
def setup() -> Iterator[FailureSetup]:
    with _cluster.Cluster() as cluster:
        yield FailureSetup(cluster)
        for process in cluster.daemons.values():
            print(process.name, process.log.read_text()[-4000:])
