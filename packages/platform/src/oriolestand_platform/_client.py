"""Define the interface of platform clients."""

import abc
from collections.abc import Sequence

from oriolestand_platform import _models
from oriolestand_platform import _workers


class PlatformClient(_workers.WorkerClient):
    """Access the platform's tables, objects, instance list and workers.

    All methods but ``call_worker`` raise StoreUnavailableError or one of its
    subclasses. The verdict is ``did_not_run`` when the platform certainly
    applied no write, and ``may_have_run`` when it may have applied one.
    """

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row, or None when the key does not exist."""

    @abc.abstractmethod
    async def scan(
        self, table: str, prefix: str = ''
    ) -> Sequence[_models.Row]:
        """Return the rows whose keys start with ``prefix``, sorted by key."""

    @abc.abstractmethod
    async def commit(
        self, transaction: _models.Transaction
    ) -> _models.TransactionResult:
        """Apply a transaction, or return the rows that conflict with it."""

    @abc.abstractmethod
    async def read_object(self, key: str) -> bytes | None:
        """Return an object, or None when the key does not exist."""

    @abc.abstractmethod
    async def write_object(self, key: str, data: bytes) -> None:
        """Create or replace an object."""

    @abc.abstractmethod
    async def list_instances(self) -> _models.InstanceList:
        """Return the list of live, leaving and gone instances."""

    def close(self) -> object:
        """Release connections; may return a Deferred."""
        return None
