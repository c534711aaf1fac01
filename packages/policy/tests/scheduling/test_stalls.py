"""Test the detection of workers on which tasks have stalled."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _stalls

NOW = 20_000
BATCH = scheduling.StepSpec(count=4, cpu=1_000, estimate_ms=2_000)
FILLING = scheduling.StepSpec(
    count=4, cpu=1_000, estimate_ms=2_000, is_filling=True
)
GANG = scheduling.StepSpec(count=4, cpu=1_000, is_gang=True)
SERVICE = scheduling.StepSpec(count=4, cpu=1_000, is_service=True)
LONG = scheduling.StepSpec(count=4, cpu=1_000, estimate_ms=60_000)


@pytest.fixture
def worker(harness):
    """Return a worker without runs."""
    return harness.scheduler.workers['w0']


def add(worker, spec, moved_ms, since_ms=10_000, pace=100, index=0):
    """Add a run that last progressed at ``moved_ms``."""
    run = scheduling.Run(
        key=scheduling.TaskKey('j', 0, 0, index),
        number=1,
        spec=spec,
        phase=scheduling.RunPhase.RUNNING,
        since_ms=since_ms,
        progress_changed_ms=moved_ms,
        pace=pace,
    )
    worker.add(run)
    return run


def test_run_without_progress_is_stalled(worker):
    # Guards against jobs that wait for a task on a worker that hangs.
    run = add(worker, BATCH, NOW - 1_600)
    assert _stalls.stalled_runs(worker, NOW) == [run]
    assert _stalls.stalled_runs(worker, NOW - 200) == []


def test_progress_of_another_run_clears_the_worker(worker):
    # Guards against avoiding a healthy worker because of one slow task.
    add(worker, BATCH, NOW - 5_000)
    add(worker, BATCH, NOW - 300, index=1)
    assert _stalls.stalled_runs(worker, NOW) == []


def test_fresh_run_does_not_hide_a_stall(worker):
    # Guards against new tasks that hide that a worker hangs.
    run = add(worker, BATCH, NOW - 5_000)
    recent_ms = NOW - 300
    add(worker, BATCH, recent_ms, since_ms=recent_ms, index=1)
    assert _stalls.stalled_runs(worker, NOW) == [run]


@pytest.mark.parametrize('spec', [GANG, SERVICE, LONG])
def test_runs_that_may_show_no_progress_do_not_count(worker, spec):
    # Guards against stopping gangs whose members are still starting,
    # services, and long tasks whose percentage rises slowly.
    add(worker, spec, NOW - 3_000)
    assert _stalls.stalled_runs(worker, NOW) == []


def test_slowed_and_single_filling_runs_do_not_count(worker):
    # Guards against stopping filling tasks that wait for processors.
    add(worker, FILLING, NOW - 3_000)
    add(worker, FILLING, NOW - 3_000, pace=0, index=1)
    assert _stalls.stalled_runs(worker, NOW) == []
    second = add(worker, FILLING, NOW - 3_000, index=2)
    assert second in _stalls.stalled_runs(worker, NOW)


def test_stalled_run_is_stopped_and_its_worker_avoided(harness, make):
    # Guards against a restart on the worker that hangs.
    harness.add('a', BATCH)
    starts = harness.decide()[0]
    for start in starts:
        harness.answer(start)
    here = [s for s in starts if s.worker == starts[0].worker]
    for _ in range(5):
        harness.now += 400
        harness.poll(here[0].worker, [make.report(s, 7) for s in here])
    stops = harness.effects()[1]
    assert {s.key for s in stops} == {s.key for s in here}
    worker = harness.scheduler.workers[here[0].worker]
    assert worker.avoid_until_ms > harness.now
