"""Test the grants service in virtual time."""

import pytest

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants as contracts
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services import grants as service
from oriolestand_daemon.services.platform import _task as platform_task
import oriolestand_platform as platform
from oriolestand_policy import tables

ADDRESS = '10.0.0.1:80'
TASK_HORIZON_MS = 60_000


class DispatchStub(core.Task):
    """Dispatch stub with a settable number of slots in use."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'dispatch')
        self.in_use: dict[str, int] = {}
        self.granted: dict[str, int] = {}
        kernel.subscribe(contracts.GrantsChanged, self)

    @core.handles(dispatch.GetSlotsInUse)
    def _on_get(self, msg: dispatch.GetSlotsInUse) -> dict[str, int]:
        return self.in_use

    @core.handles(contracts.GrantsChanged)
    def _on_grants(self, msg: contracts.GrantsChanged) -> None:
        self.granted = dict(msg.slots)


class Node:
    """One daemon's kernel with the grants service."""

    def __init__(self, harness: 'GrantsHarness', name: str, port: int) -> None:
        self.kernel = core.Kernel(harness.clock, core.IdSource(seed=port))
        client = platform.MemoryPlatform(harness.store, harness.clock.wall)
        task = platform_task.PlatformTask(self.kernel, client)
        self.kernel.register('platform', task)
        self.dispatch = DispatchStub(self.kernel)
        self.kernel.register('dispatch', self.dispatch)
        cfg = settings.parse_settings(
            {
                'instance_id': name,
                'failure_domain': 'a',
                'region': 'r',
                'peers': {'port': port},
            }
        )
        self.grants = service.setup(self.kernel, cfg)
        self.kernel.register('grants', self.grants)
        self.grants.start()
        self.set_tables(1, 8)

    def set_tables(self, version: int, slots: int) -> None:
        """Publish tables with one upstream."""
        pool = tables.Pool(
            name='p',
            upstreams=(tables.Upstream(address=ADDRESS, failure_domain='a'),),
            slots_per_upstream=slots,
        )
        route = tables.Route(name='r', pool='p', timeout_ms=1_000)
        self.kernel.publish(
            config.TablesChanged(
                tables=tables.Tables(
                    version=version, routes=(route,), pools={'p': pool}
                ),
                document=b'',
            ),
            is_state=True,
        )

    @property
    def held(self) -> int:
        """Return the slots that this daemon may use."""
        return self.dispatch.granted.get(ADDRESS, 0)


class GrantsHarness:
    """Daemons that share one store and one clock."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.store = platform.MemoryStore()
        self.nodes: list[Node] = []

    def add(self, name: str, port: int) -> Node:
        """Start a daemon."""
        node = Node(self, name, port)
        self.nodes.append(node)
        return node

    def publish_membership(self, gone: frozenset[str] = frozenset()) -> None:
        """Publish to all daemons which instances are live and gone."""
        names = [node.grants._cfg.instance_id for node in self.nodes]
        entries = tuple(
            platform.InstanceEntry(
                id=name,
                role=platform.InstanceRole.ENTRY,
                state=platform.InstanceState.LIVE,
                address='127.0.0.1:1',
                failure_domain='a',
            )
            for name in names
            if name not in gone
        )
        for node in self.nodes:
            node.kernel.publish(
                membership.MembershipChanged(
                    instances=entries,
                    live_peers=frozenset(names),
                    gone_instances=gone,
                ),
                is_state=True,
            )


@pytest.fixture
def harness() -> GrantsHarness:
    return GrantsHarness()


def test_joining_daemon_gets_its_share(harness: GrantsHarness) -> None:
    """Slots must move to a new daemon without two daemons holding them."""
    first = harness.add('e1', 7001)
    harness.publish_membership()
    assert first.held == 8
    first.dispatch.in_use = {ADDRESS: 7}
    second = harness.add('e2', 7002)
    harness.publish_membership()
    harness.clock.advance(5_000)
    assert (first.held, second.held) == (4, 1)
    first.dispatch.in_use = {}
    harness.clock.advance(5_000)
    assert (first.held, second.held) == (4, 4)


def test_restarted_daemon_waits_for_the_horizon(
    harness: GrantsHarness,
) -> None:
    """Requests of the former incarnation may run until their deadlines."""
    first = harness.add('e1', 7001)
    harness.publish_membership()
    first.grants.stop()
    harness.nodes.clear()
    second = harness.add('e1', 7001)
    second.kernel.incarnation = core.Incarnation('later')
    second.grants._holder = second.grants._holder.__class__(
        instance_id='e1', incarnation='later'
    )
    harness.publish_membership()
    harness.clock.advance(1_000)
    assert second.held == 0
    harness.clock.advance(1_000)
    assert second.held == 8


def test_slots_of_a_task_outlive_the_daemon(harness: GrantsHarness) -> None:
    """A task must keep its slots after its controller died."""
    first = harness.add('e1', 7001)
    harness.publish_membership()
    covered: list[bool] = []
    first.kernel.ask(
        'grants',
        contracts.EnsureHorizon(address=ADDRESS, horizon_ms=TASK_HORIZON_MS),
    ).addCallback(covered.append)
    harness.clock.advance(1_000)
    assert covered == [True]
    second = harness.add('e2', 7002)
    first.grants.stop()
    harness.publish_membership(gone=frozenset({'e1'}))
    harness.clock.advance(TASK_HORIZON_MS - 1_000)
    assert second.held == 0
    harness.clock.advance(2_000)
    assert second.held == 8


def test_release_keeps_slots_in_use(harness: GrantsHarness) -> None:
    """Slots must stay reserved while a handed-over task uses them."""
    first = harness.add('e1', 7001)
    harness.publish_membership()
    first.dispatch.in_use = {ADDRESS: 3}
    first.kernel.ask('grants', contracts.ReleaseGrants())
    second = harness.add('e2', 7002)
    harness.publish_membership()
    harness.clock.advance(5_000)
    assert second.held == 4
    assert first.held == 0
