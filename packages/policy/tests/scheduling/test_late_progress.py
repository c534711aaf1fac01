"""Tests of progress that a busy owner reads late."""

import pytest

from oriolestand_policy import scheduling

ONE_TASK = scheduling.StepSpec(count=1, cpu=1_000, estimate_ms=10_000)
READ_DELAY_MS = 2_000
"""Longer than the time without progress after which a run is stalled."""


def poll_at(harness, start, percent, clock_ms):
    """Apply a report that the worker made at a time of its clock."""
    running = scheduling.RunReport(
        key=start.key,
        number=start.run,
        checkpoint='',
        percent=percent,
        measured=0,
    )
    harness.scheduler.on_worker_report(
        start.worker,
        scheduling.WorkerReport(
            clock_ms=clock_ms, process_start_ms=1, running=(running,), ended=()
        ),
        harness.now,
        harness.now,
    )


@pytest.mark.parametrize('percent', [0, 40])
def test_report_that_is_read_late_does_not_stop_a_run(harness, percent):
    # A worker answers a poll at once, while it lists ends, and a busy owner
    # reads the answer seconds later. The run had no time to progress.
    harness.add('5c0e', ONE_TASK)
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.now += 200
    clock_ms = harness.now
    poll_at(harness, start, percent, clock_ms)
    harness.now += READ_DELAY_MS
    poll_at(harness, start, percent, clock_ms + 20)
    assert harness.effects()[1] == []


@pytest.mark.parametrize('percent', [0, 40])
def test_run_without_progress_on_its_worker_is_stopped(harness, percent):
    # Guards against jobs that wait for a task on a worker that hangs.
    harness.add('5c0e', ONE_TASK)
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.now += 200
    poll_at(harness, start, percent, harness.now)
    harness.now += READ_DELAY_MS
    poll_at(harness, start, percent, harness.now)
    _, stops = harness.effects()
    assert [stop.reason for stop in stops] == ['stalled']
