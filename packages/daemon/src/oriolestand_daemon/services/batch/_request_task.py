"""Message handlers for operators' job requests."""

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


class JobRequestTask(core.Task, abc.ABC):
    """Handles operators' job requests, using only the stored rows."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._store = _store.TaskStore(kernel)
        self._job_operations = _jobs.JobOperations(self._store)
        self._tables = tables.Tables(version=0)

    @abc.abstractmethod
    def _enqueue(self, row: batch.TaskRow) -> None:
        """Queue a task here without waiting for the next poll."""

    @core.handles(contracts.SubmitJob)
    def _on_submit_job(self, msg: contracts.SubmitJob) -> Reply:
        """Store a job and queue it here at once."""
        return defer.ensureDeferred(self._submit(msg))

    async def _submit(self, msg: contracts.SubmitJob) -> Any:
        """Store a job; queue it here if it is new."""
        reply, row = await self._job_operations.submit(
            msg.document, self._tables
        )
        if reply.is_new:
            self._enqueue(row)
        return reply

    @core.handles(contracts.GetJob)
    def _on_get_job(self, msg: contracts.GetJob) -> Reply:
        """Return the status of a job."""
        return defer.ensureDeferred(self._job_operations.show(msg.name))

    @core.handles(contracts.ListJobs)
    def _on_list_jobs(self, msg: contracts.ListJobs) -> Reply:
        """Return the status of matching jobs."""
        return defer.ensureDeferred(self._job_operations.list(msg))

    @core.handles(contracts.CancelJob)
    def _on_cancel_job(self, msg: contracts.CancelJob) -> Reply:
        """Cancel a job."""
        return defer.ensureDeferred(self._job_operations.cancel(msg.name))
