"""Tests of the gauges that the owner of a cell reports."""

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of


def test_gauges_report_the_backlog_by_kind(site, daemons):
    # Operators must be able to tell a backlog from an idle cell.
    steps = (scheduling.StepSpec(count=1, cpu=8_000),)
    for number in range(5):
        site.submit(daemons[0], f'{number:016x}', steps, duration_ms=30_000)
    site.run(2_500)
    gauges = owner_of(daemons).kernel.find('telemetry').gauges
    assert gauges[('ready_tasks', 'plain')] == 2
    assert gauges[('running_tasks', 'plain')] == 3
    assert gauges[('running_tasks', 'service')] == 0
    assert gauges[('service_tasks_over_target', '')] == 0


def test_gauges_tell_why_workers_get_no_tasks(site, daemons):
    # A task that waits beside free workers must be explained.
    steps = (scheduling.StepSpec(count=1, cpu=8_000, is_service=True),)
    for number in range(3):
        site.submit(daemons[0], f'{number:016x}', steps, duration_ms=60_000)
    site.run(1_000)
    site.store.unregister_worker('w0')
    for daemon in daemons:
        daemon.orders.faults.unreachable = {'w1'}
    site.submit(daemons[0], 'a' * 16, steps, duration_ms=60_000)
    site.run(5_000)
    gauges = owner_of(daemons).kernel.find('telemetry').gauges
    assert gauges[('worker_states', 'usable')] == 1
    assert gauges[('worker_states', 'not_listed')] == 1
    assert gauges[('worker_states', 'silent')] == 1
    assert 3_000 <= gauges[('oldest_ready_task_ms', 'service')] <= 5_000


def test_stops_are_counted_with_the_work_that_they_end(site, daemons):
    # Operators must see what the stops of a reason cost.
    steps = (scheduling.StepSpec(count=1, cpu=8_000),)
    site.submit(daemons[0], 'a' * 16, steps, duration_ms=60_000)
    site.run(2_500)
    site.cancel(daemons[0], 'a' * 16)
    site.run(1_000)
    counters = owner_of(daemons).kernel.find('telemetry').counters
    assert counters[('stops', 'cancelled')] == 1
    assert 8_000 < counters[('stopped_core_ms', 'cancelled')] < 28_000


def test_gauges_tell_what_is_left_in_an_evacuated_domain(site, daemons):
    # Operators must see when a domain is empty, and what holds it up.
    service = scheduling.StepSpec(count=3, cpu=8_000, is_service=True)
    site.submit(daemons[0], 'a' * 16, (service,), duration_ms=60_000)
    site.run(1_000)
    site.store.evacuate('d1')
    site.run(2_500)
    for daemon in daemons:
        gauges = daemon.kernel.find('telemetry').gauges
        assert gauges[('evacuated_domains', '')] == 1
    gauges = owner_of(daemons).kernel.find('telemetry').gauges
    assert gauges[('evacuated_tasks', 'service room')] == 3
    assert gauges[('worker_states', 'evacuated')] == 3
    assert gauges[('domain_workers', 'd1')] == 3
    assert gauges[('domain_evacuated', 'd1')] == 1
    assert gauges[('domain_evacuated_tasks', 'service room d1')] == 3
    site.store.take_back('d1')
    site.run(2_500)
    assert gauges[('evacuated_domains', '')] == 0
    assert gauges[('evacuated_tasks', 'service room')] == 0
    assert gauges[('domain_evacuated', 'd1')] == 0
    assert gauges[('domain_evacuated_tasks', 'service room d1')] == 0


def test_gauges_tell_what_holds_up_tasks_that_have_not_run(site, daemons):
    # Operators must see which route waits and why, and not for a task that
    # no longer does.
    step = scheduling.StepSpec(count=1, cpu=8_000)
    for number in range(4):
        job = f'{number:016x}'
        site.submit(daemons[0], job, (step,), duration_ms=60_000)
        site.run(500)
    site.run(4_000)
    gauges = owner_of(daemons).kernel.find('telemetry').gauges
    ages = {k[1]: v for k, v in gauges.items() if k[0] == 'oldest_not_run_ms'}
    (label,) = ages
    assert label.split()[1:] == ['cpu']
    assert 3_000 <= ages[label] <= 5_000
    site.cancel(daemons[0], '0' * 15 + '3')
    site.run(2_500)
    assert gauges[('oldest_not_run_ms', label)] == 0


def cpu_uses(daemons):
    """Return the gauges of the use of processors, without zeros."""
    gauges = owner_of(daemons).kernel.find('telemetry').gauges
    return {
        label: value
        for (name, label), value in gauges.items()
        if name == 'pool_cpu' and value
    }


def test_gauges_tell_what_processors_are_used_for(site, daemons, capsys):
    # Operators must see why processors are idle while tasks wait, and not
    # for a reason that no longer holds.
    steps = (scheduling.StepSpec(count=3, cpu=5_000),)
    site.submit(daemons[0], 'a' * 16, steps, duration_ms=60_000)
    site.run(3_500)
    assert cpu_uses(daemons) == {'pool plain': 15_000, 'pool no_task': 9_000}
    capsys.readouterr()
    site.submit(daemons[0], 'b' * 16, steps, duration_ms=60_000)
    site.run(3_500)
    assert cpu_uses(daemons) == {
        'pool plain': 15_000,
        'pool too_small': 9_000,
    }
    site.run(9_000)
    lines = capsys.readouterr().out.splitlines()
    logged = [line for line in lines if 'idle while tasks wait' in line]
    assert 2 <= len(logged) <= 3
    assert "'too_small': 9000" in logged[0]
    site.cancel(daemons[0], 'b' * 16)
    site.run(3_500)
    assert cpu_uses(daemons) == {'pool plain': 15_000, 'pool no_task': 9_000}


def test_processors_of_a_busy_or_idle_pool_are_not_logged(
    site, daemons, capsys
):
    # Guards against lines that tell of no fault.
    steps = (scheduling.StepSpec(count=3, cpu=7_500),)
    site.run(6_000)
    for job in ('a' * 16, 'b' * 16):
        site.submit(daemons[0], job, steps, duration_ms=60_000)
    site.run(12_500)
    assert 'idle while tasks wait' not in capsys.readouterr().out


def test_owner_keeps_the_cell_without_an_account(
    site, daemons, monkeypatch, capsys
):
    # Guards against a figure that no promise depends on and that ends owners.
    def fail(*_):
        raise KeyError('no such job')

    monkeypatch.setattr(scheduling.Scheduler, 'idle_account', fail)
    owner = owner_of(daemons)
    site.run(12_000)
    assert owner.is_owner
    assert owner.kernel.find('telemetry').gauges[('workers', '')] == 3
    assert 'Processors not accounted for' in capsys.readouterr().out
