"""Tests of the policy that holds for accepted jobs of changed routes."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

JOB = 'a' * 16
ACCEPTED = scheduling.RoutePolicy(name='gone', pool='p', max_attempts=3)
STEP = scheduling.StepSpec(count=1, cpu=1_000)
SERVICE = dataclasses.replace(STEP, is_service=True)
GANG = dataclasses.replace(STEP, count=2, is_gang=True)
FILLING = dataclasses.replace(STEP, is_filling=True)
KINDS = pytest.mark.parametrize(
    'step', [STEP, SERVICE, GANG, FILLING], ids=lambda s: s.kind.value
)
ALL_KNOWN = scheduling.FormerRuns()


def add(harness, *steps, policy=ACCEPTED, job=JOB, **kwargs):
    """Add a job of a route that is not configured."""
    harness.scheduler.add_job(
        scheduling.JobSpec(id=job, route='gone', payload='x', steps=steps),
        harness.now,
        policy=policy,
        **kwargs,
    )


def is_failed(harness):
    """Return whether the job has failed."""
    outcome = harness.scheduler.jobs[JOB].outcome
    return outcome is scheduling.Outcome.FAILED


@KINDS
def test_job_starts_although_its_route_is_not_configured(harness, step):
    # Jobs of a removed route never started under an owner that had only seen
    # the configuration without it: they were accepted and lost.
    add(harness, step)
    starts, _ = harness.decide()
    assert len(starts) == step.count


def test_job_of_a_removed_route_starts_in_its_own_pool_only(harness):
    # A job must not be sent to workers that its route never named.
    add(harness, STEP, policy=dataclasses.replace(ACCEPTED, pool='other'))
    assert harness.decide() == ([], [])


def test_next_step_starts_under_an_owner_that_never_saw_the_route(harness):
    # Guards against jobs that stop between two steps at a change of owner.
    later = dataclasses.replace(STEP, after=(0,))
    progress = {
        'outcome': None,
        'started': True,
        'ended': 0,
        'done': [[0, 0, [0]]],
        'open': [],
    }
    add(harness, STEP, later, progress=progress, needs_probe=True)
    starts, _ = harness.decide()
    assert [start.key.step for start in starts] == [1]


def test_ended_service_of_a_removed_route_starts_again(harness, make):
    # Ended services are started by rules of their own.
    add(harness, SERVICE)
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.poll(start.worker, ended=[make.end(start, 'failed')])
    harness.now += 2_500
    for worker in harness.infos:
        harness.poll(worker)
    (again,), _ = harness.decide()
    assert again.key == start.key


def test_attempts_are_limited_by_the_stored_policy(harness, make):
    # A job of an unknown route failed with its first failed run.
    add(harness, STEP)
    for attempt in range(ACCEPTED.max_attempts):
        assert not is_failed(harness)
        (start,), _ = harness.decide()
        harness.answer(start)
        harness.poll(
            start.worker, ended=[make.end(start, 'failed', attempt + 1)]
        )
    assert is_failed(harness)


def test_adopted_run_that_fails_uses_up_one_attempt_only(harness, make):
    # The run of a former owner may fail before the new owner starts any.
    add(harness, STEP, progress={'started': True}, needs_probe=True)
    key = scheduling.TaskKey(JOB, 0, 0, 0)
    former = scheduling.StartTask(
        worker='w0', key=key, run=7, payload='x', checkpoint=''
    )
    harness.poll('w0', running=[make.report(former)])
    harness.poll('w0', ended=[make.end(former, 'failed')])
    assert not is_failed(harness)
    (start,), _ = harness.decide()
    assert start.key == key


def test_configured_policy_holds_for_accepted_jobs(harness):
    # An operator who moves a route to another pool moves its jobs as well.
    harness.scheduler.set_routes([dataclasses.replace(ACCEPTED, pool='other')])
    add(harness, STEP)
    assert harness.decide() == ([], [])
    harness.scheduler.set_routes([ACCEPTED])
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_last_known_policy_holds_after_the_removal_of_a_route(harness):
    # The pool at acceptance may have no workers any more.
    harness.scheduler.set_routes([ACCEPTED])
    add(harness, STEP, policy=dataclasses.replace(ACCEPTED, pool='former'))
    harness.scheduler.set_routes([])
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_policy_of_a_route_that_was_added_again_holds(harness, make):
    # Two owners must not differ by whether they saw the time without it.
    harness.scheduler.set_routes([ACCEPTED])
    add(harness, STEP)
    harness.scheduler.set_routes([])
    harness.scheduler.set_routes(
        [dataclasses.replace(ACCEPTED, max_attempts=1)]
    )
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.poll(start.worker, ended=[make.end(start, 'failed')])
    assert is_failed(harness)


def test_policy_that_arrives_after_its_job_is_used(harness):
    # The specification and the row of a job come on two change feeds.
    add(harness, STEP, policy=None)
    assert harness.decide() == ([], [])
    assert not harness.scheduler.set_job_policy('0' * 16, ACCEPTED)
    assert harness.scheduler.set_job_policy(JOB, ACCEPTED)
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_no_job_waits_for_a_policy_that_is_configured(harness):
    # Each owner would run one more round for each job.
    harness.scheduler.set_routes([ACCEPTED])
    add(harness, STEP, policy=None)
    assert not harness.scheduler.set_job_policy(JOB, ACCEPTED)


def test_policy_of_a_job_does_not_change(harness):
    # Guards against a job that is run under the policy of another reading.
    add(harness, STEP)
    harness.scheduler.set_job_policy(
        JOB, dataclasses.replace(ACCEPTED, pool='other')
    )
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_urgency_follows_the_stored_policy(harness):
    # Jobs of removed routes went before all others.
    add(harness, STEP, policy=dataclasses.replace(ACCEPTED, priority=5))
    harness.add('b' * 16, STEP)
    starts, _ = harness.decide()
    assert [start.key.job for start in starts] == ['b' * 16, JOB]
