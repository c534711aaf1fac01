"""Test what is logged of workers that were silent beyond their lease."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

STEP = scheduling.StepSpec(count=1, cpu=1_000)


@pytest.fixture
def released(harness):
    """Return a harness and a start whose worker's lease is over."""
    harness.add('a', STEP)
    ((start,), _) = harness.decide()
    harness.answer(start)
    harness.now += 7_500
    other = next(w for w in harness.infos if w != start.worker)
    harness.poll(other)
    harness.scheduler.take_effects()
    return harness, start


def events(harness, name):
    """Take the effects; return the values of the log events of a name."""
    found = harness.scheduler.take_effects()
    return [
        e.values
        for e in found
        if isinstance(e, scheduling.LogEvent) and e.event == name
    ]


def test_expired_lease_is_logged_with_its_times(released):
    # Guards against tasks that start again without a sign of why their
    # former run was taken as ended.
    harness, start = released
    harness.scheduler.decide(harness.now, 0, scheduling.FormerRuns())
    (values,) = events(harness, 'lease_over')
    assert values['worker'] == start.worker
    assert values['runs'] == 1
    assert values['silent_ms'] == 7_500
    assert values['min_clock_ms'] > values['lease_end_ms']


def test_lease_is_judged_by_the_time_until_which_reports_are_read(released):
    # Guards against second starts (TWICE): a report that is received but not
    # read yet may list the end of the run.
    harness, _ = released
    former_runs = scheduling.FormerRuns()
    read_until_ms = harness.now - 1_500
    harness.scheduler.decide(harness.now, 0, former_runs, read_until_ms)
    assert events(harness, 'lease_over') == []
    harness.scheduler.decide(harness.now, 0, former_runs, harness.now)
    assert len(events(harness, 'lease_over')) == 1


@pytest.mark.parametrize('failed_polls', [0, 2])
def test_expired_lease_is_logged_with_the_polls_before(released, failed_polls):
    # Guards against a log that does not tell a worker that cannot be reached
    # from an owner that does not poll it.
    harness, start = released
    sent_ms = harness.now - 3_000
    harness.scheduler.on_poll_sent(start.worker, sent_ms)
    for _ in range(failed_polls):
        harness.scheduler.on_poll_failed(start.worker, sent_ms)
    harness.scheduler.decide(harness.now, 0, scheduling.FormerRuns())
    (values,) = events(harness, 'lease_over')
    assert values['polled_ms_ago'] == 3_000
    assert values['failed_polls'] == failed_polls


@pytest.mark.parametrize('how', ['done', 'lapsed', 'failed'])
@pytest.mark.parametrize('is_started', [False, True])
def test_end_of_a_released_run_is_logged(released, make, how, is_started):
    # Guards against a log that does not tell a lapsed lease from runs that
    # had ended before.
    harness, start = released
    if not is_started:
        info = harness.infos[start.worker]
        full = dataclasses.replace(info, cpu=1)
        harness.scheduler.set_workers(dict.fromkeys(harness.infos, full))
    starts, _ = harness.decide()
    assert len(starts) == is_started
    harness.poll(start.worker, ended=[make.end(start, how)])
    (values,) = events(harness, 'late_ends')
    assert values['reason'] == how
    assert values['ends'] == 1
    assert values['tasks'] == [str(start.key)]


def test_end_of_a_current_run_is_not_logged_as_late(harness, make):
    # Guards against a line for each end.
    harness.add('a', STEP)
    ((start,), _) = harness.decide()
    harness.answer(start)
    harness.poll(start.worker, ended=[make.end(start, 'failed')])
    assert not events(harness, 'late_ends')
