"""Tests that jobs with numbers out of range are refused."""

import dataclasses
import json

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _specs

STEP = scheduling.StepSpec(count=3, cpu=1_000, estimate_ms=500)
ROW_BYTES = 65_536


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


@pytest.mark.parametrize(('count', 'times'), [(80, 100), (8, 1_000)])
def test_record_of_the_longest_repetition_fits_into_a_row(count, times):
    # Guards against a record that the store never accepts, so that no end of
    # the job is acknowledged, and against tasks that do not fit into memory.
    step = dataclasses.replace(STEP, count=count)
    spec = job_of(step, repeat_count=times)
    scheduling.check_job(spec)
    job = scheduling.Job(spec=spec)
    for number in range(times):
        for task in job.occurrence(number)[0]:
            job.mark_done(task)
    record = json.dumps(scheduling.progress_of(job), separators=(',', ':'))
    assert len(record) <= ROW_BYTES
    with pytest.raises(scheduling.InvalidJobError):
        scheduling.check_job(dataclasses.replace(spec, repeat_count=times + 1))


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
