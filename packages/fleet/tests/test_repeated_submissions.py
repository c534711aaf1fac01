"""Tests of repeated submissions at daemons without a configuration."""

import pytest

from oriolestand_fleet.messages import jobs
from oriolestand_standins.fleet import make_route

JOB = 'a' * 16


def find(site, daemon, job=JOB, route=None):
    """Return what a daemon tells of a job, or the code of its error."""
    results = []
    fut = daemon.kernel.ask(
        jobs.SERVICE, jobs.FindJob(job=job, route=route or make_route(name=''))
    )
    fut.addBoth(results.append)
    site.run_until(lambda: bool(results), 5_000)
    (result,) = results
    return result if isinstance(result, bool) else result.value.code


@pytest.mark.parametrize('is_received', [True, False])
def test_accepted_job_is_found(site, daemons, is_received):
    # Guards against a caller that is told that its job did not run.
    for daemon in daemons[1:]:
        daemon.store.faults.is_down = not is_received
    site.submit(daemons[0], JOB)
    site.run(500)
    for daemon in daemons[1:]:
        daemon.store.faults.is_down = False
    assert find(site, daemons[1]) is True
    assert find(site, daemons[1], route=make_route(prefix='/x/')) is False
    assert find(site, daemons[1], 'b' * 16) is False


def test_accepted_job_is_found_while_the_store_is_out_of_reach(site, daemons):
    # Guards against an answer that depends on the age of the view: a job that
    # was accepted stays so.
    site.submit(daemons[0], JOB)
    site.run(500)
    daemons[1].store.faults.is_down = True
    site.run(5_000)
    assert find(site, daemons[1]) is True
    assert find(site, daemons[1], 'b' * 16) == 'state_unknown'
