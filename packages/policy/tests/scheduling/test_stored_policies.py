"""Tests of the policies of routes that an owner stores for the next one."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

JOB = 'a' * 16
OTHER_JOB = 'b' * 16
ACCEPTED = scheduling.RoutePolicy(name='gone', pool='former', max_attempts=3)
LAST = dataclasses.replace(ACCEPTED, pool='p')
THIRD = dataclasses.replace(ACCEPTED, pool='third')
STEP = scheduling.StepSpec(count=1, cpu=1_000)


def add(harness, policy=ACCEPTED, job=JOB, **kwargs):
    """Add a job of a route that is not configured."""
    harness.scheduler.add_job(
        scheduling.JobSpec(id=job, route='gone', payload='x', steps=(STEP,)),
        harness.now,
        policy=policy,
        **kwargs,
    )


def stored_as(policy, version=2, replaces=(ACCEPTED,)):
    """Return a stored policy of the route."""
    return scheduling.StoredPolicy(
        policy=policy,
        version=version,
        replaces=None if replaces is None else frozenset(replaces),
    )


@pytest.fixture
def known():
    """Return the known routes after a move and the removal of the route."""
    known = scheduling.KnownRoutes()
    known.update([ACCEPTED], 1)
    known.update([LAST], 2)
    known.update([], 3)
    return known


def to_store(harness, known, stored=None):
    """Return the policy of the route that must be stored, if any."""
    found = harness.scheduler.policies_to_store(known, stored or {})
    return found.get('gone')


# What a later owner does with a stored policy.


def test_stored_policy_holds_for_jobs_whose_policy_it_replaces(harness):
    # The pool at acceptance has no workers any more.
    harness.scheduler.restore_policies({'gone': stored_as(LAST)})
    add(harness)
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_stored_policy_holds_for_jobs_without_one(harness):
    # Jobs that versions before have accepted have none.
    harness.scheduler.restore_policies({'gone': stored_as(LAST, 2, [None])})
    add(harness, None)
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_stored_policy_does_not_hold_for_jobs_accepted_after_it(harness):
    # An owner of a version before does not store later policies. The job must
    # not be sent back to a pool that was replaced before its acceptance.
    harness.scheduler.restore_policies({'gone': stored_as(THIRD)})
    add(harness, LAST)
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_stored_policy_without_a_list_holds_for_all_jobs(harness):
    # With very many policies of one route the list does not fit in a row.
    harness.scheduler.restore_policies({'gone': stored_as(LAST, 2, None)})
    add(harness, THIRD)
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_configuration_goes_before_a_stored_policy(harness):
    # An operator who adds a route again decides for its jobs.
    harness.scheduler.restore_policies({'gone': stored_as(LAST)})
    harness.scheduler.set_routes([THIRD])
    add(harness)
    assert harness.decide() == ([], [])


def test_job_whose_row_is_awaited_has_no_stored_policy(harness):
    # Its row may have a policy that is not replaced.
    harness.scheduler.restore_policies({'gone': stored_as(THIRD, 2, [None])})
    add(harness, None, is_policy_awaited=True)
    assert harness.scheduler.set_job_policy(JOB, LAST)
    starts, _ = harness.decide()
    assert len(starts) == 1


def test_later_of_the_known_and_the_stored_policy_holds(known):
    # A daemon may have missed the last configuration that had the route, and
    # an owner may have ended before it stored that.
    assert list(known.policies({'gone': 2})) == [LAST]
    assert list(known.policies({'gone': 1})) == [LAST]
    assert list(known.policies({'gone': 3})) == []
    known.update([THIRD], 4)
    assert list(known.policies({'gone': 9})) == [THIRD]


# What an owner stores.


def test_last_policy_is_stored_once_if_a_job_has_another(harness, known):
    # Without it, the next owner would use the pool at acceptance.
    add(harness)
    stored = to_store(harness, known)
    assert stored == stored_as(LAST)
    assert to_store(harness, known, {'gone': stored}) is None


def test_policy_that_all_jobs_have_is_not_stored(harness, known):
    # The rows of the jobs have it already, and each write counts.
    add(harness, LAST)
    add(harness, LAST, OTHER_JOB)
    assert to_store(harness, known) is None


def test_policy_is_stored_for_a_job_without_one(harness, known):
    # This is how jobs that versions before have accepted are migrated.
    add(harness, None)
    assert to_store(harness, known) == stored_as(LAST, 2, [None])


def test_job_whose_row_is_awaited_causes_no_write(harness, known):
    # Rows and specifications come on two feeds, for any job.
    add(harness, None, is_policy_awaited=True)
    assert to_store(harness, known) is None
    harness.scheduler.set_job_policy(JOB, LAST)
    assert to_store(harness, known) is None


@pytest.mark.parametrize('policy', [None, ACCEPTED])
def test_policy_is_stored_once_the_row_of_a_job_was_received(
    harness, known, policy
):
    # The event with the policy of the job comes in any case.
    add(harness, None, is_policy_awaited=True)
    harness.scheduler.set_job_policy(JOB, policy)
    assert to_store(harness, known) == stored_as(LAST, 2, [policy])


def test_later_policy_of_a_job_is_added(harness, known):
    # Otherwise the stored policy would not hold for the job.
    add(harness)
    add(harness, THIRD, OTHER_JOB)
    stored = to_store(harness, known, {'gone': stored_as(LAST)})
    assert stored == stored_as(LAST, 2, [ACCEPTED, THIRD])


def test_changed_policy_is_stored_although_all_jobs_have_it(harness, known):
    # The stored one would send them to the pool between.
    add(harness, LAST)
    stored = to_store(harness, known, {'gone': stored_as(THIRD, 1, [LAST])})
    assert stored == stored_as(LAST, 2, [])


def test_stored_policy_of_a_later_configuration_is_not_replaced(
    harness, known
):
    # A new owner may still have an older configuration than the one before.
    add(harness)
    assert to_store(harness, known, {'gone': stored_as(THIRD, 3)}) is None


def test_route_that_the_owner_does_not_know_is_left_as_stored(harness):
    # Its configuration never had the route; the former owner's had.
    add(harness)
    unknown = scheduling.KnownRoutes()
    assert to_store(harness, unknown, {'gone': stored_as(LAST)}) is None


def test_policies_of_very_many_kinds_are_not_listed(harness, known):
    # The list must fit in a row of the store.
    for number in range(60):
        policy = dataclasses.replace(ACCEPTED, pool=f'pool{number}')
        add(harness, policy, f'{number:016x}')
    assert to_store(harness, known).replaces is None


def test_route_has_no_jobs_once_their_specifications_are_removed(
    harness, known
):
    # Rows of routes are removed then, and ended jobs cause no writes.
    add(harness)
    add(harness, job=OTHER_JOB)
    assert list(harness.scheduler.loadable_routes) == ['gone']
    harness.scheduler.mark_unloadable([JOB])
    assert to_store(harness, known) == stored_as(LAST)
    harness.scheduler.mark_unloadable([JOB, OTHER_JOB])
    assert list(harness.scheduler.loadable_routes) == []
    assert to_store(harness, known) is None
    harness.scheduler.remove_job(JOB)
    harness.scheduler.set_job_policy(OTHER_JOB, LAST)
    harness.scheduler.remove_job(OTHER_JOB)
    assert list(harness.scheduler.loadable_routes) == []


def test_route_of_a_removed_job_has_no_jobs(harness):
    # Guards against rows that are kept for ever.
    add(harness)
    harness.scheduler.remove_job(JOB)
    assert list(harness.scheduler.loadable_routes) == []
