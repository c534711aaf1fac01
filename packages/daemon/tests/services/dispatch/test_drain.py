"""Test the dispatch service when this daemon or an upstream leaves.

Also covers the loads that peers exchange.
"""

import dataclasses
import random
from typing import Any

import pytest

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import lifecycle
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import peers
from oriolestand_daemon.services.dispatch import _task
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import placement
from oriolestand_policy import tables
import oriolestand_wire as wire

ADDRESS = '10.0.0.1:80'
ROUTE = tables.Route(name='all', pool='main')
TICKET = admission.Ticket(
    id='t',
    pool='main',
    team='x',
    kind=ROUTE.kind,
    priority=0,
    arrived=core.Millis(0),
    deadline=core.Millis(9_000),
)


class Recorder(core.Task):
    """Records the messages sent to a service."""

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.received: list[Any] = []
        kernel.register(name, self)

    def post(self, message: object) -> None:
        self.received.append(message)


class DispatchHarness:
    """The dispatch service on a virtual clock, one upstream of two slots."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.kernel = core.Kernel(self.clock, core.IdSource(1))
        self.upstreams = Recorder(self.kernel, 'upstreams')
        self.peers = Recorder(self.kernel, 'peers')
        self.caller = Recorder(self.kernel, 'frontend')
        placement_policy = placement.TwoChoicesPlacement(random.Random(1))
        self.task = _task.DispatchTask(
            self.kernel,
            dispatching.Dispatcher(placement_policy, admission.FifoQueue),
        )
        self.task.start()

    def configure(self) -> None:
        upstream = tables.Upstream(address=ADDRESS, failure_domain='d')
        pool = tables.Pool(name='main', upstreams=(upstream,))
        generation = tables.Tables(
            version=1, routes=(ROUTE,), pools={'main': pool}
        )
        self.kernel.publish(
            config.TablesChanged(tables=generation, document=b'')
        )
        self.kernel.publish(
            grants.GrantsChanged(slots={ADDRESS: 2}, horizon_ms={})
        )

    def open(self, name: str, hops: int = 0) -> None:
        head = exchange.RequestHead(
            request_id=name,
            method='GET',
            target='/',
            headers=(),
            route=ROUTE,
            generation=1,
            deadline=TICKET.deadline,
            team='x',
        )
        ticket = dataclasses.replace(TICKET, id=name, hops=hops)
        caller = exchange.Endpoint(task=self.caller, xid=1)
        self.task.post(
            exchange.OpenExchange(head=head, ticket=ticket, caller=caller)
        )

    def finish(self, name: str, held_until: int | None = None) -> None:
        error = core.OriolestandError('cut', core.Verdict.MAY_HAVE_RUN)
        outcome = dispatching.Outcome(
            verdict=core.Verdict.RAN if held_until is None else error.verdict,
            error=None if held_until is None else error,
            is_final=True,
            slot_held_until=None
            if held_until is None
            else core.Millis(held_until),
        )
        self.task.post(
            dispatch.AttemptFinished(ticket_id=name, outcome=outcome)
        )

    def loads(self) -> list[int]:
        """Return the advertised numbers of free slots."""
        return [m.message.pools[0].free for m in self.peers.received]


@pytest.fixture
def harness() -> DispatchHarness:
    return DispatchHarness()


def test_leaving_upstream_gets_no_requests_until_it_is_live_again(
    harness: DispatchHarness,
) -> None:
    """A grant that arrives after the signal must not override it."""
    state = membership.MembershipChanged(
        instances=(),
        live_peers=frozenset(),
        gone_instances=frozenset(),
        leaving_upstreams=frozenset({ADDRESS}),
    )
    harness.kernel.publish(state)
    harness.configure()
    harness.open('t')
    assert not harness.upstreams.received
    harness.kernel.publish(
        dataclasses.replace(state, leaving_upstreams=frozenset())
    )
    harness.clock.advance(100)
    assert [m.target for m in harness.upstreams.received] == [ADDRESS]
    harness.kernel.publish(membership.UpstreamLeaving(address=ADDRESS))
    harness.open('u')
    assert len(harness.upstreams.received) == 1


def test_freed_slots_are_advertised_again(harness: DispatchHarness) -> None:
    """Without an update, peers count free slots down to zero and stop."""
    harness.configure()
    harness.clock.advance(400)
    assert harness.loads() == [2]
    harness.open('t', hops=1)
    harness.finish('t')
    harness.clock.advance(400)
    assert harness.loads() == [2, 2]


def test_peer_load_of_a_pool_not_yet_configured_is_kept(
    harness: DispatchHarness,
) -> None:
    """A peer advertises only changes, possibly before the tables arrive."""
    load = wire.PoolLoad(pool='main', free=3, queued=0, latency_ms=0)
    harness.kernel.publish(
        peers.PeerLoadChanged(peer='p', distance=0, pools=(load,))
    )
    harness.configure()
    for name in ('t', 'u', 'v'):
        harness.open(name)
    assert [
        m.target for m in harness.peers.received if hasattr(m, 'target')
    ] == ['p']


def test_drain_waits_for_requests_and_held_slots(
    harness: DispatchHarness,
) -> None:
    """A slot must stay held while its request may still run upstream."""
    harness.configure()
    for name in ('t', 'u', 'queued'):
        harness.open(name)
    harness.kernel.publish(lifecycle.ShutdownStarted())
    assert harness.loads()[-1] == 0
    harness.open('forwarded', hops=1)
    assert isinstance(harness.caller.received[-1], exchange.ExchangeFailed)
    ended = harness.task.ask(dispatch.DrainRequests())
    harness.finish('t')
    harness.finish('queued')
    harness.clock.advance(100)
    assert not ended.called
    harness.finish('u', held_until=500)
    harness.clock.advance(300)
    assert not ended.called
    harness.clock.advance(200)
    assert ended.called
