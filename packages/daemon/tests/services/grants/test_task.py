"""Test the service that keeps shares, in virtual time."""

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
LONG_MS = 60_000


class Slots(core.Task):
    """Stand for dispatch: use a number of slots."""

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
    """Hold one daemon's kernel with the grants service."""

    def __init__(self, world: 'World', name: str, port: int) -> None:
        self.kernel = core.Kernel(world.clock, core.IdSource(seed=port))
        client = platform.MemoryPlatform(world.store, world.clock.wall)
        task = platform_task.PlatformTask(self.kernel, client)
        self.kernel.register('platform', task)
        self.slots = Slots(self.kernel)
        self.kernel.register('dispatch', self.slots)
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
        """Put tables with one upstream in force."""
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
        """Return the slots that may be used."""
        return self.slots.granted.get(ADDRESS, 0)


class World:
    """Share one store and one clock between daemons."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.store = platform.MemoryStore()
        self.nodes: list[Node] = []

    def add(self, name: str, port: int) -> Node:
        """Start a daemon."""
        node = Node(self, name, port)
        self.nodes.append(node)
        return node

    def announce(self, gone: frozenset[str] = frozenset()) -> None:
        """Tell all daemons which instances are live and gone."""
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
def world() -> World:
    return World()


def test_a_joining_daemon_gets_its_part(world: World) -> None:
    """Slots must move without being held twice."""
    first = world.add('e1', 7001)
    world.announce()
    assert first.held == 8
    first.slots.in_use = {ADDRESS: 7}
    second = world.add('e2', 7002)
    world.announce()
    world.clock.advance(5_000)
    assert (first.held, second.held) == (4, 1)
    first.slots.in_use = {}
    world.clock.advance(5_000)
    assert (first.held, second.held) == (4, 4)


def test_a_restarted_daemon_waits_for_the_horizon(world: World) -> None:
    """Requests of the former start may run until their deadlines."""
    first = world.add('e1', 7001)
    world.announce()
    first.grants.stop()
    world.nodes.clear()
    second = world.add('e1', 7001)
    second.kernel.incarnation = core.Incarnation('later')
    second.grants._me = second.grants._me.__class__(
        instance_id='e1', incarnation='later'
    )
    world.announce()
    world.clock.advance(1_000)
    assert second.held == 0
    world.clock.advance(1_000)
    assert second.held == 8


def test_slots_of_a_task_outlive_the_daemon(world: World) -> None:
    """A task runs on after its controller died; its slots are not free."""
    first = world.add('e1', 7001)
    world.announce()
    covered: list[bool] = []
    first.kernel.ask(
        'grants', contracts.CoverTasks(address=ADDRESS, horizon_ms=LONG_MS)
    ).addCallback(covered.append)
    world.clock.advance(1_000)
    assert covered == [True]
    second = world.add('e2', 7002)
    first.grants.stop()
    world.announce(gone=frozenset({'e1'}))
    world.clock.advance(LONG_MS - 1_000)
    assert second.held == 0
    world.clock.advance(2_000)
    assert second.held == 8


def test_release_keeps_slots_in_use(world: World) -> None:
    """A task that was handed over still runs on its slots."""
    first = world.add('e1', 7001)
    world.announce()
    first.slots.in_use = {ADDRESS: 3}
    first.kernel.ask('grants', contracts.ReleaseGrants())
    second = world.add('e2', 7002)
    world.announce()
    world.clock.advance(5_000)
    assert second.held == 4
    assert first.held == 0
