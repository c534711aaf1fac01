"""Test the throttling of batch tasks that slow services down."""

import random

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import grants
from oriolestand_daemon.services.dispatch import _task
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import placement
from oriolestand_policy import tables

ROUTE = tables.Route(name='quick', pool='p')
BASELINE_MS = 10
SLOW_MS = 20


class UpstreamsStub(core.Task):
    """Stub of the upstreams service with a latency per upstream."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'upstreams')
        self.latency_ms: dict[str, int] = {}

    @core.handles(exchange.StartExchange)
    def _on_start(self, msg: exchange.StartExchange) -> None:
        latency_ms = self.latency_ms.get(msg.target, BASELINE_MS)
        self.kernel.clock.call_later(
            latency_ms,
            lambda: self.kernel.post(
                'dispatch',
                dispatch.AttemptFinished(
                    ticket_id=msg.ticket_id,
                    outcome=dispatching.Outcome(
                        verdict=core.Verdict.RAN, latency_ms=latency_ms
                    ),
                ),
            ),
        )


class PeersStub(core.Task):
    """Peers stub that also records throttled tasks."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'peers')
        self.throttled: list[str] = []
        kernel.subscribe(dispatch.ThrottleRequested, self)

    @core.handles(dispatch.ThrottleRequested)
    def _on_throttle(self, msg: dispatch.ThrottleRequested) -> None:
        if msg.is_on:
            self.throttled.append(msg.key)


def _submit(kernel: core.Kernel, peers: PeersStub, name: str) -> None:
    """Submit one service request."""
    now = kernel.clock.now()
    deadline = core.Millis(now + 5_000)
    head = exchange.RequestHead(
        request_id=name,
        method='GET',
        target='/',
        headers=(),
        route=ROUTE,
        generation=1,
        deadline=deadline,
        team='t',
    )
    ticket = admission.Ticket(
        id=name,
        pool='p',
        team='t',
        kind=tables.Kind.SERVICE,
        priority=0,
        arrived=now,
        deadline=deadline,
    )
    caller = exchange.Endpoint(task=peers, xid=1)
    kernel.post(
        'dispatch',
        exchange.OpenExchange(head=head, ticket=ticket, caller=caller),
    )


def test_task_that_slows_services_is_throttled() -> None:
    """Slowdown reports must reach the policy, else services stay slow."""
    clock = core.ManualClock()
    kernel = core.Kernel(clock, core.IdSource(seed=1))
    upstreams = UpstreamsStub(kernel)
    peers = PeersStub(kernel)
    kernel.register('upstreams', upstreams)
    kernel.register('peers', peers)
    dispatcher = dispatching.Dispatcher(
        placement.TwoChoicesPlacement(random.Random(1)), admission.FairQueue
    )
    task = _task.DispatchTask(kernel, dispatcher)
    kernel.register('dispatch', task)
    task.start()
    pool_upstreams = tuple(
        tables.Upstream(address=a, failure_domain='a') for a in ('u1', 'u2')
    )
    pool = tables.Pool(name='p', upstreams=pool_upstreams)
    generation = tables.Tables(version=1, routes=(ROUTE,), pools={'p': pool})
    kernel.publish(config.TablesChanged(tables=generation, document=b''))
    slots = {'u1': 8, 'u2': 8}
    horizons = dict.fromkeys(slots, 60_000)
    kernel.publish(grants.GrantsChanged(slots=slots, horizon_ms=horizons))
    for index in range(100):
        _submit(kernel, peers, f'calm-{index}')
        clock.advance(BASELINE_MS)
    reserve = dispatch.ReserveSlots(
        key='k', pool='p', slots=1, team='noisy', priority=0
    )
    placed: list[dispatching.Reservation] = []
    kernel.ask('dispatch', reserve).addCallback(placed.append)
    upstreams.latency_ms[placed[0].address] = SLOW_MS
    for index in range(1_500):
        _submit(kernel, peers, f'slow-{index}')
        clock.advance(BASELINE_MS)
    assert peers.throttled == ['k']
