"""Tests of accepted jobs whose route was moved to another pool and removed."""

import json

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import make_route
from oriolestand_standins.fleet import owner_of
from oriolestand_standins.fleet import result_of

JOB = 'a' * 16
STEPS = (
    scheduling.StepSpec(count=2, cpu=1_000),
    scheduling.StepSpec(count=1, cpu=1_000, after=(0,)),
)
OTHER = make_route('other', '/other/')
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


def states(site, daemons, job=JOB):
    """Return what the daemons report of a job."""
    return {site.state(daemon, job, OLD) for daemon in daemons}


@pytest.mark.parametrize('is_planned', [True, False])
def test_job_goes_on_after_a_restart_of_all_daemons(site, daemons, is_planned):
    # The last pool of the route was only known to daemons that had seen it,
    # so that the job waited for ever in the pool of its acceptance.
    submit_before_the_move(site, daemons)
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    assert len(site.history) == 2
    site.set_routes(4, [OTHER])
    site.run(CONFIG_MS)
    started = restart_all(site, daemons, is_planned)
    site.run(TAKEOVER_MS)
    assert states(site, started) == {'completed'}
    assert site.overlapping_runs() == []


def test_job_goes_on_after_daemons_have_restarted_in_turn(site, daemons):
    # The owners between must neither drop nor replace what is stored.
    site.set_routes(2, [OTHER, OLD])
    site.run(CONFIG_MS)
    submit(site, daemons[0], OLD, duration_ms=40_000)
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    site.set_routes(4, [OTHER])
    site.run(CONFIG_MS)
    for _ in range(2):
        for number, daemon in enumerate(list(daemons)):
            site.shut_down(daemon)
            site.run(500)
            daemon.disconnect()
            daemons[number] = site.add_daemon(f'front-{number}')
            site.run(2_000)
    site.run(2 * CALM_MS)
    assert states(site, daemons) == {'completed'}
    assert len(site.history) == 3


def test_row_is_written_once_and_removed_with_the_last_job(site, daemons):
    # Rows of former routes would fill the store, and each write counts.
    writes = count_route_writes(site)
    submit_before_the_move(site, daemons)
    site.run(CALM_MS)
    assert writes == []
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    assert [put.key for put in writes] == [ROUTE_KEY]
    stored = json.loads(route_rows(site)[ROUTE_KEY].value)
    assert stored == {
        'name': 'moved',
        'version': 3,
        'policy': ['pool', 0, 2],
        'replaces': [['old', 0, 2]],
    }
    site.set_routes(4, [OTHER])
    site.run(TAKEOVER_MS)
    assert states(site, daemons) == {'completed'}
    assert route_rows(site) == {}
    assert [put.value is None for put in writes] == [False, True]


def test_row_of_a_job_that_comes_after_its_specification_costs_no_write(
    site, daemons
):
    # Rows and specifications come on two feeds, so that jobs are often added
    # before their policy is known. That must not count as a job without one.
    writes = count_route_writes(site)
    owner = owner_of(daemons)
    owner.store.faults.paused_tables = {layout.TABLE}
    site.run(1_500)
    submit(site, follower_of(daemons), make_route(), duration_ms=20_000)
    site.run(2_000)
    owner.store.faults.paused_tables = set()
    site.run(30_000)
    assert len(site.history) == 3
    assert writes == []


def test_configuration_that_is_changed_back_is_stored(site, daemons):
    # A later owner would use the pool between.
    site.set_routes(2, [OTHER, NEW])
    site.run(CONFIG_MS)
    submit(site, daemons[0], NEW, duration_ms=30_000)
    site.set_routes(3, [OTHER, OLD])
    site.run(CONFIG_MS)
    assert json.loads(route_rows(site)[ROUTE_KEY].value)['version'] == 3
    site.set_routes(4, [OTHER, NEW])
    site.run(CONFIG_MS)
    site.set_routes(5, [OTHER])
    site.run(CONFIG_MS)
    started = restart_all(site, daemons)
    site.run(3 * TAKEOVER_MS)
    assert states(site, started) == {'completed'}


def test_configured_route_goes_before_the_stored_policy(site, daemons):
    # An operator who adds the route again decides where its jobs run.
    site.set_routes(2, [OTHER, NEW])
    site.run(CONFIG_MS)
    submit(site, daemons[0], NEW, duration_ms=30_000)
    site.set_routes(3, [OTHER, OLD])
    site.run(CONFIG_MS)
    site.set_routes(4, [OTHER])
    site.run(CONFIG_MS)
    started = restart_all(site, daemons)
    site.run(2 * TAKEOVER_MS)
    assert states(site, started) == {'running'}
    site.set_routes(5, [OTHER, NEW])
    site.run(2 * TAKEOVER_MS)
    assert states(site, started) == {'completed'}


MALFORMED = [
    b'',
    b'{',
    b'[]',
    b'{"name":"moved","version":3,"policy":[]}',
    b'{"name":"moved","version":3,"policy":["pool","0"]}',
    b'{"name":"moved","version":-1,"policy":["pool"]}',
    b'{"name":"moved","version":3,"policy":["pool"],"replaces":[1]}',
    b'{"name":"other","version":3,"policy":["pool"]}',
]


@pytest.mark.parametrize('value', MALFORMED)
def test_malformed_row_neither_ends_the_owner_nor_loses_a_job(
    site, daemons, capsys, value
):
    # One malformed row must not make the start of every owner fail. The job
    # then runs by the policy of its acceptance, or that of the configuration.
    site.set_routes(2, [OTHER, NEW])
    site.run(CONFIG_MS)
    submit(site, daemons[0], NEW, duration_ms=9_000)
    put_row(site, value)
    site.set_routes(3, [OTHER])
    site.run(CONFIG_MS)
    capsys.readouterr()
    started = restart_all(site, daemons)
    site.run(TAKEOVER_MS)
    lines = capsys.readouterr().out.splitlines()
    malformed = [line for line in lines if 'Malformed policy' in line]
    assert len(malformed) == 1
    assert 'key=' + ROUTE_KEY in malformed[0]
    assert states(site, started) == {'completed'}
    assert not any('Owner failed' in line for line in lines)
    assert not any('Record not written' in line for line in lines)
    assert route_rows(site) == {}


@pytest.mark.parametrize('value', MALFORMED)
def test_malformed_row_is_replaced_once_the_policy_is_known(
    site, daemons, value
):
    # It must not keep the last policy from being stored.
    submit_before_the_move(site, daemons)
    put_row(site, value)
    started = restart_all(site, daemons)
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    stored = json.loads(route_rows(site)[ROUTE_KEY].value)
    assert stored['policy'] == ['pool', 0, 2]
    site.run(TAKEOVER_MS)
    assert states(site, started) == {'completed'}


def test_row_stays_while_a_job_cannot_be_read(site, daemons):
    # A daemon of another version may be able to read it, and needs the row.
    submit_before_the_move(site, daemons)
    site.set_routes(3, [OTHER, NEW])
    site.run(CONFIG_MS)
    site.set_routes(4, [OTHER])
    site.run(CONFIG_MS)
    part = layout.part_for_job(JOB)
    spec = site.store.rows[
        layout.SPEC_TABLE, part, layout.SPEC_PREFIX + JOB
    ].value
    put = store.Put(key=layout.SPEC_PREFIX + JOB, value=b'{"new":1}')
    put_spec(site, part, put)
    started = restart_all(site, daemons)
    site.run(TAKEOVER_MS)
    assert ROUTE_KEY in route_rows(site)
    put_spec(site, part, store.Put(key=put.key, value=spec))
    started = restart_all(site, started)
    site.run(TAKEOVER_MS)
    assert states(site, started) == {'completed'}


def put_spec(site, part, put):
    """Write the specification of a job."""
    site.store.commit(
        store.CommitRows(
            table=layout.SPEC_TABLE, part=part, checks=(), puts=(put,)
        )
    )
