"""Test that placement decides the same with what it keeps between rounds.

Guards against bounds that are kept although what they depend on has changed:
a task would then be placed on a worse worker, or on one without room.
"""

import random

import pytest

from oriolestand_policy.scheduling import _candidates
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _mixed_placement
from oriolestand_policy.scheduling import _pressure
from oriolestand_policy.scheduling import _specs

WORKERS = 12
ROUNDS = 150
SPECS = (
    _specs.StepSpec(count=1, cpu=1_000, memory_mb=100),
    _specs.StepSpec(count=1, cpu=2_000, memory_mb=100, rack='r1'),
    _specs.StepSpec(
        count=1, cpu=2_000, memory_mb=100, is_filling=True, image='f0'
    ),
    _specs.StepSpec(
        count=1, cpu=1_000, memory_mb=100, is_filling=True, image='f1'
    ),
    _specs.StepSpec(
        count=1,
        cpu=3_000,
        memory_mb=100,
        is_service=True,
        image='s0',
        target_ms=100,
        max_per_worker=1,
    ),
)


class Fleet:
    """Workers that change at random, and placements that choose among them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms = 10_000
        self.numbers = 0
        self.workers = [
            _fleet.Worker(
                info=_fleet.WorkerInfo(
                    id=f'w{number}',
                    pool='p',
                    address='a:1',
                    failure_domain='d',
                    cpu=16_000,
                    memory_mb=10_000,
                    rack=f'r{number % 3}',
                ),
                is_probed=True,
                is_recorded=True,
                last_report_ms=self.now_ms,
            )
            for number in range(WORKERS)
        ]

    def next_task(self):
        """Return a new task."""
        self.numbers += 1
        key = _jobs.TaskKey(f'j{self.numbers % 5}', 0, 0, self.numbers)
        return _jobs.Task(key=key, spec=self.rng.choice(SPECS))

    def add(self, worker, task):
        """Start a task on a worker."""
        worker.add(
            _fleet.Run(
                key=task.key,
                number=1,
                spec=task.spec,
                phase=_fleet.RunPhase.RUNNING,
                since_ms=self.now_ms,
            )
        )

    def change(self):
        """Change some workers as reports and orders do."""
        self.now_ms += 50
        for worker in self.rng.sample(self.workers, 4):
            worker.last_report_ms = self.now_ms
            runs = list(worker.runs.values())
            kind = self.rng.randrange(8)
            if kind == 0 and runs:
                worker.drop(self.rng.choice(runs))
            elif kind == 1:
                for run in runs:
                    if run.spec.is_service:
                        run.measured = self.rng.choice((20, 84, 86, 120))
            elif kind in (2, 6, 7):
                worker.failed_tasks = dict.fromkeys(
                    range(self.rng.randrange(3)), 0
                )
            elif kind == 3:
                worker.is_readmitted = not worker.is_readmitted
            elif kind == 4:
                worker.reserve(SPECS[0])
            else:
                worker.backoff_until_ms = self.now_ms + 100


@pytest.mark.parametrize('seed', range(8))
def test_kept_bounds_do_not_change_decisions(seed):
    fleet = Fleet(seed)
    pressure = _pressure.InterferenceModel()
    kept = _mixed_placement.MixedPlacement(pressure)
    placed = 0
    for _ in range(ROUNDS):
        fleet.change()
        fresh = _mixed_placement.MixedPlacement(pressure)
        for placement in (kept, fresh):
            placement.plan(fleet.workers, fleet.now_ms)
        for _ in range(3):
            task = fleet.next_task()
            expected = fresh.select_worker(task, 'p')
            assert kept.select_worker(task, 'p') is expected
            if expected is not None:
                fleet.add(expected, task)
                placed += 1
    assert placed > ROUNDS


def test_heap_holds_no_outdated_bounds():
    # Guards against queues that take out the bounds of earlier rounds again
    # in each round in which they find no worker.
    fleet = Fleet(0)
    cache = _candidates.BoundCache(fleet.workers)
    for number in range(ROUNDS):
        worker = fleet.workers[number % WORKERS]
        fleet.add(worker, fleet.next_task())
        views = [_candidates.view_of(worker) for worker in fleet.workers]
        heap, versions = cache.heap(
            views, [], lambda index: None if index % 2 else (index,)
        )
        assert sorted(entry[1:3] for entry in heap) == [
            (index, versions[index]) for index in range(0, WORKERS, 2)
        ]
