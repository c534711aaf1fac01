"""Test forwarded requests when one of the two daemons is killed."""

from typing import Any

import pytest

from oriolestand_standins import _cluster


@pytest.mark.parametrize('victim', ['b1', 'a1'])
def test_answer_cut_off_by_a_killed_daemon_is_incomplete(
    setup: Any, victim: str
) -> None:
    """A caller must be able to tell a truncated answer from a complete one."""
    setup.start({'a1': 'a', 'b1': 'b'}, {'up': 'a'})
    setup.wait_until_forwarding('b1', 'a1')
    setup.hold('up', True)
    forwarded = [setup.open('b1', f'f{i}') for i in range(3)]
    direct = setup.open('a1', 'direct')
    setup.cluster.daemons[victim].kill()
    assert not any(stream.is_complete() for stream in forwarded)
    setup.hold('up', False)
    assert direct.is_complete() == (victim == 'b1')
    if victim == 'b1':
        assert setup.send('a1', 'next').json()['key'] == 'next'
        _cluster.wait_until(
            lambda: setup.cluster.counts('up')['running'] == 0,
            'the upstream is free',
        )


def test_repeat_at_another_entry_instance_does_not_run(setup: Any) -> None:
    """A killed entry instance must not lead to a second run of a request."""
    setup.start({'a1': 'a', 'b1': 'b'}, {'up': 'a'})
    setup.wait_until_forwarding('b1', 'a1')
    key = {'Idempotency-Key': 'order-1'}
    setup.hold('up', True)
    stream = setup.open('b1', 'order', **key)
    setup.cluster.daemons['b1'].kill()
    assert not stream.is_complete()
    setup.hold('up', False)
    repeat = setup.send('a1', 'order', '/stream', **key)
    assert repeat.status == 409
    assert repeat.headers['oriolestand-verdict'] == 'may_have_run'
    assert setup.cluster.counts('up')['runs'] == {'order': 1}


def test_stored_answer_is_replayed_at_another_instance(setup: Any) -> None:
    """A caller that lost its answer must get it without a second run."""
    setup.start({'a1': 'a', 'b1': 'b'}, {'up': 'a'})
    setup.wait_until_forwarding('b1', 'a1')
    key = {'Idempotency-Key': 'order-2'}
    first = setup.send('b1', 'order', **key)
    assert first.status == 200

    def is_replayed() -> bool:
        repeat = setup.send('a1', 'order', **key)
        is_same: bool = repeat.body == first.body
        return is_same and 'idempotent-replayed' in repeat.headers

    _cluster.wait_until(is_replayed, 'the answer is stored')
    assert setup.send('a1', 'other', **key).status == 200
    other = _cluster.send_request(
        setup.cluster.entries['a1'].caller_port, 'POST', '/book', b'else', key
    )
    assert other.status == 422
    assert setup.cluster.counts('up')['runs'] == {'order': 1}
