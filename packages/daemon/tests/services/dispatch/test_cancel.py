"""Test the dispatch service when a caller disconnects."""

import random
from typing import Any

import pytest

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import peers
from oriolestand_daemon.services.dispatch import _task
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import placement
from oriolestand_policy import tables

POOL = tables.Pool(
    name='main',
    upstreams=(
        tables.Upstream(address='10.0.0.1:80', failure_domain='d'),
        tables.Upstream(address='10.0.0.2:80', failure_domain='d'),
    ),
)
ROUTE = tables.Route(name='all', pool='main')


class Recorder(core.Task):
    """Records the messages sent to a service."""

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.received: list[Any] = []
        kernel.register(name, self)

    @core.handles(exchange.StartExchange)
    @core.handles(exchange.CancelAttempt)
    @core.handles(exchange.ExchangeFailed)
    @core.handles(peers.Broadcast)
    def _on_any(self, msg: object) -> None:
        self.received.append(msg)


@pytest.mark.parametrize('is_final', [False, True])
def test_cancel_reaches_the_attempt(is_final: bool) -> None:
    """A final outcome must free the slot; any other may be retried."""
    kernel = core.Kernel(core.ManualClock(), core.IdSource(1))
    upstreams = Recorder(kernel, 'upstreams')
    Recorder(kernel, 'peers')
    frontend = Recorder(kernel, 'frontend')
    task = _task.DispatchTask(
        kernel,
        dispatching.Dispatcher(
            placement.TwoChoicesPlacement(random.Random(1)),
            admission.FifoQueue,
        ),
    )
    task.start()
    generation = tables.Tables(
        version=1, routes=(ROUTE,), pools={'main': POOL}
    )
    kernel.publish(config.TablesChanged(tables=generation, document=b''))
    kernel.publish(
        grants.GrantsChanged(
            slots={'10.0.0.1:80': 2, '10.0.0.2:80': 2}, horizon_ms={}
        )
    )
    ticket = admission.Ticket(
        id='t',
        pool='main',
        team='x',
        kind=ROUTE.kind,
        priority=0,
        arrived=core.Millis(0),
        deadline=core.Millis(900),
    )
    head = exchange.RequestHead(
        request_id='t',
        method='GET',
        target='/',
        headers=(),
        route=ROUTE,
        generation=1,
        deadline=ticket.deadline,
        team='x',
    )
    caller = exchange.Endpoint(task=frontend, xid=1)
    task.post(exchange.OpenExchange(head=head, ticket=ticket, caller=caller))
    task.post(exchange.CancelRequest(ticket_id='t'))
    assert isinstance(upstreams.received[-1], exchange.CancelAttempt)
    outcome = dispatching.Outcome(
        verdict=core.Verdict.DID_NOT_RUN,
        error=core.NotReadyError('left'),
        is_final=is_final,
    )
    task.post(dispatch.AttemptFinished(ticket_id='t', outcome=outcome))
    starts = [
        m for m in upstreams.received if type(m) is exchange.StartExchange
    ]
    assert len(starts) == (1 if is_final else 2)
    assert len(frontend.received) == is_final
    slots: list[Any] = []
    task.ask(dispatch.GetSlotsInUse()).addCallback(lambda r: slots.append(r))
    assert sum(slots[0].values()) == (0 if is_final else 1)
