"""Tests of daemons that stand still while answers of workers arrive."""

import pytest
from twisted.internet import defer

import oriolestand_platform as platform

FINISHED = platform.RunStatus.FINISHED


class _Link:
    """Holds replies that list ended runs back until they are read."""

    def __init__(self, node):
        self._call_worker = node.platform.call_worker
        self.held = []
        node.platform.call_worker = self.call_worker

    async def call_worker(self, address, request):
        reply = await self._call_worker(address, request)
        if any(r.status is FINISHED for r in reply.reports):
            fut = defer.Deferred()
            self.held.append(fut)
            await fut
        return reply

    def read(self):
        """Deliver the replies."""
        held, self.held = self.held, []
        for fut in held:
            fut.callback(None)


@pytest.mark.parametrize('pause_ms', [15_000, 60_000])
def test_end_that_was_received_during_a_pause_is_applied(harness, pause_ms):
    # After a pause of the process the reactor calls the due timers before it
    # reads from sockets. The lease counted as lapsed while the report of the
    # finished task was in the buffer, and the task ran again.
    node = harness.node('a-1')
    harness.submit(node, work_ms=1_500)
    for _ in range(10):
        harness.clock.advance(100)
    assert harness.row()['state'] == 'running'
    link = _Link(node)
    for _ in range(40):
        if link.held:
            break
        harness.clock.advance(100)
    assert link.held
    harness.clock._now += pause_ms
    # Runs after the timers that became due during the pause.
    harness.clock.call_later(0, link.read)
    harness.clock.advance(0)
    for _ in range(50):
        link.read()
        harness.clock.advance(100)
    assert harness.row()['state'] == 'done'
    assert len(harness.runs()) == 1
