"""Tests that daemons know the evacuated failure domains."""

import pytest

import oriolestand_core as core
from oriolestand_fleet.messages import config
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.config import _evacuations

EVACUATE_MS = 2_000
FOLLOW_MS = 100
"""Covers the latency of the store when nothing is at fault."""

RECOVERY_MS = 5_000
"""Covers the time-out of a request and the longest back-off."""


def read_of(daemon):
    """Return the last evacuations that a daemon has published."""
    return daemon.kernel._latest_state_events[config.EvacuationsRead]


def domains_of(daemons):
    """Return what the daemons know, without repetitions."""
    return {read_of(d).failure_domains for d in daemons}


def test_evacuation_and_return_reach_each_daemon(site, daemons):
    # Guards against a daemon that does not follow the operator's rows.
    site.store.evacuate('d1')
    site.run(FOLLOW_MS)
    assert domains_of(daemons) == {frozenset({'d1'})}
    site.store.evacuate('d2')
    site.store.take_back('d1')
    site.run(FOLLOW_MS)
    assert domains_of(daemons) == {frozenset({'d2'})}
    assert set(read_of(daemons[0]).returned_ms) == {'d1'}


def test_daemon_that_starts_reads_the_evacuations(site, daemons):
    # Guards against a new daemon that only learns of changes.
    site.store.evacuate('d1')
    site.run(FOLLOW_MS)
    site.store.truncate_history()
    late = site.add_daemon('late')
    site.run(FOLLOW_MS)
    assert domains_of([late]) == {frozenset({'d1'})}


@pytest.mark.parametrize('drops_history', [False, True])
def test_daemon_that_was_cut_off_reads_the_evacuations(
    site, daemons, drops_history
):
    # Guards against a daemon that keeps the state from before a fault.
    site.store.evacuate('d1')
    site.run(FOLLOW_MS)
    daemons[0].store.faults.is_unresponsive = True
    site.run(2_000)
    site.store.take_back('d1')
    site.store.evacuate('d2')
    if drops_history:
        site.store.truncate_history()
    site.run(1_000)
    assert domains_of(daemons[:1]) == {frozenset({'d1'})}
    daemons[0].store.faults.is_unresponsive = False
    site.run(RECOVERY_MS)
    assert domains_of(daemons) == {frozenset({'d2'})}


def test_owner_tells_since_when_it_has_not_read(site):
    # The owner must know how old the state may be, or it starts tasks in a
    # domain that was evacuated while the daemon was cut off.
    site.evacuate_ms = EVACUATE_MS
    owner = site.add_daemon('owner')
    site.run(3_000)
    for _ in range(100):
        site.run(10)
        age_ms = site.clock.now() - read_of(owner).known_at_ms
        assert age_ms <= EVACUATE_MS // 4 + FOLLOW_MS
    now = site.clock.now()
    owner.store.faults.is_unresponsive = True
    site.run(5_000)
    assert read_of(owner).known_at_ms <= now


def test_evacuation_is_read_during_a_burst_of_configurations(site, daemons):
    # A burst is read with pauses of up to a second, and of that second each
    # large configuration takes a part.
    site.store.config_bytes = 360_000
    for version in range(10, 20):
        site.set_config(version)
        site.run(60)
    site.store.evacuate('d1')
    site.run(300)
    assert domains_of(daemons) == {frozenset({'d1'})}


def test_repeated_request_costs_a_log_line_only(site, daemons, capsys):
    # Guards against a change of the state by a row that is written again.
    site.store.evacuate('d1')
    site.run(FOLLOW_MS)
    capsys.readouterr()
    site.store.evacuate('d1')
    site.store.take_back('other')
    site.run(FOLLOW_MS)
    assert domains_of(daemons) == {frozenset({'d1'})}
    assert read_of(daemons[0]).returned_ms == {}
    printed = capsys.readouterr().out
    assert printed.count('Failure domain is evacuated already') == len(daemons)
    assert printed.count('Failure domain was not evacuated') == len(daemons)


def test_older_page_does_not_revert_the_state():
    # Guards against a response of a store that is behind.
    state = _evacuations.Evacuations(core.get_logger('test'))
    row = store.Evacuation(failure_domain='a', is_requested=True, version=5)
    state.apply(store.ConfigPage(config=None, cursor=6, evacuations=(row,)), 0)
    state.apply(store.ConfigPage(config=None, cursor=4, is_complete=True), 0)
    assert state.event(0).failure_domains == {'a'}
    state.apply(store.ConfigPage(config=None, cursor=7, is_complete=True), 9)
    assert state.event(0).failure_domains == set()
    state.apply(
        store.ConfigPage(
            config=None, cursor=5, evacuations=(row,), is_complete=True
        ),
        9,
    )
    assert state.event(0).failure_domains == set()
    assert state.event(0).returned_ms == {'a': 9}
