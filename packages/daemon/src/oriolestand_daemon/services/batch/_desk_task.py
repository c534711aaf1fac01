"""Answer questions about jobs in the batch task."""

import abc
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.services.batch import _jobs
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import const
from oriolestand_policy import batch
from oriolestand_policy import tables

Reply = defer.Deferred[Any]


class DeskTask(core.Task, abc.ABC):
    """Handle the messages of operators; rows hold all that it needs."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._store = _store.TaskStore(kernel)
        self._desk = _jobs.JobDesk(self._store)
        self._tables = tables.Tables(version=0)

    @abc.abstractmethod
    def _enqueue(self, row: batch.TaskRow) -> None:
        """Consider a task that was queued here."""

    @core.handles(contracts.SubmitJob)
    def _on_submit(self, msg: contracts.SubmitJob) -> Reply:
        """Store a job and consider it at once."""
        return defer.ensureDeferred(self._submit(msg))

    async def _submit(self, msg: contracts.SubmitJob) -> Any:
        """Store a job and put it into the queue here."""
        reply, row = await self._desk.submit(msg.document, self._tables)
        if reply.is_new:
            self._enqueue(row)
        return reply

    @core.handles(contracts.ShowJob)
    def _on_show(self, msg: contracts.ShowJob) -> Reply:
        """Return one job."""
        return defer.ensureDeferred(self._desk.show(msg.name))

    @core.handles(contracts.ListJobs)
    def _on_list(self, msg: contracts.ListJobs) -> Reply:
        """Return jobs."""
        return defer.ensureDeferred(self._desk.list(msg))

    @core.handles(contracts.CancelJob)
    def _on_cancel(self, msg: contracts.CancelJob) -> Reply:
        """End a job."""
        return defer.ensureDeferred(self._desk.cancel(msg.name))
