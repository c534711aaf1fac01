"""Fixtures: daemons with the batch service on one store and one clock."""

import collections
import dataclasses
import json

import pytest

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services import batch as service
from oriolestand_daemon.services.platform import _task as platform_task
import oriolestand_platform as platform
from oriolestand_policy import dispatching
from oriolestand_policy import tables

WORKERS = ('127.0.0.1:1', '127.0.0.1:2')
LEASE_MS = 6_000


class Platform(platform.MemoryPlatform):
    """In-memory platform that counts store calls and injects failures."""

    def __init__(self, store, workers, clock):
        super().__init__(store, clock.wall)
        self.workers = workers
        self.is_down = False
        self.lost_answers = 0
        self.drops_request_ids = False
        self.scans = collections.Counter()
        self.commits = 0
        self.calls = []

    async def scan(self, table, prefix=''):
        self._check()
        self.scans[table] += 1
        return await super().scan(table, prefix)

    async def read(self, table, key):
        self._check()
        return await super().read(table, key)

    async def commit(self, transaction):
        self._check()
        self.commits += 1
        result = await super().commit(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            if self.drops_request_ids:
                self._store._applied.clear()
            raise platform.StoreTimeoutError('lost')
        return result

    async def call_worker(self, address, request):
        self.calls.append(request)
        return await super().call_worker(address, request)

    def _check(self):
        if self.is_down:
            raise platform.StoreUnavailableError('down')


class DispatchStub(core.Task):
    """Stub of the dispatch service with a number of slots per worker."""

    def __init__(self, kernel, slots):
        super().__init__(kernel, 'dispatch')
        self.free = dict.fromkeys(WORKERS, slots)
        self.reserved = {}

    @core.handles(dispatch.GetDispatchStatus)
    def _on_status(self, msg):
        in_use = collections.Counter()
        for reservation in self.reserved.values():
            in_use[reservation.address] += reservation.slots
        ups = {
            address: {
                'limit': free + in_use[address],
                'in_use': in_use[address],
            }
            for address, free in self.free.items()
        }
        return {'main': {'free': sum(self.free.values()), 'upstreams': ups}}

    @core.handles(dispatch.ReserveSlots)
    def _on_reserve(self, msg):
        address = msg.address or max(self.free, key=lambda a: self.free[a])
        if self.free[address] < msg.slots:
            return None
        self.free[address] -= msg.slots
        self.reserved[msg.key] = dataclasses.replace(msg, address=address)
        return dispatching.Reservation(
            key=msg.key,
            pool=msg.pool,
            address=address,
            slots=msg.slots,
            team=msg.team,
            priority=msg.priority,
        )

    @core.handles(dispatch.ReleaseReservation)
    def _on_release_reservation(self, msg):
        reservation = self.reserved.pop(msg.key)
        self.free[reservation.address] += reservation.slots


class GrantsStub(core.Task):
    """Stub of the grants service that records requested horizons."""

    def __init__(self, kernel):
        super().__init__(kernel, 'grants')
        self.horizons = {}
        self.refuses = False

    @core.handles(grants.EnsureHorizon)
    def _on_ensure_horizon(self, msg):
        self.horizons[msg.address] = msg.horizon_ms
        return not self.refuses


class Node:
    """One daemon's kernel with the batch service."""

    def __init__(self, harness, name, slots=8, domain='a'):
        self.kernel = core.Kernel(
            harness.clock, core.IdSource(seed=harness.next_seed())
        )
        self.platform = Platform(harness.store, harness.workers, harness.clock)
        task = platform_task.PlatformTask(self.kernel, self.platform)
        self.kernel.register('platform', task)
        self.dispatch = DispatchStub(self.kernel, slots)
        self.kernel.register('dispatch', self.dispatch)
        self.grants = GrantsStub(self.kernel)
        self.kernel.register('grants', self.grants)
        cfg = settings.parse_settings(
            {'instance_id': name, 'failure_domain': domain, 'region': 'r'}
        )
        self.batch = service.setup(self.kernel, cfg)
        self.kernel.register('batch', self.batch)
        self.kernel.publish(
            config.TablesChanged(tables=harness.tables, document=b''),
            is_state=True,
        )
        self.batch.start()

    def ask(self, message):
        results = []
        self.kernel.ask('batch', message).addBoth(results.append)
        return results

    def publish_membership(self, gone=(), instances=()):
        self.kernel.publish(
            membership.MembershipChanged(
                instances=tuple(instances),
                live_peers=frozenset(),
                gone_instances=frozenset(gone),
            ),
            is_state=True,
        )

    def kill(self):
        self.batch.stop()
        self.platform.is_down = True
        self.kernel.find('platform').stop()


class BatchHarness:
    """The store, workers and clock that all daemons share."""

    def __init__(self):
        self.clock = core.ManualClock()
        self.seed = 0
        self.store = platform.MemoryStore()
        self.workers = platform.MemoryWorkers()
        for address in WORKERS:
            self.workers.workers[address] = platform.MemoryWorker(
                self.clock.now, address, slots=8, memory_mb=1_000
            )
        ups = tuple(
            tables.Upstream(address=address, failure_domain='a')
            for address in WORKERS
        )
        pool = tables.Pool(name='main', upstreams=ups)
        self.tables = tables.Tables(version=1, pools={'main': pool})

    def next_seed(self):
        self.seed += 1
        return self.seed

    def node(self, name, **kw):
        return Node(self, name, **kw)

    def submit(self, node, name='t', work_ms=3_000, **kw):
        body = {
            'name': name,
            'pool': 'main',
            'lease_ms': LEASE_MS,
            'payload': json.dumps({'work_ms': work_ms}),
            **kw,
        }
        found = node.ask(
            contracts.SubmitJob(document=json.dumps(body).encode())
        )
        self.clock.advance(20)
        return found[0] if found else None

    def row(self, name='t'):
        return self.store.read('tasks', name).value

    def keys(self, table):
        return [row.key for row in self.store.scan(table)]

    def runs(self):
        found = []
        for worker in self.workers.workers.values():
            worker.advance(self.clock.now())
            found += worker.history
        return found


@pytest.fixture
def harness():
    return BatchHarness()
