"""Run life cycles against simulated workers and a row store."""

import dataclasses
import json
import random

import pytest

import oriolestand_core as core
import oriolestand_platform as platform
from oriolestand_policy import batch

TIMING = batch.Timing(
    window_ms=200, margin_ms=100, silence_ms=400, repeat_ms=100, save_ms=300
)
LEASE_MS = 600
WORKERS = ('w0', 'w1', 'w2')


class World:
    """Hold rows, workers, controllers and messages on their way."""

    def __init__(self, seed: int | None = None) -> None:
        self.clock = core.ManualClock()
        self.rng = random.Random(seed)
        self.is_ordered = seed is None
        self.rows: dict[str, tuple[batch.TaskRow, int]] = {}
        self.history: list[tuple[str, platform.MemoryWorker]] = []
        self.workers = {name: self._worker(name, 'b0') for name in WORKERS}
        self.gone: set[str] = set()
        self.lives: dict[str, dict[str, batch.Lifecycle]] = {'a/1': {}}
        self.mail: list[tuple[str, str, batch.Effect, int]] = []
        self.freed: list[tuple[str, int]] = []

    def _worker(self, name: str, boot: str) -> platform.MemoryWorker:
        worker = platform.MemoryWorker(self.clock.now, boot, slots=99)
        self.history.append((name, worker))
        return worker

    def submit(
        self, name: str, work_ms: int = 1_000, fails: bool = False, **kw
    ) -> None:
        payload = json.dumps({'work_ms': work_ms, 'fails': fails})
        row = batch.TaskRow(
            name=name, pool='p', payload=payload, lease_ms=LEASE_MS, **kw
        )
        self.rows[name] = (row, 1)

    def row(self, name: str) -> batch.TaskRow:
        return self.rows[name][0]

    def take(self, me: str, name: str, worker: str | None = None) -> None:
        """Place a queued task, or adopt one of a dead controller."""
        row, version = self.rows[name]
        if name in self.lives[me]:
            return
        if row.state is batch.TaskState.QUEUED:
            life = self._life(me, row, version)
            usable = sorted(set(WORKERS) - self.gone)
            if usable:
                self.send(me, name, life.begin(worker or usable[0]))
            return
        if row.controller in self.lives:
            return
        adopted = batch.adopt(row, me)
        if adopted is not None:
            self.rows[name] = (adopted, version + 1)
            self._life(me, adopted, version + 1)
            self.tell(me, name, batch.Tick())

    def _life(self, me: str, row: batch.TaskRow, version: int):
        life = batch.Lifecycle(row, version, me, self.clock.now(), TIMING)
        self.lives[me][row.name] = life
        return life

    def tell(self, me: str, name: str, message: batch.Message) -> None:
        life = self.lives.get(me, {}).get(name)
        if life is not None:
            self.send(me, name, life.handle(message, self.clock.now()))

    def send(self, me: str, name: str, effects: list[batch.Effect]) -> None:
        limit = self.clock.now() + TIMING.window_ms
        for effect in effects:
            if isinstance(effect, batch.Forget):
                del self.lives[me][name]
            elif isinstance(effect, batch.FreeSlots):
                self.freed.append((name, effect.row.attempt))
            else:
                self.mail.append((me, name, effect, limit))
        if self.is_ordered:
            self.settle()

    def settle(self) -> None:
        """Deliver all messages in order."""
        while self.mail:
            self.deliver(self.mail.pop(0))

    def deliver(self, mail: tuple[str, str, batch.Effect, int]) -> None:
        """Carry out one effect; a dead sender gets no answer."""
        me, name, effect, limit = mail
        if isinstance(effect, batch.WriteRow):
            row, version = self.rows[name]
            if version == effect.version:
                self.rows[name] = (effect.row, version + 1)
                self.tell(me, name, batch.RowWritten(version=version + 1))
            else:
                self.tell(
                    me, name, batch.RowConflicted(row=row, version=version)
                )
            return
        self.ask(me, effect.row, effect, limit)

    def ask(self, me, row, effect, limit) -> None:
        """Send a request to a worker and pass the answer on."""
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
            case batch.AskWorker():
                req = platform.StatusRequest(runs=(run,))
            case _:
                req = platform.RenewRequest(runs=(run,), **window)
        report = worker.handle(req).reports[0]
        if not self.is_ordered and self.rng.random() < 0.15:
            return
        self.tell(me, row.name, answer(report))

    def renew(self, me: str) -> None:
        """Extend all leases that a controller may extend."""
        now = self.clock.now()
        for life in list(self.lives[me].values()):
            if life.may_renew(now):
                life.extended(now)
                limit = now + TIMING.window_ms
                if self.is_ordered:
                    self.ask(me, life.row, None, limit)
                else:
                    self.mail.append(
                        (me, life.row.name, Renew(life.row), limit)
                    )

    def cancel(self, name: str) -> None:
        """Cancel as an operator at any entry instance does."""
        row, version = self.rows[name]
        if row.state.is_final:
            return
        state = row.state
        if state is batch.TaskState.QUEUED:
            state = batch.TaskState.CANCELLED
        new = dataclasses.replace(row, state=state, is_cancel_requested=True)
        self.rows[name] = (new, version + 1)
        for me in list(self.lives):
            self.tell(me, name, batch.CancelWanted())

    def restart_worker(self, name: str) -> None:
        """Let a worker forget its tasks, which end."""
        worker = self.workers[name]
        now = self.clock.now()
        worker.advance(now)
        for run in worker.history:
            run.end(now, platform.RunStatus.STOPPED, 'worker restarted')
        self.workers[name] = self._worker(name, worker.boot + 'x')

    def run(self, ms: int, step: int = 50) -> None:
        """Let time pass with ticks and renewals."""
        for _ in range(0, ms, step):
            self.clock.advance(step)
            for me in list(self.lives):
                self.renew(me)
                for name in list(self.lives[me]):
                    self.tell(me, name, batch.Tick())

    def overlaps(self) -> list[str]:
        """Return the tasks that ran in two places at once."""
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
            for task, items in spans.items()
            for first, second in zip(
                sorted(items), sorted(items)[1:], strict=False
            )
            if second[0] < first[1]
        ]


@dataclasses.dataclass(frozen=True)
class Renew(batch.Effect):
    row: batch.TaskRow


def answer(report: platform.RunReport) -> batch.WorkerAnswered:
    return batch.WorkerAnswered(
        attempt=report.attempt,
        status=batch.RunStatus(report.status.value),
        checkpoint=report.checkpoint,
        result=report.result,
        reason=report.reason,
        ran_ms=report.ran_ms,
        is_saving=report.is_saving,
    )


@pytest.fixture(scope='session')
def make_world():
    return World
