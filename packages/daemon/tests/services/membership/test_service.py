"""Test the merge of an outdated list with signals and connections."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.membership import _task
import oriolestand_platform as platform

LIVE = platform.InstanceState.LIVE
LEAVING = platform.InstanceState.LEAVING
GONE = platform.InstanceState.GONE


class PlatformStub(core.Task):
    """Platform stub with a settable list; keeps the last published state."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'platform')
        self.as_of = 0
        self.states: dict[str, platform.InstanceState] = {}
        self.last_state: Any = None

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
        self.last_state = msg


class MembershipHarness:
    """The membership service on a virtual clock."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(wall=100_000)
        self.kernel = core.Kernel(self.clock)
        self.platform = PlatformStub(self.kernel)
        self.kernel.register('platform', self.platform)
        self.kernel.subscribe(membership.MembershipChanged, self.platform)
        self.task = _task.MembershipTask(self.kernel)
        self.task.start()

    def poll(self, as_of: int, **states: platform.InstanceState) -> Any:
        """Let the service read a list; return the last published state."""
        self.platform.as_of = as_of
        self.platform.states = {
            k.replace('_', '@'): v for k, v in states.items()
        }
        self.clock.advance(1_000)
        return self.platform.last_state


def test_leaving_signal_applies_at_once_and_overrides_older_lists() -> None:
    """An outdated list must not bring a leaving upstream back into use."""
    harness = MembershipHarness()
    assert not harness.poll(100_000, u=LIVE).leaving_upstreams
    harness.kernel.publish(membership.UpstreamLeaving(address='u'))
    assert harness.platform.last_state.leaving_upstreams == {'u'}
    signal_ms = harness.clock.wall()
    late = harness.poll(signal_ms + 10_000, u=LIVE)
    assert late.leaving_upstreams == {'u'}
    back = harness.poll(signal_ms + 10_001, u=LIVE)
    assert not back.leaving_upstreams


def test_leaving_signal_applies_if_the_clock_is_behind() -> None:
    """A clock behind the platform's must not invalidate the signal."""
    harness = MembershipHarness()
    harness.poll(500_000, u=LIVE)
    harness.kernel.publish(membership.UpstreamLeaving(address='u'))
    assert harness.poll(501_000, u=LIVE).leaving_upstreams == {'u'}


def test_listed_upstream_leaves_and_becomes_live_again() -> None:
    """An address that a new instance reuses must get work again."""
    harness = MembershipHarness()
    assert harness.poll(100_000, u=LEAVING).leaving_upstreams == {'u'}
    assert harness.poll(101_000).leaving_upstreams == {'u'}
    assert not harness.poll(102_000, u=LIVE).leaving_upstreams
    last_state = harness.poll(103_000, old_u=GONE)
    assert last_state.leaving_upstreams == {'u'}
    assert last_state.gone_instances == {'old@u'}
    last_state = harness.poll(104_000, old_u=GONE, new_u=LIVE)
    assert not last_state.leaving_upstreams


def test_outdated_lists_apply_only_gone_instances() -> None:
    """An old list, or one older than the last, must change nothing else."""
    harness = MembershipHarness()
    harness.poll(100_000, u=LEAVING, v=LIVE)
    last_state = harness.poll(99_000, u=LIVE, v=LEAVING, w=GONE)
    assert last_state.leaving_upstreams == {'u'}
    assert last_state.gone_instances == {'w'}
    last_state = harness.poll(101_000, w=LIVE)
    assert last_state.gone_instances == {'w'}
    harness.clock.advance(60_000)
    last_state = harness.poll(102_000, u=LIVE)
    assert 'u' in last_state.leaving_upstreams


def test_connections_determine_which_peers_are_live() -> None:
    """A lost connection ends liveness but does not make a peer gone."""
    harness = MembershipHarness()
    harness.kernel.publish(
        membership.PeerConnected(
            instance_id='e', incarnation='1', failure_domain='a', region='r'
        )
    )
    assert harness.platform.last_state.live_peers == {'e'}
    harness.kernel.publish(membership.PeerDisconnected(instance_id='e'))
    assert not harness.platform.last_state.live_peers
    assert not harness.platform.last_state.gone_instances
