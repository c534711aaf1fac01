"""Answer other services' questions to the platform."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import platform as contracts
from oriolestand_daemon.services.platform import const
import oriolestand_platform as platform

Reply = defer.Deferred[Any]


def _run(work: Coroutine[Any, Any, Any]) -> Reply:
    """Start a coroutine and return its result later."""
    return defer.ensureDeferred(work)


class PlatformTask(core.Task):
    """Own the client of the platform."""

    def __init__(
        self, kernel: core.Kernel, client: platform.PlatformClient
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._client = client

    @core.handles(contracts.ReadRow)
    def _on_read(self, msg: contracts.ReadRow) -> Reply:
        """Read a row."""
        return _run(self._client.read(msg.table, msg.key))

    @core.handles(contracts.ScanRows)
    def _on_scan(self, msg: contracts.ScanRows) -> Reply:
        """Read the rows of a table."""
        return _run(self._client.scan(msg.table, msg.prefix))

    @core.handles(contracts.Commit)
    def _on_commit(self, msg: contracts.Commit) -> Reply:
        """Apply a transaction."""
        return _run(self._client.commit(msg.transaction))

    @core.handles(contracts.ListInstances)
    def _on_list(self, msg: contracts.ListInstances) -> Reply:
        """Read the list of instances."""
        return _run(self._client.list_instances())

    @core.handles(contracts.CallWorker)
    def _on_call_worker(self, msg: contracts.CallWorker) -> Reply:
        """Send a request to a worker."""
        return _run(self._client.call_worker(msg.address, msg.request))

    @core.handles(contracts.ReadObject)
    def _on_read_object(self, msg: contracts.ReadObject) -> Reply:
        """Read an object."""
        return _run(self._client.read_object(msg.key))

    @core.handles(contracts.WriteObject)
    def _on_write_object(self, msg: contracts.WriteObject) -> Reply:
        """Store an object."""
        return _run(self._client.write_object(msg.key, msg.data))

    def stop(self) -> object:
        """Close the client."""
        super().stop()
        return self._client.close()
