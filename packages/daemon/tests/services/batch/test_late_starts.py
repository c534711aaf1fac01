"""Tests that no start is sent after its reason has gone."""

import pytest
from twisted.internet import defer

from oriolestand_daemon.messages import batch as contracts
import oriolestand_platform as platform


class _SlowStatus:
    """Holds the replies to the status requests of a daemon back."""

    def __init__(self, node):
        self._call_worker = node.platform.call_worker
        self.held = []
        node.platform.call_worker = self.call_worker

    async def call_worker(self, address, request):
        reply = await self._call_worker(address, request)
        if isinstance(request, platform.StatusRequest):
            fut = defer.Deferred()
            self.held.append(fut)
            await fut
        return reply

    def release(self):
        """Deliver the replies."""
        held, self.held = self.held, []
        for fut in held:
            fut.callback(None)


class _LostStarts:
    """Loses the start requests of a daemon."""

    def __init__(self, node):
        self._call_worker = node.platform.call_worker
        node.platform.call_worker = self.call_worker

    async def call_worker(self, address, request):
        if isinstance(request, platform.StartRequest):
            raise platform.StoreTimeoutError('lost')
        return await self._call_worker(address, request)


def run_until(harness, check):
    """Advance the clock until a check is true."""
    for _ in range(100):
        if check():
            return
        harness.clock.advance(100)
    raise AssertionError('condition not met in time')


@pytest.fixture
def started(harness):
    """Return a daemon whose start waits for the clock of the worker.

    It has restarted and adopted the task of its former incarnation.
    """
    former = harness.node('a-1')
    _LostStarts(former)
    harness.submit(former)
    run_until(harness, lambda: harness.row()['state'] == 'starting')
    former.kill()
    controller = harness.row()['controller']
    node = harness.node('a-1')
    status = _SlowStatus(node)
    run_until(
        harness, lambda: harness.row()['controller'] not in ('', controller)
    )
    run_until(harness, lambda: status.held)
    return node, status


def starts_of(node):
    """Return the start requests that a daemon has sent."""
    return [
        call
        for call in node.platform.calls
        if isinstance(call, platform.StartRequest)
    ]


def test_start_is_not_sent_after_the_task_was_handed_over(harness, started):
    # A daemon that shuts down read the clock of a worker when it handed the
    # task over, and sent the start afterwards. The next daemon counts the
    # lease from its adoption and may start the task elsewhere too early.
    node, status = started
    node.ask(contracts.DrainTasks())
    for _ in range(10):
        harness.clock.advance(100)
    assert harness.row()['controller'] == ''
    assert starts_of(node) == []
    status.release()
    harness.clock.advance(10)
    assert starts_of(node) == []
