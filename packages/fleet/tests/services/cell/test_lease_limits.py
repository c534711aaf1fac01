"""Tests of the row that tells whether an owner limits its leases."""

import json

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_standins.fleet import owner_of

SLOW_PASS_MS = 300


def stored_limits(site):
    """Return the decoded row."""
    row = site.store.rows[layout.TABLE, layout.CELL_PART, layout.LIMITS_KEY]
    return json.loads(row.value)


def add_owner(site):
    """Start a daemon that owns the cell; return it and its term."""
    daemon = site.add_daemon('front-0', pass_ms=20)
    site.run_until(lambda: daemon.is_owner, 10_000)
    return daemon, daemon.kernel.find('cell')._owner_term.term


def refuse_limits(site):
    """Let the store refuse the row; return the real commit."""
    commit = site.store.commit

    def commit_others(msg):
        if any(put.key == layout.LIMITS_KEY for put in msg.puts):
            raise store.StoreError('refused')
        return commit(msg)

    site.store.commit = commit_others
    return commit


def test_owner_that_becomes_slow_tells_that_it_has_no_limits(site):
    # Guards against leases that end since a slow owner reads answers late.
    owner, term = add_owner(site)
    assert term.limits_leases
    owner.kernel.clock.set_pass_ms(SLOW_PASS_MS)
    site.run(4_000)
    assert not term.limits_leases
    assert stored_limits(site) == {'epoch': term.epoch, 'are_set': False}
    owner.kernel.clock.set_pass_ms(20)
    site.run(6_000)
    assert term.limits_leases
    assert stored_limits(site) == {'epoch': term.epoch, 'are_set': True}


def test_slow_owner_keeps_to_limits_that_the_store_holds(site):
    # Guards against a successor that relies on limits which the owner
    # exceeds.
    owner, term = add_owner(site)
    commit = refuse_limits(site)
    owner.kernel.clock.set_pass_ms(SLOW_PASS_MS)
    site.run(4_000)
    assert term.limits_leases
    assert stored_limits(site)['are_set']
    site.store.commit = commit
    site.run(2_000)
    assert not term.limits_leases


@pytest.mark.parametrize(
    'value', [None, b'{', b'{"epoch":1,"are_set":false}', b'{"epoch":2}']
)
def test_successor_without_known_limits_waits_as_before(site, daemons, value):
    # Guards against a short wait for an owner of an earlier version.
    lost = owner_of(daemons)
    site.store.commit(
        store.CommitRows(
            table=layout.TABLE,
            part=layout.CELL_PART,
            checks=(),
            puts=(store.Put(key=layout.LIMITS_KEY, value=value),),
        )
    )
    lost.disconnect()
    rest = [daemon for daemon in daemons if daemon is not lost]
    site.run_until(lambda: any(d.is_owner for d in rest), 10_000)
    claimed_ms = site.clock.now()
    term = owner_of(rest).kernel.find('cell')._owner_term.term
    site.run(2_000)
    assert term.takeover_deadline_ms - claimed_ms > 16_000
