"""Tests of rows of the cell that an owner cannot decode."""

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import fencing
from oriolestand_policy import ownership
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

LONG = (scheduling.StepSpec(count=6, cpu=1_000),)


def put_row(site, table, key, value):
    site.store.commit(
        store.CommitRows(
            table=table,
            part=layout.CELL_PART,
            checks=(),
            puts=(store.Put(key=key, value=value),),
        )
    )


def take_over(site, daemons):
    """Disconnect the owner; return its successor."""
    lost = owner_of(daemons)
    lost.disconnect()
    rest = [daemon for daemon in daemons if daemon is not lost]
    site.run_until(lambda: any(d.is_owner for d in rest), 10_000)
    return next(daemon for daemon in rest if daemon.is_owner)


@pytest.mark.parametrize(
    ('table', 'key', 'value'),
    [
        (layout.OWNER_TABLE, 'worker/w0', b'["w0:1"]'),
        (layout.OWNER_TABLE, 'worker/w0', b'"abc"'),
        (layout.OWNER_TABLE, 'worker/w0', b'[1,2,3]'),
        (layout.OWNER_TABLE, 'worker/w0', b'["w0:1","pool","d1","1"]'),
        (layout.TABLE, layout.FLEET_KEY, b'[["w0"]]'),
        (layout.TABLE, layout.FLEET_KEY, b'{'),
    ],
)
def test_worker_with_a_malformed_row_may_still_run_tasks(
    site, daemons, table, key, value
):
    # The tasks of a worker that the successor does not know would be started
    # again while they run.
    site.submit(daemons[0], 'a' * 16, LONG, duration_ms=120_000)
    site.run(1_500)
    assert any(run.worker == 'w0' for run in site.history)
    site.store.unregister_worker('w0')
    if key == layout.FLEET_KEY:
        put_row(site, layout.OWNER_TABLE, 'worker/w0', None)
    put_row(site, table, key, value)
    for daemon in daemons:
        daemon.orders.faults.unreachable = {'w0'}
    successor = take_over(site, daemons)
    term = successor.kernel.find('cell')._owner_term
    # There is no address that a poll could be sent to.
    assert 'w0' not in term._pollers
    deadline_ms = term.term.takeover_deadline_ms
    lease_end_ms = site.clock.now() + 6_000
    while site.clock.now() < lease_end_ms:
        site.run(500)
        assert not term._takeover.update(site.clock.now()).are_known
    site.run(deadline_ms - site.clock.now() + 20_000)
    assert term._takeover.update(site.clock.now()).are_known
    assert 'w0' not in term._scheduler.workers
    assert site.overlapping_runs() == []


def test_registered_worker_with_a_malformed_row_is_polled(site, daemons):
    # Guards against a takeover that waits until its deadline for a worker
    # whose address is known from its registration.
    put_row(site, layout.OWNER_TABLE, 'worker/w0', b'[]')
    successor = take_over(site, daemons)
    term = successor.kernel.find('cell')._owner_term
    site.run(1_000)
    assert term._scheduler.workers['w0'].is_probed
    assert term._takeover.update(site.clock.now()).are_known


MALFORMED = [b'', b'{', b'null', b'[]', b'{"epoch":1}', b'{"epoch":"x"}']


@pytest.mark.parametrize('value', MALFORMED)
@pytest.mark.parametrize('is_restarted', [False, True])
def test_cell_with_a_malformed_owner_row_gets_an_owner(
    site, daemons, value, is_restarted
):
    # The handler of the row failed each time, so that the row was never
    # replaced. A daemon that starts then knows the epoch from the renewal
    # only; workers refuse the orders of a lower epoch.
    owner = owner_of(daemons)
    site.submit(owner, 'a' * 16, LONG, duration_ms=20_000)
    site.run(1_500)
    epoch = owner.kernel.find('cell')._owner_term.term.epoch
    if is_restarted:
        for daemon in daemons:
            daemon.disconnect()
        daemons = [site.add_daemon(f'new-{number}') for number in range(2)]
    put_row(site, layout.TABLE, layout.OWNER_KEY, value)
    site.run(8_000)
    successor = owner_of(daemons)
    term = successor.kernel.find('cell')._owner_term.term
    assert term.epoch == fencing.next_epoch(epoch)
    # The former owner may act until its renewals are too old.
    wait_ms = term.takeover_deadline_ms - term.renewed_ms
    assert wait_ms >= ownership.MAX_UNRENEWED_MS
    site.run(40_000)
    assert site.state(successor, 'a' * 16) == 'completed'
    assert site.overlapping_runs() == []


@pytest.mark.parametrize('value', MALFORMED)
def test_malformed_renewal_does_not_keep_a_silent_owner(
    site, daemons, capsys, value
):
    # The handler of the row failed, as did a claim whose refusal held it.
    lost = owner_of(daemons)
    lost.disconnect()
    site.run(1_000)
    capsys.readouterr()
    put_row(site, layout.TABLE, layout.RENEWAL_KEY, value)
    site.run(8_000)
    assert any(daemon.is_owner for daemon in daemons if daemon is not lost)
    lines = capsys.readouterr().out.splitlines()
    assert not [line for line in lines if 'Handler failed' in line]
    malformed = [line for line in lines if 'Malformed row' in line]
    assert len(malformed) == len(daemons) - 1
    assert all('key=renewal' in line for line in malformed)


@pytest.mark.parametrize(
    'value',
    [
        b'{',
        b'[]',
        b'{"pairs":[["a","b",1.0]],"bases":{},"period_ms":null}',
        b'{"pairs":[["a","b","x",0.1]],"bases":{},"period_ms":null}',
        b'{"pairs":[],"bases":{"a":"x"},"period_ms":null}',
        b'{"pairs":[],"bases":{},"period_ms":NaN}',
    ],
)
def test_malformed_interference_model_is_ignored_and_logged_once(
    site, daemons, capsys, value
):
    # One malformed row made the start of every owner fail.
    owner_of(daemons).disconnect()
    put_row(site, layout.OWNER_TABLE, layout.PRESSURE_KEY, value)
    rest = [daemon for daemon in daemons if not daemon.is_owner]
    capsys.readouterr()
    site.run_until(lambda: any(d.is_owner for d in rest), 10_000)
    site.submit(rest[0], 'a' * 16, LONG)
    site.run(20_000)
    assert site.state(rest[0], 'a' * 16) == 'completed'
    lines = capsys.readouterr().out.splitlines()
    assert sum('key=pressure' in line for line in lines) == 1
