"""Tests of accepted jobs whose route has left the configuration."""

import pytest

from oriolestand_fleet import layout
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import make_route
from oriolestand_standins.fleet import owner_of
from oriolestand_standins.fleet import result_of

JOB = 'a' * 16
FIRST = scheduling.StepSpec(count=2, cpu=1_000)
SECOND = scheduling.StepSpec(count=1, cpu=1_000, after=(0,))
OTHER = make_route('other', '/other/')
RENAMED = make_route('renamed')
CONFIG_MS = 3_000
"""Bound of the users' interface for a configuration to be in force."""

TAKEOVER_MS = 20_000
"""Above the wait of a new owner for a silent one and for its workers."""


def submit(site, daemon, steps=(FIRST, SECOND), duration_ms=4_000, route=None):
    """Submit the job and wait until it is accepted."""
    fut = site.submit(daemon, JOB, steps, duration_ms=duration_ms, route=route)
    site.run(500)
    assert result_of(fut) is True


def replace_owner(site, daemons, is_planned):
    """End the owner; return the other daemons once one has taken over."""
    lost = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not lost]
    if is_planned:
        site.shut_down(lost)
    else:
        lost.disconnect()
    site.run_until(lambda: any(d.is_owner for d in rest), TAKEOVER_MS)
    return rest


def runs_by_step(site):
    """Return how many runs each step of the job has had."""
    steps = [record.key.step for record in site.history]
    return [steps.count(step) for step in range(2)]


@pytest.mark.parametrize('is_planned', [True, False])
def test_job_of_a_removed_route_goes_on_under_a_new_owner(
    site, daemons, is_planned
):
    # The policy of a removed route was known to the owner in office only: its
    # successor never started the next step of an accepted job.
    submit(site, follower_of(daemons))
    site.set_routes(2, [OTHER])
    site.run(CONFIG_MS)
    rest = replace_owner(site, daemons, is_planned)
    site.run(TAKEOVER_MS)
    assert {site.state(daemon, JOB) for daemon in rest} == {'completed'}
    assert runs_by_step(site) == [2, 1]
    assert site.overlapping_runs() == []


def test_job_of_a_removed_route_goes_on_under_daemons_that_start(
    site, daemons
):
    # No process that saw the former configuration is left.
    submit(site, daemons[0], duration_ms=9_000)
    site.set_routes(2, [])
    site.run(CONFIG_MS)
    late = [site.add_daemon(f'front-{number}') for number in (3, 4)]
    site.run(2_000)
    for daemon in daemons:
        daemon.disconnect()
    site.run_until(lambda: any(d.is_owner for d in late), TAKEOVER_MS)
    site.run(TAKEOVER_MS)
    assert {site.state(daemon, JOB) for daemon in late} == {'completed'}
    assert runs_by_step(site) == [2, 1]


def test_failed_runs_of_a_removed_route_are_limited_by_its_policy(
    site, daemons
):
    # The first failed run of an unknown route ended the job as failed.
    failures = []

    def outcome_of(key, number):
        failures.append(key)
        return 'failed' if len(failures) == 1 else 'done'

    site.outcome_of = outcome_of
    submit(site, daemons[0], (scheduling.StepSpec(count=1, cpu=1_000),), 9_000)
    site.set_routes(2, [OTHER])
    site.run(CONFIG_MS)
    rest = replace_owner(site, daemons, is_planned=True)
    site.run(TAKEOVER_MS + 9_000)
    assert len(failures) == 2
    assert {site.state(daemon, JOB) for daemon in rest} == {'completed'}


@pytest.mark.parametrize('is_planned', [True, False])
def test_job_of_a_route_that_was_moved_and_removed_goes_on(
    site, daemons, is_planned
):
    # The pool at acceptance may have no workers left, so that the job waited
    # under a new owner although it had seen the last pool of the route.
    old_route = make_route('moved', '/moved/', pool='old')
    new_route = make_route('moved', '/moved/')
    site.set_routes(2, [OTHER, old_route])
    site.run(CONFIG_MS)
    submit(site, daemons[0], route=old_route)
    site.set_routes(3, [OTHER, new_route])
    site.run(CONFIG_MS)
    assert runs_by_step(site) == [2, 0]
    site.set_routes(4, [OTHER])
    site.run(100)
    rest = replace_owner(site, daemons, is_planned)
    site.run(TAKEOVER_MS)
    assert {site.state(daemon, JOB, old_route) for daemon in rest} == {
        'completed'
    }
    assert runs_by_step(site) == [2, 1]


def test_job_of_a_renamed_route_is_found_at_each_daemon(site, daemons):
    # All daemons answered 410 for accepted jobs, as the names differed.
    submit(site, daemons[0], duration_ms=60_000)
    site.set_routes(2, [RENAMED, OTHER])
    site.run(CONFIG_MS)
    late = site.add_daemon('front-3')
    site.run(2_000)
    everyone = [*daemons, late]
    assert {site.state(d, JOB, RENAMED) for d in everyone} == {'running'}
    fut = site.submit(late, JOB, (FIRST, SECOND), 60_000, route=RENAMED)
    site.run(500)
    assert result_of(fut) is False
    fut = site.cancel(late, JOB, RENAMED)
    site.run(3_000)
    assert result_of(fut) is True
    assert {site.state(d, JOB, RENAMED) for d in everyone} == {'cancelled'}
    assert runs_by_step(site) == [2, 0]


def test_job_of_a_renamed_route_goes_on_under_a_new_owner(site, daemons):
    # A new name must not end the accepted jobs of the path.
    submit(site, daemons[0])
    site.set_routes(2, [RENAMED])
    site.run(CONFIG_MS)
    rest = replace_owner(site, daemons, is_planned=True)
    site.run(TAKEOVER_MS)
    assert {site.state(d, JOB, RENAMED) for d in rest} == {'completed'}


def test_job_of_a_renamed_route_is_found_in_the_store(site, daemons):
    # A daemon whose replica lacks the job reads its row from the store.
    behind = follower_of(daemons)
    other = next(d for d in daemons if d is not behind and not d.is_owner)
    behind.store.faults.paused_tables = {layout.TABLE}
    site.run(1_500)
    submit(site, other, duration_ms=60_000)
    assert site.state(behind, JOB, RENAMED) == 'running'
    assert site.state(behind, JOB, OTHER) is None


def test_job_is_not_shown_under_another_path(site, daemons):
    # Another service may get the name of a removed route.
    submit(site, daemons[0], duration_ms=60_000)
    moved = make_route(prefix='/moved/')
    site.set_routes(2, [moved, OTHER])
    site.run(CONFIG_MS)
    for daemon in daemons:
        assert site.state(daemon, JOB, moved) is None
        assert site.state(daemon, JOB, OTHER) is None
        fut = site.cancel(daemon, JOB, moved)
        site.run(500)
        assert result_of(fut) is False
    assert {site.state(d, JOB) for d in daemons} == {'running'}


def test_route_that_is_added_again_finds_its_job_and_rules_it(site, daemons):
    # The job must be known all the time, and the present policy hold.
    site.outcome_of = lambda key, number: 'failed'
    submit(site, daemons[0], (scheduling.StepSpec(count=1, cpu=1_000),), 9_000)
    site.set_routes(2, [OTHER])
    site.run(CONFIG_MS)
    rest = replace_owner(site, daemons, is_planned=True)
    site.set_config(3, max_attempts=1)
    site.run(TAKEOVER_MS)
    assert {site.state(daemon, JOB) for daemon in rest} == {'failed'}
    assert len(site.history) == 1


def test_policy_arrives_after_the_specification(site, daemons):
    # Rows and specifications of jobs come on two feeds, and the owner may not
    # have the configuration of the daemon that accepts a job. It received the
    # specification first, and never started the job.
    late = make_route('late', '/late/')
    owner = owner_of(daemons)
    owner.store.faults.paused_tables = {layout.TABLE}
    site.run(1_500)
    submit(site, follower_of(daemons), duration_ms=1_000, route=late)
    assert site.history == []
    owner.store.faults.paused_tables = set()
    site.run(8_000)
    assert {site.state(d, JOB, late) for d in daemons} == {'completed'}


def test_acceptance_takes_one_write_of_two_rows(site, daemons):
    # The store applies the commits of a part serially.
    follower = follower_of(daemons)
    commits = []
    commit = follower.store._commit

    def count(msg):
        commits.append(msg)
        return commit(msg)

    follower.store._commit = count
    submit(site, follower)
    (accepted,) = commits
    assert [put.key for put in accepted.puts] == ['job/' + JOB, 'spec/' + JOB]
