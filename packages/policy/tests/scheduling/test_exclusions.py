"""Test which workers are excluded after failed and stalled runs."""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility

SERVICE = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
BATCH = scheduling.StepSpec(count=1, cpu=1_000, estimate_ms=2_000)
FAILURES = 3
ISOLATED_INTERVAL_MS = 30_000


def poll_all(harness):
    """Apply a report without runs of each worker."""
    for name in harness.infos:
        harness.poll(name)


def excluded(harness):
    """Return the ids of the workers that are excluded."""
    return {
        name
        for name, worker in harness.scheduler.workers.items()
        if _eligibility.worker_state(worker, harness.now)
        is _eligibility.WorkerState.AVOIDED
    }


def start_on_each(harness, spec, names, count=FAILURES):
    """Start runs on each worker with a name; return their starts by worker.

    The others get none, as they lack the label.
    """
    for name, info in harness.infos.items():
        labels = frozenset({'x'} if name in names else ())
        harness.infos[name] = dataclasses.replace(info, labels=labels)
    harness.scheduler.set_workers(harness.infos)
    total = count * len(names)
    harness.add(
        f'j{len(harness.scheduler.jobs)}',
        dataclasses.replace(
            spec, count=total, max_per_worker=count, label='x'
        ),
    )
    starts = harness.decide()[0]
    assert len(starts) == total
    for start in starts:
        harness.answer(start)
    return {name: [s for s in starts if s.worker == name] for name in names}


def fail_on_each(harness, make, spec, names, step_ms=0):
    """Let workers fail runs of different tasks, each worker later by a step.

    The job is cancelled, so that its tasks do not start again.
    """
    starts = start_on_each(harness, spec, names)
    for name in names:
        harness.now += step_ms
        ends = [make.end(s, 'failed', n) for n, s in enumerate(starts[name])]
        harness.poll(name, ended=ends)
    harness.scheduler.cancel_job(starts[names[0]][0].key.job, harness.now)


def test_isolated_failures_do_not_exclude_a_worker(harness, make):
    # Service tasks may fail on a sound worker. A count that never decays
    # excludes every worker that runs only services.
    for number in range(6):
        poll_all(harness)
        start = start_on_each(harness, SERVICE, ['w0'], 1)['w0'][0]
        harness.poll('w0', ended=[make.end(start, 'failed', number)])
        harness.scheduler.cancel_job(start.key.job, harness.now)
        assert excluded(harness) == set()
        harness.now += ISOLATED_INTERVAL_MS


def test_isolated_failures_do_not_rank_a_worker_last(harness, make):
    # A worker must not be passed over for a failure that is long past.
    start = start_on_each(harness, SERVICE, ['w0'], 1)['w0'][0]
    harness.poll('w0', ended=[make.end(start, 'failed')])
    harness.scheduler.cancel_job(start.key.job, harness.now)
    harness.now += ISOLATED_INTERVAL_MS
    poll_all(harness)
    harness.add('next', BATCH)
    assert [s.worker for s in harness.decide()[0]] == ['w0']


def test_one_task_that_always_fails_excludes_no_worker(make):
    # The task is at fault if it fails everywhere. Its failures excluded one
    # worker after another, until none was left for other tasks.
    harness = make.Harness(workers=4)
    harness.add('a', SERVICE)
    for number in range(20):
        start = harness.decide()[0][0]
        harness.answer(start)
        harness.poll(start.worker, ended=[make.end(start, 'failed', number)])
        assert excluded(harness) == set()
        harness.now += 100
        poll_all(harness)


@pytest.mark.parametrize('workers', [1, 2, 3, 6])
@pytest.mark.parametrize('spec', [SERVICE, BATCH], ids=['service', 'batch'])
def test_a_pool_is_never_excluded_as_a_whole(make, workers, spec):
    # Ready tasks waited for 8 s although every worker of the pool was idle.
    harness = make.Harness(workers=workers)
    fail_on_each(harness, make, spec, list(harness.infos), step_ms=100)
    harness.add('next', spec)
    harness.now += 1_000
    poll_all(harness)
    assert [s.key.job for s in harness.decide()[0]] == ['next']


def test_at_most_half_of_a_pool_is_excluded(make):
    # The workers that have failed least recently are used again first, as
    # the others are the most likely to be still failing.
    harness = make.Harness(workers=7)
    names = list(harness.infos)
    fail_on_each(harness, make, SERVICE, names[:5], step_ms=100)
    harness.decide()
    assert excluded(harness) == {'w2', 'w3', 'w4'}


def test_sound_workers_go_before_those_used_again(make):
    # A worker that fails its tasks must not attract them because it is empty.
    harness = make.Harness(workers=4)
    fail_on_each(harness, make, BATCH, ['w0', 'w1', 'w2'], step_ms=100)
    harness.add('next', dataclasses.replace(BATCH, count=11, cpu=1_000))
    starts = [s.worker for s in harness.decide()[0]]
    assert starts == ['w3'] * 10 + ['w0']


def test_excluded_workers_are_used_again_when_the_others_are_lost(
    harness, make
):
    # The share must follow the workers that are left.
    fail_on_each(harness, make, SERVICE, ['w0'])
    harness.add('next', SERVICE)
    harness.now += 3_000
    harness.poll('w0')
    assert [s.worker for s in harness.decide()[0]] == ['w0']


def test_worker_that_keeps_failing_is_excluded_again_at_once(harness, make):
    # A failing worker must not fail several tasks after each exclusion.
    fail_on_each(harness, make, SERVICE, ['w0'])
    for number in range(4):
        assert excluded(harness) == {'w0'}
        harness.now += 8_100
        poll_all(harness)
        assert excluded(harness) == set()
        start = start_on_each(harness, SERVICE, ['w0'], 1)['w0'][0]
        harness.poll('w0', ended=[make.end(start, 'failed', number)])
        harness.scheduler.cancel_job(start.key.job, harness.now)


def stall_on_each(harness, make, names, others=()):
    """Let a run on each worker make no progress until all are stopped.

    ``others`` are the starts of runs that are running as well.
    """
    starts = start_on_each(harness, BATCH, names, 1)
    stopped = set()
    for _ in range(5):
        harness.now += 400
        for name in harness.infos:
            runs = [s for s in others if s.worker == name]
            runs += starts.get(name, ())
            harness.poll(name, [make.report(s, 7) for s in runs])
        stopped.update(s.worker for s in harness.effects()[1])
    assert stopped == set(names)


@pytest.mark.parametrize('workers', [1, 2, 3, 6])
def test_a_pool_is_never_excluded_as_a_whole_for_stalls(make, workers):
    # Tasks whose estimate is far too short look stalled on every worker, and
    # tasks without progress to report waited as well.
    harness = make.Harness(workers=workers)
    stall_on_each(harness, make, list(harness.infos))
    harness.add('next', SERVICE)
    harness.now += 400
    poll_all(harness)
    assert [s.key.job for s in harness.decide()[0]] == ['next']


def test_sound_workers_go_before_stalled_ones_used_again(make):
    # Filling tasks prefer the worker with the most free processors, which is
    # one whose stalled runs were stopped.
    harness = make.Harness(workers=4)
    others = start_on_each(harness, SERVICE, ['w3'], 1)['w3']
    stall_on_each(harness, make, ['w0', 'w1', 'w2'], others)
    filling = scheduling.StepSpec(count=1, cpu=1_000, is_filling=True)
    harness.add('next', filling)
    assert [s.worker for s in harness.decide()[0]] == ['w3']
    assert len(excluded(harness)) == 2


@pytest.mark.parametrize('process_start_ms', [1, 2])
def test_exclusions_go_on_under_the_next_owner(make, process_start_ms):
    # Guards against tasks for a worker that stalls or fails them, from each
    # owner anew. Another incarnation of the worker starts afresh.
    harness = make.Harness(workers=5)
    stall_on_each(harness, make, ['w0'])
    fail_on_each(harness, make, SERVICE, ['w1'])
    poll_all(harness)
    assert excluded(harness) == {'w0', 'w1'}
    stored = harness.scheduler.failures_to_store(harness.now)
    harness.scheduler = scheduling.Scheduler(2, 6_000)
    harness.scheduler.restore_failures(
        {
            name: dataclasses.replace(
                failures, process_start_ms=process_start_ms
            )
            for name, failures in stored.items()
        }
    )
    harness.scheduler.set_workers(harness.infos)
    harness.scheduler.mark_workers_recorded(harness.infos)
    poll_all(harness)
    expected = {'w0', 'w1'} if process_start_ms == 1 else set()
    assert excluded(harness) == expected
    harness.now += 4_000
    poll_all(harness)
    assert excluded(harness) == expected - {'w0'}
    harness.now += 4_100
    poll_all(harness)
    assert excluded(harness) == set()
