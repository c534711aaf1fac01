"""Tests that no task starts in an evacuated domain later than the bound."""

import pytest

from oriolestand_fleet.messages import config as config_messages
from oriolestand_fleet.messages import store as store_messages
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

EVACUATE_MS = 2_000
SEND_DELAY_MS = 1_200
"""How long orders wait for a connection here; less than the bound allows."""

OWNER_WAIT_MS = EVACUATE_MS // 8 + 50
"""After it no read that began before a fault is under way."""

BATCH = (scheduling.StepSpec(count=30, cpu=4_000),)
"""More tasks than workers have room for, so that starts go on for seconds."""

BATCH_OF_ONE = (scheduling.StepSpec(count=1, cpu=500),)


@pytest.fixture
def zones(site):
    """Return a site with the failure domains d1 and d2, and the bound."""
    site.evacuate_ms = EVACUATE_MS
    for number in range(3):
        site.add_worker(f'x{number}', failure_domain='d2')
    return site


@pytest.fixture
def owner(zones, daemons):
    """Return the owner of the cell."""
    return owner_of(daemons)


def late_starts(site, acknowledged_ms, bound_ms=EVACUATE_MS):
    """Return the runs that started in d1 after the bound."""
    return [
        run
        for run in site.history
        if run.worker.startswith('w')
        and run.started_ms > acknowledged_ms + bound_ms
    ]


def starts_elsewhere(site, since_ms):
    """Return the runs that started in d2 since a time."""
    return [
        run
        for run in site.history
        if run.worker.startswith('x') and run.started_ms > since_ms
    ]


def evacuate(site):
    """Request the evacuation of d1; return when it was acknowledged."""
    site.store.evacuate('d1')
    return site.clock.now()


def test_new_tasks_start_elsewhere(zones, owner):
    # Without the rule half of the tasks start in the domain.
    zones.submit(owner, 'a' * 16, BATCH)
    zones.run(500)
    acknowledged_ms = evacuate(zones)
    zones.run(8_000)
    assert late_starts(zones, acknowledged_ms, bound_ms=100) == []
    assert len(zones.history) == 30
    zones.store.take_back('d1')
    zones.run(200)
    returned_ms = zones.clock.now()
    zones.submit(owner, 'b' * 16, BATCH)
    zones.run(12_000)
    assert late_starts(zones, returned_ms, bound_ms=0)


@pytest.mark.parametrize('is_service', [False, True])
def test_start_that_is_not_sent_is_withdrawn(zones, owner, is_service):
    # An order that waits for a connection would be sent after the bound.
    owner.orders.faults.send_delay_ms = SEND_DELAY_MS
    step = scheduling.StepSpec(count=6, cpu=8_000, is_service=is_service)
    zones.submit(owner, 'a' * 16, (step,), duration_ms=500)
    zones.run(500)
    acknowledged_ms = evacuate(zones)
    zones.run(6_000)
    assert late_starts(zones, acknowledged_ms, bound_ms=100) == []
    assert starts_elsewhere(zones, acknowledged_ms)


@pytest.mark.parametrize('is_restarted', [False, True])
def test_new_owner_knows_the_domains(zones, daemons, owner, is_restarted):
    # Guards against a term that starts tasks before the state is known. No
    # feed has the request any more for a daemon that starts.
    acknowledged_ms = evacuate(zones)
    zones.run(EVACUATE_MS)
    zones.submit(owner, 'a' * 16, BATCH)
    if is_restarted:
        for daemon in daemons:
            daemon.disconnect()
        zones.store.truncate_history()
        fresh = zones.add_daemon('fresh')
        zones.run_until(lambda: fresh.is_owner, 15_000)
    else:
        zones.shut_down(owner)
        zones.run_until(lambda: any(d.is_owner for d in daemons), 3_000)
    took_over_ms = zones.clock.now()
    zones.run(12_000)
    assert late_starts(zones, acknowledged_ms) == []
    assert starts_elsewhere(zones, took_over_ms)


def test_daemon_claims_nothing_before_the_domains_are_known(zones, capsys):
    # Guards against a term that starts with an unknown state.
    daemon = zones.add_daemon('front')
    publish = daemon.kernel.publish

    def publish_others(event, **kwargs):
        if not isinstance(event, config_messages.EvacuationsRead):
            publish(event, **kwargs)

    daemon.kernel.publish = publish_others
    zones.run(5_000)
    assert 'Claim of the cell' not in capsys.readouterr().out
    daemon.kernel.publish = publish
    zones.run(5_000)
    assert daemon.is_owner


def cut_off_configuration(daemon):
    """Let only the reads of the operator's rows fail."""
    store = daemon.kernel.find('store')

    async def fail(*args):
        await daemon.kernel.sleep(1_500)
        raise store_messages.StoreError('no answer')

    store._follow_config = fail
    store._read_config = fail
    store._read_evacuations = fail


@pytest.mark.parametrize('fault', ['configuration', 'store', 'refused'])
@pytest.mark.parametrize('send_delay_ms', [0, SEND_DELAY_MS])
def test_owner_that_is_cut_off_starts_nothing(
    zones, owner, fault, send_delay_ms, capsys
):
    # An owner acts for up to 10 s without the store, and its workers do not
    # know of the evacuation either.
    zones.submit(owner, 'a' * 16, BATCH, duration_ms=2_000)
    zones.run(500)
    owner.orders.faults.send_delay_ms = send_delay_ms
    if fault == 'configuration':
        cut_off_configuration(owner)
    elif fault == 'store':
        owner.store.faults.is_unresponsive = True
    else:
        owner.store.faults.is_down = True
    zones.run(OWNER_WAIT_MS)
    acknowledged_ms = evacuate(zones)
    zones.run(15_000)
    assert late_starts(zones, acknowledged_ms) == []
    # Starts that cannot be sent are not decided again and again.
    assert capsys.readouterr().out.count('Start withdrawn') <= 12


def test_start_that_waits_is_not_sent_by_an_owner_that_is_cut_off(
    zones, owner
):
    # An order that is decided while the state is known can wait beyond that.
    owner.orders.faults.send_delay_ms = SEND_DELAY_MS
    zones.run(1_000)
    cut_off_configuration(owner)
    acknowledged_ms = 0
    for number in range(40):
        step = scheduling.StepSpec(count=6, cpu=500)
        zones.submit(owner, f'{number:016}', (step,), duration_ms=100)
        if number == 3:
            zones.store.evacuate('d2')
            acknowledged_ms = evacuate(zones)
        zones.run(100)
    last_ms = max(run.started_ms for run in zones.history)
    assert 0 < last_ms <= acknowledged_ms + EVACUATE_MS


def test_slow_response_counts_from_its_request(zones, owner):
    # A response that arrives late does not include later requests. Counted
    # from its arrival, the state would hold for too long.
    store = owner.kernel.find('store')
    follow = store._follow_config

    async def follow_late(msg):
        page = await follow(msg)
        await owner.kernel.sleep(1_300)
        return page

    zones.run(1_000)
    store._follow_config = follow_late
    acknowledged_ms = 0
    for number in range(60):
        step = scheduling.StepSpec(count=6, cpu=500)
        zones.submit(owner, f'{number:016}', (step,), duration_ms=100)
        zones.run(100)
        if number == 7:
            # The state of the response under way was read before.
            cut_off_configuration(owner)
            zones.store.evacuate('d2')
            acknowledged_ms = evacuate(zones)
    last_ms = max(run.started_ms for run in zones.history)
    assert 0 < last_ms <= acknowledged_ms + EVACUATE_MS


@pytest.mark.parametrize('latency_ms', [100, 400])
def test_owner_of_a_slow_store_starts_tasks(site, latency_ms):
    # Guards against a bound that holds back starts although each read takes
    # a small part of it only.
    site.evacuate_ms = 2 * EVACUATE_MS
    site.add_worker('x0', failure_domain='d2')
    owner = site.add_daemon('slow')
    store = owner.kernel.find('store')

    async def be_slow():
        await owner.kernel.sleep(latency_ms)

    store._simulate_network = be_slow
    site.run_until(lambda: owner.is_owner, 20_000)
    site.submit(owner, 'a' * 16, BATCH, duration_ms=500)
    site.run(2_000)
    acknowledged_ms = evacuate(site)
    site.run(20_000)
    assert len(site.history) == 30
    assert late_starts(site, acknowledged_ms, 2 * EVACUATE_MS) == []


def test_starts_go_on_when_the_store_is_back(zones, owner, capsys):
    # Guards against an owner that stops to start tasks for good.
    zones.submit(owner, 'a' * 16, BATCH, duration_ms=1_000)
    zones.run(500)
    owner.store.faults.is_down = True
    zones.run(5_000)
    owner.store.faults.is_down = False
    zones.run(12_000)
    assert len(zones.history) == 30
    printed = capsys.readouterr().out
    assert 'Starts wait until the evacuated domains are known' in printed
    assert 'Starts go on' in printed


def test_owner_without_the_bound_goes_on_while_the_store_is_down(
    site, daemons
):
    # Platforms without the bound accept starts during an outage, as before.
    owner = owner_of(daemons)
    step = scheduling.StepSpec(count=60, cpu=4_000)
    site.submit(owner, 'a' * 16, (step,), duration_ms=1_000)
    site.run(500)
    owner.store.faults.is_down = True
    down_ms = site.clock.now()
    site.run(6_000)
    assert [r for r in site.history if r.started_ms > down_ms + 4_000]


def test_history_that_was_dropped_during_a_request(zones, owner):
    # Guards against an owner that misses a request with the dropped history.
    zones.submit(owner, 'a' * 16, BATCH, duration_ms=2_000)
    zones.run(500)
    owner.store.faults.is_down = True
    zones.run(1_000)
    acknowledged_ms = evacuate(zones)
    zones.store.truncate_history()
    owner.store.faults.is_down = False
    zones.run(12_000)
    assert late_starts(zones, acknowledged_ms) == []
    assert len(zones.history) == 30


def test_malformed_and_unknown_domains_change_nothing(zones, owner, capsys):
    # Guards against a request that ends the owner or holds up its starts.
    zones.store.evacuate('no such domain')
    zones.store.evacuate('')
    zones.run(200)
    zones.submit(owner, 'a' * 16, BATCH)
    zones.run(5_000)
    assert len(zones.history) == 30
    assert {run.worker[0] for run in zones.history} == {'w', 'x'}
    assert 'Domain evacuated' in capsys.readouterr().out


def test_services_move_without_a_gap_in_the_step(zones, owner):
    # Guards against a service that is down as a whole during an evacuation,
    # and against tasks that stay although there is room elsewhere.
    zones.store.evacuate('d2')
    step = scheduling.StepSpec(count=6, cpu=2_000, is_service=True)
    zones.submit(owner, 'a' * 16, (step,), duration_ms=10**9)
    zones.run(1_000)
    assert len(zones.history) == 6
    zones.store.take_back('d2')
    zones.run(200)
    evacuate(zones)
    least = 6
    for _ in range(200):
        zones.run(50)
        running = [run for run in zones.history if not run.outcome]
        least = min(least, len(running))
    assert {run.worker[0] for run in running} == {'x'}
    assert least == 5
    assert zones.overlapping_runs() == []


def test_new_owner_continues_the_moves(zones, daemons, owner):
    # Guards against services that stay, or are lost, with their owner.
    zones.store.evacuate('d2')
    step = scheduling.StepSpec(count=6, cpu=2_000, is_service=True)
    zones.submit(owner, 'a' * 16, (step,), duration_ms=10**9)
    zones.run(1_000)
    zones.store.take_back('d2')
    zones.run(200)
    evacuate(zones)
    zones.run(300)
    zones.shut_down(owner)
    zones.run(15_000)
    running = [run for run in zones.history if not run.outcome]
    assert [run.worker[0] for run in running] == ['x'] * 6
    assert zones.overlapping_runs() == []


@pytest.mark.parametrize('changes_owner', [False, True])
def test_domain_that_returns_fills_up_gradually(
    zones, daemons, owner, changes_owner
):
    # Without a limit all waiting tasks start there in the first round.
    evacuate(zones)
    step = scheduling.StepSpec(count=300, cpu=500)
    zones.submit(owner, 'a' * 16, (step,), duration_ms=20_000)
    zones.run(2_000)
    zones.store.take_back('d1')
    returned_ms = zones.clock.now()
    if changes_owner:
        zones.shut_down(owner)
    zones.run(1_000)
    for name in ('w0', 'w1', 'w2'):
        starts = [run for run in zones.history if run.worker == name]
        assert 1 <= len(starts) <= 5
        assert all(run.started_ms >= returned_ms for run in starts)
    zones.run(5_000)
    # Each of the workers has room for 16 tasks.
    assert len([r for r in zones.history if r.worker == 'w0']) == 16


@pytest.mark.parametrize('pass_ms', [100, 300, 500])
def test_owner_with_little_processor_time_starts_tasks(site, pass_ms):
    # A daemon whose passes take 500 ms never knew the state for long enough,
    # and started nothing at all.
    site.evacuate_ms = EVACUATE_MS
    owner = site.add_daemon('slow', pass_ms=pass_ms)
    site.run_until(lambda: owner.is_owner, 20_000)
    site.run(3_000)
    for number in range(20):
        site.submit(owner, f'{number:016}', BATCH_OF_ONE, duration_ms=200)
        site.run(250)
    site.run(5_000)
    assert len(site.history) == 20
