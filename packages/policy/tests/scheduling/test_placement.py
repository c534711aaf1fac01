"""Compare placement with a first-fit baseline on random workers."""

import dataclasses
import random

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fit_budget
from oriolestand_policy.scheduling import _mixed_placement
from oriolestand_policy.scheduling import _placement


def random_spec(rng):
    kind = rng.choice(['plain', 'service', 'filling'])
    return scheduling.StepSpec(
        count=20,
        cpu=rng.randrange(500, 9_000),
        memory_mb=rng.randrange(100, 6_000),
        is_service=kind == 'service',
        is_filling=kind == 'filling',
        image=rng.choice('abc'),
        target_ms=18 if kind == 'service' else 0,
        label=rng.choice(['', '', 'x']),
        max_per_worker=rng.choice([0, 0, 1]),
    )


def fill(rng, pressure):
    """Place random tasks; yield each with the selections of both policies."""
    workers = [
        scheduling.Worker(
            info=scheduling.WorkerInfo(
                id=f'w{n}',
                pool='p',
                address='',
                failure_domain='d',
                cpu=16_000,
                memory_mb=16_000,
                labels=frozenset(rng.choice([(), ('x',)])),
            ),
            is_probed=True,
            is_recorded=True,
            last_report_ms=0,
        )
        for n in range(4)
    ]
    first_fit = _placement.FirstFitPlacement()
    mixed = _mixed_placement.MixedPlacement(pressure)
    for number in range(60):
        spec = random_spec(rng)
        key = scheduling.TaskKey(f'j{number // 4}', 0, 0, number)
        task = scheduling.Task(key=key, spec=spec)
        first_fit.plan(workers, 0)
        mixed.plan(workers, 0)
        selected = mixed.select_worker(task, 'p')
        yield task, selected, first_fit.select_worker(task, 'p')
        if selected is not None:
            selected.add(
                scheduling.Run(
                    key=key,
                    number=1,
                    spec=spec,
                    phase=scheduling.RunPhase.RUNNING,
                    since_ms=0,
                )
            )


@pytest.mark.parametrize('seed', range(20))
def test_selections_respect_the_same_limits_as_first_fit(seed):
    # Guards against a selection that ignores capacity, labels or limits, and
    # against tasks other than filling tasks that wait although they fit.
    rng = random.Random(seed)
    for task, selected, baseline in fill(rng, scheduling.InterferenceModel()):
        if selected is not None:
            assert baseline is not None
            info = selected.info
            assert selected.capacity.used_cpu <= info.cpu
            assert selected.capacity.used_memory <= info.memory_mb
            assert not task.spec.label or task.spec.label in info.labels
        elif not task.spec.is_filling:
            assert baseline is None


def test_filling_tasks_that_do_not_fit_delay_no_others(harness, monkeypatch):
    # Guards against rounds that examine all workers for hundreds of filling
    # jobs, and against a limit on these checks that delays plain tasks.
    monkeypatch.setattr(_fit_budget, 'MAX_FAILED_FIT_CHECKS_PER_ROUND', 4)
    for number in range(9):
        # Each needs less than those before, so that none is covered by them.
        spec = scheduling.StepSpec(
            count=1, cpu=11_000 - number, is_filling=True
        )
        harness.add(f'f{number}', spec)
    fitting = scheduling.StepSpec(count=1, cpu=1_000, is_filling=True)
    harness.add('g', fitting)
    harness.add('p', scheduling.StepSpec(count=1, cpu=1_000))
    started = [start.key.job for start in harness.decide()[0]]
    assert started == ['p']
    for number in range(9):
        harness.scheduler.cancel_job(f'f{number}', harness.now)
    assert [start.key.job for start in harness.decide()[0]] == ['g']


def test_larger_filling_tasks_than_one_that_does_not_fit_cost_nothing(
    harness, monkeypatch
):
    # Guards against a burst of jobs of different sizes whose checks use up the
    # limit of each round, so that a task that fits waits for seconds.
    monkeypatch.setattr(_fit_budget, 'MAX_FAILED_FIT_CHECKS_PER_ROUND', 4)
    for number in range(99):
        spec = scheduling.StepSpec(
            count=1, cpu=11_000 + number, is_filling=True
        )
        harness.add(f'f{number:02}', spec)
    fitting = scheduling.StepSpec(count=1, cpu=1_000, is_filling=True)
    harness.add('g', fitting)
    assert [start.key.job for start in harness.decide()[0]] == ['g']


def test_filling_tasks_of_one_round_share_free_capacity(harness):
    # Guards against a cached capacity that is not updated after a selection,
    # so that a round overcommits a worker.
    spec = scheduling.StepSpec(count=3, cpu=6_000, is_filling=True)
    harness.add('f', spec)
    workers = [start.worker for start in harness.decide()[0]]
    assert sorted(workers) == ['w0', 'w1']


def test_leaving_worker_without_a_row_counts_as_leaving(harness):
    # An operator must not look for a failed write of a row that was removed
    # because the worker leaves.
    info = dataclasses.replace(harness.infos['w0'], is_leaving=True)
    harness.scheduler.set_workers({**harness.infos, 'w0': info})
    harness.scheduler.mark_workers_unrecorded(['w0'])
    counts = harness.scheduler.figures.workers_by_state(harness.now)
    assert counts[_eligibility.WorkerState.LEAVING] == 1
    assert counts[_eligibility.WorkerState.NOT_RECORDED] == 0


def test_gang_that_does_not_fit_takes_no_room_from_later_tasks(harness):
    # Guards against a filling task that waits in each round because a more
    # urgent gang was tried first and its members still seem to be placed.
    gang = scheduling.StepSpec(
        count=3, cpu=8_000, is_filling=True, is_gang=True, image='a'
    )
    harness.add('gang', gang)
    harness.add(
        'task', dataclasses.replace(gang, count=1, is_gang=False, image='b')
    )
    starts, _ = harness.decide()
    assert [start.key.job for start in starts] == ['task']


def test_gang_that_does_not_fit_takes_no_trial_from_later_tasks(make):
    # Guards against filling tasks whose interference is unknown and which no
    # round tries, as a gang that does not fit uses up the trial first.
    harness = make.Harness(workers=1)
    service = scheduling.StepSpec(
        count=1, cpu=1_000, is_service=True, image='web', target_ms=18
    )
    harness.add('service', service)
    ((start,), _) = harness.decide()
    harness.answer(start)
    harness.now += 100
    harness.poll('w0', [make.report(start, measured=10)])
    filling = scheduling.StepSpec(
        count=1, cpu=4_000, is_filling=True, image='loud'
    )
    harness.add('gang', dataclasses.replace(filling, count=2, is_gang=True))
    harness.add('task', filling)
    starts, _ = harness.decide()
    assert [start.key.job for start in starts] == ['task']
