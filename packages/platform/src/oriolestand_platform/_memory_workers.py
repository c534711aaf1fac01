"""Deliver requests to simulated workers in the same process."""

from oriolestand_platform import _errors
from oriolestand_platform import _memory_worker
from oriolestand_platform import _workers


class MemoryWorkers:
    """Deliver requests to simulated workers, subject to injected faults."""

    def __init__(self) -> None:
        self.workers: dict[str, _memory_worker.MemoryWorker] = {}

    async def call(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Return a worker's reply, or raise WorkerUnreachableError."""
        worker = self.workers.get(address)
        if worker is None or worker.faults.is_gone:
            raise _errors.WorkerUnreachableError(
                'the worker cannot be reached', address=address
            )
        if worker.faults.hangs:
            raise _errors.WorkerTimeoutError(
                'the worker did not respond', address=address
            )
        reply = worker.handle(request)
        if worker.faults.loses_answers:
            worker.faults.loses_answers -= 1
            raise _errors.WorkerTimeoutError(
                'the response of the worker was lost', address=address
            )
        return reply
