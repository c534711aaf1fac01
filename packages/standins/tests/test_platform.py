"""Test the stand-in for the platform and its faults with the real client."""

from collections.abc import Coroutine
import json
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

import oriolestand_core as core
import oriolestand_platform as platform
from oriolestand_standins import _platform

STEP_S = 0.1
PUT = platform.Put(table='t', key='k', value={'n': 1})
TX = platform.Transaction(request_id='1', puts=(PUT,))


class PlatformHarness:
    """Connects a client and the stand-in in memory."""

    def __init__(self) -> None:
        self.reactor: Any = testing.MemoryReactorClock()
        self.site = _platform.PlatformSite(self.reactor)
        self.now_ms = 1_000_000
        setattr(self.site, 'wall_ms', lambda: self.now_ms)  # noqa: B010
        self.client = platform.HttpPlatform(
            self.reactor, 'http://127.0.0.1:7000'
        )
        self._pairs: list[tuple[Any, Any]] = []

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a call in virtual time and return its result."""
        results: list[Any] = []
        fut = defer.ensureDeferred(work)
        fut.addBoth(results.append)
        for _ in range(100):
            self._connect()
            for client, server in list(self._pairs):
                self._pump(client, server)
            if results:
                break
            self.reactor.advance(STEP_S)
        if isinstance(results[0], failure.Failure):
            results[0].raiseException()
        return results[0]

    def advance(self, seconds: float) -> None:
        """Advance the clock so that the stand-in does delayed work."""
        self.reactor.advance(seconds)

    def _connect(self) -> None:
        for _, _, factory, _, _ in self.reactor.tcpClients:
            endpoints = []
            for protocol_factory in (factory, self.site):
                protocol = protocol_factory.buildProtocol(None)
                transport: Any = testing.StringTransport()
                protocol.makeConnection(transport)
                endpoints.append((protocol, transport))
            self._pairs.append((endpoints[0], endpoints[1]))
        self.reactor.tcpClients.clear()

    def _pump(self, client: Any, server: Any) -> None:
        for (_, source), (target, _) in ((client, server), (server, client)):
            data = source.value()
            source.clear()
            if data:
                target.dataReceived(data)
        if client[1].disconnecting or server[1].disconnecting:
            for protocol, _ in (client, server):
                lost = failure.Failure(error.ConnectionLost())
                protocol.connectionLost(lost)
            self._pairs.remove((client, server))


@pytest.fixture
def harness() -> PlatformHarness:
    return PlatformHarness()


def _entry(name: str) -> platform.InstanceEntry:
    return platform.InstanceEntry(
        id=name,
        role=platform.InstanceRole.ENTRY,
        state=platform.InstanceState.LIVE,
        address='127.0.0.1:1',
        failure_domain='a',
    )


def _ids(listed: platform.InstanceList) -> list[str]:
    return [entry.id for entry in listed.instances]


def test_rows_and_objects_round_trip(harness: PlatformHarness) -> None:
    """Keys and values must be read back as they were written."""
    put = platform.Put(table='t', key='a/b c?%2F', value={'n': [1, 'å']})
    tx = platform.Transaction(request_id='1', puts=(put,))
    assert harness.run(harness.client.commit(tx)).applied
    row = harness.run(harness.client.read('t', 'a/b c?%2F'))
    assert row.value == put.value
    assert harness.run(harness.client.scan('t', 'a/')) == (row,)
    assert harness.run(harness.client.read('t', 'none')) is None
    harness.run(harness.client.write_object('o/1', b'\x00\xff'))
    assert harness.run(harness.client.read_object('o/1')) == b'\x00\xff'
    assert harness.run(harness.client.read_object('o/2')) is None


def test_unavailable_store_applies_nothing(harness: PlatformHarness) -> None:
    """A refused write must be reported as not run."""
    harness.site.faults.is_down = True
    for work in (harness.client.commit(TX), harness.client.read('t', 'k')):
        with pytest.raises(platform.StoreUnavailableError) as caught:
            harness.run(work)
        assert caught.value.verdict is core.Verdict.DID_NOT_RUN
    assert harness.site.store.read('t', 'k') is None


def test_failing_writes_keep_reads_working(harness: PlatformHarness) -> None:
    """Tests of daemons need a store that refuses writes but answers reads."""
    harness.site.faults.fails_writes = True
    for work in (
        harness.client.commit(TX),
        harness.client.write_object('o', b''),
    ):
        with pytest.raises(platform.StoreUnavailableError) as caught:
            harness.run(work)
        assert caught.value.verdict is core.Verdict.DID_NOT_RUN
    assert harness.run(harness.client.read('t', 'k')) is None


def test_slow_store_may_apply_a_write_after_the_time_out(
    harness: PlatformHarness,
) -> None:
    """A time-out must not be reported as a failed write."""
    harness.site.faults.delay_ms = 1_500
    with pytest.raises(platform.StoreTimeoutError) as caught:
        harness.run(harness.client.commit(TX))
    assert caught.value.verdict is core.Verdict.MAY_HAVE_RUN
    assert harness.site.store.read('t', 'k') is None
    harness.advance(1.5)
    assert harness.site.store.read('t', 'k') is not None


def test_lost_answer_follows_an_applied_write(
    harness: PlatformHarness,
) -> None:
    """The write may have taken effect, so the verdict must be may have run."""
    harness.site.faults.loses_answers = True
    with pytest.raises(platform.StoreTimeoutError) as caught:
        harness.run(harness.client.commit(TX))
    assert caught.value.verdict is core.Verdict.MAY_HAVE_RUN
    assert harness.site.store.read('t', 'k') is not None
    harness.site.faults.loses_answers = False
    assert harness.run(harness.client.commit(TX)).applied


def test_list_lags_and_freezes(harness: PlatformHarness) -> None:
    """A lagging list must have the past entries and their time."""
    harness.site.set_instance(_entry('a'))
    harness.now_ms += 500
    harness.site.set_instance(_entry('b'))
    harness.site.faults.list_lag_ms = 300
    listed = harness.run(harness.client.list_instances())
    assert (_ids(listed), listed.as_of_ms) == (['a'], harness.now_ms - 300)
    harness.site.faults.list_lag_ms = 0
    harness.site.faults.is_list_frozen = True
    assert _ids(harness.run(harness.client.list_instances())) == ['a', 'b']
    harness.site.set_instance(_entry('c'))
    assert _ids(harness.run(harness.client.list_instances())) == ['a', 'b']
    harness.site.faults.is_list_frozen = False
    assert _ids(harness.run(harness.client.list_instances())) == [
        'a',
        'b',
        'c',
    ]


def test_unknown_fault_is_refused() -> None:
    """A misspelt fault must not be accepted as a run without faults."""
    with pytest.raises(ValueError, match='is_dwon'):
        _platform.PlatformFaults.model_validate_json(
            json.dumps({'is_dwon': True})
        )
