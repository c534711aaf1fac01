"""Test that forwarded requests get their own, complete responses."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
import oriolestand_wire as wire

HEAD = {'status': 200, 'headers': (('Content-Length', '4'),)}


def _pair(net: Any) -> tuple[Any, Any, Any, Any]:
    """Return two daemons and both ends of an active link."""
    left, right = net.add_daemon('a'), net.add_daemon('b')
    ends = net.connect(left, right)
    net.deliver_all()
    return left, right, *ends


def _accept(daemon: Any, number: int, xid: int) -> exchange.Endpoint:
    """Accept a forwarded request; return the endpoint of its caller."""
    caller: exchange.Endpoint = daemon.nth_open_message(number).caller
    server = exchange.Endpoint(task=daemon.caller, xid=xid)
    caller.post(exchange.ExchangeAccepted(xid=caller.xid, server=server))
    return caller


@given(order=st.permutations([0, 1, 2]), cut=st.integers(0, 400))
def test_responses_reach_their_own_callers(
    make_net: Any, order: list[int], cut: int
) -> None:
    """Responses must not be mixed up, nor look complete when truncated.

    They are sent in any order, and the link is lost after any byte.
    """
    net = make_net()
    left, right, _, end = _pair(net)
    for number in range(3):
        left.forward('b', number)
    net.deliver_all()
    for number in order:
        caller = _accept(right, number, number)
        caller.post(exchange.ResponseHead(xid=caller.xid, **HEAD))
        data = b'own%d' % number
        caller.post(exchange.ResponseChunk(xid=caller.xid, data=data))
        caller.post(exchange.ResponseEnd(xid=caller.xid))
    return_transport = net.transports[1]
    whole_size = len(return_transport.buffer)
    return_transport.deliver(cut)
    return_transport.buffer = b''
    return_transport.abortConnection()
    chunks = {
        m.xid: m.data for m in left.caller.of_type(exchange.ResponseChunk)
    }
    ended = {m.xid for m in left.caller.of_type(exchange.ResponseEnd)}
    assert all(data == b'own%d' % xid for xid, data in chunks.items())
    assert ended <= chunks.keys()
    if cut >= whole_size:
        assert ended == {0, 1, 2}
    outcomes = left.outcomes()
    assert len(outcomes) == 3
    for number in range(3):
        is_whole = outcomes[f't{number}'].verdict is core.Verdict.RAN
        assert is_whole == (number in ended)


def test_response_shorter_than_its_declared_length_fails(net: Any) -> None:
    """A response that ends early must not look complete."""
    left, right, _, _ = _pair(net)
    left.forward('b', 1)
    net.deliver_all()
    caller = _accept(right, 0, 7)
    caller.post(exchange.ResponseHead(xid=caller.xid, **HEAD))
    caller.post(exchange.ResponseChunk(xid=caller.xid, data=b'abc'))
    caller.post(exchange.ResponseEnd(xid=caller.xid))
    net.deliver_all()
    assert not left.caller.of_type(exchange.ResponseEnd)
    outcome = left.outcomes()['t1']
    assert outcome.verdict is core.Verdict.MAY_HAVE_RUN
    assert outcome.answered


def test_late_messages_of_ended_exchanges_are_dropped(net: Any) -> None:
    """After a cancel, the rest of a response must not be delivered."""
    left, right, _, _ = _pair(net)
    left.forward('b', 1)
    net.deliver_all()
    caller = _accept(right, 0, 7)
    net.deliver_all()
    server = left.caller.of_type(exchange.ExchangeAccepted)[0].server
    caller.post(exchange.ResponseHead(xid=caller.xid, **HEAD))
    server.post(exchange.Cancel(xid=server.xid))
    assert left.outcomes()['t1'].error.code == 'caller_left'
    left.forward('b', 2)
    net.deliver_all()
    assert not left.caller.of_type(exchange.ResponseHead)
    assert [m.xid for m in right.caller.of_type(exchange.Cancel)] == [7]
    assert right.nth_open_message(1).caller.xid > caller.xid
    assert len(left.outcomes()) == 1


def test_requests_are_forwarded_at_most_once(net: Any) -> None:
    """A forwarded request must not be forwarded again."""
    left, right, link, _ = _pair(net)
    left.forward('b', 1, hops=1)
    assert left.outcomes()['t1'].error.code == 'hop_limit'
    left.forward('b', 2)
    net.deliver_all()
    assert right.nth_open_message(0).ticket.hops == 1
    link.send(_open(xid=99, hops=2))
    net.deliver_all()
    assert len(right.dispatch.received) == 1


def _open(xid: int, **changes: Any) -> wire.Open:
    """Return the message that opens an exchange."""
    values: dict[str, Any] = {
        'request_id': 'r',
        'method': 'GET',
        'target': '/',
        'headers': (),
        'route': 'main',
        'generation': 1,
        'remaining_ms': 1_000,
        'team': 't',
        'traceparent': '',
        'hops': 1,
        'body_length': 0,
        'priority': 0,
        'idempotency_key': '',
        'is_service': True,
    }
    return wire.Open(xid=xid, **{**values, **changes})


def test_requests_keep_the_tables_they_started_with(net: Any) -> None:
    """A table change must not move a request to another pool."""
    left, right, _, _ = _pair(net)
    right.post_tables(2, 'main')
    left.forward('b', 1, generation=1)
    left.forward('b', 2, generation=2)
    left.forward('b', 3, generation=3)
    net.deliver_all()
    assert right.nth_open_message(0).ticket.pool == 'main-1'
    assert right.nth_open_message(1).ticket.pool == 'main-2'
    outcome = left.outcomes()['t3']
    assert outcome.error.code == 'unknown_generation'
    assert outcome.verdict is core.Verdict.DID_NOT_RUN


def test_unknown_verdicts_count_as_may_have_run(net: Any) -> None:
    """An unknown verdict of a newer peer must not allow a retry."""
    left, _, _, end = _pair(net)
    left.forward('b', 1)
    failed = wire.Failed(
        xid=1, code='Bad\n', message='m', verdict='new', http_status=7
    )
    end.send(failed)
    net.deliver_all()
    outcome = left.outcomes()['t1']
    assert outcome.verdict is core.Verdict.MAY_HAVE_RUN
    assert outcome.error.code == 'peer_refused'
    assert outcome.error.http_status == 502


def test_exchange_without_an_end_times_out(net: Any) -> None:
    """A peer that loses an exchange must not keep it open forever."""
    left, right, _, _ = _pair(net)
    left.forward('b', 1)
    net.run(6_100)
    assert left.outcomes()['t1'].error.code == 'peer_timeout'
    assert right.dispatch.of_type(exchange.CancelRequest)


def test_body_beyond_its_credit_closes_the_link(net: Any) -> None:
    """A peer that ignores credit must not exhaust the memory."""
    left, right, link, end = _pair(net)
    left.forward('b', 1, method='POST', body_length=None)
    net.deliver_all()
    _accept(right, 0, 7)
    chunk = wire.BodyChunk(xid=1, data=bytes(64 * 1024))
    for _ in range(5):
        link.send(chunk)
    net.deliver_all()
    assert len(right.caller.of_type(exchange.BodyChunk)) == 4
    assert end.state.value == 'closed'
    assert left.outcomes()['t1'].error.code == 'peer_lost'


def test_region_budget_bounds_forwarded_requests(net: Any) -> None:
    """Bandwidth between regions is limited and billed."""
    limits = {'region_bytes_per_s': 1_000, 'region_burst_bytes': 5_000}
    left = net.add_daemon('a', limits=limits)
    right = net.add_daemon('b', region='s')
    _, end = net.connect(left, right)
    net.deliver_all()
    pools = (wire.PoolLoad(pool='main', free=4, queued=0, latency_ms=0),)
    end.send(wire.Load(pools=pools))
    for number in range(30):
        left.forward('b', number)
    net.deliver_all()
    refused = left.outcomes()
    assert {o.error.code for o in refused.values()} == {
        'region_budget_used_up'
    }
    sent = len(right.dispatch.of_type(exchange.OpenExchange))
    assert 30 - len(refused) == sent
    assert 5 < sent < 25
    assert left.events.received[-1].pools[0].free == 0
    net.run(6_000)
    assert left.events.received[-1].pools[0].free == 4


def test_region_budget_does_not_apply_within_a_region(net: Any) -> None:
    """The budget must not slow down links within a region."""
    left = net.add_daemon('a', limits={'region_burst_bytes': 1})
    right = net.add_daemon('b', failure_domain='c')
    net.connect(left, right)
    net.deliver_all()
    left.forward('b', 1)
    net.deliver_all()
    assert right.nth_open_message(0).head.request_id == 'r1'
