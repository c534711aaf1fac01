"""Tie the model of owners to the scheduler and to the worker stand-in."""

import random

import pytest

from oriolestand_bench.models import _owners as model
import oriolestand_core as core
from oriolestand_fleet.messages import orders
from oriolestand_policy import scheduling
from oriolestand_standins import fleet

STEPS = 60
LEASE_MS = 6_000
LOOK_MS = 50
STOP_MS = 110
"""Longer than a stop takes; all orders of a walk fit in one lease."""

KEY = scheduling.TaskKey('j', 0, 0, 0)
JOB = scheduling.JobSpec(
    id='j',
    route='r',
    payload='x',
    steps=(scheduling.StepSpec(count=1, cpu=1_000),),
)
ROUTE = scheduling.RoutePolicy(name='r', pool='p', max_attempts=9)


def info_of(number: int) -> scheduling.WorkerInfo:
    """Return a worker with room for the task."""
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
    """Take random steps of the model; schedulers hear what owners hear.

    Owners start the task only when their scheduler wants to, so that each
    start of the code is checked against the model.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.spec = model._Spec('')
        self.state = model.State()
        self.now = 10_000
        self.numbers: dict[int, tuple[str, int]] = {}
        self.code = {'a': self.scheduler(1)}
        for number in (1, 2):
            self.report('a', number)
        self.starts = 0

    def scheduler(self, epoch: int) -> scheduling.Scheduler:
        """Return a scheduler that knows the job and both workers."""
        made = scheduling.Scheduler(epoch, LEASE_MS)
        made.set_routes([ROUTE])
        infos = {f'w{n}': info_of(n) for n in (1, 2)}
        made.set_workers(infos)
        made.mark_workers_recorded(infos)
        if self.state.is_recorded:
            return made
        made.add_job(JOB, self.now, needs_probe=epoch > 1)
        return made

    def report(self, who: str, number: int) -> None:
        """Let a scheduler see what a worker lists."""
        worker: model.Worker = getattr(self.state, f'w{number}')
        running = []
        ended = []
        if worker.running:
            running.append(
                scheduling.RunReport(
                    key=KEY,
                    number=self.code_number(worker.running),
                    checkpoint='',
                    percent=50,
                )
            )
        if worker.done:
            ended.append(
                scheduling.EndReport(
                    sequence=1,
                    key=KEY,
                    number=self.code_number(worker.done),
                    kind=scheduling.EndKind.DONE,
                    checkpoint='',
                )
            )
        self.code[who].on_worker_report(
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

    def code_number(self, run: int) -> int:
        """Return the number of the code for a run of the model."""
        return self.numbers[run][1]

    def step(self) -> None:
        """Take a step of the model that has a counterpart in the code."""
        self.now += LOOK_MS
        choices = [
            item
            for item in self.spec.steps(self.state)
            if ' starts ' not in item[0] and ' waits ' not in item[0]
        ]
        if not choices:
            return
        label, after = self.rng.choice(choices)
        before, self.state = self.state, after
        self.tell(label, before)
        for who in list(self.code):
            if not getattr(self.state, who).is_active:
                del self.code[who]
                continue
            self.decide(who)

    def tell(self, label: str, before: model.State) -> None:
        """Let the code hear of a step."""
        who, _, what = label.partition(' ')
        if label == 'b claims':
            self.code['b'] = self.scheduler(2)
        elif what.startswith('looks at') and who in self.code:
            # The fence is raised before the worker answers.
            if getattr(self.state, who).is_active:
                number = int(what[-1])
                after, self.state = self.state, before
                self.report(who, number)
                self.state = after
        elif what == 'gets no answer':
            run = getattr(before, who).run
            place = getattr(before, who).at
            self.code[who].on_start_reply(
                f'w{place}',
                KEY,
                self.code_number(run),
                scheduling.StartOutcome.IN_DOUBT,
                '',
                self.now,
            )
        else:
            for owner in ('a', 'b'):
                mine: model.Owner = getattr(self.state, owner)
                was: model.Owner = getattr(before, owner)
                if mine.is_stopped and not was.is_stopped:
                    if owner in self.code:
                        self.code[owner].on_stop_reply(
                            f'w{mine.at}',
                            KEY,
                            self.code_number(mine.run),
                            True,
                            self.now,
                        )

    def decide(self, who: str) -> None:
        """Check what a scheduler starts and repeat it in the model."""
        code = self.code[who]
        mine: model.Owner = getattr(self.state, who)
        for name in ('w1', 'w2'):
            # The walk has no time limits of its own.
            code.workers[name].last_report_ms = self.now
        code.decide(self.now, self.now, mine.probed == {1, 2})
        for effect in code.take_effects():
            if not isinstance(effect, scheduling.StartTask):
                continue
            number = int(effect.worker[1])
            is_spent = mine.runs >= model.MAX_RUNS[who]
            if is_spent:
                # The model has no more runs for this owner.
                del self.code[who]
                owner = mine._replace(is_active=False)
                self.state = model._set(self.state, who, owner)
                return
            assert self.spec._may_start(mine, who), (who, self.state)
            self.state = self.spec._start(self.state, who, number)
            run = getattr(self.state, who).run
            self.numbers[run] = (who, effect.run)
            self.starts += 1


@pytest.mark.parametrize('seed', range(150))
def test_scheduler_starts_only_where_the_model_does(seed: int) -> None:
    """A scheduler that starts more than the model voids what was proved."""
    walk = Walk(seed)
    for _ in range(STEPS):
        walk.step()
        assert not model._is_broken(walk.state)


def test_walks_reach_second_starts() -> None:
    """Walks that never start again would check nothing."""
    counts = []
    for seed in range(60):
        walk = Walk(seed)
        for _ in range(STEPS):
            walk.step()
        counts.append(walk.starts)
    assert max(counts) >= 2


@pytest.mark.parametrize('seed', range(60))
def test_worker_accepts_what_the_model_accepts(seed: int) -> None:
    """A stand-in that accepts more than the model voids what it tests."""
    rng = random.Random(seed)
    clock = core.ManualClock(start=1_000)
    spec = model._Spec('')
    mine = model.Worker()
    worker = fleet.FleetWorker(
        clock,
        info_of(1),
        [],
        duration_of=lambda key: 1_000_000,
        how_of=lambda key, number: 'done',
    )
    for _ in range(40):
        order = model.Order(
            kind=rng.choice(('start', 'stop')),
            run=rng.randrange(1, 9),
            epoch=rng.choice((1, 2)),
            worker=1,
            is_late=rng.random() < 0.3,
        )
        mine = spec.accept(mine, order)
        send(worker, order, clock.now())
        clock.advance(STOP_MS)
        runs = [record.number for record in worker._running.values()]
        assert runs == ([mine.running] if mine.running else []), order


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
            )
        )
    except orders.FencedError:
        return
