"""Test that no lease of a worker is requested while its leases are held."""

import dataclasses

import pytest

from oriolestand_policy import scheduling


@pytest.fixture
def scheduler():
    """Return a scheduler with one worker that has not reported."""
    scheduler = scheduling.Scheduler(1, 6_000)
    scheduler.set_workers({'w': make_info(1)})
    return scheduler


def make_info(process_start_ms):
    """Return an incarnation of the worker."""
    return scheduling.WorkerInfo(
        id='w',
        pool='p',
        address='w:1',
        failure_domain='d',
        cpu=1_000,
        memory_mb=1_000,
        process_start_ms=process_start_ms,
    )


def report(scheduler, process_start_ms=1, now_ms=1_000):
    """Apply a report without runs."""
    scheduler.on_worker_report(
        'w',
        scheduling.WorkerReport(
            clock_ms=now_ms,
            process_start_ms=process_start_ms,
            running=(),
            ended=(),
        ),
        now_ms,
        now_ms,
    )


def test_held_worker_gets_no_lease_until_it_is_allowed(scheduler):
    # Guards against a run that outlasts the end which the row of the worker
    # holds.
    assert scheduler.hold_leases('w')
    assert scheduler.are_leases_held('w')
    report(scheduler)
    assert scheduler.new_lease_end('w', 1_000) is None
    scheduler.allow_leases('w')
    assert not scheduler.are_leases_held('w')
    assert scheduler.new_lease_end('w', 1_000) is not None


@pytest.mark.parametrize('how', ['report', 'registration', 'removal'])
def test_held_worker_that_restarts_gets_no_lease(scheduler, how):
    # Guards against leases of a new incarnation, as the row is that of the
    # id.
    assert scheduler.hold_leases('w')
    report(scheduler)
    if how == 'registration':
        scheduler.set_workers({'w': make_info(2)})
    elif how == 'removal':
        scheduler.remove_worker('w', 'replaced')
        scheduler.set_workers({'w': make_info(2)})
    report(scheduler, process_start_ms=2)
    assert scheduler.workers['w'].info.process_start_ms == 2
    assert scheduler.new_lease_end('w', 1_000) is None


@pytest.mark.parametrize('is_restarted', [False, True])
def test_leases_are_not_held_after_a_request(scheduler, is_restarted):
    # Guards against an end in the row of a worker for which this owner has
    # requested a later lease.
    report(scheduler)
    assert scheduler.new_lease_end('w', 1_000) is not None
    if is_restarted:
        scheduler.set_workers({'w': make_info(2)})
    assert not scheduler.hold_leases('w')
    report(scheduler, process_start_ms=2)
    assert scheduler.new_lease_end('w', 1_000) is not None


def test_unrecorded_worker_gets_no_task(scheduler):
    # Guards against a run that a successor does not look for.
    scheduler.mark_workers_recorded(['w'])
    scheduler.mark_workers_unrecorded(['w', 'unknown'])
    assert not scheduler.workers['w'].is_recorded
    leaving = dataclasses.replace(make_info(1), is_leaving=True)
    scheduler.set_workers({'w': leaving})
    assert not scheduler.workers['w'].is_recorded
