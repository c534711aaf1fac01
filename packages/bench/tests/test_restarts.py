"""Tests of the bench of restarts while the store is away."""

import pytest

from oriolestand_bench import restarts


@pytest.mark.parametrize('load', restarts.LOADS, ids=lambda load: load.name)
def test_tasks_wait_no_longer_than_for_the_entries(load):
    # Guards against starts by the description of another incarnation, and
    # against tasks that are lost with the wait for entries.
    waits = restarts.measure(load, 1)
    assert waits.starts_in_outage == waits.unfinished == 0
    waves = 1 + load.count // restarts.SLOTS
    assert waits.longest_ms < (
        restarts.STORE_DOWN_MS
        + restarts.HEARTBEAT_MS
        + waves * restarts.TASK_MS
    )
