"""Test that a shutdown does not interrupt requests."""

import concurrent.futures
import http.client
import threading
from typing import Any

from oriolestand_standins import _cluster


def _is_ready(setup: Any, name: str) -> bool:
    """Return whether a load balancer would see an entry instance as ready.

    A failed probe means not ready.
    """
    admin = setup.cluster.entries[name].admin_port
    try:
        return bool(
            _cluster.send_request(admin, 'GET', '/ready').status == 200
        )
    except (OSError, http.client.HTTPException):
        return False


def _send_load(setup: Any, stop: threading.Event, number: int) -> list[int]:
    """Send requests to ready entry instances until ``stop`` is set."""
    statuses = []
    count = 0
    while not stop.is_set():
        count += 1
        name = ('a1', 'a2', 'b1')[(count + number) % 3]
        if not _is_ready(setup, name):
            continue
        try:
            statuses.append(setup.send(name, f'load-{number}-{count}').status)
        except ConnectionRefusedError:
            # A load balancer would try another instance; nothing was sent.
            continue
    return statuses


def _restart(setup: Any, name: str, upstreams: Any) -> None:
    """Restart a daemon with open streams; check that they complete."""
    cluster = setup.cluster
    for upstream in upstreams:
        setup.hold(upstream, True)
    streams = [setup.open(name, f'{name}-{n}') for n in range(3)]
    process = cluster.daemons[name]
    process.popen.terminate()
    _cluster.wait_until(lambda: not _is_ready(setup, name), 'readiness is off')
    _cluster.wait_until(lambda: _refuses(setup, name), 'no new connections')
    assert process.popen.poll() is None
    for upstream in upstreams:
        setup.hold(upstream, False)
    assert all(stream.is_complete() for stream in streams)
    assert process.popen.wait(_cluster.STOP_TIMEOUT_S) == 0
    setup.start_daemon(name)
    cluster.wait_ready(name)
    _cluster.wait_until(lambda: setup.limits(name) == 8, 'slots are shared')


def test_rolling_restart_under_load(setup: Any) -> None:
    """A rolling restart must not cut off a stream or fail a request."""
    entries = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
    ups = {'up': 'a', 'long': 'a', 'other': 'b'}
    setup.start(entries, ups)
    cluster = setup.cluster
    stop = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        loads = [pool.submit(_send_load, setup, stop, n) for n in range(4)]
        try:
            _restart(setup, 'a1', ups)
            _restart(setup, 'a2', ups)
        finally:
            stop.set()
        statuses = [s for load in loads for s in load.result()]
    assert set(statuses) == {200}
    for upstream in cluster.upstreams:
        counts = cluster.counts(upstream)
        assert counts['max_running'] <= counts['slots']
        assert not counts['run_more_than_once']


def _refuses(setup: Any, name: str) -> bool:
    """Return whether an entry instance refuses connections."""
    try:
        setup.send(name, '')
    except ConnectionRefusedError:
        return True
    return False


def test_second_signal_stops_a_draining_daemon(setup: Any) -> None:
    """An operator must be able to stop a daemon that waits for a stream."""
    setup.start({'a1': 'a'}, {'up': 'a'})
    setup.hold('up', True)
    stream = setup.open('a1', 'stream')
    process = setup.cluster.daemons['a1']
    process.popen.terminate()
    _cluster.wait_until(lambda: _refuses(setup, 'a1'), 'the daemon drains')
    assert process.popen.poll() is None
    process.popen.terminate()
    assert process.popen.wait(_cluster.STOP_TIMEOUT_S) == 1
    assert not stream.is_complete()
    assert 'Shutdown does not wait on' in process.log.read_text()
