"""Test that a pool accepts no more filling jobs than it can run in turn."""

import pytest

import oriolestand_core as core
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling

WORKERS = 2
FILLING = (
    scheduling.StepSpec(
        count=1, cpu=8_000, estimate_ms=10_000, is_filling=True
    ),
)
PLAIN = (scheduling.StepSpec(count=1, cpu=1_000),)
LONG_MS = 60_000
MAX_JOBS = 200


def result_of(site, fut):
    """Return the result or the error of a request."""
    results = []
    fut.addBoth(results.append)
    site.run_until(lambda: bool(results), 5_000)
    return results[0]


def submit(site, daemon, number, steps):
    """Submit a job; return the result or the error."""
    fut = site.submit(daemon, f'{number:016x}', steps, duration_ms=LONG_MS)
    return result_of(site, fut)


def fill(site, daemon):
    """Submit filling jobs until one is refused; return the refusal."""
    for number in range(MAX_JOBS):
        answer = submit(site, daemon, number, FILLING)
        if answer is not True:
            return number, answer.value
        site.run(300)
    raise AssertionError('no job was refused')


def test_full_pool_refuses_filling_jobs_only(site, daemons):
    # Guards against accepted jobs that have no run for as long as others wait.
    for number in range(WORKERS):
        site.add_worker(f'extra-{number}')
    site.run(6_000)
    number, exc = fill(site, daemons[1])
    assert exc.code == 'pool_full'
    assert exc.verdict is core.Verdict.DID_NOT_RUN
    assert 1 <= exc.retry_after_s <= 5
    assert submit(site, daemons[1], MAX_JOBS, PLAIN) is True
    site.run(3_000)
    refused = f'{number:016x}'
    assert refused not in {run.key.job for run in site.history}


def close_pool(daemon):
    """Tell a daemon that the pool is full."""
    daemon.kernel.publish(
        jobs.OwnerLoadReported(delay_ms=0, full_pools={'pool': 3})
    )


def test_repeated_submission_to_a_full_pool_is_not_refused(site, daemons):
    # An earlier request has stored the job, so that it will run.
    assert submit(site, daemons[1], 1, FILLING) is True
    close_pool(daemons[1])
    assert submit(site, daemons[1], 2, FILLING).value.code == 'pool_full'
    close_pool(daemons[1])
    daemons[1].kernel.find('jobs')._replica.entries.clear()
    assert submit(site, daemons[1], 1, FILLING) is False


def test_owner_keeps_the_cell_when_full_pools_cannot_be_found(
    site, daemons, monkeypatch
):
    # Guards against a figure that no promise depends on and that ends owners.
    def fail(*_):
        raise KeyError('no such job')

    monkeypatch.setattr(scheduling.Scheduler, 'full_pools', fail)
    owner = next(daemon for daemon in daemons if daemon.is_owner)
    site.run(12_000)
    assert owner.is_owner
    assert submit(site, owner, 1, FILLING) is True


@pytest.mark.parametrize('value', ['[]', '{"p": 1.5}', '{"p": -1}', '7'])
def test_renewal_with_malformed_full_pools_counts(value):
    # Guards against an owner that is replaced for such a field.
    row = b'{"epoch":1,"count":2,"is_settled":true,"full_pools":%s}'
    renewal = models.decode_renewal(row % value.encode())
    assert (renewal.epoch, renewal.full_pools) == (1, None)
