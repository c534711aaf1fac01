"""Test the merge of a lagging list with signals and links."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.membership import _task
import oriolestand_platform as platform

LIVE = platform.InstanceState.LIVE
LEAVING = platform.InstanceState.LEAVING
GONE = platform.InstanceState.GONE


class Listing(core.Task):
    """Answer with a list that the test sets; follow what is announced."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'platform')
        self.as_of = 0
        self.states: dict[str, platform.InstanceState] = {}
        self.last: Any = None

    def ask(self, message: object) -> Any:
        entries = tuple(
            platform.InstanceEntry(
                id=name,
                role=platform.InstanceRole.UPSTREAM,
                state=state,
                address=name.partition('@')[2] or name,
                failure_domain='a',
            )
            for name, state in self.states.items()
        )
        return defer.succeed(
            platform.InstanceList(as_of_ms=self.as_of, instances=entries)
        )

    @core.handles(membership.MembershipChanged)
    def _on_members(self, msg: membership.MembershipChanged) -> None:
        self.last = msg


class Bench:
    """Run the service on a virtual clock."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(wall=100_000)
        self.kernel = core.Kernel(self.clock)
        self.list = Listing(self.kernel)
        self.kernel.register('platform', self.list)
        self.kernel.subscribe(membership.MembershipChanged, self.list)
        self.task = _task.MembershipTask(self.kernel)
        self.task.start()

    def poll(self, as_of: int, **states: platform.InstanceState) -> Any:
        """Let the service read a list; return what it announced last."""
        self.list.as_of = as_of
        self.list.states = {k.replace('_', '@'): v for k, v in states.items()}
        self.clock.advance(1_000)
        return self.list.last


def test_a_signal_is_in_force_at_once_and_beats_older_lists() -> None:
    """A lagging list must not bring a leaving upstream back into use."""
    bench = Bench()
    assert not bench.poll(100_000, u=LIVE).leaving_upstreams
    bench.kernel.publish(membership.UpstreamLeaving(address='u'))
    assert bench.list.last.leaving_upstreams == {'u'}
    signalled = bench.clock.wall()
    late = bench.poll(signalled + 10_000, u=LIVE)
    assert late.leaving_upstreams == {'u'}
    back = bench.poll(signalled + 10_001, u=LIVE)
    assert not back.leaving_upstreams


def test_a_signal_of_a_slow_clock_still_counts() -> None:
    """A clock behind the platform's must not void the signal."""
    bench = Bench()
    bench.poll(500_000, u=LIVE)
    bench.kernel.publish(membership.UpstreamLeaving(address='u'))
    assert bench.poll(501_000, u=LIVE).leaving_upstreams == {'u'}


def test_listed_upstreams_leave_and_come_back() -> None:
    """An address that is given to a new instance must be used."""
    bench = Bench()
    assert bench.poll(100_000, u=LEAVING).leaving_upstreams == {'u'}
    assert bench.poll(101_000).leaving_upstreams == {'u'}
    assert not bench.poll(102_000, u=LIVE).leaving_upstreams
    last = bench.poll(103_000, old_u=GONE)
    assert last.leaving_upstreams == {'u'}
    assert last.gone_instances == {'old@u'}
    last = bench.poll(104_000, old_u=GONE, new_u=LIVE)
    assert not last.leaving_upstreams


def test_old_lists_change_nothing_but_proof_that_is_final() -> None:
    """A list beyond its allowed lag, or an older one, keeps the state."""
    bench = Bench()
    bench.poll(100_000, u=LEAVING, v=LIVE)
    last = bench.poll(99_000, u=LIVE, v=LEAVING, w=GONE)
    assert last.leaving_upstreams == {'u'}
    assert last.gone_instances == {'w'}
    last = bench.poll(101_000, w=LIVE)
    assert last.gone_instances == {'w'}
    bench.clock.advance(60_000)
    last = bench.poll(102_000, u=LIVE)
    assert 'u' in last.leaving_upstreams


def test_links_say_who_is_live() -> None:
    """The loss of a link proves nothing but ends liveness."""
    bench = Bench()
    bench.kernel.publish(
        membership.PeerConnected(
            instance_id='e', incarnation='1', failure_domain='a', region='r'
        )
    )
    assert bench.list.last.live_peers == {'e'}
    bench.kernel.publish(membership.PeerDisconnected(instance_id='e'))
    assert not bench.list.last.live_peers
    assert not bench.list.last.gone_instances
