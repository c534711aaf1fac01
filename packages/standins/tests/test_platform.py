"""Test the platform's stand-in and its faults through the real client."""

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


class World:
    """Connect a client and the stand-in through memory."""

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
        """Return the result of a call, in virtual time."""
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

    def settle(self, seconds: float) -> None:
        """Let the stand-in do what it does late."""
        self.reactor.advance(seconds)

    def _connect(self) -> None:
        for _, _, factory, _, _ in self.reactor.tcpClients:
            ends = []
            for maker in (factory, self.site):
                protocol = maker.buildProtocol(None)
                transport: Any = testing.StringTransport()
                protocol.makeConnection(transport)
                ends.append((protocol, transport))
            self._pairs.append((ends[0], ends[1]))
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
def world() -> World:
    return World()


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


def test_rows_and_objects_survive_the_protocol(world: World) -> None:
    """Keys and values must come back as they were written."""
    put = platform.Put(table='t', key='a/b c?%2F', value={'n': [1, 'å']})
    tx = platform.Transaction(request_id='1', puts=(put,))
    assert world.run(world.client.commit(tx)).applied
    row = world.run(world.client.read('t', 'a/b c?%2F'))
    assert row.value == put.value
    assert world.run(world.client.scan('t', 'a/')) == (row,)
    assert world.run(world.client.read('t', 'none')) is None
    world.run(world.client.write_object('o/1', b'\x00\xff'))
    assert world.run(world.client.read_object('o/1')) == b'\x00\xff'
    assert world.run(world.client.read_object('o/2')) is None


def test_store_down_did_nothing(world: World) -> None:
    """A refusal must not leave a write in doubt."""
    world.site.faults.is_down = True
    for work in (world.client.commit(TX), world.client.read('t', 'k')):
        with pytest.raises(platform.StoreUnavailableError) as caught:
            world.run(work)
        assert caught.value.verdict is core.Verdict.DID_NOT_RUN
    assert world.site.store.read('t', 'k') is None


def test_failing_writes_leave_reads_working(world: World) -> None:
    """A daemon must be testable with a store that only reads."""
    world.site.faults.fails_writes = True
    for work in (world.client.commit(TX), world.client.write_object('o', b'')):
        with pytest.raises(platform.StoreUnavailableError) as caught:
            world.run(work)
        assert caught.value.verdict is core.Verdict.DID_NOT_RUN
    assert world.run(world.client.read('t', 'k')) is None


def test_slow_store_may_apply_a_write_after_the_time_out(
    world: World,
) -> None:
    """A time-out must not be taken for a failure of the write."""
    world.site.faults.delay_ms = 1_500
    with pytest.raises(platform.StoreTimeoutError) as caught:
        world.run(world.client.commit(TX))
    assert caught.value.verdict is core.Verdict.MAY_HAVE_RUN
    assert world.site.store.read('t', 'k') is None
    world.settle(1.5)
    assert world.site.store.read('t', 'k') is not None


def test_lost_answer_comes_after_the_change(world: World) -> None:
    """The write took effect, so the verdict must leave that open."""
    world.site.faults.loses_answers = True
    with pytest.raises(platform.StoreTimeoutError) as caught:
        world.run(world.client.commit(TX))
    assert caught.value.verdict is core.Verdict.MAY_HAVE_RUN
    assert world.site.store.read('t', 'k') is not None
    world.site.faults.loses_answers = False
    assert world.run(world.client.commit(TX)).applied


def test_list_lags_and_freezes(world: World) -> None:
    """A lagging list must show the past and say from when it is."""
    world.site.set_instance(_entry('a'))
    world.now_ms += 500
    world.site.set_instance(_entry('b'))
    world.site.faults.list_lag_ms = 300
    listed = world.run(world.client.list_instances())
    assert (_ids(listed), listed.as_of_ms) == (['a'], world.now_ms - 300)
    world.site.faults.list_lag_ms = 0
    world.site.faults.is_list_frozen = True
    assert _ids(world.run(world.client.list_instances())) == ['a', 'b']
    world.site.set_instance(_entry('c'))
    assert _ids(world.run(world.client.list_instances())) == ['a', 'b']
    world.site.faults.is_list_frozen = False
    assert _ids(world.run(world.client.list_instances())) == ['a', 'b', 'c']


def test_unknown_fault_is_refused() -> None:
    """A misspelt switch must not pass as a run without the fault."""
    with pytest.raises(ValueError, match='is_dwon'):
        _platform.PlatformFaults.model_validate_json(
            json.dumps({'is_dwon': True})
        )
