"""Implement the platform in memory, for a single process and for tests."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

from oriolestand_platform import _client
from oriolestand_platform import _memory_workers
from oriolestand_platform import _models
from oriolestand_platform import _workers

MAX_CACHED_RESULTS = 10_000


class MemoryStore:
    """Store rows, objects and the instance list in memory.

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
        self._applied_results: collections.OrderedDict[
            str, _models.TransactionResult
        ] = collections.OrderedDict()

    def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row, or None when the key does not exist."""
        return self._rows.get((table, key))

    def scan(self, table: str, prefix: str = '') -> list[_models.Row]:
        """Return the rows whose keys start with ``prefix``, sorted by key."""
        return [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key.startswith(prefix)
        ]

    def commit(self, tx: _models.Transaction) -> _models.TransactionResult:
        """Apply all puts if all checks hold, else return conflicting rows.

        A repeat of an applied transaction returns the first result, which
        is kept for the last MAX_CACHED_RESULTS applied transactions.
        """
        cached = self._applied_results.get(tx.request_id)
        if cached is not None:
            return cached
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
        self._applied_results[tx.request_id] = result
        if len(self._applied_results) > MAX_CACHED_RESULTS:
            self._applied_results.popitem(last=False)
        return result

    def _version(self, check: _models.Check) -> int:
        """Return the current version of a row, 0 if it does not exist."""
        row = self._rows.get((check.table, check.key))
        return row.version if row is not None else 0

    def _apply(self, put: _models.Put) -> None:
        """Write or delete one row.

        Versions keep increasing when a row is deleted and created again, so
        a write that expects a version from before the delete conflicts.
        """
        row_key = (put.table, put.key)
        if put.value is None:
            self._rows.pop(row_key, None)
            return
        version = self._versions.get(row_key, 0) + 1
        self._versions[row_key] = version
        self._rows[row_key] = _models.Row(
            table=put.table, key=put.key, version=version, value=put.value
        )

    def read_object(self, key: str) -> bytes | None:
        """Return an object, or None when the key does not exist."""
        return self._objects.get(key)

    def write_object(self, key: str, data: bytes) -> None:
        """Create or replace an object."""
        self._objects[key] = data

    def set_instance(self, entry: _models.InstanceEntry) -> None:
        """Add or replace an entry of the instance list."""
        self._instances[entry.id] = entry

    def instances(self) -> tuple[_models.InstanceEntry, ...]:
        """Return the instance list, sorted by id."""
        return tuple(entry for _, entry in sorted(self._instances.items()))


class MemoryPlatform(_client.PlatformClient):
    """Implement the platform client on a MemoryStore.

    :param store: may be shared by several clients.
    :param wall_ms: callable that returns Unix time in milliseconds.
    """

    def __init__(self, store: MemoryStore, wall_ms: Callable[[], int]) -> None:
        self._store = store
        self._wall_ms = wall_ms
        self.workers = _memory_workers.MemoryWorkers()

    async def call_worker(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Send a request to the worker at an address."""
        return await self.workers.call(address, request)

    async def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row, or None when the key does not exist."""
        return self._store.read(table, key)

    async def scan(
        self, table: str, prefix: str = ''
    ) -> Sequence[_models.Row]:
        """Return the rows whose keys start with ``prefix``, sorted by key."""
        return self._store.scan(table, prefix)

    async def commit(
        self, transaction: _models.Transaction
    ) -> _models.TransactionResult:
        """Apply a transaction, or return the rows that conflict with it."""
        return self._store.commit(transaction)

    async def read_object(self, key: str) -> bytes | None:
        """Return an object, or None when the key does not exist."""
        return self._store.read_object(key)

    async def write_object(self, key: str, data: bytes) -> None:
        """Create or replace an object."""
        self._store.write_object(key, data)

    async def list_instances(self) -> _models.InstanceList:
        """Return the current instance list."""
        return _models.InstanceList(
            as_of_ms=self._wall_ms(), instances=self._store.instances()
        )
