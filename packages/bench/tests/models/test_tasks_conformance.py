"""Test that the task lifecycle and the worker conform to the model."""

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


class LifecycleMirror:
    """Applies the transitions of the model to the code.

    Holds the stored row, a lifecycle for each controller and two workers.
    """

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.row = batch.TaskRow(
            name='t',
            pool='p',
            payload='{"work_ms": 1000000000}',
            lease_ms=LEASE_MS,
        )
        self.version = 1
        self.lifecycles: dict[str, batch.Lifecycle] = {}
        self.workers = {
            n: platform.MemoryWorker(self.clock.now, f'w{n}') for n in (1, 2)
        }

    def apply(self, label: str) -> None:
        """Apply a transition of the model if the code has a counterpart."""
        controller_id, _, step = label.partition(' ')
        if step == 'reads':
            self.load(controller_id)
        elif (
            step.startswith('claims for') and controller_id in self.lifecycles
        ):
            lifecycle = self.lifecycles[controller_id]
            self.write(controller_id, lifecycle.begin(f'w{step[-1]}'))
        elif step == 'adopts':
            row = batch.adopt(self.row, 'b')
            assert row is not None
            self.row, self.version = row, self.version + 1
            self.load('b')
        elif step == 'evicts':
            self.send_message(controller_id, batch.EvictRequested())
        elif step.startswith('observes'):
            self.deliver_status(controller_id, step.split()[1])
        elif step == 'waits for the lapse':
            self.let_lease_expire(controller_id)

    def load(self, controller_id: str) -> None:
        self.lifecycles[controller_id] = batch.Lifecycle(
            self.row, self.version, controller_id, self.clock.now(), TIMING
        )

    def write(self, controller_id: str, effects: list[batch.Effect]) -> None:
        """Perform the row writes among effects by compare-and-swap."""
        lifecycle = self.lifecycles[controller_id]
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
            self.write(
                controller_id, lifecycle.handle(message, self.clock.now())
            )

    def send_message(self, controller_id: str, message: batch.Message) -> None:
        if controller_id in self.lifecycles:
            lifecycle = self.lifecycles[controller_id]
            self.write(
                controller_id, lifecycle.handle(message, self.clock.now())
            )

    def deliver_status(self, controller_id: str, status: str) -> None:
        lifecycle = self.lifecycles[controller_id]
        self.send_message(
            controller_id,
            batch.WorkerReported(
                attempt=lifecycle.row.attempt,
                status=batch.RunStatus(status),
                checkpoint='',
            ),
        )

    def let_lease_expire(self, controller_id: str) -> None:
        self.clock.advance(LEASE_MS + WINDOW_MS + 1)
        self.send_message(controller_id, batch.Tick())


class MergedWalk:
    """Random walk on which an end is written as soon as it is observed.

    The code does both in one step. The model separates them so that other
    transitions can occur in between; the policy tests cover that case with
    delayed writes.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.spec = model.Transitions('')
        self.state = model.State()

    def step(self) -> list[tuple[str, model.State, model.State]]:
        choices = [
            item
            for item in self.spec.steps(self.state)
            if item[0] != 'a hands over' and ' saves' not in item[0]
        ]
        if not choices:
            return []
        transitions = [self._take(self.rng.choice(choices))]
        for label, state in self.spec.steps(self.state):
            if ' records ' in label:
                transitions.append(self._take((label, state)))
                break
        return transitions

    def _take(
        self, choice: tuple[str, model.State]
    ) -> tuple[str, model.State, model.State]:
        old, self.state = self.state, choice[1]
        return choice[0], old, self.state


def row_summary(state: model.State) -> tuple[str, int, str]:
    return state.row.state, state.row.attempt, state.row.controller


@pytest.mark.parametrize('seed', range(100))
def test_lifecycle_follows_the_model(seed: int) -> None:
    """Writing other rows than the model does invalidates its proof."""
    walk = MergedWalk(seed)
    mirror = LifecycleMirror()
    for _ in range(STEPS):
        transitions = walk.step()
        for label, old, new in transitions:
            if label == 'a dies':
                mirror.lifecycles.pop('a', None)
            elif 'answers' in label:
                packet_owner = 'a' if old.a.end != new.a.end else 'b'
                mirror.deliver_status(packet_owner, 'stopped')
            else:
                mirror.apply(label)
        row = mirror.row
        assert row_summary(walk.state) == (
            row.state.value,
            row.attempt,
            row.controller,
        ), transitions


@pytest.mark.parametrize('seed', range(100))
def test_worker_follows_the_model(seed: int) -> None:
    """A worker that accepts more than the model invalidates its proof."""
    rng = random.Random(seed)
    clock = core.ManualClock(start=1_000)
    spec = model.Transitions('')
    model_worker = model.Worker()
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
        model_worker, answer = spec.accept(model_worker, packet)
        running = answer == 'running'
        is_late = packet.is_late and packet.kind != 'stop'
        if not is_late:
            is_running = report.status is platform.RunStatus.RUNNING
            assert is_running == running, packet
        assert (worker._runs['t'].attempt if worker._runs else 0) == (
            model_worker.attempt
        )


def to_request(packet: model.Packet, now: int) -> platform.WorkerRequest:
    """Return the request that corresponds to a message of the model."""
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
