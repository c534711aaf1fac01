"""Test the path of keyed requests with a store that fails."""

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
    """Keep messages; answer questions with a fixed value."""

    answer: Any = None

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.seen: list[Any] = []

    def post(self, message: object) -> None:
        self.seen.append(message)

    def ask(self, message: object) -> Any:
        self.seen.append(message)
        return defer.succeed(self.answer)


class Store(core.Task):
    """Serve a MemoryStore with faults for the next transactions."""

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


class Bench:
    """Hold the service of one entry instance and its neighbours."""

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
        """Open a request as the frontend does."""
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
        """Accept the request that dispatch got; return the caller's side."""
        caller: exchange.Endpoint = self.dispatch.seen[number].caller
        server = exchange.Endpoint(task=self.dispatch, xid=77)
        caller.post(exchange.ExchangeAccepted(xid=caller.xid, server=server))
        return caller

    def answer(self, caller: exchange.Endpoint, body: bytes) -> None:
        """Answer a request."""
        xid = caller.xid
        caller.post(exchange.ResponseHead(xid=xid, status=201, headers=()))
        caller.post(exchange.ResponseChunk(xid=xid, data=body))
        caller.post(exchange.ResponseEnd(xid=xid))

    def errors(self) -> list[Any]:
        return [
            (m.error.code, m.error.verdict.value)
            for m in self.caller.seen
            if isinstance(m, exchange.ExchangeFailed)
        ]


def test_a_repeat_gets_the_stored_answer_of_another_instance() -> None:
    """A caller whose entry instance died must not cause a second run."""
    first = Bench()
    first.open(1)
    first.answer(first.run(), b'body')
    second = Bench(first.store.memory)
    second.open(2)
    assert [type(m) for m in second.caller.seen] == [
        exchange.ResponseHead,
        exchange.ResponseChunk,
        exchange.ResponseEnd,
    ]
    assert [m.data for m in second.caller.seen if hasattr(m, 'data')] == [
        b'body'
    ]
    assert not second.dispatch.seen


def test_a_repeat_with_another_body_is_refused() -> None:
    """The digest is checked before a stored answer is sent."""
    bench = Bench()
    bench.open(1, body=3)
    caller = bench.run()
    server = bench.caller.seen[0].server
    server.post(exchange.BodyChunk(xid=server.xid, data=b'abc'))
    server.post(exchange.BodyEnd(xid=server.xid))
    bench.answer(caller, b'x' * 9_000)
    for number, body in ((2, b'abd'), (3, b'abc')):
        bench.open(number, body=3)
        server = bench.caller.seen[-2].server
        server.post(exchange.BodyChunk(xid=server.xid, data=body))
        server.post(exchange.BodyEnd(xid=server.xid))
    assert bench.errors() == [
        ('key_reused', 'did_not_run'),
        ('duplicate_request', 'ran'),
    ]


def test_many_keys_share_one_transaction() -> None:
    """The store takes several hundred writes per second in all."""
    bench = Bench()
    bench.kernel.run_queue._is_draining = True
    for number in range(50):
        bench.open(number, key=f'k{number}')
    bench.kernel.run_queue._is_draining = False
    bench.open(50, key='k50')
    assert len(bench.dispatch.seen) == 51
    assert bench.store.commits <= 3


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
def test_a_request_runs_only_when_its_key_is_recorded(
    faults: list[str], ran: int, code: str | None
) -> None:
    """Running unguarded, or refusing what ran, would break promises."""
    bench = Bench()
    bench.store.faults = faults
    bench.open(1)
    bench.clock.advance(1_000)
    assert len(bench.dispatch.seen) == ran
    assert bench.errors() == ([(code, 'did_not_run')] if code else [])
    # A repeat after a refusal runs, once the store is back.
    bench.clock.advance(5_000)
    bench.open(2)
    assert len(bench.dispatch.seen) == 1


def test_a_cancelled_request_leaves_a_true_row() -> None:
    """A caller that left before the request ran may repeat it."""
    bench = Bench()
    bench.open(1)
    ticket = bench.dispatch.seen[0].ticket.id
    bench.dispatch.answer = True
    bench.task.post(exchange.CancelRequest(ticket_id=ticket))
    bench.open(2)
    opened = [
        m for m in bench.dispatch.seen if isinstance(m, exchange.OpenExchange)
    ]
    assert len(opened) == 2
    bench.dispatch.answer = False
    bench.task.post(exchange.CancelRequest(ticket_id=opened[1].ticket.id))
    bench.open(3)
    assert bench.errors() == [('duplicate_request', 'may_have_run')]


def test_a_failed_request_is_recorded_by_its_verdict() -> None:
    """Only did_not_run allows another run."""
    bench = Bench()
    for number, (error, left) in enumerate(
        [
            (core.OriolestandError('no'), 2),
            (core.OriolestandError('?', core.Verdict.MAY_HAVE_RUN), 2),
        ]
    ):
        bench.open(number)
        caller = bench.dispatch.seen[-1].caller
        caller.post(exchange.ExchangeFailed(xid=caller.xid, error=error))
        assert len(bench.dispatch.seen) == number + 1 <= left
    bench.open(9)
    assert len(bench.dispatch.seen) == 2
    assert bench.errors()[-1] == ('duplicate_request', 'may_have_run')
