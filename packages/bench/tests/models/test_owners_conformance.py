"""Test that scheduler and worker stand-in conform to the owners model."""

import random

import pytest

from oriolestand_bench.models import _owners as model
import oriolestand_core as core
from oriolestand_fleet.messages import orders
from oriolestand_policy import scheduling
from oriolestand_standins import fleet

STEPS = 60
LEASE_MS = 6_000
POLL_MS = 50
STOP_MS = 110
NO_LIMIT_MS = 2**53
"""Later than any time at which a request is sent."""
"""Longer than a stop takes, and short enough for all orders in a lease."""

KEY = scheduling.TaskKey('j', 0, 0, 0)
JOB = scheduling.JobSpec(
    id='j',
    route='r',
    payload='x',
    steps=(scheduling.StepSpec(count=1, cpu=1_000),),
)
ROUTE = scheduling.RoutePolicy(name='r', pool='p', max_attempts=9)


def info_of(number: int) -> scheduling.WorkerInfo:
    """Return a worker with capacity for the task."""
    return scheduling.WorkerInfo(
        id=f'w{number}',
        pool='p',
        address='',
        failure_domain='d',
        cpu=8_000,
        memory_mb=1_000,
        process_start_ms=1,
    )


class Walk:
    """Random walk of the model with a scheduler for each owner.

    Each scheduler receives the same messages as its owner. An owner starts
    the task only when its scheduler does, so that each start by the code is
    checked against the model.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.spec = model.Transitions('')
        self.state = model.State()
        self.now = 10_000
        self.run_numbers: dict[int, tuple[str, int]] = {}
        self.schedulers = {'a': self.make_scheduler(1)}
        for number in (1, 2):
            self.deliver_report('a', number)
        self.starts = 0

    def make_scheduler(self, epoch: int) -> scheduling.Scheduler:
        """Return a scheduler with the job and both workers."""
        result = scheduling.Scheduler(epoch, LEASE_MS)
        result.set_routes([ROUTE])
        infos = {f'w{n}': info_of(n) for n in (1, 2)}
        result.set_workers(infos)
        result.mark_workers_recorded(infos)
        if self.state.is_recorded:
            return result
        result.add_job(JOB, self.now, needs_probe=epoch > 1)
        return result

    def deliver_report(self, owner_id: str, number: int) -> None:
        """Pass a worker's report to a scheduler."""
        worker: model.Worker = getattr(self.state, f'w{number}')
        running = []
        ended = []
        if worker.running:
            running.append(
                scheduling.RunReport(
                    key=KEY,
                    number=self.scheduler_run_number(worker.running),
                    checkpoint='',
                    percent=50,
                )
            )
        if worker.done:
            ended.append(
                scheduling.EndReport(
                    sequence=1,
                    key=KEY,
                    number=self.scheduler_run_number(worker.done),
                    kind=scheduling.EndKind.DONE,
                    checkpoint='',
                )
            )
        self.schedulers[owner_id].on_worker_report(
            f'w{number}',
            scheduling.WorkerReport(
                clock_ms=self.now,
                process_start_ms=1,
                running=tuple(running),
                ended=tuple(ended),
            ),
            self.now,
            self.now,
        )

    def scheduler_run_number(self, run: int) -> int:
        """Return the scheduler's run number for a run of the model."""
        return self.run_numbers[run][1]

    def step(self) -> None:
        """Take a random transition that has a counterpart in the code."""
        self.now += POLL_MS
        choices = [
            item
            for item in self.spec.steps(self.state)
            if ' starts ' not in item[0] and ' waits ' not in item[0]
        ]
        if not choices:
            return
        label, after = self.rng.choice(choices)
        before, self.state = self.state, after
        self.notify_scheduler(label, before)
        for owner_id in list(self.schedulers):
            if not getattr(self.state, owner_id).is_active:
                del self.schedulers[owner_id]
                continue
            self.decide(owner_id)

    def notify_scheduler(self, label: str, before: model.State) -> None:
        """Apply a transition of the model to the schedulers."""
        owner_id, _, what = label.partition(' ')
        if label == 'b claims':
            self.schedulers['b'] = self.make_scheduler(2)
        elif what.startswith('polls') and owner_id in self.schedulers:
            # The poll raises the fence before the worker reports.
            if getattr(self.state, owner_id).is_active:
                number = int(what[-1])
                after, self.state = self.state, before
                self.deliver_report(owner_id, number)
                self.state = after
        elif what == 'gets no answer':
            run = getattr(before, owner_id).run
            worker = getattr(before, owner_id).at
            self.schedulers[owner_id].on_start_reply(
                f'w{worker}',
                KEY,
                self.scheduler_run_number(run),
                scheduling.StartOutcome.IN_DOUBT,
                '',
                self.now,
            )
        else:
            for name in ('a', 'b'):
                owner: model.Owner = getattr(self.state, name)
                previous: model.Owner = getattr(before, name)
                if owner.is_stopped and not previous.is_stopped:
                    if name in self.schedulers:
                        self.schedulers[name].on_stop_reply(
                            f'w{owner.at}',
                            KEY,
                            self.scheduler_run_number(owner.run),
                            True,
                            self.now,
                        )

    def decide(self, owner_id: str) -> None:
        """Check the starts of a scheduler and apply them to the model."""
        scheduler = self.schedulers[owner_id]
        owner: model.Owner = getattr(self.state, owner_id)
        for name in ('w1', 'w2'):
            # The walk does not model the time-out of a worker report.
            scheduler.workers[name].last_report_ms = self.now
        former_runs = scheduling.FormerRuns(
            has_unknown_workers=owner.probed != {1, 2}
        )
        scheduler.decide(self.now, self.now, former_runs)
        for effect in scheduler.take_effects():
            if not isinstance(effect, scheduling.StartTask):
                continue
            number = int(effect.worker[1])
            has_no_runs_left = owner.runs >= model.MAX_RUNS[owner_id]
            if has_no_runs_left:
                # The bound of the model on this owner's runs is reached.
                del self.schedulers[owner_id]
                owner = owner._replace(is_active=False)
                self.state = model.replace(self.state, owner_id, owner)
                return
            assert self.spec.can_start(owner, owner_id), (owner_id, self.state)
            self.state = self.spec.start_run(self.state, owner_id, number)
            run = getattr(self.state, owner_id).run
            self.run_numbers[run] = (owner_id, effect.run)
            self.starts += 1


@pytest.mark.parametrize('seed', range(150))
def test_scheduler_starts_only_where_the_model_allows(seed: int) -> None:
    """A scheduler that starts more than the model invalidates its proof."""
    walk = Walk(seed)
    for _ in range(STEPS):
        walk.step()
        assert not model.violates_invariant(walk.state)


def test_walks_reach_a_second_start() -> None:
    """Without a second start, the walks would not test restarts."""
    counts = []
    for seed in range(60):
        walk = Walk(seed)
        for _ in range(STEPS):
            walk.step()
        counts.append(walk.starts)
    assert max(counts) >= 2


@pytest.mark.parametrize('seed', range(60))
def test_worker_accepts_what_the_model_accepts(seed: int) -> None:
    """A stand-in that accepts more than the model invalidates its tests."""
    rng = random.Random(seed)
    clock = core.ManualClock(start=1_000)
    spec = model.Transitions('')
    model_worker = model.Worker()
    worker = fleet.FleetWorker(
        clock,
        info_of(1),
        [],
        duration_of=lambda key: 1_000_000,
        outcome_of=lambda key, number: 'done',
    )
    for _ in range(40):
        order = model.Order(
            kind=rng.choice(('start', 'stop')),
            run=rng.randrange(1, 9),
            epoch=rng.choice((1, 2)),
            worker=1,
            is_late=rng.random() < 0.3,
        )
        model_worker = spec.accept(model_worker, order)
        send(worker, order, clock.now())
        clock.advance(STOP_MS)
        runs = [record.number for record in worker._running.values()]
        assert runs == (
            [model_worker.running] if model_worker.running else []
        ), order


def send(worker: fleet.FleetWorker, order: model.Order, now: int) -> None:
    """Send an order of the model to the stand-in."""
    target = orders.Target(worker='w1', address='')
    late = now - 1 if order.is_late else now + LEASE_MS
    try:
        if order.kind == 'stop':
            worker.stop(
                orders.StopRun(
                    target=target,
                    key=KEY,
                    number=order.run,
                    epoch=order.epoch,
                    send_by_ms=NO_LIMIT_MS,
                )
            )
            return
        worker.start(
            orders.StartRun(
                target=target,
                key=KEY,
                number=order.run,
                payload='',
                checkpoint='',
                lease_end_ms=late,
                epoch=order.epoch,
                send_by_ms=NO_LIMIT_MS,
            )
        )
    except orders.FencedError:
        return
