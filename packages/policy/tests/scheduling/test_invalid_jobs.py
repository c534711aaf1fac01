"""Tests that jobs with numbers out of range are refused."""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _specs

STEP = scheduling.StepSpec(count=3, cpu=1_000, estimate_ms=500)


def job_of(step=STEP, **fields):
    return scheduling.JobSpec(
        id='j', route='r', payload='', steps=(step,), **fields
    )


@pytest.mark.parametrize(
    'name',
    [
        'cpu',
        'memory_mb',
        'accelerators',
        'estimate_ms',
        'max_per_worker',
        'target_ms',
        'max_unavailable',
    ],
)
@pytest.mark.parametrize('amount', [-1, 10**400])
def test_step_with_a_number_out_of_range_is_refused(name, amount):
    # Guards against a worker that gets more than its capacity beside a task
    # with negative demands, and against a number that overflows in each
    # scheduling round, which ended one owner after another.
    step = dataclasses.replace(STEP, **{name: amount})
    with pytest.raises(scheduling.InvalidJobError):
        scheduling.check_job(job_of(step))


@pytest.mark.parametrize(
    'fields',
    [
        {'repeat_count': -1},
        {'repeat_count': 10**9},
        {'repeat_count': 1_001},
        {'repeat_count': 1, 'first_due_ms': -1},
        {'repeat_count': 2, 'period_ms': -1},
        {'repeat_count': 2, 'period_ms': 10**400},
    ],
)
def test_repetition_out_of_range_is_refused(fields):
    # Guards against a thousand million occurrences that are due at once, with
    # which a round never ends.
    with pytest.raises(scheduling.InvalidJobError):
        scheduling.check_job(job_of(**fields))


def test_repeated_tasks_fit_into_memory():
    # Guards against an owner that is ended for its use of memory.
    tasks = _specs.MAX_REPEATED_TASKS // 100
    step = dataclasses.replace(STEP, count=tasks)
    scheduling.check_job(job_of(step, repeat_count=100))
    with pytest.raises(scheduling.InvalidJobError):
        scheduling.check_job(job_of(step, repeat_count=101))


def test_usual_job_is_accepted():
    # Guards against limits that refuse jobs of the usual kinds.
    step = scheduling.StepSpec(
        count=160, cpu=39_000, memory_mb=52_000, estimate_ms=90_000
    )
    spec = scheduling.JobSpec(
        id='j',
        route='r',
        payload='',
        steps=(step,) * 5,
        repeat_count=8,
        first_due_ms=1_800_000_000_000,
        period_ms=86_400_000,
    )
    scheduling.check_job(spec)


def test_estimate_at_the_limit_is_scheduled(harness):
    # Guards against an overflow in the calculation of objectives.
    step = dataclasses.replace(STEP, estimate_ms=_specs.MAX_AMOUNT)
    spec = job_of(step)
    scheduling.check_job(spec)
    harness.scheduler.add_job(spec, harness.now)
    starts, _ = harness.decide(wall=1_800_000_000_000)
    assert len(starts) == 3
