"""Tie the model of task leases to the life cycle and the worker."""

import random

import pytest

from oriolestand_bench.models import _tasks as model
import oriolestand_core as core
import oriolestand_platform as platform
from oriolestand_policy import batch

STEPS = 200
LEASE_MS = 1_000
WINDOW_MS = 100
TIMING = batch.Timing(
    window_ms=WINDOW_MS,
    margin_ms=0,
    silence_ms=0,
    resend_ms=0,
    checkpoint_wait_ms=0,
)


class Mirror:
    """Drive two life cycles and two workers through a model's steps."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.row = batch.TaskRow(
            name='t',
            pool='p',
            payload='{"work_ms": 1000000000}',
            lease_ms=LEASE_MS,
        )
        self.version = 1
        self.lives: dict[str, batch.Lifecycle] = {}
        self.workers = {
            n: platform.MemoryWorker(self.clock.now, f'w{n}') for n in (1, 2)
        }

    def follow(self, label: str) -> None:
        """Repeat a step of the model on the code, if it is one of code."""
        who, _, step = label.partition(' ')
        if step == 'reads':
            self.read(who)
        elif step.startswith('takes for') and who in self.lives:
            life = self.lives[who]
            self.write(who, life.begin(f'w{step[-1]}'))
        elif step == 'adopts':
            row = batch.adopt(self.row, 'b')
            assert row is not None
            self.row, self.version = row, self.version + 1
            self.read('b')
        elif step == 'evicts':
            self.tell(who, batch.EvictRequested())
        elif step.startswith('hears'):
            self.hear(who, step.split()[1])
        elif step == 'waits for the lapse':
            self.wait(who)

    def read(self, who: str) -> None:
        self.lives[who] = batch.Lifecycle(
            self.row, self.version, who, self.clock.now(), TIMING
        )

    def write(self, who: str, effects: list[batch.Effect]) -> None:
        """Carry out the write among effects by compare-and-swap."""
        life = self.lives[who]
        for effect in effects:
            if not isinstance(effect, batch.WriteRow):
                continue
            message: batch.Message
            if effect.version == self.version:
                self.row, self.version = effect.row, self.version + 1
                message = batch.RowWritten(version=self.version)
            else:
                message = batch.RowConflicted(
                    row=self.row, version=self.version
                )
            self.write(who, life.handle(message, self.clock.now()))

    def tell(self, who: str, message: batch.Message) -> None:
        if who in self.lives:
            life = self.lives[who]
            self.write(who, life.handle(message, self.clock.now()))

    def hear(self, who: str, status: str) -> None:
        life = self.lives[who]
        self.tell(
            who,
            batch.WorkerReported(
                attempt=life.row.attempt,
                status=batch.RunStatus(status),
                checkpoint='',
            ),
        )

    def wait(self, who: str) -> None:
        self.clock.advance(LEASE_MS + WINDOW_MS + 1)
        self.tell(who, batch.Tick())


class Merged:
    """Take only model paths on which an end is written when it is known.

    The code does both in one step; the model keeps them apart to place
    other steps in between, which the policy tests do with delayed writes.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.spec = model._Spec('')
        self.state = model.State()

    def step(self) -> list[tuple[str, model.State, model.State]]:
        choices = [
            item
            for item in self.spec.steps(self.state)
            if item[0] != 'a hands over' and ' saves' not in item[0]
        ]
        if not choices:
            return []
        taken = [self._take(self.rng.choice(choices))]
        for label, state in self.spec.steps(self.state):
            if ' records ' in label:
                taken.append(self._take((label, state)))
                break
        return taken

    def _take(
        self, choice: tuple[str, model.State]
    ) -> tuple[str, model.State, model.State]:
        old, self.state = self.state, choice[1]
        return choice[0], old, self.state


def plain(state: model.State) -> tuple[str, int, str]:
    return state.row.state, state.row.attempt, state.row.controller


@pytest.mark.parametrize('seed', range(100))
def test_life_cycle_follows_the_model(seed: int) -> None:
    """Code that writes other rows than the model voids what was proved."""
    walk = Merged(seed)
    mirror = Mirror()
    for _ in range(STEPS):
        taken = walk.step()
        for label, old, new in taken:
            if label == 'a dies':
                mirror.lives.pop('a', None)
            elif 'answers' in label:
                packet_owner = 'a' if old.a.end != new.a.end else 'b'
                mirror.hear(packet_owner, 'stopped')
            else:
                mirror.follow(label)
        row = mirror.row
        assert plain(walk.state) == (
            row.state.value,
            row.attempt,
            row.controller,
        ), taken


@pytest.mark.parametrize('seed', range(100))
def test_worker_follows_the_model(seed: int) -> None:
    """A worker that accepts more than the model voids what was proved."""
    rng = random.Random(seed)
    clock = core.ManualClock(start=1_000)
    spec = model._Spec('')
    mine = model.Worker()
    worker = platform.MemoryWorker(clock.now, 'boot')
    for _ in range(60):
        packet = model.Packet(
            kind=rng.choice(('start', 'renew', 'stop')),
            attempt=rng.choice((1, 2)),
            epoch=rng.choice('ab'),
            worker=1,
            is_late=rng.random() < 0.3,
        )
        report = worker.handle(to_request(packet, clock.now())).reports[0]
        mine, answer = spec._accept(mine, packet)
        running = answer == 'running'
        is_late = packet.is_late and packet.kind != 'stop'
        if not is_late:
            is_running = report.status is platform.RunStatus.RUNNING
            assert is_running == running, packet
        assert (worker._runs['t'].attempt if worker._runs else 0) == (
            mine.attempt
        )


def to_request(packet: model.Packet, now: int) -> platform.WorkerRequest:
    """Return the request that a message of the model stands for."""
    run = platform.Renewal(
        task='t',
        attempt=packet.attempt,
        epoch='ab'.index(packet.epoch),
        lease_ms=LEASE_MS,
    )
    late = now - 1 if packet.is_late else now + WINDOW_MS
    if packet.kind == 'stop':
        return platform.StopRequest(run=run)
    if packet.kind == 'renew':
        return platform.RenewRequest(
            runs=(run,), boot='boot', not_after_ms=late
        )
    return platform.StartRequest(
        run=run,
        boot='boot',
        not_after_ms=late,
        payload='{"work_ms": 1000000}',
    )
