"""Forward requests of other services to the platform."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import platform as platform_messages
from oriolestand_daemon.services.platform import const
import oriolestand_platform as platform

Reply = defer.Deferred[Any]


def _to_deferred(coroutine: Coroutine[Any, Any, Any]) -> Reply:
    """Start a coroutine and return a Deferred with its result."""
    return defer.ensureDeferred(coroutine)


class PlatformTask(core.Task):
    """Execute requests of other services with the platform client."""

    def __init__(
        self, kernel: core.Kernel, client: platform.PlatformClient
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._client = client

    @core.handles(platform_messages.ReadRow)
    def _on_read(self, msg: platform_messages.ReadRow) -> Reply:
        """Read a row."""
        return _to_deferred(self._client.read(msg.table, msg.key))

    @core.handles(platform_messages.ScanRows)
    def _on_scan(self, msg: platform_messages.ScanRows) -> Reply:
        """Read the rows of a table whose keys have a prefix."""
        return _to_deferred(self._client.scan(msg.table, msg.prefix))

    @core.handles(platform_messages.Commit)
    def _on_commit(self, msg: platform_messages.Commit) -> Reply:
        """Apply a transaction."""
        return _to_deferred(self._client.commit(msg.transaction))

    @core.handles(platform_messages.ListInstances)
    def _on_list(self, msg: platform_messages.ListInstances) -> Reply:
        """Read the list of instances."""
        return _to_deferred(self._client.list_instances())

    @core.handles(platform_messages.CallWorker)
    def _on_call_worker(self, msg: platform_messages.CallWorker) -> Reply:
        """Send a request to a worker."""
        return _to_deferred(self._client.call_worker(msg.address, msg.request))

    @core.handles(platform_messages.ReadObject)
    def _on_read_object(self, msg: platform_messages.ReadObject) -> Reply:
        """Read an object."""
        return _to_deferred(self._client.read_object(msg.key))

    @core.handles(platform_messages.WriteObject)
    def _on_write_object(self, msg: platform_messages.WriteObject) -> Reply:
        """Store an object."""
        return _to_deferred(self._client.write_object(msg.key, msg.data))

    def stop(self) -> object:
        """Close the client."""
        super().stop()
        return self._client.close()
