"""Tests of an owner that saves work, as it is short of processor time."""

import pytest

from oriolestand_fleet.messages import orders
from oriolestand_policy import scheduling

LEASE_MS = 6_000
POLL_TIMEOUT_MS = 1_200
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
MIN_POLL_INTERVAL_MS = 2_500
"""Time between polls of a busy owner, within which a lease of 6 s is renewed
twice."""


def job_id(number):
    return f'{number:016x}'


def add_owner(site, pass_ms):
    """Start a slow daemon that owns the cell."""
    owner = site.add_daemon('front-0', pass_ms=pass_ms)
    site.run_until(lambda: owner.is_owner, 20 * pass_ms + 5_000)
    return owner


@pytest.mark.parametrize('pass_ms', [300, 700, 1_200, 1_600])
def test_busy_owner_renews_its_leases(site, pass_ms):
    # Guards against runs that lapse because polls are sent less often.
    owner = add_owner(site, pass_ms)
    for number in range(3):
        site.submit(owner, job_id(number), ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: len(site.history) == 3, 20_000)
    site.run(4 * LEASE_MS)
    assert [run.outcome for run in site.history] == ['', '', '']


@pytest.mark.parametrize('pass_ms', [200, 300, 400, 500])
@pytest.mark.parametrize('phase_ms', range(0, 2_400, 300))
def test_failed_poll_of_a_busy_owner_ends_no_run(site, pass_ms, phase_ms):
    # Guards against runs that lapse after one failed poll, as the next one of
    # a busy owner came too late.
    owner = add_owner(site, pass_ms)
    for number in range(3):
        site.submit(owner, job_id(number), ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: len(site.history) == 3, 20_000)
    site.run(10_000 + phase_ms)
    worker = site.history[0].worker
    reach_worker = owner.orders._reach_worker
    lost = []

    async def fail_once(target):
        if target.worker == worker and not lost:
            lost.append(target)
            await owner.kernel.sleep(POLL_TIMEOUT_MS)
            raise orders.WorkerError('no answer')
        return await reach_worker(target)

    owner.orders._reach_worker = fail_once
    site.run(4 * LEASE_MS)
    assert lost
    assert [run.outcome for run in site.history] == ['', '', '']


def test_busy_owner_polls_idle_workers_less_often(site):
    # Polls of idle workers used up the processor of an owner.
    owner = add_owner(site, pass_ms=500)
    site.run(10_000)
    first = owner.orders.poll_count
    site.run(20_000)
    polls = (owner.orders.poll_count - first) / len(site.workers)
    assert polls <= 20 * 1_000 / MIN_POLL_INTERVAL_MS
