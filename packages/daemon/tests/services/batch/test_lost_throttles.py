"""Tests of throttles that do not reach their worker."""

from oriolestand_daemon.messages import dispatch
import oriolestand_platform as platform


def test_full_speed_that_was_lost_is_requested_again(harness):
    # Guards against a task that stays throttled: the request to let it run at
    # full speed was lost, and the dispatcher counts it as running so.
    node = harness.node('a-1')
    harness.submit(node, work_ms=60_000)
    for _ in range(30):
        harness.clock.advance(100)
    assert harness.row()['state'] == 'running'
    (key,) = node.dispatch.reserved
    call_worker = node.platform.call_worker
    percents = []

    async def lose(address, request):
        raise platform.StoreTimeoutError('lost')

    async def record(address, request):
        if isinstance(request, platform.ThrottleRequest):
            percents.append(request.percent)
        return await call_worker(address, request)

    node.platform.call_worker = lose
    node.kernel.publish(dispatch.ThrottleRequested(key=key, is_on=False))
    node.platform.call_worker = record
    for _ in range(50):
        harness.clock.advance(100)
    assert percents == [100]
