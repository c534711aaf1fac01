"""Test that a leaving upstream gets no new requests."""

from typing import Any

from oriolestand_standins import _cluster


def test_reconnected_peer_is_notified_of_a_leaving_upstream(
    setup: Any,
) -> None:
    """The instance list may lag, so peers must pass the signal on."""
    setup.start({'a1': 'a', 'a2': 'a', 'a3': 'a'}, {'up': 'a', 'rest': 'a'})
    cluster = setup.cluster

    def upstream(name: str) -> dict[str, Any]:
        ups = cluster.status(name)['pools']['main']['upstreams']
        state: dict[str, Any] = ups.get(setup.address('up'), {})
        return state

    for name in ('a1', 'a2', 'a3'):
        _cluster.wait_until(
            lambda name=name: upstream(name).get('limit', 0) > 0,
            f'{name} may use the upstream',
        )
    cluster.set_faults(cluster.platform, is_list_frozen=True)
    cluster.daemons['a3'].suspend()
    _cluster.wait_until(
        lambda: 'a3' not in cluster.status('a1')['pools']['main']['peers'],
        'a3 is disconnected',
    )
    cluster.set_faults(cluster.upstreams['up'], is_leaving=True)

    def is_leaving(name: str) -> bool:
        return bool(upstream(name).get('is_leaving'))

    def has_signal() -> bool:
        setup.send('a1', 'work')
        return is_leaving('a1')

    _cluster.wait_until(has_signal, 'a1 got the signal from the upstream')
    _cluster.wait_until(lambda: is_leaving('a2'), 'a2 got the signal from a1')
    cluster.daemons['a3'].resume()
    _cluster.wait_until(
        lambda: is_leaving('a3'), 'a3 got the signal from a peer'
    )
    before = cluster.counts('up')['requests']
    for number in range(20):
        for name in ('a1', 'a2', 'a3'):
            assert setup.send(name, f'{name}-{number}').status == 200
    assert cluster.counts('up')['requests'] == before
