"""Stand-in for a worker: the task protocol, faults and a run history."""

import json
import time
from typing import Any

import pydantic
from twisted.web import http
from twisted.web import server

import oriolestand_platform as platform

MILLIS_PER_SECOND = 1000
USAGE_LAG_MS = 5_000


class WorkerFaultModel(pydantic.BaseModel):
    """Request to replace the faults of a worker; omitted ones are off."""

    model_config = pydantic.ConfigDict(extra='forbid')

    fails_tasks: bool = False
    checkpoint_ms: int = pydantic.Field(default=0, ge=0)
    delay_ms: int = pydantic.Field(default=0, ge=0)
    hangs: bool = False
    loses_answers: int = pydantic.Field(default=0, ge=0)
    is_gone: bool = False


def _now_ms() -> int:
    """Return the monotonic clock in ms, which stand-ins on a machine share."""
    return int(time.monotonic() * MILLIS_PER_SECOND)


class WorkerEndpoint:
    """Handles the paths under ``/_worker``: tasks, faults and runs."""

    def __init__(self, reactor: Any, name: str, slots: int) -> None:
        self._reactor = reactor
        self.worker = platform.MemoryWorker(
            _now_ms, f'{name}-{_now_ms()}', slots, usage_lag_ms=USAGE_LAG_MS
        )

    def slots_in_use(self) -> int:
        """Return the number of slots that running tasks use."""
        self.worker.advance(_now_ms())
        return sum(
            run.request.slots
            for run in self.worker.history
            if run.status is platform.RunStatus.RUNNING
        )

    def render(self, request: Any) -> Any:
        """Answer at once, late or not at all, depending on the faults."""
        body = request.content.read()
        path = request.path.decode()
        try:
            if path == '/_worker/faults':
                model = WorkerFaultModel.model_validate_json(body)
                self.worker.faults = platform.WorkerFaults(
                    **model.model_dump()
                )
                return b'{}'
            if path == '/_worker/runs':
                return json.dumps({'runs': self._runs()}).encode()
            message = platform.REQUEST_ADAPTER.validate_json(body)
        except ValueError as exc:
            request.setResponseCode(http.BAD_REQUEST)
            return str(exc).encode()
        self._answer_with_faults(request, message)
        return server.NOT_DONE_YET

    def _answer_with_faults(
        self, request: Any, message: platform.WorkerRequest
    ) -> None:
        """Answer a task request, subject to the connection faults."""
        faults = self.worker.faults
        if faults.hangs:
            return
        if faults.is_gone:
            request.channel.transport.abortConnection()
            return
        if faults.delay_ms:
            self._reactor.callLater(
                faults.delay_ms / MILLIS_PER_SECOND,
                self._answer,
                request,
                message,
            )
            return
        self._answer(request, message)

    def _answer(self, request: Any, message: platform.WorkerRequest) -> None:
        """Handle a task request; drop the answer if a fault is set."""
        reply = self.worker.handle(message)
        if request._disconnected:
            return
        if self.worker.faults.loses_answers:
            self.worker.faults.loses_answers -= 1
            request.channel.transport.abortConnection()
            return
        request.write(reply.model_dump_json().encode())
        request.finish()

    def _runs(self) -> list[dict[str, Any]]:
        """Return all runs that were started on this worker."""
        self.worker.advance(_now_ms())
        return [
            {
                'task': run.request.run.task,
                'attempt': run.attempt,
                'started': run.started,
                'ended': run.ended,
                'status': run.status.value,
                'resumed_from': run.request.checkpoint,
                'result': run.result,
            }
            for run in self.worker.history
        ]


def find_overlapping_tasks(runs: list[dict[str, Any]]) -> list[str]:
    """Return the tasks of which two runs overlap in time.

    :param runs: the runs of all workers, as ``/_worker/runs`` returns them.

    >>> first = {'task': 't', 'started': 1, 'ended': 5, 'status': 'stopped'}
    >>> find_overlapping_tasks([first, {**first, 'started': 5, 'ended': 9}])
    []
    >>> find_overlapping_tasks([first, {**first, 'started': 4, 'ended': 9}])
    ['t']
    """
    spans_by_task: dict[str, list[tuple[float, float]]] = {}
    for run in runs:
        is_running = run['status'] == platform.RunStatus.RUNNING.value
        end = float('inf') if is_running else run['ended']
        if end > run['started']:
            spans_by_task.setdefault(run['task'], []).append(
                (run['started'], end)
            )
    found = []
    for task, task_spans in spans_by_task.items():
        task_spans.sort()
        pairs = zip(task_spans, task_spans[1:], strict=False)
        if any(second[0] < first[1] for first, second in pairs):
            found.append(task)
    return found
