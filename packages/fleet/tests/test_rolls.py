"""Tests of daemons of this version beside daemons of the version before.

The stand-in for a daemon of the version before writes rows of jobs without
path and policy, and reads neither. It writes no policies of routes.
"""

import dataclasses
import json

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.services.jobs import models
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import make_route
from oriolestand_standins.fleet import owner_of
from oriolestand_standins.fleet import result_of

JOB = 'a' * 16
STEPS = (
    scheduling.StepSpec(count=2, cpu=1_000),
    scheduling.StepSpec(count=1, cpu=1_000, after=(0,)),
)
OTHER = make_route('other', '/other/')
CONFIG_MS = 3_000
TAKEOVER_MS = 20_000


class FormerEntry(models.Entry):
    """What a daemon of the version before knows of a job."""

    def set_row(self, value, version=0):
        self.route = json.loads(value)['route']

    def belongs_to(self, route):
        return self.route == route.policy.name


def former_value(put):
    """Return the value of a row as the version before writes it."""
    if not put.key.startswith(layout.JOB_PREFIX) or put.value is None:
        return put.value
    return json.dumps({'route': json.loads(put.value)['route']}).encode()


def make_former(daemon):
    """Make a daemon behave as one of the version before."""
    replica = daemon.kernel.find('jobs')._replica
    commit = daemon.store._commit

    def entry(job):
        return replica.entries.setdefault(job, FormerEntry(id=job))

    def commit_former(msg):
        puts = tuple(
            dataclasses.replace(put, value=former_value(put))
            for put in msg.puts
            if not put.key.startswith(layout.ROUTE_PREFIX)
        )
        return commit(dataclasses.replace(msg, puts=puts))

    replica._entry = entry
    daemon.store._commit = commit_former


def submit(site, daemon, duration_ms=4_000):
    """Submit the job and wait until it is accepted."""
    fut = site.submit(daemon, JOB, STEPS, duration_ms)
    site.run(500)
    assert result_of(fut) is True


def answer_of(site, daemon, route):
    """Return what a daemon answers about the job under a route."""
    fut = daemon.kernel.ask(
        jobs.SERVICE,
        jobs.GetState(
            job=JOB, route=route, deadline_ms=site.clock.now() + 3_000
        ),
    )
    site.run(500)
    return result_of(fut)


@pytest.fixture
def owner(daemons):
    """Return the daemon that owns the cell."""
    return owner_of(daemons)


@pytest.fixture
def rest(daemons, owner):
    """Return the daemons that do not own the cell."""
    return [daemon for daemon in daemons if daemon is not owner]


def hand_over(site, owner, rest):
    """Let another daemon take over the cell."""
    site.shut_down(owner)
    site.run_until(lambda: any(d.is_owner for d in rest), TAKEOVER_MS)


def test_owner_before_runs_the_job_of_a_daemon_of_this_version(
    site, daemons, owner, rest, capsys
):
    # It must ignore what it does not know, without an error.
    make_former(owner)
    submit(site, rest[0])
    site.run(TAKEOVER_MS)
    assert {site.state(daemon, JOB) for daemon in daemons} == {'completed'}
    assert 'alformed' not in capsys.readouterr().out


def test_owner_of_this_version_goes_on_after_one_before(
    site, daemons, owner, rest
):
    # The owner before must leave the policy of the job in the store.
    make_former(owner)
    submit(site, rest[0])
    site.set_routes(2, [OTHER])
    site.run(CONFIG_MS)
    hand_over(site, owner, rest)
    site.run(TAKEOVER_MS)
    assert {site.state(daemon, JOB) for daemon in rest} == {'completed'}


def test_owner_of_this_version_runs_the_job_of_a_daemon_before(
    site, daemons, owner, rest
):
    # Its row has no policy: that of the configuration holds.
    make_former(rest[0])
    submit(site, rest[0])
    site.run(TAKEOVER_MS)
    assert {site.state(daemon, JOB) for daemon in daemons} == {'completed'}


def test_job_of_a_daemon_before_waits_for_its_route(
    site, daemons, owner, rest
):
    # A job without a policy must neither fail nor be lost by a new owner that
    # has never seen its route: an operator can add the route again.
    for daemon in (owner, rest[0]):
        make_former(daemon)
    submit(site, rest[0])
    site.set_routes(2, [OTHER])
    late = site.add_daemon('front-late')
    site.run(CONFIG_MS)
    for daemon in rest:
        daemon.disconnect()
    hand_over(site, owner, [late])
    site.run(TAKEOVER_MS)
    assert site.state(late, JOB) == 'running'
    site.set_config(3)
    site.run(CONFIG_MS + 5_000)
    assert site.state(late, JOB) == 'completed'
    assert len(site.history) == 3


def test_job_of_a_daemon_before_is_not_said_to_be_missing(
    site, daemons, owner, rest
):
    # Its row does not tell whether a renamed route leads to it. A caller
    # would take 410 as the loss of an accepted job.
    renamed = make_route('renamed')
    make_former(rest[0])
    submit(site, rest[0])
    assert site.state(rest[1], JOB, OTHER) is None
    site.set_routes(2, [renamed])
    site.run(CONFIG_MS)
    error = answer_of(site, rest[1], renamed)
    assert isinstance(error, jobs.StateUnknownError)
    fut = site.cancel(rest[1], JOB, renamed)
    site.run(500)
    assert isinstance(result_of(fut), jobs.StateUnknownError)


def restart_all(site, daemons):
    """End all daemons at the same time; return one that starts then."""
    for daemon in daemons:
        daemon.disconnect()
    late = site.add_daemon('front-late')
    site.run_until(lambda: late.is_owner, TAKEOVER_MS)
    return late


def test_job_of_a_daemon_before_outlives_its_route(site, daemons, owner, rest):
    # Its row has no policy, so that it waited for ever once its route had
    # been removed and all daemons had restarted.
    make_former(rest[0])
    submit(site, rest[0], duration_ms=20_000)
    site.run(2_000)
    site.set_routes(2, [OTHER])
    site.run(CONFIG_MS)
    late = restart_all(site, daemons)
    site.run(3 * TAKEOVER_MS)
    assert site.state(late, JOB) == 'completed'
    assert len(site.history) == 3


def test_job_is_migrated_by_the_first_owner_of_this_version(
    site, daemons, owner, rest
):
    # The owner before stores nothing of routes.
    for daemon in (owner, rest[0]):
        make_former(daemon)
    submit(site, rest[0], duration_ms=20_000)
    for daemon in (rest[0], owner):
        site.shut_down(daemon)
    site.run_until(lambda: rest[1].is_owner, TAKEOVER_MS)
    site.run(2_000)
    site.set_routes(2, [OTHER])
    site.run(CONFIG_MS)
    late = restart_all(site, daemons)
    site.run(3 * TAKEOVER_MS)
    assert site.state(late, JOB) == 'completed'
    assert len(site.history) == 3
