"""Fixtures: the tables service of daemons in virtual time."""

from collections.abc import Callable
import json
from typing import Any
import zlib

import pytest

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.services.platform import _task as platform_task
from oriolestand_daemon.services.tables import _task
from oriolestand_daemon.services.tables import const
import oriolestand_platform as platform


class FaultyPlatform(platform.MemoryPlatform):
    """In-memory platform that can be down, or lose commits and answers.

    Each commit runs and removes the first callback of ``before_commit``. If
    ``on_commit`` has a callback, it replaces the commit and the answer is
    lost.
    """

    def __init__(self, store: platform.MemoryStore) -> None:
        super().__init__(store, lambda: 0)
        self.is_down = False
        self.on_commit: list[Callable[[platform.Transaction], Any]] = []
        self.before_commit: list[Callable[[], Any]] = []

    async def read(self, table: str, key: str) -> platform.Row | None:
        if self.is_down:
            raise platform.StoreUnavailableError('down')
        return await super().read(table, key)

    async def commit(
        self, transaction: platform.Transaction
    ) -> platform.TransactionResult:
        if self.is_down:
            raise platform.StoreUnavailableError('down')
        if self.before_commit:
            self.before_commit.pop(0)()
        if self.on_commit:
            self.on_commit.pop(0)(transaction)
            raise platform.StoreTimeoutError('lost')
        return await super().commit(transaction)


class DispatchStub(core.Task):
    """Dispatch stub with settable slots in use."""

    in_use: dict[str, int] = {}

    @core.handles(dispatch.GetSlotsInUse)
    def _on_slots(self, msg: dispatch.GetSlotsInUse) -> dict[str, int]:
        return self.in_use


class Daemon:
    """The tables service of one daemon in virtual time."""

    def __init__(self, store: platform.MemoryStore, seed: int = 1) -> None:
        self.clock = core.ManualClock()
        kernel = core.Kernel(self.clock, core.IdSource(seed=seed))
        self.client = FaultyPlatform(store)
        self.dispatch = DispatchStub(kernel, 'dispatch')
        kernel.register('dispatch', self.dispatch)
        kernel.register(
            'platform', platform_task.PlatformTask(kernel, self.client)
        )
        cfg = settings.parse_settings(
            {
                'instance_id': f'e{seed}',
                'failure_domain': 'a',
                'region': 'north',
            }
        )
        self.kernel = kernel
        self.task = _task.TablesTask(kernel, cfg)

    def start(self) -> 'Daemon':
        self.task.start()
        return self

    def ask(self, message: object) -> Any:
        """Send a message and advance time until the reply arrives."""
        results: list[Any] = []
        fut = self.task.ask(message)
        fut.addBoth(results.append)
        for _ in range(100):
            if results:
                break
            self.clock.advance(const.READ_BACK_PAUSE_MS)
        if hasattr(results[0], 'raiseException'):
            results[0].raiseException()
        return results[0]

    def apply(self, document: Any, base: int, edit_id: str = '') -> int:
        """Apply a document and return its version."""
        data = json.dumps(document).encode()
        reply = self.ask(
            config.ApplyDocument(
                document=data,
                base_version=base,
                edited_by='test',
                edit_id=edit_id,
            )
        )
        return int(json.loads(reply)['version'])

    def apply_slots(self, slots: int, base: int, edit_id: str = '') -> int:
        """Apply tables with a number of slots per upstream."""
        return self.apply(self.make_tables(slots), base, edit_id)

    @staticmethod
    def make_tables(slots: int) -> dict[str, Any]:
        upstream = {'address': '127.0.0.1:1', 'failure_domain': 'a'}
        return {
            'routes': [{'name': 'check', 'pool': 'main'}],
            'pools': [
                {
                    'name': 'main',
                    'slots_per_upstream': slots,
                    'upstreams': [upstream],
                }
            ],
        }

    def receive(self, document: bytes) -> None:
        packed = zlib.compress(document, 1)
        self.task.post(config.DeliverTables(document=packed, peer='p'))

    @property
    def status(self) -> config.TablesStatus:
        status: config.TablesStatus = self.ask(config.GetTablesStatus())
        return status

    @property
    def document(self) -> bytes:
        document: bytes = self.ask(config.GetDocument())
        return document


@pytest.fixture
def store() -> platform.MemoryStore:
    return platform.MemoryStore()


@pytest.fixture
def make_daemon(store: platform.MemoryStore) -> Callable[..., Daemon]:
    """Return a factory of daemons that share a store unless given one."""

    def make(seed: int, other: platform.MemoryStore | None = None) -> Daemon:
        return Daemon(other or store, seed)

    return make


@pytest.fixture
def daemon(make_daemon: Callable[..., Daemon]) -> Daemon:
    return make_daemon(1).start()
