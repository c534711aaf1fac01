"""Test requests with idempotency keys while the store fails."""

from typing import Any

import pytest
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.idempotency import _task
import oriolestand_platform as platform
from oriolestand_policy import admission
from oriolestand_policy import tables


class Recorder(core.Task):
    """Records messages and replies to requests with a fixed value."""

    answer: Any = None

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.received: list[Any] = []

    def post(self, message: object) -> None:
        self.received.append(message)

    def ask(self, message: object) -> Any:
        self.received.append(message)
        return defer.succeed(self.answer)


class Store(core.Task):
    """Platform stub on a MemoryStore; ``faults`` apply to its next commits."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'platform')
        self.memory = platform.MemoryStore()
        self.faults: list[str] = []
        self.commits = 0

    @core.handles(store.ReadRow)
    def _on_read(self, msg: store.ReadRow) -> Any:
        return self.memory.read(msg.table, msg.key)

    @core.handles(store.Commit)
    def _on_commit(self, msg: store.Commit) -> Any:
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'down':
            raise platform.StoreUnavailableError('down')
        if fault == 'dropped':
            raise platform.StoreTimeoutError('lost before it took effect')
        self.commits += 1
        result = self.memory.commit(msg.transaction)
        if fault == 'lost':
            raise platform.StoreTimeoutError('lost after it took effect')
        return result


class IdempotencyHarness:
    """The service of one entry instance, with stubs of other services."""

    def __init__(self, memory: platform.MemoryStore | None = None) -> None:
        self.clock = core.ManualClock()
        self.kernel = core.Kernel(self.clock)
        self.store = Store(self.kernel)
        self.store.memory = memory or self.store.memory
        self.dispatch = Recorder(self.kernel, 'dispatch')
        self.caller = Recorder(self.kernel, 'caller')
        self.task = _task.IdempotencyTask(self.kernel)
        for task in (self.store, self.dispatch, self.task):
            self.kernel.register(task.name, task)

    def open(self, number: int, key: str = 'k', body: int = 0) -> None:
        """Open a request like the frontend."""
        head = exchange.RequestHead(
            request_id=self.kernel.ids.request_id(),
            method='POST',
            target='/',
            headers=(),
            route=tables.Route(name='r', pool='p'),
            generation=1,
            deadline=core.Millis(5_000),
            team='t',
            idempotency_key=key,
            body_length=body,
        )
        ticket = admission.Ticket(
            id=head.request_id,
            pool='p',
            team='t',
            kind=tables.Kind.SERVICE,
            priority=0,
            arrived=core.Millis(0),
            deadline=head.deadline,
        )
        caller = exchange.Endpoint(task=self.caller, xid=number)
        self.task.post(
            exchange.OpenExchange(head=head, ticket=ticket, caller=caller)
        )

    def run(self, number: int = 0) -> exchange.Endpoint:
        """Accept a request like the dispatch service; return its caller."""
        caller: exchange.Endpoint = self.dispatch.received[number].caller
        server = exchange.Endpoint(task=self.dispatch, xid=77)
        caller.post(exchange.ExchangeAccepted(xid=caller.xid, server=server))
        return caller

    def answer(self, caller: exchange.Endpoint, body: bytes) -> None:
        """Send a response to the caller."""
        xid = caller.xid
        caller.post(exchange.ResponseHead(xid=xid, status=201, headers=()))
        caller.post(exchange.ResponseChunk(xid=xid, data=body))
        caller.post(exchange.ResponseEnd(xid=xid))

    def errors(self) -> list[Any]:
        return [
            (m.error.code, m.error.verdict.value)
            for m in self.caller.received
            if isinstance(m, exchange.ExchangeFailed)
        ]


def test_repeat_at_another_instance_gets_the_stored_answer() -> None:
    """A caller whose entry instance died must not cause a second run."""
    first = IdempotencyHarness()
    first.open(1)
    first.answer(first.run(), b'body')
    second = IdempotencyHarness(first.store.memory)
    second.open(2)
    assert [type(m) for m in second.caller.received] == [
        exchange.ResponseHead,
        exchange.ResponseChunk,
        exchange.ResponseEnd,
    ]
    assert [m.data for m in second.caller.received if hasattr(m, 'data')] == [
        b'body'
    ]
    assert not second.dispatch.received


def test_repeat_with_another_body_is_refused() -> None:
    """The digest of the body must be checked before any response."""
    harness = IdempotencyHarness()
    harness.open(1, body=3)
    caller = harness.run()
    server = harness.caller.received[0].server
    server.post(exchange.BodyChunk(xid=server.xid, data=b'abc'))
    server.post(exchange.BodyEnd(xid=server.xid))
    harness.answer(caller, b'x' * 9_000)
    for number, body in ((2, b'abd'), (3, b'abc')):
        harness.open(number, body=3)
        server = harness.caller.received[-2].server
        server.post(exchange.BodyChunk(xid=server.xid, data=body))
        server.post(exchange.BodyEnd(xid=server.xid))
    assert harness.errors() == [
        ('key_reused', 'did_not_run'),
        ('duplicate_request', 'ran'),
    ]


def test_many_keys_share_one_transaction() -> None:
    """The store handles only several hundred writes per second in total."""
    harness = IdempotencyHarness()
    harness.kernel.run_queue._is_draining = True
    for number in range(50):
        harness.open(number, key=f'k{number}')
    harness.kernel.run_queue._is_draining = False
    harness.open(50, key='k50')
    assert len(harness.dispatch.received) == 51
    assert harness.store.commits <= 3


@pytest.mark.parametrize(
    ('faults', 'ran', 'code'),
    [
        (['lost'], 1, None),
        (['dropped'], 1, None),
        (['dropped', 'lost'], 1, None),
        (['down'], 0, 'store_unavailable'),
        (['dropped'] * 3, 0, 'store_unavailable'),
        (['lost', 'down', 'down'], 1, None),
    ],
)
def test_request_runs_only_if_its_key_is_recorded(
    faults: list[str], ran: int, code: str | None
) -> None:
    """A request must not run without a record, nor be refused after it ran."""
    harness = IdempotencyHarness()
    harness.store.faults = faults
    harness.open(1)
    harness.clock.advance(1_000)
    assert len(harness.dispatch.received) == ran
    assert harness.errors() == ([(code, 'did_not_run')] if code else [])
    # Once the store is available again, a refused request can be repeated.
    harness.clock.advance(5_000)
    harness.open(2)
    assert len(harness.dispatch.received) == 1


def test_cancelled_request_records_whether_it_may_have_run() -> None:
    """A request that was cancelled before it ran may be repeated."""
    harness = IdempotencyHarness()
    harness.open(1)
    ticket = harness.dispatch.received[0].ticket.id
    harness.dispatch.answer = True
    harness.task.post(exchange.CancelRequest(ticket_id=ticket))
    harness.open(2)
    opened = [
        m
        for m in harness.dispatch.received
        if isinstance(m, exchange.OpenExchange)
    ]
    assert len(opened) == 2
    harness.dispatch.answer = False
    harness.task.post(exchange.CancelRequest(ticket_id=opened[1].ticket.id))
    harness.open(3)
    assert harness.errors() == [('duplicate_request', 'may_have_run')]


def test_failed_request_is_recorded_by_its_verdict() -> None:
    """Only the verdict did_not_run allows another run."""
    harness = IdempotencyHarness()
    for number, (error, left) in enumerate(
        [
            (core.OriolestandError('no'), 2),
            (core.OriolestandError('?', core.Verdict.MAY_HAVE_RUN), 2),
        ]
    ):
        harness.open(number)
        caller = harness.dispatch.received[-1].caller
        caller.post(exchange.ExchangeFailed(xid=caller.xid, error=error))
        assert len(harness.dispatch.received) == number + 1 <= left
    harness.open(9)
    assert len(harness.dispatch.received) == 2
    assert harness.errors()[-1] == ('duplicate_request', 'may_have_run')
