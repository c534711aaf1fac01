"""Tests of an owner that has more to do than its processor can do in time."""

import random

import pytest

import oriolestand_core as core
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import lifecycle
from oriolestand_policy import scheduling

ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
NO_END_MS = 10**9
ONE_SERVICE = (scheduling.StepSpec(count=1, cpu=1_000, is_service=True),)
OVERLOADED_PASS_MS = 2_400


def job_id(number):
    return f'{number:016x}'


def add_owner(site, pass_ms):
    """Start a slow daemon that owns the cell."""
    owner = site.add_daemon('front-0', pass_ms=pass_ms)
    site.run_until(lambda: owner.is_owner, 20 * pass_ms + 5_000)
    return owner


def add_overloaded_owner(site):
    """Start an owner that is too late for its leases, and another daemon."""
    owner = add_owner(site, pass_ms=100)
    other = site.add_daemon('front-1')
    # It claims no cell any more, so that the slow daemon keeps its own.
    other.kernel.publish(lifecycle.ShutdownStarted(), is_state=True)
    site.run(2_000)
    owner.kernel.clock.set_pass_ms(OVERLOADED_PASS_MS)
    site.run(4 * OVERLOADED_PASS_MS)
    return owner, other


def result_of(site, fut):
    """Return the result or the error of a request."""
    results = []
    fut.addBoth(results.append)
    site.run_until(lambda: bool(results), 5_000)
    return results[0]


def test_jobs_are_refused_while_the_owner_is_overloaded(site):
    # Guards against jobs that are accepted and then broken off or lost.
    owner, other = add_overloaded_owner(site)
    reason = result_of(site, site.submit(other, job_id(1), ONE_TASK))
    assert reason.value.code == 'owner_overloaded'
    assert reason.value.verdict is core.Verdict.DID_NOT_RUN
    assert reason.value.retry_after_s >= 2
    owner.kernel.clock.set_pass_ms(50)
    site.run(10_000)
    assert not site.history
    assert result_of(site, site.submit(other, job_id(1), ONE_TASK)) is True
    site.run(3_000)
    assert [run.outcome for run in site.history] == ['done']


def test_repeated_submission_is_not_refused(site):
    # An earlier request has stored the job, so that it will run.
    owner, other = add_overloaded_owner(site)
    owner.kernel.clock.set_pass_ms(50)
    site.run(8_000)
    assert result_of(site, site.submit(other, job_id(1), ONE_TASK)) is True
    other.kernel.publish(jobs.OwnerLoadReported(delay_ms=9_000))
    # Its view of the store lacks the job.
    other.kernel.find('jobs')._replica.entries.clear()
    assert result_of(site, site.submit(other, job_id(1), ONE_TASK)) is False


@pytest.mark.parametrize('fault', ['is_down', 'is_unresponsive'])
def test_repeated_submission_is_in_doubt_without_the_store(site, fault):
    # Callers take a 503 for a job that never runs, but an earlier request has
    # stored it.
    owner, other = add_overloaded_owner(site)
    owner.kernel.clock.set_pass_ms(50)
    site.run(8_000)
    assert result_of(site, site.submit(other, job_id(1), ONE_TASK)) is True
    other.kernel.publish(jobs.OwnerLoadReported(delay_ms=9_000))
    other.kernel.find('jobs')._replica.entries.clear()
    setattr(other.store.faults, fault, True)
    reason = result_of(site, site.submit(other, job_id(1), ONE_TASK))
    assert reason.value.code == 'job_in_doubt'
    assert reason.value.verdict is core.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('effect_delay_ms', [300, 900, 3_000])
def test_refused_job_of_an_unfinished_submission_does_not_run(
    site, effect_delay_ms
):
    # Callers take a 503 for a job that never runs, but the write of an earlier
    # request may be applied after the store was read for the refusal.
    daemons = [site.add_daemon(f'front-{n}') for n in range(2)]
    site.run(6_000)
    daemons[0].store.faults.unanswered_commits = 2
    daemons[0].store.faults.effect_delay_ms = effect_delay_ms
    site.submit(daemons[0], job_id(1), ONE_TASK).addErrback(lambda _: None)
    site.run(200)
    daemons[1].kernel.publish(jobs.OwnerLoadReported(delay_ms=9_000))
    answer = result_of(site, site.submit(daemons[1], job_id(1), ONE_TASK))
    site.run(8_000)
    is_refused = answer is not True and (
        answer.value.verdict is core.Verdict.DID_NOT_RUN
    )
    assert not (is_refused and site.history)


def test_requests_for_jobs_are_served_while_jobs_are_refused(site):
    owner, other = add_overloaded_owner(site)
    owner.kernel.clock.set_pass_ms(50)
    site.run(8_000)
    assert result_of(site, site.submit(other, job_id(1), ONE_TASK)) is True
    other.kernel.publish(jobs.OwnerLoadReported(delay_ms=9_000))
    assert site.state(other, job_id(1)) in ('queued', 'running')
    assert result_of(site, site.cancel(other, job_id(1))) is True


@pytest.mark.parametrize('seed', range(6))
def test_promises_hold_while_the_speed_of_the_owner_changes(site, seed):
    # Guards against lost, repeated and overlapping runs of an owner that gets
    # between all and a few percent of a processor, in phases.
    rng = random.Random(seed)
    owner = add_owner(site, pass_ms=50)
    other = site.add_daemon('front-1')
    site.run(2_000)
    accepted = []
    cancelled = set()
    answers = {}
    for number in range(40):
        if rng.random() < 0.3:
            owner.kernel.clock.set_pass_ms(
                rng.choice((20, 100, 400, 900, 1_500, OVERLOADED_PASS_MS))
            )
        job = job_id(number)
        duration_ms = rng.randrange(200, 4_000)
        steps = ONE_TASK
        if rng.random() < 0.2:
            steps = ONE_SERVICE
            duration_ms = NO_END_MS
        fut = site.submit(other, job, steps, duration_ms=duration_ms)
        fut.addBoth(lambda result, job=job: answers.update({job: result}))
        site.run(rng.randrange(100, 1_200))
        if accepted and rng.random() < 0.2:
            cancelled.add(rng.choice(accepted))
            site.cancel(other, max(cancelled))
        accepted = [job for job, result in answers.items() if result is True]
    owner.kernel.clock.set_pass_ms(20)
    site.run(30_000)
    refused = {
        job
        for job, result in answers.items()
        if getattr(getattr(result, 'value', None), 'code', '')
        == 'owner_overloaded'
    }
    started = {run.key.job for run in site.history}
    assert not site.overlapping_runs()
    assert not site.repeated_runs()
    assert not refused & started
    # A cancelled job may end before it starts.
    assert set(accepted) - cancelled <= started
