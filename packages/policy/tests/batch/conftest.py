"""Simulate lifecycles with in-memory workers and a row store."""

import dataclasses
import json
import random

import pytest

import oriolestand_core as core
import oriolestand_platform as platform
from oriolestand_policy import batch

TIMING = batch.Timing(
    window_ms=200,
    margin_ms=100,
    silence_ms=400,
    resend_ms=100,
    checkpoint_wait_ms=300,
)
LEASE_MS = 600
WORKERS = ('w0', 'w1', 'w2')


class Simulation:
    """Rows, workers, controllers and the messages in transit between them.

    Without a seed, effects are delivered at once and in order.
    """

    def __init__(self, seed: int | None = None) -> None:
        self.clock = core.ManualClock()
        self.rng = random.Random(seed)
        self.is_ordered = seed is None
        self.rows: dict[str, tuple[batch.TaskRow, int]] = {}
        self.history: list[tuple[str, platform.MemoryWorker]] = []
        self.workers = {name: self._worker(name, 'b0') for name in WORKERS}
        self.gone: set[str] = set()
        self.lifecycles: dict[str, dict[str, batch.Lifecycle]] = {'a/1': {}}
        self.in_transit: list[tuple[str, str, batch.Effect, int]] = []
        self.freed: list[tuple[str, int]] = []

    def _worker(self, name: str, boot: str) -> platform.MemoryWorker:
        worker = platform.MemoryWorker(self.clock.now, boot, slots=99)
        self.history.append((name, worker))
        return worker

    def submit(
        self, name: str, work_ms: int = 1_000, fails: bool = False, **fields
    ) -> None:
        payload = json.dumps({'work_ms': work_ms, 'fails': fails})
        row = batch.TaskRow(
            name=name, pool='p', payload=payload, lease_ms=LEASE_MS, **fields
        )
        self.rows[name] = (row, 1)

    def row(self, name: str) -> batch.TaskRow:
        return self.rows[name][0]

    def take_control(
        self, controller: str, name: str, worker: str | None = None
    ) -> None:
        """Start a queued task, or adopt one whose controller has died."""
        row, version = self.rows[name]
        if name in self.lifecycles[controller]:
            return
        if row.state is batch.TaskState.QUEUED:
            lifecycle = self._add_lifecycle(controller, row, version)
            usable = sorted(set(WORKERS) - self.gone)
            if usable:
                self.enqueue(
                    controller, name, lifecycle.begin(worker or usable[0])
                )
            return
        if row.controller in self.lifecycles:
            return
        adopted = batch.adopt(row, controller)
        if adopted is not None:
            self.rows[name] = (adopted, version + 1)
            self._add_lifecycle(controller, adopted, version + 1)
            self.notify(controller, name, batch.Tick())

    def _add_lifecycle(
        self, controller: str, row: batch.TaskRow, version: int
    ):
        lifecycle = batch.Lifecycle(
            row, version, controller, self.clock.now(), TIMING
        )
        self.lifecycles[controller][row.name] = lifecycle
        return lifecycle

    def notify(
        self, controller: str, name: str, message: batch.Message
    ) -> None:
        lifecycle = self.lifecycles.get(controller, {}).get(name)
        if lifecycle is not None:
            self.enqueue(
                controller, name, lifecycle.handle(message, self.clock.now())
            )

    def enqueue(
        self, controller: str, name: str, effects: list[batch.Effect]
    ) -> None:
        limit = self.clock.now() + TIMING.window_ms
        for effect in effects:
            if isinstance(effect, batch.DropLifecycle):
                del self.lifecycles[controller][name]
            elif isinstance(effect, batch.ReleaseSlots):
                self.freed.append((name, effect.row.attempt))
            else:
                self.in_transit.append((controller, name, effect, limit))
        if self.is_ordered:
            self.deliver_all()

    def deliver_all(self) -> None:
        """Deliver all messages in transit, in order."""
        while self.in_transit:
            self.deliver(self.in_transit.pop(0))

    def deliver(self, entry: tuple[str, str, batch.Effect, int]) -> None:
        """Carry out one effect; a controller that died gets no answer."""
        controller, name, effect, limit = entry
        if isinstance(effect, batch.WriteRow):
            row, version = self.rows[name]
            if version == effect.version:
                self.rows[name] = (effect.row, version + 1)
                self.notify(
                    controller, name, batch.RowWritten(version=version + 1)
                )
            else:
                self.notify(
                    controller,
                    name,
                    batch.RowConflicted(row=row, version=version),
                )
            return
        self.request(controller, effect.row, effect, limit)

    def request(self, controller, row, effect, limit) -> None:
        """Send a request to a worker and deliver its answer."""
        if row.worker in self.gone:
            return
        worker = self.workers[row.worker]
        run = platform.Renewal(
            task=row.name,
            attempt=row.attempt,
            epoch=row.epoch,
            lease_ms=row.lease_ms,
        )
        window = {'boot': worker.boot, 'not_after_ms': limit}
        match effect:
            case batch.StartRun():
                req = platform.StartRequest(
                    run=run,
                    payload=row.payload,
                    checkpoint=row.checkpoint,
                    **window,
                )
            case batch.CheckpointRun():
                req = platform.CheckpointRequest(run=run)
            case batch.StopRun():
                req = platform.StopRequest(run=run)
            case batch.QueryRun():
                req = platform.StatusRequest(runs=(run,))
            case _:
                req = platform.RenewRequest(runs=(run,), **window)
        report = worker.handle(req).reports[0]
        if not self.is_ordered and self.rng.random() < 0.15:
            return
        self.notify(controller, row.name, make_message(report))

    def renew(self, controller: str) -> None:
        """Extend every lease that a controller may extend."""
        now = self.clock.now()
        for lifecycle in list(self.lifecycles[controller].values()):
            if lifecycle.may_renew(now):
                lifecycle.record_lease_extension(now)
                limit = now + TIMING.window_ms
                if self.is_ordered:
                    self.request(controller, lifecycle.row, None, limit)
                else:
                    self.in_transit.append(
                        (
                            controller,
                            lifecycle.row.name,
                            Renew(lifecycle.row),
                            limit,
                        )
                    )

    def cancel(self, name: str) -> None:
        """Cancel a task as an operator does through any entry instance."""
        row, version = self.rows[name]
        if row.state.is_final:
            return
        state = row.state
        if state is batch.TaskState.QUEUED:
            state = batch.TaskState.CANCELLED
        new = dataclasses.replace(row, state=state, is_cancel_requested=True)
        self.rows[name] = (new, version + 1)
        for controller in list(self.lifecycles):
            self.notify(controller, name, batch.CancelRequested())

    def restart_worker(self, name: str) -> None:
        """Restart a worker, which ends and loses its tasks."""
        worker = self.workers[name]
        now = self.clock.now()
        worker.advance(now)
        for run in worker.history:
            run.end(now, platform.RunStatus.STOPPED, 'worker restarted')
        self.workers[name] = self._worker(name, worker.boot + 'x')

    def run(self, ms: int, step: int = 50) -> None:
        """Advance the clock in steps, with ticks and renewals."""
        for _ in range(0, ms, step):
            self.clock.advance(step)
            for controller in list(self.lifecycles):
                self.renew(controller)
                for name in list(self.lifecycles[controller]):
                    self.notify(controller, name, batch.Tick())

    def overlapping_tasks(self) -> list[str]:
        """Return the tasks that ran twice at the same time."""
        spans: dict[str, list[tuple[float, float]]] = {}
        for _, worker in self.history:
            worker.advance(self.clock.now())
            for run in worker.history:
                running = run.status is platform.RunStatus.RUNNING
                end = float('inf') if running else run.ended
                if end > run.started:
                    spans.setdefault(run.request.run.task, []).append(
                        (run.started, end)
                    )
        return [
            task
            for task, spans_of_task in spans.items()
            for first, second in zip(
                sorted(spans_of_task), sorted(spans_of_task)[1:], strict=False
            )
            if second[0] < first[1]
        ]


@dataclasses.dataclass(frozen=True)
class Renew(batch.Effect):
    row: batch.TaskRow


def make_message(report: platform.RunReport) -> batch.WorkerReported:
    return batch.WorkerReported(
        attempt=report.attempt,
        status=batch.RunStatus(report.status.value),
        checkpoint=report.checkpoint,
        result=report.result,
        reason=report.reason,
        ran_ms=report.ran_ms,
        is_saving=report.is_saving,
    )


@pytest.fixture(scope='session')
def make_simulation():
    return Simulation
