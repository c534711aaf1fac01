"""Test what the owner reports of its cell."""

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of


def test_gauges_tell_the_backlog_by_kind(site, daemons):
    # Guards against a backlog that operators cannot tell from idleness.
    steps = (scheduling.StepSpec(count=1, cpu=8_000),)
    for number in range(5):
        site.submit(daemons[0], f'{number:016x}', steps, duration_ms=30_000)
    site.run(2_500)
    gauges = owner_of(daemons).kernel.find('telemetry').gauges
    assert gauges[('ready_tasks', 'plain')] == 2
    assert gauges[('running_tasks', 'plain')] == 3
    assert gauges[('running_tasks', 'service')] == 0
    assert gauges[('service_tasks_over_target', '')] == 0
