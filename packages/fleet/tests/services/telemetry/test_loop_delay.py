"""Tests of the measurement of how late the event loop is."""

import types

import pytest
import structlog
from twisted.internet import testing

import oriolestand_core as core
from oriolestand_fleet.services.telemetry import _task


class _LateClock(core.ManualClock):
    """Clock that calls all timers late."""

    def __init__(self, delay_ms):
        super().__init__()
        self._delay_ms = delay_ms

    def call_later(self, delay, func):
        """Schedule a call, with a delay."""
        return super().call_later(delay + self._delay_ms, func)


@pytest.mark.parametrize('delay_ms', [20, 700])
def test_long_delay_is_logged(delay_ms):
    # Guards against a log that does not show that an owner is short of
    # processor time; leases of its workers end while it does not run.
    clock = _LateClock(delay_ms)
    kernel = core.Kernel(clock, reactor=testing.MemoryReactor())
    address = types.SimpleNamespace(host='127.0.0.1', port=9464)
    cfg = types.SimpleNamespace(metrics=address)
    with structlog.testing.capture_logs() as lines:
        task = _task.TelemetryTask(kernel, cfg)
        task.start()
        clock.advance(2_000)
    found = [
        line['delay_ms']
        for line in lines
        if line['event'] == 'Event loop delayed'
    ]
    assert found == ([delay_ms] if delay_ms > 500 else [])
