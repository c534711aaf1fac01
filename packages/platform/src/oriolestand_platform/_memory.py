"""Keep the platform's tables in memory, for one process and for tests."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

from oriolestand_platform import _client
from oriolestand_platform import _memory_workers
from oriolestand_platform import _models
from oriolestand_platform import _workers

MAX_REMEMBERED_REQUESTS = 10_000


class MemoryStore:
    """Apply transactions to rows and keep objects and instances.

    >>> store = MemoryStore()
    >>> put = _models.Put(table='t', key='k', value={'n': 1})
    >>> new = _models.Check(table='t', key='k', version=0)
    >>> first = _models.Transaction(request_id='1', checks=(new,), puts=(put,))
    >>> store.commit(first).applied
    True
    >>> again = _models.Transaction(request_id='2', checks=(new,), puts=(put,))
    >>> store.commit(again).conflicts[0].version
    1
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], _models.Row] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._objects: dict[str, bytes] = {}
        self._instances: dict[str, _models.InstanceEntry] = {}
        self._applied: collections.OrderedDict[
            str, _models.TransactionResult
        ] = collections.OrderedDict()

    def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row or None."""
        return self._rows.get((table, key))

    def scan(self, table: str, prefix: str = '') -> list[_models.Row]:
        """Return the rows of a table by key."""
        return [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key.startswith(prefix)
        ]

    def commit(self, tx: _models.Transaction) -> _models.TransactionResult:
        """Apply all puts when all checks hold."""
        known = self._applied.get(tx.request_id)
        if known is not None:
            return known
        failed = [c for c in tx.checks if self._version(c) != c.version]
        if failed:
            rows = [self.read(c.table, c.key) for c in failed]
            return _models.TransactionResult(
                applied=False,
                conflicts=tuple(row for row in rows if row is not None),
            )
        for put in tx.puts:
            self._apply(put)
        result = _models.TransactionResult(applied=True)
        self._applied[tx.request_id] = result
        if len(self._applied) > MAX_REMEMBERED_REQUESTS:
            self._applied.popitem(last=False)
        return result

    def _version(self, check: _models.Check) -> int:
        """Return the version of a check's row, 0 when there is none."""
        row = self._rows.get((check.table, check.key))
        return row.version if row is not None else 0

    def _apply(self, put: _models.Put) -> None:
        """Write or delete one row.

        The version goes on counting after a delete, so that a writer with
        a version from before it never succeeds.
        """
        name = (put.table, put.key)
        if put.value is None:
            self._rows.pop(name, None)
            return
        version = self._versions.get(name, 0) + 1
        self._versions[name] = version
        self._rows[name] = _models.Row(
            table=put.table, key=put.key, version=version, value=put.value
        )

    def read_object(self, key: str) -> bytes | None:
        """Return an object's bytes or None."""
        return self._objects.get(key)

    def write_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        self._objects[key] = data

    def set_instance(self, entry: _models.InstanceEntry) -> None:
        """Add or replace an entry of the instance list."""
        self._instances[entry.id] = entry

    def instances(self) -> tuple[_models.InstanceEntry, ...]:
        """Return the instance list, by id."""
        return tuple(v for _, v in sorted(self._instances.items()))


class MemoryPlatform(_client.PlatformClient):
    """Serve the platform's interface from a MemoryStore.

    :param store: shared between the clients of one process.
    :param wall_ms: returns Unix time in milliseconds.
    """

    def __init__(self, store: MemoryStore, wall_ms: Callable[[], int]) -> None:
        self._store = store
        self._wall_ms = wall_ms
        self.workers = _memory_workers.MemoryWorkers()

    async def call_worker(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Send one request to a worker."""
        return await self.workers.call(address, request)

    async def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row or None."""
        return self._store.read(table, key)

    async def scan(
        self, table: str, prefix: str = ''
    ) -> Sequence[_models.Row]:
        """Return the rows of a table by key."""
        return self._store.scan(table, prefix)

    async def commit(
        self, transaction: _models.Transaction
    ) -> _models.TransactionResult:
        """Apply a transaction."""
        return self._store.commit(transaction)

    async def read_object(self, key: str) -> bytes | None:
        """Return an object's bytes or None."""
        return self._store.read_object(key)

    async def write_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        self._store.write_object(key, data)

    async def list_instances(self) -> _models.InstanceList:
        """Return the instance list as of now."""
        return _models.InstanceList(
            as_of_ms=self._wall_ms(), instances=self._store.instances()
        )
