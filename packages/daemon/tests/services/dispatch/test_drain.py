"""Test dispatch when this daemon, a peer or an upstream leaves."""

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
    """Keep the messages to the services around dispatch."""

    def __init__(self, kernel: core.Kernel, name: str) -> None:
        super().__init__(kernel, name)
        self.seen: list[Any] = []
        kernel.register(name, self)

    def post(self, message: object) -> None:
        self.seen.append(message)


class Bench:
    """Run dispatch on a virtual clock with one upstream of two slots."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.kernel = core.Kernel(self.clock, core.IdSource(1))
        self.upstreams = Recorder(self.kernel, 'upstreams')
        self.peers = Recorder(self.kernel, 'peers')
        self.caller = Recorder(self.kernel, 'frontend')
        choice = placement.TwoChoicesPlacement(random.Random(1))
        self.task = _task.DispatchTask(
            self.kernel, dispatching.Dispatcher(choice, admission.FifoQueue)
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
        """Return the free slots that were advertised."""
        return [m.message.pools[0].free for m in self.peers.seen]


@pytest.fixture
def bench() -> Bench:
    return Bench()


def test_a_leaving_upstream_gets_nothing_until_it_is_back(
    bench: Bench,
) -> None:
    """A grant that comes after the signal must not void it."""
    state = membership.MembershipChanged(
        instances=(),
        live_peers=frozenset(),
        gone_instances=frozenset(),
        leaving_upstreams=frozenset({ADDRESS}),
    )
    bench.kernel.publish(state)
    bench.configure()
    bench.open('t')
    assert not bench.upstreams.seen
    bench.kernel.publish(
        dataclasses.replace(state, leaving_upstreams=frozenset())
    )
    bench.clock.advance(100)
    assert [m.target for m in bench.upstreams.seen] == [ADDRESS]
    bench.kernel.publish(membership.UpstreamLeaving(address=ADDRESS))
    bench.open('u')
    assert len(bench.upstreams.seen) == 1


def test_peers_hear_of_slots_that_are_free_again(bench: Bench) -> None:
    """Peers count down what they send; without news they would stop."""
    bench.configure()
    bench.clock.advance(400)
    assert bench.loads() == [2]
    bench.open('t', hops=1)
    bench.finish('t')
    bench.clock.advance(400)
    assert bench.loads() == [2, 2]


def test_the_load_of_a_pool_to_come_is_kept(bench: Bench) -> None:
    """A peer advertises only changes, which may precede the tables."""
    load = wire.PoolLoad(pool='main', free=3, queued=0, latency_ms=0)
    bench.kernel.publish(
        peers.PeerLoadChanged(peer='p', distance=0, pools=(load,))
    )
    bench.configure()
    for name in ('t', 'u', 'v'):
        bench.open(name)
    assert [m.target for m in bench.peers.seen if hasattr(m, 'target')] == [
        'p'
    ]


def test_a_drain_waits_for_requests_and_held_slots(bench: Bench) -> None:
    """A slot must not be released while its request may still run."""
    bench.configure()
    for name in ('t', 'u', 'queued'):
        bench.open(name)
    bench.kernel.publish(lifecycle.ShutdownStarted())
    assert bench.loads()[-1] == 0
    bench.open('forwarded', hops=1)
    assert isinstance(bench.caller.seen[-1], exchange.ExchangeFailed)
    ended = bench.task.ask(dispatch.DrainRequests())
    bench.finish('t')
    bench.finish('queued')
    bench.clock.advance(100)
    assert not ended.called
    bench.finish('u', held_until=500)
    bench.clock.advance(300)
    assert not ended.called
    bench.clock.advance(200)
    assert ended.called
