"""Tests of the rows in which an owner stores the policies of routes."""

import json

import pytest
from twisted.internet import defer

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.jobs import models as job_models
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
PART = layout.part_for_job(JOB)
OLD = make_route('moved', '/moved/', pool='old')
NEW = make_route('moved', '/moved/')
"""The route before and after its move; only the last pool has workers."""

CONFIG_MS = 3_000
"""Bound of the users' interface for a configuration to be in force."""

TAKEOVER_MS = 20_000
"""Above the wait of a new owner for a silent one and for its workers."""

CALM_MS = 60_000
ROUTE_KEY = layout.route_key('moved')


def route_rows(site):
    """Return the stored rows of routes."""
    return {
        key: row
        for (table, _, key), row in site.store.rows.items()
        if table == layout.OWNER_TABLE and key.startswith(layout.ROUTE_PREFIX)
    }


def put_row(site, value):
    """Write the row of the route as another process would."""
    site.store.commit(
        store.CommitRows(
            table=layout.OWNER_TABLE,
            part=layout.CELL_PART,
            checks=(),
            puts=(store.Put(key=ROUTE_KEY, value=value),),
        )
    )


def submit(site, daemon, route, job=JOB, duration_ms=4_000):
    """Submit a job and wait until it is accepted."""
    fut = site.submit(daemon, job, STEPS, duration_ms, route=route)
    site.run(500)
    assert result_of(fut) is True


def submit_before_the_move(site, daemons):
    """Submit the job to the old pool; the configuration has the route.

    Its first step ends after both changes of the configuration.
    """
    site.set_routes(2, [OTHER, OLD])
    site.run(CONFIG_MS)
    submit(site, daemons[0], OLD, duration_ms=9_000)
    assert site.history == []


def count_route_writes(site):
    """Return a list that gets each row of a route that is written."""
    writes = []
    commit = site.store.commit

    def count(msg):
        writes.extend(
            put for put in msg.puts if put.key.startswith(layout.ROUTE_PREFIX)
        )
        return commit(msg)

    site.store.commit = count
    return writes


def restart_all(site, daemons, is_planned=False):
    """End all daemons at the same time; return those that start then."""
    for daemon in daemons:
        if is_planned:
            site.shut_down(daemon)
        else:
            daemon.disconnect()
    site.run(500)
    for daemon in daemons:
        daemon.disconnect()
    started = [site.add_daemon(f'new-{number}') for number in range(3)]
    site.run_until(lambda: any(d.is_owner for d in started), TAKEOVER_MS)
    return started


def route_record(daemons):
    """Return the record of routes of the owner."""
    return owner_of(daemons).kernel.find('cell')._owner_term._route_record


def put_job(site, route):
    """Store a job as a daemon does that accepts it."""
    spec = scheduling.JobSpec(
        id=JOB,
        route=route.policy.name,
        payload='p',
        steps=STEPS,
        accepted_ms=site.clock.wall(),
    )
    site.store.commit(
        store.CommitRows(
            table=layout.TABLE,
            part=PART,
            checks=(),
            puts=(
                store.Put(
                    key=layout.JOB_PREFIX + JOB,
                    value=job_models.encode_row(spec, route),
                ),
                store.Put(
                    key=layout.SPEC_PREFIX + JOB,
                    value=job_models.encode_spec(spec),
                    table=layout.SPEC_TABLE,
                ),
            ),
        )
    )


def put_job_at_load(site, daemon):
    """Store a job, and hold its row back, once a daemon reads all jobs."""
    read = daemon.store._read

    def wrapped(msg):
        if msg.table == layout.SPEC_TABLE and msg.part == PART:
            daemon.store.faults.paused_tables = {layout.TABLE}
            put_job(site, make_route())
        return read(msg)

    daemon.store._read = wrapped


@pytest.mark.parametrize('effect_delay_ms', [0, 2_000])
def test_policy_is_stored_although_responses_are_lost(
    site, daemons, effect_delay_ms
):
    # The commit is sent again and then refused, as the first was applied.
    submit_before_the_move(site, daemons)
    owner = owner_of(daemons)
    commit = owner.store._commit
    lost = []

    def lose(msg):
        if any(put.key == ROUTE_KEY for put in msg.puts) and len(lost) < 2:
            lost.append(msg)
            owner.store.faults.unanswered_commits = 1
            owner.store.faults.effect_delay_ms = effect_delay_ms
        return commit(msg)

    owner.store._commit = lose
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    site.set_routes(4, [OTHER])
    site.run(CONFIG_MS)
    assert len(lost) == 2
    started = restart_all(site, daemons)
    site.run(TAKEOVER_MS)
    assert {site.state(d, JOB, OLD) for d in started} == {'completed'}


def test_late_commit_does_not_replace_a_later_policy(site, daemons):
    # A copy of a commit may arrive long after the other one was applied.
    submit_before_the_move(site, daemons)
    owner = owner_of(daemons)
    commit = owner.store._commit
    held = []

    def hold(msg):
        if not held and any(put.key == ROUTE_KEY for put in msg.puts):
            held.append(msg)
        return commit(msg)

    owner.store._commit = hold
    site.set_routes(3, [OTHER, make_route('moved', '/moved/', pool='between')])
    site.run(CONFIG_MS)
    site.set_routes(4, [OTHER, NEW])
    site.run(CONFIG_MS)
    row = route_rows(site)[ROUTE_KEY]
    assert json.loads(row.value)['version'] == 4
    assert not site.store.commit(held[0]).is_applied
    assert route_rows(site)[ROUTE_KEY] == row


def test_row_that_another_writes_is_replaced(site, daemons):
    # The version of the row in the store must be learned from the refusal.
    submit_before_the_move(site, daemons)
    put_row(site, b'{"name":"moved","version":2,"policy":["wrong"]}')
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    stored = json.loads(route_rows(site)[ROUTE_KEY].value)
    assert stored['policy'] == ['pool', 0, 2]


def test_many_routes_are_stored_in_commits_that_the_store_accepts(
    site, daemons
):
    # The store refuses commits of more than 100 entries. Names may be of any
    # length, and keys may not.
    names = ['x' * 300 + f'{number:03d}' for number in range(120)]

    def routes(pool):
        return [make_route(n, f'/{n}/', pool=pool) for n in names]

    site.set_routes(2, routes('old'))
    site.run(CONFIG_MS)
    for number, route in enumerate(routes('old')):
        site.submit(daemons[0], f'{number:016x}', STEPS, 9_000, route=route)
    site.run(1_000)
    site.set_routes(3, routes('none'))
    site.run(CONFIG_MS)
    rows = route_rows(site)
    assert len(rows) == 120
    assert max(len(key) for key in rows) < 200


def test_one_commit_of_rows_is_sent_at_a_time(site, daemons):
    # The second one would name the versions that the first one replaces.
    submit_before_the_move(site, daemons)
    record = route_record(daemons)
    calls = []

    async def write(changes):
        calls.append(changes)
        await defer.Deferred()

    record._write = write
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    assert len(calls) == 1


def test_policy_that_does_not_fit_in_a_row_is_logged_once(
    site, daemons, capsys
):
    # The store refuses the commit, with the rows of other routes in it.
    submit_before_the_move(site, daemons)
    submit(site, daemons[0], make_route(), 'b' * 16, duration_ms=30_000)
    large = make_route('moved', '/moved/', pool='p' * 70_000)
    capsys.readouterr()
    site.set_routes(3, [large, make_route(pool='between')])
    site.run(CONFIG_MS)
    assert list(route_rows(site)) == [layout.route_key('route')]
    lines = capsys.readouterr().out.splitlines()
    assert sum('too large to be stored' in line for line in lines) == 1


def test_commits_of_rows_are_not_larger_than_the_store_accepts(site, daemons):
    # The store accepts 1 MB, in which values are base64.
    names = [f'{number:03d}' for number in range(30)]
    site.set_routes(2, [make_route(n, f'/{n}/', pool='old') for n in names])
    site.run(CONFIG_MS)
    for number, name in enumerate(names):
        route = make_route(name, f'/{name}/', pool='old')
        site.submit(daemons[0], f'{number:016x}', STEPS, 9_000, route=route)
    site.run(1_000)
    sizes = []
    commit = site.store.commit

    def measure(msg):
        sizes.append(sum(len(put.value or b'') for put in msg.puts))
        return commit(msg)

    site.store.commit = measure
    pool = 'p' * 40_000
    site.set_routes(3, [make_route(n, f'/{n}/', pool=pool) for n in names])
    site.run(CONFIG_MS)
    assert len(route_rows(site)) == 30
    assert max(sizes) <= 700_000


def test_job_that_is_loaded_before_its_row_costs_no_write(site, daemons):
    # A new owner may read a specification that was stored after the rows
    # which its replica has.
    writes = count_route_writes(site)
    lost = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not lost]
    for daemon in rest:
        put_job_at_load(site, daemon)
    lost.disconnect()
    site.run_until(lambda: any(d.is_owner for d in rest), TAKEOVER_MS)
    owner = owner_of(rest)
    term = owner.kernel.find('cell')._owner_term
    assert term._scheduler.jobs[JOB].is_policy_awaited
    site.run(2_000)
    owner.store.faults.paused_tables = set()
    site.run(2_000)
    assert not term._scheduler.jobs[JOB].is_policy_awaited
    assert writes == []


def test_row_is_written_again_after_its_removal(site, daemons):
    # A daemon may accept a job by the former configuration after the last
    # job of the route has ended.
    submit_before_the_move(site, daemons)
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    assert list(route_rows(site)) == [ROUTE_KEY]
    site.run(2 * TAKEOVER_MS)
    assert route_rows(site) == {}
    submit(site, daemons[0], OLD, 'b' * 16)
    site.run(1_000)
    assert list(route_rows(site)) == [ROUTE_KEY]
